//! What the leading controller does in its term: it reads the records, fences
//! former leaders, places tasks, sizes the fleet and writes everything down.

use crate::constants::*;
use crate::fleet::{self, Coming, Queue};
use crate::forecast;
use crate::gangs::GangAttempt;
use crate::io::{CallId, Destination, Io, Method, Outcome, Purpose, RequestId, json};
use crate::leadership::{Leadership, News, keep_alive_ms};
use crate::ledger::{Attempt, Change, Machine, Stop};
use crate::model::{Job, JobId, JobSpec, MachineId, Millis, TaskId};
use crate::placement::{self, Decision, Site, Types, Unplaced, faulty};
use crate::records::{self, MachineRecord, Record};
use crate::settings::Settings;
use crate::users::Counts;
use crate::wire::{
    self, Cause, DirectOrders, Listing, MachineNames, RentalRequest, Report, ReportAnswer, Shape, StoredItem,
    TaskState, paths,
};
use crate::writer::{Unit, Writer};
use rand::RngExt;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A call made in a term; its answer is dropped in any other.
#[derive(Debug)]
pub struct TermCall {
    pub term: u64,
    pub kind: TermCallKind,
}

#[derive(Debug)]
pub enum TermCallKind {
    Load,
    Watch,
    Write,
    Reread { key: String },
    Direct(Direct),
    Inspect { machine: MachineId },
    List,
    Rent { request: String },
    Return { machines: Vec<MachineId>, sent: Millis },
    StoreTypes,
}

/// Another leader has been at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a worker has seen a newer leader")]
pub struct Overtaken;

/// A direct command on its way.
#[derive(Debug)]
pub struct Direct {
    machine: MachineId,
    token: u64,
    session: u64,
    /// Sent to fence former leaders and to get a report, not for its orders.
    greeting: bool,
}

/// What the leader knows of its siblings: whether it is cut off itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct Siblings {
    /// Siblings heard lately.
    pub fresh: usize,
    /// Most workers that one of them hears.
    pub hears: u32,
}

#[derive(Debug)]
pub(crate) struct Rental {
    pub(crate) request: RentalRequest,
    pub(crate) recorded: bool,
    in_flight: bool,
    retry_at: Millis,
}

/// Start-up reading: prefix by prefix, page by page.
#[derive(Debug)]
struct Load {
    prefix: usize,
    after: Option<String>,
    busy: bool,
    retry_at: Millis,
    items: Vec<StoredItem>,
    revision: Option<u64>,
}

const LOAD_ORDER: [&str; 4] = [records::JOBS, records::DONE, records::MACHINES, records::RENTALS];

type RentKind = (String, String, bool);

#[derive(Debug)]
pub struct Term {
    pub first_token: u64,
    started: Millis,
    load: Option<Load>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    pub(crate) rentals: BTreeMap<String, Rental>,
    pub(crate) writer: Writer,
    gone: HashMap<MachineId, Millis>,
    refused: HashMap<RentKind, Millis>,
    boot_s: HashMap<String, f64>,
    give_back_s: f64,
    next_attempt: u64,
    next_rental: u64,
    watching: bool,
    watch_at: Millis,
    revision: u64,
    listing: bool,
    listed: Vec<wire::ListedMachine>,
    list_at: Millis,
    cloud_at: Millis,
    fleet_at: Millis,
    check_at: Millis,
    forecast_at: Millis,
    pass_at: Millis,
    passed_at: Millis,
    changed: bool,
    unplaced: Vec<Unplaced>,
    doubting_since: Option<Millis>,
    /// When all machines were last asked, because one was silent.
    roll_call: Option<Millis>,
    bumped_at: Millis,
    pub counts: Counts,
    stored_types: bool,
}

impl Term {
    pub fn new(token: u64, now: Millis) -> Term {
        Term {
            first_token: token,
            started: now,
            load: Some(Load {
                prefix: 0,
                after: None,
                busy: false,
                retry_at: 0,
                items: Vec::new(),
                revision: None,
            }),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            rentals: BTreeMap::new(),
            writer: Writer::new(token),
            gone: HashMap::new(),
            refused: HashMap::new(),
            boot_s: HashMap::new(),
            give_back_s: GIVE_BACK_MS as f64 / SECOND_MS as f64,
            next_attempt: 0,
            next_rental: 0,
            watching: false,
            watch_at: 0,
            revision: 0,
            listing: false,
            listed: Vec::new(),
            list_at: 0,
            cloud_at: 0,
            fleet_at: 0,
            check_at: 0,
            forecast_at: 0,
            pass_at: 0,
            passed_at: 0,
            changed: true,
            unplaced: Vec::new(),
            doubting_since: None,
            roll_call: None,
            bumped_at: 0,
            counts: Counts::new(),
            stored_types: false,
        }
    }

    pub fn token(&self) -> u64 {
        self.writer.token
    }

    fn purpose(&self, kind: TermCallKind) -> Purpose {
        Purpose::Term(TermCall {
            term: self.first_token,
            kind,
        })
    }

    fn state_call(
        &self,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
        kind: TermCallKind,
        io: &mut Io,
    ) -> CallId {
        io.state_call(method, path, body, timeout_ms, self.purpose(kind))
    }

    // ---- reading the records -------------------------------------------------

    fn poll_load(&mut self, io: &mut Io) {
        let Some(load) = &mut self.load else { return };
        if load.busy || io.now < load.retry_at {
            return;
        }
        load.busy = true;
        let path = paths::page(LOAD_ORDER[load.prefix], load.after.as_deref(), PAGE_ITEMS);
        self.state_call(
            Method::Get,
            path,
            Vec::new(),
            STATE_TIMEOUT_MS,
            TermCallKind::Load,
            io,
        );
    }

    fn loaded(&mut self, outcome: &Outcome, io: &mut Io) {
        let Some(load) = &mut self.load else { return };
        load.busy = false;
        let Some(page) = outcome.read::<wire::StoredPage>(&[200]) else {
            load.retry_at = io.now + WRITE_RETRY_MS;
            return;
        };
        load.revision.get_or_insert(page.revision);
        load.after = page.items.last().map(|item| item.key.clone());
        let more = page.more && load.after.is_some();
        load.items.extend(page.items);
        if !more {
            load.after = None;
            load.prefix += 1;
        }
        if load.prefix == LOAD_ORDER.len()
            && let Some(load) = self.load.take()
        {
            self.adopt_records(load, io);
            log::info!(
                "records read: {} live jobs, {} machines",
                self.jobs.len(),
                self.machines.len()
            );
        }
    }

