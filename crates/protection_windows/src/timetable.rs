//! When windows open and close, in ms since 1970.

use crate::constants::NEXT_WINDOW_SEARCH_DAYS;
use crate::{Day, Name};
use jiff::Timestamp;
use jiff::civil::{DateTime, Time};
use jiff::tz::{AmbiguousOffset, TimeZone};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A window of a shift.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Window {
    /// The day on which it opens, by the shift's own calendar.
    pub day: Day,
    /// When protection begins, in ms since 1970: the lead time before it opens.
    pub ready_ms: u64,
    /// When it opens, in ms since 1970.
    pub opens_ms: u64,
    /// When it closes, in ms since 1970.
    pub closes_ms: u64,
}

/// A shift whose definition was checked.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowSchedule {
    pub(crate) time_zone: TimeZone,
    /// Days of the week, counted from Monday as 0.
    pub(crate) days: BTreeSet<i8>,
    pub(crate) from: Time,
    pub(crate) to: Time,
    /// It closes on the day after it opened.
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
    /// The rank of its services: lower is served first.
    pub fn rank(&self) -> u16 {
        self.rank
    }

    /// Part of what is protected that is kept free as spare capacity.
    pub fn spare_share(&self) -> f64 {
        self.spare_share
    }

    /// Whether services of this class and team are protected.
    pub fn covers(&self, class: &str, team: &str) -> bool {
        self.classes.contains(class) && self.teams.as_ref().is_none_or(|teams| teams.contains(team))
    }

    /// The window that opens on a day. None on days that are closed, and none where the clocks
    /// skip all of it.
    pub fn window_on(&self, day: Day) -> Option<Window> {
        let weekday = day.weekday().to_monday_zero_offset();
        if !self.days.contains(&weekday) || self.closed_days.contains(&day) {
            return None;
        }
        let last = if self.overnight { day.tomorrow().ok()? } else { day };
        let opens_ms = self.to_instant(day.to_datetime(self.from), Edge::Opening)?;
        let closes_ms = self.to_instant(last.to_datetime(self.to), Edge::Closing)?;
        (opens_ms < closes_ms).then_some(Window {
            day,
            ready_ms: opens_ms.saturating_sub(self.lead_ms),
            opens_ms,
            closes_ms,
        })
    }

    /// The instant of a local time. Of a time that occurs twice, an opening takes the first and a
    /// closing the second instant, so that both hours are protected. A time that does not occur is
    /// the instant at which the clocks skip it.
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

    /// Windows that may be open at about that time, in order.
    pub(crate) fn windows_near(&self, wall_ms: u64) -> impl Iterator<Item = Window> + '_ {
        // A window lasts a day and an hour or two at most, and a lead reaches into the day before.
        let today = self.day_at(wall_ms);
        (-2..=1).filter_map(move |days| {
            let day = today?.checked_add(jiff::Span::new().days(days)).ok()?;
            self.window_on(day)
        })
    }

    /// The window that is open at that time; of two, the first.
    pub fn window_at(&self, wall_ms: u64) -> Option<Window> {
        self.windows_near(wall_ms)
            .find(|window| (window.opens_ms..window.closes_ms).contains(&wall_ms))
    }

    /// The next window that opens after that time, within [`NEXT_WINDOW_SEARCH_DAYS`] days.
    pub fn next_window(&self, wall_ms: u64) -> Option<Window> {
        let today = self.day_at(wall_ms)?;
        (0..NEXT_WINDOW_SEARCH_DAYS)
            .filter_map(|days| self.window_on(today.checked_add(jiff::Span::new().days(days)).ok()?))
            .find(|window| window.opens_ms > wall_ms)
    }
}

/// All shifts of a site.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Timetable(Arc<BTreeMap<Name, Arc<WindowSchedule>>>);

impl Timetable {
    pub(crate) fn new(shifts: BTreeMap<Name, Arc<WindowSchedule>>) -> Timetable {
        Timetable(Arc::new(shifts))
    }

    /// Whether there is no shift at all.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The shift of this name.
    pub fn get(&self, name: &str) -> Option<&WindowSchedule> {
        self.0.get(name).map(Arc::as_ref)
    }

    /// All shifts, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &WindowSchedule)> {
        self.0.iter().map(|(name, shift)| (name, shift.as_ref()))
    }
}

#[cfg(test)]
mod tests;
