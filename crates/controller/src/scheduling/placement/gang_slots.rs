//! Slots for large gangs: the machine and the time at which each of their tasks finds capacity, as estimated
//! or made by preemption.

use super::grace_s;
use super::inventory::remaining_s;
use super::pass::{OpenZones, Pass, RunningTask, TaskRequirements, TasksByZone};
use super::preemption::Victims;
use crate::constants::{PREEMPTION_SEARCHES_PER_PASS, RESERVATION_HORIZON_S, STOP_GRACE_EXTRA_S};
use std::collections::HashSet;

/// Capacity for one task of a gang.
#[derive(Debug, Clone, Copy)]
pub(super) struct GangSlot {
    /// Estimated time until the machine has this capacity, in s.
    pub(super) available_in_s: f64,
    has_image: bool,
    /// Index of the machine in the pass.
    pub(super) machine_index: usize,
}

/// The estimated end of a running task, which frees its resources.
struct TaskEnd<'r, 'a> {
    ends_in_s: f64,
    running: &'r RunningTask<'a>,
}

/// The tasks that would be preempted for a gang, and the slots that it would then have.
struct PreemptionPlan {
    /// Seconds of work lost.
    lost_s: f64,
    slots: Vec<GangSlot>,
    victim_machines: Vec<MachineVictims>,
}

/// The tasks that would be preempted on one machine.
struct MachineVictims {
    /// Index of the machine in the pass.
    machine_index: usize,
    victims: Victims,
}

/// Returns the time until the last task of a gang finds capacity, in s, given the slots in order of time.
pub(super) fn last_slot_s(slots: &[GangSlot]) -> f64 {
    slots.last().map_or(f64::INFINITY, |slot| slot.available_in_s)
}

impl<'a> Pass<'a> {
    /// Returns the earliest slots for all tasks of a gang, in one of these sets of zones.
    pub(super) fn earliest_slots(
        &self,
        requirements: &TaskRequirements<'a>,
        tasks: usize,
        zone_choices: &[OpenZones],
        tasks_by_zone: &TasksByZone,
    ) -> Option<Vec<GangSlot>> {
        let mut best: Option<Vec<GangSlot>> = None;
        for open_zones in zone_choices {
            let slots = self.slots(requirements, tasks, open_zones, tasks_by_zone);
            let is_sooner = |best: &Vec<GangSlot>| last_slot_s(&slots) < last_slot_s(best);
            if slots.len() == tasks && best.as_ref().is_none_or(is_sooner) {
                best = Some(slots);
            }
        }
        best
    }

    /// Preempts work for a gang, in the set of zones where the least work is lost, if this and the capacity
    /// free within [`RESERVATION_HORIZON_S`] suffice for all of its tasks. Preempting for only a part of them
    /// would waste that work.
    pub(super) fn preempt_for_gang(
        &mut self,
        requirements: &TaskRequirements<'a>,
        tasks: usize,
        zone_choices: &[OpenZones],
        tasks_by_zone: &TasksByZone,
    ) -> Option<Vec<GangSlot>> {
        // Not supported for spread gangs: their tasks per zone would have to be counted while victims are
        // chosen.
        if !self.may_preempt(requirements.job)
            || requirements.job.spec.spread
            || self.preemption_searches >= PREEMPTION_SEARCHES_PER_PASS
        {
            return None;
        }
        self.preemption_searches += 1;
        let mut best: Option<PreemptionPlan> = None;
        for open_zones in zone_choices {
            let slots = self.slots(requirements, tasks, open_zones, tasks_by_zone);
            let Some(plan) = self.preemption_plan(requirements, tasks, open_zones, slots) else {
                continue;
            };
            if best.as_ref().is_none_or(|best| plan.lost_s < best.lost_s) {
                best = Some(plan);
            }
        }
        let best = best?;
        for victim_machine in best.victim_machines {
            self.stop_victims(victim_machine.machine_index, victim_machine.victims);
        }
        Some(best.slots)
    }

