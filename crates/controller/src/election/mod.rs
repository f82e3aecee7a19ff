//! Leader election: the leader holds the key `leader`, which is bound to a short lease of the state
//! service. The version of that key is the fencing token; it only ever rises.
//!
//! A node is one of three things, each in a file of its own:
//! - a follower reads and watches the leader's key (`follower.rs`);
//! - a candidate found no leader and claims the key under a lease of its own (`candidate.rs`);
//! - the leader renews its lease until it steps down (`leadership.rs`).

pub mod cancellation_watermark;
mod candidate;
mod follower;
mod leadership;

use crate::constants::{ELECTION_BACKOFF_MS, STATE_TIMEOUT_MS};
use crate::io::{CallId, Io, Method, Outcome, PendingCalls};
use crate::model::Timestamp;
use crate::protocol::paths;
use crate::settings::Deployment;
use crate::storage::records::LeaderRecord;
use indigopath_fencing::HeldLease;
use leadership::Leadership;

/// A call to the state service that the election waits for.
#[derive(Debug)]
enum PendingCall {
    ReadKey,
    WatchKey,
    GrantLease {
        requested_at: Timestamp,
    },
    ClaimKey(RequestedLease),
    RenewLease(RequestedLease),
    /// The leader gives its lease up.
    ReleaseLease,
    /// A lease of this node under which nobody acts is released.
    ReleaseAbandonedLease,
}

/// A lease of the state service and when this node sent the call that grants or renews it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RequestedLease {
    id: u64,
    requested_at: Timestamp,
}

/// The call that a node which does not lead makes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextCall {
    ReadKey,
    WatchKey,
    GrantLease,
}

/// What changed in this node's role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionEvent {
    /// This node leads, under this fencing token.
    Elected { token: u64 },
    /// This node leads no longer.
    Deposed,
}

/// This node's part in the election, without input or output: [`Election::poll`] issues the calls
/// that are due and [`Election::answered`] takes their answers.
#[derive(Debug)]
pub struct Election {
    node: String,
    incarnation: u64,
    /// What this node holds while it leads.
    leadership: Option<Leadership>,
    /// The node that leads, as far as this one knows.
    known_leader: Option<String>,
    /// Revision of the state service up to which `known_leader` is known.
    revision: u64,
    /// A call of a follower or a candidate is in flight.
    call_in_flight: bool,
    /// Whether the key was read in this life.
    has_read: bool,
    /// The state service no longer tells the changes since `revision`.
    revision_compacted: bool,
    next_call: NextCall,
    next_call_at: Timestamp,
    back_off_until: Timestamp,
    /// How long after its last lease renewal it may answer workers, in ms: see
    /// [`cancellation_watermark::grace_ms`].
    grace_ms: u64,
    /// During a back-off: since when nobody has led, as far as it knows.
    vacant_since: Option<Timestamp>,
    /// A call of the last election was given up: the state service may be slow.
    claim_timed_out: bool,
    calls: PendingCalls<PendingCall>,
}

impl Election {
    /// A follower that knows nothing yet. `incarnation` tells this life of the node from earlier ones.
    pub fn new(node: &str, incarnation: u64, deployment: &Deployment) -> Election {
        Election {
            node: node.to_owned(),
            incarnation,
            leadership: None,
            known_leader: None,
            revision: 0,
            call_in_flight: false,
            has_read: false,
            revision_compacted: false,
            next_call: NextCall::ReadKey,
            next_call_at: 0,
            back_off_until: 0,
            grace_ms: cancellation_watermark::grace_ms(&deployment.workers),
            vacant_since: None,
            claim_timed_out: false,
            calls: PendingCalls::default(),
        }
    }

    /// The fencing token, if this node leads.
    pub fn token(&self) -> Option<u64> {
        self.leadership.as_ref().map(|leadership| leadership.token)
    }

    /// The leader that others should be sent to, if it is not this node.
    pub fn other_leader(&self) -> Option<&str> {
        self.known_leader.as_deref().filter(|node| *node != self.node)
    }

