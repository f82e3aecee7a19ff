//! The state of open windows and the order of the protected services.
//!
//! A change of leader must not close or reopen a window because the clock of the new leader is behind,
//! and must not change the order of services of one rank. Both are therefore recorded, and the state
//! follows these rules, where the bound is the maximum difference between two leaders' clocks:
//!
//! - A window is opened from its `ready_ms` minus the bound on, and closed from its end plus the bound
//!   on, which are the earliest and the latest time at which any clock may do so.
//! - An opening takes effect once it is recorded, or once this node's own clock has reached
//!   `ready_ms`, as the state service may be unavailable at that time. If a leader finds no record of a
//!   window at its first update, and the window may be open by some clock, the opening takes effect at
//!   once, as the previous leader may have started to protect.
//! - A closing takes effect only once it is recorded. While the state service is unavailable,
//!   protection lasts longer, but nothing else can be started either.
//! - A day's window that is recorded as closed is never reopened, and a window that is recorded as open
//!   is closed only at its end, or if the settings define no window on its day.
//! - The time is never assumed to be earlier than the recorded time. If this node's clock is behind by
//!   more than the bound, this is reported and the node's own clock is used.
//! - Services get increasing positions as they appear, and keep them as long as any window protects
//!   them.
//!
//! A value that cannot be read disables all writes, so that a newer build's value is not lost. Windows
//! then follow the clock alone, and services of one rank have no order.

mod services;
mod storage;
mod windows;

use self::services::ProtectedService;
use self::storage::{Page, SentWindows};
use self::windows::{ClosedWindow, OpenWindow, WindowKey};
use crate::Name;
use crate::constants::SPARE_RELEASE_MS;
use crate::event::{Event, Service, SpareShare, Standing, WindowStatus};
use crate::timetable::Timetable;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The state of all windows and protected services, for one leader's term.
#[derive(Debug)]
pub struct WindowState {
    timetable: Timetable,
    max_clock_difference_ms: u64,
    max_value_bytes: usize,
    windows: BTreeMap<WindowKey, OpenWindow>,
    /// The latest closed window of each schedule.
    closed: BTreeMap<Name, ClosedWindow>,
    services: HashMap<Name, ProtectedService>,
    next_position: u64,
    pages: BTreeMap<u32, Page>,
    sent: SentWindows,
    /// The latest time of day that a decision was based on, in ms since the Unix epoch.
    min_time_ms: u64,
    /// A value could not be read or is too large, so nothing is written.
    writes_disabled: bool,
    /// The first update has run.
    has_updated: bool,
    /// The next update reports that a value is too large.
    report_too_large: bool,
    reported_missing: BTreeSet<Name>,
    reported_exhausted: bool,
}

impl WindowState {
    /// Creates a state that has no records yet. `max_clock_difference_ms` is the maximum difference
    /// between two leaders' clocks, and `max_value_bytes` the maximum bytes of a value.
    pub fn new(timetable: Timetable, max_clock_difference_ms: u64, max_value_bytes: usize) -> WindowState {
        WindowState {
            timetable,
            max_clock_difference_ms,
            max_value_bytes,
            windows: BTreeMap::new(),
            closed: BTreeMap::new(),
            services: HashMap::new(),
            next_position: 1,
            pages: BTreeMap::new(),
            sent: SentWindows::default(),
            min_time_ms: 0,
            writes_disabled: false,
            has_updated: false,
            report_too_large: false,
            reported_missing: BTreeSet::new(),
            reported_exhausted: false,
        }
    }

    /// Whether there is nothing to do: the settings define no schedule, and none is recorded.
    pub fn is_empty(&self) -> bool {
        self.timetable.is_empty() && self.windows.is_empty() && self.services.is_empty()
    }

    /// Whether no services are protected now.
    pub fn protects_nothing(&self) -> bool {
        self.services.is_empty()
    }

