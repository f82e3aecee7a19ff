//! A stand-in for a worker, by its published protocol: agent epochs, leases, tokens,
//! images, gangs.

use crate::simulation::ObservedJob;
use indigopath_controller::protocol::{
    CommandKind, DirectCommands, Heartbeat, HeartbeatResponse, TaskEndCause, TaskState, TaskStatus,
    WorkerCommand,
};
use serde_json::Value;
use std::collections::BTreeMap;

pub const GANG_PEER_MS: u64 = 5_000;

/// What the platform's settings say of workers, in ms.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    pub report_ms: u64,
    pub lease_ms: u64,
    pub gang_wait_ms: u64,
    /// Shortest time between two reports.
    pub least_ms: u64,
    /// Wait before the next node is tried.
    pub retry_ms: u64,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            report_ms: 3_000,
            lease_ms: 30_000,
            gang_wait_ms: 30_000,
            least_ms: 500,
            retry_ms: 1_000,
        }
    }
}

#[derive(Debug, Clone)]
pub struct Task {
    pub job: String,
    pub index: u32,
    pub attempt: u64,
    pub state: TaskState,
    pub why: Option<TaskEndCause>,
    pub saved: bool,
    pub since: u64,
    pub progress_from: f64,
    /// When it will have saved, and when its gang was told to stop.
    pub stop_at: Option<u64>,
    pub lost_mates_at: Option<u64>,
}

impl Task {
    /// On its machine by the rules' reckoning: from having its image until it exits.
    pub fn on(&self) -> bool {
        !matches!(self.state, TaskState::Exited | TaskState::Fetching)
    }

    pub fn name(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }
}

pub struct Worker {
    pub id: String,
    /// Where direct commands reach it.
    pub addr: String,
    pub times: Times,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub agent_epoch: u64,
    pub seq: u64,
    pub token: u64,
    pub tasks: Vec<Task>,
    /// Images that it holds, with their size in GB, the latest used last.
    images: Vec<(String, f64)>,
    /// How much of them it holds at most, in GB.
    pub cache_gb: f64,
    /// Images on their way, with what is left of each, in ms of a fetch alone.
    fetching: BTreeMap<String, f64>,
    /// Fetches at one time share the machine's rate.
    pub shares_rate: bool,
    /// Fetches begun since somebody last counted.
    pub begun: u32,
    stepped: u64,
    pub node: usize,
    pub in_flight: Option<(u64, u64)>,
    /// When a higher token last counted as a change.
    token_at: Option<u64>,
    pub next_report: u64,
    pub last_report: u64,
    /// Sending time of the last answered report, or the agent epoch's beginning.
    pub lease_from: u64,
    pub hung_until: u64,
    pub notice_at: Option<u64>,
    pub faulty: bool,
    /// Until then it refuses whatever is to start, as if it were full.
    pub full_until: u64,
    /// Replicas that ran and were told to stop, by job, since this was last emptied.
    pub stopped: Vec<String>,
    reports: u64,
}

impl Worker {
    pub fn new(id: &str, machine_type: &str, zone: &str, spot: bool, now: u64) -> Worker {
        Worker {
            id: id.to_owned(),
            addr: id.to_owned(),
            times: Times::default(),
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            agent_epoch: 1,
            seq: 0,
            token: 0,
            tasks: Vec::new(),
            images: Vec::new(),
            cache_gb: f64::INFINITY,
            fetching: BTreeMap::new(),
            shares_rate: false,
            begun: 0,
            stepped: now,
            node: 0,
            in_flight: None,
            token_at: None,
            next_report: now,
            last_report: 0,
            lease_from: now,
            hung_until: 0,
            notice_at: None,
            faulty: false,
            full_until: 0,
            stopped: Vec::new(),
            reports: 0,
        }
    }

    pub fn report(&mut self, now: u64) -> Vec<u8> {
        self.seq += 1;
        let report = Heartbeat {
            machine: self.id.clone(),
            addr: self.addr.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            seq: self.seq,
            token: self.token,
            reclaim_notice_s: self.notice_at.map(|at| at.saturating_sub(now) as f64 / 1000.0),
            tasks: self
                .tasks
                .iter()
                .map(|task| TaskStatus {
                    task: task.name(),
                    attempt: task.attempt,
                    state: task.state,
                    cause: task.why,
                    checkpoint_saved: task.saved.then_some(true),
                })
                .collect(),
        };
        serde_json::to_vec(&report).unwrap()
    }

    /// The next report, if one is due: its number and body.
    pub fn due_report(&mut self, now: u64) -> Option<(u64, Vec<u8>)> {
        if self.in_flight.is_some() || now < self.next_report || now < self.hung_until {
            return None;
        }
        self.reports += 1;
        self.in_flight = Some((self.reports, now));
        self.last_report = now;
        self.next_report = now + self.times.report_ms;
        Some((self.reports, self.report(now)))
    }

