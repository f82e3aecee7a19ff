//! Reconciliation: what machines say in heartbeats and answers, and what follows for jobs and tasks.

use super::{LeaderTerm, Superseded, buffered_heartbeats};
use crate::allocations::{Change, Machine};
use crate::constants::{
    FAILING_JOB_BACKOFF_MS, FAILING_JOB_MAX_DOUBLINGS, FULL_MACHINE_BACKOFF_MS, SECOND_MS,
};
use crate::io::{Io, RequestId};
use crate::model::{MachineId, TaskId, Timestamp};
use crate::protocol::{Heartbeat, HeartbeatResponse, Shape, TaskEndCause};
use crate::scheduling::placement::{self, faulty};
use indigopath_accounting::LossCause;
use std::sync::Arc;

/// Why the work of an attempt is lost, by the cause of its end.
fn lost_by(why: TaskEndCause) -> Option<LossCause> {
    match why {
        TaskEndCause::Stopped => Some(LossCause::Stopped),
        TaskEndCause::Peers | TaskEndCause::Alone => Some(LossCause::Gang),
        TaskEndCause::Error | TaskEndCause::Other => Some(LossCause::Failed),
        TaskEndCause::Done | TaskEndCause::NoRoom | TaskEndCause::Busy | TaskEndCause::Unknown => None,
    }
}

