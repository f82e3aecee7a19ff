//! Overlapping faults, by seed, over shifts, the teams' books and models' weights at once: protected
//! replicas with heavy images, a flood of one team, batch in the spare room, windows that open and close
//! under controllers whose clocks differ, and two to five faults on top of each other, mostly within
//! seconds of an edge. All oracles judge. A few seeds run with the other tests; as many as wanted with
//! `PACKAGES_SEEDS=20000 cargo test --release -p indigopath-controller --test packages_seeds`
//! (`PACKAGES_FROM=5000` begins with that seed). A failing seed is printed as the scenario that it is.

#[path = "generators/packages.rs"]
mod generator;

use generator::scenario;

/// Seeds played where nothing else is said: a few seconds.
const SEEDS: u64 = 24;

#[test]
fn overlapping_faults_over_shifts_books_and_weights_break_nothing() {
    let seeds = indigopath_simulator::run_seeds("PACKAGES", SEEDS, scenario, indigopath_simulator::run);
    assert!(
        seeds.failed.is_empty(),
        "of {:?} failed {:?}",
        seeds.played,
        seeds.failed
    );
}
