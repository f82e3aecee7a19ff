//! Clusters: the submission that a client sends, the job arrays into which its procs are grouped,
//! and the stored records.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `n/cluster` | [`NextClusterRecord`]: the next cluster number | the node that takes a number |
//! | `k/<key>` | [`SubmissionKeyRecord`]: the cluster that a submission became | the node that takes its number |
//! | `j/~<cluster>` | [`OpenClusterRecord`]: the cluster is being recorded, and none of its jobs starts | the same node; deleted when the cluster is accepted |
//! | `c/<cluster>` | [`ClusterRecord`]: the cluster is accepted | the node that accepts it |

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

/// A submission with everything that its file reads from the submitting host, so that every node
/// parses it alike.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Idempotency key chosen by the submitter: a submission with the same key is a retry.
    pub key: String,
    pub owner: String,
    /// Name of the submit file, for messages.
    pub file: String,
    pub text: String,
    /// Time of submission: Unix time in s.
    pub at_s: i64,
    /// Contents of the other files read, by path.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub reads: BTreeMap<String, String>,
    /// Paths matched by the file's patterns.
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

/// Maximum length of a submission key, in bytes.
const MAX_KEY_BYTES: usize = 64;

impl Bundle {
    /// Validates everything but the text of the file.
    ///
    /// # Errors
    /// Returns the invalid field and the reason.
    pub fn check(&self) -> Result<(), String> {
        let is_plain = |text: &str| {
            text.bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || b"-_.@".contains(&byte))
        };
        if self.key.len() < 8 || self.key.len() > MAX_KEY_BYTES || !is_plain(&self.key) {
            return Err(format!("key must be 8 to {MAX_KEY_BYTES} letters and digits"));
        }
        if self.owner.is_empty() || self.owner.len() > MAX_OWNER_BYTES || !is_plain(&self.owner) {
            return Err(format!("owner must be 1 to {MAX_OWNER_BYTES} letters and digits"));
        }
        if self.file.is_empty() || self.file.len() > 4_096 {
            return Err("file must be a path".to_owned());
        }
        Ok(())
    }

    /// Returns a digest that distinguishes submissions with the same key.
    pub fn digest(&self) -> String {
        // Serialization of plain data cannot fail, and is deterministic.
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
        let matched = self
            .matches
            .iter()
            .find(|matched| matched.pattern == pattern && matched.what == what);
        matched
            .map(|matched| matched.paths.clone())
            .ok_or_else(|| "its matches were not sent along".to_owned())
    }

    fn env_var(&self, name: &str) -> Option<String> {
        self.environment.get(name).cloned()
    }
}

/// Records what a submit file reads while it is parsed, to be sent along with it.
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

    /// Returns the recorded reads.
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

/// Why a job is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HoldReason {
    /// A user holds it, in the submit file or later, and can release it.
    User,
    /// It needs more than its team's limit; released once the limit allows it.
    Limit,
    /// Its team does not exist; released once it does.
    Team,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hold {
    #[serde(rename = "why")]
    pub reason: HoldReason,
    pub text: String,
}

/// Preference steps of a machine type's ordinary and spot machines, by zone.
type StepsByZone = BTreeMap<Arc<str>, [Option<u16>; 2]>;

/// Kinds of machines that a job may use, each with its preference step: how many ranks it is below
/// the kind that the job prefers most.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KindSet(BTreeMap<Arc<str>, StepsByZone>);

impl KindSet {
    /// Returns the kinds that an outcome allows.
    pub fn from_outcome(outcome: &Outcome, kinds: &MachineKinds) -> KindSet {
        let rank = |position: usize| outcome.ranks.get(position).copied().unwrap_or(0.0);
        let mut ranks: Vec<f64> = outcome.kinds.ones().map(rank).collect();
        ranks.sort_by(|a, b| b.total_cmp(a));
        ranks.dedup();
        let mut set = KindSet::default();
        for (position, kind) in kinds.all().iter().enumerate() {
            if !outcome.kinds.contains(position) {
                continue;
            }
            let step = ranks
                .iter()
                .position(|other| *other == rank(position))
                .unwrap_or(0);
            let zones = set.0.entry(Arc::from(kind.machine_type.as_str())).or_default();
            let steps = zones.entry(Arc::from(kind.zone.as_str())).or_default();
            steps[usize::from(kind.spot)] = Some(u16::try_from(step).unwrap_or(u16::MAX));
        }
        set
    }

