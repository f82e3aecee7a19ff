//! Liveness of machines: probes, detection of unreachable machines, and expiry of worker leases.

use super::calls::TermCall;
use super::{LeaderTerm, PeerView};
use crate::allocations::Machine;
use crate::constants::{
    INSPECT_TIMEOUT_MS, LIVENESS_CHECK_MS, PROBE_AFTER_MS, PROBES_PER_S, PROBES_PER_S_PER_CORE,
    REPORT_LATE_FACTOR, REPORT_SLACK_MS, SECOND_MS, URGENT_PROBE_RESERVE,
};
use crate::election::cancellation_watermark;
use crate::election::{Election, ElectionEvent};
use crate::io::{FencedDestination, Io, Method, Outcome};
use crate::model::{MachineId, Timestamp};
use crate::protocol::{Heartbeat, paths};
use crate::settings::Settings;
use crate::token_bucket::TokenBucket;
use rand::RngExt;
use std::cmp::Reverse;

/// The schedule of liveness checks and the probe budget.
#[derive(Debug)]
pub(super) struct Liveness {
    next_check_at: Timestamp,
    /// Limits the rate of probes.
    probe_budget: TokenBucket,
}

impl Liveness {
    /// Creates a probe budget that fits the cores of this node.
    pub(super) fn new(settings: &Settings, now: Timestamp) -> Liveness {
        let cores = settings.deployment.limits.cores;
        let probes_per_s = (PROBES_PER_S_PER_CORE * cores).min(PROBES_PER_S);
        Liveness {
            next_check_at: 0,
            probe_budget: TokenBucket::new(probes_per_s, probes_per_s, now),
        }
    }

    /// Returns whether a check is due, and schedules the next one if so.
    pub(super) fn take_check_due(&mut self, now: Timestamp) -> bool {
        let due = now >= self.next_check_at;
        if due {
            self.next_check_at = now + LIVENESS_CHECK_MS;
        }
        due
    }

    /// Takes one probe from the budget, unless that would use up the reserve.
    pub(super) fn try_take_probe(&mut self, reserve: f64, now: Timestamp) -> bool {
        self.probe_budget.try_take(1.0, reserve, now)
    }
}

impl LeaderTerm {
    /// Checks every machine: probes silent machines and expires leases that can no longer be valid.
    pub(super) fn check_machines(&mut self, settings: &Settings, peers: PeerView, io: &mut Io) {
        let workers = &settings.deployment.workers;
        let lease_ms = cancellation_watermark::lease_end_ms(workers);
        let former_leases_end = self.started + cancellation_watermark::former_leases_end_ms(workers);
        // A heartbeat that is later than this counts as missing rather than slow.
        let overdue_ms = (workers.report_s * REPORT_LATE_FACTOR * SECOND_MS as f64) as u64 + REPORT_SLACK_MS;
        self.sample_reachability(io);
        self.update_zone_health(io);
        self.update_one_way_partitions(peers.worker_failover_ms + overdue_ms, io.now);
        self.send_fencing_probes(io);
        let mut to_probe = Vec::new();
        let mut expired = Vec::new();
        let spot_up = self
            .machines
            .values()
            .filter(|machine| machine.spot && machine.is_up())
            .count();
        self.autoscaler.spot_losses_mut().add_uptime(spot_up, io.now);
        let starts = self.start_permission(true);
        for machine in self.machines.values_mut() {
            if machine.is_direct_command_due(starts, io.now) || machine.has_outdated_start(starts, io.now) {
                self.commands.mark_due(machine.id.clone());
            }
            if !machine.has_been_up() {
                continue;
            }
            let last_heard_at = machine.last_heard_at.unwrap_or(self.started);
            let silent_ms = io.now.saturating_sub(last_heard_at);
            if silent_ms < PROBE_AFTER_MS {
                continue;
            }
            if !machine.probe_in_flight && machine.addr.is_some() {
                let rank = match (machine.unreachable, silent_ms >= overdue_ms) {
                    (false, true) => 0,
                    // Probed before without a response; it may be reachable again.
                    (true, _) => 1,
                    // Its heartbeat is not overdue yet, but replicas on a dead machine can only be
                    // replaced once a probe has failed.
                    (false, false) => 2,
                };
                to_probe.push((rank, Reverse(silent_ms), machine.id.clone()));
            }
            // The latest time at which the machine's lease can end: this leader can have renewed it when it
            // last heard from the machine or answered it, a former leader until it had to step down.
            let answered_at = machine.last_answered_at.unwrap_or(0);
            let lease_end = if machine.synced {
                last_heard_at.max(answered_at) + lease_ms
            } else {
                former_leases_end.max(answered_at + lease_ms)
            };
            if io.now > lease_end && machine.attempts.iter().any(|attempt| !attempt.never_sent()) {
                expired.push(machine.id.clone());
            }
        }
        self.probe_silent_machines(to_probe, io);
        self.expire_leases(expired, io);
        self.machines.forget_released(io.now);
        self.update_fencing(io.now);
    }

