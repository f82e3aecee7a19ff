//! Consolidation of services: moves replicas onto fewer machines, so that others become idle and are
//! released.

use super::Decision;
use super::pass::{MachineCapacity, OpenZones, Pass, RunningTask};
use crate::allocations::Attempt;
use crate::constants::{
    CONSOLIDATE_BELOW_SHARE, CONSOLIDATE_REPLICAS, CONSOLIDATION_TRIES_PER_PASS, MIN_RUN_BEFORE_MOVE_MS,
    REPLICA_MOVES_PER_PASS, REPLICA_MOVES_SHARE,
};
use crate::model::{Job, Resources};
use crate::protocol::Shape;
use std::collections::HashSet;

/// A move of a replica to another machine.
struct ReplicaMove<'a> {
    attempt: &'a Attempt,
    /// Index of that machine in the pass.
    target_index: usize,
    needs: Resources,
}

impl<'a> Pass<'a> {
    /// If nothing is left unplaced, moves replicas from the emptiest machines to fuller ones that have their
    /// image, so that the former become idle and are released. With the image present, a move takes a
    /// fraction of a second.
    pub(super) fn consolidate_replicas(&mut self) {
        let is_stop = |decision: &Decision| matches!(decision, Decision::Stop { .. });
        let is_busy = !self.plan.unplaced.is_empty() || self.plan.decisions.iter().any(is_stop);
        if !CONSOLIDATE_REPLICAS || is_busy {
            return;
        }
        let max_moves =
            REPLICA_MOVES_PER_PASS.max((REPLICA_MOVES_SHARE * self.capacities.len() as f64) as usize);
        let used_share = |capacity: &MachineCapacity<'_>| match capacity.machine_type {
            Some(machine_type) => 1.0 - capacity.free.free_share_of(&machine_type.resources()),
            None => 1.0,
        };
        let mut emptiest: Vec<(f64, usize)> = (0..self.capacities.len())
            .filter(|machine_index| {
                self.capacities[*machine_index].usable && !self.capacities[*machine_index].running.is_empty()
            })
            .map(|machine_index| (used_share(&self.capacities[machine_index]), machine_index))
            .collect();
        emptiest.sort_by(|(left, _), (right, _)| left.total_cmp(right));
        let mut free: Vec<Resources> = self.capacities.iter().map(|capacity| capacity.free).collect();
        let mut targets = HashSet::new();
        let mut remaining = max_moves;
        for (source_used_share, source_index) in emptiest
            .into_iter()
            .take(CONSOLIDATION_TRIES_PER_PASS * max_moves)
        {
            if source_used_share > CONSOLIDATE_BELOW_SHARE || remaining == 0 {
                return;
            }
            // A machine that receives replicas in this pass is not emptied.
            if targets.contains(&source_index) {
                continue;
            }
            let Some(moves) = self.replica_moves(source_index, &mut free) else {
                continue;
            };
            let machine = self.capacities[source_index].machine.id.clone();
            // A machine being emptied receives no replicas.
            free[source_index] = Resources::default();
            for replica in moves.into_iter().take(remaining) {
                targets.insert(replica.target_index);
                remaining -= 1;
                self.stop(replica.attempt, machine.clone());
            }
        }
    }

    /// Returns the moves of a machine's replicas, if all of them can move to fuller machines. Claims the
    /// capacity there.
    fn replica_moves(&self, source_index: usize, free: &mut [Resources]) -> Option<Vec<ReplicaMove<'a>>> {
        let mut moves: Vec<ReplicaMove<'a>> = Vec::new();
        let all_moves_found = self.find_moves(source_index, free, &mut moves);
        if all_moves_found.is_none() || moves.is_empty() {
            for replica in moves {
                free[replica.target_index] += replica.needs;
            }
            return None;
        }
        Some(moves)
    }

    /// Adds the moves of a machine's replicas; `None` if one of them cannot move.
    fn find_moves(
        &self,
        source_index: usize,
        free: &mut [Resources],
        moves: &mut Vec<ReplicaMove<'a>>,
    ) -> Option<()> {
        for running in &self.capacities[source_index].running {
            let job = self.cluster.jobs.get(&running.attempt.task.job)?;
            if job.spec.shape != Shape::Service {
                // Batch tasks end on their own.
                continue;
            }
            if !self.is_movable(running, job) {
                return None;
            }
            let target_index = self.move_target(job, source_index, free)?;
            free[target_index] -= job.spec.needs;
            moves.push(ReplicaMove {
                attempt: running.attempt,
                target_index,
                needs: job.spec.needs,
            });
        }
        Some(())
    }

    fn is_movable(&self, running: &RunningTask<'_>, job: &Job) -> bool {
        let is_settled = running
            .attempt
            .running_since
            .is_some_and(|since| self.cluster.now >= since + MIN_RUN_BEFORE_MOVE_MS);
        // Moving a replica while it is protected saves nothing.
        let is_protected = self.cluster.protection.standing(&job.spec.id).is_some();
        // The units of a stopped replica linger, so it could not start elsewhere.
        let holds_units = !running.attempt.counts.is_empty();
        is_settled && !is_protected && !running.stopping && !holds_units
    }

    /// Returns a machine fuller than the source that has the job's image and can take one of its replicas.
    fn move_target(&self, job: &'a Job, source_index: usize, free: &[Resources]) -> Option<usize> {
        let source = &self.capacities[source_index];
        let requirements = self.requirements(job);
        let zones = self.move_zones(job, source);
        (0..self.capacities.len()).find(|target_index| {
            *target_index != source_index
                && job.spec.needs.fits_in(&free[*target_index])
                && self.is_allowed(&requirements, *target_index, &zones)
                && self.has_image(&requirements, *target_index)
                && self.capacities[*target_index].free.gpus.max(0.0) <= source.free.gpus
                && self.capacities[*target_index].free.cpus <= source.free.cpus
        })
    }

    /// Returns the zones to which a replica may move.
    fn move_zones(&self, job: &Job, source: &MachineCapacity<'_>) -> OpenZones {
        match (job.spec.spread && job.spec.tasks > 1, source.type_and_zone) {
            // Spread jobs move within their zone only: correcting an uneven spread is not the task of
            // consolidation.
            (true, Some((_, own_zone))) => (0..self.cluster.deployment.zones.len())
                .map(|zone| zone == own_zone)
                .collect(),
            // The moving replica frees a place in its own zone. If it were counted there, it would close the
            // zone to itself, and with a single zone nothing would ever move.
            (_, type_and_zone) => {
                let mut tasks_by_zone = self.job_tasks_by_zone(&job.spec.id);
                if let Some((_, own_zone)) = type_and_zone {
                    tasks_by_zone[own_zone] = tasks_by_zone[own_zone].saturating_sub(1);
                }
                self.open_zones(&job.spec, &tasks_by_zone)
            }
        }
    }
}
