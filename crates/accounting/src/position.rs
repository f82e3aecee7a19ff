//! The order of ends.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The position of a job's end among all ends: by the revision that recorded it, and by job where
/// one revision recorded several.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Revision of the state service.
    pub revision: u64,
    /// Id of the job.
    pub job: Arc<str>,
}

impl Position {
    /// The position after all ends of a revision.
    pub fn after_revision(revision: u64) -> Position {
        Position {
            revision,
            // Sorts after the id of every job.
            job: Arc::from("~"),
        }
    }
}
