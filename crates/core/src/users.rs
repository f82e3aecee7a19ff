//! Users' requests: submit, poll, withdraw. Any node serves them, from the state
//! service alone, so that no node ever gives an older answer than another has.

use crate::condor;
use crate::constants::*;
use crate::intake::{self, Refusal};
use crate::io::{CallId, Calls, Fenced, Io, Method, Outcome, RequestId, json};
use crate::model::{JobId, JobSpec, Millis};
use crate::records::{self, EndedRecord, Ending, Record};
use crate::wire::{
    Change, Condition, JobAnswer, JobStatus, StoredItem, Transaction, TransactionAnswer, paths,
};
use std::collections::{HashMap, HashSet, VecDeque};

/// What a user wants.
#[derive(Debug, Clone)]
pub enum Wish {
    Submit(Box<JobSpec>),
    /// A submission that cannot be accepted, unless its id has been before.
    Refused(Refusal),
    Poll,
    Cancel,
}

/// Which answer of the state service is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UserCall {
    Create,
    ReadLive,
    ReadEnded,
    Move,
}

/// Polls whose jobs were live when last seen: one comparison of their versions tells
/// whether they still are.
type Comparison = Vec<Gathered>;

/// Whom a call to the state service is for.
#[derive(Debug)]
enum Purpose {
    One(RequestId, UserCall),
    /// Polls that one comparison answers.
    Polls(Comparison),
}

/// A poll that waits for a comparison, with the version to compare.
#[derive(Debug)]
struct Gathered {
    request: RequestId,
    job: JobId,
    version: u64,
}

#[derive(Debug)]
struct Waiting {
    job: JobId,
    wish: Wish,
    since: Millis,
    /// Rounds of reading again because another node changed the job meanwhile.
    rounds: u32,
}

/// What the node should know of a request that was carried out.
#[derive(Debug, Clone, PartialEq)]
pub enum Done {
    Accepted { spec: Box<JobSpec>, version: u64 },
    Cancelled(JobId),
}

/// Tasks done and running, for display.
pub type Counts = HashMap<JobId, (u32, u32)>;

#[derive(Debug, Default)]
pub struct Users {
    waiting: HashMap<RequestId, Waiting>,
    ended: HashMap<JobId, EndedRecord>,
    ended_order: VecDeque<JobId>,
    /// Versions of live jobs' records, as last seen.
    live: HashMap<JobId, u64>,
    /// Polls that gather for the next comparison, and since when.
    polls: Vec<Gathered>,
    polls_since: Millis,
    calls: Calls<Purpose>,
}

/// Most rounds of reading a job again before its user is asked to come back.
const MAX_ROUNDS: u32 = 4;

impl Users {
    pub fn begin(&mut self, request: RequestId, job: JobId, wish: Wish, io: &mut Io) {
        if let Some(ended) = self.ended.get(&job).copied() {
            answer_ended(request, &job, ended, io);
            return;
        }
        let poll = matches!(wish, Wish::Poll);
        if poll
            && self.waiting.len() < MAX_WAITING_REQUESTS
            && let Some(version) = self.live.get(&job).copied()
        {
            self.gather(request, job.clone(), version, io.now);
            self.wait(request, job, wish, io.now);
            return;
        }
        let reserve = if poll { POLL_RESERVE } else { 0.0 };
        if self.waiting.len() >= MAX_WAITING_REQUESTS || !io.state.take(1.0, reserve, io.now) {
            io.reply_later(request, RETRY_AFTER_S, "too many requests, come back later");
            return;
        }
        let first = if matches!(wish, Wish::Submit(_)) {
            UserCall::Create
        } else {
            UserCall::ReadLive
        };
        self.wait(request, job, wish, io.now);
        self.step(request, first, 0, io);
    }

    fn wait(&mut self, request: RequestId, job: JobId, wish: Wish, now: Millis) {
        self.waiting.insert(
            request,
            Waiting {
                job,
                wish,
                since: now,
                rounds: 0,
            },
        );
    }

    fn gather(&mut self, request: RequestId, job: JobId, version: u64, now: Millis) {
        if self.polls.is_empty() {
            self.polls_since = now;
        }
        self.polls.push(Gathered {
            request,
            job,
            version,
        });
    }

