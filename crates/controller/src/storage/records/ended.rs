//! The record of a job that is over.

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

/// A job that is over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJobRecord {
    /// How it ended.
    pub end: Ending,
    /// How many of its tasks are done: all, or 0 for a cancelled job.
    pub tasks: u32,
    /// Its accounting entry. Not in records of earlier builds; one that cannot be read is none, as
    /// users must learn the state of an ended job whatever stands beside it.
    #[serde(
        rename = "h",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "entry_or_none"
    )]
    entry: Option<Entry>,
}

/// An entry that cannot be read is none.
fn entry_or_none<'de, D: Deserializer<'de>>(value: D) -> Result<Option<Entry>, D::Error> {
    Ok(Entry::deserialize(Value::deserialize(value)?).ok())
}

impl EndedJobRecord {
    /// All tasks of a job are done.
    pub fn done(entry: Entry) -> EndedJobRecord {
        EndedJobRecord {
            end: Ending::Done,
            tasks: entry.tasks,
            entry: Some(entry),
        }
    }

    /// A job is cancelled by a user with access to it. Its live record tells which team's accounting
    /// the entry goes to; where that cannot be read, there is no entry.
    pub fn cancelled(_access: &VisibleJob, entry: Option<Entry>) -> EndedJobRecord {
        EndedJobRecord {
            end: Ending::Cancelled,
            tasks: 0,
            entry,
        }
    }

    /// Its accounting entry, if it has one.
    pub fn entry(&self) -> Option<&Entry> {
        self.entry.as_ref()
    }
}
