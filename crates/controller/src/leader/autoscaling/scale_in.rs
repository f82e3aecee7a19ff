//! Scaling in: choosing machines to release, and releasing them to the cloud.

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

/// Why a machine is released.
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

/// Selects surplus idle machines during one iteration over the fleet.
struct IdleSurplus<'a> {
    now: Timestamp,
    idle_ms: u64,
    /// Machines that are kept for their cached images.
    image_holders: HashSet<MachineId>,
    wanted: &'a HashSet<MachineKind>,
    /// Number of idle machines of each kind that have not been selected yet.
    idle_by_kind: HashMap<MachineKind, usize>,
}

impl IdleSurplus<'_> {
    /// Whether the machine has been idle for too long. The limit is shorter if many machines of its kind are
    /// idle.
    fn select(&mut self, machine: &Machine) -> bool {
        let Some(since) = machine.idle_since else {
            return false;
        };
        let kind = machine.kind();
        let idle_count = self
            .idle_by_kind
            .get_mut(&kind)
            .filter(|idle_count| **idle_count > IDLE_KEPT_PER_KIND);
        let excess = idle_count.is_some() && self.now >= since + self.idle_ms.min(EXCESS_IDLE_RELEASE_MS);
        let selected = (excess || self.now >= since + self.idle_ms) && !self.wanted.contains(&kind);
        if selected && let Some(idle_count) = idle_count {
            *idle_count -= 1;
        }
        selected
    }
}

impl Autoscaler {
    /// Whether a machine has been booting for too long for its type.
    fn boot_failed(&self, machine: &Machine, types: &MachineTypes, now: Timestamp) -> bool {
        if machine.is_up() || !machine.attempts.is_empty() {
            return false;
        }
        // Observed boots that were faster than the nominal time do not shorten the timeout.
        let nominal_s = types
            .get(&machine.machine_type)
            .map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        let boot_s = self
            .observed_boot_s
            .get(&machine.machine_type)
            .map_or(nominal_s, |observed| observed.max(nominal_s));
        let known_ms = machine.age_ms_at_first_known + now.saturating_sub(machine.first_known_at);
        known_ms as f64 > BOOT_TIMEOUT_FACTOR * boot_s * SECOND_MS as f64
    }
}

