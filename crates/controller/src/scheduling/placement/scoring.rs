//! The score phase: the cost of running a task on each machine, and the candidates in order of cost.

use super::pass::{OpenZones, Pass, TaskRequirements};
use crate::constants::{
    DEFAULT_OCCUPANCY_S, EMPTY_MACHINE_COST_S, FAILED_MACHINE_COST_S, ON_DEMAND_COST_S, OUTLASTING_COST_S,
    RANK_STEP_COST_S, RESERVED_MACHINE_COST_S, SPOT_RISK_COST_S,
};
use crate::model::JobSpec;

/// A machine that can run a task now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    /// Lower is better; see `Pass::placement_cost`.
    pub(super) cost: f64,
    /// Index of the machine in the pass.
    pub(super) machine_index: usize,
}

impl Pass<'_> {
    /// Returns the time until the machine has the job's image, in s. Concurrent fetches may share the
    /// machine's bandwidth, and an image still being fetched does not count as present. Without this,
    /// replicas of a dozen images were all placed on the few machines that had just booted and waited half a
    /// minute for their fetches.
    pub(super) fn fetch_s(&self, requirements: &TaskRequirements<'_>, machine_index: usize) -> f64 {
        self.downtime(requirements, machine_index).fetch_s
    }

    /// Returns the cost of placing a task on the machine; lower is better. It is the expected downtime
    /// plus penalties: for kinds of machines that the user prefers less, for on-demand machines if the job
    /// may use spot ones, for reserved or recently failing machines, and for emptier machines, so that they
    /// become idle.
    pub(super) fn placement_cost(&self, requirements: &TaskRequirements<'_>, machine_index: usize) -> f64 {
        let capacity = &self.capacities[machine_index];
        let downtime = self.downtime(requirements, machine_index);
        let mut cost = if self.cluster.image_statistics.is_enabled() {
            downtime.total_s()
        } else {
            downtime.fetch_s
        };
        // The user's preferences outweigh the scheduler's.
        if let (Some(steps), Some(type_and_zone)) = (&requirements.rank_steps, capacity.type_and_zone) {
            let step = steps.0[self.kind_index(type_and_zone, capacity.machine.spot)].unwrap_or(0);
            cost += RANK_STEP_COST_S * f64::from(step);
        }
        if requirements.avoids_spot {
            if capacity.machine.spot {
                cost += SPOT_RISK_COST_S;
            }
        } else if requirements.job.spec.spot && !capacity.machine.spot {
            cost += ON_DEMAND_COST_S;
        }
        // Occupying the machine for longer than its current tasks do keeps it from becoming idle.
        let job_occupancy_s = occupancy_s(&requirements.job.spec);
        cost += OUTLASTING_COST_S * (1.0 - capacity.occupied_s / job_occupancy_s).max(0.0);
        if capacity
            .reservation
            .is_some_and(|reservation| !reservation.is_for(requirements.job))
        {
            cost += RESERVED_MACHINE_COST_S;
        }
        if !capacity.machine.failed_jobs.is_empty() {
            cost += FAILED_MACHINE_COST_S;
        }
        if let Some(machine_type) = capacity.machine_type {
            cost += EMPTY_MACHINE_COST_S * capacity.free.share_of(&machine_type.resources());
        }
        cost
    }

    /// Returns the machines that can run a task now, the cheapest first. Placing a task makes a machine only
    /// cheaper for the next one, since it then has the image and is fuller, so tasks without further
    /// constraints fill the machines in this order.
    pub(super) fn candidates(
        &self,
        requirements: &TaskRequirements<'_>,
        zones: &OpenZones,
        attempt: Option<u64>,
    ) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = (0..self.capacities.len())
            .filter(|machine_index| {
                requirements
                    .job
                    .spec
                    .needs
                    .fits_in(&self.free_for(requirements, *machine_index))
                    && self.is_allowed(requirements, *machine_index, zones)
            })
            // A worker that still lists an exited task of the same attempt ignores a new start of it.
            .filter(|machine_index| {
                attempt.is_none_or(|number| !self.lists_exited(requirements, *machine_index, number))
            })
            .map(|machine_index| Candidate {
                cost: self.placement_cost(requirements, machine_index),
                machine_index,
            })
            .collect();
        candidates.sort_by(|left, right| {
            left.cost
                .total_cmp(&right.cost)
                .then(left.machine_index.cmp(&right.machine_index))
        });
        candidates
    }

    /// Whether the machine still lists an exited task of this attempt of the job.
    fn lists_exited(&self, requirements: &TaskRequirements<'_>, machine_index: usize, number: u64) -> bool {
        let attempts = &self.capacities[machine_index].machine.attempts;
        attempts.iter().any(|attempt| {
            attempt.number == number && attempt.exited() && attempt.task.job == requirements.job.spec.id
        })
    }
}

/// Returns the estimated time for which a task of the job occupies its machine, in s.
pub(super) fn occupancy_s(spec: &JobSpec) -> f64 {
    if spec.estimate_s > 0.0 {
        spec.estimate_s
    } else {
        DEFAULT_OCCUPANCY_S
    }
}
