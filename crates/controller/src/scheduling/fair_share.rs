//! Fair share: which part of their demand the jobs of a class, or of a team, have satisfied.
//!
//! **Asked for** is every task from [`SERVED_SHARE_AFTER_MS`] after its job's submission on, as
//! before that no machine could be up with its image; of a team's tasks, though, only as
//! many as its limit lets run at a time, those that run first and then the oldest. Held
//! jobs ask for nothing, nor do jobs that fail wherever they are tried.
//!
//! **Served** is, of an array, a task that runs or is done; of a gang, all its tasks while
//! all of them run, and none before; of a service, a replica that is up now. Jobs that were
//! done within the last [`SERVED_WINDOW_MS`] count as asked for and served: the class goes
//! by what it got lately, not only by what still waits.
//!
//! Operators are warned before a class or a team falls under [`SERVED_MIN_SHARE`], once, until it
//! has recovered. What stays under [`STARVED_SHARE`] is *starved*, and placement gives
//! it turns before others: see [`StarvedOwners`].

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

/// A group of jobs whose share is measured.
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

/// A demand, and how much of it is satisfied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Tasks asked for.
    pub asked: u32,
    /// Of these, tasks that have what their shape asks.
    pub served: u32,
    /// Of these, tasks that wait for units of a count rather than for machines.
    pub short_of_units: u32,
}

impl Share {
    /// The satisfied part, from 0 to 1; 1 where nothing is asked for.
    pub fn part(self) -> f64 {
        if self.asked == 0 {
            1.0
        } else {
            f64::from(self.served) / f64::from(self.asked)
        }
    }

    fn add(&mut self, other: Share) {
        self.asked += other.asked;
        self.served += other.served;
        self.short_of_units += other.short_of_units;
    }
}

/// Classes and teams of whose old work less than [`STARVED_SHARE`] is served, and how many of their tasks
/// may be placed before all others in the next pass. What runs of them does not give way to
/// work of higher priority until they have recovered.
///
/// Priority alone would leave a class with nothing for as long as more important work
/// fills every machine, a whole day if need be.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StarvedOwners {
    /// With each, whether it has less than the least share now.
    classes: BTreeMap<String, bool>,
    teams: BTreeMap<String, bool>,
    credits: f64,
}

impl StarvedOwners {
    /// Whether the job is of a class or team that has not recovered yet: its work does not
    /// give way.
    pub fn is_starved(&self, spec: &JobSpec) -> bool {
        // Nearly always there is none.
        !self.classes.is_empty() && self.classes.contains_key(&spec.class)
            || !self.teams.is_empty() && self.teams.contains_key(&spec.team)
    }

    /// Whether the job's turn may come before all others': its class or team has less than the least share.
    pub fn goes_first(&self, spec: &JobSpec) -> bool {
        self.classes.get(&spec.class) == Some(&true) || self.teams.get(&spec.team) == Some(&true)
    }

    /// Tasks of starved work that come first in the next pass.
    pub fn credits(&self) -> u32 {
        if self.classes.is_empty() && self.teams.is_empty() {
            0
        } else {
            // Saturates: while more was placed than there were turns, there is none.
            self.credits as u32
        }
    }

    /// Notes that a task of the job was placed: what is placed for others earns turns, what is
    /// placed for starved work uses them up.
    pub fn record_placement(&mut self, spec: &JobSpec) {
        let change = if self.is_starved(spec) {
            -1.0
        } else {
            STARVED_CREDIT_PER_START
        };
        self.credits = (self.credits + change).clamp(-STARVED_MAX_DEBT, STARVED_MAX_CREDIT);
    }

    /// Marks an owner as starved. `less`: whether it has less than the least share now; `None` once it has
    /// recovered.
    fn mark(&mut self, owner: &ShareOwner, less: Option<bool>) {
        let (names, name) = match owner {
            ShareOwner::Class(name) => (&mut self.classes, name),
            ShareOwner::Team(name) => (&mut self.teams, name),
        };
        let known = match less {
            Some(less) => names.insert(name.clone(), less).is_some(),
            None => names.remove(name).is_some(),
        };
        match less {
            Some(_) if !known => {
                log::info!("starvation began {owner}: some of its work comes before all other");
            }
            None if known => log::info!("starvation ended {owner}"),
            _ => (),
        }
    }

    /// Whether the owner is starved and has not recovered yet.
    fn has(&self, owner: &ShareOwner) -> bool {
        match owner {
            ShareOwner::Class(name) => self.classes.contains_key(name),
            ShareOwner::Team(name) => self.teams.contains_key(name),
        }
    }
}