    fn adopt_records(&mut self, load: Load, io: &mut Io) {
        self.revision = load.revision.unwrap_or(0);
        for item in load.items {
            if let Err(problem) = self.adopt_record(&item, io) {
                log::error!("record {} is ignored: {problem}", item.key);
            }
        }
        let machines: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in machines {
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            for attempt in &mut machine.attempts {
                match self.jobs.get_mut(&attempt.task.job) {
                    Some(job) => {
                        job.waiting.remove(&attempt.task.index);
                        attempt.image = Some(job.spec.image.clone());
                        if job.spec.shape == Shape::Gang {
                            // Whether it has started is not recorded: the reports
                            // tell, and until then nothing joins it.
                            let gang = job.gang.get_or_insert(GangAttempt {
                                started: true,
                                ..GangAttempt::new(attempt.number)
                            });
                            gang.number = gang.number.max(attempt.number);
                        }
                    }
                    None => {
                        attempt.stop = Some(Stop {
                            grace_s: 0.0,
                            asked_at: io.now,
                            ordered_at: None,
                        })
                    }
                }
            }
        }
    }

    fn adopt_record(&mut self, item: &StoredItem, io: &mut Io) -> Result<(), records::RecordError> {
        if item.key.starts_with(records::JOBS) {
            let spec = JobSpec::from_value(&item.value)?;
            self.jobs
                .insert(spec.id.clone(), Job::new(spec, item.version, io.now, io.wall_ms));
        } else if let Some((job, chunk)) = records::parse_done_key(&item.key) {
            let job = JobId(Arc::from(job));
            match self.jobs.get_mut(&job) {
                Some(live) => {
                    records::decode_done(&item.value, chunk, &mut live.done)?;
                    live.done.split_off(&live.spec.tasks);
                    live.waiting.retain(|task| !live.done.contains(task));
                    if live.complete() {
                        self.writer.finishing.insert(job.clone());
                    }
                    self.writer.done_versions.insert((job, chunk), item.version);
                }
                None => {
                    self.writer.garbage.insert(item.key.clone());
                }
            }
        } else if let Some(name) = item.key.strip_prefix(records::MACHINES) {
            let record = MachineRecord::from_value(&item.value)?;
            let id = MachineId(Arc::from(name));
            self.machines.insert(
                id.clone(),
                Machine::from_record(id, &record, item.version, io.now),
            );
        } else if item.key.starts_with(records::RENTALS) {
            let request = RentalRequest::from_value(&item.value)?;
            self.rentals.insert(
                request.request.clone(),
                Rental {
                    request,
                    recorded: true,
                    in_flight: false,
                    retry_at: 0,
                },
            );
        }
        Ok(())
    }

    // ---- jobs ----------------------------------------------------------------

    /// A job was accepted, by this node or another.
    pub fn job_accepted(&mut self, spec: JobSpec, version: u64, io: &Io) {
        if self.load.is_some()
            || self.jobs.contains_key(&spec.id)
            || version <= self.writer.ended_at(&spec.id)
        {
            return;
        }
        self.jobs
            .insert(spec.id.clone(), Job::new(spec, version, io.now, io.wall_ms));
        self.changed = true;
    }

    /// A job is over: whatever of it may be anywhere is stopped.
    pub fn job_over(&mut self, id: &JobId, now: Millis) {
        let Some(job) = self.jobs.remove(id) else { return };
        self.writer.job_over(id, &job);
        self.counts.remove(id);
        self.changed = true;
        for machine in self.machines.values_mut() {
            machine.errors.remove(id);
            for attempt in machine
                .attempts
                .iter_mut()
                .filter(|attempt| attempt.task.job == *id)
            {
                if attempt.exited() {
                    attempt.closed = true;
                } else {
                    // Whatever grace an earlier stop had, nobody needs it now.
                    attempt.stop = Some(Stop {
                        grace_s: 0.0,
                        asked_at: now,
                        ordered_at: None,
                    });
                }
            }
        }
    }

    fn watched(&mut self, outcome: &Outcome, io: &mut Io) {
        self.watching = false;
        let Some(changes) = outcome.read::<wire::Changes>(&[200]) else {
            if outcome.status() == Some(410) && self.load.is_none() {
                // Too far behind: only a new reading tells which jobs are over.
                self.load = Some(Load {
                    prefix: 0,
                    after: None,
                    busy: false,
                    retry_at: 0,
                    items: Vec::new(),
                    revision: None,
                });
                self.jobs.clear();
                self.machines.clear();
                self.rentals.clear();
                self.writer = Writer::new(self.writer.token);
            }
            self.watch_at = io.now + WRITE_RETRY_MS;
            return;
        };
        self.watch_at = io.now;
        self.revision = self.revision.max(changes.revision);
        for event in changes.events {
            match event {
                wire::Event::Put { key, value, version } => match JobSpec::from_value(&value) {
                    Ok(spec) => self.job_accepted(spec, version, io),
                    Err(problem) => log::error!("record {key} is ignored: {problem}"),
                },
                wire::Event::Delete { key } => {
                    if let Some(job) = key.strip_prefix(records::JOBS) {
                        self.job_over(&JobId(Arc::from(job)), io.now);
                    }
                }
            }
        }
    }

    // ---- what machines say ---------------------------------------------------

