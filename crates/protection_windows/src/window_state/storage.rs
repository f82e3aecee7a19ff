//! Reads the values that a previous leader stored in the state service, and writes changes.

use super::WindowState;
use super::services::{ProtectedService, entry_bytes};
use super::windows::{ClosedWindow, OpenWindow, Stage, WindowKey, record_closed};
use crate::constants::MIN_WRITE_INTERVAL_MS;
use crate::event::ValueWrite;
use crate::record::{self, ClosedEntry, OpenEntry, RecordError, ServiceEntry, ServicesRecord, WindowsRecord};
use crate::{Day, Name};

/// Number of the value that contains the windows. Other values contain services.
const WINDOWS_PAGE: u32 = 0;

/// A value in the state service.
#[derive(Debug, Clone, Default)]
pub(super) struct Page {
    version: u64,
    /// Total bytes of its entries.
    pub(super) bytes: usize,
    /// When it is to be written, in ms of the monotonic clock.
    due: Option<u64>,
    in_flight: bool,
    /// When it was last sent, in ms of the monotonic clock.
    pub(super) last_sent_at: Option<u64>,
}

impl Page {
    /// Whether the last write was too recent for another one.
    fn was_written_recently(&self, now: u64) -> bool {
        self.last_sent_at
            .is_some_and(|at| now < at + MIN_WRITE_INTERVAL_MS)
    }

    fn is_ready(&self, now: u64) -> bool {
        !self.in_flight && self.due.is_some_and(|due| now >= due) && !self.was_written_recently(now)
    }
}

/// Windows whose opening or closing is contained in a write that is not confirmed yet.
#[derive(Debug, Default)]
pub(super) struct SentWindows {
    opening: Vec<WindowKey>,
    closing: Vec<WindowKey>,
}

fn parse_day(text: &str) -> Option<Day> {
    text.parse().ok()
}

impl WindowState {
    /// Restores a value that a previous leader wrote. All values must be restored before the first
    /// [`WindowState::update`].
    ///
    /// # Errors
    /// The value cannot be read. Nothing is written in this term, so that the value is not lost.
    pub fn restore(&mut self, number: u32, text: &str, version: u64) -> Result<(), RecordError> {
        self.pages.entry(number).or_default().version = version;
        let read = if number == WINDOWS_PAGE {
            record::decode(text).map(|windows| self.restore_windows(windows))
        } else {
            record::decode(text).map(|services| self.restore_services(number, services))
        };
        self.writes_disabled |= read.is_err();
        read
    }

    fn restore_windows(&mut self, windows: WindowsRecord) {
        self.min_time_ms = self.min_time_ms.max(windows.at_ms);
        for entry in windows.open {
            let Some(day) = parse_day(&entry.day) else {
                continue;
            };
            let window = OpenWindow {
                stage: Stage::Open,
                opened_ms: entry.opened_ms,
                ready_ms: None,
                closes_ms: entry.closes_ms,
                rank: entry.rank,
                active: true,
            };
            let schedule = entry.schedule;
            self.windows.insert(WindowKey { schedule, day }, window);
        }
        for entry in windows.closed {
            if let Some(day) = parse_day(&entry.day) {
                let at_ms = entry.at_ms;
                self.closed.insert(entry.schedule, ClosedWindow { day, at_ms });
            }
        }
    }

    fn restore_services(&mut self, number: u32, services: ServicesRecord) {
        for entry in services.services {
            let Some(schedule) = services.schedules.get(entry.schedule) else {
                continue;
            };
            self.next_position = self.next_position.max(entry.position.saturating_add(1));
            if let Some(page) = self.pages.get_mut(&number) {
                page.bytes += entry_bytes(&entry.job);
            }
            let service = ProtectedService {
                rank: entry.rank,
                schedule: schedule.clone(),
                position: Some(entry.position),
                page: number,
                is_recorded: true,
            };
            if let Some(duplicate) = self.services.insert(entry.job, service) {
                // Leaders do not move services between values. Of duplicates, the last one read is
                // kept, and the value of the other is rewritten.
                self.write_by(duplicate.page, 0);
            }
        }
    }

    /// Returns the values to write now. Each is in flight until it is reported through
    /// [`WindowState::on_written`], [`WindowState::on_write_failed`] or
    /// [`WindowState::on_version_read`]. `now` is in ms of the monotonic clock.
    pub fn due_writes(&mut self, now: u64) -> Vec<ValueWrite> {
        let mut writes = Vec::new();
        if self.writes_disabled || self.pages.is_empty() {
            return writes;
        }
        for number in self.due_pages(now) {
            let value = if number == WINDOWS_PAGE {
                self.encode_windows()
            } else {
                self.encode_services(number)
            };
            if value
                .as_ref()
                .is_some_and(|value| value.len() > self.max_value_bytes)
            {
                // The state service would reject the whole transaction that contains it.
                self.writes_disabled = true;
                self.report_too_large = true;
                return Vec::new();
            }
            let Some(page) = self.pages.get_mut(&number) else {
                continue;
            };
            page.due = None;
            if value.is_none() && page.version == 0 {
                continue;
            }
            page.in_flight = true;
            page.last_sent_at = Some(now);
            writes.push(ValueWrite {
                number,
                value,
                version: page.version,
            });
        }
        writes
    }

