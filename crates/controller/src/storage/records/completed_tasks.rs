//! Records of completed tasks. The tasks of a job are divided into chunks of
//! [`COMPLETED_TASKS_PER_CHUNK`]; a record contains a bitmap for each of many chunks.

use super::RecordError;
use crate::constants::{CHUNK_KEY_OVERHEAD_BYTES, COMPLETED_TASKS_PER_CHUNK};
use crate::model::JobId;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Completed tasks: a bitmap for each `<job>/<chunk>`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CompletedTasksRecord(pub BTreeMap<String, String>);

/// The key of a job's chunk in a [`CompletedTasksRecord`].
pub fn chunk_key(job: &JobId, chunk: u32) -> String {
    format!("{job}/{chunk}")
}

/// Maximum size in a record of a chunk of a job with this many tasks.
pub fn max_chunk_bytes(tasks: u32) -> usize {
    tasks.min(COMPLETED_TASKS_PER_CHUNK).div_ceil(u8::BITS) as usize * 4 / 3 + CHUNK_KEY_OVERHEAD_BYTES
}

/// The chunk in which a task's completion is recorded.
pub fn chunk_of(task: u32) -> u32 {
    task / COMPLETED_TASKS_PER_CHUNK
}

/// Encodes the completed tasks of one chunk as a bitmap.
pub fn encode_completed_tasks(done: &BTreeSet<u32>, chunk: u32) -> String {
    let start = chunk * COMPLETED_TASKS_PER_CHUNK;
    let mut bits: Vec<u8> = Vec::new();
    for task in done.range(start..start + COMPLETED_TASKS_PER_CHUNK) {
        let position = task - start;
        let byte = (position / u8::BITS) as usize;
        if bits.len() <= byte {
            bits.resize(byte + 1, 0);
        }
        bits[byte] |= 1 << (position % u8::BITS);
    }
    STANDARD_NO_PAD.encode(bits)
}

/// Decodes the bitmap of a chunk and adds its tasks to `done`.
pub fn decode_completed_tasks(text: &str, chunk: u32, done: &mut BTreeSet<u32>) -> Result<(), RecordError> {
    let bits = STANDARD_NO_PAD.decode(text)?;
    if bits.len() > (COMPLETED_TASKS_PER_CHUNK / u8::BITS) as usize {
        return Err(RecordError::BitmapTooLong);
    }
    let start = chunk
        .checked_mul(COMPLETED_TASKS_PER_CHUNK)
        .ok_or(RecordError::ChunkTooLarge)?;
    for (byte, bits) in (0u32..).zip(bits) {
        for bit in (0..u8::BITS).filter(|bit| bits >> bit & 1 == 1) {
            done.insert(start + byte * u8::BITS + bit);
        }
    }
    Ok(())
}

/// Splits `<job>/<chunk>` into its parts.
pub fn parse_chunk_key(name: &str) -> Option<(&str, u32)> {
    let (job, chunk) = name.rsplit_once('/')?;
    Some((job, chunk.parse().ok()?))
}
