//! The reserve phase for large and overdue gangs: reserves machines and a part of the team's limit for a gang
//! until it can start. Other work backfills if it ends before that.
//!
//! Reservations are not persisted: a new leader derives them from the jobs' sizes and ages, and each pass
//! chooses the machines again, preferring those that are free earliest.

use super::gang_slots::{GangSlot, last_slot_s};
use super::pass::{Pass, TasksByZone};
use super::queue_order::QueueEntry;
use crate::constants::{
    LARGE_JOB_PRIORITY_AFTER_MS, MAX_RESERVED_SHARE, QUOTA_RESERVATION_MS, QUOTA_RESERVATION_PERIOD_MS,
    RESERVATION_HORIZON_S, RUN_MARGIN_FACTOR,
};
use crate::model::{Job, JobId, JobSpec, Resources};
use crate::protocol::{Priority, Shape};
use crate::settings::Team;

/// A reservation of capacity for a gang.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reservation<'a> {
    job: &'a JobId,
    priority: Priority,
    /// Estimated time until the gang can use the capacity, in s.
    available_in_s: f64,
}

impl<'a> Reservation<'a> {
    fn new(job: &'a Job, available_in_s: f64) -> Reservation<'a> {
        Reservation {
            job: &job.spec.id,
            priority: job.spec.priority,
            available_in_s,
        }
    }

    /// Whether the job may use the reserved capacity: as its own, because its priority is higher, or as
    /// backfill that ends before the gang could start.
    pub(super) fn admits(&self, spec: &JobSpec) -> bool {
        let ends_before = spec.estimate_s > 0.0 && spec.estimate_s * RUN_MARGIN_FACTOR <= self.available_in_s;
        *self.job == spec.id || spec.priority < self.priority || ends_before
    }

    /// Whether the reservation is for this job.
    pub(super) fn is_for(&self, job: &Job) -> bool {
        *self.job == job.spec.id
    }
}

/// The part of a team's limit that is reserved for a large gang.
///
/// Without it, a gang of a team at its limit never started: freed parts of the limit went to the team's small
/// jobs one by one.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReservedQuota<'a> {
    team: &'a str,
    reservation: Reservation<'a>,
    needs: Resources,
}

/// The estimated end of a running task, which frees its resources.
struct TaskEnd {
    ends_in_s: f64,
    needs: Resources,
}

impl<'a> Pass<'a> {
    /// Reserves machines for a large or overdue gang that goes first, in one zone if it needs that, else in
    /// all zones that it may use. Chooses the machines that are estimated to be free earliest, if that is
    /// within [`RESERVATION_HORIZON_S`]; otherwise those on which preemption for the gang loses the least
    /// work.
    pub(super) fn reserve_capacity(&mut self, entry: &QueueEntry<'a>) {
        let job = entry.job;
        let tasks = job.waiting.len();
        if !self.may_reserve(entry, tasks) {
            return;
        }
        let tasks_by_zone = self.job_tasks_by_zone(&job.spec.id);
        let is_unstarted = job.gang.is_none() && tasks_by_zone.iter().all(|count| *count == 0);
        let with_units = self.tasks_with_units(entry, entry.tasks);
        if !is_unstarted && !job.gang.is_some_and(|gang| gang.accepts_tasks())
            || (with_units as usize) < tasks
        {
            return;
        }
        let Some(available_in_s) = self.reserve_quota(job, tasks) else {
            return;
        };
        let Some(slots) = self.slots_to_reserve(job, tasks, available_in_s, &tasks_by_zone) else {
            return;
        };
        self.reserved_slots += tasks;
        let reservation = Reservation::new(job, last_slot_s(&slots).max(available_in_s));
        self.reservations.push(reservation);
        for slot in &slots {
            self.capacities[slot.machine_index].reservation = Some(reservation);
        }
    }

    /// Whether the entry is a gang for which capacity may be reserved in this pass.
    fn may_reserve(&self, entry: &QueueEntry<'_>, tasks: usize) -> bool {
        let goes_first = entry.large_first || entry.overdue;
        let max_slots = (MAX_RESERVED_SHARE * self.capacities.len() as f64) as usize;
        // The first gang in the order always gets its reservation, however small the fleet.
        let is_allowed = self.reserved_slots == 0 || self.reserved_slots + tasks <= max_slots;
        goes_first && entry.job.spec.shape == Shape::Gang && is_allowed
    }

