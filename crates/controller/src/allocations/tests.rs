use super::*;
use crate::model::{MachineId, Resources, TaskId};
use crate::protocol::{CommandKind, Heartbeat, TaskEndCause, TaskState, TaskStatus};
use indigopath_counted_resources::Demand;
use std::sync::Arc;

/// First token of the term under test.
const TOKEN: u64 = 40;

fn task() -> TaskId {
    TaskId::parse("wk-1/0").unwrap()
}

fn machine(change: impl FnOnce(&mut Attempt)) -> Machine {
    let mut machine = Machine::new(
        MachineId(Arc::from("m-1")),
        "small".into(),
        "east".into(),
        false,
        0,
    );
    let mut attempt = Attempt::planned(
        task(),
        9,
        Arc::from("red"),
        Resources::default(),
        Arc::from("img"),
        0,
    );
    attempt.durable = true;
    change(&mut attempt);
    machine.attempts.push(attempt);
    machine
}

fn report(agent_epoch: u64, seq: u64, token: u64, state: Option<TaskState>) -> Heartbeat {
    Heartbeat {
        machine: "m-1".into(),
        addr: "10.0.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "east".into(),
        spot: false,
        agent_epoch,
        seq,
        token,
        reclaim_notice_s: None,
        tasks: state
            .into_iter()
            .map(|state| TaskStatus {
                task: task().to_string(),
                attempt: 9,
                state,
                cause: (state == TaskState::Exited).then_some(TaskEndCause::Done),
                checkpoint_saved: None,
            })
            .collect(),
    }
}

fn verbs(machine: &mut Machine, answering: Option<(u64, u64)>) -> Vec<CommandKind> {
    machine
        .due_commands(answering, true, TOKEN, 0)
        .into_iter()
        .map(|order| order.kind)
        .collect()
}

#[test]
fn a_start_is_sent_only_once_it_is_recorded() {
    let mut machine = machine(|attempt| attempt.durable = false);
    assert!(!machine.wants_direct_command(true, 0));
    assert_eq!(verbs(&mut machine, Some((1, 1))), []);
    machine.attempts[0].durable = true;
    assert!(machine.wants_direct_command(true, 0));
    assert_eq!(verbs(&mut machine, Some((1, 1))), [CommandKind::Start]);
}

#[test]
fn an_older_report_changes_nothing() {
    let mut machine = machine(|_| ());
    assert!(
        machine
            .apply_heartbeat(&report(2, 5, TOKEN, Some(TaskState::Running)), TOKEN, 0)
            .is_some()
    );
    for (agent_epoch, seq) in [(2, 5), (2, 4), (1, 99)] {
        assert!(
            machine
                .apply_heartbeat(&report(agent_epoch, seq, TOKEN, None), TOKEN, 0)
                .is_none()
        );
    }
    assert_eq!(machine.attempts.len(), 1);
}

// A former leader may still have the start under way: only a worker that has
// seen this term's token drops it.
#[test]
fn only_a_fenced_worker_disproves_an_inherited_start() {
    let mut machine = machine(|attempt| attempt.from_previous_leader = true);
    machine.apply_heartbeat(&report(1, 1, TOKEN - 1, None), TOKEN, 0);
    assert_eq!(machine.attempts.len(), 1);
    assert!(!machine.synced);
    let changes = machine.apply_heartbeat(&report(1, 2, TOKEN, None), TOKEN, 0);
    assert!(matches!(changes.as_deref(), Some([Change::Lost { .. }])));
    assert!(machine.attempts.is_empty());
}

// An unanswered direct command may be carried out minutes later.
#[test]
fn an_unanswered_start_stays_until_session_or_token_refuse_it() {
    for (agent_epoch, token, stays) in [(1, TOKEN, true), (2, TOKEN, false), (1, TOKEN + 1, false)] {
        let mut machine = machine(|attempt| {
            attempt.start_in_flight = true;
            attempt.reported_state = Some(TaskState::Running);
        });
        machine.on_direct_command_unanswered(TOKEN, 1);
        machine.apply_heartbeat(&report(agent_epoch, 7, token, None), TOKEN, 0);
        assert_eq!(
            machine.attempts.len(),
            usize::from(stays),
            "session {agent_epoch}, token {token}"
        );
    }
}

