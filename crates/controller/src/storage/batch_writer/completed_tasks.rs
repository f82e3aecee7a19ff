//! Assignment of completed tasks to records, and the tasks that are not recorded yet.

use super::next_number;
use super::transaction::{TransactionBuilder, WriteUnit, put};
use crate::constants::{CHUNK_SEPARATOR_BYTES, COMPLETED_TASKS_BATCH_MS};
use crate::model::{Job, JobId, Timestamp};
use crate::protocol::Condition;
use crate::storage::keys;
use crate::storage::records::{
    CompletedTasksRecord, chunk_key, chunk_of, encode_completed_tasks, max_chunk_bytes,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A job and the number of a chunk of its tasks.
pub(super) type ChunkId = (JobId, u32);

/// A record shared by the completed tasks of several jobs.
#[derive(Debug, Default)]
struct CompletedTasksShard {
    version: u64,
    /// The chunks, each with the maximum of bytes that it may take.
    chunks: BTreeMap<ChunkId, usize>,
    /// Completed tasks that are not recorded yet.
    pending: BTreeMap<ChunkId, BTreeSet<u32>>,
    /// When the first of them was added.
    pending_since: Timestamp,
}

impl CompletedTasksShard {
    fn bytes(&self) -> usize {
        self.chunks.values().sum()
    }

    fn add_pending(&mut self, chunk: ChunkId, tasks: impl IntoIterator<Item = u32>, now: Timestamp) {
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        self.pending.entry(chunk).or_default().extend(tasks);
    }

    fn is_due(&self, now: Timestamp) -> bool {
        !self.pending.is_empty() && now >= self.pending_since + COMPLETED_TASKS_BATCH_MS
    }

    fn record(&self, jobs: &BTreeMap<JobId, Job>) -> CompletedTasksRecord {
        let mut record = CompletedTasksRecord::default();
        for (id, chunk) in self.chunks.keys() {
            if let Some(job) = jobs.get(id) {
                record
                    .0
                    .insert(chunk_key(id, *chunk), encode_completed_tasks(&job.done, *chunk));
            }
        }
        record
    }
}

/// The records of completed tasks.
#[derive(Debug)]
pub(super) struct CompletedTasks {
    shards: BTreeMap<u32, CompletedTasksShard>,
    shard_of_chunk: HashMap<ChunkId, u32>,
    max_value_bytes: usize,
}

impl CompletedTasks {
    pub(super) fn new(max_value_bytes: usize) -> CompletedTasks {
        CompletedTasks {
            shards: BTreeMap::new(),
            shard_of_chunk: HashMap::new(),
            max_value_bytes,
        }
    }

    /// A task is done and must be recorded.
    pub(super) fn add(&mut self, job: &Job, task: u32, now: Timestamp) {
        let chunk = (job.spec.id.clone(), chunk_of(task));
        let bytes = max_chunk_bytes(job.spec.tasks);
        let number = match self.shard_of_chunk.get(&chunk) {
            Some(number) => *number,
            None => {
                let number = self.shard_with_room(bytes);
                self.assign_chunk(chunk.clone(), bytes, number);
                number
            }
        };
        if let Some(shard) = self.shards.get_mut(&number) {
            shard.add_pending(chunk, [task], now);
        }
    }

    fn shard_with_room(&self, bytes: usize) -> u32 {
        self.shards
            .iter()
            .find(|(_, shard)| shard.bytes() + bytes + CHUNK_SEPARATOR_BYTES <= self.max_value_bytes)
            .map_or_else(|| next_number(&self.shards), |(number, _)| *number)
    }

    /// Assigns a chunk to a record, chosen now or read from the state service.
    pub(super) fn assign_chunk(&mut self, chunk: ChunkId, bytes: usize, number: u32) {
        let shard = self.shards.entry(number).or_default();
        shard.chunks.insert(chunk.clone(), bytes);
        self.shard_of_chunk.insert(chunk, number);
    }

    /// A record was read, whatever it contains.
    pub(super) fn load_version(&mut self, number: u32, version: u64) {
        let shard = self.shards.entry(number).or_default();
        shard.version = shard.version.max(version);
    }

    /// A known record has this version now.
    pub(super) fn set_version(&mut self, number: u32, version: u64) {
        if let Some(shard) = self.shards.get_mut(&number) {
            shard.version = version;
        }
    }

    /// Nothing of this job is written any more.
    pub(super) fn remove_job(&mut self, id: &JobId, tasks: u32) {
        for chunk in 0..=chunk_of(tasks.saturating_sub(1)) {
            let chunk = (id.clone(), chunk);
            let number = self.shard_of_chunk.remove(&chunk);
            if let Some(shard) = number.and_then(|number| self.shards.get_mut(&number)) {
                shard.pending.remove(&chunk);
                shard.chunks.remove(&chunk);
            }
        }
    }

    /// Adds the records that are due to a transaction.
    pub(super) fn write(
        &mut self,
        transaction: &mut TransactionBuilder,
        jobs: &BTreeMap<JobId, Job>,
        now: Timestamp,
    ) {
        for (number, shard) in &mut self.shards {
            if transaction.is_full() {
                return;
            }
            if !shard.is_due(now) {
                continue;
            }
            let key = keys::completed_tasks_key(*number);
            let unchanged = Condition {
                key: key.clone(),
                version: shard.version,
            };
            let unit = WriteUnit::CompletedTasks {
                number: *number,
                tasks: shard.pending.clone(),
            };
            let change = put(key, &shard.record(jobs));
            if transaction.add(unit, vec![unchanged], vec![change]) {
                shard.pending.clear();
            }
        }
    }

    /// These tasks may not have been recorded, and are written again.
    pub(super) fn on_failed(
        &mut self,
        number: u32,
        tasks: &BTreeMap<ChunkId, BTreeSet<u32>>,
        now: Timestamp,
    ) {
        let Some(shard) = self.shards.get_mut(&number) else {
            return;
        };
        for (chunk, tasks) in tasks {
            // A job that ended in the meantime is no longer part of the record.
            if shard.chunks.contains_key(chunk) {
                shard.add_pending(chunk.clone(), tasks.iter().copied(), now);
            }
        }
    }
}
