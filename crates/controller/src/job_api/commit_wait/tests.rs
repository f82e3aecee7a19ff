use super::*;
use std::sync::Arc;

fn job() -> JobId {
    JobId(Arc::from("wk-1"))
}

/// A wait with two peers for an end known since 1,000 ms, and one waiting request.
fn open_wait() -> (CommitWait<&'static str>, Vec<u64>) {
    let mut commit_wait = CommitWait::new(2, 70);
    let Visibility::Awaiting(nonces) = commit_wait.begin(&job(), 1_000, false, 1_000) else {
        panic!("the end must wait for the peers");
    };
    assert_eq!(nonces.own, None);
    assert_eq!(commit_wait.wait(&job(), "user", 1), Ok(()));
    (commit_wait, nonces.peers)
}

#[test]
fn an_end_is_visible_once_every_peer_has_acknowledged_it() {
    let (mut commit_wait, nonces) = open_wait();
    assert_eq!(nonces, [70, 71]);
    assert_eq!(commit_wait.acknowledged(&job(), 70), None);
    assert_eq!(
        commit_wait.acknowledged(&job(), 70),
        None,
        "a duplicate does not count for the other peer"
    );
    assert!(commit_wait.is_open("wk-1"));
    assert_eq!(commit_wait.acknowledged(&job(), 71), Some(vec!["user"]));
    assert!(!commit_wait.is_open("wk-1"));
}

#[test]
fn a_nonce_of_another_process_or_job_does_not_count() {
    let (mut commit_wait, _) = open_wait();
    for nonce in [0, 69, 72, u64::MAX] {
        assert_eq!(commit_wait.acknowledged(&job(), nonce), None);
    }
    let other = JobId(Arc::from("wk-2"));
    assert_eq!(commit_wait.acknowledged(&other, 70), None);
    assert_eq!(commit_wait.acknowledged(&other, 71), None);
    assert!(commit_wait.is_open("wk-1"));
}

#[test]
fn an_end_is_visible_after_the_commit_wait_without_acknowledgements() {
    let (mut commit_wait, _) = open_wait();
    commit_wait.acknowledged(&job(), 70);
    assert!(commit_wait.due(1_000 + COMMIT_WAIT_MS - 1).is_empty());
    assert_eq!(commit_wait.due(1_000 + COMMIT_WAIT_MS), [(job(), vec!["user"])]);
    // The wait is closed, so later requests are answered immediately.
    assert_eq!(commit_wait.wait(&job(), "late", 1), Err("late"));
}

#[test]
fn the_wait_counts_from_when_the_end_was_known() {
    let mut commit_wait: CommitWait<()> = CommitWait::new(2, 0);
    assert_eq!(
        commit_wait.begin(&job(), 1_000, true, 1_000 + COMMIT_WAIT_MS),
        Visibility::Immediate
    );
    assert!(matches!(
        commit_wait.begin(&job(), 1_000, false, 2_000),
        Visibility::Awaiting(_)
    ));
    assert_eq!(commit_wait.due(1_000 + COMMIT_WAIT_MS).len(), 1);
    assert_eq!(
        CommitWait::<()>::new(0, 0).begin(&job(), 5, false, 5),
        Visibility::Immediate
    );
}

// A start of the job that this node may still send counts like one of a peer.
#[test]
fn an_end_waits_for_the_own_acknowledgement_if_this_node_takes_part() {
    for peers in [0, 2] {
        let mut commit_wait = CommitWait::new(peers, 70);
        let Visibility::Awaiting(nonces) = commit_wait.begin(&job(), 1_000, true, 1_000) else {
            panic!("the end must wait");
        };
        assert_eq!(commit_wait.wait(&job(), "user", 1), Ok(()));
        for nonce in &nonces.peers {
            assert_eq!(commit_wait.acknowledged(&job(), *nonce), None);
        }
        assert!(commit_wait.is_open("wk-1"));
        let own = nonces.own.expect("a nonce of this node");
        assert!(!nonces.peers.contains(&own));
        assert_eq!(commit_wait.acknowledged(&job(), own), Some(vec!["user"]));
    }
}

#[test]
fn a_wait_is_opened_once_and_within_the_limits() {
    let (mut commit_wait, _) = open_wait();
    assert_eq!(
        commit_wait.begin(&job(), 1_100, true, 1_100),
        Visibility::Awaiting(Nonces::default())
    );
    assert_eq!(commit_wait.wait(&job(), "second", 1), Err("second"));
    assert_eq!(commit_wait.take_if(|_| true), ["user"]);
    assert_eq!(commit_wait.wait(&job(), "second", 1), Ok(()));
    for number in 1..MAX_COMMIT_WAITS {
        let job = JobId(Arc::from(format!("wk-9{number}")));
        assert!(matches!(
            commit_wait.begin(&job, 1_000, false, 1_000),
            Visibility::Awaiting(_)
        ));
    }
    let excess_job = JobId(Arc::from("wk-80"));
    assert_eq!(
        commit_wait.begin(&excess_job, 1_000, false, 1_000),
        Visibility::Overloaded
    );
    assert_eq!(
        commit_wait.begin(&excess_job, 0, false, COMMIT_WAIT_MS),
        Visibility::Immediate
    );
}

/// Even at the maximum clock drift, a reading made before the end was committed is too old to be returned
/// by any node once the end is visible to users.
#[test]
fn no_older_reading_is_returned_after_the_end_is_visible_at_maximum_drift() {
    let drift = crate::constants::CLOCK_DRIFT_PPM as f64 / 1e6;
    // The reporting node's clock is as fast as possible, the reading node's as slow.
    let visible_after_ms = COMMIT_WAIT_MS as f64 / (1.0 + drift);
    let returned_within_ms = crate::constants::LIVE_READ_MAX_AGE_MS as f64 / (1.0 - drift);
    // Clocks are read in whole milliseconds.
    assert!(visible_after_ms - 1.0 >= returned_within_ms);
}
