//! Whether this node may be the one that is cut off: a sample of the machines that still answer is
//! probed whenever others fall silent.

use super::{LeaderTerm, PeerView};
use crate::constants::{
    HEARD_AGAIN_MS, INSPECT_TIMEOUT_MS, PROBE_SAMPLE, SUSPECT_SELF_ALONE_MS, SUSPECT_SELF_MS,
    SUSPECT_SELF_SHARE,
};
use crate::election::{Election, ElectionEvent};
use crate::io::Io;
use crate::model::{MachineId, Timestamp};

/// The last sample of machines, and what it says of this node.
#[derive(Debug, Default)]
pub(super) struct PartitionDetector {
    /// When machines were last sampled, because one was silent.
    sampled_at: Option<Timestamp>,
    sample: Vec<MachineId>,
    /// Most of the last sample did not answer in time, and have not been heard since.
    sample_unreachable: bool,
    /// Since when this node may be the one that is cut off.
    suspected_since: Option<Timestamp>,
    /// When it was last found not to be.
    ruled_out_at: Option<Timestamp>,
}

/// How many machines are silent, of all that have been up.
#[derive(Debug, Clone, Copy)]
struct ReachabilityCount {
    silent: u32,
    all: u32,
}

impl LeaderTerm {
    /// Machines fall silent one after the other, as their heartbeats fall due, also
    /// when it is the leader who is cut off. So whenever one is newly silent, some of
    /// the others, spread over the fleet, are asked before it is given back.
    pub(super) fn sample_reachability(&mut self, io: &mut Io) {
        let newest = self
            .machines
            .values()
            .filter(|machine| machine.inspect_failed && !machine.returning)
            .map(|machine| machine.silent_at)
            .max();
        if self
            .partition_detector
            .sampled_at
            .is_some_and(|at| io.now >= at + INSPECT_TIMEOUT_MS)
        {
            // Nobody was left to ask where all are silent.
            self.partition_detector.sample_unreachable = newest.is_some()
                && (self.partition_detector.sample.is_empty() || !self.sample_is_reachable());
        }
        let due = newest.is_some_and(|silent_at| {
            self.partition_detector
                .sampled_at
                .is_none_or(|at| at < silent_at && io.now >= at + INSPECT_TIMEOUT_MS)
        });
        if !due {
            return;
        }
        self.partition_detector.sampled_at = Some(io.now);
        let others: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| machine.is_up() && !machine.inspect_failed)
            .map(|machine| machine.id.clone())
            .collect();
        self.partition_detector.sample = self.probe_sample(others, PROBE_SAMPLE, io);
    }

    /// Most of the machines in the last sample have been heard since it was asked.
    pub(super) fn sample_is_reachable(&self) -> bool {
        let Some(sampled_at) = self.partition_detector.sampled_at else {
            return false;
        };
        let there = self
            .partition_detector
            .sample
            .iter()
            .filter(|id| self.machines.contains(id));
        2 * self.count_heard_since(&self.partition_detector.sample, sampled_at) >= there.count()
    }

    /// Machines that do not answer, and all that have been up.
    fn count_unreachable(&self) -> ReachabilityCount {
        // Late copies of heartbeats from machines that went back suggested that this node was cut off.
        let up = self
            .machines
            .values()
            .filter(|machine| machine.has_been_up() && !machine.hearsay);
        let (mut silent, mut all) = (0, 0);
        for machine in up {
            all += 1;
            silent += u32::from(machine.inspect_failed);
        }
        ReachabilityCount { silent, all }
    }

    /// So many machines fall silent at once that this node may be the one cut off: most of all,
    /// or of those in the last sample. It takes longer than a lease to ask all of a large fleet.
    pub(super) fn suspects_own_partition(&self) -> bool {
        let ReachabilityCount { silent, all } = self.count_unreachable();
        silent >= 2
            && (self.partition_detector.sample_unreachable
                || f64::from(silent) > SUSPECT_SELF_SHARE * f64::from(all))
    }

    /// Hands leadership over where a peer hears the workers that are silent here.
    pub(super) fn check_own_partition(
        &mut self,
        election: &mut Election,
        peers: PeerView,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        if !self.suspects_own_partition() {
            if self.partition_detector.suspected_since.take().is_some() {
                self.partition_detector.ruled_out_at = Some(io.now);
            }
            return None;
        }
        let since = *self.partition_detector.suspected_since.get_or_insert(io.now);
        if io.now >= since + SUSPECT_SELF_MS && peers.max_workers_heard > 0 {
            return election.hand_over("most workers are silent here, but not to a sibling", io);
        }
        // Peers that are there and cannot be asked may hear all of them; if nobody does, nothing
        // is lost with a leader that hears none either.
        let alone = peers.recently_heard == 0 && peers.total > 0;
        if alone && self.partition_detector.sample_unreachable && io.now >= since + SUSPECT_SELF_ALONE_MS {
            return election.hand_over("most workers are silent here, and no sibling can be asked", io);
        }
        None
    }

    /// Whether silent machines may be given back as gone. Alone in silence, with nobody to say who
    /// is cut off, nothing is given back; a peer that hears no worker either says they are gone.
    pub(super) fn can_release_silent_machines(&self, peers: PeerView, now: Timestamp) -> bool {
        let suspects_itself = self.suspects_own_partition()
            && (peers.recently_heard == 0
                || peers.max_workers_heard > 0
                || self
                    .partition_detector
                    .suspected_since
                    .is_none_or(|since| now < since + SUSPECT_SELF_MS + peers.worker_failover_ms));
        let just_ruled_out = self
            .partition_detector
            .ruled_out_at
            .is_some_and(|at| now < at + HEARD_AGAIN_MS);
        !suspects_itself && !just_ruled_out && self.sample_is_reachable()
    }
}
