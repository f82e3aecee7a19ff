//! The accounts of all teams, and the writes that update their records.

use crate::access::Team;
use crate::constants::{CHANGES_PER_END, ENTRIES_PER_PAGE, MAX_PENDING_ENDS, TYPICAL_ENTRY_BYTES};
use crate::entry::Entry;
use crate::position::Position;
use crate::records::{HEAD_KEY, Head, Record, RecordError, encode, parse, part_key};
use crate::team_account::{AccountPart, TeamAccount};
use crate::totals::JobTotals;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

mod repair;

pub use repair::{Difference, Rebuild};

/// A change of an accounting record: the key, and the value to put or `None` to delete the key.
pub type RecordChange = (String, Option<Value>);

/// An ended job that is not written yet; without an entry if its record names no owner.
type PendingEnd = (Position, Option<Arc<Entry>>);

/// A part of a team's account.
type TeamPart = (Team, AccountPart);

/// A write in flight.
#[derive(Debug)]
struct StagedWrite {
    /// The changed accounts, as they are after the write.
    accounts: BTreeMap<Team, TeamAccount>,
    /// Number of pending ends that the write contains.
    pending_taken: usize,
    head: Head,
    parts: BTreeSet<TeamPart>,
    includes_head: bool,
}

/// The accounts of all teams, as held by the leader: the recorded accounts, and the ended jobs that
/// are not written yet.
#[derive(Debug)]
pub struct JobAccounting {
    accounts: BTreeMap<Team, TeamAccount>,
    head: Head,
    pending: VecDeque<PendingEnd>,
    staged: Option<StagedWrite>,
    /// Parts that were changed by a repair and are not written yet.
    repaired: BTreeSet<TeamPart>,
    /// The head changed without a pending end.
    head_changed: bool,
    page_bytes: usize,
}

impl JobAccounting {
    /// Creates empty accounts whose records take at most `page_bytes` bytes each.
    pub fn new(page_bytes: usize) -> JobAccounting {
        JobAccounting {
            accounts: BTreeMap::new(),
            head: Head::new(),
            pending: VecDeque::new(),
            staged: None,
            repaired: BTreeSet::new(),
            head_changed: false,
            page_bytes,
        }
    }

    /// Loads a record.
    ///
    /// # Errors
    /// The record cannot be used. The accounts must then be rebuilt from the records of ended jobs,
    /// or left unchanged if a newer build wrote the record.
    pub fn load_record(&mut self, key: &str, value: &Value) -> Result<(), RecordError> {
        match parse(key, value)? {
            Record::Head(head) => self.head = head,
            Record::Page { team, number, page } => {
                self.accounts.entry(team).or_default().pages.insert(number, page);
            }
            Record::Totals { team, totals } => self.accounts.entry(team).or_default().totals = totals,
        }
        Ok(())
    }

    /// The position of the last ended job that was appended.
    pub fn last_position(&self) -> &Position {
        self.pending
            .back()
            .map_or(&self.head.position, |(position, _)| position)
    }

    /// Whether more ended jobs can be appended.
    pub fn has_capacity(&self) -> bool {
        self.pending.len() < MAX_PENDING_ENDS
    }

    /// The number of ended jobs that are not written yet.
    pub fn pending_ends(&self) -> usize {
        self.pending.len()
    }

    /// The number of ended jobs whose records name no owner.
    pub fn unowned(&self) -> u64 {
        self.head.unowned
    }

    /// Appends an ended job if its position is after all appended ones, so that each is counted
    /// once. `entry` is `None` if the record names no owner. Returns whether it was appended.
    pub fn append(&mut self, position: Position, entry: Option<Entry>) -> bool {
        if position <= *self.last_position() {
            return false;
        }
        self.pending.push_back((position, entry.map(Arc::new)));
        true
    }

