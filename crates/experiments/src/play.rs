//! One run: jobs that contend for units, the scheduler's own placement, tasks that are
//! killed, in simulated time. What is held is tallied here on its own, not by the book.

use hdrhistogram::Histogram;
use indigopath_controller::allocations::{Attempt, Machine};
use indigopath_controller::model::{Job, JobId, JobSpec, MachineId, TaskId, TaskLocations};
use indigopath_controller::protocol::{MachineTypeList, Shape, TaskState};
use indigopath_controller::scheduling::gangs::GangAttempt;
use indigopath_controller::scheduling::placement::{
    self, ClusterSnapshot, CountedUnits, Decision, MachineTypes,
};
use indigopath_controller::settings::Deployment;
use indigopath_counted_resources::{
    Definition, Definitions, Demand, Linger, LingerSet, Name, ReservationPolicy,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

const TEAMS: [&str; 3] = ["red", "green", "blue"];
const PRIORITIES: [&str; 3] = ["urgent", "standard", "low"];
const COUNTS: u32 = 10;
const LINGER_S: f64 = 10.0;
/// Step of simulated time, in ms.
const STEP_MS: u64 = 500;
/// Kills of a running task, per second.
const KILLS_PER_S: f64 = 5e-4;
/// A run that takes so many times as long as its work alone has stuck.
const STUCK: u64 = 20;
const MACHINES: u32 = 8;
/// Points of a series that is drawn.
const POINTS: usize = 800;

/// How units are handed out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Ours,
    /// Nothing is kept for large requests.
    NoReservation,
    /// Each team has a third of every count for itself.
    StaticSplit,
}

impl Way {
    pub const ALL: [Way; 3] = [Way::Ours, Way::NoReservation, Way::StaticSplit];

    pub fn name(self) -> &'static str {
        match self {
            Way::Ours => "reservations and shares",
            Way::NoReservation => "no reservation",
            Way::StaticSplit => "static split by team",
        }
    }
}

struct Submission {
    at: u64,
    spec: JobSpec,
    run_ms: u64,
}

pub struct Plan {
    seed: u64,
    way: Way,
    definitions: Definitions,
    submissions: Vec<Submission>,
    work_ms: u64,
}

impl Plan {
    /// The same jobs for every way; `load` is the work offered as a part of all units.
    pub fn new(seed: u64, tasks: u32, load: f64, way: Way) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed);
        let units: Vec<u32> = (0..COUNTS).map(|_| rng.random_range(9..=24)).collect();
        let mut definitions = Definitions::new();
        for (count, units) in units.iter().enumerate() {
            if way == Way::StaticSplit {
                for (at, team) in TEAMS.iter().enumerate() {
                    let rest = u32::from((at as u32) < units % 3);
                    let mut part = Definition::with_units(units / 3 + rest);
                    part.linger_s = LINGER_S;
                    definitions.insert(Arc::from(format!("c{count}.{team}")), part);
                }
            } else {
                let mut definition = Definition::with_units(*units);
                definition.linger_s = LINGER_S;
                definition.shares = TEAMS.iter().map(|team| ((*team).to_owned(), units / 4)).collect();
                definitions.insert(Arc::from(format!("c{count}")), definition);
            }
        }
        let all: u32 = units.iter().sum();
        let mut submissions = Vec::new();
        let (mut left, mut work_ms) = (tasks, 0.0);
        while left > 0 {
            // As much work for each unit of every count.
            let mut unit = rng.random_range(0..all);
            let count = units.iter().position(|units| {
                let here = unit < *units;
                unit = unit.saturating_sub(*units);
                here
            });
            let count = count.unwrap_or(0) as u32;
            let gang = rng.random_bool(0.12);
            let most = if gang { units[count as usize] / 3 } else { 12 };
            let size = rng.random_range(if gang { 2 } else { 1 }..=most).min(left);
            let second = (!gang && rng.random_bool(0.2)).then(|| (count + 1) % COUNTS);
            let run_ms = rng.random_range(4_000..30_000u64);
            let off = 2f64.powf(rng.random_range(-1.2..1.2));
            let team = TEAMS[rng.random_range(0..TEAMS.len())];
            let priority = PRIORITIES[[0, 1, 1, 1, 2][rng.random_range(0..5)]];
            let named = |count: u32| match way {
                Way::StaticSplit => format!("c{count}.{team}"),
                _ => format!("c{count}"),
            };
            let asked: BTreeMap<String, u64> = [Some(count), second]
                .into_iter()
                .flatten()
                .map(|count| (named(count), 1))
                .collect();
            let spec = json!({
                "id": format!("wk-{}", submissions.len()), "class": "slots", "team": team,
                "shape": if gang { "gang" } else { "sweep" }, "priority": priority, "tasks": size,
                "needs": { "cpus": 1.0, "gpus": 0.0, "memory_gb": 1.0 }, "image": "img", "image_gb": 1.0,
                "types": null, "zone": null, "one_zone": false, "spread": false, "spot": false,
                "estimate_s": run_ms as f64 * off / 1_000.0, "checkpoint_s": 0.0, "save_s": 0.0,
                "deadline_s": null, "submitted_ms": 0,
            });
            let mut spec: JobSpec = serde_json::from_value(spec).expect("a job");
            spec.counts = Demand::new(&asked).expect("a demand");
            submissions.push(Submission {
                at: (work_ms / (f64::from(all) * load)) as u64,
                spec,
                run_ms,
            });
            work_ms += run_ms as f64 * f64::from(size) * asked.len() as f64;
            left -= size;
        }
        Plan {
            seed,
            way,
            definitions,
            submissions,
            work_ms: (work_ms / f64::from(all)) as u64,
        }
    }
}

