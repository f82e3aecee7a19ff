//! Scenarios drawn by seed, or alike but for their timings, as tests play them.

use crate::{run, run_cases};

/// Failing seeds that are printed as the scenarios that they are; the others by number alone.
const MAX_PRINTED_FAILURES: usize = 30;

/// What became of some seeds.
pub struct SeedResults {
    /// All that were played.
    pub played: std::ops::Range<u64>,
    pub failed: Vec<u64>,
}

/// Plays so many seeds where nothing else is said, or as many as the environment's `NAME_SEEDS` says, from
/// `NAME_FROM` on. Prints each that fails.
///
/// # Panics
/// Where one of these is no number.
pub fn run_seeds(
    name: &str,
    usual: u64,
    scenario: impl Fn(u64) -> String + Sync,
    play: impl Fn(&str) -> Result<(), String> + Sync,
) -> SeedResults {
    let asked = |what: &str, usual: u64| {
        let text = std::env::var(format!("{name}_{what}"));
        text.map_or(usual, |text| text.parse().expect("a number of seeds"))
    };
    let from = asked("FROM", 0);
    let all = from..from + asked("SEEDS", usual);
    let seed = |at: usize| from + at as u64;
    let count = (all.end - all.start) as usize;
    let failed = run_cases(count, |at| play(&scenario(seed(at))));
    println!("{count} seeds from {from} on, {} failed", failed.len());
    for (at, problem) in failed.iter().take(MAX_PRINTED_FAILURES) {
        let told = problem.replace('\n', "\n# ");
        println!("# seed {}: {told}\n{}", seed(*at), scenario(seed(*at)));
    }
    SeedResults {
        played: all,
        failed: failed.into_iter().map(|(at, _)| seed(at)).collect(),
    }
}

/// Times from one on, so far apart, up to another.
pub fn time_steps(from: f64, to: f64, every: f64) -> impl Iterator<Item = f64> {
    let count = ((to - from) / every).round() as u32;
    (0..count).map(move |step| from + f64::from(step) * every)
}

/// Plays scenarios of one kind, and prints how many failed and the first of them; returns how many.
pub fn run_variants(kind: &str, ways: &[String]) -> usize {
    let failed = run_cases(ways.len(), |at| run(&ways[at]));
    println!("{kind}: {} ways, {} failed", ways.len(), failed.len());
    for (at, problem) in failed.iter().take(MAX_PRINTED_FAILURES) {
        println!("---\n{}{problem}", ways[*at]);
    }
    failed.len()
}
