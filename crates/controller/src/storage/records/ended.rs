//! The record of an ended job.

use indigopath_accounting::{Entry, VisibleJob};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ending {
    /// All its tasks are done.
    Done,
    /// A user cancelled it.
    Cancelled,
}

/// An ended job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJobRecord {
    /// How it ended.
    pub end: Ending,
    /// Number of its tasks that are done: all, or 0 for a cancelled job.
    pub tasks: u32,
    /// Its accounting entry. Not in records of earlier builds. An unreadable entry is treated as
    /// missing, because users must learn the state of an ended job in any case.
    #[serde(
        rename = "h",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "entry_or_none"
    )]
    entry: Option<Entry>,
}

/// Treats an unreadable entry as missing.
fn entry_or_none<'de, D: Deserializer<'de>>(value: D) -> Result<Option<Entry>, D::Error> {
    Ok(Entry::deserialize(Value::deserialize(value)?).ok())
}

impl EndedJobRecord {
    /// The record of a completed job.
    pub fn done(entry: Entry) -> EndedJobRecord {
        EndedJobRecord {
            end: Ending::Done,
            tasks: entry.tasks,
            entry: Some(entry),
        }
    }

    /// The record of a job cancelled by a user with access to it. Its live record determines which
    /// team the accounting entry belongs to; where that is unreadable, there is no entry.
    pub fn cancelled(_access: &VisibleJob, entry: Option<Entry>) -> EndedJobRecord {
        EndedJobRecord {
            end: Ending::Cancelled,
            tasks: 0,
            entry,
        }
    }

    /// Its accounting entry, if any.
    pub fn entry(&self) -> Option<&Entry> {
        self.entry.as_ref()
    }
}
