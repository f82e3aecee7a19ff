//! Computes when windows open and close.

use crate::constants::NEXT_WINDOW_SEARCH_DAYS;
use crate::{Day, Name};
use jiff::Timestamp;
use jiff::civil::{DateTime, Time};
use jiff::tz::{AmbiguousOffset, TimeZone};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A window of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Window {
    /// The day on which it opens, in the schedule's time zone.
    pub day: Day,
    /// When protection starts, in ms since the Unix epoch: the lead time before the window opens.
    pub ready_ms: u64,
    /// When it opens, in ms since the Unix epoch.
    pub opens_ms: u64,
    /// When it closes, in ms since the Unix epoch.
    pub closes_ms: u64,
}

/// A schedule of recurring windows, created from a valid definition.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowSchedule {
    pub(crate) time_zone: TimeZone,
    /// Days of the week, with Monday as 0.
    pub(crate) days: BTreeSet<i8>,
    pub(crate) from: Time,
    pub(crate) to: Time,
    /// Windows close on the day after they open.
    pub(crate) overnight: bool,
    pub(crate) closed_days: BTreeSet<Day>,
    pub(crate) classes: BTreeSet<String>,
    pub(crate) teams: Option<BTreeSet<String>>,
    pub(crate) rank: u16,
    pub(crate) lead_ms: u64,
    pub(crate) spare_share: f64,
}

#[derive(Debug, Clone, Copy)]
enum Edge {
    Opening,
    Closing,
}

impl WindowSchedule {
    /// The rank of the protected services; lower ranks are served first.
    pub fn rank(&self) -> u16 {
        self.rank
    }

    /// Spare capacity to keep free, as a fraction of what is protected.
    pub fn spare_share(&self) -> f64 {
        self.spare_share
    }

    /// Whether services of this class and team are protected.
    pub fn covers(&self, class: &str, team: &str) -> bool {
        self.classes.contains(class) && self.teams.as_ref().is_none_or(|teams| teams.contains(team))
    }

    /// The window that opens on a day. `None` on closed days, or if a clock change skips the whole
    /// window.
    pub fn window_on(&self, day: Day) -> Option<Window> {
        let weekday = day.weekday().to_monday_zero_offset();
        if !self.days.contains(&weekday) || self.closed_days.contains(&day) {
            return None;
        }
        let closing_day = if self.overnight { day.tomorrow().ok()? } else { day };
        let opens_ms = self.to_instant(day.to_datetime(self.from), Edge::Opening)?;
        let closes_ms = self.to_instant(closing_day.to_datetime(self.to), Edge::Closing)?;
        (opens_ms < closes_ms).then_some(Window {
            day,
            ready_ms: opens_ms.saturating_sub(self.lead_ms),
            opens_ms,
            closes_ms,
        })
    }

    /// Converts a local time to an instant. If the local time occurs twice, an opening takes the first
    /// and a closing the second occurrence, so that both hours are protected. A local time that is
    /// skipped by a clock change maps to the instant of that change.
    fn to_instant(&self, local: DateTime, edge: Edge) -> Option<u64> {
        let ambiguous = self.time_zone.to_ambiguous_timestamp(local);
        let instant = match (ambiguous.offset(), edge) {
            (AmbiguousOffset::Gap { .. }, _) => {
                let before = ambiguous.earlier().ok()?;
                self.time_zone.following(before).next()?.timestamp()
            }
            (_, Edge::Opening) => ambiguous.earlier().ok()?,
            (_, Edge::Closing) => ambiguous.later().ok()?,
        };
        u64::try_from(instant.as_millisecond()).ok()
    }

    fn day_at(&self, wall_ms: u64) -> Option<Day> {
        let instant = Timestamp::from_millisecond(i64::try_from(wall_ms).ok()?).ok()?;
        Some(self.time_zone.to_datetime(instant).date())
    }

    /// Windows that may be open around this time, in order.
    pub(crate) fn windows_near(&self, wall_ms: u64) -> impl Iterator<Item = Window> + '_ {
        // A window lasts at most a day and an hour or two, and its lead time may start on the day
        // before.
        let today = self.day_at(wall_ms);
        (-2..=1).filter_map(move |days| {
            let day = today?.checked_add(jiff::Span::new().days(days)).ok()?;
            self.window_on(day)
        })
    }

    /// The window that is open at this time; the first if there are two.
    pub fn window_at(&self, wall_ms: u64) -> Option<Window> {
        self.windows_near(wall_ms)
            .find(|window| (window.opens_ms..window.closes_ms).contains(&wall_ms))
    }

    /// The next window that opens after this time, within [`NEXT_WINDOW_SEARCH_DAYS`] days.
    pub fn next_window(&self, wall_ms: u64) -> Option<Window> {
        let today = self.day_at(wall_ms)?;
        (0..NEXT_WINDOW_SEARCH_DAYS)
            .filter_map(|days| self.window_on(today.checked_add(jiff::Span::new().days(days)).ok()?))
            .find(|window| window.opens_ms > wall_ms)
    }
}

/// All schedules of a site.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Timetable(Arc<BTreeMap<Name, Arc<WindowSchedule>>>);

impl Timetable {
    pub(crate) fn new(schedules: BTreeMap<Name, Arc<WindowSchedule>>) -> Timetable {
        Timetable(Arc::new(schedules))
    }

    /// Whether there are no schedules.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The schedule with this name.
    pub fn get(&self, name: &str) -> Option<&WindowSchedule> {
        self.0.get(name).map(Arc::as_ref)
    }

    /// All schedules, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &WindowSchedule)> {
        self.0.iter().map(|(name, schedule)| (name, schedule.as_ref()))
    }
}

#[cfg(test)]
mod tests;
