//! The target size of the cluster, by kind of machine: the bursts policy of the paper "Elastic Site"
//! (§II.C). These are pure functions from queued demand and pending capacity to a number of machines.

use crate::constants::WASTE_FACTOR;
use crate::model::{JobSpec, MachineId, MachineTypes, Resources};
use crate::protocol::Shape;
use std::collections::BTreeSet;

/// Waiting work to be run on one kind of machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueuedDemand {
    /// Sum of the waiting tasks' run-time estimates, in s.
    pub walltime_s: f64,
    /// Number of machines that the waiting tasks fill, by their requested resources.
    pub machines_filled: f64,
    /// Number of machines that the largest waiting gang needs at the same time.
    pub largest_gang: u32,
}

/// Waiting tasks of one job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingTasks {
    /// Number of waiting tasks.
    pub tasks: u32,
    /// The owner's estimate of their run time, in s; 0 for none.
    pub estimate_s: f64,
    /// Number of these tasks that fit on one machine.
    pub per_machine: f64,
    /// Whether they must start together.
    pub is_gang: bool,
}

impl QueuedDemand {
    /// Adds a job's waiting tasks.
    pub fn add(&mut self, waiting: WaitingTasks, waste_s: f64) {
        // A task without an estimate counts as [`WASTE_FACTOR`] times the waste time.
        let estimate_s = if waiting.estimate_s > 0.0 {
            waiting.estimate_s
        } else {
            WASTE_FACTOR * waste_s
        };
        let mut job_machines = f64::from(waiting.tasks) / waiting.per_machine.max(1.0);
        if waiting.tasks > 0 {
            // Tasks that request no resources would fill no machine, and none would be launched for them.
            job_machines = job_machines.max(f64::MIN_POSITIVE);
        }
        self.walltime_s += f64::from(waiting.tasks) * estimate_s;
        self.machines_filled += job_machines;
        if waiting.is_gang {
            self.largest_gang = self.largest_gang.max(job_machines.ceil() as u32);
        }
    }
}

/// Returns how many machines should be idle or booting for this demand. `waste_s` is the paper's waste time.
pub fn target_machines(demand: &QueuedDemand, waste_s: f64) -> u32 {
    if demand.machines_filled <= 0.0 {
        return 0;
    }
    // Integer division as in the paper, but at least one machine.
    let walltime_machines = (demand.walltime_s / (WASTE_FACTOR * waste_s)).floor().max(1.0);
    let fill_machines = demand.machines_filled.ceil();
    (walltime_machines.min(fill_machines) as u32).max(demand.largest_gang)
}

/// A machine that is idle or will be up soon.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingCapacity {
    /// Its id; `None` while it is still being requested from the cloud.
    pub machine: Option<MachineId>,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Resources that are not assigned to any task.
    pub free: Resources,
}

impl PendingCapacity {
    /// Whether both have the same type and zone and are both spot or on-demand machines.
    fn is_same_kind(&self, other: &PendingCapacity) -> bool {
        self.spot == other.spot && self.zone == other.zone && self.machine_type == other.machine_type
    }
}

/// Returns how many of a job's waiting tasks the pending capacity does not cover, and claims the capacity for
/// the others. A gang is covered as a whole or not at all, and in a single zone if it requires that. Machines
/// that the job `avoids`, because its tasks failed there, do not count. This is fastest if machines of one
/// kind are adjacent in `pending`.
pub fn uncovered_tasks(
    pending: &mut [PendingCapacity],
    spec: &JobSpec,
    avoids: &BTreeSet<MachineId>,
    zones: &[String],
    tasks: u32,
    types: &MachineTypes,
) -> u32 {
    if spec.one_zone {
        let remaining = zones
            .iter()
            .map(|zone| claim_capacity(pending, spec, avoids, std::slice::from_ref(zone), tasks, types))
            .find(|remaining| *remaining < tasks);
        return remaining.unwrap_or(tasks);
    }
    claim_capacity(pending, spec, avoids, zones, tasks, types)
}

/// Like [`uncovered_tasks`], but using all of these zones even for a job that must stay in one.
fn claim_capacity(
    pending: &mut [PendingCapacity],
    spec: &JobSpec,
    avoids: &BTreeSet<MachineId>,
    zones: &[String],
    tasks: u32,
    types: &MachineTypes,
) -> u32 {
    let mut claimed: Vec<(usize, u32)> = Vec::new();
    let mut remaining = tasks;
    let mut is_eligible = false;
    for index in 0..pending.len() {
        if remaining == 0 {
            break;
        }
        let is_same_kind_as_previous = index > 0 && pending[index].is_same_kind(&pending[index - 1]);
        let machine = &mut pending[index];
        if !is_same_kind_as_previous {
            is_eligible = zones.contains(&machine.zone)
                && types
                    .get(&machine.machine_type)
                    .is_some_and(|machine_type| spec.is_eligible(machine_type, &machine.zone, machine.spot));
        }
        if !is_eligible || !spec.needs.fits_in(&machine.free) {
            continue;
        }
        // If a machine on which the job failed counted as pending, the job would wait forever: it is not
        // placed there, and no other machine would be launched.
        if machine.machine.as_ref().is_some_and(|id| avoids.contains(id)) {
            continue;
        }
        let count = (spec.needs.instances_in(&machine.free) as u32).min(remaining);
        machine.free -= spec.needs.scaled_by(f64::from(count));
        remaining -= count;
        claimed.push((index, count));
    }
    if remaining > 0 && spec.shape == Shape::Gang {
        for (index, count) in claimed {
            pending[index].free += spec.needs.scaled_by(f64::from(count));
        }
        return tasks;
    }
    remaining
}

#[cfg(test)]
mod tests;
