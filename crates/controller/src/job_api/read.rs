//! Reads of a job's records, and when they are too old to be returned to a user.

use crate::constants::{LIVE_READ_MAX_AGE_MS, MAX_REREADS, RETRY_AFTER_S};
use crate::io::{Io, Outcome, RequestId};
use crate::job_api::cache::TerminalState;
use crate::job_api::reply::{self, READ_AGAIN, visible_job};
use crate::job_api::state_call::StateCall;
use crate::job_api::{JobApi, JobRequest, TaskCounts};
use crate::model::{JobId, JobSpec, Timestamp};
use crate::protocol::StoredItem;
use crate::storage::records::{EndedJobRecord, Record};
use indigopath_accounting::{Team, VisibleJob};

impl JobApi {
    /// The record of a job that is read first.
    pub(super) fn first_read(&self, job: &JobId) -> StateCall {
        if self.cache.is_possibly_ended(job) {
            StateCall::ReadEnded
        } else {
            StateCall::ReadLive
        }
    }

    /// Whether a user may have received a newer answer than a reading requested at `call_sent_at`.
    pub(super) fn is_outdated(&self, job: &JobId, call_sent_at: Timestamp, now: Timestamp) -> bool {
        now >= call_sent_at + LIVE_READ_MAX_AGE_MS || self.peer_notices.supersedes(job, call_sent_at)
    }

    pub(super) fn on_live_response(
        &mut self,
        request: RequestId,
        outcome: &Outcome,
        counts: &TaskCounts,
        io: &mut Io,
    ) {
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        let is_absent = outcome.status() == Some(404);
        pending.not_live_at = is_absent.then_some(pending.call_sent_at);
        if is_absent {
            return self.send_next_call(request, StateCall::ReadEnded, io);
        }
        match outcome.read::<StoredItem>(&[200]) {
            Some(item) => self.on_found_live(request, &item, counts, io),
            None => self.give_up(request, io),
        }
    }

    fn on_found_live(&mut self, request: RequestId, item: &StoredItem, counts: &TaskCounts, io: &mut Io) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        let spec = JobSpec::from_value(&item.value).ok();
        if matches!(pending.kind, JobRequest::Cancel) {
            return self.cancel_live(request, item.version, spec.as_ref(), io);
        }
        let job = pending.job.clone();
        let team = spec.map(|spec| Team::named(&spec.team));
        let visible = visible_job(&job, &pending.kind, team.as_ref());
        let team = team.unwrap_or_else(|| Team::named(""));
        self.cache.record_live(&job, item.version, team);
        self.reply_live(request, &visible, counts, io);
    }

    pub(super) fn on_ended_response(&mut self, request: RequestId, outcome: &Outcome, io: &mut Io) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        match outcome.status() {
            Some(200) => self.on_found_ended(request, outcome, io),
            Some(404) => self.on_end_absent(request, io),
            _ => {
                self.cache.suspect_ended(pending.job.clone());
                self.give_up(request, io);
            }
        }
    }

    fn on_found_ended(&mut self, request: RequestId, outcome: &Outcome, io: &mut Io) {
        let ended = outcome
            .read::<StoredItem>(&[200])
            .and_then(|item| EndedJobRecord::from_value(&item.value).ok());
        let Some(ended) = ended else {
            return self.give_up(request, io);
        };
        let Some(pending) = self.pending.remove(request) else {
            return;
        };
        let job = pending.job.clone();
        let ended = TerminalState::from(&ended);
        self.learn_end_and_reply(&job, ended, pending.into_requester(request), io);
    }

    fn on_end_absent(&mut self, request: RequestId, io: &mut Io) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        let (job, not_live_at) = (pending.job.clone(), pending.not_live_at);
        self.cache.clear_suspicion(&job);
        match not_live_at {
            // The end record was read first, so the job may be live.
            None => self.send_next_call(request, StateCall::ReadLive, io),
            // Neither live nor ended: the job was never accepted, unless that happened after the first
            // of the two reads. The peer that accepted it sends a notice. If the notice arrives after this
            // response, the requests overlap: this user asked before the other user was answered.
            Some(not_live_at) if self.is_outdated(&job, not_live_at, io.now) => {
                self.read_again(request, io);
            }
            Some(not_live_at) => self.reply_absent(request, not_live_at + LIVE_READ_MAX_AGE_MS, io),
        }
    }

    /// Answers that the job does not exist, unless the reply cannot be sent before `until`.
    fn reply_absent(&mut self, request: RequestId, until: Timestamp, io: &mut Io) {
        let Some(pending) = self.pending.remove(request) else {
            return;
        };
        match &pending.kind {
            JobRequest::Refused(refusal) => reply::reply_refusal(request, refusal, Some(until), io),
            // Creation failed because a record existed, but now there is none.
            JobRequest::Submit(_) => self.give_up(request, io),
            JobRequest::Poll | JobRequest::Cancel => {
                io.reply_error_until(request, 404, "no such job", until);
            }
        }
    }

    /// Answers for a job that was live when the state service was called. If this node has learned of its
    /// end since, the end is returned. If a peer has sent a notice since, or the response took so long that
    /// a peer may have reported the job's end, the job is read again.
    pub(super) fn reply_live(
        &mut self,
        request: RequestId,
        visible: &VisibleJob,
        counts: &TaskCounts,
        io: &mut Io,
    ) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        let (job, call_sent_at) = (pending.job.clone(), pending.call_sent_at);
        if self.cache.has_ended(&job) {
            if let Some(pending) = self.pending.remove(request) {
                self.reply_ended_when_visible(&job, pending.into_requester(request), io);
            }
        } else if self.is_outdated(&job, call_sent_at, io.now) {
            self.read_again(request, io);
        } else {
            self.pending.remove(request);
            reply::reply_live(request, visible, call_sent_at + LIVE_READ_MAX_AGE_MS, counts, io);
        }
    }

    /// Reads the job again because the reading may be older than what a peer has answered.
    pub(super) fn read_again(&mut self, request: RequestId, io: &mut Io) {
        let Some(pending) = self.pending.get_mut(request) else {
            return;
        };
        if pending.rereads >= MAX_REREADS || io.now >= pending.deadline() {
            self.pending.remove(request);
            io.reply_retry_later(request, RETRY_AFTER_S, READ_AGAIN);
            return;
        }
        pending.rereads += 1;
        pending.not_live_at = None;
        let job = pending.job.clone();
        self.send_next_call(request, self.first_read(&job), io);
    }
}
