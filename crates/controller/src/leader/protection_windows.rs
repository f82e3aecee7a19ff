//! ProtectionWindows in a leader's term: which services are protected and in which order, the room that is
//! kept for them, the record of both, and plain warnings.

use super::LeaderTerm;
use crate::constants::{
    MAX_SPARE_REPLICAS, MAX_VALUE_SHARE, PROTECTED_WAIT_WARNING_MS, PROTECTION_WINDOW_CHECK_MS,
};
use crate::io::{Effect, Io};
use crate::model::{Job, JobId, JobSpec, MachineId, Resources, Timestamp};
use crate::protocol::{Shape, StoredItem};
use crate::scheduling::placement::{MachineTypes, Protection, SpareCapacity, Unplaced};
use crate::settings::Settings;
use crate::storage::batch_writer::WriteUnit;
use indigopath_protection_windows::{
    CloseReason, Event, Service, ShiftStatus, Standing, Timetable, WindowState,
};
use std::collections::{BTreeMap, HashMap};

/// What a term knows of shifts.
#[derive(Debug)]
pub(super) struct ProtectionWindows {
    pub(super) window_state: WindowState,
    timetable: Timetable,
    next_update_at: Timestamp,
    /// As of the last look, for placement.
    pub(super) protection: Protection,
    /// Room that the last pass kept, by machine: it is neither idle nor free for others.
    pub(super) reserved: HashMap<MachineId, Resources>,
    /// What of it found no room.
    pub(super) unplaced_spares: Vec<Unplaced>,
    /// Since when protected replicas have found no room, and whether operators know.
    replicas_unplaced_since: Option<Timestamp>,
    warned_unplaced: bool,
    warned_large: bool,
}

impl ProtectionWindows {
    /// As the settings have them; nothing is read from the records yet.
    pub(super) fn new(settings: &Settings) -> ProtectionWindows {
        let deployment = &settings.deployment;
        // Each clock is off by so much at most, so that two differ by twice that.
        let bound_ms = (2.0 * deployment.clock_skew_ms).ceil() as u64;
        let value_bytes = (deployment.state.value_kb * 1024.0 * MAX_VALUE_SHARE) as usize;
        ProtectionWindows {
            window_state: WindowState::new(settings.protection_windows.clone(), bound_ms, value_bytes),
            timetable: settings.protection_windows.clone(),
            next_update_at: 0,
            protection: Protection::default(),
            reserved: HashMap::new(),
            unplaced_spares: Vec::new(),
            replicas_unplaced_since: None,
            warned_unplaced: false,
            warned_large: false,
        }
    }

    /// Whether the operators have any shift: else nothing of this is done.
    pub(super) fn is_enabled(&self) -> bool {
        !self.timetable.is_empty()
    }

    /// Looks again before the next pass.
    pub(super) fn request_update(&mut self) {
        self.next_update_at = 0;
    }

    /// What a pass kept, and what found no room.
    pub(super) fn record_plan(&mut self, kept: HashMap<MachineId, Resources>, short: Vec<Unplaced>) {
        self.reserved = kept;
        self.unplaced_spares = short;
    }

    /// Units that were not, or may not have been, written.
    pub(super) fn on_write_failed(&mut self, units: &[WriteUnit]) {
        for unit in units {
            if let WriteUnit::ProtectionWindows { number, .. } = unit {
                self.window_state.failed(*number);
            }
        }
    }
}

impl LeaderTerm {
    /// Takes over a record of windows and standings.
    pub(super) fn restore_protection_windows(&mut self, number: u32, item: &StoredItem, io: &mut Io) {
        let read = self
            .protection_windows
            .window_state
            .adopt(number, &item.value.to_string(), item.version);
        if let Err(problem) = read {
            let text = format!(
                "shifts: record {} is left as it is, {problem}: until it can be read or is deleted, windows go \
                 by this node's clock alone, and services have no order on record",
                item.key
            );
            io.effects.push(Effect::Warning(text));
        }
    }

    /// What is to be written of shifts goes with the next transaction.
    pub(super) fn queue_protection_windows(&mut self, now: Timestamp) {
        if self.protection_windows.is_enabled() && self.writer.protection_window_writes.is_empty() {
            self.writer.protection_window_writes = self.protection_windows.window_state.due(now);
        }
    }

    /// Compares the clock with the windows, and notes what is protected.
    pub(super) fn update_protection_windows(
        &mut self,
        types: &MachineTypes,
        settings: &Settings,
        io: &mut Io,
    ) {
        if !self.protection_windows.is_enabled() || io.now < self.protection_windows.next_update_at {
            return;
        }
        self.protection_windows.next_update_at = io.now + PROTECTION_WINDOW_CHECK_MS;
        let jobs = self.jobs.values().filter(|job| {
            // Nothing is wanted of what is held.
            job.spec.shape == Shape::Service && !job.parked
        });
        let services = jobs.clone().map(|job| Service {
            id: &job.spec.id.0,
            class: &job.spec.class,
            team: &job.spec.team,
            submitted_ms: job.spec.submitted_ms,
        });
        let events = self.protection_windows.window_state.look(io.wall_ms, services);
        let standings: BTreeMap<JobId, Standing> = self
            .protection_windows
            .window_state
            .standings()
            .map(|(id, standing)| (JobId(id.clone()), standing))
            .collect();
        let spares = self.protection_windows.window_state.spares();
        let part = |spec: &JobSpec| {
            let own = spares.iter().filter(|spare| {
                let shift = self.protection_windows.timetable.get(&spare.shift);
                shift.is_some_and(|shift| shift.covers(&spec.class, &spec.team))
            });
            own.map(|spare| spare.part).fold(0.0, f64::max)
        };
        let spare = if spares.is_empty() {
            Vec::new()
        } else {
            spare_capacities(jobs.map(|job| (job, part(&job.spec))))
        };
        let protection = Protection { standings, spare };
        if protection != self.protection_windows.protection {
            self.protection_windows.protection = protection;
            self.scheduler.request_pass();
        }
        for event in events {
            self.report_window_event(event, io);
        }
        self.warn_about_protected_replicas(types, settings, io);
    }

