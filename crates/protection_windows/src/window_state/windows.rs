//! Opening and closing of windows by the clock.

use super::WindowState;
use crate::constants::{CLOSED_WINDOW_RETENTION_DAYS, DAY_MS};
use crate::event::{CloseReason, Event};
use crate::timetable::{Window, WindowSchedule};
use crate::{Day, Name};
use std::collections::BTreeMap;

/// A window of a shift, by the day on which it opens.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WindowKey {
    pub(super) schedule: Name,
    pub(super) day: Day,
}

/// How far a window's opening or closing is on record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The opening is decided, and not on record yet.
    Opening,
    /// It is open on record.
    Open,
    /// The closing is decided, and not on record yet.
    Closing,
}

#[derive(Debug, Clone)]
pub(super) struct OpenWindow {
    pub(super) stage: Stage,
    pub(super) opened_ms: u64,
    /// When protection is to begin, if the settings have the window.
    pub(super) ready_ms: Option<u64>,
    pub(super) closes_ms: u64,
    pub(super) rank: u16,
    /// Its services are protected now.
    pub(super) active: bool,
}

/// The latest window of a shift that is over.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClosedWindow {
    pub(super) day: Day,
    pub(super) at_ms: u64,
}

/// Notes that a window was closed, unless a later one of the shift was.
pub(super) fn record_closed(closed: &mut BTreeMap<Name, ClosedWindow>, key: &WindowKey, at_ms: u64) {
    let later = closed
        .get(&key.schedule)
        .is_some_and(|latest| latest.day >= key.day);
    if !later {
        let window = ClosedWindow { day: key.day, at_ms };
        closed.insert(key.schedule.clone(), window);
    }
}

impl WindowState {
    /// Opens windows whose time has come; returns whether anything changed that is on record.
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
            // The settings in force say when it ends; the record says that it has begun.
            let same = open.closes_ms == window.closes_ms && open.rank == schedule.rank;
            open.closes_ms = window.closes_ms;
            open.ready_ms = Some(window.ready_ms);
            open.rank = schedule.rank;
            return !same;
        }
        let over = self
            .closed
            .get(name)
            .is_some_and(|closed| window.day <= closed.day);
        if over || !self.may_be_open(&window, time) {
            return false;
        }
        let open = OpenWindow {
            stage: Stage::Opening,
            opened_ms: time,
            ready_ms: Some(window.ready_ms),
            closes_ms: window.closes_ms,
            rank: schedule.rank,
            // At the first update, a former leader may have begun to protect.
            active: !self.is_updated,
        };
        self.windows.insert(key, open);
        events.push(Event::Opened {
            schedule: name.clone(),
            day: window.day,
            closes_ms: window.closes_ms,
        });
        true
    }

    /// Whether the window is open by some clock within the bound.
    fn may_be_open(&self, window: &Window, time: u64) -> bool {
        time + self.max_clock_difference_ms >= window.ready_ms
            && time < window.closes_ms + self.max_clock_difference_ms
    }

    /// Closes windows whose end has come; returns whether anything changed that is on record.
    pub(super) fn close_windows(&mut self, time: u64, events: &mut Vec<Event>) -> bool {
        let mut changed = false;
        let mut gone = Vec::new();
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
                // Nothing is written any more, so the end will never be on record.
                gone.push(key.clone());
            }
        }
        for key in gone {
            self.windows.remove(&key);
            record_closed(&mut self.closed, &key, time);
            changed = true;
        }
        self.drop_old_closed(time) || changed
    }

    /// Forgets windows that were closed days ago; returns whether there were any.
    fn drop_old_closed(&mut self, time: u64) -> bool {
        let kept_from = i64::try_from(time).unwrap_or(0) - CLOSED_WINDOW_RETENTION_DAYS * DAY_MS;
        let before = self.closed.len();
        self.closed
            .retain(|_, closed| i64::try_from(closed.at_ms).unwrap_or(i64::MAX) >= kept_from);
        self.closed.len() < before
    }

    /// Begins to act on windows that are open on record, or by this node's clock.
    pub(super) fn activate_windows(&mut self, time: u64) {
        for window in self.windows.values_mut() {
            let begun = window.ready_ms.is_some_and(|ready| time >= ready);
            window.active |= window.stage == Stage::Open || window.stage == Stage::Opening && begun;
        }
        self.is_updated = true;
    }
}
