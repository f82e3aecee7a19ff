//! Checks that no job waits beside free capacity: once no fault is left, no job may have a task
//! waiting for 90 s while a suitable machine has room and its team is below its limit. This is
//! checked each second against the actual machines, never against a controller's view.
//!
//! For an array or a service, the wait counts if one unplaced task would fit; for a gang none of
//! which runs, if all unplaced tasks would fit beside those that are placed, or the whole gang would
//! fit in another zone. The machine need not be the same all the time. A scenario in which the wait
//! is intended declares `waits JOB because …`, and the job must then wait.

use crate::simulation::{ObservedJob, Simulation};
use indigopath_controller::model::Resources;
use indigopath_controller::protocol::TaskState;
use indigopath_controller::settings::{Settings, Team};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Longest wait beside free capacity, in ms: the bound that the platform states.
const MAX_WAIT_MS: u64 = 90_000;
/// Interval of the check, in ms.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Capacity that is free in this many successive samples counts as idle. Between a task's end and
/// the next start, which takes a heartbeat and a write, it is not idle.
const IDLE_SAMPLES: usize = 4;

/// The jobs that wait beside free capacity.
#[derive(Default)]
pub(crate) struct WaitingChecks {
    /// Jobs that are expected to wait.
    pub(crate) expected: BTreeSet<String>,
    /// Jobs that waited too long, expected or not.
    pub(crate) overdue: BTreeSet<String>,
    /// When the last fault ended.
    last_fault_at: u64,
    /// Since when each job waits beside free capacity.
    waiting_since: BTreeMap<String, u64>,
    placement_requests: BTreeMap<String, PlacementRequest>,
    /// Free resources of each machine in the last samples.
    free_samples: BTreeMap<String, VecDeque<Resources>>,
    teams: Vec<Team>,
}

/// What a job requires of a machine.
struct PlacementRequest {
    needs: Resources,
    types: Option<Vec<String>>,
    /// For a job of a submit file: the kinds of machines that are allowed.
    kinds: Option<Value>,
    zone: Option<String>,
    one_zone: bool,
    /// Largest number of tasks in one zone.
    max_tasks_per_zone: usize,
    spot: bool,
}

impl PlacementRequest {
    fn of(observed: &ObservedJob) -> PlacementRequest {
        let amount = |value: &Value| value.as_f64().unwrap_or(0.0);
        let (body, tasks) = (&observed.body, observed.tasks as usize);
        if let Some(spec) = &observed.spec {
            let needs = &spec["needs"];
            return PlacementRequest {
                needs: Resources {
                    cpus: amount(&needs["cpus"]),
                    gpus: amount(&needs["gpus"]),
                    memory_gb: amount(&needs["memory_gb"]),
                },
                types: None,
                kinds: spec.get("kinds").cloned(),
                zone: None,
                one_zone: false,
                max_tasks_per_zone: tasks,
                spot: spec["spot"] == true,
            };
        }
        let names = |list: &Vec<Value>| {
            list.iter()
                .filter_map(|name| Some(name.as_str()?.into()))
                .collect()
        };
        PlacementRequest {
            needs: Resources {
                cpus: amount(&body["Cpus"]),
                gpus: amount(&body["Gpus"]),
                memory_gb: amount(&body["MemGb"]),
            },
            types: body["Rigs"].as_array().map(names),
            kinds: None,
            zone: body["Yard"].as_str().map(str::to_owned),
            one_zone: body["OneZone"] == true,
            max_tasks_per_zone: if body["Apart"] == true {
                tasks.div_ceil(2)
            } else {
                tasks
            },
            spot: body["Loaners"] == true,
        }
    }

    fn allows(&self, machine: &IdleMachine<'_>) -> bool {
        let kind =
            |kinds: &Value| kinds[machine.machine_type][machine.zone][usize::from(machine.spot)].is_u64();
        let types = self.types.as_ref();
        types.is_none_or(|types| types.iter().any(|name| name == machine.machine_type))
            && self.zone.as_ref().is_none_or(|only| only == machine.zone)
            && (self.spot || !machine.spot)
            && self.kinds.as_ref().is_none_or(kind)
    }
}

/// A healthy machine and its idle resources.
struct IdleMachine<'a> {
    id: &'a str,
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
    free: Resources,
}

/// Where a job's tasks are placed, including those that fetch their image.
#[derive(Default)]
struct PlacedTasks<'a> {
    indexes: BTreeSet<u32>,
    zones: BTreeMap<&'a str, usize>,
    is_running: bool,
}

impl Simulation {
    /// Whether any temporary fault is active: of controllers, users or the state service, or of
    /// machines and the messages to and from them.
    fn has_any_fault(&self) -> bool {
        self.has_control_plane_fault()
            || self.cloud.outage
            || self.licences.outage
            || !self.cuts.is_empty()
            || self.faults.iter().any(|(until, _)| self.now < *until)
            || self
                .workers
                .values()
                .any(|worker| self.now < worker.hung_until.max(worker.refuses_starts_until))
    }

