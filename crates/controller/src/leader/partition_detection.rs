//! Detection of a partition of this node: when a machine becomes unreachable, a sample of the others is
//! probed to tell a failed machine from a leader that is cut off itself.

use super::reachability_comparison::{Finding, OwnView, ReachabilityComparison};
use super::{LeaderTerm, PeerView};
use crate::allocations::Machine;
use crate::constants::{
    INSPECT_TIMEOUT_MS, PROBE_SAMPLE, RECONNECT_GRACE_MS, SELF_PARTITION_HANDOVER_ALONE_MS,
    SELF_PARTITION_HANDOVER_MS, SELF_PARTITION_UNREACHABLE_SHARE, UNREACHABLE_MACHINES_LOGGED,
};
use crate::election::{Election, ElectionEvent};
use crate::io::Io;
use crate::model::{MachineId, Timestamp};
use crate::peers::{Frame, ReachabilityAnswer, ReachabilityQuery};
use rand::RngExt;
use std::collections::BTreeSet;

/// The last probed sample, and the suspicion that follows from it.
#[derive(Debug, Default)]
pub(super) struct PartitionDetector {
    /// When a sample was last probed.
    sampled_at: Option<Timestamp>,
    sample: Vec<MachineId>,
    /// Whether most of the last sample did not answer in time and have not been heard since.
    sample_unreachable: bool,
    /// Since when this node is suspected of being partitioned.
    suspected_since: Option<Timestamp>,
    /// Machines that have been unreachable while this node is suspected.
    suspects: BTreeSet<MachineId>,
    /// When machines that had been unreachable answered again and ended the suspicion.
    ruled_out_at: Option<Timestamp>,
    /// The comparison with the peers that is under way while the suspicion lasts.
    comparison: Option<ReachabilityComparison>,
    /// What the last comparison showed since the suspicion arose.
    finding: Option<Finding>,
}

impl PartitionDetector {
    /// Begins the suspicion, unless there is one already, and returns since when there is.
    fn suspect(&mut self, unreachable: impl Iterator<Item = MachineId>, now: Timestamp) -> Timestamp {
        self.suspects.extend(unreachable);
        *self.suspected_since.get_or_insert(now)
    }

    /// Ends the suspicion, if there is one. `are_back` tells whether some of these machines answer again, so that others
    /// are about to. Otherwise the suspicion ends because unreachable machines were released, or new ones are up.
    fn rule_out(&mut self, are_back: impl FnOnce(&BTreeSet<MachineId>) -> bool, now: Timestamp) {
        let suspects = std::mem::take(&mut self.suspects);
        if self.suspected_since.take().is_some() && are_back(&suspects) {
            self.ruled_out_at = Some(now);
        }
        self.comparison = None;
        self.finding = None;
    }
}

/// Number of unreachable machines, and of all machines that have been up.
#[derive(Debug, Clone, Copy)]
struct ReachabilityCount {
    unreachable: u32,
    total: u32,
}

