//! The serialized form of the values in the state service: one value of windows, numbered 0, and
//! values of many services each, numbered from 1. Each states the version of its form, so that a
//! build knows what it cannot read.

use crate::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the form that this build writes.
const FORMAT_VERSION: u16 = 1;

/// A value that cannot be used. All values are then left as they are.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    /// It is cut short, or was not written by any build.
    #[error("unreadable: {0}")]
    Unreadable(String),
    /// A later build wrote it, in this form.
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
    /// By the clock of the leader that opened it, in ms since 1970.
    #[serde(rename = "o")]
    pub opened_ms: u64,
    /// As its definition said then.
    #[serde(rename = "c")]
    pub closes_ms: u64,
    #[serde(rename = "r")]
    pub rank: u16,
}

/// The latest window of a shift that is over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClosedEntry {
    #[serde(rename = "s")]
    pub schedule: Name,
    #[serde(rename = "d")]
    pub day: String,
    /// By the clock of the leader that closed it.
    #[serde(rename = "at")]
    pub at_ms: u64,
}

/// Value 0.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WindowsRecord {
    /// Time of day of the leader that wrote it: none that follows goes back behind it.
    #[serde(rename = "at")]
    pub at_ms: u64,
    #[serde(default)]
    pub open: Vec<OpenEntry>,
    #[serde(default)]
    pub closed: Vec<ClosedEntry>,
}

/// The serialized form of a [`ServiceEntry`]: its fields in their order.
type ServiceEntryForm = (Name, u16, u64, usize);

/// A protected service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ServiceEntryForm", into = "ServiceEntryForm")]
pub(crate) struct ServiceEntry {
    /// Id of its job.
    pub job: Name,
    pub rank: u16,
    /// Its place in the order.
    pub position: u64,
    /// Index of the shift among the value's shifts.
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

/// Values 1 and up.
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
    // Plain data fails only on maps whose keys are no strings, and there is none.
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
