//! Which windows are open, since when, and in which order their services are served.
//!
//! Two things must not happen when one leader follows another: a window that the first has opened
//! must not be closed or opened again because the clock of the second is behind, and services of
//! one rank must not change their order. Both are therefore on record, and the state
//!
//! - opens a window from its `ready_ms` less the bound on, and closes it from its end plus the bound
//!   on: as early, and as late, as any clock may be;
//! - acts on an opening once it is on record, or by its own clock without the bound, as the state
//!   service may be down at that time. A leader that finds nothing on record at its first update,
//!   although the window may be open by some clock, protects at once: a former leader may have begun;
//! - acts on an end only once it is on record. Without the state service protection lasts longer, and
//!   nothing else can be started either;
//! - never opens a day's window again that the record calls closed, and closes a window that the
//!   record calls open for no other reason than its end;
//! - never takes the time to be earlier than that on record, unless it is behind by more than the
//!   bound: then it reports that and goes by its own clock;
//! - numbers services as they come, and keeps the number for as long as any window protects them.
//!
//! A value that cannot be read stops all writes, so that a later build's value is not lost. Windows
//! then go by the clock alone, and services of one rank have no order.

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
    /// The latest window of each shift that is over.
    closed: BTreeMap<Name, ClosedWindow>,
    services: HashMap<Name, ProtectedService>,
    next_position: u64,
    pages: BTreeMap<u32, Page>,
    sent: SentWindows,
    /// The latest time of day at which anything was decided.
    min_time_ms: u64,
    /// A value could not be read, or is too large: nothing is written.
    writes_disabled: bool,
    /// The first update is done.
    is_updated: bool,
    /// Operators are to be told that a value is too large.
    report_too_large: bool,
    reported_missing: BTreeSet<Name>,
    reported_exhausted: bool,
}

impl WindowState {
    /// A state that has read no record yet. `bound_ms`: by how much two leaders' times of day
    /// differ at most. `page_bytes`: most bytes of a value.
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
            is_updated: false,
            report_too_large: false,
            reported_missing: BTreeSet::new(),
            reported_exhausted: false,
        }
    }

    /// Whether there is nothing to do: no shift in the settings, none on record.
    pub fn is_empty(&self) -> bool {
        self.timetable.is_empty() && self.windows.is_empty() && self.services.is_empty()
    }

    /// Whether no service is protected now.
    pub fn protects_nothing(&self) -> bool {
        self.services.is_empty()
    }

    /// Compares the clock with the windows, and the windows with the live services. To be called
    /// about twice a second with all live services.
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

    /// The time of day to go by: never behind that on record, unless the clocks differ by more than
    /// the bound.
    fn decision_time(&mut self, wall_ms: u64, events: &mut Vec<Event>) -> u64 {
        let lag_ms = self.min_time_ms.saturating_sub(wall_ms);
        if lag_ms > self.max_clock_difference_ms {
            events.push(Event::ClockBehind { behind_ms: lag_ms });
            self.min_time_ms = wall_ms;
        }
        self.min_time_ms = self.min_time_ms.max(wall_ms);
        self.min_time_ms
    }

    /// The standing of a job's service, if it is protected.
    pub fn standing(&self, job: &str) -> Option<Standing> {
        let service = self.services.get(job)?;
        let position = service.position.filter(|_| service.on_record).unwrap_or(u64::MAX);
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

    /// Capacity that shifts keep free, as of the last update.
    pub fn spare_shares(&self) -> Vec<SpareShare> {
        let schedules = self
            .timetable
            .iter()
            .filter(|(_, schedule)| schedule.spare_share > 0.0);
        let spares = schedules.filter_map(|(name, schedule)| {
            let left = self.remaining_spare(name);
            (left > 0.0).then(|| SpareShare {
                schedule: name.clone(),
                share: schedule.spare_share * left,
            })
        });
        spares.collect()
    }

    /// The part of a shift's spare capacity that is kept: all while a window is open, and less and
    /// less after its end.
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

    /// The status of each shift at this time of day, including those that are only on record.
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
