//! Permits: values that only this package makes, and without which no call to the cloud can be
//! built.

use crate::GuardedOperation;
use std::collections::BTreeMap;
use thiserror::Error;

/// Milliseconds of the node's monotonic clock.
pub type Timestamp = u64;

/// The leader lease as its holder knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing token of the lease, which increases from leader to leader.
    pub epoch: u64,
    /// The first moment at which the lease may have expired. It counts from when the last
    /// confirmed renewal was *sent*, less the clocks' drift.
    pub until: Timestamp,
}

/// Permission for one operation, valid for as long as the holder's lease is certainly live.
///
/// Only [`Permits::request`] makes one. It is checked again when the bytes of the call are sent: a
/// call that waited in a queue, or in a suspended process, until the lease expired is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    operation: GuardedOperation,
    epoch: u64,
    until: Timestamp,
}

impl Permit {
    /// The operation that it permits.
    pub fn operation(&self) -> GuardedOperation {
        self.operation
    }

    /// The fencing token under which it was granted.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The moment at which it expires, in ms.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// Whether the operation may still be sent.
    pub fn allows(&self, now: Timestamp) -> bool {
        now < self.until
    }
}

/// Why no permit is granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PermitError {
    /// This controller holds no lease.
    #[error("this node does not hold the leader lease")]
    NotHeld,
    /// The lease may have expired, and another leader may have been elected.
    #[error("the leader lease may have expired")]
    MayBeReplaced,
}

/// Grants permits under the current lease, and counts the operations that were not carried out.
#[derive(Debug, Default)]
pub struct Permits {
    lease: Option<HeldLease>,
    /// Operations for which no permit was granted.
    refused: BTreeMap<GuardedOperation, u64>,
    /// Operations whose permit expired before they were sent.
    late: BTreeMap<GuardedOperation, u64>,
}

impl Permits {
    /// Records the lease that this controller holds from now on. A lower epoch, or an earlier
    /// expiry of the same one, changes nothing.
    pub fn hold(&mut self, lease: HeldLease) {
        let newer = self
            .lease
            .is_none_or(|own| (own.epoch, own.until) < (lease.epoch, lease.until));
        if newer {
            let until = self.lease.map_or(0, |own| own.until);
            self.lease = Some(HeldLease {
                until: lease.until.max(until),
                ..lease
            });
        }
    }

    /// This controller no longer holds the lease.
    pub fn release(&mut self) {
        self.lease = None;
    }

    /// The lease that this controller holds.
    pub fn held(&self) -> Option<HeldLease> {
        self.lease
    }

    /// Grants a permit for an operation that starts now.
    ///
    /// # Errors
    /// This controller holds no lease, or the lease may have expired. The refusal is counted.
    pub fn request(&mut self, operation: GuardedOperation, now: Timestamp) -> Result<Permit, PermitError> {
        let refusal = match self.lease {
            Some(HeldLease { epoch, until }) if now < until => {
                return Ok(Permit {
                    operation,
                    epoch,
                    until,
                });
            }
            Some(_) => PermitError::MayBeReplaced,
            None => PermitError::NotHeld,
        };
        *self.refused.entry(operation).or_default() += 1;
        Err(refusal)
    }

    /// Counts an operation whose permit expired before it was sent.
    pub fn note_late(&mut self, operation: GuardedOperation) {
        *self.late.entry(operation).or_default() += 1;
    }

    /// Number of operations that were not started because no permit was granted, by operation.
    pub fn refused(&self) -> impl Iterator<Item = (GuardedOperation, u64)> {
        self.refused.iter().map(|(operation, count)| (*operation, *count))
    }

    /// Number of operations dropped because their permit expired before they were sent.
    pub fn late(&self) -> impl Iterator<Item = (GuardedOperation, u64)> {
        self.late.iter().map(|(operation, count)| (*operation, *count))
    }
}

#[cfg(test)]
mod tests;
