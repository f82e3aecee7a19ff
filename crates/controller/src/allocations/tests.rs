use super::*;
use crate::constants::LIVE_READ_MAX_AGE_MS;
use crate::model::{MachineId, Resources, TaskId, Timestamp};
use crate::protocol::{CommandKind, Heartbeat, TaskEndCause, TaskState, TaskStatus};
use indigopath_counted_resources::Demand;
use std::sync::Arc;

/// First token of the term under test.
const TOKEN: u64 = 40;

/// The permission of a leader that knows every end of a job up to this time.
fn starts(now: Timestamp) -> StartPermission {
    StartPermission::with_ends_known_until(now)
}

fn send_before(batch: &CommandBatch) -> Option<Timestamp> {
    batch.starts.as_ref().map(|starts| starts.send_before)
}

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

fn command_kinds(machine: &mut Machine, answering: Option<(u64, u64)>) -> Vec<CommandKind> {
    machine
        .due_commands(answering, starts(0), TOKEN, 0)
        .commands
        .into_iter()
        .map(|command| command.kind)
        .collect()
}

#[test]
fn start_is_sent_only_after_it_is_recorded() {
    let mut machine = machine(|attempt| attempt.durable = false);
    assert!(!machine.wants_direct_command(starts(0), 0));
    assert_eq!(command_kinds(&mut machine, Some((1, 1))), []);
    machine.attempts[0].durable = true;
    assert!(machine.wants_direct_command(starts(0), 0));
    assert_eq!(command_kinds(&mut machine, Some((1, 1))), [CommandKind::Start]);
}

