//! Reconciliation of the state that workers report with the state of jobs and tasks.

use super::{LeaderTerm, Superseded, buffered_heartbeats};
use crate::allocations::{Change, CommandBatch, Machine};
use crate::constants::{
    FAILING_JOB_BACKOFF_MS, FAILING_JOB_MAX_DOUBLINGS, FULL_MACHINE_BACKOFF_MS, SECOND_MS,
};
use crate::io::{Io, RequestId};
use crate::model::{MachineId, TaskId, Timestamp};
use crate::protocol::{Heartbeat, HeartbeatResponse, Shape, TaskEndCause};
use crate::scheduling::placement::{self, is_faulty};
use indigopath_accounting::LossCause;
use std::sync::Arc;

/// The accounting cause of lost work, if an attempt that ended in this way loses its work.
fn loss_cause(cause: TaskEndCause) -> Option<LossCause> {
    match cause {
        TaskEndCause::Stopped => Some(LossCause::Stopped),
        TaskEndCause::Peers | TaskEndCause::Alone => Some(LossCause::Gang),
        TaskEndCause::Error | TaskEndCause::Other => Some(LossCause::Failed),
        TaskEndCause::Done | TaskEndCause::NoRoom | TaskEndCause::Busy | TaskEndCause::Unknown => None,
    }
}

