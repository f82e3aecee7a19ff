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
pub struct WorkerTimings {
    pub heartbeat_interval_ms: u64,
    pub lease_ms: u64,
    pub gang_wait_ms: u64,
    /// Shortest time between two reports.
    pub min_heartbeat_gap_ms: u64,
    /// Wait before the next node is tried.
    pub retry_ms: u64,
}

impl Default for WorkerTimings {
    fn default() -> Self {
        WorkerTimings {
            heartbeat_interval_ms: 3_000,
            lease_ms: 30_000,
            gang_wait_ms: 30_000,
            min_heartbeat_gap_ms: 500,
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
    pub end_cause: Option<TaskEndCause>,
    pub checkpoint_saved: bool,
    pub state_since: u64,
    pub base_progress_s: f64,
    /// When it will have saved, and when its gang was told to stop.
    pub save_complete_at: Option<u64>,
    pub gang_exit_at: Option<u64>,
}

impl Task {
    /// On its machine by the rules' reckoning: from having its image until it exits.
    pub fn is_on_machine(&self) -> bool {
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
    pub timings: WorkerTimings,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub agent_epoch: u64,
    pub seq: u64,
    pub token: u64,
    pub tasks: Vec<Task>,
    /// Images that it holds, with their size in GB, the latest used last.
    cached_images: Vec<(String, f64)>,
    /// How much of them it holds at most, in GB.
    pub cache_gb: f64,
    /// Images on their way, with what is left of each, in ms of a fetch alone.
    fetch_remaining_ms: BTreeMap<String, f64>,
    /// Fetches at one time share the machine's rate.
    pub fetches_share_rate: bool,
    /// Fetches begun since somebody last counted.
    pub fetches_started: u32,
    last_step_at: u64,
    pub node: usize,
    pub heartbeat_in_flight: Option<(u64, u64)>,
    /// When a higher token last counted as a change.
    token_reported_at: Option<u64>,
    pub next_heartbeat_at: u64,
    pub last_heartbeat_at: u64,
    /// Sending time of the last answered report, or the agent epoch's beginning.
    pub lease_renewed_at: u64,
    pub hung_until: u64,
    pub reclaim_at: Option<u64>,
    pub faulty: bool,
    /// Until then it refuses whatever is to start, as if it were full.
    pub refuses_starts_until: u64,
    /// Replicas that ran and were told to stop, by job, since this was last emptied.
    pub stopped_replicas: Vec<String>,
    heartbeats_sent: u64,
}

impl Worker {
    pub fn new(id: &str, machine_type: &str, zone: &str, spot: bool, now: u64) -> Worker {
        Worker {
            id: id.to_owned(),
            addr: id.to_owned(),
            timings: WorkerTimings::default(),
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            agent_epoch: 1,
            seq: 0,
            token: 0,
            tasks: Vec::new(),
            cached_images: Vec::new(),
            cache_gb: f64::INFINITY,
            fetch_remaining_ms: BTreeMap::new(),
            fetches_share_rate: false,
            fetches_started: 0,
            last_step_at: now,
            node: 0,
            heartbeat_in_flight: None,
            token_reported_at: None,
            next_heartbeat_at: now,
            last_heartbeat_at: 0,
            lease_renewed_at: now,
            hung_until: 0,
            reclaim_at: None,
            faulty: false,
            refuses_starts_until: 0,
            stopped_replicas: Vec::new(),
            heartbeats_sent: 0,
        }
    }

    pub fn heartbeat(&mut self, now: u64) -> Vec<u8> {
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
            reclaim_notice_s: self.reclaim_at.map(|at| at.saturating_sub(now) as f64 / 1000.0),
            tasks: self
                .tasks
                .iter()
                .map(|task| TaskStatus {
                    task: task.name(),
                    attempt: task.attempt,
                    state: task.state,
                    cause: task.end_cause,
                    checkpoint_saved: task.checkpoint_saved.then_some(true),
                })
                .collect(),
        };
        serde_json::to_vec(&report).unwrap()
    }

    /// The next report, if one is due: its number and body.
    pub fn due_heartbeat(&mut self, now: u64) -> Option<(u64, Vec<u8>)> {
        if self.heartbeat_in_flight.is_some() || now < self.next_heartbeat_at || now < self.hung_until {
            return None;
        }
        self.heartbeats_sent += 1;
        self.heartbeat_in_flight = Some((self.heartbeats_sent, now));
        self.last_heartbeat_at = now;
        self.next_heartbeat_at = now + self.timings.heartbeat_interval_ms;
        Some((self.heartbeats_sent, self.heartbeat(now)))
    }

    fn advance_heartbeat(&mut self, now: u64) {
        self.next_heartbeat_at = self
            .next_heartbeat_at
            .min((self.last_heartbeat_at + self.timings.min_heartbeat_gap_ms).max(now));
    }

    /// Within half a lease a higher token counts as a change at most once.
    fn observe_token(&mut self, token: u64, now: u64) {
        if token > self.token {
            self.token = token;
            if self
                .token_reported_at
                .is_none_or(|at| now >= at + self.timings.lease_ms / 2)
            {
                self.token_reported_at = Some(now);
                self.advance_heartbeat(now);
            }
        }
    }

    pub fn handle_heartbeat_response(
        &mut self,
        number: u64,
        agent_epoch: u64,
        outcome: Option<(u16, Vec<u8>)>,
        nodes: usize,
        jobs: &BTreeMap<String, ObservedJob>,
        now: u64,
    ) {
        let Some((_, sent)) = self.heartbeat_in_flight.filter(|(current, _)| *current == number) else {
            return;
        };
        self.heartbeat_in_flight = None;
        match outcome {
            Some((200, body)) => {
                let answer: HeartbeatResponse = serde_json::from_slice(&body).unwrap();
                if answer.token < self.token || agent_epoch != self.agent_epoch {
                    return;
                }
                self.observe_token(answer.token, now);
                self.lease_renewed_at = sent;
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
                        self.next_heartbeat_at = now + 100;
                    }
                    _ => self.try_next_node(nodes, now),
                }
            }
            _ => self.try_next_node(nodes, now),
        }
    }

