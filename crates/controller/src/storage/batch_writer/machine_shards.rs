//! Shards: assignment of machines to records, the queue of records to be written, and their
//! contents.

use super::next_number;
use super::transaction::{PlannedStart, TransactionBuilder, WriteUnit, WrittenShard, put_text};
use crate::allocations::Machine;
use crate::constants::{RELEASED_MACHINES_PER_SHARD, SHARD_MACHINE_BYTES, SHARD_VERSION_CONDITIONS};
use crate::model::{Job, JobId, MachineId, Timestamp};
use crate::protocol::{Change, Condition};
use crate::storage::keys;
use crate::storage::records::{MachineRecord, Record, ReleasedMachine, ShardRecord};
use indigopath_counted_resources::{Linger, LingerEntry, LingerSet};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// A record shared by several machines.
#[derive(Debug, Default)]
struct Shard {
    version: u64,
    machines: BTreeSet<MachineId>,
    /// Lingering units of attempts that were in this shard. They stay in the record from which their
    /// attempts are removed, so that at no time both are missing.
    lingers: LingerSet,
    /// Those of them that a previous leader recorded.
    inherited_lingers: LingerSet,
    /// Released machines that were in this shard, and until when a licence server may list their
    /// clients.
    released: Vec<(MachineId, Timestamp)>,
    /// Half of its machines moved to that shard, and it is not known yet whether this is recorded.
    /// Until then both are written in one transaction only, so that at no time a start is missing
    /// from both.
    split_to: Option<u32>,
    /// The shard that its machines came from, in the same case.
    split_from: Option<u32>,
    /// Its record may list units that are free by now, and that another record may soon list.
    lists_freed_units: bool,
}

impl Shard {
    fn is_splitting(&self) -> bool {
        self.split_to.is_some() || self.split_from.is_some()
    }

