//! Forecasts of service-level objectives, and warnings when the jobs of a class fall behind: more of them
//! are forecast to be late than the class's objective on finishing allows, or than may miss their owners'
//! deadlines.
//!
//! One warning a class and limit tells how many and why; it is repeated at intervals while that lasts, and
//! never for every job.

use crate::allocations::Machine;
use crate::constants::{
    FORECAST_JOBS, LARGE_JOB_WARNING_AFTER_MS, OBJECTIVE_MIN_WARNED_MS, OBJECTIVE_RECOVERED_SHARE, SECOND_MS,
    WARNING_REPEAT_MS,
};
use crate::io::{Effect, Io};
use crate::model::{Job, JobId, MachineId, MachineTypes, TaskLocations, Timestamp};
use crate::protocol::Shape;
use crate::scheduling::placement::{self, UnsatisfiedDemand};
use crate::settings::Settings;
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The time within which jobs of a class are to be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Limit {
    /// An objective of the operators, in ms from the submission.
    Objective(Timestamp),
    /// Each job's own deadline, as its owner set it.
    Deadline,
}

/// A job that is done.
#[derive(Debug)]
struct FinishedJob {
    at: Timestamp,
    took_s: f64,
    estimate_s: f64,
    deadline_s: Option<f64>,
}

impl FinishedJob {
    /// Whether it was late; `None` where that says nothing of how its class fares.
    fn is_late(&self, limit: Limit) -> Option<bool> {
        let within_s = limit.within_s(self.deadline_s)?;
        (self.estimate_s <= within_s).then_some(self.took_s > within_s)
    }
}

impl Limit {
    fn objective(within_s: f64) -> Limit {
        Limit::Objective((within_s * SECOND_MS as f64) as u64)
    }

    /// The limit in s, for a job with this deadline.
    fn within_s(self, deadline_s: Option<f64>) -> Option<f64> {
        match self {
            Limit::Objective(ms) => Some(ms as f64 / SECOND_MS as f64),
            Limit::Deadline => deadline_s,
        }
    }
}

/// How a class stands against a limit.
#[derive(Debug, Default)]
struct Outlook<'a> {
    jobs: u32,
    late: u32,
    /// Live jobs that take longer by their owners' own estimates, wherever they run.
    long: u32,
    /// Late jobs by what holds them.
    reasons: BTreeMap<Cow<'static, str>, u32>,
    /// The live job that will be latest.
    worst: Option<LateJob<'a>>,
}

/// A live job that is forecast to be late.
#[derive(Debug, Clone, Copy)]
struct LateJob<'a> {
    job: &'a JobId,
    /// By how much it will be late.
    over_s: f64,
    age_s: f64,
    remaining_s: f64,
}

impl<'a> Outlook<'a> {
    /// Counts a live job; `late` has a value that is not positive for one in time.
    fn add(&mut self, late: LateJob<'a>, reason: Cow<'static, str>) {
        self.jobs += 1;
        if late.over_s <= 0.0 {
            return;
        }
        self.late += 1;
        *self.reasons.entry(reason).or_default() += 1;
        if self.worst.is_none_or(|worst| late.over_s > worst.over_s) {
            self.worst = Some(late);
        }
    }
}

/// What a leader remembers of forecasts from one look to the next.
#[derive(Debug, Default)]
pub struct Forecast {
    finished: BTreeMap<String, VecDeque<FinishedJob>>,
    /// Classes that are behind, by limit, and when that was last said.
    behind: BTreeMap<(String, Limit), Timestamp>,
    /// Classes whose larger jobs wait for too long to begin, and when that was last said.
    not_begun: BTreeMap<String, Timestamp>,
}

/// Progress of a job's tasks on machines: how many there are and the longest that
/// one still needs, by the owner's estimate.
#[derive(Debug, Clone, Copy, Default)]
struct PlacedTasks {
    tasks: u32,
    longest_s: f64,
}

/// When a job will be complete.
struct Completion {
    remaining_s: f64,
    /// What holds it up, for a warning.
    reason: &'static str,
}

/// How long a task that finds no machine waits for its start.
#[derive(Debug, Clone, Copy, Default)]
struct StartDelay {
    boot_s: f64,
    fetch_s: f64,
}

/// When the job will be complete, by its owner's estimate.
fn completion(job: &Job, placed: PlacedTasks, delay: StartDelay) -> Completion {
    let waiting = job.waiting.len() as f64;
    if waiting == 0.0 {
        return Completion {
            remaining_s: placed.longest_s,
            reason: "running longer than estimated or started late",
        };
    }
    if placed.tasks == 0 {
        return Completion {
            remaining_s: delay.boot_s + delay.fetch_s + job.spec.estimate_s,
            reason: "waiting for machines",
        };
    }
    let waves = (waiting / f64::from(placed.tasks)).ceil();
    Completion {
        remaining_s: placed.longest_s + waves * job.spec.estimate_s,
        reason: "short of machines for their tasks",
    }
}

