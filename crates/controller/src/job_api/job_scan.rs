//! Reads which jobs are live, page by page. A node that has just started knows no job, and every job's
//! user polls it: a scan costs a few requests, while reading each job on its own would take all that
//! there are each second.

use crate::constants::{SECOND_MS, STATE_PAGE_ITEMS, STATE_TIMEOUT_MS, USER_WRITE_RESERVE};
use crate::io::{CallId, FencedDestination, Io, Method, Outcome};
use crate::job_api::cache::JobCache;
use crate::model::{JobSpec, Timestamp};
use crate::protocol::{StoredPage, paths};
use crate::storage::records::{self, Record};
use indigopath_accounting::Team;

/// How far a node has read the list of live jobs.
#[derive(Debug)]
pub(super) enum JobScan {
    /// Nobody has polled a job that this node does not know.
    NotStarted,
    /// The next page is to be read at `at` or later.
    Due {
        /// Last key of the page before.
        after: Option<String>,
        at: Timestamp,
    },
    InFlight,
    Complete,
}

/// A call for one page of the scan.
pub(super) struct PageCall {
    pub call: CallId,
    /// Last key of the page before.
    pub after: Option<String>,
}

impl JobScan {
    /// Starts the scan unless it has been started before.
    pub(super) fn start(&mut self, now: Timestamp) {
        if matches!(self, JobScan::NotStarted) {
            *self = JobScan::Due { after: None, at: now };
        }
    }

    /// Asks for the next page, if one is due and the budget allows it.
    pub(super) fn next_page(&mut self, io: &mut Io) -> Option<PageCall> {
        let is_due = matches!(self, JobScan::Due { at, .. } if io.now >= *at);
        if !is_due || !io.state_budget.take(1.0, USER_WRITE_RESERVE, io.now) {
            return None;
        }
        let JobScan::Due { after, .. } = std::mem::replace(self, JobScan::InFlight) else {
            return None;
        };
        let call = io.call(
            FencedDestination::State,
            Method::Get,
            paths::page(records::JOBS, after.as_deref(), STATE_PAGE_ITEMS),
            Vec::new(),
            STATE_TIMEOUT_MS,
        );
        Some(PageCall { call, after })
    }

    /// Takes in a page, or has it read again after a while.
    pub(super) fn on_page(
        &mut self,
        after: Option<String>,
        outcome: &Outcome,
        cache: &mut JobCache,
        now: Timestamp,
    ) {
        let Some(page) = outcome.read::<StoredPage>(&[200]) else {
            let at = now + SECOND_MS;
            *self = JobScan::Due { after, at };
            return;
        };
        let last_key = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            let Ok(spec) = JobSpec::from_value(&item.value) else {
                continue;
            };
            // The scan never evicts what requests have read.
            if cache.live(&spec.id).is_none() && cache.has_room_for_live() {
                cache.record_live(&spec.id, item.version, Team::named(&spec.team));
            }
        }
        *self = match last_key.filter(|_| page.has_more && cache.has_room_for_live()) {
            Some(last_key) => JobScan::Due {
                after: Some(last_key),
                at: now,
            },
            None => JobScan::Complete,
        };
    }
}
