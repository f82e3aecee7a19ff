//! One attempt at a task, as far as it may be on a machine.

use super::{Change, ReportNumber};
use crate::constants::SECOND_MS;
use crate::model::{Resources, TaskId, Timestamp};
use crate::protocol::{TaskEndCause, TaskState};
use indigopath_counted_resources::Demand;
use std::sync::Arc;

/// A direct command that may be carried out minutes later, while agent epoch and token
/// still match: nobody answered it, or a copy of it is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnacknowledgedCommand {
    /// Agent epoch that it was sent to.
    pub agent_epoch: u64,
    /// Fencing token that it carried.
    pub token: u64,
}

impl UnacknowledgedCommand {
    /// A later agent epoch or a higher token refuses the old command.
    pub(super) fn refused_by(self, agent_epoch: u64, token: u64) -> bool {
        agent_epoch > self.agent_epoch || token > self.token
    }
}

/// An attempt is to be stopped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stop {
    /// Seconds that the task has to write a checkpoint.
    pub grace_s: f64,
    /// When the leader decided it.
    pub requested_at: Timestamp,
    /// When the command was last sent.
    pub last_sent_at: Option<Timestamp>,
}

impl Stop {
    /// A stop that no command has carried yet.
    pub fn requested(grace_s: f64, now: Timestamp) -> Stop {
        Stop {
            grace_s,
            requested_at: now,
            last_sent_at: None,
        }
    }
}

/// One attempt at a task, as far as it may be on this machine.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub task: TaskId,
    /// Tells it from other attempts at the task.
    pub number: u64,
    pub team: Arc<str>,
    /// What it takes of its machine.
    pub needs: Resources,
    /// Units of counts that it holds for as long as it may be on its machine.
    pub counts: Demand,
    pub image: Option<Arc<str>>,
    /// Its size, in GB.
    pub image_gb: f64,
    /// Its owner's estimate of its run time; 0 for none.
    pub estimate_s: f64,
    /// Its start is recorded in the state service; only then is it sent.
    pub durable: bool,
    /// Read from a former leader's record: it may have been sent by that one.
    pub from_previous_leader: bool,
    /// No record names it, and only a report without this leader's token speaks of it: that may be older
    /// than the records, from which a start goes only once it is provably gone. It holds no units.
    pub unconfirmed: bool,
    /// The report in whose answer the start was sent.
    pub sent_in_reply_to: Option<ReportNumber>,
    /// A task of a gang from a former leader's record: who waited in vain joins the same attempt
    /// again, so that an end under this number may be older than the record.
    pub is_idempotent_restart: bool,
    /// A direct command with its start is under way.
    pub start_in_flight: bool,
    /// A peer notified this leader that its job may be over, so that its start is not sent: the number
    /// of that end notice. A reading of the job's record that was asked for later settles it.
    pub awaiting_reread: Option<u64>,
    /// A direct command with its start that nobody answered.
    pub unacknowledged: Option<UnacknowledgedCommand>,
    /// The last direct command that carried its start and was carried out: a copy of it may
    /// still arrive, and does nothing only while the worker knows the attempt.
    pub last_delivered: Option<UnacknowledgedCommand>,
    /// Its state in the newest report that lists it.
    pub reported_state: Option<TaskState>,
    /// Why it ended.
    pub exit_cause: Option<TaskEndCause>,
    /// When it was first seen running.
    pub running_since: Option<Timestamp>,
    /// When it was placed.
    pub planned_at: Timestamp,
    /// When it was placed, its machine did not have its image yet.
    pub needs_image_fetch: bool,
    /// It is to be stopped.
    pub stop: Option<Stop>,
    /// Its end is dealt with (a result durably), so the worker may forget it.
    pub end_processed: bool,
}

/// How far the start of an attempt has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartDelivery {
    /// No message that could start it has ever left.
    NeverSent,
    /// It was sent.
    Sent,
    /// The attempt has ended, but an unanswered start may arrive late and run it again.
    MayRepeat,
}

/// Whether only a task with its image can have ended so.
pub(super) fn proves_image(why: Option<TaskEndCause>) -> bool {
    matches!(
        why,
        Some(TaskEndCause::Done | TaskEndCause::Error | TaskEndCause::Alone | TaskEndCause::Peers)
    )
}

impl Attempt {
    /// An attempt that is placed now, and neither recorded nor sent.
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

    /// It has ended.
    pub fn exited(&self) -> bool {
        self.reported_state == Some(TaskState::Exited)
    }

    /// It may be on the machine, now or by a command still under way.
    pub fn may_be_running(&self) -> bool {
        !self.exited() || self.unacknowledged.is_some()
    }

    /// It is done, and no record says so yet: until one does, the record of its start is all that a
    /// new leader knows of it.
    pub(super) fn has_unrecorded_result(&self) -> bool {
        self.exited() && self.exit_cause == Some(TaskEndCause::Done) && !self.end_processed
    }

    /// It waits for its image, as far as is known.
    pub fn is_fetching(&self) -> bool {
        match self.reported_state {
            Some(TaskState::Fetching) => true,
            None => self.needs_image_fetch || self.from_previous_leader,
            Some(_) => false,
        }
    }

    /// The image that it waits for.
    pub(super) fn fetched_image(&self) -> Option<Arc<str>> {
        self.image.clone().filter(|_| self.is_fetching())
    }

    /// It has units of counts, which nobody else may have.
    pub fn holds_units(&self) -> bool {
        !self.counts.is_empty() && self.may_be_running() && !self.unconfirmed
    }

    /// It has ended in a way that only a task with its image can.
    pub(super) fn had_image(&self) -> bool {
        proves_image(self.exit_cause)
    }

    /// The images of its gang's other tasks were not there in time. It may join them again once its
    /// worker has forgotten this end.
    pub fn gang_wait_timed_out(&self) -> bool {
        self.exited() && self.exit_cause == Some(TaskEndCause::Alone)
    }

    /// Seconds for which it has been seen running.
    pub fn elapsed_s(&self, now: Timestamp) -> f64 {
        self.running_since
            .map_or(0.0, |since| now.saturating_sub(since) as f64 / SECOND_MS as f64)
    }

    /// No message that could start it has ever left.
    pub fn never_sent(&self) -> bool {
        !self.from_previous_leader
            && self.sent_in_reply_to.is_none()
            && !self.start_in_flight
            && self.unacknowledged.is_none()
            && self.reported_state.is_none()
    }

    /// What becomes of its units, now that it is no longer on its machine. Only a task
    /// that says it is done, or that was never let in, has surely given them back; what
    /// was stopped or lost may have left them with their server for a while, and so may
    /// a late start of a task that had ended.
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

    /// How far its start has got.
    pub(super) fn start_delivery(&self) -> StartDelivery {
        if self.never_sent() {
            StartDelivery::NeverSent
        } else if self.exited() && self.unacknowledged.is_some() {
            StartDelivery::MayRepeat
        } else {
            StartDelivery::Sent
        }
    }

    /// Its start may have reached an earlier agent epoch than this, which ended with all that
    /// was on the machine: nobody saw it, but its units may be with their server still.
    pub(super) fn may_have_run_in_earlier_epoch(&self, agent_epoch: u64) -> bool {
        !self.exited()
            && self.reported_state.is_none()
            && (self
                .unacknowledged
                .is_some_and(|unacknowledged| unacknowledged.agent_epoch < agent_epoch)
                || self.sent_in_reply_to.is_some_and(|(sent, _)| sent < agent_epoch))
    }

    pub(super) fn matches(&self, task: &TaskId, number: u64) -> bool {
        self.number == number && self.task == *task
    }
}
