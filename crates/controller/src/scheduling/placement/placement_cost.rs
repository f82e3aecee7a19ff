//! Placement costs by the measure of [`indigopath_image_locality`]: expected seconds of replica downtime.

use super::pass::{ImageFetch, MachineCapacity, Pass, TaskRequirements};
use crate::allocations::Attempt;
use crate::constants::{MIN_REMAINING_FETCH_S, PREEMPT_FOR_IMAGE_MAX_S, PREEMPT_FOR_IMAGE_S, SECOND_MS};
use crate::protocol::Shape;
use indigopath_image_locality::constants::BATCH_S_PER_DOWNTIME_S;
use indigopath_image_locality::{
    CacheState, Candidate, Cost, EvictedImage, OngoingFetch, cost, should_defer_fetch,
};

/// Returns the weight of an attempt that waits for a fetch: 1 for a replica, less for another task.
pub(super) fn fetch_weight(attempt: &Attempt) -> f64 {
    // Only tasks of services have no run-time estimate.
    if attempt.estimate_s > 0.0 {
        1.0 / BATCH_S_PER_DOWNTIME_S
    } else {
        1.0
    }
}

impl<'a> Pass<'a> {
    /// Computes the cost of evicting one copy of each image.
    pub(super) fn compute_eviction_costs(&mut self) {
        for image in self.capacities.iter().flat_map(|capacity| &capacity.images) {
            if let Some(image_info) = self.images.get_mut(*image) {
                image_info.copies += 1;
            }
        }
        let fetch_s_per_gb = self
            .types
            .iter()
            .map(|machine_type| machine_type.fetch_s(1.0))
            .fold(0.0, f64::max);
        let statistics = self.cluster.image_statistics;
        self.images.update_all(|name, image_info| {
            let evicted = EvictedImage {
                uncontended_fetch_s: image_info.size_gb * fetch_s_per_gb,
                starts_per_s: statistics.starts_per_s(name),
                copies: image_info.copies,
            };
            image_info.eviction_cost_s = evicted.cost_s();
        });
    }

    /// Returns the duration of a fetch without concurrent fetches on the machine, in s.
    fn uncontended_fetch_s(&self, capacity: &MachineCapacity<'_>, image_gb: f64) -> f64 {
        capacity.machine_type.map_or(image_gb, |machine_type| {
            self.cluster
                .image_statistics
                .rates()
                .uncontended_s(&machine_type.name, machine_type.fetch_s(image_gb))
        })
    }

    /// Returns the estimated remaining duration of a fetch in progress, in s.
    fn fetch_remaining_s(&self, capacity: &MachineCapacity<'_>, fetch: &ImageFetch) -> f64 {
        let image_gb = self.images.get(fetch.image).size_gb;
        let waited_s = self.cluster.now.saturating_sub(fetch.started_at) as f64 / SECOND_MS as f64;
        (self.uncontended_fetch_s(capacity, image_gb) - waited_s).max(MIN_REMAINING_FETCH_S)
    }

    /// Returns the fetches in progress on the machine of images other than the job's.
    fn other_fetches(
        &self,
        requirements: &TaskRequirements<'_>,
        capacity: &MachineCapacity<'_>,
    ) -> Vec<OngoingFetch> {
        let other_fetches = capacity
            .fetching
            .iter()
            .filter(|fetch| Some(fetch.image) != requirements.image);
        other_fetches
            .map(|fetch| OngoingFetch {
                remaining_s: self.fetch_remaining_s(capacity, fetch),
                waiting_replicas: fetch.waiting_replicas,
            })
            .collect()
    }

