//! Random scenarios of units of counted resources while leaders and machines fail.
//!
//! Guards against a leader that counts more seats as taken than exist, while the licence server refuses
//! nothing. No task starts while a resource is oversubscribed, so free seats stayed unused and jobs waited.
//! It was found with real controllers on loopback that were killed at random, by the line `counted resource
//! oversubscribed count=seat units=4 held=8 lingering=0 others=0 attempts=[… inherited=true
//! state=uncertain; …] lingers=[] server_age_ms=1938 in_use=0`: all counted units came from records of the
//! former leader, and the server knew of no seat in use.
//!
//! Each seed is a scenario that compares, ten times a second, the leader's counts with the seats that tasks
//! have: the leader may never count fewer than these, and never more than exist. A few seeds run by default.
//! To run more, use `COUNTS_SEEDS=2000 cargo test --release -p indigopath-controller --test counts_seeds`.
//! The scenario of a failing seed is printed.

#[path = "generators/counts.rs"]
mod generator;

use generator::scenario;

/// Number of seeds that run by default, which takes a few seconds.
const SEEDS: u64 = 60;

/// Ignores violations that other tests check: the share of served work, how soon large jobs start, and tasks
/// that wait although there is capacity. The last check does not know that units are reserved for an older,
/// larger request (with seed 234 one of three units, for a job that needs two at once).
fn ignore_unrelated_problems(problem: &str) -> Result<(), String> {
    let ignored_rules = ["unserved", "largest", "waits"];
    let is_relevant = |line: &&str| !ignored_rules.iter().any(|rule| line.starts_with(rule));
    let remaining: Vec<&str> = problem.lines().filter(is_relevant).collect();
    if remaining.is_empty() {
        Ok(())
    } else {
        Err(remaining.join("\n"))
    }
}

#[test]
fn a_leaders_unit_counts_match_the_running_tasks() {
    let seeds = indigopath_simulator::run_seeds("COUNTS", SEEDS, scenario, |text| {
        indigopath_simulator::run(text).or_else(|problem| ignore_unrelated_problems(&problem))
    });
    assert!(
        seeds.failed.is_empty(),
        "of seeds {:?}, {:?} failed",
        seeds.played,
        seeds.failed
    );
}
