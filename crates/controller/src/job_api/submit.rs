//! Submissions: the job's record is created unless a live or ended job has the id.

use crate::constants::LIVE_READ_MAX_AGE_MS;
use crate::io::{Io, Outcome, RequestId};
use crate::job_api::state_call::StateCall;
use crate::job_api::{AcceptedJob, JobApi, JobRequest};
use crate::model::JobSpec;
use crate::protocol::{Change, Condition, JobStatus, JobStatusResponse, Transaction, TransactionResponse};
use crate::storage::records::{self, Record};
use indigopath_accounting::{Team, VisibleJob};

/// Creates the job's record if neither a live nor an ended job has the id.
pub(super) fn create_transaction(spec: &JobSpec) -> Transaction {
    let live_key = records::job_key(&spec.id.0);
    let absent = |key: String| Condition { key, version: 0 };
    Transaction {
        conditions: vec![
            absent(live_key.clone()),
            absent(records::ended_job_key(&spec.id.0)),
        ],
        changes: vec![Change::Put {
            key: live_key,
            value: spec.to_value(),
            lease: None,
        }],
    }
}

impl JobApi {
    pub(super) fn on_create_response(
        &mut self,
        request: RequestId,
        outcome: &Outcome,
        io: &mut Io,
    ) -> Option<AcceptedJob> {
        self.pending.get(request)?;
        match outcome.status() {
            Some(200) => return self.on_created(request, outcome, io),
            // A job with this id exists: its status is the answer.
            Some(409) => self.send_next_call(request, StateCall::ReadLive, io),
            _ => self.give_up(request, io),
        }
        None
    }

    fn on_created(&mut self, request: RequestId, outcome: &Outcome, io: &mut Io) -> Option<AcceptedJob> {
        let version = outcome
            .read::<TransactionResponse>(&[200])
            .map_or(0, |response| response.revision);
        let pending = self.pending.get(request)?;
        let call_sent_at = pending.call_sent_at;
        let JobRequest::Submit(spec) = pending.kind.clone() else {
            return None;
        };
        if version > 0 {
            self.cache.record_live(&spec.id, version, Team::named(&spec.team));
        }
        // The job may already have been cancelled through another node.
        if self.is_outdated(&spec.id, call_sent_at, io.now) || self.cache.has_ended(&spec.id) {
            self.read_again(request, io);
        } else {
            self.pending.remove(request);
            let visible = VisibleJob::for_protocol(&spec.id.0);
            let response = JobStatusResponse::of(&visible, JobStatus::Pending, None, None);
            io.reply_until(request, 201, &response, call_sent_at + LIVE_READ_MAX_AGE_MS);
        }
        log::debug!(
            "job accepted job={} class={} tasks={}",
            spec.id,
            spec.class,
            spec.tasks
        );
        Some(AcceptedJob { spec, version })
    }
}
