//! A machine: the leader's state of it, its record, and the attempts on it.

use super::{Attempt, ReportNumber};
use crate::model::{JobId, MachineId, MachineKind, Resources, TaskId, Timestamp};
use crate::storage::records::{MachineRecord, StartRecord};
use indigopath_image_locality::Cache;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A machine and the attempts that are or may be running on it.
#[derive(Debug)]
pub struct Machine {
    pub id: MachineId,
    /// Address of its worker, once known.
    pub addr: Option<String>,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Attempts that are or may be running on it, and ended ones that are not processed yet.
    pub attempts: Vec<Attempt>,
    /// Agent epoch of the newest report.
    pub agent_epoch: u64,
    /// Sequence number of the newest report within its agent epoch.
    pub seq: u64,
    /// Highest token that it is known to have seen.
    pub token_seen: u64,
    /// It has reported under a token of this term.
    pub synced: bool,
    /// When its last message arrived.
    pub last_heard_at: Option<Timestamp>,
    /// Only a report under an older token lists it, which may be a duplicate: the machine may be
    /// long gone.
    pub unconfirmed: bool,
    /// It has sent a report of its own in this term.
    pub has_own_report: bool,
    /// When it last sent a report of its own; before the first, when it was first heard of.
    pub(super) last_own_report_at: Option<Timestamp>,
    /// It responds, but its reports reach no node: its tasks are killed when its lease expires.
    pub one_way_partition: bool,
    /// Last response with 200 that may have renewed its lease.
    pub last_answered_at: Option<Timestamp>,
    /// The newest of its own reports that was answered.
    pub(super) last_answered_report: ReportNumber,
    /// When this leader first learned of it.
    pub first_known_at: Timestamp,
    /// How long before `first_known_at` it had been launched, in ms.
    pub age_ms_at_first_known: u64,
    /// When this leader launched it, from which its boot time is measured.
    pub launched_at: Option<Timestamp>,
    /// When the cloud reclaims this spot instance, once it has given notice.
    pub reclaim_notice_until: Option<Timestamp>,
    /// Number of the record that it shares with other machines, once it had work.
    pub shard: Option<u32>,
    /// A direct command is in flight.
    pub direct_command_in_flight: bool,
    /// The next direct command is sent even if it has no commands: it fences previous leaders and
    /// its response contains a report.
    pub needs_fencing_probe: bool,
    /// When such a command was last sent.
    pub fencing_probe_at: Option<Timestamp>,
    /// A probe is in flight.
    pub probe_in_flight: bool,
    /// The last probe failed, and no report has arrived since.
    pub unreachable: bool,
    /// The cloud lists it as failed: it has stopped on its own, whatever this leader reaches.
    pub listed_failed: bool,
    /// When a probe of it last failed, or it was first listed as failed.
    pub last_unreachable_at: Timestamp,
    /// It is to be released, or the release request was sent and may be executed.
    pub releasing: bool,
    /// The release request is in flight.
    pub release_in_flight: bool,
    /// Its release is recorded. It is not requested before, so that a new leader knows of a request
    /// that the cloud executes late.
    pub release_recorded: bool,
    /// A release request went unanswered, or a previous leader may have sent one: it may be
    /// executed at any time.
    pub release_unanswered: bool,
    /// Its release has been logged. The request is repeated many times if the cloud fails.
    pub release_logged: bool,
    /// Since when nothing is or may be running on it.
    pub idle_since: Option<Timestamp>,
    /// Jobs whose tasks failed on it since a task last ran well.
    pub failed_jobs: BTreeSet<JobId>,
    /// Nothing is placed on it before this time, because it refused a task for lack of capacity.
    pub full_until: Timestamp,
    /// Images that it presumably holds, the most recently used last.
    pub images: Cache,
    /// When an image was last fetched.
    pub last_image_arrival_at: Timestamp,
}

impl Machine {
    /// A machine from which nothing has been heard.
    pub fn new(id: MachineId, machine_type: String, zone: String, spot: bool, now: Timestamp) -> Machine {
        Machine {
            id,
            addr: None,
            machine_type,
            zone,
            spot,
            attempts: Vec::new(),
            agent_epoch: 0,
            seq: 0,
            token_seen: 0,
            synced: false,
            last_heard_at: None,
            unconfirmed: false,
            has_own_report: false,
            last_own_report_at: None,
            one_way_partition: false,
            last_answered_at: None,
            last_answered_report: (0, 0),
            first_known_at: now,
            age_ms_at_first_known: 0,
            launched_at: None,
            reclaim_notice_until: None,
            shard: None,
            direct_command_in_flight: false,
            needs_fencing_probe: false,
            fencing_probe_at: None,
            probe_in_flight: false,
            unreachable: false,
            listed_failed: false,
            last_unreachable_at: 0,
            releasing: false,
            release_in_flight: false,
            release_recorded: false,
            release_unanswered: false,
            release_logged: false,
            idle_since: None,
            failed_jobs: BTreeSet::new(),
            full_until: 0,
            images: Cache::default(),
            last_image_arrival_at: 0,
        }
    }

