//! Liveness of machines: which are probed, which are found silent, and whose lease has run out.

use super::calls::TermCall;
use super::{LeaderTerm, PeerView};
use crate::allocations::Machine;
use crate::constants::{
    CLOCK_DRIFT_PPM, INSPECT_TIMEOUT_MS, LEASE_MARGIN_MS, LIVENESS_CHECK_MS, PROBE_AFTER_MS, PROBES_PER_S,
    PROBES_PER_S_PER_CORE, REPORT_LATE_FACTOR, REPORT_SLACK_MS, SECOND_MS, URGENT_PROBE_RESERVE,
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

/// When machines are checked, and how many may be probed.
#[derive(Debug)]
pub(super) struct Liveness {
    check_at: Timestamp,
    /// Probes that the leader sends without being asked.
    probe_budget: TokenBucket,
}

impl Liveness {
    /// With a budget of probes for the node's cores.
    pub(super) fn new(settings: &Settings, now: Timestamp) -> Liveness {
        let cores = settings.deployment.limits.cores;
        let probes_per_s = (PROBES_PER_S_PER_CORE * cores).min(PROBES_PER_S);
        Liveness {
            check_at: 0,
            probe_budget: TokenBucket::new(probes_per_s, probes_per_s, now),
        }
    }

    /// Whether machines are to be checked now; the next time is set.
    pub(super) fn take_check_due(&mut self, now: Timestamp) -> bool {
        let due = now >= self.check_at;
        if due {
            self.check_at = now + LIVENESS_CHECK_MS;
        }
        due
    }

    /// Takes one probe from the budget, if that leaves the reserve.
    pub(super) fn take_probe(&mut self, reserve: f64, now: Timestamp) -> bool {
        self.probe_budget.take(1.0, reserve, now)
    }
}

impl LeaderTerm {
    /// Looks at every machine: who is to be asked, who is silent, whose lease has run out.
    pub(super) fn check_machines(&mut self, settings: &Settings, peers: PeerView, io: &mut Io) {
        let workers = &settings.deployment.workers;
        let lease_ms = (workers.lease_s * SECOND_MS as f64) as u64;
        let lease_ms = lease_ms + lease_ms * CLOCK_DRIFT_PPM / 1_000_000 + LEASE_MARGIN_MS;
        // A heartbeat later than this is missing, not just slow.
        let overdue_ms = (workers.report_s * REPORT_LATE_FACTOR * SECOND_MS as f64) as u64 + REPORT_SLACK_MS;
        self.sample_when_silent(io);
        self.sample_zones(io);
        self.look_at_one_way(peers.found_ms + overdue_ms, io.now);
        self.send_fencing_probes(io);
        let mut inspect = Vec::new();
        let mut lapsed = Vec::new();
        let spot_up = self
            .machines
            .values()
            .filter(|machine| machine.spot && machine.is_up())
            .count();
        self.autoscaler.spot_losses_mut().up(spot_up, io.now);
        for machine in self.machines.values_mut() {
            if machine.direct_due(true, io.now) {
                self.commands.mark_due(machine.id.clone());
            }
            if !machine.has_been_up() {
                continue;
            }
            let last = machine.heard.unwrap_or(self.started);
            let silent_ms = io.now.saturating_sub(last);
            if silent_ms < PROBE_AFTER_MS {
                continue;
            }
            if !machine.inspecting && machine.addr.is_some() {
                let rank = match (machine.inspect_failed, silent_ms >= overdue_ms) {
                    (false, true) => 0,
                    // Asked already; it may have come back.
                    (true, _) => 1,
                    // Its heartbeat is not due yet, but replicas on a dead machine wait
                    // for the proof.
                    (false, false) => 2,
                };
                inspect.push((rank, Reverse(silent_ms), machine.id.clone()));
            }
            // The longest that anyone could have kept its lease alive: this leader
            // until it last heard from it or answered it, a former one until it had to stop.
            let answered = machine.answered.unwrap_or(0);
            let kept_until = if machine.synced {
                last.max(answered)
            } else {
                answered.max(self.started + cancellation_watermark::grace_ms(&settings.deployment.workers))
            };
            if io.now > kept_until + lease_ms && machine.attempts.iter().any(|attempt| !attempt.never_sent())
            {
                lapsed.push(machine.id.clone());
            }
        }
        self.probe_silent(inspect, io);
        self.expire_leases(lapsed, io);
        self.machines.forget_gone(io.now);
        self.update_fencing(io.now);
    }

    /// Probes silent machines, the most urgent first, as far as the budget goes.
    fn probe_silent(&mut self, mut due: Vec<(u8, Reverse<u64>, MachineId)>, io: &mut Io) {
        due.sort();
        for (rank, _, id) in due {
            let reserve = if rank == 0 { 0.0 } else { URGENT_PROBE_RESERVE };
            if !self.liveness.take_probe(reserve, io.now) {
                break;
            }
            self.inspect(&id, io);
        }
    }

    /// Nothing can be left on machines whose leases have expired: their tasks wait again.
    fn expire_leases(&mut self, lapsed: Vec<MachineId>, io: &mut Io) {
        for id in lapsed {
            let there = self.machines.get(&id).map_or(0, Machine::tasks_there);
            log::info!("lease expired machine={id} tasks_lost={there}");
            let changes = self.machines.get_mut(&id).map(Machine::clear).unwrap_or_default();
            self.apply(&id, changes, io);
            self.scheduler.request_pass();
        }
    }

    fn inspect(&mut self, id: &MachineId, io: &mut Io) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(addr) = machine.addr.clone().filter(|_| !machine.inspecting) else {
            return;
        };
        machine.inspecting = true;
        let call = io.call(
            FencedDestination::Worker(addr),
            Method::Get,
            paths::INSPECT.to_owned(),
            Vec::new(),
            INSPECT_TIMEOUT_MS,
        );
        self.calls.insert(call, TermCall::Inspect { machine: id.clone() });
    }

    /// Follows the answer to a probe.
    pub(super) fn inspected(
        &mut self,
        id: &MachineId,
        outcome: &Outcome,
        election: &mut Election,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        let current = self.token();
        let machine = self.machines.get_mut(id)?;
        machine.inspecting = false;
        match outcome
            .read::<Heartbeat>(&[200])
            .filter(|report| report.machine == *id.0)
        {
            Some(report) if report.token > current => {
                return election.deposed("a worker has seen a newer leader");
            }
            Some(report) => self.absorb_answer(&report, io),
            None => self.found_silent(id, io.now),
        }
        None
    }

    /// It was asked and did not answer in time.
    pub(super) fn found_silent(&mut self, id: &MachineId, now: Timestamp) {
        if let Some(machine) = self.machines.get_mut(id) {
            if !machine.inspect_failed {
                log::info!("machine unreachable machine={id}: no heartbeat and no answer");
                machine.silent_at = now;
            }
            machine.inspect_failed = true;
            self.scheduler.request_pass();
        }
    }

    /// Asks so many of these machines, spread over them; returns which.
    pub(super) fn ask_some(&mut self, machines: Vec<MachineId>, most: usize, io: &mut Io) -> Vec<MachineId> {
        let stride = machines.len().div_ceil(most).max(1);
        let first = io.rng.random_range(0..stride);
        let asked: Vec<MachineId> = machines.into_iter().skip(first).step_by(stride).collect();
        for id in &asked {
            self.liveness.probe_budget.force(1.0, io.now);
            self.inspect(id, io);
        }
        asked
    }

    /// How many of those that were asked have been heard since.
    pub(super) fn heard_since(&self, asked: &[MachineId], called: Timestamp) -> usize {
        let asked = asked.iter().filter_map(|id| self.machines.get(id));
        asked
            .filter(|machine| machine.heard.is_some_and(|at| at >= called))
            .count()
    }
}
