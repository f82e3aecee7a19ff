//! Commands for a worker, sent in responses to its reports and directly.

use super::{Attempt, CommandBatch, Machine, ReportNumber, StartPermission, Stop, UnacknowledgedCommand};
use crate::constants::{SECOND_MS, STOP_RETRY_MS};
use crate::model::{MachineId, Timestamp};
use crate::protocol::{CommandKind, TaskState, WorkerCommand};

impl Stop {
    /// Whether it was never sent, or so long ago that it is sent again.
    fn is_due(&self, now: Timestamp) -> bool {
        self.last_sent_at.is_none_or(|at| now >= at + STOP_RETRY_MS)
    }
}

impl Attempt {
    /// Whether its start is recorded and not sent yet, and nothing but the age of what is known of its job can
    /// prevent sending it.
    fn start_is_pending(&self) -> bool {
        self.durable
            && self.stop.is_none()
            && self.reported_state.is_none()
            && !self.start_in_flight
            && self.awaiting_reread.is_none()
            && !self.from_previous_leader
            && self.sent_in_reply_to.is_none()
    }

    /// If its start is to be sent now, the time before which it must be sent.
    fn start_due_before(&self, starts: StartPermission, now: Timestamp) -> Option<Timestamp> {
        let send_before = starts.send_before(self.job_live_at)?;
        (self.start_is_pending() && now < send_before).then_some(send_before)
    }

    /// Whether its worker could forget it, except that a duplicate of its start would still be
    /// accepted under this token. Attempts of previous leaders never wait: whatever those leaders
    /// sent has a lower token than any response of this one.
    pub fn forget_awaits_token(&self, token: u64) -> bool {
        self.is_forgettable()
            && self
                .last_delivered
                .is_some_and(|last_delivered| last_delivered.token >= token)
    }

    /// Whether its end is processed and no unanswered start of it is in flight.
    fn is_forgettable(&self) -> bool {
        self.exited() && self.end_processed && self.unacknowledged.is_none() && !self.start_in_flight
    }

    /// Logs that its start is sent, and how long ago its job was known to be live.
    fn log_start(&self, machine: &MachineId, answering: Option<ReportNumber>, now: Timestamp) {
        let live_ms_ago = self.job_live_at.map_or(0, |at| now.saturating_sub(at));
        log::debug!(
            "start sent job={} machine={machine} task={} attempt={} direct={} live_ms_ago={live_ms_ago}",
            self.task.job,
            self.task.index,
            self.number,
            answering.is_none()
        );
    }

    /// A command to the worker about this attempt.
    fn command(&self, kind: CommandKind, grace_s: Option<f64>) -> WorkerCommand {
        WorkerCommand {
            kind,
            task: self.task.to_string(),
            attempt: self.number,
            grace_s,
        }
    }

    /// The command to stop it, if it is to be sent now: directly at intervals, and in every
    /// response to a report, because each response renews the lease of everything on the machine.
    /// If it were omitted because a direct command has just carried it, a machine that no direct
    /// command reaches would never get it.
    fn stop_command(&mut self, is_response: bool, now: Timestamp) -> Option<WorkerCommand> {
        let state = self.reported_state.filter(|state| *state != TaskState::Exited)?;
        let stop = self.stop.as_mut()?;
        // A checkpoint that takes longer than granted is aborted.
        let overdue = now >= stop.requested_at + (stop.grace_s * SECOND_MS as f64) as u64 + STOP_RETRY_MS;
        let grace_s = if stop.last_sent_at.is_some() && overdue {
            0.0
        } else {
            stop.grace_s
        };
        // A task that is writing its checkpoint has received the stop.
        let received = state == TaskState::Saving && grace_s > 0.0;
        if !stop.is_due(now) && (!is_response || received) {
            return None;
        }
        stop.last_sent_at = Some(now);
        Some(self.command(CommandKind::Stop, Some(grace_s)))
    }
}