    /// Sends the comparisons that are due: `most` conditions each.
    pub fn settle(&mut self, most: usize, io: &mut Io) {
        while !self.polls.is_empty()
            && (self.polls.len() >= most || io.now >= self.polls_since + POLL_GATHER_MS)
        {
            let rest = self.polls.split_off(self.polls.len().min(most));
            let polls = std::mem::replace(&mut self.polls, rest);
            if !io.state.take(1.0, 0.0, io.now) {
                for poll in polls {
                    self.waiting.remove(&poll.request);
                    io.reply_later(poll.request, RETRY_AFTER_S, "too many requests, come back later");
                }
                continue;
            }
            let mut conditions: Vec<Condition> = Vec::with_capacity(polls.len());
            for poll in &polls {
                let condition = Condition {
                    key: records::job_key(&poll.job.0),
                    version: poll.version,
                };
                if !conditions.contains(&condition) {
                    conditions.push(condition);
                }
            }
            let body: Transaction = Transaction {
                conditions,
                changes: Vec::new(),
            };
            let call = io.call(
                Fenced::State,
                Method::Post,
                paths::TRANSACTION.to_owned(),
                json(&body),
                USER_STATE_TIMEOUT_MS,
            );
            self.calls.expect(call, Purpose::Polls(polls));
        }
    }

    /// Jobs whose version is as it was are live still. Of the others, and where the
    /// answer does not say which they are, the records are read one by one.
    fn compared(&mut self, comparison: Comparison, outcome: &Outcome, counts: &Counts, io: &mut Io) {
        let failed: Option<HashSet<String>> = match outcome.status() {
            Some(200) => Some(HashSet::new()),
            Some(409) => outcome
                .read::<TransactionAnswer>(&[409])
                .map(|answer| answer.failed.into_iter().collect()),
            _ => None,
        };
        let all = outcome.status() == Some(200);
        for poll in comparison {
            let Gathered {
                request,
                job,
                version,
            } = poll;
            let Some(failed) = &failed else {
                self.give_up(request, io);
                continue;
            };
            let over = failed.contains(&records::job_key(&job.0));
            if over {
                self.live.remove(&job);
            }
            if all {
                self.waiting.remove(&request);
                self.tell_live(request, &job, counts, io);
            } else if over || failed.is_empty() {
                self.next(request, UserCall::ReadLive, 0, io);
            } else {
                // The answer need not name every condition that failed.
                self.gather(request, job, version, io.now);
            }
        }
    }

    /// The job was live when the state service was asked. If this node has told
    /// somebody meanwhile that it is over, that answer stands.
    fn tell_live(&self, request: RequestId, job: &JobId, counts: &Counts, io: &mut Io) {
        match self.ended.get(job) {
            Some(ended) => answer_ended(request, job, *ended, io),
            None => answer_live(request, job, counts, io),
        }
    }

    fn saw_live(&mut self, job: &JobId, version: u64) {
        if self.ended.contains_key(job) {
            return;
        }
        if self.live.len() >= LIVE_CACHE {
            self.live.clear();
        }
        self.live.insert(job.clone(), version);
    }

    /// Sends the next call for a request.
    fn step(&mut self, request: RequestId, call: UserCall, version: u64, io: &mut Io) {
        let Some(waiting) = self.waiting.get(&request) else {
            return;
        };
        let job = &waiting.job.0;
        let left = (waiting.since + USER_STATE_TIMEOUT_MS)
            .saturating_sub(io.now)
            .max(1);
        let (method, path, body) = match call {
            UserCall::ReadLive => (Method::Get, paths::key(&records::job_key(job)), Vec::new()),
            UserCall::ReadEnded => (Method::Get, paths::key(&records::ended_key(job)), Vec::new()),
            UserCall::Create => {
                let Wish::Submit(spec) = &waiting.wish else { return };
                let body: Transaction = Transaction {
                    conditions: vec![
                        Condition {
                            key: records::job_key(job),
                            version: 0,
                        },
                        Condition {
                            key: records::ended_key(job),
                            version: 0,
                        },
                    ],
                    changes: vec![Change::Put {
                        key: records::job_key(job),
                        value: spec.to_value(),
                        lease: None,
                    }],
                };
                (Method::Post, paths::TRANSACTION.to_owned(), json(&body))
            }
            UserCall::Move => {
                let record = EndedRecord {
                    end: Ending::Cancelled,
                    tasks: 0,
                };
                let body: Transaction = Transaction {
                    conditions: vec![Condition {
                        key: records::job_key(job),
                        version,
                    }],
                    changes: vec![
                        Change::Delete {
                            key: records::job_key(job),
                        },
                        Change::Put {
                            key: records::ended_key(job),
                            value: record.to_value(),
                            lease: None,
                        },
                    ],
                };
                (Method::Post, paths::TRANSACTION.to_owned(), json(&body))
            }
        };
        let sent = io.call(Fenced::State, method, path, body, left);
        self.calls.expect(sent, Purpose::One(request, call));
    }

