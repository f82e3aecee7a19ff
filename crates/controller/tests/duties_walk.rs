//! A walk over what may become of each act of a leader, in a small world: three controllers, two
//! rented machines and one that nobody asked for, two jobs, of which the second comes as the machines
//! of the first are to go back. Acts are
//! a leader's transactions, direct commands with orders, rentals and returns. Each may be lost,
//! lose its answer, be carried out late, or be its sender's last before or after it, or the
//! state service refuses its sender from then on.
//!
//! Every way with one deviation is played here, every one in which something is late and a sender
//! ends later, and a part of the others with two; all of them with
//! `DUTIES_WALK=all cargo test --release -p indigopath-controller --test duties_walk`. What must hold in each: the
//! rules, nothing of a replaced leader that its successor could not know of, both jobs done, one leader.

use indigopath_simulator::{Deviation, run_cases, run_with_deviations};
use std::collections::BTreeMap;

const WORLD: &str = "\
teams 200
at 0 no-capacity large ordinary
at 1 submit wk-1 tasks=2 run=8 gpus=4
at 2 stranger small east
at 40 submit wk-2 tasks=3 run=8 gpus=4
until 170
expect wk-1 told done
expect wk-2 told done
expect unknown acts = 0
expect leaders = 1
";

/// Of the other ways with two deviations, one in so many is played with the other tests.
const SAMPLE: usize = 61;

type Way = BTreeMap<usize, Deviation>;

fn ways(acts: usize, every: usize) -> Vec<Way> {
    let single = |at: usize| Deviation::ALL.map(|deviation| (at, deviation));
    let singles: Vec<(usize, Deviation)> = (0..acts).flat_map(single).collect();
    let mut ways: Vec<Way> = singles.iter().map(|one| Way::from([*one])).collect();
    let pairs = singles.iter().flat_map(|first| {
        let later = singles.iter().filter(move |second| second.0 > first.0);
        later.map(move |second| Way::from([*first, *second]))
    });
    // What is late, and its sender's end: all of these, as they are what intents are for.
    let crosses = |way: &Way| way.values().eq([&Deviation::Delay, &Deviation::CrashAfter]);
    let (crossing, others): (Vec<Way>, Vec<Way>) = pairs.partition(crosses);
    ways.extend(crossing);
    ways.extend(others.into_iter().step_by(every));
    ways
}

#[test]
fn whatever_becomes_of_an_act_the_next_leader_knows() {
    let (outcome, acts) = run_with_deviations(WORLD, &Way::new());
    outcome.expect("without a deviation");
    assert!(acts >= 8, "{acts} acts");
    let all = std::env::var("DUTIES_WALK").is_ok_and(|which| which == "all");
    let ways = ways(acts, if all { 1 } else { SAMPLE });
    let failed = run_cases(ways.len(), |at| run_with_deviations(WORLD, &ways[at]).0);
    println!("{acts} acts, {} ways, {} failed", ways.len(), failed.len());
    for (at, problem) in failed.iter().take(5) {
        println!("{:?}: {problem}", ways[*at]);
    }
    assert!(failed.is_empty(), "{} of {} ways", failed.len(), ways.len());
}