    /// Returns how many ranks a kind is below the most preferred one; `None` if the job may not use
    /// it.
    pub fn preference_step(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u16> {
        self.0.get(machine_type)?.get(zone)?[usize::from(spot)]
    }

    /// Whether any of the kinds is a spot machine.
    pub fn any_spot(&self) -> bool {
        let mut steps = self.0.values().flat_map(BTreeMap::values);
        steps.any(|[_, spot]| spot.is_some())
    }
}

/// A non-empty set of proc numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcSet {
    first: u32,
    count: u32,
    /// A base64 bitmap that begins at the first number; `None` if the numbers are consecutive.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    bits: Option<String>,
}

impl ProcSet {
    /// Creates the set from ascending numbers, of which there must be at least one.
    pub fn new(numbers: &[u32]) -> ProcSet {
        let first = numbers.first().copied().unwrap_or(0);
        let last = numbers.last().copied().unwrap_or(first);
        let span = (last - first) as usize + 1;
        let mut bits = vec![0u8; span.div_ceil(8)];
        for number in numbers {
            let position = (number - first) as usize;
            bits[position / 8] |= 1 << (position % 8);
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

    /// Returns all numbers in ascending order.
    pub fn numbers(&self) -> Vec<u32> {
        let Some(bits) = &self.bits else {
            return (self.first..self.first.saturating_add(self.count)).collect();
        };
        let bits = STANDARD_NO_PAD.decode(bits).unwrap_or_default();
        let set = (0u32..).zip(bits).flat_map(|(byte, bits)| {
            let ones = (0..8).filter(move |bit| bits >> bit & 1 == 1);
            ones.map(move |bit| byte * 8 + bit)
        });
        set.map(|position| self.first + position).collect()
    }

    pub fn contains(&self, number: u32) -> bool {
        match self.bits {
            None => number >= self.first && number - self.first < self.count,
            Some(_) => self.numbers().binary_search(&number).is_ok(),
        }
    }

    /// Formats the set as in `0-2,5`, with at most 8 ranges.
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

/// What a job's record keeps of the submit file that it came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitOrigin {
    pub cluster: u64,
    pub procs: ProcSet,
    pub owner: String,
    /// The executable and its arguments, for display.
    pub cmd: String,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub holds: Vec<Hold>,
}

impl SubmitOrigin {
    /// Why the job is held, if it is.
    pub fn hold_text(&self) -> Option<String> {
        let texts: Vec<&str> = self.holds.iter().map(|hold| hold.text.as_str()).collect();
        (!texts.is_empty()).then(|| texts.join("; "))
    }
}

/// Procs with the same request, which become one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobArray {
    /// Index of their outcome in the match results.
    pub outcome: usize,
    pub procs: Vec<u32>,
}

/// The cluster would have more jobs than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "the file makes {0} different requests or more; at most {MAX_CLUSTER_JOBS} are taken at once: split it"
)]
pub struct TooManyJobs(pub usize);

/// Groups the procs of a cluster into job arrays, in the order of their first procs. A proc that is
/// a gang becomes an array of its own.
///
/// # Errors
/// There are more arrays than a cluster may have jobs.
pub fn group_into_arrays(results: &MatchResults) -> Result<Vec<JobArray>, TooManyJobs> {
    let mut arrays: Vec<JobArray> = Vec::new();
    let mut array_by_outcome: BTreeMap<usize, usize> = BTreeMap::new();
    for (proc, position) in (0u32..).zip(&results.outcome_of_proc) {
        let outcome = *position as usize;
        let request = results
            .outcomes
            .get(outcome)
            .and_then(|outcome| outcome.request.as_ref());
        let is_gang = request.is_some_and(|request| request.gang.is_some());
        match array_by_outcome.get(&outcome) {
            Some(array) if !is_gang => arrays[*array].procs.push(proc),
            _ => {
                array_by_outcome.insert(outcome, arrays.len());
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

/// Key prefix of the records that map submission keys to clusters.
pub const SUBMISSION_KEY_PREFIX: &str = "k/";
/// Key of the next cluster number.
pub const NEXT_CLUSTER_KEY: &str = "n/cluster";
/// Key prefix of accepted clusters.
pub const CLUSTER_PREFIX: &str = "c/";
/// Precedes the cluster number in the key of an open cluster, below the prefix of jobs. It sorts
/// after every job id, so that a page-by-page read learns last which clusters are still open: a
/// cluster that is no longer open by then was accepted or abandoned.
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
    /// Digest of the submission with this key.
    pub digest: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenClusterRecord {
    /// Digest of the planned jobs: two nodes that planned the same file differently must not mix
    /// their jobs.
    pub plan: String,
    /// Unix time, in ms, at which the cluster was opened.
    pub at_ms: u64,
    /// The leader has abandoned the cluster.
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
    /// Teams of the cluster's jobs, as named in the file. Missing in records of earlier builds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<String>,
}

#[cfg(test)]
mod tests;
