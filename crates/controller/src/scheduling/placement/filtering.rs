//! The filter phase: what a job requires of a machine, and which machines qualify.

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

/// How many tasks of the job are, or may be, in each of these zones, and after them in others.
pub fn tasks_by_zone(
    job: &JobId,
    task_locations: &TaskLocations,
    machines: &BTreeMap<MachineId, Machine>,
    zones: &[String],
) -> Vec<u32> {
    let mut taken = vec![0; zones.len() + 1];
    for machine in task_locations
        .get(job)
        .into_iter()
        .flatten()
        .filter_map(|id| machines.get(id))
    {
        let there = machine
            .attempts
            .iter()
            .filter(|attempt| attempt.task.job == *job && attempt.may_be_there());
        let at = zones.iter().position(|zone| *zone == machine.zone);
        taken[at.unwrap_or(zones.len())] += there.count() as u32;
    }
    taken
}

/// Whether the job had better stay off spot machines, which are lost at this rate.
pub fn avoids_spot(job: &Job, deployment: &Deployment, spot_loss: f64, now: Timestamp) -> bool {
    !job.spec.saves()
        && job.spec.estimate_s * spot_loss > SPOT_MAX_LOSS_PROBABILITY
        && is_short_of_time(job, RERUN_MARGIN_RUNS, deployment, now)
}

impl<'a> Pass<'a> {
    /// Position of a type, zone and kind (on-demand or spot) in [`TaskRequirements::eligible`].
    pub(super) fn slot(&self, (kind, zone): (usize, usize), spot: bool) -> usize {
        (kind * self.cluster.deployment.zones.len() + zone) * 2 + usize::from(spot)
    }

    /// What the job requires of a machine.
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
            steps: steps.filter(RankSteps::has_preference),
            image: self.images.number(&job.spec.image),
            start_within_s: self.cluster.deployment.shortest_s("wait", &job.spec.class),
            avoids_failed_machines: !job.avoids(self.cluster.now).is_empty(),
            // Without the bound, work of a class without an objective on its end left idle machines to a
            // gang for which there never were enough.
            is_deadline_critical: is_short_of_time(
                job,
                RUN_MARGIN_FACTOR,
                self.cluster.deployment,
                self.cluster.now,
            ) || job.age_ms(self.cluster.now) >= SPOT_ONLY_MAX_AGE_MS,
            avoids_spot: avoids_spot(
                job,
                self.cluster.deployment,
                self.cluster.spot_loss,
                self.cluster.now,
            ),
            on_demand_only,
            is_batch: self.is_batch(&job.spec),
        }
    }

    /// Kinds that the job's set of kinds allows and in which a task fits.
    fn eligible_by_steps(&self, spec: &JobSpec, steps: &RankSteps) -> Vec<bool> {
        let kinds_per_type = self.cluster.deployment.zones.len() * 2;
        let mut eligible = Vec::with_capacity(steps.0.len());
        for machine_type in &self.types {
            // The set says all but whether a task fits.
            let fits = spec.needs.fits_in(&machine_type.resources());
            let from = eligible.len();
            let own = &steps.0[from..from + kinds_per_type];
            eligible.extend(own.iter().map(|step| fits && step.is_some()));
        }
        eligible
    }

    /// Kinds that the job's own types, zone and spot setting allow.
    fn eligible_by_spec(&self, spec: &JobSpec) -> Vec<bool> {
        self.each_kind(|machine_type, zone, spot| spec.eligible(machine_type, zone, spot))
    }

    /// A value for each type, zone and kind: see [`Self::slot`].
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

    /// Rank steps of a set of kinds, evaluated once a pass.
    fn rank_steps(&self, kinds: &'a Arc<KindSet>) -> RankSteps {
        let address = Arc::as_ptr(kinds).addr();
        if let Some(known) = self.kind_sets.borrow().get(&address) {
            return known.clone();
        }
        let steps = self.each_kind(|machine_type, zone, spot| kinds.step(&machine_type.name, zone, spot));
        let steps = RankSteps(Rc::new(steps));
        self.kind_sets.borrow_mut().insert(address, steps.clone());
        steps
    }

    /// The class of jobs with the same requirements.
    pub(super) fn equivalence_class(&self, requirements: &TaskRequirements<'_>) -> EquivalenceClass {
        EquivalenceClass {
            needs: requirements.job.spec.needs.into(),
            eligible: requirements.eligible.clone(),
            one_zone: requirements.job.spec.one_zone,
            is_deadline_critical: requirements.is_deadline_critical,
            on_demand_only: requirements.on_demand_only,
            is_batch: requirements.is_batch,
            admitted_by: self
                .reservations
                .iter()
                .map(|reservation| reservation.admits(&requirements.job.spec))
                .collect(),
        }
    }

    /// Where tasks of the job are or may be.
    pub(super) fn zones_of(&self, job: &JobId) -> TasksByZone {
        let zones = &self.cluster.deployment.zones;
        let mut taken = tasks_by_zone(job, self.cluster.task_locations, self.cluster.machines, zones);
        for (taken, placed) in taken
            .iter_mut()
            .zip(self.placed_zones.get(job).into_iter().flatten())
        {
            *taken += placed;
        }
        taken
    }

    /// Zones into which one more task of the job may go.
    pub(super) fn open_zones(&self, spec: &JobSpec, taken: &TasksByZone) -> OpenZones {
        (0..self.cluster.deployment.zones.len())
            .map(|zone| {
                let alone = taken
                    .iter()
                    .enumerate()
                    .all(|(other, count)| *count == 0 || other == zone);
                (!spec.one_zone || alone) && taken[zone] < spec.zone_cap()
            })
            .collect()
    }

    /// Names of the open zones.
    pub(super) fn zone_names(&self, open: &OpenZones) -> Vec<String> {
        let zones = self.cluster.deployment.zones.iter().zip(open);
        zones
            .filter(|(_, open)| **open)
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    /// Whether the machine may take a task of the job, apart from what is free there.
    pub(super) fn allowed(&self, requirements: &TaskRequirements<'_>, at: usize, zones: &OpenZones) -> bool {
        let capacity = &self.capacities[at];
        let Some(place) = capacity.place else { return false };
        capacity.usable
            && capacity
                .reservation
                .is_none_or(|reservation| reservation.admits(&requirements.job.spec))
            && zones[place.1]
            && requirements.eligible[self.slot(place, capacity.machine.spot)]
            && !(requirements.avoids_failed_machines
                && requirements.job.failed_on.contains(&capacity.machine.id))
            && (capacity.machine.spot
                || !self.on_demand_short
                || !requirements.job.spec.spot
                || requirements.is_deadline_critical
                || requirements.on_demand_only)
    }

    /// Whether the machine has the job's image already.
    pub(super) fn has_image(&self, requirements: &TaskRequirements<'_>, at: usize) -> bool {
        let capacity = &self.capacities[at];
        requirements.image.is_some_and(|image| {
            capacity.images.contains(&image) && capacity.fetching.iter().all(|fetch| fetch.image != image)
        })
    }
}
