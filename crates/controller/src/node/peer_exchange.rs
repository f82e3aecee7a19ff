//! Exchange of frames with the other controllers: heartbeats, task counts, notices, and what the peers report.

use super::Node;
use super::peer_probes::ProbeResult;
use crate::constants::{
    ENDED_JOB_CACHE_SIZE, HEARTBEAT_MAX_AGE_MS, SECOND_MS, STATE_PROBE_MS, WORKER_CONTACT_MAX_AGE_MS,
};
use crate::io::Effect;
use crate::leader::PeerView;
use crate::model::{JobId, Timestamp};
use crate::peers::{Frame, PeerHeartbeat, ReachabilityAnswer, ReachabilityQuery};

/// The latest heartbeat of a peer.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct PeerState {
    heartbeat: Option<PeerHeartbeat>,
    received_at: Timestamp,
}

impl Node {
    /// The current leader, if known.
    pub(super) fn known_leader(&self) -> Option<&str> {
        // A recent heartbeat is more current than the watch on the leader's key.
        let heartbeats = self.peers.iter().enumerate().filter_map(|(index, peer)| {
            let heartbeat = peer.heartbeat.filter(|heartbeat| {
                heartbeat.leads && self.io.now < peer.received_at + HEARTBEAT_MAX_AGE_MS
            })?;
            Some((heartbeat.token, self.settings.peers[index].node.as_str()))
        });
        heartbeats
            .max()
            .map(|(_, node)| node)
            .or_else(|| self.election.other_leader())
    }

