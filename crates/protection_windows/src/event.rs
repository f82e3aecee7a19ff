//! Input and output types of [`WindowState`](crate::WindowState).

use crate::{Day, Name};

/// A live service.
#[derive(Debug, Clone, Copy)]
pub struct Service<'a> {
    /// Id of its job.
    pub id: &'a str,
    /// Its class.
    pub class: &'a str,
    /// Its team.
    pub team: &'a str,
    /// When its user submitted it, in ms since the Unix epoch.
    pub submitted_ms: u64,
}

/// The place of a protected service in the scheduling order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Standing {
    /// Lower ranks are served first.
    pub rank: u16,
    /// Among services of one rank, lower positions are served first. `u64::MAX` until the position
    /// is recorded.
    pub position: u64,
}

/// Capacity that is kept free for the services that a schedule protects.
#[derive(Debug, Clone, PartialEq)]
pub struct SpareShare {
    /// Name of the schedule.
    pub schedule: Name,
    /// Fraction of what the schedule protects, from 0 to 1. It gradually falls to 0 after the end of
    /// a window.
    pub share: f64,
}

/// Why a window was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The window ended.
    Ended,
    /// The settings no longer define a window on that day.
    NoWindow,
}

/// An event that is reported to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A window was opened: its services are protected now, or once the opening is recorded.
    Opened {
        /// Name of the schedule.
        schedule: Name,
        /// Day on which the window opened.
        day: Day,
        /// When it closes, in ms since the Unix epoch.
        closes_ms: u64,
    },
    /// A window was closed.
    Closed {
        /// Name of the schedule.
        schedule: Name,
        /// Day on which the window opened.
        day: Day,
        /// Why it was closed.
        reason: CloseReason,
    },
    /// This node's clock is behind the recorded time of day by more than the bound.
    ClockBehind {
        /// Difference in ms.
        behind_ms: u64,
    },
    /// A window is recorded as open, but its schedule is not in this node's settings.
    NotInSettings {
        /// Name of the schedule.
        schedule: Name,
        /// When the window closes, in ms since the Unix epoch.
        closes_ms: u64,
    },
    /// Services are protected without a recorded position, as the maximum number of positions is in
    /// use.
    PositionsExhausted {
        /// Number of services without a position.
        services: usize,
    },
    /// The windows do not fit into a value. Writing is disabled.
    TooLarge {
        /// Maximum bytes of a value.
        max_bytes: usize,
    },
}

/// A value to be written or deleted, on condition that its key still has the given version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueWrite {
    /// Number of the value: 0 for windows, 1 and up for services.
    pub number: u32,
    /// The value; `None` to delete it.
    pub value: Option<String>,
    /// The version that the key is required to have.
    pub version: u64,
}

/// The state of a schedule, for display.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowStatus {
    /// Name of the schedule.
    pub schedule: Name,
    /// Whether a window is open.
    pub open: bool,
    /// When the open window closes or the next one opens, in ms since the Unix epoch.
    pub until_ms: Option<u64>,
    /// Number of protected services.
    pub services: usize,
}
