//! Teams' accounts in a leader's term. Every end carries its entry in its own record; the books are
//! pages of these, many to a value, written behind the ends in the order of their revisions. They
//! can lack what is not written yet, and never say what is not so: whoever leads next reads how
//! far they go and the ends since. Once in a term they are compared with a reading of all ended
//! jobs at a bounded pace.
//!
//! One call at a time: what a page of a reading says, and what the changes say, then never
//! overlap in a way that matters.

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

/// A call about books.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AccountingCall {
    /// A page of the books' own records.
    Load,
    /// The ends since.
    Changes,
    /// A page of ended jobs.
    Scan,
    Write {
        head: bool,
    },
}

/// Where a reading of all ended jobs stands.
#[derive(Debug, Default)]
struct Scan {
    after_key: Option<String>,
    /// `None` until its first page is answered.
    rebuild: Option<Rebuild>,
    read_all: bool,
    /// The books lack ends that nobody tells any more: they are replaced by the reading.
    replaces_accounts: bool,
}

/// Who waits for what, as the last pass left it.
pub(super) struct BlockedJobs<'a> {
    lacking_units: HashSet<&'a JobId>,
    lacking_machines: HashSet<&'a JobId>,
}

/// Teams' accounts, and how far they have been read, followed, checked and written.
#[derive(Debug)]
pub(super) struct Accounting {
    job_accounting: JobAccounting,
    page_bytes: usize,
    /// JobAccounting' records are still being read, after this key.
    load_after: Option<Option<String>>,
    /// Some of them cannot be used.
    records_invalid: bool,
    /// A later build keeps them: this one leaves them alone.
    suspended: bool,
    call_in_flight: bool,
    head_version: u64,
    /// Changes up to this revision were told.
    followed_revision: u64,
    /// Something ended since the changes were last asked for.
    has_new_ends: bool,
    follow_at: Timestamp,
    write_at: Timestamp,
    scan_at: Timestamp,
    scan: Option<Scan>,
    verified: bool,
    differences: u64,
    /// Since when attempts have been seen running.
    run_starts: HashMap<(TaskId, u64), Timestamp>,
    /// What this leader saw of jobs that were cancelled, until their ends are told.
    cancelled_job_stats: HashMap<JobId, ExecutionStats>,
}

