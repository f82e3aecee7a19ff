//! Fair share: the fraction of its demand that a class or a team has satisfied.
//!
//! **Demanded** is every task from [`SERVED_SHARE_AFTER_MS`] after its job's submission on, since no machine
//! could be up with its image before that. Of a team's tasks, only as many count as its limit allows to run
//! at the same time: the running tasks first, then those of the oldest jobs. Held jobs demand nothing, nor do
//! jobs that fail on every machine.
//!
//! **Served** is, for an array, each task that is running or done; for a gang, all of its tasks while all of
//! them run, and none otherwise; for a service, each replica that is up now. Jobs that finished within the
//! last [`SERVED_WINDOW_MS`] count as demanded and served, so that the share reflects what was served
//! recently and not only what still waits.
//!
//! Operators are warned once before a class or a team falls below [`SERVED_MIN_SHARE`], and again only after
//! it has recovered. A class or team whose old work stays below [`STARVED_SHARE`] is *starved*, and placement
//! lets some of its tasks go first: see [`StarvedOwners`].

use crate::constants::{
    SECOND_MS, SERVED_MIN_SHARE, SERVED_RECOVERED_MS, SERVED_RECOVERED_SHARE, SERVED_SHARE_AFTER_MS,
    SERVED_WARN_AFTER_MS, SERVED_WARN_SHARE, SERVED_WINDOW_MS, STARVED_AFTER_MS, STARVED_CREDIT_PER_START,
    STARVED_MAX_CREDIT, STARVED_MAX_DEBT, STARVED_SHARE,
};
use crate::io::{Effect, Io};
use crate::job_api::TaskCounts;
use crate::model::{Job, JobId, JobSpec, Resources, Timestamp};
use crate::protocol::Shape;
use crate::settings::{Deployment, Team};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// A class or team whose share is measured.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareOwner {
    /// All jobs of a class.
    Class(String),
    /// All jobs of a team.
    Team(String),
}

impl fmt::Display for ShareOwner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ShareOwner::Class(name) => write!(f, "class={name}"),
            ShareOwner::Team(name) => write!(f, "team={name}"),
        }
    }
}

/// A demand, and the part of it that is satisfied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Number of tasks demanded.
    pub demanded: u32,
    /// Number of these tasks that are served, by the rules of their shape.
    pub served: u32,
    /// Number of the demanded tasks that wait for units of a counted resource rather than for machines.
    pub short_of_units: u32,
}

impl Share {
    /// Returns the served fraction, from 0 to 1; 1 if nothing is demanded.
    pub fn served_fraction(self) -> f64 {
        if self.demanded == 0 {
            1.0
        } else {
            f64::from(self.served) / f64::from(self.demanded)
        }
    }

    fn add(&mut self, other: Share) {
        self.demanded += other.demanded;
        self.served += other.served;
        self.short_of_units += other.short_of_units;
    }
}

/// Classes and teams whose old work is served by less than [`STARVED_SHARE`], and how many of their tasks may
/// be placed before all others in the next pass. Their running tasks are not preempted by work of higher
/// priority until they have recovered.
///
/// With priority alone, a class would get nothing for as long as more important work fills every machine,
/// even for a whole day.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StarvedOwners {
    /// Starved classes, each with whether it is below the minimum share now.
    classes: BTreeMap<String, bool>,
    /// Starved teams, each with whether it is below the minimum share now.
    teams: BTreeMap<String, bool>,
    /// Tasks that may go first. Negative values are debt.
    credits: f64,
}

impl StarvedOwners {
    /// Whether the job's class or team is starved and has not recovered yet, so that its tasks are not
    /// preempted.
    pub fn is_starved(&self, spec: &JobSpec) -> bool {
        // Fast path: usually nothing is starved.
        !self.classes.is_empty() && self.classes.contains_key(&spec.class)
            || !self.teams.is_empty() && self.teams.contains_key(&spec.team)
    }

    /// Whether the job may go before all others because its class or team is below the minimum share.
    pub fn goes_first(&self, spec: &JobSpec) -> bool {
        self.classes.get(&spec.class) == Some(&true) || self.teams.get(&spec.team) == Some(&true)
    }

