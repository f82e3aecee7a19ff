//! The preempt phase: chooses the running tasks whose stop loses the least work.

use super::pass::{OpenZones, Pass, PreemptionClass, TaskRequirements};
use super::{Decision, is_faulty};
use crate::allocations::Attempt;
use crate::constants::{FETCH_COST_WEIGHT, PREEMPTION_SEARCHES_PER_PASS, STOP_GRACE_EXTRA_S};
use crate::model::{Job, JobSpec, MachineId, Resources};
use crate::protocol::Shape;

/// Returns the grace period, in s, that lets a task of the job save its state.
pub fn grace_s(spec: &JobSpec) -> f64 {
    if spec.writes_checkpoints() {
        spec.save_s + STOP_GRACE_EXTRA_S
    } else {
        0.0
    }
}

/// Tasks of one machine that are to be preempted.
pub(super) struct Victims {
    /// Cost in s: the work that is lost, and the weighted fetch that follows.
    pub(super) total_cost_s: f64,
    /// Indexes of the victims among the machine's running tasks.
    running: Vec<usize>,
}

impl<'a> Pass<'a> {
    /// Whether any running work could be preempted for the job.
    pub(super) fn may_preempt(&self, job: &Job) -> bool {
        let has_lower_priority = self
            .lowest_priority
            .is_some_and(|lowest| lowest > job.spec.priority);
        let is_guaranteed = self.within_guarantee.contains(&job.spec.id);
        has_lower_priority
            || is_guaranteed
                && self
                    .cluster
                    .deployment
                    .teams
                    .iter()
                    .any(|team| team.name != job.spec.team && self.exceeds_guarantee(&team.name))
    }

    /// Finds capacity for one task among resources of tasks being stopped, or preempts work for it, and
    /// claims that capacity for the rest of the pass. With `max_cost_s`, considers only machines that have
    /// the job's image, and preempts at no higher cost.
    pub(super) fn preempt_for(
        &mut self,
        requirements: &TaskRequirements<'_>,
        zones: &OpenZones,
        max_cost_s: Option<f64>,
    ) -> bool {
        let job = requirements.job;
        let may_preempt = self.may_preempt(job);
        if !may_preempt && !self.any_stopping {
            return false;
        }
        let class = PreemptionClass {
            class: self.equivalence_class(requirements),
            priority: job.spec.priority,
            team: job.spec.team.clone(),
            within_guarantee: self.within_guarantee.contains(&job.spec.id),
        };
        if self.unpreemptable.contains(&class) || self.preemption_searches >= PREEMPTION_SEARCHES_PER_PASS {
            return false;
        }
        self.preemption_searches += 1;
        let needs = job.spec.needs;
        let candidates: Vec<usize> = (0..self.capacities.len())
            .filter(|machine_index| self.is_allowed(requirements, *machine_index, zones))
            .filter(|machine_index| max_cost_s.is_none() || self.has_image(requirements, *machine_index))
            .collect();
        if let Some(machine_index) = self.find_fit_after_stops(requirements, &candidates) {
            self.claim_stopping_resources(machine_index, needs);
            return true;
        }
        let cheapest = if may_preempt {
            self.cheapest_victims(requirements, &candidates, max_cost_s)
        } else {
            None
        };
        let Some((machine_index, victims)) = cheapest else {
            let is_general = !requirements.avoids_failed_machines && zones.iter().all(|open| *open);
            if max_cost_s.is_none() && is_general {
                self.unpreemptable.insert(class);
            }
            return false;
        };
        self.stop_victims(machine_index, victims);
        self.claim_stopping_resources(machine_index, needs);
        true
    }

    /// Returns the first of these machines on which a task fits once the tasks being stopped have ended.
    fn find_fit_after_stops(
        &self,
        requirements: &TaskRequirements<'_>,
        candidates: &[usize],
    ) -> Option<usize> {
        let needs = requirements.job.spec.needs;
        candidates.iter().copied().find(|machine_index| {
            let stopping_resources = self.capacities[*machine_index].stopping_resources;
            let mut free_soon = self.free_for(requirements, *machine_index);
            free_soon += stopping_resources;
            stopping_resources != Resources::default() && needs.fits_in(&free_soon)
        })
    }

    /// Returns the machine among these where preemption for a task is cheapest, with its victims.
    fn cheapest_victims(
        &mut self,
        requirements: &TaskRequirements<'_>,
        candidates: &[usize],
        max_cost_s: Option<f64>,
    ) -> Option<(usize, Victims)> {
        self.resolve_running_jobs();
        let mut best: Option<(usize, Victims)> = None;
        for machine_index in candidates.iter().copied() {
            if let Some(victims) = self.victims(requirements, machine_index)
                && max_cost_s.is_none_or(|max_s| victims.total_cost_s <= max_s)
                && best
                    .as_ref()
                    .is_none_or(|(_, best)| victims.total_cost_s < best.total_cost_s)
            {
                best = Some((machine_index, victims));
            }
        }
        best
    }

    /// Stops these tasks of a machine and counts their resources as being freed.
    pub(super) fn stop_victims(&mut self, machine_index: usize, victims: Victims) {
        for victim in victims.running {
            let running = &mut self.capacities[machine_index].running[victim];
            // Already stopping, because another task of its gang was preempted.
            if std::mem::replace(&mut running.stopping, true) {
                continue;
            }
            let attempt = running.attempt;
            let machine = self.capacities[machine_index].machine.id.clone();
            self.capacities[machine_index].stopping_resources += attempt.needs;
            self.any_stopping = true;
            self.stop(attempt, machine);
        }
    }

