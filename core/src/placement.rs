//! Which waiting task goes where, and what is stopped to make room. Pure: it reads
//! the ledger and returns decisions.

use crate::constants::{
    EMPTY_COST_S, ERRORS_COST_S, FAULTY_AFTER, FETCH_WEIGHT, GATHER_BELOW, GATHER_REPLICAS, MOVES_PER_PASS,
    PREEMPT_FOR_IMAGE_S, SETTLED_MS, SPOT_COST_S, STARTS_PER_PASS, STOP_GRACE_EXTRA_S,
};
use crate::ledger::{Attempt, Machine};
use crate::model::{Job, JobId, JobSpec, MachineId, Millis, Resources, TaskId};
use crate::settings::{Deployment, Team};
use crate::wire::{MachineType, Shape};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

pub type Types = BTreeMap<String, MachineType>;

/// What placement looks at.
pub struct Site<'a> {
    pub deployment: &'a Deployment,
    pub types: &'a Types,
    pub jobs: &'a BTreeMap<JobId, Job>,
    pub machines: &'a BTreeMap<MachineId, Machine>,
    pub now: Millis,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    Start {
        task: TaskId,
        machine: MachineId,
    },
    Stop {
        task: TaskId,
        machine: MachineId,
        grace_s: f64,
    },
}

#[derive(Debug, Default)]
pub struct Plan {
    pub decisions: Vec<Decision>,
    /// Tasks that found no room and wait for a machine, by job, with the zones
    /// that would do.
    pub unplaced: Vec<Unplaced>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Unplaced {
    pub job: JobId,
    pub tasks: u32,
    pub zones: Vec<String>,
}

/// A task on a machine, as a possible victim.
struct Running<'a> {
    attempt: &'a Attempt,
    stopping: bool,
}

/// A machine with the room that is left in this pass.
struct Room<'a> {
    machine: &'a Machine,
    free: Resources,
    /// Room of tasks that are being stopped, for those it is being made for.
    leaving: Resources,
    running: Vec<Running<'a>>,
    usable: bool,
    images: BTreeSet<Arc<str>>,
}

/// Where a job's tasks are: number by zone.
type Zones = BTreeMap<String, u32>;

struct Pass<'a> {
    site: &'a Site<'a>,
    rooms: Vec<Room<'a>>,
    usage: HashMap<Arc<str>, Resources>,
    zones: HashMap<JobId, Zones>,
    /// Jobs within their team's guarantee.
    within: BTreeSet<JobId>,
    plan: Plan,
    starts: usize,
}

/// Grace that lets a task save.
pub fn grace_s(spec: &JobSpec) -> f64 {
    if spec.saves() {
        spec.save_s + STOP_GRACE_EXTRA_S
    } else {
        0.0
    }
}

