//! Which starts may be sent, by the age of the knowledge that their jobs are live.

use crate::constants::LIVE_READ_MAX_AGE_MS;
use crate::model::{JobId, Timestamp};
use crate::protocol::WorkerCommand;
use std::collections::BTreeSet;

/// Decides which recorded starts may be sent.
///
/// A user is told that a job is cancelled once every controller has acknowledged its end, or
/// [`COMMIT_WAIT_MS`](crate::constants::COMMIT_WAIT_MS) after the end was committed. From then on no task of the job
/// may be started (protocol, cancellation). A leader that has not heard of the end, because its process stood still or
/// is cut off, must therefore not send a start [`LIVE_READ_MAX_AGE_MS`] or more after it sent the request whose
/// response showed the job to be live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartPermission {
    /// Every end of a job before this time is known. `None` if no start may be sent.
    ends_known_until: Option<Timestamp>,
}

impl StartPermission {
    /// No start may be sent.
    pub const NONE: StartPermission = StartPermission {
        ends_known_until: None,
    };

    /// Starts may be sent by a leader that knows every end of a job before this time.
    pub fn with_ends_known_until(time: Timestamp) -> StartPermission {
        StartPermission {
            ends_known_until: Some(time),
        }
    }

    /// The time before which a start must be sent; `None` if it may not be sent at all. `job_live_at` is when the
    /// transaction that recorded it was sent.
    pub(super) fn send_before(self, job_live_at: Option<Timestamp>) -> Option<Timestamp> {
        let ends_known_until = self.ends_known_until?;
        let live_at = job_live_at.map_or(ends_known_until, |at| at.max(ends_known_until));
        Some(live_at + LIVE_READ_MAX_AGE_MS)
    }
}

/// Until when starts may be sent, and of which jobs they are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartLimits {
    /// Time before which they must be sent.
    pub send_before: Timestamp,
    /// The jobs whose tasks they start.
    pub jobs: BTreeSet<JobId>,
}

/// Commands for a worker.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CommandBatch {
    /// The commands, in the order in which they are executed.
    pub commands: Vec<WorkerCommand>,
    /// Limits of the starts among them, if there are any.
    pub starts: Option<StartLimits>,
}

impl CommandBatch {
    /// Adds a start of a task of this job, which must be sent before a time.
    pub(super) fn push_start(&mut self, start: WorkerCommand, job: JobId, send_before: Timestamp) {
        self.commands.push(start);
        let starts = self.starts.get_or_insert_with(|| StartLimits {
            send_before,
            jobs: BTreeSet::new(),
        });
        starts.send_before = starts.send_before.min(send_before);
        starts.jobs.insert(job);
    }
}
