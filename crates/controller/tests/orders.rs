//! Cancellations combined with faults of machines and changes of leader, at timings a fraction of a second
//! apart. Each scenario checks the simulator's rules, among them `ran_cancelled`, `ran_twice` and `quota`.
//! Besides, no leader may start a task of a job that it knows to have ended, or whose end was confirmed to
//! a user longer ago than the leader's lease.

use indigopath_simulator::{run_variants, time_steps};

/// Two teams exactly at their limits of 16 and 32 GPUs, and jobs of both that wait for GPUs.
const FULL_QUOTA: &str = "\
at 1 submit wk-1 team=red tasks=5 run=300 gpus=2
at 1 submit wk-2 team=red shape=gang class=train tasks=3 run=300 gpus=2 checkpoint=20 save=2
at 1 submit wk-3 team=blue shape=daemon class=live tasks=8 gpus=2
at 1 submit wk-4 team=blue tasks=16 run=90 gpus=1
at 20 submit wk-5 team=red tasks=5 run=20 gpus=2
at 20 submit wk-6 team=blue tasks=16 run=20 gpus=1
";

/// Runs all scenarios. No rule and no expectation may be violated.
fn run_scenarios(name: &str, scenarios: &[String]) {
    let failed = run_variants(name, scenarios);
    assert!(
        failed == 0,
        "{name}: {failed} of {} scenarios failed",
        scenarios.len()
    );
}

// Every team is at its limit. Jobs are cancelled whose machines hang, are partitioned, or lose their
// traffic in one direction; around that the leader crashes, freezes or is refused by the state service.
// Waiting tasks start only once quota is provably free. The rule `quota` fails if quota counts as free for
// attempts that are being stopped, were not sent, belong to ended jobs or are on unreachable machines.
#[test]
fn quota_of_cancelled_jobs_on_unreachable_machines_is_not_reused_early() {
    let machine_faults = [
        "at 40 cancel-now count=3 hang=20\n",
        "at 40 cancel-now count=3 hang=45\n",
        "at 39.9 cut of:wk-1/0 * hold for=25\nat 39.9 cut of:wk-3/0 * hold for=25\nat 40 cancel-now count=3\n",
        "at 39.9 cut zone:west * hold for=40\nat 40 cancel-now count=3\n",
        "at 39.9 mute share=0.5 for=60\nat 40 cancel-now count=3\n",
        "at 39.9 deaf share=0.5 for=60\nat 40 cancel-now count=3\n",
    ];
    let leader_faults = [
        "crash leader for=0.3",
        "refuse leader for=9",
        "freeze leader for=5",
    ];
    let scenarios: Vec<String> = machine_faults
        .into_iter()
        .flat_map(|machine_fault| leader_faults.map(|leader_fault| (machine_fault, leader_fault)))
        .flat_map(|(machine_fault, leader_fault)| {
            [39.8, 40.3].map(|at| {
                format!(
                    "{FULL_QUOTA}{machine_fault}at {at} {leader_fault}\nat 55 crash leader? for=1\nuntil 220\n\
                     expect wk-5 told done\nexpect wk-6 told done\n"
                )
            })
        })
        .collect();
    run_scenarios("cancellations at the quota limit", &scenarios);
}

// Ten leaders in two minutes, which end in different ways, some during an outage, while jobs are cancelled
// within seconds of each change of leader and machines hang. Removing any single guard did not make this
// test fail.
#[test]
fn cancellations_hold_through_ten_leaders_in_two_minutes() {
    let leader_faults = [
        "crash leader? for=0.3",
        "refuse leader? for=4",
        "stall leader? for=3",
        "cut-off leader? for=11",
    ];
    let scenarios: Vec<String> = time_steps(0.0, 2.4, 0.2)
        .enumerate()
        .map(|(number, delay_s)| {
            let mut text = String::from(FULL_QUOTA);
            for turn in 0..10 {
                let at = 32.0 + 12.0 * f64::from(turn);
                let leader_fault = leader_faults[(number + turn as usize) % leader_faults.len()];
                text += &format!("at {at} {leader_fault}\n");
                if turn % 3 == 0 {
                    let job = 10 + turn;
                    text += &format!(
                        "at {} submit wk-{job} team=green tasks=4 run=200 gpus=1\nat {} withdraw wk-{job}\n\
                         at {} hang of:wk-{job}/0? for=20\n",
                        at - 11.0,
                        at + delay_s,
                        at + delay_s - 0.1,
                    );
                }
            }
            // A zone that all nodes but one cannot reach: a replaced leader may still hear its machines.
            let concurrent_faults = [
                "at 70 outage state for=14\n",
                "at 43 cut zone:west n1 hold for=40\nat 43 cut zone:west n2 hold for=40\n",
                "at 55 cut zone:east n0 for=33\nat 55 cut zone:east n2 for=33\n",
            ];
            let concurrent_fault = concurrent_faults[number % concurrent_faults.len()];
            format!("{text}{concurrent_fault}at 100 withdraw wk-1\nuntil 300\nexpect wk-1 told cancelled\nexpect wk-4 told done\n")
        })
        .collect();
    run_scenarios("ten leaders in two minutes", &scenarios);
}

