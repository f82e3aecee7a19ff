//! Records that the controllers store in the state service, and their encoding.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `leader` | [`LeaderRecord`], on a lease; its version is the token | the claimant |
//! | `j/<job>` | [`JobSpec`] of a live job | any node, on acceptance |
//! | `e/<job>` | [`EndedJobRecord`] of an ended job, with its accounting entry | the leader (done), any node (cancelled) |
//! | `d/<number>` | [`CompletedTasksRecord`]: completed tasks of many jobs, a bitmap for each chunk | the leader |
//! | `s/<number>` | [`ShardRecord`]: what may be running on each of many machines | the leader |
//! | `h/<request>` | a launch request sent to the cloud | the leader |
//! | `n/…`, `k/…`, `c/…`, `j/~…` | clusters of submit files: see [`indigopath_condor::cluster`] | any node; the leader deletes obsolete ones |
//! | `b/…` | [`indigopath_accounting`]: pages and totals of each team's ended jobs, and the position up to which they are complete | the leader, if its key and `b/~` are unchanged |
//! | `t/<number>` | open protection windows (0), protected services and their order, many to a value (1 and up): see [`indigopath_protection_windows`] | the leader, where there are protection windows |
//! | `types` | machine types, for nodes that start while the cloud is unavailable | the leader |
//!
//! The accounting pages under `b/` are derived from `e/…` and bounded: at most nine keys per team,
//! and 13 changes in 10 s. A new leader reads them and the ends since `b/~`, verifies them against
//! all of `e/…`, and corrects them. An earlier build ignores them, and writes ends without entries.
//!
//! Writes under `t/` are conditional on the version of the leader's key and their own, with at most
//! two changes a second. A value stays within `value_kb`, and there are at most some 80 of them. For
//! a new leader they take precedence over its own clock. A build that cannot read a value writes
//! none, logs that and uses its clock. A build that knows no protection windows, or has none in its
//! settings, ignores them.
//!
//! The state service counts changed keys, not bytes. Therefore machines share values, and so do
//! completed tasks: dozens of machines that are given work at once cost a few changes.

mod completed_tasks;
mod ended;
mod leader;
mod machine_shard;

pub use super::keys::{
    COMPLETED_TASKS_PREFIX, ENDED_JOB_PREFIX, JOB_PREFIX, LAUNCH_PREFIX, LEADER_KEY, MACHINE_TYPES_KEY,
    PROTECTION_WINDOWS_PREFIX, SHARD_PREFIX, completed_tasks_key, ended_job_key, job_key, launch_key,
    parse_numbered_key, protection_windows_key, shard_key,
};
pub use completed_tasks::{
    CompletedTasksRecord, chunk_key, chunk_of, decode_completed_tasks, encode_completed_tasks,
    max_chunk_bytes, parse_chunk_key,
};
pub use ended::{EndedJobRecord, Ending};
pub use leader::LeaderRecord;
pub use machine_shard::{MachineRecord, ReleasedMachine, ShardEncoder, ShardRecord, StartRecord};

use crate::model::JobSpec;
use crate::protocol::{LaunchRequest, MachineTypeList};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use thiserror::Error;

/// Why a stored record cannot be used.
#[derive(Debug, Error)]
pub enum RecordError {
    /// It is not JSON in the record's format.
    #[error("unreadable record: {0}")]
    Json(#[from] serde_json::Error),
    /// It refers to a missing entry of its own lists.
    #[error("unreadable record: no entry at position {0}")]
    InvalidPosition(usize),
    /// A bitmap of completed tasks is not base64.
    #[error("unreadable record: {0}")]
    Base64(#[from] base64::DecodeError),
    /// A bitmap has more bits than a chunk has tasks.
    #[error("unreadable record: a bitmap is too long")]
    BitmapTooLong,
    /// The number of a chunk exceeds the range of tasks.
    #[error("unreadable record: a chunk's number is too large")]
    ChunkTooLarge,
    /// Written by a newer build. A node that cannot read it must not lead, because it may list starts.
    #[error("a later build wrote it, in form {0}")]
    NewerFormat(u16),
}

/// A record that is stored as one JSON value.
pub trait Record: Serialize + for<'de> Deserialize<'de> {
    /// The record as a JSON tree.
    fn to_value(&self) -> Value {
        // Serializing plain data to a JSON tree fails only for non-string map keys, which no record
        // has.
        serde_json::to_value(self).unwrap_or(Value::Null)
    }

    /// The record as JSON text, so that the writer serializes large records only once.
    fn to_text(&self) -> Box<RawValue> {
        serde_json::value::to_raw_value(self).unwrap_or_default()
    }

    /// Decodes a stored record.
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
