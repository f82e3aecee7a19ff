//! Scheduling passes: when a pass is due, and how its plan is carried out.

use super::LeaderTerm;
use crate::allocations::Attempt;
use crate::constants::{
    ATTEMPT_BITS, PASS_INTERVAL_MS, PASS_SPACING_MS, PASS_SPACING_PER_MACHINE_US, SECOND_MS, STARTS_PER_PASS,
};
use crate::io::Io;
use crate::model::{MachineId, TaskId, Timestamp};
use crate::protocol::Shape;
use crate::scheduling::gangs::GangAttempt;
use crate::scheduling::placement::{self, AgingCredit, ClusterSnapshot, Decision, MachineTypes, Unplaced};
use crate::settings::Settings;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The schedule of passes, and the tasks that the last one could not place.
#[derive(Debug)]
pub(super) struct Scheduler {
    first_token: u64,
    /// Whether any task has been placed in this term.
    any_placed: bool,
    attempt_count: u64,
    /// Credit for placing overdue work first.
    aging_credit: AgingCredit,
    /// When the next pass is due even if nothing has changed.
    next_regular_at: Timestamp,
    last_pass_at: Timestamp,
    /// Whether a change requires a pass.
    requested: bool,
    /// Tasks that could not be placed in the last pass, in scheduling order.
    unplaced: Vec<Unplaced>,
}

impl Scheduler {
    /// Creates the scheduler of a term that started with this token.
    pub(super) fn new(first_token: u64) -> Scheduler {
        Scheduler {
            first_token,
            any_placed: false,
            attempt_count: 0,
            aging_credit: AgingCredit::default(),
            next_regular_at: 0,
            last_pass_at: 0,
            requested: true,
            unplaced: Vec::new(),
        }
    }

    /// Requests a pass because of a change.
    pub(super) fn request_pass(&mut self) {
        self.requested = true;
    }

    /// Requests a pass if `changed` is true.
    pub(super) fn request_pass_if(&mut self, changed: bool) {
        self.requested |= changed;
    }

    /// Tasks that could not be placed in the last pass, in scheduling order.
    pub(super) fn unplaced(&self) -> &[Unplaced] {
        &self.unplaced
    }

    /// Whether a pass over this number of machines is due.
    pub(super) fn is_due(&self, machines: usize, now: Timestamp) -> bool {
        let due_at = if self.requested {
            self.last_pass_at + pass_spacing_ms(machines)
        } else {
            self.next_regular_at
        };
        now >= due_at
    }

    fn begin_pass(&mut self, now: Timestamp) {
        self.requested = false;
        self.last_pass_at = now;
        self.next_regular_at = now + PASS_INTERVAL_MS;
    }

    /// Returns the number of a new attempt, higher than all numbers of former terms.
    fn next_attempt_number(&mut self) -> u64 {
        self.attempt_count += 1;
        (self.first_token << ATTEMPT_BITS) + self.attempt_count
    }
}

impl LeaderTerm {
    /// Runs a scheduling pass: plans which waiting tasks start and which running tasks stop, and requests
    /// both.
    pub(super) fn run_pass(&mut self, types: &MachineTypes, settings: &Settings, io: &mut Io) {
        self.scheduler.begin_pass(io.now);
        self.update_lingers(io.now);
        self.update_image_locality(types, settings, io.now);
        let snapshot = ClusterSnapshot {
            deployment: &settings.deployment,
            types,
            jobs: self.jobs.as_map(),
            machines: self.machines.as_map(),
            task_locations: self.machines.task_locations(),
            spot_loss_rate: self.autoscaler.spot_losses().rate(),
            units: self.counted_units(&settings.operator.counted_resources),
            starved: &self.forecast.satisfaction().starved,
            aging_credit: self.scheduler.aging_credit,
            image_statistics: &self.image_locality,
            protection: &self.protection_windows.protection,
            now: io.now,
        };
        let plan = placement::plan(&snapshot);
        self.scheduler.unplaced = plan.unplaced;
        self.protection_windows
            .record_plan(plan.spare_capacity, plan.unplaced_spare);
        self.record_unit_reservations(
            plan.unsatisfied,
            plan.reserved_units,
            plan.units_reserved_for,
            io.now,
        );
        let mut starts = 0;
        for decision in plan.decisions {
            match decision {
                Decision::Start { task, machine } => {
                    starts += 1;
                    if let Some(job) = self.jobs.get(&task.job) {
                        self.scheduler
                            .aging_credit
                            .record_placement(job, &settings.deployment, io.now);
                    }
                    self.start_task(task, &machine, types, io.now);
                }
                Decision::Stop {
                    task,
                    machine,
                    grace_s,
                } => self.stop_task(&task, &machine, grace_s, io.now),
            }
        }
        if starts >= STARTS_PER_PASS {
            self.scheduler.request_pass();
        }
        self.jobs.update_task_counts(self.machines.values(), io.now);
        self.machines.update_idle_since(io.now);
    }

