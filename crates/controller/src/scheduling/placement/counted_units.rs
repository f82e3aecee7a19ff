//! Units of counted resources in a pass: which tasks have them, and which wait for them.

use super::pass::Pass;
use super::queue_order::QueueEntry;
use crate::allocations::{Attempt, Machine};
use crate::constants::{MIN_OCCUPANCY_S, SECOND_MS, UNIT_SEARCHES_PER_JOB};
use crate::model::{Job, JobId, JobSpec, MachineId, Timestamp};
use crate::protocol::Priority;
use indigopath_counted_resources::{
    Definitions, Linger, Name, Requester, ReservationPolicy, Shortage, UnitLedger, UsageFeed,
};
use std::collections::{BTreeMap, HashMap};

/// What is known of counted resources apart from what runs.
#[derive(Clone, Copy)]
pub struct CountedUnits<'a> {
    /// Counted resources as the operators define them.
    pub definitions: &'a Definitions,
    /// How free units are shared among requests.
    pub policy: ReservationPolicy,
    /// Jobs for which the last passes reserved units, and since when.
    pub reserved_since: &'a BTreeMap<JobId, Timestamp>,
    /// What licence servers say.
    pub feeds: &'a BTreeMap<Name, UsageFeed>,
    /// Units of attempts that are gone, which no licence server has back yet.
    pub lingers: &'a [Linger],
    /// Machines that went lately: a licence server may still name them.
    pub recently_released: &'a HashMap<MachineId, Timestamp>,
}

/// Tasks that wait for units only, or before anything else.
#[derive(Debug, Clone, PartialEq)]
pub struct UnsatisfiedDemand {
    /// The job.
    pub job: JobId,
    /// How many of its tasks wait.
    pub tasks: u32,
    /// What they lack.
    pub shortage: Shortage,
}

impl<'a> CountedUnits<'a> {
    /// Completes a book in which all attempts stand.
    pub(super) fn add_external_usage(
        &self,
        ledger: &mut UnitLedger<'a>,
        machines: &BTreeMap<MachineId, Machine>,
        now: Timestamp,
    ) {
        for linger in self.lingers.iter().filter(|linger| now < linger.until) {
            let left_s = (linger.until - now) as f64 / SECOND_MS as f64;
            ledger.linger(&linger.team, &linger.count, linger.units, left_s);
        }
        // A server that nobody has asked yet closes its count as well.
        ledger.apply_server_usage(self.feeds, now, |host| {
            machines.contains_key(host) || self.recently_released.contains_key(host)
        });
    }
}

/// Who holds what now, for those who ask between passes.
pub fn unit_ledger<'a>(
    machines: &'a BTreeMap<MachineId, Machine>,
    units: &CountedUnits<'a>,
    now: Timestamp,
) -> UnitLedger<'a> {
    let mut ledger = UnitLedger::with_policy(units.definitions, units.policy);
    for attempt in machines.values().flat_map(|machine| &machine.attempts) {
        record_units(&mut ledger, attempt, now);
    }
    units.add_external_usage(&mut ledger, machines, now);
    ledger
}

/// Notes the units, if any, that an attempt holds.
pub(super) fn record_units<'a>(ledger: &mut UnitLedger<'a>, attempt: &'a Attempt, now: Timestamp) {
    if !attempt.holds_units() {
        return;
    }
    let over_s = attempt.elapsed_s(now) - attempt.estimate_s;
    let left_s = if attempt.estimate_s <= 0.0 {
        f64::INFINITY
    } else if over_s <= 0.0 {
        -over_s
    } else {
        // What has run over may do so for as long again: else it would seem about to end
        // for ever.
        over_s.max(MIN_OCCUPANCY_S)
    };
    ledger.hold(&attempt.team, &attempt.counts, left_s, attempt.stop.is_some());
}

/// For how long a task of this job holds its units, in s, as far as its owner says.
pub(super) fn units_held_s(spec: &JobSpec) -> f64 {
    if spec.estimate_s > 0.0 {
        spec.estimate_s
    } else {
        f64::INFINITY
    }
}

impl<'a> Pass<'a> {
    /// The job as the shared counts see it.
    fn asker(&self, job: &Job) -> Requester {
        let now = self.cluster.now;
        let reserved_since = self
            .cluster
            .units
            .reserved_since
            .get(&job.spec.id)
            .copied()
            .unwrap_or(now);
        Requester {
            age_s: job.age_ms(now) as f64 / SECOND_MS as f64,
            estimate_s: job.spec.estimate_s,
            reserved_s: now.saturating_sub(reserved_since) as f64 / SECOND_MS as f64,
        }
    }

