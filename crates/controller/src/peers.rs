//! Frames between controllers: fixed layouts, little-endian, read in place.
//!
//! Heartbeats say who leads and who workers_heard from how many workers; counts are for display; notices of
//! changes only save time. The rules rest on two kinds alone, and on neither for a job's state: that is
//! read in the state service. An end notice is sent by a node that knows that an end is committed, an
//! acknowledgement by a peer that from then on gives no older reading of the job. Both are facts of the
//! past that stay true however late, often or never they arrive. An acknowledgement returns a nonce
//! that its receiver drew for this notice and this peer: a copy, one for a former life and one for
//! another job prove nothing. A lost frame only costs time (see `job_api/commit_wait.rs`).

use crate::model::JobId;
use std::sync::Arc;
use zerocopy::byteorder::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// First bytes of every frame: "IP" and the layout's version.
const MAGIC: u32 = 0x4950_0001;

/// Bytes of a job id in a frame; ids are shorter (see `admission::parse_id`).
const ID_BYTES: usize = 24;

/// Largest frame accepted, in bytes.
pub const MAX_FRAME: usize = 256;

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct Header {
    magic: U32,
    kind: U16,
    /// Bytes of the body that follows.
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

const HEADER: usize = size_of::<Header>();
const KIND_HEARTBEAT: u16 = 1;
const KIND_TASK_COUNTS: u16 = 2;
const KIND_JOB_CHANGED: u16 = 3;
const KIND_END_NOTICE: u16 = 4;
const KIND_END_ACKNOWLEDGED: u16 = 5;

/// A message between controllers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// The sender is alive.
    PeerHeartbeat(PeerHeartbeat),
    /// How many tasks of a job are done and running, from its leader.
    TaskCounts {
        /// The job.
        job: JobId,
        /// Completed tasks.
        done: u32,
        /// Running tasks.
        running: u32,
    },
    /// A user's request changed this job: the leader may look at once.
    JobChanged {
        /// The job.
        job: JobId,
    },
    /// The job's end is committed. The sender answers nobody about it before this nonce comes back, or
    /// time has passed.
    EndNotice {
        /// The job.
        job: JobId,
        /// The nonce drawn for this notice and its receiver.
        nonce: u64,
        /// Position of the sender's name among all controllers' names in order.
        index: u16,
    },
    /// What the sender read of the job before it had this nonce is not given any more.
    EndAcknowledged {
        /// The job.
        job: JobId,
        /// The nonce of the notice.
        nonce: u64,
        /// Position of the sender's name among all controllers' names in order.
        index: u16,
    },
}

/// What a controller tells its peers at intervals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerHeartbeat {
    /// Position of the sender's name among all controllers' names in order.
    pub index: u16,
    /// The sender's token while it leads, or the highest it knows.
    pub token: u64,
    /// The sender leads.
    pub leads: bool,
    /// Its last call to the state service was answered.
    pub state_ok: bool,
    /// Workers that addressed it lately.
    pub workers_heard: u32,
}

fn id_bytes(job: &JobId) -> [u8; ID_BYTES] {
    let mut bytes = [0; ID_BYTES];
    for (to, from) in bytes.iter_mut().zip(job.0.bytes()) {
        *to = from;
    }
    bytes
}

fn id_from(bytes: &[u8; ID_BYTES]) -> Option<JobId> {
    let length = bytes.iter().position(|byte| *byte == 0).unwrap_or(ID_BYTES);
    let text = std::str::from_utf8(&bytes[..length]).ok()?;
    crate::job_api::admission::parse_id(text).filter(|id| id == &JobId(Arc::from(text)))
}

impl Frame {
    /// The frame's bytes.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Frame::PeerHeartbeat(beat) => frame(
                KIND_HEARTBEAT,
                &PeerHeartbeatBody {
                    token: beat.token.into(),
                    workers_heard: beat.workers_heard.into(),
                    state_ok: beat.state_ok.into(),
                    leads: beat.leads.into(),
                    index: beat.index.into(),
                },
            ),
            Frame::TaskCounts { job, done, running } => frame(
                KIND_TASK_COUNTS,
                &JobBody {
                    id: id_bytes(job),
                    done: (*done).into(),
                    running: (*running).into(),
                },
            ),
            Frame::JobChanged { job } => frame(
                KIND_JOB_CHANGED,
                &JobBody {
                    id: id_bytes(job),
                    done: 0.into(),
                    running: 0.into(),
                },
            ),
            Frame::EndNotice { job, nonce, index } => end_notice(KIND_END_NOTICE, job, *nonce, *index),
            Frame::EndAcknowledged { job, nonce, index } => {
                end_notice(KIND_END_ACKNOWLEDGED, job, *nonce, *index)
            }
        }
    }

    /// Takes one frame off the front of `bytes`, and returns it with its length; a later version's frame
    /// is skipped. `Ok(None)`: more is needed. An unreadable frame is an error, after which the stream
    /// cannot be followed.
    pub fn decode(bytes: &[u8]) -> Result<Option<(Option<Frame>, usize)>, MalformedFrame> {
        let Ok((header, rest)) = Header::read_from_prefix(bytes) else {
            return Ok(None);
        };
        let length = usize::from(header.length.get());
        if header.magic.get() != MAGIC || HEADER + length > MAX_FRAME {
            return Err(MalformedFrame);
        }
        let Some(body) = rest.get(..length) else {
            return Ok(None);
        };
        let frame = Frame::decode_body(header.kind.get(), body)?;
        Ok(Some((frame, HEADER + length)))
    }

    /// `Ok(None)`: a kind that only a later version knows.
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
                let job = id_from(&body.id).ok_or(MalformedFrame)?;
                Some(Frame::TaskCounts {
                    job,
                    done: body.done.get(),
                    running: body.running.get(),
                })
            }
            KIND_JOB_CHANGED => {
                let body = JobBody::read_from_bytes(body).map_err(|_| MalformedFrame)?;
                Some(Frame::JobChanged {
                    job: id_from(&body.id).ok_or(MalformedFrame)?,
                })
            }
            kind @ (KIND_END_NOTICE | KIND_END_ACKNOWLEDGED) => {
                let body = EndNoticeBody::read_from_bytes(body).map_err(|_| MalformedFrame)?;
                let job = id_from(&body.id).ok_or(MalformedFrame)?;
                let (nonce, index) = (body.nonce.get(), body.index.get());
                Some(if kind == KIND_END_NOTICE {
                    Frame::EndNotice { job, nonce, index }
                } else {
                    Frame::EndAcknowledged { job, nonce, index }
                })
            }
            _ => None,
        })
    }
}

/// A frame that no peer of this version sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed frame")]
pub struct MalformedFrame;

fn end_notice(kind: u16, job: &JobId, nonce: u64, index: u16) -> Vec<u8> {
    let body = EndNoticeBody {
        id: id_bytes(job),
        nonce: nonce.into(),
        index: index.into(),
    };
    frame(kind, &body)
}

fn frame(kind: u16, body: &(impl IntoBytes + Immutable)) -> Vec<u8> {
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
