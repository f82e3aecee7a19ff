//! A model of a worker that follows its published protocol: agent epochs, leases, tokens, image
//! fetches and gangs.

use crate::simulation::ObservedJob;
use indigopath_controller::protocol::{
    CommandKind, DirectCommands, Heartbeat, HeartbeatResponse, TaskEndCause, TaskState, TaskStatus,
    WorkerCommand,
};
use serde_json::Value;
use std::collections::BTreeMap;

/// Time after which the members of a gang notice a lost member and exit, in ms.
pub const GANG_PEER_MS: u64 = 5_000;

/// Time limits of workers from the platform's settings, in ms.
#[derive(Debug, Clone, Copy)]
pub struct WorkerTimings {
    pub heartbeat_interval_ms: u64,
    pub lease_ms: u64,
    pub gang_wait_ms: u64,
    /// Shortest time between two heartbeats.
    pub min_heartbeat_gap_ms: u64,
    /// Delay before the next node is tried.
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

/// A task on a worker.
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
    /// When its checkpoint will be saved.
    pub save_complete_at: Option<u64>,
    /// When it exits because its gang lost a member.
    pub gang_exit_at: Option<u64>,
}

impl Task {
    /// Whether the task counts as being on its machine: from the end of its image fetch until it
    /// exits.
    pub fn is_on_machine(&self) -> bool {
        !matches!(self.state, TaskState::Exited | TaskState::Fetching)
    }

    /// The task's name, `JOB/INDEX`.
    pub fn name(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }
}

/// A worker on a machine, with its tasks and image cache.
pub struct Worker {
    pub id: String,
    /// Address for direct commands.
    pub addr: String,
    pub timings: WorkerTimings,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub agent_epoch: u64,
    pub seq: u64,
    pub token: u64,
    pub tasks: Vec<Task>,
    /// Cached images with their size in GB, the most recently used last.
    cached_images: Vec<(String, f64)>,
    /// Capacity of the image cache, in GB.
    pub cache_gb: f64,
    /// Images being fetched, with the remaining time of each at full bandwidth, in ms.
    fetch_remaining_ms: BTreeMap<String, f64>,
    /// Concurrent fetches share the machine's bandwidth.
    pub fetches_share_rate: bool,
    /// Fetches started since the counter was last reset.
    pub fetches_started: u32,
    last_step_at: u64,
    pub node: usize,
    pub heartbeat_in_flight: Option<(u64, u64)>,
    /// When a higher token last triggered a heartbeat.
    token_reported_at: Option<u64>,
    pub next_heartbeat_at: u64,
    pub last_heartbeat_at: u64,
    /// When the last answered heartbeat was sent, or the agent epoch began.
    pub lease_renewed_at: u64,
    pub hung_until: u64,
    pub reclaim_at: Option<u64>,
    pub faulty: bool,
    /// Until then it refuses every start, as if it were full.
    pub refuses_starts_until: u64,
    /// Jobs of running replicas that were told to stop, since this was last cleared.
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

    /// Builds the body of a heartbeat.
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

    /// The next heartbeat, if one is due: its number and body.
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

    /// Brings the next heartbeat forward after a change.
    fn advance_heartbeat(&mut self, now: u64) {
        self.next_heartbeat_at = self
            .next_heartbeat_at
            .min((self.last_heartbeat_at + self.timings.min_heartbeat_gap_ms).max(now));
    }

    /// Takes over a higher token; it triggers a heartbeat at most once in half a lease.
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

    /// Handles the response to a heartbeat, or its absence; stale responses are ignored.
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

    /// Sends the next heartbeat to the next node.
    fn try_next_node(&mut self, nodes: usize, now: u64) {
        self.node = (self.node + 1) % nodes;
        self.next_heartbeat_at = now + self.timings.retry_ms;
    }

    /// Handles a request with direct commands.
    pub fn handle_direct_commands(
        &mut self,
        body: &[u8],
        jobs: &BTreeMap<String, ObservedJob>,
        now: u64,
    ) -> (u16, Vec<u8>) {
        let request: DirectCommands = serde_json::from_slice(body).unwrap();
        if request.token < self.token || request.agent_epoch != self.agent_epoch {
            return (409, self.heartbeat(now));
        }
        self.observe_token(request.token, now);
        self.execute(&request.commands, jobs, now);
        (200, self.heartbeat(now))
    }

    fn execute(&mut self, commands: &[WorkerCommand], jobs: &BTreeMap<String, ObservedJob>, now: u64) {
        for command in commands {
            let (job, index) = command.task.rsplit_once('/').unwrap();
            let index: u32 = index.parse().unwrap();
            let known = self
                .tasks
                .iter()
                .position(|task| task.job == job && task.index == index && task.attempt == command.attempt);
            match (command.kind, known) {
                (CommandKind::Start, None) => self.start(job, index, command.attempt, jobs, now),
                (CommandKind::Stop, Some(at)) => {
                    let grace_ms = (command.grace_s.unwrap_or(0.0) * 1000.0) as u64;
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
        if !commands.is_empty() {
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

    /// Advances the machine to this time. Returns the tasks whose images have arrived.
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

    /// Advances image fetches, each shared by all tasks that wait for the image; a fetch that no
    /// task waits for any more is abandoned.
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

    /// Announces that the cloud will reclaim the machine.
    pub fn give_reclaim_notice(&mut self, taken_at: u64, now: u64) {
        self.reclaim_at = Some(taken_at);
        self.advance_heartbeat(now);
    }
}

/// Marks an image as most recently used and evicts the least recently used ones beyond the cache's
/// capacity.
fn cache_image(images: &mut Vec<(String, f64)>, image: &str, gb: f64, cache_gb: f64) {
    images.retain(|(name, _)| name != image);
    images.push((image.to_owned(), gb));
    while images.len() > 1 && images.iter().map(|(_, gb)| gb).sum::<f64>() > cache_gb {
        images.remove(0);
    }
}

impl Task {
    /// Ends the task.
    pub fn exit(&mut self, why: TaskEndCause) {
        self.state = TaskState::Exited;
        self.end_cause = Some(why);
    }
}
