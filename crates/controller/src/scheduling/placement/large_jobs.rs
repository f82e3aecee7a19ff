//! Large jobs that have waited for long without having begun: they have their turn before their peers.
//!
//! Nothing of this is persisted: a new leader derives the same from the jobs' sizes and ages.

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

/// Whether the job has not begun, as far as this leader knows. A gang that a former leader saw running and
/// stopped counts as well.
fn has_not_begun(job: &Job, task_locations: &TaskLocations) -> bool {
    match job.spec.shape {
        Shape::Gang => !job.began && job.gang.is_none_or(|gang| gang.open()),
        Shape::Array | Shape::Service => {
            job.done.is_empty()
                && task_locations
                    .get(&job.spec.id)
                    .is_none_or(|task_locations| task_locations.is_empty())
        }
    }
}

/// The number of tasks from which on a job is one of the larger of its class: the [`LARGE_JOB_SHARE`] of its live jobs.
fn large_from(mut sizes: Vec<u32>) -> u32 {
    let at = (sizes.len() as f64 * (1.0 - LARGE_JOB_SHARE)) as usize;
    if at >= sizes.len() {
        return u32::MAX;
    }
    *sizes.select_nth_unstable(at).1
}

/// The larger jobs of each class that are at least this old, in ms, and have not begun; the oldest first.
pub fn large_not_begun<'a>(
    jobs: &'a BTreeMap<JobId, Job>,
    task_locations: &TaskLocations,
    least_age_ms: Timestamp,
    now: Timestamp,
) -> Vec<&'a Job> {
    let waits = |job: &&Job| {
        !job.waiting.is_empty()
            && !job.parked
            && !job.to_blame()
            && job.age_ms(now) >= least_age_ms
            && has_not_begun(job, task_locations)
    };
    let mut late: Vec<&Job> = jobs.values().filter(waits).collect();
    if late.is_empty() {
        return late;
    }
    let mut sizes: HashMap<&str, Vec<u32>> = HashMap::new();
    for job in &late {
        sizes.entry(&job.spec.class).or_default();
    }
    for job in jobs.values() {
        if let Some(sizes) = sizes.get_mut(job.spec.class.as_str()) {
            sizes.push(job.spec.tasks);
        }
    }
    let least: HashMap<&str, u32> = sizes
        .into_iter()
        .map(|(class, sizes)| (class, large_from(sizes)))
        .collect();
    late.retain(|job| {
        least
            .get(job.spec.class.as_str())
            .is_some_and(|least| job.spec.tasks >= *least)
    });
    late.sort_by_key(|job| (Reverse(job.age_ms(now)), &job.spec.id));
    late
}

/// Large jobs that go before their peers: those that have waited for [`LARGE_JOB_PRIORITY_AFTER_MS`] and have
/// not begun, the oldest of each class.
///
/// What can meet no objective any more otherwise waits like the most patient of its class, and a
/// large gang needs at once what small ones take one by one: it came last for ever.
pub(super) fn overdue_large_jobs<'a>(cluster: &ClusterSnapshot<'a>) -> HashSet<&'a JobId> {
    let mut by_class: HashMap<&str, usize> = HashMap::new();
    let late = large_not_begun(
        cluster.jobs,
        cluster.task_locations,
        LARGE_JOB_PRIORITY_AFTER_MS,
        cluster.now,
    );
    let first = late.into_iter().filter(|job| {
        let before = by_class.entry(&job.spec.class).or_default();
        *before += 1;
        *before <= PRIORITIZED_LARGE_JOBS_PER_CLASS
    });
    // Classes are named by users: there may be any number.
    first
        .take(PRIORITIZED_LARGE_JOBS)
        .map(|job| &job.spec.id)
        .collect()
}

/// Splits off the entries of these jobs what goes first: all of a gang, and of others as much as lets them
/// begin. Small jobs end sooner, and leave the rest of the capacity to all.
pub(super) fn overdue_large_first<'a>(
    order: Vec<QueueEntry<'a>>,
    first: &HashSet<&JobId>,
) -> Vec<QueueEntry<'a>> {
    if first.is_empty() {
        return order;
    }
    let mut split = Vec::with_capacity(order.len() + first.len());
    for entry in order {
        if !first.contains(&entry.job.spec.id) {
            split.push(entry);
            continue;
        }
        let tasks = entry.tasks_of(PRIORITIZED_LARGE_JOB_TASKS);
        split.push(QueueEntry {
            large_first: true,
            tasks,
            ..entry
        });
        split.extend(entry.remainder_after(tasks));
    }
    split
}

#[cfg(test)]
mod tests;