impl LeaderTerm {
    /// Releases machines that are idle, unreachable or unusable, or did not boot.
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
        for (machine_id, reason) in self.select_surplus(types, settings, peers, io.now) {
            self.mark_for_release(&machine_id, reason, settings);
        }
        self.send_releases(permit, io);
    }

    /// Selects machines to release, with the reason. Limited to the number that one call may release.
    fn select_surplus(
        &self,
        types: &MachineTypes,
        settings: &Settings,
        peers: PeerView,
        now: Timestamp,
    ) -> Vec<(MachineId, ScaleInReason)> {
        let can_release_unreachable = self.can_release_unreachable_machines(peers, now);
        let retained = self.retained_machines(&settings.deployment, now);
        let mut idle_surplus = IdleSurplus {
            now,
            idle_ms: (settings.operator.idle_return_s * SECOND_MS as f64) as u64,
            image_holders: self.machines_kept_for_images(types, settings),
            wanted: &self.autoscaler.wanted,
            idle_by_kind: self.idle_by_kind(),
        };
        let mut surplus = Vec::new();
        for machine in self.machines.values() {
            if machine.release_in_flight || surplus.len() >= MAX_MACHINES_PER_RELEASE {
                continue;
            }
            let boot_failed = self.autoscaler.boot_failed(machine, types, now);
            let may_have_failed =
                machine.unreachable && can_release_unreachable && !retained.contains(&machine.id);
            let unreachable = machine.listed_failed || may_have_failed;
            // Evaluated for every machine, because `select` counts the selected ones of each kind.
            let surplus_idle = machine.is_up()
                && machine.synced
                && machine.is_empty()
                && !idle_surplus.image_holders.contains(&machine.id)
                && !self.protection_windows.reserved.contains_key(&machine.id)
                && idle_surplus.select(machine);
            let unusable = machine.is_up()
                && machine.is_empty()
                && (is_faulty(machine) || machine.reclaim_notice_until.is_some());
            let reason = if machine.releasing {
                continue;
            } else if boot_failed {
                ScaleInReason::BootFailed
            } else if unreachable {
                ScaleInReason::Unreachable
            } else if unusable {
                ScaleInReason::Unusable
            } else if surplus_idle {
                ScaleInReason::Idle
            } else {
                continue;
            };
            surplus.push((machine.id.clone(), reason));
        }
        surplus
    }

    /// Counts idle machines by kind.
    fn idle_by_kind(&self) -> HashMap<MachineKind, usize> {
        let mut idle_by_kind: HashMap<MachineKind, usize> = HashMap::new();
        for machine in self.machines.values() {
            if machine.idle_since.is_some() {
                *idle_by_kind.entry(machine.kind()).or_default() += 1;
            }
        }
        idle_by_kind
    }

    /// Marks a machine for release and queues its record.
    fn mark_for_release(&mut self, id: &MachineId, reason: ScaleInReason, settings: &Settings) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.releasing = true;
        machine.release_recorded = false;
        self.writer.queue_machine(machine);
        self.image_locality.on_machine_releasing(machine, settings);
        if !std::mem::replace(&mut machine.release_logged, true) {
            log::info!("scale-in requested machine={id}: {}", reason.text());
            if reason == ScaleInReason::Unreachable {
                self.image_locality.on_machine_lost();
            }
        }
    }

    /// Releases the machines that are recorded as marked for release.
    ///
    /// The record must be written first, because the cloud does not check fencing tokens: a replaced leader
    /// could otherwise release machines on which its successor runs tasks. A successor reads the record,
    /// places nothing on the machine and completes the release.
    fn send_releases(&mut self, permit: Permit, io: &mut Io) {
        let mut machine_ids: Vec<MachineId> = Vec::new();
        for machine in self.machines.values_mut() {
            if !machine.releasing
                || machine.release_in_flight
                || machine_ids.len() >= MAX_MACHINES_PER_RELEASE
            {
                continue;
            }
            // The machine has answered since and runs tasks, and no release call may have reached the cloud.
            let in_use = !machine.unreachable && machine.is_up() && !machine.is_empty();
            if in_use && !machine.release_unanswered {
                log::info!("scale-in cancelled machine={}: it answers again", machine.id);
                machine.releasing = false;
                machine.release_recorded = false;
                machine.release_logged = false;
                self.writer.queue_machine(machine);
                self.scheduler.request_pass();
            } else if machine.release_recorded {
                machine_ids.push(machine.id.clone());
            }
        }
        if machine_ids.is_empty() || !io.cloud_budget.try_take(1.0, 0.0, io.now) {
            return;
        }
        for machine_id in &machine_ids {
            if let Some(machine) = self.machines.get_mut(machine_id) {
                machine.release_in_flight = true;
            }
        }
        let body = json(&MachineNames {
            machines: machine_ids
                .iter()
                .map(|machine_id| machine_id.to_string())
                .collect(),
        });
        let call = io.cloud_call(permit, Method::Post, paths::RELEASE_MACHINES.to_owned(), body);
        self.calls.insert(
            call,
            TermCall::Release {
                machines: machine_ids,
                sent: io.now,
            },
        );
    }

    /// Handles the response to a release.
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
                // The cloud has confirmed that the machine is gone, with everything on it.
                let Some(mut machine) = self.machines.remove_released(&id, io.now) else {
                    continue;
                };
                let tasks_lost = machine.task_count();
                if tasks_lost > 0 {
                    log::info!("machine released machine={id} tasks_lost={tasks_lost}");
                }
                let reclaimed = machine.unreachable || machine.reclaim_notice_until.is_some();
                if machine.spot && machine.is_up() && reclaimed {
                    self.autoscaler.spot_losses.record_loss();
                }
                self.writer.remove_machine(&machine);
                let changes = machine.clear();
                self.apply_changes_from_shard(&id, machine.shard, changes, io);
                self.remember_licence_clients(&machine);
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
            // A release without a response may still be executed. Nothing is placed on the machine, and
            // the release is retried until the cloud confirms it.
            machine.release_unanswered |= !outcome.is_safe_to_retry();
            machine.releasing = machine.release_unanswered;
            if !machine.releasing {
                // After a refusal the machine may be used again, and a successor must not complete the
                // release.
                machine.release_recorded = false;
                self.writer.queue_machine(machine);
            }
        }
    }
}
