//! Reconciliation: what a worker's report, or the proof that a machine is gone, changes about the
//! attempts on the machine.

use super::attempt::StartDelivery;
use super::image_fetches::CompletedFetch;
use super::{Attempt, Machine, ReportNumber, Stop};
use crate::constants::SECOND_MS;
use crate::model::{Resources, TaskId, Timestamp};
use crate::protocol::{Heartbeat, TaskEndCause, TaskState, TaskStatus};
use indigopath_counted_resources::Demand;
use indigopath_image_locality::Cache;
use std::sync::Arc;

/// A change that a report causes.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// This attempt at the task was first seen running.
    Running(TaskId, u64),
    /// An attempt was first seen to have ended.
    Exited {
        /// Its task.
        task: TaskId,
        /// Its number.
        number: u64,
        /// Why it ended.
        cause: TaskEndCause,
        /// For how long it was seen running.
        elapsed_s: f64,
    },
    /// It is on the machine, but no record lists it.
    Unrecorded(TaskId),
    /// It ended earlier, or was lost before anybody saw it, and no late message can start it any
    /// more.
    Released(TaskId),
    /// It is no longer on the machine without having exited: lost with an agent epoch, or its
    /// start never arrived.
    Lost {
        /// Its task.
        task: TaskId,
        /// Its number.
        number: u64,
    },
    /// An image that tasks waited for was fetched.
    Fetched {
        /// Size of the image, in GB.
        gb: f64,
        /// Duration of the fetch, in ms.
        took_ms: Timestamp,
        /// Average number of other fetches on the machine in that time.
        others: f64,
    },
    /// An attempt no longer holds its units of counted resources.
    Freed {
        /// The team that held them.
        team: Arc<str>,
        /// The units.
        counts: Demand,
        /// The licence server may not have them back yet.
        lingers: bool,
    },
}

/// Why a report was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportSource {
    /// The worker sent it by itself.
    Worker,
    /// It is the response to a direct command or a probe of the leader.
    Answer,
}

impl Machine {
    /// Records that one of its own reports was answered with 200. A worker has one report in flight
    /// at a time, so the response to one that is no newer than the last answered one reaches
    /// nobody. Therefore duplicates of a dead machine's reports do not delay the proof that its
    /// lease has expired.
    pub fn record_answered_report(&mut self, report: &Heartbeat, now: Timestamp) {
        let number = (report.agent_epoch, report.seq);
        if number > self.last_answered_report {
            self.last_answered_report = number;
            self.last_answered_at = Some(now);
        }
    }

    /// Applies a worker's report, unless it is no newer than the last. `first_token` is the first
    /// token of this leader's term: a worker that has seen it drops whatever a previous leader
    /// still has in flight to it.
    pub fn apply_heartbeat(
        &mut self,
        report: &Heartbeat,
        first_token: u64,
        now: Timestamp,
    ) -> Option<Vec<Change>> {
        self.reconcile(report, ReportSource::Worker, first_token, now)
    }

    /// Applies a report that responds to a direct command or a probe. Unlike a report that the
    /// worker sends by itself, it proves nothing about a response to the worker's last report that
    /// is still in flight.
    pub fn apply_response(
        &mut self,
        report: &Heartbeat,
        first_token: u64,
        now: Timestamp,
    ) -> Option<Vec<Change>> {
        self.reconcile(report, ReportSource::Answer, first_token, now)
    }

    /// Applies a report. `None` if it is no newer than the last.
    fn reconcile(
        &mut self,
        report: &Heartbeat,
        source: ReportSource,
        first_token: u64,
        now: Timestamp,
    ) -> Option<Vec<Change>> {
        if (report.agent_epoch, report.seq) <= (self.agent_epoch, self.seq) {
            return None;
        }
        let is_fenced = report.token >= first_token;
        self.observe_report(report, source, is_fenced, now);
        let mut reconciliation = Reconciliation::new(report, source, is_fenced, now);
        let images = &mut self.images;
        self.attempts
            .retain_mut(|attempt| reconciliation.reconcile_attempt(attempt, images));
        let Reconciliation {
            unmatched,
            abandoned_fetches,
            completed_fetches,
            mut changes,
            ..
        } = reconciliation;
        for image in abandoned_fetches {
            self.on_fetch_abandoned(&image);
        }
        for fetch in completed_fetches {
            changes.extend(self.on_fetch_completed(&fetch, now));
        }
        for (task, status) in unmatched {
            let mut attempt = unrecorded_attempt(task, status, now);
            attempt.unconfirmed = !is_fenced;
            changes.push(Change::Unrecorded(attempt.task.clone()));
            self.attempts.push(attempt);
        }
        Some(changes)
    }

