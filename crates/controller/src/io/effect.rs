//! Effects: what the core asks of the outside.

use super::{CallId, Destination, Method};
use crate::model::Timestamp;
use indigopath_fencing::Permit;

/// A request of a user, a worker or a peer that is to be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What the body of an answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentType {
    /// JSON.
    Json,
    /// Metrics in the OpenMetrics text form.
    Metrics,
}

/// What the core asks of the outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// A request is answered.
    Reply {
        /// The request.
        request: RequestId,
        /// The status of HTTP.
        status: u16,
        /// When its sender may ask again.
        retry_after_s: Option<u64>,
        /// What the body is.
        content: ContentType,
        /// The body.
        body: Vec<u8>,
        /// Too old to be given from then on, by this node's clock: its user is told to come back.
        until: Option<Timestamp>,
    },
    /// Another system is called.
    Call {
        /// The call.
        call: CallId,
        /// Where it goes.
        to: Destination,
        /// Its method.
        method: Method,
        /// Its path.
        path: String,
        /// Its body.
        body: Vec<u8>,
        /// How long its answer is waited for.
        timeout_ms: u64,
        /// What must still allow it when its bytes go out; dropped, it was not sent.
        permit: Option<Permit>,
    },
    /// A frame goes to a peer.
    Frame {
        /// The peer's position among all controllers' names in order.
        peer: usize,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// A message for operators, on which they can act.
    Warning(String),
}