/// Tasks on machines, by job.
fn placed_tasks<'a>(
    jobs: &'a BTreeMap<JobId, Job>,
    machines: &BTreeMap<MachineId, Machine>,
    now: Timestamp,
) -> HashMap<&'a JobId, PlacedTasks> {
    let mut placed: HashMap<&JobId, PlacedTasks> = HashMap::new();
    for attempt in machines.values().flat_map(|machine| &machine.attempts) {
        if attempt.exited() {
            continue;
        }
        let Some(job) = jobs.get(&attempt.task.job) else {
            continue;
        };
        let entry = placed.entry(&job.spec.id).or_default();
        entry.tasks += 1;
        entry.longest_s = entry
            .longest_s
            .max((job.spec.estimate_s - attempt.elapsed_s(now)).max(0.0));
    }
    placed
}

/// What a forecast needs to know of the cluster.
#[derive(Debug)]
pub struct ForecastInput<'a> {
    /// Jobs that are not over.
    pub jobs: &'a BTreeMap<JobId, Job>,
    /// Machines, with what runs on them.
    pub machines: &'a BTreeMap<MachineId, Machine>,
    /// Tasks that wait for units of counts.
    pub unsatisfied: &'a [UnsatisfiedDemand],
    /// Machine types that the cloud offers.
    pub types: &'a MachineTypes,
    /// Objectives of the classes.
    pub settings: &'a Settings,
    /// Observed boot times by machine type, in s.
    pub boot_s: &'a HashMap<String, f64>,
}

/// Outlooks by class and limit.
type Outlooks<'a> = BTreeMap<(&'a str, Limit), Outlook<'a>>;

/// The outlooks of live jobs.
fn live_outlooks<'a>(input: &ForecastInput<'a>, now: Timestamp) -> Outlooks<'a> {
    let unsatisfied: HashMap<&JobId, &UnsatisfiedDemand> = input
        .unsatisfied
        .iter()
        .map(|demand| (&demand.job, demand))
        .collect();
    let placed = placed_tasks(input.jobs, input.machines, now);
    let mut outlooks = Outlooks::new();
    for job in input.jobs.values().filter(|job| !job.parked) {
        if job.spec.shape == Shape::Service {
            continue;
        }
        let placed = placed.get(&job.spec.id).copied().unwrap_or_default();
        let delay = start_delay(job, input.types, input.boot_s);
        let completion = completion(job, placed, delay);
        // More machines would not help a job that waits for units.
        let reason = match unsatisfied.get(&job.spec.id) {
            Some(demand) => Cow::Owned(format!("waiting for units of {}", demand.shortage.count)),
            None => Cow::Borrowed(completion.reason),
        };
        let class = job.spec.class.as_str();
        let deployment = &input.settings.deployment;
        let objectives = deployment.within_s("finished", class).map(Limit::objective);
        let age_s = job.age_ms(now) as f64 / SECOND_MS as f64;
        for limit in objectives.chain([Limit::Deadline]) {
            let Some(within_s) = limit.within_s(job.spec.deadline_s) else {
                continue;
            };
            let outlook = outlooks.entry((class, limit)).or_default();
            // No machine of any number could help it: nobody is behind.
            if delay.fetch_s + job.spec.estimate_s > within_s {
                outlook.long += 1;
                continue;
            }
            let late = LateJob {
                job: &job.spec.id,
                over_s: age_s + completion.remaining_s - within_s,
                age_s,
                remaining_s: completion.remaining_s,
            };
            outlook.add(late, reason.clone());
        }
    }
    outlooks
}

impl Forecast {
    /// Notes that a job was done.
    pub fn record_finished(&mut self, job: &Job, now: Timestamp) {
        let finished = self.finished.entry(job.spec.class.clone()).or_default();
        finished.push_back(FinishedJob {
            at: now,
            took_s: job.age_ms(now) as f64 / SECOND_MS as f64,
            estimate_s: job.spec.estimate_s,
            deadline_s: job.spec.deadline_s,
        });
        if finished.len() > FORECAST_JOBS {
            finished.pop_front();
        }
    }

    /// Forecasts all live jobs, and warns of classes that fall behind.
    pub fn update(&mut self, input: &ForecastInput<'_>, io: &mut Io) {
        let mut outlooks = live_outlooks(input, io.now);
        self.count_finished(&mut outlooks, input.settings, io.now);
        // Classes are named by users: what nobody submits any more is forgotten.
        self.behind
            .retain(|(class, limit), _| outlooks.contains_key(&(class.as_str(), *limit)));
        for ((class, limit), outlook) in outlooks {
            self.warn(class, limit, &outlook, input.settings, io);
        }
    }

