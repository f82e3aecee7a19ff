//! Calls to other systems and their outcomes.

use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// A call to another system whose outcome is to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The system that a call goes to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Destination {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// The worker at this address.
    Worker(String),
    /// A licence server that operators name.
    Licences(SocketAddrV4),
}

/// Systems that compare a token, or are only asked: whoever calls them needs no permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FencedDestination {
    /// The state service.
    State,
    /// The worker at this address.
    Worker(String),
    /// A licence server that operators name.
    Licences(SocketAddrV4),
}

impl From<FencedDestination> for Destination {
    fn from(to: FencedDestination) -> Destination {
        match to {
            FencedDestination::State => Destination::State,
            FencedDestination::Worker(addr) => Destination::Worker(addr),
            FencedDestination::Licences(addr) => Destination::Licences(addr),
        }
    }
}

/// A method of HTTP.
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

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answer {
        /// The status of HTTP.
        status: u16,
        /// The answer's body.
        body: Vec<u8>,
    },
    /// No connection came about: it was certainly not carried out.
    NotSent,
    /// It may have been carried out, or may still be.
    NoAnswer,
}

impl Outcome {
    /// The status, if there is an answer.
    pub fn status(&self) -> Option<u16> {
        match self {
            Outcome::Answer { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// The body of an answer with one of these statuses, if it can be read.
    pub fn read<T: DeserializeOwned>(&self, statuses: &[u16]) -> Option<T> {
        match self {
            Outcome::Answer { status, body } if statuses.contains(status) => serde_json::from_slice(body)
                .inspect_err(|error| log::info!("response unreadable status={status}: {error}"))
                .ok(),
            _ => None,
        }
    }

    /// It was certainly not carried out, so that it may simply be sent again.
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

/// Calls whose outcomes somebody waits for, and what each was made for.
/// Every caller keeps its own: what is dropped with its owner is never answered.
#[derive(Debug)]
pub struct PendingCalls<T>(HashMap<CallId, T>);

impl<T> Default for PendingCalls<T> {
    fn default() -> Self {
        PendingCalls(HashMap::new())
    }
}

impl<T> PendingCalls<T> {
    /// A call was made; its outcome is waited for.
    pub fn insert(&mut self, call: CallId, what: T) {
        self.0.insert(call, what);
    }

    /// What the call was, if it was made here; it is expected no longer.
    pub fn complete(&mut self, call: CallId) -> Option<T> {
        self.0.remove(&call)
    }
}
