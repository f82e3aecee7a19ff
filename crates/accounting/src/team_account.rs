//! The ended jobs of one team: pages of the latest entries, and totals of older ones.

use crate::constants::{ENTRIES_PER_PAGE, ENTRY_OVERHEAD_BYTES, MAX_PAGES};
use crate::entry::Entry;
use crate::totals::{JobTotals, TotalsByDay};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The entry of a job on a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PageEntry {
    pub(crate) job: Arc<str>,
    pub(crate) entry: Arc<Entry>,
}

impl PageEntry {
    /// Bytes that the entry takes in a record, at most.
    fn bytes(&self) -> usize {
        ENTRY_OVERHEAD_BYTES + self.job.len() + self.entry.class.len()
    }
}

/// The entries of one page, the latest last.
pub(crate) type Page = Vec<PageEntry>;

/// A part of an account that has a record of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AccountPart {
    /// The page of this number.
    Page(u32),
    /// The totals over the entries of older pages.
    Totals,
}

/// The ended jobs of one team.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct TeamAccount {
    pub(crate) totals: TotalsByDay,
    pub(crate) pages: BTreeMap<u32, Page>,
}

impl TeamAccount {
    /// Adds an end, and notes in `touched` which records it changes.
    pub(crate) fn add(
        &mut self,
        job: &Arc<str>,
        entry: &Arc<Entry>,
        page_bytes: usize,
        touched: &mut BTreeSet<AccountPart>,
    ) {
        let line = PageEntry {
            job: job.clone(),
            entry: entry.clone(),
        };
        let number = self.page_for(&line, page_bytes);
        self.pages.entry(number).or_default().push(line);
        touched.insert(AccountPart::Page(number));
        while self.pages.len() > MAX_PAGES
            && let Some((oldest, page)) = self.pages.pop_first()
        {
            for line in page {
                self.totals.add(&line.job, &line.entry, page_bytes);
            }
            touched.insert(AccountPart::Page(oldest));
            touched.insert(AccountPart::Totals);
        }
    }

    /// The number of the page that takes the next entry: the last one, or a new one if that is full.
    fn page_for(&self, line: &PageEntry, page_bytes: usize) -> u32 {
        let Some((number, page)) = self.pages.last_key_value() else {
            return 0;
        };
        let bytes: usize = page.iter().map(PageEntry::bytes).sum();
        let full = page.len() >= ENTRIES_PER_PAGE || bytes + line.bytes() > page_bytes;
        *number + u32::from(full)
    }

    /// All parts of the account.
    pub(crate) fn parts(&self) -> impl Iterator<Item = AccountPart> + '_ {
        let pages = self.pages.keys().map(|number| AccountPart::Page(*number));
        pages.chain([AccountPart::Totals])
    }

    /// Totals by the day of the end, over pages and older entries.
    pub(crate) fn totals_by_day(&self) -> BTreeMap<u32, JobTotals> {
        let mut days: BTreeMap<u32, JobTotals> = BTreeMap::new();
        for ((day, _), totals) in &self.totals.0 {
            days.entry(*day).or_default().merge(totals);
        }
        for line in self.pages.values().flatten() {
            days.entry(line.entry.day())
                .or_default()
                .add(&line.job, &line.entry);
        }
        days
    }

    /// Totals over all ended jobs.
    pub(crate) fn total(&self) -> JobTotals {
        let mut total = JobTotals::default();
        for totals in self.totals_by_day().values() {
            total.merge(totals);
        }
        total
    }
}
