//! The queue sort phase: the order in which jobs are considered in a pass.

use super::ClusterSnapshot;
use super::pass::Pass;
use crate::constants::{DEFAULT_START_OBJECTIVE_S, MIN_RUN_ESTIMATE_SHARE, RUN_MARGIN_FACTOR, SECOND_MS};
use crate::model::{Job, JobId, Resources, Timestamp};
use crate::protocol::Shape;
use crate::scheduling::fair_share::StarvedOwners;
use crate::settings::Deployment;
use indigopath_counted_resources::SingleCount;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, btree_set};
use std::iter::{Copied, Skip, Take};

/// Whether a job is within its team's guarantees. Jobs that borrow units come last: otherwise an older
/// borrower would take the units back from the job for which they were just preempted, repeatedly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum GuaranteeRank {
    /// Within its team's guarantees.
    Within,
    /// Beyond the guaranteed resources of machines.
    BeyondMachines,
    /// Beyond the guaranteed units of counted resources.
    BeyondUnits,
}

/// An entry of the scheduling queue: some of a job's waiting tasks.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueEntry<'a> {
    pub(super) job: &'a Job,
    /// Number of the job's first waiting tasks that earlier entries of the job cover.
    pub(super) skip: u32,
    /// Number of waiting tasks after those that this entry covers.
    pub(super) tasks: u32,
    /// Whether it goes before others of its priority, as a large job that has waited a long time.
    pub(super) large_first: bool,
    /// Whether it goes before others of the same precedence because it is overdue; see [`super::aging`].
    pub(super) overdue: bool,
    /// Its rank among jobs of the same priority.
    pub(super) guarantee_rank: GuaranteeRank,
    /// Whether its team is guaranteed the units that these tasks request.
    pub(super) units_guaranteed: bool,
    /// Whether it requests units of counted resources.
    pub(super) needs_units: bool,
    /// Set if it requests units of a single counted resource, as most jobs do.
    pub(super) single_count: Option<SingleCount>,
}

/// Indexes of waiting tasks, in order.
pub(super) type WaitingTasks<'a> = Take<Skip<Copied<btree_set::Iter<'a, u32>>>>;

impl<'a> QueueEntry<'a> {
    /// Returns the first waiting tasks of the entry, at most `max_tasks`.
    pub(super) fn waiting_tasks(&self, max_tasks: u32) -> WaitingTasks<'a> {
        let waiting = self.job.waiting.iter().copied();
        waiting.skip(self.skip as usize).take(max_tasks as usize)
    }

    /// Returns the sort key that takes precedence over age: priority, whether the entry goes first or is
    /// protected, guarantee rank, and protection rank. The guarantee is compared before the protection
    /// rank: otherwise a protected job that borrows would take back, in the next pass, the capacity that
    /// it gave up for a guarantee.
    pub(super) fn precedence(&self, cluster: &ClusterSnapshot<'_>) -> impl Ord + use<> {
        let protection_rank = cluster
            .protection
            .standing(&self.job.spec.id)
            .map(|standing| standing.rank);
        let goes_before = self.large_first || protection_rank.is_some();
        (
            self.job.spec.priority,
            !goes_before,
            self.guarantee_rank,
            protection_rank.is_none(),
            protection_rank,
        )
    }

    /// Returns how many of its tasks go first if at most `max_tasks` may. A gang always goes whole, since a
    /// part of it cannot run.
    pub(super) fn first_tasks(&self, max_tasks: u32) -> u32 {
        match self.job.spec.shape {
            Shape::Gang => self.tasks,
            Shape::Array | Shape::Service => self.tasks.min(max_tasks),
        }
    }

    /// Returns the entry without its first `tasks` tasks, or `None` if nothing is left.
    pub(super) fn remainder_after(self, tasks: u32) -> Option<Self> {
        (tasks < self.tasks).then(|| QueueEntry {
            skip: self.skip + tasks,
            tasks: self.tasks - tasks,
            ..self
        })
    }

    /// Whether both entries have the same precedence and are placed together by `Pass::place_group`.
    pub(super) fn has_same_precedence(&self, other: &QueueEntry<'_>, cluster: &ClusterSnapshot<'_>) -> bool {
        self.precedence(cluster) == other.precedence(cluster)
    }
}

