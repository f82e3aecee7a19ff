//! How often the cloud takes spot machines back.

use crate::constants::{SECOND_MS, SPOT_LOSS_PRIOR_PER_S, SPOT_LOSS_PRIOR_WEIGHT_S};
use crate::model::Timestamp;

/// How often spot machines are lost, as seen in this term.
#[derive(Debug, Default)]
pub(in crate::leader) struct SpotLosses {
    machine_s: f64,
    lost: u32,
    at: Timestamp,
}

impl SpotLosses {
    /// So many spot machines have been up since the last call.
    pub(in crate::leader) fn up(&mut self, machines: usize, now: Timestamp) {
        let since_s = now.saturating_sub(self.at) as f64 / SECOND_MS as f64;
        if self.at > 0 {
            self.machine_s += machines as f64 * since_s;
        }
        self.at = now;
    }

    /// The cloud has taken a spot machine back, or it fell silent for good.
    pub(in crate::leader) fn note_lost(&mut self) {
        self.lost += 1;
    }

    /// Losses per second and machine.
    pub(in crate::leader) fn rate(&self) -> f64 {
        (f64::from(self.lost) + SPOT_LOSS_PRIOR_PER_S * SPOT_LOSS_PRIOR_WEIGHT_S)
            / (self.machine_s + SPOT_LOSS_PRIOR_WEIGHT_S)
    }
}
