//! One attempt at a task on a machine.

use super::{Change, ReportNumber};
use crate::constants::SECOND_MS;
use crate::model::{Resources, TaskId, Timestamp};
use crate::protocol::{TaskEndCause, TaskState};
use crate::storage::records::StartRecord;
use indigopath_counted_resources::Demand;
use std::sync::Arc;

/// A direct command that may still be executed minutes later, while agent epoch and token match: it
/// was never answered, or a duplicate of it may be in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnacknowledgedCommand {
    /// Agent epoch that it was sent to.
    pub agent_epoch: u64,
    /// Fencing token that it carried.
    pub token: u64,
}

impl UnacknowledgedCommand {
    /// Whether the worker refuses the command: it has a later agent epoch or a higher token.
    pub(super) fn refused_by(self, agent_epoch: u64, token: u64) -> bool {
        agent_epoch > self.agent_epoch || token > self.token
    }
}

/// A requested stop of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stop {
    /// Seconds that the task is given to write a checkpoint.
    pub grace_s: f64,
    /// When the leader decided it.
    pub requested_at: Timestamp,
    /// When the command was last sent.
    pub last_sent_at: Option<Timestamp>,
}

impl Stop {
    /// A stop of which no command has been sent yet.
    pub fn requested(grace_s: f64, now: Timestamp) -> Stop {
        Stop {
            grace_s,
            requested_at: now,
            last_sent_at: None,
        }
    }
}

/// One attempt at a task, from its placement until it is provably gone from its machine.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub task: TaskId,
    /// Distinguishes the attempts at one task.
    pub number: u64,
    pub team: Arc<str>,
    /// Resources of its machine that it takes.
    pub needs: Resources,
    /// Units of counted resources that it holds for as long as it may be running.
    pub counts: Demand,
    pub image: Option<Arc<str>>,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// The owner's estimate of its run time, in s; 0 for none.
    pub estimate_s: f64,
    /// Its start is recorded in the state service. It is not sent before.
    pub durable: bool,
    /// When the transaction that recorded its start was sent, on this node's clock: its job was
    /// live then or later.
    pub job_live_at: Option<Timestamp>,
    /// Loaded from the record of a previous leader, which may have sent it.
    pub from_previous_leader: bool,
    /// No record lists it, only a report without this leader's token. That report may be older than
    /// the records, from which a start is removed only when it is provably gone. It holds no units.
    pub unconfirmed: bool,
    /// The report in whose response the start was sent.
    pub sent_in_reply_to: Option<ReportNumber>,
    /// A task of a gang from a previous leader's record. After a timeout of its gang it rejoins
    /// under the same attempt number, so a reported end of this number may be older than the
    /// record.
    pub is_idempotent_restart: bool,
    /// A direct command with its start is in flight.
    pub start_in_flight: bool,
    /// A peer reported that its job may have ended, so its start is not sent: the number of that
    /// notice. A read of the job's record requested later resolves it.
    pub awaiting_reread: Option<u64>,
    /// A direct command with its start that was never answered.
    pub unacknowledged: Option<UnacknowledgedCommand>,
    /// The last direct command with its start that was executed. A duplicate may still arrive, and
    /// has no effect only while the worker knows the attempt.
    pub last_delivered: Option<UnacknowledgedCommand>,
    /// Its state in the newest report that lists it.
    pub reported_state: Option<TaskState>,
    /// Why it ended.
    pub exit_cause: Option<TaskEndCause>,
    /// When it was first seen running.
    pub running_since: Option<Timestamp>,
    /// When it was placed.
    pub planned_at: Timestamp,
    /// Its image was not on its machine when it was placed.
    pub needs_image_fetch: bool,
    /// The stop requested for it, if any.
    pub stop: Option<Stop>,
    /// Its end has been processed and a result recorded, so that the worker may forget it.
    pub end_processed: bool,
}

/// Delivery state of an attempt's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartDelivery {
    /// No message that could start it was ever sent.
    NeverSent,
    /// It was sent.
    Sent,
    /// The attempt has ended, but an unanswered start may arrive late and run it again.
    MayRepeat,
}

/// Whether a task can only have ended this way after its image was fetched.
pub(super) fn proves_image(cause: Option<TaskEndCause>) -> bool {
    matches!(
        cause,
        Some(TaskEndCause::Done | TaskEndCause::Error | TaskEndCause::Alone | TaskEndCause::Peers)
    )
}

impl Attempt {
    /// An attempt that was just placed, and neither recorded nor sent.
    pub fn planned(
        task: TaskId,
        number: u64,
        team: Arc<str>,
        needs: Resources,
        image: Arc<str>,
        now: Timestamp,
    ) -> Attempt {
        Attempt {
            task,
            number,
            team,
            needs,
            counts: Demand::default(),
            image: Some(image),
            image_gb: 0.0,
            estimate_s: 0.0,
            durable: false,
            job_live_at: None,
            from_previous_leader: false,
            unconfirmed: false,
            sent_in_reply_to: None,
            is_idempotent_restart: false,
            start_in_flight: false,
            awaiting_reread: None,
            unacknowledged: None,
            last_delivered: None,
            reported_state: None,
            exit_cause: None,
            running_since: None,
            planned_at: now,
            needs_image_fetch: false,
            stop: None,
            end_processed: false,
        }
    }