/// Whether this many runs of the estimated duration no longer fit before the shortest finishing objective
/// of the job's class.
pub(super) fn is_short_of_time(job: &Job, runs: f64, deployment: &Deployment, now: Timestamp) -> bool {
    let age_s = job.age_ms(now) as f64 / SECOND_MS as f64;
    age_s + runs * job.spec.estimate_s > deployment.shortest_s("finished", &job.spec.class)
}

/// Returns the job's slack: for how long, in ms, it may still wait for a start and meet the next objective of
/// its class, on starting or finishing, that is still achievable. A job that can meet no objective any more
/// is treated like the most patient job of its class; a job without objectives, like one that should start
/// within [`DEFAULT_START_OBJECTIVE_S`].
///
/// Ordering by age instead would, under overload, delay all jobs equally so that hardly any meets its
/// objective; ordering by slack lets most of them meet it.
pub fn start_slack_ms(job: &Job, deployment: &Deployment, now: Timestamp) -> Timestamp {
    let age_s = job.age_ms(now) as f64 / SECOND_MS as f64;
    let targets = start_targets(job, deployment, now);
    let slack_s = match (targets.latest_s, targets.next_s) {
        // A late replica is missing capacity of its service all the time.
        (_, None) if job.spec.shape == Shape::Service => 0.0,
        (None, _) => (DEFAULT_START_OBJECTIVE_S - age_s).max(0.0),
        (Some(_), Some(next)) => (next - age_s).max(0.0),
        (Some(latest), None) => latest,
    };
    (slack_s * SECOND_MS as f64) as Timestamp
}

/// The ages at which a job should start.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StartTargets {
    /// Age, in s, at which it should start to meet the most patient objective of its class.
    pub(super) latest_s: Option<f64>,
    /// Age, in s, at which it should start to meet the next objective that is still achievable.
    pub(super) next_s: Option<f64>,
}

/// Computes the ages at which the job should start to meet the objectives of its class.
pub(super) fn start_targets(job: &Job, deployment: &Deployment, now: Timestamp) -> StartTargets {
    let spec = &job.spec;
    let age_s = job.age_ms(now) as f64 / SECOND_MS as f64;
    // For each objective, the ages at which a task should start and at which it must.
    let start_limits = deployment
        .within_s("wait", &spec.class)
        .map(|within_s| (within_s, within_s));
    let end_limits = deployment.within_s("finished", &spec.class).map(|within_s| {
        let should_s = within_s - RUN_MARGIN_FACTOR * spec.estimate_s;
        (should_s, within_s - MIN_RUN_ESTIMATE_SHARE * spec.estimate_s)
    });
    let mut targets = StartTargets::default();
    for (should_s, must_s) in start_limits.chain(end_limits).filter(|(_, must_s)| *must_s > 0.0) {
        let should_s = should_s.max(0.0);
        targets.latest_s = Some(targets.latest_s.map_or(should_s, |other| other.max(should_s)));
        if must_s >= age_s {
            targets.next_s = Some(targets.next_s.map_or(should_s, |other| other.min(should_s)));
        }
    }
    targets
}

/// Returns the jobs that fit into their team's guarantee together with the team's older jobs.
pub fn within_guarantee(
    deployment: &Deployment,
    jobs: &BTreeMap<JobId, Job>,
    now: Timestamp,
) -> BTreeSet<JobId> {
    let mut by_team: BTreeMap<&str, Vec<&Job>> = BTreeMap::new();
    for job in jobs.values().filter(|job| !job.parked) {
        by_team.entry(&job.spec.team).or_default().push(job);
    }
    let mut within = BTreeSet::new();
    for team in &deployment.teams {
        let Some(team_jobs) = by_team.get_mut(team.name.as_str()) else {
            continue;
        };
        team_jobs.sort_by_key(|job| (Reverse(job.age_ms(now)), &job.spec.id));
        let mut total = Resources::default();
        for job in team_jobs {
            total += job.spec.needs.scaled_by(f64::from(job.spec.tasks));
            if team.guarantees(&total) {
                within.insert(job.spec.id.clone());
            }
        }
    }
    within
}

