//! A machine: what the leader knows of it, its record, and what may be on it.

use super::{Attempt, ReportNumber};
use crate::model::{JobId, MachineId, MachineKind, Resources, TaskId, Timestamp};
use crate::storage::records::{MachineRecord, StartRecord};
use indigopath_counted_resources::Demand;
use indigopath_image_locality::Cache;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A machine, and what may be on it.
#[derive(Debug)]
pub struct Machine {
    pub id: MachineId,
    /// Its worker's address, once known.
    pub addr: Option<String>,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Attempts that are or may be there, and ends that are not dealt with yet.
    pub attempts: Vec<Attempt>,
    /// Agent epoch of the newest report.
    pub agent_epoch: u64,
    /// Sequence number of the newest report in its agent epoch.
    pub seq: u64,
    /// Highest token that it is known to have seen.
    pub token_seen: u64,
    /// It has reported under a token of this term.
    pub synced: bool,
    /// Last message from it.
    pub last_heard_at: Option<Timestamp>,
    /// Nothing but a report under an older token names it, which may be a copy: it may be long gone.
    pub unconfirmed: bool,
    /// It has sent a report of its own in this term, and when it last did; before, when it was first heard.
    pub has_own_report: bool,
    pub(super) last_own_report_at: Option<Timestamp>,
    /// It answers, but its reports reach nobody: what runs there is killed when its lease is over.
    pub one_way_partition: bool,
    /// Last 200 that may have renewed its lease.
    pub last_answered_at: Option<Timestamp>,
    /// The newest report of its own that was answered.
    pub(super) last_answered_report: ReportNumber,
    /// When this leader first knew of it.
    pub first_known_at: Timestamp,
    /// How long before `first_known` it had been rented, in ms.
    pub age_ms_at_first_known: u64,
    /// When this leader rented it, which shows how long its boot takes.
    pub rented_at: Option<Timestamp>,
    /// When the cloud takes this spot instance back, once it has given notice.
    pub reclaim_notice_until: Option<Timestamp>,
    /// The record that it shares with other machines, once it had work.
    pub shard: Option<u32>,
    /// A direct command is in flight.
    pub direct_command_in_flight: bool,
    /// The next direct command is sent even without commands in it: it fences former
    /// leaders and brings a report.
    pub needs_fencing_probe: bool,
    /// When such a command was last sent.
    pub fencing_probe_at: Option<Timestamp>,
    /// A question for its report is in flight.
    pub probe_in_flight: bool,
    /// The last such question failed, and no report has come since.
    pub unreachable: bool,
    /// When it last failed to answer.
    pub last_unreachable_at: Timestamp,
    /// It is to be given back, or the request has been sent and may be carried out.
    pub releasing: bool,
    /// The request to return it is in flight.
    pub release_in_flight: bool,
    /// Its return stands in the records: only then is it asked for, so that a new leader knows of
    /// whatever the cloud carries out late.
    pub release_recorded: bool,
    /// A return went unanswered, or a former leader may have asked for it: it may be carried out at
    /// any time.
    pub release_unanswered: bool,
    /// Its return is in the log already; a cloud that fails is asked many times.
    pub release_logged: bool,
    /// Since when nothing is or may be there.
    pub idle_since: Option<Timestamp>,
    /// Jobs whose tasks failed there, since one last ran well.
    pub failed_jobs: BTreeSet<JobId>,
    /// Nothing is placed there before then, as it refused a task for want of room.
    pub full_until: Timestamp,
    /// Images it is thought to hold, the latest used last.
    pub images: Cache,
    /// When an image last came to be there.
    pub last_image_arrival_at: Timestamp,
}

impl Machine {
    /// A machine of which nothing has been heard.
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
            rented_at: None,
            reclaim_notice_until: None,
            shard: None,
            direct_command_in_flight: false,
            needs_fencing_probe: false,
            fencing_probe_at: None,
            probe_in_flight: false,
            unreachable: false,
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

    /// A machine as a former leader recorded it. What stands there may have been sent.
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
        // A former leader's return is finished, not reconsidered.
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

    /// The record: everything that may be there, of planned starts those that are
    /// `included`; and what is done without a record of that. If another start's record left
    /// those out, and the leader ended before the results were recorded, the next one would not know
    /// them: it would have their workers forget them, and run the tasks again.
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
                .held()
                .map(|held| (held.image.clone(), held.gb))
                .collect(),
            starts: self
                .attempts
                .iter()
                .filter(|attempt| attempt.may_be_running() || attempt.has_unrecorded_result())
                .filter(|attempt| included(attempt))
                .map(start_record)
                .collect(),
        }
    }

    /// It has reported at least once, to this leader or (by its record's
    /// attempts) to a former one.
    pub fn is_up(&self) -> bool {
        self.last_heard_at.is_some()
    }

    /// It answers, but has sent no report of its own for so long.
    pub fn is_own_report_late(&self, late_ms: u64, now: Timestamp) -> bool {
        !self.unreachable && self.last_own_report_at.is_some_and(|at| now > at + late_ms)
    }

    /// It has been up, as far as this leader knows: heard of, or recorded with work.
    pub fn has_been_up(&self) -> bool {
        self.is_up() || !self.attempts.is_empty()
    }

    /// What a report may change of a machine's use, apart from its tasks.
    pub fn usability(&self) -> Usability {
        Usability {
            is_up: self.is_up(),
            synced: self.synced,
            unreachable: self.unreachable,
            has_reclaim_notice: self.reclaim_notice_until.is_some(),
        }
    }

    /// What it is to the cloud.
    pub fn kind(&self) -> MachineKind {
        (self.machine_type.clone(), self.zone.clone(), self.spot)
    }

    /// What the attempts that are or may be there take.
    pub fn used(&self) -> Resources {
        let mut used = Resources::default();
        for attempt in self.attempts.iter().filter(|attempt| attempt.may_be_running()) {
            used += attempt.needs;
        }
        used
    }

    /// Attempts that are or may be there.
    pub fn task_count(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.may_be_running())
            .count()
    }

    /// Nothing is or may be there, and no result waits to be recorded.
    pub fn is_empty(&self) -> bool {
        self.attempts
            .iter()
            .all(|attempt| attempt.exited() && attempt.end_processed && attempt.unacknowledged.is_none())
    }

    /// The attempt of this number at this task.
    pub fn attempt_mut(&mut self, task: &TaskId, number: u64) -> Option<&mut Attempt> {
        self.attempts
            .iter_mut()
            .find(|attempt| attempt.matches(task, number))
    }
}

/// What a report may change of a machine's use, apart from its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usability {
    /// It has reported.
    pub is_up: bool,
    /// It has reported under a token of this term.
    pub synced: bool,
    /// It did not answer the last question for its report.
    pub unreachable: bool,
    /// The cloud takes it back soon.
    pub has_reclaim_notice: bool,
}

/// An attempt as a former leader recorded its start.
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

/// An attempt that stands in the record for its result alone holds no units any more: others may have
/// been given them by the same transaction.
fn start_record(attempt: &Attempt) -> StartRecord {
    let counts = if attempt.holds_units() {
        attempt.counts.clone()
    } else {
        Demand::default()
    };
    StartRecord {
        job: attempt.task.job.clone(),
        index: attempt.task.index,
        attempt: attempt.number,
        team: attempt.team.clone(),
        needs: attempt.needs,
        counts,
    }
}
