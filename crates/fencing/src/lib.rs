//! Operations that only the current leader may carry out, and the permits without which it
//! cannot.
//!
//! ```
//! use indigopath_fencing::{GuardedOperation, HeldLease, Permits};
//!
//! let mut permits = Permits::default();
//! // The lease was renewed at 1,000 ms of the monotonic clock and lives for 2,500 ms.
//! permits.hold(HeldLease { epoch: 41, until: 1_000 + 2_500 });
//! let permit = permits
//!     .request(GuardedOperation::ReleaseMachines, 2_000)
//!     .expect("the lease is live");
//! assert!(permit.allows(3_499) && !permit.allows(3_500));
//! // The process was suspended, or the state service refused a renewal: the lease may be over.
//! assert!(permits.request(GuardedOperation::ReleaseMachines, 3_500).is_err());
//! ```
//!
//! Transactions of a leader carry its fencing token, and so do commands to workers: the receiver
//! compares the token and rejects a lower one. The cloud compares nothing. Machines are protected
//! from a leader that was replaced in two ways: it cannot call the cloud without a [`Permit`],
//! which expires before another controller can be elected, and the request is recorded under its
//! token first (an *intent*), so that the successor knows of a call that is carried out late.
//!
//! The package does no input or output and reads no clock: time is an argument, in milliseconds of
//! the node's monotonic clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod operation;
mod permit;

pub use operation::{Fence, GUARDED_OPERATIONS, GuardedOperation, OperationSpec};
pub use permit::{HeldLease, Permit, PermitError, Permits, Timestamp};
