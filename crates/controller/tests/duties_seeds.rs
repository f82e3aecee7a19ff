//! Random scenarios of overlapping faults, each of which is checked by all rules of the simulator. A few
//! seeds run by default. To run more, use
//! `DUTIES_SEEDS=20000 cargo test --release -p indigopath-controller --test duties_seeds`. The scenario of a
//! failing seed is printed.

#[path = "generators/duties.rs"]
mod generator;

use generator::scenario;

/// Number of seeds that run by default, which takes a few seconds.
const SEEDS: u64 = 60;

#[test]
fn overlapping_faults_violate_no_rule() {
    let seeds = indigopath_simulator::run_seeds("DUTIES", SEEDS, scenario, indigopath_simulator::run);
    assert!(
        seeds.failed.is_empty(),
        "of seeds {:?}, {:?} failed",
        seeds.played,
        seeds.failed
    );
}