impl LeaderTerm {
    /// A worker's heartbeat. `Err` if it has seen a newer leader.
    pub fn report(
        &mut self,
        request: RequestId,
        report: &Heartbeat,
        certain: bool,
        io: &mut Io,
    ) -> Result<(), Superseded> {
        if report.token > self.token() {
            return Err(Superseded);
        }
        let id = MachineId(Arc::from(report.machine.as_str()));
        if self.machines.is_gone(&id) {
            // Sent before it went; nobody waits for the answer.
            io.reply_error(request, 503, "this machine is gone");
            return Ok(());
        }
        if !self.recovery.is_complete() {
            self.buffered_heartbeats.keep(request, report, io);
            return Ok(());
        }
        if !self.watermark.permits_lease_renewal(io.now) {
            // A cancellation that another node confirmed may be unknown here: the worker's lease must
            // run out in time. Without this, an outage of the state service after this leader alone
            // was refused, or amid its reading, kept cancelled tasks alive beyond their bound.
            buffered_heartbeats::turn_away(request, io);
            return Ok(());
        }
        let newest = self.absorb(report, io);
        let token = self.token();
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.note_answered(report, io.now);
            // A heartbeat superseded by the answer to a direct command still renews
            // the lease, so it carries stops; nothing may follow from what it says.
            let orders = if newest {
                machine.orders(Some((report.agent_epoch, report.seq)), certain, token, io.now)
            } else {
                machine.stops(io.now)
            };
            io.reply(
                request,
                200,
                &HeartbeatResponse {
                    token,
                    commands: orders,
                },
            );
        }
        Ok(())
    }

    /// Reconciles a heartbeat with the records; false if it is not the newest.
    pub(super) fn absorb(&mut self, report: &Heartbeat, io: &mut Io) -> bool {
        self.take(report, Machine::absorb, io)
    }

    /// Takes what a machine answered to a command or a question.
    pub(super) fn absorb_answer(&mut self, report: &Heartbeat, io: &mut Io) {
        self.take(report, Machine::absorb_answer, io);
    }

    fn take(
        &mut self,
        report: &Heartbeat,
        absorb: fn(&mut Machine, &Heartbeat, u64, Timestamp) -> Option<Vec<Change>>,
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
            machine.hearsay = true;
            machine
        });
        let rented_at = machine.rented_at.filter(|_| machine.heard.is_none());
        let before = machine.usability();
        let Some(changes) = absorb(machine, report, self.first_token, io.now) else {
            return false;
        };
        // Most heartbeats say nothing new, and call for no pass.
        self.scheduler
            .request_pass_if(!changes.is_empty() || machine.usability() != before);
        if let Some(rented_at) = rented_at {
            if machine.attempts.is_empty() {
                machine.images = indigopath_image_locality::Cache::empty();
            }
            // Only what this leader rented itself shows how long a boot takes:
            // machines found running have no start to count from.
            let took_s = (io.now - rented_at) as f64 / SECOND_MS as f64;
            self.autoscaler.learn_boot(&machine.machine_type, took_s);
            log::info!("machine ready machine={id} boot_s={took_s:.1}");
        }
        self.apply(&id, changes, io);
        self.commands.mark_due(id);
        true
    }

    /// Follows the changes of attempts on a machine.
    pub(super) fn apply(&mut self, machine: &MachineId, changes: Vec<Change>, io: &mut Io) {
        let shard = self.machines.get(machine).and_then(|machine| machine.shard);
        self.apply_from(machine, shard, changes, io);
    }

    /// As `apply`, for a machine that may be gone: its record had this number.
    pub(super) fn apply_from(
        &mut self,
        machine: &MachineId,
        shard: Option<u32>,
        changes: Vec<Change>,
        io: &mut Io,
    ) {
        for change in changes {
            match change {
                Change::Running(task, number) => self.task_runs(machine, &task, number, io.now),
                Change::Exited {
                    task,
                    number,
                    why: TaskEndCause::Done,
                    ran_s,
                } => {
                    log::debug!(
                        "task done job={} machine={machine} task={} ran_s={ran_s:.1}",
                        task.job,
                        task.index
                    );
                    self.record_run_end(&task, number, None, io.now);
                    self.task_done(machine, &task, number, io.now);
                }
                Change::Exited {
                    task, number, why, ..
                } => {
                    self.record_run_end(&task, number, lost_by(why), io.now);
                    self.task_ended(machine, &task, number, why, io);
                }
                Change::Released(task) => self.requeue(&task, io.now),
                Change::Stranger(task) => self.adopt_unrecorded(machine, task),
                Change::Fetched { gb, took_ms, others } => {
                    if let Some(machine) = self.machines.get(machine) {
                        self.weights
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
                        self.writer.units_freed(shard);
                    }
                }
                Change::Vanished { task, number } => self.task_vanished(&task, number, io.now),
            }
        }
    }

    /// An attempt has begun to run.
    fn task_runs(&mut self, machine: &MachineId, task: &TaskId, number: u64, now: Timestamp) {
        log::debug!(
            "task running job={} machine={machine} task={}",
            task.job,
            task.index
        );
        self.record_run_start(task, number, now);
        self.starts_well(machine);
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(gang) = job.gang.as_mut().filter(|gang| gang.number == number)
        {
            gang.started = true;
            job.began = true;
        }
    }

    /// A machine runs an attempt that no record names: what it holds, its job may say.
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

    /// An attempt is gone with its machine.
    fn task_vanished(&mut self, task: &TaskId, number: u64, now: Timestamp) {
        self.record_run_end(task, number, Some(LossCause::Machine), now);
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(gang) = job.gang.as_mut().filter(|gang| gang.number == number)
        {
            gang.lost();
        }
        self.requeue(task, now);
    }

    /// Work runs there: the machine is sound, and the jobs that failed on it are not.
    fn starts_well(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        for job in std::mem::take(&mut machine.errors) {
            if let Some(job) = self.jobs.get_mut(&job) {
                job.failed_on_good = true;
            }
        }
    }

    /// A task has completed: it is recorded as done.
    fn task_done(&mut self, machine: &MachineId, task: &TaskId, number: u64, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            self.close(machine, task, number);
            return;
        };
        job.failures = 0;
        job.failed_on.clear();
        job.failed_on_good = false;
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
            // One that was done before, as a former leader's record says, is recorded once more:
            // only that lets its worker forget it. Else its machine was never empty, and could not
            // go back while its job's other tasks ran.
            if job.done.insert(index) || index == task.index && !job.complete() {
                self.writer.done(job, index, now);
            }
        }
        if job.complete() {
            self.writer.finishing.insert(task.job.clone());
        }
    }

    /// The end of an attempt needs no record: its worker may forget it.
    fn close(&mut self, machine: &MachineId, task: &TaskId, number: u64) {
        if let Some(attempt) = self
            .machines
            .get_mut(machine)
            .and_then(|machine| machine.attempt_mut(task, number))
        {
            attempt.closed = true;
        }
    }

    /// An attempt has ended without completing its task.
    fn task_ended(&mut self, id: &MachineId, task: &TaskId, number: u64, why: TaskEndCause, io: &mut Io) {
        self.close(id, task, number);
        let now = io.now;
        let mut fetching = false;
        if why == TaskEndCause::Alone {
            self.machines.for_each_attempt(&task.job, |_, attempt| {
                fetching |= attempt.number == number && attempt.stop.is_none() && attempt.fetching();
            });
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            if let Some(gang) = job.gang.as_mut().filter(|gang| gang.number == number) {
                gang.ended(why, fetching);
            }
            match why {
                TaskEndCause::Error | TaskEndCause::Unknown | TaskEndCause::Other => {
                    log::info!(
                        "task failed job={} machine={id} task={} cause={why:?}",
                        task.job,
                        task.index
                    );
                    job.failed_on.insert(id.clone());
                    job.failed_at = now;
                    if job.to_blame() && now >= job.held_until {
                        let wait = FAILING_JOB_BACKOFF_MS << job.failures.min(FAILING_JOB_MAX_DOUBLINGS);
                        job.held_until = now + wait;
                        job.failures += 1;
                    }
                    // A job that fails on several machines speaks against them all the
                    // same, until one of them starts other work: in a wave of faulty
                    // machines each job meets several, and had it been blamed alone, none
                    // of them would ever have been found.
                    if why == TaskEndCause::Error
                        && !job.failed_on_good
                        && let Some(machine) = self.machines.get_mut(id)
                    {
                        machine.errors.insert(task.job.clone());
                        if faulty(machine) {
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

    /// The task waits again, unless it is done or may still be somewhere.
    pub(super) fn requeue(&mut self, task: &TaskId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let mut elsewhere = false;
        let mut left = false;
        let broken = job.gang.is_some_and(|gang| gang.broken);
        let grace_s = placement::grace_s(&job.spec);
        self.machines.for_each_attempt(&task.job, |host, attempt| {
            left |= attempt.may_be_there();
            elsewhere |= attempt.task.index == task.index && attempt.may_be_there();
            if broken && !attempt.exited() && attempt.stop.is_none() {
                self.commands.request_stop(attempt, host, grace_s, now);
            }
        });
        if !elsewhere && !job.done.contains(&task.index) && task.index < job.spec.tasks {
            job.waiting.insert(task.index);
        }
        if !left {
            job.gang = None;
        }
    }
}
