//! Bounded caches of job state: how ended jobs ended, and at which version live jobs were last read.
//! Every entry may be evicted; it is then read from the state service again.

use crate::constants::LIVE_JOB_CACHE_SIZE;
use crate::expiring_cache::ExpiringCache;
use crate::model::JobId;
use crate::storage::records::{EndedJobRecord, Ending};
use indigopath_accounting::Team;
use std::collections::{HashMap, HashSet};

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TerminalState {
    pub end: Ending,
    pub tasks: u32,
    /// The team that owned the job, if its record names one.
    pub team: Option<Team>,
}

impl From<&EndedJobRecord> for TerminalState {
    fn from(record: &EndedJobRecord) -> TerminalState {
        TerminalState {
            end: record.end,
            tasks: record.tasks,
            team: record.entry().map(|entry| entry.team().clone()),
        }
    }
}

/// A live job as it was last read.
#[derive(Debug)]
pub(super) struct LiveJob {
    /// Version of its record. It may be outdated, so it is only used in comparisons.
    pub version: u64,
    pub team: Team,
}

/// Bounded caches of live and ended jobs.
#[derive(Debug, Default)]
pub(super) struct JobCache {
    ended: ExpiringCache<TerminalState>,
    live: HashMap<JobId, LiveJob>,
    /// Jobs whose live record was absent and whose end could not be read in time. The next request reads
    /// the end record first: while the state service responds slowly there is time for one call but not
    /// for two, so polls of ended jobs would fail while polls of live ones succeed.
    possibly_ended: HashSet<JobId>,
}

impl JobCache {
    /// How the job ended, if its end is cached.
    pub(super) fn ended(&self, job: &JobId) -> Option<&TerminalState> {
        self.ended.get(job)
    }

    /// Whether the job's end is cached.
    pub(super) fn has_ended(&self, job: &JobId) -> bool {
        self.ended.contains_key(job)
    }

    /// The job as it was last read live.
    pub(super) fn live(&self, job: &JobId) -> Option<&LiveJob> {
        self.live.get(job)
    }

    /// Whether another live job can be cached without evicting others.
    pub(super) fn has_room_for_live(&self) -> bool {
        self.live.len() < LIVE_JOB_CACHE_SIZE
    }

    /// Caches a live job; ignored if its end is known, because ends are final.
    pub(super) fn record_live(&mut self, job: &JobId, version: u64, team: Team) {
        if self.has_ended(job) {
            return;
        }
        if !self.has_room_for_live() {
            self.live.clear();
        }
        self.live.insert(job.clone(), LiveJob { version, team });
    }

    /// Removes a live job whose record has changed or is gone.
    pub(super) fn forget_live(&mut self, job: &JobId) {
        self.live.remove(job);
    }

    /// Caches a committed end, which never changes.
    pub(super) fn record_end(&mut self, job: JobId, ended: TerminalState) {
        self.live.remove(&job);
        self.possibly_ended.remove(&job);
        self.ended.insert(job, ended);
    }

    /// Records that the job may have ended, so that its end is read first the next time.
    pub(super) fn suspect_ended(&mut self, job: JobId) {
        if self.possibly_ended.len() >= LIVE_JOB_CACHE_SIZE {
            self.possibly_ended.clear();
        }
        self.possibly_ended.insert(job);
    }

    /// Records that no end of the job was found.
    pub(super) fn clear_suspicion(&mut self, job: &JobId) {
        self.possibly_ended.remove(job);
    }

    /// Whether the job's end should be read before its live record.
    pub(super) fn is_possibly_ended(&self, job: &JobId) -> bool {
        self.possibly_ended.contains(job)
    }

    #[cfg(test)]
    pub(super) fn ended_len(&self) -> usize {
        self.ended.len()
    }

    #[cfg(test)]
    pub(super) fn live_len(&self) -> usize {
        self.live.len()
    }
}
