//! Leader election. The leader holds the key `leader`, which is bound to a short lease of the state
//! service. The version of that key is the fencing token, which only increases.
//!
//! A node has one of three roles, each in a file of its own:
//!
//! - a follower reads and watches the leader's key (`follower.rs`);
//! - a candidate found no leader and claims the key under a lease of its own (`candidate.rs`);
//! - the leader renews its lease until it steps down (`leadership.rs`).

pub mod cancellation_watermark;
mod candidate;
mod follower;
mod leadership;

use crate::constants::{ELECTION_BACKOFF_MS, STATE_TIMEOUT_MS, UNPROVEN_HANDOVER_TERMS};
use crate::io::{CallId, Io, Method, Outcome, PendingCalls};
use crate::model::Timestamp;
use crate::protocol::paths;
use crate::settings::Deployment;
use crate::storage::records::LeaderRecord;
use indigopath_fencing::HeldLease;
use leadership::Leadership;

/// A call to the state service whose response the election awaits.
#[derive(Debug)]
enum PendingCall {
    ReadKey,
    WatchKey,
    GrantLease {
        requested_at: Timestamp,
    },
    ClaimKey(RequestedLease),
    RenewLease(RequestedLease),
    /// The leader releases its lease.
    ReleaseLease,
    /// A lease of this node that it does not lead under is released.
    ReleaseAbandonedLease,
}

/// A lease of the state service, and when this node sent the call that granted or last renewed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RequestedLease {
    id: u64,
    requested_at: Timestamp,
}

/// The next call of a node that does not lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextCall {
    ReadKey,
    WatchKey,
    GrantLease,
}

/// A change of this node's role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionEvent {
    /// This node became the leader, with this fencing token.
    Elected { token: u64 },
    /// This node is no longer the leader.
    Deposed,
}

/// This node's part in the election, without I/O: [`Election::run_due_work`] issues the calls that are due,
/// and [`Election::handle_response`] takes their responses.
#[derive(Debug)]
pub struct Election {
    node: String,
    incarnation: u64,
    /// The leader's state while this node leads.
    leadership: Option<Leadership>,
    /// The current leader, as far as this node knows.
    known_leader: Option<String>,
    /// Revision of the state service up to which `known_leader` is known.
    revision: u64,
    /// A call of a follower or a candidate is in flight.
    call_in_flight: bool,
    /// Whether this process has read the key.
    has_read: bool,
    /// The state service no longer keeps the changes since `revision`.
    revision_compacted: bool,
    next_call: NextCall,
    next_call_at: Timestamp,
    back_off_until: Timestamp,
    /// Until then this node does not hand over again without evidence that another node is better placed.
    unproven_hand_over_at: Timestamp,
    /// Shortest time between two such hand-overs, in ms.
    unproven_hand_over_interval_ms: u64,
    /// How long after its last lease renewal it may answer workers, in ms: see
    /// [`cancellation_watermark::grace_ms`].
    grace_ms: u64,
    /// During a backoff: since when leadership has been vacant, as far as known.
    vacant_since: Option<Timestamp>,
    /// A call of the last election timed out, so the state service may be slow.
    claim_timed_out: bool,
    calls: PendingCalls<PendingCall>,
}

impl Election {
    /// A follower that knows nothing yet. `incarnation` distinguishes this process of the node from
    /// earlier ones.
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
            unproven_hand_over_at: 0,
            unproven_hand_over_interval_ms: UNPROVEN_HANDOVER_TERMS
                * cancellation_watermark::former_leases_end_ms(&deployment.workers),
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

    /// The leader to which requests should be redirected, if it is another node.
    pub fn other_leader(&self) -> Option<&str> {
        self.known_leader.as_deref().filter(|node| *node != self.node)
    }

    /// The lease that this node holds, with the time until which no other node can lead.
    pub fn held_lease(&self) -> Option<HeldLease> {
        self.leadership.as_ref().map(Leadership::held_lease)
    }

    /// Whether the lease has certainly not expired yet.
    pub fn is_lease_live(&self, now: Timestamp) -> bool {
        self.held_lease().is_some_and(|hold| now < hold.until)
    }

    /// Whether a worker lease that is renewed now expires before any later leader assumes so.
    pub fn may_renew_worker_leases(&self, now: Timestamp) -> bool {
        self.leadership
            .as_ref()
            .is_some_and(|leadership| now < leadership.lease.requested_at + self.grace_ms)
    }

    /// Issues the call that is due, if any.
    pub fn run_due_work(&mut self, io: &mut Io) -> Option<ElectionEvent> {
        if self.leadership.is_some() {
            return self.run_due_leader_work(io);
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

    /// Handles the response to a call. `None` if the election did not make the call, otherwise the
    /// resulting event, if any.
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

    /// Steps down because another node holds a higher token, or a transaction showed it.
    pub fn depose(&mut self, reason: &str) -> Option<ElectionEvent> {
        self.leadership.is_some().then(|| self.step_down(reason))
    }

    /// Releases leadership for others to take, and backs off for a while.
    pub fn hand_over(&mut self, reason: &str, io: &mut Io) -> Option<ElectionEvent> {
        let lease = self.lease()?;
        self.release(lease, PendingCall::ReleaseLease, io);
        self.back_off_until = io.now + ELECTION_BACKOFF_MS;
        Some(self.step_down(reason))
    }

    /// Hands over as [`Election::hand_over`] does, without evidence that another node is better placed. Nodes that all
    /// have the same reason would hand over to each other for good, and clocks that start anew with each term would
    /// never run out. So a node that did it recently keeps leading.
    pub fn hand_over_unproven(&mut self, reason: &str, io: &mut Io) -> Option<ElectionEvent> {
        if io.now < self.unproven_hand_over_at {
            return None;
        }
        let event = self.hand_over(reason, io)?;
        self.unproven_hand_over_at = io.now + self.unproven_hand_over_interval_ms;
        Some(event)
    }

    fn step_down(&mut self, reason: &str) -> ElectionEvent {
        let token = self.token().unwrap_or(0);
        log::info!("leader deposed token={token}: {reason}");
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
