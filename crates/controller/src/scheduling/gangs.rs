//! Gang scheduling: all tasks of a gang share one attempt number, a replacement task may join only before the
//! start, all tasks are stopped gracefully, and no new attempt begins while any task of the old one may still
//! be on a machine.

use crate::protocol::TaskEndCause;

/// The state of one attempt of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GangAttempt {
    /// The attempt number of all its tasks.
    pub number: u64,
    /// Whether a task of it was seen running. From then on, losing a task breaks the attempt.
    pub started: bool,
    /// Whether it cannot complete any more. Its tasks are stopped, and a new attempt follows.
    pub broken: bool,
}

impl GangAttempt {
    /// Creates an attempt that has not started.
    pub fn new(number: u64) -> GangAttempt {
        GangAttempt {
            number,
            started: false,
            broken: false,
        }
    }

    /// Records that a task of this attempt was lost without exiting.
    pub fn record_lost_task(&mut self) {
        // Before the start the other tasks wait, and a replacement completes the gang.
        self.broken |= self.started;
    }

    /// Records that a task of this attempt ended without being done. `fetching` tells whether other tasks of
    /// it are still fetching their image.
    pub fn record_ended_task(&mut self, cause: TaskEndCause, fetching: bool) {
        match cause {
            // The worker refused the task, so another machine may run it.
            TaskEndCause::NoRoom | TaskEndCause::Busy => self.record_lost_task(),
            // Its image was fetched long before the others', so it joins them again. A new attempt would
            // abandon their fetches, and if fetching takes longer than a task waits for its gang, no attempt
            // would ever start.
            TaskEndCause::Alone if fetching => self.started = false,
            _ => self.broken = true,
        }
    }

    /// Whether missing tasks may join this attempt.
    pub fn accepts_tasks(&self) -> bool {
        !self.started && !self.broken
    }
}

#[cfg(test)]
mod tests;