    /// Returns the inputs of the cost measure for a task of the job on the machine.
    fn cost_inputs<'o>(
        &self,
        requirements: &TaskRequirements<'_>,
        machine_index: usize,
        other_fetches: &'o [OngoingFetch],
    ) -> Candidate<'o> {
        let capacity = &self.capacities[machine_index];
        let image_gb = requirements.job.spec.image_gb;
        let has_image = requirements
            .image
            .is_some_and(|image| capacity.images.contains(&image));
        let own_fetch = requirements
            .image
            .and_then(|image| capacity.fetching.iter().find(|fetch| fetch.image == image));
        let type_name = capacity
            .machine_type
            .map_or("", |machine_type| &machine_type.name);
        let mut candidate = Candidate {
            // An image believed to be cached counts as cached, since the eviction order is known.
            cache_state: if has_image && own_fetch.is_none() {
                CacheState::Certain
            } else {
                CacheState::Absent
            },
            uncontended_fetch_s: self.uncontended_fetch_s(capacity, image_gb),
            own_fetch_remaining_s: own_fetch.map(|fetch| self.fetch_remaining_s(capacity, fetch)),
            concurrent_fetches: other_fetches,
            sharing: self.cluster.image_statistics.rates().sharing(type_name),
            eviction_cost_s: if has_image {
                0.0
            } else {
                self.eviction_cost_s(capacity, image_gb)
            },
            ..Candidate::default()
        };
        if requirements.job.spec.shape == Shape::Service {
            let running = capacity.running.iter();
            let copies = requirements
                .image
                .map_or(0, |image| self.images.get(image).copies);
            candidate.machine_loss_rate = self.cluster.image_statistics.loss_rate(capacity.machine.spot);
            candidate.replicas_on_machine = running
                .filter(|running| running.attempt.task.job == requirements.job.spec.id)
                .count() as u32;
            candidate.cached_on_other_machine = copies > u32::from(has_image);
        }
        candidate
    }

    /// Returns the cost of the machine for a task of the job, in s of replica downtime; for other tasks, in s
    /// of their own time.
    pub(super) fn downtime(&self, requirements: &TaskRequirements<'_>, machine_index: usize) -> Cost {
        let other_fetches = self.other_fetches(requirements, &self.capacities[machine_index]);
        let mut downtime = cost(&self.cost_inputs(requirements, machine_index, &other_fetches));
        let weight = downtime_weight(requirements);
        downtime.delay_s *= weight;
        downtime.eviction_s *= weight;
        downtime
    }

    /// Returns the cost of the images that a fetch of this size evicts, in s of replica downtime.
    fn eviction_cost_s(&self, capacity: &MachineCapacity<'_>, image_gb: f64) -> f64 {
        let Some(machine_type) = capacity.machine_type else {
            return 0.0;
        };
        let size = |image: &u32| self.images.get(*image).size_gb;
        let mut excess_gb = capacity.images.iter().map(size).sum::<f64>() + image_gb - machine_type.cache_gb;
        let mut eviction_cost_s = 0.0;
        for image in &capacity.images {
            if excess_gb <= 0.0 {
                break;
            }
            excess_gb -= size(image);
            eviction_cost_s += self.images.get(*image).eviction_cost_s;
        }
        eviction_cost_s
    }

    /// Whether the machine has the job's image, or will have it as soon as any machine could.
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

    /// Returns how much work, in s, may be lost to preemption so that a task starts on a machine with its
    /// image instead of this one.
    pub(super) fn preemption_budget_s(
        &self,
        requirements: &TaskRequirements<'_>,
        machine_index: usize,
    ) -> f64 {
        if !self.cluster.image_statistics.is_enabled() || requirements.job.spec.shape != Shape::Service {
            return PREEMPT_FOR_IMAGE_S;
        }
        (self.downtime(requirements, machine_index).total_s() * BATCH_S_PER_DOWNTIME_S)
            .clamp(PREEMPT_FOR_IMAGE_S, PREEMPT_FOR_IMAGE_MAX_S)
    }

    /// Whether a task should wait instead of starting on the machine, because its fetch would delay others.
    pub(super) fn should_defer_start(
        &self,
        requirements: &TaskRequirements<'_>,
        machine_index: usize,
    ) -> bool {
        if !self.cluster.image_statistics.is_enabled() || self.capacities[machine_index].fetching.is_empty() {
            return false;
        }
        let other_fetches = self.other_fetches(requirements, &self.capacities[machine_index]);
        should_defer_fetch(
            &self.cost_inputs(requirements, machine_index, &other_fetches),
            downtime_weight(requirements),
        )
    }
}

/// Returns how many of the job's own seconds one second of replica downtime is worth.
fn downtime_weight(requirements: &TaskRequirements<'_>) -> f64 {
    match requirements.job.spec.shape {
        Shape::Service => 1.0,
        Shape::Array | Shape::Gang => BATCH_S_PER_DOWNTIME_S,
    }
}

/// Records that a task waits for a fetch, and adds the fetch if it is new.
pub(super) fn record_fetch(fetching: &mut Vec<ImageFetch>, new: ImageFetch) {
    match fetching.iter_mut().find(|fetch| fetch.image == new.image) {
        Some(fetch) => {
            fetch.started_at = fetch.started_at.min(new.started_at);
            fetch.waiting_replicas += new.waiting_replicas;
        }
        None => fetching.push(new),
    }
}