    /// Probes silent machines in order of urgency, within the probe budget.
    fn probe_silent_machines(&mut self, mut due: Vec<(u8, Reverse<u64>, MachineId)>, io: &mut Io) {
        due.sort();
        for (rank, _, id) in due {
            let reserve = if rank == 0 { 0.0 } else { URGENT_PROBE_RESERVE };
            if !self.liveness.try_take_probe(reserve, io.now) {
                break;
            }
            self.send_probe(&id, io);
        }
    }

    /// Requeues the tasks of machines whose lease has expired, as their workers have killed them.
    fn expire_leases(&mut self, expired: Vec<MachineId>, io: &mut Io) {
        for id in expired {
            let tasks_lost = self.machines.get(&id).map_or(0, Machine::task_count);
            log::info!("lease expired machine={id} tasks_lost={tasks_lost}");
            let changes = self.machines.get_mut(&id).map(Machine::clear).unwrap_or_default();
            self.apply_changes(&id, changes, io);
            self.scheduler.request_pass();
        }
    }

    /// Probes a machine, unless a probe of it is in flight.
    fn send_probe(&mut self, id: &MachineId, io: &mut Io) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(addr) = machine.addr.clone().filter(|_| !machine.probe_in_flight) else {
            return;
        };
        machine.probe_in_flight = true;
        let call = io.call(
            FencedDestination::Worker(addr),
            Method::Get,
            paths::INSPECT.to_owned(),
            Vec::new(),
            INSPECT_TIMEOUT_MS,
        );
        self.calls.insert(call, TermCall::Probe { machine: id.clone() });
    }

    /// Handles the response to a probe.
    pub(super) fn handle_probe_response(
        &mut self,
        id: &MachineId,
        outcome: &Outcome,
        election: &mut Election,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        let current = self.token();
        let machine = self.machines.get_mut(id)?;
        machine.probe_in_flight = false;
        match outcome
            .read::<Heartbeat>(&[200])
            .filter(|report| report.machine == *id.0)
        {
            Some(report) if report.token > current => {
                return election.depose("a worker has seen a newer leader");
            }
            Some(report) => self.reconcile_response(&report, io),
            None => self.mark_unreachable(id, io.now),
        }
        None
    }

    /// Marks a machine as unreachable because it did not answer a probe in time.
    pub(super) fn mark_unreachable(&mut self, id: &MachineId, now: Timestamp) {
        if let Some(machine) = self.machines.get_mut(id) {
            if machine.mark_unreachable(now) {
                log::info!("machine unreachable machine={id}: no heartbeat and no answer");
            }
            self.scheduler.request_pass();
        }
    }

    /// Probes an evenly spaced sample of these machines, at most `max_sample` of them, and returns the
    /// sample.
    pub(super) fn probe_sample(
        &mut self,
        machines: Vec<MachineId>,
        max_sample: usize,
        io: &mut Io,
    ) -> Vec<MachineId> {
        let stride = machines.len().div_ceil(max_sample).max(1);
        let first = io.rng.random_range(0..stride);
        let sample: Vec<MachineId> = machines.into_iter().skip(first).step_by(stride).collect();
        for id in &sample {
            self.liveness.probe_budget.force_take(1.0, io.now);
            self.send_probe(id, io);
        }
        sample
    }

    /// Counts the sampled machines that have been heard since the sample was taken.
    pub(super) fn count_heard_since(&self, sample: &[MachineId], sampled_at: Timestamp) -> usize {
        let sample = sample.iter().filter_map(|id| self.machines.get(id));
        sample
            .filter(|machine| machine.last_heard_at.is_some_and(|at| at >= sampled_at))
            .count()
    }
}