/// Waits of tasks of a kind, in s.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Waits {
    pub of: String,
    pub tasks: u64,
    pub median_s: f64,
    pub p95_s: f64,
    pub most_s: f64,
}

impl Waits {
    fn of(name: &str, waits: &Histogram<u64>) -> Waits {
        let seconds = |ms: u64| ms as f64 / 1_000.0;
        Waits {
            of: name.to_owned(),
            tasks: waits.len(),
            median_s: seconds(waits.value_at_quantile(0.5)),
            p95_s: seconds(waits.value_at_quantile(0.95)),
            most_s: seconds(waits.max()),
        }
    }
}

#[derive(Debug, Clone)]
pub struct Outcome {
    pub way: Way,
    /// Part of the units held while work waits for them and none lingers.
    pub in_use: f64,
    pub oversubscribed: u64,
    pub unfinished: u64,
    pub kills: u64,
    pub stops: u64,
    pub took_s: f64,
    pub waits: Vec<Waits>,
    pub gangs: Waits,
    /// From a kill until its unit is used again, while work waits, in s.
    pub again: Waits,
    pub again_quantiles: Vec<(f64, f64)>,
    /// Seconds, units held and units lingering of all counts.
    pub series: Vec<(f64, f64, f64)>,
    pub units: f64,
}

impl Outcome {
    pub fn line(&self) -> String {
        format!(
            "{}: in use {:.3}, oversubscribed {}, unfinished {}, {} kills, {} stops, took {:.0} s, \
             gangs waited {:.0} s (median) to {:.0} s, a killed unit was used again after {:.1} s (median) to {:.1} s",
            self.way.name(),
            self.in_use,
            self.oversubscribed,
            self.unfinished,
            self.kills,
            self.stops,
            self.took_s,
            self.gangs.median_s,
            self.gangs.most_s,
            self.again.median_s,
            self.again.most_s,
        )
    }
}

fn histogram() -> Histogram<u64> {
    // From 1 ms to some hours, to three digits: bounds that always hold.
    Histogram::new_with_bounds(1, 100_000_000, 3).expect("bounds of a histogram")
}

/// A task that runs.
struct Running {
    machine: MachineId,
    ends: u64,
}

/// What truly is taken of a count.
#[derive(Default)]
struct Truth {
    held: u32,
    /// When each unit of a killed task comes back.
    lingering: VecDeque<u64>,
    /// Kills whose unit has come back while work waited, and is not used yet.
    idle_again: VecDeque<u64>,
    wanted: bool,
}

