//! The accounting entry of an ended job.

use crate::access::{Access, Owner, Team, VisibleJob};
use crate::constants::{CHECKSUM_BITS, DAY_MS, MIN_LOSS_S};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndedBy {
    /// All of its tasks are done.
    Finished,
    /// Its user cancelled it through the protocol.
    Withdrawn,
    /// The cluster of its submit file, or its proc in that cluster, was removed.
    Removed,
    /// A value that only a newer build knows.
    #[serde(other)]
    Other,
}

impl EndedBy {
    /// Whether the job finished, rather than was cancelled.
    pub fn is_finished(self) -> bool {
        self == EndedBy::Finished
    }
}

/// Why completed work was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LossCause {
    /// The machine was lost, or its lease expired.
    Machine,
    /// The task was preempted, or its machine was to be released.
    Stopped,
    /// The task failed.
    Failed,
    /// Another task of its gang was lost.
    Gang,
}

/// Seconds of lost work by cause.
pub type LostSeconds = BTreeMap<LossCause, u32>;

/// Statistics of a job that a leader collected during its term. Those of earlier leaders are lost.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionStats {
    /// Lower bound on the attempts of its tasks.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Lower bound on the lost work.
    #[serde(rename = "l", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lost: LostSeconds,
}

impl ExecutionStats {
    /// Counts an attempt.
    pub fn record_attempt(&mut self) {
        let before = self.attempts.unwrap_or(0);
        self.attempts = Some(before.saturating_add(1));
    }

    /// Counts lost seconds of work. Losses below half a second are not counted.
    pub fn record_loss(&mut self, cause: LossCause, seconds: f64) {
        if seconds >= MIN_LOSS_S {
            let lost = self.lost.entry(cause).or_default();
            *lost = lost.saturating_add(seconds.round() as u32);
        }
    }

    /// Seconds lost over all causes.
    pub fn total_lost_s(&self) -> u64 {
        self.lost.values().map(|seconds| u64::from(*seconds)).sum()
    }
}

/// The accounting entry of an ended job. It is part of the record of the ended job, so that both
/// are written in one change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The team that owns the job since it was accepted.
    #[serde(rename = "t")]
    team: Team,
    /// Class of the job.
    #[serde(rename = "c")]
    pub class: Arc<str>,
    #[serde(rename = "b")]
    ended_by: EndedBy,
    /// Time at which the job was accepted, in ms since the Unix epoch.
    #[serde(rename = "a")]
    pub accepted_ms: u64,
    /// Time at which the job ended, in ms since the Unix epoch.
    #[serde(rename = "z")]
    pub ended_ms: u64,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Statistics that the last leader collected.
    #[serde(flatten)]
    pub stats: ExecutionStats,
}

/// The facts about an ended job that its entry contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedJob<'a> {
    /// Class of the job.
    pub class: &'a str,
    /// Time at which the job was accepted, in ms since the Unix epoch.
    pub accepted_ms: u64,
    /// Time at which the job ended, in ms since the Unix epoch.
    pub ended_ms: u64,
    /// Number of tasks.
    pub tasks: u32,
}

impl Entry {
    /// Creates the entry of a job that ends because all of its tasks are done.
    pub fn finished(access: &Access, ended: &EndedJob<'_>, stats: ExecutionStats) -> Entry {
        Entry::new(access.owner(), EndedBy::Finished, ended, stats)
    }

    /// Creates the entry of a job of a submit file that its user removes.
    pub fn removed(access: &Access, ended: &EndedJob<'_>) -> Entry {
        Entry::new(access.owner(), EndedBy::Removed, ended, ExecutionStats::default())
    }

    /// Creates the entry of a job that a user cancels through the protocol. Requests of the protocol
    /// name no team, so the entry goes to the owner's account, whoever cancelled the job. Returns
    /// `None` if `visible` and `owner` refer to different jobs.
    pub fn withdrawn(visible: &VisibleJob, owner: &Owner, ended: &EndedJob<'_>) -> Option<Entry> {
        (visible.job() == owner.job())
            .then(|| Entry::new(owner, EndedBy::Withdrawn, ended, ExecutionStats::default()))
    }

    fn new(owner: &Owner, ended_by: EndedBy, ended: &EndedJob<'_>, stats: ExecutionStats) -> Entry {
        Entry::from_parts(owner.team().clone(), ended_by, ended, stats)
    }

    /// Creates an entry from the fields stored on a page.
    pub(crate) fn from_parts(
        team: Team,
        ended_by: EndedBy,
        ended: &EndedJob<'_>,
        stats: ExecutionStats,
    ) -> Entry {
        Entry {
            team,
            class: Arc::from(ended.class),
            ended_by,
            accepted_ms: ended.accepted_ms,
            ended_ms: ended.ended_ms,
            tasks: ended.tasks,
            stats,
        }
    }

    /// The team that owns the job.
    pub fn team(&self) -> &Team {
        &self.team
    }

    /// How the job ended.
    pub fn ended_by(&self) -> EndedBy {
        self.ended_by
    }

    /// The day on which the job ended, in days since the Unix epoch.
    pub fn day(&self) -> u32 {
        (self.ended_ms / DAY_MS).min(u64::from(u32::MAX)) as u32
    }

    /// A checksum of the job and its outcome. Sums of checksums distinguish sets of ended jobs.
    pub(crate) fn checksum(&self, job: &str) -> u64 {
        let bytes = job.bytes().chain([u8::from(self.ended_by.is_finished())]);
        digest(bytes) & ((1 << CHECKSUM_BITS) - 1)
    }
}

/// 64-bit FNV-1a. Stored checksums and keys need the same digest in every build.
pub(crate) fn digest(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
