//! Protection windows: the order of protected services, and the spare capacity reserved for them.

use super::pass::{MachineCapacity, OpenZones, Pass, TaskRequirements};
use super::scoring::Candidate;
use super::{MachineTypes, Unplaced};
use crate::constants::{PROTECTED_PREEMPTION_COST_S, SERVICE_PREEMPTION_COST_S};
use crate::model::{Job, JobId, JobSpec, Resources};
use crate::protocol::{MachineType, Shape};
use crate::scheduling::fair_share::StarvedOwners;
use indigopath_protection_windows::Standing;
use std::collections::BTreeMap;

/// Spare capacity to be reserved.
#[derive(Debug, Clone, PartialEq)]
pub struct SpareCapacity {
    /// The job whose requirements it must satisfy. It is for replicas of this job and of similar ones.
    pub template: JobId,
    /// Number of replicas that it must fit.
    pub tasks: u32,
}

/// The jobs and spare capacity covered by open protection windows. Empty if there are none.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Protection {
    /// Protected jobs, with their place in the protection order.
    pub standings: BTreeMap<JobId, Standing>,
    /// Spare capacity to be reserved.
    pub spare: Vec<SpareCapacity>,
}

impl Protection {
    /// Returns the job's place in the protection order, if it is protected.
    pub fn standing(&self, job: &JobId) -> Option<Standing> {
        // Fast path: usually nothing is protected.
        if self.standings.is_empty() {
            return None;
        }
        self.standings.get(job).copied()
    }

    /// Returns the sort key of a job among work of the same precedence: protected jobs first, by rank and
    /// then in their persisted order.
    pub fn protection_order(&self, job: &JobId) -> (bool, Option<Standing>) {
        let standing = self.standing(job);
        (standing.is_none(), standing)
    }

    /// Whether a job should avoid spot machines because it is protected. Starved jobs are exempt, since the
    /// minimum share takes precedence over protection. Jobs that may use spot machines only are not excluded
    /// here.
    pub fn avoids_spot(&self, spec: &JobSpec, starved: &StarvedOwners) -> bool {
        spec.spot && self.standing(&spec.id).is_some() && !starved.is_starved(spec)
    }

    /// Returns how many machines the protected jobs and their spare capacity fill, based on the largest
    /// machine type that each may use.
    pub fn machine_demand(&self, jobs: &BTreeMap<JobId, Job>, types: &MachineTypes) -> f64 {
        let machines_filled = |id: &JobId, tasks: u32| {
            let Some(job) = jobs.get(id) else { return 0.0 };
            let per_machine =
                |machine_type: &MachineType| job.spec.needs.instances_in(&machine_type.resources());
            let allowed = types.values().filter(|machine_type| {
                let allowed_types = job.spec.types.as_ref();
                allowed_types.is_none_or(|allowed_types| allowed_types.contains(&machine_type.name))
            });
            f64::from(tasks) / allowed.map(per_machine).fold(1.0, f64::max)
        };
        let protected = self.standings.keys().map(|id| {
            let tasks = jobs.get(id).map_or(0, |job| job.spec.tasks);
            machines_filled(id, tasks)
        });
        let spare = self
            .spare
            .iter()
            .map(|spare| machines_filled(&spare.template, spare.tasks));
        protected.sum::<f64>() + spare.sum::<f64>()
    }
}

impl<'a> Pass<'a> {
    /// Removes spot machines from the eligible kinds if the job is protected and any on-demand kind is
    /// eligible. Returns whether it did.
    pub(super) fn on_demand_only(&self, job: &Job, eligible: &mut [bool]) -> bool {
        let avoids_spot = self
            .cluster
            .protection
            .avoids_spot(&job.spec, self.cluster.starved);
        // On-demand and spot alternate; see `Pass::kind_index`.
        if !avoids_spot || !eligible.iter().step_by(2).any(|allowed| *allowed) {
            return false;
        }
        for spot in eligible.iter_mut().skip(1).step_by(2) {
            *spot = false;
        }
        true
    }

    /// Whether spare capacity is closed to the job. Starved jobs are exempt, since the minimum share takes
    /// precedence over protection.
    pub(super) fn is_barred_from_spare(&self, spec: &JobSpec) -> bool {
        !self.cluster.protection.spare.is_empty()
            && spec.shape != Shape::Service
            && !self.cluster.starved.is_starved(spec)
    }

