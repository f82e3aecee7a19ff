//! Scan of the live jobs, page by page. A node that has just started knows no job, while the users of all
//! jobs poll it. The scan takes a few requests; reading each job separately would use up the rate limit of
//! the state service.

use crate::constants::{SECOND_MS, STATE_PAGE_ITEMS, STATE_TIMEOUT_MS, USER_WRITE_RESERVE};
use crate::io::{CallId, FencedDestination, Io, Method, Outcome};
use crate::job_api::cache::JobCache;
use crate::model::{JobSpec, Timestamp};
use crate::protocol::{StoredPage, paths};
use crate::storage::records::{self, Record};
use indigopath_accounting::Team;

/// Progress of the scan.
#[derive(Debug)]
pub(super) enum JobScan {
    /// No unknown job has been polled yet.
    NotStarted,
    /// The next page is to be read at `at` or later.
    Due {
        /// Last key of the previous page.
        after: Option<String>,
        at: Timestamp,
    },
    InFlight,
    Complete,
}

/// A call for one page of the scan.
pub(super) struct PageCall {
    pub call: CallId,
    /// Last key of the previous page.
    pub after: Option<String>,
}

impl JobScan {
    /// Starts the scan unless it was started before.
    pub(super) fn start(&mut self, now: Timestamp) {
        if matches!(self, JobScan::NotStarted) {
            *self = JobScan::Due { after: None, at: now };
        }
    }

    /// Requests the next page if one is due and the budget allows it.
    pub(super) fn next_page(&mut self, io: &mut Io) -> Option<PageCall> {
        let is_due = matches!(self, JobScan::Due { at, .. } if io.now >= *at);
        if !is_due || !io.state_budget.try_take(1.0, USER_WRITE_RESERVE, io.now) {
            return None;
        }
        let JobScan::Due { after, .. } = std::mem::replace(self, JobScan::InFlight) else {
            return None;
        };
        let call = io.call(
            FencedDestination::State,
            Method::Get,
            paths::page(records::JOB_PREFIX, after.as_deref(), STATE_PAGE_ITEMS),
            Vec::new(),
            STATE_TIMEOUT_MS,
        );
        Some(PageCall { call, after })
    }

    /// Caches the jobs of a page; a page that could not be read is requested again after a second.
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
