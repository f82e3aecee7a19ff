//! Generates random scenarios of tasks that hold units of counted resources while leaders and machines fail.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt::Write;

/// When the last job is submitted and the last fault begins, in s.
const LAST_FAULT_S: f64 = 140.0;

/// When the expectations are checked, in s: until then every job has time to end, and every unit to be freed.
const END_S: f64 = 420.0;

/// Returns the scenario of a seed.
pub fn scenario(seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut text = site(&mut rng);
    let jobs = rng.random_range(4..=9);
    for job in 0..jobs {
        submit(&mut text, job, &mut rng);
    }
    for _ in 0..rng.random_range(3..=8) {
        let at = rng.random_range(8.0..LAST_FAULT_S);
        let fault = fault(jobs, &mut rng);
        let _ = writeln!(text, "at {at:.2} {fault}");
        // The leader may crash soon after, once or twice within a few seconds.
        for _ in 0..rng.random_range(0..=2) {
            let crash_at = at + rng.random_range(0.1..8.0);
            let downtime_s = rng.random_range(0.1..5.0);
            let _ = writeln!(text, "at {crash_at:.2} crash leader? for={downtime_s:.1}");
        }
    }
    let _ = writeln!(text, "until {END_S}\nexpect leaders = 1");
    text
}

/// The counted resources, and the settings that determine how soon machines and records change.
fn site(rng: &mut SmallRng) -> String {
    let mut text = String::from("teams 60\n");
    let server = if rng.random_bool(0.6) { " server" } else { "" };
    let linger = [2, 20, 60][rng.random_range(0..3)];
    let units = rng.random_range(2..=6);
    let _ = writeln!(text, "count seat units={units} linger={linger}{server}");
    let _ = writeln!(text, "count token units={}", rng.random_range(2..=8));
    let _ = writeln!(text, "idle-return {}", [2, 60][rng.random_range(0..2)]);
    // Only few machines fit in a record.
    if rng.random_bool(0.5) {
        text.push_str("value-kb 2\n");
    }
    text
}

fn submit(text: &mut String, job: u32, rng: &mut SmallRng) {
    let at = rng.random_range(1.0..LAST_FAULT_S * 0.6);
    let seats = rng.random_range(1..=2);
    let tokens = if rng.random_bool(0.3) { ",token:1" } else { "" };
    let (tasks, run) = (rng.random_range(1..=6), rng.random_range(2..=25));
    let gpus = rng.random_range(1..=4);
    let priority = ["urgent", "standard", "low"][rng.random_range(0..3)];
    let _ = writeln!(
        text,
        "at {at:.1} submit wk-{job} tasks={tasks} run={run} gpus={gpus} priority={priority} \
         counts=seat:{seats}{tokens}"
    );
    if rng.random_bool(0.3) {
        let cancelled_at = at + rng.random_range(1.0..40.0);
        // One job is never cancelled, so that some task runs even if the controllers were down for long.
        if job > 0 {
            let _ = writeln!(text, "at {cancelled_at:.1} withdraw wk-{job}");
        }
    }
}

/// A fault of a controller, a machine, a service, a message or a clock.
fn fault(jobs: u32, rng: &mut SmallRng) -> String {
    let machine = format!("of:wk-{}/0?", rng.random_range(0..jobs));
    let duration_s = rng.random_range(1..=25);
    match rng.random_range(0..13) {
        0 => "crash leader?".to_owned(),
        1 => format!("crash all for={:.1}", rng.random_range(0.1..40.0)),
        2 => format!("die {machine}"),
        3 => format!("hang {machine} for={duration_s}"),
        4 => format!("kill {machine}"),
        5 => format!("notice {machine} {duration_s}"),
        6 => format!("late /do {duration_s}"),
        7 => format!("deaf share=0.5 for={}", duration_s + 10),
        8 => format!("mute share=0.5 for={}", duration_s + 10),
        9 => format!("outage licences for={}", duration_s * 3),
        10 => format!("outage state for={duration_s}"),
        // The largest clock error that the settings allow.
        11 => {
            let node = rng.random_range(0..3);
            let offset_s = ["0.05", "-0.05"][rng.random_range(0..2)];
            format!("clock n{node} {offset_s}")
        }
        _ => format!("late-reports share=0.5 for={duration_s}"),
    }
}