    /// Returns the free resources of a machine that the job may use.
    pub(super) fn free_for(&self, requirements: &TaskRequirements<'_>, machine_index: usize) -> Resources {
        let capacity = &self.capacities[machine_index];
        let mut free = capacity.free;
        if requirements.is_barred_from_spare {
            free -= capacity.spare;
        }
        free
    }

    /// Whether the victim is a protected replica that batch work may not preempt by priority: otherwise batch
    /// would take by preemption the capacity that it may not use while it is free. Preemption for a team's
    /// guarantee is not affected.
    pub(super) fn is_protected_from(&self, job: &Job, victim: &Job) -> bool {
        job.spec.shape != Shape::Service && self.cluster.protection.standing(&victim.spec.id).is_some()
    }

    /// Returns the cost, in s, of preempting a victim in addition to the lost work. For a protected job,
    /// batch is preempted before replicas; protected replicas are always preempted last.
    pub(super) fn protection_cost_s(&self, requirements: &TaskRequirements<'_>, victim: &Job) -> f64 {
        let protection = &self.cluster.protection;
        if protection.standing(&victim.spec.id).is_some() {
            PROTECTED_PREEMPTION_COST_S
        } else if victim.spec.shape == Shape::Service
            && protection.standing(&requirements.job.spec.id).is_some()
        {
            SERVICE_PREEMPTION_COST_S
        } else {
            0.0
        }
    }

    /// Reserves spare capacity for protected services before any task is placed, preferring machines with
    /// their image and the fullest machines. Any shortfall is made up on machines that run batch work, by not
    /// refilling the capacity that becomes free there. Nothing is preempted for it.
    pub(super) fn reserve_spare_capacity(&mut self) {
        let cluster = self.cluster;
        for spare in &cluster.protection.spare {
            let Some(job) = cluster.jobs.get(&spare.template) else {
                continue;
            };
            let requirements = self.requirements(job);
            let needs = job.spec.needs;
            let zones: OpenZones = vec![true; cluster.deployment.zones.len()];
            let mut remaining = spare.tasks;
            for Candidate { machine_index, .. } in self.candidates(&requirements, &zones, None) {
                let capacity = &mut self.capacities[machine_index];
                if capacity.machine.spot {
                    continue;
                }
                while remaining > 0 && needs.fits_in(&unreserved(capacity)) {
                    capacity.spare += needs;
                    remaining -= 1;
                }
                if capacity.spare != Resources::default() {
                    self.plan
                        .spare_capacity
                        .insert(capacity.machine.id.clone(), capacity.spare);
                }
            }
            if remaining == 0 {
                continue;
            }
            let zones = self.zone_names(&zones);
            self.plan.unplaced_spare.push(Unplaced {
                job: spare.template.clone(),
                tasks: remaining,
                zones,
            });
            self.drain_for_spare(&requirements, remaining);
        }
    }

    /// Reserves spare capacity on the emptiest machines that run batch work, so that it is free once that
    /// work ends.
    fn drain_for_spare(&mut self, requirements: &TaskRequirements<'_>, mut remaining: u32) {
        let needs = requirements.job.spec.needs;
        let zones: OpenZones = vec![true; self.cluster.deployment.zones.len()];
        let batch_runs = |capacity: &MachineCapacity<'_>| {
            let mut running = capacity.running.iter();
            running.any(|running| {
                let job = self.cluster.jobs.get(&running.attempt.task.job);
                job.is_some_and(|job| job.spec.shape != Shape::Service)
            })
        };
        let mut emptiest: Vec<(f64, usize)> = (0..self.capacities.len())
            .filter(|machine_index| {
                !self.capacities[*machine_index].machine.spot
                    && self.is_allowed(requirements, *machine_index, &zones)
            })
            .filter(|machine_index| batch_runs(&self.capacities[*machine_index]))
            .filter_map(|machine_index| {
                let capacity = &self.capacities[machine_index];
                Some((
                    unreserved(capacity).free_share_of(&capacity.machine_type?.resources()),
                    machine_index,
                ))
            })
            .collect();
        emptiest.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
        for (_, machine_index) in emptiest {
            if remaining == 0 {
                return;
            }
            self.capacities[machine_index].spare += needs;
            remaining -= 1;
        }
    }
}

/// Returns the free resources of a machine beyond its spare capacity.
fn unreserved(capacity: &MachineCapacity<'_>) -> Resources {
    let mut free = capacity.free;
    free -= capacity.spare;
    free
}
