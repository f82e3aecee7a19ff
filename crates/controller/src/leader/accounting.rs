//! Accounting of ended jobs by team. The record of each ended job contains its accounting entry;
//! the accounts are pages of these entries, many to a value, written after the records in the order
//! of their revisions. The accounts may therefore be behind the records but never contradict them,
//! and a new leader reads how far they go and follows the records since. Once per term the accounts
//! are compared with a scan of all ended jobs, which runs at a bounded rate.
//!
//! Only one call is in flight at a time, so that pages of the scan and changes from the watch do
//! not interleave in a way that could miss or duplicate entries.

use super::LeaderTerm;
use super::calls::TermCall;
use crate::constants::{
    ACCOUNTING_BATCH, ACCOUNTING_FOLLOW_MS, ACCOUNTING_IDLE_MS, ACCOUNTING_PAGE_ITEMS,
    ACCOUNTING_QUIET_CHANGES, ACCOUNTING_SCAN_ITEMS, ACCOUNTING_SCAN_MS, ACCOUNTING_WRITE_MS,
    MAX_CANCELLED_ACCOUNTS, MAX_TRACKED_RUNS, MAX_TXN_BYTES, MAX_VALUE_SHARE, SECOND_MS, STATE_TIMEOUT_MS,
    WRITE_RETRY_MS,
};
use crate::io::{Io, Method, Outcome, json};
use crate::metrics::AccountingGauges;
use crate::model::{Job, JobId, TaskId, Timestamp};
use crate::protocol::{self, Shape, paths};
use crate::settings::Settings;
use crate::storage::records::{self, EndedJobRecord, Record};
use indigopath_accounting::{
    Entry, ExecutionStats, HEAD_KEY, JobAccounting, LossCause, Position, Queue, Rebuild, Team, WaitReason,
};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// A call to the state service for accounting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AccountingCall {
    /// A page of the accounting records.
    Load,
    /// The changes of the records of ended jobs.
    Changes,
    /// A page of the records of ended jobs.
    Scan,
    Write {
        head: bool,
    },
}

/// Progress of a scan of all ended jobs.
#[derive(Debug, Default)]
struct EndedJobScan {
    after_key: Option<String>,
    /// `None` until the first page is received.
    rebuild: Option<Rebuild>,
    read_all: bool,
    /// The accounts lack entries that the watch no longer delivers, so the result of the scan
    /// replaces them.
    replaces_accounts: bool,
}

/// Jobs that lacked units or machines in the last pass.
pub(super) struct BlockedJobs<'a> {
    lacking_units: HashSet<&'a JobId>,
    lacking_machines: HashSet<&'a JobId>,
}

/// The teams' accounts, and the state of reading, following, verifying and writing them.
#[derive(Debug)]
pub(super) struct Accounting {
    job_accounting: JobAccounting,
    page_bytes: usize,
    /// Accounting records are still being loaded, from after this key.
    load_after: Option<Option<String>>,
    /// Some accounting records cannot be used.
    records_invalid: bool,
    /// The accounting records are of a later version and are left unchanged.
    suspended: bool,
    call_in_flight: bool,
    head_version: u64,
    /// All changes up to this revision have been received.
    followed_revision: u64,
    /// Jobs have ended since changes were last requested.
    has_new_ends: bool,
    follow_at: Timestamp,
    write_at: Timestamp,
    scan_at: Timestamp,
    scan: Option<EndedJobScan>,
    verified: bool,
    differences: u64,
    /// Times at which attempts were first seen running.
    run_starts: HashMap<(TaskId, u64), Timestamp>,
    /// Statistics that this leader collected of cancelled jobs, until the watch delivers their
    /// ends.
    cancelled_job_stats: HashMap<JobId, ExecutionStats>,
}

/// Extracts the position and the accounting entry from the record of an ended job.
fn parse_ended_record(
    key: &str,
    value: &serde_json::Value,
    version: u64,
) -> Option<(Position, Option<Entry>)> {
    let job = key.strip_prefix(records::ENDED_JOB_PREFIX)?;
    let position = Position {
        revision: version,
        job: Arc::from(job),
    };
    let ended = EndedJobRecord::from_value(value)
        .inspect_err(|problem| log::error!("accounting entry skipped key={key}: {problem}"));
    Some((position, ended.ok().and_then(|ended| ended.entry().cloned())))
}

