//! Two troubles that meet, by seed: each seed draws two meetings of troubles and places the second
//! within the first, mostly within 3 s of one of its turns: an election, an outage's edge, the
//! confirmation of a cancellation. Every ordered pair is drawn in turn, so that so many seeds as there
//! are pairs play each once; that many run with the other tests. As many as wanted, with
//! `PAIRS_SEEDS=20000 cargo test --release -p indigopath-controller --test pairs_seeds -- --nocapture`
//! (`PAIRS_FROM=5000` begins with that seed). A failing seed is printed as the scenario that it is.

#[path = "generators/pairs.rs"]
mod generator;

use generator::{SEEDS, pair, scenario};
use std::collections::BTreeMap;

#[test]
fn pairs_of_troubles_break_nothing() {
    let seeds = indigopath_simulator::run_seeds("PAIRS", SEEDS, scenario, indigopath_simulator::run);
    let mut drawn: BTreeMap<(&str, &str), (usize, usize)> = BTreeMap::new();
    for seed in seeds.played.clone() {
        drawn.entry(pair(seed)).or_default().0 += 1;
    }
    for seed in &seeds.failed {
        drawn.entry(pair(*seed)).or_default().1 += 1;
    }
    for ((first, second), (played, broke)) in &drawn {
        println!("{second} within {first}: {played} played, {broke} failed");
    }
    println!("{} pairs", drawn.len());
    assert!(
        seeds.failed.is_empty(),
        "of {:?} failed {:?}",
        seeds.played,
        seeds.failed
    );
}
