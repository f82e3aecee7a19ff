//! Forecasts of service-level objectives, and warnings when a class falls behind: more of its jobs are
//! forecast to be late than its finishing objective allows, or than may miss their owners' deadlines.
//!
//! There is one warning per class and limit, not one per job. It tells how many jobs are late and why, and is
//! repeated at intervals while the class is behind.

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

/// The time within which jobs of a class should complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Limit {
    /// An objective set by the operators, in ms from submission.
    Objective(Timestamp),
    /// Each job's own deadline, set by its owner.
    Deadline,
}

/// A finished job.
#[derive(Debug)]
struct FinishedJob {
    finished_at: Timestamp,
    took_s: f64,
    estimate_s: f64,
    deadline_s: Option<f64>,
}

impl FinishedJob {
    /// Whether it was late; `None` if it has no such limit, or could not have met it by its owner's estimate.
    fn is_late(&self, limit: Limit) -> Option<bool> {
        let within_s = limit.within_s(self.deadline_s)?;
        (self.estimate_s <= within_s).then_some(self.took_s > within_s)
    }
}

impl Limit {
    fn objective(within_s: f64) -> Limit {
        Limit::Objective((within_s * SECOND_MS as f64) as u64)
    }

    /// Returns the limit in s for a job with this deadline.
    fn within_s(self, deadline_s: Option<f64>) -> Option<f64> {
        match self {
            Limit::Objective(ms) => Some(ms as f64 / SECOND_MS as f64),
            Limit::Deadline => deadline_s,
        }
    }
}

/// The forecast of a class against a limit.
#[derive(Debug, Default)]
struct ClassForecast<'a> {
    jobs: u32,
    late_jobs: u32,
    /// Live jobs that cannot meet the limit on any machine, by their owners' estimates.
    unachievable: u32,
    /// Number of late jobs by the reason for the delay.
    reasons: BTreeMap<Cow<'static, str>, u32>,
    /// The live job that will exceed the limit most.
    latest: Option<JobForecast<'a>>,
}

/// The forecast of a live job against a limit.
#[derive(Debug, Clone, Copy)]
struct JobForecast<'a> {
    job: &'a JobId,
    /// How long after the limit it will complete; not positive if it will be in time.
    late_by_s: f64,
    age_s: f64,
    remaining_s: f64,
}

impl<'a> ClassForecast<'a> {
    /// Counts a live job; `reason` tells why it is delayed if it will be late.
    fn add(&mut self, job_forecast: JobForecast<'a>, reason: Cow<'static, str>) {
        self.jobs += 1;
        if job_forecast.late_by_s <= 0.0 {
            return;
        }
        self.late_jobs += 1;
        *self.reasons.entry(reason).or_default() += 1;
        if self
            .latest
            .is_none_or(|latest| job_forecast.late_by_s > latest.late_by_s)
        {
            self.latest = Some(job_forecast);
        }
    }
}

/// The state that a leader keeps from one forecast to the next.
#[derive(Debug, Default)]
pub struct Forecast {
    finished: BTreeMap<String, VecDeque<FinishedJob>>,
    /// Time of the last warning for each class that is behind, by limit.
    behind_warned_at: BTreeMap<(String, Limit), Timestamp>,
    /// Time of the last warning for each class whose large jobs have waited too long to start.
    unstarted_warned_at: BTreeMap<String, Timestamp>,
}

/// A job's tasks on machines: their number, and the longest estimated time that one of them still needs.
#[derive(Debug, Clone, Copy, Default)]
struct PlacedTasks {
    tasks: u32,
    longest_s: f64,
}

/// The estimated completion of a job.
struct Completion {
    remaining_s: f64,
    /// The reason for the delay, for a warning.
    reason: &'static str,
}

/// How long a task without a machine waits for its start.
#[derive(Debug, Clone, Copy, Default)]
struct StartDelay {
    boot_s: f64,
    fetch_s: f64,
}

/// Estimates when the job will be complete, by its owner's estimate of its run time.
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

/// Returns the tasks on machines, by job.
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