    fn next(&mut self, request: RequestId, call: UserCall, version: u64, io: &mut Io) {
        io.state.force(1.0, io.now);
        self.step(request, call, version, io);
    }

    /// A call was answered. `None` if it is none of this, else what the node should
    /// know.
    pub fn answered(
        &mut self,
        call: CallId,
        outcome: &Outcome,
        counts: &Counts,
        io: &mut Io,
    ) -> Option<Option<Done>> {
        Some(match self.calls.settle(call)? {
            Purpose::One(request, call) => self.follow(request, call, outcome, counts, io),
            Purpose::Polls(comparison) => {
                self.compared(comparison, outcome, counts, io);
                None
            }
        })
    }

    fn follow(
        &mut self,
        request: RequestId,
        call: UserCall,
        outcome: &Outcome,
        counts: &Counts,
        io: &mut Io,
    ) -> Option<Done> {
        let waiting = self.waiting.get_mut(&request)?;
        let job = waiting.job.clone();
        match (call, outcome.status()) {
            (UserCall::Create, Some(200)) => {
                let version = outcome
                    .read::<TransactionAnswer>(&[200])
                    .map_or(0, |answer| answer.revision);
                let waiting = self.waiting.remove(&request)?;
                if version > 0 {
                    self.saw_live(&job, version);
                }
                io.reply(
                    request,
                    201,
                    &JobAnswer {
                        id: &job.0,
                        status: JobStatus::Pending,
                        done: None,
                        running: None,
                    },
                );
                let Wish::Submit(spec) = waiting.wish else {
                    return None;
                };
                log::debug!("job={job} class={} accepted, {} tasks", spec.class, spec.tasks);
                return Some(Done::Accepted { spec, version });
            }
            (UserCall::Create, Some(409)) => self.next(request, UserCall::ReadLive, 0, io),
            (UserCall::ReadLive, Some(200)) => {
                let Some(item) = outcome.read::<StoredItem>(&[200]) else {
                    self.give_up(request, io);
                    return None;
                };
                if matches!(waiting.wish, Wish::Cancel) {
                    self.next(request, UserCall::Move, item.version, io);
                } else {
                    self.waiting.remove(&request);
                    self.saw_live(&job, item.version);
                    self.tell_live(request, &job, counts, io);
                }
            }
            (UserCall::ReadLive, Some(404)) => self.next(request, UserCall::ReadEnded, 0, io),
            (UserCall::ReadEnded, Some(200)) => {
                let ended = outcome
                    .read::<StoredItem>(&[200])
                    .and_then(|item| EndedRecord::from_value(&item.value).ok());
                match ended {
                    Some(ended) => {
                        self.waiting.remove(&request);
                        self.remember(job.clone(), ended);
                        answer_ended(request, &job, ended, io);
                    }
                    None => self.give_up(request, io),
                }
            }
            (UserCall::ReadEnded, Some(404)) => {
                // Neither live nor ended: never accepted, unless it was accepted
                // between the two readings, which only its submitter could tell.
                match &waiting.wish {
                    Wish::Refused(refusal) => {
                        reply_refusal(request, refusal, io);
                        self.waiting.remove(&request);
                    }
                    Wish::Submit(_) => self.give_up(request, io),
                    Wish::Poll | Wish::Cancel => {
                        self.waiting.remove(&request);
                        io.reply_error(request, 404, "no such job");
                    }
                }
            }
            (UserCall::Move, Some(200)) => {
                self.waiting.remove(&request);
                let ended = EndedRecord {
                    end: Ending::Cancelled,
                    tasks: 0,
                };
                self.remember(job.clone(), ended);
                answer_ended(request, &job, ended, io);
                log::debug!("job={job} cancelled");
                return Some(Done::Cancelled(job));
            }
            (UserCall::Move, Some(409)) if waiting.rounds < MAX_ROUNDS => {
                waiting.rounds += 1;
                self.next(request, UserCall::ReadLive, 0, io);
            }
            _ => self.give_up(request, io),
        }
        None
    }