impl Accounting {
    /// Creates the state of a new leader, which has not loaded any records.
    pub(super) fn new(settings: &Settings) -> Accounting {
        let page_bytes = (settings.deployment.state.value_kb * 1024.0 * MAX_VALUE_SHARE) as usize;
        Accounting {
            job_accounting: JobAccounting::new(page_bytes),
            page_bytes,
            load_after: Some(None),
            records_invalid: false,
            suspended: false,
            call_in_flight: false,
            head_version: 0,
            followed_revision: 0,
            has_new_ends: true,
            follow_at: 0,
            write_at: 0,
            scan_at: 0,
            scan: None,
            verified: false,
            differences: 0,
            run_starts: HashMap::new(),
            cancelled_job_stats: HashMap::new(),
        }
    }

    /// Discards everything, because the state of the records is unknown: they are loaded and
    /// verified again.
    fn reload(&mut self, now: Timestamp) {
        self.job_accounting = JobAccounting::new(self.page_bytes);
        self.load_after = Some(None);
        self.records_invalid = false;
        self.head_version = 0;
        // Changes that were received but not written are requested again.
        self.followed_revision = 0;
        self.scan = None;
        self.verified = false;
        self.has_new_ends = true;
        self.follow_at = now + WRITE_RETRY_MS;
    }

    /// Keeps the statistics of a job that ended, for its accounting entry.
    pub(super) fn on_job_ended(&mut self, id: &JobId, account: &ExecutionStats) {
        self.has_new_ends = true;
        if self.cancelled_job_stats.len() < MAX_CANCELLED_ACCOUNTS && *account != ExecutionStats::default() {
            self.cancelled_job_stats.insert(id.clone(), account.clone());
        }
    }

    /// The revision from which to request changes. One revision may contain several ends of which
    /// only some are written, so the last written revision is included.
    fn watch_revision(&self) -> u64 {
        self.followed_revision
            .max(self.job_accounting.last_position().revision.saturating_sub(1))
    }

    /// Handles a page of the accounting records.
    fn on_records_page(&mut self, outcome: &Outcome, now: Timestamp) {
        let Some(page) = outcome.read::<protocol::StoredPage>(&[200]) else {
            self.follow_at = now + SECOND_MS;
            return;
        };
        for item in &page.items {
            if item.key == HEAD_KEY {
                self.head_version = item.version;
            }
            match self.job_accounting.load_record(&item.key, &item.value) {
                Ok(()) => (),
                Err(problem @ indigopath_accounting::RecordError::NewerFormat(_)) => {
                    log::error!("accounting suspended key={}: {problem}", item.key);
                    self.suspended = true;
                }
                Err(problem) => {
                    log::error!("accounting rebuild began key={}: {problem}", item.key);
                    self.records_invalid = true;
                }
            }
        }
        let last = page.items.last().map(|item| item.key.clone());
        self.load_after = last.filter(|_| page.has_more).map(Some);
        if self.load_after.is_none()
            && self.head_version == 0
            && self.job_accounting.totals().next().is_some()
        {
            log::error!("accounting rebuild began: its position is missing");
            self.records_invalid = true;
        }
        if self.load_after.is_none() && self.records_invalid {
            self.begin_rebuild();
        }
    }

    /// Starts a scan that replaces the accounts, because the watch no longer delivers some of the
    /// ends.
    fn begin_rebuild(&mut self) {
        self.scan = Some(EndedJobScan {
            replaces_accounts: true,
            ..EndedJobScan::default()
        });
    }