/// The input of a forecast.
#[derive(Debug)]
pub struct ForecastInput<'a> {
    /// Live jobs.
    pub jobs: &'a BTreeMap<JobId, Job>,
    /// Machines, with what runs on them.
    pub machines: &'a BTreeMap<MachineId, Machine>,
    /// Tasks that wait for units of counted resources.
    pub unsatisfied: &'a [UnsatisfiedDemand],
    /// Machine types that the cloud offers.
    pub types: &'a MachineTypes,
    /// The settings, with the objectives of the classes.
    pub settings: &'a Settings,
    /// Observed boot times by machine type, in s.
    pub boot_s: &'a HashMap<String, f64>,
}

/// Forecasts by class and limit.
type ClassForecasts<'a> = BTreeMap<(&'a str, Limit), ClassForecast<'a>>;

/// Forecasts all live jobs, by class and limit.
fn live_class_forecasts<'a>(input: &ForecastInput<'a>, now: Timestamp) -> ClassForecasts<'a> {
    let unsatisfied: HashMap<&JobId, &UnsatisfiedDemand> = input
        .unsatisfied
        .iter()
        .map(|demand| (&demand.job, demand))
        .collect();
    let placed = placed_tasks(input.jobs, input.machines, now);
    let mut class_forecasts = ClassForecasts::new();
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
            let class_forecast = class_forecasts.entry((class, limit)).or_default();
            // More machines would not help it, so it does not count as behind.
            if delay.fetch_s + job.spec.estimate_s > within_s {
                class_forecast.unachievable += 1;
                continue;
            }
            let job_forecast = JobForecast {
                job: &job.spec.id,
                late_by_s: age_s + completion.remaining_s - within_s,
                age_s,
                remaining_s: completion.remaining_s,
            };
            class_forecast.add(job_forecast, reason.clone());
        }
    }
    class_forecasts
}