    /// Whether it is reported as ended.
    pub fn exited(&self) -> bool {
        self.reported_state == Some(TaskState::Exited)
    }

    /// Whether it may be running on the machine, now or through a command that is still in flight.
    pub fn may_be_running(&self) -> bool {
        !self.exited() || self.unacknowledged.is_some()
    }

    /// Whether it is done and its result is not recorded yet. Until then the record of its start is
    /// all that a new leader knows of it.
    pub(super) fn has_unrecorded_result(&self) -> bool {
        self.exited() && self.exit_cause == Some(TaskEndCause::Done) && !self.end_processed
    }

    /// Whether its start is still to be recorded.
    pub fn is_unrecorded(&self) -> bool {
        !self.durable && self.may_be_running()
    }

    /// The record of its start. One that is recorded only for its result holds no units any more: the same
    /// transaction may give them to others.
    pub fn start_record(&self) -> StartRecord {
        let counts = if self.holds_units() {
            self.counts.clone()
        } else {
            Demand::default()
        };
        StartRecord {
            job: self.task.job.clone(),
            index: self.task.index,
            attempt: self.number,
            team: self.team.clone(),
            needs: self.needs,
            counts,
        }
    }

    /// Whether it is waiting for its image, as far as known.
    pub fn is_fetching(&self) -> bool {
        match self.reported_state {
            Some(TaskState::Fetching) => true,
            None => self.needs_image_fetch || self.from_previous_leader,
            Some(_) => false,
        }
    }

    /// The image that it is waiting for.
    pub(super) fn fetched_image(&self) -> Option<Arc<str>> {
        self.image.clone().filter(|_| self.is_fetching())
    }

    /// Whether it holds units of counted resources exclusively.
    pub fn holds_units(&self) -> bool {
        !self.counts.is_empty() && self.may_be_running() && !self.unconfirmed
    }

    /// Whether it ended in a way that proves that its image was fetched.
    pub(super) fn had_image(&self) -> bool {
        proves_image(self.exit_cause)
    }

    /// Whether the other tasks of its gang did not have their images in time. It may rejoin them
    /// once its worker has forgotten this end.
    pub fn gang_wait_timed_out(&self) -> bool {
        self.exited() && self.exit_cause == Some(TaskEndCause::Alone)
    }

    /// Seconds for which it has been seen running.
    pub fn elapsed_s(&self, now: Timestamp) -> f64 {
        self.running_since
            .map_or(0.0, |since| now.saturating_sub(since) as f64 / SECOND_MS as f64)
    }

    /// Whether no message that could start it was ever sent.
    pub fn never_sent(&self) -> bool {
        !self.from_previous_leader
            && self.sent_in_reply_to.is_none()
            && !self.start_in_flight
            && self.unacknowledged.is_none()
            && self.reported_state.is_none()
    }

    /// What happens to its units when it is no longer on its machine. Only a task that reports
    /// itself done, or was never admitted, has surely returned them. A task that was stopped or
    /// lost may have left them checked out at their licence server for a while, and so may a late
    /// start of a task that had ended.
    pub(super) fn units_freed(&self, start: StartDelivery) -> Change {
        let by_itself = matches!(
            self.exit_cause,
            Some(TaskEndCause::Done | TaskEndCause::NoRoom | TaskEndCause::Busy | TaskEndCause::Unknown)
        );
        Change::Freed {
            team: self.team.clone(),
            counts: self.counts.clone(),
            lingers: match start {
                StartDelivery::NeverSent => false,
                StartDelivery::MayRepeat => true,
                StartDelivery::Sent => !self.exited() || !by_itself,
            },
        }
    }

    /// How far the delivery of its start has got.
    pub(super) fn start_delivery(&self) -> StartDelivery {
        if self.never_sent() {
            StartDelivery::NeverSent
        } else if self.exited() && self.unacknowledged.is_some() {
            StartDelivery::MayRepeat
        } else {
            StartDelivery::Sent
        }
    }

    /// Whether its start may have reached an earlier agent epoch, which ended with everything that
    /// ran on the machine. Nobody saw it run, but its units may still be checked out at their
    /// server.
    pub(super) fn may_have_run_in_earlier_epoch(&self, agent_epoch: u64) -> bool {
        !self.exited()
            && self.reported_state.is_none()
            && (self
                .unacknowledged
                .is_some_and(|unacknowledged| unacknowledged.agent_epoch < agent_epoch)
                || self.sent_in_reply_to.is_some_and(|(sent, _)| sent < agent_epoch))
    }

    /// Whether this is the given attempt at the given task.
    pub(super) fn matches(&self, task: &TaskId, number: u64) -> bool {
        self.number == number && self.task == *task
    }
}
