//! Random scenarios of two overlapping combinations of faults: each seed places the second within the first,
//! mostly within 3 s of one of its turning points, such as an election, the start or end of an outage, or the
//! confirmation of a cancellation. The seeds iterate over all ordered pairs; by default each pair runs once.
//! To run more seeds, use
//! `PAIRS_SEEDS=20000 cargo test --release -p indigopath-controller --test pairs_seeds -- --nocapture`
//! (`PAIRS_FROM=5000` starts at that seed). The scenario of a failing seed is printed.

#[path = "generators/pairs.rs"]
mod generator;

use generator::{SEEDS, pair, scenario};
use std::collections::BTreeMap;

#[test]
fn pairs_of_fault_combinations_violate_no_rule() {
    let seeds = indigopath_simulator::run_seeds("PAIRS", SEEDS, scenario, indigopath_simulator::run);
    let mut results: BTreeMap<(&str, &str), (usize, usize)> = BTreeMap::new();
    for seed in seeds.played.clone() {
        results.entry(pair(seed)).or_default().0 += 1;
    }
    for seed in &seeds.failed {
        results.entry(pair(*seed)).or_default().1 += 1;
    }
    for ((first, second), (played, violated)) in &results {
        println!("{second} within {first}: {played} played, {violated} failed");
    }
    println!("{} pairs", results.len());
    assert!(
        seeds.failed.is_empty(),
        "of seeds {:?}, {:?} failed",
        seeds.played,
        seeds.failed
    );
}
