use super::*;
use std::sync::Arc;

const ROUND: u64 = 7;
const PEER: usize = 0;
const OTHER_PEER: usize = 1;

fn comparison(machines: u16) -> ReachabilityComparison {
    let machines = (0..machines).map(|number| MachineId(Arc::from(format!("m-{number}"))));
    ReachabilityComparison::new(ROUND, machines.collect(), 0)
}

/// Largest number of machines in these tests.
const MACHINES: u16 = 24;

/// The view of a leader that reaches the first machines and hears no other.
fn reaches(count: u16) -> OwnView {
    OwnView {
        compared: (0..MACHINES).collect(),
        reached: (0..count).collect(),
        heard: (0..count).collect(),
    }
}

/// Records the answers of a peer for all machines, of which it reaches the first ones.
fn answer_all(comparison: &mut ReachabilityComparison, peer: usize, reached: u16) {
    for number in 0..comparison.machines().len() as u16 {
        let answer = ReachabilityAnswer {
            round: ROUND,
            number,
            index: 0,
            reached: number < reached,
            heard: false,
        };
        comparison.record_answer(peer, answer);
    }
}

#[test]
fn a_peer_that_reaches_the_same_machines_is_no_evidence_of_a_partition() {
    let mut comparison = comparison(24);
    answer_all(&mut comparison, PEER, 10);
    assert_eq!(
        comparison.finding(&reaches(10), 1, INSPECT_TIMEOUT_MS),
        Some(Finding::NoPeerReachesMore)
    );
}

#[test]
fn a_peer_that_reaches_clearly_more_machines_shows_a_partition() {
    let mut comparison = comparison(24);
    answer_all(&mut comparison, PEER, 12);
    answer_all(&mut comparison, OTHER_PEER, 0);
    assert_eq!(
        comparison.finding(&reaches(10), 2, INSPECT_TIMEOUT_MS),
        Some(Finding::NoPeerReachesMore)
    );
    assert_eq!(
        comparison.finding(&reaches(9), 2, INSPECT_TIMEOUT_MS),
        Some(Finding::PeerReachesMore)
    );
}

#[test]
fn a_leader_that_reaches_no_machine_hands_over_to_a_peer_that_reaches_one() {
    let mut comparison = comparison(24);
    answer_all(&mut comparison, PEER, 1);
    assert_eq!(
        comparison.finding(&reaches(0), 1, INSPECT_TIMEOUT_MS),
        Some(Finding::PeerReachesMore)
    );
}

#[test]
fn nothing_is_found_before_the_leaders_own_probes_are_over() {
    let mut comparison = comparison(8);
    answer_all(&mut comparison, PEER, 8);
    assert_eq!(comparison.finding(&reaches(0), 1, INSPECT_TIMEOUT_MS - 1), None);
}

#[test]
fn peers_that_do_not_answer_are_waited_for_and_then_not_counted() {
    let mut comparison = comparison(8);
    answer_all(&mut comparison, PEER, 0);
    let timeout = INSPECT_TIMEOUT_MS + REACHABILITY_ANSWER_SLACK_MS;
    assert_eq!(comparison.finding(&reaches(0), 2, timeout - 1), None);
    assert_eq!(
        comparison.finding(&reaches(0), 2, timeout),
        Some(Finding::NoPeerReachesMore)
    );
}

#[test]
fn a_peer_that_answers_for_some_machines_only_confirms_nothing() {
    let mut comparison = comparison(8);
    let answer = ReachabilityAnswer {
        round: ROUND,
        number: 0,
        index: 0,
        reached: false,
        heard: false,
    };
    comparison.record_answer(PEER, answer);
    let timeout = INSPECT_TIMEOUT_MS + REACHABILITY_ANSWER_SLACK_MS;
    assert_eq!(
        comparison.finding(&reaches(0), 1, timeout),
        Some(Finding::NoPeerConsulted)
    );
}

#[test]
fn answers_of_an_earlier_round_are_ignored() {
    let mut comparison = comparison(8);
    for number in 0..8 {
        let answer = ReachabilityAnswer {
            round: ROUND - 1,
            number,
            index: 0,
            reached: true,
            heard: true,
        };
        comparison.record_answer(PEER, answer);
    }
    assert_eq!(comparison.most_reached(&reaches(0)), 0);
}

#[test]
fn machines_that_some_controller_hears_have_not_failed() {
    let mut comparison = comparison(8);
    answer_all(&mut comparison, PEER, 2);
    for number in 2..5 {
        let answer = ReachabilityAnswer {
            round: ROUND,
            number,
            index: 0,
            reached: false,
            heard: true,
        };
        comparison.record_answer(PEER, answer);
    }
    assert_eq!(
        comparison.finding(&reaches(2), 1, INSPECT_TIMEOUT_MS),
        Some(Finding::NoPeerReachesMore)
    );
    let own = OwnView {
        compared: (0..8).collect(),
        heard: [5].into(),
        ..reaches(2)
    };
    assert_eq!(
        comparison.finding(&own, 1, INSPECT_TIMEOUT_MS),
        Some(Finding::MachinesAreHeard)
    );
}

#[test]
fn machines_that_the_leader_has_released_are_not_compared() {
    let mut comparison = comparison(8);
    answer_all(&mut comparison, PEER, 8);
    let own = OwnView {
        compared: (0..4).collect(),
        ..reaches(4)
    };
    assert_eq!(
        comparison.finding(&own, 1, INSPECT_TIMEOUT_MS),
        Some(Finding::NoPeerReachesMore)
    );
}
