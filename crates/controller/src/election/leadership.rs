//! The leader: it renews its lease, and its token with the leader's key.

use super::{Election, ElectionEvent, PendingCall, RequestedLease};
use crate::constants::{CLOCK_DRIFT_PPM, LEADER_LEASE_MS, LEADER_RENEWAL_MS, PARTS_PER_MILLION};
use crate::io::{Io, Method, Outcome, json};
use crate::model::Timestamp;
use crate::protocol::{Change, LeaseRequest, StoredItem, paths};
use crate::storage::records::{LEADER_KEY, LeaderRecord, Record};
use indigopath_fencing::HeldLease;

/// The state of a leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Leadership {
    pub(super) token: u64,
    /// The lease, and when the last confirmed renewal was sent.
    pub(super) lease: RequestedLease,
    pub(super) next_renewal: Timestamp,
}

impl Leadership {
    /// The token, and the time until which the lease is certainly live: counted from when the last
    /// confirmed renewal was sent, less the clock drift.
    pub(super) fn held_lease(&self) -> HeldLease {
        let lifetime_ms = LEADER_LEASE_MS - LEADER_LEASE_MS * CLOCK_DRIFT_PPM / PARTS_PER_MILLION;
        HeldLease {
            epoch: self.token,
            until: self.lease.requested_at + lifetime_ms,
        }
    }
}

impl Election {
    /// Renews the lease when that is due, and steps down when the leader may no longer answer
    /// workers.
    pub(super) fn run_due_leader_work(&mut self, io: &mut Io) -> Option<ElectionEvent> {
        // Without the state service a leader cannot distinguish an outage, in which it still leads,
        // from being the only node that is refused. It continues to answer workers for as long as
        // its cancellation watermark permits, and never so long that the next leader could consider
        // their leases expired.
        if !self.may_renew_worker_leases(io.now) {
            return Some(self.step_down("lease not renewed in time"));
        }
        let leadership = self.leadership.as_mut()?;
        if io.now < leadership.next_renewal {
            return None;
        }
        leadership.next_renewal = io.now + LEADER_RENEWAL_MS;
        let lease = RequestedLease {
            id: leadership.lease.id,
            requested_at: io.now,
        };
        let call = io.state_call(
            Method::Post,
            paths::renew_lease(lease.id),
            json(&LeaseRequest {
                ttl_ms: LEADER_LEASE_MS,
            }),
            // The next renewal does not wait for this one, and a response proves the lease from
            // when the renewal was sent.
            LEADER_LEASE_MS,
        );
        self.calls.insert(call, PendingCall::RenewLease(lease));
        None
    }

    pub(super) fn on_lease_renewal(
        &mut self,
        renewed: RequestedLease,
        outcome: &Outcome,
    ) -> Option<ElectionEvent> {
        let leadership = self.leadership.as_mut()?;
        if leadership.lease.id != renewed.id {
            return None;
        }
        match outcome.status() {
            Some(200) => {
                let lease = &mut leadership.lease;
                lease.requested_at = lease.requested_at.max(renewed.requested_at);
                None
            }
            Some(404) => Some(self.step_down("lease expired")),
            // The next renewal is due within a third of the lease anyway.
            _ => None,
        }
    }

    /// The change that renews the leader's key, and with it the token.
    pub fn key_renewal(&self) -> Option<Change> {
        self.lease().map(|lease| Change::Put {
            key: LEADER_KEY.to_owned(),
            value: self.record().to_value(),
            lease: Some(lease),
        })
    }

    /// The leader's key was renewed, and its new version is the token.
    pub fn on_key_renewed(&mut self, token: u64) {
        if let Some(leadership) = &mut self.leadership {
            leadership.token = leadership.token.max(token);
        }
    }

    /// Whether the key, as read, belongs to this leader: written by this process, under the lease
    /// that it leads under. The key is deleted only with its lease, so nobody else has led since
    /// its claim. The node name alone does not prove that: a claim of this node that was executed
    /// late, under a lease that an outage kept alive, has it too, and others may have led before
    /// it.
    pub fn is_own_key(&self, item: Option<&StoredItem>) -> bool {
        let lease = self.lease();
        lease.is_some()
            && item.is_some_and(|item| {
                item.lease == lease
                    && LeaderRecord::from_value(&item.value).is_ok_and(|record| record == self.record())
            })
    }
}
