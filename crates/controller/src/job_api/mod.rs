//! The users' job API: submit, poll and cancel. Any node serves it from the state service alone;
//! `docs/design/commit-wait.md` explains why no node returns an older answer than another node has
//! given.
//!
//! A request waits in `throttle` for its team's turn, or in `poll` for the next batched comparison; it
//! is then `pending` while calls for it are in flight. Responses of the state service are handled in
//! `submit`, `read`, `cancel` and `poll`; `end_visibility` delays ends that users may not see yet.

mod acknowledgements;
pub mod admission;
pub mod authorization;
mod cache;
mod cancel;
mod commit_wait;
mod end_visibility;
mod job_scan;
mod peer_notices;
mod pending;
mod poll;
mod read;
mod reply;
mod state_call;
mod submit;
mod throttle;

pub use cache::TerminalState;
pub use reply::reply_refusal;

use crate::io::{Io, PendingCalls, RequestId};
use crate::model::{JobId, JobSpec, Timestamp};
use crate::settings::Settings;
use acknowledgements::WithheldAcknowledgement;
use admission::Refusal;
use cache::JobCache;
use commit_wait::CommitWait;
use end_visibility::WaitingRequest;
use indigopath_accounting::Team;
use job_scan::JobScan;
use peer_notices::PeerNotices;
use pending::{PendingRequest, PendingRequests, Requester};
use poll::{BatchedPoll, PollBatch};
use state_call::{CallPurpose, StateCall};
use std::collections::BTreeMap;
use throttle::{QueuedRequest, RequestQueues, Throttle};

/// A user's request about one job.
#[derive(Debug, Clone)]
pub enum JobRequest {
    Submit(Box<JobSpec>),
    /// A submission that is rejected unless a job with its id exists.
    Refused(Refusal),
    Poll,
    Cancel,
}

/// A job whose acceptance has been committed.
#[derive(Debug, Clone, PartialEq)]
pub struct AcceptedJob {
    pub spec: Box<JobSpec>,
    /// Version of its record.
    pub version: u64,
}

/// Numbers of done and running tasks by job, for display.
pub type TaskCounts = BTreeMap<JobId, (u32, u32)>;

/// Serves users' requests about jobs.
#[derive(Debug)]
pub struct JobApi {
    /// This node's position among all members in name order.
    index: u16,
    cache: JobCache,
    peer_notices: PeerNotices,
    /// Ends that this node knows but users may not see yet.
    commit_wait: CommitWait<WaitingRequest>,
    throttle: Throttle,
    queues: RequestQueues,
    polls: PollBatch,
    scan: JobScan,
    pending: PendingRequests,
    calls: PendingCalls<CallPurpose>,
    withheld_acknowledgements: Vec<WithheldAcknowledgement>,
    /// Jobs whose ends this node has learned and its own term has not been told yet.
    newly_ended: Vec<JobId>,
}

impl JobApi {
    /// `index` is this node's position among all members in name order; `first_nonce` must not have been
    /// used by an earlier process of this node.
    pub fn new(settings: &Settings, index: u16, first_nonce: u64, now: Timestamp) -> JobApi {
        JobApi {
            index,
            cache: JobCache::default(),
            peer_notices: PeerNotices::default(),
            commit_wait: CommitWait::new(settings.peers.len(), first_nonce),
            throttle: Throttle::new(settings.operator.request_weights.clone()),
            queues: RequestQueues::new(settings, now),
            polls: PollBatch::new(),
            scan: JobScan::NotStarted,
            pending: PendingRequests::default(),
            calls: PendingCalls::default(),
            withheld_acknowledgements: Vec::new(),
            newly_ended: Vec::new(),
        }
    }

    /// This node's position among all members in name order.
    pub fn index(&self) -> u16 {
        self.index
    }

    /// Number of requests by team that were rejected since this process started, because a queue was
    /// full or they had waited too long.
    pub fn throttled(&self) -> impl Iterator<Item = (&Team, u64)> {
        self.throttle.rejected()
    }

    /// Queues or answers a user's request.
    pub fn handle_request(&mut self, request: RequestId, job: JobId, kind: JobRequest, io: &mut Io) {
        let received_at = io.now;
        if self.cache.has_ended(&job) {
            let requester = Requester {
                request,
                kind,
                received_at,
            };
            return self.reply_ended_when_visible(&job, requester, io);
        }
        let team = self.queue_team(&job, &kind);
        let live = self.cache.live(&job);
        if let (JobRequest::Poll, Some(live)) = (&kind, live) {
            let version = live.version;
            let poll = BatchedPoll {
                request,
                job,
                version,
                received_at,
            };
            return self.polls.push(&team, poll, &mut self.throttle, io);
        }
        if matches!(kind, JobRequest::Poll) {
            self.scan.start(io.now);
        }
        let requester = Requester {
            request,
            kind,
            received_at,
        };
        let queued = QueuedRequest { job, requester };
        self.queues.push(&team, queued, &mut self.throttle, io);
        self.serve_queues(io);
    }

    /// The team in whose queue the request waits.
    fn queue_team(&self, job: &JobId, kind: &JobRequest) -> Team {
        match (kind, self.cache.live(job)) {
            (JobRequest::Submit(spec), _) => Team::named(&spec.team),
            (_, Some(live)) => live.team.clone(),
            // The owner is not known yet: such requests share one queue, which takes turns like a team's.
            (_, None) => Team::named(""),
        }
    }

    /// Does what is due: answers and rejects waiting requests, sends their calls, and sends comparisons
    /// of at most `max_polls` polls each.
    pub fn run_due_work(&mut self, max_polls: usize, io: &mut Io) {
        self.deliver_due_acknowledgements(io);
        self.reply_visible_ends(io);
        self.scan_next_page(io);
        self.reject_expired(io);
        self.serve_queues(io);
        self.send_comparisons(max_polls, io);
    }

    fn scan_next_page(&mut self, io: &mut Io) {
        if let Some(page) = self.scan.next_page(io) {
            let purpose = CallPurpose::ScanPage { after: page.after };
            self.calls.insert(page.call, purpose);
        }
    }

    /// Rejects requests that have waited too long; their users are told to retry.
    fn reject_expired(&mut self, io: &mut Io) {
        self.queues.reject_expired(&mut self.throttle, io);
        self.polls.reject_expired(&mut self.throttle, io);
        self.reject_expired_waits(io);
    }

    /// Sends the first calls of queued requests in fair order while the budgets allow it.
    fn serve_queues(&mut self, io: &mut Io) {
        while self.pending.has_room()
            && let Some(queued) = self.queues.next_write(io)
        {
            let call = match queued.requester.kind {
                JobRequest::Submit(_) => StateCall::Create,
                _ => self.first_read(&queued.job),
            };
            self.send_first_call(queued, call, io);
        }
        while self.pending.has_room()
            && let Some(queued) = self.queues.next_read(io)
        {
            let call = self.first_read(&queued.job);
            self.send_first_call(queued, call, io);
        }
    }

    fn send_first_call(&mut self, queued: QueuedRequest, call: StateCall, io: &mut Io) {
        let QueuedRequest { job, requester } = queued;
        let Requester {
            request,
            kind,
            received_at,
        } = requester;
        let pending = PendingRequest::new(job, kind, received_at, received_at);
        self.pending.insert(request, pending);
        self.send_call(request, call, io);
    }
}

#[cfg(test)]
mod tests;
