//! Combinations of faults of machines, changes of the leader and cancellations: machines that reach
//! no controller, heartbeats kept for the next leader, cancellations of jobs that run or are about
//! to complete, and starts after a cancellation.

use crate::simulation::{Call, Event, Fault, NODES, Simulation, UserRequest};
use indigopath_controller::io::{Destination, Outcome};
use indigopath_controller::node::Command;
use indigopath_controller::protocol::{CommandKind, HeartbeatResponse, TaskState, WorkerCommand};
use std::collections::{BTreeMap, BTreeSet};

/// Period over which users cancel running jobs, in ms.
const CANCEL_WINDOW_MS: u64 = 200;
/// Remaining run time from which a job counts as long-running, in s.
const LONG_REMAINING_S: f64 = 30.0;
/// Most machines that hang while their jobs are cancelled.
const MAX_HUNG_MACHINES: usize = 8;
/// A cancellation near a job's completion comes up to this many ms before or after it.
const AROUND_COMPLETION_MS: f64 = 60.0;

/// What the checks of fault combinations remember.
#[derive(Default)]
pub(crate) struct FaultCombinations {
    /// Heartbeats kept for the next leader, and their delay after it starts, in ms.
    kept_heartbeats: Vec<(Command, u64)>,
    /// The last leader and its incarnation.
    last_leader: Option<(usize, u32)>,
    /// Number of leader terms that began.
    pub(crate) terms: u32,
    /// Which incarnation of which node knows which jobs to have ended.
    known_ended: BTreeSet<(usize, u32, String)>,
    /// Tasks that started after their users had been told of the cancellation.
    pub(crate) starts_after_cancel: u32,
    /// Start commands that were sent after it, and the longest time after it, in ms.
    pub(crate) commands_after_cancel: u32,
    pub(crate) latest_command_ms: u64,
    near_completion: BTreeSet<String>,
}

fn started_jobs(commands: &[WorkerCommand]) -> impl Iterator<Item = &str> {
    let starts = commands
        .iter()
        .filter(|command| command.kind == CommandKind::Start);
    starts.filter_map(|command| Some(command.task.rsplit_once('/')?.0))
}

impl Simulation {
    /// Selects the machines that a fault affects: a named one, a random share, or a zone.
    pub(crate) fn affected_machines(
        &mut self,
        named: Option<String>,
        keyed: &BTreeMap<&str, &str>,
        share: f64,
    ) -> (BTreeSet<String>, Option<String>) {
        let mut machines: BTreeSet<String> = named.into_iter().collect();
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        machines.extend(ids.into_iter().filter(|_| self.draw() < share));
        (machines, keyed.get("zone").map(|zone| (*zone).to_owned()))
    }

    /// Whether an active fault drops a machine's heartbeat.
    pub(crate) fn drops_heartbeat(&self, event: &Event) -> bool {
        let Event::Heartbeat { worker: id, .. } = event else {
            return false;
        };
        self.active_faults().any(|fault| match fault {
            Fault::DropHeartbeats { machines, zone } => {
                let worker = self.workers.get(id);
                let in_zone = worker.is_some_and(|worker| Some(&worker.zone) == zone.as_ref());
                in_zone || machines.contains(id)
            }
            _ => false,
        })
    }

    /// Keeps a copy of an arriving heartbeat for the next leader, if a fault says so.
    pub(crate) fn keep_heartbeat(&mut self, command: &Command) {
        let kept = self.active_faults().find_map(|fault| match fault {
            Fault::HeartbeatsForNextLeader { share, after_ms } => Some((*share, *after_ms)),
            _ => None,
        });
        if let Some((share, after_ms)) = kept
            && self.draw() < share
        {
            self.affected_messages += 1;
            self.fault_combinations
                .kept_heartbeats
                .push((command.clone(), after_ms));
        }
    }

    /// Delivers the kept heartbeats to every node when a new leader starts.
    pub(crate) fn step_fault_combinations(&mut self) {
        let leader = self
            .leader()
            .map(|leader| (leader, self.nodes[leader].incarnation));
        let before = std::mem::replace(&mut self.fault_combinations.last_leader, leader);
        if leader.is_some() && leader != before {
            self.fault_combinations.terms += 1;
            for (command, after_ms) in std::mem::take(&mut self.fault_combinations.kept_heartbeats) {
                for to in 0..NODES {
                    let command = command.clone();
                    self.schedule(after_ms, Event::Duplicate { to, command });
                }
            }
        }
        self.cancel_completing_jobs();
    }

    /// Selects running jobs with a long remaining run time for cancellation: for each, the delay in
    /// ms, the job, and one of its machines.
    pub(crate) fn long_running(&self, count: usize) -> Vec<(u64, String, String)> {
        let mut jobs: BTreeMap<&str, &str> = BTreeMap::new();
        for (worker, task) in self.tasks_on_machines() {
            let observed = &self.jobs[&task.job];
            let ran_s = task.base_progress_s + (self.now - task.state_since) as f64 / 1000.0;
            let long = observed.shape == "daemon" || observed.run_s >= ran_s + LONG_REMAINING_S;
            if task.state == TaskState::Running && long && observed.accepted && !observed.cancel_requested {
                jobs.insert(&task.job, &worker.id);
            }
        }
        let chosen = jobs.into_iter().take(count).enumerate();
        chosen
            .map(|(at, (job, machine))| {
                let after_ms = CANCEL_WINDOW_MS * at as u64 / count as u64;
                (after_ms, job.to_owned(), machine.to_owned())
            })
            .collect()
    }