    /// Returns the number of starved tasks that go first in the next pass.
    pub fn credits(&self) -> u32 {
        if self.classes.is_empty() && self.teams.is_empty() {
            0
        } else {
            // The cast saturates: debt yields no credits.
            self.credits as u32
        }
    }

    /// Records the placement of a task of the job: other work earns credit, starved work uses it up.
    pub fn record_placement(&mut self, spec: &JobSpec) {
        let credit_change = if self.is_starved(spec) {
            -1.0
        } else {
            STARVED_CREDIT_PER_START
        };
        self.credits = (self.credits + credit_change).clamp(-STARVED_MAX_DEBT, STARVED_MAX_CREDIT);
    }

    /// Updates the state of an owner. `is_below_minimum` tells whether a starved owner is below the minimum
    /// share now; `None` means that it has recovered.
    fn update(&mut self, owner: &ShareOwner, is_below_minimum: Option<bool>) {
        let (names, name) = match owner {
            ShareOwner::Class(name) => (&mut self.classes, name),
            ShareOwner::Team(name) => (&mut self.teams, name),
        };
        let was_starved = match is_below_minimum {
            Some(is_below_minimum) => names.insert(name.clone(), is_below_minimum).is_some(),
            None => names.remove(name).is_some(),
        };
        match is_below_minimum {
            Some(_) if !was_starved => {
                log::info!("starvation began {owner}: some of its tasks are placed before all other work");
            }
            None if was_starved => log::info!("starvation ended {owner}"),
            _ => (),
        }
    }

    /// Whether the owner is starved and has not recovered yet.
    fn contains(&self, owner: &ShareOwner) -> bool {
        match owner {
            ShareOwner::Class(name) => self.classes.contains_key(name),
            ShareOwner::Team(name) => self.teams.contains_key(name),
        }
    }
}

/// The state of an owner whose share is low, or was low and has not recovered.
#[derive(Debug, Clone, Copy, Default)]
struct LowShare {
    /// When its share fell below the warning threshold.
    low_since: Option<Timestamp>,
    /// When its share rose above the recovery threshold.
    recovered_since: Option<Timestamp>,
    /// Whether operators have been warned.
    warned: bool,
}

/// The input of one measurement of shares.
#[derive(Debug)]
pub struct LiveDemand<'a> {
    /// Live jobs.
    pub jobs: &'a BTreeMap<JobId, Job>,
    /// Their numbers of done and running tasks.
    pub counts: &'a TaskCounts,
    /// Jobs that wait for units of counted resources.
    pub short_of_units: BTreeSet<&'a JobId>,
    /// Teams and their limits.
    pub deployment: &'a Deployment,
}

/// Tasks of jobs that finished within the same second.
#[derive(Debug, Clone, Copy)]
struct FinishedTasks {
    finished_at: Timestamp,
    tasks: u32,
}

/// The state that a leader keeps from one measurement of shares to the next.
#[derive(Debug, Default)]
pub struct DemandSatisfaction {
    /// Tasks of recently finished jobs, by second.
    finished_tasks: BTreeMap<ShareOwner, VecDeque<FinishedTasks>>,
    low_shares: BTreeMap<ShareOwner, LowShare>,
    shares: BTreeMap<ShareOwner, Share>,
    /// Starved classes and teams, for placement.
    pub starved: StarvedOwners,
}

impl DemandSatisfaction {
    /// Returns the shares of the last measurement, for display.
    pub fn shares(&self) -> impl Iterator<Item = (&ShareOwner, Share)> {
        self.shares.iter().map(|(owner, share)| (owner, *share))
    }

    /// Records that a job has finished.
    pub fn record_finished(&mut self, spec: &JobSpec, now: Timestamp) {
        for owner in owners_of(spec) {
            let finished_tasks = self.finished_tasks.entry(owner).or_default();
            match finished_tasks
                .back_mut()
                .filter(|last| now < last.finished_at + SECOND_MS)
            {
                Some(last) => last.tasks += spec.tasks,
                None => finished_tasks.push_back(FinishedTasks {
                    finished_at: now,
                    tasks: spec.tasks,
                }),
            }
        }
    }

