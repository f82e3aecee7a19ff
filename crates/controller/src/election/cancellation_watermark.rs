//! The time up to which a leader has provably seen every end of a job, and how long that allows it
//! to renew worker leases.
//!
//! A confirmed renewal proves that the leader's lease is live, but nothing about jobs that other
//! nodes ended in the meantime. Their tasks must have stopped `cancel_s` after a user was told, and a
//! worker that a leader answered at `t` may run them until `t + lease_s`, because nobody else stops
//! them while the state service is unavailable. Therefore a leader answers reports only up to
//! `observed_until + cancel_s - lease_s`, less a margin. `observed_until` is advanced by a read of
//! the jobs' records, or a watch on them, once its response has been processed, to the time at
//! which the request was *sent*: the response may have been in flight for long.

use crate::constants::{
    CANCEL_MARGIN_MS, CLOCK_DRIFT_PPM, LEADER_LEASE_MS, LEASE_MARGIN_MS, PARTS_PER_MILLION, SECOND_MS,
};
use crate::model::Timestamp;
use crate::settings::WorkerSettings;

/// What a leader has observed of ended jobs in one term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancellationWatermark {
    /// Every end before this time is known and processed. In ms of this node's clock.
    observed_until: Timestamp,
    /// When the last read or watch that has been answered was sent, also a read of a part of the records.
    last_progress_at: Timestamp,
    /// The records are still being read, so nothing is known yet.
    is_unread: bool,
    grace_ms: u64,
}

impl CancellationWatermark {
    /// The watermark of a leader that has not read the records yet.
    pub fn unread(workers: &WorkerSettings, now: Timestamp) -> CancellationWatermark {
        CancellationWatermark {
            observed_until: now,
            last_progress_at: now,
            is_unread: true,
            grace_ms: grace_ms(workers),
        }
    }

    /// The response to a read or a watch that was sent at that time has been processed.
    pub fn advance(&mut self, sent: Timestamp) {
        self.is_unread = false;
        self.observed_until = self.observed_until.max(sent);
        self.note_progress(sent);
    }

    /// A read of a part of the records that was sent at that time has been answered. It shows no end of a job, but that
    /// the state service answers this leader.
    pub fn note_progress(&mut self, sent: Timestamp) {
        self.last_progress_at = self.last_progress_at.max(sent);
    }

    /// Whether the state service has answered nothing for so long that a peer may be better placed. A leader that is
    /// still reading the records leads on, however long that takes: its successor would begin anew.
    pub fn has_stalled(&self, now: Timestamp) -> bool {
        now >= self.last_progress_at + self.grace_ms
    }

    /// Whether a response that renews a worker's lease cannot keep a task running for too long
    /// after its cancellation.
    pub fn permits_lease_renewal(&self, now: Timestamp) -> bool {
        !self.is_unread && !self.is_expired(now)
    }

    /// Whether nothing was learned for so long that this leader may not renew any worker lease.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        now >= self.observed_until + self.grace_ms
    }

    /// Every end of a job before this time is known, in ms of this node's clock; `None` if nothing is known yet.
    pub fn ends_known_until(&self) -> Option<Timestamp> {
        (!self.is_unread).then_some(self.observed_until)
    }

    /// How long nothing has been learned, in ms.
    pub fn age_ms(&self, now: Timestamp) -> u64 {
        now.saturating_sub(self.observed_until)
    }
}

/// How long after its watermark, and after its last lease renewal, a leader may answer workers with
/// its token, in ms. A worker's lease then expires early enough for any cancellation that this
/// leader may have missed, and the next leader assumes nothing longer.
///
/// Where a lease lasts nearly as long as a cancellation may take, or longer, no response could be
/// proved harmless (see [`proves_cancellations`]): such a leader has no grace period, and answers
/// while its own lease is live.
pub fn grace_ms(workers: &WorkerSettings) -> u64 {
    spare_ms(workers)
        .saturating_sub(CANCEL_MARGIN_MS)
        .max(LEADER_LEASE_MS)
}

/// How long after the start of a term, in ms, every worker lease that former leaders renewed has expired, by the
/// clock of the leader: the grace period of the last of them, and a lease.
pub fn former_leases_end_ms(workers: &WorkerSettings) -> u64 {
    grace_ms(workers) + lease_end_ms(workers)
}

/// How long after it was last renewed a worker lease has certainly expired, in ms by the clock of the leader.
pub fn lease_end_ms(workers: &WorkerSettings) -> u64 {
    let lease_ms = (workers.lease_s * SECOND_MS as f64) as u64;
    lease_ms + lease_ms * CLOCK_DRIFT_PPM / PARTS_PER_MILLION + LEASE_MARGIN_MS
}

/// Whether these settings leave a leader enough time to prove that tasks it keeps running have stopped
/// `cancel_s` after their cancellation.
pub fn proves_cancellations(workers: &WorkerSettings) -> bool {
    spare_ms(workers) >= LEADER_LEASE_MS + LEASE_MARGIN_MS
}

/// How much longer than a lease a cancellation may take, in ms.
fn spare_ms(workers: &WorkerSettings) -> u64 {
    // A negative difference becomes 0.
    ((workers.cancel_s - workers.lease_s) * SECOND_MS as f64) as u64
}

#[cfg(test)]
mod tests;