/// Jobs that fit into their team's guarantee together with its earlier ones.
pub fn within_guarantee(
    deployment: &Deployment,
    jobs: &BTreeMap<JobId, Job>,
    now: Millis,
) -> BTreeSet<JobId> {
    let mut by_team: BTreeMap<&str, Vec<&Job>> = BTreeMap::new();
    for job in jobs.values() {
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

pub fn plan(site: &Site<'_>) -> Plan {
    let mut pass = Pass::new(site);
    let mut order: Vec<&Job> = site
        .jobs
        .values()
        .filter(|job| !job.waiting.is_empty() && job.held_until <= site.now)
        .collect();
    order.sort_by_key(|job| {
        (
            job.spec.priority,
            !pass.within.contains(&job.spec.id),
            Reverse(job.age_ms(site.now)),
            job.spec.id.clone(),
        )
    });
    for job in order {
        if pass.starts >= STARTS_PER_PASS {
            break;
        }
        match job.spec.shape {
            Shape::Gang => pass.place_gang(job),
            Shape::Array | Shape::Service => pass.place_tasks(job),
        }
    }
    pass.drain_noticed();
    pass.gather_replicas();
    pass.plan
}

impl<'a> Pass<'a> {
    fn new(site: &'a Site<'a>) -> Pass<'a> {
        let mut usage: HashMap<Arc<str>, Resources> = HashMap::new();
        let mut zones: HashMap<JobId, Zones> = HashMap::new();
        let mut rooms = Vec::with_capacity(site.machines.len());
        for machine in site.machines.values() {
            let mut leaving = Resources::default();
            let mut running = Vec::new();
            let mut images: BTreeSet<Arc<str>> =
                machine.images.iter().map(|(name, _)| name.clone()).collect();
            for attempt in machine.attempts.iter().filter(|attempt| attempt.may_be_there()) {
                *usage.entry(attempt.team.clone()).or_default() += attempt.needs;
                *zones
                    .entry(attempt.task.job.clone())
                    .or_default()
                    .entry(machine.zone.clone())
                    .or_default() += 1;
                let stopping = attempt.stop.is_some();
                if stopping {
                    leaving += attempt.needs;
                }
                images.extend(attempt.image.clone());
                running.push(Running { attempt, stopping });
            }
            let free = match site.types.get(&machine.machine_type) {
                Some(machine_type) => {
                    let mut free = machine_type.resources();
                    free -= machine.used();
                    free
                }
                None => Resources::default(),
            };
            let usable = usable(machine, site.now);
            rooms.push(Room {
                machine,
                free,
                leaving,
                running,
                usable,
                images,
            });
        }
        Pass {
            site,
            rooms,
            usage,
            zones,
            within: within_guarantee(site.deployment, site.jobs, site.now),
            plan: Plan::default(),
            starts: 0,
        }
    }

    fn team(&self, name: &str) -> Option<&'a Team> {
        self.site.deployment.teams.iter().find(|team| team.name == name)
    }

    /// How many more tasks of the job its team's limit allows.
    fn quota_left(&self, spec: &JobSpec, most: u32) -> u32 {
        let Some(team) = self.team(&spec.team) else {
            return 0;
        };
        let mut used = self.usage.get(spec.team.as_str()).copied().unwrap_or_default();
        let mut left = 0;
        while left < most {
            used += spec.needs;
            if !team.allows(&used) {
                break;
            }
            left += 1;
        }
        left
    }

    /// Zones into which one more task of the job may go.
    fn open_zones(&self, spec: &JobSpec) -> Vec<String> {
        let none = Zones::new();
        let taken = self.zones.get(&spec.id).unwrap_or(&none);
        self.site
            .deployment
            .zones
            .iter()
            .filter(|zone| !spec.one_zone || taken.iter().all(|(other, count)| *count == 0 || other == *zone))
            .filter(|zone| taken.get(*zone).copied().unwrap_or(0) < spec.zone_cap())
            .cloned()
            .collect()
    }

    fn allowed(&self, job: &Job, at: usize, zones: &[String]) -> bool {
        let spec = &job.spec;
        let room = &self.rooms[at];
        let distrusted = !job.to_blame() && job.failed_on.contains(&room.machine.id);
        room.usable
            && !distrusted
            && zones.contains(&room.machine.zone)
            && self
                .site
                .types
                .get(&room.machine.machine_type)
                .is_some_and(|machine_type| {
                    spec.eligible(machine_type, &room.machine.zone, room.machine.spot)
                })
    }

    /// Time until the machine has the job's image, in s. Images fetched at the same
    /// time may share its rate.
    fn fetch_s(&self, job: &Job, at: usize) -> f64 {
        let room = &self.rooms[at];
        if room.images.contains(&job.spec.image) {
            return 0.0;
        }
        let fetching: BTreeSet<&Option<Arc<str>>> = room
            .running
            .iter()
            .filter(|running| !running.attempt.exited() && running.attempt.running_since.is_none())
            .map(|running| &running.attempt.image)
            .collect();
        let rate = self
            .site
            .types
            .get(&room.machine.machine_type)
            .map_or(1.0, |machine_type| {
                machine_type.fetch_gb_per_s.max(f64::MIN_POSITIVE)
            });
        job.spec.image_gb / rate * (1.0 + fetching.len() as f64)
    }

    /// How long the job's class may wait to start, in s, if its users say so.
    fn start_within_s(&self, job: &Job) -> f64 {
        self.site
            .deployment
            .objectives
            .iter()
            .filter(|objective| {
                objective.kind == "wait" && objective.class.as_deref() == Some(&job.spec.class)
            })
            .filter_map(|objective| objective.within_s)
            .fold(f64::INFINITY, f64::min)
    }

    /// Lower is better: the wait for the image, then a spot machine for those who
    /// may use one, then the fullest, so that others fall idle.
    fn cost(&self, job: &Job, at: usize) -> f64 {
        let room = &self.rooms[at];
        let machine_type = self.site.types.get(&room.machine.machine_type);
        let mut cost = self.fetch_s(job, at);
        if job.spec.spot && !room.machine.spot {
            cost += SPOT_COST_S;
        }
        if !room.machine.errors.is_empty() {
            cost += ERRORS_COST_S;
        }
        if let Some(machine_type) = machine_type {
            let whole = machine_type.resources();
            cost += EMPTY_COST_S * room.free.share_of(&whole);
        }
        cost
    }

    fn best(&self, job: &Job, zones: &[String], attempt: Option<u64>) -> Option<usize> {
        (0..self.rooms.len())
            .filter(|at| job.spec.needs.fits_in(&self.rooms[*at].free) && self.allowed(job, *at, zones))
            // A worker that still lists an exited task under the same attempt
            // ignores another start of it.
            .filter(|at| {
                attempt.is_none_or(|number| {
                    !self.rooms[*at]
                        .machine
                        .attempts
                        .iter()
                        .any(|old| old.number == number && old.exited() && old.task.job == job.spec.id)
                })
            })
            .map(|at| (self.cost(job, at), at))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, at)| at)
    }

    fn take(&mut self, job: &Job, index: u32, at: usize) {
        let room = &mut self.rooms[at];
        room.free -= job.spec.needs;
        room.images.insert(job.spec.image.clone());
        let zone = room.machine.zone.clone();
        *self
            .zones
            .entry(job.spec.id.clone())
            .or_default()
            .entry(zone)
            .or_default() += 1;
        *self.usage.entry(Arc::from(job.spec.team.as_str())).or_default() += job.spec.needs;
        self.starts += 1;
        self.plan.decisions.push(Decision::Start {
            task: TaskId {
                job: job.spec.id.clone(),
                index,
            },
            machine: self.rooms[at].machine.id.clone(),
        });
    }

    fn place_tasks(&mut self, job: &Job) {
        let allowed = self.quota_left(&job.spec, job.waiting.len() as u32);
        let mut zones = self.open_zones(&job.spec);
        let mut left = allowed;
        for index in job.waiting.iter().take(allowed as usize) {
            if self.starts >= STARTS_PER_PASS {
                return;
            }
            let Some(at) = self.best(job, &zones, None) else {
                break;
            };
            // A fetch would make the start late: room beside the image is worth the
            // little work that is stopped for it.
            if self.fetch_s(job, at) > self.start_within_s(job)
                && self.make_room(job, &zones, Some(PREEMPT_FOR_IMAGE_S))
            {
                left -= 1;
                continue;
            }
            self.take(job, *index, at);
            left -= 1;
            if job.spec.spread || job.spec.one_zone {
                zones = self.open_zones(&job.spec);
            }
        }
        let mut unplaced = 0;
        for _ in 0..left {
            if !self.make_room(job, &zones, None) {
                unplaced += 1;
            }
        }
        self.note_unplaced(job, unplaced, zones);
    }

    fn note_unplaced(&mut self, job: &Job, tasks: u32, zones: Vec<String>) {
        if tasks > 0 && !zones.is_empty() {
            self.plan.unplaced.push(Unplaced {
                job: job.spec.id.clone(),
                tasks,
                zones,
            });
        }
    }

    /// All missing tasks of the gang at once, or none.
    fn place_gang(&mut self, job: &Job) {
        let present: u32 = self
            .zones
            .get(&job.spec.id)
            .map_or(0, |zones| zones.values().sum());
        let attempt = match &job.gang {
            // A replacement joins an attempt that has not started.
            Some(attempt) if attempt.open() => Some(attempt.number),
            Some(_) => return,
            // Nothing of an old attempt may be left anywhere.
            None if present > 0 => return,
            None => None,
        };
        let missing: Vec<u32> = job.waiting.iter().copied().collect();
        if self.quota_left(&job.spec, missing.len() as u32) < missing.len() as u32 {
            return;
        }
        let zones = self.open_zones(&job.spec);
        let choices: Vec<Vec<String>> = if job.spec.one_zone {
            zones.iter().map(|zone| vec![zone.clone()]).collect()
        } else {
            vec![zones.clone()]
        };
        let mut best: Option<(f64, Vec<usize>)> = None;
        for choice in &choices {
            if let Some((cost, picked)) = self.try_gang(job, missing.len(), choice, attempt)
                && best.as_ref().is_none_or(|(least, _)| cost < *least)
            {
                best = Some((cost, picked));
            }
        }
        match best {
            Some((_, picked)) => {
                for (index, at) in missing.into_iter().zip(picked) {
                    self.take(job, index, at);
                }
            }
            None => {
                let tasks = missing.len() as u32;
                // Room for a larger gang is made by renting: stopping others for a
                // part of it would waste their work without starting it.
                if tasks == 1 && self.make_room(job, &zones, None) {
                    return;
                }
                self.note_unplaced(job, tasks, zones);
            }
        }
    }

    /// Tries to fit all missing tasks; leaves the rooms as they were.
    fn try_gang(
        &mut self,
        job: &Job,
        tasks: usize,
        zones: &[String],
        attempt: Option<u64>,
    ) -> Option<(f64, Vec<usize>)> {
        let needs = job.spec.needs;
        let mut picked: Vec<usize> = Vec::with_capacity(tasks);
        let mut cost: f64 = 0.0;
        let mut by_zone = self.zones.get(&job.spec.id).cloned().unwrap_or_default();
        let mut open = zones.to_vec();
        while picked.len() < tasks {
            let Some(at) = self.best(job, &open, attempt) else {
                break;
            };
            // The gang starts when its slowest image is there.
            cost = cost.max(self.cost(job, at));
            self.rooms[at].free -= needs;
            let count = by_zone.entry(self.rooms[at].machine.zone.clone()).or_default();
            *count += 1;
            if *count >= job.spec.zone_cap() {
                open.retain(|zone| *zone != self.rooms[at].machine.zone);
            }
            picked.push(at);
        }
        for at in &picked {
            self.rooms[*at].free += needs;
        }
        (picked.len() == tasks).then_some((cost, picked))
    }

    /// Finds room for one task among what is leaving, or makes some by stopping
    /// work that may be stopped for it. Claims it for the rest of the pass. With
    /// `most_lost_s`, only beside the job's image and at no higher cost.
    fn make_room(&mut self, job: &Job, zones: &[String], most_lost_s: Option<f64>) -> bool {
        let needs = job.spec.needs;
        let candidates: Vec<usize> = (0..self.rooms.len())
            .filter(|at| self.allowed(job, *at, zones))
            .filter(|at| most_lost_s.is_none() || self.rooms[*at].images.contains(&job.spec.image))
            .collect();
        for at in &candidates {
            let room = &self.rooms[*at];
            let mut soon = room.free;
            soon += room.leaving;
            if room.leaving != Resources::default() && needs.fits_in(&soon) {
                self.claim(*at, needs);
                return true;
            }
        }
        let mut best: Option<(f64, usize, Vec<usize>)> = None;
        for at in candidates {
            if let Some((cost, victims)) = self.victims(job, at)
                && most_lost_s.is_none_or(|most| cost <= most)
                && best.as_ref().is_none_or(|(least, _, _)| cost < *least)
            {
                best = Some((cost, at, victims));
            }
        }
        let Some((_, at, victims)) = best else {
            return false;
        };
        for victim in victims {
            let running = &mut self.rooms[at].running[victim];
            running.stopping = true;
            let attempt = running.attempt;
            let machine = self.rooms[at].machine.id.clone();
            self.rooms[at].leaving += attempt.needs;
            self.stop(attempt, machine);
        }
        self.claim(at, needs);
        true
    }

    fn claim(&mut self, at: usize, needs: Resources) {
        let room = &mut self.rooms[at];
        room.leaving -= needs;
        // What `leaving` lacked was free: it is claimed too.
        for (leaving, free) in [
            (&mut room.leaving.cpus, &mut room.free.cpus),
            (&mut room.leaving.gpus, &mut room.free.gpus),
            (&mut room.leaving.memory_gb, &mut room.free.memory_gb),
        ] {
            if *leaving < 0.0 {
                *free += *leaving;
                *leaving = 0.0;
            }
        }
    }

    fn stop(&mut self, attempt: &Attempt, machine: MachineId) {
        let Some(job) = self.site.jobs.get(&attempt.task.job) else {
            return;
        };
        let grace_s = grace_s(&job.spec);
        if job.spec.shape != Shape::Gang {
            self.plan.decisions.push(Decision::Stop {
                task: attempt.task.clone(),
                machine,
                grace_s,
            });
            return;
        }
        // A gang is stopped whole and in order, or its progress is lost.
        for room in &mut self.rooms {
            for running in room
                .running
                .iter_mut()
                .filter(|running| running.attempt.task.job == job.spec.id)
            {
                running.stopping = true;
                self.plan.decisions.push(Decision::Stop {
                    task: running.attempt.task.clone(),
                    machine: room.machine.id.clone(),
                    grace_s,
                });
            }
        }
    }

    /// The cheapest tasks on a machine whose stop makes room, with the work lost.
    fn victims(&self, job: &Job, at: usize) -> Option<(f64, Vec<usize>)> {
        let room = &self.rooms[at];
        let mut options: Vec<(f64, usize)> = Vec::new();
        for (index, running) in room.running.iter().enumerate() {
            if running.stopping || running.attempt.exited() {
                continue;
            }
            let Some(victim) = self.site.jobs.get(&running.attempt.task.job) else {
                continue;
            };
            let lower = victim.spec.priority > job.spec.priority;
            let borrowed = self.within.contains(&job.spec.id)
                && victim.spec.priority >= job.spec.priority
                && victim.spec.team != job.spec.team
                // Else two teams beyond their guarantees would stop each other's
                // guaranteed work, back and forth.
                && !self.within.contains(&victim.spec.id)
                && self.over_guarantee(&victim.spec.team);
            if lower || borrowed {
                options.push((self.lost_work_s(running.attempt, victim), index));
            }
        }
        options.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free = room.free;
        let mut cost = 0.0;
        let mut victims = Vec::new();
        for (lost, index) in options {
            if job.spec.needs.fits_in(&free) {
                break;
            }
            free += room.running[index].attempt.needs;
            cost += lost;
            victims.push(index);
        }
        (job.spec.needs.fits_in(&free) && !victims.is_empty())
            .then(|| (cost + self.fetch_s(job, at) * FETCH_WEIGHT, victims))
    }

    fn over_guarantee(&self, team: &str) -> bool {
        let used = self.usage.get(team).copied().unwrap_or_default();
        self.team(team).is_some_and(|team| !team.guarantees(&used))
    }

    /// Seconds of work that a stop throws away.
    fn lost_work_s(&self, attempt: &Attempt, job: &Job) -> f64 {
        if job.spec.saves() {
            job.spec.save_s + 1.0
        } else {
            attempt.ran_s(self.site.now) + 1.0
        }
    }

    /// While nothing waits, moves replicas off the emptiest machine onto fuller ones
    /// that hold their image, so that it falls idle and goes back. With the image
    /// there a move takes a fraction of a second.
    fn gather_replicas(&mut self) {
        let waiting = self.site.jobs.values().any(|job| !job.waiting.is_empty());
        if !GATHER_REPLICAS || waiting || !self.plan.decisions.is_empty() {
            return;
        }
        let used_share = |room: &Room<'_>| match self.site.types.get(&room.machine.machine_type) {
            Some(machine_type) => 1.0 - room.free.share_free(&machine_type.resources()),
            None => 1.0,
        };
        let mut emptiest: Vec<(f64, usize)> = (0..self.rooms.len())
            .filter(|at| self.rooms[*at].usable && !self.rooms[*at].running.is_empty())
            .map(|at| (used_share(&self.rooms[at]), at))
            .collect();
        emptiest.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (share, from) in emptiest {
            if share > GATHER_BELOW {
                return;
            }
            if let Some(moves) = self.replica_moves(from) {
                let machine = self.rooms[from].machine.id.clone();
                for attempt in moves.into_iter().take(MOVES_PER_PASS) {
                    self.stop(attempt, machine.clone());
                }
                return;
            }
        }
    }

    /// The replicas of a machine, if all of them can move to fuller ones.
    fn replica_moves(&self, from: usize) -> Option<Vec<&'a Attempt>> {
        let room = &self.rooms[from];
        let mut free: Vec<Resources> = self.rooms.iter().map(|room| room.free).collect();
        let mut moves = Vec::new();
        for running in &room.running {
            let job = self.site.jobs.get(&running.attempt.task.job)?;
            if job.spec.shape != Shape::Service {
                // It ends by itself.
                continue;
            }
            let settled = running
                .attempt
                .running_since
                .is_some_and(|since| self.site.now >= since + SETTLED_MS);
            if running.stopping || !settled {
                return None;
            }
            // Where one zone holds too many already, the spread decides, not this.
            let zones = match job.spec.spread && job.spec.tasks > 1 {
                true => vec![room.machine.zone.clone()],
                false => self.open_zones(&job.spec),
            };
            let to = (0..self.rooms.len()).find(|to| {
                *to != from
                    && self.allowed(job, *to, &zones)
                    && self.rooms[*to].images.contains(&job.spec.image)
                    && self.rooms[*to].free.gpus.max(0.0) <= room.free.gpus
                    && self.rooms[*to].free.cpus <= room.free.cpus
                    && job.spec.needs.fits_in(&free[*to])
            })?;
            free[to] -= job.spec.needs;
            moves.push(running.attempt);
        }
        (!moves.is_empty()).then_some(moves)
    }

    /// Moves what can be moved off machines that the cloud is about to take, or
    /// that fail: replicas to be started elsewhere, and whatever can save. Other
    /// work may still finish in time.
    fn drain_noticed(&mut self) {
        let mut stops = Vec::new();
        for room in &self.rooms {
            if room.machine.notice_until.is_none() && !faulty(room.machine) {
                continue;
            }
            for running in room
                .running
                .iter()
                .filter(|running| !running.stopping && !running.attempt.exited())
            {
                let Some(job) = self.site.jobs.get(&running.attempt.task.job) else {
                    continue;
                };
                let moves = job.spec.shape == Shape::Service
                    || job.spec.saves()
                    || running.attempt.running_since.is_none();
                if moves {
                    stops.push((running.attempt, room.machine.id.clone()));
                }
            }
        }
        for (attempt, machine) in stops {
            self.stop(attempt, machine);
        }
    }
}

/// Different jobs have failed there: mostly the machine is to blame.
pub fn faulty(machine: &Machine) -> bool {
    machine.errors.len() >= FAULTY_AFTER
}

/// Whether anything new may be placed on the machine.
pub fn usable(machine: &Machine, now: Millis) -> bool {
    machine.synced
        && !machine.returning
        && !machine.inspect_failed
        && machine.notice_until.is_none()
        && machine.full_until <= now
        && !faulty(machine)
}
