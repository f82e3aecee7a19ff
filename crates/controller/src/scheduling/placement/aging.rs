//! Aging: protects overdue work from starvation.
//!
//! Overdue work can meet no objective of its class any more, so it is ordered after all work that still can.
//! Under overload it would never start. One start in five therefore goes to overdue work, ahead of other work
//! of the same precedence, and machines are reserved for overdue gangs.
//!
//! The share is limited: if overdue work always went first, all work would soon be overdue.

use super::ClusterSnapshot;
use super::pass::Pass;
use super::queue_order::{QueueEntry, start_targets};
use crate::constants::{AGING_AFTER_MS, AGING_CREDIT_PER_START, AGING_MAX_CREDIT, AGING_MAX_DEBT};
use crate::model::{Job, JobId, Timestamp};
use crate::protocol::Shape;
use crate::settings::Deployment;
use std::cmp::Reverse;
use std::collections::HashMap;

/// The number of overdue tasks that may go first. Negative values are debt.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AgingCredit(f64);

impl AgingCredit {
    /// Records the placement of a task of the job: other work earns credit, overdue work uses it up.
    pub fn record_placement(&mut self, job: &Job, deployment: &Deployment, now: Timestamp) {
        let credit_change = if is_overdue(job, deployment, now) {
            -1.0
        } else {
            AGING_CREDIT_PER_START
        };
        self.0 = (self.0 + credit_change).clamp(-AGING_MAX_DEBT, AGING_MAX_CREDIT);
    }

    /// Returns the number of tasks that may go first now.
    fn credits(self) -> u32 {
        // The cast saturates: debt yields no credits.
        self.0 as u32
    }
}

/// Whether the job is older than [`AGING_AFTER_MS`] and can meet no objective of its class any more.
fn is_overdue(job: &Job, deployment: &Deployment, now: Timestamp) -> bool {
    let is_old = job.spec.shape != Shape::Service && job.age_ms(now) >= AGING_AFTER_MS;
    let targets = start_targets(job, deployment, now);
    is_old && targets.latest_s.is_some() && targets.next_s.is_none()
}

impl<'a> Pass<'a> {
    /// Splits as many tasks as there are credits off the entries of the oldest overdue jobs of each
    /// precedence. A gang needs only one credit, since a part of it cannot run; its other tasks become debt.
    pub(super) fn aged_work_first(&self, order: Vec<QueueEntry<'a>>) -> Vec<QueueEntry<'a>> {
        let credits = self.cluster.aging_credit.credits();
        if credits == 0 {
            return order;
        }
        let tasks_by_entry = self.overdue_tasks(&order, credits);
        let mut split_order = Vec::with_capacity(order.len() + tasks_by_entry.len());
        for entry in order {
            let Some(tasks) = tasks_by_entry.get(&(&entry.job.spec.id, entry.skip)).copied() else {
                split_order.push(entry);
                continue;
            };
            split_order.push(QueueEntry {
                overdue: true,
                tasks,
                ..entry
            });
            split_order.extend(entry.remainder_after(tasks));
        }
        split_order
    }

    /// Returns how many tasks of each entry, by job and first task, go first.
    fn overdue_tasks(&self, order: &[QueueEntry<'a>], credits: u32) -> HashMap<(&'a JobId, u32), u32> {
        let cluster: &ClusterSnapshot<'_> = self.cluster;
        let mut overdue: Vec<QueueEntry<'a>> = order
            .iter()
            .filter(|entry| is_overdue(entry.job, cluster.deployment, cluster.now) && self.may_start(entry))
            .copied()
            .collect();
        overdue.sort_by_cached_key(|entry| {
            let age_ms = entry.job.age_ms(cluster.now);
            (
                entry.precedence(cluster),
                Reverse(age_ms),
                entry.job.spec.id.clone(),
            )
        });
        let mut tasks_by_entry = HashMap::new();
        for group in overdue.chunk_by(|entry, next| entry.has_same_precedence(next, cluster)) {
            let mut remaining = credits;
            for entry in group {
                if remaining == 0 {
                    break;
                }
                let tasks = entry.first_tasks(remaining);
                remaining -= match entry.job.spec.shape {
                    Shape::Gang => 1,
                    Shape::Array | Shape::Service => tasks,
                };
                tasks_by_entry.insert((&entry.job.spec.id, entry.skip), tasks);
            }
        }
        tasks_by_entry
    }

    /// Whether the team's limit allows the job to start. Otherwise it would block the credits of others.
    fn may_start(&self, entry: &QueueEntry<'_>) -> bool {
        let gang_size = entry.job.gang_size();
        self.quota_left(&entry.job.spec, gang_size) >= gang_size
    }
}
