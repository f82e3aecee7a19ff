//! The values that go into and come out of a [`WindowState`](crate::WindowState).

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
    /// When its user submitted it, in ms since 1970.
    pub submitted_ms: u64,
}

/// The priority of a protected service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Standing {
    /// Lower is served first.
    pub rank: u16,
    /// Among services of one rank, lower is served first; the highest number until the place is
    /// on record.
    pub position: u64,
}

/// Capacity that is kept free for the services that a shift protects.
#[derive(Debug, Clone, PartialEq)]
pub struct SpareShare {
    /// Name of the shift.
    pub schedule: Name,
    /// Part of what the shift protects, from 0 to 1. After a window's end it falls to 0 gradually.
    pub share: f64,
}

/// Why a window was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// Its end has come.
    Ended,
    /// The settings no longer have a window on that day.
    NoWindow,
}

/// What operators are to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A window was opened: its services are protected now, or once that is on record.
    Opened {
        /// Name of the shift.
        schedule: Name,
        /// Day on which the window opened.
        day: Day,
        /// When it closes, in ms since 1970.
        closes_ms: u64,
    },
    /// A window was closed.
    Closed {
        /// Name of the shift.
        schedule: Name,
        /// Day on which the window opened.
        day: Day,
        /// Why it was closed.
        reason: CloseReason,
    },
    /// The time of day on record is ahead of this node's clock by more than the bound.
    ClockBehind {
        /// By how much, in ms.
        behind_ms: u64,
    },
    /// A window is open on record, and this node's settings have no such shift.
    NotInSettings {
        /// Name of the shift.
        schedule: Name,
        /// When the window closes, in ms since 1970.
        closes_ms: u64,
    },
    /// Services are protected without a place on record, as there is no room for more.
    PositionsExhausted {
        /// How many services.
        services: usize,
    },
    /// The windows do not fit into a value: nothing more is written.
    TooLarge {
        /// Most bytes of a value.
        max_bytes: usize,
    },
}

/// A value to be written, or deleted, if its key still has the version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValueWrite {
    /// Number of the value: 0 for windows, from 1 on for services.
    pub number: u32,
    /// The value; `None` to delete it.
    pub value: Option<String>,
    /// The version that the key must have.
    pub version: u64,
}

/// The state of a shift, for display.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowStatus {
    /// Name of the shift.
    pub schedule: Name,
    /// Whether a window is open.
    pub open: bool,
    /// When the open window closes, or the next one opens, in ms since 1970.
    pub until_ms: Option<u64>,
    /// Number of services that it protects.
    pub services: usize,
}
