//! Units that nobody holds any more, but that their licence server has not got back
//! yet: its client died without a word.

use crate::Name;
use crate::constants::{LINGER_MERGE_MS, MAX_LINGERS_PER_RECORD};
use serde::{Deserialize, Serialize};

/// Units of one count and team that come free at the same time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Linger {
    pub count: Name,
    pub team: Name,
    pub units: u32,
    /// Steady time, in ms, from which on they are free.
    pub until: u64,
}

/// The same in a record: count, team, units, and when they are free by the time of day,
/// in ms since 1970 — steady times mean nothing to another process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LingerEntry(pub Name, pub Name, pub u32, pub u64);

/// Lingering units, as one record holds them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LingerSet(Vec<Linger>);

impl LingerSet {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Linger> {
        self.0.iter()
    }

    /// Adds lingering units, to others that end about then if there are any.
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

    /// One entry a count and team, for as long as the last of them.
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

    /// Drops what is free by now; whether there was any.
    pub fn prune(&mut self, now: u64) -> bool {
        let before = self.0.len();
        self.0.retain(|linger| now < linger.until);
        self.0.len() < before
    }

    /// As a record holds them.
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

    /// As read from a record. `off_ms` is how far any clock may be from the true time of
    /// day: the writer's may have been early by it, and this one may be late. No unit
    /// lingers longer than `most_ms` from now, whatever the clocks say.
    pub fn from_record(
        entries: impl IntoIterator<Item = LingerEntry>,
        now: u64,
        wall_ms: u64,
        off_ms: u64,
        most_ms: impl Fn(&str) -> u64,
    ) -> LingerSet {
        let mut lingers = LingerSet::default();
        for LingerEntry(count, team, units, until_ms) in entries {
            let left_ms = until_ms.saturating_add(2 * off_ms).saturating_sub(wall_ms);
            let left_ms = left_ms.min(most_ms(&count));
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