/// The state of an owner whose share is, or was, low.
#[derive(Debug, Clone, Copy, Default)]
struct LowShare {
    /// Since when it is under the share at which operators are warned.
    since: Option<Timestamp>,
    /// Since when it is above the share at which it counts as recovered.
    recovered_since: Option<Timestamp>,
    /// Operators were warned.
    warned: bool,
}

/// Live jobs, as one look at their shares needs them.
#[derive(Debug)]
pub struct LiveDemand<'a> {
    /// Jobs that are not over.
    pub jobs: &'a BTreeMap<JobId, Job>,
    /// Their tasks done and running.
    pub counts: &'a TaskCounts,
    /// Jobs that wait for units of counts.
    pub short_of_units: BTreeSet<&'a JobId>,
    /// Teams and their limits.
    pub deployment: &'a Deployment,
}

/// Tasks of jobs that were done within the same second.
#[derive(Debug, Clone, Copy)]
struct DoneTasks {
    at: Timestamp,
    tasks: u32,
}

/// What a leader remembers of shares from one look to the next.
#[derive(Debug, Default)]
pub struct DemandSatisfaction {
    /// Tasks of jobs that were done lately, by the second.
    done: BTreeMap<ShareOwner, VecDeque<DoneTasks>>,
    low: BTreeMap<ShareOwner, LowShare>,
    shares: BTreeMap<ShareOwner, Share>,
    /// What placement needs to know.
    pub starved: StarvedOwners,
}

impl DemandSatisfaction {
    /// Shares as of the last look, for display.
    pub fn shares(&self) -> impl Iterator<Item = (&ShareOwner, Share)> {
        self.shares.iter().map(|(owner, share)| (owner, *share))
    }

    /// Notes that a job was done.
    pub fn record_finished(&mut self, spec: &JobSpec, now: Timestamp) {
        for owner in owners_of(spec) {
            let done = self.done.entry(owner).or_default();
            match done.back_mut().filter(|last| now < last.at + SECOND_MS) {
                Some(last) => last.tasks += spec.tasks,
                None => done.push_back(DoneTasks {
                    at: now,
                    tasks: spec.tasks,
                }),
            }
        }
    }

    /// Measures the shares of all live jobs. `is_reliable`: this leader has heard from most machines, so
    /// that a low share is worth a warning.
    pub fn update(&mut self, live: &LiveDemand<'_>, is_reliable: bool, io: &mut Io) {
        let now = io.now;
        self.forget_done(now);
        self.shares = self.shares_of(SERVED_SHARE_AFTER_MS, live, now);
        if !is_reliable {
            return;
        }
        let old = self.shares_of(STARVED_AFTER_MS, live, now);
        self.forget_absent_owners();
        for (owner, share) in &self.shares {
            if share.part() >= SERVED_RECOVERED_SHARE && !self.low.contains_key(owner) {
                continue;
            }
            let low = self.low.entry(owner.clone()).or_default();
            let old = old.get(owner).copied().unwrap_or_default();
            if judge(low, owner, *share, old, &mut self.starved, io) {
                self.low.remove(owner);
            }
        }
    }

    /// Forgets jobs that were done too long ago to count.
    fn forget_done(&mut self, now: Timestamp) {
        self.done.retain(|_, done| {
            while done
                .front()
                .is_some_and(|first| now > first.at + SERVED_WINDOW_MS)
            {
                done.pop_front();
            }
            !done.is_empty()
        });
    }

    /// Classes are named by users: what nobody asks for any more is forgotten.
    fn forget_absent_owners(&mut self) {
        for owner in self.low.keys().filter(|owner| !self.shares.contains_key(owner)) {
            self.starved.mark(owner, None);
        }
        self.low.retain(|owner, _| self.shares.contains_key(owner));
    }

    /// Shares of live jobs that are at least this old, and of those that were done lately.
    fn shares_of(
        &self,
        least_age_ms: Timestamp,
        live: &LiveDemand<'_>,
        now: Timestamp,
    ) -> BTreeMap<ShareOwner, Share> {
        let mut shares = live_shares(least_age_ms, live, now);
        for (owner, done) in &self.done {
            let tasks = done.iter().map(|done| done.tasks).sum();
            shares.entry(owner.clone()).or_default().add(Share {
                asked: tasks,
                served: tasks,
                short_of_units: 0,
            });
        }
        shares
    }
}

