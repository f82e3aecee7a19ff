//! Recent notices of peers about jobs. A reading that began before a peer's notice may be older than what
//! the peer has told its users, so it is not returned.

use crate::constants::{MAX_PEER_NOTICES, USER_WRITE_TIMEOUT_MS};
use crate::model::{JobId, Timestamp};
use std::collections::HashMap;

/// The latest notice of a job.
#[derive(Debug)]
struct PeerNotice {
    received_at: Timestamp,
    /// When this node first learned from a peer that the job's end is committed.
    ended_since: Option<Timestamp>,
}

/// The latest notice of each job, at most [`MAX_PEER_NOTICES`] of them.
#[derive(Debug, Default)]
pub(super) struct PeerNotices {
    notices: HashMap<JobId, PeerNotice>,
}

impl PeerNotices {
    /// Records a notice. Returns false if there is no room; the notice must not be acknowledged then.
    pub(super) fn record(&mut self, job: JobId, ended: bool, now: Timestamp) -> bool {
        if self.notices.len() >= MAX_PEER_NOTICES {
            self.notices
                .retain(|_, notice| now < notice.received_at + USER_WRITE_TIMEOUT_MS);
        }
        if self.notices.len() >= MAX_PEER_NOTICES && !self.notices.contains_key(&job) {
            return false;
        }
        let notice = self.notices.entry(job).or_insert(PeerNotice {
            received_at: now,
            ended_since: None,
        });
        notice.received_at = now;
        if ended {
            notice.ended_since.get_or_insert(now);
        }
        true
    }

    /// Whether a notice about the job arrived at `since` or later. A reading that began at `since` may then
    /// be older than what the peer has told its users.
    pub(super) fn supersedes(&self, job: &JobId, since: Timestamp) -> bool {
        self.notices
            .get(job)
            .is_some_and(|notice| notice.received_at >= since)
    }

    /// When this node first learned from a peer that the job's end is committed.
    pub(super) fn ended_since(&self, job: &JobId) -> Option<Timestamp> {
        self.notices.get(job).and_then(|notice| notice.ended_since)
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.notices.len()
    }
}
