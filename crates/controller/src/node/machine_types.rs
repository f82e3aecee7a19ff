//! The machine types that the cloud offers: read at intervals, and at first as an earlier leader stored them.

use super::{Node, NodeCall};
use crate::constants::{CLOUD_RETRY_MS, MACHINE_TYPES_INTERVAL_MS, STATE_TIMEOUT_MS};
use crate::io::{Method, Outcome};
use crate::protocol::{self, MachineType, paths};
use crate::storage::records;

impl Node {
    pub(super) fn on_machine_types_response(&mut self, outcome: &Outcome) {
        self.machine_types_requested = false;
        if let Some(list) = outcome.read::<protocol::MachineTypeList>(&[200]) {
            self.machine_types_due_at = self.io.now + MACHINE_TYPES_INTERVAL_MS;
            self.machine_types_confirmed = true;
            self.set_machine_types(list);
            return;
        }
        self.machine_types_due_at = self.io.now + CLOUD_RETRY_MS;
    }

    pub(super) fn request_machine_types(&mut self) {
        if self.machine_types_requested || self.io.now < self.machine_types_due_at {
            return;
        }
        self.machine_types_requested = true;
        self.io.cloud_budget.force_take(1.0, self.io.now);
        let call = self.io.machine_types_call();
        self.calls.insert(call, NodeCall::MachineTypes);
        // Earlier leaders store the types, and the state service responds much faster than the cloud. A node
        // that restarts quickly gets users immediately, because its absence was not noticed.
        if self.machine_type_list.is_empty() {
            let path = paths::key(records::MACHINE_TYPES_KEY);
            let call = self
                .io
                .state_call(Method::Get, path, Vec::new(), STATE_TIMEOUT_MS);
            self.calls.insert(call, NodeCall::StoredMachineTypes);
        }
    }

    pub(super) fn set_machine_types(&mut self, list: protocol::MachineTypeList) {
        let machine_types: Vec<MachineType> = list.types.into_iter().filter(has_valid_amounts).collect();
        if machine_types.is_empty() {
            log::error!("machine types rejected: the cloud offers no usable type");
            return;
        }
        self.machine_types = machine_types
            .iter()
            .map(|machine_type| (machine_type.name.clone(), machine_type.clone()))
            .collect();
        self.machine_type_list = machine_types;
    }
}

/// Whether all amounts of a machine type are finite and not negative, as placement requires.
fn has_valid_amounts(machine_type: &MachineType) -> bool {
    let amounts = [
        machine_type.cpus,
        machine_type.gpus,
        machine_type.memory_gb,
        machine_type.cache_gb,
        machine_type.fetch_gb_per_s,
        machine_type.price,
        machine_type.spot_price,
        machine_type.boot_s,
    ];
    amounts.iter().all(|amount| amount.is_finite() && *amount >= 0.0)
}
