//! Scheduling passes: when one is due, and what becomes of its plan.

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

/// When passes are due, and what the last one left.
#[derive(Debug)]
pub(super) struct Scheduler {
    first_token: u64,
    /// Something was placed in this term.
    any_placed: bool,
    attempts: u64,
    /// How much of the late work may go first.
    aging_credit: AgingCredit,
    /// When the next pass is due though nothing has changed.
    regular_at: Timestamp,
    last_at: Timestamp,
    /// Something has changed that the next pass may use.
    requested: bool,
    /// Who found no machine in the last pass, in the order of service.
    unplaced: Vec<Unplaced>,
}

impl Scheduler {
    /// The scheduler of a term that began with this token.
    pub(super) fn new(first_token: u64) -> Scheduler {
        Scheduler {
            first_token,
            any_placed: false,
            attempts: 0,
            aging_credit: AgingCredit::default(),
            regular_at: 0,
            last_at: 0,
            requested: true,
            unplaced: Vec::new(),
        }
    }

    /// Something has changed that calls for a pass.
    pub(super) fn request_pass(&mut self) {
        self.requested = true;
    }

    /// Something may have changed that calls for a pass.
    pub(super) fn request_pass_if(&mut self, changed: bool) {
        self.requested |= changed;
    }

    /// Who found no machine in the last pass, in the order of service.
    pub(super) fn unplaced(&self) -> &[Unplaced] {
        &self.unplaced
    }

    /// Whether a pass over so many machines is due.
    pub(super) fn is_due(&self, machines: usize, now: Timestamp) -> bool {
        let due_at = if self.requested {
            self.last_at + pass_spacing_ms(machines)
        } else {
            self.regular_at
        };
        now >= due_at
    }

    fn begin_pass(&mut self, now: Timestamp) {
        self.requested = false;
        self.last_at = now;
        self.regular_at = now + PASS_INTERVAL_MS;
    }

    /// A number for a new attempt, higher than those of all former terms.
    fn attempt_number(&mut self) -> u64 {
        self.attempts += 1;
        (self.first_token << ATTEMPT_BITS) + self.attempts
    }
}

impl LeaderTerm {
    /// Plans where waiting tasks start and what is stopped, and orders it.
    pub(super) fn pass(&mut self, types: &MachineTypes, settings: &Settings, io: &mut Io) {
        self.scheduler.begin_pass(io.now);
        self.update_lingers(io.now);
        self.update_image_locality(types, settings, io.now);
        let site = ClusterSnapshot {
            deployment: &settings.deployment,
            types,
            jobs: self.jobs.as_map(),
            machines: self.machines.as_map(),
            task_locations: self.machines.task_locations(),
            spot_loss: self.autoscaler.spot_losses().rate(),
            units: self.counted_units(&settings.operator.counts),
            starved: &self.forecast.satisfaction().starved,
            aging_credit: self.scheduler.aging_credit,
            image_statistics: &self.weights,
            protection: &self.shifts.protection,
            now: io.now,
        };
        let plan = placement::plan(&site);
        self.scheduler.unplaced = plan.unplaced;
        self.shifts.record_plan(plan.spare_capacity, plan.unplaced_spare);
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
                            .placed(job, &settings.deployment, io.now);
                    }
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
            self.scheduler.request_pass();
        }
        self.jobs.count_when_due(self.machines.values(), io.now);
        self.machines.note_idle(io.now);
    }

    fn start(&mut self, task: TaskId, id: &MachineId, types: &MachineTypes, now: Timestamp) {
        let fresh = self.scheduler.attempt_number();
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
        if !std::mem::replace(&mut self.scheduler.any_placed, true) {
            let took_s = now.saturating_sub(self.started) as f64 / SECOND_MS as f64;
            log::info!("first task placed after_s={took_s:.2}");
        }
        job.waiting.remove(&task.index);
        self.forecast.satisfaction_mut().starved.placed(&job.spec);
        let counts = job.spec.counts.clone();
        let age_ms = job.age_ms(now);
        let cached = machine.has_image(&job.spec.image);
        log::debug!(
            "task placed job={} machine={id} image={} task={}{}",
            task.job,
            job.spec.image,
            task.index,
            if cached { "" } else { " image_cached=false" }
        );
        let cache_gb = types
            .get(&machine.machine_type)
            .map_or(0.0, |machine_type| machine_type.cache_gb);
        machine.images.sized(cache_gb);
        machine.images.asked(&job.spec.image, job.spec.image_gb);
        if job.spec.shape == Shape::Service {
            self.weights.on_replica_started(&job.spec.image, cached, now);
        }
        let job_id = task.job.clone();
        machine.attempts.push(Attempt {
            image_gb: job.spec.image_gb,
            estimate_s: job.spec.estimate_s,
            counts: counts.clone(),
            fetches: !cached,
            ..Attempt::planned(
                task,
                number,
                Arc::from(job.spec.team.as_str()),
                job.spec.needs,
                job.spec.image.clone(),
                now,
            )
        });
        self.writer.record(machine);
        self.machines.add_location(job_id, id.clone());
        if !counts.is_empty() {
            self.record_unit_wait(&counts, age_ms);
        }
    }

    /// Stops a task on a machine, to make room or because its job is held.
    pub(super) fn stop(&mut self, task: &TaskId, id: &MachineId, grace_s: f64, now: Timestamp) {
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
            log::debug!("preempted job={} machine={id} task={}", task.job, task.index);
            self.commands.request_stop(attempt, id, grace_s, now);
        }
    }

    /// Starts that were cancelled before anything was sent never were.
    pub(super) fn drop_cancelled_starts(&mut self, io: &mut Io) {
        if !self.commands.take_start_cancelled() {
            return;
        }
        let mut dropped = Vec::new();
        let mut freed_in = BTreeSet::new();
        for machine in self.machines.values_mut() {
            machine.attempts.retain(|attempt| {
                let cancelled = attempt.never_sent() && attempt.stop.is_some();
                if cancelled {
                    dropped.push(attempt.task.clone());
                    if !attempt.counts.is_empty() {
                        freed_in.extend(machine.shard);
                    }
                }
                !cancelled
            });
        }
        for shard in freed_in {
            self.writer.units_freed(shard);
        }
        for task in dropped {
            self.requeue(&task, io.now);
            self.scheduler.request_pass();
        }
    }
}

/// Shortest time between two scheduling passes: a pass looks at every machine, so a
/// larger fleet gathers more changes for each.
fn pass_spacing_ms(machines: usize) -> u64 {
    PASS_SPACING_MS + PASS_SPACING_PER_MACHINE_US * machines as u64 / 1_000
}

#[cfg(test)]
mod tests;
