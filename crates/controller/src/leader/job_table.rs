//! The live jobs, as this term knows them from the records and the watch, with the progress
//! counts that are shown to users.

use crate::allocations::Machine;
use crate::constants::TASK_COUNT_INTERVAL_MS;
use crate::job_api::TaskCounts;
use crate::model::{Job, JobId, Timestamp};
use crate::protocol::TaskState;
use std::borrow::Borrow;
use std::collections::{BTreeMap, btree_map};
use std::ops::RangeInclusive;

/// Every live job by its id, and how many of its tasks are done and running.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    counts: TaskCounts,
    counted_at: Timestamp,
    /// How many notices of jobs that ended elsewhere peers have sent in this term.
    end_notices: u64,
}

impl JobTable {
    /// All live jobs, for functions that only read them.
    pub(super) fn as_map(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// The live job with this id.
    pub(super) fn get<Q: Ord + ?Sized>(&self, id: &Q) -> Option<&Job>
    where
        JobId: Borrow<Q>,
    {
        self.jobs.get(id)
    }

    /// The live job with this id, to be changed.
    pub(super) fn get_mut<Q: Ord + ?Sized>(&mut self, id: &Q) -> Option<&mut Job>
    where
        JobId: Borrow<Q>,
    {
        self.jobs.get_mut(id)
    }

    /// Whether a job with this id is live.
    pub(super) fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Number of live jobs.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// The live jobs in the order of their ids.
    pub(super) fn values(&self) -> btree_map::Values<'_, JobId, Job> {
        self.jobs.values()
    }

    /// The live jobs in the order of their ids, to be changed.
    pub(super) fn values_mut(&mut self) -> btree_map::ValuesMut<'_, JobId, Job> {
        self.jobs.values_mut()
    }

    /// The live jobs whose ids lie in a range: those of one cluster of submit files.
    pub(super) fn range(&self, ids: RangeInclusive<JobId>) -> btree_map::Range<'_, JobId, Job> {
        self.jobs.range(ids)
    }

    /// As [`JobTable::range`], with the jobs to be changed.
    pub(super) fn range_mut(&mut self, ids: RangeInclusive<JobId>) -> btree_map::RangeMut<'_, JobId, Job> {
        self.jobs.range_mut(ids)
    }

    /// Adds a job that was accepted.
    pub(super) fn insert(&mut self, job: Job) {
        self.jobs.insert(job.spec.id.clone(), job);
    }

    /// Removes a job that has ended, with its counts.
    pub(super) fn remove(&mut self, id: &JobId) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        self.counts.remove(id);
        Some(job)
    }

    /// Tasks that wait for a machine, of jobs that are parked or of those that are not.
    pub(super) fn waiting_tasks(&self, parked: bool) -> usize {
        let jobs = self.jobs.values().filter(|job| job.parked == parked);
        jobs.map(|job| job.waiting.len()).sum()
    }

    /// Tasks done and running of each job, as of the last count.
    pub(super) fn counts(&self) -> &TaskCounts {
        &self.counts
    }

    /// Counts the tasks that are done and running, at bounded intervals.
    pub(super) fn count_when_due<'m>(&mut self, machines: impl Iterator<Item = &'m Machine>, now: Timestamp) {
        if now < self.counted_at + TASK_COUNT_INTERVAL_MS {
            return;
        }
        self.counted_at = now;
        self.counts.clear();
        for job in self.jobs.values() {
            self.counts
                .insert(job.spec.id.clone(), (job.done.len() as u32, 0));
        }
        for attempt in machines.flat_map(|machine| &machine.attempts) {
            if matches!(
                attempt.reported_state,
                Some(TaskState::Running | TaskState::Saving)
            ) && let Some((_, running)) = self.counts.get_mut(&attempt.task.job)
            {
                *running += 1;
            }
        }
    }

    /// Numbers one more notice of a peer that a job has ended.
    pub(super) fn next_end_notice(&mut self) -> u64 {
        self.end_notices += 1;
        self.end_notices
    }

    /// The number of the latest notice of a peer that a job has ended.
    pub(super) fn end_notices(&self) -> u64 {
        self.end_notices
    }
}
