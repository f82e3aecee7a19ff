//! Opens and closes windows by the clock.

use super::WindowState;
use crate::constants::{CLOSED_WINDOW_RETENTION_DAYS, DAY_MS};
use crate::event::{CloseReason, Event};
use crate::timetable::{Window, WindowSchedule};
use crate::{Day, Name};
use std::collections::BTreeMap;

/// Identifies a window by its schedule and the day on which it opens.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WindowKey {
    pub(super) schedule: Name,
    pub(super) day: Day,
}

/// Whether the opening or closing of a window is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The opening is decided but not recorded yet.
    Opening,
    /// The window is recorded as open.
    Open,
    /// The closing is decided but not recorded yet.
    Closing,
}

#[derive(Debug, Clone)]
pub(super) struct OpenWindow {
    pub(super) stage: Stage,
    pub(super) opened_ms: u64,
    /// When protection starts, if the settings define the window.
    pub(super) ready_ms: Option<u64>,
    pub(super) closes_ms: u64,
    pub(super) rank: u16,
    /// Whether its services are protected now.
    pub(super) active: bool,
}

/// The latest closed window of a schedule.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClosedWindow {
    pub(super) day: Day,
    pub(super) at_ms: u64,
}

/// Records that a window was closed, unless a later one of the same schedule was.
pub(super) fn record_closed(closed: &mut BTreeMap<Name, ClosedWindow>, key: &WindowKey, at_ms: u64) {
    let is_later_closed = closed
        .get(&key.schedule)
        .is_some_and(|latest| latest.day >= key.day);
    if !is_later_closed {
        let window = ClosedWindow { day: key.day, at_ms };
        closed.insert(key.schedule.clone(), window);
    }
}

impl WindowState {
    /// Opens windows that are due, and returns whether the record has to be written.
    pub(super) fn open_windows(&mut self, time: u64, events: &mut Vec<Event>) -> bool {
        let mut changed = false;
        let timetable = self.timetable.clone();
        for (name, schedule) in timetable.iter() {
            for window in schedule.windows_near(time) {
                changed |= self.open_window(name, schedule, window, time, events);
            }
        }
        changed
    }

    fn open_window(
        &mut self,
        name: &Name,
        schedule: &WindowSchedule,
        window: Window,
        time: u64,
        events: &mut Vec<Event>,
    ) -> bool {
        let key = WindowKey {
            schedule: name.clone(),
            day: window.day,
        };
        if let Some(open) = self.windows.get_mut(&key) {
            // The end and the rank follow the current settings; that it is open follows the record.
            let is_unchanged = open.closes_ms == window.closes_ms && open.rank == schedule.rank;
            open.closes_ms = window.closes_ms;
            open.ready_ms = Some(window.ready_ms);
            open.rank = schedule.rank;
            return !is_unchanged;
        }
        let is_over = self
            .closed
            .get(name)
            .is_some_and(|closed| window.day <= closed.day);
        if is_over || !self.may_be_open(&window, time) {
            return false;
        }
        let open = OpenWindow {
            stage: Stage::Opening,
            opened_ms: time,
            ready_ms: Some(window.ready_ms),
            closes_ms: window.closes_ms,
            rank: schedule.rank,
            // At the first update, a previous leader may already have started to protect.
            active: !self.has_updated,
        };
        self.windows.insert(key, open);
        events.push(Event::Opened {
            schedule: name.clone(),
            day: window.day,
            closes_ms: window.closes_ms,
        });
        true
    }

    /// Whether the window may be open by some clock within the bound.
    fn may_be_open(&self, window: &Window, time: u64) -> bool {
        time + self.max_clock_difference_ms >= window.ready_ms
            && time < window.closes_ms + self.max_clock_difference_ms
    }

    /// Closes windows that are due, and returns whether the record has to be written.
    pub(super) fn close_windows(&mut self, time: u64, events: &mut Vec<Event>) -> bool {
        let mut changed = false;
        let mut removed = Vec::new();
        for (key, window) in &mut self.windows {
            let schedule = self.timetable.get(&key.schedule);
            if schedule.is_none() && self.reported_missing.insert(key.schedule.clone()) {
                events.push(Event::NotInSettings {
                    schedule: key.schedule.clone(),
                    closes_ms: window.closes_ms,
                });
            }
            let reason = if schedule.is_some_and(|schedule| schedule.window_on(key.day).is_none()) {
                CloseReason::NoWindow
            } else if time >= window.closes_ms + self.max_clock_difference_ms {
                CloseReason::Ended
            } else {
                continue;
            };
            if window.stage != Stage::Closing {
                window.stage = Stage::Closing;
                changed = true;
                events.push(Event::Closed {
                    schedule: key.schedule.clone(),
                    day: key.day,
                    reason,
                });
            } else if self.writes_disabled {
                // Writing is disabled, so the closing will never be recorded.
                removed.push(key.clone());
            }
        }
        for key in removed {
            self.windows.remove(&key);
            record_closed(&mut self.closed, &key, time);
            changed = true;
        }
        self.drop_old_closed(time) || changed
    }

    /// Drops closed windows after their retention time, and returns whether there were any.
    fn drop_old_closed(&mut self, time: u64) -> bool {
        let retained_from = i64::try_from(time).unwrap_or(0) - CLOSED_WINDOW_RETENTION_DAYS * DAY_MS;
        let before = self.closed.len();
        self.closed
            .retain(|_, closed| i64::try_from(closed.at_ms).unwrap_or(i64::MAX) >= retained_from);
        self.closed.len() < before
    }

    /// Activates windows that are recorded as open, or have started by this node's clock.
    pub(super) fn activate_windows(&mut self, time: u64) {
        for window in self.windows.values_mut() {
            let has_started = window.ready_ms.is_some_and(|ready| time >= ready);
            window.active |= window.stage == Stage::Open || window.stage == Stage::Opening && has_started;
        }
        self.has_updated = true;
    }
}
