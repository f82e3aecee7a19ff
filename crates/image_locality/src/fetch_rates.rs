//! Fetch durations, measured by machine type.

use crate::constants::{MAX_SLOWDOWN, MIN_SLOWDOWN, SHARING_PRIOR, SHARING_PRIOR_WEIGHT, SLOWDOWN_SMOOTHING};
use std::collections::HashMap;

/// A completed fetch.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FetchSample {
    /// Duration of an uncontended fetch according to the cloud, in s.
    pub nominal_s: f64,
    /// Actual duration, in s.
    pub duration_s: f64,
    /// Average number of other fetches on the machine meanwhile.
    pub concurrent_fetches: f64,
}

/// Measured rates of a machine type.
#[derive(Debug, Clone, Copy)]
struct FetchRate {
    /// Ratio of actual to nominal duration of uncontended fetches.
    slowdown: f64,
    /// Degree to which concurrent fetches share the bandwidth: 0 not at all, 1 completely.
    sharing: f64,
    /// Total weight of the samples that `sharing` is averaged over.
    sharing_weight: f64,
}

impl Default for FetchRate {
    fn default() -> FetchRate {
        FetchRate {
            slowdown: 1.0,
            sharing: SHARING_PRIOR,
            sharing_weight: SHARING_PRIOR_WEIGHT,
        }
    }
}

/// Fetch rates by the name of the machine type. Before anything was measured, the cloud's figure
/// applies, and concurrent fetches are assumed to share the bandwidth completely.
#[derive(Debug, Clone, Default)]
pub struct FetchRates {
    by_machine_type: HashMap<String, FetchRate>,
}

impl FetchRates {
    /// Records a fetch on a machine of this type; samples that are not finite and positive are ignored.
    pub fn record(&mut self, machine_type: &str, sample: FetchSample) {
        let is_valid = [sample.nominal_s, sample.duration_s]
            .iter()
            .all(|time| time.is_finite() && *time > 0.0);
        if !is_valid || !sample.concurrent_fetches.is_finite() {
            return;
        }
        let rate = match self.by_machine_type.get_mut(machine_type) {
            Some(rate) => rate,
            None => self.by_machine_type.entry(machine_type.to_owned()).or_default(),
        };
        let ratio = (sample.duration_s / sample.nominal_s).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        if sample.concurrent_fetches < 0.1 {
            rate.slowdown += SLOWDOWN_SMOOTHING * (ratio - rate.slowdown);
            return;
        }
        let sharing = ((ratio / rate.slowdown - 1.0) / sample.concurrent_fetches).clamp(0.0, 1.0);
        rate.sharing_weight += sample.concurrent_fetches.min(1.0);
        rate.sharing += (sharing - rate.sharing) * sample.concurrent_fetches.min(1.0) / rate.sharing_weight;
    }

    /// Returns the degree to which concurrent fetches share the bandwidth of such a machine: 0 not at
    /// all, 1 completely.
    pub fn sharing(&self, machine_type: &str) -> f64 {
        self.by_machine_type
            .get(machine_type)
            .map_or(SHARING_PRIOR, |rate| rate.sharing)
    }

    /// Returns the duration, in s, of an uncontended fetch whose duration according to the cloud is
    /// `nominal_s`.
    pub fn uncontended_s(&self, machine_type: &str, nominal_s: f64) -> f64 {
        nominal_s
            * self
                .by_machine_type
                .get(machine_type)
                .map_or(1.0, |rate| rate.slowdown)
    }
}

#[cfg(test)]
mod tests;
