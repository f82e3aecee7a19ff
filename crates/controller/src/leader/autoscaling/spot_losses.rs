//! Loss rate of spot machines.

use crate::constants::{SECOND_MS, SPOT_LOSS_PRIOR_PER_S, SPOT_LOSS_PRIOR_WEIGHT_S};
use crate::model::Timestamp;

/// Loss statistics of spot machines, observed in this term.
#[derive(Debug, Default)]
pub(in crate::leader) struct SpotLosses {
    machine_uptime_s: f64,
    losses: u32,
    updated_at: Timestamp,
}

impl SpotLosses {
    /// Adds the uptime of this number of spot machines since the last call.
    pub(in crate::leader) fn add_uptime(&mut self, machines: usize, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / SECOND_MS as f64;
        if self.updated_at > 0 {
            self.machine_uptime_s += machines as f64 * elapsed_s;
        }
        self.updated_at = now;
    }

    /// Counts a spot machine that was reclaimed by the cloud or became unreachable for good.
    pub(in crate::leader) fn record_loss(&mut self) {
        self.losses += 1;
    }

    /// Losses per machine and second, smoothed with a prior.
    pub(in crate::leader) fn rate(&self) -> f64 {
        (f64::from(self.losses) + SPOT_LOSS_PRIOR_PER_S * SPOT_LOSS_PRIOR_WEIGHT_S)
            / (self.machine_uptime_s + SPOT_LOSS_PRIOR_WEIGHT_S)
    }
}
