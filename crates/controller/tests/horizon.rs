//! Cancellations around an outage of the state service. The service first refuses only the leader,
//! another node confirms cancellations to users, and then the service is unavailable to all nodes for
//! longer than a cancellation may take, while workers keep reporting to the old leader or to one that
//! was elected in between. The simulator's rule `ran_cancelled` counts from the first confirmation to
//! a user, by any node on any route.
//!
//! The scenarios of a test differ by a fraction of a second, so that the outage begins at every step
//! of the refusal, of the election and of the new leader's recovery.

use indigopath_simulator::{run_variants, time_steps};

/// When the state service begins to refuse the leader, in s.
const REFUSED_S: f64 = 40.0;

const WORKLOAD: &str = "\
teams 200
at 1 submit wk-1 tasks=12 run=400 gpus=1
at 1 submit wk-2 shape=gang class=train tasks=3 run=400 gpus=2 checkpoint=20 save=4
at 1 submit wk-3 shape=daemon class=live tasks=3 gpus=2
at 1 submit wk-4 tasks=4 run=30 gpus=2
";

const EXPECTATIONS: &str = "\
until 240
expect wk-1 told cancelled
expect wk-2 told cancelled
expect wk-3 told cancelled
expect wk-4 told done
";

fn cancel_jobs_at(seconds: f64) -> String {
    (1..4)
        .map(|job| format!("at {seconds} withdraw wk-{job}\n"))
        .collect()
}

/// Runs all scenarios. No rule and no expectation may be violated.
fn run_scenarios(name: &str, scenarios: &[String]) {
    let scenarios: Vec<String> = scenarios
        .iter()
        .map(|faults| format!("{WORKLOAD}{faults}{EXPECTATIONS}"))
        .collect();
    let failed = run_variants(name, &scenarios);
    assert!(
        failed == 0,
        "{name}: {failed} of {} scenarios failed",
        scenarios.len()
    );
}

// The state service refuses the leader, and is then unavailable from before the leader's lease ends
// until after the next leader has read all records.
#[test]
fn cancelled_jobs_stop_in_an_outage_after_the_leader_is_refused() {
    let scenarios: Vec<String> = time_steps(1.0, 4.0, 0.05)
        .flat_map(|outage_s| {
            [0.05, 0.5, 1.5].map(|cancelled_after_s| {
                format!(
                    "at {REFUSED_S} refuse leader for=14\n{}at {} outage state for=74\n",
                    cancel_jobs_at(REFUSED_S + cancelled_after_s),
                    REFUSED_S + outage_s
                )
            })
        })
        .collect();
    run_scenarios("outage after a refusal of the leader", &scenarios);
}

// The next leader takes long to recover because responses to its reads are lost, and the outage
// begins meanwhile. Its lease renewals are answered all that time.
#[test]
fn cancelled_jobs_stop_in_an_outage_while_the_next_leader_recovers() {
    let scenarios: Vec<String> = time_steps(3.0, 9.0, 0.15)
        .flat_map(|outage_s| {
            [1, 3].map(|lost_responses| {
                let lost_page = format!("at {REFUSED_S} lose-answer /store?Under=j/&Limit=500\n");
                format!(
                    "at {REFUSED_S} refuse leader for=30\n{}{}at {} outage state for=74\n",
                    cancel_jobs_at(REFUSED_S + 0.05),
                    lost_page.repeat(lost_responses),
                    REFUSED_S + outage_s
                )
            })
        })
        .collect();
    run_scenarios("outage while the next leader recovers", &scenarios);
}

// The service refuses the leader several times, each time for less than its lease: lease renewals are
// answered in between, while the watch that was open stays open.
#[test]
fn cancelled_jobs_stop_in_an_outage_after_repeated_short_refusals() {
    let scenarios: Vec<String> = time_steps(1.0, 5.0, 0.1)
        .flat_map(|outage_s| {
            [1.6, 2.0, 2.2].map(|for_s| {
                let refusals: String = [0.0, 2.4, 4.8]
                    .map(|delay_s| format!("at {} refuse leader? for={for_s}\n", REFUSED_S + delay_s))
                    .concat();
                format!(
                    "{refusals}{}at {} outage state for=74\n",
                    cancel_jobs_at(REFUSED_S + 0.05),
                    REFUSED_S + outage_s
                )
            })
        })
        .collect();
    run_scenarios("outage after repeated refusals", &scenarios);
}

// The leader falls too far behind the change log: its watch is refused just after a watch was answered,
// and the changes since are compacted. Guards against a leader that reloads the records within its
// term: the responses to that were lost, while its lease renewals were answered and another node
// confirmed cancellations.
#[test]
fn cancelled_jobs_stop_in_an_outage_after_the_leader_falls_behind() {
    let scenarios: Vec<String> = time_steps(39.0, 39.2, 0.01)
        .flat_map(|refused_s| {
            [44.0, 48.0, 52.0, 55.0].map(|outage_s| {
                let lost_page = "at 39.8 lose-answer /store?Under=j/&Limit=500\n";
                format!(
                    "at 39 submit wk-5 tasks=1 run=5\nat {refused_s} refuse leader for=1\n\
                     at 39.5 submit wk-6 tasks=1 run=5\nat 39.9 forget-changes\n{}{}\
                     at {outage_s} outage state for=74\n",
                    lost_page.repeat(12),
                    cancel_jobs_at(40.7),
                )
            })
        })
        .collect();
    run_scenarios("outage after the leader falls behind", &scenarios);
}

