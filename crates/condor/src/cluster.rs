//! Clusters: what a submitter sends, the arrays that its procs become, and what is recorded of
//! them.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `n/cluster` | [`NextClusterRecord`]: the next number | whoever takes one |
//! | `k/<key>` | [`SubmissionKeyRecord`]: which cluster a submission became | the node that takes its number |
//! | `j/~<cluster>` | [`OpenClusterRecord`]: it is being recorded, and nothing of it starts | the same; gone once it is accepted |
//! | `c/<cluster>` | [`ClusterRecord`]: it is accepted | the node that accepts it |

use crate::constants::{MAX_CLUSTER_JOBS, MAX_OWNER_BYTES};
use crate::matchmaking::{MatchResults, Outcome};
use crate::site::MachineKinds;
use crate::source::{PathKind, SubmitEnvironment};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A submission with everything that its file asks of the place from which it is sent, so
/// that any node makes the same of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Chosen by the submitter: a submission with the same key is the same, sent again.
    pub key: String,
    pub owner: String,
    /// Name of the file, for messages.
    pub file: String,
    pub text: String,
    /// Time of submission, in s since 1970.
    pub at_s: i64,
    /// Texts of other files, by path.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub reads: BTreeMap<String, String>,
    /// Paths that a pattern matches.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub matches: Vec<MatchedPaths>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub environment: BTreeMap<String, String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MatchedPaths {
    pub pattern: String,
    pub what: PathKind,
    pub paths: Vec<String>,
}

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 64;

impl Bundle {
    /// What is wrong with it, apart from its text.
    ///
    /// # Errors
    /// The field that cannot be used, and why.
    pub fn check(&self) -> Result<(), String> {
        let plain = |text: &str| {
            text.bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || b"-_.@".contains(&byte))
        };
        if self.key.len() < 8 || self.key.len() > MAX_KEY_BYTES || !plain(&self.key) {
            return Err(format!("key must be 8 to {MAX_KEY_BYTES} letters and digits"));
        }
        if self.owner.is_empty() || self.owner.len() > MAX_OWNER_BYTES || !plain(&self.owner) {
            return Err(format!("owner must be 1 to {MAX_OWNER_BYTES} letters and digits"));
        }
        if self.file.is_empty() || self.file.len() > 4_096 {
            return Err("file must be a path".to_owned());
        }
        Ok(())
    }

    /// Tells submissions apart that carry the same key.
    pub fn digest(&self) -> String {
        // Plain data: it serialises always, and the same way each time.
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        blake3::hash(&bytes).to_hex().to_string()
    }
}

impl SubmitEnvironment for Bundle {
    fn read_file(&self, path: &str) -> Result<String, String> {
        let text = self.reads.get(path).cloned();
        text.ok_or_else(|| "there is no such file, or it was not sent along".to_owned())
    }

    fn matching_paths(&self, pattern: &str, what: PathKind) -> Result<Vec<String>, String> {
        let found = self
            .matches
            .iter()
            .find(|matched| matched.pattern == pattern && matched.what == what);
        found
            .map(|matched| matched.paths.clone())
            .ok_or_else(|| "its matches were not sent along".to_owned())
    }

    fn env_var(&self, name: &str) -> Option<String> {
        self.environment.get(name).cloned()
    }
}

/// Notes what a file asks for while it is read, to be sent along.
pub struct Recorder<'f> {
    files: &'f dyn SubmitEnvironment,
    bundle: RefCell<Bundle>,
}

impl<'f> Recorder<'f> {
    pub fn new(files: &'f dyn SubmitEnvironment) -> Recorder<'f> {
        Recorder {
            files,
            bundle: RefCell::default(),
        }
    }

    /// What was asked for.
    pub fn finish(self) -> Bundle {
        self.bundle.into_inner()
    }
}

impl SubmitEnvironment for Recorder<'_> {
    fn read_file(&self, path: &str) -> Result<String, String> {
        let text = self.files.read_file(path)?;
        self.bundle
            .borrow_mut()
            .reads
            .insert(path.to_owned(), text.clone());
        Ok(text)
    }