    /// Handles changes of the records of ended jobs.
    fn on_changes(&mut self, outcome: &Outcome, now: Timestamp) {
        self.follow_at = now + ACCOUNTING_FOLLOW_MS;
        if outcome.status() == Some(410) {
            log::info!("accounting rebuild began: the changes since its position are compacted");
            self.begin_rebuild();
            return;
        }
        let Some(changes) = outcome.read::<protocol::WatchResponse>(&[200]) else {
            self.follow_at = now + SECOND_MS;
            return;
        };
        self.has_new_ends = false;
        let mut ends: Vec<(Position, Option<Entry>)> = Vec::new();
        for event in changes.events {
            if let protocol::WatchEvent::Put { key, value, version } = event {
                let Some((position, mut entry)) = parse_ended_record(&key, &value, version) else {
                    continue;
                };
                // The node that cancelled the job did not know its execution statistics.
                if let Some(account) = self.cancelled_job_stats.remove(&*position.job)
                    && let Some(entry) = entry
                        .as_mut()
                        .filter(|entry| entry.stats == ExecutionStats::default())
                {
                    entry.stats = account;
                }
                ends.push((position, entry));
            }
        }
        ends.sort_by(|(a, _), (b, _)| a.cmp(b));
        for (position, entry) in ends {
            let scan = self.scan.as_mut();
            let replaces_accounts = scan.as_ref().is_some_and(|scan| scan.replaces_accounts);
            let rebuild = scan.and_then(|scan| scan.rebuild.as_mut());
            if replaces_accounts {
                if let Some(rebuild) = rebuild.filter(|_| position > *self.job_accounting.last_position()) {
                    rebuild.add_appended(position.clone(), entry);
                    self.job_accounting.skip_to(position);
                }
            } else if self.job_accounting.append(position.clone(), entry.clone())
                && let Some(rebuild) = rebuild
            {
                rebuild.add_appended(position, entry);
            }
        }
        self.followed_revision = self.followed_revision.max(changes.revision);
        if changes.revision >= self.job_accounting.last_position().revision + ACCOUNTING_QUIET_CHANGES {
            self.job_accounting.advance_to(changes.revision);
        }
        if !self.verified && self.scan.is_none() {
            self.scan = Some(EndedJobScan::default());
        }
    }

    /// Handles a page of the scan of ended jobs.
    fn on_scan_page(&mut self, outcome: &Outcome, now: Timestamp) {
        self.scan_at = now + ACCOUNTING_SCAN_MS;
        let Some(mut scan) = self.scan.take() else { return };
        if let Some(page) = outcome.read::<protocol::StoredPage>(&[200]) {
            if scan.rebuild.is_none() {
                scan.rebuild = Some(Rebuild::new(page.revision));
                if scan.replaces_accounts {
                    self.job_accounting
                        .skip_to(Position::after_revision(page.revision));
                    self.followed_revision = page.revision;
                }
            }
            scan.after_key = page.items.last().map(|item| item.key.clone());
            scan.read_all = !page.has_more || scan.after_key.is_none();
            for item in &page.items {
                let end = parse_ended_record(&item.key, &item.value, item.version);
                if let Some((position, entry)) = end
                    && let Some(rebuild) = &mut scan.rebuild
                {
                    rebuild.add_scanned(position, entry);
                }
            }
            if scan.read_all {
                // Ends up to the start of the scan must have been received from the watch as well.
                self.has_new_ends = true;
                self.follow_at = now;
            }
        }
        self.scan = Some(scan);
    }

    /// Compares the accounts with the scan once the scan is complete and all changes up to its
    /// revision have been received.
    fn verify_when_scanned(&mut self) {
        let complete = self.scan.as_ref().is_some_and(|scan| {
            let scan_revision = scan.rebuild.as_ref().map(Rebuild::scan_revision);
            scan.read_all && scan_revision.is_some_and(|revision| self.followed_revision >= revision)
        });
        if !complete || self.job_accounting.is_writing() {
            return;
        }
        let Some(scan) = self.scan.take() else { return };
        let Some(rebuild) = scan.rebuild else { return };
        self.verified = true;
        let ended_jobs = rebuild.records_read;
        if scan.replaces_accounts {
            self.job_accounting.replace_with(rebuild);
            log::info!("accounting rebuilt ended_jobs={ended_jobs}");
            return;
        }
        let differences = self.job_accounting.repair(rebuild);
        for difference in &differences {
            log::error!(
                "accounting repaired key={} day={} done={} cancelled={} recorded_done={} recorded_cancelled={}",
                difference.key,
                difference.day,
                difference.account.done,
                difference.account.cancelled,
                difference.records.done,
                difference.records.cancelled
            );
        }
        self.differences += differences.len() as u64;
        log::info!(
            "accounting verified ended_jobs={ended_jobs} differences={}",
            differences.len()
        );
    }
}