    /// The state service gave no usable answer in time.
    fn give_up(&mut self, request: RequestId, io: &mut Io) {
        self.waiting.remove(&request);
        io.reply_later(request, RETRY_AFTER_S, "the state service does not answer");
    }

    /// Final states never change, so they may be kept.
    pub fn remember(&mut self, job: JobId, ended: EndedRecord) {
        self.live.remove(&job);
        if self.ended.insert(job.clone(), ended).is_none() {
            self.ended_order.push_back(job);
        }
        while self.ended_order.len() > ENDED_CACHE {
            if let Some(oldest) = self.ended_order.pop_front() {
                self.ended.remove(&oldest);
            }
        }
    }
}

/// Answers a submission that was not accepted.
pub fn reply_refusal(request: RequestId, refusal: &Refusal, io: &mut Io) {
    match refusal {
        Refusal::Invalid(problem) => io.reply_error(request, 400, problem),
        Refusal::Impossible(problem) => io.reply_error(request, 422, problem),
        Refusal::Undecided(problem) => io.reply_later(request, RETRY_AFTER_S, problem),
    }
}

fn answer_live(request: RequestId, job: &JobId, counts: &Counts, io: &mut Io) {
    let (done, running) = counts.get(job).copied().unwrap_or((0, 0));
    let status = if running > 0 {
        JobStatus::Running
    } else {
        JobStatus::Pending
    };
    io.reply(
        request,
        200,
        &JobAnswer {
            id: &job.0,
            status,
            done: Some(done.into()),
            running: Some(running.into()),
        },
    );
}

fn answer_ended(request: RequestId, job: &JobId, ended: EndedRecord, io: &mut Io) {
    let (status, done) = match ended.end {
        Ending::Done => (JobStatus::Done, Some(ended.tasks.into())),
        Ending::Cancelled => (JobStatus::Cancelled, None),
    };
    io.reply(
        request,
        200,
        &JobAnswer {
            id: &job.0,
            status,
            done,
            running: Some(0),
        },
    );
}

/// Which request a path and method make, or the status that refuses it.
pub enum Route {
    Submit,
    Poll(JobId),
    Cancel(JobId),
    Report,
    Health,
    Counts,
    Holders,
    Explain(JobId),
    Metrics,
    /// Submit files and their clusters.
    Condor(condor::Route),
    Refuse(u16),
}