/// What the record of an ended job says for the books.
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
    /// Nothing is read from the records yet.
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

    /// Nobody knows what is on record: it is read again, and checked again.
    fn reload(&mut self, now: Timestamp) {
        self.job_accounting = JobAccounting::new(self.page_bytes);
        self.load_after = Some(None);
        self.records_invalid = false;
        self.head_version = 0;
        // What was told and not written is told again.
        self.followed_revision = 0;
        self.scan = None;
        self.verified = false;
        self.has_new_ends = true;
        self.follow_at = now + WRITE_RETRY_MS;
    }

    /// The account of a job that is over, for its end's entry.
    pub(super) fn on_job_ended(&mut self, id: &JobId, account: &ExecutionStats) {
        self.has_new_ends = true;
        if self.cancelled_job_stats.len() < MAX_CANCELLED_ACCOUNTS && *account != ExecutionStats::default() {
            self.cancelled_job_stats.insert(id.clone(), account.clone());
        }
    }

    /// Where the changes are asked for from: one revision may have several ends, of which some
    /// are written.
    fn watch_revision(&self) -> u64 {
        self.followed_revision
            .max(self.job_accounting.at().revision.saturating_sub(1))
    }

    fn on_records_page(&mut self, outcome: &Outcome, now: Timestamp) {
        let Some(page) = outcome.read::<protocol::StoredPage>(&[200]) else {
            self.follow_at = now + SECOND_MS;
            return;
        };
        for item in &page.items {
            if item.key == HEAD_KEY {
                self.head_version = item.version;
            }
            match self.job_accounting.read(&item.key, &item.value) {
                Ok(()) => (),
                Err(problem @ indigopath_accounting::RecordError::Later(_)) => {
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

    /// Ends are missing that no change tells any more.
    fn begin_rebuild(&mut self) {
        self.scan = Some(Scan {
            replaces_accounts: true,
            ..Scan::default()
        });
    }

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
                // Who cancelled it did not know what it had run.
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
            let behind = scan.as_ref().is_some_and(|scan| scan.replaces_accounts);
            let rebuild = scan.and_then(|scan| scan.rebuild.as_mut());
            if behind {
                if let Some(rebuild) = rebuild.filter(|_| position > *self.job_accounting.at()) {
                    rebuild.note(position.clone(), entry);
                    self.job_accounting.skip_to(position);
                }
            } else if self.job_accounting.append(position.clone(), entry.clone())
                && let Some(rebuild) = rebuild
            {
                rebuild.note(position, entry);
            }
        }
        self.followed_revision = self.followed_revision.max(changes.revision);
        if changes.revision >= self.job_accounting.at().revision + ACCOUNTING_QUIET_CHANGES {
            self.job_accounting.quiet_until(changes.revision);
        }
        if !self.verified && self.scan.is_none() {
            self.scan = Some(Scan::default());
        }
    }

    fn on_scan_page(&mut self, outcome: &Outcome, now: Timestamp) {
        self.scan_at = now + ACCOUNTING_SCAN_MS;
        let Some(mut scan) = self.scan.take() else { return };
        if let Some(page) = outcome.read::<protocol::StoredPage>(&[200]) {
            if scan.rebuild.is_none() {
                scan.rebuild = Some(Rebuild::begin(page.revision));
                if scan.replaces_accounts {
                    self.job_accounting.skip_to(Position::end_of(page.revision));
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
                    rebuild.record(position, entry);
                }
            }
            if scan.read_all {
                // What ended until the reading began must have been told as well.
                self.has_new_ends = true;
                self.follow_at = now;
            }
        }
        self.scan = Some(scan);
    }

    /// Compares, once all ended jobs are read and all changes until then are told.
    fn verify_when_scanned(&mut self) {
        let done = self.scan.as_ref().is_some_and(|scan| {
            let upto = scan.rebuild.as_ref().map(Rebuild::upto);
            scan.read_all && upto.is_some_and(|upto| self.followed_revision >= upto)
        });
        if !done || self.job_accounting.writing() {
            return;
        }
        let Some(scan) = self.scan.take() else { return };
        let Some(rebuild) = scan.rebuild else { return };
        self.verified = true;
        let read = rebuild.read;
        if scan.replaces_accounts {
            self.job_accounting.adopt(rebuild);
            log::info!("accounting rebuilt ended_jobs={read}");
            return;
        }
        let differences = self.job_accounting.repair(rebuild);
        for one in &differences {
            log::error!(
                "accounting repaired key={} day={} done={} cancelled={} recorded_done={} recorded_cancelled={}",
                one.key,
                one.day,
                one.account.done,
                one.account.cancelled,
                one.records.done,
                one.records.cancelled
            );
        }
        self.differences += differences.len() as u64;
        log::info!(
            "accounting verified ended_jobs={read} differences={}",
            differences.len()
        );
    }
}

impl LeaderTerm {
    /// Does what is due for the books, after all else: nobody waits for them.
    pub(super) fn update_accounting(&mut self, settings: &Settings, io: &mut Io) {
        let token = self.token();
        let books = &mut self.accounting;
        if books.suspended || books.call_in_flight {
            return;
        }
        books.verify_when_scanned();
        let now = io.now;
        let behind = books.scan.as_ref().is_some_and(|scan| scan.replaces_accounts);
        let begins = books.scan.as_ref().is_some_and(|scan| scan.rebuild.is_none());
        let (method, path, body, call) = if let Some(after) = &books.load_after {
            if now < books.follow_at {
                return;
            }
            let path = paths::page(
                indigopath_accounting::KEY_PREFIX,
                after.as_deref(),
                ACCOUNTING_PAGE_ITEMS,
            );
            (Method::Get, path, Vec::new(), AccountingCall::Load)
        } else if let Some(scan) = books
            .scan
            .as_ref()
            .filter(|scan| !scan.read_all && now >= books.scan_at)
        {
            let path = paths::page(
                records::ENDED_JOB_PREFIX,
                scan.after_key.as_deref(),
                ACCOUNTING_SCAN_ITEMS,
            );
            (Method::Get, path, Vec::new(), AccountingCall::Scan)
        } else if now >= books.follow_at
            && (books.has_new_ends || now >= books.follow_at + ACCOUNTING_IDLE_MS)
            && books.job_accounting.has_room()
            && !(behind && begins)
        {
            let path = paths::watch(records::ENDED_JOB_PREFIX, books.watch_revision(), 0);
            (Method::Get, path, Vec::new(), AccountingCall::Changes)
        } else if now >= books.write_at && !behind {
            let most = settings
                .deployment
                .state
                .txn_ops
                .min(io.write_budget.available(now));
            let Some(changes) = books.job_accounting.write(most, MAX_TXN_BYTES) else {
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
                    condition(HEAD_KEY, books.head_version),
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

    /// Follows the answer to a call about accounts.
    pub(super) fn handle_accounting_response(
        &mut self,
        call: AccountingCall,
        outcome: &Outcome,
        now: Timestamp,
    ) {
        let books = &mut self.accounting;
        books.call_in_flight = false;
        match call {
            AccountingCall::Load => books.on_records_page(outcome, now),
            AccountingCall::Changes => books.on_changes(outcome, now),
            AccountingCall::Scan => books.on_scan_page(outcome, now),
            AccountingCall::Write { head } => {
                // What waits for more than one write goes on at once.
                let more = books.job_accounting.pending() > ACCOUNTING_BATCH;
                books.write_at = now + if more { SECOND_MS } else { ACCOUNTING_WRITE_MS };
                let answer = outcome.read::<protocol::TransactionResponse>(&[200]);
                match (answer, outcome.status()) {
                    (Some(answer), _) => {
                        books.job_accounting.written();
                        if head {
                            books.head_version = answer.revision;
                        }
                    }
                    _ if outcome.is_safe_to_retry() => books.job_accounting.refused(),
                    (_, Some(409)) => {
                        let failed = outcome
                            .read::<protocol::TransactionResponse>(&[409])
                            .map(|answer| answer.failed)
                            .unwrap_or_default();
                        // The leader's own renewal may have been between.
                        if failed == [records::LEADER_KEY] {
                            books.job_accounting.refused();
                        } else {
                            books.reload(now);
                        }
                    }
                    // It may have been carried out, or may still be: then its condition on the
                    // head fails it, or the next one.
                    _ => books.reload(now),
                }
            }
        }
    }

    /// Jobs that found no units, and no machine, in the last pass.
    pub(super) fn blocked_jobs(&self) -> BlockedJobs<'_> {
        BlockedJobs {
            lacking_units: self
                .counted_resources
                .unsatisfied
                .iter()
                .map(|short| &short.job)
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

    /// Each team's live jobs in the order of their acceptance, with what each waits for.
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

    /// How the books stand, for metrics.
    pub fn accounting_gauges(&self, now: Timestamp) -> AccountingGauges {
        let books = &self.accounting;
        AccountingGauges {
            waiting: self.queues(now),
            ended: books
                .job_accounting
                .totals()
                .map(|(team, tally)| (team.clone(), tally))
                .collect(),
            pending: books.job_accounting.pending() as u64,
            unowned: books.job_accounting.unowned(),
            differences: books.differences,
            checked: books.verified,
            suspended: books.suspended,
        }
    }

    /// An attempt runs.
    pub(super) fn record_run_start(&mut self, task: &TaskId, number: u64, now: Timestamp) {
        if self.accounting.run_starts.len() < MAX_TRACKED_RUNS {
            self.accounting.run_starts.insert((task.clone(), number), now);
        }
    }

    /// An attempt is over: what it ran counts for nothing where `why` says so. Of work that
    /// saves, what lies before the last save does; it is taken to be at regular intervals.
    pub(super) fn record_run_end(
        &mut self,
        task: &TaskId,
        number: u64,
        why: Option<LossCause>,
        now: Timestamp,
    ) {
        let Some(since) = self.accounting.run_starts.remove(&(task.clone(), number)) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(why) = why.filter(|_| job.spec.shape != Shape::Service) else {
            return;
        };
        let ran_s = now.saturating_sub(since) as f64 / SECOND_MS as f64;
        let lost_s = match (job.spec.writes_checkpoints(), why) {
            (true, LossCause::Stopped) => 0.0,
            (true, _) => ran_s.min(job.spec.checkpoint_s),
            (false, _) => ran_s,
        };
        job.execution_stats.lose(why, lost_s);
    }
}
