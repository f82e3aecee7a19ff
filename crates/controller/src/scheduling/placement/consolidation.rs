//! Consolidation of services: replicas move together, so that machines fall idle and are returned.

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

/// A replica that moves to another machine.
struct ReplicaMove<'a> {
    attempt: &'a Attempt,
    /// Position of that machine in the pass.
    to: usize,
    needs: Resources,
}

impl<'a> Pass<'a> {
    /// While nothing is left unplaced, moves replicas off the emptiest machines onto
    /// fuller ones that hold their image, so that they fall idle and go back. With the
    /// image there a move takes a fraction of a second.
    pub(super) fn consolidate_replicas(&mut self) {
        let stops = |decision: &Decision| matches!(decision, Decision::Stop { .. });
        let busy = !self.plan.unplaced.is_empty() || self.plan.decisions.iter().any(stops);
        if !CONSOLIDATE_REPLICAS || busy {
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
        for (share, from) in emptiest
            .into_iter()
            .take(CONSOLIDATION_TRIES_PER_PASS * max_moves)
        {
            if share > CONSOLIDATE_BELOW_SHARE || remaining == 0 {
                return;
            }
            // What others are moving to stays.
            if targets.contains(&from) {
                continue;
            }
            let Some(moves) = self.replica_moves(from, &mut free) else {
                continue;
            };
            let machine = self.capacities[from].machine.id.clone();
            // It takes nothing itself any more.
            free[from] = Resources::default();
            for replica in moves.into_iter().take(remaining) {
                targets.insert(replica.to);
                remaining -= 1;
                self.stop(replica.attempt, machine.clone());
            }
        }
    }

    /// The replicas of a machine and where they fit, if all of them can move to fuller ones. Claims the
    /// capacity there.
    fn replica_moves(&self, from: usize, free: &mut [Resources]) -> Option<Vec<ReplicaMove<'a>>> {
        let mut moves: Vec<ReplicaMove<'a>> = Vec::new();
        let complete = self.find_moves(from, free, &mut moves);
        if complete.is_none() || moves.is_empty() {
            for replica in moves {
                free[replica.to] += replica.needs;
            }
            return None;
        }
        Some(moves)
    }

    /// Adds the moves of a machine's replicas; `None` where one of them can't move.
    fn find_moves(
        &self,
        from: usize,
        free: &mut [Resources],
        moves: &mut Vec<ReplicaMove<'a>>,
    ) -> Option<()> {
        for running in &self.capacities[from].running {
            let job = self.cluster.jobs.get(&running.attempt.task.job)?;
            if job.spec.shape != Shape::Service {
                // It ends by itself.
                continue;
            }
            if !self.is_movable(running, job) {
                return None;
            }
            let to = self.move_target(job, from, free)?;
            free[to] -= job.spec.needs;
            moves.push(ReplicaMove {
                attempt: running.attempt,
                to,
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
        // In the hours for which it is protected nothing is saved by a move.
        let is_protected = self.cluster.protection.standing(&job.spec.id).is_some();
        // The units of one that is stopped linger, and it could not start elsewhere.
        let holds_units = !running.attempt.counts.is_empty();
        is_settled && !is_protected && !running.stopping && !holds_units
    }

    /// A fuller machine that has the job's image and takes one of its replicas from this machine.
    fn move_target(&self, job: &'a Job, from: usize, free: &[Resources]) -> Option<usize> {
        let source = &self.capacities[from];
        let requirements = self.requirements(job);
        let zones = self.move_zones(job, source);
        (0..self.capacities.len()).find(|to| {
            *to != from
                && job.spec.needs.fits_in(&free[*to])
                && self.is_allowed(&requirements, *to, &zones)
                && self.has_image(&requirements, *to)
                && self.capacities[*to].free.gpus.max(0.0) <= source.free.gpus
                && self.capacities[*to].free.cpus <= source.free.cpus
        })
    }

    /// Zones to which a replica may move.
    fn move_zones(&self, job: &Job, source: &MachineCapacity<'_>) -> OpenZones {
        match (job.spec.spread && job.spec.tasks > 1, source.type_and_zone) {
            // Where one zone holds too many already, the spread decides, not this.
            (true, Some((_, own_zone))) => (0..self.cluster.deployment.zones.len())
                .map(|zone| zone == own_zone)
                .collect(),
            // What moves leaves its own zone, and makes place there: counted still, it
            // closed the zone to itself, and where there is no other zone nothing
            // ever moved.
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
