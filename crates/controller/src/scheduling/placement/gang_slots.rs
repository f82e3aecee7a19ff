//! Slots for large gangs: where and when each of their tasks finds capacity, by estimate or by preemption.

use super::grace_s;
use super::inventory::remaining_s;
use super::pass::{OpenZones, Pass, RunningTask, TaskRequirements, TasksByZone};
use super::preemption::Victims;
use crate::constants::{PREEMPTION_SEARCHES_PER_PASS, RESERVATION_HORIZON_S, STOP_GRACE_EXTRA_S};
use std::collections::HashSet;

/// Capacity for one task of a gang.
#[derive(Debug, Clone, Copy)]
pub(super) struct GangSlot {
    /// In how many s the machine has it, by estimate.
    pub(super) available_in_s: f64,
    has_image: bool,
    /// Position of the machine in the pass.
    pub(super) machine_index: usize,
}

/// When a running task frees its resources.
struct Release<'r, 'a> {
    available_in_s: f64,
    running: &'r RunningTask<'a>,
}

/// What would be preempted for a gang, and the capacity that it then has.
struct PreemptionPlan {
    /// Seconds of work lost.
    lost_s: f64,
    slots: Vec<GangSlot>,
    machine_victims: Vec<MachineVictims>,
}

/// What would be stopped on one machine.
struct MachineVictims {
    /// Position of the machine in the pass.
    machine_index: usize,
    victims: Victims,
}

/// In how many s the last task of a gang finds capacity.
pub(super) fn last_slot_s(slots: &[GangSlot]) -> f64 {
    slots.last().map_or(f64::INFINITY, |slot| slot.available_in_s)
}

impl<'a> Pass<'a> {
    /// Slots for all tasks of a gang that are soonest free, in one of these choices of zones.
    pub(super) fn earliest_slots(
        &self,
        requirements: &TaskRequirements<'a>,
        tasks: usize,
        choices: &[OpenZones],
        tasks_by_zone: &TasksByZone,
    ) -> Option<Vec<GangSlot>> {
        let mut best: Option<Vec<GangSlot>> = None;
        for zones in choices {
            let slots = self.slots(requirements, tasks, zones, tasks_by_zone);
            let is_sooner = |best: &Vec<GangSlot>| last_slot_s(&slots) < last_slot_s(best);
            if slots.len() == tasks && best.as_ref().is_none_or(is_sooner) {
                best = Some(slots);
            }
        }
        best
    }

    /// Preempts work for a gang, in the zone where least is lost, if that and what is free within
    /// [`RESERVATION_HORIZON_S`] makes capacity for all of its tasks: for a part of them work would be lost in
    /// vain.
    pub(super) fn preempt_for_gang(
        &mut self,
        requirements: &TaskRequirements<'a>,
        tasks: usize,
        choices: &[OpenZones],
        tasks_by_zone: &TasksByZone,
    ) -> Option<Vec<GangSlot>> {
        // A spread gang's zones would have to be counted while its capacity is made.
        if !self.may_preempt(requirements.job)
            || requirements.job.spec.spread
            || self.preemption_searches >= PREEMPTION_SEARCHES_PER_PASS
        {
            return None;
        }
        self.preemption_searches += 1;
        let mut best: Option<PreemptionPlan> = None;
        for zones in choices {
            let slots = self.slots(requirements, tasks, zones, tasks_by_zone);
            let Some(plan) = self.preemption_plan(requirements, tasks, zones, slots) else {
                continue;
            };
            if best.as_ref().is_none_or(|best| plan.lost_s < best.lost_s) {
                best = Some(plan);
            }
        }
        let best = best?;
        for victims_of_machine in best.machine_victims {
            self.stop_victims(victims_of_machine.machine_index, victims_of_machine.victims);
        }
        Some(best.slots)
    }