impl Machine {
    /// Commands that follow from the allocations under this token. `answering` is the report that
    /// they respond to. It is `None` for a direct command, which never contains `forget`: a late
    /// one could make a worker forget an attempt that a late start would then run again.
    ///
    /// A worker takes the token of a response into account before its commands: after a `forget`
    /// under a higher token than that of the direct command with the start, nothing can start the
    /// attempt any more.
    pub fn due_commands(
        &mut self,
        answering: Option<ReportNumber>,
        starts: StartPermission,
        token: u64,
        now: Timestamp,
    ) -> CommandBatch {
        let mut batch = CommandBatch::default();
        for attempt in &mut self.attempts {
            if attempt.exited() {
                if answering.is_some() && attempt.is_forgettable() && !attempt.forget_awaits_token(token) {
                    batch.commands.push(attempt.command(CommandKind::Forget, None));
                }
            } else if attempt.stop.is_some() {
                batch
                    .commands
                    .extend(attempt.stop_command(answering.is_some(), now));
            } else if let Some(send_before) = attempt.start_due_before(starts, now) {
                attempt.log_start(&self.id, answering, now);
                let job = attempt.task.job.clone();
                batch.push_start(attempt.command(CommandKind::Start, None), job, send_before);
                match answering {
                    Some(at) => attempt.sent_in_reply_to = Some(at),
                    None => attempt.start_in_flight = true,
                }
            }
        }
        batch
    }

    /// The stops that go into every response to a report, even to one that was overtaken by a newer
    /// message. Nothing else may be derived from such a report, but the response renews the lease.
    pub fn stop_commands(&mut self, now: Timestamp) -> CommandBatch {
        let attempts = self.attempts.iter_mut();
        CommandBatch {
            commands: attempts
                .filter_map(|attempt| attempt.stop_command(true, now))
                .collect(),
            starts: None,
        }
    }

    /// Whether a direct command is due and could be executed.
    pub fn is_direct_command_due(&self, starts: StartPermission, now: Timestamp) -> bool {
        self.accepts_commands() && self.synced && self.wants_direct_command(starts, now)
    }

    /// Whether a direct command could reach the machine now.
    pub fn accepts_commands(&self) -> bool {
        self.addr.is_some() && !self.direct_command_in_flight && !self.unreachable && !self.release_in_flight
    }

    /// Whether a direct command would contain anything.
    pub fn wants_direct_command(&self, starts: StartPermission, now: Timestamp) -> bool {
        self.attempts.iter().any(|attempt| match &attempt.stop {
            Some(stop) => !attempt.exited() && attempt.reported_state.is_some() && stop.is_due(now),
            None => attempt.start_due_before(starts, now).is_some() && attempt.unacknowledged.is_none(),
        })
    }

    /// Whether a direct command with a start could be sent, if only more recent knowledge showed the job of that
    /// start to be live.
    pub fn has_outdated_start(&self, starts: StartPermission, now: Timestamp) -> bool {
        let is_outdated = |attempt: &Attempt| {
            let send_before = starts.send_before(attempt.job_live_at);
            send_before.is_some_and(|at| now >= at)
                && attempt.start_is_pending()
                && attempt.unacknowledged.is_none()
        };
        self.accepts_commands() && self.synced && self.attempts.iter().any(is_outdated)
    }

    /// The direct command was answered, or failed in a way that rules out its execution; its starts
    /// are no longer in flight.
    pub fn on_direct_command_settled(&mut self, executed: bool, token: u64, agent_epoch: u64) {
        // A later agent epoch may have reported in the meantime, without what this one started.
        let at = if agent_epoch == self.agent_epoch {
            (self.agent_epoch, self.seq)
        } else {
            (agent_epoch, 0)
        };
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.start_in_flight) {
            attempt.start_in_flight = false;
            if executed {
                attempt.last_delivered = Some(UnacknowledgedCommand { agent_epoch, token });
                if attempt.reported_state.is_none() {
                    attempt.sent_in_reply_to = Some(at);
                }
            }
        }
    }

    /// The direct command timed out; what it starts may still be executed later.
    pub fn on_direct_command_unanswered(&mut self, token: u64, agent_epoch: u64) {
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.start_in_flight) {
            attempt.start_in_flight = false;
            attempt.unacknowledged = Some(UnacknowledgedCommand { agent_epoch, token });
        }
    }
}