    /// Numbers of the values to write now: that of the windows, and at most one of services.
    fn due_pages(&self, now: u64) -> Vec<u32> {
        let ready = self.pages.iter().filter(|(_, page)| page.is_ready(now));
        let mut numbers: Vec<u32> = ready.map(|(number, _)| *number).collect();
        let services_written = self
            .pages
            .iter()
            .any(|(number, page)| *number != WINDOWS_PAGE && page.was_written_recently(now));
        let first_of_services = numbers.iter().find(|number| **number != WINDOWS_PAGE).copied();
        numbers.retain(|number| {
            *number == WINDOWS_PAGE || !services_written && Some(*number) == first_of_services
        });
        numbers
    }

    fn encode_windows(&mut self) -> Option<String> {
        self.sent = SentWindows::default();
        let mut record = WindowsRecord {
            at_ms: self.min_time_ms,
            ..WindowsRecord::default()
        };
        let mut closed = self.closed.clone();
        for (key, window) in &self.windows {
            match window.stage {
                Stage::Closing => {
                    self.sent.closing.push(key.clone());
                    record_closed(&mut closed, key, self.min_time_ms);
                    continue;
                }
                Stage::Opening => self.sent.opening.push(key.clone()),
                Stage::Open => (),
            }
            record.open.push(OpenEntry {
                schedule: key.schedule.clone(),
                day: key.day.to_string(),
                opened_ms: window.opened_ms,
                closes_ms: window.closes_ms,
                rank: window.rank,
            });
        }
        record.closed = closed
            .into_iter()
            .map(|(schedule, window)| ClosedEntry {
                schedule,
                day: window.day.to_string(),
                at_ms: window.at_ms,
            })
            .collect();
        Some(record::encode(record))
    }

    /// Encodes a value of services. Returns `None` if it contains none.
    fn encode_services(&self, number: u32) -> Option<String> {
        let mut entries: Vec<(u64, &Name, &ProtectedService)> = self
            .services
            .iter()
            .filter(|(_, service)| service.page == number)
            .filter_map(|(id, service)| Some((service.position?, id, service)))
            .collect();
        // Sorted for a deterministic encoding, as the map of services is unordered.
        entries.sort_unstable_by_key(|(position, _, _)| *position);
        let mut record = ServicesRecord::default();
        for (position, id, service) in entries {
            let known = record
                .schedules
                .iter()
                .position(|schedule| *schedule == service.schedule);
            let schedule = known.unwrap_or_else(|| {
                record.schedules.push(service.schedule.clone());
                record.schedules.len() - 1
            });
            record.services.push(ServiceEntry {
                job: id.clone(),
                rank: service.rank,
                position,
                schedule,
            });
        }
        (!record.services.is_empty()).then(|| record::encode(record))
    }

    /// A value was written and now has this version; 0 if it was deleted.
    pub fn on_written(&mut self, number: u32, version: u64) {
        let Some(page) = self.pages.get_mut(&number) else {
            return;
        };
        page.version = version;
        page.in_flight = false;
        if number == WINDOWS_PAGE {
            self.on_windows_written();
            return;
        }
        // Changes made since the write was sent are part of the next write.
        let is_complete = page.due.is_none();
        for service in self.services.values_mut() {
            service.is_recorded |= is_complete && service.page == number;
        }
    }

    fn on_windows_written(&mut self) {
        let sent = std::mem::take(&mut self.sent);
        for key in sent.opening {
            if let Some(window) = self.windows.get_mut(&key)
                && window.stage == Stage::Opening
            {
                window.stage = Stage::Open;
            }
        }
        for key in sent.closing {
            self.windows.remove(&key);
            record_closed(&mut self.closed, &key, self.min_time_ms);
        }
    }

    /// A value was not written, or may not have been.
    pub fn on_write_failed(&mut self, number: u32) {
        if let Some(page) = self.pages.get_mut(&number) {
            page.in_flight = false;
            page.due = Some(0);
        }
        if number == WINDOWS_PAGE {
            self.sent = SentWindows::default();
        }
    }

    /// A value was read back with this version after a write with unknown outcome. As only this
    /// leader writes it, it contains either the new or the previous content.
    pub fn on_version_read(&mut self, number: u32, version: u64) {
        self.on_write_failed(number);
        if let Some(page) = self.pages.get_mut(&number) {
            page.version = version;
        }
    }

    /// Schedules a write of a value for this time or earlier, in ms of the monotonic clock.
    pub(super) fn write_by(&mut self, number: u32, due: u64) {
        let page = self.pages.entry(number).or_default();
        page.due = Some(page.due.map_or(due, |other| other.min(due)));
    }
}