// A stop that is wanted says nothing of a start that is still on its way.
#[test]
fn a_start_on_its_way_stays_although_its_stop_is_wanted() {
    let mut machine = machine(|attempt| {
        attempt.start_in_flight = true;
        attempt.stop = Some(Stop::requested(0.0, 0));
    });
    machine.apply_heartbeat(&report(1, 1, TOKEN, None), TOKEN, 0);
    assert_eq!(machine.attempts.len(), 1);
}

// After a `forget`, the late start would run the task once more.
#[test]
fn what_may_still_arrive_is_not_forgotten() {
    let mut machine = machine(|attempt| attempt.start_in_flight = true);
    machine.on_direct_command_unanswered(TOKEN, 1);
    machine.apply_heartbeat(&report(1, 1, TOKEN, Some(TaskState::Exited)), TOKEN, 0);
    machine.attempts[0].end_processed = true;
    assert_eq!(verbs(&mut machine, Some((1, 1))), []);
    assert!(!machine.is_empty());
    machine.apply_heartbeat(&report(1, 2, TOKEN + 1, Some(TaskState::Exited)), TOKEN, 0);
    assert_eq!(verbs(&mut machine, Some((1, 2))), [CommandKind::Forget]);
}

// A copy of the command would run it once more. Its machine may go back all the same.
#[test]
fn an_answered_direct_start_is_forgotten_only_under_a_higher_token() {
    let mut machine = machine(|_| ());
    machine.apply_heartbeat(&report(1, 1, TOKEN, None), TOKEN, 0);
    assert_eq!(verbs(&mut machine, None), [CommandKind::Start]);
    machine.apply_heartbeat(&report(1, 2, TOKEN, Some(TaskState::Exited)), TOKEN, 0);
    machine.attempts[0].end_processed = true;
    let forgets = |machine: &mut Machine, token| machine.due_commands(Some((1, 2)), true, token, 0).len();
    assert_eq!(forgets(&mut machine, TOKEN + 1), 0, "its answer is under way");
    machine.on_direct_command_settled(true, TOKEN, 1);
    assert!(machine.attempts[0].forget_awaits_token(TOKEN));
    assert!(machine.is_empty());
    assert_eq!(forgets(&mut machine, TOKEN), 0);
    assert_eq!(forgets(&mut machine, TOKEN + 1), 1);
    machine.apply_heartbeat(&report(1, 3, TOKEN + 1, Some(TaskState::Exited)), TOKEN, 0);
    assert_eq!(forgets(&mut machine, TOKEN + 1), 1, "seen already");
}

// No worker loses a task within a agent epoch; should one, a copy may still run it there.
#[test]
fn what_is_lost_after_an_answered_direct_start_stays_until_no_copy_can_run_it() {
    for (agent_epoch, token, stays) in [(1, TOKEN, true), (2, TOKEN, false), (1, TOKEN + 1, false)] {
        let mut machine = machine(|attempt| attempt.start_in_flight = true);
        machine.apply_heartbeat(&report(1, 1, TOKEN, Some(TaskState::Running)), TOKEN, 0);
        machine.on_direct_command_settled(true, TOKEN, 1);
        machine.apply_heartbeat(&report(agent_epoch, 2, token, None), TOKEN, 0);
        assert_eq!(
            machine.task_count(),
            usize::from(stays),
            "session {agent_epoch}, token {token}"
        );
        machine.apply_heartbeat(&report(agent_epoch, 3, TOKEN + 1, None), TOKEN, 0);
        assert_eq!(machine.task_count(), 0);
    }
}

// The result would be lost with a leader that has not recorded it.
#[test]
fn a_result_is_not_forgotten_before_it_is_recorded() {
    let mut machine = machine(|_| ());
    machine.apply_heartbeat(&report(1, 1, TOKEN, Some(TaskState::Exited)), TOKEN, 0);
    assert_eq!(verbs(&mut machine, Some((1, 1))), []);
    machine.attempts[0].end_processed = true;
    assert_eq!(verbs(&mut machine, Some((1, 1))), [CommandKind::Forget]);
    assert_eq!(
        verbs(&mut machine, None),
        [],
        "never by a direct command, which may be late"
    );
}

#[test]
fn a_start_that_never_arrived_is_sent_again() {
    let mut machine = machine(|_| ());
    machine.apply_heartbeat(&report(1, 1, TOKEN, None), TOKEN, 0);
    assert_eq!(verbs(&mut machine, Some((1, 1))), [CommandKind::Start]);
    assert_eq!(verbs(&mut machine, None), [], "it is on its way");
    machine.apply_heartbeat(&report(1, 2, TOKEN, None), TOKEN, 0);
    assert_eq!(verbs(&mut machine, Some((1, 2))), [CommandKind::Start]);
}

