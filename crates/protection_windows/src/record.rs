//! The serialized form of the values in the state service: value 0 contains the windows, and values 1
//! and up contain many services each. Each value contains its format version, so that a build
//! recognizes values that it cannot read.

use crate::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the format that this build writes.
const FORMAT_VERSION: u16 = 1;

/// Why a value cannot be used. All values are then left unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    /// It is truncated or otherwise malformed.
    #[error("unreadable: {0}")]
    Unreadable(String),
    /// A newer build wrote it, in this format.
    #[error("a later build wrote it, in form {0}")]
    NewerFormat(u16),
}

/// A window that is open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OpenEntry {
    #[serde(rename = "s")]
    pub schedule: Name,
    /// The day on which it opened.
    #[serde(rename = "d")]
    pub day: String,
    /// Time of opening by the clock of the leader that opened it, in ms since the Unix epoch.
    #[serde(rename = "o")]
    pub opened_ms: u64,
    /// Closing time according to the settings at the time of writing.
    #[serde(rename = "c")]
    pub closes_ms: u64,
    #[serde(rename = "r")]
    pub rank: u16,
}

/// The latest closed window of a schedule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClosedEntry {
    #[serde(rename = "s")]
    pub schedule: Name,
    #[serde(rename = "d")]
    pub day: String,
    /// Time of closing by the clock of the leader that closed it.
    #[serde(rename = "at")]
    pub at_ms: u64,
}

/// Value 0: the windows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WindowsRecord {
    /// Time of day of the leader that wrote it. Later leaders do not assume an earlier time.
    #[serde(rename = "at")]
    pub at_ms: u64,
    #[serde(default)]
    pub open: Vec<OpenEntry>,
    #[serde(default)]
    pub closed: Vec<ClosedEntry>,
}

/// The serialized form of a [`ServiceEntry`]: a tuple of its fields in order.
type ServiceEntryForm = (Name, u16, u64, usize);

/// A protected service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ServiceEntryForm", into = "ServiceEntryForm")]
pub(crate) struct ServiceEntry {
    /// Id of its job.
    pub job: Name,
    pub rank: u16,
    /// Position in the order of services of one rank.
    pub position: u64,
    /// Index of the schedule among the value's schedules.
    pub schedule: usize,
}

impl From<ServiceEntryForm> for ServiceEntry {
    fn from((job, rank, position, schedule): ServiceEntryForm) -> ServiceEntry {
        ServiceEntry {
            job,
            rank,
            position,
            schedule,
        }
    }
}

impl From<ServiceEntry> for ServiceEntryForm {
    fn from(entry: ServiceEntry) -> ServiceEntryForm {
        (entry.job, entry.rank, entry.position, entry.schedule)
    }
}

/// Values 1 and up: protected services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServicesRecord {
    #[serde(rename = "s")]
    pub schedules: Vec<Name>,
    #[serde(rename = "j")]
    pub services: Vec<ServiceEntry>,
}

#[derive(Serialize, Deserialize)]
struct Versioned<T> {
    #[serde(rename = "v")]
    format: u16,
    #[serde(flatten)]
    value: T,
}

pub(crate) fn encode<T: Serialize>(value: T) -> String {
    // Serializing plain data fails only for maps with keys that are not strings; there are none.
    serde_json::to_string(&Versioned {
        format: FORMAT_VERSION,
        value,
    })
    .unwrap_or_default()
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, RecordError> {
    #[derive(Deserialize)]
    struct VersionOnly {
        #[serde(rename = "v")]
        format: u16,
    }
    let unreadable = |error: serde_json::Error| RecordError::Unreadable(error.to_string());
    let version: VersionOnly = serde_json::from_str(text).map_err(unreadable)?;
    if version.format > FORMAT_VERSION {
        return Err(RecordError::NewerFormat(version.format));
    }
    let versioned: Versioned<T> = serde_json::from_str(text).map_err(unreadable)?;
    Ok(versioned.value)
}

#[cfg(test)]
mod tests;