    /// Whether a job waits beside free capacity, so that the simulation must continue.
    pub(crate) fn has_wait_beside_capacity(&self) -> bool {
        let since = self.waiting_checks.waiting_since.iter();
        since
            .filter(|(id, _)| !self.waiting_checks.overdue.contains(*id))
            .count()
            > 0
    }

    /// Flags jobs that waited too long beside free capacity.
    pub(crate) fn check_waiting(&mut self) {
        if self.has_any_fault() {
            self.waiting_checks.last_fault_at = self.now;
            self.waiting_checks.waiting_since.clear();
        }
        if !self.now.is_multiple_of(CHECK_INTERVAL_MS) {
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting_checks);
        for (id, observed) in &self.jobs {
            if observed.accepted && !waiting.placement_requests.contains_key(id) {
                waiting
                    .placement_requests
                    .insert(id.clone(), PlacementRequest::of(observed));
            }
        }
        if waiting.teams.is_empty() {
            waiting.teams = self.teams();
        }
        self.sample_free_resources(&mut waiting);
        let is_fault_free = self.now > waiting.last_fault_at;
        let waits = if is_fault_free {
            self.waits_beside_capacity(&waiting)
        } else {
            BTreeMap::new()
        };
        let (now, mut overdue_lines) = (self.now, Vec::new());
        waiting.waiting_since.retain(|id, _| waits.contains_key(id));
        for (id, machine) in waits {
            let since = *waiting.waiting_since.entry(id.clone()).or_insert(now);
            if now < since + MAX_WAIT_MS
                || !waiting.overdue.insert(id.clone())
                || waiting.expected.contains(&id)
            {
                continue;
            }
            overdue_lines.push(format!("{id}, since {} s, as {machine} has room", since / 1_000));
        }
        self.waiting_checks = waiting;
        for line in overdue_lines {
            self.violation("waits", line);
        }
    }

    /// Declared exceptions that did not occur.
    pub(crate) fn unmet_wait_exceptions(&self) -> impl Iterator<Item = String> {
        let unmet = self
            .waiting_checks
            .expected
            .difference(&self.waiting_checks.overdue);
        unmet.map(|id| format!("waits {id}: it is not so"))
    }

    fn teams(&self) -> Vec<Team> {
        let settings = Settings::parse(include_str!("../../controller/tests/support/settings.json")).unwrap();
        let mut teams = settings.deployment.teams;
        for team in &mut teams {
            team.gpus_max = self.gpus_max.unwrap_or(team.gpus_max);
        }
        teams
    }

    fn sample_free_resources(&self, waiting: &mut WaitingChecks) {
        waiting.free_samples.retain(|id, _| self.workers.contains_key(id));
        for (id, worker) in &self.workers {
            let mut types = self.cloud.types.iter();
            let known = types.find(|known| known.name == worker.machine_type);
            let mut free = known.map(|known| known.resources()).unwrap_or_default();
            for task in worker.tasks.iter().filter(|task| task.state != TaskState::Exited) {
                if let Some(request) = waiting.placement_requests.get(&task.job) {
                    free -= request.needs;
                }
            }
            let samples = waiting.free_samples.entry(id.clone()).or_default();
            samples.push_back(free);
            if samples.len() > IDLE_SAMPLES {
                samples.pop_front();
            }
        }
    }

    /// Healthy machines with the resources that stayed free in all samples.
    fn idle_machines<'a>(&'a self, waiting: &'a WaitingChecks) -> Vec<IdleMachine<'a>> {
        let healthy = self.workers.values().filter(|worker| {
            let sample_count = waiting.free_samples.get(&worker.id).map_or(0, VecDeque::len);
            worker.reclaim_at.is_none() && !worker.faulty && sample_count == IDLE_SAMPLES
        });
        let idle = healthy.map(|worker| {
            let minimum = |a: Resources, b: &Resources| Resources {
                cpus: a.cpus.min(b.cpus),
                gpus: a.gpus.min(b.gpus),
                memory_gb: a.memory_gb.min(b.memory_gb),
            };
            let samples = &waiting.free_samples[&worker.id];
            IdleMachine {
                id: &worker.id,
                machine_type: &worker.machine_type,
                zone: &worker.zone,
                spot: worker.spot,
                free: samples.iter().skip(1).fold(samples[0], minimum),
            }
        });
        idle.collect()
    }