// Each node in turn confirms the cancellations, and users first learn of them on each route: the
// response to the cancellation itself, a poll after a cancellation whose response was lost, and a poll
// after one that was executed late. Meanwhile machines receive no responses, hang, or work normally.
#[test]
fn cancelled_jobs_stop_whichever_node_and_route_confirms_first() {
    let scenarios: Vec<String> = (0..3)
        .flat_map(|node| {
            let lost_responses = "at 40 lose-answer /multi:\"Put\":\"e/wk-1\"\n";
            let late_execution = "at 40 late /multi:\"Put\":\"e/wk-1\" 0.6\n";
            ["", lost_responses, late_execution]
                .into_iter()
                .flat_map(move |fault| {
                    let no_responses = "at 41 deaf share=0.5 for=60\n";
                    let hanging = "at 41 hang of:wk-1/0 for=25\nat 41 hang of:wk-3/0 for=25\n";
                    ["", no_responses, hanging].into_iter().flat_map(move |machines| {
                        [1.5, 2.7, 3.1].into_iter().map(move |outage_s| {
                            let polls: String = time_steps(40.2, 40.0 + outage_s, 0.2)
                                .map(|at| format!("at {at} ask wk-1 node=n{}\n", (node + 1) % 3))
                                .collect();
                            let cancellations: String = (1..4)
                                .map(|job| format!("at 40.1 withdraw wk-{job} node=n{node}\n"))
                                .collect();
                            format!(
                                "at {REFUSED_S} refuse leader for=14\n{fault}{cancellations}{polls}{machines}\
                             at {} outage state for=74\n",
                                REFUSED_S + outage_s
                            )
                        })
                    })
                })
        })
        .collect();
    run_scenarios("cancellations confirmed by any node and route", &scenarios);
}

// The refusal and the outage occur twice in one run; and a leader is refused just as an outage ends,
// after which the next outage begins.
#[test]
fn cancelled_jobs_stop_in_repeated_outages_and_around_their_ends() {
    let scenarios: Vec<String> = time_steps(0.0, 3.0, 0.25)
        .flat_map(|delay_s| {
            let repeated = format!(
                "at {REFUSED_S} refuse leader for=14\n{}at {} outage state for=74\n\
                 at 160 submit wk-5 tasks=6 run=400 gpus=1\nat 185 refuse leader? for=14\n\
                 at 185.3 withdraw wk-5\nat {} outage state for=40\n",
                cancel_jobs_at(REFUSED_S + 0.3),
                REFUSED_S + 1.5 + delay_s,
                186.5 + delay_s,
            );
            let at_outage_end = format!(
                "at 30 outage state for=10\nat 39.5 refuse leader? for=20\n{}at {} outage state for=74\n",
                cancel_jobs_at(REFUSED_S + 0.1),
                REFUSED_S + 0.7 + delay_s,
            );
            [repeated, at_outage_end]
        })
        .collect();
    run_scenarios("repeated outages and their ends", &scenarios);
}

// The leader loses the state service and its peers. It alone hears the workers of one zone, and the next
// leader alone those of the other zone, so that two leaders answer workers. The workers of the
// partitioned leader switch between nodes once it stops answering. Jobs are cancelled through the new
// leader's side at any time meanwhile. The cloud is unavailable, as otherwise their machines would be
// released.
#[test]
fn cancelled_jobs_stop_on_workers_that_only_a_partitioned_leader_hears() {
    let scenarios: Vec<String> = [[0, 1, 2], [1, 0, 2], [2, 0, 1]]
        .into_iter()
        .flat_map(|[partitioned, first_peer, second_peer]| {
            [0.1, 2.8, 6.0, 12.0, 17.9, 19.0]
                .into_iter()
                .flat_map(move |cancelled_after_s| {
                    [("east", "west"), ("west", "east")].map(|(old_leader_zone, new_leader_zone)| {
                        format!(
                            "at 39 outage cloud for=72\nat {REFUSED_S} cut-off leader for=65\n\
                         at {REFUSED_S} cut zone:{old_leader_zone} n{first_peer} for=70\n\
                         at {REFUSED_S} cut zone:{old_leader_zone} n{second_peer} for=70\n\
                         at {REFUSED_S} cut zone:{new_leader_zone} n{partitioned} for=70\n{}",
                            cancel_jobs_at(REFUSED_S + cancelled_after_s)
                        )
                    })
                })
        })
        .collect();
    run_scenarios("workers heard only by a partitioned leader", &scenarios);
}
