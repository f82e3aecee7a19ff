//! Two users at two nodes on one job, again and again: they submit, repeat, ask and withdraw within
//! milliseconds of each other and of its end by the leader, while answers of the state service are
//! withheld and a peer is cut off, stands still or ends. By seed; every scenario judges that no
//! answer is older than one that was given before. As many as wanted, with
//! `ANSWERS_SEEDS=2000 cargo test --release -p indigopath-controller --test answers_seeds -- --nocapture`.

#[path = "generators/answers.rs"]
mod generator;

use generator::scenario;

/// Seeds played where nothing else is said: a second or two.
const SEEDS: u64 = 24;

#[test]
fn no_answer_is_older_than_one_given_before() {
    let seeds = indigopath_simulator::run_seeds("ANSWERS", SEEDS, scenario, indigopath_simulator::run);
    assert!(
        seeds.failed.is_empty(),
        "of {:?} failed {:?}",
        seeds.played,
        seeds.failed
    );
}
