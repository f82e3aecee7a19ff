//! Effects that the core asks its host to perform.

use super::{CallId, Destination, Method, SendCondition};
use crate::model::Timestamp;

/// Identifies a request of a user, a worker or a peer until it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Content type of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentType {
    /// JSON.
    Json,
    /// Metrics in the OpenMetrics text format.
    Metrics,
}

/// An action that the core asks its host to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answers a request.
    Reply {
        /// The request.
        request: RequestId,
        /// The HTTP status.
        status: u16,
        /// Seconds after which the sender may retry.
        retry_after_s: Option<u64>,
        /// Content type of the body.
        content: ContentType,
        /// The body.
        body: Vec<u8>,
        /// Time on this node's clock from which the reply is stale; the user is then told to retry.
        until: Option<Timestamp>,
    },
    /// Calls another system.
    Call {
        /// The call.
        call: CallId,
        /// The destination.
        to: Destination,
        /// The HTTP method.
        method: Method,
        /// The URL path.
        path: String,
        /// The request body.
        body: Vec<u8>,
        /// How long to wait for the response, in ms.
        timeout_ms: u64,
        /// What must hold when the request is sent.
        condition: SendCondition,
    },
    /// Sends a frame to a peer.
    Frame {
        /// Index of the peer in the settings.
        peer: usize,
        /// The encoded frames.
        bytes: Vec<u8>,
    },
    /// An actionable message for operators.
    Warning(String),
}