pub fn route(method: &str, path: &str) -> Route {
    let path = path.split('?').next().unwrap_or(path);
    let allow = |wanted: &str, route: Route| {
        if method == wanted {
            route
        } else {
            Route::Refuse(405)
        }
    };
    match path {
        paths::HEALTH => return allow("GET", Route::Health),
        paths::REPORT => return allow("POST", Route::Report),
        paths::JOBS => return allow("POST", Route::Submit),
        paths::COUNTS => return allow("GET", Route::Counts),
        paths::METRICS => return allow("GET", Route::Metrics),
        _ => (),
    }
    if let Some(rest) = path
        .strip_prefix(paths::COUNTS)
        .and_then(|rest| rest.strip_prefix('/'))
    {
        let job = rest.strip_prefix(paths::EXPLAIN).and_then(intake::parse_id);
        return match job {
            Some(job) => allow("GET", Route::Explain(job)),
            None if rest == paths::HOLDERS => allow("GET", Route::Holders),
            None => Route::Refuse(404),
        };
    }
    if let Some(rest) = path.strip_prefix(paths::CONDOR) {
        return match condor::route(method, rest) {
            Ok(route) => Route::Condor(route),
            Err(status) => Route::Refuse(status),
        };
    }
    let Some(rest) = path
        .strip_prefix(paths::JOBS)
        .and_then(|rest| rest.strip_prefix('/'))
    else {
        return Route::Refuse(404);
    };
    match rest.split_once('/') {
        None => match intake::parse_id(rest) {
            Some(job) => allow("GET", Route::Poll(job)),
            None => Route::Refuse(404),
        },
        Some((id, paths::CANCEL)) => match intake::parse_id(id) {
            Some(job) => allow("POST", Route::Cancel(job)),
            None => Route::Refuse(404),
        },
        Some(_) => Route::Refuse(404),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::io::Effect;
    use crate::settings::Settings;

    const JOB: &str = "wk-1";

    fn io() -> Io {
        let settings = Settings::parse(include_str!("../tests/support/settings.json")).unwrap();
        Io::new(&settings, 1, 1_000, 0)
    }

    fn answer(status: u16, body: serde_json::Value) -> Outcome {
        Outcome::Answer {
            status,
            body: body.to_string().into_bytes(),
        }
    }

    /// The last reply's body.
    fn told(io: &mut Io) -> serde_json::Value {
        let replies = std::mem::take(&mut io.effects);
        let body = replies.into_iter().rev().find_map(|effect| match effect {
            Effect::Reply { body, .. } => Some(body),
            _ => None,
        });
        serde_json::from_slice(&body.expect("a reply")).unwrap()
    }

    /// The body of the one call made, and its number.
    fn comparison(io: &mut Io) -> (serde_json::Value, CallId) {
        let mut calls = std::mem::take(&mut io.effects)
            .into_iter()
            .filter_map(|effect| match effect {
                Effect::Call { call, body, .. } => Some((call, body)),
                _ => None,
            });
        let (call, body) = calls.next().expect("a call");
        assert!(calls.next().is_none());
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
        (body, call)
    }

    /// A node that has seen the job live and has a poll for it gathered.
    fn polled(io: &mut Io) -> Users {
        let mut users = Users::default();
        let job = JobId(std::sync::Arc::from(JOB));
        users.saw_live(&job, 7);
        users.begin(RequestId(1), job, Wish::Poll, io);
        assert!(io.effects.is_empty());
        users
    }

    fn cancel(users: &mut Users) {
        let ended = EndedRecord {
            end: Ending::Cancelled,
            tasks: 0,
        };
        users.remember(JobId(std::sync::Arc::from(JOB)), ended);
    }

    #[test]
    fn gathered_polls_are_answered_by_one_comparison() {
        let mut io = io();
        let mut users = polled(&mut io);
        users.begin(
            RequestId(2),
            JobId(std::sync::Arc::from(JOB)),
            Wish::Poll,
            &mut io,
        );
        io.now += POLL_GATHER_MS;
        users.settle(48, &mut io);
        let (body, comparison) = comparison(&mut io);
        assert_eq!(
            body,
            serde_json::json!({ "If": [{ "Path": "j/wk-1", "Stamp": 7 }] })
        );
        let same = answer(200, serde_json::json!({ "Ledger": 9 }));
        users.answered(comparison, &same, &Counts::new(), &mut io);
        assert_eq!(io.effects.len(), 2);
        assert_eq!(told(&mut io)["Status"], "pending");
    }

    // Its user was told "cancelled", then "running" by the poll that had gathered: the
    // comparison went out without the job, which was live no longer.
    #[test]
    fn a_cancellation_between_poll_and_comparison_is_not_taken_back() {
        let mut io = io();
        let mut users = polled(&mut io);
        cancel(&mut users);
        io.now += POLL_GATHER_MS;
        users.settle(48, &mut io);
        let (body, comparison) = comparison(&mut io);
        assert_eq!(body["If"][0]["Stamp"], 7, "the job is compared all the same");
        let same = answer(200, serde_json::json!({ "Ledger": 9 }));
        users.answered(comparison, &same, &Counts::new(), &mut io);
        assert_eq!(told(&mut io)["Status"], "cancelled");
    }

    #[test]
    fn a_job_that_is_over_elsewhere_is_read_again() {
        let mut io = io();
        let mut users = polled(&mut io);
        io.now += POLL_GATHER_MS;
        users.settle(48, &mut io);
        let (_, comparison) = comparison(&mut io);
        let failed = answer(409, serde_json::json!({ "failed": ["j/wk-1"], "Ledger": 9 }));
        users.answered(comparison, &failed, &Counts::new(), &mut io);
        let path = io.effects.iter().find_map(|effect| match effect {
            Effect::Call { path, .. } => Some(path.clone()),
            _ => None,
        });
        assert_eq!(path.as_deref(), Some("/store/j/wk-1"));
    }
}
