//! Frames between controllers: fixed little-endian layouts, read in place.
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

use crate::model::JobId;
use std::sync::Arc;
use zerocopy::byteorder::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// First bytes of every frame: "IP" and the version of the layout.
const MAGIC: u32 = 0x4950_0001;

/// Bytes reserved for a job id in a frame; valid ids are shorter (see `admission::parse_id`).
const ID_BYTES: usize = 24;

/// Bytes reserved for a machine's name, and for its address, in a frame.
pub const MACHINE_TEXT_BYTES: usize = 64;

/// Largest frame accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 256;

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct Header {
    magic: U32,
    kind: U16,
    /// Length of the body that follows, in bytes.
    length: U16,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct PeerHeartbeatBody {
    token: U64,
    workers_heard: U32,
    state_ok: u8,
    leads: u8,
    index: U16,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct JobBody {
    id: [u8; ID_BYTES],
    done: U32,
    running: U32,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct EndNoticeBody {
    id: [u8; ID_BYTES],
    nonce: U64,
    index: U16,
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct ReachabilityQueryBody {
    round: U64,
    number: U16,
    index: U16,
    machine: [u8; MACHINE_TEXT_BYTES],
    addr: [u8; MACHINE_TEXT_BYTES],
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct ReachabilityAnswerBody {
    round: U64,
    number: U16,
    index: U16,
    reached: u8,
    heard: u8,
}

const HEADER_BYTES: usize = size_of::<Header>();
const KIND_HEARTBEAT: u16 = 1;
const KIND_TASK_COUNTS: u16 = 2;
const KIND_JOB_CHANGED: u16 = 3;
const KIND_END_NOTICE: u16 = 4;
const KIND_END_ACKNOWLEDGED: u16 = 5;
const KIND_REACHABILITY_QUERY: u16 = 6;
const KIND_REACHABILITY_ANSWER: u16 = 7;

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

/// Pads a text with zeros, or truncates it.
fn encode_text<const BYTES: usize>(text: &str) -> [u8; BYTES] {
    let mut bytes = [0; BYTES];
    for (target, source) in bytes.iter_mut().zip(text.bytes()) {
        *target = source;
    }
    bytes
}

fn decode_text(bytes: &[u8]) -> Option<&str> {
    let text = bytes.split(|byte| *byte == 0).next()?;
    std::str::from_utf8(text).ok()
}

fn decode_id(bytes: &[u8; ID_BYTES]) -> Option<JobId> {
    let text = decode_text(bytes)?;
    crate::job_api::admission::parse_id(text).filter(|id| id == &JobId(Arc::from(text)))
}

impl Frame {
    /// Encodes the frame.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Frame::PeerHeartbeat(heartbeat) => encode_frame(
                KIND_HEARTBEAT,
                &PeerHeartbeatBody {
                    token: heartbeat.token.into(),
                    workers_heard: heartbeat.workers_heard.into(),
                    state_ok: heartbeat.state_ok.into(),
                    leads: heartbeat.leads.into(),
                    index: heartbeat.index.into(),
                },
            ),
            Frame::TaskCounts { job, done, running } => encode_frame(
                KIND_TASK_COUNTS,
                &JobBody {
                    id: encode_text(&job.0),
                    done: (*done).into(),
                    running: (*running).into(),
                },
            ),
            Frame::JobChanged { job } => encode_frame(
                KIND_JOB_CHANGED,
                &JobBody {
                    id: encode_text(&job.0),
                    done: 0.into(),
                    running: 0.into(),
                },
            ),
            Frame::ReachabilityQuery(query) => encode_frame(
                KIND_REACHABILITY_QUERY,
                &ReachabilityQueryBody {
                    round: query.round.into(),
                    number: query.number.into(),
                    index: query.index.into(),
                    machine: encode_text(&query.machine),
                    addr: encode_text(&query.addr),
                },
            ),
            Frame::ReachabilityAnswer(answer) => encode_frame(
                KIND_REACHABILITY_ANSWER,
                &ReachabilityAnswerBody {
                    round: answer.round.into(),
                    number: answer.number.into(),
                    index: answer.index.into(),
                    reached: answer.reached.into(),
                    heard: answer.heard.into(),
                },
            ),
            Frame::EndNotice { job, nonce, index } => encode_end_notice(KIND_END_NOTICE, job, *nonce, *index),
            Frame::EndAcknowledged { job, nonce, index } => {
                encode_end_notice(KIND_END_ACKNOWLEDGED, job, *nonce, *index)
            }
        }
    }

    /// Decodes the first frame of `bytes` and returns it with its length; the frame is `None` if only a
    /// later version knows its kind. `Ok(None)` means that more bytes are needed.
    ///
    /// # Errors
    /// The frame is malformed. The rest of the stream cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Option<(Option<Frame>, usize)>, MalformedFrame> {
        let Ok((header, rest)) = Header::read_from_prefix(bytes) else {
            return Ok(None);
        };
        let length = usize::from(header.length.get());
        if header.magic.get() != MAGIC || HEADER_BYTES + length > MAX_FRAME_BYTES {
            return Err(MalformedFrame);
        }
        let Some(body) = rest.get(..length) else {
            return Ok(None);
        };
        let frame = Frame::decode_body(header.kind.get(), body)?;
        Ok(Some((frame, HEADER_BYTES + length)))
    }

    /// Decodes a body; `Ok(None)` if only a later version knows the kind.
    fn decode_body(kind: u16, body: &[u8]) -> Result<Option<Frame>, MalformedFrame> {
        Ok(match kind {
            KIND_HEARTBEAT => {
                let body = PeerHeartbeatBody::read_from_bytes(body).map_err(|_| MalformedFrame)?;
                Some(Frame::PeerHeartbeat(PeerHeartbeat {
                    index: body.index.get(),
                    token: body.token.get(),
                    leads: body.leads != 0,
                    state_ok: body.state_ok != 0,
                    workers_heard: body.workers_heard.get(),
                }))
            }
            KIND_TASK_COUNTS => {
                let body = JobBody::read_from_bytes(body).map_err(|_| MalformedFrame)?;
                let job = decode_id(&body.id).ok_or(MalformedFrame)?;
                Some(Frame::TaskCounts {
                    job,
                    done: body.done.get(),
                    running: body.running.get(),
                })
            }
            KIND_JOB_CHANGED => {
                let body = JobBody::read_from_bytes(body).map_err(|_| MalformedFrame)?;
                Some(Frame::JobChanged {
                    job: decode_id(&body.id).ok_or(MalformedFrame)?,
                })
            }
            kind @ (KIND_END_NOTICE | KIND_END_ACKNOWLEDGED) => {
                let body = EndNoticeBody::read_from_bytes(body).map_err(|_| MalformedFrame)?;
                let job = decode_id(&body.id).ok_or(MalformedFrame)?;
                let (nonce, index) = (body.nonce.get(), body.index.get());
                Some(if kind == KIND_END_NOTICE {
                    Frame::EndNotice { job, nonce, index }
                } else {
                    Frame::EndAcknowledged { job, nonce, index }
                })
            }
            KIND_REACHABILITY_QUERY => {
                let body = ReachabilityQueryBody::read_from_bytes(body).map_err(|_| MalformedFrame)?;
                Some(Frame::ReachabilityQuery(ReachabilityQuery {
                    round: body.round.get(),
                    number: body.number.get(),
                    index: body.index.get(),
                    machine: decode_text(&body.machine).ok_or(MalformedFrame)?.to_owned(),
                    addr: decode_text(&body.addr).ok_or(MalformedFrame)?.to_owned(),
                }))
            }
            KIND_REACHABILITY_ANSWER => {
                let body = ReachabilityAnswerBody::read_from_bytes(body).map_err(|_| MalformedFrame)?;
                Some(Frame::ReachabilityAnswer(ReachabilityAnswer {
                    round: body.round.get(),
                    number: body.number.get(),
                    index: body.index.get(),
                    reached: body.reached != 0,
                    heard: body.heard != 0,
                }))
            }
            _ => None,
        })
    }
}

/// The bytes are not a frame that any peer of this version sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed frame")]
pub struct MalformedFrame;

fn encode_end_notice(kind: u16, job: &JobId, nonce: u64, index: u16) -> Vec<u8> {
    let body = EndNoticeBody {
        id: encode_text(&job.0),
        nonce: nonce.into(),
        index: index.into(),
    };
    encode_frame(kind, &body)
}

fn encode_frame(kind: u16, body: &(impl IntoBytes + Immutable)) -> Vec<u8> {
    let body = body.as_bytes();
    let header = Header {
        magic: MAGIC.into(),
        kind: kind.into(),
        length: (body.len() as u16).into(),
    };
    [header.as_bytes(), body].concat()
}

#[cfg(test)]
mod tests;
