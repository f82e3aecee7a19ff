//! Reconciliation: what a worker's report, or the proof that a machine is gone, changes of what may be
//! on the machine.

use super::attempt::StartDelivery;
use super::image_fetches::CompletedFetch;
use super::{Attempt, Machine, ReportNumber, Stop};
use crate::constants::SECOND_MS;
use crate::model::{Resources, TaskId, Timestamp};
use crate::protocol::{Heartbeat, TaskEndCause, TaskState, TaskStatus};
use indigopath_counted_resources::Demand;
use indigopath_image_locality::Cache;
use std::sync::Arc;

/// What a report changed.
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
    /// It is there, but no record names it.
    Unrecorded(TaskId),
    /// It ended before, or was lost before anybody saw it, and nothing late can start it any more.
    Released(TaskId),
    /// No longer there, and not exited: lost with an agent epoch, or never arrived.
    Lost {
        /// Its task.
        task: TaskId,
        /// Its number.
        number: u64,
    },
    /// An image came to be there for which tasks had waited.
    Fetched {
        /// The image's size.
        gb: f64,
        /// How long the fetch took.
        took_ms: Timestamp,
        /// Other fetches there meanwhile, on average.
        others: f64,
    },
    /// An attempt holds its units of counts no longer.
    Freed {
        /// Whose units they are.
        team: Arc<str>,
        /// The units.
        counts: Demand,
        /// A licence server may not have them back yet.
        lingers: bool,
    },
}

/// Why a report was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportSource {
    /// The worker sent it by itself.
    Worker,
    /// It answers a direct command or a question of the leader.
    Answer,
}

impl Machine {
    /// A report of its own is answered with 200. A worker has one under way at a time: the answer to
    /// one that is no newer than another which was answered reaches nobody. So copies of a dead
    /// machine's reports do not put off the proof that its lease is over.
    pub fn record_answered_report(&mut self, report: &Heartbeat, now: Timestamp) {
        let number = (report.agent_epoch, report.seq);
        if number > self.last_answered_report {
            self.last_answered_report = number;
            self.last_answered_at = Some(now);
        }
    }

    /// Takes a worker's report, unless an earlier or the same one. `first_token`
    /// is the first token of this leader's term: from it on, the worker drops
    /// whatever a former leader still has under way to it.
    pub fn apply_heartbeat(
        &mut self,
        report: &Heartbeat,
        first_token: u64,
        now: Timestamp,
    ) -> Option<Vec<Change>> {
        self.reconcile(report, ReportSource::Worker, first_token, now)
    }

    /// Takes a report that answers a direct command or a question. Unlike those that the worker
    /// sends by itself, it proves nothing about an answer to its last one that is in flight still.
    pub fn apply_response(
        &mut self,
        report: &Heartbeat,
        first_token: u64,
        now: Timestamp,
    ) -> Option<Vec<Change>> {
        self.reconcile(report, ReportSource::Answer, first_token, now)
    }

    /// Takes a report, unless an earlier or the same one. `None` if it is no newer than the last.
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
            .retain_mut(|attempt| reconciliation.attempt(attempt, images));
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

    /// What a report shows about the machine itself.
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
        self.unreachable = false;
        self.synced |= is_fenced;
        self.unconfirmed &= source == ReportSource::Worker && !is_fenced;
        // Its own report has brought all that a fencing probe would.
        self.needs_fencing_probe &= !is_fenced;
        self.addr = Some(report.addr.clone());
        self.reclaim_notice_until = report
            .reclaim_notice_s
            .filter(|left| left.is_finite())
            .map(|left| now + (left.max(0.0) * SECOND_MS as f64) as u64);
    }

    /// The machine, or all that was on it, is provably gone.
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

/// A report that is being compared with the attempts of its machine.
struct Reconciliation<'report> {
    report: &'report Heartbeat,
    source: ReportSource,
    /// The worker has seen a token of this leader's term.
    is_fenced: bool,
    now: Timestamp,
    /// Reported tasks that belong to none of the attempts met so far.
    unmatched: Vec<(TaskId, &'report TaskStatus)>,
    /// Images for which an attempt waits no longer, without having got them.
    abandoned_fetches: Vec<Arc<str>>,
    completed_fetches: Vec<CompletedFetch>,
    changes: Vec<Change>,
}

/// Whose units an attempt holds before a report is observed.
struct HeldUnits {
    /// It holds some.
    held: bool,
    /// Its start may have reached an earlier agent epoch, where nobody saw it.
    held_in_earlier_epoch: bool,
    start: StartDelivery,
}

impl HeldUnits {
    fn of(attempt: &Attempt, agent_epoch: u64) -> HeldUnits {
        let held = attempt.holds_units();
        HeldUnits {
            held,
            // The outcome of a direct command to that epoch, if one is due, shows the same.
            held_in_earlier_epoch: held
                && !attempt.start_in_flight
                && attempt.may_have_run_in_earlier_epoch(agent_epoch),
            start: attempt.start_delivery(),
        }
    }

