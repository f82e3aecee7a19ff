//! The users' job API: submit, poll and cancel. Any node serves it from the state service alone;
//! `docs/design/commit-wait.md` says how a node never gives an older answer than another has given.
//!
//! A request waits in `throttle` for its team's turn, or in `poll` for the next comparison; it is
//! then `pending` while calls for it are in flight. Answers are handled in `submit`, `read`,
//! `cancel` and `poll`; `end_visibility` holds back ends that users may not see yet.

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
use admission::Refusal;
use cache::JobCache;
use commit_wait::CommitWait;
use end_visibility::WaitingRequest;
use indigopath_accounting::Team;
use job_scan::JobScan;
use peer_notices::PeerNotices;
use pending::{PendingRequest, PendingRequests, Requester};
use poll::{GatheredPoll, GatheredPolls};
use state_call::{CallPurpose, StateCall};
use std::collections::BTreeMap;
use throttle::{QueuedRequest, RequestQueues, Throttle};

/// What a user asks for.
#[derive(Debug, Clone)]
pub enum JobRequest {
    Submit(Box<JobSpec>),
    /// A submission that cannot be accepted, unless its id has been before.
    Refused(Refusal),
    Poll,
    Cancel,
}

/// What the node should know of a request that was carried out.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestOutcome {
    Accepted { spec: Box<JobSpec>, version: u64 },
    Cancelled(JobId),
}

/// Tasks done and running, for display.
pub type TaskCounts = BTreeMap<JobId, (u32, u32)>;

/// All requests about jobs that this node serves.
#[derive(Debug)]
pub struct JobApi {
    /// This node's position among all members.
    index: u16,
    cache: JobCache,
    peer_notices: PeerNotices,
    /// Ends that this node knows and users may not see yet.
    commit_wait: CommitWait<WaitingRequest>,
    throttle: Throttle,
    queues: RequestQueues,
    polls: GatheredPolls,
    scan: JobScan,
    pending: PendingRequests,
    calls: PendingCalls<CallPurpose>,
}

impl JobApi {
    /// `index`: this node's position among all members; `first_nonce`: one that no former process of
    /// this node has used.
    pub fn new(settings: &Settings, index: u16, first_nonce: u64, now: Timestamp) -> JobApi {
        JobApi {
            index,
            cache: JobCache::default(),
            peer_notices: PeerNotices::default(),
            commit_wait: CommitWait::new(settings.peers.len(), first_nonce),
            throttle: Throttle::new(settings.operator.request_weights.clone()),
            queues: RequestQueues::new(settings, now),
            polls: GatheredPolls::new(),
            scan: JobScan::NotStarted,
            pending: PendingRequests::default(),
            calls: PendingCalls::default(),
        }
    }

    /// This node's position among all members.
    pub fn index(&self) -> u16 {
        self.index
    }

    /// Requests that were asked to come back for want of room or after waiting for too long, by team,
    /// since this node began.
    pub fn throttled(&self) -> impl Iterator<Item = (&Team, u64)> {
        self.throttle.rejected()
    }

    /// Takes in a user's request.
    pub fn begin(&mut self, request: RequestId, job: JobId, kind: JobRequest, io: &mut Io) {
        let since = io.now;
        if self.cache.has_ended(&job) {
            let requester = Requester { request, kind, since };
            return self.reply_ended_when_visible(&job, requester, io);
        }
        let team = self.queue_team(&job, &kind);
        let live = self.cache.live(&job);
        if let (JobRequest::Poll, Some(live)) = (&kind, live) {
            let version = live.version;
            let poll = GatheredPoll {
                request,
                job,
                version,
                since,
            };
            return self.polls.push(&team, poll, &mut self.throttle, io);
        }
        if matches!(kind, JobRequest::Poll) {
            self.scan.start(io.now);
        }
        let requester = Requester { request, kind, since };
        let queued = QueuedRequest { job, requester };
        self.queues.push(&team, queued, &mut self.throttle, io);
        self.serve_queues(io);
    }

    /// The team in whose turn a request is served.
    fn queue_team(&self, job: &JobId, kind: &JobRequest) -> Team {
        match (kind, self.cache.live(job)) {
            (JobRequest::Submit(spec), _) => Team::named(&spec.team),
            (_, Some(live)) => live.team.clone(),
            // Nobody knows yet who owns it: such requests share one turn among the teams'.
            (_, None) => Team::named(""),
        }
    }

    /// Does what is due: answers, rejects and sends what has waited, and sends comparisons of at most
    /// `max_polls` polls each.
    pub fn run_due_work(&mut self, max_polls: usize, io: &mut Io) {
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

    /// Asks users to come back whose requests have waited for too long.
    fn reject_expired(&mut self, io: &mut Io) {
        self.queues.reject_expired(&mut self.throttle, io);
        self.polls.reject_expired(&mut self.throttle, io);
        self.reject_expired_waits(io);
    }

    /// Sends the first calls for requests whose turn it is, as far as the budgets go.
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
        let Requester { request, kind, since } = requester;
        let pending = PendingRequest::new(job, kind, since, since);
        self.pending.insert(request, pending);
        self.send_call(request, call, io);
    }
}

#[cfg(test)]
mod tests;
