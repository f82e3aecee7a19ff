//! The live jobs, as known from the records and the watch, and the progress counts shown to users.

use crate::allocations::Machine;
use crate::constants::TASK_COUNT_INTERVAL_MS;
use crate::job_api::TaskCounts;
use crate::model::{Job, JobId, Timestamp};
use crate::protocol::TaskState;
use std::borrow::Borrow;
use std::collections::{BTreeMap, btree_map};
use std::ops::RangeInclusive;

/// Live jobs by id, and the number of done and running tasks of each.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    task_counts: TaskCounts,
    counted_at: Timestamp,
    /// Number of notices received from peers in this term that a job has ended.
    end_notices: u64,
}

impl JobTable {
    /// All live jobs, read-only.
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

    /// The live job with this id, mutable.
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

    /// The live jobs in the order of their ids, mutable.
    pub(super) fn values_mut(&mut self) -> btree_map::ValuesMut<'_, JobId, Job> {
        self.jobs.values_mut()
    }

    /// The live jobs with ids in a range, such as those of one submit cluster.
    pub(super) fn range(&self, ids: RangeInclusive<JobId>) -> btree_map::Range<'_, JobId, Job> {
        self.jobs.range(ids)
    }

    /// As [`JobTable::range`], with mutable jobs.
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
        self.task_counts.remove(id);
        Some(job)
    }

    /// Number of tasks that wait for a machine, of either parked or other jobs.
    pub(super) fn waiting_tasks(&self, parked: bool) -> usize {
        let jobs = self.jobs.values().filter(|job| job.parked == parked);
        jobs.map(|job| job.waiting.len()).sum()
    }

    /// Done and running tasks of each job, as of the last count.
    pub(super) fn task_counts(&self) -> &TaskCounts {
        &self.task_counts
    }

    /// Counts done and running tasks, at bounded intervals.
    pub(super) fn update_task_counts<'m>(
        &mut self,
        machines: impl Iterator<Item = &'m Machine>,
        now: Timestamp,
    ) {
        if now < self.counted_at + TASK_COUNT_INTERVAL_MS {
            return;
        }
        self.counted_at = now;
        self.task_counts.clear();
        for job in self.jobs.values() {
            self.task_counts
                .insert(job.spec.id.clone(), (job.done.len() as u32, 0));
        }
        for attempt in machines.flat_map(|machine| &machine.attempts) {
            if matches!(
                attempt.reported_state,
                Some(TaskState::Running | TaskState::Saving)
            ) && let Some((_, running)) = self.task_counts.get_mut(&attempt.task.job)
            {
                *running += 1;
            }
        }
    }

    /// Returns the number of a new notice that a job has ended.
    pub(super) fn next_end_notice(&mut self) -> u64 {
        self.end_notices += 1;
        self.end_notices
    }

    /// Number of the latest notice that a job has ended.
    pub(super) fn end_notices(&self) -> u64 {
        self.end_notices
    }
}
