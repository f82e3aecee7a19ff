//! A steady stream of small jobs: `stream wk-1000 rate=4 for=180 cancel=0.25 run=5`, with all
//! options of `submit`. Users submit them one after the other at this rate per second and poll like
//! all others. The `cancel` share of them cancels the job, a third at once and the others while it
//! waits or runs; the same share repeats the submission some time later, even after the job has
//! ended.
//!
//! `expect keys s/ <= 3`: number of keys in the state service under a prefix. `expect slowest CLASS
//! <= 20`: the longest time, in s, from a job's acceptance until it started, was cancelled, or until
//! now.

use crate::scenario::body;
use crate::simulation::{NODES, ObservedJob, ReplyRecipient, Simulation, UserRequest};
use std::collections::BTreeMap;

/// Delay of an immediate cancellation after acceptance, in ms.
const IMMEDIATE_CANCEL_MS: (f64, f64) = (10.0, 400.0);
/// Latest time of other cancellations and repeated submissions after acceptance, in run times of the
/// job.
const LATE_FOLLOW_UP_RUNS: f64 = 2.0;

/// What the user of a streamed job does later.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FollowUp {
    Cancel,
    Resubmit,
}

/// A stream of jobs and the pending actions of their users.
#[derive(Debug)]
pub(crate) struct JobStream {
    next_at: f64,
    until: f64,
    interval_ms: f64,
    next_id: u64,
    cancel_share: f64,
    template: ObservedJob,
    /// Job, action, and delay after the job's acceptance in ms.
    follow_ups: Vec<(String, FollowUp, u64)>,
}

impl JobStream {
    pub(crate) fn new(
        first: &str,
        keyed: &BTreeMap<&str, &str>,
        for_ms: u64,
        now: u64,
    ) -> Result<JobStream, String> {
        let get = |key: &str| -> Result<f64, String> {
            let text = keyed.get(key).ok_or(format!("no {key}"))?;
            text.parse().map_err(|_| format!("{text} is not a number"))
        };
        let next_id = first.strip_prefix("wk-").and_then(|own| own.parse().ok());
        Ok(JobStream {
            next_at: now as f64,
            until: (now + for_ms) as f64,
            interval_ms: 1_000.0 / get("rate")?,
            next_id: next_id.ok_or("no id")?,
            cancel_share: get("cancel")?,
            template: body(first, keyed)?.1,
            follow_ups: Vec::new(),
        })
    }

    fn next_submission(&mut self, now: u64) -> Option<String> {
        if self.next_at > now as f64 || self.next_at >= self.until {
            return None;
        }
        self.next_at += self.interval_ms;
        self.next_id += 1;
        Some(format!("wk-{}", self.next_id - 1))
    }
}

impl Simulation {
    pub(crate) fn step_streams(&mut self) {
        let mut streams = std::mem::take(&mut self.streams);
        for stream in &mut streams {
            while let Some(id) = stream.next_submission(self.now) {
                let mut observed = stream.template.clone();
                observed.body["Id"] = id.clone().into();
                observed.submitted_at = Some(self.now);
                self.jobs.insert(id.clone(), observed);
                self.next_user_request_at.insert(id.clone(), self.now);
                let late = (
                    IMMEDIATE_CANCEL_MS.0,
                    stream.template.run_s * 1_000.0 * LATE_FOLLOW_UP_RUNS,
                );
                if self.draw() < stream.cancel_share {
                    let window = if self.draw() < 1.0 / 3.0 {
                        IMMEDIATE_CANCEL_MS
                    } else {
                        late
                    };
                    stream
                        .follow_ups
                        .push((id.clone(), FollowUp::Cancel, self.draw_ms(window)));
                }
                if self.draw() < stream.cancel_share {
                    stream
                        .follow_ups
                        .push((id, FollowUp::Resubmit, self.draw_ms(late)));
                }
            }
            let due = |simulation: &Simulation, id: &str, after: u64| {
                let accepted = simulation.jobs[id].accepted_at;
                accepted.is_some_and(|at| simulation.now >= at + after)
            };
            let (now, later): (Vec<_>, Vec<_>) = std::mem::take(&mut stream.follow_ups)
                .into_iter()
                .partition(|(id, _, after)| due(self, id, *after));
            stream.follow_ups = later;
            for (id, act, _) in now {
                let node = (self.draw() * NODES as f64) as usize % NODES;
                if act == FollowUp::Resubmit {
                    self.send_user_request(node, &id, UserRequest::Submit);
                    continue;
                }
                let observed = self.jobs.get_mut(&id).unwrap();
                observed.request_cancel(self.now);
                self.send_user_request(node, &id, UserRequest::Cancel);
            }
        }
        self.streams = streams;
    }

    /// Checks that a 503 to a user says when to retry.
    pub(crate) fn check_retry_after(
        &mut self,
        asker: Option<&ReplyRecipient>,
        status: u16,
        retry_after_s: Option<u64>,
    ) {
        if let Some(ReplyRecipient::User { job, kind, .. }) = asker
            && matches!(
                kind,
                UserRequest::Submit | UserRequest::Poll | UserRequest::Cancel
            )
            && status == 503
            && retry_after_s.is_none()
        {
            self.violation("no_retry_after", format!("{job} got 503"));
        }
    }

    /// The measured value of an `expect` line of this module.
    pub(crate) fn measure_streams(&self, words: &[&str]) -> Option<f64> {
        match words {
            ["keys", prefix] => Some(self.state.count(prefix) as f64),
            ["slowest", class] => {
                let jobs = self.jobs.values().filter(|job| job.class == *class);
                let waits = jobs.filter_map(|job| {
                    let until = job.started_at.or(job.cancel_requested_at).unwrap_or(self.now);
                    Some(until.saturating_sub(job.accepted_at?))
                });
                Some(waits.max().unwrap_or(0) as f64 / 1_000.0)
            }
            _ => None,
        }
    }
}
