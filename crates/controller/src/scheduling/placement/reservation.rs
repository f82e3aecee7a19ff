//! The reserve phase for large and overdue gangs: machines, and a part of the team's limit, are reserved
//! for a gang until it can begin, and other work backfills as far as it ends before.
//!
//! Nothing of this is persisted: a new leader derives the same from the jobs' sizes and ages, and machines
//! are chosen afresh in every pass, those first that are soonest free.

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

/// For which gang capacity is reserved, and until when.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reservation<'a> {
    job: &'a JobId,
    priority: Priority,
    /// In how many s the gang can use it, by estimate.
    in_s: f64,
}

impl<'a> Reservation<'a> {
    fn new(job: &'a Job, in_s: f64) -> Reservation<'a> {
        Reservation {
            job: &job.spec.id,
            priority: job.spec.priority,
            in_s,
        }
    }

    /// Whether the job may use the capacity nevertheless. More urgent work always may, and work
    /// that ends before the gang could begin backfills.
    pub(super) fn admits(&self, spec: &JobSpec) -> bool {
        let ends_before = spec.estimate_s > 0.0 && spec.estimate_s * RUN_MARGIN_FACTOR <= self.in_s;
        *self.job == spec.id || spec.priority < self.priority || ends_before
    }

    /// Whether it is the job's own.
    pub(super) fn is_for(&self, job: &Job) -> bool {
        *self.job == job.spec.id
    }
}

/// What is reserved of a team's limit for a large gang.
///
/// Without it, a gang at its team's limit never began: what came free of the limit went to
/// small jobs of the team one by one, as places on machines did.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReservedQuota<'a> {
    team: &'a str,
    reservation: Reservation<'a>,
    needs: Resources,
}

/// When a running task frees its resources.
struct Release {
    in_s: f64,
    needs: Resources,
}

impl<'a> Pass<'a> {
    /// Reserves machines of one zone, or of all that it may use, for a large or overdue gang whose turn
    /// comes before its peers': those that are soonest free by their tasks' estimates, if that is within
    /// [`RESERVATION_HORIZON_S`]; or else those where work may be preempted for it, and least is lost.
    pub(super) fn reserve_capacity(&mut self, entry: &QueueEntry<'a>) {
        let job = entry.job;
        let tasks = job.waiting.len();
        if !self.may_reserve(entry, tasks) {
            return;
        }
        let tasks_by_zone = self.zones_of(&job.spec.id);
        let is_fresh = job.gang.is_none() && tasks_by_zone.iter().all(|count| *count == 0);
        let with_units = self.tasks_with_units(entry, entry.tasks);
        if !is_fresh && !job.gang.is_some_and(|gang| gang.open()) || (with_units as usize) < tasks {
            return;
        }
        let Some(in_s) = self.reserve_quota(job, tasks) else {
            return;
        };
        let Some(slots) = self.slots_to_reserve(job, tasks, in_s, &tasks_by_zone) else {
            return;
        };
        self.reserved_slots += tasks;
        let reservation = Reservation::new(job, last_slot_s(&slots).max(in_s));
        self.reservations.push(reservation);
        for slot in &slots {
            self.capacities[slot.at].reservation = Some(reservation);
        }
    }

    /// Whether the entry is of a gang for which capacity may be reserved in this pass.
    fn may_reserve(&self, entry: &QueueEntry<'_>, tasks: usize) -> bool {
        let goes_first = entry.large_first || entry.overdue;
        let most = (MAX_RESERVED_SHARE * self.capacities.len() as f64) as usize;
        // The oldest is never refused, however small the fleet.
        let is_allowed = self.reserved_slots == 0 || self.reserved_slots + tasks <= most;
        goes_first && entry.job.spec.shape == Shape::Gang && is_allowed
    }

    /// Slots for all tasks of the gang, whose team's limit has room for it in this many s.
    fn slots_to_reserve(
        &mut self,
        job: &'a Job,
        tasks: usize,
        quota_in_s: f64,
        tasks_by_zone: &TasksByZone,
    ) -> Option<Vec<GangSlot>> {
        let requirements = self.requirements(job);
        let open = self.open_zones(&job.spec, tasks_by_zone);
        let choices = self.zone_choices(&job.spec, &open);
        self.resolve_running_jobs();
        let soonest = self.soonest_slots(&requirements, tasks, &choices, tasks_by_zone);
        // What would be preempted for a gang that waits for its team's limit would be lost in vain.
        if soonest.is_some() || quota_in_s > 0.0 {
            return soonest;
        }
        self.preempt_for_gang(&requirements, tasks, &choices, tasks_by_zone)
    }

    /// In how many s its team's limit has room for the gang, by estimate: none, if not within
    /// [`RESERVATION_HORIZON_S`]. That much of the limit is reserved for it, for one gang of a team at a time, and
    /// for a part of the time only: where no machines can be had, the team's other work goes on.
    fn reserve_quota(&mut self, job: &'a Job, tasks: usize) -> Option<f64> {
        let name = job.spec.team.as_str();
        let team = self.team(name)?;
        let needs = job.spec.needs.times(tasks as f64);
        let mut used = self.usage.of(name);
        used += self.quota_reserved_from(&job.spec);
        used += needs;
        let turn_ms = job
            .age_ms(self.cluster.now)
            .saturating_sub(LARGE_JOB_PRIORITY_AFTER_MS)
            % QUOTA_RESERVATION_PERIOD_MS;
        if turn_ms >= QUOTA_RESERVATION_MS || self.reserved_quotas.iter().any(|quota| quota.team == name) {
            return team.allows(&used).then_some(0.0);
        }
        let in_s = if team.allows(&used) {
            0.0
        } else {
            self.quota_in_s(team, used)?
        };
        self.reserved_quotas.push(ReservedQuota {
            team: name,
            reservation: Reservation::new(job, in_s),
            needs,
        });
        Some(in_s)
    }

    /// In how many s so much of the team's running work will have ended that its limit allows this usage.
    fn quota_in_s(&self, team: &Team, mut used: Resources) -> Option<f64> {
        let running = self.capacities.iter().flat_map(|capacity| &capacity.running);
        let mut releases: Vec<Release> = running
            .filter(|running| *running.attempt.team == *team.name)
            .map(|running| Release {
                in_s: self.ends_in_s(running),
                needs: running.attempt.needs,
            })
            .filter(|release| release.in_s <= RESERVATION_HORIZON_S)
            .collect();
        releases.sort_by(|left, right| left.in_s.total_cmp(&right.in_s));
        releases.into_iter().find_map(|release| {
            used -= release.needs;
            team.allows(&used).then_some(release.in_s)
        })
    }

    /// Whether a part of its team's limit is reserved for the job.
    pub(super) fn has_reserved_quota(&self, job: &Job) -> bool {
        self.reserved_quotas
            .iter()
            .any(|quota| quota.reservation.is_for(job))
    }

    /// What is reserved of the team's limit for others than this job.
    pub(super) fn quota_reserved_from(&self, spec: &JobSpec) -> Resources {
        let mut reserved = Resources::default();
        for quota in &self.reserved_quotas {
            if quota.team == spec.team && !quota.reservation.admits(spec) {
                reserved += quota.needs;
            }
        }
        reserved
    }

    /// Releases what was reserved for the job: it has started.
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
