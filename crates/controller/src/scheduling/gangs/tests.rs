use super::*;

#[test]
fn a_lost_task_is_replaced_only_before_the_start() {
    let mut gang = GangAttempt::new(7);
    gang.record_lost_task();
    gang.record_ended_task(TaskEndCause::NoRoom, false);
    assert!(gang.accepts_tasks());
    gang.started = true;
    assert!(!gang.accepts_tasks() && !gang.broken);
    gang.record_lost_task();
    assert!(gang.broken);
}

#[test]
fn who_waited_in_vain_joins_those_that_fetch_still() {
    let mut gang = GangAttempt::new(7);
    gang.record_ended_task(TaskEndCause::Alone, true);
    assert!(gang.accepts_tasks());
    gang.record_ended_task(TaskEndCause::Alone, false);
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
        gang.record_ended_task(why, false);
        assert!(gang.broken, "{why:?}");
    }
}