    /// Measures the shares of all live jobs. `is_reliable` tells whether this leader has heard from most
    /// machines, so that a low share is meaningful; otherwise there are no warnings and no changes of the
    /// starved state.
    pub fn update(&mut self, live: &LiveDemand<'_>, is_reliable: bool, io: &mut Io) {
        let now = io.now;
        self.forget_old_finished_tasks(now);
        self.shares = self.shares_of(SERVED_SHARE_AFTER_MS, live, now);
        if !is_reliable {
            return;
        }
        let old_shares = self.shares_of(STARVED_AFTER_MS, live, now);
        self.forget_absent_owners();
        for (owner, share) in &self.shares {
            if share.served_fraction() >= SERVED_RECOVERED_SHARE && !self.low_shares.contains_key(owner) {
                continue;
            }
            let low = self.low_shares.entry(owner.clone()).or_default();
            let old_share = old_shares.get(owner).copied().unwrap_or_default();
            if evaluate_share(low, owner, *share, old_share, &mut self.starved, io) {
                self.low_shares.remove(owner);
            }
        }
    }

    /// Removes jobs that finished too long ago to count.
    fn forget_old_finished_tasks(&mut self, now: Timestamp) {
        self.finished_tasks.retain(|_, finished_tasks| {
            while finished_tasks
                .front()
                .is_some_and(|first| now > first.finished_at + SERVED_WINDOW_MS)
            {
                finished_tasks.pop_front();
            }
            !finished_tasks.is_empty()
        });
    }

    /// Removes owners without any demand. Users name the classes, so the state would otherwise grow without
    /// bound.
    fn forget_absent_owners(&mut self) {
        for owner in self
            .low_shares
            .keys()
            .filter(|owner| !self.shares.contains_key(owner))
        {
            self.starved.update(owner, None);
        }
        self.low_shares.retain(|owner, _| self.shares.contains_key(owner));
    }

    /// Computes the shares of live jobs of at least this age and of recently finished jobs.
    fn shares_of(
        &self,
        min_age_ms: Timestamp,
        live: &LiveDemand<'_>,
        now: Timestamp,
    ) -> BTreeMap<ShareOwner, Share> {
        let mut shares = live_shares(min_age_ms, live, now);
        for (owner, finished_tasks) in &self.finished_tasks {
            let tasks = finished_tasks.iter().map(|finished| finished.tasks).sum();
            shares.entry(owner.clone()).or_default().add(Share {
                demanded: tasks,
                served: tasks,
                short_of_units: 0,
            });
        }
        shares
    }
}

/// Evaluates the share of an owner, and that of its old work alone: warns operators, and marks the owner as
/// starved or recovered. Returns whether it has recovered.
fn evaluate_share(
    low: &mut LowShare,
    owner: &ShareOwner,
    share: Share,
    old_share: Share,
    starved: &mut StarvedOwners,
    io: &mut Io,
) -> bool {
    let (fraction, now) = (share.served_fraction(), io.now);
    if fraction < SERVED_WARN_SHARE {
        low.low_since.get_or_insert(now);
    } else {
        low.low_since = None;
    }
    if !low.warned
        && low
            .low_since
            .is_some_and(|since| now >= since + SERVED_WARN_AFTER_MS)
    {
        low.warned = true;
        io.effects.push(Effect::Warning(low_share_warning(owner, share)));
    }
    // Starvation is determined from the age of waiting work, not from what this leader has observed:
    // otherwise, with a leader change every minute, nothing would ever count as starved.
    if starved.contains(owner) || old_share.served_fraction() < STARVED_SHARE {
        starved.update(owner, Some(fraction < SERVED_MIN_SHARE));
    }
    if fraction < SERVED_RECOVERED_SHARE {
        low.recovered_since = None;
        return false;
    }
    // The share must stay above the threshold for a while: otherwise its tasks would be preempted again at
    // once, and the owner would alternate between starved and recovered.
    if now < *low.recovered_since.get_or_insert(now) + SERVED_RECOVERED_MS {
        return false;
    }
    starved.update(owner, None);
    if low.warned {
        log::info!("fair share recovered {owner} share={fraction:.2}");
    }
    true
}

/// Formats the operators' warning of a low share.
fn low_share_warning(owner: &ShareOwner, share: Share) -> String {
    let missing = share.demanded - share.served;
    let shortage = if 2 * share.short_of_units > missing {
        "units of counted resources"
    } else {
        "machines"
    };
    format!(
        "{owner} is served only {fraction:.2} of its demand: {} of {} tasks older than {} s are running or \
         done, most of the others wait for {shortage}; below {SERVED_MIN_SHARE} it counts as not served",
        share.served,
        share.demanded,
        SERVED_SHARE_AFTER_MS / SECOND_MS,
        fraction = share.served_fraction(),
    )
}

