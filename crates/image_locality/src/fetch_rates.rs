//! How long fetches take, learned by kind of machine.

use crate::constants::{SHARING_PRIOR, SHARING_PRIOR_WEIGHT, SLOWNESS_LEAST, SLOWNESS_MOST, SLOWNESS_WEIGHT};
use std::collections::HashMap;

/// A fetch that was seen to its end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fetched {
    /// What it takes alone by the cloud's figure, in s.
    pub nominal_s: f64,
    /// What it took, in s.
    pub took_s: f64,
    /// Other fetches on the machine meanwhile, on average.
    pub others: f64,
}

/// What is known of a kind's fetches.
#[derive(Debug, Clone, Copy)]
struct Rate {
    /// Real over nominal time, of fetches alone.
    slowness: f64,
    /// How far fetches at one time share the rate: 0 not at all, 1 wholly.
    sharing: f64,
    /// Sum of the weights of what the sharing was learned from.
    seen: f64,
}

impl Default for Rate {
    fn default() -> Rate {
        Rate {
            slowness: 1.0,
            sharing: SHARING_PRIOR,
            seen: SHARING_PRIOR_WEIGHT,
        }
    }
}

/// Fetch rates by kind of machine (its type's name). Before anything was seen, the cloud's
/// figure holds, shared by all that is fetched at one time.
#[derive(Debug, Clone, Default)]
pub struct Rates {
    kinds: HashMap<String, Rate>,
}

impl Rates {
    /// A fetch ended on a machine of this kind.
    pub fn learn(&mut self, kind: &str, fetched: Fetched) {
        let usable = [fetched.nominal_s, fetched.took_s]
            .iter()
            .all(|time| time.is_finite() && *time > 0.0);
        if !usable || !fetched.others.is_finite() {
            return;
        }
        let rate = match self.kinds.get_mut(kind) {
            Some(rate) => rate,
            None => self.kinds.entry(kind.to_owned()).or_default(),
        };
        let ratio = (fetched.took_s / fetched.nominal_s).clamp(SLOWNESS_LEAST, SLOWNESS_MOST);
        if fetched.others < 0.1 {
            rate.slowness += SLOWNESS_WEIGHT * (ratio - rate.slowness);
            return;
        }
        let sharing = ((ratio / rate.slowness - 1.0) / fetched.others).clamp(0.0, 1.0);
        rate.seen += fetched.others.min(1.0);
        rate.sharing += (sharing - rate.sharing) * fetched.others.min(1.0) / rate.seen;
    }

    /// How far fetches at one time share the rate of such a machine: 0 not at all, 1 wholly.
    pub fn sharing(&self, kind: &str) -> f64 {
        self.kinds.get(kind).map_or(SHARING_PRIOR, |rate| rate.sharing)
    }

    /// What a fetch alone takes, in s, that takes `nominal_s` by the cloud's figure.
    pub fn alone_s(&self, kind: &str, nominal_s: f64) -> f64 {
        nominal_s * self.kinds.get(kind).map_or(1.0, |rate| rate.slowness)
    }
}

#[cfg(test)]
mod tests;
