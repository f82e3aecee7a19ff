use super::*;
use std::sync::Arc;

fn job() -> JobId {
    JobId(Arc::from("wk-1"))
}

/// Two peers, an end known since 1,000, and somebody who waits for it.
fn open() -> (CommitWait<&'static str>, Vec<u64>) {
    let mut commit_wait = CommitWait::new(2, 70);
    let Visibility::AwaitingPeers(nonces) = commit_wait.begin(&job(), 1_000, 1_000) else {
        panic!("it must wait");
    };
    assert_eq!(commit_wait.wait(&job(), "user", 1), Ok(()));
    (commit_wait, nonces)
}

#[test]
fn an_end_is_told_once_each_sibling_has_noted_it() {
    let (mut commit_wait, nonces) = open();
    assert_eq!(nonces, [70, 71]);
    assert_eq!(commit_wait.acknowledged(&job(), 70), None);
    assert_eq!(
        commit_wait.acknowledged(&job(), 70),
        None,
        "a copy is no second sibling"
    );
    assert!(commit_wait.is_open("wk-1"));
    assert_eq!(commit_wait.acknowledged(&job(), 71), Some(vec!["user"]));
    assert!(!commit_wait.is_open("wk-1"));
}

#[test]
fn a_number_of_another_life_or_job_proves_nothing() {
    let (mut commit_wait, _) = open();
    for nonce in [0, 69, 72, u64::MAX] {
        assert_eq!(commit_wait.acknowledged(&job(), nonce), None);
    }
    let other = JobId(Arc::from("wk-2"));
    assert_eq!(commit_wait.acknowledged(&other, 70), None);
    assert_eq!(commit_wait.acknowledged(&other, 71), None);
    assert!(commit_wait.is_open("wk-1"));
}

#[test]
fn a_silent_sibling_is_waited_for_until_its_readings_are_too_old() {
    let (mut commit_wait, _) = open();
    commit_wait.acknowledged(&job(), 70);
    assert!(commit_wait.due(1_000 + COMMIT_WAIT_MS - 1).is_empty());
    assert_eq!(commit_wait.due(1_000 + COMMIT_WAIT_MS), [(job(), vec!["user"])]);
    // What it is asked about again is told at once.
    assert_eq!(commit_wait.wait(&job(), "late", 1), Err("late"));
}

#[test]
fn who_knew_of_the_end_before_waits_the_less() {
    let mut commit_wait: CommitWait<()> = CommitWait::new(2, 0);
    assert_eq!(
        commit_wait.begin(&job(), 1_000, 1_000 + COMMIT_WAIT_MS),
        Visibility::Immediate
    );
    assert!(matches!(
        commit_wait.begin(&job(), 1_000, 2_000),
        Visibility::AwaitingPeers(_)
    ));
    assert_eq!(commit_wait.due(1_000 + COMMIT_WAIT_MS).len(), 1);
    assert_eq!(
        CommitWait::<()>::new(0, 0).begin(&job(), 5, 5),
        Visibility::Immediate
    );
}

#[test]
fn it_begins_once_and_keeps_within_its_bounds() {
    let (mut commit_wait, _) = open();
    assert_eq!(
        commit_wait.begin(&job(), 1_100, 1_100),
        Visibility::AwaitingPeers(Vec::new())
    );
    assert_eq!(commit_wait.wait(&job(), "second", 1), Err("second"));
    assert_eq!(commit_wait.take_if(|_| true), ["user"]);
    assert_eq!(commit_wait.wait(&job(), "second", 1), Ok(()));
    for more in 1..MAX_COMMIT_WAITS {
        let job = JobId(Arc::from(format!("wk-9{more}")));
        assert!(matches!(
            commit_wait.begin(&job, 1_000, 1_000),
            Visibility::AwaitingPeers(_)
        ));
    }
    let one_more = JobId(Arc::from("wk-80"));
    assert_eq!(commit_wait.begin(&one_more, 1_000, 1_000), Visibility::Overloaded);
    assert_eq!(
        commit_wait.begin(&one_more, 0, COMMIT_WAIT_MS),
        Visibility::Immediate
    );
}

/// Readings at the worst clocks: whatever was read before the end was committed is too old wherever it
/// is given after the telling.
#[test]
fn no_reading_outlives_the_telling_at_the_worst_drift() {
    let drift = crate::constants::CLOCK_DRIFT_PPM as f64 / 1e6;
    // The teller's clock is as fast as it may be, the reader's as slow.
    let told_after_ms = COMMIT_WAIT_MS as f64 / (1.0 + drift);
    let given_within_ms = crate::constants::LIVE_READ_MAX_AGE_MS as f64 / (1.0 - drift);
    // Either clock shows whole ms.
    assert!(told_after_ms - 1.0 >= given_within_ms);
}
