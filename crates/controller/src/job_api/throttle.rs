//! Fairness between teams: requests that need the state service wait for their team's turn, and those
//! that find no room or wait for too long are asked to come back later.

use crate::constants::{
    FLOOD_QUEUE_LENGTH, MAX_QUEUE_WAIT_MS, MAX_WAITING_REQUESTS, NEW_TEAM_RESERVE, RETRY_AFTER_S,
    USER_WRITE_BURST, USER_WRITE_RESERVE, USER_WRITE_SHARE,
};
use crate::io::{Io, RequestId};
use crate::job_api::pending::Requester;
use crate::job_api::reply::TOO_MANY_REQUESTS;
use crate::job_api::{JobRequest, poll::GatheredPoll};
use crate::model::{JobId, Timestamp};
use crate::settings::Settings;
use crate::token_bucket::TokenBucket;
use indigopath_accounting::{FairQueue, Full, Team};
use std::collections::BTreeMap;

/// What can wait in a fair queue.
pub(super) trait Queueable {
    fn request(&self) -> RequestId;
    /// When the request came.
    fn since(&self) -> Timestamp;
}

/// A request that waits for its team's turn at the state service.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub job: JobId,
    pub requester: Requester,
}

impl Queueable for QueuedRequest {
    fn request(&self) -> RequestId {
        self.requester.request
    }

    fn since(&self) -> Timestamp {
        self.requester.since
    }
}

impl Queueable for GatheredPoll {
    fn request(&self) -> RequestId {
        self.request
    }

    fn since(&self) -> Timestamp {
        self.since
    }
}

/// Weights of the teams' requests, and how many requests of each team were turned away.
#[derive(Debug)]
pub(super) struct Throttle {
    weights: BTreeMap<String, u64>,
    /// Requests that found no room or waited for too long, since this node began.
    rejected: BTreeMap<Team, u64>,
}

impl Throttle {
    pub(super) fn new(weights: BTreeMap<String, u64>) -> Throttle {
        Throttle {
            weights,
            rejected: BTreeMap::new(),
        }
    }

    /// Appends to a queue; whoever finds no room there is asked to come back.
    pub(super) fn enqueue<T: Queueable>(
        &mut self,
        queue: &mut FairQueue<T>,
        team: &Team,
        item: T,
        io: &mut Io,
    ) {
        let weight = self.weights.get(team.name()).copied().unwrap_or(1);
        match queue.push(team, weight, 1, item) {
            Ok(()) => (),
            Err(Full::Refused(item)) => self.reject(team, item.request(), io),
            Err(Full::GaveUp(other, item)) => self.reject(&other, item.request(), io),
        }
    }

    /// Rejects what has waited for too long, while its user still listens.
    pub(super) fn reject_expired<T: Queueable>(&mut self, queue: &mut FairQueue<T>, io: &mut Io) {
        let now = io.now;
        for (team, item) in queue.take_if(|item| now > item.since() + MAX_QUEUE_WAIT_MS) {
            self.reject(&team, item.request(), io);
        }
    }

    fn reject(&mut self, team: &Team, request: RequestId, io: &mut Io) {
        *self.rejected.entry(team.clone()).or_default() += 1;
        io.reply_retry_later(request, RETRY_AFTER_S, TOO_MANY_REQUESTS);
    }

    /// Requests that were rejected since this node began, by team.
    pub(super) fn rejected(&self) -> impl Iterator<Item = (&Team, u64)> {
        self.rejected.iter().map(|(team, count)| (team, *count))
    }
}

/// Requests that wait for their team's turn at the state service.
#[derive(Debug)]
pub(super) struct RequestQueues {
    /// Submissions and cancellations.
    writes: FairQueue<QueuedRequest>,
    /// Polls of jobs that this node does not know to be live.
    reads: FairQueue<QueuedRequest>,
    /// This node's part of the state service's changes for what users ask.
    write_budget: TokenBucket,
}

impl RequestQueues {
    pub(super) fn new(settings: &Settings, now: Timestamp) -> RequestQueues {
        let write_rps = settings.deployment.state.write_rps;
        let nodes = (settings.peers.len() + 1) as f64;
        RequestQueues {
            writes: FairQueue::new(MAX_WAITING_REQUESTS),
            reads: FairQueue::new(MAX_WAITING_REQUESTS),
            write_budget: TokenBucket::new(
                write_rps * USER_WRITE_SHARE / nodes,
                (write_rps * USER_WRITE_BURST).max(1.0),
                now,
            ),
        }
    }

    pub(super) fn push(&mut self, team: &Team, queued: QueuedRequest, throttle: &mut Throttle, io: &mut Io) {
        let queue = match queued.requester.kind {
            JobRequest::Poll => &mut self.reads,
            _ => &mut self.writes,
        };
        throttle.enqueue(queue, team, queued, io);
    }

    pub(super) fn reject_expired(&mut self, throttle: &mut Throttle, io: &mut Io) {
        throttle.reject_expired(&mut self.writes, io);
        throttle.reject_expired(&mut self.reads, io);
    }

    /// The next submission or cancellation, if the budgets allow one now.
    pub(super) fn next_write(&mut self, io: &mut Io) -> Option<QueuedRequest> {
        if self.writes.is_empty() {
            return None;
        }
        // Part of the budget is kept for teams that ask now and then: they need not wait until what
        // others use up comes back.
        let reserve = if self.writes.begins() {
            0.0
        } else {
            NEW_TEAM_RESERVE
        };
        // Many requests of all teams may use whatever the leader leaves; a flood of one team may not.
        let flood = self.writes.longest() > FLOOD_QUEUE_LENGTH;
        if flood && !self.write_budget.has(1.0, reserve, io.now) {
            return None;
        }
        if !io.state_budget.take(1.0, reserve, io.now) {
            return None;
        }
        let (_, queued) = self.writes.pop()?;
        if flood {
            self.write_budget.force(1.0, io.now);
        }
        Some(queued)
    }

    /// The next poll, if the budget allows one now.
    pub(super) fn next_read(&mut self, io: &mut Io) -> Option<QueuedRequest> {
        if self.reads.is_empty() || !io.state_budget.take(1.0, USER_WRITE_RESERVE, io.now) {
            return None;
        }
        self.reads.pop().map(|(_, queued)| queued)
    }
}