    /// Updates the state of the machine itself.
    fn observe_report(&mut self, report: &Heartbeat, source: ReportSource, is_fenced: bool, now: Timestamp) {
        self.agent_epoch = report.agent_epoch;
        self.seq = report.seq;
        self.token_seen = self.token_seen.max(report.token);
        self.last_heard_at = Some(now);
        if source == ReportSource::Worker {
            self.has_own_report = true;
            self.last_own_report_at = Some(now);
            self.one_way_partition = false;
        }
        self.last_own_report_at.get_or_insert(now);
        // The report of a machine that has failed is a late copy.
        self.unreachable = self.listed_failed;
        self.synced |= is_fenced;
        self.unconfirmed &= source == ReportSource::Worker && !is_fenced;
        // Its own report contains all that a fencing probe would bring.
        self.needs_fencing_probe &= !is_fenced;
        self.addr = Some(report.addr.clone());
        self.reclaim_notice_until = report
            .reclaim_notice_s
            .filter(|left| left.is_finite())
            .map(|left| now + (left.max(0.0) * SECOND_MS as f64) as u64);
    }

    /// The machine, or everything on it, is provably gone.
    pub fn clear(&mut self) -> Vec<Change> {
        let attempts = std::mem::take(&mut self.attempts);
        for image in attempts.iter().filter_map(Attempt::fetched_image) {
            self.on_fetch_abandoned(&image);
        }
        let mut changes = Vec::new();
        for attempt in attempts {
            if attempt.holds_units() {
                changes.push(attempt.units_freed(attempt.start_delivery()));
            }
            if !attempt.exited() {
                changes.push(Change::Lost {
                    task: attempt.task,
                    number: attempt.number,
                });
            }
        }
        changes
    }
}

/// A comparison of a report with the attempts on its machine.
struct Reconciliation<'report> {
    report: &'report Heartbeat,
    source: ReportSource,
    /// The worker has seen a token of this leader's term.
    is_fenced: bool,
    now: Timestamp,
    /// Reported tasks that match none of the attempts compared so far.
    unmatched: Vec<(TaskId, &'report TaskStatus)>,
    /// Images that an attempt no longer waits for, without having got them.
    abandoned_fetches: Vec<Arc<str>>,
    completed_fetches: Vec<CompletedFetch>,
    changes: Vec<Change>,
}

/// Whether an attempt held units before a report was applied.
struct HeldUnits {
    /// It held some.
    held: bool,
    /// Its start may have reached an earlier agent epoch, where nobody saw it run.
    held_in_earlier_epoch: bool,
    start: StartDelivery,
}

impl HeldUnits {
    fn before_report(attempt: &Attempt, agent_epoch: u64) -> HeldUnits {
        let held = attempt.holds_units();
        HeldUnits {
            held,
            // The pending outcome of a direct command to that epoch shows the same.
            held_in_earlier_epoch: held
                && !attempt.start_in_flight
                && attempt.may_have_run_in_earlier_epoch(agent_epoch),
            start: attempt.start_delivery(),
        }
    }

    /// Whether they are free once the report is applied.
    fn are_freed(&self, attempt: &Attempt, is_kept: bool) -> bool {
        self.held_in_earlier_epoch || self.held && (!is_kept || !attempt.may_be_running())
    }
}

