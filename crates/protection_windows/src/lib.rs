//! Windows in local time, such as a store's trading hours, in which some services are protected.
//!
//! ```
//! use indigopath_protection_windows::{Definitions, Service, WindowState, check};
//!
//! let definitions: Definitions = serde_json::from_str(r#"{ "trading": {
//!     "time_zone": "Australia/Perth", "days": ["mon", "tue"], "from": "06:00", "to": "22:00",
//!     "classes": ["live"], "rank": 1, "lead_s": 120, "spare": 0.05 } }"#)?;
//! let timetable = check(&definitions, |team| team == "red")?;
//! let mut state = WindowState::new(timetable, 50, 16_000);
//!
//! // Tuesday, 1 December 2026, noon in Perth.
//! let noon_ms = 1_796_097_600_000;
//! let till = Service { id: "wk-000412", class: "live", team: "red", submitted_ms: 0 };
//! state.update(noon_ms, [till]);
//! assert_eq!(state.standing("wk-000412").map(|standing| standing.rank), Some(1));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! A *shift* is the operators' definition of recurring windows. The state of the windows survives a
//! change of leader, as it is on record in the state service.
//!
//! The package does no input or output and reads no clock: the time of day, the live services and the
//! records are arguments; which services are protected, their order, and the values to be written are
//! results.
//!
//! # Clocks
//!
//! The times of day of successive leaders differ by up to a known bound. A window is opened as soon
//! as it may be time by any clock within the bound, and closed once it is time by all of them. What
//! was begun or ended once stays so, whoever leads next: see [`WindowState`] for the rules, and for
//! what holds while nothing can be written.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod constants;
mod definition;
mod event;
mod record;
mod timetable;
mod window_state;

pub use definition::{Definition, DefinitionError, Definitions, check, unknown_classes};
pub use event::{CloseReason, Event, Service, SpareShare, Standing, ValueWrite, WindowStatus};
pub use record::RecordError;
pub use timetable::{Timetable, Window, WindowSchedule};
pub use window_state::WindowState;

/// The day, by the local calendar, on which a window opens.
pub type Day = jiff::civil::Date;

/// Name of a shift, or id of a job. Shared, as each service has some.
pub type Name = std::sync::Arc<str>;
