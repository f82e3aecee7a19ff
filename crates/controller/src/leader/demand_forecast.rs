//! Forecasts of missed objectives, and the share of their demand that classes and teams have.
//! Updated at intervals, independently of scheduling passes.

use super::LeaderTerm;
use crate::constants::{FORECAST_INTERVAL_MS, SERVED_MIN_TERM_MS};
use crate::io::Io;
use crate::model::{Job, Timestamp};
use crate::scheduling::fair_share::{DemandSatisfaction, LiveDemand, Share, ShareOwner};
use crate::scheduling::objective_forecast::{Forecast, ForecastInput};
use crate::scheduling::placement::MachineTypes;
use crate::settings::Settings;

/// Forecasts of objectives, and the satisfaction of demand.
#[derive(Debug, Default)]
pub(super) struct DemandForecast {
    objectives: Forecast,
    satisfaction: DemandSatisfaction,
    due_at: Timestamp,
}

impl DemandForecast {
    /// The share of their demand that classes and teams have.
    pub(super) fn satisfaction(&self) -> &DemandSatisfaction {
        &self.satisfaction
    }

    /// The share of their demand that classes and teams have, to be updated by a placement.
    pub(super) fn satisfaction_mut(&mut self) -> &mut DemandSatisfaction {
        &mut self.satisfaction
    }

    /// Records a job that has finished.
    pub(super) fn finished(&mut self, job: &Job, now: Timestamp) {
        self.objectives.record_finished(job, now);
        self.satisfaction.record_finished(&job.spec, now);
    }
}

impl LeaderTerm {
    /// The share of its demand that each class and team has.
    pub fn demand_shares(&self) -> impl Iterator<Item = (&ShareOwner, Share)> {
        self.forecast.satisfaction.shares()
    }

    /// Updates objective forecasts, demand satisfaction and image size warnings, if due.
    pub(super) fn forecast_when_due(&mut self, types: &MachineTypes, settings: &Settings, io: &mut Io) {
        if io.now < self.forecast.due_at {
            return;
        }
        self.forecast.due_at = io.now + FORECAST_INTERVAL_MS;
        let input = ForecastInput {
            jobs: self.jobs.as_map(),
            machines: self.machines.as_map(),
            unsatisfied: &self.counted_resources.unsatisfied,
            types,
            settings,
            boot_s: self.autoscaler.observed_boot_s(),
        };
        self.forecast.objectives.update(&input, io);
        self.forecast.objectives.update_large_jobs(
            self.jobs.as_map(),
            self.machines.task_locations(),
            &self.counted_resources.unsatisfied,
            io,
        );
        let live = LiveDemand {
            jobs: self.jobs.as_map(),
            counts: self.jobs.task_counts(),
            short_of_units: self
                .counted_resources
                .unsatisfied
                .iter()
                .map(|demand| &demand.job)
                .collect(),
            deployment: &settings.deployment,
        };
        let is_reliable = io.now >= self.started + SERVED_MIN_TERM_MS;
        self.forecast.satisfaction.update(&live, is_reliable, io);
        self.warn_about_image_sizes(types, io);
    }
}
