//! Checks the order of responses about a job. Once any node has reported a job as accepted, done or
//! cancelled, no later response of any node on any route may report an older state. A 404 is checked
//! only if its user asked after that report: the request may otherwise have been handled before the
//! job was accepted.

use crate::simulation::{Event, NODES, ObservedJob, Simulation, UserRequest};
use serde_json::Value;
use std::collections::BTreeMap;

/// Delays of the additional queries after a new state was reported, in ms.
const QUERY_DELAYS_MS: [u64; 3] = [1, 21, 61];

/// The state of a job as a response reports it, from the oldest to the newest.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ReportedState {
    Unknown,
    LoopbackServices,
    Over(String),
}

impl ReportedState {
    fn of(status: u16, answer: &Value) -> Option<ReportedState> {
        match (status, answer["Status"].as_str()) {
            (404, _) => Some(ReportedState::Unknown),
            (200, Some(end @ ("done" | "cancelled"))) => Some(ReportedState::Over(end.to_owned())),
            (200 | 201, Some(_)) => Some(ReportedState::LoopbackServices),
            _ => None,
        }
    }

    fn rank(&self) -> u8 {
        match self {
            ReportedState::Unknown => 0,
            ReportedState::LoopbackServices => 1,
            ReportedState::Over(_) => 2,
        }
    }
}

/// The next response of the state service to such a call of a node is delayed.
#[derive(Debug)]
struct DelayedResponse {
    node: usize,
    path: String,
    body_text: String,
    delay_ms: u64,
}

/// The reported states, and faults of responses.
#[derive(Debug, Default)]
pub(crate) struct ResponseChecks {
    /// The newest reported state of each job, when it was first reported, and by which node.
    latest_states: BTreeMap<String, (ReportedState, u64, usize)>,
    /// Until when new states trigger queries at all nodes, and the share of jobs that are then
    /// cancelled at once.
    rapid_queries_until: u64,
    cancel_share: f64,
    delayed_responses: Vec<DelayedResponse>,
    /// How long users waited for "cancelled" after a cancellation and for "done" after a poll, in
    /// ms.
    response_times_ms: BTreeMap<&'static str, Vec<u64>>,
}

impl Simulation {
    /// Checks a node's response to a user about a job.
    pub(crate) fn check_response_order(
        &mut self,
        node: usize,
        job: &str,
        kind: &UserRequest,
        asked_at: u64,
        status: u16,
        body: &[u8],
    ) {
        let answer: Value = serde_json::from_slice(body).unwrap_or_default();
        let job = match kind {
            UserRequest::SubmitFile => return,
            UserRequest::Probe { .. } => answer["Id"].as_str().unwrap_or_default(),
            _ => job,
        };
        let Some(state) = ReportedState::of(status, &answer).filter(|_| self.jobs.contains_key(job)) else {
            return;
        };
        let now = self.now;
        let wait = match (kind, &state) {
            (UserRequest::Cancel, ReportedState::Over(_)) => Some("cancelled"),
            (UserRequest::Poll, ReportedState::Over(end)) if end == "done" => Some("done"),
            _ => None,
        };
        if let Some(what) = wait {
            self.response_checks
                .response_times_ms
                .entry(what)
                .or_default()
                .push(now - asked_at);
        }
        match self.response_checks.latest_states.get(job) {
            Some((latest, at, by)) if state.rank() <= latest.rank() => {
                let older = match state {
                    ReportedState::Unknown => latest.rank() > 0 && asked_at >= *at,
                    _ => state != *latest,
                };
                if older {
                    let since = format!("n{by} told {latest:?} at {:.2} s", *at as f64 / 1000.0);
                    self.violation("older_answer", format!("{job}: n{node} tells {state:?}, {since}"));
                }
            }
            _ => {
                self.response_checks
                    .latest_states
                    .insert(job.to_owned(), (state, now, node));
                self.query_all_nodes(job);
            }
        }
    }

