//! Counted resources: named pools of identical units, such as licence seats, that a scheduler
//! allocates to tasks without ever allocating a unit twice.
//!
//! The crate does no I/O. Units held by tasks are passed in from the scheduler's records; units
//! held by clients outside the cluster are parsed from the text of a licence server.
//!
//! ```
//! use indigopath_counted_resources::{Definitions, Demand, Requester, UnitLedger};
//! use std::collections::BTreeMap;
//!
//! let definitions: Definitions = serde_json::from_str(r#"{ "optimiser": { "units": 2 } }"#)?;
//! let seat = Demand::new(&BTreeMap::from([("optimiser".to_owned(), 1)]))?;
//! let requester = Requester { age_s: 0.0, estimate_s: 30.0, reserved_s: 0.0 };
//!
//! let mut unit_ledger = UnitLedger::new(&definitions);
//! unit_ledger.hold("slotting", &seat, 12.0, false);
//! assert_eq!(unit_ledger.available(&seat, 5, &requester), 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
#![forbid(unsafe_code)]

pub mod constants;
mod definition;
mod demand;
mod licence;
mod linger;
pub mod status;
mod unit_ledger;

pub use definition::{Definition, DefinitionError, Definitions, check_definitions, is_valid_name};
pub use demand::{Demand, DemandError, DemandInterner, UnsatisfiableDemand};
pub use licence::{FeedState, Usage, UsageFeed, UsageParseError, parse_usage};
pub use linger::{Linger, LingerEntry, LingerSet};
pub use unit_ledger::{
    ClosedReason, Deficit, Pool, Requester, ReservationPolicy, Shortage, ShortageReason, SingleCount,
    TeamUsage, UnitLedger,
};

/// Name of a counted resource or a team. Reference-counted, because every attempt and record
/// holds several.
pub type Name = std::sync::Arc<str>;