/// Judges a share, and that of old work alone: warns operators, and marks the owner as starved or recovered.
/// Returns whether it has recovered.
fn judge(
    low: &mut LowShare,
    owner: &ShareOwner,
    share: Share,
    old: Share,
    starved: &mut StarvedOwners,
    io: &mut Io,
) -> bool {
    let (part, now) = (share.part(), io.now);
    if part < SERVED_WARN_SHARE {
        low.since.get_or_insert(now);
    } else {
        low.since = None;
    }
    if !low.warned && low.since.is_some_and(|since| now >= since + SERVED_WARN_AFTER_MS) {
        low.warned = true;
        io.effects.push(Effect::Warning(low_share_warning(owner, share)));
    }
    // A leader that has just taken over judges by the age of what waits, not by what it saw:
    // with leaders that end every minute nothing would ever have been starved for long.
    if starved.has(owner) || old.part() < STARVED_SHARE {
        starved.mark(owner, Some(part < SERVED_MIN_SHARE));
    }
    if part < SERVED_RECOVERED_SHARE {
        low.recovered_since = None;
        return false;
    }
    // For a while, or its work would give way again at once, and it would be starved and not
    // starved by turns.
    if now < *low.recovered_since.get_or_insert(now) + SERVED_RECOVERED_MS {
        return false;
    }
    starved.mark(owner, None);
    if low.warned {
        log::info!("fair share recovered {owner} share={part:.2}");
    }
    true
}

/// The text that tells operators of a low share.
fn low_share_warning(owner: &ShareOwner, share: Share) -> String {
    let missing = share.asked - share.served;
    let why = if 2 * share.short_of_units > missing {
        "units of counts"
    } else {
        "machines"
    };
    format!(
        "{owner} has only {part:.2} of what it asks for: {} of {} tasks older than {} s run or are \
         done, most of the others wait for {why}; under {SERVED_MIN_SHARE} it counts as not served",
        share.served,
        share.asked,
        SERVED_SHARE_AFTER_MS / SECOND_MS,
        part = share.part(),
    )
}

/// The owners to whose shares the job counts.
fn owners_of(spec: &JobSpec) -> [ShareOwner; 2] {
    [
        ShareOwner::Class(spec.class.clone()),
        ShareOwner::Team(spec.team.clone()),
    ]
}

/// What a live job has, and asks for beyond that.
struct JobDemand<'a> {
    job: &'a Job,
    /// Done, or on a machine as its shape asks.
    served: u32,
    /// Of these, on a machine.
    running: u32,
    missing: u32,
}

/// Measures what the job has, by its shape.
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

/// Shares of live jobs that are at least this old.
fn live_shares(
    least_age_ms: Timestamp,
    live: &LiveDemand<'_>,
    now: Timestamp,
) -> BTreeMap<ShareOwner, Share> {
    let mut shares: BTreeMap<ShareOwner, Share> = BTreeMap::new();
    let mut used: BTreeMap<&str, Resources> = BTreeMap::new();
    let mut asking: Vec<JobDemand<'_>> = Vec::new();
    for job in live.jobs.values() {
        let demand = job_demand(job, live.counts);
        let spec = &job.spec;
        *used.entry(spec.team.as_str()).or_default() += spec.needs.scaled_by(f64::from(demand.running));
        if job.age_ms(now) >= least_age_ms && !job.parked && !job.fails_on_many_machines() {
            asking.push(demand);
        }
    }
    asking.sort_by_key(|demand| Reverse(demand.job.age_ms(now)));
    for demand in asking {
        let spec = &demand.job.spec;
        let team = live.deployment.teams.iter().find(|team| team.name == spec.team);
        let used = used.entry(spec.team.as_str()).or_default();
        let missing = match (team, spec.shape) {
            (None, _) => 0,
            (Some(team), Shape::Array) => tasks_within_limit(team, used, spec, demand.missing),
            // The others come whole or not at all.
            (Some(team), _) => {
                let most = tasks_within_limit(team, used, spec, demand.missing);
                if most < demand.missing { 0 } else { most }
            }
        };
        *used += spec.needs.scaled_by(f64::from(missing));
        let share = Share {
            asked: demand.served + missing,
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

/// How many more tasks of the job its team's limit allows, of `most`.
fn tasks_within_limit(team: &Team, used: &Resources, spec: &JobSpec, most: u32) -> u32 {
    let left = |max: f64, used: f64| {
        if max == 0.0 {
            f64::INFINITY
        } else {
            (max - used).max(0.0)
        }
    };
    let free = Resources {
        cpus: left(team.cpus_max, used.cpus),
        gpus: left(team.gpus_max, used.gpus),
        memory_gb: f64::INFINITY,
    };
    // Saturates: no limit at all is a number larger than any.
    (spec.needs.instances_in(&free) as u32).min(most)
}

#[cfg(test)]
mod tests;