    /// A machine from the record of a previous leader. The starts in it may have been sent.
    pub fn from_record(record: &MachineRecord, now: Timestamp) -> Machine {
        let mut machine = Machine::new(
            MachineId(record.name.clone()),
            record.machine_type.clone(),
            record.zone.clone(),
            record.spot,
            now,
        );
        machine.addr = record.addr.clone();
        machine.releasing = record.releasing;
        machine.release_recorded = record.releasing;
        // A release begun by a previous leader is completed, not reconsidered.
        machine.release_unanswered = record.releasing;
        machine.images = Cache::from_record(record.images.iter().cloned());
        machine.needs_fencing_probe = true;
        machine.attempts = record
            .starts
            .iter()
            .map(|start| recorded_attempt(start, now))
            .collect();
        machine
    }

    /// The machine's record: all attempts that may be running, of planned starts only those that
    /// are `included`, and results that are not recorded yet. If a record written for another start
    /// omitted those, and the leader ended before the results were recorded, its successor would
    /// not know them: it would have their workers forget them, and run the tasks again.
    pub fn record(&self, mut included: impl FnMut(&Attempt) -> bool) -> MachineRecord {
        MachineRecord {
            name: self.id.0.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            addr: self.addr.clone(),
            releasing: self.releasing,
            images: self
                .images
                .contents()
                .map(|held| (held.image.clone(), held.gb))
                .collect(),
            starts: self
                .attempts
                .iter()
                .filter(|attempt| attempt.may_be_running() || attempt.has_unrecorded_result())
                .filter(|attempt| included(attempt))
                .map(Attempt::start_record)
                .collect(),
        }
    }

    /// Whether this leader has heard from it.
    pub fn is_up(&self) -> bool {
        self.last_heard_at.is_some()
    }

    /// Whether it responds, but has sent no report of its own for `late_ms`.
    pub fn is_own_report_late(&self, late_ms: u64, now: Timestamp) -> bool {
        !self.unreachable && self.last_own_report_at.is_some_and(|at| now > at + late_ms)
    }

    /// Whether it has sent a report of its own at this time or later.
    pub fn has_own_report_since(&self, time: Timestamp) -> bool {
        self.has_own_report && self.last_own_report_at.is_some_and(|at| at >= time)
    }

    /// Marks it as unreachable. Returns whether it was reachable until now.
    pub fn mark_unreachable(&mut self, now: Timestamp) -> bool {
        let was_reachable = !std::mem::replace(&mut self.unreachable, true);
        if was_reachable {
            self.last_unreachable_at = now;
        }
        was_reachable
    }

    /// Whether its reachability tells something about this leader's network: it has been up, and nothing else explains
    /// its silence. A machine that is known only from a heartbeat may be long gone: the heartbeat may be a late copy.
    pub fn shows_reachability(&self) -> bool {
        self.has_been_up() && !self.unconfirmed && !self.listed_failed
    }

    /// Whether it has been up, as far as this leader knows: heard from, or recorded with work.
    pub fn has_been_up(&self) -> bool {
        self.is_up() || !self.attempts.is_empty()
    }

    /// What a report may change about the machine's use, apart from its tasks.
    pub fn usability(&self) -> Usability {
        Usability {
            is_up: self.is_up(),
            synced: self.synced,
            unreachable: self.unreachable,
            has_reclaim_notice: self.reclaim_notice_until.is_some(),
        }
    }

    /// Its type, zone, and whether it is a spot instance.
    pub fn kind(&self) -> MachineKind {
        (self.machine_type.clone(), self.zone.clone(), self.spot)
    }

    /// Resources of the attempts that are or may be running on it.
    pub fn used(&self) -> Resources {
        let mut used = Resources::default();
        for attempt in self.attempts.iter().filter(|attempt| attempt.may_be_running()) {
            used += attempt.needs;
        }
        used
    }

    /// Number of attempts that are or may be running on it.
    pub fn task_count(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.may_be_running())
            .count()
    }

    /// Whether nothing is or may be running on it, and no result waits to be recorded.
    pub fn is_empty(&self) -> bool {
        self.attempts
            .iter()
            .all(|attempt| attempt.exited() && attempt.end_processed && attempt.unacknowledged.is_none())
    }

    /// The attempt with this number at this task.
    pub fn attempt_mut(&mut self, task: &TaskId, number: u64) -> Option<&mut Attempt> {
        self.attempts
            .iter_mut()
            .find(|attempt| attempt.matches(task, number))
    }
}

/// What a report may change about a machine's use, apart from its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usability {
    /// This leader has heard from it.
    pub is_up: bool,
    /// It has reported under a token of this term.
    pub synced: bool,
    /// The last probe failed.
    pub unreachable: bool,
    /// The cloud reclaims it soon.
    pub has_reclaim_notice: bool,
}

/// An attempt whose start a previous leader recorded.
fn recorded_attempt(start: &StartRecord, now: Timestamp) -> Attempt {
    let task = TaskId {
        job: start.job.clone(),
        index: start.index,
    };
    Attempt {
        durable: true,
        from_previous_leader: true,
        image: None,
        counts: start.counts.clone(),
        ..Attempt::planned(
            task,
            start.attempt,
            start.team.clone(),
            start.needs,
            Arc::from(""),
            now,
        )
    }
}
