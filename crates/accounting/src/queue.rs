//! A team's queue of live jobs and the reason why each job waits.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Why a live job waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WaitReason {
    /// It does not wait: all its tasks are done or on machines.
    Nothing,
    /// It is held by its user or by a limit.
    Held,
    /// The records of its submit file are not written yet.
    Recording,
    /// It backs off after failures on several machines.
    Retry,
    /// It needs units of a counted resource.
    Units,
    /// It needs machines.
    Machines,
    /// Other jobs are ahead of it, or its team is at its limit.
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

    /// The name in metrics and responses.
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

/// A team's live jobs in scheduling order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Queue {
    jobs: Vec<QueuedJob>,
}

impl Queue {
    /// Appends a job.
    pub fn push(&mut self, job: Arc<str>, wait_reason: WaitReason) {
        self.jobs.push(QueuedJob { job, wait_reason });
    }

    /// The jobs and their wait reasons, in order.
    pub fn jobs(&self) -> impl Iterator<Item = (&Arc<str>, WaitReason)> {
        self.jobs.iter().map(|queued| (&queued.job, queued.wait_reason))
    }

    /// The number of jobs that wait for this reason.
    pub fn count_waiting(&self, reason: WaitReason) -> usize {
        self.jobs
            .iter()
            .filter(|queued| queued.wait_reason == reason)
            .count()
    }
}
