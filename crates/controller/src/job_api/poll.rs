//! Polls of jobs that were live when last read. They are batched for a short time, and one comparison of
//! record versions then shows which of the jobs are still live.

use crate::constants::{MAX_WAITING_REQUESTS, POLL_BATCH_MS, USER_STATE_TIMEOUT_MS};
use crate::io::{FencedDestination, Io, Method, Outcome, RequestId, json};
use crate::job_api::pending::PendingRequest;
use crate::job_api::state_call::{CallPurpose, StateCall};
use crate::job_api::throttle::Throttle;
use crate::job_api::{JobApi, JobRequest, TaskCounts};
use crate::model::{JobId, Timestamp};
use crate::protocol::{Condition, Transaction, TransactionResponse, paths};
use crate::storage::records;
use indigopath_accounting::{FairQueue, Team, VisibleJob};
use std::collections::HashSet;

/// A poll that waits for a comparison, with the version to compare with.
#[derive(Debug)]
pub(super) struct BatchedPoll {
    pub request: RequestId,
    pub job: JobId,
    pub version: u64,
    /// When the request arrived.
    pub received_at: Timestamp,
}

/// Polls that wait for the next comparison.
#[derive(Debug)]
pub(super) struct PollBatch {
    queue: FairQueue<BatchedPoll>,
    /// When the first of them arrived.
    batching_since: Timestamp,
}

impl PollBatch {
    pub(super) fn new() -> PollBatch {
        PollBatch {
            queue: FairQueue::new(MAX_WAITING_REQUESTS),
            batching_since: 0,
        }
    }

    pub(super) fn push(&mut self, team: &Team, poll: BatchedPoll, throttle: &mut Throttle, io: &mut Io) {
        if self.queue.is_empty() {
            self.batching_since = io.now;
        }
        throttle.enqueue(&mut self.queue, team, poll, io);
    }

    pub(super) fn reject_expired(&mut self, throttle: &mut Throttle, io: &mut Io) {
        throttle.reject_expired(&mut self.queue, io);
    }

    /// Whether a comparison of at most `max_polls` polls is to be sent now.
    fn is_due(&self, max_polls: usize, now: Timestamp) -> bool {
        let is_full = self.queue.len() >= max_polls;
        !self.queue.is_empty() && (is_full || now >= self.batching_since + POLL_BATCH_MS)
    }

    fn take(&mut self, max_polls: usize) -> Vec<BatchedPoll> {
        let mut polls = Vec::new();
        while polls.len() < max_polls
            && let Some((_, poll)) = self.queue.pop()
        {
            polls.push(poll);
        }
        polls
    }
}

/// One condition for each polled record.
fn conditions(polls: &[BatchedPoll]) -> Vec<Condition> {
    let mut conditions: Vec<Condition> = Vec::with_capacity(polls.len());
    for poll in polls {
        let condition = Condition {
            key: records::job_key(&poll.job.0),
            version: poll.version,
        };
        if !conditions.contains(&condition) {
            conditions.push(condition);
        }
    }
    conditions
}

/// Keys of the records whose versions differ, if the comparison was answered.
fn failed_keys(outcome: &Outcome) -> Option<HashSet<String>> {
    match outcome.status() {
        Some(200) => Some(HashSet::new()),
        Some(409) => outcome
            .read::<TransactionResponse>(&[409])
            .map(|response| response.failed.into_iter().collect()),
        _ => None,
    }
}

impl JobApi {
    /// Sends the due comparisons, each of at most `max_polls` polls.
    pub(super) fn send_comparisons(&mut self, max_polls: usize, io: &mut Io) {
        while self.polls.is_due(max_polls, io.now)
            && self.pending.has_room()
            && io.state_budget.try_take(1.0, 0.0, io.now)
        {
            let polls = self.polls.take(max_polls);
            self.send_comparison(polls, io);
        }
    }

    fn send_comparison(&mut self, polls: Vec<BatchedPoll>, io: &mut Io) {
        for poll in &polls {
            let pending = PendingRequest::new(poll.job.clone(), JobRequest::Poll, poll.received_at, io.now);
            self.pending.insert(poll.request, pending);
        }
        let body: Transaction = Transaction {
            conditions: conditions(&polls),
            changes: Vec::new(),
        };
        let call = io.call(
            FencedDestination::State,
            Method::Post,
            paths::TRANSACTION.to_owned(),
            json(&body),
            USER_STATE_TIMEOUT_MS,
        );
        self.calls.insert(call, CallPurpose::Comparison(polls));
    }

    /// Handles a comparison. Jobs whose versions are unchanged are still live. The records of the others,
    /// or of all jobs if the response does not name the failed conditions, are read one by one.
    pub(super) fn on_comparison(
        &mut self,
        polls: Vec<BatchedPoll>,
        outcome: &Outcome,
        counts: &TaskCounts,
        io: &mut Io,
    ) {
        let Some(failed) = failed_keys(outcome) else {
            for poll in polls {
                self.give_up(poll.request, io);
            }
            return;
        };
        let all_hold = outcome.status() == Some(200);
        for poll in polls {
            if all_hold {
                let visible = VisibleJob::for_protocol(&poll.job.0);
                self.reply_live(poll.request, &visible, counts, io);
                continue;
            }
            let has_changed = failed.contains(&records::job_key(&poll.job.0));
            if has_changed {
                self.cache.forget_live(&poll.job);
            }
            if has_changed || failed.is_empty() {
                self.send_next_call(poll.request, StateCall::ReadLive, io);
            } else {
                // The response need not name every failed condition, so the job may have changed too.
                self.requeue_poll(poll, io);
            }
        }
    }

    fn requeue_poll(&mut self, poll: BatchedPoll, io: &mut Io) {
        let live = self.cache.live(&poll.job);
        let team = live.map_or_else(|| Team::named(""), |live| live.team.clone());
        self.pending.remove(poll.request);
        self.polls.push(&team, poll, &mut self.throttle, io);
    }
}
