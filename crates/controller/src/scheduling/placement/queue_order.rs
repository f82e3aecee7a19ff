//! The queue sort phase: the jobs' turns in a pass, in order.

use super::ClusterSnapshot;
use super::pass::Pass;
use crate::constants::{DEFAULT_START_OBJECTIVE_S, MIN_RUN_ESTIMATE_SHARE, RUN_MARGIN_FACTOR, SECOND_MS};
use crate::model::{Job, JobId, Resources, Timestamp};
use crate::protocol::Shape;
use crate::scheduling::fair_share::Starved;
use crate::settings::Deployment;
use indigopath_counted_resources::SingleCount;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, btree_set};
use std::iter::{Copied, Skip, Take};

/// How a job stands to its team's guarantees. Jobs that borrow units come last: else an older job took
/// the units back from the one for which they had just been given up, and so on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum GuaranteeRank {
    /// Within its team's guarantees.
    Within,
    /// Beyond the guaranteed resources of machines.
    BeyondMachines,
    /// Beyond the guaranteed units of counts.
    BeyondUnits,
}

/// A job's turn in a pass, for some of its waiting tasks.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueEntry<'a> {
    pub(super) job: &'a Job,
    /// Waiting tasks of the job, in their order, that other entries of the job cover.
    pub(super) skip: u32,
    /// Waiting tasks after those that this entry covers.
    pub(super) tasks: u32,
    /// It goes before its peers: a large job that has waited for long.
    pub(super) large_first: bool,
    /// It goes before others of its standing: it is overdue, see [`super::aging`].
    pub(super) overdue: bool,
    /// Among jobs of the same priority.
    pub(super) rank: GuaranteeRank,
    /// Its team is guaranteed the units that it asks for here.
    pub(super) units_guaranteed: bool,
    /// It asks for units of counts.
    pub(super) needs_units: bool,
    /// Set where it asks for units of one count only, as most do.
    pub(super) single_count: Option<SingleCount>,
}

/// Indices of waiting tasks, in their order.
pub(super) type WaitingTasks<'a> = Take<Skip<Copied<btree_set::Iter<'a, u32>>>>;

impl<'a> QueueEntry<'a> {
    /// The first of the entry's waiting tasks, this many at most.
    pub(super) fn waiting_tasks(&self, most: u32) -> WaitingTasks<'a> {
        let waiting = self.job.waiting.iter().copied();
        waiting.skip(self.skip as usize).take(most as usize)
    }

    /// What comes before age: priority, whether it goes first or is protected by a shift, rank, and the
    /// shift's rank. The guarantee goes before protection: what is protected and borrows would take
    /// back, in the next pass, the capacity that it gave up for a guarantee.
    pub(super) fn standing(&self, cluster: &ClusterSnapshot<'_>) -> impl Ord + use<> {
        let shift = cluster.protection.standing(&self.job.spec.id).map(|it| it.rank);
        let before = self.large_first || shift.is_some();
        (self.job.spec.priority, !before, self.rank, shift.is_none(), shift)
    }

    /// How many of its tasks go first where so many may: a gang goes whole, as half of it is no use.
    pub(super) fn tasks_of(&self, most: u32) -> u32 {
        match self.job.spec.shape {
            Shape::Gang => self.tasks,
            Shape::Array | Shape::Service => self.tasks.min(most),
        }
    }

    /// What is left of the turn once so many of its tasks are dealt with.
    pub(super) fn remainder_after(self, tasks: u32) -> Option<Self> {
        (tasks < self.tasks).then(|| QueueEntry {
            skip: self.skip + tasks,
            tasks: self.tasks - tasks,
            ..self
        })
    }

    /// Whether both are placed together: see `Pass::place_peers`.
    pub(super) fn is_peer_of(&self, other: &QueueEntry<'_>, cluster: &ClusterSnapshot<'_>) -> bool {
        self.standing(cluster) == other.standing(cluster)
    }
}

/// Whether this many runs, by the owner's estimate, no longer fit into the time in which
/// the job's class expects to be done.
pub(super) fn is_short_of_time(job: &Job, runs: f64, deployment: &Deployment, now: Timestamp) -> bool {
    let age_s = job.age_ms(now) as f64 / SECOND_MS as f64;
    age_s + runs * job.spec.estimate_s > deployment.shortest_s("finished", &job.spec.class)
}

/// For how long, in ms, the job may still wait for a start without missing what its class's
/// users expect: the next of its objectives, on starting or on finishing, that it can
/// still meet. What can meet none any more waits like the most patient job of its class;
/// what has none, like one that is to start within [`DEFAULT_START_OBJECTIVE_S`].
///
/// In the order of age, where there is more work than capacity, everybody comes as late as
/// everybody else, and hardly a job is in time; in this order most are.
pub fn may_wait_ms(job: &Job, deployment: &Deployment, now: Timestamp) -> Timestamp {
    let age_s = job.age_ms(now) as f64 / SECOND_MS as f64;
    let targets = start_targets(job, deployment, now);
    let left_s = match (targets.latest_s, targets.next_s) {
        // A replica that is late is missed every second.
        (_, None) if job.spec.shape == Shape::Service => 0.0,
        (None, _) => (DEFAULT_START_OBJECTIVE_S - age_s).max(0.0),
        (Some(_), Some(next)) => (next - age_s).max(0.0),
        (Some(latest), None) => latest,
    };
    (left_s * SECOND_MS as f64) as Timestamp
}

