//! Limits on the open connections of one process, by class of connection.
//!
//! ```
//! use indigopath_connection_limits::{ConnectionClass, ConnectionLimiter, Limits};
//!
//! let limits = Limits { sockets: 48, peers: 2, idle_ms: 30_000, report_ms: 8_000 };
//! let mut limiter = ConnectionLimiter::new(&limits);
//! let mut open = Vec::new();
//! // A fleet of 200 workers sends its reports one after another.
//! for _ in 0..200 {
//!     let mut slot = limiter
//!         .open(ConnectionClass::Unidentified, 0)
//!         .expect("no client is refused");
//!     limiter.identify(&mut slot, ConnectionClass::Worker);
//!     if limiter.response_closes(&slot, 0) {
//!         limiter.close(slot);
//!     } else {
//!         open.push(slot);
//!     }
//! }
//! assert!(open.len() > 10 && open.len() < 48);
//! // A user still gets a slot, and keeps it.
//! let mut slot = limiter.open(ConnectionClass::Unidentified, 0).unwrap();
//! limiter.identify(&mut slot, ConnectionClass::User);
//! assert!(!limiter.response_closes(&slot, 0));
//! ```
//!
//! Each class has reserved slots that no other class can take. Slots beyond the reserves are
//! shared, first come, first served. As they run short, responses close their connections
//! (`Connection: close`), those of workers first: a worker reconnects with its next report, so it
//! loses nothing, and no report can be in transit on a connection that closes. A client that finds a
//! slot neither in the reserve of its class nor in the shared part is served in the reserve of
//! unidentified clients, and its connection closes with the response.
//!
//! The package does no input or output and reads no clock: time is an argument, in milliseconds of
//! the process's monotonic clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod class;
mod constants;
mod limiter;
mod shortage;

pub use class::{CONNECTION_CLASS_COUNT, ConnectionClass, PerClass};
pub use limiter::{ConnectionLimiter, ConnectionSlot, Limits, NoCapacity};
pub use shortage::{ShortageCounts, ShortageEvent};

/// Milliseconds of the process's monotonic clock.
pub type Timestamp = u64;
