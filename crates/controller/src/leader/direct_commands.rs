//! Direct commands: commands that are sent to a worker at once, without waiting for its next heartbeat.
//! An empty one serves as a fencing probe: it fences off former leaders and is answered with a heartbeat.

use super::LeaderTerm;
use super::calls::TermCall;
use crate::allocations::{Attempt, CommandBatch, StartPermission, Stop};
use crate::constants::{
    DIRECT_COMMAND_TIMEOUT_MS, DIRECT_COMMANDS_IN_FLIGHT, INSPECT_TIMEOUT_MS, URGENT_PROBE_RESERVE,
};
use crate::election::{Election, ElectionEvent};
use crate::io::{Io, Outcome, json};
use crate::model::{MachineId, Timestamp};
use crate::protocol::{DirectCommands, Heartbeat, Shape};
use std::collections::BTreeSet;

/// A direct command in flight.
#[derive(Debug)]
pub(super) struct DirectCall {
    machine: MachineId,
    token: u64,
    agent_epoch: u64,
    /// Whether the command is a fencing probe.
    fencing_probe: bool,
}

/// Machines that may need a direct command, and the number of commands in flight.
#[derive(Debug, Default)]
pub(super) struct CommandQueue {
    due: BTreeSet<MachineId>,
    in_flight: usize,
    /// Whether a start may have been cancelled before it was sent.
    start_may_be_cancelled: bool,
    /// Machines with starts that are withheld until more recent knowledge shows their jobs to be live.
    withheld: BTreeSet<MachineId>,
}

impl CommandQueue {
    /// Marks that this machine may need a direct command.
    pub(super) fn mark_due(&mut self, machine: MachineId) {
        self.due.insert(machine);
    }

    /// Requests the stop of an attempt.
    pub(super) fn request_stop(
        &mut self,
        attempt: &mut Attempt,
        machine: &MachineId,
        grace_s: f64,
        now: Timestamp,
    ) {
        attempt.stop = Some(Stop::requested(grace_s, now));
        self.start_may_be_cancelled = true;
        self.due.insert(machine.clone());
    }

    /// Whether starts are withheld until the ends of jobs are known up to a later time.
    pub(super) fn has_withheld_starts(&self) -> bool {
        !self.withheld.is_empty()
    }

    /// Marks the machines whose starts were withheld: the ends of jobs are known up to a later time.
    pub(super) fn mark_withheld_due(&mut self) {
        self.due.append(&mut self.withheld);
    }

    /// Returns whether a start may have been cancelled before it was sent, and resets this.
    pub(super) fn take_start_cancelled(&mut self) -> bool {
        std::mem::take(&mut self.start_may_be_cancelled)
    }

    /// Returns the next machine that may need a command, if another one may be in flight.
    fn next_due(&mut self) -> Option<MachineId> {
        if self.in_flight < DIRECT_COMMANDS_IN_FLIGHT {
            self.due.pop_first()
        } else {
            None
        }
    }
}

impl LeaderTerm {
    /// Sends direct commands to the marked machines for which they are due, and withholds starts of jobs that may have
    /// ended.
    pub(super) fn send_due_commands(&mut self, lease_live: bool, io: &mut Io) {
        let starts = self.start_permission(lease_live);
        while let Some(id) = self.commands.next_due() {
            let Some(machine) = self.machines.get(&id) else {
                continue;
            };
            let has_outdated_start = machine.has_outdated_start(starts, io.now);
            if machine.is_direct_command_due(starts, io.now) {
                self.send_direct_command(&id, false, starts, io);
            }
            if has_outdated_start {
                log::debug!("start withheld machine={id}: its job may have ended");
                self.commands.withheld.insert(id);
            }
        }
    }

    /// Sends fencing probes to the machines that may still accept commands of a former leader.
    ///
    /// Most workers report on their own within seconds, so the probes are limited to what sockets and
    /// processor can handle. Machines with replicas or gang tasks come first, as users wait for those.
    pub(super) fn send_fencing_probes(&mut self, io: &mut Io) {
        let now = io.now;
        let mut due: Vec<(bool, MachineId)> = Vec::new();
        for machine in self.machines.values() {
            let retry_due = machine
                .fencing_probe_at
                .is_none_or(|at| now >= at + DIRECT_COMMAND_TIMEOUT_MS / 2);
            if machine.needs_fencing_probe && retry_due && machine.accepts_commands() {
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
            // Unreachable machines must not use up the probes that would prove them unreachable.
            if !self.liveness.try_take_probe(URGENT_PROBE_RESERVE, now) {
                return;
            }
            self.send_direct_command(&id, true, StartPermission::NONE, io);
        }
    }

    fn send_direct_command(
        &mut self,
        machine_id: &MachineId,
        fencing_probe: bool,
        starts: StartPermission,
        io: &mut Io,
    ) {
        let token = self.token();
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let Some(addr) = machine.addr.clone() else { return };
        let CommandBatch { commands, starts } = if machine.synced {
            machine.due_commands(None, starts, token, io.now)
        } else {
            CommandBatch::default()
        };
        if commands.is_empty() && !fencing_probe {
            return;
        }
        machine.direct_command_in_flight = true;
        self.commands.in_flight += 1;
        if fencing_probe {
            machine.fencing_probe_at = Some(io.now);
        }
        // The agent epoch of a machine restored from a record is unknown, and nearly always the first. A
        // worker in another epoch responds with a heartbeat.
        let agent_epoch = machine.agent_epoch.max(1);
        let body = json(&DirectCommands {
            token,
            agent_epoch,
            commands,
        });
        let call = io.direct_command_call(addr, body, starts);
        self.calls.insert(
            call,
            TermCall::Direct(DirectCall {
                machine: machine_id.clone(),
                token,
                agent_epoch,
                fencing_probe,
            }),
        );
    }

    /// Handles the response to a direct command.
    pub(super) fn handle_direct_response(
        &mut self,
        direct: DirectCall,
        outcome: &Outcome,
        election: &mut Election,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        let DirectCall {
            machine: machine_id,
            token,
            agent_epoch,
            fencing_probe,
        } = direct;
        let current_token = self.token();
        self.commands.in_flight = self.commands.in_flight.saturating_sub(1);
        let machine = self.machines.get_mut(&machine_id)?;
        machine.direct_command_in_flight = false;
        if *outcome != Outcome::NotSent {
            // If it was not sent, no socket was free or the connection was refused: the next check retries.
            self.commands.mark_due(machine_id.clone());
        }
        let status = outcome.status();
        match (outcome, status) {
            (_, Some(200)) => machine.on_direct_command_settled(true, token, agent_epoch),
            (Outcome::NotSent, _) | (_, Some(400 | 409)) => {
                machine.on_direct_command_settled(false, token, agent_epoch)
            }
            _ => machine.on_direct_command_unanswered(token, agent_epoch),
        }
        let Some(report) = outcome.read::<Heartbeat>(&[200, 409]) else {
            let waited_ms = machine.fencing_probe_at.map_or(0, |at| io.now.saturating_sub(at));
            if fencing_probe && waited_ms >= INSPECT_TIMEOUT_MS {
                self.mark_unreachable(&machine_id, io.now);
            }
            return None;
        };
        if report.machine != *machine_id.0 {
            // The address now belongs to another machine.
            return None;
        }
        if report.token > current_token {
            return election.depose("a worker has seen a newer leader");
        }
        if fencing_probe && status == Some(200) {
            machine.needs_fencing_probe = false;
        } else if fencing_probe {
            machine.fencing_probe_at = None;
        }
        self.reconcile_response(&report, io);
        None
    }
}

#[cfg(test)]
mod tests;