    /// Warns, by class, of larger jobs that are about to begin later than their users expect.
    pub fn update_large_jobs(
        &mut self,
        jobs: &BTreeMap<JobId, Job>,
        task_locations: &TaskLocations,
        short: &[UnsatisfiedDemand],
        io: &mut Io,
    ) {
        let mut late: BTreeMap<&str, (&Job, u32)> = BTreeMap::new();
        for job in placement::large_unstarted_jobs(jobs, task_locations, LARGE_JOB_WARNING_AFTER_MS, io.now) {
            late.entry(&job.spec.class).or_insert((job, 0)).1 += 1;
        }
        self.not_begun
            .retain(|class, at| late.contains_key(class.as_str()) || io.now < *at + OBJECTIVE_MIN_WARNED_MS);
        for (class, (oldest, count)) in late {
            let told = self.not_begun.get(class);
            if told.is_some_and(|at| io.now < at + WARNING_REPEAT_MS) {
                continue;
            }
            self.not_begun.insert(class.to_owned(), io.now);
            let id = &oldest.spec.id;
            let why = match short.iter().find(|short| short.job == *id) {
                Some(short) => format!("units of {}", short.shortage.count),
                None => "machines".to_owned(),
            };
            io.effects.push(Effect::Warning(format!(
                "class={class} has {count} of its larger jobs that have not begun after {} s; the oldest is \
                 job={id}, {:.0} s old: {} tasks of {} CPUs and {} GPUs{}, it waits for {why}",
                LARGE_JOB_WARNING_AFTER_MS / SECOND_MS,
                oldest.age_ms(io.now) as f64 / SECOND_MS as f64,
                oldest.spec.tasks,
                oldest.spec.needs.cpus,
                oldest.spec.needs.gpus,
                if oldest.spec.one_zone { " in one zone" } else { "" },
            )));
        }
    }

    /// Jobs that were done within the time that the class is given count as well, or the
    /// long ones, which live longest, would speak for all.
    fn count_finished<'a>(&mut self, outlooks: &mut Outlooks<'a>, settings: &Settings, now: Timestamp) {
        self.finished.retain(|class, finished| {
            let longest_s = settings
                .deployment
                .within_s("finished", class)
                .fold(0.0, f64::max);
            let kept_s = finished
                .iter()
                .filter_map(|job| job.deadline_s)
                .fold(longest_s, f64::max);
            let kept_ms = (kept_s * SECOND_MS as f64) as u64;
            while finished.front().is_some_and(|job| now > job.at + kept_ms) {
                finished.pop_front();
            }
            !finished.is_empty()
        });
        for ((class, limit), outlook) in outlooks {
            for job in self.finished.get(*class).into_iter().flatten() {
                if let Some(late) = job.is_late(*limit) {
                    outlook.jobs += 1;
                    outlook.late += u32::from(late);
                }
            }
        }
    }

    fn warn(&mut self, class: &str, limit: Limit, outlook: &Outlook<'_>, settings: &Settings, io: &mut Io) {
        let objective_s = limit.within_s(None);
        let may = 1.0 - settings.deployment.finished_share(class, objective_s);
        let allowed = may * f64::from(outlook.jobs);
        let late = f64::from(outlook.late);
        let key = (class.to_owned(), limit);
        let what = match objective_s {
            Some(within_s) => format!("their objective of {within_s:.0} s"),
            None => "their owners' deadlines".to_owned(),
        };
        let told = self.behind.get(&key).copied();
        let settled = told.is_some_and(|at| io.now >= at + OBJECTIVE_MIN_WARNED_MS);
        if settled && late <= allowed * OBJECTIVE_RECOVERED_SHARE {
            self.behind.remove(&key);
            log::info!("class caught up class={class} with {what}");
        }
        // Without a live job that can still be helped there is nothing to act on.
        let Some(worst) = outlook.worst.filter(|_| late > allowed) else {
            return;
        };
        if told.is_some_and(|at| io.now < at + WARNING_REPEAT_MS) {
            return;
        }
        let why = outlook.reasons.iter().max_by_key(|(_, count)| **count);
        let text = format!(
            "class={class} falls behind: {} of {} jobs are forecast to miss {what} ({:.0} % may), most of them {}; \
             the latest is job={}, {:.0} s old, about {:.0} s to go; {} more are longer by \
             their owners' estimates",
            outlook.late,
            outlook.jobs,
            100.0 * may,
            why.map_or("late", |(why, _)| &**why),
            worst.job,
            worst.age_s,
            worst.remaining_s,
            outlook.long,
        );
        self.behind.insert(key, io.now);
        io.effects.push(Effect::Warning(text));
    }
}

/// How long a task that finds no machine waits for a boot, on the type that boots soonest, and for its image.
fn start_delay(job: &Job, types: &MachineTypes, boot_s: &HashMap<String, f64>) -> StartDelay {
    types
        .values()
        .map(|machine_type| {
            let boot = boot_s.get(&machine_type.name).copied();
            StartDelay {
                boot_s: boot.unwrap_or(machine_type.boot_s),
                fetch_s: machine_type.fetch_s(job.spec.image_gb),
            }
        })
        .min_by(|left, right| left.boot_s.total_cmp(&right.boot_s))
        .unwrap_or_default()
}
