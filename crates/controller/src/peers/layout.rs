//! Layout of frames: fixed little-endian structures, read in place.

use super::{
    Frame, MACHINE_TEXT_BYTES, MAX_FRAME_BYTES, MalformedFrame, PeerHeartbeat, ReachabilityAnswer,
    ReachabilityQuery,
};
use crate::job_api::admission::parse_id;
use crate::model::JobId;
use std::sync::Arc;
use zerocopy::byteorder::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// First bytes of every frame: "IP" and the version of the layout.
const MAGIC: u32 = 0x4950_0001;

/// Bytes reserved for a job id in a frame; valid ids are shorter (see `admission::parse_id`).
const ID_BYTES: usize = 24;

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

impl From<&PeerHeartbeat> for PeerHeartbeatBody {
    fn from(heartbeat: &PeerHeartbeat) -> PeerHeartbeatBody {
        PeerHeartbeatBody {
            token: heartbeat.token.into(),
            workers_heard: heartbeat.workers_heard.into(),
            state_ok: heartbeat.state_ok.into(),
            leads: heartbeat.leads.into(),
            index: heartbeat.index.into(),
        }
    }
}

impl From<PeerHeartbeatBody> for PeerHeartbeat {
    fn from(body: PeerHeartbeatBody) -> PeerHeartbeat {
        PeerHeartbeat {
            index: body.index.get(),
            token: body.token.get(),
            leads: body.leads != 0,
            state_ok: body.state_ok != 0,
            workers_heard: body.workers_heard.get(),
        }
    }
}

impl JobBody {
    fn new(job: &JobId, done: u32, running: u32) -> JobBody {
        JobBody {
            id: encode_text(&job.0),
            done: done.into(),
            running: running.into(),
        }
    }
}

impl EndNoticeBody {
    fn new(job: &JobId, nonce: u64, index: u16) -> EndNoticeBody {
        EndNoticeBody {
            id: encode_text(&job.0),
            nonce: nonce.into(),
            index: index.into(),
        }
    }
}

impl From<&ReachabilityQuery> for ReachabilityQueryBody {
    fn from(query: &ReachabilityQuery) -> ReachabilityQueryBody {
        ReachabilityQueryBody {
            round: query.round.into(),
            number: query.number.into(),
            index: query.index.into(),
            machine: encode_text(&query.machine),
            addr: encode_text(&query.addr),
        }
    }
}

impl TryFrom<ReachabilityQueryBody> for ReachabilityQuery {
    type Error = MalformedFrame;

    fn try_from(body: ReachabilityQueryBody) -> Result<ReachabilityQuery, MalformedFrame> {
        Ok(ReachabilityQuery {
            round: body.round.get(),
            number: body.number.get(),
            index: body.index.get(),
            machine: decode_text(&body.machine)?.to_owned(),
            addr: decode_text(&body.addr)?.to_owned(),
        })
    }
}

impl From<&ReachabilityAnswer> for ReachabilityAnswerBody {
    fn from(answer: &ReachabilityAnswer) -> ReachabilityAnswerBody {
        ReachabilityAnswerBody {
            round: answer.round.into(),
            number: answer.number.into(),
            index: answer.index.into(),
            reached: answer.reached.into(),
            heard: answer.heard.into(),
        }
    }
}

impl From<ReachabilityAnswerBody> for ReachabilityAnswer {
    fn from(body: ReachabilityAnswerBody) -> ReachabilityAnswer {
        ReachabilityAnswer {
            round: body.round.get(),
            number: body.number.get(),
            index: body.index.get(),
            reached: body.reached != 0,
            heard: body.heard != 0,
        }
    }
}

impl Frame {
    /// Encodes the frame.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Frame::PeerHeartbeat(heartbeat) => {
                encode_frame(KIND_HEARTBEAT, &PeerHeartbeatBody::from(heartbeat))
            }
            Frame::TaskCounts { job, done, running } => {
                encode_frame(KIND_TASK_COUNTS, &JobBody::new(job, *done, *running))
            }
            Frame::JobChanged { job } => encode_frame(KIND_JOB_CHANGED, &JobBody::new(job, 0, 0)),
            Frame::EndNotice { job, nonce, index } => {
                encode_frame(KIND_END_NOTICE, &EndNoticeBody::new(job, *nonce, *index))
            }
            Frame::EndAcknowledged { job, nonce, index } => {
                encode_frame(KIND_END_ACKNOWLEDGED, &EndNoticeBody::new(job, *nonce, *index))
            }
            Frame::ReachabilityQuery(query) => {
                encode_frame(KIND_REACHABILITY_QUERY, &ReachabilityQueryBody::from(query))
            }
            Frame::ReachabilityAnswer(answer) => {
                encode_frame(KIND_REACHABILITY_ANSWER, &ReachabilityAnswerBody::from(answer))
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
        let frame = match kind {
            KIND_HEARTBEAT => Frame::PeerHeartbeat(read_body::<PeerHeartbeatBody>(body)?.into()),
            KIND_TASK_COUNTS => {
                let body: JobBody = read_body(body)?;
                Frame::TaskCounts {
                    job: decode_id(&body.id)?,
                    done: body.done.get(),
                    running: body.running.get(),
                }
            }
            KIND_JOB_CHANGED => Frame::JobChanged {
                job: decode_id(&read_body::<JobBody>(body)?.id)?,
            },
            KIND_END_NOTICE => {
                let body: EndNoticeBody = read_body(body)?;
                Frame::EndNotice {
                    job: decode_id(&body.id)?,
                    nonce: body.nonce.get(),
                    index: body.index.get(),
                }
            }
            KIND_END_ACKNOWLEDGED => {
                let body: EndNoticeBody = read_body(body)?;
                Frame::EndAcknowledged {
                    job: decode_id(&body.id)?,
                    nonce: body.nonce.get(),
                    index: body.index.get(),
                }
            }
            KIND_REACHABILITY_QUERY => {
                Frame::ReachabilityQuery(read_body::<ReachabilityQueryBody>(body)?.try_into()?)
            }
            KIND_REACHABILITY_ANSWER => {
                Frame::ReachabilityAnswer(read_body::<ReachabilityAnswerBody>(body)?.into())
            }
            _ => return Ok(None),
        };
        Ok(Some(frame))
    }
}

fn read_body<Body: FromBytes>(bytes: &[u8]) -> Result<Body, MalformedFrame> {
    Body::read_from_bytes(bytes).map_err(|_| MalformedFrame)
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

/// Pads a text with zeros, or truncates it.
fn encode_text<const BYTES: usize>(text: &str) -> [u8; BYTES] {
    let mut bytes = [0; BYTES];
    for (target, source) in bytes.iter_mut().zip(text.bytes()) {
        *target = source;
    }
    bytes
}

fn decode_text(bytes: &[u8]) -> Result<&str, MalformedFrame> {
    let text = bytes.split(|byte| *byte == 0).next().unwrap_or_default();
    std::str::from_utf8(text).map_err(|_| MalformedFrame)
}

fn decode_id(bytes: &[u8; ID_BYTES]) -> Result<JobId, MalformedFrame> {
    let text = decode_text(bytes)?;
    parse_id(text)
        .filter(|id| id == &JobId(Arc::from(text)))
        .ok_or(MalformedFrame)
}