    /// The cheapest stops in these zones that complete the slots of a gang.
    fn preemption_plan(
        &self,
        requirements: &TaskRequirements<'a>,
        tasks: usize,
        zones: &OpenZones,
        mut slots: Vec<GangSlot>,
    ) -> Option<PreemptionPlan> {
        let used_machines: HashSet<usize> = slots.iter().map(|slot| slot.machine_index).collect();
        let mut machine_victims: Vec<MachineVictims> = (0..self.capacities.len())
            .filter(|machine_index| {
                !used_machines.contains(machine_index) && self.is_allowed(requirements, *machine_index, zones)
            })
            .filter_map(|machine_index| {
                let victims = self.victims(requirements, machine_index)?;
                Some(MachineVictims {
                    machine_index,
                    victims,
                })
            })
            .collect();
        machine_victims.sort_by(|left, right| {
            let by_cost = left.victims.total_cost_s.total_cmp(&right.victims.total_cost_s);
            by_cost.then(left.machine_index.cmp(&right.machine_index))
        });
        let missing = tasks - slots.len();
        if machine_victims.len() < missing {
            return None;
        }
        machine_victims.truncate(missing);
        slots.extend(machine_victims.iter().map(|stop| GangSlot {
            available_in_s: STOP_GRACE_EXTRA_S,
            has_image: self.has_image(requirements, stop.machine_index),
            machine_index: stop.machine_index,
        }));
        slots.sort_by(|left, right| left.available_in_s.total_cmp(&right.available_in_s));
        Some(PreemptionPlan {
            lost_s: machine_victims.iter().map(|stop| stop.victims.total_cost_s).sum(),
            slots,
            machine_victims,
        })
    }

    /// Slots for this many tasks in these zones, the soonest first; fewer if there are no more within
    /// [`RESERVATION_HORIZON_S`].
    fn slots(
        &self,
        requirements: &TaskRequirements<'a>,
        tasks: usize,
        zones: &OpenZones,
        tasks_by_zone: &TasksByZone,
    ) -> Vec<GangSlot> {
        let mut slots: Vec<GangSlot> = Vec::new();
        for machine_index in (0..self.capacities.len())
            .filter(|machine_index| self.is_allowed(requirements, *machine_index, zones))
        {
            self.add_slots_of(requirements, tasks, machine_index, &mut slots);
        }
        slots.sort_by(|left, right| {
            (left.available_in_s.total_cmp(&right.available_in_s))
                .then(right.has_image.cmp(&left.has_image))
                .then(left.machine_index.cmp(&right.machine_index))
        });
        let cap = requirements.job.spec.max_tasks_per_zone();
        let mut tasks_by_zone = tasks_by_zone.clone();
        slots.retain(|slot| {
            let Some((_, zone)) = self.capacities[slot.machine_index].type_and_zone else {
                return false;
            };
            let fits = tasks_by_zone[zone] < cap;
            tasks_by_zone[zone] += u32::from(fits);
            fits
        });
        slots.truncate(tasks);
        slots
    }

    /// Adds the slots of one machine: now, and as its tasks end.
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
        let mut releases = self.releases(&capacity.running).into_iter();
        let mut free = capacity.free;
        let mut available_in_s = 0.0;
        let mut found = 0;
        loop {
            while found < tasks && needs.fits_in(&free) {
                free -= needs;
                found += 1;
                slots.push(GangSlot {
                    available_in_s,
                    has_image,
                    machine_index,
                });
            }
            let Some(release) = releases.next() else {
                break;
            };
            available_in_s = release.available_in_s;
            free += release.running.attempt.needs;
        }
    }

    /// When the tasks of a machine end, the soonest first, as far as that is within [`RESERVATION_HORIZON_S`].
    fn releases<'r>(&self, running: &'r [RunningTask<'a>]) -> Vec<Release<'r, 'a>> {
        let mut releases: Vec<Release<'r, 'a>> = running
            .iter()
            .map(|running| Release {
                available_in_s: self.ends_in_s(running),
                running,
            })
            .filter(|release| release.available_in_s <= RESERVATION_HORIZON_S)
            .collect();
        releases.sort_by(|left, right| left.available_in_s.total_cmp(&right.available_in_s));
        releases
    }

    /// In how many s a task will have left its machine, by its owner's estimate.
    pub(super) fn ends_in_s(&self, running: &RunningTask<'_>) -> f64 {
        if running.stopping {
            return running.job.map_or(0.0, |job| grace_s(&job.spec)) + STOP_GRACE_EXTRA_S;
        }
        remaining_s(running.attempt, self.cluster.now)
    }
}
