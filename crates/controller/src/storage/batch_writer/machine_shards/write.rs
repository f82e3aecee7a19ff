//! Adds shards to transactions, with as many of their planned starts as fit, and divides shards that are full.

use super::contents::{AddedStarts, RoomForStarts, ShardContents};
use super::shard::Shard;
use super::{MachineShards, ShardSources};
use crate::allocations::Machine;
use crate::constants::{MAX_TXN_BYTES, RECORDS_PER_SPLIT, SHARD_FILL_SHARE};
use crate::model::MachineId;
use crate::protocol::{Change, Condition};
use crate::storage::batch_writer::next_number;
use crate::storage::batch_writer::transaction::{
    PlannedStart, TransactionBuilder, WriteUnit, WrittenShard, put_text, record_overhead_bytes,
};
use crate::storage::keys;
use std::collections::{BTreeMap, BTreeSet};

/// What became of a shard that was to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteOutcome {
    /// It is part of the transaction, or there is nothing to write. Shards of which some starts are left for a later
    /// transaction are queued again.
    Handled,
    /// The transaction has no room for it.
    DoesNotFit,
    /// What must be recorded together exceeds the limits of the state service.
    TooLarge,
}

/// Records that are written together, and the starts that they gain.
struct ShardUnit {
    contents: Vec<ShardContents>,
    conditions: Vec<Condition>,
    starts: Vec<PlannedStart>,
    transaction_is_full: bool,
    record_is_full: bool,
}

impl ShardUnit {
    /// The shards, if some of their starts are left for a later transaction.
    fn with_omitted_starts(&self) -> Vec<u32> {
        if self.transaction_is_full || self.record_is_full {
            self.contents.iter().map(|contents| contents.number).collect()
        } else {
            Vec::new()
        }
    }

    /// Whether it is one record that could be divided, and must be.
    fn must_split(&self, max_value_bytes: usize) -> bool {
        match &self.contents[..] {
            [only] => only.machine_count() > 1 && (self.record_is_full || only.bytes() > max_value_bytes),
            _ => false,
        }
    }

    fn is_too_large(&self, max_value_bytes: usize) -> bool {
        self.contents
            .iter()
            .any(|contents| contents.bytes() > max_value_bytes)
    }
}

impl MachineShards {
    /// Adds the shards that must be written to a transaction, as far as they fit. Each is tried once.
    pub(in crate::storage::batch_writer) fn write_urgent(
        &mut self,
        transaction: &mut TransactionBuilder,
        sources: &mut ShardSources,
    ) {
        let mut tried = BTreeSet::new();
        while !transaction.is_full()
            && let Some(number) = self.urgent.pop_front()
        {
            if !tried.insert(number) {
                self.urgent.push_front(number);
                return;
            }
            match self.write(number, transaction, sources) {
                WriteOutcome::Handled => (),
                // The others go first.
                WriteOutcome::TooLarge => self.push_urgent(number),
                WriteOutcome::DoesNotFit => {
                    // It goes first in the next batch.
                    self.urgent.push_front(number);
                    return;
                }
            }
        }
    }

    /// Adds one shard that lists removed machines, if there is room.
    pub(in crate::storage::batch_writer) fn write_stale(
        &mut self,
        transaction: &mut TransactionBuilder,
        sources: &mut ShardSources,
    ) {
        let Some(number) = self.stale.first().copied().filter(|_| !transaction.is_full()) else {
            return;
        };
        if let Some(shard) = self.shards.get_mut(&number) {
            shard.must_write = true;
        }
        match self.write(number, transaction, sources) {
            WriteOutcome::DoesNotFit => (),
            WriteOutcome::Handled => {
                self.stale.remove(&number);
            }
            WriteOutcome::TooLarge => {
                self.stale.remove(&number);
                self.push_urgent(number);
            }
        }
    }

    /// Writes a shard, together with the other half if it is being divided, with as many planned starts as fit.
    fn write(
        &mut self,
        number: u32,
        transaction: &mut TransactionBuilder,
        sources: &mut ShardSources,
    ) -> WriteOutcome {
        let number = self
            .shards
            .get(&number)
            .and_then(|shard| shard.split_from)
            .unwrap_or(number);
        let Some(mut unit) = self.assemble(number, true, transaction, sources) else {
            return self.refuse(number, transaction);
        };
        if unit.must_split(self.max_value_bytes) {
            self.split(number, sources.machines);
            match self.assemble(number, true, transaction, sources) {
                Some(halves) => unit = halves,
                None => return self.refuse(number, transaction),
            }
        }
        if unit.is_too_large(self.max_value_bytes) {
            // The images are only a hint for placement.
            match self.assemble(number, false, transaction, sources) {
                Some(without_images) => unit = without_images,
                None => return self.refuse(number, transaction),
            }
        }
        if unit.is_too_large(self.max_value_bytes) {
            self.log_too_large(&unit, sources.machines);
            return WriteOutcome::TooLarge;
        }
        let with_omitted_starts = unit.with_omitted_starts();
        let is_needed = !unit.starts.is_empty() || self.must_write(&unit);
        if is_needed && !self.add_to(transaction, unit, sources) {
            return WriteOutcome::DoesNotFit;
        }
        for number in with_omitted_starts {
            self.push_urgent(number);
        }
        WriteOutcome::Handled
    }

