//! A team's queue of live jobs, and what each of them waits for.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a live job waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WaitReason {
    /// Nothing: all its tasks are done or on machines.
    Nothing,
    /// To be released: its user, or a limit, holds it.
    Held,
    /// The records of its submit file to be written.
    Recording,
    /// Its next attempt, after it failed on several machines.
    Retry,
    /// Units of a counted resource.
    Units,
    /// Machines.
    Machines,
    /// Its turn, or its team's limit.
    Turn,
}

impl WaitReason {
    /// All reasons.
    pub const ALL: [WaitReason; 7] = [
        WaitReason::Nothing,
        WaitReason::Held,
        WaitReason::Recording,
        WaitReason::Retry,
        WaitReason::Units,
        WaitReason::Machines,
        WaitReason::Turn,
    ];

    /// The name in metrics and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            WaitReason::Nothing => "nothing",
            WaitReason::Held => "held",
            WaitReason::Recording => "recording",
            WaitReason::Retry => "retry",
            WaitReason::Units => "units",
            WaitReason::Machines => "machines",
            WaitReason::Turn => "turn",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct QueuedJob {
    job: Arc<str>,
    wait_reason: WaitReason,
}

/// A team's live jobs in the order in which they are served.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Queue {
    jobs: Vec<QueuedJob>,
}

impl Queue {
    /// Adds the next job.
    pub fn push(&mut self, job: Arc<str>, wait_reason: WaitReason) {
        self.jobs.push(QueuedJob { job, wait_reason });
    }

    /// The jobs in order.
    pub fn jobs(&self) -> impl Iterator<Item = (&Arc<str>, WaitReason)> {
        self.jobs.iter().map(|queued| (&queued.job, queued.wait_reason))
    }

    /// How many jobs wait for this.
    pub fn count_waiting(&self, reason: WaitReason) -> usize {
        self.jobs
            .iter()
            .filter(|queued| queued.wait_reason == reason)
            .count()
    }
}
