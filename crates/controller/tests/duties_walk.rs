//! Explores the possible outcomes of every external operation of a leader in a small cluster: three
//! controllers, two launched machines and one unknown machine, and two jobs, of which the second is submitted
//! when the machines of the first are about to be released. The operations are a leader's transactions,
//! direct commands that start or stop tasks, launches and releases. Each may be lost, lose its response, be
//! executed late, or be the last one of its sender, which crashes before or after it; or the state service
//! refuses its sender from then on.
//!
//! The test runs every schedule with one deviation, every schedule in which an operation is late and its
//! sender crashes afterwards, and a sample of the other schedules with two deviations. All of them run with
//! `DUTIES_WALK=all cargo test --release -p indigopath-controller --test duties_walk`. Every schedule must
//! keep the simulator's rules, leave no operation of a replaced leader that its successor could not know of,
//! finish both jobs and end with one leader.

use indigopath_simulator::{Deviation, run_cases, run_with_deviations};
use std::collections::BTreeMap;

const SCENARIO: &str = "\
teams 200
at 0 no-capacity large ordinary
at 1 submit wk-1 tasks=2 run=8 gpus=4
at 2 stranger small east
at 40 submit wk-2 tasks=3 run=8 gpus=4
until 170
expect wk-1 told done
expect wk-2 told done
expect unknown acts = 0
expect leaders = 1
";

/// By default, one in this many of the other schedules with two deviations is run.
const SAMPLE: usize = 61;

type Schedule = BTreeMap<usize, Deviation>;

fn schedules(operations: usize, sample_interval: usize) -> Vec<Schedule> {
    let deviations_at = |at: usize| Deviation::ALL.map(|deviation| (at, deviation));
    let single_deviations: Vec<(usize, Deviation)> = (0..operations).flat_map(deviations_at).collect();
    let mut schedules: Vec<Schedule> = single_deviations
        .iter()
        .map(|deviation| Schedule::from([*deviation]))
        .collect();
    let pairs = single_deviations.iter().flat_map(|first| {
        let later = single_deviations.iter().filter(move |second| second.0 > first.0);
        later.map(move |second| Schedule::from([*first, *second]))
    });
    // All schedules with a late operation whose sender crashes: recorded intents exist for these.
    let is_late_with_crash =
        |schedule: &Schedule| schedule.values().eq([&Deviation::Delay, &Deviation::CrashAfter]);
    let (late_with_crash, others): (Vec<Schedule>, Vec<Schedule>) = pairs.partition(is_late_with_crash);
    schedules.extend(late_with_crash);
    schedules.extend(others.into_iter().step_by(sample_interval));
    schedules
}

#[test]
fn the_next_leader_knows_the_outcome_of_every_operation() {
    let (outcome, operations) = run_with_deviations(SCENARIO, &Schedule::new());
    outcome.expect("without a deviation");
    assert!(operations >= 8, "{operations} operations");
    let all = std::env::var("DUTIES_WALK").is_ok_and(|which| which == "all");
    let schedules = schedules(operations, if all { 1 } else { SAMPLE });
    let failed = run_cases(schedules.len(), |at| {
        run_with_deviations(SCENARIO, &schedules[at]).0
    });
    println!(
        "{operations} operations, {} schedules, {} failed",
        schedules.len(),
        failed.len()
    );
    for (at, problem) in failed.iter().take(5) {
        println!("{:?}: {problem}", schedules[*at]);
    }
    assert!(
        failed.is_empty(),
        "{} of {} schedules failed",
        failed.len(),
        schedules.len()
    );
}