    /// Cancels running jobs, each at one node; some of their machines hang at the same time.
    pub(crate) fn cancel_long_running(&mut self, count: usize, hang_ms: u64) -> Result<(), String> {
        let chosen = self.long_running(count);
        if chosen.is_empty() {
            return Err("no running job has a long remaining run time".to_owned());
        }
        for (at, (after_ms, job, machine)) in chosen.into_iter().enumerate() {
            if let Some(worker) = self.workers.get_mut(&machine).filter(|_| at < MAX_HUNG_MACHINES) {
                worker.hung_until = worker.hung_until.max(self.now + hang_ms);
            }
            self.cancel_job_after(&job, after_ms);
        }
        Ok(())
    }

    fn cancel_job_after(&mut self, job: &str, after_ms: u64) {
        let now = self.now;
        if let Some(observed) = self.jobs.get_mut(job) {
            observed.request_cancel(now + after_ms);
        }
        self.user_turn += 1;
        let (node, kind) = (self.user_turn % NODES, UserRequest::Cancel);
        let job = job.to_owned();
        self.schedule(after_ms, Event::User { node, job, kind });
    }

    /// Cancels a share of the jobs that are about to complete, some ms before or after.
    fn cancel_completing_jobs(&mut self) {
        let share = self.active_faults().find_map(|fault| match fault {
            Fault::CancelNearCompletion { share } => Some(*share),
            _ => None,
        });
        let Some(share) = share else { return };
        let mut left: BTreeMap<String, f64> = BTreeMap::new();
        for (_, task) in self.tasks_on_machines() {
            let observed = &self.jobs[&task.job];
            if observed.shape != "daemon" && task.state == TaskState::Running {
                let ran_s = task.base_progress_s + (self.now - task.state_since) as f64 / 1000.0;
                let last = left.entry(task.job.clone()).or_default();
                *last = last.max((observed.run_s - ran_s) * 1000.0);
            }
        }
        left.retain(|job, ms| {
            let observed = &self.jobs[job];
            let running =
                |(_, task): &(_, &crate::worker::Task)| task.job == *job && task.state == TaskState::Running;
            let rest = observed.tasks as usize - observed.completed_tasks.len();
            *ms <= AROUND_COMPLETION_MS && self.tasks_on_machines().filter(running).count() == rest
        });
        for job in left.into_keys() {
            if !self.jobs[&job].cancel_requested
                && self.fault_combinations.near_completion.insert(job.clone())
                && self.draw() < share
            {
                self.affected_messages += 1;
                let after_ms = self.draw_ms((0.0, 2.0 * AROUND_COMPLETION_MS));
                self.cancel_job_after(&job, after_ms);
            }
        }
    }

    // ---- starts after a confirmed cancellation --------------------------------

    fn cancel_confirmed_at(&self, job: &str) -> Option<u64> {
        let observed = self.jobs.get(job)?;
        let confirmed_at = observed.cancel_confirmed_at?;
        (observed.reported_status.as_deref() == Some("cancelled")).then_some(confirmed_at)
    }

    /// Records which jobs a response to a node shows to have ended.
    pub(crate) fn record_ended_jobs(&mut self, node: usize, command: &Command) {
        let Command::Answer {
            outcome: Outcome::Answer { body, .. },
            ..
        } = command
        else {
            return;
        };
        let incarnation = self.nodes[node].incarnation;
        let text = String::from_utf8_lossy(body);
        for (at, key) in text.match_indices("\"Delete\":\"j/") {
            let job = text[at + key.len()..].split('"').next().unwrap_or_default();
            self.fault_combinations
                .known_ended
                .insert((node, incarnation, job.to_owned()));
        }
    }

    /// Records that a node that reported a cancellation to a user knows of it.
    pub(crate) fn record_confirmed_cancellation(&mut self, node: usize, job: &str, status: u16) {
        if status == 200 && self.cancel_confirmed_at(job).is_some() {
            let incarnation = self.nodes[node].incarnation;
            self.fault_combinations
                .known_ended
                .insert((node, incarnation, job.to_owned()));
        }
    }

    /// Checks commands that a node sends, in a heartbeat response or directly.
    pub(crate) fn check_outgoing_commands(&mut self, node: usize, body: &[u8]) {
        let text = String::from_utf8_lossy(body);
        if !text.contains("\"run\"") {
            return;
        }
        // A request with direct commands has these fields and more.
        let Ok(answer) = serde_json::from_str::<HeartbeatResponse>(&text) else {
            return;
        };
        let incarnation = self.nodes[node].incarnation;
        for job in started_jobs(&answer.commands) {
            let Some(confirmed_at) = self.cancel_confirmed_at(job) else {
                continue;
            };
            let after_ms = self.now - confirmed_at;
            self.fault_combinations.commands_after_cancel += 1;
            self.fault_combinations.latest_command_ms =
                self.fault_combinations.latest_command_ms.max(after_ms);
            let knows = self
                .fault_combinations
                .known_ended
                .contains(&(node, incarnation, job.to_owned()));
            // No task of the job may be started once its user was told, whatever its leader knows. Nodes that act
            // in the same step have no order.
            if knows || after_ms > 0 {
                let why = if knows {
                    "which knows"
                } else {
                    "which does not know"
                };
                self.violation(
                    "started_cancelled",
                    format!("{job} is started by n{node}, {why}, {after_ms} ms after"),
                );
            }
        }
    }

    /// Checks the commands in a node's call to a machine.
    pub(crate) fn check_outgoing_call(&mut self, call: &Call) {
        if matches!(call.to, Destination::Worker(_)) {
            self.check_outgoing_commands(call.node, &call.body);
        }
    }

    /// Counts a task that starts after its cancellation was reported.
    pub(crate) fn record_start_after_cancel(&mut self, job: &str) {
        self.fault_combinations.starts_after_cancel += u32::from(self.cancel_confirmed_at(job).is_some());
    }
}
