//! Generates random scenarios in which a share of all machines stops at once, beside an end or a standstill of the
//! leader, controllers that cannot connect to each other, or a leader that is cut off from the workers. Further ones add
//! faults of the network, of machines and of the outside systems, several at a time.

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
/// When the expectations of scenarios with several faults are checked, in s: these last until 200 s at the latest.
const COMBINATION_END_S: u64 = 480;
/// Most faults at a time, beside the failure of the machines.
const MAX_FAULTS: u32 = 3;
/// Longest time for which a machine hangs, in s: within its lease, as the protocol says.
const LONGEST_HANG_S: f64 = 28.0;

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
                let _ = writeln!(lines, "at {at:.2} cut leader? workers for={duration_s:.2}");
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

/// Draws a fault of the network, of machines or of the outside systems.
fn draw_network_fault(rng: &mut SmallRng) -> Fault {
    let at = FAILURE_S + rng.random_range(-3.0..40.0);
    let duration_s = rng.random_range(3.0..50.0);
    let share = rng.random_range(0.2..1.0);
    let line = match rng.random_range(0..8) {
        0 => "outage cloud".to_owned(),
        1 => "outage state".to_owned(),
        2 => "refuse leader?".to_owned(),
        3 => format!("cut n{} workers", rng.random_range(0..CONTROLLERS)),
        4 => format!("deaf share={share:.2}"),
        5 => format!("mute share={share:.2}"),
        6 => format!("late-reports share={share:.2}"),
        _ => format!("late-reports share={share:.2} for-next after=2"),
    };
    Fault {
        lines: format!("at {at:.2} {line} for={duration_s:.2}\n"),
        terms: CONTROLLERS,
    }
}

/// Draws a series of ends of the leader, so that terms are shorter than the leases of workers.
fn draw_short_terms(rng: &mut SmallRng) -> Fault {
    let mut at = FAILURE_S + rng.random_range(-3.0..40.0);
    let interval_s = rng.random_range(6.0..16.0);
    let terms = rng.random_range(3..10);
    let mut lines = String::new();
    for _ in 0..terms {
        let downtime_s = rng.random_range(0.1..5.0);
        let _ = writeln!(lines, "at {at:.2} crash leader? for={downtime_s:.2}");
        at += interval_s;
    }
    Fault { lines, terms }
}

/// What users have asked for before the machines stop.
struct Workload {
    /// Tasks of the first job, each on a machine of its own.
    tasks: u32,
    /// Replicas of the service.
    replicas: u32,
}

impl Workload {
    /// Draws the work, and adds its submissions. New machines boot just before and just after the failure.
    fn add(text: &mut String, rng: &mut SmallRng) -> Workload {
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
        let booting = rng.random_range(0..=5);
        if booting > 0 {
            let at = FAILURE_S - rng.random_range(0.0..boot_s);
            let _ = writeln!(
                text,
                "at {at:.2} submit wk-4 tasks={booting} run=40 gpus=4 types=small"
            );
        }
        Workload { tasks, replicas }
    }

    /// Adds the expectations that all work is done, and that no more terms have begun.
    fn expect(&self, text: &mut String, until_s: u64, terms: u32) {
        let _ = writeln!(text, "until {until_s}");
        let _ = writeln!(
            text,
            "expect wk-1 told done\nexpect wk-3 told done\nexpect wk-2 running = {}",
            self.replicas
        );
        let _ = writeln!(text, "expect leaders = 1\nexpect terms <= {terms}");
    }
}

/// The first lines of a scenario.
fn header(seed: u64) -> String {
    format!("# Seed {seed}.\nteams 400\nat 0 no-capacity large ordinary\nat 0 no-capacity * spot\n")
}

/// Returns the scenario of a seed with one fault at most beside the failure.
pub fn scenario(seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut text = header(seed);
    let workload = Workload::add(&mut text, &mut rng);
    add_failure(&mut text, workload.tasks, &mut rng);
    let fault = Fault::draw(&mut rng);
    text.push_str(&fault.lines);
    workload.expect(&mut text, END_S, 1 + fault.terms);
    text
}

/// Returns the scenario of a seed with up to [`MAX_FAULTS`] faults beside machines that stop or hang.
pub fn combined_scenario(seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut text = header(seed);
    let workload = Workload::add(&mut text, &mut rng);
    if rng.random_range(0..4) == 0 {
        add_hanging(&mut text, workload.tasks, &mut rng);
    } else {
        add_failure(&mut text, workload.tasks, &mut rng);
    }
    // Each controller may be the one that hands over without evidence.
    let mut terms = 1 + CONTROLLERS;
    for _ in 0..rng.random_range(1..=MAX_FAULTS) {
        let fault = match rng.random_range(0..5) {
            0 => draw_short_terms(&mut rng),
            1 | 2 => Fault::draw(&mut rng),
            _ => draw_network_fault(&mut rng),
        };
        text.push_str(&fault.lines);
        terms += fault.terms;
    }
    workload.expect(&mut text, COMBINATION_END_S, terms);
    text
}

/// Adds machines that hang for a while: a share of those of the first job.
fn add_hanging(text: &mut String, tasks: u32, rng: &mut SmallRng) {
    let hang_s = rng.random_range(5.0..LONGEST_HANG_S);
    for task in 0..share_of(tasks, rng) {
        let _ = writeln!(text, "at {FAILURE_S} hang of:wk-1/{task}? for={hang_s:.2}");
    }
}

/// Draws a share of these tasks, at least one of them.
fn share_of(tasks: u32, rng: &mut SmallRng) -> u32 {
    let share = rng.random_range(0.1..1.0);
    (share * f64::from(tasks)).ceil() as u32
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
        for task in 0..share_of(tasks, rng) {
            let _ = writeln!(text, "at {FAILURE_S} die of:wk-1/{task}?");
        }
    }
}
