//! Direct commands: orders that are sent to a machine at once, without waiting for its next
//! heartbeat. An empty one fences former leaders and brings a heartbeat.

use super::LeaderTerm;
use super::calls::TermCall;
use crate::allocations::{Attempt, Stop};
use crate::constants::{
    DIRECT_COMMAND_TIMEOUT_MS, DIRECT_COMMANDS_IN_FLIGHT, INSPECT_TIMEOUT_MS, URGENT_PROBE_RESERVE,
};
use crate::election::{Election, ElectionEvent};
use crate::io::{FencedDestination, Io, Method, Outcome, json};
use crate::model::{MachineId, Timestamp};
use crate::protocol::{DirectCommands, Heartbeat, Shape, paths};
use std::collections::BTreeSet;

/// A direct command on its way.
#[derive(Debug)]
pub(super) struct DirectCall {
    machine: MachineId,
    token: u64,
    agent_epoch: u64,
    /// Sent to fence former leaders and to get a heartbeat, not for its orders.
    fencing_probe: bool,
}

/// Machines that may need a direct command, and how many commands are under way.
#[derive(Debug, Default)]
pub(super) struct CommandQueue {
    due: BTreeSet<MachineId>,
    in_flight: usize,
    /// A start may have been cancelled before it was sent.
    start_cancelled: bool,
}

impl CommandQueue {
    /// A direct command may be due for this machine.
    pub(super) fn mark_due(&mut self, machine: MachineId) {
        self.due.insert(machine);
    }

    /// Asks for an attempt's stop.
    pub(super) fn request_stop(
        &mut self,
        attempt: &mut Attempt,
        machine: &MachineId,
        grace_s: f64,
        now: Timestamp,
    ) {
        attempt.stop = Some(Stop::asked(grace_s, now));
        self.start_cancelled = true;
        self.due.insert(machine.clone());
    }

    /// Whether a start may have been cancelled before it was sent, since this was last asked.
    pub(super) fn take_start_cancelled(&mut self) -> bool {
        std::mem::take(&mut self.start_cancelled)
    }

    /// The next machine that may need a command, while fewer than the most are under way.
    fn next_due(&mut self) -> Option<MachineId> {
        if self.in_flight < DIRECT_COMMANDS_IN_FLIGHT {
            self.due.pop_first()
        } else {
            None
        }
    }
}

impl LeaderTerm {
    /// Sends what is due to the machines that something happened to.
    pub(super) fn send_direct(&mut self, certain: bool, io: &mut Io) {
        while let Some(id) = self.commands.next_due() {
            let machine = self.machines.get(&id);
            if machine.is_some_and(|machine| machine.direct_due(certain, io.now)) {
                self.direct(&id, false, certain, io);
            }
        }
    }

    /// Machines that a former leader may still command get an empty direct command:
    /// it fences that one and brings a heartbeat. As most workers come by themselves
    /// within seconds, no more are asked at a time than sockets and processor bear;
    /// those with replicas or a gang, where people wait, come first.
    pub(super) fn send_fencing_probes(&mut self, io: &mut Io) {
        let now = io.now;
        let mut due: Vec<(bool, MachineId)> = Vec::new();
        for machine in self.machines.values() {
            let waited = machine
                .fencing_probe_at
                .is_none_or(|at| now >= at + DIRECT_COMMAND_TIMEOUT_MS / 2);
            if machine.needs_fencing_probe && waited && machine.can_be_told() {
                let batch_only = machine.attempts.iter().all(|attempt| {
                    self.jobs
                        .get(&attempt.task.job)
                        .is_none_or(|job| job.spec.shape == Shape::Array)
                });
                due.push((batch_only, machine.id.clone()));
            }
        }
        due.sort();
        for (_, id) in due {
            // Machines that nobody can reach must not use up the questions that would
            // prove it.
            if !self.liveness.take_probe(URGENT_PROBE_RESERVE, now) {
                return;
            }
            self.direct(&id, true, false, io);
        }
    }

    fn direct(&mut self, id: &MachineId, fencing_probe: bool, certain: bool, io: &mut Io) {
        let token = self.token();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(addr) = machine.addr.clone() else { return };
        let orders = if machine.synced {
            machine.orders(None, certain, token, io.now)
        } else {
            Vec::new()
        };
        if orders.is_empty() && !fencing_probe {
            return;
        }
        machine.direct_in_flight = true;
        self.commands.in_flight += 1;
        if fencing_probe {
            machine.fencing_probe_at = Some(io.now);
        }
        // A machine from a record was last seen in an unknown agent epoch; nearly
        // always the first. A wrong guess is answered with a heartbeat.
        let agent_epoch = machine.agent_epoch.max(1);
        let body = json(&DirectCommands {
            token,
            agent_epoch,
            commands: orders,
        });
        let call = io.call(
            FencedDestination::Worker(addr),
            Method::Post,
            paths::DIRECT_COMMANDS.to_owned(),
            body,
            DIRECT_COMMAND_TIMEOUT_MS,
        );
        self.calls.insert(
            call,
            TermCall::Direct(DirectCall {
                machine: id.clone(),
                token,
                agent_epoch,
                fencing_probe,
            }),
        );
    }

    /// Follows the answer to a direct command.
    pub(super) fn direct_answered(
        &mut self,
        direct: DirectCall,
        outcome: &Outcome,
        election: &mut Election,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        let DirectCall {
            machine: id,
            token,
            agent_epoch,
            fencing_probe,
        } = direct;
        let current = self.token();
        self.commands.in_flight = self.commands.in_flight.saturating_sub(1);
        let machine = self.machines.get_mut(&id)?;
        machine.direct_in_flight = false;
        if *outcome != Outcome::NotSent {
            // Else there is no socket, or nobody listens: the next check tries again.
            self.commands.mark_due(id.clone());
        }
        let status = outcome.status();
        match (outcome, status) {
            (_, Some(200)) => machine.direct_settled(true, token, agent_epoch),
            (Outcome::NotSent, _) | (_, Some(400 | 409)) => machine.direct_settled(false, token, agent_epoch),
            _ => machine.direct_unanswered(token, agent_epoch),
        }
        let Some(report) = outcome.read::<Heartbeat>(&[200, 409]) else {
            let waited = machine.fencing_probe_at.map_or(0, |at| io.now.saturating_sub(at));
            if fencing_probe && waited >= INSPECT_TIMEOUT_MS {
                self.found_silent(&id, io.now);
            }
            return None;
        };
        if report.machine != *id.0 {
            // Another machine has this address now.
            return None;
        }
        if report.token > current {
            return election.deposed("a worker has seen a newer leader");
        }
        if fencing_probe && status == Some(200) {
            machine.needs_fencing_probe = false;
        } else if fencing_probe {
            machine.fencing_probe_at = None;
        }
        self.absorb_answer(&report, io);
        None
    }
}

#[cfg(test)]
mod tests;