    /// Looks up the job of each running task, on the first call only.
    pub(super) fn resolve_running_jobs(&mut self) {
        if std::mem::replace(&mut self.running_jobs_resolved, true) {
            return;
        }
        for running in self
            .capacities
            .iter_mut()
            .flat_map(|capacity| &mut capacity.running)
        {
            running.job = self.cluster.jobs.get(&running.attempt.task.job);
        }
    }

    /// Claims resources of tasks that are being stopped on a machine.
    fn claim_stopping_resources(&mut self, machine_index: usize, needs: Resources) {
        let capacity = &mut self.capacities[machine_index];
        capacity.stopping_resources -= needs;
        // Any shortfall in `stopping_resources` is taken from `free`.
        for (stopping_resources, free) in [
            (&mut capacity.stopping_resources.cpus, &mut capacity.free.cpus),
            (&mut capacity.stopping_resources.gpus, &mut capacity.free.gpus),
            (
                &mut capacity.stopping_resources.memory_gb,
                &mut capacity.free.memory_gb,
            ),
        ] {
            if *stopping_resources < 0.0 {
                *free += *stopping_resources;
                *stopping_resources = 0.0;
            }
        }
    }

    /// Adds the stop of a running task to the plan; for a gang, the stops of all its tasks.
    pub(super) fn stop(&mut self, attempt: &Attempt, machine: MachineId) {
        let Some(job) = self.cluster.jobs.get(&attempt.task.job) else {
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
        // A gang must be stopped as a whole and gracefully, or its progress is lost.
        for capacity in &mut self.capacities {
            for running in capacity
                .running
                .iter_mut()
                .filter(|running| running.attempt.task.job == job.spec.id)
            {
                running.stopping = true;
                self.plan.decisions.push(Decision::Stop {
                    task: running.attempt.task.clone(),
                    machine: capacity.machine.id.clone(),
                    grace_s,
                });
            }
        }
    }

    /// Returns the cheapest tasks on a machine whose stop makes capacity for a task of the job.
    pub(super) fn victims(
        &self,
        requirements: &TaskRequirements<'_>,
        machine_index: usize,
    ) -> Option<Victims> {
        let job = requirements.job;
        let capacity = &self.capacities[machine_index];
        let mut victim_costs: Vec<(f64, usize)> = Vec::new();
        for (index, running) in capacity.running.iter().enumerate() {
            if running.stopping || running.attempt.exited() {
                continue;
            }
            let Some(victim) = running.job else {
                continue;
            };
            if self.is_preemptible_for(victim, job) {
                let lost_s = self.lost_work_s(running.attempt, victim);
                victim_costs.push((lost_s + self.protection_cost_s(requirements, victim), index));
            }
        }
        victim_costs.sort_by(|(left, _), (right, _)| left.total_cmp(right));
        let mut free = self.free_for(requirements, machine_index);
        let mut total_cost_s = 0.0;
        let mut running = Vec::new();
        for (cost_s, index) in victim_costs {
            if job.spec.needs.fits_in(&free) {
                break;
            }
            free += capacity.running[index].attempt.needs;
            total_cost_s += cost_s;
            running.push(index);
        }
        (job.spec.needs.fits_in(&free) && !running.is_empty()).then(|| Victims {
            total_cost_s: total_cost_s + self.fetch_s(requirements, machine_index) * FETCH_COST_WEIGHT,
            running,
        })
    }

    /// Whether the victim's tasks may be preempted for the job: its priority is lower, or its team borrows
    /// resources guaranteed to the job's team.
    fn is_preemptible_for(&self, victim: &Job, job: &Job) -> bool {
        // Starved work keeps what it has, whatever its priority: that is its minimum share.
        let has_lower_priority = victim.spec.priority > job.spec.priority
            && !self.cluster.starved.is_starved(&victim.spec)
            && !self.is_protected_from(job, victim);
        let is_borrowed = self.within_guarantee.contains(&job.spec.id)
            && victim.spec.priority >= job.spec.priority
            && victim.spec.team != job.spec.team
            // Otherwise two teams beyond their guarantees would repeatedly preempt each other's guaranteed
            // work.
            && !self.within_guarantee.contains(&victim.spec.id)
            && self.exceeds_guarantee(&victim.spec.team);
        has_lower_priority || is_borrowed
    }

    /// Whether the team uses more than its guarantee.
    pub(super) fn exceeds_guarantee(&self, team: &str) -> bool {
        let used = self.usage.of(team);
        self.team(team).is_some_and(|team| !team.guarantees(&used))
    }

    /// Returns the seconds of work lost by a stop.
    pub(super) fn lost_work_s(&self, attempt: &Attempt, job: &Job) -> f64 {
        if job.spec.writes_checkpoints() {
            job.spec.save_s + 1.0
        } else {
            attempt.elapsed_s(self.cluster.now) + 1.0
        }
    }

    /// Drains machines that the cloud is about to reclaim, and faulty ones: stops replicas, tasks that can
    /// save their state, and tasks that are not running yet, so that they start elsewhere. Other tasks may
    /// still finish in time.
    pub(super) fn drain_machines(&mut self) {
        let mut stops = Vec::new();
        for capacity in &self.capacities {
            if capacity.machine.reclaim_notice_until.is_none() && !is_faulty(capacity.machine) {
                continue;
            }
            for running in capacity
                .running
                .iter()
                .filter(|running| !running.stopping && !running.attempt.exited())
            {
                let Some(job) = self.cluster.jobs.get(&running.attempt.task.job) else {
                    continue;
                };
                let is_movable = job.spec.shape == Shape::Service
                    || job.spec.writes_checkpoints()
                    || running.attempt.running_since.is_none();
                if is_movable {
                    stops.push((running.attempt, capacity.machine.id.clone()));
                }
            }
        }
        for (attempt, machine) in stops {
            self.stop(attempt, machine);
        }
    }
}
