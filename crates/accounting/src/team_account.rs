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
    /// Maximum bytes of the entry in a record.
    fn bytes(&self) -> usize {
        ENTRY_OVERHEAD_BYTES + self.job.len() + self.entry.class.len()
    }
}

/// The entries of one page, latest last.
pub(crate) type Page = Vec<PageEntry>;

/// A part of an account that is stored as a separate record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AccountPart {
    /// The page with this number.
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
    /// Adds an ended job, and adds the parts that this changes to `changed_parts`.
    pub(crate) fn add(
        &mut self,
        job: &Arc<str>,
        entry: &Arc<Entry>,
        page_bytes: usize,
        changed_parts: &mut BTreeSet<AccountPart>,
    ) {
        let page_entry = PageEntry {
            job: job.clone(),
            entry: entry.clone(),
        };
        let number = self.page_for(&page_entry, page_bytes);
        self.pages.entry(number).or_default().push(page_entry);
        changed_parts.insert(AccountPart::Page(number));
        while self.pages.len() > MAX_PAGES
            && let Some((oldest, page)) = self.pages.pop_first()
        {
            for page_entry in page {
                self.totals.add(&page_entry.job, &page_entry.entry, page_bytes);
            }
            changed_parts.insert(AccountPart::Page(oldest));
            changed_parts.insert(AccountPart::Totals);
        }
    }

    /// The number of the page for the next entry: the last page, or a new one if that is full.
    fn page_for(&self, page_entry: &PageEntry, page_bytes: usize) -> u32 {
        let Some((number, page)) = self.pages.last_key_value() else {
            return 0;
        };
        let bytes: usize = page.iter().map(PageEntry::bytes).sum();
        let is_full = page.len() >= ENTRIES_PER_PAGE || bytes + page_entry.bytes() > page_bytes;
        *number + u32::from(is_full)
    }

    /// All parts of the account.
    pub(crate) fn parts(&self) -> impl Iterator<Item = AccountPart> + '_ {
        let pages = self.pages.keys().map(|number| AccountPart::Page(*number));
        pages.chain([AccountPart::Totals])
    }

    /// Totals by day on which jobs ended, over pages and older entries.
    pub(crate) fn totals_by_day(&self) -> BTreeMap<u32, JobTotals> {
        let mut days: BTreeMap<u32, JobTotals> = BTreeMap::new();
        for ((day, _), totals) in &self.totals.0 {
            days.entry(*day).or_default().merge(totals);
        }
        for page_entry in self.pages.values().flatten() {
            days.entry(page_entry.entry.day())
                .or_default()
                .add(&page_entry.job, &page_entry.entry);
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