    fn report_window_event(&mut self, event: Event, io: &mut Io) {
        let warning = match event {
            Event::Opened {
                shift,
                day,
                closes_ms,
            } => {
                self.protection_windows.warned_large = false;
                self.protection_windows.warned_unplaced = false;
                log::info!("protection window opened window={shift} day={day} until_ms={closes_ms}");
                return;
            }
            Event::Closed { shift, day, why } => {
                let why = match why {
                    CloseReason::Over => "it is over",
                    CloseReason::NoWindow => "the settings have no window on that day",
                };
                log::info!("protection window closed window={shift} day={day}: {why}");
                return;
            }
            Event::ClockOff { by_ms } => format!(
                "shifts: this node's time of day is {by_ms} ms behind the one under which the record was \
                 written, which is more than deployment.skew_ms allows: windows on record stay as they are"
            ),
            Event::NotInSettings { shift, closes_ms } => format!(
                "shift={shift} is open on record and not in this node's settings: services on record stay \
                 protected until {closes_ms} ms, and no others"
            ),
            Event::TooLarge { most } => format!(
                "shifts: the windows do not fit into a value of {most} bytes: they are not on record, and go by \
                 each leader's clock"
            ),
            Event::Unplaced { services } => format!(
                "shifts: {services} services are protected without a place on record: there are too many"
            ),
        };
        io.effects.push(Effect::Warning(warning));
    }

    /// Tells operators, once a window, that what is protected finds no room, or that it leaves too
    /// little to others.
    fn warn_about_protected_replicas(&mut self, types: &MachineTypes, settings: &Settings, io: &mut Io) {
        let protection = &self.protection_windows.protection;
        let short: u32 = self
            .scheduler
            .unplaced()
            .iter()
            .filter(|unplaced| protection.standing(&unplaced.job).is_some())
            .map(|unplaced| unplaced.tasks)
            .sum();
        if short == 0 {
            self.protection_windows.replicas_unplaced_since = None;
        }
        let mut warning = None;
        if short > 0 {
            let since = *self
                .protection_windows
                .replicas_unplaced_since
                .get_or_insert(io.now);
            if io.now >= since + PROTECTED_WAIT_WARNING_MS
                && !std::mem::replace(&mut self.protection_windows.warned_unplaced, true)
            {
                warning = Some(format!(
                    "shifts: {short} protected replicas find no room: the cloud has too few machines for them, \
                     or their teams may use no more"
                ));
            }
        }
        let machines = self
            .protection_windows
            .protection
            .machine_demand(self.jobs.as_map(), types);
        let fleet_max = settings.operator.fleet_max;
        if machines > f64::from(fleet_max) / 2.0
            && !std::mem::replace(&mut self.protection_windows.warned_large, true)
        {
            warning = Some(format!(
                "shifts: what is protected fills {machines:.0} of at most {fleet_max} machines: while it lasts, \
                 other classes may have less than half of what they ask for"
            ));
        }
        if let Some(warning) = warning {
            io.effects.push(Effect::Warning(warning));
        }
    }

    /// How the shifts stand, for display.
    pub fn protection_window_status(&self, wall_ms: u64) -> Vec<ShiftStatus> {
        if self.protection_windows.is_enabled() {
            self.protection_windows.window_state.status(wall_ms)
        } else {
            Vec::new()
        }
    }

    /// Replicas' worth of room that shifts want kept free, and that is.
    pub fn spare_replicas(&self) -> (u32, u32) {
        let wanted = self
            .protection_windows
            .protection
            .spare
            .iter()
            .map(|spare| spare.tasks)
            .sum();
        let short: u32 = self
            .protection_windows
            .unplaced_spares
            .iter()
            .map(|short| short.tasks)
            .sum();
        (wanted, wanted - short.min(wanted))
    }
}

/// Room to be kept, with jobs that ask for the same counted together: a part of each alone, rounded
/// up, would be as much again as many of them have.
fn spare_capacities<'a>(jobs: impl Iterator<Item = (&'a Job, f64)>) -> Vec<SpareCapacity> {
    let mut alike: Vec<(&Job, f64)> = Vec::new();
    for (job, part) in jobs.filter(|(_, part)| *part > 0.0) {
        let wanted = part * f64::from(job.spec.tasks);
        let same = |other: &JobSpec| {
            (other.needs, &other.types, &other.zone) == (job.spec.needs, &job.spec.types, &job.spec.zone)
                && other.kinds == job.spec.kinds
        };
        match alike.iter_mut().find(|(other, _)| same(&other.spec)) {
            Some((_, sum)) => *sum += wanted,
            None => alike.push((job, wanted)),
        }
    }
    let mut left = MAX_SPARE_REPLICAS;
    let mut rooms = Vec::new();
    for (job, wanted) in alike {
        let tasks = (wanted.ceil() as u32).min(left);
        left -= tasks;
        rooms.push(SpareCapacity {
            template: job.spec.id.clone(),
            tasks,
        });
    }
    rooms
}