    /// How many of `max_tasks` tasks of the job may have their units now.
    pub(super) fn tasks_with_units(&self, entry: &QueueEntry<'a>, max_tasks: u32) -> u32 {
        if !entry.needs_units {
            return max_tasks;
        }
        match entry.single_count {
            Some(only) => self
                .unit_ledger
                .startable_tasks_of(only, max_tasks, || self.asker(entry.job)),
            None => {
                let asker = self.asker(entry.job);
                self.unit_ledger
                    .startable_tasks(&entry.job.spec.counts, max_tasks, &asker)
            }
        }
    }

    /// How many of `tasks` that lack machines would have units once these came. For the
    /// others nothing is rented.
    pub(super) fn tasks_with_expected_units(&mut self, entry: &QueueEntry<'a>, tasks: u32) -> u32 {
        if !entry.needs_units || tasks == 0 {
            return tasks;
        }
        match entry.single_count {
            Some(only) => self.unit_ledger.promise_of(only, tasks),
            None => self.unit_ledger.promise(&entry.job.spec.counts, tasks),
        }
    }

    /// Tasks of the job wait for machines: what is free is reserved for it if it is old, or
    /// its units would be gone whenever its machines are there.
    pub(super) fn reserve_units(&mut self, entry: &QueueEntry<'a>) {
        let job = entry.job;
        let age_s = job.age_ms(self.cluster.now) as f64 / SECOND_MS as f64;
        if entry.needs_units && self.unit_ledger.may_reserve_at(age_s) {
            let asker = self.asker(job);
            if self
                .unit_ledger
                .reserve_for_machines(&job.spec.counts, job.gang_size(), &asker)
            {
                self.plan.units_reserved_for.insert(job.spec.id.clone());
            }
        }
    }

    /// Free units that are reserved, by count.
    pub(super) fn reserved_units(&self) -> BTreeMap<Name, u32> {
        let reserved = self.unit_ledger.pools().filter(|pool| pool.reserved() > 0);
        reserved
            .map(|pool| (Name::from(pool.name), pool.reserved().min(pool.free())))
            .collect()
    }

    /// `tasks` of the job, of which `together` start at once, find too few units: they
    /// wait, and what may be stopped for them is.
    pub(super) fn wait_for_units(&mut self, entry: &QueueEntry<'a>, together: u32, tasks: u32) {
        let job = entry.job;
        let asker = self.asker(job);
        let (shortage, reservation) = self
            .unit_ledger
            .handle_shortage(&job.spec.counts, together, &asker);
        if reservation {
            self.plan.units_reserved_for.insert(job.spec.id.clone());
        }
        if let Some(shortage) = shortage {
            self.plan.unsatisfied.push(UnsatisfiedDemand {
                job: job.spec.id.clone(),
                tasks,
                shortage,
            });
        }
        let lower = self.lowest_unit_priority() > Some(job.spec.priority);
        let rounds = (tasks / together.max(1)).min(UNIT_SEARCHES_PER_JOB);
        for _ in 0..rounds {
            // What is leaving goes to those who wait, in their order, whether or not
            // they may stop anything.
            let Some(missing) = self.unit_ledger.deficit(&job.spec.counts, together) else {
                return;
            };
            if !lower && !entry.units_guaranteed {
                return;
            }
            if !missing.units.is_empty() && !self.preempt_for_units(entry, missing.units) {
                return;
            }
            // Until the rest of what is being freed for it has come, what it has stays its
            // own. What only ends by itself is nothing to idle units for: an old request
            // has them reserved in any case.
            if !missing.awaits_completions {
                self.unit_ledger.claim(&job.spec.counts, together);
            }
        }
    }

    /// The lowest priority of any job that holds units.
    fn lowest_unit_priority(&mut self) -> Option<Priority> {
        if let Some(known) = self.lowest_unit_priority {
            return known;
        }
        self.resolve_running_jobs();
        let holders = self.capacities.iter().flat_map(|capacity| &capacity.running);
        let lowest = holders
            .filter(|running| !running.attempt.counts.is_empty())
            .filter_map(|running| running.job.map(|job| job.spec.priority))
            .max();
        self.lowest_unit_priority = Some(lowest);
        lowest
    }
}
