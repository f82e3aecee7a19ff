//! Random scenarios in which machines stop, in any share of the fleet, beside an end or a standstill of the leader. Their
//! tasks are started again, and leaders do not hand over to each other for good. To run more seeds, use
//! `MACHINE_FAILURES_SEEDS=2000 cargo test --release -p indigopath-controller --test machine_failures_seeds -- --nocapture`;
//! for several faults at a time, `MACHINE_FAULT_COMBINATIONS_SEEDS`.

#[path = "generators/machine_failures.rs"]
mod generator;

use generator::{combined_scenario, scenario};
use indigopath_simulator::SeedResults;

/// Number of seeds of each kind that run by default, which takes a few seconds.
const SEEDS: u64 = 100;

fn assert_none_failed(seeds: &SeedResults) {
    assert!(
        seeds.failed.is_empty(),
        "of seeds {:?}, {:?} failed",
        seeds.played,
        seeds.failed
    );
}

#[test]
fn tasks_of_machines_that_stop_are_started_again() {
    let seeds =
        indigopath_simulator::run_seeds("MACHINE_FAILURES", SEEDS, scenario, indigopath_simulator::run);
    assert_none_failed(&seeds);
}

/// Guards against work that waits for good after several faults at a time under one leader, which starts nothing anew.
#[test]
fn tasks_of_machines_that_stop_beside_several_faults_are_started_again() {
    let seeds = indigopath_simulator::run_seeds(
        "MACHINE_FAULT_COMBINATIONS",
        SEEDS,
        combined_scenario,
        indigopath_simulator::run,
    );
    assert_none_failed(&seeds);
}
