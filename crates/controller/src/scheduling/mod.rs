//! Scheduling decisions: task placement, fair share, gangs and forecasts of objectives.
//!
//! These modules read the leader's state and return decisions or warnings. They do not depend on the leader:
//! its measurements are passed in through [`image_statistics::ImageStatistics`].

pub mod fair_share;
pub mod gangs;
pub mod image_statistics;
pub mod objective_forecast;
pub mod placement;