    /// Places an attempt on a machine and queues its record.
    fn start_task(&mut self, task: TaskId, machine_id: &MachineId, types: &MachineTypes, now: Timestamp) {
        let new_number = self.scheduler.next_attempt_number();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let number = match job.spec.shape {
            Shape::Gang => job.gang.get_or_insert(GangAttempt::new(new_number)).number,
            Shape::Array | Shape::Service => new_number,
        };
        if !std::mem::replace(&mut self.scheduler.any_placed, true) {
            let took_s = now.saturating_sub(self.started) as f64 / SECOND_MS as f64;
            log::info!("first task placed after_s={took_s:.2}");
        }
        job.waiting.remove(&task.index);
        self.forecast
            .satisfaction_mut()
            .starved
            .record_placement(&job.spec);
        let counts = job.spec.counts.clone();
        let waited_ms = job.age_ms(now);
        let cached = machine.has_image(&job.spec.image);
        log::debug!(
            "task placed job={} machine={machine_id} image={} task={}{}",
            task.job,
            job.spec.image,
            task.index,
            if cached { "" } else { " image_cached=false" }
        );
        let cache_gb = types
            .get(&machine.machine_type)
            .map_or(0.0, |machine_type| machine_type.cache_gb);
        machine.images.set_cache_gb(cache_gb);
        machine.images.on_start_sent(&job.spec.image, job.spec.image_gb);
        if job.spec.shape == Shape::Service {
            self.image_locality
                .on_replica_started(&job.spec.image, cached, now);
        }
        let job_id = task.job.clone();
        machine.attempts.push(Attempt {
            image_gb: job.spec.image_gb,
            estimate_s: job.spec.estimate_s,
            counts: counts.clone(),
            needs_image_fetch: !cached,
            ..Attempt::planned(
                task,
                number,
                Arc::from(job.spec.team.as_str()),
                job.spec.needs,
                job.spec.image.clone(),
                now,
            )
        });
        self.writer.queue_starts(machine);
        self.machines.add_location(job_id, machine_id.clone());
        if !counts.is_empty() {
            self.record_unit_wait(&counts, waited_ms);
        }
    }

    /// Stops a task on a machine, to preempt it or because its job is held.
    pub(super) fn stop_task(&mut self, task: &TaskId, machine_id: &MachineId, grace_s: f64, now: Timestamp) {
        if let Some(gang) = self.jobs.get_mut(&task.job).and_then(|job| job.gang.as_mut()) {
            gang.broken = true;
        }
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let running = machine
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.task == *task && !attempt.exited() && attempt.stop.is_none());
        for attempt in running {
            log::debug!(
                "preempted job={} machine={machine_id} task={}",
                task.job,
                task.index
            );
            self.commands.request_stop(attempt, machine_id, grace_s, now);
        }
    }

    /// Drops starts that were cancelled before they were sent, and requeues their tasks.
    pub(super) fn drop_cancelled_starts(&mut self, io: &mut Io) {
        if !self.commands.take_start_cancelled() {
            return;
        }
        let mut dropped = Vec::new();
        let mut shards_with_freed_units = BTreeSet::new();
        for machine in self.machines.values_mut() {
            machine.attempts.retain(|attempt| {
                let cancelled = attempt.never_sent() && attempt.stop.is_some();
                if cancelled {
                    dropped.push(attempt.task.clone());
                    if !attempt.counts.is_empty() {
                        shards_with_freed_units.extend(machine.shard);
                    }
                }
                !cancelled
            });
        }
        for shard in shards_with_freed_units {
            self.writer.on_units_freed(shard);
        }
        for task in dropped {
            self.requeue(&task, io.now);
            self.scheduler.request_pass();
        }
    }
}

/// Minimum time between two scheduling passes, in ms. A pass visits every machine, so a larger fleet batches
/// more changes into each pass.
fn pass_spacing_ms(machines: usize) -> u64 {
    PASS_SPACING_MS + PASS_SPACING_PER_MACHINE_US * machines as u64 / 1_000
}

#[cfg(test)]
mod tests;
