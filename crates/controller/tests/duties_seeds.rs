//! Overlapping faults at random, by seed: each seed is a scenario, played with all its oracles. A few
//! run with the other tests; as many as wanted with
//! `DUTIES_SEEDS=20000 cargo test --release -p indigopath-controller --test duties_seeds`. A failing seed is printed
//! as the scenario that it is.

#[path = "generators/duties.rs"]
mod generator;

use generator::scenario;

/// Seeds played where nothing else is said: a few seconds.
const SEEDS: u64 = 60;

#[test]
fn overlapping_faults_break_nothing() {
    let seeds = indigopath_simulator::run_seeds("DUTIES", SEEDS, scenario, indigopath_simulator::run);
    assert!(
        seeds.failed.is_empty(),
        "of {:?} failed {:?}",
        seeds.played,
        seeds.failed
    );
}