#[test]
fn the_record_names_all_that_may_be_there() {
    let mut machine = machine(|attempt| attempt.durable = false);
    assert_eq!(machine.record(|_| true).starts.len(), 1);
    machine.attempts[0].reported_state = Some(TaskState::Exited);
    assert_eq!(machine.record(|_| true).starts.len(), 0);
    machine.attempts[0].unacknowledged = Some(UnacknowledgedCommand {
        agent_epoch: 1,
        token: TOKEN,
    });
    assert_eq!(machine.record(|_| true).starts.len(), 1);
}

#[test]
fn strangers_are_stopped() {
    let mut machine = machine(|_| ());
    machine.attempts.clear();
    machine.apply_heartbeat(&report(1, 1, TOKEN, Some(TaskState::Running)), TOKEN, 0);
    assert_eq!(verbs(&mut machine, Some((1, 1))), [CommandKind::Stop]);
}

// Each answer renews the lease of what it leaves running.
#[test]
fn a_stop_is_in_every_answer_until_the_task_has_heard_it() {
    let mut machine = machine(|attempt| attempt.stop = Some(Stop::requested(4.0, 0)));
    let stops = |machine: &mut Machine, answering, now| -> Vec<f64> {
        let orders = machine.due_commands(answering, true, TOKEN, now);
        let stops = orders.into_iter().filter(|order| order.kind == CommandKind::Stop);
        stops.filter_map(|order| order.grace_s).collect()
    };
    machine.apply_heartbeat(&report(1, 1, TOKEN, Some(TaskState::Running)), TOKEN, 0);
    assert_eq!(stops(&mut machine, None, 0), [4.0]);
    assert_eq!(
        stops(&mut machine, None, 10),
        [0.0; 0],
        "directly at intervals only"
    );
    assert_eq!(stops(&mut machine, Some((1, 1)), 20), [4.0]);
    machine.apply_heartbeat(&report(1, 2, TOKEN, Some(TaskState::Running)), TOKEN, 0);
    assert_eq!(stops(&mut machine, Some((1, 2)), 30), [4.0]);
    machine.apply_heartbeat(&report(1, 3, TOKEN, Some(TaskState::Saving)), TOKEN, 0);
    assert_eq!(stops(&mut machine, Some((1, 3)), 40), [0.0; 0], "it saves");
    // Its job is over: what it saves is of no use.
    machine.attempts[0].stop = Some(Stop::requested(0.0, 50));
    assert_eq!(stops(&mut machine, Some((1, 3)), 50), [0.0]);
    assert_eq!(stops(&mut machine, Some((1, 3)), 60), [0.0]);
    assert_eq!(
        machine.stop_commands(70).len(),
        1,
        "also to a report that was overtaken"
    );
}

// The answer to its last report may still be under way when it answers a question: the start in it,
// thought gone, would run while the task runs elsewhere.
#[test]
fn only_its_own_next_report_disproves_a_start_that_answered_one() {
    let mut machine = machine(|_| ());
    machine.apply_heartbeat(&report(1, 1, TOKEN, None), TOKEN, 0);
    assert_eq!(verbs(&mut machine, Some((1, 1))), [CommandKind::Start]);
    machine.attempts[0].stop = Some(Stop::requested(0.0, 0));
    machine.apply_response(&report(1, 2, TOKEN, None), TOKEN, 0);
    assert_eq!(machine.task_count(), 1);
    assert!(!machine.attempts[0].never_sent());
    machine.apply_heartbeat(&report(1, 3, TOKEN, None), TOKEN, 0);
    assert_eq!(machine.task_count(), 0);
}

// A copy of a report from before it joined its attempt again is the first that a new leader hears.
#[test]
fn an_old_end_of_a_repeated_attempt_proves_nothing() {
    let mut machine = machine(|attempt| {
        attempt.from_previous_leader = true;
        attempt.is_idempotent_restart = true;
    });
    let alone = |seq, token| {
        let mut report = report(1, seq, token, Some(TaskState::Exited));
        report.tasks[0].cause = Some(TaskEndCause::Alone);
        report
    };
    machine.apply_heartbeat(&report(1, 1, TOKEN - 1, Some(TaskState::Waiting)), TOKEN, 0);
    machine.apply_heartbeat(&alone(2, TOKEN - 1), TOKEN, 0);
    assert_eq!(machine.task_count(), 1, "its end");
    machine.apply_heartbeat(&report(1, 3, TOKEN - 1, None), TOKEN, 0);
    assert_eq!(machine.task_count(), 1, "its absence");
    machine.apply_heartbeat(&alone(4, TOKEN), TOKEN, 0);
    assert_eq!(machine.task_count(), 0);
}

