//! Verifies the accounts against the records of ended jobs and repairs differences.

use super::{JobAccounting, TeamPart};
use crate::access::Team;
use crate::constants::{ENTRIES_PER_PAGE, MAX_PAGES};
use crate::entry::Entry;
use crate::position::Position;
use crate::records::{HEAD_KEY, team_key_prefix};
use crate::team_account::TeamAccount;
use crate::totals::{JobTotals, TotalsByDay};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A day on which an account differs from the records of ended jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Prefix of the account's keys, all of which are rewritten.
    pub key: String,
    /// Day, in days since the Unix epoch; 0 for all folded days.
    pub day: u32,
    /// Totals according to the account.
    pub account: JobTotals,
    /// Totals according to the records of ended jobs.
    pub records: JobTotals,
}

impl JobAccounting {
    /// Replaces accounts that differ from the records of ended jobs, and returns the differences.
    /// `rebuild` must contain the ends that were appended since its scan started.
    pub fn repair(&mut self, rebuild: Rebuild) -> Vec<Difference> {
        let scan_revision = rebuild.scan_revision;
        let rebuilt = rebuild.finish(self.page_bytes);
        let current = self.with_pending();
        let mut differences = self.replace_different(&current, &rebuilt);
        if current.unowned != rebuilt.unowned {
            differences.push(unowned_difference(current.unowned, rebuilt.unowned));
        }
        if !differences.is_empty() {
            self.add_pending_to_unrepaired();
            // The accounts now contain everything that the scan returned.
            let position = self
                .last_position()
                .clone()
                .max(Position::after_revision(scan_revision));
            self.pending.clear();
            self.head.position = position;
            self.head.unowned = rebuilt.unowned;
            self.head_changed = true;
        }
        differences
    }

    /// The accounts as they are once all pending ends are written.
    fn with_pending(&self) -> Accounts {
        let mut current = Accounts {
            by_team: self.accounts.clone(),
            unowned: self.head.unowned,
        };
        for (position, entry) in &self.pending {
            match entry {
                Some(entry) => current.add(&position.job, entry, self.page_bytes),
                None => current.unowned += 1,
            }
        }
        current
    }

    /// Replaces each account that differs. All its keys are rewritten, and keys that no longer exist
    /// are deleted.
    fn replace_different(&mut self, current: &Accounts, rebuilt: &Accounts) -> Vec<Difference> {
        let empty = TeamAccount::default();
        let teams: BTreeSet<&Team> = current.by_team.keys().chain(rebuilt.by_team.keys()).collect();
        let mut differences = Vec::new();
        for team in teams {
            let account = current.by_team.get(team).unwrap_or(&empty);
            let records = rebuilt.by_team.get(team).unwrap_or(&empty);
            let team_differences = differences_of(team, account, records);
            if team_differences.is_empty() {
                continue;
            }
            differences.extend(team_differences);
            let recorded = self.accounts.get(team).unwrap_or(&empty);
            let parts: Vec<TeamPart> = recorded
                .parts()
                .chain(records.parts())
                .map(|part| (team.clone(), part))
                .collect();
            self.repaired.extend(parts);
            self.accounts.insert(team.clone(), records.clone());
        }
        differences
    }

    /// Adds the pending ends to the accounts that were not replaced. The replaced accounts contain
    /// them already.
    fn add_pending_to_unrepaired(&mut self) {
        let replaced: BTreeSet<Team> = self.repaired.iter().map(|(team, _)| team.clone()).collect();
        for (position, entry) in &self.pending {
            let Some(entry) = entry.as_ref().filter(|entry| !replaced.contains(entry.team())) else {
                continue;
            };
            let team = entry.team();
            let account = self.accounts.entry(team.clone()).or_default();
            let mut parts = BTreeSet::new();
            account.add(&position.job, entry, self.page_bytes, &mut parts);
            self.repaired
                .extend(parts.into_iter().map(|part| (team.clone(), part)));
        }
    }

    /// Skips ends up to this position. They are added to a rebuild that will replace the accounts.
    pub fn skip_to(&mut self, position: Position) {
        self.pending.clear();
        self.head.position = self.head.position.clone().max(position);
    }

    /// Replaces all accounts by rebuilt ones. Used if the recorded accounts are known to lack ends.
    pub fn replace_with(&mut self, rebuild: Rebuild) {
        let rebuilt = rebuild.finish(self.page_bytes);
        for (team, account) in self.accounts.iter().chain(&rebuilt.by_team) {
            let parts = account.parts();
            self.repaired.extend(parts.map(|part| (team.clone(), part)));
        }
        self.accounts = rebuilt.by_team;
        self.head.unowned = rebuilt.unowned;
        self.head_changed = true;
    }
}

