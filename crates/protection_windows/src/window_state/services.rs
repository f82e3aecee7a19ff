//! Protected services and their positions in the order.

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
    /// `None` if the maximum number of positions is in use.
    pub(super) position: Option<u64>,
    /// Number of the value that contains it.
    pub(super) page: u32,
    pub(super) is_recorded: bool,
}

/// A schedule with an active window.
struct ActiveSchedule {
    name: Name,
    rank: u16,
}

/// A service that was not protected before. The derived order is the order in which such services
/// get their positions.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct NewService {
    submitted_ms: u64,
    id: Name,
    rank: u16,
    schedule: Name,
}

/// The result of comparing the live services with the protected ones.
#[derive(Default)]
struct ServiceScan {
    /// Live services that are protected.
    protected: BTreeSet<Name>,
    new: Vec<NewService>,
    /// Numbers of values whose services changed.
    changed_pages: Vec<u32>,
}

/// Maximum bytes of a service's entry in a value.
pub(super) fn entry_bytes(id: &str) -> usize {
    id.len() + ENTRY_OVERHEAD_BYTES
}

impl WindowState {
    /// Updates the protected services from the active windows and the live services.
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
        let without_position = self.assign_positions(new, &mut changed_pages);
        for number in changed_pages {
            self.write_by(number, 0);
        }
        if without_position > 0 && !std::mem::replace(&mut self.reported_exhausted, true) {
            events.push(Event::PositionsExhausted {
                services: without_position,
            });
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

    /// Whether an active schedule protects a service.
    fn protects(&self, schedule: &ActiveSchedule, service: &Service<'_>) -> bool {
        match self.timetable.get(&schedule.name) {
            Some(defined) => defined.covers(service.class, service.team),
            // The schedule is not in the settings. It protects only recorded services.
            None => self
                .services
                .get(service.id)
                .is_some_and(|known| known.schedule == schedule.name),
        }
    }

    /// Determines which live services are protected, and updates those that already were.
    fn scan_services<'a>(&mut self, services: impl IntoIterator<Item = Service<'a>>) -> ServiceScan {
        let active = self.active_schedules();
        let mut scan = ServiceScan::default();
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
                        scan.changed_pages.push(known.page);
                    }
                    if let Some((id, _)) = self.services.get_key_value(service.id) {
                        scan.protected.insert(id.clone());
                    }
                }
                None => {
                    let id = Name::from(service.id);
                    scan.protected.insert(id.clone());
                    scan.new.push(NewService {
                        submitted_ms: service.submitted_ms,
                        id,
                        rank: best.rank,
                        schedule: best.name.clone(),
                    });
                }
            }
        }
        scan
    }

    /// Removes services that are no longer protected.
    fn drop_unprotected(&mut self, protected: &BTreeSet<Name>) {
        let mut dropped = Vec::new();
        self.services.retain(|id, service| {
            let is_protected = protected.contains(id);
            if !is_protected && service.position.is_some() {
                dropped.push((service.page, entry_bytes(id)));
            }
            is_protected
        });
        for (number, bytes) in dropped {
            if let Some(page) = self.pages.get_mut(&number) {
                page.bytes = page.bytes.saturating_sub(bytes);
            }
            self.schedule_stale_rewrite(number);
        }
    }

    /// Assigns positions to new services, and returns the number of services that get none.
    fn assign_positions(&mut self, mut new: Vec<NewService>, changed_pages: &mut Vec<u32>) -> usize {
        new.sort_unstable();
        let mut without_position = 0;
        for service in new {
            let mut protected = ProtectedService {
                rank: service.rank,
                schedule: service.schedule,
                position: None,
                page: 0,
                is_recorded: false,
            };
            if self.services.len() < MAX_SERVICES {
                protected.page = self.page_for(&service.id);
                protected.position = Some(self.next_position);
                self.next_position += 1;
                changed_pages.push(protected.page);
            } else {
                without_position += 1;
            }
            self.services.insert(service.id, protected);
        }
        without_position
    }

    /// Schedules the rewrite of a value that contains services that are no longer protected: after a
    /// delay, or at once if it contains no others.
    fn schedule_stale_rewrite(&mut self, number: u32) {
        let page = self.pages.entry(number).or_default();
        let due = if page.bytes == 0 {
            0
        } else {
            page.last_sent_at.unwrap_or(0) + STALE_REWRITE_DELAY_MS
        };
        self.write_by(number, due);
    }

    /// The number of the value for a new service's entry: the first one with enough space.
    fn page_for(&mut self, id: &str) -> u32 {
        let bytes = entry_bytes(id);
        let names_bytes: usize = self.timetable.iter().map(|(name, _)| name.len() + 3).sum();
        let max_bytes = self
            .max_value_bytes
            .saturating_sub(VALUE_OVERHEAD_BYTES + names_bytes);
        let has_space = |page: &Page| page.bytes + bytes <= max_bytes;
        let mut pages = self.pages.iter();
        let found = pages.find(|(number, page)| **number > 0 && has_space(page));
        let number = match found {
            Some((number, _)) => *number,
            None => self.pages.last_key_value().map_or(1, |(last, _)| last + 1),
        };
        self.pages.entry(number).or_default().bytes += bytes;
        number
    }
}
