use super::*;

#[test]
fn a_lost_task_is_replaced_only_before_the_start() {
    let mut gang = GangAttempt::new(7);
    gang.lost();
    gang.ended(TaskEndCause::NoRoom, false);
    assert!(gang.open());
    gang.started = true;
    assert!(!gang.open() && !gang.broken);
    gang.lost();
    assert!(gang.broken);
}

#[test]
fn who_waited_in_vain_joins_those_that_fetch_still() {
    let mut gang = GangAttempt::new(7);
    gang.ended(TaskEndCause::Alone, true);
    assert!(gang.open());
    gang.ended(TaskEndCause::Alone, false);
    assert!(gang.broken);
}

#[test]
fn an_ended_task_breaks_the_attempt() {
    for why in [
        TaskEndCause::Stopped,
        TaskEndCause::Peers,
        TaskEndCause::Alone,
        TaskEndCause::Error,
    ] {
        let mut gang = GangAttempt::new(7);
        gang.ended(why, false);
        assert!(gang.broken, "{why:?}");
    }
}
