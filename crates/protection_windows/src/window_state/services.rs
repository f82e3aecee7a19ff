//! Protected services, and their places in the order.

use super::WindowState;
use super::storage::Page;
use crate::Name;
use crate::constants::{ENTRY_OVERHEAD_BYTES, MAX_SERVICES, STALE_REWRITE_DELAY_MS, VALUE_OVERHEAD_BYTES};
use crate::event::{Event, Service};
use std::collections::BTreeSet;

#[derive(Debug, Clone)]
pub(super) struct ProtectedService {
    pub(super) rank: u16,
    pub(super) schedule: Name,
    /// `None` where there is no room on record.
    pub(super) position: Option<u64>,
    /// Number of the value in which it is recorded.
    pub(super) page: u32,
    pub(super) on_record: bool,
}

/// A shift with an active window.
struct ActiveSchedule {
    name: Name,
    rank: u16,
}

/// A service that was not protected before. The order is that in which such services get their
/// places.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct NewService {
    submitted_ms: u64,
    id: Name,
    rank: u16,
    schedule: Name,
}

/// What an update found among the live services.
#[derive(Default)]
struct ServiceScan {
    /// ServicesRecord that are protected.
    protected: BTreeSet<Name>,
    new: Vec<NewService>,
    /// Numbers of values whose services changed.
    changed_pages: Vec<u32>,
}

/// Bytes that the entry of a service takes in a value, at most.
pub(super) fn entry_bytes(id: &str) -> usize {
    id.len() + ENTRY_OVERHEAD_BYTES
}

impl WindowState {
    /// Brings the protected services in line with the active windows and the live services.
    pub(super) fn update_services<'a>(
        &mut self,
        services: impl IntoIterator<Item = Service<'a>>,
        events: &mut Vec<Event>,
    ) {
        let ServiceScan {
            protected,
            new,
            mut changed_pages,
        } = self.scan_services(services);
        self.drop_unprotected(&protected);
        let unplaced = self.assign_positions(new, &mut changed_pages);
        for number in changed_pages {
            self.write_by(number, 0);
        }
        if unplaced > 0 && !std::mem::replace(&mut self.reported_exhausted, true) {
            events.push(Event::PositionsExhausted { services: unplaced });
        }
    }

    fn active_schedules(&self) -> Vec<ActiveSchedule> {
        let active = self.windows.iter().filter(|(_, window)| window.active);
        active
            .map(|(key, window)| ActiveSchedule {
                name: key.schedule.clone(),
                rank: window.rank,
            })
            .collect()
    }

    /// Whether an active shift protects a service.
    fn protects(&self, schedule: &ActiveSchedule, service: &Service<'_>) -> bool {
        match self.timetable.get(&schedule.name) {
            Some(defined) => defined.covers(service.class, service.team),
            // Only the record says which services such a shift protects.
            None => self
                .services
                .get(service.id)
                .is_some_and(|known| known.schedule == schedule.name),
        }
    }

    /// Finds the services that are protected, and updates those that were before.
    fn scan_services<'a>(&mut self, services: impl IntoIterator<Item = Service<'a>>) -> ServiceScan {
        let active = self.active_schedules();
        let mut found = ServiceScan::default();
        for service in services {
            let protecting = active.iter().filter(|schedule| self.protects(schedule, &service));
            let Some(best) = protecting.min_by_key(|schedule| schedule.rank) else {
                continue;
            };
            match self.services.get_mut(service.id) {
                Some(known) => {
                    if known.rank != best.rank || known.schedule != best.name {
                        known.rank = best.rank;
                        known.schedule = best.name.clone();
                        found.changed_pages.push(known.page);
                    }
                    if let Some((id, _)) = self.services.get_key_value(service.id) {
                        found.protected.insert(id.clone());
                    }
                }
                None => {
                    let id = Name::from(service.id);
                    found.protected.insert(id.clone());
                    found.new.push(NewService {
                        submitted_ms: service.submitted_ms,
                        id,
                        rank: best.rank,
                        schedule: best.name.clone(),
                    });
                }
            }
        }
        found
    }

    /// Removes services that are protected no longer.
    fn drop_unprotected(&mut self, live: &BTreeSet<Name>) {
        let mut dropped = Vec::new();
        self.services.retain(|id, service| {
            let stays = live.contains(id);
            if !stays && service.position.is_some() {
                dropped.push((service.page, entry_bytes(id)));
            }
            stays
        });
        for (number, bytes) in dropped {
            if let Some(page) = self.pages.get_mut(&number) {
                page.bytes = page.bytes.saturating_sub(bytes);
            }
            self.schedule_stale_rewrite(number);
        }
    }

    /// Gives new services their places; returns how many get none.
    fn assign_positions(&mut self, mut new: Vec<NewService>, changed: &mut Vec<u32>) -> usize {
        new.sort_unstable();
        let mut unplaced = 0;
        for service in new {
            let mut protected = ProtectedService {
                rank: service.rank,
                schedule: service.schedule,
                position: None,
                page: 0,
                on_record: false,
            };
            if self.services.len() < MAX_SERVICES {
                protected.page = self.page_for(&service.id);
                protected.position = Some(self.next_position);
                self.next_position += 1;
                changed.push(protected.page);
            } else {
                unplaced += 1;
            }
            self.services.insert(service.id, protected);
        }
        unplaced
    }

    /// A value names services that are over. It may do so for a while, unless it names no others.
    fn schedule_stale_rewrite(&mut self, number: u32) {
        let page = self.pages.entry(number).or_default();
        let due = if page.bytes == 0 {
            0
        } else {
            page.tried_at.unwrap_or(0) + STALE_REWRITE_DELAY_MS
        };
        self.write_by(number, due);
    }

    /// The number of the value that takes a new service's entry: the first one with room for it.
    fn page_for(&mut self, id: &str) -> u32 {
        let bytes = entry_bytes(id);
        let names: usize = self.timetable.iter().map(|(name, _)| name.len() + 3).sum();
        let most = self.max_value_bytes.saturating_sub(VALUE_OVERHEAD_BYTES + names);
        let has_room = |page: &Page| page.bytes + bytes <= most;
        let mut pages = self.pages.iter();
        let found = pages.find(|(number, page)| **number > 0 && has_room(page));
        let number = match found {
            Some((number, _)) => *number,
            None => self.pages.last_key_value().map_or(1, |(last, _)| last + 1),
        };
        self.pages.entry(number).or_default().bytes += bytes;
        number
    }
}