    /// Reacts to a newly reported state: users query every node about the job and submit it again
    /// within milliseconds; some cancel it at once.
    fn query_all_nodes(&mut self, job: &str) {
        if self.now >= self.response_checks.rapid_queries_until {
            return;
        }
        let job = job.to_owned();
        let accepted = self.response_checks.latest_states[&job].0 == ReportedState::LoopbackServices;
        let cancel = accepted && self.draw() < self.response_checks.cancel_share;
        if cancel {
            let (now, node) = (self.now, (self.draw() * NODES as f64) as usize);
            let observed: &mut ObservedJob = self.jobs.get_mut(&job).unwrap();
            observed.request_cancel(now);
            self.send_user_request(node, &job, UserRequest::Cancel);
        }
        for node in 0..NODES {
            for after_ms in QUERY_DELAYS_MS {
                for kind in [UserRequest::Poll, UserRequest::Submit] {
                    let job = job.clone();
                    self.schedule(after_ms, Event::User { node, job, kind });
                }
            }
        }
    }

    /// Delay of the response to this call of a node, in ms.
    pub(crate) fn response_delay_ms(&mut self, node: usize, path: &str, body: &[u8]) -> u64 {
        let body = String::from_utf8_lossy(body);
        let delayed = &mut self.response_checks.delayed_responses;
        let matches = |held: &DelayedResponse| {
            let is_path = match held.path.strip_suffix('*') {
                Some(beginning) => path.starts_with(beginning),
                None => held.path == path,
            };
            held.node == node && is_path && body.contains(&held.body_text)
        };
        let at = delayed.iter().position(matches);
        at.map_or(0, |at| delayed.remove(at).delay_ms)
    }
}

/// - `close-looks for=60 cancels=0.2`: whenever a new state of a job is reported, all nodes are
///   asked about it, and it is submitted again, within milliseconds; this share of the accepted jobs
///   is cancelled at once.
/// - `withhold NODE 1.2 /multi:j/wk-1`: the next such call of that node is executed at once and
///   answered this many seconds later. A path that ends with `*` stands for all that begin so; a watch is answered that
///   much after the change that it waits for.
/// - `repeat JOB node=n1`: that node receives the job's submission once more.
pub(crate) fn act(
    simulation: &mut Simulation,
    plain: &[&str],
    nodes: &[usize],
    cancel_share: f64,
    for_ms: Option<u64>,
) -> Result<(), String> {
    let arg = |at: usize| plain.get(at).copied().ok_or("missing argument".to_owned());
    match arg(0)? {
        "close-looks" => {
            simulation.response_checks.rapid_queries_until =
                simulation.now + for_ms.ok_or("missing duration")?;
            simulation.response_checks.cancel_share = cancel_share;
        }
        "withhold" => {
            let by_s: f64 = arg(2)?.parse().map_err(|_| "invalid delay")?;
            let (path, words) = arg(3)?.split_once(':').unwrap_or((arg(3)?, ""));
            for node in nodes {
                simulation
                    .response_checks
                    .delayed_responses
                    .push(DelayedResponse {
                        node: *node,
                        path: path.to_owned(),
                        body_text: words.to_owned(),
                        delay_ms: (by_s * 1000.0) as u64,
                    });
            }
        }
        _ => {
            for node in nodes {
                simulation.send_user_request(*node, arg(1)?, UserRequest::Submit);
            }
        }
    }
    Ok(())
}

/// `expect waited cancelled|done most|mean <= 0.05`: how long users waited for that response, in s.
/// `expect withheld = 0`: how many responses are still to be delayed.
pub(crate) fn measure(simulation: &Simulation, words: &[&str]) -> Option<f64> {
    match words {
        ["waited", what, how] => {
            let waits = simulation.response_checks.response_times_ms.get(what)?;
            let ms = match *how {
                "most" => *waits.iter().max()? as f64,
                _ => waits.iter().sum::<u64>() as f64 / waits.len() as f64,
            };
            Some(ms / 1000.0)
        }
        ["withheld"] => Some(simulation.response_checks.delayed_responses.len() as f64),
        _ => None,
    }
}
