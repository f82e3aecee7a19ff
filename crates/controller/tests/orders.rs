//! Meetings of cancellations, machines and leaders, over timings a fraction of a second apart. The rules
//! are those of every scenario, `ran_cancelled`, `ran_twice` and `quota` among them; and no leader may
//! start a task of a job that it knows to be over, or that a user was told of for longer than its lease.

use indigopath_simulator::{run_variants, time_steps};

/// Both teams at their limits of 16 and 32 GPUs, exactly, and work of both that waits for them.
const FULL: &str = "\
at 1 submit wk-1 team=red tasks=5 run=300 gpus=2
at 1 submit wk-2 team=red shape=gang class=train tasks=3 run=300 gpus=2 checkpoint=20 save=2
at 1 submit wk-3 team=blue shape=daemon class=live tasks=8 gpus=2
at 1 submit wk-4 team=blue tasks=16 run=90 gpus=1
at 20 submit wk-5 team=red tasks=5 run=20 gpus=2
at 20 submit wk-6 team=blue tasks=16 run=20 gpus=1
";

/// Plays all; nothing may break.
fn play(kind: &str, ways: &[String]) {
    let failed = run_variants(kind, ways);
    assert!(failed == 0, "{kind}: {failed} of {} ways", ways.len());
}

// Every team is at its limit; jobs are called off whose machines hang, are cut off, mute or deaf, and the
// leader ends or is refused around that. What waits starts only once the limit is provably free:
// `quota` breaks where attempts that are being stopped, unsent, of ended jobs or on silent machines are free.
#[test]
fn at_the_limit_cancelled_on_machines_out_of_reach() {
    let machines = [
        "at 40 cancel-now count=3 hang=20\n",
        "at 40 cancel-now count=3 hang=45\n",
        "at 39.9 cut of:wk-1/0 * hold for=25\nat 39.9 cut of:wk-3/0 * hold for=25\nat 40 cancel-now count=3\n",
        "at 39.9 cut zone:west * hold for=40\nat 40 cancel-now count=3\n",
        "at 39.9 mute share=0.5 for=60\nat 40 cancel-now count=3\n",
        "at 39.9 deaf share=0.5 for=60\nat 40 cancel-now count=3\n",
    ];
    let leaders = [
        "crash leader for=0.3",
        "refuse leader for=9",
        "freeze leader for=5",
    ];
    let ways: Vec<String> = machines
        .into_iter()
        .flat_map(|machines| leaders.map(|leader| (machines, leader)))
        .flat_map(|(machines, leader)| {
            [39.8, 40.3].map(|at| {
                format!(
                    "{FULL}{machines}at {at} {leader}\nat 55 crash leader? for=1\nuntil 220\n\
                     expect wk-5 told done\nexpect wk-6 told done\n"
                )
            })
        })
        .collect();
    play("at the limit", &ways);
}

// Ten leaders in two minutes, each with some way to end, also inside an outage, while jobs are called off
// in the seconds of each hand-over and machines hang. Held; no guard that was taken out alone made it fail.
#[test]
fn ten_leaders_in_two_minutes() {
    let ends = [
        "crash leader? for=0.3",
        "refuse leader? for=4",
        "stall leader? for=3",
        "cut-off leader? for=11",
    ];
    let ways: Vec<String> = time_steps(0.0, 2.4, 0.2)
        .enumerate()
        .map(|(way, after)| {
            let mut text = String::from(FULL);
            for turn in 0..10 {
                let at = 32.0 + 12.0 * f64::from(turn);
                let end = ends[(way + turn as usize) % ends.len()];
                text += &format!("at {at} {end}\n");
                if turn % 3 == 0 {
                    let job = 10 + turn;
                    text += &format!(
                        "at {} submit wk-{job} team=green tasks=4 run=200 gpus=1\nat {} withdraw wk-{job}\n\
                         at {} hang of:wk-{job}/0? for=20\n",
                        at - 11.0,
                        at + after,
                        at + after - 0.1,
                    );
                }
            }
            // A zone that all but one node lose: its machines may be heard by a leader that was replaced.
            let beside = [
                "at 70 outage state for=14\n",
                "at 43 cut zone:west n1 hold for=40\nat 43 cut zone:west n2 hold for=40\n",
                "at 55 cut zone:east n0 for=33\nat 55 cut zone:east n2 for=33\n",
            ];
            let outage = beside[way % beside.len()];
            format!("{text}{outage}at 100 withdraw wk-1\nuntil 300\nexpect wk-1 told cancelled\nexpect wk-4 told done\n")
        })
        .collect();
    play("ten leaders", &ways);
}

// Jobs are called off at the very moment at which the state service refuses the leader alone; a moment later
// it is out for longer than `cancel_s`, and machines hang and go on within their leases.
// With a grace of ten minutes in `horizon::grace_ms`, `ran_cancelled`.
#[test]
fn called_off_as_the_leader_is_refused_then_down() {
    let ways: Vec<String> = time_steps(0.6, 3.6, 0.5)
        .flat_map(|down| {
            [10.0, 20.0, 27.0, 33.0].map(|hang| {
                format!(
                    "{FULL}at 40 refuse leader for=14\nat 40 cancel-now count=3 hang={hang}\n\
                     at {} outage state for=74\nuntil 260\nexpect wk-4 told done\n",
                    40.0 + down
                )
            })
        })
        .collect();
    play("refused, then down, machines hang", &ways);
}

// Of every report a copy is kept, and arrives at every node as a new leader begins, or when it has acted.
// Without `fenced` in `Attempt::missing`, or the order of reports in `Machine::take`: `ran_twice`, `quota`.
#[test]
fn old_reports_as_a_leader_begins() {
    let ways: Vec<String> = [0.0, 0.05, 1.0, 8.0]
        .into_iter()
        .flat_map(|after| {
            time_steps(41.0, 43.0, 0.5).map(move |at| {
                format!(
                    "{FULL}at 25 late-reports share=0.7 for=100 for-next after={after}\n\
                     at 40 withdraw wk-1\nat {at} crash leader for=0.5\nat 46 cancel-now count=1 hang=15\n\
                     at 60 crash leader? for=0.2\nat 75 refuse leader? for=5\nuntil 220\n\
                     expect wk-5 told done\nexpect wk-6 told done\nexpect troubled >= 50\n"
                )
            })
        })
        .collect();
    play("old reports", &ways);
}

// Machines are up within two seconds and get work at once, while transactions are carried out late or lose
// their answers, and the leader ends; some are rented without an answer. Held.
#[test]
fn quick_machines_and_late_writes() {
    let ways: Vec<String> = time_steps(4.0, 8.0, 0.2)
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
    play("quick machines", &ways);
}

// Jobs are called off some ms around their last task's end, also as the leader changes. Held.
#[test]
fn called_off_around_the_end() {
    let ways: Vec<String> = time_steps(30.0, 34.0, 0.25)
        .map(|at| {
            format!(
                "at 1 submit wk-1 shape=daemon class=live tasks=2 gpus=1\nat 10 cancel-at-end share=0.7 for=60\n\
                 at 5 submit wk-10 count=40 every=0.5 run=8 gpus=1\nat 5 submit wk-60 shape=gang class=train \
                 count=6 every=4 tasks=2 run=9 gpus=1\nat {at} crash leader for=0.3\nuntil 120\n\
                 expect troubled >= 10\nexpect started-cancelled = 0\n"
            )
        })
        .collect();
    play("around the end", &ways);
}