#[test]
fn older_report_changes_nothing() {
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

// A previous leader's start may still be in flight. Only a worker that has seen the token of this
// term drops it.
#[test]
fn inherited_start_is_removed_only_by_a_report_of_a_fenced_worker() {
    let mut machine = machine(|attempt| attempt.from_previous_leader = true);
    machine.apply_heartbeat(&report(1, 1, TOKEN - 1, None), TOKEN, 0);
    assert_eq!(machine.attempts.len(), 1);
    assert!(!machine.synced);
    let changes = machine.apply_heartbeat(&report(1, 2, TOKEN, None), TOKEN, 0);
    assert!(matches!(changes.as_deref(), Some([Change::Lost { .. }])));
    assert!(machine.attempts.is_empty());
}

// An unanswered direct command may be executed minutes later.
#[test]
fn unanswered_start_is_kept_until_agent_epoch_or_token_refuses_it() {
    for (agent_epoch, token, is_kept) in [(1, TOKEN, true), (2, TOKEN, false), (1, TOKEN + 1, false)] {
        let mut machine = machine(|attempt| {
            attempt.start_in_flight = true;
            attempt.reported_state = Some(TaskState::Running);
        });
        machine.on_direct_command_unanswered(TOKEN, 1);
        machine.apply_heartbeat(&report(agent_epoch, 7, token, None), TOKEN, 0);
        assert_eq!(
            machine.attempts.len(),
            usize::from(is_kept),
            "agent epoch {agent_epoch}, token {token}"
        );
    }
}

// A requested stop does not prove that a start in flight was lost.
#[test]
fn start_in_flight_is_kept_when_its_stop_is_requested() {
    let mut machine = machine(|attempt| {
        attempt.start_in_flight = true;
        attempt.stop = Some(Stop::requested(0.0, 0));
    });
    machine.apply_heartbeat(&report(1, 1, TOKEN, None), TOKEN, 0);
    assert_eq!(machine.attempts.len(), 1);
}

// After a `forget`, the late start would run the task again.
#[test]
fn attempt_with_an_unanswered_start_is_not_forgotten() {
    let mut machine = machine(|attempt| attempt.start_in_flight = true);
    machine.on_direct_command_unanswered(TOKEN, 1);
    machine.apply_heartbeat(&report(1, 1, TOKEN, Some(TaskState::Exited)), TOKEN, 0);
    machine.attempts[0].end_processed = true;
    assert_eq!(command_kinds(&mut machine, Some((1, 1))), []);
    assert!(!machine.is_empty());
    machine.apply_heartbeat(&report(1, 2, TOKEN + 1, Some(TaskState::Exited)), TOKEN, 0);
    assert_eq!(command_kinds(&mut machine, Some((1, 2))), [CommandKind::Forget]);
}

// A duplicate of the command would run the task again. Its machine may be released even so.
#[test]
fn answered_direct_start_is_forgotten_only_under_a_higher_token() {
    let mut machine = machine(|_| ());
    machine.apply_heartbeat(&report(1, 1, TOKEN, None), TOKEN, 0);
    assert_eq!(command_kinds(&mut machine, None), [CommandKind::Start]);
    machine.apply_heartbeat(&report(1, 2, TOKEN, Some(TaskState::Exited)), TOKEN, 0);
    machine.attempts[0].end_processed = true;
    let forgets = |machine: &mut Machine, token| {
        machine
            .due_commands(Some((1, 2)), starts(0), token, 0)
            .commands
            .len()
    };
    assert_eq!(forgets(&mut machine, TOKEN + 1), 0, "its answer is in flight");
    machine.on_direct_command_settled(true, TOKEN, 1);
    assert!(machine.attempts[0].forget_awaits_token(TOKEN));
    assert!(machine.is_empty());
    assert_eq!(forgets(&mut machine, TOKEN), 0);
    assert_eq!(forgets(&mut machine, TOKEN + 1), 1);
    machine.apply_heartbeat(&report(1, 3, TOKEN + 1, Some(TaskState::Exited)), TOKEN, 0);
    assert_eq!(forgets(&mut machine, TOKEN + 1), 1, "seen already");
}

// No worker loses a task within an agent epoch. If one did, a duplicate of the command could still run
// the task.
#[test]
fn lost_task_is_kept_until_no_duplicate_of_its_direct_start_can_run_it() {
    for (agent_epoch, token, is_kept) in [(1, TOKEN, true), (2, TOKEN, false), (1, TOKEN + 1, false)] {
        let mut machine = machine(|attempt| attempt.start_in_flight = true);
        machine.apply_heartbeat(&report(1, 1, TOKEN, Some(TaskState::Running)), TOKEN, 0);
        machine.on_direct_command_settled(true, TOKEN, 1);
        machine.apply_heartbeat(&report(agent_epoch, 2, token, None), TOKEN, 0);
        assert_eq!(
            machine.task_count(),
            usize::from(is_kept),
            "agent epoch {agent_epoch}, token {token}"
        );
        machine.apply_heartbeat(&report(agent_epoch, 3, TOKEN + 1, None), TOKEN, 0);
        assert_eq!(machine.task_count(), 0);
    }
}

// The result would be lost with a leader that fails before recording it.
#[test]
fn result_is_not_forgotten_before_it_is_recorded() {
    let mut machine = machine(|_| ());
    machine.apply_heartbeat(&report(1, 1, TOKEN, Some(TaskState::Exited)), TOKEN, 0);
    assert_eq!(command_kinds(&mut machine, Some((1, 1))), []);
    machine.attempts[0].end_processed = true;
    assert_eq!(command_kinds(&mut machine, Some((1, 1))), [CommandKind::Forget]);
    assert_eq!(
        command_kinds(&mut machine, None),
        [],
        "never in a direct command, which may arrive late"
    );
}

#[test]
fn start_that_never_arrived_is_sent_again() {
    let mut machine = machine(|_| ());
    machine.apply_heartbeat(&report(1, 1, TOKEN, None), TOKEN, 0);
    assert_eq!(command_kinds(&mut machine, Some((1, 1))), [CommandKind::Start]);
    assert_eq!(command_kinds(&mut machine, None), [], "it is in flight");
    machine.apply_heartbeat(&report(1, 2, TOKEN, None), TOKEN, 0);
    assert_eq!(command_kinds(&mut machine, Some((1, 2))), [CommandKind::Start]);
}

// A start that was lost directly as well as in an answer was never sent again, and its task never ran.
#[test]
fn start_that_never_arrived_is_sent_again_beside_an_unanswered_direct_one() {
    let mut machine = machine(|_| ());
    machine.apply_heartbeat(&report(1, 1, TOKEN, None), TOKEN, 0);
    assert_eq!(command_kinds(&mut machine, None), [CommandKind::Start]);
    machine.on_direct_command_unanswered(TOKEN, 1);
    assert_eq!(command_kinds(&mut machine, Some((1, 1))), [CommandKind::Start]);
    machine.apply_response(&report(1, 2, TOKEN, None), TOKEN, 0);
    assert_eq!(
        command_kinds(&mut machine, Some((1, 2))),
        [],
        "the answer may still arrive"
    );
    machine.apply_heartbeat(&report(1, 3, TOKEN, None), TOKEN, 0);
    assert_eq!(command_kinds(&mut machine, Some((1, 3))), [CommandKind::Start]);
    assert!(machine.attempts[0].unacknowledged.is_some());
}

#[test]
fn record_lists_all_attempts_that_may_be_running() {
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
fn unrecorded_task_is_stopped() {
    let mut machine = machine(|_| ());
    machine.attempts.clear();
    machine.apply_heartbeat(&report(1, 1, TOKEN, Some(TaskState::Running)), TOKEN, 0);
    assert_eq!(command_kinds(&mut machine, Some((1, 1))), [CommandKind::Stop]);
}

// Each answer renews the lease of all tasks that it does not stop.
#[test]
fn stop_is_in_every_answer_until_the_task_has_received_it() {
    let mut machine = machine(|attempt| attempt.stop = Some(Stop::requested(4.0, 0)));
    let stops = |machine: &mut Machine, answering, now| -> Vec<f64> {
        let commands = machine.due_commands(answering, starts(now), TOKEN, now).commands;
        let stops = commands
            .into_iter()
            .filter(|command| command.kind == CommandKind::Stop);
        stops.filter_map(|command| command.grace_s).collect()
    };
    machine.apply_heartbeat(&report(1, 1, TOKEN, Some(TaskState::Running)), TOKEN, 0);
    assert_eq!(stops(&mut machine, None, 0), [4.0]);
    assert_eq!(
        stops(&mut machine, None, 10),
        [0.0; 0],
        "in direct commands at intervals only"
    );
    assert_eq!(stops(&mut machine, Some((1, 1)), 20), [4.0]);
    machine.apply_heartbeat(&report(1, 2, TOKEN, Some(TaskState::Running)), TOKEN, 0);
    assert_eq!(stops(&mut machine, Some((1, 2)), 30), [4.0]);
    machine.apply_heartbeat(&report(1, 3, TOKEN, Some(TaskState::Saving)), TOKEN, 0);
    assert_eq!(
        stops(&mut machine, Some((1, 3)), 40),
        [0.0; 0],
        "it is writing its checkpoint"
    );
    // Its job has ended, so the checkpoint is of no use.
    machine.attempts[0].stop = Some(Stop::requested(0.0, 50));
    assert_eq!(stops(&mut machine, Some((1, 3)), 50), [0.0]);
    assert_eq!(stops(&mut machine, Some((1, 3)), 60), [0.0]);
    assert_eq!(
        machine.stop_commands(70).commands.len(),
        1,
        "also in the answer to an overtaken report"
    );
}

// The answer to a worker's last report may still be in flight when the worker responds to a probe. If
// the start in that answer were considered lost, the task could run twice.
#[test]
fn start_in_an_answer_is_removed_only_by_the_workers_next_own_report() {
    let mut machine = machine(|_| ());
    machine.apply_heartbeat(&report(1, 1, TOKEN, None), TOKEN, 0);
    assert_eq!(command_kinds(&mut machine, Some((1, 1))), [CommandKind::Start]);
    machine.attempts[0].stop = Some(Stop::requested(0.0, 0));
    machine.apply_response(&report(1, 2, TOKEN, None), TOKEN, 0);
    assert_eq!(machine.task_count(), 1);
    assert!(!machine.attempts[0].never_sent());
    machine.apply_heartbeat(&report(1, 3, TOKEN, None), TOKEN, 0);
    assert_eq!(machine.task_count(), 0);
}

// The first report that a new leader receives may be a duplicate from before the task rejoined its gang
// under the same attempt number.
#[test]
fn old_end_of_a_restarted_attempt_is_ignored() {
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

// Duplicates of a dead machine's reports must not delay the proof that its lease has expired.
#[test]
fn duplicate_of_an_answered_report_renews_no_lease() {
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

/// Whether the units linger, for each change that frees some.
fn freed(changes: Vec<Change>) -> Vec<bool> {
    let freed = changes.into_iter().filter_map(|change| match change {
        Change::Freed { lingers, .. } => Some(lingers),
        _ => None,
    });
    freed.collect()
}

#[test]
fn units_are_free_at_once_only_after_a_task_reports_its_end() {
    let done = |cause| {
        let mut machine = machine(|attempt| attempt.counts = seat());
        machine.due_commands(Some((1, 0)), starts(0), TOKEN, 0);
        let mut exit = report(1, 1, TOKEN, Some(TaskState::Exited));
        exit.tasks[0].cause = Some(cause);
        freed(machine.apply_heartbeat(&exit, TOKEN, 0).unwrap())
    };
    assert_eq!(done(TaskEndCause::Done), [false]);
    assert_eq!(done(TaskEndCause::NoRoom), [false], "it was never admitted");
    for cause in [
        TaskEndCause::Stopped,
        TaskEndCause::Error,
        TaskEndCause::Alone,
        TaskEndCause::Peers,
        TaskEndCause::Other,
    ] {
        assert_eq!(done(cause), [true], "{cause:?}");
    }
    let mut machine = machine(|attempt| attempt.counts = seat());
    assert_eq!(freed(machine.clear()), [false], "nothing was ever sent");
    let mut machine = self::machine(|attempt| {
        attempt.counts = seat();
        attempt.from_previous_leader = true;
    });
    assert_eq!(
        freed(machine.clear()),
        [true],
        "a previous leader may have sent it"
    );
}

// The start went unanswered, and the agent epoch in which it may have run has ended, so nobody saw it
// run. The unanswered command was dropped before the units were released, so they did not linger. Sent
// again at once, the task could exceed the count (see `counts_oracle`): it must request units like any
// other start.
#[test]
fn units_of_a_start_that_may_have_run_in_an_earlier_epoch_linger() {
    let released = |changes: &[Change]| {
        let released = |change: &&Change| matches!(change, Change::Released(_));
        changes.iter().filter(released).count()
    };
    let mut machine = machine(|attempt| attempt.counts = seat());
    machine.apply_heartbeat(&report(1, 1, TOKEN, None), TOKEN, 0);
    assert_eq!(command_kinds(&mut machine, None), [CommandKind::Start]);
    machine.on_direct_command_unanswered(TOKEN, 1);
    let changes = machine
        .apply_heartbeat(&report(2, 1, TOKEN, None), TOKEN, 0)
        .unwrap();
    assert_eq!(released(&changes), 1);
    assert_eq!(freed(changes), [true]);
    assert_eq!(command_kinds(&mut machine, None), [], "and it is not sent again");
    assert!(machine.attempts.is_empty());
    // The answer of an earlier agent epoch arrives after a report of a later one.
    let mut machine = self::machine(|attempt| attempt.counts = seat());
    machine.apply_heartbeat(&report(2, 1, TOKEN, None), TOKEN, 0);
    assert_eq!(command_kinds(&mut machine, None), [CommandKind::Start]);
    machine.apply_heartbeat(&report(3, 1, TOKEN, None), TOKEN, 0);
    machine.on_direct_command_settled(true, TOKEN, 2);
    let changes = machine
        .apply_heartbeat(&report(3, 2, TOKEN, None), TOKEN, 0)
        .unwrap();
    assert_eq!(released(&changes), 1);
    assert_eq!(freed(changes), [true]);
    assert!(machine.attempts.is_empty());
}

// A leader that stood still started a job that its user had been told is cancelled.
#[test]
fn start_is_not_sent_when_its_job_was_last_known_to_be_live_too_long_ago() {
    const RECORDED_AT: Timestamp = 5_000;
    const UNTIL: Timestamp = RECORDED_AT + LIVE_READ_MAX_AGE_MS;
    let recorded = || {
        let mut machine = machine(|attempt| attempt.job_live_at = Some(RECORDED_AT));
        machine.addr = Some("10.0.0.1:9000".into());
        machine.synced = true;
        machine
    };
    for answering in [None, Some((1, 1))] {
        let mut machine = recorded();
        let batch = machine.due_commands(answering, starts(0), TOKEN, UNTIL);
        assert_eq!(batch, CommandBatch::default());
        assert!(!machine.is_direct_command_due(starts(0), UNTIL));
        assert!(machine.has_outdated_start(starts(0), UNTIL));

        let batch = machine.due_commands(answering, starts(0), TOKEN, UNTIL - 1);
        assert_eq!(batch.commands.len(), 1);
        assert_eq!(send_before(&batch), Some(UNTIL));
    }
    // The watch has shown since that the job had not ended.
    let mut machine = recorded();
    let batch = machine.due_commands(None, starts(UNTIL - 10), TOKEN, UNTIL);
    assert_eq!(send_before(&batch), Some(UNTIL - 10 + LIVE_READ_MAX_AGE_MS));
    // Without a live lease nothing is started, and nothing is withheld for its age.
    let mut machine = recorded();
    let batch = machine.due_commands(None, StartPermission::NONE, TOKEN, RECORDED_AT);
    assert_eq!(batch, CommandBatch::default());
    assert!(!machine.has_outdated_start(StartPermission::NONE, UNTIL));
}

#[test]
fn commands_are_sent_before_the_first_of_their_starts_is_outdated() {
    let mut machine = machine(|attempt| attempt.job_live_at = Some(300));
    let mut second = machine.attempts[0].clone();
    second.task.index = 1;
    second.job_live_at = Some(100);
    machine.attempts.push(second);
    let batch = machine.due_commands(None, starts(0), TOKEN, 400);
    assert_eq!(batch.commands.len(), 2);
    assert_eq!(send_before(&batch), Some(100 + LIVE_READ_MAX_AGE_MS));
}
