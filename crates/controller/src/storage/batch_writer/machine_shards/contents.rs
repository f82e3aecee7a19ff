//! What the records of one write unit list: what stands in them already, and the starts that they gain.

use super::ShardSources;
use super::shard::Shard;
use crate::allocations::{Attempt, Machine};
use crate::constants::SHARD_VERSION_CONDITIONS;
use crate::model::{Job, JobId, MachineId};
use crate::protocol::Condition;
use crate::storage::batch_writer::transaction::{PlannedStart, TransactionBuilder, condition_bytes};
use crate::storage::keys;
use crate::storage::records::{MachineRecord, Record, ReleasedMachine, ShardEncoder};
use serde_json::value::RawValue;
use std::collections::{BTreeMap, HashSet};

/// The record of one shard under construction.
pub(super) struct ShardContents {
    pub(super) number: u32,
    encoder: ShardEncoder,
    /// Its machines, in the order of the record.
    machines: Vec<MachineId>,
    is_empty: bool,
}

impl ShardContents {
    /// Whatever must stand in the record: all starts that are durable, and of other starts none.
    pub(super) fn new(
        number: u32,
        shard: &Shard,
        sources: &ShardSources,
        with_images: bool,
    ) -> ShardContents {
        let lingers = shard.lingers.to_record(sources.now, sources.wall_ms);
        let released = released_records(shard, sources);
        let has_extras = !lingers.is_empty() || !released.is_empty();
        let mut encoder = ShardEncoder::new(lingers, released);
        let mut machines = Vec::new();
        for machine in shard.machines.iter().filter_map(|id| sources.machines.get(id)) {
            encoder.add_machine(&machine_record(machine, with_images));
            machines.push(machine.id.clone());
        }
        ShardContents {
            number,
            is_empty: machines.is_empty() && !has_extras,
            encoder,
            machines,
        }
    }

    /// Whether nothing is left to record.
    pub(super) fn is_empty(&self) -> bool {
        self.is_empty
    }

    /// Number of machines in the record.
    pub(super) fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Upper bound of the size of the record's text.
    pub(super) fn bytes(&self) -> usize {
        self.encoder.bytes()
    }

    /// The record's text.
    pub(super) fn into_text(self) -> Box<RawValue> {
        self.encoder.into_record().to_text()
    }

    /// Machines whose release is recorded.
    pub(super) fn releasing<'a>(&'a self, sources: &'a ShardSources) -> impl Iterator<Item = MachineId> + 'a {
        let machines = self.machines.iter();
        machines
            .filter(|id| sources.machines.get(*id).is_some_and(|machine| machine.releasing))
            .cloned()
    }
}

fn machine_record(machine: &Machine, with_images: bool) -> MachineRecord {
    let mut record = machine.record(|attempt| attempt.durable);
    if !with_images {
        record.images.clear();
    }
    record
}

/// Records of released machines.
fn released_records(shard: &Shard, sources: &ShardSources) -> Vec<ReleasedMachine> {
    let named = shard.released.iter().filter(|(_, until)| sources.now < *until);
    named
        .map(|(machine, until)| ReleasedMachine {
            name: machine.0.clone(),
            until_ms: sources.wall_ms + (until - sources.now),
        })
        .collect()
}

/// Why a start is not added to a record now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Omission {
    /// Its job is not live.
    NotLive,
    /// The transaction has no room for a condition on its job.
    NoCondition,
    /// The transaction has no room for it.
    TransactionFull,
    /// The record has no room for it.
    RecordFull,
}

/// What a transaction has room for when starts are added to records.
#[derive(Clone, Copy)]
pub(super) struct RoomForStarts {
    /// Largest size that a record may reach by new starts, in bytes.
    pub(super) max_record_bytes: usize,
    /// Bytes that the transaction has left for them.
    pub(super) transaction_bytes: usize,
}

/// The starts that the records of one unit gain, and the conditions on which they do.
pub(super) struct AddedStarts<'a> {
    transaction: &'a TransactionBuilder,
    jobs: &'a BTreeMap<JobId, Job>,
    room: RoomForStarts,
    conditioned_jobs: HashSet<JobId>,
    pub(super) conditions: Vec<Condition>,
    pub(super) starts: Vec<PlannedStart>,
    /// Some starts are left for a later transaction.
    pub(super) transaction_is_full: bool,
    /// Some starts do not fit in their record.
    pub(super) record_is_full: bool,
}

impl<'a> AddedStarts<'a> {
    pub(super) fn new(
        transaction: &'a TransactionBuilder,
        jobs: &'a BTreeMap<JobId, Job>,
        room: RoomForStarts,
    ) -> AddedStarts<'a> {
        AddedStarts {
            transaction,
            jobs,
            room,
            conditioned_jobs: HashSet::new(),
            conditions: Vec::new(),
            starts: Vec::new(),
            transaction_is_full: false,
            record_is_full: false,
        }
    }

    /// Adds planned starts on the record's machines until the record or the transaction is full.
    pub(super) fn fill(&mut self, contents: &mut ShardContents, machines: &BTreeMap<MachineId, Machine>) {
        for position in 0..contents.machines.len() {
            let Some(machine) = machines.get(&contents.machines[position]) else {
                continue;
            };
            for attempt in machine.attempts.iter().filter(|attempt| attempt.is_unrecorded()) {
                match self.add(contents, position, attempt) {
                    Ok(()) => self.starts.push(PlannedStart {
                        machine: machine.id.clone(),
                        task: attempt.task.clone(),
                        number: attempt.number,
                    }),
                    Err(Omission::NotLive) => (),
                    // Starts of jobs that have a condition may still fit.
                    Err(Omission::NoCondition) => self.transaction_is_full = true,
                    Err(Omission::TransactionFull) => {
                        self.transaction_is_full = true;
                        return;
                    }
                    Err(Omission::RecordFull) => {
                        self.record_is_full = true;
                        return;
                    }
                }
            }
        }
    }

    fn add(
        &mut self,
        contents: &mut ShardContents,
        position: usize,
        attempt: &Attempt,
    ) -> Result<(), Omission> {
        let condition = self.missing_condition(&attempt.task.job)?;
        let condition_bytes = condition.as_ref().map_or(0, condition_bytes);
        let Some(bytes_left) = self.room.transaction_bytes.checked_sub(condition_bytes) else {
            return Err(Omission::TransactionFull);
        };
        let before = contents.bytes();
        let max_bytes = self.room.max_record_bytes.min(before + bytes_left);
        if !contents
            .encoder
            .try_add_start(position, &attempt.start_record(), max_bytes)
        {
            return Err(if max_bytes == self.room.max_record_bytes {
                Omission::RecordFull
            } else {
                Omission::TransactionFull
            });
        }
        self.room.transaction_bytes = bytes_left - (contents.bytes() - before);
        if let Some(condition) = condition {
            self.conditions.push(condition);
            self.conditioned_jobs.insert(attempt.task.job.clone());
        }
        Ok(())
    }

    /// The condition that a job's record is unchanged, unless the transaction or the unit has it already.
    fn missing_condition(&self, id: &JobId) -> Result<Option<Condition>, Omission> {
        let job = self.jobs.get(id).ok_or(Omission::NotLive)?;
        let key = keys::job_key(&id.0);
        if self.conditioned_jobs.contains(id) || self.transaction.has_condition(&key) {
            return Ok(None);
        }
        let pending = self.conditions.len() + SHARD_VERSION_CONDITIONS;
        if !self.transaction.has_room_for_condition(pending) {
            return Err(Omission::NoCondition);
        }
        Ok(Some(Condition {
            key,
            version: job.version,
        }))
    }
}
