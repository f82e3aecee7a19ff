//! Calls to other systems and their outcomes.

use crate::model::Timestamp;
use indigopath_fencing::Permit;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Identifies a call to another system until its outcome is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The system that is called.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Destination {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// The worker at this address.
    Worker(String),
    /// A licence server from the operators' settings.
    Licences(SocketAddrV4),
}

/// Destinations that need no permit, because they compare fencing tokens or are only read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FencedDestination {
    /// The state service.
    State,
    /// The worker at this address.
    Worker(String),
    /// A licence server from the operators' settings.
    Licences(SocketAddrV4),
}

impl From<FencedDestination> for Destination {
    fn from(destination: FencedDestination) -> Destination {
        match destination {
            FencedDestination::State => Destination::State,
            FencedDestination::Worker(addr) => Destination::Worker(addr),
            FencedDestination::Licences(addr) => Destination::Licences(addr),
        }
    }
}

/// An HTTP method.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Reads.
    Get,
    /// Creates or changes.
    Post,
    /// Deletes.
    Delete,
}

impl Method {
    /// The method's name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
        }
    }
}

/// What must hold when the first byte of a call is sent. Otherwise the call is dropped, with [`Outcome::NotSent`]:
/// the process may have been suspended since it decided on the call, or the connection may have taken long.
#[derive(Debug, Clone, PartialEq)]
pub enum SendCondition {
    /// Nothing: the call changes nothing, or its recipient compares a fencing token or a version.
    Unconditional,
    /// A permit to act on the cloud is still valid.
    Permitted(Permit),
    /// It is earlier than this on the node's clock. Later, what the call rests on is too old.
    Before(Timestamp),
}

impl SendCondition {
    /// Whether the call may be sent at this time.
    pub fn holds(&self, now: Timestamp) -> bool {
        match self {
            SendCondition::Unconditional => true,
            SendCondition::Permitted(permit) => permit.allows(now),
            SendCondition::Before(time) => now < *time,
        }
    }
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A response arrived.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The response body.
        body: Vec<u8>,
    },
    /// No connection was established, so the call was certainly not executed.
    NotSent,
    /// No response arrived. The call may have been executed or may still be.
    NoAnswer,
}

impl Outcome {
    /// The HTTP status, if a response arrived.
    pub fn status(&self) -> Option<u16> {
        match self {
            Outcome::Answer { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// Parses the body of a response with one of these statuses.
    pub fn read<T: DeserializeOwned>(&self, statuses: &[u16]) -> Option<T> {
        match self {
            Outcome::Answer { status, body } if statuses.contains(status) => serde_json::from_slice(body)
                .inspect_err(|error| log::info!("response unreadable status={status}: {error}"))
                .ok(),
            _ => None,
        }
    }

    /// Whether the call was certainly not executed and may be sent again unchanged.
    pub fn is_safe_to_retry(&self) -> bool {
        matches!(
            self,
            Outcome::NotSent
                | Outcome::Answer {
                    status: 429 | 503,
                    ..
                }
        )
    }
}

/// Calls in flight, each with what it was made for. Every component keeps its own; outcomes of calls
/// whose component was dropped are ignored.
#[derive(Debug)]
pub struct PendingCalls<T>(HashMap<CallId, T>);

impl<T> Default for PendingCalls<T> {
    fn default() -> Self {
        PendingCalls(HashMap::new())
    }
}

impl<T> PendingCalls<T> {
    /// Records a call whose outcome is expected.
    pub fn insert(&mut self, call: CallId, purpose: T) {
        self.0.insert(call, purpose);
    }

    /// Number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.0.len()
    }

    /// Removes a call whose outcome arrived and returns what it was made for, if it is known here.
    pub fn complete(&mut self, call: CallId) -> Option<T> {
        self.0.remove(&call)
    }
}
