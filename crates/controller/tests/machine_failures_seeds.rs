//! Random scenarios in which machines stop, in any share of the fleet, beside an end or a standstill of the leader. Their
//! tasks are started again, and leaders do not hand over to each other for good. To run more seeds, use
//! `MACHINE_FAILURES_SEEDS=2000 cargo test --release -p indigopath-controller --test machine_failures_seeds -- --nocapture`.

#[path = "generators/machine_failures.rs"]
mod generator;

use generator::scenario;

/// Number of seeds that run by default, which takes a few seconds.
const SEEDS: u64 = 100;

#[test]
fn tasks_of_machines_that_stop_are_started_again() {
    let seeds =
        indigopath_simulator::run_seeds("MACHINE_FAILURES", SEEDS, scenario, indigopath_simulator::run);
    assert!(
        seeds.failed.is_empty(),
        "of seeds {:?}, {:?} failed",
        seeds.played,
        seeds.failed
    );
}
