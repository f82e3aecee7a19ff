//! Windows in local time, such as a store's trading hours, during which some services are protected.
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
//! let service = Service { id: "wk-000412", class: "live", team: "red", submitted_ms: 0 };
//! state.update(noon_ms, [service]);
//! assert_eq!(state.standing("wk-000412").map(|standing| standing.rank), Some(1));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! A [`WindowSchedule`] defines recurring windows; operators define it as a `shift` in the settings.
//! The state of the windows is recorded in the state service and survives a change of leader.
//!
//! The crate does no I/O and reads no clock: the time of day, the live services and the records are
//! arguments; the protected services, their order, and the values to write are results.
//!
//! # Clocks
//!
//! The clocks of successive leaders differ by up to a known bound. A window is opened as soon as any
//! clock within the bound has reached its start, and closed once all of them have reached its end.
//! Once opened or closed, a window stays so under the next leaders. See [`WindowState`] for the
//! rules, and for the behaviour while nothing can be written.
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

/// The local calendar day on which a window opens.
pub type Day = jiff::civil::Date;

/// Name of a schedule, or id of a job. Reference-counted, as each service refers to several.
pub type Name = std::sync::Arc<str>;
