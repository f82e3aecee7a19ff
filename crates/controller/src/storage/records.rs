//! What controllers keep in the state service, and how it is encoded.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `leader` | [`LeaderRecord`], on a lease; its version is the token | the claimant |
//! | `j/<job>` | [`JobSpec`] of a live job | any node, on acceptance |
//! | `e/<job>` | [`EndedRecord`] of a job that is over, with its accounting entry for its team | the leader (done), any node (cancelled) |
//! | `d/<number>` | [`DoneRecord`]: completed tasks of many jobs, a bitmap each | the leader |
//! | `s/<number>` | [`ShardRecord`]: what may be on each of many machines | the leader |
//! | `h/<request>` | a rental sent to the cloud | the leader |
//! | `n/…`, `k/…`, `c/…`, `j/~…` | clusters of submit files: see [`indigopath_condor::cluster`] | any node; the leader clears away |
//! | `b/…` | [`indigopath_accounting`]: pages and sums of each team's ended jobs, and how far they go | the leader, if its key and `b/~` are as it knows them |
//! | `t/<number>` | protection windows that are open (0), protected services and their order, many to a value (1 and up): see [`indigopath_protection_windows`] | the leader, where there are protection windows |
//! | `types` | machine types, for nodes that start while the cloud is down | the leader |
//!
//! The accounting pages under `b/` are derived from `e/…` and bounded: nine keys a team at most, 13
//! changes in 10 s. A new leader reads them and the ends since `b/~`, checks them against all of
//! `e/…`, and corrects them; an earlier build leaves them alone, and writes ends without entries.
//!
//! `t/` is written on the leader's version and its own, in at most two changes a second; a value
//! stays within `value_kb`, and there are at most some 80 of them. A new leader goes by it before
//! its own clock. A build that cannot read a value writes none, logs that and goes by its clock; one
//! that knows no protection windows, or has none in its settings, leaves them alone.
//!
//! The state service counts changed keys, not bytes. So machines, and completed
//! tasks, share values: dozens of machines that get work at once cost a few changes.

mod completed_tasks;
mod ended;
mod leader;
mod machine_shard;

pub use super::keys::{
    COMPLETED_TASKS_PREFIX, ENDED_JOB_PREFIX, JOB_PREFIX, LEADER_KEY, MACHINE_TYPES_KEY,
    PROTECTION_WINDOWS_PREFIX, RENTAL_PREFIX, SHARD_PREFIX, completed_tasks_key, ended_job_key, job_key,
    parse_numbered_key, protection_windows_key, rental_key, shard_key,
};
pub use completed_tasks::{
    CompletedTasksRecord, chunk_key, chunk_of, decode_completed_tasks, encode_completed_tasks,
    max_chunk_bytes, parse_chunk_key,
};
pub use ended::{EndedJobRecord, Ending};
pub use leader::LeaderRecord;
pub use machine_shard::{MachineRecord, ReleasedMachine, ShardRecord, StartRecord};

use crate::model::JobSpec;
use crate::protocol::{LaunchRequest, MachineTypeList};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use thiserror::Error;

/// Why a stored record cannot be used.
#[derive(Debug, Error)]
pub enum RecordError {
    /// It is not JSON of the record's form.
    #[error("unreadable record: {0}")]
    Json(#[from] serde_json::Error),
    /// It refers to an entry of its own lists that is not there.
    #[error("unreadable record: nothing stands at position {0}")]
    InvalidPosition(usize),
    /// A bitmap of completed tasks is not base64.
    #[error("unreadable record: {0}")]
    Base64(#[from] base64::DecodeError),
    /// A bitmap has more bits than a chunk has tasks.
    #[error("unreadable record: a bitmap is too long")]
    BitmapTooLong,
    /// No task is in a chunk of that number.
    #[error("unreadable record: a chunk's number is too large")]
    ChunkTooLarge,
    /// Whoever cannot read it must not lead: it may name starts.
    #[error("a later build wrote it, in form {0}")]
    NewerFormat(u16),
}

/// Anything kept as one JSON value.
pub trait Record: Serialize + for<'de> Deserialize<'de> {
    /// The record as a JSON tree.
    fn to_value(&self) -> Value {
        // Serialising plain data into a JSON tree fails only on non-string map
        // keys, which no record has.
        serde_json::to_value(self).unwrap_or(Value::Null)
    }

    /// The record as text, for the writer: large ones are serialised once only.
    fn to_text(&self) -> Box<RawValue> {
        serde_json::value::to_raw_value(self).unwrap_or_default()
    }

    /// Reads a stored record.
    fn from_value(value: &Value) -> Result<Self, RecordError> {
        Ok(Self::deserialize(value)?)
    }
}

impl Record for LeaderRecord {}
impl Record for EndedJobRecord {}
impl Record for ShardRecord {}
impl Record for CompletedTasksRecord {}
impl Record for JobSpec {}
impl Record for LaunchRequest {}
impl Record for MachineTypeList {}

#[cfg(test)]
mod tests;
