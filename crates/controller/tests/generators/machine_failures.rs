//! Generates random scenarios in which a share of all machines stops at once, beside an end or a standstill of the
//! leader, controllers that cannot connect to each other, or a leader that is cut off from the workers.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt::Write;

/// When the machines stop, in s: all work has started by then.
const FAILURE_S: f64 = 30.0;
/// Run time of the tasks on these machines, in s.
const RUN_S: u64 = 60;
/// Longest standstill of the leader, in s: longer than its lease.
const LONGEST_STANDSTILL_S: f64 = 5.0;
/// When the expectations are checked, in s: 90 s after the last fault at the latest every lost task starts, and then
/// runs to its end.
const END_S: u64 = 260;
/// Number of controllers, each of which may hand over once while it can consult no peer.
const CONTROLLERS: u32 = 3;

/// A fault beside the failure of the machines.
struct Fault {
    /// The lines of the scenario.
    lines: String,
    /// Terms that may begin because of it.
    terms: u32,
}

impl Fault {
    fn none() -> Fault {
        Fault {
            lines: String::new(),
            terms: 0,
        }
    }

    fn draw(rng: &mut SmallRng) -> Fault {
        let at = FAILURE_S + rng.random_range(-1.0..8.0);
        let mut lines = String::new();
        let terms = match rng.random_range(0..7) {
            0 => return Fault::none(),
            1 => {
                let downtime_s = rng.random_range(0.1..5.0);
                let _ = writeln!(lines, "at {at:.2} crash leader? for={downtime_s:.2}");
                1
            }
            2 => {
                let standstill_s = rng.random_range(0.5..LONGEST_STANDSTILL_S);
                let _ = writeln!(lines, "at {at:.2} freeze leader? for={standstill_s:.2}");
                1
            }
            3 => {
                let standstill_s = rng.random_range(0.5..LONGEST_STANDSTILL_S);
                let _ = writeln!(lines, "at {at:.2} stall leader? for={standstill_s:.2}");
                1
            }
            // Controllers refuse each other's connections.
            4 => {
                let duration_s = rng.random_range(5.0..60.0);
                for (one, other) in [(0, 1), (0, 2), (1, 2)] {
                    let _ = writeln!(lines, "at {at:.2} cut n{one} n{other} for={duration_s:.2}");
                }
                CONTROLLERS
            }
            // The leader is cut off from the machines that are left.
            5 => {
                let duration_s = rng.random_range(5.0..60.0);
                let _ = writeln!(lines, "at {at:.2} cut leader workers for={duration_s:.2}");
                1
            }
            _ => {
                let _ = writeln!(
                    lines,
                    "at {at:.2} crash all for={:.2}",
                    rng.random_range(0.1..5.0)
                );
                1
            }
        };
        Fault { lines, terms }
    }
}

/// Returns the scenario of a seed.
pub fn scenario(seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut text =
        format!("# Seed {seed}.\nteams 400\nat 0 no-capacity large ordinary\nat 0 no-capacity * spot\n");
    let tasks = rng.random_range(4..=30);
    let boot_s = [1.5, 4.0, 10.0][rng.random_range(0..3)];
    let _ = writeln!(text, "at 0 boots {boot_s} {boot_s}");
    // Each task fills one machine. The replicas and the tasks in one zone have machines of their own.
    let _ = writeln!(
        text,
        "at 1 submit wk-1 tasks={tasks} run={RUN_S} gpus=4 types=small"
    );
    let replicas = rng.random_range(1..=4);
    let _ = writeln!(
        text,
        "at 2 submit wk-2 shape=daemon class=live tasks={replicas} gpus=4 types=small priority=critical"
    );
    let zoned = rng.random_range(1..=6);
    let _ = writeln!(
        text,
        "at 3 submit wk-3 class=other tasks={zoned} run={RUN_S} gpus=4 types=small zone=west"
    );
    // New machines boot just before and just after the failure.
    let booting = rng.random_range(0..=5);
    if booting > 0 {
        let at = FAILURE_S - rng.random_range(0.0..boot_s);
        let _ = writeln!(
            text,
            "at {at:.2} submit wk-4 tasks={booting} run=40 gpus=4 types=small"
        );
    }
    add_failure(&mut text, tasks, &mut rng);
    let fault = Fault::draw(&mut rng);
    text.push_str(&fault.lines);
    let _ = writeln!(text, "until {END_S}");
    let _ = writeln!(
        text,
        "expect wk-1 told done\nexpect wk-3 told done\nexpect wk-2 running = {replicas}"
    );
    let _ = writeln!(text, "expect leaders = 1\nexpect terms <= {}", 1 + fault.terms);
    text
}

/// Adds machines that stop: a share of those of the first job, or all in one zone or in both.
fn add_failure(text: &mut String, tasks: u32, rng: &mut SmallRng) {
    let zones: &[&str] = match rng.random_range(0..6) {
        0 => &["east", "west"],
        1 => &["west"],
        _ => &[],
    };
    for zone in zones {
        let _ = writeln!(text, "at {FAILURE_S} die-in {zone} part=1");
    }
    if zones.is_empty() {
        let share = rng.random_range(0.1..1.0);
        let stopped = (share * f64::from(tasks)).ceil() as u32;
        for task in 0..stopped {
            let _ = writeln!(text, "at {FAILURE_S} die of:wk-1/{task}?");
        }
    }
}
