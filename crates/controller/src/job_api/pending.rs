//! Requests for which a call to the state service is in flight.

use crate::constants::{MAX_WAITING_REQUESTS, USER_STATE_TIMEOUT_MS, USER_WRITE_TIMEOUT_MS};
use crate::io::RequestId;
use crate::job_api::JobRequest;
use crate::model::{JobId, Timestamp};
use crate::storage::records::EndedJobRecord;
use std::collections::HashMap;

/// A user's request that is to be answered.
#[derive(Debug)]
pub(super) struct Requester {
    pub request: RequestId,
    pub kind: JobRequest,
    /// When the request arrived.
    pub received_at: Timestamp,
}

/// State of a request while calls for it are in flight.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub job: JobId,
    pub kind: JobRequest,
    /// When the request arrived.
    pub received_at: Timestamp,
    /// How often the job was read again because another node changed it meanwhile.
    pub rereads: u32,
    /// Number of calls made so far.
    pub calls: u32,
    /// When the latest call was sent, from which the answer's age is counted.
    pub call_sent_at: Timestamp,
    /// When the live record was last requested, if it was absent.
    pub not_live_at: Option<Timestamp>,
    /// The end record that replaces the live record.
    pub end: Option<EndedJobRecord>,
}

impl PendingRequest {
    pub(super) fn new(
        job: JobId,
        kind: JobRequest,
        received_at: Timestamp,
        call_sent_at: Timestamp,
    ) -> PendingRequest {
        PendingRequest {
            job,
            kind,
            received_at,
            rereads: 0,
            calls: 0,
            call_sent_at,
            not_live_at: None,
            end: None,
        }
    }

    /// Deadline for the response to a call. Users wait 2 s for a poll; they wait longer for other requests,
    /// which need more than one call.
    pub(super) fn deadline(&self) -> Timestamp {
        let within_ms = match self.kind {
            JobRequest::Poll => USER_STATE_TIMEOUT_MS,
            _ if self.calls <= 1 => USER_STATE_TIMEOUT_MS,
            _ => USER_WRITE_TIMEOUT_MS,
        };
        self.received_at + within_ms
    }

    pub(super) fn into_requester(self, request: RequestId) -> Requester {
        Requester {
            request,
            kind: self.kind,
            received_at: self.received_at,
        }
    }
}

/// All requests with a call in flight, at most about [`MAX_WAITING_REQUESTS`].
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requests: HashMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    /// Whether another request may be inserted.
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
