//! Lingering units: no attempt holds them any more, but the licence server still counts them as
//! checked out, because their client died without returning them.

use crate::Name;
use crate::constants::{LINGER_MERGE_MS, MAX_LINGERS_PER_RECORD};
use serde::{Deserialize, Serialize};

/// Units of one counted resource and team that become free at the same time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Linger {
    /// The counted resource.
    pub count: Name,
    /// The team that held the units.
    pub team: Name,
    /// Number of units.
    pub units: u32,
    /// Monotonic time, in ms, at which they become free.
    pub until: u64,
}

/// Stored form of [`Linger`]: counted resource, team, units, and the time at which they become
/// free, in ms since 1970, because monotonic times are meaningless to another process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LingerEntry(pub Name, pub Name, pub u32, pub u64);

/// The lingering units of one record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LingerSet(Vec<Linger>);

impl LingerSet {
    /// Whether no units linger.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All entries, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Linger> {
        self.0.iter()
    }

    /// Adds lingering units, merging them with an entry that expires at about the same time.
    pub fn add(&mut self, linger: Linger) {
        let near = self.0.iter_mut().find(|other| {
            other.count == linger.count
                && other.team == linger.team
                && other.until.abs_diff(linger.until) < LINGER_MERGE_MS
        });
        match near {
            Some(other) => {
                other.units = other.units.saturating_add(linger.units);
                other.until = other.until.max(linger.until);
            }
            None => self.0.push(linger),
        }
        if self.0.len() > MAX_LINGERS_PER_RECORD {
            self.merge_by_team();
        }
    }

    /// Merges all entries of each counted resource and team into one with the latest expiry.
    fn merge_by_team(&mut self) {
        let mut condensed: Vec<Linger> = Vec::new();
        for linger in self.0.drain(..) {
            let same = condensed
                .iter_mut()
                .find(|other| other.count == linger.count && other.team == linger.team);
            match same {
                Some(other) => {
                    other.units = other.units.saturating_add(linger.units);
                    other.until = other.until.max(linger.until);
                }
                None => condensed.push(linger),
            }
        }
        self.0 = condensed;
    }

    /// Removes expired entries. Returns whether there were any.
    pub fn prune(&mut self, now: u64) -> bool {
        let before = self.0.len();
        self.0.retain(|linger| now < linger.until);
        self.0.len() < before
    }

    /// Converts the unexpired entries to their stored form.
    pub fn to_record(&self, now: u64, wall_ms: u64) -> Vec<LingerEntry> {
        self.0
            .iter()
            .filter(|linger| now < linger.until)
            .map(|linger| {
                LingerEntry(
                    linger.count.clone(),
                    linger.team.clone(),
                    linger.units,
                    wall_ms + (linger.until - now),
                )
            })
            .collect()
    }

    /// Restores entries from their stored form. `clock_skew_ms` is the maximum deviation of any
    /// clock from true time: the writer's clock may have been ahead by as much and this one may be
    /// behind. No unit lingers longer than `max_ms` from now, whatever the clocks say.
    pub fn from_record(
        entries: impl IntoIterator<Item = LingerEntry>,
        now: u64,
        wall_ms: u64,
        clock_skew_ms: u64,
        max_ms: impl Fn(&str) -> u64,
    ) -> LingerSet {
        let mut lingers = LingerSet::default();
        for LingerEntry(count, team, units, until_ms) in entries {
            let left_ms = until_ms.saturating_add(2 * clock_skew_ms).saturating_sub(wall_ms);
            let left_ms = left_ms.min(max_ms(&count));
            if left_ms > 0 {
                lingers.add(Linger {
                    count,
                    team,
                    units,
                    until: now + left_ms,
                });
            }
        }
        lingers
    }
}

#[cfg(test)]
mod tests;
