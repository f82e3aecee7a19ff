//! That no work waits in vain: once no fault is left, no job has a task waiting for 90 s while a
//! machine that fits has room and its team is under its limit. Judged, each second, from what is really on
//! the machines, never from what a controller thinks.
//!
//! Of an array or a service, one task that is nowhere must find room for the wait to count; of a gang none of
//! which runs, all that are nowhere, beside those that are somewhere, or all of it in another zone. It need
//! not be the same machine all the time. A scenario in which the wait is meant says `waits JOB because …`,
//! which must then be so.

use crate::simulation::{ObservedJob, Simulation};
use indigopath_controller::model::Resources;
use indigopath_controller::protocol::TaskState;
use indigopath_controller::settings::{Settings, Team};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long a job may wait beside room, in ms: the platform's own bound.
const WAITED_MS: u64 = 90_000;
/// Interval between looks, in ms.
const LOOK_MS: u64 = 1_000;
/// Room that was there at so many looks in a row is idle. Between a task's end and the next one's start,
/// which takes a report and a record, it is not.
const LOOKS: usize = 4;

#[derive(Default)]
pub(crate) struct Waiting {
    /// Jobs whose wait is meant.
    pub(crate) meant: BTreeSet<String>,
    /// Of these, those that did wait.
    pub(crate) found: BTreeSet<String>,
    /// When the last fault ended.
    calm_from: u64,
    /// Since when each job waits beside room.
    since: BTreeMap<String, u64>,
    asks: BTreeMap<String, Ask>,
    /// What was free of each machine at the last looks.
    rooms: BTreeMap<String, VecDeque<Resources>>,
    teams: Vec<Team>,
}

/// What a job asks of a machine.
struct Ask {
    needs: Resources,
    types: Option<Vec<String>>,
    /// Of a submit file: which kinds of machines do.
    kinds: Option<Value>,
    zone: Option<String>,
    one_zone: bool,
    /// Most tasks in one zone.
    zone_cap: usize,
    spot: bool,
}

impl Ask {
    fn of(facts: &ObservedJob) -> Ask {
        let amount = |value: &Value| value.as_f64().unwrap_or(0.0);
        let (body, tasks) = (&facts.body, facts.tasks as usize);
        if let Some(spec) = &facts.spec {
            let needs = &spec["needs"];
            return Ask {
                needs: Resources {
                    cpus: amount(&needs["cpus"]),
                    gpus: amount(&needs["gpus"]),
                    memory_gb: amount(&needs["memory_gb"]),
                },
                types: None,
                kinds: spec.get("kinds").cloned(),
                zone: None,
                one_zone: false,
                zone_cap: tasks,
                spot: spec["spot"] == true,
            };
        }
        let names = |list: &Vec<Value>| {
            list.iter()
                .filter_map(|name| Some(name.as_str()?.into()))
                .collect()
        };
        Ask {
            needs: Resources {
                cpus: amount(&body["Cpus"]),
                gpus: amount(&body["Gpus"]),
                memory_gb: amount(&body["MemGb"]),
            },
            types: body["Rigs"].as_array().map(names),
            kinds: None,
            zone: body["Yard"].as_str().map(str::to_owned),
            one_zone: body["OneZone"] == true,
            zone_cap: if body["Apart"] == true {
                tasks.div_ceil(2)
            } else {
                tasks
            },
            spot: body["Loaners"] == true,
        }
    }

    fn allows(&self, room: &Room<'_>) -> bool {
        let kind = |kinds: &Value| kinds[room.machine_type][room.zone][usize::from(room.spot)].is_u64();
        let types = self.types.as_ref();
        types.is_none_or(|types| types.iter().any(|name| name == room.machine_type))
            && self.zone.as_ref().is_none_or(|only| only == room.zone)
            && (self.spot || !room.spot)
            && self.kinds.as_ref().is_none_or(kind)
    }
}

/// A sound machine with what is idle of it.
struct Room<'a> {
    id: &'a str,
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
    free: Resources,
}

/// Where a job's tasks are, fetching ones included.
#[derive(Default)]
struct There<'a> {
    indexes: BTreeSet<u32>,
    zones: BTreeMap<&'a str, usize>,
    runs: bool,
}

