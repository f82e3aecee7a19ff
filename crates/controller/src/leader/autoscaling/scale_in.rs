//! Scaling in: which machines go back to the cloud, and why.

use super::Autoscaler;
use crate::allocations::Machine;
use crate::constants::{
    BOOT_SMOOTHING, BOOT_TIMEOUT_FACTOR, CLOUD_RETRY_MS, DEFAULT_BOOT_S, EXCESS_IDLE_RELEASE_MS,
    IDLE_KEPT_PER_KIND, MAX_MACHINES_PER_RELEASE, SECOND_MS,
};
use crate::io::{Io, Method, Outcome, json};
use crate::leader::calls::TermCall;
use crate::leader::{LeaderTerm, PeerView};
use crate::model::{MachineId, MachineKind, Timestamp};
use crate::protocol::{MachineNames, paths};
use crate::scheduling::placement::{MachineTypes, is_faulty};
use crate::settings::Settings;
use indigopath_fencing::{GuardedOperation, Permit};
use std::collections::{HashMap, HashSet};

/// Why a machine goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ScaleInReason {
    BootFailed,
    Unreachable,
    Unusable,
    Idle,
}

impl ScaleInReason {
    fn text(self) -> &'static str {
        match self {
            ScaleInReason::BootFailed => "it never came up",
            ScaleInReason::Unreachable => "it is silent",
            ScaleInReason::Unusable => "it fails or is about to be taken",
            ScaleInReason::Idle => "it is idle",
        }
    }
}

/// Idle machines that are not kept, as one look goes through the fleet.
struct IdleSurplus<'a> {
    now: Timestamp,
    idle_ms: u64,
    /// Machines that stay for the images that lie on them.
    image_holders: HashSet<MachineId>,
    wanted: &'a HashSet<MachineKind>,
    /// Idle machines of each kind that have not been chosen.
    idle_by_kind: HashMap<MachineKind, usize>,
}

impl IdleSurplus<'_> {
    /// Whether the machine has been idle for too long; where many of its kind are, sooner.
    fn select(&mut self, machine: &Machine) -> bool {
        let Some(since) = machine.idle_since else {
            return false;
        };
        let kind = machine.kind();
        let alike = self
            .idle_by_kind
            .get_mut(&kind)
            .filter(|alike| **alike > IDLE_KEPT_PER_KIND);
        let many = alike.is_some() && self.now >= since + self.idle_ms.min(EXCESS_IDLE_RELEASE_MS);
        let goes = (many || self.now >= since + self.idle_ms) && !self.wanted.contains(&kind);
        if goes && let Some(alike) = alike {
            *alike -= 1;
        }
        goes
    }
}

impl Autoscaler {
    /// Whether a machine that has not come up takes too long for its type.
    fn boot_failed(&self, machine: &Machine, types: &MachineTypes, now: Timestamp) -> bool {
        if machine.is_up() || !machine.attempts.is_empty() {
            return false;
        }
        // Quick boots that were seen do not make a regular one late.
        let nominal_s = types
            .get(&machine.machine_type)
            .map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        let boot_s = self
            .observed_boot_s
            .get(&machine.machine_type)
            .map_or(nominal_s, |seen| seen.max(nominal_s));
        let known_ms = machine.age_ms_at_first_known + now.saturating_sub(machine.first_known_at);
        known_ms as f64 > BOOT_TIMEOUT_FACTOR * boot_s * SECOND_MS as f64
    }
}

impl LeaderTerm {
    /// Gives back machines that are idle, silent, useless or never came up.
    pub(in crate::leader) fn scale_in(
        &mut self,
        types: &MachineTypes,
        settings: &Settings,
        peers: PeerView,
        io: &mut Io,
    ) {
        if io.now < self.autoscaler.cloud_retry_at {
            return;
        }
        let Ok(permit) = io.permits.request(GuardedOperation::ReleaseMachines, io.now) else {
            return;
        };
        for (name, why) in self.select_surplus(types, settings, peers, io.now) {
            self.mark_for_release(&name, why, settings);
        }
        self.send_releases(permit, io);
    }

    /// Machines that are to go back, and why: no more than one call may name.
    fn select_surplus(
        &self,
        types: &MachineTypes,
        settings: &Settings,
        peers: PeerView,
        now: Timestamp,
    ) -> Vec<(MachineId, ScaleInReason)> {
        let silence_is_proof = self.can_release_silent_machines(peers, now);
        let kept = self.retained_machines(&settings.deployment, now);
        let mut idle = IdleSurplus {
            now,
            idle_ms: (settings.operator.idle_return_s * SECOND_MS as f64) as u64,
            image_holders: self.kept_for_weights(types, settings),
            wanted: &self.autoscaler.wanted,
            idle_by_kind: self.idle_by_kind(),
        };
        let mut surplus = Vec::new();
        for machine in self.machines.values() {
            if machine.release_in_flight || surplus.len() >= MAX_MACHINES_PER_RELEASE {
                continue;
            }
            let never_up = self.autoscaler.boot_failed(machine, types, now);
            let silent = machine.unreachable && silence_is_proof && !kept.contains(&machine.id);
            // Asked of every machine, as it counts those of each kind that go.
            let surplus_idle = machine.is_up()
                && machine.synced
                && machine.is_empty()
                && !idle.image_holders.contains(&machine.id)
                && !self.protection_windows.kept.contains_key(&machine.id)
                && idle.select(machine);
            let useless = machine.is_up()
                && machine.is_empty()
                && (is_faulty(machine) || machine.reclaim_notice_until.is_some());
            let why = if machine.releasing {
                continue;
            } else if never_up {
                ScaleInReason::BootFailed
            } else if silent {
                ScaleInReason::Unreachable
            } else if useless {
                ScaleInReason::Unusable
            } else if surplus_idle {
                ScaleInReason::Idle
            } else {
                continue;
            };
            surplus.push((machine.id.clone(), why));
        }
        surplus
    }