    fn try_next_node(&mut self, nodes: usize, now: u64) {
        self.node = (self.node + 1) % nodes;
        self.next_heartbeat_at = now + self.timings.retry_ms;
    }

    /// A direct command.
    pub fn handle_direct_commands(
        &mut self,
        body: &[u8],
        jobs: &BTreeMap<String, ObservedJob>,
        now: u64,
    ) -> (u16, Vec<u8>) {
        let orders: DirectCommands = serde_json::from_slice(body).unwrap();
        if orders.token < self.token || orders.agent_epoch != self.agent_epoch {
            return (409, self.heartbeat(now));
        }
        self.observe_token(orders.token, now);
        self.execute(&orders.commands, jobs, now);
        (200, self.heartbeat(now))
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
                    let observed = &jobs[job];
                    let save_ms = (observed.checkpoint_save_s * 1000.0) as u64;
                    if task.state == TaskState::Running && observed.shape == "daemon" {
                        self.stopped_replicas.push(job.to_owned());
                    }
                    match task.state {
                        TaskState::Running if observed.checkpoint_interval_s > 0.0 && grace_ms >= save_ms => {
                            task.state = TaskState::Saving;
                            task.base_progress_s += (now - task.state_since) as f64 / 1000.0;
                            task.save_complete_at = Some(now + save_ms);
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
            self.advance_heartbeat(now);
        }
    }

    fn start(&mut self, job: &str, index: u32, attempt: u64, jobs: &BTreeMap<String, ObservedJob>, now: u64) {
        let mut task = Task {
            job: job.to_owned(),
            index,
            attempt,
            state: TaskState::Fetching,
            end_cause: None,
            checkpoint_saved: false,
            state_since: now,
            base_progress_s: 0.0,
            save_complete_at: None,
            gang_exit_at: None,
        };
        if !jobs.contains_key(job) {
            task.exit(TaskEndCause::Unknown);
        } else if self
            .tasks
            .iter()
            .any(|other| other.name() == task.name() && other.state != TaskState::Exited)
        {
            task.exit(TaskEndCause::Busy);
        } else if now < self.refuses_starts_until {
            task.exit(TaskEndCause::NoRoom);
        }
        self.tasks.push(task);
    }

    /// Lets time pass on the machine. Returns tasks that came to be on it.
    pub fn step(&mut self, jobs: &mut BTreeMap<String, ObservedJob>, now: u64) -> Vec<Task> {
        if now < self.hung_until {
            return Vec::new();
        }
        if now > self.lease_renewed_at + self.timings.lease_ms {
            self.tasks.clear();
            self.agent_epoch += 1;
            self.lease_renewed_at = now;
            self.advance_heartbeat(now);
        }
        if let Some((_, sent)) = self.heartbeat_in_flight
            && now >= sent + 4_000
        {
            self.heartbeat_in_flight = None;
            self.try_next_node(3, now);
        }
        self.advance_fetches(jobs, now);
        let gang_wait_ms = self.timings.gang_wait_ms;
        let mut arrived = Vec::new();
        let mut changed = false;
        for task in &mut self.tasks {
            let observed = jobs.get_mut(&task.job);
            let Some(observed) = observed else { continue };
            let before = task.state;
            match task.state {
                TaskState::Fetching => {
                    let ready = self.cached_images.iter().any(|(name, _)| *name == observed.image)
                        || self
                            .fetch_remaining_ms
                            .get(&observed.image)
                            .is_some_and(|left| *left <= 0.0);
                    if ready {
                        self.fetch_remaining_ms.remove(&observed.image);
                        cache_image(
                            &mut self.cached_images,
                            &observed.image,
                            observed.image_gb,
                            self.cache_gb,
                        );
                        arrived.push(task.clone());
                        if observed.completed_tasks.contains(&task.index) {
                            task.exit(TaskEndCause::Done);
                        } else if self.faulty || observed.always_fails {
                            task.exit(TaskEndCause::Error);
                        } else {
                            task.state_since = now;
                            task.base_progress_s = observed.checkpointed_s;
                            task.state = if observed.shape == "gang" {
                                TaskState::Waiting
                            } else {
                                TaskState::Running
                            };
                        }
                    }
                }
                TaskState::Waiting if now >= task.state_since + gang_wait_ms => {
                    task.exit(TaskEndCause::Alone)
                }
                TaskState::Running if observed.shape != "daemon" => {
                    let progress_s = task.base_progress_s + (now - task.state_since) as f64 / 1000.0;
                    if task.gang_exit_at.is_some_and(|at| now >= at) {
                        task.exit(TaskEndCause::Peers);
                    } else if progress_s >= observed.run_s {
                        observed.completed_tasks.insert(task.index);
                        if observed.shape == "gang" {
                            observed.completed_tasks.extend(0..observed.tasks);
                        }
                        task.exit(TaskEndCause::Done);
                    } else if observed.checkpoint_interval_s > 0.0 {
                        observed.checkpointed_s = observed.checkpointed_s.max(
                            (progress_s / observed.checkpoint_interval_s).floor()
                                * observed.checkpoint_interval_s,
                        );
                    }
                }
                TaskState::Saving if task.save_complete_at.is_some_and(|at| now >= at) => {
                    observed.checkpointed_s = observed.checkpointed_s.max(task.base_progress_s);
                    task.checkpoint_saved = true;
                    task.exit(TaskEndCause::Stopped);
                }
                _ => (),
            }
            changed |= task.state != before;
        }
        if changed {
            self.advance_heartbeat(now);
        }
        arrived
    }

    /// Images come nearer, once for all tasks that wait for them; a fetch that nobody waits for
    /// any more is given up.
    fn advance_fetches(&mut self, jobs: &BTreeMap<String, ObservedJob>, now: u64) {
        let mut wanted: BTreeMap<&str, (f64, u64)> = BTreeMap::new();
        for task in self.tasks.iter().filter(|task| task.state == TaskState::Fetching) {
            let Some(observed) = jobs.get(&task.job) else {
                continue;
            };
            if self.cached_images.iter().all(|(name, _)| *name != observed.image) {
                let (_, since) = wanted
                    .entry(&observed.image)
                    .or_insert((observed.image_gb, task.state_since));
                *since = task.state_since.min(*since);
            }
        }
        self.fetch_remaining_ms
            .retain(|image, _| wanted.contains_key(image.as_str()));
        let shared = if self.fetches_share_rate {
            self.fetch_remaining_ms.len().max(1)
        } else {
            1
        };
        let passed_ms = (now - std::mem::replace(&mut self.last_step_at, now)) as f64;
        for left in self.fetch_remaining_ms.values_mut() {
            *left -= passed_ms / shared as f64;
        }
        for (image, (gb, since)) in wanted {
            if !self.fetch_remaining_ms.contains_key(image) {
                let left = (gb * 1000.0).floor() - (now - since) as f64;
                self.fetches_started += 1;
                self.fetch_remaining_ms.insert(image.to_owned(), left);
            }
        }
    }

    pub fn give_reclaim_notice(&mut self, taken_at: u64, now: u64) {
        self.reclaim_at = Some(taken_at);
        self.advance_heartbeat(now);
    }
}

/// Notes an image as the latest used, and forgets the oldest beyond the cache.
fn cache_image(images: &mut Vec<(String, f64)>, image: &str, gb: f64, cache_gb: f64) {
    images.retain(|(name, _)| name != image);
    images.push((image.to_owned(), gb));
    while images.len() > 1 && images.iter().map(|(_, gb)| gb).sum::<f64>() > cache_gb {
        images.remove(0);
    }
}

impl Task {
    pub fn exit(&mut self, why: TaskEndCause) {
        self.state = TaskState::Exited;
        self.end_cause = Some(why);
    }
}
