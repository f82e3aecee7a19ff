//! What users were told of each job, by which node and when. Once any node told of a job that it is
//! accepted, done or cancelled, an answer given later, by whichever node and on whichever route, must
//! not be older. A 404 is judged only where its user asked after that telling: one that asked before
//! may have been read before the job was accepted.

use crate::simulation::{Event, NODES, ObservedJob, Simulation, UserKind};
use serde_json::Value;
use std::collections::BTreeMap;

/// When users look closely, in ms after they were told something.
const LOOKS_MS: [u64; 3] = [1, 21, 61];

/// The state of a job, from the oldest word to the newest.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Word {
    Unknown,
    LoopbackServices,
    Over(String),
}

impl Word {
    fn of(status: u16, answer: &Value) -> Option<Word> {
        match (status, answer["Status"].as_str()) {
            (404, _) => Some(Word::Unknown),
            (200, Some(end @ ("done" | "cancelled"))) => Some(Word::Over(end.to_owned())),
            (200 | 201, Some(_)) => Some(Word::LoopbackServices),
            _ => None,
        }
    }

    fn rank(&self) -> u8 {
        match self {
            Word::Unknown => 0,
            Word::LoopbackServices => 1,
            Word::Over(_) => 2,
        }
    }
}

/// The next answer of the state service to such a call of a node comes so many ms late.
#[derive(Debug)]
struct Withheld {
    node: usize,
    path: String,
    words: String,
    by_ms: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Answers {
    /// The newest word of each job, when it was first given, and by which node.
    newest: BTreeMap<String, (Word, u64, usize)>,
    /// Until when users look closely, and the share of jobs that they take back at once.
    close_until: u64,
    cancel_share: f64,
    withheld: Vec<Withheld>,
    /// How long users waited for "cancelled" of a withdrawal, and "done" of a poll, in ms.
    waits: BTreeMap<&'static str, Vec<u64>>,
}

impl Simulation {
    /// A node answers a user about a job.
    pub(crate) fn judge_answer(
        &mut self,
        node: usize,
        job: &str,
        kind: &UserKind,
        asked_at: u64,
        status: u16,
        body: &[u8],
    ) {
        let answer: Value = serde_json::from_slice(body).unwrap_or_default();
        let job = match kind {
            UserKind::Cluster => return,
            UserKind::Probe { .. } => answer["Id"].as_str().unwrap_or_default(),
            _ => job,
        };
        let Some(word) = Word::of(status, &answer).filter(|_| self.jobs.contains_key(job)) else {
            return;
        };
        let now = self.now;
        let wait = match (kind, &word) {
            (UserKind::Cancel, Word::Over(_)) => Some("cancelled"),
            (UserKind::Poll, Word::Over(end)) if end == "done" => Some("done"),
            _ => None,
        };
        if let Some(what) = wait {
            self.answers.waits.entry(what).or_default().push(now - asked_at);
        }
        match self.answers.newest.get(job) {
            Some((newest, at, by)) if word.rank() <= newest.rank() => {
                let older = match word {
                    Word::Unknown => newest.rank() > 0 && asked_at >= *at,
                    _ => word != *newest,
                };
                if older {
                    let since = format!("n{by} told {newest:?} at {:.2} s", *at as f64 / 1000.0);
                    self.violation("older_answer", format!("{job}: n{node} tells {word:?}, {since}"));
                }
            }
            _ => {
                self.answers.newest.insert(job.to_owned(), (word, now, node));
                self.look_closely(job);
            }
        }
    }

    /// Somebody has just been told something new of a job: users ask every node about it, and submit
    /// it again, within milliseconds; some take it back at once.
    fn look_closely(&mut self, job: &str) {
        if self.now >= self.answers.close_until {
            return;
        }
        let job = job.to_owned();
        let accepted = self.answers.newest[&job].0 == Word::LoopbackServices;
        let cancel = accepted && self.draw() < self.answers.cancel_share;
        if cancel {
            let (now, node) = (self.now, (self.draw() * NODES as f64) as usize);
            let facts: &mut ObservedJob = self.jobs.get_mut(&job).unwrap();
            facts.request_cancel(now);
            self.user_asks(node, &job, UserKind::Cancel);
        }
        for node in 0..NODES {
            for after_ms in LOOKS_MS {
                for kind in [UserKind::Poll, UserKind::Submit] {
                    let job = job.clone();
                    self.post(after_ms, Event::User { node, job, kind });
                }
            }
        }
    }

    /// By how much the answer to this call of a node is withheld, in ms.
    pub(crate) fn withheld(&mut self, node: usize, path: &str, body: &[u8]) -> u64 {
        let body = String::from_utf8_lossy(body);
        let withheld = &mut self.answers.withheld;
        let of = |held: &Withheld| held.node == node && held.path == path && body.contains(&held.words);
        let at = withheld.iter().position(of);
        at.map_or(0, |at| withheld.remove(at).by_ms)
    }
}

/// - `close-looks for=60 cancels=0.2`: whenever a user was told something new of a job, all nodes are
///   asked about it, and it is submitted again, within milliseconds; of that share of the accepted
///   jobs the end is asked for at once.
/// - `withhold NODE 1.2 /multi:j/wk-1`: the next such call of that node is carried out at once and
///   answered so many seconds later.
/// - `repeat JOB node=n1`: that node gets the job's submission once more.
pub(crate) fn act(
    simulation: &mut Simulation,
    plain: &[&str],
    nodes: &[usize],
    cancel_share: f64,
    for_ms: Option<u64>,
) -> Result<(), String> {
    let arg = |at: usize| plain.get(at).copied().ok_or("too few words".to_owned());
    match arg(0)? {
        "close-looks" => {
            simulation.answers.close_until = simulation.now + for_ms.ok_or("for how long")?;
            simulation.answers.cancel_share = cancel_share;
        }
        "withhold" => {
            let by_s: f64 = arg(2)?.parse().map_err(|_| "for how long")?;
            let (path, words) = arg(3)?.split_once(':').unwrap_or((arg(3)?, ""));
            for node in nodes {
                simulation.answers.withheld.push(Withheld {
                    node: *node,
                    path: path.to_owned(),
                    words: words.to_owned(),
                    by_ms: (by_s * 1000.0) as u64,
                });
            }
        }
        _ => {
            for node in nodes {
                simulation.user_asks(*node, arg(1)?, UserKind::Submit);
            }
        }
    }
    Ok(())
}

/// `expect waited cancelled|done most|mean <= 0.05`: how long users waited for that answer, in s.
/// `expect withheld = 0`: how many answers are still to be withheld.
pub(crate) fn measure(simulation: &Simulation, words: &[&str]) -> Option<f64> {
    match words {
        ["waited", what, how] => {
            let waits = simulation.answers.waits.get(what)?;
            let ms = match *how {
                "most" => *waits.iter().max()? as f64,
                _ => waits.iter().sum::<u64>() as f64 / waits.len() as f64,
            };
            Some(ms / 1000.0)
        }
        ["withheld"] => Some(simulation.answers.withheld.len() as f64),
        _ => None,
    }
}
