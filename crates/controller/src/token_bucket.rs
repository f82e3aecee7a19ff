//! Token buckets that limit the rate of calls to the state service and the cloud.

use crate::constants::SECOND_MS;
use crate::model::Timestamp;

/// Allows `rate` units a second on average and `burst` at once.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64, now: Timestamp) -> TokenBucket {
        TokenBucket {
            rate,
            burst,
            level: burst,
            refilled_at: now,
        }
    }

    /// Changes the rate, as when a follower becomes leader.
    pub fn set_rate(&mut self, rate: f64, now: Timestamp) {
        self.refill(now);
        self.rate = rate;
        self.burst = rate.max(1.0);
        self.level = self.level.min(self.burst);
    }

    /// Reduces the level to at most this share of a full bucket.
    pub fn drain_to(&mut self, share: f64, now: Timestamp) {
        self.refill(now);
        self.level = self.level.min(share * self.burst);
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / SECOND_MS as f64;
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes `units` if at least the share `reserve` of a full bucket remains, and returns whether
    /// it did.
    pub fn try_take(&mut self, units: f64, reserve: f64, now: Timestamp) -> bool {
        let has_enough = self.has_available(units, reserve, now);
        if has_enough {
            self.level -= units;
        }
        has_enough
    }

    /// Whether `units` could be taken with at least the share `reserve` of a full bucket remaining.
    pub fn has_available(&mut self, units: f64, reserve: f64, now: Timestamp) -> bool {
        self.refill(now);
        self.level - units >= reserve * self.burst
    }

    /// Takes `units` whatever the level, for calls that must not wait, such as lease renewals.
    pub fn force_take(&mut self, units: f64, now: Timestamp) {
        self.refill(now);
        self.level -= units;
    }

    /// Whole units that could be taken now.
    pub fn available(&mut self, now: Timestamp) -> usize {
        self.refill(now);
        self.level.max(0.0) as usize
    }
}

#[cfg(test)]
mod tests;
