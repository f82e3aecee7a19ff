//! The preempt phase: which running work gives way, and where least is lost by it.

use super::pass::{OpenZones, Pass, PreemptionClass, TaskRequirements};
use super::{Decision, faulty};
use crate::allocations::Attempt;
use crate::constants::{FETCH_COST_WEIGHT, PREEMPTION_SEARCHES_PER_PASS, STOP_GRACE_EXTRA_S};
use crate::model::{Job, JobSpec, MachineId, Resources};
use crate::protocol::Shape;

/// Grace that lets a task save.
pub fn grace_s(spec: &JobSpec) -> f64 {
    if spec.saves() {
        spec.save_s + STOP_GRACE_EXTRA_S
    } else {
        0.0
    }
}

/// Tasks of one machine that are to be stopped.
pub(super) struct Victims {
    /// Seconds of work lost, and of the fetch that follows.
    pub(super) cost: f64,
    /// Their positions among the machine's running tasks.
    running: Vec<usize>,
}

impl<'a> Pass<'a> {
    /// Whether anything runs that could ever give way to the job.
    pub(super) fn may_displace(&self, job: &Job) -> bool {
        let lower = self
            .lowest_priority
            .is_some_and(|lowest| lowest > job.spec.priority);
        let guaranteed = self.within_guarantee.contains(&job.spec.id);
        lower
            || guaranteed
                && self
                    .cluster
                    .deployment
                    .teams
                    .iter()
                    .any(|team| team.name != job.spec.team && self.exceeds_guarantee(&team.name))
    }

