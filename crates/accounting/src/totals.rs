//! Totals over ended jobs, by day and class.

use crate::constants::{CHECKSUM_BITS, MAX_TOTALS_CLASSES, MAX_TOTALS_ROWS, TOTALS_ROW_BYTES};
use crate::entry::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Totals over a set of ended jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobTotals {
    /// Jobs that finished.
    pub done: u64,
    /// Jobs that were cancelled.
    pub cancelled: u64,
    /// Tasks of these jobs.
    pub tasks: u64,
    /// Lower bound on the attempts of their tasks.
    pub attempts: u64,
    /// Lower bound on the seconds of lost work.
    pub lost_s: u64,
    /// Sum of the jobs' checksums, which distinguishes totals over different jobs.
    pub(crate) checksum: u64,
}

impl JobTotals {
    pub(crate) fn add(&mut self, job: &str, entry: &Entry) {
        self.merge(&JobTotals {
            done: u64::from(entry.ended_by().is_finished()),
            cancelled: u64::from(!entry.ended_by().is_finished()),
            tasks: u64::from(entry.tasks),
            attempts: u64::from(entry.stats.attempts.unwrap_or(0)),
            lost_s: entry.stats.total_lost_s(),
            checksum: entry.checksum(job),
        });
    }

    pub(crate) fn merge(&mut self, other: &JobTotals) {
        self.done = self.done.saturating_add(other.done);
        self.cancelled = self.cancelled.saturating_add(other.cancelled);
        self.tasks = self.tasks.saturating_add(other.tasks);
        self.attempts = self.attempts.saturating_add(other.attempts);
        self.lost_s = self.lost_s.saturating_add(other.lost_s);
        self.checksum = self.checksum.wrapping_add(other.checksum) & ((1 << CHECKSUM_BITS) - 1);
    }

    /// Whether both cover the same ended jobs. Attempts and lost work may differ: only the last
    /// leader that ran a job knows them.
    pub(crate) fn has_same_jobs(&self, other: &JobTotals) -> bool {
        (self.done, self.cancelled, self.tasks, self.checksum)
            == (other.done, other.cancelled, other.tasks, other.checksum)
    }
}

/// Totals by day and class. Day 0 contains all older days, and the empty class contains all classes
/// without separate totals.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct TotalsByDay(pub(crate) BTreeMap<(u32, Arc<str>), JobTotals>);

impl TotalsByDay {
    /// The class under which jobs of `class` are counted.
    fn counted_class(&self, class: &Arc<str>) -> Arc<str> {
        let known: BTreeSet<&Arc<str>> = self.0.keys().map(|(_, class)| class).collect();
        if known.contains(class) || known.len() < MAX_TOTALS_CLASSES {
            class.clone()
        } else {
            Arc::from("")
        }
    }

    pub(crate) fn add(&mut self, job: &str, entry: &Entry, max_bytes: usize) {
        let class = self.counted_class(&entry.class);
        self.0.entry((entry.day(), class)).or_default().add(job, entry);
        self.fold(max_bytes);
    }

    /// Folds the oldest days into day 0 until the totals fit into a record.
    pub(crate) fn fold(&mut self, max_bytes: usize) {
        while self.0.len() > MAX_TOTALS_ROWS || self.bytes() > max_bytes {
            let oldest = self.0.keys().map(|(day, _)| *day).find(|day| *day > 0);
            let Some(day) = oldest else {
                return;
            };
            let mut folded = self.0.split_off(&(day, Arc::from("")));
            let later = folded.split_off(&(day + 1, Arc::from("")));
            self.0.extend(later);
            for ((_, class), totals) in folded {
                self.0.entry((0, class)).or_default().merge(&totals);
            }
        }
    }

    /// Maximum bytes of the totals in a record.
    pub(crate) fn bytes(&self) -> usize {
        let classes: BTreeSet<&Arc<str>> = self.0.keys().map(|(_, class)| class).collect();
        let class_bytes: usize = classes.iter().map(|class| class.len() + 3).sum();
        self.0.len() * TOTALS_ROW_BYTES + class_bytes
    }

    /// Whether old days have been folded into day 0.
    pub(crate) fn is_folded(&self) -> bool {
        self.0.keys().any(|(day, _)| *day == 0)
    }
}
