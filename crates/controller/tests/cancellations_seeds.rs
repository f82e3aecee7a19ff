//! Random scenarios of jobs that are cancelled just as they are started, while the leader stands still, cannot be told
//! of the cancellation, or waits for a machine. No start may be sent after a user was told that the job is cancelled.
//! To run more seeds, use
//! `CANCELLATIONS_SEEDS=2000 cargo test --release -p indigopath-controller --test cancellations_seeds -- --nocapture`.

#[path = "generators/cancellations.rs"]
mod generator;

use generator::scenario;

/// Number of seeds that run by default, which takes a few seconds.
const SEEDS: u64 = 200;

#[test]
fn no_start_is_sent_after_a_confirmed_cancellation() {
    let seeds = indigopath_simulator::run_seeds("CANCELLATIONS", SEEDS, scenario, indigopath_simulator::run);
    assert!(
        seeds.failed.is_empty(),
        "of seeds {:?}, {:?} failed",
        seeds.played,
        seeds.failed
    );
}
