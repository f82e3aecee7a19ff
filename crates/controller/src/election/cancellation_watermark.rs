//! Up to when a leader has provably seen every end of a job, and how long that lets it keep
//! workers' leases alive.
//!
//! An answered renewal proves that the leader's lease lives; it says nothing about jobs that other
//! nodes ended meanwhile. Their tasks must be gone `cancel_s` after a user was told, and a worker
//! that a leader answered at `t` may run them until `t + lease_s`, as nobody else stops them while
//! the state service is down. So a leader answers reports only up to `seen + cancel_s - lease_s`,
//! less a margin. `seen` moves by a reading of the jobs' records, or a watch on them, that was
//! answered and worked off, and to the time at which its question was *sent*: the answer may have
//! been under way for long.

use crate::constants::{CANCEL_MARGIN_MS, LEADER_LEASE_MS, LEASE_MARGIN_MS, SECOND_MS};
use crate::model::Timestamp;
use crate::settings::WorkerSettings;

/// What a leader has seen of jobs' ends, in one term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancellationWatermark {
    /// Every end before that is known and followed. In ms of this node's clock.
    observed_until: Timestamp,
    /// The records are being read: nothing is known yet.
    is_unread: bool,
    grace_ms: u64,
}

impl CancellationWatermark {
    /// Of a leader that has read nothing yet.
    pub fn unread(workers: &WorkerSettings, now: Timestamp) -> CancellationWatermark {
        CancellationWatermark {
            observed_until: now,
            is_unread: true,
            grace_ms: grace_ms(workers),
        }
    }

    /// A reading or a watch that was sent then is answered and worked off.
    pub fn advance(&mut self, sent: Timestamp) {
        self.is_unread = false;
        self.observed_until = self.observed_until.max(sent);
    }

    /// Whether an answer that renews a worker's lease can keep alive nothing that was cancelled
    /// for too long.
    pub fn permits_lease_renewal(&self, now: Timestamp) -> bool {
        !self.is_unread && !self.is_expired(now)
    }

    /// Whether nothing was learned for so long that this leader can keep nobody alive.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        now >= self.observed_until + self.grace_ms
    }

    /// For how long nothing has been learned, in ms.
    pub fn age_ms(&self, now: Timestamp) -> u64 {
        now.saturating_sub(self.observed_until)
    }
}

/// How long after its watermark, and after its last lease renewal, a leader may answer workers with
/// its token, in ms. A worker's lease then expires early enough for any cancellation that this leader
/// may have missed; and the next leader counts on nothing longer.
///
/// Where a lease lasts nearly as long as a cancellation may take, or longer, no answer could be
/// proved harmless (see [`proves_cancellations`]): such a leader has no grace, and answers while its
/// own lease lives.
pub fn grace_ms(workers: &WorkerSettings) -> u64 {
    spare_ms(workers)
        .saturating_sub(CANCEL_MARGIN_MS)
        .max(LEADER_LEASE_MS)
}

/// Whether these settings leave a leader time to prove that what it keeps alive is gone `cancel_s`
/// after its cancellation.
pub fn proves_cancellations(workers: &WorkerSettings) -> bool {
    spare_ms(workers) >= LEADER_LEASE_MS + LEASE_MARGIN_MS
}

/// What a cancellation may take beyond a lease, in ms.
fn spare_ms(workers: &WorkerSettings) -> u64 {
    // A negative difference becomes 0.
    ((workers.cancel_s - workers.lease_s) * SECOND_MS as f64) as u64
}

#[cfg(test)]
mod tests;
