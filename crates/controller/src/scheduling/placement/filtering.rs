//! The filter phase: a job's requirements on machines, and the machines that satisfy them.

use super::pass::{EquivalenceClass, OpenZones, Pass, RankSteps, TaskRequirements, TasksByZone};
use super::queue_order::is_short_of_time;
use crate::allocations::Machine;
use crate::constants::{
    RERUN_MARGIN_RUNS, RUN_MARGIN_FACTOR, SPOT_MAX_LOSS_PROBABILITY, SPOT_ONLY_MAX_AGE_MS,
};
use crate::model::{Job, JobId, JobSpec, MachineId, TaskLocations, Timestamp};
use crate::protocol::MachineType;
use crate::settings::Deployment;
use indigopath_condor::KindSet;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Counts the job's tasks that are, or may be, in each of these zones. The last element counts those in all
/// other zones.
pub fn tasks_by_zone(
    job: &JobId,
    task_locations: &TaskLocations,
    machines: &BTreeMap<MachineId, Machine>,
    zones: &[String],
) -> Vec<u32> {
    let mut counts = vec![0; zones.len() + 1];
    for machine in task_locations
        .get(job)
        .into_iter()
        .flatten()
        .filter_map(|id| machines.get(id))
    {
        let attempts = machine
            .attempts
            .iter()
            .filter(|attempt| attempt.task.job == *job && attempt.may_be_running());
        let zone_index = zones.iter().position(|zone| *zone == machine.zone);
        counts[zone_index.unwrap_or(zones.len())] += attempts.count() as u32;
    }
    counts
}

/// Whether the job should avoid spot machines, given the rate at which they are lost.
pub fn avoids_spot(job: &Job, deployment: &Deployment, spot_loss_rate: f64, now: Timestamp) -> bool {
    !job.spec.writes_checkpoints()
        && job.spec.estimate_s * spot_loss_rate > SPOT_MAX_LOSS_PROBABILITY
        && is_short_of_time(job, RERUN_MARGIN_RUNS, deployment, now)
}

impl<'a> Pass<'a> {
    /// Index of a machine type, zone and market (on-demand or spot) in [`TaskRequirements::eligible`].
    pub(super) fn kind_index(&self, (machine_type, zone): (usize, usize), spot: bool) -> usize {
        (machine_type * self.cluster.deployment.zones.len() + zone) * 2 + usize::from(spot)
    }