    /// Returns slots for all tasks of the gang, given the time in s until its team's limit allows it.
    fn slots_to_reserve(
        &mut self,
        job: &'a Job,
        tasks: usize,
        quota_available_in_s: f64,
        tasks_by_zone: &TasksByZone,
    ) -> Option<Vec<GangSlot>> {
        let requirements = self.requirements(job);
        let open_zones = self.open_zones(&job.spec, tasks_by_zone);
        let zone_choices = self.zone_choices(&job.spec, &open_zones);
        self.resolve_running_jobs();
        let earliest = self.earliest_slots(&requirements, tasks, &zone_choices, tasks_by_zone);
        // Preempting work for a gang that still waits for its team's limit would waste that work.
        if earliest.is_some() || quota_available_in_s > 0.0 {
            return earliest;
        }
        self.preempt_for_gang(&requirements, tasks, &zone_choices, tasks_by_zone)
    }

    /// Returns the estimated time, in s, until the team's limit allows the gang; `None` if that is not within
    /// [`RESERVATION_HORIZON_S`]. Reserves the gang's resources of that limit, for one gang of a team at a
    /// time and only for a part of each period, so that the team's other work continues if no machines are
    /// available.
    fn reserve_quota(&mut self, job: &'a Job, tasks: usize) -> Option<f64> {
        let name = job.spec.team.as_str();
        let team = self.team(name)?;
        let needs = job.spec.needs.scaled_by(tasks as f64);
        let mut used = self.usage.of(name);
        used += self.quota_reserved_for_others(&job.spec);
        used += needs;
        let elapsed_in_period_ms = job
            .age_ms(self.cluster.now)
            .saturating_sub(LARGE_JOB_PRIORITY_AFTER_MS)
            % QUOTA_RESERVATION_PERIOD_MS;
        if elapsed_in_period_ms >= QUOTA_RESERVATION_MS
            || self.reserved_quotas.iter().any(|quota| quota.team == name)
        {
            return team.allows(&used).then_some(0.0);
        }
        let available_in_s = if team.allows(&used) {
            0.0
        } else {
            self.quota_available_in_s(team, used)?
        };
        self.reserved_quotas.push(ReservedQuota {
            team: name,
            reservation: Reservation::new(job, available_in_s),
            needs,
        });
        Some(available_in_s)
    }

    /// Returns the estimated time, in s, until enough of the team's running work has ended for its limit to
    /// allow this usage.
    fn quota_available_in_s(&self, team: &Team, mut used: Resources) -> Option<f64> {
        let running = self.capacities.iter().flat_map(|capacity| &capacity.running);
        let mut task_ends: Vec<TaskEnd> = running
            .filter(|running| *running.attempt.team == *team.name)
            .map(|running| TaskEnd {
                ends_in_s: self.ends_in_s(running),
                needs: running.attempt.needs,
            })
            .filter(|task_end| task_end.ends_in_s <= RESERVATION_HORIZON_S)
            .collect();
        task_ends.sort_by(|left, right| left.ends_in_s.total_cmp(&right.ends_in_s));
        task_ends.into_iter().find_map(|task_end| {
            used -= task_end.needs;
            team.allows(&used).then_some(task_end.ends_in_s)
        })
    }

    /// Whether a part of the team's limit is reserved for the job.
    pub(super) fn has_reserved_quota(&self, job: &Job) -> bool {
        self.reserved_quotas
            .iter()
            .any(|quota| quota.reservation.is_for(job))
    }

    /// Returns the resources of the team's limit that are reserved for other jobs.
    pub(super) fn quota_reserved_for_others(&self, spec: &JobSpec) -> Resources {
        let mut reserved = Resources::default();
        for quota in &self.reserved_quotas {
            if quota.team == spec.team && !quota.reservation.admits(spec) {
                reserved += quota.needs;
            }
        }
        reserved
    }

    /// Releases the reservations of a job that has started.
    pub(super) fn release_reservations(&mut self, job: &Job) {
        for capacity in &mut self.capacities {
            capacity.reservation = capacity
                .reservation
                .filter(|reservation| !reservation.is_for(job));
        }
        self.reserved_quotas
            .retain(|quota| !quota.reservation.is_for(job));
    }
}