/// Returns the sort key of a queue entry: precedence, the persisted order among protected jobs, whether it is
/// overdue, its slack, and its age.
pub(super) fn order_key(entry: &QueueEntry<'_>, cluster: &ClusterSnapshot<'_>) -> impl Ord + use<> {
    let job = entry.job;
    (
        entry.precedence(cluster),
        cluster.protection.protection_order(&job.spec.id),
        !entry.overdue,
        start_slack_ms(job, cluster.deployment, cluster.now),
        Reverse(job.age_ms(cluster.now)),
        job.spec.id.clone(),
        entry.skip,
    )
}

/// Moves as many tasks of starved work to the front as there are credits. A gang needs only one credit to go
/// first, since a part of it cannot run; its other tasks become debt.
pub(super) fn starved_work_first<'a>(
    mut order: Vec<QueueEntry<'a>>,
    starved: &StarvedOwners,
) -> Vec<QueueEntry<'a>> {
    let mut credits = starved.credits();
    if credits == 0 {
        return order;
    }
    let mut first = Vec::new();
    for entry in &mut order {
        if credits == 0 || !starved.goes_first(&entry.job.spec) {
            continue;
        }
        let tasks = entry.first_tasks(credits);
        first.push(QueueEntry { tasks, ..*entry });
        entry.skip += tasks;
        entry.tasks -= tasks;
        credits = credits.saturating_sub(tasks);
    }
    first.extend(order.into_iter().filter(|entry| entry.tasks > 0));
    first
}

impl<'a> Pass<'a> {
    /// Adds the queue entries of a job: one, or, if its team is guaranteed only some of the units that its
    /// tasks request, one for the guaranteed tasks and one for the tasks that borrow.
    pub(super) fn queue_entries(&self, job: &'a Job, order: &mut Vec<QueueEntry<'a>>) {
        let whole = self.whole_entry(job);
        let Some(guaranteed) = self.tasks_with_guaranteed_units(&whole) else {
            order.push(whole);
            return;
        };
        if guaranteed > 0 {
            order.push(QueueEntry {
                tasks: guaranteed,
                units_guaranteed: true,
                ..whole
            });
        }
        let borrowing = whole.remainder_after(guaranteed);
        order.extend(borrowing.map(|entry| QueueEntry {
            guarantee_rank: GuaranteeRank::BeyondUnits,
            ..entry
        }));
    }

    /// Returns one entry for all waiting tasks of the job.
    fn whole_entry(&self, job: &'a Job) -> QueueEntry<'a> {
        let counts = &job.spec.counts;
        let needs_units = !counts.is_empty();
        QueueEntry {
            job,
            skip: 0,
            tasks: job.waiting.len() as u32,
            large_first: false,
            overdue: false,
            guarantee_rank: if self.within_guarantee.contains(&job.spec.id) {
                GuaranteeRank::Within
            } else {
                GuaranteeRank::BeyondMachines
            },
            units_guaranteed: false,
            needs_units,
            single_count: if needs_units {
                self.unit_ledger.single_count(counts)
            } else {
                None
            },
        }
    }

    /// Returns for how many of the entry's tasks its team is guaranteed the units; `None` if no team is
    /// guaranteed any of the requested counted resources.
    fn tasks_with_guaranteed_units(&self, entry: &QueueEntry<'_>) -> Option<u32> {
        if !entry.needs_units {
            return None;
        }
        let spec = &entry.job.spec;
        let guaranteed = match entry.single_count {
            Some(count) => self
                .unit_ledger
                .tasks_within_share_of(count, &spec.team, entry.tasks),
            None => self
                .unit_ledger
                .tasks_within_share(&spec.team, &spec.counts, entry.tasks),
        }?;
        match spec.shape {
            // A gang with guaranteed units for only some of its tasks borrows for all of them.
            Shape::Gang if guaranteed < entry.tasks => Some(0),
            Shape::Gang | Shape::Array | Shape::Service => Some(guaranteed),
        }
    }
}