/// When a job should start.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StartTargets {
    /// Age, in s, at which it should start for the most patient objective of its class.
    pub(super) latest_s: Option<f64>,
    /// The same for the next objective that it can still meet.
    pub(super) next_s: Option<f64>,
}

/// The ages at which the job should start for the objectives of its class.
pub(super) fn start_targets(job: &Job, deployment: &Deployment, now: Timestamp) -> StartTargets {
    let spec = &job.spec;
    let age_s = job.age_ms(now) as f64 / SECOND_MS as f64;
    // With each objective, by when a task should start for it, and must.
    let starts = deployment
        .within_s("wait", &spec.class)
        .map(|within_s| (within_s, within_s));
    let ends = deployment.within_s("finished", &spec.class).map(|within_s| {
        let should_s = within_s - RUN_MARGIN_FACTOR * spec.estimate_s;
        (should_s, within_s - MIN_RUN_ESTIMATE_SHARE * spec.estimate_s)
    });
    let mut targets = StartTargets::default();
    for (should_s, must_s) in starts.chain(ends).filter(|(_, must_s)| *must_s > 0.0) {
        let should_s = should_s.max(0.0);
        targets.latest_s = Some(targets.latest_s.map_or(should_s, |other| other.max(should_s)));
        if must_s >= age_s {
            targets.next_s = Some(targets.next_s.map_or(should_s, |other| other.min(should_s)));
        }
    }
    targets
}

/// Jobs that fit into their team's guarantee together with its earlier ones.
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
        let Some(jobs) = by_team.get_mut(team.name.as_str()) else {
            continue;
        };
        jobs.sort_by_key(|job| (Reverse(job.age_ms(now)), &job.spec.id));
        let mut total = Resources::default();
        for job in jobs {
            total += job.spec.needs.times(f64::from(job.spec.tasks));
            if team.guarantees(&total) {
                within.insert(job.spec.id.clone());
            }
        }
    }
    within
}

/// The key by which queue entries are ordered: by standing, the order on record among what a shift
/// protects, whether it is overdue, how long the job may still wait, and age.
pub(super) fn order_key(entry: &QueueEntry<'_>, cluster: &ClusterSnapshot<'_>) -> impl Ord + use<> {
    let job = entry.job;
    (
        entry.standing(cluster),
        cluster.protection.turn(&job.spec.id),
        !entry.overdue,
        may_wait_ms(job, cluster.deployment, cluster.now),
        Reverse(job.age_ms(cluster.now)),
        job.spec.id.clone(),
        entry.skip,
    )
}

/// Moves as many tasks of starved work before all others as have turns. A gang needs one
/// turn only, as half of it is no use; what it takes beyond that is owed.
pub(super) fn starved_work_first<'a>(
    mut order: Vec<QueueEntry<'a>>,
    starved: &Starved,
) -> Vec<QueueEntry<'a>> {
    let mut turns = starved.turns();
    if turns == 0 {
        return order;
    }
    let mut first = Vec::new();
    for entry in &mut order {
        if turns == 0 || !starved.first(&entry.job.spec) {
            continue;
        }
        let tasks = entry.tasks_of(turns);
        first.push(QueueEntry { tasks, ..*entry });
        entry.skip += tasks;
        entry.tasks -= tasks;
        turns = turns.saturating_sub(tasks);
    }
    first.extend(order.into_iter().filter(|entry| entry.tasks > 0));
    first
}

impl<'a> Pass<'a> {
    /// The turns of a job: one, or, where its team is guaranteed some of the units that its tasks ask for,
    /// one for those and one, among those that borrow, for the rest.
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
            rank: GuaranteeRank::BeyondUnits,
            ..entry
        }));
    }

    /// One turn for all waiting tasks of the job.
    fn whole_entry(&self, job: &'a Job) -> QueueEntry<'a> {
        let counts = &job.spec.counts;
        let needs_units = !counts.is_empty();
        QueueEntry {
            job,
            skip: 0,
            tasks: job.waiting.len() as u32,
            large_first: false,
            overdue: false,
            rank: if self.within_guarantee.contains(&job.spec.id) {
                GuaranteeRank::Within
            } else {
                GuaranteeRank::BeyondMachines
            },
            units_guaranteed: false,
            needs_units,
            single_count: if needs_units {
                self.book.single_count(counts)
            } else {
                None
            },
        }
    }

    /// For how many of the entry's tasks its team is guaranteed the units; `None` where nobody is guaranteed
    /// any of the counts.
    fn tasks_with_guaranteed_units(&self, entry: &QueueEntry<'_>) -> Option<u32> {
        if !entry.needs_units {
            return None;
        }
        let spec = &entry.job.spec;
        let guaranteed = match entry.single_count {
            Some(only) => self.book.tasks_within_share_of(only, &spec.team, entry.tasks),
            None => self
                .book
                .tasks_within_share(&spec.team, &spec.counts, entry.tasks),
        }?;
        match spec.shape {
            // A gang that is guaranteed units for a part only borrows as a whole.
            Shape::Gang if guaranteed < entry.tasks => Some(0),
            Shape::Gang | Shape::Array | Shape::Service => Some(guaranteed),
        }
    }
}
