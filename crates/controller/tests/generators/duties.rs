//! Generates random scenarios of overlapping faults around calls to the cloud.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt::Write;

/// Returns the scenario of a seed, with idle machines, waiting jobs and up to six overlapping faults.
pub fn scenario(seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut text = String::from("teams 200\n");
    let mut line = |at: f64, action: String| {
        let _ = writeln!(text, "at {at:.2} {action}");
    };
    line(0.0, "no-capacity large ordinary".to_owned());
    let tasks = rng.random_range(4..=10);
    let run = rng.random_range(5..=20);
    line(1.0, format!("submit wk-1 tasks={tasks} run={run} gpus=4"));
    let replicas = rng.random_range(1..=4);
    line(
        1.5,
        format!("submit wk-2 shape=daemon tasks={replicas} gpus=1 priority=critical"),
    );
    if rng.random_range(0..3) == 0 {
        for _ in 0..4 {
            line(2.0, "stranger small east".to_owned());
        }
    }
    for number in 0..rng.random_range(1..=3) {
        let at = rng.random_range(20.0..70.0);
        let tasks = rng.random_range(2..=10);
        let run = rng.random_range(5..=30);
        line(
            at,
            format!("submit wk-{} tasks={tasks} run={run} gpus=4", 10 + number),
        );
    }
    for _ in 0..rng.random_range(2..=6) {
        let at = rng.random_range(15.0..75.0);
        let duration_s = rng.random_range(3..=25);
        let node = rng.random_range(0..3);
        let delay_s = rng.random_range(2..=25);
        match rng.random_range(0..15) {
            0 => line(at, "crash leader?".to_owned()),
            1 => line(at, format!("crash n{node}")),
            2 => line(at, "crash all".to_owned()),
            3 => line(at, format!("freeze n{node} for={duration_s}")),
            4 => line(at, format!("stall n{node} for={duration_s}")),
            5 => line(at, format!("refuse n{node} for={duration_s}")),
            6 => {
                // Only the cloud can still be reached from the node.
                line(at, format!("refuse n{node} for={duration_s}"));
                line(at, format!("cut n{node} workers"));
                for other in 0..3 {
                    line(at, format!("cut n{node} n{other}"));
                }
                line(at + f64::from(duration_s), "heal".to_owned());
            }
            7 => line(at, format!("outage state for={duration_s}")),
            8 => line(at, format!("outage cloud for={duration_s}")),
            9 => line(at, format!("late /rentals/return {delay_s}")),
            10 => line(at, format!("late /rentals {delay_s}")),
            11 => line(at, format!("late /do {delay_s}")),
            12 | 13 => {
                let operations = [
                    "/do",
                    "/v1/report",
                    "/multi",
                    "/holds",
                    "/rentals",
                    "/rentals/return",
                    "frames",
                ];
                let operation = operations[rng.random_range(0..operations.len())];
                line(at, format!("copies {operation} later={delay_s} for={duration_s}"));
            }
            _ => line(at, format!("cut zone:west * hold for={duration_s}")),
        }
    }
    text.push_str("until 240\nexpect unknown acts = 0\nexpect wk-1 told done\nexpect leaders = 1\n");
    text
}