/// The accounts of all teams, and the number of ended jobs without an owner.
#[derive(Debug, Default)]
struct Accounts {
    by_team: BTreeMap<Team, TeamAccount>,
    unowned: u64,
}

impl Accounts {
    fn add(&mut self, job: &Arc<str>, entry: &Arc<Entry>, page_bytes: usize) {
        let account = self.by_team.entry(entry.team().clone()).or_default();
        account.add(job, entry, page_bytes, &mut BTreeSet::new());
    }
}

/// The difference in the number of ended jobs whose records name no owner.
fn unowned_difference(account: u64, records: u64) -> Difference {
    let totals = |cancelled| JobTotals {
        cancelled,
        ..JobTotals::default()
    };
    Difference {
        key: HEAD_KEY.to_owned(),
        day: 0,
        account: totals(account),
        records: totals(records),
    }
}

fn differences_of(team: &Team, account: &TeamAccount, records: &TeamAccount) -> Vec<Difference> {
    // Days that are folded in either of the two are compared as one.
    let first = first_whole_day(account).max(first_whole_day(records));
    let account_days = fold_before(account.totals_by_day(), first);
    let records_days = fold_before(records.totals_by_day(), first);
    let days: BTreeSet<u32> = account_days.keys().chain(records_days.keys()).copied().collect();
    let totals_of = |days: &BTreeMap<u32, JobTotals>, day| days.get(&day).copied().unwrap_or_default();
    let differences = days.into_iter().filter_map(|day| {
        let account = totals_of(&account_days, day);
        let records = totals_of(&records_days, day);
        (!account.has_same_jobs(&records)).then(|| Difference {
            key: team_key_prefix(team),
            day,
            account,
            records,
        })
    });
    differences.collect()
}

/// The first day of an account that is definitely not folded.
fn first_whole_day(account: &TeamAccount) -> u32 {
    if !account.totals.is_folded() {
        return 1;
    }
    let first = account.totals_by_day().keys().copied().find(|day| *day > 0);
    first.unwrap_or(u32::MAX)
}

/// Folds all days before `first` into day 0.
fn fold_before(mut days: BTreeMap<u32, JobTotals>, first: u32) -> BTreeMap<u32, JobTotals> {
    let mut folded = days.split_off(&first);
    for totals in days.values() {
        folded.entry(0).or_default().merge(totals);
    }
    folded
}

/// Accounts rebuilt from the records of ended jobs. The records may be read in any order, and
/// memory use is bounded.
#[derive(Debug)]
pub struct Rebuild {
    /// Ends up to this revision come from the scan, later ones from the watch.
    scan_revision: u64,
    recent: BTreeMap<Team, BTreeMap<Position, Arc<Entry>>>,
    totals: BTreeMap<Team, TotalsByDay>,
    unowned: u64,
    /// Number of records that were read.
    pub records_read: u64,
}

impl Rebuild {
    /// Starts a rebuild from a scan whose first page was read at this revision.
    pub fn new(scan_revision: u64) -> Rebuild {
        Rebuild {
            scan_revision,
            recent: BTreeMap::new(),
            totals: BTreeMap::new(),
            unowned: 0,
            records_read: 0,
        }
    }

    /// The revision up to which ends come from the scan.
    pub fn scan_revision(&self) -> u64 {
        self.scan_revision
    }

    /// Adds a record that the scan returned.
    pub fn add_scanned(&mut self, position: Position, entry: Option<Entry>) {
        self.records_read += 1;
        if position.revision <= self.scan_revision {
            self.add(position, entry);
        }
    }

    /// Adds an end that was appended to the accounts during the scan.
    pub fn add_appended(&mut self, position: Position, entry: Option<Entry>) {
        if position.revision > self.scan_revision {
            self.add(position, entry);
        }
    }

    fn add(&mut self, position: Position, entry: Option<Entry>) {
        let Some(entry) = entry else {
            self.unowned += 1;
            return;
        };
        let team = entry.team().clone();
        let recent = self.recent.entry(team.clone()).or_default();
        recent.insert(position, Arc::new(entry));
        if recent.len() > MAX_PAGES * ENTRIES_PER_PAGE
            && let Some((position, entry)) = recent.pop_first()
        {
            let totals = self.totals.entry(team).or_default();
            totals.add(&position.job, &entry, usize::MAX);
        }
    }

    fn finish(self, page_bytes: usize) -> Accounts {
        let mut accounts = Accounts {
            unowned: self.unowned,
            ..Accounts::default()
        };
        for (team, mut totals) in self.totals {
            totals.fold(page_bytes);
            accounts.by_team.entry(team).or_default().totals = totals;
        }
        for (position, entry) in self.recent.into_values().flatten() {
            accounts.add(&position.job, &entry, page_bytes);
        }
        accounts
    }
}