struct Run<'a> {
    plan: &'a Plan,
    deployment: Deployment,
    types: MachineTypes,
    now: u64,
    jobs: BTreeMap<JobId, Job>,
    run_ms: HashMap<JobId, u64>,
    machines: BTreeMap<MachineId, Machine>,
    task_locations: TaskLocations,
    lingers: LingerSet,
    keepers: BTreeMap<JobId, u64>,
    running: BTreeMap<TaskId, Running>,
    truth: BTreeMap<Name, Truth>,
    next_attempt: u64,
    waits: BTreeMap<(String, String), Histogram<u64>>,
    gang_waits: Histogram<u64>,
    again: Histogram<u64>,
    kills: u64,
    stops: u64,
    oversubscribed: u64,
}

pub fn play(plan: &Plan) -> Outcome {
    let mut run = Run::new(plan);
    let mut rng = SmallRng::seed_from_u64(plan.seed ^ 0x5eed);
    let mut next = 0;
    let mut changed = false;
    let (mut held_ms, mut could_ms) = (0.0, 0.0);
    let mut series: Vec<(f64, f64, f64)> = Vec::new();
    let last = plan.submissions.last().map_or(0, |submission| submission.at);
    let stuck = STUCK * plan.work_ms.max(60_000) + last;
    while (next < plan.submissions.len() || !run.jobs.is_empty()) && run.now < stuck {
        run.now += STEP_MS;
        while let Some(submission) = plan.submissions.get(next).filter(|next| next.at <= run.now) {
            let job = Job::new(submission.spec.clone(), 1, run.now, 0);
            run.run_ms.insert(job.spec.id.clone(), submission.run_ms);
            run.jobs.insert(job.spec.id.clone(), job);
            next += 1;
            changed = true;
        }
        changed |= run.end_tasks();
        changed |= run.kill_some(&mut rng);
        changed |= run.lingers.prune(run.now);
        run.come_back();
        if std::mem::take(&mut changed) {
            run.pass();
        }
        for (name, truth) in &run.truth {
            let units = plan.definitions[name].units;
            let taken = truth.held + truth.lingering.len() as u32;
            run.oversubscribed += u64::from(taken > units);
            if truth.wanted && truth.lingering.is_empty() {
                held_ms += f64::from(truth.held) * STEP_MS as f64;
                could_ms += f64::from(units) * STEP_MS as f64;
            }
        }
        let held: u32 = run.truth.values().map(|truth| truth.held).sum();
        let lingering: usize = run.truth.values().map(|truth| truth.lingering.len()).sum();
        series.push((run.now as f64 / 1_000.0, f64::from(held), lingering as f64));
    }
    let every = series.len().div_ceil(POINTS).max(1);
    let series = series.chunks(every).map(|part| {
        let mean = |of: fn(&(f64, f64, f64)) -> f64| part.iter().map(of).sum::<f64>() / part.len() as f64;
        (part[0].0, mean(|point| point.1), mean(|point| point.2))
    });
    let unfinished: u64 = run
        .jobs
        .values()
        .map(|job| u64::from(job.spec.tasks) - job.done.len() as u64)
        .sum();
    let quantiles = (0..=100).map(|percent| {
        let part = f64::from(percent) / 100.0;
        (run.again.value_at_quantile(part) as f64 / 1_000.0, part)
    });
    Outcome {
        way: plan.way,
        in_use: if could_ms > 0.0 { held_ms / could_ms } else { 1.0 },
        oversubscribed: run.oversubscribed,
        unfinished,
        kills: run.kills,
        stops: run.stops,
        took_s: run.now as f64 / 1_000.0,
        waits: run
            .waits
            .iter()
            .map(|((team, priority), waits)| Waits::of(&format!("{team}, {priority}"), waits))
            .collect(),
        gangs: Waits::of("gangs", &run.gang_waits),
        again: Waits::of("killed units", &run.again),
        again_quantiles: quantiles.collect(),
        series: series.collect(),
        units: plan
            .definitions
            .values()
            .map(|definition| f64::from(definition.units))
            .sum(),
    }
}

