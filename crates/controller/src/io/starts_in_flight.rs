//! Direct commands with starts that the host may not have sent yet.

use super::CallId;
use crate::model::{JobId, Timestamp};
use std::collections::{BTreeSet, HashMap};

/// Starts in calls whose outcome is not known.
///
/// The host sends a call only once it is connected to the worker, so an acknowledgement that was decided later may be
/// sent earlier. A node therefore acknowledges the end of a job only once no start of it can be sent any more.
#[derive(Debug, Default)]
pub struct StartsInFlight {
    calls: HashMap<CallId, StartCall>,
}

#[derive(Debug)]
struct StartCall {
    jobs: BTreeSet<JobId>,
    /// The host drops the call from this time on.
    send_before: Timestamp,
}

impl StartsInFlight {
    /// Records a call that starts tasks of these jobs, and that must be sent before a time.
    pub fn insert(&mut self, call: CallId, jobs: BTreeSet<JobId>, send_before: Timestamp) {
        self.calls.insert(call, StartCall { jobs, send_before });
    }

    /// Records that the outcome of a call is known, if it is one of these.
    pub fn complete(&mut self, call: CallId) {
        self.calls.remove(&call);
    }

    /// Whether a start of the job may still be sent.
    pub fn may_be_sent(&self, job: &JobId, now: Timestamp) -> bool {
        let mut calls = self.calls.values();
        calls.any(|call| now < call.send_before && call.jobs.contains(job))
    }
}

#[cfg(test)]
mod tests;