    /// How many machines of each kind are idle.
    fn idle_by_kind(&self) -> HashMap<MachineKind, usize> {
        let mut alike: HashMap<MachineKind, usize> = HashMap::new();
        for machine in self.machines.values() {
            if machine.idle_since.is_some() {
                *alike.entry(machine.kind()).or_default() += 1;
            }
        }
        alike
    }

    /// Has it recorded that the machine goes back.
    fn mark_for_release(&mut self, id: &MachineId, why: ScaleInReason, settings: &Settings) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.releasing = true;
        machine.release_recorded = false;
        self.writer.queue_machine(machine);
        self.image_locality.goes(machine, settings);
        if !std::mem::replace(&mut machine.release_logged, true) {
            log::info!("scale-in requested machine={id}: {}", why.text());
            if why == ScaleInReason::Unreachable {
                self.image_locality.lost();
            }
        }
    }

    /// Asks the cloud to take back what is recorded as to be returned.
    ///
    /// The record comes first: nobody at the cloud compares tokens, and a leader that was
    /// replaced gave machines back on which its successor's tasks ran. A successor reads the
    /// record, places nothing there and finishes the return.
    fn send_releases(&mut self, permit: Permit, io: &mut Io) {
        let mut names: Vec<MachineId> = Vec::new();
        for machine in self.machines.values_mut() {
            if !machine.releasing || machine.release_in_flight || names.len() >= MAX_MACHINES_PER_RELEASE {
                continue;
            }
            // It has answered since, with work on it, and nobody was asked to take it.
            let back = !machine.unreachable && machine.is_up() && !machine.is_empty();
            if back && !machine.release_unanswered {
                log::info!("scale-in cancelled machine={}: it answers again", machine.id);
                machine.releasing = false;
                machine.release_recorded = false;
                machine.release_logged = false;
                self.writer.queue_machine(machine);
                self.scheduler.request_pass();
            } else if machine.release_recorded {
                names.push(machine.id.clone());
            }
        }
        if names.is_empty() || !io.cloud_budget.try_take(1.0, 0.0, io.now) {
            return;
        }
        for name in &names {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.release_in_flight = true;
            }
        }
        let body = json(&MachineNames {
            machines: names.iter().map(|name| name.to_string()).collect(),
        });
        let call = io.cloud_call(permit, Method::Post, paths::RENTAL_RETURNS.to_owned(), body);
        self.calls.insert(
            call,
            TermCall::Release {
                machines: names,
                sent: io.now,
            },
        );
    }

    /// Follows the answer to a return.
    pub(in crate::leader) fn handle_release_response(
        &mut self,
        machines: Vec<MachineId>,
        sent: Timestamp,
        outcome: &Outcome,
        io: &mut Io,
    ) {
        if outcome.status() == Some(200) {
            let took_s = (io.now - sent) as f64 / SECOND_MS as f64;
            self.autoscaler.release_s += BOOT_SMOOTHING * (took_s - self.autoscaler.release_s);
            for id in machines {
                // The cloud confirms it: the machine and all that was on it are gone.
                let Some(mut machine) = self.machines.remove_released(&id, io.now) else {
                    continue;
                };
                let there = machine.task_count();
                if there > 0 {
                    log::info!("machine released machine={id} tasks_lost={there}");
                }
                let taken = machine.unreachable || machine.reclaim_notice_until.is_some();
                if machine.spot && machine.is_up() && taken {
                    self.autoscaler.spot_losses.record_loss();
                }
                self.writer.remove_machine(&machine);
                let changes = machine.clear();
                self.apply_changes_from_shard(&id, machine.shard, changes, io);
                self.remember_clients(&machine);
                self.scheduler.request_pass();
            }
            return;
        }
        self.autoscaler.cloud_retry_at = io.now + CLOUD_RETRY_MS;
        for id in machines {
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            machine.release_in_flight = false;
            // An unanswered return may still be carried out: nothing is placed
            // there again, and it is asked for until the cloud confirms.
            machine.release_unanswered |= !outcome.is_safe_to_retry();
            machine.releasing = machine.release_unanswered;
            if !machine.releasing {
                // What was refused may be used again, and a successor must not finish it.
                machine.release_recorded = false;
                self.writer.queue_machine(machine);
            }
        }
    }
}
