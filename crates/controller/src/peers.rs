//! Frames between controllers. Their layout is in `peers/layout.rs`.
//!
//! Heartbeats carry who leads. Task counts are for display, and job change notices only reduce latency.
//! With reachability queries a leader asks which of its machines its peers reach; the answers decide who leads
//! and which machines are given up, and each names the round that it answers. Correctness depends on two kinds of
//! frames only, and not for a job's state, which is read from the state service:
//!
//! - An end notice is sent by a node that knows that the end of a job is committed.
//! - An acknowledgement is sent by a peer that from then on returns no older reading of the job.
//!
//! Both state facts that remain true however late or often they arrive, or if they never do. An
//! acknowledgement returns a nonce that the notifying node drew for this notice and this peer, so
//! duplicates and acknowledgements for an earlier process or another job have no effect. A lost frame
//! only costs time (see `job_api/commit_wait.rs`).

mod layout;

use crate::model::JobId;

/// Bytes reserved for a machine's name, and for its address, in a frame.
pub const MACHINE_TEXT_BYTES: usize = 64;

/// Largest frame accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 256;

/// A message between controllers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// Sent at intervals while the sender is alive.
    PeerHeartbeat(PeerHeartbeat),
    /// Numbers of done and running tasks of a job, from the leader.
    TaskCounts {
        /// The job.
        job: JobId,
        /// Completed tasks.
        done: u32,
        /// Running tasks.
        running: u32,
    },
    /// A user's request changed this job, so the leader may read it immediately.
    JobChanged {
        /// The job.
        job: JobId,
    },
    /// The job's end is committed. The sender tells no user about it until the nonce is acknowledged or
    /// the commit wait has passed.
    EndNotice {
        /// The job.
        job: JobId,
        /// Drawn for this notice and its receiver.
        nonce: u64,
        /// Position of the sender's name among all controllers' names in order.
        index: u16,
    },
    /// The sender no longer returns anything that it read of the job before it received this nonce.
    EndAcknowledged {
        /// The job.
        job: JobId,
        /// The nonce of the notice.
        nonce: u64,
        /// Position of the sender's name among all controllers' names in order.
        index: u16,
    },
    /// The leader asks whether the receiver reaches a machine.
    ReachabilityQuery(ReachabilityQuery),
    /// The answer to one query.
    ReachabilityAnswer(ReachabilityAnswer),
}

/// A leader's question whether a peer reaches a machine. The peer probes the machine before it answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachabilityQuery {
    /// Drawn for a round of queries. Answers to earlier rounds are ignored, however late they arrive.
    pub round: u64,
    /// Number of the machine within the round.
    pub number: u16,
    /// Position of the sender's name among all controllers' names in order.
    pub index: u16,
    /// The machine's name, at most [`MACHINE_TEXT_BYTES`] long.
    pub machine: String,
    /// Address of its worker, at most [`MACHINE_TEXT_BYTES`] long.
    pub addr: String,
}

impl ReachabilityQuery {
    /// Whether a query can carry this name or address.
    pub fn can_carry(text: &str) -> bool {
        !text.is_empty() && text.len() <= MACHINE_TEXT_BYTES && !text.contains('\0')
    }
}

/// Whether the sender reached a machine with a probe that it sent after it was asked, and whether it hears it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReachabilityAnswer {
    /// The round of the query.
    pub round: u64,
    /// Number of the machine within the round.
    pub number: u16,
    /// Position of the sender's name among all controllers' names in order.
    pub index: u16,
    /// Whether the machine answered the probe in time.
    pub reached: bool,
    /// Whether the sender has received a heartbeat of the machine within the time that a worker takes to fail over.
    pub heard: bool,
}

/// What a controller reports to its peers at intervals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerHeartbeat {
    /// Position of the sender's name among all controllers' names in order.
    pub index: u16,
    /// The sender's fencing token while it leads, or the highest that it knows.
    pub token: u64,
    /// Whether the sender is the leader.
    pub leads: bool,
    /// Whether the state service answered the sender's last call.
    pub state_ok: bool,
    /// Number of workers that sent the sender a heartbeat recently. For leaders of earlier versions, which hand
    /// over by it.
    pub workers_heard: u32,
}

/// The bytes are not a frame that any peer of this version sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed frame")]
pub struct MalformedFrame;

#[cfg(test)]
mod tests;