    /// Adds a released machine. Beyond the maximum, those that are listed for the shortest time are
    /// dropped.
    fn add_released(&mut self, machine: MachineId, until: Timestamp) {
        self.released.push((machine, until));
        if self.released.len() > RELEASED_MACHINES_PER_SHARD {
            self.released.sort_by_key(|(_, until)| std::cmp::Reverse(*until));
            self.released.truncate(RELEASED_MACHINES_PER_SHARD);
        }
    }
}

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
        let number = match machine.shard {
            Some(number) => number,
            None => {
                let number = self.shard_with_room();
                self.assign_shard(machine, number, 0);
                number
            }
        };
        self.queue(number);
    }

    fn shard_with_room(&self) -> u32 {
        let max_machines = (self.max_value_bytes / SHARD_MACHINE_BYTES).max(1);
        self.shards
            .iter()
            .find(|(_, shard)| shard.machines.len() < max_machines && !shard.is_splitting())
            .map_or_else(|| next_number(&self.shards), |(number, _)| *number)
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
        let lists_freed_units = self
            .shards
            .get(&number)
            .is_some_and(|shard| shard.lists_freed_units);
        if lists_freed_units {
            self.urgent.retain(|queued| *queued != number);
            self.urgent.push_front(number);
        } else if !self.urgent.contains(&number) {
            self.urgent.push_back(number);
        }
    }

    /// Shards were written at this revision.
    pub(super) fn on_written(&mut self, written: &[WrittenShard], version: u64) {
        for WrittenShard { number, deleted } in written {
            if let Some(shard) = self.shards.get_mut(number) {
                shard.version = if *deleted { 0 } else { version };
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

    /// Adds the shards that must be written to a transaction, as far as they fit.
    pub(super) fn write_urgent(&mut self, transaction: &mut TransactionBuilder, sources: &mut ShardSources) {
        for _ in 0..self.urgent.len() {
            if transaction.is_full() {
                return;
            }
            let Some(number) = self.urgent.pop_front() else {
                return;
            };
            if !self.write(number, transaction, sources) {
                // It goes first in the next batch.
                self.urgent.push_front(number);
                return;
            }
        }
    }

    /// Adds one shard that lists removed machines, if there is room.
    pub(super) fn write_stale(&mut self, transaction: &mut TransactionBuilder, sources: &mut ShardSources) {
        if !transaction.is_full()
            && let Some(number) = self.stale.first().copied()
            && self.write(number, transaction, sources)
        {
            self.stale.remove(&number);
        }
    }

    /// Writes a shard with as many of its planned starts as the transaction has conditions for.
    /// Returns false if the shard does not fit.
    fn write(
        &mut self,
        number: u32,
        transaction: &mut TransactionBuilder,
        sources: &mut ShardSources,
    ) -> bool {
        let number = self
            .shards
            .get(&number)
            .and_then(|shard| shard.split_from)
            .unwrap_or(number);
        let Some(shard) = self.shards.get(&number) else {
            return true;
        };
        let split_to = shard.split_to;
        let mut collected = CollectedStarts::default();
        let mut contents = vec![collected.contents(number, shard, transaction, sources)];
        if let Some(next) = split_to
            && let Some(shard) = self.shards.get(&next)
        {
            contents.push(collected.contents(next, shard, transaction, sources));
        }
        let mut values = encode_values(&contents);
        if split_to.is_none() && self.is_too_large(&values[0]) && contents[0].machines.len() > 1 {
            let second_half = self.split(&mut contents[0], sources.machines);
            contents.push(second_half);
            values = encode_values(&contents);
        }
        if values.iter().any(|value| self.is_too_large(value)) {
            for (content, value) in contents.iter().zip(&values) {
                log::error!(
                    "shard too large shard={} bytes={} max_bytes={} machines={} starts={}",
                    content.number,
                    value.get().len(),
                    self.max_value_bytes,
                    content.machines.len(),
                    content.start_count()
                );
            }
            return true;
        }
        let has_omitted_starts = collected.has_omitted_starts;
        let Some(written) = self.add_to(transaction, contents, values, collected) else {
            return true;
        };
        if written && has_omitted_starts {
            self.queue(number);
        }
        written
    }

    fn is_too_large(&self, value: &RawValue) -> bool {
        value.get().len() > self.max_value_bytes
    }

    /// Adds these shards to a transaction. `None` if there is nothing to write, false if they do
    /// not fit.
    fn add_to(
        &mut self,
        transaction: &mut TransactionBuilder,
        contents: Vec<ShardContents>,
        values: Vec<Box<RawValue>>,
        collected: CollectedStarts,
    ) -> Option<bool> {
        let mut conditions = collected.conditions;
        let mut shards = Vec::new();
        let mut changes = Vec::new();
        for (content, value) in contents.iter().zip(values) {
            let number = content.number;
            let version = self.shards.get(&number).map_or(0, |shard| shard.version);
            let deleted = content.is_empty();
            if deleted && version == 0 {
                continue;
            }
            let key = keys::shard_key(number);
            conditions.push(Condition {
                key: key.clone(),
                version,
            });
            shards.push(WrittenShard { number, deleted });
            changes.push(if deleted {
                Change::Delete { key }
            } else {
                put_text(key, value)
            });
        }
        if shards.is_empty() {
            return None;
        }
        for shard in &shards {
            self.stale.remove(&shard.number);
        }
        let unit = WriteUnit::Shards {
            shards,
            planned_starts: collected.planned_starts,
            releases: collected.releases,
        };
        Some(transaction.add(unit, conditions, changes))
    }

    /// Moves half of a full shard's machines to a new shard, and returns its contents.
    fn split(
        &mut self,
        full: &mut ShardContents,
        machines: &mut BTreeMap<MachineId, Machine>,
    ) -> ShardContents {
        let half = full.machines.len() / 2;
        let moved = full.machines.split_off(half);
        let number = full.number;
        let next = next_number(&self.shards);
        log::info!("shard split shard={number} new_shard={next}");
        let mut shard = Shard {
            split_from: Some(number),
            ..Shard::default()
        };
        for record in &moved {
            let id = MachineId(record.name.clone());
            if let Some(machine) = machines.get_mut(&id) {
                machine.shard = Some(next);
            }
            if let Some(old) = self.shards.get_mut(&number) {
                old.split_to = Some(next);
                old.machines.remove(&id);
            }
            shard.machines.insert(id);
        }
        self.shards.insert(next, shard);
        ShardContents {
            number: next,
            machines: moved,
            lingers: Vec::new(),
            released: Vec::new(),
        }
    }
}

/// The contents of one shard's record.
struct ShardContents {
    number: u32,
    machines: Vec<MachineRecord>,
    lingers: Vec<LingerEntry>,
    released: Vec<ReleasedMachine>,
}

impl ShardContents {
    fn text(&self) -> Box<RawValue> {
        ShardRecord::from_machines(&self.machines, self.lingers.clone())
            .with_released(self.released.clone())
            .to_text()
    }

    fn start_count(&self) -> usize {
        self.machines.iter().map(|machine| machine.starts.len()).sum()
    }

    fn is_empty(&self) -> bool {
        self.machines.is_empty() && self.lingers.is_empty() && self.released.is_empty()
    }
}

/// Records of released machines.
fn released_records(released: &[(MachineId, Timestamp)], sources: &ShardSources) -> Vec<ReleasedMachine> {
    let named = released.iter().filter(|(_, until)| sources.now < *until);
    named
        .map(|(machine, until)| ReleasedMachine {
            name: machine.0.clone(),
            until_ms: sources.wall_ms + (until - sources.now),
        })
        .collect()
}

fn encode_values(contents: &[ShardContents]) -> Vec<Box<RawValue>> {
    contents.iter().map(ShardContents::text).collect()
}

/// The new starts in the shards of one unit, and the conditions for recording them.
#[derive(Default)]
struct CollectedStarts {
    conditions: Vec<Condition>,
    /// Jobs seen so far, and whether their starts may be recorded.
    may_start: HashMap<JobId, bool>,
    planned_starts: Vec<PlannedStart>,
    releases: Vec<MachineId>,
    /// The transaction had no conditions left for some start.
    has_omitted_starts: bool,
}

impl CollectedStarts {
    fn contents(
        &mut self,
        number: u32,
        shard: &Shard,
        transaction: &TransactionBuilder,
        sources: &ShardSources,
    ) -> ShardContents {
        let machines = shard.machines.iter().filter_map(|id| sources.machines.get(id));
        ShardContents {
            number,
            machines: machines
                .map(|machine| self.machine(machine, transaction, sources.jobs))
                .collect(),
            lingers: shard.lingers.to_record(sources.now, sources.wall_ms),
            released: released_records(&shard.released, sources),
        }
    }

    fn machine(
        &mut self,
        machine: &Machine,
        transaction: &TransactionBuilder,
        jobs: &BTreeMap<JobId, Job>,
    ) -> MachineRecord {
        if machine.releasing {
            self.releases.push(machine.id.clone());
        }
        machine.record(|attempt| {
            if attempt.durable {
                return true;
            }
            let included = self.may_start(&attempt.task.job, transaction, jobs);
            if included {
                self.planned_starts.push(PlannedStart {
                    machine: machine.id.clone(),
                    task: attempt.task.clone(),
                    number: attempt.number,
                });
            }
            included
        })
    }

    /// Whether a start of the job may be recorded, which requires that the job is live.
    fn may_start(
        &mut self,
        id: &JobId,
        transaction: &TransactionBuilder,
        jobs: &BTreeMap<JobId, Job>,
    ) -> bool {
        if let Some(may_start) = self.may_start.get(id) {
            return *may_start;
        }
        let may_start = jobs
            .get(id)
            .is_some_and(|job| self.add_condition(id, job, transaction));
        self.may_start.insert(id.clone(), may_start);
        may_start
    }

    /// Adds the condition that a job's record is unchanged. Returns false if it does not fit.
    fn add_condition(&mut self, id: &JobId, job: &Job, transaction: &TransactionBuilder) -> bool {
        let key = keys::job_key(&id.0);
        if transaction.has_condition(&key) {
            return true;
        }
        if !transaction.has_room_for_condition(self.conditions.len() + SHARD_VERSION_CONDITIONS) {
            self.has_omitted_starts = true;
            return false;
        }
        self.conditions.push(Condition {
            key,
            version: job.version,
        });
        true
    }
}
