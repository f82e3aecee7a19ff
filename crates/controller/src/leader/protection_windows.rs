//! Protection windows of services: which services are protected and in which order, the capacity
//! kept free for them, the record of both, and warnings to operators.

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
    CloseReason, Event, Service, Standing, Timetable, WindowState, WindowStatus,
};
use std::collections::{BTreeMap, HashMap};

/// The leader's state of protection windows.
#[derive(Debug)]
pub(super) struct ProtectionWindows {
    pub(super) window_state: WindowState,
    timetable: Timetable,
    next_update_at: Timestamp,
    /// Protected services as of the last update, for placement.
    pub(super) protection: Protection,
    /// Spare capacity reserved by the last pass, by machine. It counts as neither idle nor free.
    pub(super) reserved: HashMap<MachineId, Resources>,
    /// Spare capacity that the last pass could not place.
    pub(super) unplaced_spares: Vec<Unplaced>,
    /// Since when protected replicas could not be placed, and whether operators were warned.
    replicas_unplaced_since: Option<Timestamp>,
    warned_unplaced: bool,
    warned_large: bool,
}

impl ProtectionWindows {
    /// Creates the state from the settings; nothing has been read from the records yet.
    pub(super) fn new(settings: &Settings) -> ProtectionWindows {
        let deployment = &settings.deployment;
        // Each clock deviates by at most this much, so two clocks differ by at most twice that.
        let max_clock_difference_ms = (2.0 * deployment.clock_skew_ms).ceil() as u64;
        let value_bytes = (deployment.state.value_kb * 1024.0 * MAX_VALUE_SHARE) as usize;
        ProtectionWindows {
            window_state: WindowState::new(
                settings.protection_windows.clone(),
                max_clock_difference_ms,
                value_bytes,
            ),
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

    /// Whether the operators define any protection windows. If not, the module does nothing.
    pub(super) fn is_enabled(&self) -> bool {
        !self.timetable.is_empty()
    }

    /// Requests an update before the next pass.
    pub(super) fn request_update(&mut self) {
        self.next_update_at = 0;
    }

    /// Records the spare capacity that a pass reserved, and what it could not place.
    pub(super) fn record_plan(
        &mut self,
        reserved: HashMap<MachineId, Resources>,
        unplaced_spares: Vec<Unplaced>,
    ) {
        self.reserved = reserved;
        self.unplaced_spares = unplaced_spares;
    }

    /// Marks records that were not written, or may not have been, as unwritten.
    pub(super) fn on_write_failed(&mut self, units: &[WriteUnit]) {
        for unit in units {
            if let WriteUnit::ProtectionWindows { number, .. } = unit {
                self.window_state.on_write_failed(*number);
            }
        }
    }
}

impl LeaderTerm {
    /// Restores a record of windows and standings.
    pub(super) fn restore_protection_windows(&mut self, number: u32, item: &StoredItem, io: &mut Io) {
        let read =
            self.protection_windows
                .window_state
                .restore(number, &item.value.to_string(), item.version);
        if let Err(problem) = read {
            let text = format!(
                "shifts: record {} is left unchanged, {problem}: until it can be read or is deleted, \
                 windows follow this node's clock alone, and services have no recorded order",
                item.key
            );
            io.effects.push(Effect::Warning(text));
        }
    }

    /// Queues changed records for the next transaction.
    pub(super) fn queue_protection_windows(&mut self, now: Timestamp) {
        if self.protection_windows.is_enabled() && self.writer.protection_window_writes.is_empty() {
            self.writer.protection_window_writes = self.protection_windows.window_state.due_writes(now);
        }
    }

    /// Compares the clock with the windows and updates the protected services.
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
            // Held jobs need no capacity.
            job.spec.shape == Shape::Service && !job.parked
        });
        let services = jobs.clone().map(|job| Service {
            id: &job.spec.id.0,
            class: &job.spec.class,
            team: &job.spec.team,
            submitted_ms: job.spec.submitted_ms,
        });
        let events = self.protection_windows.window_state.update(io.wall_ms, services);
        let standings: BTreeMap<JobId, Standing> = self
            .protection_windows
            .window_state
            .standings()
            .map(|(id, standing)| (JobId(id.clone()), standing))
            .collect();
        let spares = self.protection_windows.window_state.spare_shares();
        let spare_share = |spec: &JobSpec| {
            let covering = spares.iter().filter(|spare| {
                let schedule = self.protection_windows.timetable.get(&spare.schedule);
                schedule.is_some_and(|schedule| schedule.covers(&spec.class, &spec.team))
            });
            covering.map(|spare| spare.share).fold(0.0, f64::max)
        };
        let spare = if spares.is_empty() {
            Vec::new()
        } else {
            spare_capacities(jobs.map(|job| (job, spare_share(&job.spec))))
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
                schedule,
                day,
                closes_ms,
            } => {
                self.protection_windows.warned_large = false;
                self.protection_windows.warned_unplaced = false;
                log::info!("protection window opened window={schedule} day={day} until_ms={closes_ms}");
                return;
            }
            Event::Closed {
                schedule,
                day,
                reason,
            } => {
                let why = match reason {
                    CloseReason::Ended => "it is over",
                    CloseReason::NoWindow => "the settings have no window on that day",
                };
                log::info!("protection window closed window={schedule} day={day}: {why}");
                return;
            }
            Event::ClockBehind { behind_ms } => format!(
                "shifts: this node's clock is {behind_ms} ms behind the clock under which the record was \
                 written, more than deployment.skew_ms allows: recorded windows stay as they are"
            ),
            Event::NotInSettings { schedule, closes_ms } => format!(
                "shift={schedule} is recorded as open but is not in this node's settings: recorded services stay \
                 protected until {closes_ms} ms, and no others"
            ),
            Event::TooLarge { max_bytes } => format!(
                "shifts: they do not fit into a value of {max_bytes} bytes: they are not recorded, and \
                 follow each leader's clock"
            ),
            Event::PositionsExhausted { services } => format!(
                "shifts: {services} services are protected without a recorded place: there are too many"
            ),
        };
        io.effects.push(Effect::Warning(warning));
    }

    /// Warns operators, once per window, if protected replicas cannot be placed, or if they leave
    /// too little capacity to other classes.
    fn warn_about_protected_replicas(&mut self, types: &MachineTypes, settings: &Settings, io: &mut Io) {
        let protection = &self.protection_windows.protection;
        let unplaced_replicas: u32 = self
            .scheduler
            .unplaced()
            .iter()
            .filter(|unplaced| protection.standing(&unplaced.job).is_some())
            .map(|unplaced| unplaced.tasks)
            .sum();
        if unplaced_replicas == 0 {
            self.protection_windows.replicas_unplaced_since = None;
        }
        let mut warning = None;
        if unplaced_replicas > 0 {
            let since = *self
                .protection_windows
                .replicas_unplaced_since
                .get_or_insert(io.now);
            if io.now >= since + PROTECTED_WAIT_WARNING_MS
                && !std::mem::replace(&mut self.protection_windows.warned_unplaced, true)
            {
                warning = Some(format!(
                    "shifts: {unplaced_replicas} protected replicas lack machines: the cloud has too few \
                     machines for them, or their teams may use no more"
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
                "shifts: protected services fill {machines:.0} of at most {fleet_max} machines: \
                 meanwhile other classes may get less than half of their demand"
            ));
        }
        if let Some(warning) = warning {
            io.effects.push(Effect::Warning(warning));
        }
    }

    /// Status of the protection windows.
    pub fn protection_window_status(&self, wall_ms: u64) -> Vec<WindowStatus> {
        if self.protection_windows.is_enabled() {
            self.protection_windows.window_state.status(wall_ms)
        } else {
            Vec::new()
        }
    }

    /// The numbers of spare replicas that protection windows require, and for which capacity is
    /// reserved.
    pub fn spare_replicas(&self) -> (u32, u32) {
        let wanted = self
            .protection_windows
            .protection
            .spare
            .iter()
            .map(|spare| spare.tasks)
            .sum();
        let unplaced: u32 = self
            .protection_windows
            .unplaced_spares
            .iter()
            .map(|unplaced| unplaced.tasks)
            .sum();
        (wanted, wanted - unplaced.min(wanted))
    }
}

/// Spare capacity per group of jobs with equal requirements. The share of each job alone would be
/// rounded up to a whole replica, which for small jobs would double their size.
fn spare_capacities<'a>(jobs: impl Iterator<Item = (&'a Job, f64)>) -> Vec<SpareCapacity> {
    let mut groups: Vec<(&Job, f64)> = Vec::new();
    for (job, share) in jobs.filter(|(_, share)| *share > 0.0) {
        let wanted = share * f64::from(job.spec.tasks);
        let has_equal_needs = |other: &JobSpec| {
            (other.needs, &other.types, &other.zone) == (job.spec.needs, &job.spec.types, &job.spec.zone)
                && other.kinds == job.spec.kinds
        };
        match groups.iter_mut().find(|(other, _)| has_equal_needs(&other.spec)) {
            Some((_, sum)) => *sum += wanted,
            None => groups.push((job, wanted)),
        }
    }
    let mut remaining = MAX_SPARE_REPLICAS;
    let mut capacities = Vec::new();
    for (job, wanted) in groups {
        let tasks = (wanted.ceil() as u32).min(remaining);
        remaining -= tasks;
        capacities.push(SpareCapacity {
            template: job.spec.id.clone(),
            tasks,
        });
    }
    capacities
}