    fn matching_paths(&self, pattern: &str, what: PathKind) -> Result<Vec<String>, String> {
        let paths = self.files.matching_paths(pattern, what)?;
        self.bundle.borrow_mut().matches.push(MatchedPaths {
            pattern: pattern.to_owned(),
            what,
            paths: paths.clone(),
        });
        Ok(paths)
    }

    fn env_var(&self, name: &str) -> Option<String> {
        let value = self.files.env_var(name)?;
        self.bundle
            .borrow_mut()
            .environment
            .insert(name.to_owned(), value.clone());
        Some(value)
    }
}

/// Why work is not to start yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HoldReason {
    /// A user asked for it, in the file or later; a user takes it back.
    User,
    /// It asks for more than its team's limit; over once the limit allows it.
    Limit,
    /// Its team is none here; over once it is.
    Team,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hold {
    #[serde(rename = "why")]
    pub reason: HoldReason,
    pub text: String,
}

/// Steps of a type's ordinary and spot machines, by zone.
type Zones = BTreeMap<Arc<str>, [Option<u16>; 2]>;

/// Kinds of machines that a job may use, each with its step down from the one that the job
/// likes best.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KindSet(BTreeMap<Arc<str>, Zones>);

impl KindSet {
    /// The kinds that an outcome allows.
    pub fn from_outcome(outcome: &Outcome, kinds: &MachineKinds) -> KindSet {
        let rank = |at: usize| outcome.ranks.get(at).copied().unwrap_or(0.0);
        let mut ranks: Vec<f64> = outcome.kinds.ones().map(rank).collect();
        ranks.sort_by(|a, b| b.total_cmp(a));
        ranks.dedup();
        let mut set = KindSet::default();
        for (at, kind) in kinds.all().iter().enumerate() {
            if !outcome.kinds.contains(at) {
                continue;
            }
            let step = ranks.iter().position(|other| *other == rank(at)).unwrap_or(0);
            let zones = set.0.entry(Arc::from(kind.machine_type.as_str())).or_default();
            let steps = zones.entry(Arc::from(kind.zone.as_str())).or_default();
            steps[usize::from(kind.spot)] = Some(u16::try_from(step).unwrap_or(u16::MAX));
        }
        set
    }

    /// How far a kind is from the one liked best; `None` if it may not be used.
    pub fn preference_step(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u16> {
        self.0.get(machine_type)?.get(zone)?[usize::from(spot)]
    }

    /// Whether any of them is a spot machine.
    pub fn any_spot(&self) -> bool {
        let mut steps = self.0.values().flat_map(BTreeMap::values);
        steps.any(|[_, spot]| spot.is_some())
    }
}

/// Numbers of procs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcSet {
    first: u32,
    count: u32,
    /// A bitmap from the first on, unless they follow each other.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    bits: Option<String>,
}

impl ProcSet {
    /// Of numbers in their order, of which there is at least one.
    pub fn new(numbers: &[u32]) -> ProcSet {
        let first = numbers.first().copied().unwrap_or(0);
        let last = numbers.last().copied().unwrap_or(first);
        let span = (last - first) as usize + 1;
        let mut bits = vec![0u8; span.div_ceil(8)];
        for number in numbers {
            let at = (number - first) as usize;
            bits[at / 8] |= 1 << (at % 8);
        }
        ProcSet {
            first,
            count: numbers.len() as u32,
            bits: (span != numbers.len()).then(|| STANDARD_NO_PAD.encode(bits)),
        }
    }

    pub fn count(&self) -> u32 {
        self.count
    }

    /// All of them, in their order.
    pub fn numbers(&self) -> Vec<u32> {
        let Some(bits) = &self.bits else {
            return (self.first..self.first.saturating_add(self.count)).collect();
        };
        let bits = STANDARD_NO_PAD.decode(bits).unwrap_or_default();
        let set = (0u32..).zip(bits).flat_map(|(byte, bits)| {
            let ones = (0..8).filter(move |bit| bits >> bit & 1 == 1);
            ones.map(move |bit| byte * 8 + bit)
        });
        set.map(|at| self.first + at).collect()
    }

    pub fn contains(&self, number: u32) -> bool {
        match self.bits {
            None => number >= self.first && number - self.first < self.count,
            Some(_) => self.numbers().binary_search(&number).is_ok(),
        }
    }