impl Forecast {
    /// Records that a job has finished.
    pub fn record_finished(&mut self, job: &Job, now: Timestamp) {
        let finished = self.finished.entry(job.spec.class.clone()).or_default();
        finished.push_back(FinishedJob {
            finished_at: now,
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
        let mut class_forecasts = live_class_forecasts(input, io.now);
        self.count_finished(&mut class_forecasts, input.settings, io.now);
        // Users name the classes, so the state of classes without jobs is dropped.
        self.behind_warned_at
            .retain(|(class, limit), _| class_forecasts.contains_key(&(class.as_str(), *limit)));
        for ((class, limit), class_forecast) in class_forecasts {
            self.warn(class, limit, &class_forecast, input.settings, io);
        }
    }

    /// Warns, by class, of large jobs that have waited too long to start.
    pub fn update_large_jobs(
        &mut self,
        jobs: &BTreeMap<JobId, Job>,
        task_locations: &TaskLocations,
        unsatisfied: &[UnsatisfiedDemand],
        io: &mut Io,
    ) {
        let mut unstarted: BTreeMap<&str, (&Job, u32)> = BTreeMap::new();
        for job in placement::large_unstarted_jobs(jobs, task_locations, LARGE_JOB_WARNING_AFTER_MS, io.now) {
            unstarted.entry(&job.spec.class).or_insert((job, 0)).1 += 1;
        }
        self.unstarted_warned_at.retain(|class, at| {
            unstarted.contains_key(class.as_str()) || io.now < *at + OBJECTIVE_MIN_WARNED_MS
        });
        for (class, (oldest, count)) in unstarted {
            let warned_at = self.unstarted_warned_at.get(class);
            if warned_at.is_some_and(|at| io.now < at + WARNING_REPEAT_MS) {
                continue;
            }
            self.unstarted_warned_at.insert(class.to_owned(), io.now);
            let id = &oldest.spec.id;
            let reason = match unsatisfied.iter().find(|unsatisfied| unsatisfied.job == *id) {
                Some(unsatisfied) => format!("units of {}", unsatisfied.shortage.count),
                None => "machines".to_owned(),
            };
            io.effects.push(Effect::Warning(format!(
                "class={class} has {count} of its larger jobs that have not started after {} s; the oldest is \
                 job={id}, {:.0} s old: {} tasks of {} CPUs and {} GPUs{}, waiting for {reason}",
                LARGE_JOB_WARNING_AFTER_MS / SECOND_MS,
                oldest.age_ms(io.now) as f64 / SECOND_MS as f64,
                oldest.spec.tasks,
                oldest.spec.needs.cpus,
                oldest.spec.needs.gpus,
                if oldest.spec.one_zone { " in one zone" } else { "" },
            )));
        }
    }

    /// Counts jobs that finished recently, within the class's longest limit. Otherwise long jobs, which are
    /// live for longest, would dominate the forecast.
    fn count_finished<'a>(
        &mut self,
        class_forecasts: &mut ClassForecasts<'a>,
        settings: &Settings,
        now: Timestamp,
    ) {
        self.finished.retain(|class, finished| {
            let longest_s = settings
                .deployment
                .within_s("finished", class)
                .fold(0.0, f64::max);
            let retention_s = finished
                .iter()
                .filter_map(|job| job.deadline_s)
                .fold(longest_s, f64::max);
            let retention_ms = (retention_s * SECOND_MS as f64) as u64;
            while finished
                .front()
                .is_some_and(|job| now > job.finished_at + retention_ms)
            {
                finished.pop_front();
            }
            !finished.is_empty()
        });
        for ((class, limit), class_forecast) in class_forecasts {
            for job in self.finished.get(*class).into_iter().flatten() {
                if let Some(is_late) = job.is_late(*limit) {
                    class_forecast.jobs += 1;
                    class_forecast.late_jobs += u32::from(is_late);
                }
            }
        }
    }

    fn warn(
        &mut self,
        class: &str,
        limit: Limit,
        class_forecast: &ClassForecast<'_>,
        settings: &Settings,
        io: &mut Io,
    ) {
        let objective_s = limit.within_s(None);
        let allowed_share = 1.0 - settings.deployment.finished_share(class, objective_s);
        let allowed_late = allowed_share * f64::from(class_forecast.jobs);
        let late_jobs = f64::from(class_forecast.late_jobs);
        let key = (class.to_owned(), limit);
        let objective_text = match objective_s {
            Some(within_s) => format!("their objective of {within_s:.0} s"),
            None => "their owners' deadlines".to_owned(),
        };
        let warned_at = self.behind_warned_at.get(&key).copied();
        let min_warned_time_elapsed = warned_at.is_some_and(|at| io.now >= at + OBJECTIVE_MIN_WARNED_MS);
        if min_warned_time_elapsed && late_jobs <= allowed_late * OBJECTIVE_RECOVERED_SHARE {
            self.behind_warned_at.remove(&key);
            log::info!("class caught up class={class} with {objective_text}");
        }
        // Without a late live job that could still be helped, there is nothing to act on.
        let Some(latest) = class_forecast.latest.filter(|_| late_jobs > allowed_late) else {
            return;
        };
        if warned_at.is_some_and(|at| io.now < at + WARNING_REPEAT_MS) {
            return;
        }
        let reason = class_forecast.reasons.iter().max_by_key(|(_, count)| **count);
        let text = format!(
            "class={class} falls behind: {} of {} jobs are forecast to miss {objective_text} ({:.0} % allowed), most of them {}; \
             the latest is job={}, {:.0} s old, about {:.0} s remaining; {} more cannot be in time by \
             their owners' estimates",
            class_forecast.late_jobs,
            class_forecast.jobs,
            100.0 * allowed_share,
            reason.map_or("late", |(reason, _)| &**reason),
            latest.job,
            latest.age_s,
            latest.remaining_s,
            class_forecast.unachievable,
        );
        self.behind_warned_at.insert(key, io.now);
        io.effects.push(Effect::Warning(text));
    }
}

/// Returns how long a task without a machine waits for a boot and for its image, on the machine type that
/// boots fastest.
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