    /// Begins the next write and returns its changes, which fit into one transaction of
    /// `max_changes` changes and `max_bytes` bytes. Returns `None` if there is nothing to write or a
    /// write is in flight.
    pub fn begin_write(&mut self, max_changes: usize, max_bytes: usize) -> Option<Vec<RecordChange>> {
        if self.staged.is_some() || max_changes <= CHANGES_PER_END {
            return None;
        }
        let mut staged = if self.repaired.is_empty() {
            self.stage_pending(max_changes, max_bytes)
        } else {
            self.stage_repaired(max_changes, max_bytes)
        };
        if staged.pending_taken == 0 && staged.parts.is_empty() && !self.head_changed {
            return None;
        }
        let mut changes: Vec<RecordChange> = staged
            .parts
            .iter()
            .map(|(team, part)| {
                let account = staged.accounts.get(team).or_else(|| self.accounts.get(team));
                let value = account.and_then(|account| encode(account, team, *part));
                (part_key(team, *part), value)
            })
            .collect();
        // The head is written with the last repaired part, so that an incomplete repair is not
        // recorded as complete.
        staged.includes_head = self.repaired.iter().all(|part| staged.parts.contains(part));
        if staged.includes_head {
            changes.push((HEAD_KEY.to_owned(), serde_json::to_value(&staged.head).ok()));
        }
        self.staged = Some(staged);
        Some(changes)
    }

    fn empty_write(&self) -> StagedWrite {
        StagedWrite {
            accounts: BTreeMap::new(),
            pending_taken: 0,
            head: self.head.clone(),
            parts: BTreeSet::new(),
            includes_head: false,
        }
    }

    /// Stages as many repaired parts as fit. Repaired accounts are written completely before new
    /// ends are added to them.
    fn stage_repaired(&self, max_changes: usize, max_bytes: usize) -> StagedWrite {
        let max_parts = (max_bytes / self.max_page_bytes()).max(1);
        let parts = self.repaired.iter().take(max_parts.min(max_changes - 1));
        StagedWrite {
            parts: parts.cloned().collect(),
            ..self.empty_write()
        }
    }

    /// Stages as many pending ends as fit.
    fn stage_pending(&self, max_changes: usize, max_bytes: usize) -> StagedWrite {
        let mut staged = self.empty_write();
        for (position, entry) in &self.pending {
            let too_many = staged.parts.len() + CHANGES_PER_END + 1 > max_changes;
            let too_large = self.staged_bytes(&staged) + 2 * self.page_bytes > max_bytes;
            if too_many || too_large && !staged.parts.is_empty() {
                break;
            }
            staged.pending_taken += 1;
            staged.head.position = position.clone();
            let Some(entry) = entry else {
                staged.head.unowned += 1;
                continue;
            };
            let team = entry.team();
            let account = staged
                .accounts
                .entry(team.clone())
                .or_insert_with(|| self.accounts.get(team).cloned().unwrap_or_default());
            let mut parts = BTreeSet::new();
            account.add(&position.job, entry, self.page_bytes, &mut parts);
            staged
                .parts
                .extend(parts.into_iter().map(|part| (team.clone(), part)));
        }
        staged
    }

    /// Maximum bytes of the staged parts.
    fn staged_bytes(&self, staged: &StagedWrite) -> usize {
        let bytes = staged.parts.iter().map(|(team, part)| {
            let account = staged.accounts.get(team);
            account.map_or(0, |account| match part {
                AccountPart::Page(_) => self.max_page_bytes(),
                AccountPart::Totals => account.totals.bytes(),
            })
        });
        bytes.sum()
    }

    /// Maximum bytes of a page.
    fn max_page_bytes(&self) -> usize {
        self.page_bytes.clamp(1, ENTRIES_PER_PAGE * TYPICAL_ENTRY_BYTES)
    }

    /// The write in flight was executed.
    pub fn on_written(&mut self) {
        if let Some(staged) = self.staged.take() {
            self.pending.drain(..staged.pending_taken);
            self.accounts.extend(staged.accounts);
            self.head = staged.head;
            self.repaired.retain(|part| !staged.parts.contains(part));
            self.head_changed &= !staged.includes_head;
        }
    }

    /// The write in flight was definitely not executed: its changes are pending again.
    pub fn on_rejected(&mut self) {
        self.staged = None;
    }

    /// Advances the position to this revision, up to which no jobs ended other than those appended.
    /// This is recorded, so that the next leader does not request changes that the state service no
    /// longer keeps.
    pub fn advance_to(&mut self, revision: u64) {
        if self.pending.is_empty() && self.staged.is_none() && revision > self.head.position.revision {
            self.head.position = Position::after_revision(revision);
            self.head_changed = true;
        }
    }

    /// Whether a write is in flight.
    pub fn is_writing(&self) -> bool {
        self.staged.is_some()
    }

    /// Totals over all ended jobs of each team.
    pub fn totals(&self) -> impl Iterator<Item = (&Team, JobTotals)> {
        self.accounts
            .iter()
            .map(|(team, account)| (team, account.total()))
    }
}

#[cfg(test)]
mod tests;