// Copies of a dead machine's reports must not put off the proof that its lease is over.
#[test]
fn a_copy_of_an_answered_report_renews_no_lease() {
    let mut machine = machine(|_| ());
    let at = |seq| report(1, seq, TOKEN, None);
    machine.record_answered_report(&at(7), 100);
    machine.record_answered_report(&at(7), 200);
    machine.record_answered_report(&at(5), 300);
    assert_eq!(machine.last_answered_at, Some(100));
    machine.record_answered_report(&at(8), 400);
    assert_eq!(machine.last_answered_at, Some(400));
}

fn seat() -> Demand {
    Demand::new(&[("seat".to_owned(), 1)].into()).unwrap()
}

/// What became of units in these changes: whether each linger.
fn freed(changes: Vec<Change>) -> Vec<bool> {
    let freed = changes.into_iter().filter_map(|change| match change {
        Change::Freed { lingers, .. } => Some(lingers),
        _ => None,
    });
    freed.collect()
}

#[test]
fn units_come_back_at_once_only_from_what_says_it_is_done() {
    let done = |why| {
        let mut machine = machine(|attempt| attempt.counts = seat());
        machine.due_commands(Some((1, 0)), true, TOKEN, 0);
        let mut exit = report(1, 1, TOKEN, Some(TaskState::Exited));
        exit.tasks[0].cause = Some(why);
        freed(machine.apply_heartbeat(&exit, TOKEN, 0).unwrap())
    };
    assert_eq!(done(TaskEndCause::Done), [false]);
    assert_eq!(done(TaskEndCause::NoRoom), [false], "it was never let in");
    for why in [
        TaskEndCause::Stopped,
        TaskEndCause::Error,
        TaskEndCause::Alone,
        TaskEndCause::Peers,
        TaskEndCause::Other,
    ] {
        assert_eq!(done(why), [true], "{why:?}");
    }
    let mut machine = machine(|attempt| attempt.counts = seat());
    assert_eq!(freed(machine.clear()), [false], "nothing was ever sent");
    let mut machine = self::machine(|attempt| {
        attempt.counts = seat();
        attempt.from_previous_leader = true;
    });
    assert_eq!(freed(machine.clear()), [true], "a former leader may have sent it");
}

// Nobody saw it run: its start went unanswered, and the agent epoch in which it may have
// run ended. Its pin was gone by the time the ledger asked whether it had been sent. Its task asks for
// units like any other start: sent again at once, it could be one too many (see `counts_oracle`).
#[test]
fn units_of_a_start_that_may_have_run_in_a_session_before_linger() {
    let released = |changes: &[Change]| {
        let released = |change: &&Change| matches!(change, Change::Released(_));
        changes.iter().filter(released).count()
    };
    let mut machine = machine(|attempt| attempt.counts = seat());
    machine.apply_heartbeat(&report(1, 1, TOKEN, None), TOKEN, 0);
    assert_eq!(verbs(&mut machine, None), [CommandKind::Start]);
    machine.on_direct_command_unanswered(TOKEN, 1);
    let changes = machine
        .apply_heartbeat(&report(2, 1, TOKEN, None), TOKEN, 0)
        .unwrap();
    assert_eq!(released(&changes), 1);
    assert_eq!(freed(changes), [true]);
    assert_eq!(verbs(&mut machine, None), [], "and it is not sent again");
    assert!(machine.attempts.is_empty());
    // The answer of an earlier agent epoch arrives after a report of a later one.
    let mut machine = self::machine(|attempt| attempt.counts = seat());
    machine.apply_heartbeat(&report(2, 1, TOKEN, None), TOKEN, 0);
    assert_eq!(verbs(&mut machine, None), [CommandKind::Start]);
    machine.apply_heartbeat(&report(3, 1, TOKEN, None), TOKEN, 0);
    machine.on_direct_command_settled(true, TOKEN, 2);
    let changes = machine
        .apply_heartbeat(&report(3, 2, TOKEN, None), TOKEN, 0)
        .unwrap();
    assert_eq!(released(&changes), 1);
    assert_eq!(freed(changes), [true]);
    assert!(machine.attempts.is_empty());
}