    /// Computes the job's requirements on machines.
    pub(super) fn requirements(&self, job: &'a Job) -> TaskRequirements<'a> {
        let steps = job.spec.kinds.as_ref().map(|kinds| self.rank_steps(kinds));
        let mut eligible = match &steps {
            Some(steps) => self.eligible_by_steps(&job.spec, steps),
            None => self.eligible_by_spec(&job.spec),
        };
        let on_demand_only = self.on_demand_only(job, &mut eligible);
        TaskRequirements {
            job,
            eligible,
            rank_steps: steps.filter(RankSteps::has_preference),
            image: self.images.number(&job.spec.image),
            start_within_s: self.cluster.deployment.shortest_s("wait", &job.spec.class),
            avoids_failed_machines: !job.avoided_machines(self.cluster.now).is_empty(),
            // Without the age limit, jobs whose class has no finishing objective left idle machines to a gang
            // that never found enough of them.
            is_deadline_critical: is_short_of_time(
                job,
                RUN_MARGIN_FACTOR,
                self.cluster.deployment,
                self.cluster.now,
            ) || job.age_ms(self.cluster.now) >= SPOT_ONLY_MAX_AGE_MS,
            avoids_spot: avoids_spot(
                job,
                self.cluster.deployment,
                self.cluster.spot_loss_rate,
                self.cluster.now,
            ),
            on_demand_only,
            is_barred_from_spare: self.is_barred_from_spare(&job.spec),
        }
    }

    /// Returns which kinds are allowed by the job's set of kinds and large enough for a task.
    fn eligible_by_steps(&self, spec: &JobSpec, steps: &RankSteps) -> Vec<bool> {
        let kinds_per_type = self.cluster.deployment.zones.len() * 2;
        let mut eligible = Vec::with_capacity(steps.0.len());
        for machine_type in &self.types {
            // The set covers every condition except whether a task fits.
            let fits = spec.needs.fits_in(&machine_type.resources());
            let offset = eligible.len();
            let steps_of_type = &steps.0[offset..offset + kinds_per_type];
            eligible.extend(steps_of_type.iter().map(|step| fits && step.is_some()));
        }
        eligible
    }

    /// Returns which kinds are allowed by the job's own types, zone and spot setting.
    fn eligible_by_spec(&self, spec: &JobSpec) -> Vec<bool> {
        self.each_kind(|machine_type, zone, spot| spec.is_eligible(machine_type, zone, spot))
    }

    /// Computes a value for each kind of machine, in the order of [`Self::kind_index`].
    fn each_kind<T>(&self, mut value: impl FnMut(&MachineType, &str, bool) -> T) -> Vec<T> {
        let zones = &self.cluster.deployment.zones;
        let mut values = Vec::with_capacity(self.types.len() * zones.len() * 2);
        for machine_type in &self.types {
            for zone in zones {
                for spot in [false, true] {
                    values.push(value(machine_type, zone, spot));
                }
            }
        }
        values
    }

    /// Returns the rank steps of a set of kinds, evaluated once per pass.
    fn rank_steps(&self, kinds: &'a Arc<KindSet>) -> RankSteps {
        let address = Arc::as_ptr(kinds).addr();
        if let Some(cached) = self.kind_sets.borrow().get(&address) {
            return cached.clone();
        }
        let steps =
            self.each_kind(|machine_type, zone, spot| kinds.preference_step(&machine_type.name, zone, spot));
        let steps = RankSteps(Rc::new(steps));
        self.kind_sets.borrow_mut().insert(address, steps.clone());
        steps
    }

    /// Returns the class of jobs with the same requirements.
    pub(super) fn equivalence_class(&self, requirements: &TaskRequirements<'_>) -> EquivalenceClass {
        EquivalenceClass {
            needs: requirements.job.spec.needs.into(),
            eligible: requirements.eligible.clone(),
            one_zone: requirements.job.spec.one_zone,
            is_deadline_critical: requirements.is_deadline_critical,
            on_demand_only: requirements.on_demand_only,
            is_barred_from_spare: requirements.is_barred_from_spare,
            admitted_by: self
                .reservations
                .iter()
                .map(|reservation| reservation.admits(&requirements.job.spec))
                .collect(),
        }
    }

    /// Counts the job's tasks by zone, including those placed in this pass.
    pub(super) fn job_tasks_by_zone(&self, job: &JobId) -> TasksByZone {
        let zones = &self.cluster.deployment.zones;
        let mut counts = tasks_by_zone(job, self.cluster.task_locations, self.cluster.machines, zones);
        for (count, placed) in counts
            .iter_mut()
            .zip(self.placed_zones.get(job).into_iter().flatten())
        {
            *count += placed;
        }
        counts
    }

    /// Returns which zones may take one more task of the job.
    pub(super) fn open_zones(&self, spec: &JobSpec, tasks_by_zone: &TasksByZone) -> OpenZones {
        (0..self.cluster.deployment.zones.len())
            .map(|zone| {
                let no_other_zone_used = tasks_by_zone
                    .iter()
                    .enumerate()
                    .all(|(other, count)| *count == 0 || other == zone);
                (!spec.one_zone || no_other_zone_used) && tasks_by_zone[zone] < spec.max_tasks_per_zone()
            })
            .collect()
    }

    /// Returns the names of the open zones.
    pub(super) fn zone_names(&self, open: &OpenZones) -> Vec<String> {
        let zones = self.cluster.deployment.zones.iter().zip(open);
        zones
            .filter(|(_, open)| **open)
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    /// Whether the machine may run a task of the job, regardless of its free resources.
    pub(super) fn is_allowed(
        &self,
        requirements: &TaskRequirements<'_>,
        machine_index: usize,
        zones: &OpenZones,
    ) -> bool {
        let capacity = &self.capacities[machine_index];
        let Some(type_and_zone) = capacity.type_and_zone else {
            return false;
        };
        capacity.usable
            && capacity
                .reservation
                .is_none_or(|reservation| reservation.admits(&requirements.job.spec))
            && zones[type_and_zone.1]
            && requirements.eligible[self.kind_index(type_and_zone, capacity.machine.spot)]
            && !(requirements.avoids_failed_machines
                && requirements.job.failed_on.contains(&capacity.machine.id))
            && (capacity.machine.spot
                || !self.on_demand_shortage
                || !requirements.job.spec.spot
                || requirements.is_deadline_critical
                || requirements.on_demand_only)
    }

    /// Whether the machine already has the job's image.
    pub(super) fn has_image(&self, requirements: &TaskRequirements<'_>, machine_index: usize) -> bool {
        let capacity = &self.capacities[machine_index];
        requirements.image.is_some_and(|image| {
            capacity.images.contains(&image) && capacity.fetching.iter().all(|fetch| fetch.image != image)
        })
    }
}
