//! Generates random scenarios of two users who access the same jobs through two nodes around their ends.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt::Write;

/// Number of jobs in a scenario. The last two run until they are cancelled, the others end by themselves.
const JOBS: usize = 8;
/// Number of periods of a second or two in which a job's users are active.
const ACTIVE_PERIODS: usize = 4;

/// Returns the scenario of a seed.
pub fn scenario(seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut text = format!("# Seed {seed}.\nteams 200\n");
    let mut cancelled_jobs = Vec::new();
    for job in 1..=JOBS {
        let shape = if job + 2 > JOBS {
            "shape=daemon tasks=1".to_owned()
        } else {
            format!("tasks=1 run={:.2} image_gb=0.1", rng.random_range(8.0..14.0))
        };
        let submitted_at = rng.random_range(1.0..6.0);
        writeln!(text, "at {submitted_at:.2} submit wk-{job} {shape}").unwrap();
        // Two nodes, and periods of a second or two: one at its acceptance, the others around its end.
        let nodes = [rng.random_range(0..3), rng.random_range(0..3)];
        let is_cancelled = rng.random_range(0..3) == 0 || job + 2 > JOBS;
        for period in 0..ACTIVE_PERIODS {
            let period_start = if period == 0 {
                submitted_at
            } else {
                rng.random_range(18.0..42.0)
            };
            for _ in 0..rng.random_range(3..9) {
                let at = period_start + rng.random_range(0.0..1.5);
                let node = nodes[rng.random_range(0..2usize)];
                if rng.random_range(0..3) == 0 {
                    let call = ["/multi:j/wk-", "/store/j/wk-"][rng.random_range(0..2usize)];
                    let delay_s = rng.random_range(0.1..2.5);
                    writeln!(text, "at {at:.2} withhold n{node} {delay_s:.2} {call}{job}").unwrap();
                }
                // A poll sent before its user knows of the acceptance may get a 404 just after it. This window
                // is short but not closed (docs/design/commit-wait.md).
                let verb = ["ask", "ask", "repeat"][rng.random_range(0..3usize)];
                let verb = if period == 0 { "repeat" } else { verb };
                writeln!(text, "at {at:.2} {verb} wk-{job} node=n{node}").unwrap();
            }
            if is_cancelled && period + 1 == ACTIVE_PERIODS {
                let at = period_start + rng.random_range(0.0..1.0);
                writeln!(
                    text,
                    "at {at:.2} withdraw wk-{job} node=n{}",
                    nodes[rng.random_range(0..2usize)]
                )
                .unwrap();
                cancelled_jobs.push(job);
            }
        }
    }
    // A fault of a peer, in some of the scenarios.
    let (at, node, duration_s) = (
        rng.random_range(18.0..40.0),
        rng.random_range(0..3),
        rng.random_range(0.1..4.0),
    );
    let peer = (node + 1) % 3;
    match rng.random_range(0..8) {
        0 => writeln!(text, "at {at:.2} cut n{node} n{peer} for={duration_s:.2}").unwrap(),
        1 => writeln!(text, "at {at:.2} cut n{node} n{peer} hold for={duration_s:.2}").unwrap(),
        2 => writeln!(text, "at {at:.2} freeze n{node} for={duration_s:.2}").unwrap(),
        3 => writeln!(text, "at {at:.2} crash n{node} for={duration_s:.2}").unwrap(),
        4 => writeln!(text, "at {at:.2} stall n{node} for={duration_s:.2}").unwrap(),
        _ => (),
    }
    if rng.random_range(0..3) == 0 {
        writeln!(text, "at {at:.2} late-writes share=0.3 at-once for=5").unwrap();
    }
    text.push_str("until 70\nexpect live jobs <= 1\n");
    for job in cancelled_jobs.into_iter().filter(|job| job + 2 > JOBS) {
        writeln!(text, "expect wk-{job} told cancelled").unwrap();
    }
    text
}