impl<'a> Run<'a> {
    fn new(plan: &'a Plan) -> Run<'a> {
        let teams: Vec<_> = TEAMS.iter().map(|team| json!({ "name": team })).collect();
        let deployment = json!({
            "zones": ["east"], "teams": teams,
            "workers": { "report_s": 3.0, "lease_s": 30.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 50.0 },
            "state": { "rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 12 },
            "cloud": { "rps": 8.0, "list_lag_s": 3.0 },
            "resources": {},
        });
        let flavors: MachineTypeList = serde_json::from_value(json!({ "Rigs": [{
            "Label": "big", "Cpus": 64, "Gpus": 0, "MemGb": 512, "CacheGb": 40, "FetchGbPerS": 1.0,
            "Rate": 1.0, "LowPrice": 0.5, "StartupS": 10, "Yards": ["east"]
        }] }))
        .expect("machine types");
        let machines = (0..MACHINES).map(|number| {
            let id = MachineId(Arc::from(format!("m-{number}")));
            let mut machine = Machine::new(id.clone(), "big".into(), "east".into(), false, 0);
            machine.synced = true;
            machine.last_heard_at = Some(0);
            machine.images.on_image_seen(&Arc::from("img"), 1.0);
            (id, machine)
        });
        let truth = plan
            .definitions
            .keys()
            .map(|name| (name.clone(), Truth::default()));
        Run {
            plan,
            deployment: serde_json::from_value(deployment).expect("a deployment"),
            types: flavors
                .types
                .into_iter()
                .map(|known| (known.name.clone(), known))
                .collect(),
            now: 0,
            jobs: BTreeMap::new(),
            run_ms: HashMap::new(),
            machines: machines.collect(),
            task_locations: TaskLocations::new(),
            lingers: LingerSet::default(),
            keepers: BTreeMap::new(),
            running: BTreeMap::new(),
            truth: truth.collect(),
            next_attempt: 0,
            waits: BTreeMap::new(),
            gang_waits: histogram(),
            again: histogram(),
            kills: 0,
            stops: 0,
            oversubscribed: 0,
        }
    }

    fn pass(&mut self) {
        let (feeds, gone) = (BTreeMap::new(), HashMap::new());
        let lingers: Vec<Linger> = self.lingers.iter().cloned().collect();
        let policy = match self.plan.way {
            Way::NoReservation => ReservationPolicy {
                reserve_after_s: f64::INFINITY,
                ..ReservationPolicy::default()
            },
            _ => ReservationPolicy::default(),
        };
        let starved = indigopath_controller::scheduling::fair_share::StarvedOwners::default();
        let weights = indigopath_controller::leader::ImageLocality::default();
        let site = ClusterSnapshot {
            deployment: &self.deployment,
            types: &self.types,
            jobs: &self.jobs,
            machines: &self.machines,
            task_locations: &self.task_locations,
            spot_loss_rate: 0.0,
            starved: &starved,
            aging_credit: placement::AgingCredit::default(),
            image_statistics: &weights,
            protection: &placement::Protection::default(),
            units: CountedUnits {
                definitions: &self.plan.definitions,
                policy,
                reserved_since: &self.keepers,
                feeds: &feeds,
                lingers: &lingers,
                recently_released: &gone,
            },
            now: self.now,
        };
        let plan = placement::plan(&site);
        let since = |job: JobId| {
            let since = self.keepers.get(&job).copied().unwrap_or(self.now);
            (job, since)
        };
        self.keepers = plan.units_reserved_for.into_iter().map(since).collect();
        for truth in self.truth.values_mut() {
            truth.wanted = false;
        }
        for short in &plan.unsatisfied {
            if let Some(truth) = self.truth.get_mut(&short.shortage.count) {
                truth.wanted = true;
            }
        }
        for decision in plan.decisions {
            match decision {
                Decision::Start { task, machine } => self.start(task, machine),
                Decision::Stop { task, .. } => {
                    self.stops += 1;
                    self.lose(&task);
                }
            }
        }
    }

    fn start(&mut self, task: TaskId, machine: MachineId) {
        self.next_attempt += 1;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let spec = &job.spec;
        let number = match spec.shape {
            Shape::Gang => job.gang.get_or_insert(GangAttempt::new(self.next_attempt)).number,
            _ => self.next_attempt,
        };
        job.waiting.remove(&task.index);
        let waited = job.age_ms(self.now).max(1);
        if spec.shape == Shape::Gang {
            self.gang_waits.saturating_record(waited);
        }
        let priority = match spec.priority as u8 {
            0 | 1 => "urgent",
            2 => "standard",
            _ => "low",
        };
        self.waits
            .entry((spec.team.clone(), priority.to_owned()))
            .or_insert_with(histogram)
            .saturating_record(waited);
        for (count, units) in spec.counts.iter() {
            if let Some(truth) = self.truth.get_mut(count) {
                truth.held += units;
                if let Some(killed_at) = truth.idle_again.pop_front() {
                    self.again.saturating_record(self.now - killed_at);
                }
            }
        }
        let attempt = Attempt {
            counts: spec.counts.clone(),
            estimate_s: spec.estimate_s,
            durable: true,
            reported_state: Some(TaskState::Running),
            running_since: Some(self.now),
            ..Attempt::planned(
                task.clone(),
                number,
                Arc::from(spec.team.as_str()),
                spec.needs,
                spec.image.clone(),
                self.now,
            )
        };
        self.task_locations
            .entry(task.job.clone())
            .or_default()
            .insert(machine.clone());
        let ends = self.now + self.run_ms.get(&task.job).copied().unwrap_or(STEP_MS);
        if let Some(there) = self.machines.get_mut(&machine) {
            there.attempts.push(attempt);
        }
        self.running.insert(task, Running { machine, ends });
    }

    /// Takes a task off its machine; its units are neither held nor free then.
    fn take_off(&mut self, task: &TaskId) -> Option<Attempt> {
        let running = self.running.remove(task)?;
        let attempts = &mut self.machines.get_mut(&running.machine)?.attempts;
        let at = attempts.iter().position(|attempt| attempt.task == *task)?;
        let attempt = attempts.swap_remove(at);
        for (count, units) in attempt.counts.iter() {
            if let Some(truth) = self.truth.get_mut(count) {
                truth.held -= units;
            }
        }
        Some(attempt)
    }

    fn end_tasks(&mut self) -> bool {
        let ended: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, running)| running.ends <= self.now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in &ended {
            self.take_off(task);
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            job.done.insert(task.index);
            if job.is_complete() {
                self.jobs.remove(&task.job);
                self.task_locations.remove(&task.job);
                self.run_ms.remove(&task.job);
            }
        }
        !ended.is_empty()
    }

    fn kill_some(&mut self, rng: &mut SmallRng) -> bool {
        let expected = self.running.len() as f64 * KILLS_PER_S * STEP_MS as f64 / 1_000.0;
        if !rng.random_bool(expected.min(1.0)) {
            return false;
        }
        let tasks: Vec<&TaskId> = self.running.keys().collect();
        let victim = tasks[rng.random_range(0..tasks.len())].clone();
        self.kills += 1;
        let gang = self
            .jobs
            .get(&victim.job)
            .is_some_and(|job| job.spec.shape == Shape::Gang);
        let lost: Vec<TaskId> = if gang {
            tasks
                .into_iter()
                .filter(|task| task.job == victim.job)
                .cloned()
                .collect()
        } else {
            vec![victim]
        };
        for task in &lost {
            self.lose(task);
        }
        true
    }

    /// A task ends otherwise than by itself: its units linger, and it waits again.
    fn lose(&mut self, task: &TaskId) {
        let Some(attempt) = self.take_off(task) else {
            return;
        };
        for (count, units) in attempt.counts.iter() {
            let Some(definition) = self.plan.definitions.get(count) else {
                continue;
            };
            self.lingers.add(Linger {
                count: count.clone(),
                team: attempt.team.clone(),
                units,
                until: self.now + definition.linger_ms(),
            });
            if let Some(truth) = self.truth.get_mut(count) {
                let back = self.now + (definition.linger_s * 1_000.0) as u64;
                truth.lingering.extend(std::iter::repeat_n(back, units as usize));
            }
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.waiting.insert(task.index);
            if job.waiting.len() as u32 == job.spec.tasks {
                job.gang = None;
            }
        }
    }

    /// The licence server gets units back.
    fn come_back(&mut self) {
        let linger_ms = (LINGER_S * 1_000.0) as u64;
        for truth in self.truth.values_mut() {
            while truth.lingering.front().is_some_and(|at| *at <= self.now) {
                let back = truth.lingering.pop_front().unwrap_or(self.now);
                if truth.wanted {
                    truth.idle_again.push_back(back - linger_ms);
                } else {
                    truth.idle_again.clear();
                }
            }
        }
    }
}
