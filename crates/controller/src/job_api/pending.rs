//! Requests for which a call to the state service is in flight.

use crate::constants::{MAX_WAITING_REQUESTS, USER_STATE_TIMEOUT_MS, USER_WRITE_TIMEOUT_MS};
use crate::io::RequestId;
use crate::job_api::JobRequest;
use crate::model::{JobId, Timestamp};
use crate::storage::records::EndedRecord;
use std::collections::HashMap;

/// Whom an answer goes to, and what they asked.
#[derive(Debug)]
pub(super) struct Requester {
    pub request: RequestId,
    pub kind: JobRequest,
    /// When the request came.
    pub since: Timestamp,
}

/// How far a request has come.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub job: JobId,
    pub kind: JobRequest,
    /// When the request came.
    pub since: Timestamp,
    /// Rounds of reading again because another node changed the job meanwhile.
    pub rereads: u32,
    /// Calls made for it so far.
    pub calls: u32,
    /// When the call was made on which an answer would rest.
    pub asked_at: Timestamp,
    /// When its live record was last asked for, if there was none.
    pub not_live_at: Option<Timestamp>,
    /// The record that is to replace the live one.
    pub end: Option<EndedRecord>,
}

impl PendingRequest {
    pub(super) fn new(job: JobId, kind: JobRequest, since: Timestamp, asked_at: Timestamp) -> PendingRequest {
        PendingRequest {
            job,
            kind,
            since,
            rereads: 0,
            calls: 0,
            asked_at,
            not_live_at: None,
            end: None,
        }
    }

    /// By when a call for it has to be answered. Whoever polls waits for 2 s; others wait longer, and
    /// need more than one call.
    pub(super) fn deadline(&self) -> Timestamp {
        let within_ms = match self.kind {
            JobRequest::Poll => USER_STATE_TIMEOUT_MS,
            _ if self.calls <= 1 => USER_STATE_TIMEOUT_MS,
            _ => USER_WRITE_TIMEOUT_MS,
        };
        self.since + within_ms
    }

    pub(super) fn into_requester(self, request: RequestId) -> Requester {
        Requester {
            request,
            kind: self.kind,
            since: self.since,
        }
    }
}

/// All requests with a call in flight, at most about [`MAX_WAITING_REQUESTS`].
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requests: HashMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    /// Whether calls for another request may be made.
    pub(super) fn has_room(&self) -> bool {
        self.requests.len() < MAX_WAITING_REQUESTS
    }

    pub(super) fn insert(&mut self, request: RequestId, pending: PendingRequest) {
        self.requests.insert(request, pending);
    }

    pub(super) fn get(&self, request: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&request)
    }

    pub(super) fn get_mut(&mut self, request: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&request)
    }

    pub(super) fn remove(&mut self, request: RequestId) -> Option<PendingRequest> {
        self.requests.remove(&request)
    }
}
