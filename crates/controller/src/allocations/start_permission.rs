//! Which starts may be sent, by the age of the knowledge that their jobs are live.

use crate::constants::LIVE_READ_MAX_AGE_MS;
use crate::model::Timestamp;
use crate::protocol::WorkerCommand;

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

/// Commands for a worker.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CommandBatch {
    /// The commands, in the order in which they are executed.
    pub commands: Vec<WorkerCommand>,
    /// Time before which they must be sent, if there is a start among them.
    pub send_before: Option<Timestamp>,
}

impl CommandBatch {
    /// Adds a start that must be sent before a time.
    pub(super) fn push_start(&mut self, start: WorkerCommand, send_before: Timestamp) {
        self.commands.push(start);
        let earliest = self.send_before.map_or(send_before, |at| at.min(send_before));
        self.send_before = Some(earliest);
    }
}