impl LeaderTerm {
    /// Probes a sample of the other machines when one has newly become unreachable.
    ///
    /// Machines become unreachable one after the other, as their heartbeats fall due, also when it is the
    /// leader that is cut off. The sample, spread over the fleet, is probed before any of them is released.
    pub(super) fn sample_reachability(&mut self, io: &mut Io) {
        let last_unreachable_at = self
            .machines
            .values()
            .filter(|machine| machine.unreachable && !machine.listed_failed && !machine.releasing)
            .map(|machine| machine.last_unreachable_at)
            .max();
        if self
            .partition_detector
            .sampled_at
            .is_some_and(|at| io.now >= at + INSPECT_TIMEOUT_MS)
        {
            // An empty sample means that no reachable machine was left to probe.
            self.partition_detector.sample_unreachable = last_unreachable_at.is_some()
                && (self.partition_detector.sample.is_empty() || !self.sample_is_reachable());
        }
        let due = last_unreachable_at.is_some_and(|unreachable_at| {
            self.partition_detector
                .sampled_at
                .is_none_or(|at| at < unreachable_at && io.now >= at + INSPECT_TIMEOUT_MS)
        });
        if !due {
            return;
        }
        self.partition_detector.sampled_at = Some(io.now);
        let others: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| machine.is_up() && !machine.unreachable)
            .map(|machine| machine.id.clone())
            .collect();
        self.partition_detector.sample = self.probe_sample(others, PROBE_SAMPLE, io);
    }

    /// Whether at least half of the known machines in the last sample have been heard since it was probed.
    pub(super) fn sample_is_reachable(&self) -> bool {
        let Some(sampled_at) = self.partition_detector.sampled_at else {
            return false;
        };
        let still_known = self.partition_detector.sample.iter().filter(|id| {
            self.machines
                .get(id)
                .is_some_and(|machine| !machine.listed_failed)
        });
        2 * self.count_heard_since(&self.partition_detector.sample, sampled_at) >= still_known.count()
    }

    /// Counts the unreachable machines among all that have been up, without those that are being released: of these it
    /// is decided already whether they have failed.
    fn count_unreachable(&self) -> ReachabilityCount {
        let up = self
            .machines
            .values()
            .filter(|machine| machine.shows_reachability() && !machine.releasing);
        let (mut unreachable, mut total) = (0, 0);
        for machine in up {
            total += 1;
            unreachable += u32::from(machine.unreachable);
        }
        ReachabilityCount { unreachable, total }
    }

    /// Whether this node may be the one that is partitioned: most of the fleet, or of the last sample, is
    /// unreachable. The sample is needed because probing all of a large fleet takes longer than a lease.
    pub(super) fn suspects_own_partition(&self) -> bool {
        let ReachabilityCount { unreachable, total } = self.count_unreachable();
        unreachable >= 2
            && (self.partition_detector.sample_unreachable
                || f64::from(unreachable) > SELF_PARTITION_UNREACHABLE_SHARE * f64::from(total))
    }

    /// Hands leadership over if this node seems partitioned and a peer reaches more machines, or may reach them.
    pub(super) fn check_own_partition(
        &mut self,
        election: &mut Election,
        peers: PeerView,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        if !self.suspects_own_partition() {
            let answers = |id: &MachineId| self.machines.get(id).is_some_and(|machine| !machine.unreachable);
            self.partition_detector
                .rule_out(|suspects| suspects.iter().any(answers), io.now);
            return None;
        }
        let unreachable = self.machines.values().filter(|machine| machine.unreachable);
        let unreachable = unreachable.map(|machine| machine.id.clone());
        let since = self.partition_detector.suspect(unreachable, io.now);
        self.compare_with_peers(peers, io);
        let finding = self.partition_detector.finding;
        if finding == Some(Finding::PeerReachesMore) && io.now >= since + SELF_PARTITION_HANDOVER_MS {
            self.log_unreachable_machines(io.now);
            return election.hand_over("most workers are unreachable from here, but not from a peer", io);
        }
        // Peers that this node cannot consult may reach all workers. If none does, handing over costs nothing, as
        // this leader reaches few workers either.
        let consulted = !matches!(finding, None | Some(Finding::NoPeerConsulted));
        if !consulted
            && peers.total > 0
            && self.partition_detector.sample_unreachable
            && io.now >= since + SELF_PARTITION_HANDOVER_ALONE_MS
        {
            return election.hand_over_unproven(
                "most workers are unreachable from here, and no peer can be consulted",
                io,
            );
        }
        None
    }

    /// Concludes the comparison with the peers when it is due, and starts the next one.
    fn compare_with_peers(&mut self, peers: PeerView, io: &mut Io) {
        if let Some(comparison) = &self.partition_detector.comparison {
            let own = self.own_view(comparison, peers.worker_failover_ms, io.now);
            let Some(finding) = comparison.finding(&own, peers.recently_heard, io.now) else {
                return;
            };
            log::debug!(
                "reachability compared machines={} reached_here={} reached_by_a_peer={}: {finding:?}",
                comparison.machines().len(),
                own.reached.len(),
                comparison.most_reached(&own)
            );
            self.partition_detector.finding = Some(finding);
        }
        self.start_comparison(peers, io);
    }

    /// What this leader knows by itself of the machines of a comparison.
    fn own_view(&self, comparison: &ReachabilityComparison, max_age_ms: u64, now: Timestamp) -> OwnView {
        let mut own = OwnView::default();
        for (number, id) in comparison.machines().iter().enumerate() {
            let machine = self.machines.get(id);
            let compared = machine.filter(|machine| machine.shows_reachability() && !machine.releasing);
            let Some(machine) = compared else { continue };
            own.compared.insert(number as u16);
            if machine
                .last_heard_at
                .is_some_and(|at| at >= comparison.started_at())
            {
                own.reached.insert(number as u16);
            }
            if machine.has_own_report_since(now.saturating_sub(max_age_ms)) {
                own.heard.insert(number as u16);
            }
        }
        own
    }

    /// Probes a sample of all machines, reachable or not, and asks all peers to do the same.
    fn start_comparison(&mut self, peers: PeerView, io: &mut Io) {
        let can_be_asked = |machine: &&Machine| {
            let addr = machine.addr.as_deref().unwrap_or_default();
            ReachabilityQuery::can_carry(&machine.id.0) && ReachabilityQuery::can_carry(addr)
        };
        let machines: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| machine.shows_reachability() && !machine.releasing)
            .filter(can_be_asked)
            .map(|machine| machine.id.clone())
            .collect();
        let sample = self.probe_sample(machines, PROBE_SAMPLE, io);
        let round: u64 = io.rng.random();
        for (number, id) in sample.iter().enumerate() {
            let addr = self.machines.get(id).and_then(|machine| machine.addr.clone());
            let query = Frame::ReachabilityQuery(ReachabilityQuery {
                round,
                number: number as u16,
                index: peers.own_index,
                machine: id.to_string(),
                addr: addr.unwrap_or_default(),
            });
            io.broadcast(peers.total, &query);
        }
        self.partition_detector.comparison = Some(ReachabilityComparison::new(round, sample, io.now));
    }

    /// Handles a peer's answer whether it reaches a machine.
    pub(crate) fn on_reachability_answer(&mut self, peer: usize, answer: ReachabilityAnswer) {
        if let Some(comparison) = &mut self.partition_detector.comparison {
            comparison.record_answer(peer, answer);
        }
    }

    /// Logs which machines are unreachable and when each was last heard, as evidence for a hand-over.
    fn log_unreachable_machines(&self, now: Timestamp) {
        let ReachabilityCount { unreachable, total } = self.count_unreachable();
        let silent: Vec<String> = self
            .machines
            .values()
            .filter(|machine| machine.unreachable)
            .take(UNREACHABLE_MACHINES_LOGGED)
            .map(|machine| match machine.last_heard_at {
                Some(at) => format!("{} heard {} ms ago", machine.id, now - at),
                None => format!("{} not heard", machine.id),
            })
            .collect();
        log::info!(
            "own partition suspected unreachable={unreachable} machines={total} silent=[{}]",
            silent.join(", ")
        );
    }

    /// Whether unreachable machines may be released as failed.
    ///
    /// While this node may be partitioned and no peer can be consulted, nothing is released, nor while controllers
    /// hear the machines. Peers that reach no more machines and hear none of the others confirm that these have failed.
    pub(super) fn can_release_unreachable_machines(&self, peers: PeerView, now: Timestamp) -> bool {
        let detector = &self.partition_detector;
        let confirmed = detector.finding == Some(Finding::NoPeerReachesMore)
            && detector
                .suspected_since
                .is_some_and(|since| now >= since + SELF_PARTITION_HANDOVER_MS + peers.worker_failover_ms);
        let may_be_partitioned = self.suspects_own_partition() && !confirmed;
        let just_ruled_out = detector
            .ruled_out_at
            .is_some_and(|at| now < at + RECONNECT_GRACE_MS);
        !may_be_partitioned && !just_ruled_out && self.sample_is_reachable()
    }
}