impl LeaderTerm {
    /// Handles a heartbeat and replies with commands.
    ///
    /// # Errors
    ///
    /// [`Superseded`] if the worker has seen a newer leader.
    pub fn handle_heartbeat(
        &mut self,
        request: RequestId,
        heartbeat: &Heartbeat,
        lease_live: bool,
        io: &mut Io,
    ) -> Result<(), Superseded> {
        if heartbeat.token > self.token() {
            return Err(Superseded);
        }
        let id = MachineId(Arc::from(heartbeat.machine.as_str()));
        if self.machines.is_recently_released(&id) {
            // Sent before the release; no worker waits for the reply.
            io.reply_error(request, 503, "this machine is gone");
            return Ok(());
        }
        if !self.recovery.is_complete() {
            self.buffered_heartbeats.push(request, heartbeat, io);
            return Ok(());
        }
        if !self.watermark.permits_lease_renewal(io.now) {
            // A cancellation that another controller has confirmed may be unknown here, so the worker's
            // lease must expire in time. Otherwise cancelled tasks outlive their bound when the state
            // service rejects this leader alone and then fails, or fails during recovery.
            buffered_heartbeats::reject(request, io);
            return Ok(());
        }
        let is_newest = self.reconcile_heartbeat(heartbeat, io);
        let token = self.token();
        let starts = self.start_permission(lease_live);
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.record_answered_report(heartbeat, io.now);
            // A heartbeat that is older than the response to a direct command still renews the lease, so
            // its reply carries stop commands. Its contents must have no other effect.
            let CommandBatch { commands, starts } = if is_newest {
                machine.due_commands(
                    Some((heartbeat.agent_epoch, heartbeat.seq)),
                    starts,
                    token,
                    io.now,
                )
            } else {
                machine.stop_commands(io.now)
            };
            let response = HeartbeatResponse { token, commands };
            match starts {
                Some(starts) => io.reply_until(request, 200, &response, starts.send_before),
                None => io.reply(request, 200, &response),
            }
        }
        Ok(())
    }

    /// Reconciles a heartbeat. Returns false if newer state of the machine is known already.
    pub(super) fn reconcile_heartbeat(&mut self, heartbeat: &Heartbeat, io: &mut Io) -> bool {
        self.reconcile(heartbeat, Machine::apply_heartbeat, io)
    }

    /// Reconciles the state in the response to a direct command or probe.
    pub(super) fn reconcile_response(&mut self, report: &Heartbeat, io: &mut Io) {
        self.reconcile(report, Machine::apply_response, io);
    }

    /// Adds the machine if it is unknown, updates it and applies the changes of its attempts. Returns false
    /// if the report is outdated.
    fn reconcile(
        &mut self,
        report: &Heartbeat,
        apply_report: fn(&mut Machine, &Heartbeat, u64, Timestamp) -> Option<Vec<Change>>,
        io: &mut Io,
    ) -> bool {
        let id = MachineId(Arc::from(report.machine.as_str()));
        let machine = self.machines.get_or_adopt(&id, || {
            log::info!("machine adopted machine={id} from=heartbeat");
            let mut machine = Machine::new(
                id.clone(),
                report.machine_type.clone(),
                report.zone.clone(),
                report.spot,
                io.now,
            );
            machine.unconfirmed = true;
            machine
        });
        let launched_at = machine.launched_at.filter(|_| machine.last_heard_at.is_none());
        let usability_before = machine.usability();
        let Some(changes) = apply_report(machine, report, self.first_token, io.now) else {
            return false;
        };
        // Most heartbeats bring no change and need no scheduling pass.
        self.scheduler
            .request_pass_if(!changes.is_empty() || machine.usability() != usability_before);
        if let Some(launched_at) = launched_at {
            if machine.attempts.is_empty() {
                machine.images = indigopath_image_locality::Cache::empty();
            }
            // Only machines that this leader launched show how long a boot takes: the start of the
            // others is unknown.
            let took_s = (io.now - launched_at) as f64 / SECOND_MS as f64;
            self.autoscaler.record_boot_time(&machine.machine_type, took_s);
            log::info!("machine ready machine={id} boot_s={took_s:.1}");
        }
        self.apply_changes(&id, changes, io);
        self.commands.mark_due(id);
        true
    }

    /// Applies changes of attempts on a machine to their jobs.
    pub(super) fn apply_changes(&mut self, machine_id: &MachineId, changes: Vec<Change>, io: &mut Io) {
        let shard = self.machines.get(machine_id).and_then(|machine| machine.shard);
        self.apply_changes_from_shard(machine_id, shard, changes, io);
    }

    /// Like [`Self::apply_changes`], for a machine that may have been removed: `shard` held its record.
    pub(super) fn apply_changes_from_shard(
        &mut self,
        machine_id: &MachineId,
        shard: Option<u32>,
        changes: Vec<Change>,
        io: &mut Io,
    ) {
        for change in changes {
            match change {
                Change::Running(task, number) => self.on_task_running(machine_id, &task, number, io.now),
                Change::Exited {
                    task,
                    number,
                    cause: TaskEndCause::Done,
                    elapsed_s,
                } => {
                    log::debug!(
                        "task done job={} machine={machine_id} task={} ran_s={elapsed_s:.1}",
                        task.job,
                        task.index
                    );
                    self.record_run_end(&task, number, None, io.now);
                    self.on_task_completed(machine_id, &task, number, io.now);
                }
                Change::Exited {
                    task, number, cause, ..
                } => {
                    self.record_run_end(&task, number, loss_cause(cause), io.now);
                    self.on_task_failed(machine_id, &task, number, cause, io);
                }
                Change::Released(task) => self.requeue(&task, io.now),
                Change::Unrecorded(task) => self.adopt_unrecorded(machine_id, task),
                Change::Fetched { gb, took_ms, others } => {
                    if let Some(machine) = self.machines.get(machine_id) {
                        self.image_locality
                            .on_image_fetched(&machine.machine_type, gb, took_ms, others);
                    }
                }
                Change::Freed {
                    team,
                    counts,
                    lingers,
                } => {
                    if lingers {
                        self.on_units_released(shard, &team, &counts, io.now);
                    }
                    if let Some(shard) = shard {
                        self.writer.on_units_freed(shard);
                    }
                }
                Change::Lost { task, number } => self.on_task_lost(&task, number, io.now),
            }
        }
    }

    /// Handles an attempt that has started to run.
    fn on_task_running(&mut self, machine_id: &MachineId, task: &TaskId, number: u64, now: Timestamp) {
        log::debug!(
            "task running job={} machine={machine_id} task={}",
            task.job,
            task.index
        );
        self.record_run_start(task, number, now);
        self.clear_machine_errors(machine_id);
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(gang) = job.gang.as_mut().filter(|gang| gang.number == number)
        {
            gang.started = true;
            job.has_started = true;
        }
    }

    /// Adopts an attempt that is not in the records: takes the counted resources it holds from its job.
    fn adopt_unrecorded(&mut self, machine_id: &MachineId, task: TaskId) {
        if let Some(job) = self.jobs.get(&task.job)
            && let Some(machine) = self.machines.get_mut(machine_id)
        {
            let unrecorded = machine.attempts.iter_mut().filter(|attempt| attempt.task == task);
            for attempt in unrecorded {
                attempt.counts = job.spec.counts.clone();
            }
        }
        self.machines.add_location(task.job, machine_id.clone());
    }

    /// Handles an attempt that was lost with its machine.
    fn on_task_lost(&mut self, task: &TaskId, number: u64, now: Timestamp) {
        self.record_run_end(task, number, Some(LossCause::Machine), now);
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(gang) = job.gang.as_mut().filter(|gang| gang.number == number)
        {
            gang.record_lost_task();
        }
        self.requeue(task, now);
    }

    /// Clears the failures counted against a machine, as a task has started on it, and marks the jobs that
    /// failed there as failing on a good machine.
    fn clear_machine_errors(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        for job in std::mem::take(&mut machine.failed_jobs) {
            if let Some(job) = self.jobs.get_mut(&job) {
                job.failed_on_healthy_machine = true;
            }
        }
    }

    /// Records a completed task as done.
    fn on_task_completed(&mut self, machine_id: &MachineId, task: &TaskId, number: u64, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            self.mark_end_processed(machine_id, task, number);
            return;
        };
        job.failure_rounds = 0;
        job.failed_on.clear();
        job.failed_on_healthy_machine = false;
        let completed: Vec<u32> = match job.spec.shape {
            // Tasks of a gang complete together.
            Shape::Gang => (0..job.spec.tasks).collect(),
            Shape::Array => vec![task.index],
            // A replica runs until it is cancelled; one that ends is replaced.
            Shape::Service => {
                self.mark_end_processed(machine_id, task, number);
                self.requeue(task, now);
                return;
            }
        };
        for index in completed {
            job.waiting.remove(&index);
            // A task that a former leader has recorded as done is recorded once more, as only a written
            // record lets the worker forget the attempt. Otherwise the machine is never empty and cannot
            // be released while other tasks of the job run.
            if job.done.insert(index) || index == task.index && !job.is_complete() {
                self.writer.add_completed_task(job, index, now);
            }
        }
        if job.is_complete() {
            self.writer.jobs_to_finish.insert(task.job.clone());
        }
    }

    /// Marks the end of an attempt as processed without a record, so that its worker may forget it.
    fn mark_end_processed(&mut self, machine_id: &MachineId, task: &TaskId, number: u64) {
        if let Some(attempt) = self
            .machines
            .get_mut(machine_id)
            .and_then(|machine| machine.attempt_mut(task, number))
        {
            attempt.end_processed = true;
        }
    }

    /// Handles an attempt that ended without completing its task.
    fn on_task_failed(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        number: u64,
        cause: TaskEndCause,
        io: &mut Io,
    ) {
        self.mark_end_processed(id, task, number);
        let now = io.now;
        let mut fetching = false;
        if cause == TaskEndCause::Alone {
            self.machines.for_each_attempt(&task.job, |_, attempt| {
                fetching |= attempt.number == number && attempt.stop.is_none() && attempt.is_fetching();
            });
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            if let Some(gang) = job.gang.as_mut().filter(|gang| gang.number == number) {
                gang.record_ended_task(cause, fetching);
            }
            match cause {
                TaskEndCause::Error | TaskEndCause::Unknown | TaskEndCause::Other => {
                    log::info!(
                        "task failed job={} machine={id} task={} cause={cause:?}",
                        task.job,
                        task.index
                    );
                    job.failed_on.insert(id.clone());
                    job.failed_at = now;
                    if job.fails_on_many_machines() && now >= job.backoff_until {
                        let backoff_ms =
                            FAILING_JOB_BACKOFF_MS << job.failure_rounds.min(FAILING_JOB_MAX_DOUBLINGS);
                        job.backoff_until = now + backoff_ms;
                        job.failure_rounds += 1;
                    }
                    // A failure counts against the machine even if the job has failed on several
                    // machines, until another task starts on one of them. In a wave of faulty machines
                    // each job fails on several; blaming only the job would leave all of them
                    // undetected.
                    if cause == TaskEndCause::Error
                        && !job.failed_on_healthy_machine
                        && let Some(machine) = self.machines.get_mut(id)
                    {
                        machine.failed_jobs.insert(task.job.clone());
                        if is_faulty(machine) {
                            log::info!("machine cordoned machine={id}: tasks of different jobs failed there");
                        }
                    }
                }
                TaskEndCause::NoRoom | TaskEndCause::Busy => {
                    if let Some(machine) = self.machines.get_mut(id) {
                        machine.full_until = now + FULL_MACHINE_BACKOFF_MS;
                    }
                }
                _ => (),
            }
        }
        self.requeue(task, now);
    }

    /// Queues the task again, unless it is done or may still run somewhere. Stops the rest of a broken gang.
    pub(super) fn requeue(&mut self, task: &TaskId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let mut still_running = false;
        let mut any_left = false;
        let broken = job.gang.is_some_and(|gang| gang.broken);
        let grace_s = placement::grace_s(&job.spec);
        self.machines.for_each_attempt(&task.job, |machine_id, attempt| {
            any_left |= attempt.may_be_running();
            still_running |= attempt.task.index == task.index && attempt.may_be_running();
            if broken && !attempt.exited() && attempt.stop.is_none() {
                self.commands.request_stop(attempt, machine_id, grace_s, now);
            }
        });
        if !still_running && !job.done.contains(&task.index) && task.index < job.spec.tasks {
            job.waiting.insert(task.index);
        }
        if !any_left {
            job.gang = None;
        }
    }
}
