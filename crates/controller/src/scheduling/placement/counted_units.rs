//! Units of counted resources in a pass: the tasks that hold them, and the tasks that wait for them.

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

/// The state of counted resources, apart from the units held by running tasks.
#[derive(Clone, Copy)]
pub struct CountedUnits<'a> {
    /// Counted resources as defined by the operators.
    pub definitions: &'a Definitions,
    /// How free units are reserved for and shared among requests.
    pub policy: ReservationPolicy,
    /// Jobs for which recent passes reserved units, with the start of the reservation.
    pub reserved_since: &'a BTreeMap<JobId, Timestamp>,
    /// Usage reported by licence servers.
    pub feeds: &'a BTreeMap<Name, UsageFeed>,
    /// Units of lost attempts that licence servers may not have reclaimed yet.
    pub lingers: &'a [Linger],
    /// Recently released machines, which licence servers may still report as hosts.
    pub recently_released: &'a HashMap<MachineId, Timestamp>,
}

/// Tasks that wait for units, whether or not they would also have to wait for machines.
#[derive(Debug, Clone, PartialEq)]
pub struct UnsatisfiedDemand {
    /// The job.
    pub job: JobId,
    /// Number of its tasks that wait.
    pub tasks: u32,
    /// The counted resource that they lack, and why.
    pub shortage: Shortage,
}

impl<'a> CountedUnits<'a> {
    /// Adds lingering units and licence server usage to a ledger that has all attempts.
    pub(super) fn add_external_usage(
        &self,
        ledger: &mut UnitLedger<'a>,
        machines: &BTreeMap<MachineId, Machine>,
        now: Timestamp,
    ) {
        for linger in self.lingers.iter().filter(|linger| now < linger.until) {
            let remaining_s = (linger.until - now) as f64 / SECOND_MS as f64;
            ledger.linger(&linger.team, &linger.count, linger.units, remaining_s);
        }
        // A counted resource whose server has not been polled yet is closed as well.
        ledger.apply_server_usage(self.feeds, now, |host| {
            machines.contains_key(host) || self.recently_released.contains_key(host)
        });
    }
}

/// Returns the units in use now, for callers outside a pass.
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

/// Records the units, if any, that an attempt holds.
pub(super) fn record_units<'a>(ledger: &mut UnitLedger<'a>, attempt: &'a Attempt, now: Timestamp) {
    if !attempt.holds_units() {
        return;
    }
    let overrun_s = attempt.elapsed_s(now) - attempt.estimate_s;
    let remaining_s = if attempt.estimate_s <= 0.0 {
        f64::INFINITY
    } else if overrun_s <= 0.0 {
        -overrun_s
    } else {
        // A task that has overrun its estimate is expected to run on for as long as the overrun. Otherwise it
        // would always seem about to end.
        overrun_s.max(MIN_OCCUPANCY_S)
    };
    ledger.hold(
        &attempt.team,
        &attempt.counts,
        remaining_s,
        attempt.stop.is_some(),
    );
}

/// Returns the estimated time for which a task of this job holds its units, in s.
pub(super) fn units_held_s(spec: &JobSpec) -> f64 {
    if spec.estimate_s > 0.0 {
        spec.estimate_s
    } else {
        f64::INFINITY
    }
}

impl<'a> Pass<'a> {
    /// Describes the job as a requester of units.
    fn requester(&self, job: &Job) -> Requester {
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

    /// Returns how many tasks of the entry, at most `max_tasks`, can have their units now.
    pub(super) fn tasks_with_units(&self, entry: &QueueEntry<'a>, max_tasks: u32) -> u32 {
        if !entry.needs_units {
            return max_tasks;
        }
        match entry.single_count {
            Some(count) => self
                .unit_ledger
                .available_of(count, max_tasks, || self.requester(entry.job)),
            None => {
                let requester = self.requester(entry.job);
                self.unit_ledger
                    .available(&entry.job.spec.counts, max_tasks, &requester)
            }
        }
    }

    /// Returns how many of `tasks` that lack machines would have their units once the machines are up. No
    /// machines are launched for the others.
    pub(super) fn tasks_with_expected_units(&mut self, entry: &QueueEntry<'a>, tasks: u32) -> u32 {
        if !entry.needs_units || tasks == 0 {
            return tasks;
        }
        match entry.single_count {
            Some(count) => self.unit_ledger.available_later_of(count, tasks),
            None => self.unit_ledger.available_later(&entry.job.spec.counts, tasks),
        }
    }

    /// Reserves free units for an old job whose tasks wait for machines. Otherwise other jobs would have
    /// taken its units whenever its machines become available.
    pub(super) fn reserve_units(&mut self, entry: &QueueEntry<'a>) {
        let job = entry.job;
        let age_s = job.age_ms(self.cluster.now) as f64 / SECOND_MS as f64;
        if entry.needs_units && self.unit_ledger.may_reserve_at(age_s) {
            let requester = self.requester(job);
            if self
                .unit_ledger
                .reserve_for_machines(&job.spec.counts, job.gang_size(), &requester)
            {
                self.plan.units_reserved_for.insert(job.spec.id.clone());
            }
        }
    }

    /// Returns the free units that are reserved, by counted resource.
    pub(super) fn reserved_units(&self) -> BTreeMap<Name, u32> {
        let reserved = self.unit_ledger.pools().filter(|pool| pool.reserved() > 0);
        reserved
            .map(|pool| (Name::from(pool.name), pool.reserved().min(pool.free())))
            .collect()
    }

    /// Handles a shortage of units for `tasks` of the entry, which start in groups of `gang_size`: records
    /// their demand, and preempts holders of units where allowed.
    pub(super) fn wait_for_units(&mut self, entry: &QueueEntry<'a>, gang_size: u32, tasks: u32) {
        let job = entry.job;
        let requester = self.requester(job);
        let (shortage, is_reserved) =
            self.unit_ledger
                .handle_shortage(&job.spec.counts, gang_size, &requester);
        if is_reserved {
            self.plan.units_reserved_for.insert(job.spec.id.clone());
        }
        if let Some(shortage) = shortage {
            self.plan.unsatisfied.push(UnsatisfiedDemand {
                job: job.spec.id.clone(),
                tasks,
                shortage,
            });
        }
        let has_lower_priority_holders = self.lowest_unit_priority() > Some(job.spec.priority);
        let preemption_rounds = (tasks / gang_size.max(1)).min(UNIT_SEARCHES_PER_JOB);
        for _ in 0..preemption_rounds {
            // Units being released go to the waiting jobs in order, whether or not they may preempt.
            let Some(deficit) = self.unit_ledger.deficit(&job.spec.counts, gang_size) else {
                return;
            };
            if !has_lower_priority_holders && !entry.units_guaranteed {
                return;
            }
            if !deficit.units.is_empty() && !self.preempt_for_units(entry, deficit.units) {
                return;
            }
            // Claims the free units while the rest is being released for it. Units are not left idle for
            // tasks that are only expected to end on their own: for an old request they are reserved anyway.
            if !deficit.awaits_completions {
                self.unit_ledger.claim(&job.spec.counts, gang_size);
            }
        }
    }

    /// Returns the lowest priority of any job that holds units.
    fn lowest_unit_priority(&mut self) -> Option<Priority> {
        if let Some(cached) = self.lowest_unit_priority {
            return cached;
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