/// Returns the owners to whose shares the job counts.
fn owners_of(spec: &JobSpec) -> [ShareOwner; 2] {
    [
        ShareOwner::Class(spec.class.clone()),
        ShareOwner::Team(spec.team.clone()),
    ]
}

/// The served and missing tasks of a live job.
struct JobDemand<'a> {
    job: &'a Job,
    /// Number of its tasks that are served, by the rules of its shape.
    served: u32,
    /// Number of these tasks that are on a machine.
    running: u32,
    missing: u32,
}

/// Computes the served and missing tasks of a job, by the rules of its shape.
fn job_demand<'a>(job: &'a Job, counts: &TaskCounts) -> JobDemand<'a> {
    let spec = &job.spec;
    let (done, running) = counts.get(&spec.id).copied().unwrap_or((0, 0));
    let (done, running) = match spec.shape {
        Shape::Array => (done.min(spec.tasks), running.min(spec.tasks.saturating_sub(done))),
        Shape::Service => (0, running.min(spec.tasks)),
        Shape::Gang if done > 0 || running >= spec.tasks => (0, spec.tasks),
        Shape::Gang => (0, 0),
    };
    JobDemand {
        job,
        served: done + running,
        running,
        missing: spec.tasks - done - running,
    }
}

/// Computes the shares of live jobs of at least this age.
fn live_shares(min_age_ms: Timestamp, live: &LiveDemand<'_>, now: Timestamp) -> BTreeMap<ShareOwner, Share> {
    let mut shares: BTreeMap<ShareOwner, Share> = BTreeMap::new();
    let mut used: BTreeMap<&str, Resources> = BTreeMap::new();
    let mut demands: Vec<JobDemand<'_>> = Vec::new();
    for job in live.jobs.values() {
        let demand = job_demand(job, live.counts);
        let spec = &job.spec;
        *used.entry(spec.team.as_str()).or_default() += spec.needs.scaled_by(f64::from(demand.running));
        if job.age_ms(now) >= min_age_ms && !job.parked && !job.fails_on_many_machines() {
            demands.push(demand);
        }
    }
    demands.sort_by_key(|demand| Reverse(demand.job.age_ms(now)));
    for demand in demands {
        let spec = &demand.job.spec;
        let team = live.deployment.teams.iter().find(|team| team.name == spec.team);
        let used = used.entry(spec.team.as_str()).or_default();
        let missing = match (team, spec.shape) {
            (None, _) => 0,
            (Some(team), Shape::Array) => tasks_within_limit(team, used, spec, demand.missing),
            // The missing tasks of a gang or service count all together or not at all.
            (Some(team), _) => {
                let allowed_tasks = tasks_within_limit(team, used, spec, demand.missing);
                if allowed_tasks < demand.missing {
                    0
                } else {
                    allowed_tasks
                }
            }
        };
        *used += spec.needs.scaled_by(f64::from(missing));
        let share = Share {
            demanded: demand.served + missing,
            served: demand.served,
            short_of_units: if live.short_of_units.contains(&spec.id) {
                missing
            } else {
                0
            },
        };
        for owner in owners_of(spec) {
            shares.entry(owner).or_default().add(share);
        }
    }
    shares
}

/// Returns how many more tasks of the job its team's limit allows, at most `max_tasks`.
fn tasks_within_limit(team: &Team, used: &Resources, spec: &JobSpec, max_tasks: u32) -> u32 {
    let remaining_quota = |max: f64, used: f64| {
        if max == 0.0 {
            f64::INFINITY
        } else {
            (max - used).max(0.0)
        }
    };
    let free = Resources {
        cpus: remaining_quota(team.cpus_max, used.cpus),
        gpus: remaining_quota(team.gpus_max, used.gpus),
        memory_gb: f64::INFINITY,
    };
    // The cast saturates: without any limit the count is infinite.
    (spec.needs.instances_in(&free) as u32).min(max_tasks)
}

#[cfg(test)]
mod tests;