impl<'report> Reconciliation<'report> {
    fn new(
        report: &'report Heartbeat,
        source: ReportSource,
        is_fenced: bool,
        now: Timestamp,
    ) -> Reconciliation<'report> {
        let tasks = report.tasks.iter();
        Reconciliation {
            report,
            source,
            is_fenced,
            now,
            unmatched: tasks
                .filter_map(|status| Some((TaskId::parse(&status.task)?, status)))
                .collect(),
            abandoned_fetches: Vec::new(),
            completed_fetches: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Compares one attempt with the report. Returns whether the attempt is kept.
    fn reconcile_attempt(&mut self, attempt: &mut Attempt, images: &mut Cache) -> bool {
        self.drop_refused_duplicate(attempt);
        let fetched = attempt.fetched_image();
        // Determined before the unanswered command is dropped, which may be the only trace of the
        // start.
        let units = HeldUnits::before_report(attempt, self.report.agent_epoch);
        self.drop_refused_command(attempt);
        let is_kept = match self.take_status(attempt) {
            Some(status) if self.may_have_restarted(attempt, status) => return true,
            Some(status) => {
                attempt.unconfirmed &= !self.is_fenced;
                self.observe(attempt, status, images);
                true
            }
            None => {
                let number = (self.report.agent_epoch, self.report.seq);
                attempt.on_missing(number, self.source, self.is_fenced, &mut self.changes)
                    && !self.release_lost_start(attempt, &units)
            }
        };
        if units.are_freed(attempt, is_kept) {
            self.changes.push(attempt.units_freed(units.start));
            if is_kept && attempt.exited() {
                // It has ended. A direct start that is still unanswered starts nothing that its
                // worker knows; without this its units would be held again next to those that
                // linger.
                attempt.counts = Demand::default();
            }
        }
        if !is_kept || attempt.exited() && !attempt.had_image() {
            self.abandoned_fetches.extend(fetched);
        }
        is_kept
    }

    /// A start that may have run in an earlier agent epoch may have left its units checked out at a
    /// licence server. It is not sent again but released, so that its task is placed anew when
    /// units are available.
    fn release_lost_start(&mut self, attempt: &Attempt, units: &HeldUnits) -> bool {
        if units.held_in_earlier_epoch {
            self.changes.push(Change::Released(attempt.task.clone()));
        }
        units.held_in_earlier_epoch
    }

    /// Drops the last delivered command once a duplicate of it would be refused.
    fn drop_refused_duplicate(&self, attempt: &mut Attempt) {
        let Heartbeat {
            agent_epoch, token, ..
        } = *self.report;
        if attempt
            .last_delivered
            .is_some_and(|command| command.refused_by(agent_epoch, token))
        {
            attempt.last_delivered = None;
        }
    }

    /// Drops the unanswered command once it would be refused.
    fn drop_refused_command(&mut self, attempt: &mut Attempt) {
        let Heartbeat {
            agent_epoch, token, ..
        } = *self.report;
        if attempt
            .unacknowledged
            .is_some_and(|command| command.refused_by(agent_epoch, token))
        {
            attempt.unacknowledged = None;
            // Its end, which is known already, takes effect now.
            if attempt.exited() {
                self.changes.push(Change::Released(attempt.task.clone()));
            }
        }
    }

    /// What the report says about an attempt.
    fn take_status(&mut self, attempt: &Attempt) -> Option<&'report TaskStatus> {
        let position = self
            .unmatched
            .iter()
            .position(|(task, status)| attempt.matches(task, status.attempt))?;
        let (_, status) = self.unmatched.swap_remove(position);
        Some(status)
    }

    /// Whether a reported end may be older than the record of an attempt that was to start again,
    /// so that it may be running now.
    fn may_have_restarted(&self, attempt: &Attempt, status: &TaskStatus) -> bool {
        let ended = status.state == TaskState::Exited && status.cause != Some(TaskEndCause::Done);
        ended && attempt.is_idempotent_restart && !self.is_fenced
    }

    /// Applies the reported status of an attempt.
    fn observe(&mut self, attempt: &mut Attempt, status: &TaskStatus, images: &mut Cache) {
        let image_came = attempt.observe_image(status, images, self.now);
        if image_came && let Some(image) = &attempt.image {
            self.note_completed_fetch(image, attempt);
        }
        attempt.observe(status, self.now, &mut self.changes);
    }

