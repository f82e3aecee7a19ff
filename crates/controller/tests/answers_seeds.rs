//! Random scenarios of two users who access the same jobs through two nodes: they submit, resubmit, poll
//! and cancel within milliseconds of each other and of the job's end by the leader, while responses of the
//! state service are withheld and a peer is partitioned, hangs or crashes. Every scenario checks that no
//! response is older than one that was given before. To run more seeds, use
//! `ANSWERS_SEEDS=2000 cargo test --release -p indigopath-controller --test answers_seeds -- --nocapture`.

#[path = "generators/answers.rs"]
mod generator;

use generator::scenario;

/// Number of seeds that run by default, which takes a second or two.
const SEEDS: u64 = 24;

#[test]
fn no_response_is_older_than_an_earlier_one() {
    let seeds = indigopath_simulator::run_seeds("ANSWERS", SEEDS, scenario, indigopath_simulator::run);
    assert!(
        seeds.failed.is_empty(),
        "of seeds {:?}, {:?} failed",
        seeds.played,
        seeds.failed
    );
}
