//! What a place costs by the one measure of [`indigopath_image_locality`]: expected seconds in which a
//! replica is not up.

use super::pass::{ImageFetch, MachineCapacity, Pass, TaskRequirements};
use crate::allocations::Attempt;
use crate::constants::{MIN_REMAINING_FETCH_S, PREEMPT_FOR_IMAGE_MAX_S, PREEMPT_FOR_IMAGE_S, SECOND_MS};
use crate::protocol::Shape;
use indigopath_image_locality::constants::BATCH_SECONDS;
use indigopath_image_locality::{CacheState, Choice, Cost, Evicted, Fetching, cost, waits_for_others};

/// How much a fetch under way holds up: a replica counts 1, another task less.
pub(super) fn fetch_weight(attempt: &Attempt) -> f64 {
    // Only a service's task has no run time.
    if attempt.estimate_s > 0.0 {
        1.0 / BATCH_SECONDS
    } else {
        1.0
    }
}

impl<'a> Pass<'a> {
    /// Computes for each image what it costs if one of its copies is evicted.
    pub(super) fn compute_eviction_costs(&mut self) {
        for image in self.capacities.iter().flat_map(|capacity| &capacity.images) {
            if let Some(known) = self.images.get_mut(*image) {
                known.copies += 1;
            }
        }
        let fetch_s_per_gb = self
            .types
            .iter()
            .map(|known| known.fetch_s(1.0))
            .fold(0.0, f64::max);
        let statistics = self.cluster.image_statistics;
        self.images.update_all(|name, known| {
            let evicted = Evicted {
                alone_s: known.size_gb * fetch_s_per_gb,
                starts_per_s: statistics.starts_per_s(name),
                copies: known.copies,
            };
            known.eviction_cost_s = evicted.cost_s();
        });
    }

    /// What a fetch alone takes there, in s.
    fn uncontended_fetch_s(&self, capacity: &MachineCapacity<'_>, gb: f64) -> f64 {
        capacity.machine_type.map_or(gb, |machine_type| {
            self.cluster
                .image_statistics
                .rates()
                .alone_s(&machine_type.name, machine_type.fetch_s(gb))
        })
    }

    /// How much longer a fetch under way takes, in s.
    fn fetch_remaining_s(&self, capacity: &MachineCapacity<'_>, fetch: &ImageFetch) -> f64 {
        let gb = self.images.get(fetch.image).size_gb;
        let waited_s = self.cluster.now.saturating_sub(fetch.since) as f64 / SECOND_MS as f64;
        (self.uncontended_fetch_s(capacity, gb) - waited_s).max(MIN_REMAINING_FETCH_S)
    }

    /// The other fetches under way there, for a task of the job.
    fn others(&self, requirements: &TaskRequirements<'_>, capacity: &MachineCapacity<'_>) -> Vec<Fetching> {
        let others = capacity
            .fetching
            .iter()
            .filter(|fetch| Some(fetch.image) != requirements.image);
        others
            .map(|fetch| Fetching {
                left_s: self.fetch_remaining_s(capacity, fetch),
                waiting: fetch.waiting,
            })
            .collect()
    }