    /// The outcome for a shard that the transaction has no room for. If the transaction is empty, no other will have
    /// more.
    fn refuse(&mut self, number: u32, transaction: &TransactionBuilder) -> WriteOutcome {
        if !transaction.is_empty() {
            return WriteOutcome::DoesNotFit;
        }
        if let Some(shard) = self.shards.get_mut(&number)
            && !std::mem::replace(&mut shard.is_too_large_logged, true)
        {
            log::error!("shard too large for a transaction shard={number}");
        }
        WriteOutcome::TooLarge
    }

    /// Assembles what is written together with this shard. `None` if the transaction has no room for what must stand
    /// in the records.
    fn assemble(
        &self,
        number: u32,
        with_images: bool,
        transaction: &TransactionBuilder,
        sources: &ShardSources,
    ) -> Option<ShardUnit> {
        let shard = self.shards.get(&number)?;
        let halves = std::iter::once((number, shard)).chain(
            shard
                .split_to
                .and_then(|next| Some((next, self.shards.get(&next)?))),
        );
        let mut contents: Vec<ShardContents> = halves
            .map(|(number, shard)| ShardContents::new(number, shard, sources, with_images))
            .collect();
        let base_bytes: usize = contents
            .iter()
            .map(|contents| contents.bytes() + record_overhead_bytes(&keys::shard_key(contents.number)))
            .sum();
        let room = RoomForStarts {
            max_record_bytes: self.max_filled_bytes(),
            transaction_bytes: transaction.bytes_left().checked_sub(base_bytes)?,
        };
        let mut added = AddedStarts::new(transaction, sources.jobs, room);
        for contents in &mut contents {
            added.fill(contents, sources.machines);
        }
        let AddedStarts {
            conditions,
            starts,
            transaction_is_full,
            record_is_full,
            ..
        } = added;
        Some(ShardUnit {
            contents,
            conditions,
            starts,
            transaction_is_full,
            record_is_full,
        })
    }

    /// Size up to which starts are added to a record, so that both halves of a full one fit in one transaction.
    fn max_filled_bytes(&self) -> usize {
        let filled_bytes = (self.max_value_bytes as f64 * SHARD_FILL_SHARE) as usize;
        filled_bytes.min(MAX_TXN_BYTES / RECORDS_PER_SPLIT)
    }

    fn must_write(&self, unit: &ShardUnit) -> bool {
        let mut shards = unit
            .contents
            .iter()
            .filter_map(|contents| self.shards.get(&contents.number));
        shards.any(|shard| shard.must_write)
    }

    /// Adds a unit to a transaction. Returns false if it does not fit.
    fn add_to(
        &mut self,
        transaction: &mut TransactionBuilder,
        unit: ShardUnit,
        sources: &ShardSources,
    ) -> bool {
        let mut conditions = unit.conditions;
        let mut shards = Vec::new();
        let mut changes = Vec::new();
        let mut releases = Vec::new();
        let numbers: Vec<u32> = unit.contents.iter().map(|contents| contents.number).collect();
        for contents in unit.contents {
            let number = contents.number;
            let version = self.shards.get(&number).map_or(0, |shard| shard.version);
            let deleted = contents.is_empty();
            if deleted && version == 0 {
                continue;
            }
            let key = keys::shard_key(number);
            conditions.push(Condition {
                key: key.clone(),
                version,
            });
            releases.extend(contents.releasing(sources));
            let text = contents.into_text();
            shards.push(WrittenShard {
                number,
                deleted,
                bytes: text.get().len(),
            });
            changes.push(if deleted {
                Change::Delete { key }
            } else {
                put_text(key, text)
            });
        }
        let shards_unit = WriteUnit::Shards {
            shards,
            planned_starts: unit.starts,
            releases,
        };
        let is_added = changes.is_empty() || transaction.add(shards_unit, conditions, changes);
        if is_added {
            for number in numbers {
                self.stale.remove(&number);
                if let Some(shard) = self.shards.get_mut(&number) {
                    shard.must_write = false;
                }
            }
        }
        is_added
    }

    /// Moves half of a full shard's machines to a new shard.
    fn split(&mut self, number: u32, machines: &mut BTreeMap<MachineId, Machine>) {
        let next = next_number(&self.shards);
        let Some(full) = self.shards.get_mut(&number) else {
            return;
        };
        let kept = full.machines.len() / 2;
        let moved: BTreeSet<MachineId> = full.machines.iter().skip(kept).cloned().collect();
        full.machines.retain(|id| !moved.contains(id));
        full.split_to = Some(next);
        full.must_write = true;
        for id in &moved {
            if let Some(machine) = machines.get_mut(id) {
                machine.shard = Some(next);
            }
        }
        log::info!("shard split shard={number} new_shard={next}");
        let shard = Shard {
            machines: moved,
            split_from: Some(number),
            ..Shard::default()
        };
        self.shards.insert(next, shard);
    }

    /// Logs that what must be recorded together is larger than a value may be, once until it has been written.
    fn log_too_large(&mut self, unit: &ShardUnit, machines: &BTreeMap<MachineId, Machine>) {
        for contents in &unit.contents {
            let Some(shard) = self.shards.get_mut(&contents.number) else {
                continue;
            };
            if std::mem::replace(&mut shard.is_too_large_logged, true) {
                continue;
            }
            let listed = shard.machines.iter().filter_map(|id| machines.get(id));
            let starts: usize = listed.map(|machine| machine.attempts.len()).sum();
            log::error!(
                "shard too large shard={} bytes={} max_bytes={} machines={} starts={starts}",
                contents.number,
                contents.bytes(),
                self.max_value_bytes,
                contents.machine_count(),
            );
        }
    }
}
