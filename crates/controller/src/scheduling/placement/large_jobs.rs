//! Large jobs that have waited a long time without starting: they go before other jobs of their priority.
//!
//! None of this is persisted: a new leader derives it from the jobs' sizes and ages.

use super::ClusterSnapshot;
use super::queue_order::QueueEntry;
use crate::constants::{
    LARGE_JOB_PRIORITY_AFTER_MS, LARGE_JOB_SHARE, PRIORITIZED_LARGE_JOB_TASKS, PRIORITIZED_LARGE_JOBS,
    PRIORITIZED_LARGE_JOBS_PER_CLASS,
};
use crate::model::{Job, JobId, TaskLocations, Timestamp};
use crate::protocol::Shape;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Whether the job has not started, as far as this leader knows. This includes a gang that only a former
/// leader saw running and that was stopped since.
fn has_not_started(job: &Job, task_locations: &TaskLocations) -> bool {
    match job.spec.shape {
        Shape::Gang => !job.has_started && job.gang.is_none_or(|gang| gang.accepts_tasks()),
        Shape::Array | Shape::Service => {
            job.done.is_empty()
                && task_locations
                    .get(&job.spec.id)
                    .is_none_or(|locations| locations.is_empty())
        }
    }
}

/// Returns the number of tasks from which on a job is one of the largest of its class, which are
/// [`LARGE_JOB_SHARE`] of the live jobs, given the sizes of all of them.
fn large_job_threshold(mut sizes: Vec<u32>) -> u32 {
    let threshold_index = (sizes.len() as f64 * (1.0 - LARGE_JOB_SHARE)) as usize;
    if threshold_index >= sizes.len() {
        return u32::MAX;
    }
    *sizes.select_nth_unstable(threshold_index).1
}

/// Returns the large jobs of each class that are at least this old, in ms, and have not started, the oldest
/// first.
pub fn large_unstarted_jobs<'a>(
    jobs: &'a BTreeMap<JobId, Job>,
    task_locations: &TaskLocations,
    min_age_ms: Timestamp,
    now: Timestamp,
) -> Vec<&'a Job> {
    let is_waiting = |job: &&Job| {
        !job.waiting.is_empty()
            && !job.parked
            && !job.fails_on_many_machines()
            && job.age_ms(now) >= min_age_ms
            && has_not_started(job, task_locations)
    };
    let mut unstarted: Vec<&Job> = jobs.values().filter(is_waiting).collect();
    if unstarted.is_empty() {
        return unstarted;
    }
    let mut sizes: HashMap<&str, Vec<u32>> = HashMap::new();
    for job in &unstarted {
        sizes.entry(&job.spec.class).or_default();
    }
    for job in jobs.values() {
        if let Some(sizes) = sizes.get_mut(job.spec.class.as_str()) {
            sizes.push(job.spec.tasks);
        }
    }
    let min_size_by_class: HashMap<&str, u32> = sizes
        .into_iter()
        .map(|(class, sizes)| (class, large_job_threshold(sizes)))
        .collect();
    unstarted.retain(|job| {
        min_size_by_class
            .get(job.spec.class.as_str())
            .is_some_and(|min_size| job.spec.tasks >= *min_size)
    });
    unstarted.sort_by_key(|job| (Reverse(job.age_ms(now)), &job.spec.id));
    unstarted
}

/// Returns the large jobs that go before others of their priority: the oldest of each class that have waited
/// for [`LARGE_JOB_PRIORITY_AFTER_MS`] without starting.
///
/// Without this, a job that can meet no objective any more is ordered like the most patient of its class, and
/// a large gang needs at once the capacity that small jobs take one by one, so it never started.
pub(super) fn prioritized_large_jobs<'a>(cluster: &ClusterSnapshot<'a>) -> HashSet<&'a JobId> {
    let mut count_by_class: HashMap<&str, usize> = HashMap::new();
    let unstarted = large_unstarted_jobs(
        cluster.jobs,
        cluster.task_locations,
        LARGE_JOB_PRIORITY_AFTER_MS,
        cluster.now,
    );
    let oldest = unstarted.into_iter().filter(|job| {
        let count = count_by_class.entry(&job.spec.class).or_default();
        *count += 1;
        *count <= PRIORITIZED_LARGE_JOBS_PER_CLASS
    });
    // Users name the classes, so their number is unbounded.
    oldest
        .take(PRIORITIZED_LARGE_JOBS)
        .map(|job| &job.spec.id)
        .collect()
}

/// Splits the tasks that go first off the entries of these jobs: all tasks of a gang, and of other jobs just
/// enough to let them start. Small jobs end sooner, so the rest of the capacity stays open to all.
pub(super) fn large_jobs_first<'a>(
    order: Vec<QueueEntry<'a>>,
    large_jobs: &HashSet<&JobId>,
) -> Vec<QueueEntry<'a>> {
    if large_jobs.is_empty() {
        return order;
    }
    let mut split_order = Vec::with_capacity(order.len() + large_jobs.len());
    for entry in order {
        if !large_jobs.contains(&entry.job.spec.id) {
            split_order.push(entry);
            continue;
        }
        let tasks = entry.first_tasks(PRIORITIZED_LARGE_JOB_TASKS);
        split_order.push(QueueEntry {
            large_first: true,
            tasks,
            ..entry
        });
        split_order.extend(entry.remainder_after(tasks));
    }
    split_order
}

#[cfg(test)]
mod tests;
