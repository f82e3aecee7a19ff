//! Fair queueing between teams: requests that need the state service wait for their team's turn. Requests
//! that find the queue full or wait too long are rejected, and their users are told to retry.

use crate::constants::{
    FLOOD_QUEUE_LENGTH, MAX_QUEUE_WAIT_MS, MAX_WAITING_REQUESTS, NEW_TEAM_RESERVE, RETRY_AFTER_S,
    USER_WRITE_BURST, USER_WRITE_RESERVE, USER_WRITE_SHARE,
};
use crate::io::{Io, RequestId};
use crate::job_api::pending::Requester;
use crate::job_api::reply::TOO_MANY_REQUESTS;
use crate::job_api::{JobRequest, poll::BatchedPoll};
use crate::model::{JobId, Timestamp};
use crate::settings::Settings;
use crate::token_bucket::TokenBucket;
use indigopath_accounting::{FairQueue, QueueFull, Team};
use std::collections::BTreeMap;

/// An item of a fair queue that can be rejected.
pub(super) trait Queueable {
    fn request(&self) -> RequestId;
    /// When the request arrived.
    fn received_at(&self) -> Timestamp;
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

    fn received_at(&self) -> Timestamp {
        self.requester.received_at
    }
}

impl Queueable for BatchedPoll {
    fn request(&self) -> RequestId {
        self.request
    }

    fn received_at(&self) -> Timestamp {
        self.received_at
    }
}

/// Weights of the teams' requests, and the number of rejected requests by team.
#[derive(Debug)]
pub(super) struct Throttle {
    weights: BTreeMap<String, u64>,
    /// Requests rejected since this process started.
    rejected: BTreeMap<Team, u64>,
}

impl Throttle {
    pub(super) fn new(weights: BTreeMap<String, u64>) -> Throttle {
        Throttle {
            weights,
            rejected: BTreeMap::new(),
        }
    }

    /// Appends to a queue. If it is full, the request that the queue gives up is rejected.
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
            Err(QueueFull::Rejected(item)) => self.reject(team, item.request(), io),
            Err(QueueFull::Evicted(other, item)) => self.reject(&other, item.request(), io),
        }
    }

    /// Rejects requests that have waited too long, while their users still wait for a response.
    pub(super) fn reject_expired<T: Queueable>(&mut self, queue: &mut FairQueue<T>, io: &mut Io) {
        let now = io.now;
        for (team, item) in queue.take_expired(|item| now > item.received_at() + MAX_QUEUE_WAIT_MS) {
            self.reject(&team, item.request(), io);
        }
    }

    fn reject(&mut self, team: &Team, request: RequestId, io: &mut Io) {
        *self.rejected.entry(team.clone()).or_default() += 1;
        io.reply_retry_later(request, RETRY_AFTER_S, TOO_MANY_REQUESTS);
    }

    /// Number of requests by team that were rejected since this process started.
    pub(super) fn rejected(&self) -> impl Iterator<Item = (&Team, u64)> {
        self.rejected.iter().map(|(team, count)| (team, *count))
    }
}

/// Requests that wait for their team's turn at the state service.
#[derive(Debug)]
pub(super) struct RequestQueues {
    /// Submissions and cancellations.
    writes: FairQueue<QueuedRequest>,
    /// Polls of jobs that are not cached as live.
    reads: FairQueue<QueuedRequest>,
    /// This node's share of the state service's write rate for users' requests.
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
        // Part of the budget is reserved for teams that send requests only occasionally, so that they
        // need not wait until the budget used up by others is refilled.
        let reserve = if self.writes.next_is_new_team() {
            0.0
        } else {
            NEW_TEAM_RESERVE
        };
        // Requests of many teams may use all that the leader leaves; a flood of one team may not.
        let is_flood = self.writes.longest_lane_length() > FLOOD_QUEUE_LENGTH;
        if is_flood && !self.write_budget.has_available(1.0, reserve, io.now) {
            return None;
        }
        if !io.state_budget.try_take(1.0, reserve, io.now) {
            return None;
        }
        let (_, queued) = self.writes.pop()?;
        if is_flood {
            self.write_budget.force_take(1.0, io.now);
        }
        Some(queued)
    }

    /// The next poll, if the budget allows one now.
    pub(super) fn next_read(&mut self, io: &mut Io) -> Option<QueuedRequest> {
        if self.reads.is_empty() || !io.state_budget.try_take(1.0, USER_WRITE_RESERVE, io.now) {
            return None;
        }
        self.reads.pop().map(|(_, queued)| queued)
    }
}
