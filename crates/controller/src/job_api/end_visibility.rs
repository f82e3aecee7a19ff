//! Visibility of job ends: this node notifies its peers of an end that it learns, and requests for the job
//! wait until no peer can answer with an older state (see `commit_wait.rs`).

use crate::constants::{
    MAX_WAITING_REQUESTS, POLL_RESPONSE_DEADLINE_MS, RETRY_AFTER_S, WRITE_RESPONSE_DEADLINE_MS,
};
use crate::io::{Effect, Io, RequestId};
use crate::job_api::acknowledgements::AcknowledgementRecipient;
use crate::job_api::cache::TerminalState;
use crate::job_api::commit_wait::{Nonces, Visibility};
use crate::job_api::pending::Requester;
use crate::job_api::reply::{self, END_NOT_VISIBLE, TOO_MANY_REQUESTS, visible_job};
use crate::job_api::{JobApi, JobRequest};
use crate::model::{JobId, Timestamp};
use crate::peers::Frame;
use crate::storage::records::Ending;

/// A request that waits for a job's end to become visible to users.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    request: RequestId,
    kind: JobRequest,
    /// When its user is told to retry.
    until: Timestamp,
}

/// Maximum time from the arrival of a request to its response, in ms.
fn response_ms(kind: &JobRequest) -> u64 {
    match kind {
        JobRequest::Poll => POLL_RESPONSE_DEADLINE_MS,
        _ => WRITE_RESPONSE_DEADLINE_MS,
    }
}

impl JobApi {
    /// Records that a peer has reported the job's acceptance to a user, or is about to report its end.
    /// From now on no earlier reading of the job is returned. Returns false if there is no room to record
    /// the notice, which must not be acknowledged then.
    pub fn on_peer_notice(&mut self, job: JobId, ended: bool, now: Timestamp) -> bool {
        if !self.peer_notices.record(job.clone(), ended, now) {
            return false;
        }
        if ended && !self.cache.has_ended(&job) {
            // The next request then needs one read instead of a comparison and two reads.
            self.cache.forget_live(&job);
            self.cache.suspect_ended(job);
        }
        true
    }

    /// Takes the jobs whose ends this node has learned since the last call.
    pub fn take_newly_ended(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.newly_ended)
    }

    /// Records an end that this node knows to be committed, and starts its commit wait. Returns false if
    /// there is no room to record it. The node's own term learns of it through [`JobApi::take_newly_ended`].
    pub fn learn_end(&mut self, job: &JobId, ended: TerminalState, io: &mut Io) -> bool {
        if self.cache.has_ended(job) {
            return true;
        }
        self.newly_ended.push(job.clone());
        let known_at = self.peer_notices.ended_since(job).unwrap_or(io.now);
        let start_may_be_sent = io.starts_in_flight.may_be_sent(job, io.now);
        let nonces = match self.commit_wait.begin(job, known_at, start_may_be_sent, io.now) {
            Visibility::Immediate => Nonces::default(),
            Visibility::Awaiting(nonces) => nonces,
            Visibility::Overloaded => return false,
        };
        self.notify_peers(job, nonces.peers, io);
        if let Some(nonce) = nonces.own {
            self.acknowledge_end(job.clone(), nonce, AcknowledgementRecipient::ThisNode, io);
        }
        // Every node that learns of a cancellation logs it, because the node that made it may have
        // received no response.
        if ended.end == Ending::Cancelled {
            log::debug!("job cancelled job={job}");
        }
        self.cache.record_end(job.clone(), ended);
        true
    }

    /// Sends each peer an end notice with its nonce.
    fn notify_peers(&self, job: &JobId, nonces: Vec<u64>, io: &mut Io) {
        let index = self.index;
        for (peer, nonce) in nonces.into_iter().enumerate() {
            let job = job.clone();
            let bytes = Frame::EndNotice { job, nonce, index }.encode();
            io.effects.push(Effect::Frame { peer, bytes });
        }
    }

    /// Handles a peer's acknowledgement that it returns no older reading of the job.
    pub fn on_end_acknowledged(&mut self, job: &JobId, nonce: u64, io: &mut Io) {
        if let Some(waiting) = self.commit_wait.acknowledged(job, nonce) {
            self.reply_to_all(job, &waiting, io);
        }
    }

    /// Answers requests for ends that have become visible because the commit wait has passed.
    pub(super) fn reply_visible_ends(&mut self, io: &mut Io) {
        for (job, waiting) in self.commit_wait.due(io.now) {
            self.reply_to_all(&job, &waiting, io);
        }
    }

    /// Rejects requests that have waited too long for an end to become visible.
    pub(super) fn reject_expired_waits(&mut self, io: &mut Io) {
        for waiting in self.commit_wait.take_if(|waiting| io.now >= waiting.until) {
            io.reply_retry_later(waiting.request, RETRY_AFTER_S, END_NOT_VISIBLE);
        }
    }

    /// Records an end that a request has read or written, and answers the request once it is visible.
    pub(super) fn learn_end_and_reply(
        &mut self,
        job: &JobId,
        ended: TerminalState,
        requester: Requester,
        io: &mut Io,
    ) {
        if self.learn_end(job, ended, io) {
            self.reply_ended_when_visible(job, requester, io);
        } else {
            io.reply_retry_later(requester.request, RETRY_AFTER_S, TOO_MANY_REQUESTS);
        }
    }

    /// Answers with a known end, immediately or as soon as users may see it.
    pub(super) fn reply_ended_when_visible(&mut self, job: &JobId, requester: Requester, io: &mut Io) {
        let Requester {
            request,
            kind,
            received_at,
        } = requester;
        if !self.commit_wait.is_open(&job.0) {
            return self.reply_ended(request, job, &kind, io);
        }
        let until = received_at + response_ms(&kind);
        let waiting = WaitingRequest { request, kind, until };
        if self.commit_wait.wait(job, waiting, MAX_WAITING_REQUESTS).is_err() {
            io.reply_retry_later(request, RETRY_AFTER_S, TOO_MANY_REQUESTS);
        }
    }

    fn reply_to_all(&self, job: &JobId, waiting: &[WaitingRequest], io: &mut Io) {
        for WaitingRequest { request, kind, .. } in waiting {
            self.reply_ended(*request, job, kind, io);
        }
    }

    /// Answers with a visible end, unless it has been evicted from the cache meanwhile.
    fn reply_ended(&self, request: RequestId, job: &JobId, kind: &JobRequest, io: &mut Io) {
        match self.cache.ended(job) {
            Some(ended) => {
                let visible = visible_job(job, kind, ended.team.as_ref());
                reply::reply_ended(request, &visible, ended, io);
            }
            None => io.reply_retry_later(request, RETRY_AFTER_S, END_NOT_VISIBLE),
        }
    }
}