impl Simulation {
    /// Whether anything is wrong that passes: with controllers, users or the state service, or with
    /// machines and what reaches them.
    fn any_trouble(&self) -> bool {
        self.in_trouble()
            || self.cloud.outage
            || self.licences.outage
            || !self.cuts.is_empty()
            || self.faults.iter().any(|(until, _)| self.now < *until)
            || self
                .workers
                .values()
                .any(|worker| self.now < worker.hung_until.max(worker.refuses_starts_until))
    }

    /// Whether somebody waits beside room, so that more is to be seen.
    pub(crate) fn waits_beside_room(&self) -> bool {
        let since = self.waiting.since.iter();
        since.filter(|(id, _)| !self.waiting.found.contains(*id)).count() > 0
    }

    /// Flags jobs that have waited in vain.
    pub(crate) fn check_waiting(&mut self) {
        if self.any_trouble() {
            self.waiting.calm_from = self.now;
            self.waiting.since.clear();
        }
        if !self.now.is_multiple_of(LOOK_MS) {
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        for (id, facts) in &self.jobs {
            if facts.accepted && !waiting.asks.contains_key(id) {
                waiting.asks.insert(id.clone(), Ask::of(facts));
            }
        }
        if waiting.teams.is_empty() {
            waiting.teams = self.teams();
        }
        self.look_at_rooms(&mut waiting);
        let calm = self.now > waiting.calm_from;
        let beside = if calm {
            self.beside_room(&waiting)
        } else {
            BTreeMap::new()
        };
        let (now, mut vain) = (self.now, Vec::new());
        waiting.since.retain(|id, _| beside.contains_key(id));
        for (id, machine) in beside {
            let since = *waiting.since.entry(id.clone()).or_insert(now);
            if now < since + WAITED_MS || !waiting.found.insert(id.clone()) || waiting.meant.contains(&id) {
                continue;
            }
            vain.push(format!("{id}, since {} s, as {machine} has room", since / 1_000));
        }
        self.waiting = waiting;
        for line in vain {
            self.violation("waits", line);
        }
    }

    /// Exceptions that are none.
    pub(crate) fn waits_after_all(&self) -> impl Iterator<Item = String> {
        let none = self.waiting.meant.difference(&self.waiting.found);
        none.map(|id| format!("waits {id}: it is not so"))
    }

    fn teams(&self) -> Vec<Team> {
        let settings = Settings::parse(include_str!("../../controller/tests/support/settings.json")).unwrap();
        let mut teams = settings.deployment.teams;
        for team in &mut teams {
            team.gpus_max = self.gpus_max.unwrap_or(team.gpus_max);
        }
        teams
    }

    fn look_at_rooms(&self, waiting: &mut Waiting) {
        waiting.rooms.retain(|id, _| self.workers.contains_key(id));
        for (id, worker) in &self.workers {
            let mut types = self.cloud.types.iter();
            let known = types.find(|known| known.name == worker.machine_type);
            let mut free = known.map(|known| known.resources()).unwrap_or_default();
            for task in worker.tasks.iter().filter(|task| task.state != TaskState::Exited) {
                if let Some(ask) = waiting.asks.get(&task.job) {
                    free -= ask.needs;
                }
            }
            let looks = waiting.rooms.entry(id.clone()).or_default();
            looks.push_back(free);
            if looks.len() > LOOKS {
                looks.pop_front();
            }
        }
    }

    /// Sound machines with the room that lasted.
    fn idle_rooms<'a>(&'a self, waiting: &'a Waiting) -> Vec<Room<'a>> {
        let sound = self.workers.values().filter(|worker| {
            let seen = waiting.rooms.get(&worker.id).map_or(0, VecDeque::len);
            worker.reclaim_at.is_none() && !worker.faulty && seen == LOOKS
        });
        let rooms = sound.map(|worker| {
            let least = |a: Resources, b: &Resources| Resources {
                cpus: a.cpus.min(b.cpus),
                gpus: a.gpus.min(b.gpus),
                memory_gb: a.memory_gb.min(b.memory_gb),
            };
            let looks = &waiting.rooms[&worker.id];
            Room {
                id: &worker.id,
                machine_type: &worker.machine_type,
                zone: &worker.zone,
                spot: worker.spot,
                free: looks.iter().skip(1).fold(looks[0], least),
            }
        });
        rooms.collect()
    }

    /// Jobs that wait beside room now, with a machine that has it.
    fn beside_room(&self, waiting: &Waiting) -> BTreeMap<String, String> {
        let rooms = self.idle_rooms(waiting);
        let mut used: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut held: BTreeMap<&str, u32> = BTreeMap::new();
        let mut there: BTreeMap<&str, There<'_>> = BTreeMap::new();
        for (worker, task) in self.workers.values().flat_map(|worker| {
            let tasks = worker.tasks.iter().filter(|task| task.state != TaskState::Exited);
            tasks.map(move |task| (worker, task))
        }) {
            let (Some(facts), Some(ask)) = (self.jobs.get(&task.job), waiting.asks.get(&task.job)) else {
                continue;
            };
            *used.entry(&facts.team).or_default() += ask.needs;
            for (count, units) in &facts.counted_units {
                *held.entry(count).or_default() += units;
            }
            let there = there.entry(&task.job).or_default();
            there.indexes.insert(task.index);
            *there.zones.entry(&worker.zone).or_default() += 1;
            there.runs |= matches!(task.state, TaskState::Running | TaskState::Saving);
        }
        let none = There::default();
        let mut beside = BTreeMap::new();
        for (id, facts) in &self.jobs {
            let over = facts.cancel_requested_at.is_some() || facts.rejected || facts.always_fails;
            let there = there.get(id.as_str()).unwrap_or(&none);
            let placed = facts.completed_tasks.union(&there.indexes).count() as u32;
            let Some(ask) = waiting.asks.get(id).filter(|_| !over && placed < facts.tasks) else {
                continue;
            };
            let gang = facts.shape == "gang";
            let tasks = if gang { (facts.tasks - placed) as usize } else { 1 };
            // Nobody else tells of a submit file's job that it was removed, or is held.
            let parked = facts.cluster.is_some_and(|of| {
                self.state.value(&format!("j/{id}")).is_none() || self.may_run(id, of).is_err()
            });
            if gang && there.runs || parked {
                continue;
            }
            let mut usage = used.get(facts.team.as_str()).copied().unwrap_or_default();
            usage += ask.needs.scaled_by(tasks as f64);
            let within = |team: &Team| team.name == facts.team && team.allows(&usage);
            if !waiting.teams.iter().any(within) || !self.has_units(facts, tasks as u32, &held) {
                continue;
            }
            if let Some(machine) = find(ask, gang, tasks, facts.tasks as usize, there, &rooms) {
                beside.insert(id.clone(), machine.to_owned());
            }
        }
        beside
    }

    /// Whether there are seats for so many more tasks. Shares of teams are not judged.
    fn has_units(&self, facts: &ObservedJob, tasks: u32, held: &BTreeMap<&str, u32>) -> bool {
        facts.counted_units.iter().all(|(name, units)| {
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

/// A machine that could take one of so many tasks of a job, if there is room for all of them.
fn find<'a>(
    ask: &Ask,
    gang: bool,
    missing: usize,
    all: usize,
    there: &There<'_>,
    rooms: &[Room<'a>],
) -> Option<&'a str> {
    let mut by_zone: BTreeMap<&str, (usize, &'a str)> = BTreeMap::new();
    for room in rooms
        .iter()
        .filter(|room| ask.needs.fits_in(&room.free) && ask.allows(room))
    {
        let (places, _) = by_zone.entry(room.zone).or_insert((0, room.id));
        *places += ask.needs.instances_in(&room.free).min(all as f64) as usize;
    }
    let taken = |zone: &str| there.zones.get(zone).copied().unwrap_or(0);
    if ask.one_zone {
        // Where the others are; a gang that does not run may go elsewhere whole.
        return by_zone.into_iter().find_map(|(zone, (places, id))| {
            let alone = there.zones.keys().all(|other| *other == zone);
            let needed = if alone { missing } else { all };
            ((alone || gang) && places >= needed && taken(zone) + needed <= ask.zone_cap).then_some(id)
        });
    }
    let places = |(zone, (places, _)): (&&str, &(usize, &str))| {
        (*places).min(ask.zone_cap.saturating_sub(taken(zone)))
    };
    if by_zone.iter().map(places).sum::<usize>() < missing {
        return None;
    }
    let open = by_zone.iter().find(|entry| places(*entry) > 0);
    open.map(|(_, (_, id))| *id)
}