    /// As in `0-2,5`, and no longer than is bearable.
    pub fn text(&self) -> String {
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for number in self.numbers() {
            match ranges.last_mut() {
                Some((_, last)) if *last + 1 == number => *last = number,
                _ => ranges.push((number, number)),
            }
        }
        let shown = ranges.iter().take(8).map(|(first, last)| {
            if first == last {
                first.to_string()
            } else {
                format!("{first}-{last}")
            }
        });
        let mut text = shown.collect::<Vec<_>>().join(",");
        if ranges.len() > 8 {
            text.push_str(",…");
        }
        text
    }
}

/// What a job keeps of the file that it came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitOrigin {
    pub cluster: u64,
    pub procs: ProcSet,
    pub owner: String,
    /// The program and its arguments, for display.
    pub cmd: String,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub holds: Vec<Hold>,
}

impl SubmitOrigin {
    /// Why it is held, if it is.
    pub fn hold_text(&self) -> Option<String> {
        let texts: Vec<&str> = self.holds.iter().map(|hold| hold.text.as_str()).collect();
        (!texts.is_empty()).then(|| texts.join("; "))
    }
}

/// Procs that ask for the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobArray {
    /// Position of their outcome.
    pub outcome: usize,
    pub procs: Vec<u32>,
}

/// A cluster that would be more jobs than one may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "the file makes {0} different requests or more; at most {MAX_CLUSTER_JOBS} are taken at once: split it"
)]
pub struct TooManyJobs(pub usize);

/// The arrays of a cluster, in the order of their first procs. A proc that is a gang is one
/// by itself.
///
/// # Errors
/// There are too many to be recorded.
pub fn group_into_arrays(results: &MatchResults) -> Result<Vec<JobArray>, TooManyJobs> {
    let mut arrays: Vec<JobArray> = Vec::new();
    let mut array_of: BTreeMap<usize, usize> = BTreeMap::new();
    for (proc, at) in (0u32..).zip(&results.outcome_of_proc) {
        let outcome = *at as usize;
        let request = results
            .outcomes
            .get(outcome)
            .and_then(|outcome| outcome.request.as_ref());
        let alone = request.is_some_and(|request| request.gang.is_some());
        match array_of.get(&outcome) {
            Some(array) if !alone => arrays[*array].procs.push(proc),
            _ => {
                array_of.insert(outcome, arrays.len());
                arrays.push(JobArray {
                    outcome,
                    procs: vec![proc],
                });
            }
        }
    }
    if arrays.len() > MAX_CLUSTER_JOBS {
        return Err(TooManyJobs(arrays.len()));
    }
    Ok(arrays)
}

/// Prefix of the records of which cluster a submission became.
pub const SUBMISSION_KEY_PREFIX: &str = "k/";
/// The next cluster's number.
pub const NEXT_CLUSTER_KEY: &str = "n/cluster";
/// Prefix of accepted clusters.
pub const CLUSTER_PREFIX: &str = "c/";
/// What stands before the number in the key of an open cluster, under the jobs' prefix. It
/// comes after every job's name, so that whoever reads page by page learns last which are
/// open still: what is open no longer by then was accepted or given up.
pub const OPEN_MARKER: &str = "~";

pub fn submission_key(key: &str) -> String {
    format!("{SUBMISSION_KEY_PREFIX}{key}")
}

pub fn cluster_key(cluster: u64) -> String {
    format!("{CLUSTER_PREFIX}{cluster:010}")
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NextClusterRecord {
    pub next: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionKeyRecord {
    pub cluster: u64,
    /// Of what was submitted under the key.
    pub digest: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenClusterRecord {
    /// Digest of the jobs that it is to have: two nodes that made something else of the same
    /// file must not mix.
    pub plan: String,
    /// Time of day at which it was opened, in ms since 1970.
    pub at_ms: u64,
    /// The leader has given it up.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub abandoned: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterRecord {
    pub cluster: u64,
    pub owner: String,
    pub file: String,
    pub procs: u32,
    pub jobs: u32,
    pub at_ms: u64,
    /// Teams of its jobs, as the file names them. Not in records of earlier builds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<String>,
}

#[cfg(test)]
mod tests;
