//! Preemption for units of counted resources: chooses the holders to stop so that their units are freed.

use super::pass::Pass;
use super::queue_order::QueueEntry;
use crate::allocations::Attempt;
use crate::constants::UNIT_PREEMPTIONS_PER_PASS;
use crate::model::{Job, JobId};
use crate::protocol::Shape;
use indigopath_counted_resources::{Demand, Name};
use std::collections::HashMap;

impl<'a> Pass<'a> {
    /// Preempts holders of these units, if enough of them may be preempted for the entry: work of lower
    /// priority, or, for guaranteed units, work of teams that borrow. Returns whether that freed all of them.
    pub(super) fn preempt_for_units(
        &mut self,
        entry: &QueueEntry<'a>,
        mut missing: Vec<(Name, u32)>,
    ) -> bool {
        if self.unit_preemptions >= UNIT_PREEMPTIONS_PER_PASS {
            return false;
        }
        self.resolve_running_jobs();
        let Some(chosen) = self.choose_unit_victims(entry, &missing) else {
            return false;
        };
        for victim in chosen {
            log::debug!(
                "preempted for counted units job={} for_job={}",
                victim.attempt.task.job,
                entry.job.spec.id
            );
            self.stop_unit_victim(&victim, &mut missing);
        }
        true
    }

