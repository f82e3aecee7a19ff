//! Whether this node may be the one that is cut off: a sample of the machines that still answer is
//! probed whenever others fall silent.

use super::{LeaderTerm, PeerView};
use crate::constants::{
    INSPECT_TIMEOUT_MS, PROBE_SAMPLE, RECONNECT_GRACE_MS, SELF_PARTITION_HANDOVER_ALONE_MS,
    SELF_PARTITION_HANDOVER_MS, SELF_PARTITION_SILENT_SHARE,
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
struct SilentMachines {
    silent: u32,
    all: u32,
}

impl LeaderTerm {
    /// Machines fall silent one after the other, as their heartbeats fall due, also
    /// when it is the leader who is cut off. So whenever one is newly silent, some of
    /// the others, spread over the fleet, are asked before it is given back.
    pub(super) fn sample_when_silent(&mut self, io: &mut Io) {
        let newest = self
            .machines
            .values()
            .filter(|machine| machine.inspect_failed && !machine.returning)
            .map(|machine| machine.silent_at)
            .max();
        if self
            .partition
            .sampled_at
            .is_some_and(|at| io.now >= at + INSPECT_TIMEOUT_MS)
        {
            // Nobody was left to ask where all are silent.
            self.partition.sample_unreachable =
                newest.is_some() && (self.partition.sample.is_empty() || !self.others_answer());
        }
        let due = newest.is_some_and(|silent_at| {
            self.partition
                .sampled_at
                .is_none_or(|at| at < silent_at && io.now >= at + INSPECT_TIMEOUT_MS)
        });
        if !due {
            return;
        }
        self.partition.sampled_at = Some(io.now);
        let others: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| machine.is_up() && !machine.inspect_failed)
            .map(|machine| machine.id.clone())
            .collect();
        self.partition.sample = self.ask_some(others, PROBE_SAMPLE, io);
    }

    /// Most of the machines in the last sample have been heard since it was asked.
    pub(super) fn others_answer(&self) -> bool {
        let Some(sampled_at) = self.partition.sampled_at else {
            return false;
        };
        let there = self
            .partition
            .sample
            .iter()
            .filter(|id| self.machines.contains(id));
        2 * self.heard_since(&self.partition.sample, sampled_at) >= there.count()
    }

    /// Machines that do not answer, and all that have been up.
    fn silent(&self) -> SilentMachines {
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
        SilentMachines { silent, all }
    }

    /// So many machines fall silent at once that this node may be the one cut off: most of all,
    /// or of those in the last sample. It takes longer than a lease to ask all of a large fleet.
    pub(super) fn suspects_own_partition(&self) -> bool {
        let SilentMachines { silent, all } = self.silent();
        silent >= 2
            && (self.partition.sample_unreachable
                || f64::from(silent) > SELF_PARTITION_SILENT_SHARE * f64::from(all))
    }

    /// Hands leadership over where a peer hears the workers that are silent here.
    pub(super) fn check_self(
        &mut self,
        election: &mut Election,
        peers: PeerView,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        if !self.suspects_own_partition() {
            if self.partition.suspected_since.take().is_some() {
                self.partition.ruled_out_at = Some(io.now);
            }
            return None;
        }
        let since = *self.partition.suspected_since.get_or_insert(io.now);
        if io.now >= since + SELF_PARTITION_HANDOVER_MS && peers.hears > 0 {
            return election.hand_over("most workers are silent here, but not to a sibling", io);
        }
        // Peers that are there and cannot be asked may hear all of them; if nobody does, nothing
        // is lost with a leader that hears none either.
        let alone = peers.fresh == 0 && peers.all > 0;
        if alone && self.partition.sample_unreachable && io.now >= since + SELF_PARTITION_HANDOVER_ALONE_MS {
            return election.hand_over("most workers are silent here, and no sibling can be asked", io);
        }
        None
    }

    /// Whether silent machines may be given back as gone. Alone in silence, with nobody to say who
    /// is cut off, nothing is given back; a peer that hears no worker either says they are gone.
    pub(super) fn silence_is_proof(&self, peers: PeerView, now: Timestamp) -> bool {
        let suspects_itself = self.suspects_own_partition()
            && (peers.fresh == 0
                || peers.hears > 0
                || self
                    .partition
                    .suspected_since
                    .is_none_or(|since| now < since + SELF_PARTITION_HANDOVER_MS + peers.found_ms));
        let just_ruled_out = self
            .partition
            .ruled_out_at
            .is_some_and(|at| now < at + RECONNECT_GRACE_MS);
        !suspects_itself && !just_ruled_out && self.others_answer()
    }
}
