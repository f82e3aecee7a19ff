//! Builder of a transaction: its units with their conditions and changes, up to the limits of the
//! state service.

use crate::constants::{
    CHANGE_OVERHEAD_BYTES, CONDITION_OVERHEAD_BYTES, MAX_TXN_BYTES, TXN_CONDITIONS_PER_OP, TXN_ENVELOPE_BYTES,
};
use crate::io::json;
use crate::model::{JobId, MachineId, TaskId};
use crate::protocol::{Change, Condition, Transaction};
use crate::settings::Settings;
use crate::storage::keys;
use crate::storage::records::Record;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};

/// A start that a transaction records.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedStart {
    /// The machine that it is placed on.
    pub machine: MachineId,
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub number: u64,
}

/// A shard that a transaction writes or deletes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WrittenShard {
    /// The shard's number.
    pub number: u32,
    /// Its key is deleted, because nothing is left to record.
    pub deleted: bool,
    /// Size of its record.
    pub bytes: usize,
}

/// One item that a transaction writes.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteUnit {
    /// A new version of the leader's key, and so a higher token.
    Renewal,
    /// Shards that are written together, with the starts recorded in them for the first time.
    Shards {
        /// The shards.
        shards: Vec<WrittenShard>,
        /// Starts that become durable.
        planned_starts: Vec<PlannedStart>,
        /// Machines that are recorded as being released.
        releases: Vec<MachineId>,
    },
    /// A record of completed tasks.
    CompletedTasks {
        /// The record's number.
        number: u32,
        /// Tasks, by job and chunk, that are recorded in it for the first time.
        tasks: BTreeMap<(JobId, u32), BTreeSet<u32>>,
    },
    /// A completed job is moved to the ended ones.
    FinishJob {
        /// The job.
        job: JobId,
    },
    /// A launch request that is to be sent to the cloud.
    ScaleOutRequest {
        /// The identifier of the request.
        request: String,
    },
    /// A value of protection windows.
    ProtectionWindows {
        /// The value's number.
        number: u32,
        /// Whether it was deleted.
        deleted: bool,
    },
    /// A key that is no longer needed is deleted.
    ObsoleteKey {
        /// The key.
        key: String,
    },
}

impl WriteUnit {
    /// Keys to read again when it is unknown whether the unit was written.
    pub fn keys(&self) -> Vec<String> {
        match self {
            WriteUnit::Renewal => vec![keys::LEADER_KEY.to_owned()],
            WriteUnit::Shards { shards, .. } => {
                shards.iter().map(|shard| keys::shard_key(shard.number)).collect()
            }
            WriteUnit::CompletedTasks { number, .. } => vec![keys::completed_tasks_key(*number)],
            WriteUnit::FinishJob { job } => vec![keys::job_key(&job.0)],
            WriteUnit::ProtectionWindows { number, .. } => vec![keys::protection_windows_key(*number)],
            WriteUnit::ScaleOutRequest { .. } | WriteUnit::ObsoleteKey { .. } => Vec::new(),
        }
    }
}

/// A transaction being built.
pub(super) struct TransactionBuilder {
    units: Vec<WriteUnit>,
    body: Transaction<Box<RawValue>>,
    conditioned_keys: BTreeSet<String>,
    bytes: usize,
    max_changes: usize,
    max_conditions: usize,
}

/// A transaction that is ready to be sent.
pub(super) struct FinishedTransaction {
    pub(super) units: Vec<WriteUnit>,
    pub(super) body: Vec<u8>,
    pub(super) changes: usize,
}

impl TransactionBuilder {
    /// A transaction that is executed only while the leader's key is as in `leader`.
    pub(super) fn new(leader: Condition, max_changes: usize, settings: &Settings) -> TransactionBuilder {
        TransactionBuilder {
            units: Vec::new(),
            conditioned_keys: BTreeSet::from([leader.key.clone()]),
            bytes: json(&leader).len() + TXN_ENVELOPE_BYTES,
            body: Transaction {
                conditions: vec![leader],
                changes: Vec::new(),
            },
            max_changes,
            max_conditions: TXN_CONDITIONS_PER_OP * settings.deployment.state.txn_ops,
        }
    }

    /// Adds a unit if it fits, and returns whether it did.
    pub(super) fn add(
        &mut self,
        unit: WriteUnit,
        conditions: Vec<Condition>,
        changes: Vec<Change<Box<RawValue>>>,
    ) -> bool {
        let conditions: Vec<Condition> = conditions
            .into_iter()
            .filter(|condition| !self.has_condition(&condition.key))
            .collect();
        let condition_bytes: usize = conditions.iter().map(condition_bytes).sum();
        let bytes = condition_bytes + changes.iter().map(change_bytes).sum::<usize>();
        let fits = self.body.changes.len() + changes.len() <= self.max_changes
            && self.body.conditions.len() + conditions.len() <= self.max_conditions
            && self.bytes + bytes <= MAX_TXN_BYTES;
        if fits {
            self.bytes += bytes;
            self.conditioned_keys
                .extend(conditions.iter().map(|condition| condition.key.clone()));
            self.body.conditions.extend(conditions);
            self.body.changes.extend(changes);
            self.units.push(unit);
        }
        fits
    }

    /// Whether no further change fits.
    pub(super) fn is_full(&self) -> bool {
        self.body.changes.len() >= self.max_changes
    }

    /// Whether nothing was added yet.
    pub(super) fn is_empty(&self) -> bool {
        self.units.is_empty()
    }

    /// Bytes that conditions and changes may still take.
    pub(super) fn bytes_left(&self) -> usize {
        MAX_TXN_BYTES.saturating_sub(self.bytes)
    }

    /// Whether there already is a condition on this key.
    pub(super) fn has_condition(&self, key: &str) -> bool {
        self.conditioned_keys.contains(key)
    }

    /// Whether another condition fits in addition to `pending` ones that are not added yet.
    pub(super) fn has_room_for_condition(&self, pending: usize) -> bool {
        self.body.conditions.len() + pending < self.max_conditions
    }

    /// The transaction; `None` if there is nothing to write.
    pub(super) fn finish(self) -> Option<FinishedTransaction> {
        (!self.units.is_empty()).then(|| FinishedTransaction {
            body: json(&self.body),
            changes: self.body.changes.len(),
            units: self.units,
        })
    }
}

/// A change that stores a record.
pub(super) fn put(key: String, record: &impl Record) -> Change<Box<RawValue>> {
    put_text(key, record.to_text())
}

/// A change that stores a value given as JSON text.
pub(super) fn put_text(key: String, value: Box<RawValue>) -> Change<Box<RawValue>> {
    Change::Put {
        key,
        value,
        lease: None,
    }
}

/// Upper bound of the size in a transaction body of what goes with a stored record: its key, and the condition on its
/// version.
pub(super) fn record_overhead_bytes(key: &str) -> usize {
    2 * key.len() + CHANGE_OVERHEAD_BYTES + CONDITION_OVERHEAD_BYTES
}

/// Upper bound of a condition's size in a transaction body.
pub(super) fn condition_bytes(condition: &Condition) -> usize {
    condition.key.len() + CONDITION_OVERHEAD_BYTES
}

/// Upper bound of a change's size in a transaction body.
fn change_bytes(change: &Change<Box<RawValue>>) -> usize {
    match change {
        Change::Put { key, value, .. } => key.len() + value.get().len() + CHANGE_OVERHEAD_BYTES,
        Change::Delete { key } => key.len() + CHANGE_OVERHEAD_BYTES,
    }
}
