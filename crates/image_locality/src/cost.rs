//! The measure: expected seconds in which replicas are not up.

use crate::CacheState;
use crate::constants::{BATCH_SECONDS, CROWD_SHARE, HORIZON_S, REPLACE_S};

/// A fetch under way on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Fetching {
    /// What is left of it, in s, were it alone.
    pub left_s: f64,
    /// Replicas that wait for it; other tasks count for less.
    pub waiting: f64,
}

/// An image that a fetch would push out.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Evicted {
    /// What it takes to fetch it again, in s.
    pub alone_s: f64,
    /// Replicas started with it, per s, everywhere.
    pub starts_per_s: f64,
    /// Machines that have it, this one among them.
    pub copies: u32,
}

impl Evicted {
    /// Seconds in which replicas are not up, because this copy is gone.
    pub fn cost_s(&self) -> f64 {
        // Who needs it goes to one of the other copies first.
        let here_per_s = self.starts_per_s / f64::from(self.copies.max(1)).powi(2);
        self.alone_s * (here_per_s * HORIZON_S).min(1.0)
    }
}

/// What is known of one place for one replica.
#[derive(Debug, Clone, Copy, Default)]
pub struct Choice<'a> {
    /// Whether its image lies there.
    pub cache_state: CacheState,
    /// What its fetch takes alone, in s.
    pub alone_s: f64,
    /// What is left of a fetch of it that is under way there, in s, were it alone.
    pub under_way_s: Option<f64>,
    /// The other fetches under way there.
    pub others: &'a [Fetching],
    /// How far fetches share the rate there: 0 not at all, 1 wholly.
    pub sharing: f64,
    /// What a fetch would push out, as [`Evicted::cost_s`] has it, summed.
    pub evicts_s: f64,
    /// Batch work that is stopped to make room, in s.
    pub lost_work_s: f64,
    /// Losses of such a machine, per s.
    pub machine_loss: f64,
    /// Losses of its zone, per s.
    pub zone_loss: f64,
    /// Replicas of the same service on the machine.
    pub beside: u32,
    /// Replicas of the same service in its zone, those on the machine among them.
    pub beside_in_zone: u32,
    /// The image lies on another machine.
    pub copy_elsewhere: bool,
    /// It lies in another zone.
    pub copy_in_other_zone: bool,
}

/// What a place costs, by reason, in s in which a replica is not up.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Cost {
    /// Until the image is there.
    pub fetch_s: f64,
    /// Others who wait for their images longer.
    pub delay_s: f64,
    /// Loss of the machine or its zone.
    pub loss_s: f64,
    /// What is pushed out and fetched again.
    pub evict_s: f64,
    /// Batch work stopped.
    pub stop_s: f64,
}

impl Cost {
    /// All of it.
    pub fn total_s(&self) -> f64 {
        self.fetch_s + self.delay_s + self.loss_s + self.evict_s + self.stop_s
    }
}

/// What a place costs.
pub fn cost(choice: &Choice<'_>) -> Cost {
    let missing = 1.0 - choice.cache_state.chance();
    // A rate that is shared by so many gives each the like of it. Of one that ends sooner, only
    // its own part is shared.
    let shared = |own_s: f64| {
        let with = choice.others.iter().map(|other| other.left_s.max(0.0).min(own_s));
        own_s + choice.sharing * with.sum::<f64>()
    };
    let mut cost = Cost {
        stop_s: choice.lost_work_s / BATCH_SECONDS,
        ..Cost::default()
    };
    if let Some(left_s) = choice.under_way_s {
        cost.fetch_s = shared(left_s.max(0.0));
    } else if missing > 0.0 {
        cost.fetch_s = missing * shared(choice.alone_s);
        let delays = choice
            .others
            .iter()
            .map(|other| other.waiting * other.left_s.max(0.0).min(choice.alone_s));
        cost.delay_s = missing * choice.sharing * delays.sum::<f64>();
        cost.evict_s = missing * choice.evicts_s;
    }
    let replace_s = |lost: u32, copy: bool| {
        let fetch_s = if copy {
            choice.alone_s * (CROWD_SHARE * f64::from(lost)).min(1.0)
        } else {
            choice.alone_s
        };
        REPLACE_S + fetch_s
    };
    let machine_s = choice.machine_loss * replace_s(choice.beside, choice.copy_elsewhere);
    let zone_s = choice.zone_loss * replace_s(choice.beside_in_zone, choice.copy_in_other_zone);
    cost.loss_s = HORIZON_S * (machine_s + zone_s);
    cost
}

#[cfg(test)]
mod tests;