    /// Records a completed fetch once, measured from when the first of its tasks was placed.
    fn note_completed_fetch(&mut self, image: &Arc<str>, attempt: &Attempt) {
        match self
            .completed_fetches
            .iter_mut()
            .find(|fetch| fetch.image == *image)
        {
            Some(fetch) => fetch.since = fetch.since.min(attempt.planned_at),
            None => self.completed_fetches.push(CompletedFetch {
                image: image.clone(),
                gb: attempt.image_gb,
                since: attempt.planned_at,
            }),
        }
    }
}

/// A task that no record lists. This leader does not know its start, so it can only be stopped. It
/// counts until it is gone.
fn unrecorded_attempt(task: TaskId, status: &TaskStatus, now: Timestamp) -> Attempt {
    let mut attempt = Attempt::planned(
        task,
        status.attempt,
        Arc::from(""),
        Resources::default(),
        Arc::from(""),
        now,
    );
    attempt.image = None;
    attempt.durable = true;
    attempt.end_processed = status.state == TaskState::Exited;
    attempt.stop = Some(Stop::requested(0.0, now));
    attempt.observe(status, now, &mut Vec::new());
    attempt
}

impl Attempt {
    /// Applies the status in a report that lists it.
    fn observe(&mut self, reported: &TaskStatus, now: Timestamp, changes: &mut Vec<Change>) {
        self.sent_in_reply_to = None;
        self.from_previous_leader = false;
        let before = self.reported_state.replace(reported.state);
        match reported.state {
            TaskState::Running if self.running_since.is_none() => {
                self.running_since = Some(now);
                changes.push(Change::Running(self.task.clone(), self.number));
            }
            TaskState::Exited if before != Some(TaskState::Exited) => {
                let cause = reported.cause.unwrap_or(TaskEndCause::Other);
                self.exit_cause = Some(cause);
                changes.push(Change::Exited {
                    task: self.task.clone(),
                    number: self.number,
                    cause,
                    elapsed_s: self.elapsed_s(now),
                });
            }
            _ => (),
        }
    }

    /// Applies a newer report that does not list the attempt. Returns whether the attempt may still
    /// be on the machine and is kept.
    fn on_missing(
        &mut self,
        report: ReportNumber,
        source: ReportSource,
        is_fenced: bool,
        changes: &mut Vec<Change>,
    ) -> bool {
        // Also while a direct start is unanswered: that one is not repeated, so the next answer must carry the start.
        self.sent_in_reply_to = self
            .sent_in_reply_to
            .filter(|sent| !never_arrived(*sent, report, source));
        let unproven = (self.from_previous_leader || self.is_idempotent_restart) && !is_fenced;
        if self.start_in_flight || self.unacknowledged.is_some() || unproven {
            return true;
        }
        if self.exited() {
            return false;
        }
        if self.reported_state.is_none()
            && !self.from_previous_leader
            && (self.stop.is_none() || self.sent_in_reply_to.is_some())
        {
            return true;
        }
        // It was started and is gone without an end, which no worker does. Even so, it is removed
        // only once no duplicate of its start can run it.
        if let Some(last_delivered) = self.last_delivered.take() {
            self.unacknowledged = Some(last_delivered);
            self.stop.get_or_insert(Stop::requested(0.0, 0));
            return true;
        }
        changes.push(Change::Lost {
            task: self.task.clone(),
            number: self.number,
        });
        false
    }
}
/// Whether a start that was sent in response to the report `sent` never arrived, given a later
/// report that does not list it. The worker is done with that response if it sent another report of
/// its own or began an agent epoch. If the response to a probe counted, a stopped task would be
/// considered gone and then be started by the delayed response to the report.
fn never_arrived(sent: ReportNumber, report: ReportNumber, source: ReportSource) -> bool {
    let (sent_epoch, _) = sent;
    let (epoch, _) = report;
    source == ReportSource::Worker && sent < report || sent_epoch < epoch
}
