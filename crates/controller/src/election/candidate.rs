//! The candidate: it requests a lease and claims the leader's key under it.

use super::{Election, ElectionEvent, Leadership, NextCall, PendingCall, RequestedLease};
use crate::constants::{CLAIM_TIMEOUT_MS, LEADER_LEASE_MS, LEADER_LOOKUP_RETRY_MS, LEADER_SLOW_LEASE_MS};
use crate::io::{Io, Method, Outcome, json};
use crate::model::Timestamp;
use crate::protocol::{
    Change, Condition, LeaseRequest, LeaseResponse, Transaction, TransactionResponse, paths,
};
use crate::storage::records::{LEADER_KEY, Record};

impl Election {
    pub(super) fn request_lease(&mut self, io: &mut Io) {
        let ttl_ms = if self.claim_timed_out {
            LEADER_SLOW_LEASE_MS
        } else {
            LEADER_LEASE_MS
        };
        let call = io.state_call(
            Method::Post,
            paths::LEASES.to_owned(),
            json(&LeaseRequest { ttl_ms }),
            self.claim_timeout_ms(),
        );
        let requested_at = io.now;
        self.calls.insert(call, PendingCall::GrantLease { requested_at });
    }

    /// Timeout of one call of an election, in ms.
    fn claim_timeout_ms(&self) -> u64 {
        if self.claim_timed_out {
            LEADER_LEASE_MS
        } else {
            CLAIM_TIMEOUT_MS
        }
    }

    pub(super) fn on_lease_granted(&mut self, requested_at: Timestamp, outcome: &Outcome, io: &mut Io) {
        // A response here does not show that the service is fast again: only the response to the
        // claim, the second call, does.
        self.claim_timed_out |= *outcome == Outcome::NoAnswer;
        match outcome.read::<LeaseResponse>(&[200]) {
            Some(answer) => {
                let lease = RequestedLease {
                    id: answer.lease,
                    requested_at,
                };
                self.claim_key(lease, io);
            }
            None => self.retry(io),
        }
    }

    /// Creates the leader's key on the condition that it does not exist.
    fn claim_key(&mut self, lease: RequestedLease, io: &mut Io) {
        let body = Transaction {
            conditions: vec![Condition {
                key: LEADER_KEY.to_owned(),
                version: 0,
            }],
            changes: vec![Change::Put {
                key: LEADER_KEY.to_owned(),
                value: self.record().to_value(),
                lease: Some(lease.id),
            }],
        };
        self.call_in_flight = true;
        let call = io.state_call(
            Method::Post,
            paths::TRANSACTION.to_owned(),
            json(&body),
            self.claim_timeout_ms(),
        );
        self.calls.insert(call, PendingCall::ClaimKey(lease));
    }

    pub(super) fn on_claim(
        &mut self,
        lease: RequestedLease,
        outcome: &Outcome,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        self.claim_timed_out = *outcome == Outcome::NoAnswer;
        let Some(answer) = outcome.read::<TransactionResponse>(&[200]) else {
            self.next_call = NextCall::ReadKey;
            self.next_call_at = if outcome.status() == Some(409) {
                io.now
            } else {
                io.now + LEADER_LOOKUP_RETRY_MS
            };
            return None;
        };
        let token = answer.revision;
        log::info!("leader elected token={token}");
        self.known_leader = Some(self.node.clone());
        self.leadership = Some(Leadership {
            token,
            // The lifetime of the lease is counted from before it was granted.
            lease,
            next_renewal: io.now,
        });
        Some(ElectionEvent::Elected { token })
    }
}
