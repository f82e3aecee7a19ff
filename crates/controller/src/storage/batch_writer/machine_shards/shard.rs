//! A record shared by several machines.

use crate::constants::{RELEASED_MACHINES_PER_SHARD, SHARD_MACHINE_BYTES};
use crate::model::{MachineId, Timestamp};
use indigopath_counted_resources::LingerSet;
use std::collections::BTreeSet;

/// A record shared by several machines.
#[derive(Debug, Default)]
pub(super) struct Shard {
    pub(super) version: u64,
    pub(super) machines: BTreeSet<MachineId>,
    /// Lingering units of attempts that were in this shard. They stay in the record from which their
    /// attempts are removed, so that at no time both are missing.
    pub(super) lingers: LingerSet,
    /// Those of them that a previous leader recorded.
    pub(super) inherited_lingers: LingerSet,
    /// Released machines that were in this shard, and until when a licence server may list their
    /// clients.
    pub(super) released: Vec<(MachineId, Timestamp)>,
    /// Half of its machines moved to that shard, and it is not known yet whether this is recorded.
    /// Until then both are written in one transaction only, so that at no time a start is missing
    /// from both.
    pub(super) split_to: Option<u32>,
    /// The shard that its machines came from, in the same case.
    pub(super) split_from: Option<u32>,
    /// Its record may list units that are free by now, and that another record may soon list.
    pub(super) lists_freed_units: bool,
    /// Its record must be written even if it gains no start.
    pub(super) must_write: bool,
    /// Size of the record when it was last written or read.
    pub(super) bytes: usize,
    /// It was logged that the record is too large, which is said again only once it has been written.
    pub(super) is_too_large_logged: bool,
}

impl Shard {
    /// Whether its machines are being divided between two records.
    pub(super) fn is_splitting(&self) -> bool {
        self.split_to.is_some() || self.split_from.is_some()
    }

    /// Whether the record has room for another machine in a value of this size.
    pub(super) fn has_room(&self, max_value_bytes: usize) -> bool {
        let max_machines = (max_value_bytes / SHARD_MACHINE_BYTES).max(1);
        !self.is_splitting()
            && self.machines.len() < max_machines
            && self.bytes + SHARD_MACHINE_BYTES <= max_value_bytes
    }

    /// Adds a released machine. Beyond the maximum, those that are listed for the shortest time are
    /// dropped.
    pub(super) fn add_released(&mut self, machine: MachineId, until: Timestamp) {
        self.released.push((machine, until));
        if self.released.len() > RELEASED_MACHINES_PER_SHARD {
            self.released.sort_by_key(|(_, until)| std::cmp::Reverse(*until));
            self.released.truncate(RELEASED_MACHINES_PER_SHARD);
        }
    }
}