    /// A worker's report. `Err` if another leader has been there.
    pub fn report(
        &mut self,
        request: RequestId,
        report: &Report,
        certain: bool,
        io: &mut Io,
    ) -> Result<(), Overtaken> {
        if report.token > self.token() {
            return Err(Overtaken);
        }
        let id = MachineId(Arc::from(report.machine.as_str()));
        if self.gone.contains_key(&id) {
            // Sent before it went; nobody waits for the answer.
            io.reply_error(request, 503, "this machine is gone");
            return Ok(());
        }
        if self.load.is_some() {
            io.reply(
                request,
                200,
                &ReportAnswer {
                    token: self.token(),
                    orders: Vec::new(),
                },
            );
            return Ok(());
        }
        let newest = self.absorb(report, io);
        let token = self.token();
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.answered = Some(io.now);
            // A report overtaken by the answer to a direct command still renews
            // the lease, but no order may follow from what it says.
            let orders = if newest {
                machine.orders(Some((report.session, report.seq)), certain, io.now)
            } else {
                Vec::new()
            };
            io.reply(request, 200, &ReportAnswer { token, orders });
        }
        Ok(())
    }

    /// Takes a report into the ledger; false if it is not the newest.
    fn absorb(&mut self, report: &Report, io: &mut Io) -> bool {
        let id = MachineId(Arc::from(report.machine.as_str()));
        let machine = self.machines.entry(id.clone()).or_insert_with(|| {
            log::info!("machine={id} adopted from its report");
            Machine::new(
                id.clone(),
                report.machine_type.clone(),
                report.zone.clone(),
                report.spot,
                io.now,
            )
        });
        let rented_at = machine.rented_at.filter(|_| machine.heard.is_none());
        let Some(changes) = machine.absorb(report, self.first_token, io.now) else {
            return false;
        };
        if let Some(rented_at) = rented_at {
            // Only what this leader rented itself tells how long a boot takes:
            // machines found running have no start to count from.
            let took_s = (io.now - rented_at) as f64 / SECOND_MS as f64;
            let average = self.boot_s.entry(machine.machine_type.clone()).or_insert(took_s);
            *average += BOOT_SMOOTHING * (took_s - *average);
            log::info!("machine={id} is up after {took_s:.1} s");
        }
        self.apply(&id, changes, io);
        self.changed = true;
        true
    }

    fn apply(&mut self, machine: &MachineId, changes: Vec<Change>, io: &mut Io) {
        for change in changes {
            match change {
                Change::Running(task, number) => {
                    log::debug!("job={} machine={machine} task {} runs", task.job, task.index);
                    if let Some(job) = self.jobs.get_mut(&task.job)
                        && let Some(gang) = job.gang.as_mut().filter(|gang| gang.number == number)
                    {
                        gang.started = true;
                    }
                }
                Change::Exited {
                    task,
                    number,
                    why: Cause::Done,
                    ..
                } => self.task_done(machine, &task, number, io.now),
                Change::Exited {
                    task, number, why, ..
                } => self.task_ended(machine, &task, number, why, io),
                Change::Vanished { task, number, .. } => {
                    if let Some(job) = self.jobs.get_mut(&task.job)
                        && let Some(gang) = job.gang.as_mut().filter(|gang| gang.number == number)
                    {
                        gang.lost();
                    }
                    self.requeue(&task, io.now);
                }
            }
        }
    }

    fn task_done(&mut self, machine: &MachineId, task: &TaskId, number: u64, now: Millis) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            self.close(machine, task, number);
            return;
        };
        job.failures = 0;
        job.failed_on.clear();
        let finished: Vec<u32> = match job.spec.shape {
            // Tasks of a gang complete together.
            Shape::Gang => (0..job.spec.tasks).collect(),
            Shape::Array => vec![task.index],
            // A replica runs until it is cancelled; one that ends is replaced.
            Shape::Service => {
                self.close(machine, task, number);
                self.requeue(task, now);
                return;
            }
        };
        for index in finished {
            job.waiting.remove(&index);
            if job.done.insert(index) {
                self.writer.done(&task.job, index);
            }
        }
        if job.complete() {
            self.writer.finishing.insert(task.job.clone());
        }
    }

    fn close(&mut self, machine: &MachineId, task: &TaskId, number: u64) {
        if let Some(attempt) = self
            .machines
            .get_mut(machine)
            .and_then(|machine| machine.attempt_mut(task, number))
        {
            attempt.closed = true;
        }
    }

    fn task_ended(&mut self, id: &MachineId, task: &TaskId, number: u64, why: Cause, io: &mut Io) {
        self.close(id, task, number);
        let now = io.now;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            if let Some(gang) = job.gang.as_mut().filter(|gang| gang.number == number) {
                gang.ended(why);
            }
            match why {
                Cause::Error | Cause::Unknown | Cause::Other => {
                    log::info!(
                        "job={} machine={id} task {} failed: {why:?}",
                        task.job,
                        task.index
                    );
                    job.failed_on.insert(id.clone());
                    if job.to_blame() {
                        if now >= job.held_until {
                            let wait = BAD_JOB_WAIT_MS << job.failures.min(BAD_JOB_DOUBLINGS);
                            job.held_until = now + wait;
                            job.failures += 1;
                        }
                        for machine in self.machines.values_mut() {
                            machine.errors.remove(&task.job);
                        }
                    } else if why == Cause::Error
                        && let Some(machine) = self.machines.get_mut(id)
                    {
                        machine.errors.insert(task.job.clone());
                        if faulty(machine) {
                            log::info!("machine={id} fails different jobs: it is drained");
                        }
                    }
                }
                Cause::NoRoom | Cause::Busy => {
                    if let Some(machine) = self.machines.get_mut(id) {
                        machine.full_until = now + FULL_WAIT_MS;
                    }
                }
                _ => (),
            }
        }
        self.requeue(task, now);
    }

    /// The task waits again, unless it is done or may still be somewhere.
    fn requeue(&mut self, task: &TaskId, now: Millis) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let elsewhere = self
            .machines
            .values()
            .flat_map(|machine| &machine.attempts)
            .any(|attempt| attempt.task == *task && attempt.may_be_there());
        if !elsewhere && !job.done.contains(&task.index) && task.index < job.spec.tasks {
            job.waiting.insert(task.index);
        }
        let Some(gang) = job.gang else { return };
        if gang.broken {
            let grace_s = placement::grace_s(&job.spec);
            for attempt in self
                .machines
                .values_mut()
                .flat_map(|machine| &mut machine.attempts)
            {
                if attempt.task.job == task.job && !attempt.exited() && attempt.stop.is_none() {
                    attempt.stop = Some(Stop {
                        grace_s,
                        asked_at: now,
                        ordered_at: None,
                    });
                }
            }
        }
        let left = self
            .machines
            .values()
            .flat_map(|machine| &machine.attempts)
            .any(|attempt| attempt.task.job == task.job && attempt.may_be_there());
        if !left {
            job.gang = None;
        }
    }

    // ---- the loop ------------------------------------------------------------

    /// Does what is due. Returns `Deposed` where leadership is given up.
    pub fn settle(
        &mut self,
        leadership: &mut Leadership,
        types: &Types,
        settings: &Settings,
        siblings: Siblings,
        io: &mut Io,
    ) -> Option<News> {
        if self.load.is_some() {
            self.poll_load(io);
            return None;
        }
        if !self.watching && io.now >= self.watch_at {
            self.watching = true;
            let path = paths::watch(records::JOBS, self.revision, WATCH_HOLD_MS);
            self.state_call(
                Method::Get,
                path,
                Vec::new(),
                WATCH_HOLD_MS + WATCH_SLACK_MS,
                TermCallKind::Watch,
                io,
            );
        }
        let certain = leadership.certain(io.now);
        if io.now >= self.check_at {
            self.check_at = io.now + WRITE_RETRY_MS;
            self.check_machines(settings, io);
            if let Some(news) = self.check_self(leadership, siblings, io) {
                return Some(news);
            }
            self.give_back(types, settings, siblings, io);
        }
        self.poll_listing(io);
        if certain && !types.is_empty() {
            let due = if self.changed {
                self.passed_at + PASS_SPACING_MS
            } else {
                self.pass_at
            };
            if io.now >= due && !self.writer.stalled(io.now) {
                self.pass(types, settings, io);
            }
            if io.now >= self.fleet_at {
                self.fleet_at = io.now + FLEET_LOOP_MS;
                self.size_fleet(types, settings, io);
            }
            if io.now >= self.forecast_at {
                self.forecast_at = io.now + FORECAST_MS;
                forecast::warn(
                    &mut self.jobs,
                    &self.machines,
                    types,
                    settings,
                    &self.boot_s,
                    io.now,
                );
            }
            self.send_rentals(io);
        }
        if certain && !types.is_empty() && !self.stored_types {
            self.stored_types = true;
            self.store_types(types, io);
        }
        self.drop_called_off(io);
        self.write(leadership, settings, io);
        self.send_direct(certain, io);
        None
    }

    fn pass(&mut self, types: &Types, settings: &Settings, io: &mut Io) {
        self.changed = false;
        self.passed_at = io.now;
        self.pass_at = io.now + PASS_INTERVAL_MS;
        let site = Site {
            deployment: &settings.deployment,
            types,
            jobs: &self.jobs,
            machines: &self.machines,
            now: io.now,
        };
        let plan = placement::plan(&site);
        self.unplaced = plan.unplaced;
        let mut starts = 0;
        for decision in plan.decisions {
            match decision {
                Decision::Start { task, machine } => {
                    starts += 1;
                    self.start(task, &machine, types, io.now);
                }
                Decision::Stop {
                    task,
                    machine,
                    grace_s,
                } => self.stop(&task, &machine, grace_s, io.now),
            }
        }
        if starts >= STARTS_PER_PASS {
            self.changed = true;
        }
        self.count();
        for machine in self.machines.values_mut() {
            if machine.is_up() && machine.is_empty() {
                machine.idle_since.get_or_insert(io.now);
            } else {
                machine.idle_since = None;
            }
        }
    }

    fn attempt_number(&mut self) -> u64 {
        self.next_attempt += 1;
        (self.first_token << ATTEMPT_BITS) + self.next_attempt
    }

    fn start(&mut self, task: TaskId, id: &MachineId, types: &Types, now: Millis) {
        let fresh = self.attempt_number();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let number = match job.spec.shape {
            Shape::Gang => job.gang.get_or_insert(GangAttempt::new(fresh)).number,
            Shape::Array | Shape::Service => fresh,
        };
        job.waiting.remove(&task.index);
        let cached = machine.images.iter().any(|(name, _)| *name == job.spec.image);
        log::debug!(
            "job={} machine={id} task {} is placed{}",
            task.job,
            task.index,
            if cached { "" } else { ", without its image" }
        );
        let cache_gb = types
            .get(&machine.machine_type)
            .map_or(0.0, |machine_type| machine_type.cache_gb);
        machine.touch_image(&job.spec.image, job.spec.image_gb, cache_gb);
        machine.attempts.push(Attempt::planned(
            task,
            number,
            Arc::from(job.spec.team.as_str()),
            job.spec.needs,
            job.spec.image.clone(),
            now,
        ));
        machine.dirty = true;
    }

    fn stop(&mut self, task: &TaskId, id: &MachineId, grace_s: f64, now: Millis) {
        if let Some(gang) = self.jobs.get_mut(&task.job).and_then(|job| job.gang.as_mut()) {
            gang.broken = true;
        }
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let running = machine
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.task == *task && !attempt.exited() && attempt.stop.is_none());
        for attempt in running {
            log::debug!(
                "job={} machine={id} task {} is stopped to make room",
                task.job,
                task.index
            );
            attempt.stop = Some(Stop {
                grace_s,
                asked_at: now,
                ordered_at: None,
            });
        }
    }

    /// Starts that were called off before anything was sent never were.
    fn drop_called_off(&mut self, io: &mut Io) {
        let mut dropped = Vec::new();
        for machine in self.machines.values_mut() {
            machine.attempts.retain(|attempt| {
                let called_off = attempt.never_sent() && attempt.stop.is_some();
                if called_off {
                    dropped.push(attempt.task.clone());
                }
                !called_off
            });
        }
        for task in dropped {
            self.requeue(&task, io.now);
            self.changed = true;
        }
    }

    fn count(&mut self) {
        self.counts.clear();
        for job in self.jobs.values() {
            self.counts
                .insert(job.spec.id.clone(), (job.done.len() as u32, 0));
        }
        for attempt in self.machines.values().flat_map(|machine| &machine.attempts) {
            if matches!(attempt.seen, Some(TaskState::Running | TaskState::Saving))
                && let Some((_, running)) = self.counts.get_mut(&attempt.task.job)
            {
                *running += 1;
            }
        }
    }

    fn store_types(&mut self, types: &Types, io: &mut Io) {
        let flavors = wire::Flavors {
            types: types.values().cloned().collect(),
        };
        let body = wire::Transaction {
            conditions: vec![wire::Condition {
                key: records::LEADER.to_owned(),
                version: self.token(),
            }],
            changes: vec![wire::Change::Put {
                key: records::TYPES.to_owned(),
                value: flavors.to_value(),
                lease: None,
            }],
        };
        self.state_call(
            Method::Post,
            paths::TRANSACTION.to_owned(),
            json(&body),
            STATE_TIMEOUT_MS,
            TermCallKind::StoreTypes,
            io,
        );
    }

    // ---- writing -------------------------------------------------------------

    fn write(&mut self, leadership: &Leadership, settings: &Settings, io: &mut Io) {
        if let Some(key) = self.writer.next_reread(io.now) {
            let path = paths::key(&key);
            self.state_call(
                Method::Get,
                path,
                Vec::new(),
                STATE_TIMEOUT_MS,
                TermCallKind::Reread { key },
                io,
            );
            return;
        }
        if !self.writer.ready(io.now) {
            return;
        }
        if self.fencing_needed(io.now)
            && let Some(renewal) = leadership.renewal()
        {
            self.bumped_at = io.now;
            let body = self.writer.renewal(renewal);
            self.state_call(
                Method::Post,
                paths::TRANSACTION.to_owned(),
                body,
                STATE_TIMEOUT_MS,
                TermCallKind::Write,
                io,
            );
            return;
        }
        let most = settings.deployment.state.txn_ops.min(io.writes.available(io.now));
        let Some((body, ops)) =
            self.writer
                .batch(most, settings, &mut self.machines, &self.jobs, &self.rentals)
        else {
            return;
        };
        io.writes.force(ops as f64, io.now);
        self.state_call(
            Method::Post,
            paths::TRANSACTION.to_owned(),
            body,
            STATE_TIMEOUT_MS,
            TermCallKind::Write,
            io,
        );
    }

    /// A start that nobody answered may arrive minutes later, even for a job that
    /// has been cancelled since. A higher token, once the worker has seen it,
    /// refuses it; so the leader renews its own.
    fn fencing_needed(&self, now: Millis) -> bool {
        now >= self.bumped_at + STATE_TIMEOUT_MS
            && self.machines.values().any(|machine| {
                !machine.returning
                    && machine.attempts.iter().any(|attempt| {
                        attempt.pin.is_some_and(|pin| pin.token == self.writer.token)
                            && (attempt.stop.is_some() || attempt.exited())
                    })
            })
    }

    fn written(&mut self, outcome: &Outcome, leadership: &mut Leadership, io: &mut Io) -> Option<News> {
        let units = self.writer.take_batch();
        if outcome.status() == Some(200)
            && let Some(answer) = outcome.read::<wire::TransactionAnswer>(&[200])
        {
            for unit in units {
                self.unit_written(unit, answer.revision, leadership, io.now);
            }
            return None;
        }
        self.writer.failed(&units, &mut self.machines);
        match outcome {
            Outcome::Answer { status: 409, .. } => {
                let failed = outcome
                    .read::<wire::TransactionAnswer>(&[409])
                    .map(|answer| answer.failed)
                    .unwrap_or_default();
                if failed.iter().any(|key| key == records::LEADER) {
                    return leadership.deposed("a transaction met a newer leader");
                }
                for key in failed {
                    match key.strip_prefix(records::JOBS) {
                        // Cancelled by a node that served its user.
                        Some(job) => self.job_over(&JobId(Arc::from(job)), io.now),
                        None => self.writer.reread(key),
                    }
                }
            }
            outcome if outcome.refused() => {
                self.writer.retry_at = io.now + WRITE_RETRY_MS + io.rng.random_range(0..WRITE_RETRY_MS)
            }
            Outcome::Answer { status, body } => {
                log::error!(
                    "the state service answers {status}: {}",
                    String::from_utf8_lossy(body)
                );
                self.writer.retry_at = io.now + SECOND_MS;
            }
            _ => {
                for unit in &units {
                    for key in unit.keys() {
                        self.writer.reread(key);
                    }
                }
            }
        }
        None
    }

    fn unit_written(&mut self, unit: Unit, revision: u64, leadership: &mut Leadership, now: Millis) {
        match unit {
            Unit::Renewal => {
                leadership.renewed(revision);
                self.writer.token = revision;
            }
            Unit::Machine { id, planned } => {
                if let Some(machine) = self.machines.get_mut(&id) {
                    machine.version = revision;
                    for (task, number) in planned {
                        if let Some(attempt) = machine.attempt_mut(&task, number) {
                            attempt.durable = true;
                        }
                    }
                }
            }
            Unit::Done { job, chunk, tasks } => {
                self.writer.done_versions.insert((job.clone(), chunk), revision);
                for attempt in self
                    .machines
                    .values_mut()
                    .flat_map(|machine| &mut machine.attempts)
                {
                    if attempt.exited() && attempt.task.job == job && tasks.contains(&attempt.task.index) {
                        attempt.closed = true;
                    }
                }
            }
            Unit::Finish { job } => {
                log::info!("job={job} is done");
                self.job_over(&job, now);
                self.writer.finished.push(job);
            }
            Unit::Rental { request } => {
                if let Some(rental) = self.rentals.get_mut(&request) {
                    rental.recorded = true;
                }
            }
            Unit::Garbage { .. } => (),
        }
    }

    fn reread(
        &mut self,
        key: String,
        outcome: &Outcome,
        leadership: &mut Leadership,
        io: &mut Io,
    ) -> Option<News> {
        let item = outcome.read::<StoredItem>(&[200]);
        let version = match (&item, outcome.status()) {
            (Some(item), _) => item.version,
            (None, Some(404)) => 0,
            _ => {
                self.writer.reread_failed(key, io.now);
                return None;
            }
        };
        self.writer.reread_done(&key);
        if key == records::LEADER {
            if leadership.is_mine(item.as_ref()) {
                leadership.renewed(version);
                self.writer.token = version;
            } else {
                return leadership.deposed("its key belongs to another");
            }
        } else if let Some(job) = key.strip_prefix(records::JOBS) {
            if version == 0 {
                self.job_over(&JobId(Arc::from(job)), io.now);
            }
        } else if let Some(name) = key.strip_prefix(records::MACHINES) {
            if let Some(machine) = self.machines.get_mut(&MachineId(Arc::from(name))) {
                machine.version = version;
                machine.dirty = true;
            }
        } else if let Some((job, chunk)) = records::parse_done_key(&key) {
            self.writer
                .done_versions
                .insert((JobId(Arc::from(job)), chunk), version);
        }
        None
    }

    // ---- direct commands -----------------------------------------------------

    fn send_direct(&mut self, certain: bool, io: &mut Io) {
        let token = self.token();
        let mut sends = Vec::new();
        for machine in self.machines.values_mut() {
            if machine.direct_in_flight || machine.inspect_failed || machine.return_in_flight {
                continue;
            }
            let Some(addr) = machine.addr.clone() else {
                continue;
            };
            let greeting = machine.greet
                && machine
                    .greeted_at
                    .is_none_or(|at| io.now >= at + DO_TIMEOUT_MS / 2);
            if !(greeting || machine.synced && machine.wants_direct(certain, io.now)) {
                continue;
            }
            let orders = if machine.synced {
                machine.orders(None, certain, io.now)
            } else {
                Vec::new()
            };
            if orders.is_empty() && !greeting {
                continue;
            }
            machine.direct_in_flight = true;
            if greeting {
                machine.greeted_at = Some(io.now);
            }
            // A machine from a record was last seen in an unknown session; nearly
            // always the first. A wrong guess is answered with a report.
            let session = machine.session.max(1);
            let body = json(&DirectOrders {
                token,
                session,
                orders,
            });
            sends.push((machine.id.clone(), addr, session, body, greeting));
        }
        for (machine, addr, session, body, greeting) in sends {
            let purpose = self.purpose(TermCallKind::Direct(Direct {
                machine,
                token,
                session,
                greeting,
            }));
            io.call(
                Destination::Worker(addr),
                Method::Post,
                paths::DIRECT.to_owned(),
                body,
                DO_TIMEOUT_MS,
                purpose,
            );
        }
    }

    fn direct_answered(
        &mut self,
        direct: Direct,
        outcome: &Outcome,
        leadership: &mut Leadership,
        io: &mut Io,
    ) -> Option<News> {
        let Direct {
            machine: id,
            token,
            session,
            greeting,
        } = direct;
        let current = self.token();
        let machine = self.machines.get_mut(&id)?;
        machine.direct_in_flight = false;
        let status = outcome.status();
        match (outcome, status) {
            (_, Some(200)) => machine.direct_settled(true),
            (Outcome::NotSent, _) | (_, Some(400 | 409)) => machine.direct_settled(false),
            _ => machine.direct_unanswered(token, session),
        }
        if status.is_none() && greeting && machine.heard.is_none() {
            // Known from a record, and it does not answer: no need to wait for the
            // reports that it would have sent by now.
            machine.inspect_due = true;
        }
        let report = outcome.read::<Report>(&[200, 409])?;
        if report.machine != *id.0 {
            // Another machine has this address now.
            return None;
        }
        if report.token > current {
            return leadership.deposed("a worker has seen a newer leader");
        }
        if greeting && status == Some(200) {
            machine.greet = false;
        } else if greeting {
            machine.greeted_at = None;
        }
        self.absorb(&report, io);
        None
    }

    // ---- silent machines -----------------------------------------------------

    fn check_machines(&mut self, settings: &Settings, io: &mut Io) {
        let workers = &settings.deployment.workers;
        let quiet_ms = (workers.report_s * 1.25 * SECOND_MS as f64) as u64 + SILENT_SLACK_MS;
        let lease_ms = (workers.lease_s * SECOND_MS as f64) as u64;
        let lease_ms = lease_ms + lease_ms * CLOCK_DRIFT_PPM / 1_000_000 + LEASE_MARGIN_MS;
        let roll_call = self.call_roll(io.now);
        let mut inspect = Vec::new();
        let mut lapsed = Vec::new();
        for machine in self.machines.values_mut() {
            let known_up = machine.heard.is_some() || !machine.attempts.is_empty();
            if !known_up {
                continue;
            }
            let last = machine.heard.unwrap_or(self.started);
            let asked = roll_call && !machine.inspect_failed && io.now > last;
            if io.now < last + quiet_ms && !machine.inspect_due && !asked {
                continue;
            }
            if !machine.inspecting
                && let Some(addr) = &machine.addr
            {
                machine.inspecting = true;
                inspect.push((machine.id.clone(), addr.clone()));
            }
            // The longest that anyone could have kept its lease alive: this leader
            // until it last heard from it, a former one until it had to stop.
            let kept_until = if machine.synced {
                last.max(machine.answered.unwrap_or(0))
            } else {
                self.started + keep_alive_ms(&settings.deployment)
            };
            if io.now > kept_until + lease_ms && machine.attempts.iter().any(|attempt| !attempt.never_sent())
            {
                lapsed.push(machine.id.clone());
            }
        }
        for (machine, addr) in inspect {
            let purpose = self.purpose(TermCallKind::Inspect { machine });
            io.call(
                Destination::Worker(addr),
                Method::Get,
                paths::INSPECT.to_owned(),
                Vec::new(),
                INSPECT_TIMEOUT_MS,
                purpose,
            );
        }
        for id in lapsed {
            log::info!("machine={id} its lease has run out: nothing is left on it");
            let changes = self.machines.get_mut(&id).map(Machine::clear).unwrap_or_default();
            self.apply(&id, changes, io);
            self.changed = true;
        }
        self.gone.retain(|_, since| io.now < *since + GONE_MEMORY_MS);
    }

    fn inspected(
        &mut self,
        id: &MachineId,
        outcome: &Outcome,
        leadership: &mut Leadership,
        io: &mut Io,
    ) -> Option<News> {
        let current = self.token();
        let machine = self.machines.get_mut(id)?;
        machine.inspecting = false;
        machine.inspect_due = false;
        match outcome
            .read::<Report>(&[200])
            .filter(|report| report.machine == *id.0)
        {
            Some(report) if report.token > current => {
                return leadership.deposed("a worker has seen a newer leader");
            }
            Some(report) => {
                self.absorb(&report, io);
            }
            None => {
                if !machine.inspect_failed {
                    log::info!("machine={id} is silent and does not answer");
                }
                if !machine.inspect_failed {
                    machine.silent_at = io.now;
                }
                machine.inspect_failed = true;
                self.changed = true;
            }
        }
        None
    }

    /// Machines fall silent one after the other, as their reports fall due, also
    /// when it is the leader who is cut off. So whenever one is newly silent, all
    /// are asked at once, before it is given back. Returns whether to ask now.
    fn call_roll(&mut self, now: Millis) -> bool {
        let newest = self
            .machines
            .values()
            .filter(|machine| machine.inspect_failed && !machine.returning)
            .map(|machine| machine.silent_at)
            .max();
        let due = newest.is_some_and(|silent_at| self.roll_call.is_none_or(|at| at < silent_at));
        if due {
            self.roll_call = Some(now);
        }
        due
    }

    /// Most of the other machines have been heard since the roll was called.
    fn others_answer(&self) -> bool {
        let Some(called) = self.roll_call else {
            return false;
        };
        let others = self
            .machines
            .values()
            .filter(|machine| machine.is_up() && !machine.inspect_failed);
        let (mut heard, mut all) = (0, 0);
        for machine in others {
            all += 1;
            heard += u32::from(machine.heard.is_some_and(|at| at >= called));
        }
        2 * heard >= all
    }

    fn silent(&self) -> (u32, u32) {
        let up = self
            .machines
            .values()
            .filter(|machine| machine.heard.is_some() || !machine.attempts.is_empty());
        let (mut silent, mut all) = (0, 0);
        for machine in up {
            all += 1;
            silent += u32::from(machine.inspect_failed);
        }
        (silent, all)
    }

    /// So many machines fall silent at once that this node may be the one cut off.
    fn doubts_itself(&self) -> bool {
        let (silent, all) = self.silent();
        silent >= 2 && f64::from(silent) > SUSPECT_SELF_SHARE * f64::from(all)
    }

    fn check_self(&mut self, leadership: &mut Leadership, siblings: Siblings, io: &mut Io) -> Option<News> {
        if !self.doubts_itself() {
            self.doubting_since = None;
            return None;
        }
        let since = *self.doubting_since.get_or_insert(io.now);
        if io.now >= since + SUSPECT_SELF_MS && siblings.hears > 0 {
            return leadership.hand_over("most workers are silent here, but not to a sibling", io);
        }
        None
    }

    // ---- the fleet -----------------------------------------------------------

    fn waste_s(&self, types: &Types, name: &str) -> f64 {
        let boot_s = self
            .boot_s
            .get(name)
            .copied()
            .or_else(|| types.get(name).map(|machine_type| machine_type.boot_s));
        (boot_s.unwrap_or(0.0) + self.give_back_s).max(1.0)
    }

    /// The paper's rule, kind by kind: rents the gap between its target and the
    /// machines that are idle or booting.
    fn size_fleet(&mut self, types: &Types, settings: &Settings, io: &mut Io) {
        if io.now < self.cloud_at {
            return;
        }
        self.refused.retain(|_, until| *until > io.now);
        let mut coming = self.coming(types);
        let mut queues: BTreeMap<(String, bool, Vec<String>), Queue> = BTreeMap::new();
        for unplaced in &self.unplaced {
            let Some(job) = self.jobs.get(&unplaced.job) else {
                continue;
            };
            // Machines that are idle or coming take what they may, of whatever kind.
            let tasks = fleet::left_over(&mut coming, &job.spec, &unplaced.zones, unplaced.tasks, types);
            if tasks == 0 {
                continue;
            }
            let Some((machine_type, spot, mut zones)) = self.kind_for(&job.spec, &unplaced.zones, types)
            else {
                continue;
            };
            if job.spec.one_zone {
                // Machines spread over zones would never take it whole.
                zones = self.fullest_zone(zones);
            }
            let waste_s = self.waste_s(types, &machine_type.name);
            let per_machine = job.spec.needs.count_in(&machine_type.resources());
            let waiting = fleet::Waiting {
                tasks,
                estimate_s: job.spec.estimate_s,
                per_machine,
                gang: job.spec.shape == Shape::Gang,
            };
            queues
                .entry((machine_type.name.clone(), spot, zones))
                .or_default()
                .add(waiting, waste_s);
        }
        let pending: u32 = self.rentals.values().map(|rental| rental.request.count).sum();
        let mut room = settings
            .operator
            .fleet_max
            .saturating_sub(self.machines.len() as u32 + pending);
        for ((name, spot, zones), queue) in queues {
            let target = fleet::target(&queue, self.waste_s(types, &name));
            let count = target.min(room).min(RENT_MAX);
            if count > 0 {
                room -= count;
                self.rent(&name, spot, &zones, count);
            }
        }
    }

    /// Machines that are idle, booting or being rented.
    fn coming(&self, types: &Types) -> Vec<Coming> {
        let machines = self.machines.values().filter(|machine| {
            let coming = !machine.is_up() && machine.attempts.is_empty() || machine.idle_since.is_some();
            coming && !machine.returning && machine.notice_until.is_none() && !faulty(machine)
        });
        let machines = machines.map(|machine| (&machine.machine_type, &machine.zone, machine.spot, 1));
        let rentals = self.rentals.values().map(|rental| {
            let request = &rental.request;
            (&request.machine_type, &request.zone, request.spot, request.count)
        });
        let mut coming = Vec::new();
        for (machine_type, zone, spot, count) in machines.chain(rentals) {
            let Some(known) = types.get(machine_type) else {
                continue;
            };
            for _ in 0..count {
                coming.push(Coming {
                    machine_type: machine_type.clone(),
                    zone: zone.clone(),
                    spot,
                    free: known.resources(),
                });
            }
        }
        // What may use spot machines leaves the others to what may not.
        coming.sort_by_key(|machine| !machine.spot);
        coming
    }

    /// The zone with the most of the site's machines, the first of several.
    fn fullest_zone(&self, zones: Vec<String>) -> Vec<String> {
        let count = |zone: &String| {
            self.machines
                .values()
                .filter(|machine| machine.zone == *zone)
                .count()
        };
        let fullest = zones
            .into_iter()
            .min_by_key(|zone| std::cmp::Reverse(count(zone)));
        fullest.into_iter().collect()
    }

    /// The cheapest kind of machine, per task, that the cloud may have.
    fn kind_for<'a>(
        &self,
        spec: &JobSpec,
        zones: &[String],
        types: &'a Types,
    ) -> Option<(&'a wire::MachineType, bool, Vec<String>)> {
        let mut best: Option<(f64, &wire::MachineType, bool, Vec<String>)> = None;
        for machine_type in types.values() {
            for spot in [true, false] {
                let open: Vec<String> = zones
                    .iter()
                    .filter(|zone| {
                        machine_type.zones.contains(zone) && spec.eligible(machine_type, zone, spot)
                    })
                    .filter(|zone| {
                        !self
                            .refused
                            .contains_key(&(machine_type.name.clone(), (*zone).clone(), spot))
                    })
                    .cloned()
                    .collect();
                if open.is_empty() {
                    continue;
                }
                let per_machine = spec.needs.count_in(&machine_type.resources()).max(1.0);
                let price = if spot {
                    machine_type.spot_price
                } else {
                    machine_type.price
                };
                let cost = price / per_machine;
                if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                    best = Some((cost, machine_type, spot, open));
                }
            }
        }
        best.map(|(_, machine_type, spot, zones)| (machine_type, spot, zones))
    }

    /// Spreads `count` machines over the zones with the fewest of the site's.
    fn rent(&mut self, name: &str, spot: bool, zones: &[String], count: u32) {
        let mut have: BTreeMap<&String, u32> = zones.iter().map(|zone| (zone, 0)).collect();
        for machine in self.machines.values() {
            if let Some(count) = have.get_mut(&machine.zone) {
                *count += 1;
            }
        }
        for rental in self.rentals.values() {
            if let Some(count) = have.get_mut(&rental.request.zone) {
                *count += rental.request.count;
            }
        }
        let mut share: BTreeMap<&String, u32> = BTreeMap::new();
        for _ in 0..count {
            let Some((zone, at)) = have.iter_mut().min_by_key(|(_, count)| **count) else {
                return;
            };
            *at += 1;
            *share.entry(*zone).or_default() += 1;
        }
        for (zone, count) in share {
            self.next_rental += 1;
            let request = RentalRequest {
                request: format!("r-{}-{}", self.first_token, self.next_rental),
                machine_type: name.to_owned(),
                zone: zone.clone(),
                spot,
                count,
            };
            log::info!(
                "renting {count} of {name} in {zone}{}",
                if spot { ", spot" } else { "" }
            );
            let key = request.request.clone();
            self.rentals.insert(
                key.clone(),
                Rental {
                    request,
                    recorded: false,
                    in_flight: false,
                    retry_at: 0,
                },
            );
            self.writer.rentals.insert(key);
        }
    }

    fn send_rentals(&mut self, io: &mut Io) {
        let mut sends = Vec::new();
        for rental in self.rentals.values_mut() {
            if rental.recorded
                && !rental.in_flight
                && io.now >= rental.retry_at
                && io.cloud.take(1.0, 0.0, io.now)
            {
                rental.in_flight = true;
                sends.push(rental.request.clone());
            }
        }
        for request in sends {
            let body = json(&request);
            let purpose = self.purpose(TermCallKind::Rent {
                request: request.request,
            });
            io.call(
                Destination::Cloud,
                Method::Post,
                paths::RENTALS.to_owned(),
                body,
                CLOUD_TIMEOUT_MS,
                purpose,
            );
        }
    }

    fn rented(&mut self, key: &str, outcome: &Outcome, io: &mut Io) {
        let Some(rental) = self.rentals.get_mut(key) else {
            return;
        };
        rental.in_flight = false;
        let request = rental.request.clone();
        if let Some(names) = outcome.read::<MachineNames>(&[200]) {
            for name in &names.machines {
                let id = MachineId(Arc::from(name.as_str()));
                if !self.gone.contains_key(&id) {
                    self.machines.entry(id.clone()).or_insert_with(|| {
                        let mut machine = Machine::new(
                            id,
                            request.machine_type.clone(),
                            request.zone.clone(),
                            request.spot,
                            io.now,
                        );
                        machine.rented_at = Some(io.now);
                        machine
                    });
                }
            }
            if (names.machines.len() as u32) < request.count {
                self.refuse(&request, io);
            }
            self.end_rental(key);
        } else if outcome.status() == Some(503) {
            #[derive(serde::Deserialize)]
            struct Problem {
                #[serde(default)]
                error: String,
            }
            let problem = outcome
                .read::<Problem>(&[503])
                .map(|problem| problem.error)
                .unwrap_or_default();
            if problem.contains("capacity") {
                self.refuse(&request, io);
            } else {
                self.cloud_at = io.now + CLOUD_RETRY_MS;
            }
            // Nothing was rented, and the need may have changed: decide afresh.
            self.end_rental(key);
        } else if outcome.status() == Some(400) {
            log::error!("the cloud calls rental {key} malformed");
            self.end_rental(key);
        } else {
            // Perhaps rented: the same request tells, and rents nothing twice.
            rental.retry_at = io.now + CLOUD_RETRY_MS;
        }
    }

    fn refuse(&mut self, request: &RentalRequest, io: &Io) {
        log::info!(
            "the cloud has too few {} in {}{}",
            request.machine_type,
            request.zone,
            if request.spot { ", spot" } else { "" }
        );
        self.refused.insert(
            (request.machine_type.clone(), request.zone.clone(), request.spot),
            io.now + REFUSED_MS,
        );
    }

    fn end_rental(&mut self, key: &str) {
        self.rentals.remove(key);
        self.writer.rentals.remove(key);
        self.writer.garbage.insert(records::rental_key(key));
    }

    // ---- giving back ---------------------------------------------------------

    fn give_back(&mut self, types: &Types, settings: &Settings, siblings: Siblings, io: &mut Io) {
        if io.now < self.cloud_at {
            return;
        }
        let idle_ms = (settings.operator.idle_return_s * SECOND_MS as f64) as u64;
        // Alone in silence, with nobody to say who is cut off, nothing is given
        // back; a sibling that hears no worker either says they are gone.
        let doubting = self.doubts_itself()
            && (siblings.fresh == 0
                || siblings.hears > 0
                || self
                    .doubting_since
                    .is_none_or(|since| io.now < since + 2 * SUSPECT_SELF_MS));
        let doubting = doubting || !self.others_answer();
        let mut names = Vec::new();
        for machine in self.machines.values_mut() {
            if machine.return_in_flight || names.len() >= RETURN_MAX {
                continue;
            }
            // Quick boots that were seen do not make a regular one late.
            let nominal_s = types
                .get(&machine.machine_type)
                .map_or(BOOT_UNKNOWN_S, |machine_type| machine_type.boot_s);
            let boot_s = self
                .boot_s
                .get(&machine.machine_type)
                .map_or(nominal_s, |seen| seen.max(nominal_s));
            let known_ms = machine.age_at_first_known + io.now.saturating_sub(machine.first_known);
            let never_up = !machine.is_up()
                && machine.attempts.is_empty()
                && known_ms as f64 > BOOT_GIVE_UP * boot_s * SECOND_MS as f64;
            let silent = machine.inspect_failed && !doubting;
            let idle = machine.is_up()
                && machine.synced
                && machine.is_empty()
                && machine.idle_since.is_some_and(|since| io.now >= since + idle_ms);
            let useless =
                machine.is_up() && machine.is_empty() && (faulty(machine) || machine.notice_until.is_some());
            let why = if machine.returning {
                "it is being given back"
            } else if never_up {
                "it never came up"
            } else if silent {
                "it is silent"
            } else if useless {
                "it fails or is about to be taken"
            } else if idle {
                "it is idle"
            } else {
                continue;
            };
            names.push((machine.id.clone(), why));
        }
        if names.is_empty() || !io.cloud.take(1.0, 0.0, io.now) {
            return;
        }
        let names: Vec<MachineId> = names
            .into_iter()
            .map(|(name, why)| {
                let told = self
                    .machines
                    .get_mut(&name)
                    .is_none_or(|machine| std::mem::replace(&mut machine.return_told, true));
                if !told {
                    log::info!("machine={name} is given back: {why}");
                }
                name
            })
            .collect();
        for name in &names {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.returning = true;
                machine.dirty = true;
                machine.return_in_flight = true;
            }
        }
        let body = json(&MachineNames {
            machines: names.iter().map(|name| name.to_string()).collect(),
        });
        let purpose = self.purpose(TermCallKind::Return {
            machines: names,
            sent: io.now,
        });
        io.call(
            Destination::Cloud,
            Method::Post,
            paths::RETURN.to_owned(),
            body,
            CLOUD_TIMEOUT_MS,
            purpose,
        );
    }

    fn returned(&mut self, machines: Vec<MachineId>, sent: Millis, outcome: &Outcome, io: &mut Io) {
        if outcome.status() == Some(200) {
            let took_s = (io.now - sent) as f64 / SECOND_MS as f64;
            self.give_back_s += BOOT_SMOOTHING * (took_s - self.give_back_s);
            for id in machines {
                // The cloud's word: the machine and all that was on it are gone.
                let Some(mut machine) = self.machines.remove(&id) else {
                    continue;
                };
                self.gone.insert(id.clone(), io.now);
                self.writer.machine_gone(&id, machine.version);
                let changes = machine.clear();
                self.apply(&id, changes, io);
                self.changed = true;
            }
            return;
        }
        self.cloud_at = io.now + CLOUD_RETRY_MS;
        for id in machines {
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            machine.return_in_flight = false;
            // An unanswered return may still be carried out: nothing is placed
            // there again, and it is asked for until the cloud confirms.
            machine.return_unanswered |= !outcome.refused();
            machine.returning = machine.return_unanswered;
        }
    }

    // ---- the cloud's list ----------------------------------------------------

    fn poll_listing(&mut self, io: &mut Io) {
        if self.listing || io.now < self.list_at || !io.cloud.take(1.0, 0.0, io.now) {
            return;
        }
        self.listing = true;
        let path = paths::listing(self.listed.last().map(|machine| machine.id.as_str()));
        let purpose = self.purpose(TermCallKind::List);
        io.call(
            Destination::Cloud,
            Method::Get,
            path,
            Vec::new(),
            CLOUD_TIMEOUT_MS,
            purpose,
        );
    }

    fn listed(&mut self, outcome: &Outcome, io: &mut Io) {
        self.listing = false;
        let Some(page) = outcome.read::<Listing>(&[200]) else {
            self.listed.clear();
            self.list_at = io.now + CLOUD_RETRY_MS;
            return;
        };
        let more = page.more && !page.machines.is_empty();
        self.listed.extend(page.machines);
        if more {
            self.list_at = io.now;
            return;
        }
        self.list_at = io.now + LIST_INTERVAL_MS;
        for listed in std::mem::take(&mut self.listed) {
            let id = MachineId(Arc::from(listed.id.as_str()));
            if self.gone.contains_key(&id) {
                continue;
            }
            let machine = self.machines.entry(id.clone()).or_insert_with(|| {
                log::info!("machine={id} adopted from the cloud's list");
                let mut machine = Machine::new(
                    id,
                    listed.machine_type.clone(),
                    listed.zone.clone(),
                    listed.spot,
                    io.now,
                );
                machine.greet = listed.status == wire::ListedStatus::Running;
                machine
            });
            let age_ms = (listed.age_s.max(0.0) * SECOND_MS as f64) as u64;
            if age_ms > machine.age_at_first_known + io.now.saturating_sub(machine.first_known) {
                machine.first_known = io.now;
                machine.age_at_first_known = age_ms;
            }
            if machine.addr.is_none() {
                machine.addr = listed.addr;
            }
            if listed.status == wire::ListedStatus::Failed {
                machine.inspect_failed = true;
            }
        }
    }

    // ---- answers -------------------------------------------------------------

    pub fn answered(
        &mut self,
        kind: TermCallKind,
        outcome: &Outcome,
        leadership: &mut Leadership,
        io: &mut Io,
    ) -> Option<News> {
        match kind {
            TermCallKind::Load => self.loaded(outcome, io),
            TermCallKind::Watch => self.watched(outcome, io),
            TermCallKind::Write => return self.written(outcome, leadership, io),
            TermCallKind::Reread { key } => return self.reread(key, outcome, leadership, io),
            TermCallKind::Direct(direct) => return self.direct_answered(direct, outcome, leadership, io),
            TermCallKind::Inspect { machine } => return self.inspected(&machine, outcome, leadership, io),
            TermCallKind::List => self.listed(outcome, io),
            TermCallKind::Rent { request } => self.rented(&request, outcome, io),
            TermCallKind::Return { machines, sent } => self.returned(machines, sent, outcome, io),
            TermCallKind::StoreTypes => self.stored_types = outcome.status() == Some(200),
        }
        None
    }
}
