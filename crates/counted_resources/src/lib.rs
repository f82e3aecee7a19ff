//! Named counts, such as the seats of a licence, that a scheduler hands to tasks and
//! never hands out twice. Without input or output: what is held comes from the
//! scheduler's ledger, what others hold comes from a licence server's text.
//!
//! ```
//! use indigopath_counted_resources::{Asker, Book, Definitions, Demand};
//! use std::collections::BTreeMap;
//!
//! let definitions: Definitions = serde_json::from_str(r#"{ "optimiser": { "units": 2 } }"#)?;
//! let seat = Demand::new(&BTreeMap::from([("optimiser".to_owned(), 1)]))?;
//! let asker = Asker { age_s: 0.0, estimate_s: 30.0, kept_s: 0.0 };
//!
//! let mut book = Book::new(&definitions);
//! book.hold("slotting", &seat, 12.0, false);
//! assert_eq!(book.room(&seat, 5, &asker), 1);
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

/// Name of a count or a team. Shared, as every attempt and record carries some.
pub type Name = std::sync::Arc<str>;
