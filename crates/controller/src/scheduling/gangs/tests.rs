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
fn a_task_that_timed_out_waiting_rejoins_while_others_fetch() {
    let mut gang = GangAttempt::new(7);
    gang.record_ended_task(TaskEndCause::Alone, true);
    assert!(gang.accepts_tasks());
    gang.record_ended_task(TaskEndCause::Alone, false);
    assert!(gang.broken);
}

#[test]
fn an_ended_task_breaks_the_attempt() {
    for cause in [
        TaskEndCause::Stopped,
        TaskEndCause::Peers,
        TaskEndCause::Alone,
        TaskEndCause::Error,
    ] {
        let mut gang = GangAttempt::new(7);
        gang.record_ended_task(cause, false);
        assert!(gang.broken, "{cause:?}");
    }
}