    /// Returns the cheapest victims that together free all missing units.
    fn choose_unit_victims(
        &self,
        entry: &QueueEntry<'a>,
        missing: &[(Name, u32)],
    ) -> Option<Vec<UnitVictim<'a>>> {
        let mut victims = self.unit_victims(entry, missing);
        victims.sort_by(|left, right| left.lost_s.total_cmp(&right.lost_s));
        let mut still_missing = missing.to_vec();
        let mut reclaimed: HashMap<(&str, &str), u32> = HashMap::new();
        let mut chosen: Vec<UnitVictim<'a>> = Vec::new();
        for victim in victims {
            if still_missing.iter().all(|(_, units)| *units == 0) {
                break;
            }
            let frees_missing = still_missing
                .iter()
                .any(|(count, units)| *units > 0 && victim.units(count) > 0);
            if !frees_missing || !self.claim_borrowed_units(&victim, &mut reclaimed) {
                continue;
            }
            for (count, units) in &mut still_missing {
                *units = units.saturating_sub(victim.units(count));
            }
            chosen.push(victim);
        }
        if still_missing.iter().any(|(_, units)| *units > 0) {
            return None;
        }
        drop_redundant(&mut chosen, missing);
        Some(chosen)
    }

    fn stop_unit_victim(&mut self, victim: &UnitVictim<'a>, missing: &mut [(Name, u32)]) {
        self.unit_preemptions += 1;
        for _ in 0..victim.tasks {
            self.unit_ledger.record_stops(victim.team, victim.counts, missing);
        }
        let capacity = &mut self.capacities[victim.machine_index];
        let machine = capacity.machine.id.clone();
        capacity.stopping_resources += victim.attempt.needs;
        capacity.running[victim.running_index].stopping = true;
        self.any_stopping = true;
        self.stop(victim.attempt, machine);
    }

    /// Returns the work that holds any of these units and may be preempted for the entry. A gang is listed
    /// once, with all its tasks.
    fn unit_victims(&self, entry: &QueueEntry<'a>, missing: &[(Name, u32)]) -> Vec<UnitVictim<'a>> {
        let job = entry.job;
        let mut victims: Vec<UnitVictim<'a>> = Vec::new();
        let mut gangs: HashMap<&JobId, usize> = HashMap::new();
        for (machine_index, capacity) in self.capacities.iter().enumerate() {
            for (running_index, running) in capacity.running.iter().enumerate() {
                let attempt = running.attempt;
                let holds_missing = missing.iter().any(|(count, _)| attempt.counts.units(count) > 0);
                if !holds_missing || running.stopping || attempt.exited() {
                    continue;
                }
                let Some(holder) = running.job else { continue };
                let has_lower_priority = holder.spec.priority > job.spec.priority;
                if !has_lower_priority && !may_reclaim(entry, holder) {
                    continue;
                }
                if let Some(victim_index) = gangs.get(&holder.spec.id) {
                    victims[*victim_index].tasks += 1;
                    continue;
                }
                if holder.spec.shape == Shape::Gang {
                    gangs.insert(&holder.spec.id, victims.len());
                }
                victims.push(UnitVictim {
                    attempt,
                    machine_index,
                    running_index,
                    team: &attempt.team,
                    counts: &attempt.counts,
                    tasks: 1,
                    has_lower_priority,
                    lost_s: self.lost_work_s(attempt, holder),
                });
            }
        }
        victims
    }

    /// Whether everything that a victim holds of shared counted resources is borrowed, in addition to what
    /// earlier victims give back; if so, adds it to `reclaimed`. Victims of lower priority always qualify.
    fn claim_borrowed_units(
        &self,
        victim: &UnitVictim<'a>,
        reclaimed: &mut HashMap<(&'a str, &'a str), u32>,
    ) -> bool {
        if victim.has_lower_priority {
            return true;
        }
        let held_units: Vec<(&'a str, u32)> = victim
            .counts
            .iter()
            .map(|(count, _)| &**count)
            .filter(|count| self.unit_ledger.get(count).is_some_and(|pool| pool.has_shares()))
            .map(|count| (count, victim.units(count)))
            .collect();
        let is_borrowed = !held_units.is_empty()
            && held_units.iter().all(|(count, units)| {
                let borrowed = self
                    .unit_ledger
                    .get(count)
                    .map_or(0, |pool| pool.borrowed(victim.team));
                let reclaimed_before = reclaimed.get(&(victim.team, *count)).copied().unwrap_or(0);
                reclaimed_before + units <= borrowed
            });
        if is_borrowed {
            for (count, units) in held_units {
                *reclaimed.entry((victim.team, count)).or_default() += units;
            }
        }
        is_borrowed
    }
}

/// Whether the entry's team is guaranteed units that the holder, of another team, may have borrowed.
fn may_reclaim(entry: &QueueEntry<'_>, holder: &Job) -> bool {
    entry.units_guaranteed
        && holder.spec.priority >= entry.job.spec.priority
        && holder.spec.team != entry.job.spec.team
}

/// Drops victims whose units are not needed: the cheapest were chosen first, and a more expensive one may
/// have made some of them redundant.
fn drop_redundant(chosen: &mut Vec<UnitVictim<'_>>, missing: &[(Name, u32)]) {
    let mut surplus: HashMap<Name, u32> = HashMap::new();
    for (count, units) in missing {
        let freed_units: u32 = chosen.iter().map(|victim| victim.units(count)).sum();
        surplus.insert(count.clone(), freed_units.saturating_sub(*units));
    }
    chosen.retain(|victim| {
        let is_redundant = missing
            .iter()
            .all(|(count, _)| victim.units(count) <= surplus.get(count).copied().unwrap_or(0));
        if is_redundant {
            for (count, surplus_units) in &mut surplus {
                *surplus_units -= victim.units(count).min(*surplus_units);
            }
        }
        !is_redundant
    });
}

/// Work that holds units and may be preempted.
struct UnitVictim<'a> {
    attempt: &'a Attempt,
    /// Index of its machine in the pass.
    machine_index: usize,
    /// Its index among the machine's running tasks.
    running_index: usize,
    team: &'a str,
    counts: &'a Demand,
    /// Number of tasks that are stopped with it.
    tasks: u32,
    /// Whether its priority is lower, so that it may be preempted even if its units are not borrowed.
    has_lower_priority: bool,
    /// Seconds of work lost by its stop.
    lost_s: f64,
}

impl UnitVictim<'_> {
    fn units(&self, count: &str) -> u32 {
        self.counts.units(count).saturating_mul(self.tasks)
    }
}
