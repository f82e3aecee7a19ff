//! Shards: assignment of machines to records, and the queue of records to be written. `write.rs` adds
//! them to transactions, `contents.rs` assembles what they list.

mod contents;
mod shard;
mod write;

use super::next_number;
use super::transaction::WrittenShard;
use crate::allocations::Machine;
use crate::model::{Job, JobId, MachineId, Timestamp};
use indigopath_counted_resources::{Linger, LingerSet};
use shard::Shard;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Lingering units and the shard that records them.
#[derive(Debug, Clone, Copy)]
pub struct ShardLinger<'a> {
    /// Number of the shard.
    pub shard: u32,
    /// A previous leader recorded it.
    pub inherited: bool,
    /// The lingering units.
    pub linger: &'a Linger,
}

/// The state from which shards are encoded.
pub(super) struct ShardSources<'a> {
    pub(super) machines: &'a mut BTreeMap<MachineId, Machine>,
    pub(super) jobs: &'a BTreeMap<JobId, Job>,
    pub(super) now: Timestamp,
    /// Wall-clock time in ms since 1970.
    pub(super) wall_ms: u64,
}

/// All shards of machines.
#[derive(Debug)]
pub(super) struct MachineShards {
    shards: BTreeMap<u32, Shard>,
    /// Shards that must be written before commands are sent, the oldest first.
    urgent: VecDeque<u32>,
    /// Shards that list removed machines, written when a transaction has room.
    stale: BTreeSet<u32>,
    max_value_bytes: usize,
}

impl MachineShards {
    pub(super) fn new(max_value_bytes: usize) -> MachineShards {
        MachineShards {
            shards: BTreeMap::new(),
            urgent: VecDeque::new(),
            stale: BTreeSet::new(),
            max_value_bytes,
        }
    }

    /// The machine's record must be written before anything depending on it is sent.
    pub(super) fn queue_machine(&mut self, machine: &mut Machine) {
        let number = self.shard_of(machine);
        self.queue(number);
    }

    /// The machine has starts to be recorded. Its record is written once it can gain one.
    pub(super) fn queue_starts(&mut self, machine: &mut Machine) {
        let number = self.shard_of(machine);
        self.push_urgent(number);
    }

    /// The shard of a machine, which is assigned to one if it has none.
    fn shard_of(&mut self, machine: &mut Machine) -> u32 {
        machine.shard.unwrap_or_else(|| {
            let number = self.shard_with_room();
            self.assign_shard(machine, number, 0);
            number
        })
    }

    fn shard_with_room(&self) -> u32 {
        self.shards
            .iter()
            .find(|(_, shard)| shard.has_room(self.max_value_bytes))
            .map_or_else(|| next_number(&self.shards), |(number, _)| *number)
    }

    /// A shard's record was read: its size.
    pub(super) fn load_size(&mut self, number: u32, bytes: usize) {
        self.shards.entry(number).or_default().bytes = bytes;
    }

    /// Assigns a machine to a shard, chosen now or read from the state service.
    pub(super) fn assign_shard(&mut self, machine: &mut Machine, number: u32, version: u64) {
        let shard = self.shards.entry(number).or_default();
        shard.machines.insert(machine.id.clone());
        shard.version = shard.version.max(version);
        machine.shard = Some(number);
    }

    /// Units of a removed attempt linger. They are recorded in the attempt's shard, with the next
    /// record that omits the attempt.
    pub(super) fn add_linger(&mut self, number: Option<u32>, linger: Linger) {
        let number = number.unwrap_or_else(|| {
            // A machine that never had a record: any shard will do.
            let number = self.shards.keys().next().copied().unwrap_or(0);
            self.stale.insert(number);
            number
        });
        self.shards.entry(number).or_default().lingers.add(linger);
    }