    fn changed(&mut self, now: u64) {
        self.next_report = self
            .next_report
            .min((self.last_report + self.times.least_ms).max(now));
    }

    /// Within half a lease a higher token counts as a change at most once.
    fn see_token(&mut self, token: u64, now: u64) {
        if token > self.token {
            self.token = token;
            if self.token_at.is_none_or(|at| now >= at + self.times.lease_ms / 2) {
                self.token_at = Some(now);
                self.changed(now);
            }
        }
    }

    pub fn answered(
        &mut self,
        number: u64,
        agent_epoch: u64,
        outcome: Option<(u16, Vec<u8>)>,
        nodes: usize,
        jobs: &BTreeMap<String, ObservedJob>,
        now: u64,
    ) {
        let Some((_, sent)) = self.in_flight.filter(|(current, _)| *current == number) else {
            return;
        };
        self.in_flight = None;
        match outcome {
            Some((200, body)) => {
                let answer: HeartbeatResponse = serde_json::from_slice(&body).unwrap();
                if answer.token < self.token || agent_epoch != self.agent_epoch {
                    return;
                }
                self.see_token(answer.token, now);
                self.lease_from = sent;
                self.execute(&answer.commands, jobs, now);
            }
            Some((421, body)) => {
                let to = serde_json::from_slice::<Value>(&body).ok().and_then(|body| {
                    body["Foreman"]
                        .as_str()
                        .and_then(|name| name[1..].parse::<usize>().ok())
                });
                match to {
                    Some(node) if node != self.node && node < nodes => {
                        self.node = node;
                        self.next_report = now + 100;
                    }
                    _ => self.try_next(nodes, now),
                }
            }
            _ => self.try_next(nodes, now),
        }
    }

    fn try_next(&mut self, nodes: usize, now: u64) {
        self.node = (self.node + 1) % nodes;
        self.next_report = now + self.times.retry_ms;
    }

    /// A direct command.
    pub fn direct(&mut self, body: &[u8], jobs: &BTreeMap<String, ObservedJob>, now: u64) -> (u16, Vec<u8>) {
        let orders: DirectCommands = serde_json::from_slice(body).unwrap();
        if orders.token < self.token || orders.agent_epoch != self.agent_epoch {
            return (409, self.report(now));
        }
        self.see_token(orders.token, now);
        self.execute(&orders.commands, jobs, now);
        (200, self.report(now))
    }

    fn execute(&mut self, orders: &[WorkerCommand], jobs: &BTreeMap<String, ObservedJob>, now: u64) {
        for order in orders {
            let (job, index) = order.task.rsplit_once('/').unwrap();
            let index: u32 = index.parse().unwrap();
            let known = self
                .tasks
                .iter()
                .position(|task| task.job == job && task.index == index && task.attempt == order.attempt);
            match (order.kind, known) {
                (CommandKind::Start, None) => self.start(job, index, order.attempt, jobs, now),
                (CommandKind::Stop, Some(at)) => {
                    let grace_ms = (order.grace_s.unwrap_or(0.0) * 1000.0) as u64;
                    let task = &mut self.tasks[at];
                    let facts = &jobs[job];
                    let save_ms = (facts.save_s * 1000.0) as u64;
                    if task.state == TaskState::Running && facts.shape == "daemon" {
                        self.stopped.push(job.to_owned());
                    }
                    match task.state {
                        TaskState::Running if facts.checkpoint_s > 0.0 && grace_ms >= save_ms => {
                            task.state = TaskState::Saving;
                            task.progress_from += (now - task.since) as f64 / 1000.0;
                            task.stop_at = Some(now + save_ms);
                        }
                        TaskState::Saving if grace_ms > 0 => (),
                        TaskState::Exited => (),
                        _ => task.exit(TaskEndCause::Stopped),
                    }
                }
                (CommandKind::Forget, Some(at)) if self.tasks[at].state == TaskState::Exited => {
                    self.tasks.remove(at);
                }
                _ => (),
            }
        }
        if !orders.is_empty() {
            self.changed(now);
        }
    }

    fn start(&mut self, job: &str, index: u32, attempt: u64, jobs: &BTreeMap<String, ObservedJob>, now: u64) {
        let mut task = Task {
            job: job.to_owned(),
            index,
            attempt,
            state: TaskState::Fetching,
            why: None,
            saved: false,
            since: now,
            progress_from: 0.0,
            stop_at: None,
            lost_mates_at: None,
        };
        if !jobs.contains_key(job) {
            task.exit(TaskEndCause::Unknown);
        } else if self
            .tasks
            .iter()
            .any(|other| other.name() == task.name() && other.state != TaskState::Exited)
        {
            task.exit(TaskEndCause::Busy);
        } else if now < self.full_until {
            task.exit(TaskEndCause::NoRoom);
        }
        self.tasks.push(task);
    }

