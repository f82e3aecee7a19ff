//! What controllers keep in the state service, and how it is encoded.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `leader` | [`LeaderRecord`], on a lease; its version is the token | the claimant |
//! | `j/<job>` | [`JobSpec`] of a live job | any node, on acceptance |
//! | `e/<job>` | [`EndedRecord`] of a job that is over | the leader (done), any node (cancelled) |
//! | `d/<job>/<chunk>` | bitmap of completed tasks, base64 | the leader |
//! | `m/<machine>` | [`MachineRecord`]: what may be on a machine | the leader |
//! | `h/<request>` | a rental sent to the cloud | the leader |
//! | `types` | machine types, for nodes that start while the cloud is down | the leader |

use crate::constants::DONE_CHUNK;
use crate::model::{JobId, JobSpec, Resources};
use crate::wire::{Flavors, RentalRequest};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::Arc;
use thiserror::Error;

pub const LEADER: &str = "leader";
pub const TYPES: &str = "types";
pub const JOBS: &str = "j/";
pub const ENDED: &str = "e/";
pub const DONE: &str = "d/";
pub const MACHINES: &str = "m/";
pub const RENTALS: &str = "h/";

pub fn job_key(job: &str) -> String {
    format!("{JOBS}{job}")
}

pub fn ended_key(job: &str) -> String {
    format!("{ENDED}{job}")
}

pub fn done_key(job: &JobId, chunk: u32) -> String {
    format!("{DONE}{job}/{chunk}")
}

pub fn machine_key(machine: &str) -> String {
    format!("{MACHINES}{machine}")
}

pub fn rental_key(request: &str) -> String {
    format!("{RENTALS}{request}")
}

#[derive(Debug, Error)]
#[error("unreadable record: {0}")]
pub struct RecordError(String);

/// Who leads. `incarnation` tells a node from its own former life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    pub incarnation: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ending {
    Done,
    Cancelled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRecord {
    pub end: Ending,
    pub tasks: u32,
}

/// A start that was or may have been sent to a machine. Team and needs stand
/// beside it because the job itself may be over, and its record gone, while the
/// task still takes its team's quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartRecord {
    pub job: JobId,
    pub index: u32,
    pub attempt: u64,
    pub team: String,
    pub needs: Resources,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub addr: Option<String>,
    pub starts: Vec<StartRecord>,
    /// Images it is thought to hold, with their size in GB, the latest used last.
    #[serde(default)]
    pub images: Vec<(Arc<str>, f64)>,
    /// It is being given back: nothing may be placed there any more.
    pub returning: bool,
}

macro_rules! record {
    ($kind:ty) => {
        impl Record for $kind {}
    };
}

/// Anything kept as one JSON value.
pub trait Record: Serialize + for<'a> Deserialize<'a> {
    fn to_value(&self) -> Value {
        // Serialising plain data into a JSON tree fails only on non-string map
        // keys, which no record has.
        serde_json::to_value(self).unwrap_or(Value::Null)
    }

    fn from_value(value: &Value) -> Result<Self, RecordError> {
        Self::deserialize(value).map_err(|error| RecordError(error.to_string()))
    }
}

record!(LeaderRecord);
record!(EndedRecord);
record!(MachineRecord);
record!(JobSpec);
record!(RentalRequest);
record!(Flavors);

/// Which chunk a task's completion is recorded in.
pub fn chunk_of(task: u32) -> u32 {
    task / DONE_CHUNK
}

/// The completed tasks of one chunk as a bitmap.
pub fn encode_done(done: &BTreeSet<u32>, chunk: u32) -> Value {
    let start = chunk * DONE_CHUNK;
    let mut bits: Vec<u8> = Vec::new();
    for task in done.range(start..start + DONE_CHUNK) {
        let at = (task - start) as usize;
        if bits.len() <= at / 8 {
            bits.resize(at / 8 + 1, 0);
        }
        bits[at / 8] |= 1 << (at % 8);
    }
    Value::String(STANDARD_NO_PAD.encode(bits))
}

/// Adds the completed tasks of a chunk's record to `done`.
pub fn decode_done(value: &Value, chunk: u32, done: &mut BTreeSet<u32>) -> Result<(), RecordError> {
    let text = value
        .as_str()
        .ok_or_else(|| RecordError("a bitmap is not a string".to_owned()))?;
    let bits = STANDARD_NO_PAD
        .decode(text)
        .map_err(|error| RecordError(error.to_string()))?;
    if bits.len() > (DONE_CHUNK / 8) as usize {
        return Err(RecordError("a bitmap is too long".to_owned()));
    }
    let start = chunk
        .checked_mul(DONE_CHUNK)
        .ok_or_else(|| RecordError("a chunk's number is too large".to_owned()))?;
    for (byte, bits) in (0u32..).zip(bits) {
        for bit in (0..8).filter(|bit| bits >> bit & 1 == 1) {
            done.insert(start + byte * 8 + bit);
        }
    }
    Ok(())
}

/// Splits `d/<job>/<chunk>` into its parts.
pub fn parse_done_key(key: &str) -> Option<(&str, u32)> {
    let (job, chunk) = key.strip_prefix(DONE)?.rsplit_once('/')?;
    Some((job, chunk.parse().ok()?))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn done_chunks_survive_encoding(tasks in proptest::collection::btree_set(0u32..40_000, 0..300)) {
            let mut read = BTreeSet::new();
            for chunk in 0..=chunk_of(40_000) {
                let value = encode_done(&tasks, chunk);
                decode_done(&value, chunk, &mut read).unwrap();
            }
            prop_assert_eq!(read, tasks);
        }

        #[test]
        fn any_string_is_a_bitmap_or_an_error(text in ".{0,40}", chunk in any::<u32>()) {
            let mut read = BTreeSet::new();
            let _ = decode_done(&Value::String(text), chunk, &mut read);
            prop_assert!(read.len() <= DONE_CHUNK as usize);
        }
    }
}