    /// The place as the measure sees it.
    fn choice<'o>(
        &self,
        requirements: &TaskRequirements<'_>,
        machine_index: usize,
        others: &'o [Fetching],
    ) -> Choice<'o> {
        let capacity = &self.capacities[machine_index];
        let gb = requirements.job.spec.image_gb;
        let held = requirements
            .image
            .is_some_and(|image| capacity.images.contains(&image));
        let own = requirements
            .image
            .and_then(|image| capacity.fetching.iter().find(|fetch| fetch.image == image));
        let kind = capacity.machine_type.map_or("", |known| &known.name);
        let mut choice = Choice {
            // What is thought to be there is taken for there: the cache's order is known.
            cache_state: if held && own.is_none() {
                CacheState::Certain
            } else {
                CacheState::Absent
            },
            alone_s: self.uncontended_fetch_s(capacity, gb),
            under_way_s: own.map(|fetch| self.fetch_remaining_s(capacity, fetch)),
            others,
            sharing: self.cluster.image_statistics.rates().sharing(kind),
            evicts_s: if held {
                0.0
            } else {
                self.eviction_cost_s(capacity, gb)
            },
            ..Choice::default()
        };
        if requirements.job.spec.shape == Shape::Service {
            let there = capacity.running.iter();
            let copies = requirements
                .image
                .map_or(0, |image| self.images.get(image).copies);
            choice.machine_loss = self.cluster.image_statistics.loss_rate(capacity.machine.spot);
            choice.beside = there
                .filter(|running| running.attempt.task.job == requirements.job.spec.id)
                .count() as u32;
            choice.copy_elsewhere = copies > u32::from(held);
        }
        choice
    }

    /// What the place costs a task of the job, in s in which a replica is not up; for other tasks,
    /// in s of their own.
    pub(super) fn downtime(&self, requirements: &TaskRequirements<'_>, machine_index: usize) -> Cost {
        let others = self.others(requirements, &self.capacities[machine_index]);
        let mut downtime = cost(&self.choice(requirements, machine_index, &others));
        let weight = downtime_weight(requirements);
        downtime.delay_s *= weight;
        downtime.evict_s *= weight;
        downtime
    }

    /// What a fetch of so many GB evicts, in s in which replicas are not up.
    fn eviction_cost_s(&self, capacity: &MachineCapacity<'_>, gb: f64) -> f64 {
        let Some(known) = capacity.machine_type else {
            return 0.0;
        };
        let size = |image: &u32| self.images.get(*image).size_gb;
        let mut over = capacity.images.iter().map(size).sum::<f64>() + gb - known.cache_gb;
        let mut sum = 0.0;
        for image in &capacity.images {
            if over <= 0.0 {
                break;
            }
            over -= size(image);
            sum += self.images.get(*image).eviction_cost_s;
        }
        sum
    }

    /// Whether its image lies there, or will as soon as it could anywhere.
    pub(super) fn image_arrives_soonest(
        &self,
        requirements: &TaskRequirements<'_>,
        machine_index: usize,
    ) -> bool {
        let capacity = &self.capacities[machine_index];
        requirements
            .image
            .is_some_and(|image| capacity.images.contains(&image))
            && self.fetch_s(requirements, machine_index)
                <= self.uncontended_fetch_s(capacity, requirements.job.spec.image_gb)
    }

    /// Work, in s of a task, that may be lost to start a task beside its image rather than there.
    pub(super) fn preemption_budget_s(
        &self,
        requirements: &TaskRequirements<'_>,
        machine_index: usize,
    ) -> f64 {
        if !self.cluster.image_statistics.is_enabled() || requirements.job.spec.shape != Shape::Service {
            return PREEMPT_FOR_IMAGE_S;
        }
        (self.downtime(requirements, machine_index).total_s() * BATCH_SECONDS)
            .clamp(PREEMPT_FOR_IMAGE_S, PREEMPT_FOR_IMAGE_MAX_S)
    }

    /// Whether a task had better wait than start there: its fetch would hold others up.
    pub(super) fn should_defer_start(
        &self,
        requirements: &TaskRequirements<'_>,
        machine_index: usize,
    ) -> bool {
        if !self.cluster.image_statistics.is_enabled() || self.capacities[machine_index].fetching.is_empty() {
            return false;
        }
        let others = self.others(requirements, &self.capacities[machine_index]);
        waits_for_others(
            &self.choice(requirements, machine_index, &others),
            downtime_weight(requirements),
        )
    }
}

/// What a second in which a replica is not up counts against one of the job's tasks.
fn downtime_weight(requirements: &TaskRequirements<'_>) -> f64 {
    match requirements.job.spec.shape {
        Shape::Service => 1.0,
        Shape::Array | Shape::Gang => BATCH_SECONDS,
    }
}

/// Notes that a task waits for a fetch; begins it if it is none yet.
pub(super) fn record_fetch(fetching: &mut Vec<ImageFetch>, new: ImageFetch) {
    match fetching.iter_mut().find(|fetch| fetch.image == new.image) {
        Some(fetch) => {
            fetch.since = fetch.since.min(new.since);
            fetch.waiting += new.waiting;
        }
        None => fetching.push(new),
    }
}