    /// Loads lingering units from a record. `lists_freed_units` says whether it also lists units that
    /// no longer linger.
    pub(super) fn load_lingers(
        &mut self,
        number: u32,
        version: u64,
        lingers: LingerSet,
        lists_freed_units: bool,
    ) {
        let shard = self.shards.entry(number).or_default();
        shard.version = shard.version.max(version);
        shard.inherited_lingers = lingers.clone();
        shard.lingers = lingers;
        if lists_freed_units {
            self.on_units_freed(number);
        }
    }

    /// The machine was released. While units of this shard linger, a licence server may list its
    /// clients: returns until when, if at all.
    pub(super) fn on_machine_released(&mut self, number: u32, machine: &MachineId) -> Option<Timestamp> {
        let shard = self.shards.get_mut(&number)?;
        let until = shard.lingers.iter().map(|linger| linger.until).max()?;
        shard.add_released(machine.clone(), until);
        self.stale.insert(number);
        Some(until)
    }

    /// Loads a released machine from a record.
    pub(super) fn load_released_machine(&mut self, number: u32, machine: MachineId, until: Timestamp) {
        self.shards
            .entry(number)
            .or_default()
            .add_released(machine, until);
    }

    /// Units that this shard's record may list are free. It is written before any start that could
    /// get them; otherwise a new leader could find them held in two records.
    pub(super) fn on_units_freed(&mut self, number: u32) {
        if let Some(shard) = self.shards.get_mut(&number) {
            shard.lists_freed_units = true;
            self.queue(number);
        }
    }

    /// All lingering units, by shard.
    pub(super) fn shard_lingers(&self) -> impl Iterator<Item = ShardLinger<'_>> {
        self.shards.iter().flat_map(|(number, shard)| {
            shard.lingers.iter().map(|linger| ShardLinger {
                shard: *number,
                inherited: shard.inherited_lingers.iter().any(|read| read == linger),
                linger,
            })
        })
    }

    /// All units that still linger.
    pub(super) fn active_lingers(&mut self, now: Timestamp) -> Vec<Linger> {
        let mut lingers = Vec::new();
        let mut freed = Vec::new();
        for (number, shard) in &mut self.shards {
            if shard.lingers.prune(now) {
                freed.push(*number);
            }
            shard.released.retain(|(_, until)| now < *until);
            lingers.extend(shard.lingers.iter().cloned());
        }
        for number in freed {
            self.on_units_freed(number);
        }
        lingers
    }

    /// Removes a machine from its shard.
    pub(super) fn remove(&mut self, machine: &Machine) {
        if let Some(number) = machine.shard
            && let Some(shard) = self.shards.get_mut(&number)
        {
            shard.machines.remove(&machine.id);
            self.stale.insert(number);
        }
    }

    /// The shard must be written, and before all others if its record lists units that are free.
    pub(super) fn queue(&mut self, number: u32) {
        let Some(shard) = self.shards.get_mut(&number) else {
            return;
        };
        shard.must_write = true;
        if shard.lists_freed_units {
            self.urgent.retain(|queued| *queued != number);
            self.urgent.push_front(number);
        } else {
            self.push_urgent(number);
        }
    }

    fn push_urgent(&mut self, number: u32) {
        if !self.urgent.contains(&number) {
            self.urgent.push_back(number);
        }
    }

    /// Shards were written at this revision.
    pub(super) fn on_written(&mut self, written: &[WrittenShard], version: u64) {
        for WrittenShard {
            number,
            deleted,
            bytes,
        } in written
        {
            if let Some(shard) = self.shards.get_mut(number) {
                shard.version = if *deleted { 0 } else { version };
                shard.bytes = *bytes;
                shard.is_too_large_logged = false;
                shard.split_to = None;
                shard.split_from = None;
                // If units were freed while it was in flight, it has been queued again.
                shard.lists_freed_units &= self.urgent.contains(number);
            }
        }
    }

    /// The version of a shard was read again; the shard is written again.
    pub(super) fn on_reread(&mut self, number: u32, version: u64) {
        if let Some(shard) = self.shards.get_mut(&number) {
            shard.version = version;
            self.queue(number);
        }
    }
}
