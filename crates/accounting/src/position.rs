//! The order in which jobs ended.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The position of an ended job in the order of ends: by the revision at which the end was
/// recorded, then by job id, as one revision may record several.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Revision of the state service.
    pub revision: u64,
    /// Id of the job.
    pub job: Arc<str>,
}

impl Position {
    /// The position after all jobs that ended at a revision.
    pub fn after_revision(revision: u64) -> Position {
        Position {
            revision,
            // Sorts after the id of every job.
            job: Arc::from("~"),
        }
    }
}