impl LeaderTerm {
    /// Sends the next accounting call that is due. Runs after everything else, because nothing
    /// waits for accounting.
    pub(super) fn update_accounting(&mut self, settings: &Settings, io: &mut Io) {
        let token = self.token();
        let accounting = &mut self.accounting;
        if accounting.suspended || accounting.call_in_flight {
            return;
        }
        accounting.verify_when_scanned();
        let now = io.now;
        let replaces_accounts = accounting
            .scan
            .as_ref()
            .is_some_and(|scan| scan.replaces_accounts);
        let not_started = accounting
            .scan
            .as_ref()
            .is_some_and(|scan| scan.rebuild.is_none());
        let (method, path, body, call) = if let Some(after) = &accounting.load_after {
            if now < accounting.follow_at {
                return;
            }
            let path = paths::page(
                indigopath_accounting::KEY_PREFIX,
                after.as_deref(),
                ACCOUNTING_PAGE_ITEMS,
            );
            (Method::Get, path, Vec::new(), AccountingCall::Load)
        } else if let Some(scan) = accounting
            .scan
            .as_ref()
            .filter(|scan| !scan.read_all && now >= accounting.scan_at)
        {
            let path = paths::page(
                records::ENDED_JOB_PREFIX,
                scan.after_key.as_deref(),
                ACCOUNTING_SCAN_ITEMS,
            );
            (Method::Get, path, Vec::new(), AccountingCall::Scan)
        } else if now >= accounting.follow_at
            && (accounting.has_new_ends || now >= accounting.follow_at + ACCOUNTING_IDLE_MS)
            && accounting.job_accounting.has_capacity()
            && !(replaces_accounts && not_started)
        {
            let path = paths::watch(records::ENDED_JOB_PREFIX, accounting.watch_revision(), 0);
            (Method::Get, path, Vec::new(), AccountingCall::Changes)
        } else if now >= accounting.write_at && !replaces_accounts {
            let max_changes = settings
                .deployment
                .state
                .txn_ops
                .min(io.write_budget.available(now));
            let Some(changes) = accounting.job_accounting.begin_write(max_changes, MAX_TXN_BYTES) else {
                return;
            };
            let head = changes.iter().any(|(key, _)| key == HEAD_KEY);
            io.write_budget.force_take(changes.len() as f64, now);
            let changes = changes.into_iter().map(|(key, value)| match value {
                Some(value) => protocol::Change::Put {
                    key,
                    value,
                    lease: None,
                },
                None => protocol::Change::Delete { key },
            });
            let condition = |key: &str, version: u64| protocol::Condition {
                key: key.to_owned(),
                version,
            };
            let body = protocol::Transaction {
                conditions: vec![
                    condition(records::LEADER_KEY, token),
                    condition(HEAD_KEY, accounting.head_version),
                ],
                changes: changes.collect(),
            };
            let path = paths::TRANSACTION.to_owned();
            (Method::Post, path, json(&body), AccountingCall::Write { head })
        } else {
            return;
        };
        self.accounting.call_in_flight = true;
        self.state_call(
            method,
            path,
            body,
            STATE_TIMEOUT_MS,
            TermCall::Accounting(call),
            io,
        );
    }

    /// Handles the response to an accounting call.
    pub(super) fn handle_accounting_response(
        &mut self,
        call: AccountingCall,
        outcome: &Outcome,
        now: Timestamp,
    ) {
        let accounting = &mut self.accounting;
        accounting.call_in_flight = false;
        match call {
            AccountingCall::Load => accounting.on_records_page(outcome, now),
            AccountingCall::Changes => accounting.on_changes(outcome, now),
            AccountingCall::Scan => accounting.on_scan_page(outcome, now),
            AccountingCall::Write { head } => {
                // If more entries are pending than fit into one write, the next write follows soon.
                let more = accounting.job_accounting.pending_ends() > ACCOUNTING_BATCH;
                accounting.write_at = now + if more { SECOND_MS } else { ACCOUNTING_WRITE_MS };
                let answer = outcome.read::<protocol::TransactionResponse>(&[200]);
                match (answer, outcome.status()) {
                    (Some(answer), _) => {
                        accounting.job_accounting.on_written();
                        if head {
                            accounting.head_version = answer.revision;
                        }
                    }
                    _ if outcome.is_safe_to_retry() => accounting.job_accounting.on_rejected(),
                    (_, Some(409)) => {
                        let failed = outcome
                            .read::<protocol::TransactionResponse>(&[409])
                            .map(|answer| answer.failed)
                            .unwrap_or_default();
                        // The leader may have renewed its own record in between.
                        if failed == [records::LEADER_KEY] {
                            accounting.job_accounting.on_rejected();
                        } else {
                            accounting.reload(now);
                        }
                    }
                    // The write may have been applied or may still be: then the condition on the
                    // head record makes it or the next write fail.
                    _ => accounting.reload(now),
                }
            }
        }
    }