    /// Opens and closes windows by the clock, and updates the protected services. Must be called about
    /// twice a second with all live services.
    pub fn update<'a>(
        &mut self,
        wall_ms: u64,
        services: impl IntoIterator<Item = Service<'a>>,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        if self.is_empty() && self.closed.is_empty() {
            return events;
        }
        if std::mem::take(&mut self.report_too_large) {
            events.push(Event::TooLarge {
                max_bytes: self.max_value_bytes,
            });
        }
        let time = self.decision_time(wall_ms, &mut events);
        let mut changed = self.open_windows(time, &mut events);
        changed |= self.close_windows(time, &mut events);
        self.activate_windows(time);
        if changed {
            self.write_by(0, 0);
        }
        if !self.windows.is_empty() || !self.services.is_empty() {
            self.update_services(services, &mut events);
        }
        events
    }

    /// The time of day used for decisions. It is never before the recorded time, unless this node's
    /// clock is behind by more than the bound.
    fn decision_time(&mut self, wall_ms: u64, events: &mut Vec<Event>) -> u64 {
        let lag_ms = self.min_time_ms.saturating_sub(wall_ms);
        if lag_ms > self.max_clock_difference_ms {
            events.push(Event::ClockBehind { behind_ms: lag_ms });
            self.min_time_ms = wall_ms;
        }
        self.min_time_ms = self.min_time_ms.max(wall_ms);
        self.min_time_ms
    }

    /// The standing of a service, if it is protected.
    pub fn standing(&self, job: &str) -> Option<Standing> {
        let service = self.services.get(job)?;
        let position = service
            .position
            .filter(|_| service.is_recorded)
            .unwrap_or(u64::MAX);
        Some(Standing {
            rank: service.rank,
            position,
        })
    }

    /// All protected services and their standings.
    pub fn standings(&self) -> impl Iterator<Item = (&Name, Standing)> {
        let ids = self.services.keys();
        ids.filter_map(|id| Some((id, self.standing(id)?)))
    }

    /// Spare capacity to keep free for each schedule, as of the last update.
    pub fn spare_shares(&self) -> Vec<SpareShare> {
        let schedules = self
            .timetable
            .iter()
            .filter(|(_, schedule)| schedule.spare_share > 0.0);
        let spares = schedules.filter_map(|(name, schedule)| {
            let remaining = self.remaining_spare(name);
            (remaining > 0.0).then(|| SpareShare {
                schedule: name.clone(),
                share: schedule.spare_share * remaining,
            })
        });
        spares.collect()
    }

    /// The fraction of a schedule's spare capacity that is still kept free: all of it while a window is
    /// open, and gradually less after its end.
    fn remaining_spare(&self, schedule: &Name) -> f64 {
        if self.active_window(schedule).is_some() {
            return 1.0;
        }
        self.closed.get(schedule).map_or(0.0, |closed| {
            let since_ms = self
                .min_time_ms
                .saturating_sub(closed.at_ms)
                .min(SPARE_RELEASE_MS);
            1.0 - since_ms as f64 / SPARE_RELEASE_MS as f64
        })
    }

    fn active_window(&self, schedule: &Name) -> Option<&OpenWindow> {
        let mut windows = self.windows.iter();
        let active = windows.find(|(key, window)| key.schedule == *schedule && window.active);
        active.map(|(_, window)| window)
    }

    /// The status of each schedule at this time of day, including schedules that are only recorded.
    pub fn status(&self, wall_ms: u64) -> Vec<WindowStatus> {
        let mut names: BTreeSet<&Name> = self.timetable.iter().map(|(name, _)| name).collect();
        names.extend(self.windows.keys().map(|key| &key.schedule));
        let status = names.into_iter().map(|name| {
            let open = self.active_window(name);
            let next = || {
                self.timetable
                    .get(name)?
                    .next_window(wall_ms)
                    .map(|next| next.opens_ms)
            };
            let services = self.services.values();
            WindowStatus {
                schedule: name.clone(),
                open: open.is_some(),
                until_ms: open.map(|window| window.closes_ms).or_else(next),
                services: services.filter(|service| service.schedule == *name).count(),
            }
        });
        status.collect()
    }
}

#[cfg(test)]
mod tests;