    /// Jobs that wait beside free capacity now, each with a machine that has it.
    fn waits_beside_capacity(&self, waiting: &WaitingChecks) -> BTreeMap<String, String> {
        let idle_machines = self.idle_machines(waiting);
        let mut used: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut held: BTreeMap<&str, u32> = BTreeMap::new();
        let mut placement: BTreeMap<&str, PlacedTasks<'_>> = BTreeMap::new();
        for (worker, task) in self.workers.values().flat_map(|worker| {
            let tasks = worker.tasks.iter().filter(|task| task.state != TaskState::Exited);
            tasks.map(move |task| (worker, task))
        }) {
            let (Some(observed), Some(request)) = (
                self.jobs.get(&task.job),
                waiting.placement_requests.get(&task.job),
            ) else {
                continue;
            };
            *used.entry(&observed.team).or_default() += request.needs;
            for (count, units) in &observed.counted_units {
                *held.entry(count).or_default() += units;
            }
            let placement = placement.entry(&task.job).or_default();
            placement.indexes.insert(task.index);
            *placement.zones.entry(&worker.zone).or_default() += 1;
            placement.is_running |= matches!(task.state, TaskState::Running | TaskState::Saving);
        }
        let none = PlacedTasks::default();
        let mut waits = BTreeMap::new();
        for (id, observed) in &self.jobs {
            let over = observed.cancel_requested_at.is_some() || observed.rejected || observed.always_fails;
            let placement = placement.get(id.as_str()).unwrap_or(&none);
            let placed = observed.completed_tasks.union(&placement.indexes).count() as u32;
            let Some(request) = waiting
                .placement_requests
                .get(id)
                .filter(|_| !over && placed < observed.tasks)
            else {
                continue;
            };
            let gang = observed.shape == "gang";
            let tasks = if gang {
                (observed.tasks - placed) as usize
            } else {
                1
            };
            // Only the records tell that a submit file's job was removed or is held.
            let held_back = observed.cluster.is_some_and(|of| {
                self.state.value(&format!("j/{id}")).is_none() || self.check_runnable(id, of).is_err()
            });
            if gang && placement.is_running || held_back {
                continue;
            }
            let mut usage = used.get(observed.team.as_str()).copied().unwrap_or_default();
            usage += request.needs.scaled_by(tasks as f64);
            let within = |team: &Team| team.name == observed.team && team.allows(&usage);
            if !waiting.teams.iter().any(within) || !self.has_units(observed, tasks as u32, &held) {
                continue;
            }
            if let Some(machine) = find_machine(
                request,
                gang,
                tasks,
                observed.tasks as usize,
                placement,
                &idle_machines,
            ) {
                waits.insert(id.clone(), machine.to_owned());
            }
        }
        waits
    }

    /// Whether there are units for this many more tasks. Resources with shares for teams are not
    /// checked.
    fn has_units(&self, observed: &ObservedJob, tasks: u32, held: &BTreeMap<&str, u32>) -> bool {
        observed.counted_units.iter().all(|(name, units)| {
            let Some(definition) = self.operator.counted_resources.get(name.as_str()) else {
                return false;
            };
            let feature = self.licences.features.get(name);
            let (total, in_use) = feature.map_or((0, 0), |feature| (feature.total, feature.in_use()));
            let others = feature.map_or(0, |feature| feature.external_units);
            let in_use = in_use.max(others + held.get(name.as_str()).copied().unwrap_or(0));
            definition.shares.is_empty() && in_use + units * tasks <= total.min(definition.units)
        })
    }
}

/// Returns a machine that could take one of the missing tasks, if there is room for all of them.
fn find_machine<'a>(
    request: &PlacementRequest,
    gang: bool,
    missing: usize,
    all: usize,
    placement: &PlacedTasks<'_>,
    idle_machines: &[IdleMachine<'a>],
) -> Option<&'a str> {
    let mut by_zone: BTreeMap<&str, (usize, &'a str)> = BTreeMap::new();
    for machine in idle_machines
        .iter()
        .filter(|machine| request.needs.fits_in(&machine.free) && request.allows(machine))
    {
        let (places, _) = by_zone.entry(machine.zone).or_insert((0, machine.id));
        *places += request.needs.instances_in(&machine.free).min(all as f64) as usize;
    }
    let taken = |zone: &str| placement.zones.get(zone).copied().unwrap_or(0);
    if request.one_zone {
        // In the zone of the placed tasks; a gang that does not run may move to another zone as a
        // whole.
        return by_zone.into_iter().find_map(|(zone, (places, id))| {
            let alone = placement.zones.keys().all(|other| *other == zone);
            let needed = if alone { missing } else { all };
            ((alone || gang) && places >= needed && taken(zone) + needed <= request.max_tasks_per_zone)
                .then_some(id)
        });
    }
    let places = |(zone, (places, _)): (&&str, &(usize, &str))| {
        (*places).min(request.max_tasks_per_zone.saturating_sub(taken(zone)))
    };
    if by_zone.iter().map(places).sum::<usize>() < missing {
        return None;
    }
    let open = by_zone.iter().find(|entry| places(*entry) > 0);
    open.map(|(_, (_, id))| *id)
}
