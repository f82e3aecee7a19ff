//! Calls to the state service that the job API makes, and where their answers go.

use crate::constants::RETRY_AFTER_S;
use crate::io::{CallId, FencedDestination, Io, Method, Outcome, RequestId, json};
use crate::job_api::pending::PendingRequest;
use crate::job_api::poll::GatheredPoll;
use crate::job_api::{JobApi, JobRequest, RequestOutcome, TaskCounts, cancel, submit};
use crate::protocol::{Transaction, paths};
use crate::storage::records;

/// A call for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StateCall {
    /// Creates the job's record.
    Create,
    ReadLive,
    ReadEnded,
    /// Replaces the live record, if it has this version, by the record of the job's end.
    MoveToEnded {
        version: u64,
    },
}

/// Whom a call to the state service is for.
#[derive(Debug)]
pub(super) enum CallPurpose {
    Request(RequestId, StateCall),
    /// Polls that one comparison answers.
    Comparison(Vec<GatheredPoll>),
    /// A page of the scan, after this key.
    ScanPage {
        after: Option<String>,
    },
}

/// What is sent to the state service.
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

    /// None if the request lacks what the call is to write.
    fn new(pending: &PendingRequest, call: StateCall) -> Option<StateRequest> {
        let job = &pending.job;
        let request = match call {
            StateCall::ReadLive => StateRequest::read(&records::job_key(&job.0)),
            StateCall::ReadEnded => StateRequest::read(&records::ended_key(&job.0)),
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
    /// Sends a call for a request whose turn has come, which has paid for it.
    pub(super) fn send_call(&mut self, request: RequestId, call: StateCall, io: &mut Io) {
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        pending.calls += 1;
        pending.asked_at = io.now;
        let timeout_ms = pending.deadline().saturating_sub(io.now).max(1);
        let Some(StateRequest { method, path, body }) = StateRequest::new(pending, call) else {
            return;
        };
        let sent = io.call(FencedDestination::State, method, path, body, timeout_ms);
        self.calls.insert(sent, CallPurpose::Request(request, call));
    }

    /// Sends a further call for a request, charged to the budget whatever is left there.
    pub(super) fn send_next_call(&mut self, request: RequestId, call: StateCall, io: &mut Io) {
        io.state_budget.force(1.0, io.now);
        self.send_call(request, call, io);
    }

    /// A call was answered. None if it was not made here, else what the node should know.
    pub fn handle_response(
        &mut self,
        call: CallId,
        outcome: &Outcome,
        counts: &TaskCounts,
        io: &mut Io,
    ) -> Option<Option<RequestOutcome>> {
        let done = match self.calls.complete(call)? {
            CallPurpose::Request(request, call) => self.on_answer(request, call, outcome, counts, io),
            CallPurpose::ScanPage { after } => {
                self.scan.on_page(after, outcome, &mut self.cache, io.now);
                None
            }
            CallPurpose::Comparison(polls) => {
                self.on_comparison(polls, outcome, counts, io);
                None
            }
        };
        Some(done)
    }

    fn on_answer(
        &mut self,
        request: RequestId,
        call: StateCall,
        outcome: &Outcome,
        counts: &TaskCounts,
        io: &mut Io,
    ) -> Option<RequestOutcome> {
        match call {
            StateCall::Create => self.on_create_answer(request, outcome, io),
            StateCall::MoveToEnded { .. } => self.on_move_answer(request, outcome, io),
            StateCall::ReadLive => {
                self.on_live_answer(request, outcome, counts, io);
                None
            }
            StateCall::ReadEnded => {
                self.on_ended_answer(request, outcome, io);
                None
            }
        }
    }

    /// The state service gave no usable answer in time.
    pub(super) fn give_up(&mut self, request: RequestId, io: &mut Io) {
        self.pending.remove(request);
        io.reply_retry_later(request, RETRY_AFTER_S, "the state service does not answer");
    }
}