    /// Finds capacity for one task among what is leaving, or makes some by stopping work that may be
    /// stopped for it, and claims it for the rest of the pass. With `most_lost_s`, only on machines that
    /// have the job's image, and at no higher cost.
    pub(super) fn preempt_for(
        &mut self,
        requirements: &TaskRequirements<'_>,
        zones: &OpenZones,
        most_lost_s: Option<f64>,
    ) -> bool {
        let job = requirements.job;
        let displaces = self.may_displace(job);
        if !displaces && !self.any_leaving {
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
            .filter(|at| self.allowed(requirements, *at, zones))
            .filter(|at| most_lost_s.is_none() || self.has_image(requirements, *at))
            .collect();
        if let Some(at) = self.find_leaving(requirements, &candidates) {
            self.claim(at, needs);
            return true;
        }
        let cheapest = if displaces {
            self.cheapest_victims(requirements, &candidates, most_lost_s)
        } else {
            None
        };
        let Some((at, victims)) = cheapest else {
            let is_general = !requirements.avoids_failed_machines && zones.iter().all(|open| *open);
            if most_lost_s.is_none() && is_general {
                self.unpreemptable.insert(class);
            }
            return false;
        };
        self.stop_victims(at, victims);
        self.claim(at, needs);
        true
    }

    /// The first of these machines where a task fits once the work that is being stopped has left.
    fn find_leaving(&self, requirements: &TaskRequirements<'_>, candidates: &[usize]) -> Option<usize> {
        let needs = requirements.job.spec.needs;
        candidates.iter().copied().find(|at| {
            let leaving = self.capacities[*at].leaving;
            let mut soon = self.free_for(requirements, *at);
            soon += leaving;
            leaving != Resources::default() && needs.fits_in(&soon)
        })
    }

    /// The machine of these where least is lost by stopping work for a task, and what is stopped there.
    fn cheapest_victims(
        &mut self,
        requirements: &TaskRequirements<'_>,
        candidates: &[usize],
        most_lost_s: Option<f64>,
    ) -> Option<(usize, Victims)> {
        self.resolve_running_jobs();
        let mut best: Option<(usize, Victims)> = None;
        for at in candidates.iter().copied() {
            if let Some(victims) = self.victims(requirements, at)
                && most_lost_s.is_none_or(|most| victims.cost <= most)
                && best.as_ref().is_none_or(|(_, best)| victims.cost < best.cost)
            {
                best = Some((at, victims));
            }
        }
        best
    }

    /// Stops these tasks of a machine: their resources are leaving.
    pub(super) fn stop_victims(&mut self, at: usize, victims: Victims) {
        for victim in victims.running {
            let running = &mut self.capacities[at].running[victim];
            // A gang is stopped whole, perhaps for another machine's sake.
            if std::mem::replace(&mut running.stopping, true) {
                continue;
            }
            let attempt = running.attempt;
            let machine = self.capacities[at].machine.id.clone();
            self.capacities[at].leaving += attempt.needs;
            self.any_leaving = true;
            self.stop(attempt, machine);
        }
    }

    /// Looks up the job of everything that runs, the first time that it matters.
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

    /// Takes resources out of what is leaving a machine.
    fn claim(&mut self, at: usize, needs: Resources) {
        let capacity = &mut self.capacities[at];
        capacity.leaving -= needs;
        // What `leaving` lacked was free: it is claimed too.
        for (leaving, free) in [
            (&mut capacity.leaving.cpus, &mut capacity.free.cpus),
            (&mut capacity.leaving.gpus, &mut capacity.free.gpus),
            (&mut capacity.leaving.memory_gb, &mut capacity.free.memory_gb),
        ] {
            if *leaving < 0.0 {
                *free += *leaving;
                *leaving = 0.0;
            }
        }
    }

    /// Decides the stop of a running task; of a gang, of all its tasks.
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
        // A gang is stopped whole and in order, or its progress is lost.
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

    /// The cheapest tasks on a machine whose stop makes capacity for a task of the job.
    pub(super) fn victims(&self, requirements: &TaskRequirements<'_>, at: usize) -> Option<Victims> {
        let job = requirements.job;
        let capacity = &self.capacities[at];
        let mut options: Vec<(f64, usize)> = Vec::new();
        for (index, running) in capacity.running.iter().enumerate() {
            if running.stopping || running.attempt.exited() {
                continue;
            }
            let Some(victim) = running.job else {
                continue;
            };
            if self.gives_way(victim, job) {
                let lost = self.lost_work_s(running.attempt, victim);
                options.push((lost + self.protection_cost_s(requirements, victim), index));
            }
        }
        options.sort_by(|(left, _), (right, _)| left.total_cmp(right));
        let mut free = self.free_for(requirements, at);
        let mut cost = 0.0;
        let mut running = Vec::new();
        for (lost, index) in options {
            if job.spec.needs.fits_in(&free) {
                break;
            }
            free += capacity.running[index].attempt.needs;
            cost += lost;
            running.push(index);
        }
        (job.spec.needs.fits_in(&free) && !running.is_empty()).then(|| Victims {
            cost: cost + self.fetch_s(requirements, at) * FETCH_COST_WEIGHT,
            running,
        })
    }

    /// Whether the victim's tasks may be stopped for the job: as its priority is lower, or as its team
    /// borrows what the job's team is guaranteed.
    fn gives_way(&self, victim: &Job, job: &Job) -> bool {
        // What starved work holds is its least share, whatever its priority.
        let is_lower = victim.spec.priority > job.spec.priority
            && !self.cluster.starved.is(&victim.spec)
            && !self.is_shielded_from(job, victim);
        let is_borrowed = self.within_guarantee.contains(&job.spec.id)
            && victim.spec.priority >= job.spec.priority
            && victim.spec.team != job.spec.team
            // Else two teams beyond their guarantees would stop each other's
            // guaranteed work, back and forth.
            && !self.within_guarantee.contains(&victim.spec.id)
            && self.exceeds_guarantee(&victim.spec.team);
        is_lower || is_borrowed
    }

    /// Whether the team uses more than is guaranteed to it.
    pub(super) fn exceeds_guarantee(&self, team: &str) -> bool {
        let used = self.usage.of(team);
        self.team(team).is_some_and(|team| !team.guarantees(&used))
    }

    /// Seconds of work that a stop throws away.
    pub(super) fn lost_work_s(&self, attempt: &Attempt, job: &Job) -> f64 {
        if job.spec.saves() {
            job.spec.save_s + 1.0
        } else {
            attempt.ran_s(self.cluster.now) + 1.0
        }
    }

    /// Moves what can be moved off machines that the cloud is about to take, or
    /// that fail: replicas to be started elsewhere, and whatever can save. Other
    /// work may still finish in time.
    pub(super) fn drain_noticed(&mut self) {
        let mut stops = Vec::new();
        for capacity in &self.capacities {
            if capacity.machine.notice_until.is_none() && !faulty(capacity.machine) {
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
                let moves = job.spec.shape == Shape::Service
                    || job.spec.saves()
                    || running.attempt.running_since.is_none();
                if moves {
                    stops.push((running.attempt, capacity.machine.id.clone()));
                }
            }
        }
        for (attempt, machine) in stops {
            self.stop(attempt, machine);
        }
    }
}
