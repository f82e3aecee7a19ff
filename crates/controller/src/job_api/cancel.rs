//! Cancellations: one transaction replaces the live record by the end record.

use crate::constants::MAX_REREADS;
use crate::io::{Io, Outcome, RequestId};
use crate::job_api::cache::TerminalState;
use crate::job_api::state_call::StateCall;
use crate::job_api::{JobApi, authorization};
use crate::model::{JobId, JobSpec};
use crate::protocol::{Change, Condition, Transaction};
use crate::storage::records::{self, EndedJobRecord, Record};
use indigopath_accounting::{Entry, VisibleJob};

/// Replaces the live record by the end record if the live record still has this version.
pub(super) fn move_transaction(job: &JobId, version: u64, record: &EndedJobRecord) -> Transaction {
    let live_key = records::job_key(&job.0);
    Transaction {
        conditions: vec![Condition {
            key: live_key.clone(),
            version,
        }],
        changes: vec![
            Change::Delete { key: live_key },
            Change::Put {
                key: records::ended_job_key(&job.0),
                value: record.to_value(),
                lease: None,
            },
        ],
    }
}

impl JobApi {
    /// Cancels a job whose live record was read at this version.
    pub(super) fn cancel_live(
        &mut self,
        request: RequestId,
        version: u64,
        spec: Option<&JobSpec>,
        io: &mut Io,
    ) {
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        // The protocol names no team here: anyone who knows the id may cancel the job, and the
        // accounting entry goes to the owner's team.
        let visible = VisibleJob::for_protocol(&pending.job.0);
        let entry = spec.and_then(|spec| {
            let owner = authorization::job_owner(spec);
            let ended = authorization::ended_job(spec, io.wall_ms);
            Entry::withdrawn(&visible, &owner, &ended)
        });
        pending.end = Some(EndedJobRecord::cancelled(&visible, entry));
        self.send_next_call(request, StateCall::MoveToEnded { version }, io);
    }

    pub(super) fn on_move_response(&mut self, request: RequestId, outcome: &Outcome, io: &mut Io) {
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        match outcome.status() {
            Some(200) => self.on_moved(request, io),
            // The record changed since it was read.
            Some(409) if pending.rereads < MAX_REREADS => {
                pending.rereads += 1;
                self.send_next_call(request, StateCall::ReadLive, io);
            }
            _ => self.give_up(request, io),
        }
    }

    fn on_moved(&mut self, request: RequestId, io: &mut Io) {
        let Some(mut pending) = self.pending.remove(request) else {
            return;
        };
        let Some(record) = pending.end.take() else { return };
        let job = pending.job.clone();
        let ended = TerminalState::from(&record);
        self.learn_end_and_reply(&job, ended, pending.into_requester(request), io);
    }
}
