//! Placement costs as expected seconds of replica downtime.

use crate::CacheState;
use crate::constants::{
    BATCH_S_PER_DOWNTIME_S, HORIZON_S, REPLACEMENT_CONTENTION_SHARE, REPLACEMENT_DELAY_S,
};

/// A fetch in progress on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct OngoingFetch {
    /// Remaining duration without contention, in s.
    pub remaining_s: f64,
    /// Number of replicas that wait for it; other tasks count as fractions.
    pub waiting_replicas: f64,
}

/// An image that a fetch would evict.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EvictedImage {
    /// Duration of fetching it again without contention, in s.
    pub uncontended_fetch_s: f64,
    /// Rate of replica starts with it on all machines, per s.
    pub starts_per_s: f64,
    /// Number of machines that have it, including this one.
    pub copies: u32,
}

impl EvictedImage {
    /// Returns the expected replica downtime due to the eviction of this copy, in s.
    pub fn cost_s(&self) -> f64 {
        // A replica that needs the image is placed on a machine with one of the other copies first.
        let local_starts_per_s = self.starts_per_s / f64::from(self.copies.max(1)).powi(2);
        self.uncontended_fetch_s * (local_starts_per_s * HORIZON_S).min(1.0)
    }
}

/// A machine on which a replica may be placed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Candidate<'a> {
    /// Whether the machine has the image of the replica.
    pub cache_state: CacheState,
    /// Duration of fetching the image without contention, in s.
    pub uncontended_fetch_s: f64,
    /// Remaining duration, without contention, of a fetch of the image in progress on the machine, in s.
    pub own_fetch_remaining_s: Option<f64>,
    /// Fetches of other images in progress on the machine.
    pub concurrent_fetches: &'a [OngoingFetch],
    /// Degree to which concurrent fetches share the bandwidth: 0 not at all, 1 completely.
    pub sharing: f64,
    /// Sum of [`EvictedImage::cost_s`] of the images that a fetch would evict.
    pub eviction_cost_s: f64,
    /// Batch work lost to preemption, in s.
    pub lost_work_s: f64,
    /// Rate of losses of such a machine, per s.
    pub machine_loss_rate: f64,
    /// Rate of losses of its zone, per s.
    pub zone_loss_rate: f64,
    /// Replicas of the same service on the machine.
    pub replicas_on_machine: u32,
    /// Replicas of the same service in its zone, including those on the machine.
    pub replicas_in_zone: u32,
    /// Whether the image is cached on another machine.
    pub cached_on_other_machine: bool,
    /// Whether the image is cached in another zone.
    pub cached_in_other_zone: bool,
}

/// The cost of a placement by cause, in s of replica downtime.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Cost {
    /// Waiting for the image.
    pub fetch_s: f64,
    /// Delay of other fetches on the machine.
    pub delay_s: f64,
    /// Expected losses of the machine or its zone.
    pub loss_s: f64,
    /// Fetching evicted images again.
    pub eviction_s: f64,
    /// Batch work lost to preemption.
    pub preemption_s: f64,
}

impl Cost {
    /// Returns the sum of all costs.
    pub fn total_s(&self) -> f64 {
        self.fetch_s + self.delay_s + self.loss_s + self.eviction_s + self.preemption_s
    }
}

/// Returns the cost of placing the replica on the machine.
pub fn cost(candidate: &Candidate<'_>) -> Cost {
    let miss_probability = 1.0 - candidate.cache_state.cached_probability();
    // Each concurrent fetch gets an equal share of the bandwidth, until it completes.
    let contended_s = |own_s: f64| {
        let overlaps_s = candidate
            .concurrent_fetches
            .iter()
            .map(|fetch| fetch.remaining_s.max(0.0).min(own_s));
        own_s + candidate.sharing * overlaps_s.sum::<f64>()
    };
    let mut cost = Cost {
        preemption_s: candidate.lost_work_s / BATCH_S_PER_DOWNTIME_S,
        ..Cost::default()
    };
    if let Some(remaining_s) = candidate.own_fetch_remaining_s {
        cost.fetch_s = contended_s(remaining_s.max(0.0));
    } else if miss_probability > 0.0 {
        cost.fetch_s = miss_probability * contended_s(candidate.uncontended_fetch_s);
        let delays = candidate.concurrent_fetches.iter().map(|fetch| {
            fetch.waiting_replicas * fetch.remaining_s.max(0.0).min(candidate.uncontended_fetch_s)
        });
        cost.delay_s = miss_probability * candidate.sharing * delays.sum::<f64>();
        cost.eviction_s = miss_probability * candidate.eviction_cost_s;
    }
    let replacement_s = |lost_replicas: u32, has_copy: bool| {
        let fetch_s = if has_copy {
            candidate.uncontended_fetch_s * (REPLACEMENT_CONTENTION_SHARE * f64::from(lost_replicas)).min(1.0)
        } else {
            candidate.uncontended_fetch_s
        };
        REPLACEMENT_DELAY_S + fetch_s
    };
    let machine_loss_s = candidate.machine_loss_rate
        * replacement_s(candidate.replicas_on_machine, candidate.cached_on_other_machine);
    let zone_loss_s =
        candidate.zone_loss_rate * replacement_s(candidate.replicas_in_zone, candidate.cached_in_other_zone);
    cost.loss_s = HORIZON_S * (machine_loss_s + zone_loss_s);
    cost
}

#[cfg(test)]
mod tests;