    /// Lets time pass on the machine. Returns tasks that came to be on it.
    pub fn step(&mut self, jobs: &mut BTreeMap<String, ObservedJob>, now: u64) -> Vec<Task> {
        if now < self.hung_until {
            return Vec::new();
        }
        if now > self.lease_from + self.times.lease_ms {
            self.tasks.clear();
            self.agent_epoch += 1;
            self.lease_from = now;
            self.changed(now);
        }
        if let Some((_, sent)) = self.in_flight
            && now >= sent + 4_000
        {
            self.in_flight = None;
            self.try_next(3, now);
        }
        self.fetch(jobs, now);
        let gang_wait_ms = self.times.gang_wait_ms;
        let mut arrived = Vec::new();
        let mut changed = false;
        for task in &mut self.tasks {
            let facts = jobs.get_mut(&task.job);
            let Some(facts) = facts else { continue };
            let before = task.state;
            match task.state {
                TaskState::Fetching => {
                    let ready = self.images.iter().any(|(name, _)| *name == facts.image)
                        || self.fetching.get(&facts.image).is_some_and(|left| *left <= 0.0);
                    if ready {
                        self.fetching.remove(&facts.image);
                        touch(&mut self.images, &facts.image, facts.image_gb, self.cache_gb);
                        arrived.push(task.clone());
                        if facts.done.contains(&task.index) {
                            task.exit(TaskEndCause::Done);
                        } else if self.faulty || facts.broken {
                            task.exit(TaskEndCause::Error);
                        } else {
                            task.since = now;
                            task.progress_from = facts.saved_s;
                            task.state = if facts.shape == "gang" {
                                TaskState::Waiting
                            } else {
                                TaskState::Running
                            };
                        }
                    }
                }
                TaskState::Waiting if now >= task.since + gang_wait_ms => task.exit(TaskEndCause::Alone),
                TaskState::Running if facts.shape != "daemon" => {
                    let progress_s = task.progress_from + (now - task.since) as f64 / 1000.0;
                    if task.lost_mates_at.is_some_and(|at| now >= at) {
                        task.exit(TaskEndCause::Peers);
                    } else if progress_s >= facts.run_s {
                        facts.done.insert(task.index);
                        if facts.shape == "gang" {
                            facts.done.extend(0..facts.tasks);
                        }
                        task.exit(TaskEndCause::Done);
                    } else if facts.checkpoint_s > 0.0 {
                        facts.saved_s = facts
                            .saved_s
                            .max((progress_s / facts.checkpoint_s).floor() * facts.checkpoint_s);
                    }
                }
                TaskState::Saving if task.stop_at.is_some_and(|at| now >= at) => {
                    facts.saved_s = facts.saved_s.max(task.progress_from);
                    task.saved = true;
                    task.exit(TaskEndCause::Stopped);
                }
                _ => (),
            }
            changed |= task.state != before;
        }
        if changed {
            self.changed(now);
        }
        arrived
    }

    /// Images come nearer, once for all tasks that wait for them; a fetch that nobody waits for
    /// any more is given up.
    fn fetch(&mut self, jobs: &BTreeMap<String, ObservedJob>, now: u64) {
        let mut wanted: BTreeMap<&str, (f64, u64)> = BTreeMap::new();
        for task in self.tasks.iter().filter(|task| task.state == TaskState::Fetching) {
            let Some(facts) = jobs.get(&task.job) else {
                continue;
            };
            if self.images.iter().all(|(name, _)| *name != facts.image) {
                let (_, since) = wanted.entry(&facts.image).or_insert((facts.image_gb, task.since));
                *since = task.since.min(*since);
            }
        }
        self.fetching
            .retain(|image, _| wanted.contains_key(image.as_str()));
        let shared = if self.shares_rate {
            self.fetching.len().max(1)
        } else {
            1
        };
        let passed_ms = (now - std::mem::replace(&mut self.stepped, now)) as f64;
        for left in self.fetching.values_mut() {
            *left -= passed_ms / shared as f64;
        }
        for (image, (gb, since)) in wanted {
            if !self.fetching.contains_key(image) {
                let left = (gb * 1000.0).floor() - (now - since) as f64;
                self.begun += 1;
                self.fetching.insert(image.to_owned(), left);
            }
        }
    }

    pub fn warn(&mut self, taken_at: u64, now: u64) {
        self.notice_at = Some(taken_at);
        self.changed(now);
    }
}

/// Notes an image as the latest used, and forgets the oldest beyond the cache.
fn touch(images: &mut Vec<(String, f64)>, image: &str, gb: f64, cache_gb: f64) {
    images.retain(|(name, _)| name != image);
    images.push((image.to_owned(), gb));
    while images.len() > 1 && images.iter().map(|(_, gb)| gb).sum::<f64>() > cache_gb {
        images.remove(0);
    }
}

impl Task {
    pub fn exit(&mut self, why: TaskEndCause) {
        self.state = TaskState::Exited;
        self.why = Some(why);
    }
}
