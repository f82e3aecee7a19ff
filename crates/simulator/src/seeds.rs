//! Runs scenarios that are generated from seeds or that differ only in their timings.

use crate::{run, run_cases};

/// Failing scenarios that are printed in full; the others are only counted.
const MAX_PRINTED_FAILURES: usize = 30;

/// The outcome of a range of seeds.
pub struct SeedResults {
    /// All seeds that were run.
    pub played: std::ops::Range<u64>,
    pub failed: Vec<u64>,
}

/// Runs `default_count` seeds, or the number in the environment variable `NAME_SEEDS`, starting at
/// `NAME_FROM`. Prints each failing scenario.
///
/// # Panics
/// If one of these variables is not a number.
pub fn run_seeds(
    name: &str,
    default_count: u64,
    scenario: impl Fn(u64) -> String + Sync,
    run_scenario: impl Fn(&str) -> Result<(), String> + Sync,
) -> SeedResults {
    let from_environment = |what: &str, default_count: u64| {
        let text = std::env::var(format!("{name}_{what}"));
        text.map_or(default_count, |text| text.parse().expect("not a number"))
    };
    let from = from_environment("FROM", 0);
    let range = from..from + from_environment("SEEDS", default_count);
    let seed = |at: usize| from + at as u64;
    let count = (range.end - range.start) as usize;
    let failed = run_cases(count, |at| run_scenario(&scenario(seed(at))));
    println!("{count} seeds from {from} on, {} failed", failed.len());
    for (at, problem) in failed.iter().take(MAX_PRINTED_FAILURES) {
        let commented = problem.replace('\n', "\n# ");
        println!("# seed {}: {commented}\n{}", seed(*at), scenario(seed(*at)));
    }
    SeedResults {
        played: range,
        failed: failed.into_iter().map(|(at, _)| seed(at)).collect(),
    }
}

/// Returns the times from `from` up to `to` at a fixed interval.
pub fn time_steps(from: f64, to: f64, every: f64) -> impl Iterator<Item = f64> {
    let count = ((to - from) / every).round() as u32;
    (0..count).map(move |step| from + f64::from(step) * every)
}

/// Runs variants of a scenario and prints how many failed and the first of them; returns the number
/// of failures.
pub fn run_variants(kind: &str, variants: &[String]) -> usize {
    let failed = run_cases(variants.len(), |at| run(&variants[at]));
    println!("{kind}: {} ways, {} failed", variants.len(), failed.len());
    for (at, problem) in failed.iter().take(MAX_PRINTED_FAILURES) {
        println!("---\n{}{problem}", variants[*at]);
    }
    failed.len()
}
