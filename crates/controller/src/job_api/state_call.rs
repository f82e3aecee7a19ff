//! Calls of the job API to the state service, and dispatch of their responses.

use crate::constants::RETRY_AFTER_S;
use crate::io::{CallId, FencedDestination, Io, Method, Outcome, RequestId, json};
use crate::job_api::pending::PendingRequest;
use crate::job_api::poll::BatchedPoll;
use crate::job_api::{AcceptedJob, JobApi, JobRequest, TaskCounts, cancel, submit};
use crate::protocol::{Transaction, paths};
use crate::storage::records;

/// A call to the state service for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StateCall {
    /// Creates the job's record.
    Create,
    ReadLive,
    ReadEnded,
    /// Replaces the live record, if it has this version, by the end record.
    MoveToEnded {
        version: u64,
    },
}

/// What a call to the state service was made for.
#[derive(Debug)]
pub(super) enum CallPurpose {
    Request(RequestId, StateCall),
    /// A comparison that answers these polls.
    Comparison(Vec<BatchedPoll>),
    /// A page of the job scan.
    ScanPage {
        /// Last key of the previous page.
        after: Option<String>,
    },
}

/// An HTTP request to the state service.
struct StateRequest {
    method: Method,
    path: String,
    body: Vec<u8>,
}

impl StateRequest {
    fn read(key: &str) -> StateRequest {
        StateRequest {
            method: Method::Get,
            path: paths::key(key),
            body: Vec::new(),
        }
    }

    fn transaction(transaction: &Transaction) -> StateRequest {
        StateRequest {
            method: Method::Post,
            path: paths::TRANSACTION.to_owned(),
            body: json(transaction),
        }
    }

    /// Builds the request of a call; `None` if the pending request lacks the data to write.
    fn new(pending: &PendingRequest, call: StateCall) -> Option<StateRequest> {
        let job = &pending.job;
        let request = match call {
            StateCall::ReadLive => StateRequest::read(&records::job_key(&job.0)),
            StateCall::ReadEnded => StateRequest::read(&records::ended_job_key(&job.0)),
            StateCall::Create => {
                let JobRequest::Submit(spec) = &pending.kind else {
                    return None;
                };
                StateRequest::transaction(&submit::create_transaction(spec))
            }
            StateCall::MoveToEnded { version } => {
                let record = pending.end.as_ref()?;
                StateRequest::transaction(&cancel::move_transaction(job, version, record))
            }
        };
        Some(request)
    }
}

impl JobApi {
    /// Sends a call for a request. The caller has charged the budget for it.
    pub(super) fn send_call(&mut self, request: RequestId, call: StateCall, io: &mut Io) {
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        pending.calls += 1;
        pending.call_sent_at = io.now;
        let timeout_ms = pending.deadline().saturating_sub(io.now).max(1);
        let Some(StateRequest { method, path, body }) = StateRequest::new(pending, call) else {
            return;
        };
        let call_id = io.call(FencedDestination::State, method, path, body, timeout_ms);
        self.calls.insert(call_id, CallPurpose::Request(request, call));
    }

    /// Sends a further call for a request, charged to the budget even if it is used up.
    pub(super) fn send_next_call(&mut self, request: RequestId, call: StateCall, io: &mut Io) {
        io.state_budget.force_take(1.0, io.now);
        self.send_call(request, call, io);
    }

    /// Handles the outcome of a call. Returns `None` if the call was not made here, else the job whose acceptance
    /// the node has to act on, if any.
    pub fn handle_response(
        &mut self,
        call: CallId,
        outcome: &Outcome,
        counts: &TaskCounts,
        io: &mut Io,
    ) -> Option<Option<AcceptedJob>> {
        let accepted = match self.calls.complete(call)? {
            CallPurpose::Request(request, call) => self.on_response(request, call, outcome, counts, io),
            CallPurpose::ScanPage { after } => {
                self.scan.on_page(after, outcome, &mut self.cache, io.now);
                None
            }
            CallPurpose::Comparison(polls) => {
                self.on_comparison(polls, outcome, counts, io);
                None
            }
        };
        Some(accepted)
    }

    fn on_response(
        &mut self,
        request: RequestId,
        call: StateCall,
        outcome: &Outcome,
        counts: &TaskCounts,
        io: &mut Io,
    ) -> Option<AcceptedJob> {
        match call {
            StateCall::Create => self.on_create_response(request, outcome, io),
            StateCall::MoveToEnded { .. } => {
                self.on_move_response(request, outcome, io);
                None
            }
            StateCall::ReadLive => {
                self.on_live_response(request, outcome, counts, io);
                None
            }
            StateCall::ReadEnded => {
                self.on_ended_response(request, outcome, io);
                None
            }
        }
    }

    /// Rejects a request because the state service gave no usable response in time.
    pub(super) fn give_up(&mut self, request: RequestId, io: &mut Io) {
        self.pending.remove(request);
        io.reply_retry_later(request, RETRY_AFTER_S, "the state service does not answer");
    }
}