    pub(super) fn fresh_heartbeats(&self) -> impl Iterator<Item = PeerHeartbeat> + '_ {
        self.peers
            .iter()
            .filter(|peer| self.io.now < peer.received_at + HEARTBEAT_MAX_AGE_MS)
            .filter_map(|peer| peer.heartbeat)
    }

    /// Maximum time, in ms, in which a worker that loses its node reaches another: it tries all nodes in turn,
    /// about one second each.
    pub(super) fn worker_failover_ms(&self) -> u64 {
        WORKER_CONTACT_MAX_AGE_MS + self.members.len() as u64 * SECOND_MS
    }

    pub(super) fn peer_view(&self) -> PeerView {
        PeerView {
            total: self.peers.len(),
            recently_heard: self.fresh_heartbeats().count(),
            own_index: self.job_api.index(),
            worker_failover_ms: self.worker_failover_ms(),
        }
    }

    pub(super) fn broadcast(&mut self, frame: &Frame) {
        self.io.broadcast(self.peers.len(), frame);
    }

    pub(super) fn send_heartbeat(&mut self) {
        let now = self.io.now;
        let max_age_ms = self.worker_failover_ms();
        self.worker_heard_at
            .retain(|_, heard_at| now < *heard_at + max_age_ms);
        let heartbeat = PeerHeartbeat {
            index: self.job_api.index(),
            token: self.election.token().unwrap_or(0),
            leads: self.term.is_some(),
            state_ok: self.state_failing_since.is_none() && now < self.state_ok_at + 2 * STATE_PROBE_MS,
            workers_heard: self.worker_heard_at.len() as u32,
        };
        self.broadcast(&Frame::PeerHeartbeat(heartbeat));
        let Some(term) = &self.term else { return };
        let mut bytes = Vec::new();
        for (job, counts) in term.counts() {
            if self.sent_task_counts.get(job) != Some(counts) {
                bytes.extend(task_counts_frame(job, *counts));
            }
        }
        if !bytes.is_empty() {
            self.sent_task_counts = term.counts().clone();
            self.io.broadcast_bytes(self.peers.len(), &bytes);
        }
    }

    /// Sends all task counts to a peer that has just connected and knows none yet.
    pub(super) fn send_task_counts(&mut self, peer: usize) {
        let Some(term) = &self.term else { return };
        let bytes: Vec<u8> = term
            .counts()
            .iter()
            .flat_map(|(job, counts)| task_counts_frame(job, *counts))
            .collect();
        if !bytes.is_empty() {
            self.io.effects.push(Effect::Frame { peer, bytes });
        }
    }

    pub(super) fn handle_frame(&mut self, frame: Frame) {
        match frame {
            Frame::PeerHeartbeat(heartbeat) => self.handle_peer_heartbeat(heartbeat),
            Frame::TaskCounts { job, done, running } => self.handle_task_counts(job, done, running),
            // The leader learns of the change itself from its watch.
            Frame::JobChanged { job } => {
                self.job_api.on_peer_notice(job, false, self.io.now);
            }
            Frame::EndNotice { job, nonce, index } => self.handle_end_notice(job, nonce, index),
            Frame::EndAcknowledged { job, nonce, .. } => {
                self.job_api.on_end_acknowledged(&job, nonce, &mut self.io);
            }
            Frame::ReachabilityQuery(query) => self.handle_reachability_query(query),
            Frame::ReachabilityAnswer(answer) => self.handle_reachability_answer(answer),
        }
    }

    fn handle_peer_heartbeat(&mut self, heartbeat: PeerHeartbeat) {
        let peer = self.peer_index(heartbeat.index);
        if let Some(peer) = peer.and_then(|peer| self.peers.get_mut(peer)) {
            *peer = PeerState {
                heartbeat: Some(heartbeat),
                received_at: self.io.now,
            };
        }
        let is_newer_leader =
            heartbeat.leads && self.election.token().is_some_and(|own| heartbeat.token > own);
        if is_newer_leader && let Some(event) = self.election.depose("a peer leads with a higher token") {
            self.on_election_event(event);
        }
    }

    fn handle_task_counts(&mut self, job: JobId, done: u32, running: u32) {
        if self.leader_task_counts.len() >= ENDED_JOB_CACHE_SIZE {
            self.leader_task_counts.clear();
        }
        self.leader_task_counts.insert(job, (done, running));
    }

    fn handle_end_notice(&mut self, job: JobId, nonce: u64, index: u16) {
        log::debug!("end notice received job={job}");
        // Before the acknowledgement, after which the user sees the end: no task of the job may start
        // from then on.
        if let Some(term) = &mut self.term {
            term.on_job_ended_elsewhere(&job);
        }
        let peer = self.peer_index(index);
        self.job_api.on_end_notice(job, nonce, peer, &mut self.io);
    }

    /// Probes the machine that a leader asks about.
    fn handle_reachability_query(&mut self, query: ReachabilityQuery) {
        if let Some(peer) = self.peer_index(query.index) {
            self.peer_probes.start(peer, query, &mut self.io);
        }
    }

    fn handle_reachability_answer(&mut self, answer: ReachabilityAnswer) {
        let peer = self.peer_index(answer.index);
        if let (Some(peer), Some(term)) = (peer, &mut self.term) {
            term.on_reachability_answer(peer, answer);
        }
    }

    /// Tells a leader that has asked whether this node reaches a machine, and whether it hears it.
    pub(super) fn answer_reachability_query(&mut self, result: &ProbeResult) {
        let heard_at = self.worker_heard_at.get(&result.query.machine);
        let heard = heard_at.is_some_and(|at| self.io.now < at + self.worker_failover_ms());
        let answer = result.answer(self.job_api.index(), heard);
        self.io.effects.push(Effect::Frame {
            peer: result.peer,
            bytes: Frame::ReachabilityAnswer(answer).encode(),
        });
    }

    /// Index in the settings of the peer at this position among all members.
    fn peer_index(&self, index: u16) -> Option<usize> {
        let name = self.members.get(usize::from(index))?;
        self.settings.peers.iter().position(|peer| peer.node == *name)
    }
}

fn task_counts_frame(job: &JobId, (done, running): (u32, u32)) -> Vec<u8> {
    Frame::TaskCounts {
        job: job.clone(),
        done,
        running,
    }
    .encode()
}
