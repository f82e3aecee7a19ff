//! Generates random scenarios in which jobs are cancelled just as their starts are recorded or sent, while the leader
//! stands still, cannot be told of the cancellation, or waits for a machine.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt::Write;

/// Jobs of a scenario that are cancelled around their start, one after the other.
const ROUNDS: u32 = 8;
/// Time from one of them to the next, in s: the faults of a round are over by then.
const ROUND_S: f64 = 9.0;
/// When the first of them is submitted, in s: the machines are up by then.
const FIRST_ROUND_S: f64 = 25.0;
/// Longest fault, in s: a little more than the leader's lease.
const LONGEST_FAULT_S: f64 = 2.7;

/// Returns the scenario of a seed.
pub fn scenario(seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut text = format!("# Seed {seed}.\nteams 200\n");
    // Tasks that keep the machines busy, and short ones whose ends make the workers report.
    writeln!(text, "at 1 submit wk-1 tasks=6 run=110 gpus=1").unwrap();
    let run_s = rng.random_range(4.0..6.0);
    writeln!(text, "at 14 submit wk-2 tasks=60 run={run_s:.2} gpus=1").unwrap();
    for round in 0..ROUNDS {
        let begin = FIRST_ROUND_S + f64::from(round) * ROUND_S + rng.random_range(0.0..1.0);
        add_round(&mut text, begin, 10 + round, &mut rng);
    }
    let until = FIRST_ROUND_S + f64::from(ROUNDS + 2) * ROUND_S;
    writeln!(text, "until {until}").unwrap();
    for round in 0..ROUNDS {
        writeln!(text, "expect wk-{} told cancelled", 10 + round).unwrap();
    }
    text
}

/// Adds a job that is submitted at `begin`, a fault just after that, and the job's cancellation.
fn add_round(text: &mut String, begin: f64, job: u32, rng: &mut SmallRng) {
    if rng.random_range(0..3) == 0 {
        let hang_s = rng.random_range(0.3..LONGEST_FAULT_S);
        let machine = format!("of:wk-1/{}", rng.random_range(0..6));
        writeln!(text, "at {:.2} hang {machine}? for={hang_s:.2}", begin - 0.1).unwrap();
    }
    if rng.random_range(0..2) == 0 {
        let delay_s = rng.random_range(0.02..0.3);
        writeln!(text, "at {begin:.2} withhold leader {delay_s:.2} /multi:s/").unwrap();
    }
    let tasks = rng.random_range(1..4);
    writeln!(text, "at {begin:.2} submit wk-{job} tasks={tasks} run=30 gpus=1").unwrap();
    let fault_at = begin + rng.random_range(0.03..0.4);
    let fault_s = rng.random_range(0.3..LONGEST_FAULT_S);
    let fault = [
        "freeze leader",
        "freeze leader",
        "stall leader",
        "cut-off leader",
        "refuse leader",
    ][rng.random_range(0..5usize)];
    writeln!(text, "at {fault_at:.2} {fault} for={fault_s:.2}").unwrap();
    let cancelled_at = begin + rng.random_range(0.05..1.2);
    writeln!(text, "at {cancelled_at:.2} withdraw wk-{job} node=follower").unwrap();
}
