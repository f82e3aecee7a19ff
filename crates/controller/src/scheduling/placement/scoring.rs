//! The score phase: what each place costs a task, and the candidates in that order.

use super::pass::{OpenZones, Pass, TaskRequirements};
use crate::constants::{
    DEFAULT_OCCUPANCY_S, EMPTY_MACHINE_COST_S, FAILED_MACHINE_COST_S, ON_DEMAND_COST_S, OUTLASTING_COST_S,
    RANK_STEP_COST_S, RESERVED_MACHINE_COST_S, SPOT_RISK_COST_S,
};
use crate::model::JobSpec;

/// A machine that can take a task now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    /// Lower is better: see `Pass::cost`.
    pub(super) cost: f64,
    /// Position of the machine in the pass.
    pub(super) at: usize,
}

impl Pass<'_> {
    /// Time until the machine has the job's image, in s. Images fetched at the same
    /// time may share its rate; one that is on its way is not there yet. Without
    /// that, replicas of a dozen images went to the few machines that had just come
    /// up, as if each were the only one, and waited there for half a minute.
    pub(super) fn fetch_s(&self, requirements: &TaskRequirements<'_>, at: usize) -> f64 {
        self.downtime(requirements, at).fetch_s
    }

    /// Lower is better: what the place costs by the measure, then a spot machine for those who
    /// may use one, then the fullest, so that others fall idle.
    pub(super) fn cost(&self, requirements: &TaskRequirements<'_>, at: usize) -> f64 {
        let capacity = &self.capacities[at];
        let downtime = self.downtime(requirements, at);
        let mut cost = if self.cluster.image_statistics.is_enabled() {
            downtime.total_s()
        } else {
            downtime.fetch_s
        };
        // What a user prefers comes before what we would.
        if let (Some(steps), Some(place)) = (&requirements.steps, capacity.place) {
            let step = steps.0[self.slot(place, capacity.machine.spot)].unwrap_or(0);
            cost += RANK_STEP_COST_S * f64::from(step);
        }
        if requirements.avoids_spot {
            if capacity.machine.spot {
                cost += SPOT_RISK_COST_S;
            }
        } else if requirements.job.spec.spot && !capacity.machine.spot {
            cost += ON_DEMAND_COST_S;
        }
        // What holds the machine longer than it is held anyway costs its time.
        let needs_s = occupies_s(&requirements.job.spec);
        cost += OUTLASTING_COST_S * (1.0 - capacity.held_s / needs_s).max(0.0);
        if capacity
            .reservation
            .is_some_and(|reservation| !reservation.is_for(requirements.job))
        {
            cost += RESERVED_MACHINE_COST_S;
        }
        if !capacity.machine.errors.is_empty() {
            cost += FAILED_MACHINE_COST_S;
        }
        if let Some(machine_type) = capacity.machine_type {
            cost += EMPTY_MACHINE_COST_S * capacity.free.share_of(&machine_type.resources());
        }
        cost
    }

    /// Machines that can take a task now, the best first. Whichever takes one only
    /// becomes better by it: its image is there, and it is fuller. So tasks without
    /// further conditions fill them in this order.
    pub(super) fn candidates(
        &self,
        requirements: &TaskRequirements<'_>,
        zones: &OpenZones,
        attempt: Option<u64>,
    ) -> Vec<Candidate> {
        let mut found: Vec<Candidate> = (0..self.capacities.len())
            .filter(|at| {
                requirements
                    .job
                    .spec
                    .needs
                    .fits_in(&self.free_for(requirements, *at))
                    && self.allowed(requirements, *at, zones)
            })
            // A worker that still lists an exited task under the same attempt
            // ignores another start of it.
            .filter(|at| attempt.is_none_or(|number| !self.lists_exited(requirements, *at, number)))
            .map(|at| Candidate {
                cost: self.cost(requirements, at),
                at,
            })
            .collect();
        found.sort_by(|left, right| left.cost.total_cmp(&right.cost).then(left.at.cmp(&right.at)));
        found
    }

    /// Whether the machine still lists an exited task of this attempt of the job.
    fn lists_exited(&self, requirements: &TaskRequirements<'_>, at: usize, number: u64) -> bool {
        let attempts = &self.capacities[at].machine.attempts;
        attempts.iter().any(|attempt| {
            attempt.number == number && attempt.exited() && attempt.task.job == requirements.job.spec.id
        })
    }
}

/// For how long a task holds its machine, in s, as far as its owner says.
pub(super) fn occupies_s(spec: &JobSpec) -> f64 {
    if spec.estimate_s > 0.0 {
        spec.estimate_s
    } else {
        DEFAULT_OCCUPANCY_S
    }
}
