//! Which tasks are or may be running on which machine.
//!
//! An attempt is added before its start is recorded, and removed only on proof: a newer report of
//! its machine under the current token that does not list it, the cloud's statement that the
//! machine is gone, a later agent epoch, or a lease that has provably expired. Until then it counts
//! for quota, zones and uniqueness.

mod attempt;
mod commands;
mod image_fetches;
mod machine;
mod reconciliation;
mod start_permission;

pub use attempt::{Attempt, Stop, UnacknowledgedCommand};
pub use machine::{Machine, Usability};
pub use reconciliation::Change;
pub use start_permission::{CommandBatch, StartLimits, StartPermission};

/// Agent epoch of a worker's report and its sequence number within that epoch, ordered by time.
pub type ReportNumber = (u64, u64);

#[cfg(test)]
mod tests;
