//! The accounting entry of an ended job.

use crate::access::{Access, Owner, Team, VisibleJob};
use crate::constants::{CHECKSUM_BITS, DAY_MS, MIN_LOSS_S};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// By whom, or how, a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndedBy {
    /// All of its tasks are done.
    Finished,
    /// Its user withdrew it.
    Withdrawn,
    /// The cluster of its submit file, or its proc, was removed.
    Removed,
    /// A way that only a later build knows.
    #[serde(other)]
    Other,
}

impl EndedBy {
    /// Whether the job finished, rather than was cancelled.
    pub fn is_finished(self) -> bool {
        self == EndedBy::Finished
    }
}

/// LossCause work that had run was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LossCause {
    /// The machine was lost, or its lease expired.
    Machine,
    /// The task was preempted, or its machine was to be returned.
    Stopped,
    /// The task failed.
    Failed,
    /// Another task of its gang was lost.
    Gang,
}

/// Seconds of work lost, by cause.
pub type LostSeconds = BTreeMap<LossCause, u32>;

/// What a leader observed of a job during its term. Observations of former leaders are lost.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionStats {
    /// Attempts of its tasks, at least.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Work lost, at least.
    #[serde(rename = "l", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lost: LostSeconds,
}

impl ExecutionStats {
    /// Counts one more attempt.
    pub fn record_attempt(&mut self) {
        let before = self.attempts.unwrap_or(0);
        self.attempts = Some(before.saturating_add(1));
    }

    /// Counts lost seconds of work. Less than half a second is not counted.
    pub fn record_loss(&mut self, cause: LossCause, seconds: f64) {
        if seconds >= MIN_LOSS_S {
            let lost = self.lost.entry(cause).or_default();
            *lost = lost.saturating_add(seconds.round() as u32);
        }
    }

    /// Seconds lost by all causes.
    pub fn total_lost_s(&self) -> u64 {
        self.lost.values().map(|seconds| u64::from(*seconds)).sum()
    }
}

/// The accounting entry of an ended job. It is a part of the record of the ended job, so that the
/// end and its entry are one change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The team that owned the job since it was accepted.
    #[serde(rename = "t")]
    team: Team,
    /// Class of the job.
    #[serde(rename = "c")]
    pub class: Arc<str>,
    #[serde(rename = "b")]
    ended_by: EndedBy,
    /// Time of day of the acceptance, in ms since 1970.
    #[serde(rename = "a")]
    pub accepted_ms: u64,
    /// Time of day of the end, in ms since 1970.
    #[serde(rename = "z")]
    pub ended_ms: u64,
    /// Number of its tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// What the last leader observed of it.
    #[serde(flatten)]
    pub stats: ExecutionStats,
}

/// The facts about an ended job that its entry states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedJob<'a> {
    /// Class of the job.
    pub class: &'a str,
    /// Time of day of the acceptance, in ms since 1970.
    pub accepted_ms: u64,
    /// Time of day of the end, in ms since 1970.
    pub ended_ms: u64,
    /// Number of its tasks.
    pub tasks: u32,
}

impl Entry {
    /// The entry of a job that the service ends, as all of its tasks are done.
    pub fn finished(access: &Access, ended: &EndedJob<'_>, stats: ExecutionStats) -> Entry {
        Entry::new(access.owner(), EndedBy::Finished, ended, stats)
    }

    /// The entry of a submit file's job that its user removes.
    pub fn removed(access: &Access, ended: &EndedJob<'_>) -> Entry {
        Entry::new(access.owner(), EndedBy::Removed, ended, ExecutionStats::default())
    }

    /// The entry of a job that a user withdraws by the protocol. As the protocol names no team, the
    /// entry goes to the owner's account, whoever withdrew the job. `None` if `visible` and
    /// `owner` are of different jobs.
    pub fn withdrawn(visible: &VisibleJob, owner: &Owner, ended: &EndedJob<'_>) -> Option<Entry> {
        (visible.job() == owner.job())
            .then(|| Entry::new(owner, EndedBy::Withdrawn, ended, ExecutionStats::default()))
    }

    fn new(owner: &Owner, ended_by: EndedBy, ended: &EndedJob<'_>, stats: ExecutionStats) -> Entry {
        Entry::from_parts(owner.team().clone(), ended_by, ended, stats)
    }

    /// The entry as a page states it.
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

    /// The team that owned the job.
    pub fn team(&self) -> &Team {
        &self.team
    }

    /// By whom, or how, the job ended.
    pub fn ended_by(&self) -> EndedBy {
        self.ended_by
    }

    /// The day of the end, counted from 1970.
    pub fn day(&self) -> u32 {
        (self.ended_ms / DAY_MS).min(u64::from(u32::MAX)) as u32
    }

    /// A number that differs from end to end, so that its sum tells sets of ends apart.
    pub(crate) fn checksum(&self, job: &str) -> u64 {
        let bytes = job.bytes().chain([u8::from(self.ended_by.is_finished())]);
        digest(bytes) & ((1 << CHECKSUM_BITS) - 1)
    }
}

/// FNV-1a, 64 bits. Checksums and keys on record need the same digest in every build.
pub(crate) fn digest(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
