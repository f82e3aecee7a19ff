//! Random scenarios of mixed work and temporary faults, which check above all that no task waits although
//! there is capacity for it once the faults are over. A few seeds run by default. To run more, use
//! `WAITING_SEEDS=2000 cargo test -p indigopath-controller --test waiting_seeds`. The scenario of a failing
//! seed is printed.

#[path = "generators/waiting.rs"]
mod generator;

use generator::scenario;

/// Number of seeds that run by default, which takes a few seconds.
const SEEDS: u64 = 24;

/// Ignores violations of the share of served work and of how soon large jobs start: other tests check these,
/// and some of the random work fits badly on the machines.
fn ignore_unrelated_problems(problem: &str) -> Result<(), String> {
    let is_relevant = |line: &&str| !line.starts_with("unserved") && !line.starts_with("largest");
    let remaining: Vec<&str> = problem.lines().filter(is_relevant).collect();
    if remaining.is_empty() {
        Ok(())
    } else {
        Err(remaining.join("\n"))
    }
}

#[test]
fn no_task_waits_although_there_is_capacity() {
    let seeds = indigopath_simulator::run_seeds("WAITING", SEEDS, scenario, |text| {
        indigopath_simulator::run(text).or_else(|problem| ignore_unrelated_problems(&problem))
    });
    assert!(
        seeds.failed.is_empty(),
        "of seeds {:?}, {:?} failed",
        seeds.played,
        seeds.failed
    );
}
