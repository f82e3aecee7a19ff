//! Mixes of work and passing troubles at random, by seed: each seed is a scenario, judged above all by
//! whether anybody waits in vain once the troubles are over. A few run with the other tests; as many as
//! wanted with `WAITING_SEEDS=2000 cargo test -p indigopath-controller --test waiting_seeds`. A failing seed is
//! printed as the scenario that it is.

#[path = "generators/waiting.rs"]
mod generator;

use generator::scenario;

/// Seeds played where nothing else is said: a few seconds.
const SEEDS: u64 = 24;

/// How much of the work is served, and how soon, is for other tests: some of it fits badly.
fn judged(problem: &str) -> Result<(), String> {
    let share = |line: &&str| !line.starts_with("unserved") && !line.starts_with("largest");
    let left: Vec<&str> = problem.lines().filter(share).collect();
    if left.is_empty() {
        Ok(())
    } else {
        Err(left.join("\n"))
    }
}

#[test]
fn nobody_waits_in_vain() {
    let seeds = indigopath_simulator::run_seeds("WAITING", SEEDS, scenario, |text| {
        indigopath_simulator::run(text).or_else(|problem| judged(&problem))
    });
    assert!(
        seeds.failed.is_empty(),
        "of {:?} failed {:?}",
        seeds.played,
        seeds.failed
    );
}