    /// What this node holds, and until when nobody else can.
    pub fn held_lease(&self) -> Option<HeldLease> {
        self.leadership.as_ref().map(Leadership::held_lease)
    }

    /// The lease has surely not expired yet.
    pub fn is_lease_live(&self, now: Timestamp) -> bool {
        self.held_lease().is_some_and(|hold| now < hold.until)
    }

    /// No later leader counts on a worker's lease having expired that is renewed now.
    pub fn may_renew_worker_leases(&self, now: Timestamp) -> bool {
        self.leadership
            .as_ref()
            .is_some_and(|leadership| now < leadership.lease.requested_at + self.grace_ms)
    }

    /// Issues the call that is due, if any.
    pub fn poll(&mut self, io: &mut Io) -> Option<ElectionEvent> {
        if self.leadership.is_some() {
            return self.poll_leader(io);
        }
        if self.call_in_flight || io.now < self.next_call_at {
            return None;
        }
        self.call_in_flight = true;
        match self.next_call {
            NextCall::ReadKey => self.read_key(io),
            NextCall::WatchKey => self.watch_key(io),
            NextCall::GrantLease => self.request_lease(io),
        }
        None
    }

    /// A call was answered. `None` if the election did not make it, else what follows.
    pub fn handle_response(
        &mut self,
        call: CallId,
        outcome: &Outcome,
        io: &mut Io,
    ) -> Option<Option<ElectionEvent>> {
        let call = self.calls.complete(call)?;
        Some(self.dispatch_response(call, outcome, io))
    }

    fn dispatch_response(
        &mut self,
        call: PendingCall,
        outcome: &Outcome,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        match call {
            PendingCall::RenewLease(lease) => return self.on_lease_renewal(lease, outcome),
            PendingCall::ReleaseLease => return None,
            _ => self.call_in_flight = false,
        }
        match call {
            PendingCall::ReadKey => self.on_key_read(outcome, io),
            PendingCall::WatchKey => self.on_watch(outcome, io),
            PendingCall::GrantLease { requested_at } => self.on_lease_granted(requested_at, outcome, io),
            PendingCall::ClaimKey(lease) => return self.on_claim(lease, outcome, io),
            PendingCall::ReleaseAbandonedLease => self.on_abandoned_lease_released(io),
            PendingCall::RenewLease(_) | PendingCall::ReleaseLease => (),
        }
        None
    }

    /// Another node holds a higher token, or a transaction showed it.
    pub fn depose(&mut self, why: &str) -> Option<ElectionEvent> {
        self.leadership.is_some().then(|| self.step_down(why))
    }

    /// Gives leadership up for others to take, and backs off for a while.
    pub fn hand_over(&mut self, why: &str, io: &mut Io) -> Option<ElectionEvent> {
        let lease = self.lease()?;
        self.release(lease, PendingCall::ReleaseLease, io);
        self.back_off_until = io.now + ELECTION_BACKOFF_MS;
        Some(self.step_down(why))
    }

    fn step_down(&mut self, why: &str) -> ElectionEvent {
        let token = self.token().unwrap_or(0);
        log::info!("leader deposed token={token}: {why}");
        self.leadership = None;
        self.known_leader = None;
        self.call_in_flight = false;
        self.next_call = NextCall::ReadKey;
        self.next_call_at = 0;
        ElectionEvent::Deposed
    }

    fn lease(&self) -> Option<u64> {
        self.leadership.as_ref().map(|leadership| leadership.lease.id)
    }

    fn release(&mut self, lease: u64, pending: PendingCall, io: &mut Io) {
        let call = io.state_call(Method::Delete, paths::lease(lease), Vec::new(), STATE_TIMEOUT_MS);
        self.calls.insert(call, pending);
    }

    /// The value of the leader's key while this node leads.
    fn record(&self) -> LeaderRecord {
        LeaderRecord {
            node: self.node.clone(),
            incarnation: self.incarnation,
        }
    }
}

#[cfg(test)]
mod tests;