    /// Jobs that lacked units or machines in the last pass.
    pub(super) fn blocked_jobs(&self) -> BlockedJobs<'_> {
        BlockedJobs {
            lacking_units: self
                .counted_resources
                .unsatisfied
                .iter()
                .map(|demand| &demand.job)
                .collect(),
            lacking_machines: self
                .scheduler
                .unplaced()
                .iter()
                .map(|unplaced| &unplaced.job)
                .collect(),
        }
    }

    /// What a live job waits for.
    pub(super) fn wait_reason(job: &Job, blocked: &BlockedJobs<'_>, now: Timestamp) -> WaitReason {
        let id = &job.spec.id;
        if job.waiting.is_empty() {
            WaitReason::Nothing
        } else if job
            .spec
            .condor
            .as_ref()
            .is_some_and(|part| !part.holds.is_empty())
        {
            WaitReason::Held
        } else if job.parked {
            WaitReason::Recording
        } else if blocked.lacking_units.contains(id) {
            WaitReason::Units
        } else if now < job.backoff_until {
            WaitReason::Retry
        } else if blocked.lacking_machines.contains(id) {
            WaitReason::Machines
        } else {
            WaitReason::Turn
        }
    }

    /// Each team's live jobs in the order of acceptance, with what each waits for.
    pub fn queues(&self, now: Timestamp) -> BTreeMap<Team, Queue> {
        let mut jobs: Vec<&Job> = self.jobs.values().collect();
        jobs.sort_by_key(|job| (job.spec.submitted_ms, &job.spec.id));
        let blocked = self.blocked_jobs();
        let mut queues: BTreeMap<Team, Queue> = BTreeMap::new();
        for job in jobs {
            let queue = queues.entry(Team::named(&job.spec.team)).or_default();
            queue.push(job.spec.id.0.clone(), LeaderTerm::wait_reason(job, &blocked, now));
        }
        queues
    }

    /// State of accounting, for metrics.
    pub fn accounting_gauges(&self, now: Timestamp) -> AccountingGauges {
        let accounting = &self.accounting;
        AccountingGauges {
            waiting: self.queues(now),
            ended: accounting
                .job_accounting
                .totals()
                .map(|(team, totals)| (team.clone(), totals))
                .collect(),
            pending: accounting.job_accounting.pending_ends() as u64,
            unowned: accounting.job_accounting.unowned(),
            differences: accounting.differences,
            checked: accounting.verified,
            suspended: accounting.suspended,
        }
    }

    /// Records that an attempt runs.
    pub(super) fn record_run_start(&mut self, task: &TaskId, number: u64, now: Timestamp) {
        if self.accounting.run_starts.len() < MAX_TRACKED_RUNS {
            self.accounting.run_starts.insert((task.clone(), number), now);
        }
    }

    /// Records the end of an attempt. `cause` says why its work is lost, if it is. Of a job that
    /// saves checkpoints only the work since the last one is lost; saves are assumed to be at
    /// regular intervals.
    pub(super) fn record_run_end(
        &mut self,
        task: &TaskId,
        number: u64,
        cause: Option<LossCause>,
        now: Timestamp,
    ) {
        let Some(since) = self.accounting.run_starts.remove(&(task.clone(), number)) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(cause) = cause.filter(|_| job.spec.shape != Shape::Service) else {
            return;
        };
        let ran_s = now.saturating_sub(since) as f64 / SECOND_MS as f64;
        let lost_s = match (job.spec.writes_checkpoints(), cause) {
            (true, LossCause::Stopped) => 0.0,
            (true, _) => ran_s.min(job.spec.checkpoint_s),
            (false, _) => ran_s,
        };
        job.execution_stats.record_loss(cause, lost_s);
    }
}