    /// Returns the cheapest preemptions in these zones that complete the slots of a gang.
    fn preemption_plan(
        &self,
        requirements: &TaskRequirements<'a>,
        tasks: usize,
        open_zones: &OpenZones,
        mut slots: Vec<GangSlot>,
    ) -> Option<PreemptionPlan> {
        let used_machines: HashSet<usize> = slots.iter().map(|slot| slot.machine_index).collect();
        let mut victim_machines: Vec<MachineVictims> = (0..self.capacities.len())
            .filter(|machine_index| {
                !used_machines.contains(machine_index)
                    && self.is_allowed(requirements, *machine_index, open_zones)
            })
            .filter_map(|machine_index| {
                let victims = self.victims(requirements, machine_index)?;
                Some(MachineVictims {
                    machine_index,
                    victims,
                })
            })
            .collect();
        victim_machines.sort_by(|left, right| {
            let cost_order = left.victims.total_cost_s.total_cmp(&right.victims.total_cost_s);
            cost_order.then(left.machine_index.cmp(&right.machine_index))
        });
        let missing = tasks - slots.len();
        if victim_machines.len() < missing {
            return None;
        }
        victim_machines.truncate(missing);
        slots.extend(victim_machines.iter().map(|victim_machine| GangSlot {
            available_in_s: STOP_GRACE_EXTRA_S,
            has_image: self.has_image(requirements, victim_machine.machine_index),
            machine_index: victim_machine.machine_index,
        }));
        slots.sort_by(|left, right| left.available_in_s.total_cmp(&right.available_in_s));
        Some(PreemptionPlan {
            lost_s: victim_machines
                .iter()
                .map(|victim_machine| victim_machine.victims.total_cost_s)
                .sum(),
            slots,
            victim_machines,
        })
    }

    /// Returns slots for this many tasks in these zones, the earliest first, or fewer if there are no more
    /// within [`RESERVATION_HORIZON_S`].
    fn slots(
        &self,
        requirements: &TaskRequirements<'a>,
        tasks: usize,
        open_zones: &OpenZones,
        tasks_by_zone: &TasksByZone,
    ) -> Vec<GangSlot> {
        let mut slots: Vec<GangSlot> = Vec::new();
        for machine_index in (0..self.capacities.len())
            .filter(|machine_index| self.is_allowed(requirements, *machine_index, open_zones))
        {
            self.add_slots_of(requirements, tasks, machine_index, &mut slots);
        }
        slots.sort_by(|left, right| {
            (left.available_in_s.total_cmp(&right.available_in_s))
                .then(right.has_image.cmp(&left.has_image))
                .then(left.machine_index.cmp(&right.machine_index))
        });
        let zone_cap = requirements.job.spec.max_tasks_per_zone();
        let mut tasks_by_zone = tasks_by_zone.clone();
        slots.retain(|slot| {
            let Some((_, zone)) = self.capacities[slot.machine_index].type_and_zone else {
                return false;
            };
            let fits = tasks_by_zone[zone] < zone_cap;
            tasks_by_zone[zone] += u32::from(fits);
            fits
        });
        slots.truncate(tasks);
        slots
    }

    /// Adds the slots of one machine: those available now, and those available as its tasks end.
    fn add_slots_of(
        &self,
        requirements: &TaskRequirements<'a>,
        tasks: usize,
        machine_index: usize,
        slots: &mut Vec<GangSlot>,
    ) {
        let needs = requirements.job.spec.needs;
        let has_image = self.has_image(requirements, machine_index);
        let capacity = &self.capacities[machine_index];
        let mut task_ends = self.task_ends(&capacity.running).into_iter();
        let mut free = capacity.free;
        let mut available_in_s = 0.0;
        let mut slots_found = 0;
        loop {
            while slots_found < tasks && needs.fits_in(&free) {
                free -= needs;
                slots_found += 1;
                slots.push(GangSlot {
                    available_in_s,
                    has_image,
                    machine_index,
                });
            }
            let Some(task_end) = task_ends.next() else {
                break;
            };
            available_in_s = task_end.ends_in_s;
            free += task_end.running.attempt.needs;
        }
    }

    /// Returns the estimated ends of a machine's tasks within [`RESERVATION_HORIZON_S`], the earliest first.
    fn task_ends<'r>(&self, running: &'r [RunningTask<'a>]) -> Vec<TaskEnd<'r, 'a>> {
        let mut task_ends: Vec<TaskEnd<'r, 'a>> = running
            .iter()
            .map(|running| TaskEnd {
                ends_in_s: self.ends_in_s(running),
                running,
            })
            .filter(|task_end| task_end.ends_in_s <= RESERVATION_HORIZON_S)
            .collect();
        task_ends.sort_by(|left, right| left.ends_in_s.total_cmp(&right.ends_in_s));
        task_ends
    }

    /// Returns the estimated time until a task has left its machine, in s.
    pub(super) fn ends_in_s(&self, running: &RunningTask<'_>) -> f64 {
        if running.stopping {
            return running.job.map_or(0.0, |job| grace_s(&job.spec)) + STOP_GRACE_EXTRA_S;
        }
        remaining_s(running.attempt, self.cluster.now)
    }
}
