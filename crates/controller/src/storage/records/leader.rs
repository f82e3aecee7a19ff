//! The record under the leader's key.

use serde::{Deserialize, Serialize};

/// The current leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node's name.
    pub node: String,
    /// Distinguishes the process of a node from earlier ones.
    pub incarnation: u64,
}