    /// Whether they are free once the report is observed.
    fn are_freed(&self, attempt: &Attempt, stays: bool) -> bool {
        self.held_in_earlier_epoch || self.held && (!stays || !attempt.may_be_running())
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

    /// Compares one attempt with the report. Returns whether it stays.
    fn attempt(&mut self, attempt: &mut Attempt, images: &mut Cache) -> bool {
        self.drop_refused_copy(attempt);
        let fetched = attempt.fetched_image();
        // Before the unanswered command is dropped, which is the only trace of a start that nobody
        // answered.
        let units = HeldUnits::of(attempt, self.report.agent_epoch);
        self.drop_refused_command(attempt);
        let stays = match self.take_status(attempt) {
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
        if units.are_freed(attempt, stays) {
            self.changes.push(attempt.units_freed(units.start));
            if stays && attempt.exited() {
                // It has ended. A direct start whose answer is still due starts nothing that its worker
                // knows, and would have it hold them again beside those that linger.
                attempt.counts = Demand::default();
            }
        }
        if !stays || attempt.exited() && !attempt.had_image() {
            self.abandoned_fetches.extend(fetched);
        }
        stays
    }

    /// A start that may have run in an earlier agent epoch may have left its units with a licence server.
    /// It is not sent again but released, so that its task is placed anew once there are units for it.
    fn release_lost_start(&mut self, attempt: &Attempt, units: &HeldUnits) -> bool {
        if units.held_in_earlier_epoch {
            self.changes.push(Change::Released(attempt.task.clone()));
        }
        units.held_in_earlier_epoch
    }

    /// Drops the last delivered command, once a copy of it would be refused.
    fn drop_refused_copy(&self, attempt: &mut Attempt) {
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

    /// Drops the unanswered command, once it would be refused.
    fn drop_refused_command(&mut self, attempt: &mut Attempt) {
        let Heartbeat {
            agent_epoch, token, ..
        } = *self.report;
        if attempt
            .unacknowledged
            .is_some_and(|command| command.refused_by(agent_epoch, token))
        {
            attempt.unacknowledged = None;
            // Its end, known already, counts from now on.
            if attempt.exited() {
                self.changes.push(Change::Released(attempt.task.clone()));
            }
        }
    }

    /// What the report says of an attempt.
    fn take_status(&mut self, attempt: &Attempt) -> Option<&'report TaskStatus> {
        let position = self
            .unmatched
            .iter()
            .position(|(task, status)| attempt.matches(task, status.attempt))?;
        let (_, status) = self.unmatched.swap_remove(position);
        Some(status)
    }

    /// The reported end may be older than the record of an attempt that was to start again: it may run
    /// there by now.
    fn may_have_restarted(&self, attempt: &Attempt, status: &TaskStatus) -> bool {
        let ended = status.state == TaskState::Exited && status.cause != Some(TaskEndCause::Done);
        ended && attempt.is_idempotent_restart && !self.is_fenced
    }

    fn observe(&mut self, attempt: &mut Attempt, status: &TaskStatus, images: &mut Cache) {
        let image_came = attempt.observe_image(status, images, self.now);
        if image_came && let Some(image) = &attempt.image {
            self.note_completed_fetch(image, attempt);
        }
        attempt.observe(status, self.now, &mut self.changes);
    }

    /// A fetch counts once, from when the first of its tasks was placed.
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

/// A task that no record names: this leader never had its start, so it can only be stopped. It counts
/// until it is gone.
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
    /// What a report that lists it shows about it.
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
                let why = reported.cause.unwrap_or(TaskEndCause::Other);
                self.exit_cause = Some(why);
                changes.push(Change::Exited {
                    task: self.task.clone(),
                    number: self.number,
                    cause: why,
                    elapsed_s: self.elapsed_s(now),
                });
            }
            _ => (),
        }
    }

    /// A newer report lacks this attempt: may it still be there? Returns whether
    /// it stays among the machine's attempts.
    fn on_missing(
        &mut self,
        report: ReportNumber,
        source: ReportSource,
        is_fenced: bool,
        changes: &mut Vec<Change>,
    ) -> bool {
        let unproven = (self.from_previous_leader || self.is_idempotent_restart) && !is_fenced;
        if self.start_in_flight || self.unacknowledged.is_some() || unproven {
            return true;
        }
        if self.exited() {
            return false;
        }
        if self.reported_state.is_none() && !self.from_previous_leader {
            if self
                .sent_in_reply_to
                .is_some_and(|sent| never_arrived(sent, report, source))
            {
                self.sent_in_reply_to = None;
            }
            if self.stop.is_none() || self.sent_in_reply_to.is_some() {
                return true;
            }
        }
        // It was carried out, and is gone without an end: no worker does that. All the same, it
        // leaves only once no copy of its start can run it here.
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
/// Whether a start that was sent in the answer to the report `sent` never got there, as a later
/// report lacks it: the worker is done with that answer, as it sent another report or began an agent
/// epoch. If the answer to a question counted, a stopped task would be gone here and start from the
/// delayed answer to the report.
fn never_arrived(sent: ReportNumber, report: ReportNumber, source: ReportSource) -> bool {
    let (sent_epoch, _) = sent;
    let (epoch, _) = report;
    source == ReportSource::Worker && sent < report || sent_epoch < epoch
}
