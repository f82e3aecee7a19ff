//! Aging: protection of overdue work from starvation.
//!
//! Overdue work can meet no objective of its class any more, and so comes after all work that still can.
//! Where more work arrives than there is capacity, that was for ever. One start in five goes to overdue
//! work first, before others of its priority and standing, and machines are reserved for a gang among it.
//!
//! The share is limited: were overdue work first without a limit, all work would be overdue soon.

use super::ClusterSnapshot;
use super::pass::Pass;
use super::queue_order::{QueueEntry, start_targets};
use crate::constants::{AGING_AFTER_MS, AGING_CREDIT_PER_START, AGING_MAX_CREDIT, AGING_MAX_DEBT};
use crate::model::{Job, JobId, Timestamp};
use crate::protocol::Shape;
use crate::settings::Deployment;
use std::cmp::Reverse;
use std::collections::HashMap;

/// How many tasks of overdue work may go first.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AgingCredit(f64);

impl AgingCredit {
    /// Notes that a task of the job was placed: other work earns turns, overdue work uses them up.
    pub fn placed(&mut self, job: &Job, deployment: &Deployment, now: Timestamp) {
        let change = if is_overdue(job, deployment, now) {
            -1.0
        } else {
            AGING_CREDIT_PER_START
        };
        self.0 = (self.0 + change).clamp(-AGING_MAX_DEBT, AGING_MAX_CREDIT);
    }

    /// Tasks that may go first now.
    fn turns(self) -> u32 {
        // Saturates: while more was placed than there were turns, there is none.
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
    /// Splits off the entries of the oldest overdue jobs of each standing as many tasks as there are turns.
    /// A gang needs one turn only, as half of it is no use; what it takes beyond that is owed.
    pub(super) fn aged_work_first(&self, order: Vec<QueueEntry<'a>>) -> Vec<QueueEntry<'a>> {
        let turns = self.cluster.aging_credit.turns();
        if turns == 0 {
            return order;
        }
        let first = self.overdue_tasks(&order, turns);
        let mut split = Vec::with_capacity(order.len() + first.len());
        for entry in order {
            let Some(tasks) = first.get(&(&entry.job.spec.id, entry.skip)).copied() else {
                split.push(entry);
                continue;
            };
            split.push(QueueEntry {
                overdue: true,
                tasks,
                ..entry
            });
            split.extend(entry.remainder_after(tasks));
        }
        split
    }

    /// How many tasks of which entries, by job and first task, go first.
    fn overdue_tasks(&self, order: &[QueueEntry<'a>], turns: u32) -> HashMap<(&'a JobId, u32), u32> {
        let cluster: &ClusterSnapshot<'_> = self.cluster;
        let mut overdue: Vec<QueueEntry<'a>> = order
            .iter()
            .filter(|entry| is_overdue(entry.job, cluster.deployment, cluster.now) && self.may_start(entry))
            .copied()
            .collect();
        overdue.sort_by_cached_key(|entry| {
            let age_ms = entry.job.age_ms(cluster.now);
            (
                entry.standing(cluster),
                Reverse(age_ms),
                entry.job.spec.id.clone(),
            )
        });
        let mut first = HashMap::new();
        for peers in overdue.chunk_by(|entry, next| entry.is_peer_of(next, cluster)) {
            let mut left = turns;
            for entry in peers {
                if left == 0 {
                    break;
                }
                let tasks = entry.tasks_of(left);
                left -= match entry.job.spec.shape {
                    Shape::Gang => 1,
                    Shape::Array | Shape::Service => tasks,
                };
                first.insert((&entry.job.spec.id, entry.skip), tasks);
            }
        }
        first
    }

    /// Whether its team's limit lets the job start: else it would hold the turns of others.
    fn may_start(&self, entry: &QueueEntry<'_>) -> bool {
        let together = entry.job.together();
        self.quota_left(&entry.job.spec, together) >= together
    }
}
