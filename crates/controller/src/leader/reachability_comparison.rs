//! Comparison of the machines that this leader reaches with those that its peers reach.
//!
//! A leader that cannot reach most machines is cut off from them, or they have failed. Which of the two it is, a peer
//! can tell: leader and peers probe the same sample of machines in the same round. Only answers to probes of the
//! round count, so nothing that was heard before it, by whomever, is evidence for a hand-over. In particular, a
//! hand-over does not bring about evidence for the next one: it changes who is leader, not who reaches which machine.
//!
//! Heartbeats that arrive at some controller prove only that their machines run. A machine that runs is not given up
//! as failed, whoever reaches it; its lease bounds for how long its tasks wait.

use crate::constants::{INSPECT_TIMEOUT_MS, PARTITION_MIN_GAIN_DIVISOR, REACHABILITY_ANSWER_SLACK_MS};
use crate::model::{MachineId, Timestamp};
use crate::peers::ReachabilityAnswer;
use std::collections::{BTreeMap, BTreeSet};

/// What one round has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Finding {
    /// A peer reaches clearly more of the machines than this leader, which is therefore partitioned.
    PeerReachesMore,
    /// No peer reaches clearly more, but controllers receive heartbeats of most machines that this leader does not
    /// reach: they run, and hear no answer.
    MachinesAreHeard,
    /// No peer reaches clearly more, and most machines that this leader does not reach are heard by nobody.
    NoPeerReachesMore,
    /// No peer has answered for all machines.
    NoPeerConsulted,
}

/// The answers of one peer, by the machine's number.
#[derive(Debug, Default)]
struct PeerAnswers {
    answered: BTreeSet<u16>,
    reached: BTreeSet<u16>,
    heard: BTreeSet<u16>,
}

/// What this leader knows of the machines of a round by itself, by the machine's number.
#[derive(Debug, Default)]
pub(super) struct OwnView {
    /// Machines that are compared: those that have not been released since the round started.
    pub(super) compared: BTreeSet<u16>,
    /// Machines that have answered since the round started.
    pub(super) reached: BTreeSet<u16>,
    /// Machines of which it has received a heartbeat within the time that a worker takes to fail over.
    pub(super) heard: BTreeSet<u16>,
}

/// One round of probes by this leader and its peers.
#[derive(Debug)]
pub(super) struct ReachabilityComparison {
    round: u64,
    started_at: Timestamp,
    machines: Vec<MachineId>,
    peers: BTreeMap<usize, PeerAnswers>,
}

impl ReachabilityComparison {
    /// A round that starts now. `round` is its unpredictable name.
    pub(super) fn new(round: u64, machines: Vec<MachineId>, now: Timestamp) -> ReachabilityComparison {
        ReachabilityComparison {
            round,
            started_at: now,
            machines,
            peers: BTreeMap::new(),
        }
    }

    /// The machines that are probed. The position is the machine's number.
    pub(super) fn machines(&self) -> &[MachineId] {
        &self.machines
    }

    /// When the round started.
    pub(super) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Records a peer's answer, unless it belongs to another round.
    pub(super) fn record_answer(&mut self, peer: usize, answer: ReachabilityAnswer) {
        if answer.round != self.round || usize::from(answer.number) >= self.machines.len() {
            return;
        }
        let answers = self.peers.entry(peer).or_default();
        answers.answered.insert(answer.number);
        if answer.reached {
            answers.reached.insert(answer.number);
        }
        if answer.heard {
            answers.heard.insert(answer.number);
        }
    }

    /// The largest number of the compared machines that one peer has reached.
    pub(super) fn most_reached(&self, own: &OwnView) -> usize {
        let reached = self
            .peers
            .values()
            .map(|answers| answers.reached.intersection(&own.compared).count());
        reached.max().unwrap_or(0)
    }

    /// Number of peers that have answered for all machines.
    fn peers_complete(&self) -> usize {
        let complete = self
            .peers
            .values()
            .filter(|answers| answers.answered.len() == self.machines.len());
        complete.count()
    }

    /// Whether most of the machines that this leader does not reach are heard by some controller.
    fn most_unreached_are_heard(&self, own: &OwnView) -> bool {
        let is_heard = |number: &u16| {
            own.heard.contains(number) || self.peers.values().any(|answers| answers.heard.contains(number))
        };
        let unreached = own.compared.difference(&own.reached).copied();
        let (heard, unheard): (Vec<u16>, Vec<u16>) = unreached.partition(is_heard);
        heard.len() > unheard.len()
    }

    /// Returns the finding once it is known, given what this leader knows by itself and how many peers are alive.
    pub(super) fn finding(&self, own: &OwnView, live_peers: usize, now: Timestamp) -> Option<Finding> {
        // The leader's own probes take that long.
        if now < self.started_at + INSPECT_TIMEOUT_MS {
            return None;
        }
        let reached_here = own.reached.len();
        if self.most_reached(own) >= reached_here + self.min_gain(reached_here) {
            return Some(Finding::PeerReachesMore);
        }
        let peers_complete = self.peers_complete();
        let timed_out = now >= self.started_at + INSPECT_TIMEOUT_MS + REACHABILITY_ANSWER_SLACK_MS;
        if peers_complete < live_peers.max(1) && !timed_out {
            return None;
        }
        Some(if peers_complete == 0 {
            Finding::NoPeerConsulted
        } else if self.most_unreached_are_heard(own) {
            Finding::MachinesAreHeard
        } else {
            Finding::NoPeerReachesMore
        })
    }

    /// How many more machines a peer must reach than this leader. Single probes time out by chance, or meet a machine
    /// that hangs or boots. A leader that reaches no machine has nothing to lose.
    fn min_gain(&self, reached_here: usize) -> usize {
        if reached_here == 0 {
            1
        } else {
            self.machines.len().div_ceil(PARTITION_MIN_GAIN_DIVISOR)
        }
    }
}

#[cfg(test)]
mod tests;
