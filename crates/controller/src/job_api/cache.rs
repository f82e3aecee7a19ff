//! What a node remembers of jobs between requests: how ended jobs ended, and at which version live
//! jobs were last seen. Everything here may be forgotten; it is then read from the state service.

use crate::constants::LIVE_JOB_CACHE_SIZE;
use crate::expiring_cache::ExpiringCache;
use crate::model::JobId;
use crate::storage::records::{EndedRecord, Ending};
use indigopath_accounting::Team;
use std::collections::{HashMap, HashSet};

/// How a job ended, as this node remembers it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TerminalState {
    pub end: Ending,
    pub tasks: u32,
    /// The team that owned the job, where its record names one.
    pub team: Option<Team>,
}

impl From<&EndedRecord> for TerminalState {
    fn from(record: &EndedRecord) -> TerminalState {
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
    /// Version of its record, only ever used in a comparison: it may be out of date.
    pub version: u64,
    pub team: Team,
}

/// Bounded caches of live and ended jobs.
#[derive(Debug, Default)]
pub(super) struct JobCache {
    ended: ExpiringCache<TerminalState>,
    live: HashMap<JobId, LiveJob>,
    /// Jobs that were not live any more when reading their end took too long. Their ends are read
    /// first the next time: where the state service answers slowly there is time for one call and
    /// not for two, so polls of ended jobs would fail while polls of live ones succeed.
    possibly_ended: HashSet<JobId>,
}

impl JobCache {
    /// How the job ended, if this node knows that it did.
    pub(super) fn ended(&self, job: &JobId) -> Option<&TerminalState> {
        self.ended.get(job)
    }

    /// Whether this node knows that the job has ended.
    pub(super) fn has_ended(&self, job: &JobId) -> bool {
        self.ended.contains_key(job)
    }

    /// The job as it was last seen live.
    pub(super) fn live(&self, job: &JobId) -> Option<&LiveJob> {
        self.live.get(job)
    }

    /// Whether another live job can be kept without forgetting others.
    pub(super) fn has_room_for_live(&self) -> bool {
        self.live.len() < LIVE_JOB_CACHE_SIZE
    }

    /// Records that the job was read as live. A known end is final and stays.
    pub(super) fn record_live(&mut self, job: &JobId, version: u64, team: Team) {
        if self.has_ended(job) {
            return;
        }
        if !self.has_room_for_live() {
            self.live.clear();
        }
        self.live.insert(job.clone(), LiveJob { version, team });
    }

    /// The job's record has changed or is gone: its version is of no use any more.
    pub(super) fn forget_live(&mut self, job: &JobId) {
        self.live.remove(job);
    }

    /// Records a committed end. Ends never change, so they may be kept.
    pub(super) fn record_end(&mut self, job: JobId, ended: TerminalState) {
        self.live.remove(&job);
        self.possibly_ended.remove(&job);
        self.ended.insert(job, ended);
    }

    /// The job may have ended: its end is read first the next time.
    pub(super) fn suspect_ended(&mut self, job: JobId) {
        if self.possibly_ended.len() >= LIVE_JOB_CACHE_SIZE {
            self.possibly_ended.clear();
        }
        self.possibly_ended.insert(job);
    }

    /// No end of the job was found.
    pub(super) fn clear_suspicion(&mut self, job: &JobId) {
        self.possibly_ended.remove(job);
    }

    /// Whether the job's end is to be read before its live record.
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
