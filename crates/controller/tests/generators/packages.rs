//! Generates random scenarios of overlapping faults with protection windows, team accounting and image
//! locality in use at once.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt::Write;

/// When the protection windows below start and end, in s. A scenario begins at 22:13:20.
const WINDOW_EDGES_S: [f64; 4] = [40.0, 100.0, 160.0, 220.0];
/// Duration of a scenario, in s.
const DURATION_S: u64 = 330;

/// Adds the submissions and cancellations.
fn add_workload(rng: &mut SmallRng, lines: &mut Vec<(f64, String)>) {
    let gb = rng.random_range(1..=30);
    for (job, team) in [(1, "blue"), (2, "red")] {
        let at = rng.random_range(1.0..20.0);
        let tasks = rng.random_range(1..=4);
        let placement = ["", " apart=yes"][rng.random_range(0..2)];
        lines.push((
            at,
            format!(
                "submit wk-{job} shape=daemon class=live team={team} tasks={tasks} gpus=1 priority=critical \
                 image=model-{job} image_gb={gb}{placement}"
            ),
        ));
    }
    let at = rng.random_range(20.0..60.0);
    lines.push((
        at,
        format!("submit wk-3 shape=daemon class=other team=blue tasks=2 gpus=1 image=model-1 image_gb={gb}"),
    ));
    let (tasks, run) = (rng.random_range(4..=20), rng.random_range(10..=40));
    lines.push((
        rng.random_range(1.0..30.0),
        format!("submit wk-10 tasks={tasks} run={run} gpus=1 count=3 every=12 team=red"),
    ));
    let (tasks, run) = (rng.random_range(2..=3), rng.random_range(15..=60));
    lines.push((
        rng.random_range(1.0..50.0),
        format!("submit wk-20 shape=gang tasks={tasks} run={run} gpus=2 checkpoint=10 save=2 team=green"),
    ));
    // These end or are cancelled throughout, so that every fault coincides with writes of the accounting.
    lines.push((
        rng.random_range(10.0..30.0),
        "submit wk-100 tasks=1 run=4 gpus=0 cpus=1 count=25 every=6 team=green".to_owned(),
    ));
    for job in [101, 104, 109, 113, 3] {
        if rng.random_range(0..2) == 0 {
            let at: f64 = rng.random_range(62.0..200.0);
            // Not before its submission.
            lines.push((
                at.max(30.0 + 6.0 * f64::from(job % 100)),
                format!("withdraw wk-{job}"),
            ));
        }
    }
    if rng.random_range(0..3) == 0 {
        let at = rng.random_range(20.0..150.0);
        lines.push((
            at,
            "flood wk-100000 team=red rate=40 for=6 gpus=0 cpus=1 run=2".to_owned(),
        ));
    }
}

/// Adds a random fault, mostly near the start or end of a window.
fn add_fault(rng: &mut SmallRng, lines: &mut Vec<(f64, String)>) {
    let at = if rng.random_range(0..4) == 0 {
        rng.random_range(30.0..230.0)
    } else {
        WINDOW_EDGES_S[rng.random_range(0..WINDOW_EDGES_S.len())] + rng.random_range(-4.0..6.0)
    };
    let duration_s = rng.random_range(3..=25);
    let downtime_s = rng.random_range(0.1..5.0);
    let node = rng.random_range(0..3);
    let task = ["1/0", "2/0", "3/0", "10/1"][rng.random_range(0..4)];
    let action = match rng.random_range(0..16) {
        0 | 1 => format!("crash leader? for={downtime_s:.2}"),
        2 => format!("crash all for={downtime_s:.2}"),
        3 => format!("refuse leader? for={duration_s}"),
        4 => format!("outage state for={duration_s}"),
        5 => format!("outage cloud for={duration_s}"),
        6 => format!("freeze n{node} for={duration_s}"),
        7 => format!("late-writes share=0.3 for={duration_s}"),
        8 => format!("late-reports share=0.4 for={duration_s}"),
        9 => format!("slow-state times=40 share=0.1 for={duration_s}"),
        10 => "die-in west part=3".to_owned(),
        11 => format!("die of:wk-{task}?"),
        12 => format!("cut zone:west * hold for={duration_s}"),
        13 => format!("deaf share=0.4 for={duration_s}"),
        // A node's clock jumps, within the configured bound.
        14 => {
            let offset_s = ["-0.9", "-0.4", "0.4", "0.9"][rng.random_range(0..4)];
            format!("clock n{node} {offset_s}")
        }
        _ => format!("hang of:wk-{task}? for={duration_s}"),
    };
    lines.push((at, action));
}

/// Returns the scenario of a seed.
pub fn scenario(seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut lines = Vec::new();
    add_workload(&mut rng, &mut lines);
    for _ in 0..rng.random_range(2..=5) {
        add_fault(&mut rng, &mut lines);
    }
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut text = format!("# Seed {seed}.\nskew 0.9\nteams 200\n");
    for (name, from, to, options) in [
        (
            "early",
            "22:14",
            "22:16",
            "classes=live rank=2 teams=blue spare=0.1",
        ),
        ("late", "22:15", "22:17", "classes=live rank=1 lead=10"),
    ] {
        let _ = writeln!(text, "shift {name} from={from} to={to} {options}");
    }
    for (at, action) in &lines {
        let _ = writeln!(text, "at {at:.2} {action}");
    }
    let _ = writeln!(
        text,
        "until {DURATION_S}\nexpect leaders = 1\nexpect unknown acts = 0\nexpect book unowned = 0\nexpect wk-20 told done\n\
         expect edges = 4"
    );
    text
}
