//! The target size of the cluster, by kind of machine: the bursts policy of the paper "Elastic Site"
//! (§II.C). Pure: queued demand and pending capacity go in, the number of machines comes out.

use crate::constants::WASTE_FACTOR;
use crate::model::{JobSpec, MachineId, MachineTypes, Resources};
use crate::protocol::Shape;
use std::collections::BTreeSet;

/// Waiting work that one kind of machine is to take.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueuedDemand {
    /// Sum of the waiting tasks' run-time estimates, in s.
    pub walltime_s: f64,
    /// Machines that the waiting tasks fill, judged by the resources that they request.
    pub machines_filled: f64,
    /// Machines that the largest waiting gang needs at once.
    pub largest_gang: u32,
}

/// Waiting tasks of one job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingTasks {
    /// How many wait.
    pub tasks: u32,
    /// The owner's estimate; 0 for none.
    pub estimate_s: f64,
    /// How many of them one machine takes.
    pub per_machine: f64,
    /// Whether they start together.
    pub is_gang: bool,
}

impl QueuedDemand {
    /// Adds a job's waiting tasks.
    pub fn add(&mut self, waiting: WaitingTasks, waste_s: f64) {
        // A task without an estimate counts as twice the waste time.
        let estimate_s = if waiting.estimate_s > 0.0 {
            waiting.estimate_s
        } else {
            WASTE_FACTOR * waste_s
        };
        let mut fill = f64::from(waiting.tasks) / waiting.per_machine.max(1.0);
        if waiting.tasks > 0 {
            // Tasks that take nothing fill nothing, and no machine was ever rented for them.
            fill = fill.max(f64::MIN_POSITIVE);
        }
        self.walltime_s += f64::from(waiting.tasks) * estimate_s;
        self.machines_filled += fill;
        if waiting.is_gang {
            self.largest_gang = self.largest_gang.max(fill.ceil() as u32);
        }
    }
}

/// How many machines should be idle or booting for this demand.
pub fn target_machines(demand: &QueuedDemand, waste_s: f64) -> u32 {
    if demand.machines_filled <= 0.0 {
        return 0;
    }
    // Integer division as in the paper; one machine if that gives none.
    let balanced = (demand.walltime_s / (WASTE_FACTOR * waste_s)).floor().max(1.0);
    let filled = demand.machines_filled.ceil();
    (balanced.min(filled) as u32).max(demand.largest_gang)
}

/// A machine that is idle or will be up soon.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingCapacity {
    /// Its id, unless it is still being rented.
    pub machine: Option<MachineId>,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Resources that no task has yet.
    pub free: Resources,
}

impl PendingCapacity {
    /// Whether both have the same type and zone and are both spot or on-demand machines.
    fn is_same_kind(&self, other: &PendingCapacity) -> bool {
        self.spot == other.spot && self.zone == other.zone && self.machine_type == other.machine_type
    }
}

/// How many of a job's waiting tasks the pending capacity does not cover; claims the capacity that the
/// others use. A gang is covered whole or not at all, and in one zone where it must be. This is quickest
/// where machines of one kind are adjacent in `pending`. Machines that the job `avoids`, as its tasks failed
/// there, do not count.
pub fn uncovered_tasks(
    pending: &mut [PendingCapacity],
    spec: &JobSpec,
    avoids: &BTreeSet<MachineId>,
    zones: &[String],
    tasks: u32,
    types: &MachineTypes,
) -> u32 {
    if spec.one_zone {
        let left = zones
            .iter()
            .map(|zone| claim(pending, spec, avoids, std::slice::from_ref(zone), tasks, types))
            .find(|left| *left < tasks);
        return left.unwrap_or(tasks);
    }
    claim(pending, spec, avoids, zones, tasks, types)
}

/// As [`uncovered_tasks`], in any of these zones.
fn claim(
    pending: &mut [PendingCapacity],
    spec: &JobSpec,
    avoids: &BTreeSet<MachineId>,
    zones: &[String],
    tasks: u32,
    types: &MachineTypes,
) -> u32 {
    let mut taken: Vec<(usize, u32)> = Vec::new();
    let mut left = tasks;
    let mut eligible = false;
    for at in 0..pending.len() {
        if left == 0 {
            break;
        }
        let same_kind = at > 0 && pending[at].is_same_kind(&pending[at - 1]);
        let machine = &mut pending[at];
        if !same_kind {
            eligible = zones.contains(&machine.zone)
                && types
                    .get(&machine.machine_type)
                    .is_some_and(|known| spec.is_eligible(known, &machine.zone, machine.spot));
        }
        if !eligible || !spec.needs.fits_in(&machine.free) {
            continue;
        }
        // Counted as pending, a machine on which the job failed kept it waiting for ever:
        // nothing was placed there, and nothing was rented in its stead.
        if machine.machine.as_ref().is_some_and(|id| avoids.contains(id)) {
            continue;
        }
        let count = (spec.needs.instances_in(&machine.free) as u32).min(left);
        machine.free -= spec.needs.scaled_by(f64::from(count));
        left -= count;
        taken.push((at, count));
    }
    if left > 0 && spec.shape == Shape::Gang {
        for (at, count) in taken {
            pending[at].free += spec.needs.scaled_by(f64::from(count));
        }
        return tasks;
    }
    left
}

#[cfg(test)]
mod tests;
