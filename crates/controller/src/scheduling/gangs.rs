//! Gang scheduling: all tasks of a gang share one attempt number, a replacement joins only before the start,
//! all tasks are stopped in an orderly way, and no new attempt begins while any task of the old one may be
//! on a machine.

use crate::protocol::TaskEndCause;

/// The state of one attempt of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GangAttempt {
    /// The number that all its tasks have.
    pub number: u64,
    /// A task of it was seen running: from then on a lost task breaks it.
    pub started: bool,
    /// It will not complete; its tasks are stopped and a new attempt follows.
    pub broken: bool,
}

impl GangAttempt {
    /// An attempt that has not started.
    pub fn new(number: u64) -> GangAttempt {
        GangAttempt {
            number,
            started: false,
            broken: false,
        }
    }

    /// Notes that a task of this attempt is gone without an exit.
    pub fn record_lost_task(&mut self) {
        // Before the start the others wait, and a replacement completes the gang.
        self.broken |= self.started;
    }

    /// Notes that a task of this attempt has ended otherwise than done; others of it may still be `fetching`
    /// their image.
    pub fn record_ended_task(&mut self, why: TaskEndCause, fetching: bool) {
        match why {
            // The worker refused it: another machine may take it.
            TaskEndCause::NoRoom | TaskEndCause::Busy => self.record_lost_task(),
            // Its image was there long before the others': it joins them again. A new
            // attempt would give their fetches up, and where an image takes longer
            // than a task waits for its gang, no attempt would ever start.
            TaskEndCause::Alone if fetching => self.started = false,
            _ => self.broken = true,
        }
    }

    /// Whether missing tasks may join it.
    pub fn accepts_tasks(&self) -> bool {
        !self.started && !self.broken
    }
}

#[cfg(test)]
mod tests;
