//! Probes of machines on behalf of a leader that cannot reach them and asks its peers.

use crate::constants::{INSPECT_TIMEOUT_MS, MAX_PEER_PROBES};
use crate::io::{CallId, FencedDestination, Io, Method, Outcome, PendingCalls};
use crate::peers::{ReachabilityAnswer, ReachabilityQuery};
use crate::protocol::{Heartbeat, paths};

/// A probe in flight, and who waits for its result.
#[derive(Debug)]
struct PeerProbe {
    peer: usize,
    query: ReachabilityQuery,
}

/// The result of a probe.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ProbeResult {
    /// Index in the settings of the peer that asked.
    pub(super) peer: usize,
    pub(super) query: ReachabilityQuery,
    /// Whether the machine answered in time.
    pub(super) reached: bool,
}

impl ProbeResult {
    /// The answer of this node, which is at this position among all members.
    pub(super) fn answer(&self, index: u16, heard: bool) -> ReachabilityAnswer {
        ReachabilityAnswer {
            round: self.query.round,
            number: self.query.number,
            index,
            reached: self.reached,
            heard,
        }
    }
}

/// The probes that this node makes for its peers.
#[derive(Debug, Default)]
pub(super) struct PeerProbes {
    calls: PendingCalls<PeerProbe>,
}

impl PeerProbes {
    /// Probes the machine that a peer asks about. With too many probes in flight the query is dropped, and the
    /// peer takes this node for one that it could not consult.
    pub(super) fn start(&mut self, peer: usize, query: ReachabilityQuery, io: &mut Io) {
        if self.calls.in_flight() >= MAX_PEER_PROBES {
            return;
        }
        let call = io.call(
            FencedDestination::Worker(query.addr.clone()),
            Method::Get,
            paths::INSPECT.to_owned(),
            Vec::new(),
            INSPECT_TIMEOUT_MS,
        );
        self.calls.insert(call, PeerProbe { peer, query });
    }

    /// Returns the result of a probe if this call is one.
    pub(super) fn handle_response(&mut self, call: CallId, outcome: &Outcome) -> Option<ProbeResult> {
        let PeerProbe { peer, query } = self.calls.complete(call)?;
        // The address may by now belong to another machine.
        let report = outcome.read::<Heartbeat>(&[200]);
        let reached = report.is_some_and(|report| report.machine == query.machine);
        Some(ProbeResult { peer, query, reached })
    }
}