// Jobs are cancelled at the moment at which the state service begins to refuse the leader. Shortly after,
// the service is unavailable for longer than `cancel_s`, and machines hang and resume within their leases.
// With a grace of ten minutes in `cancellation_watermark::grace_ms`, `ran_cancelled` fails.
#[test]
fn jobs_cancelled_as_the_leader_is_refused_stop_in_the_outage_after_it() {
    let scenarios: Vec<String> = time_steps(0.6, 3.6, 0.5)
        .flat_map(|outage_after_s| {
            [10.0, 20.0, 27.0, 33.0].map(|hang_s| {
                format!(
                    "{FULL_QUOTA}at 40 refuse leader for=14\nat 40 cancel-now count=3 hang={hang_s}\n\
                     at {} outage state for=74\nuntil 260\nexpect wk-4 told done\n",
                    40.0 + outage_after_s
                )
            })
        })
        .collect();
    run_scenarios("outage after a refusal, machines hang", &scenarios);
}

// A copy of every report is kept and delivered to every node as a new leader begins, or after it has acted.
// Without the check of `is_fenced` in `Attempt::on_missing`, or the order of reports in
// `Machine::reconcile`, `ran_twice` and `quota` fail.
#[test]
fn old_reports_do_not_mislead_a_new_leader() {
    let scenarios: Vec<String> = [0.0, 0.05, 1.0, 8.0]
        .into_iter()
        .flat_map(|delay_s| {
            time_steps(41.0, 43.0, 0.5).map(move |at| {
                format!(
                    "{FULL_QUOTA}at 25 late-reports share=0.7 for=100 for-next after={delay_s}\n\
                     at 40 withdraw wk-1\nat {at} crash leader for=0.5\nat 46 cancel-now count=1 hang=15\n\
                     at 60 crash leader? for=0.2\nat 75 refuse leader? for=5\nuntil 220\n\
                     expect wk-5 told done\nexpect wk-6 told done\nexpect troubled >= 50\n"
                )
            })
        })
        .collect();
    run_scenarios("old reports to a new leader", &scenarios);
}

// Machines boot within two seconds and get tasks at once, while transactions are executed late or lose
// their responses and the leader crashes. Some machines are launched by a call that gets no response.
#[test]
fn late_writes_on_fast_booting_machines_start_nothing_twice() {
    let scenarios: Vec<String> = time_steps(4.0, 8.0, 0.2)
        .flat_map(|at| {
            ["0.3 1", "0.5 2"].map(|boots| {
                format!(
                    "at 0.5 boots {boots}\nat 1 submit wk-1 tasks=2 run=200 gpus=2\n\
                     at 3 late-writes share=0.3 for=15\nat 3 lose-answer /rentals\n\
                     at 3.5 submit wk-2 tasks=12 run=20 gpus=2\n\
                     at 4 submit wk-3 shape=gang class=train tasks=4 run=20 gpus=4\n\
                     at 5 submit wk-4 shape=daemon class=live tasks=3 gpus=2\n\
                     at {at} crash leader for=0.3\nat {} withdraw wk-1\nat {} crash leader? for=1\nuntil 150\n\
                     expect wk-2 told done\nexpect wk-3 told done\nexpect wk-4 running = 3\n",
                    at + 0.5,
                    at + 4.0,
                )
            })
        })
        .collect();
    run_scenarios("late writes and fast-booting machines", &scenarios);
}

// Jobs are cancelled within milliseconds of the end of their last task, also while the leader changes.
#[test]
fn jobs_cancelled_around_their_end_are_not_started() {
    let scenarios: Vec<String> = time_steps(30.0, 34.0, 0.25)
        .map(|at| {
            format!(
                "at 1 submit wk-1 shape=daemon class=live tasks=2 gpus=1\nat 10 cancel-at-end share=0.7 for=60\n\
                 at 5 submit wk-10 count=40 every=0.5 run=8 gpus=1\nat 5 submit wk-60 shape=gang class=train \
                 count=6 every=4 tasks=2 run=9 gpus=1\nat {at} crash leader for=0.3\nuntil 120\n\
                 expect troubled >= 10\nexpect started-cancelled = 0\n"
            )
        })
        .collect();
    run_scenarios("cancellations around the end", &scenarios);
}
