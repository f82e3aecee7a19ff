//! What becomes of the transactions that the batch writer puts together, and when the leader renews
//! its token to fence commands of its own.

use super::LeaderTerm;
use super::calls::TermCall;
use crate::constants::{
    FORGET_TOKEN_RENEWAL_MS, MAX_PENDING_FORGETS, SECOND_MS, STATE_TIMEOUT_MS, WRITE_RETRY_MS,
};
use crate::election::{Election, ElectionEvent};
use crate::io::{Io, Outcome, json};
use crate::model::{JobId, JobSpec, Timestamp};
use crate::protocol::{self, StoredItem, paths};
use crate::scheduling::placement::MachineTypes;
use crate::settings::Settings;
use crate::storage::batch_writer::Unit;
use crate::storage::records::{self, Record};
use indigopath_accounting::Team;
use rand::RngExt;
use std::sync::Arc;

/// What is to be written beside the batches.
#[derive(Debug, Default)]
pub(super) struct Persistence {
    /// A late command must be fenced off by a higher token.
    fencing_needed: bool,
    token_renewed_at: Timestamp,
    /// The machine types are on record, or on their way there.
    types_stored: bool,
}

impl LeaderTerm {
    /// Sends the next re-read, renewal or batch, if one is due.
    pub(super) fn write(&mut self, election: &Election, settings: &Settings, io: &mut Io) {
        if let Some(key) = self.writer.next_reread(io.now) {
            let path = paths::key(&key);
            let kind = TermCall::Reread {
                key,
                end_notices: self.jobs.end_notices(),
            };
            self.read_state(path, kind, io);
            return;
        }
        if !self.writer.ready(io.now) {
            return;
        }
        if self.persistence.fencing_needed
            && io.now >= self.persistence.token_renewed_at + STATE_TIMEOUT_MS
            && let Some(renewal) = election.renewal()
        {
            self.persistence.token_renewed_at = io.now;
            self.persistence.fencing_needed = false;
            let body = self.writer.renewal(renewal);
            self.transact(body, TermCall::Write, io);
            return;
        }
        self.queue_protection_windows(io.now);
        let most = settings
            .deployment
            .state
            .txn_ops
            .min(io.write_budget.available(io.now));
        let Some((body, ops)) = self.writer.batch(
            most,
            settings,
            self.machines.as_map_mut(),
            self.jobs.as_map(),
            self.autoscaler.requests(),
            (io.now, io.wall_ms),
        ) else {
            return;
        };
        io.write_budget.force(ops as f64, io.now);
        self.transact(body, TermCall::Write, io);
    }

    /// Notes whether the token must be renewed.
    pub(super) fn update_fencing(&mut self, now: Timestamp) {
        self.persistence.fencing_needed = self.fencing_needed(now);
    }

    /// A start that nobody answered may arrive minutes later, even for a job that
    /// has been cancelled since. A higher token, once the worker has seen it,
    /// refuses it; so the leader renews its own. Ended tasks whose start went by a direct
    /// command wait for it as well, as a copy of that would run them again once they are
    /// forgotten: these gather for a while, as a new token makes every worker report.
    fn fencing_needed(&self, now: Timestamp) -> bool {
        let token = self.writer.token;
        let paced = now >= self.persistence.token_renewed_at.max(self.started) + FORGET_TOKEN_RENEWAL_MS;
        self.machines.values().any(|machine| {
            let mut waiting = 0;
            !machine.returning
                && machine.attempts.iter().any(|attempt| {
                    let waits = attempt.forget_waits(token);
                    waiting += usize::from(waits);
                    // Who waited in vain for its gang joins it again once it is forgotten.
                    waits && (paced || waiting > MAX_PENDING_FORGETS || attempt.waited_in_vain())
                        || attempt
                            .unacknowledged
                            .is_some_and(|unacknowledged| unacknowledged.token == token)
                            && (attempt.stop.is_some() || attempt.exited())
                })
        })
    }

    /// Follows the answer to a transaction.
    pub(super) fn written(
        &mut self,
        outcome: &Outcome,
        election: &mut Election,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        let units = self.writer.take_batch();
        if outcome.status() == Some(200)
            && let Some(answer) = outcome.read::<protocol::TransactionResponse>(&[200])
        {
            for unit in units {
                self.unit_written(unit, answer.revision, election, io.now);
            }
            return None;
        }
        self.writer.failed(&units, io.now);
        self.shifts.on_write_failed(&units);
        match outcome {
            Outcome::Answer { status: 409, .. } => {
                let failed = outcome
                    .read::<protocol::TransactionResponse>(&[409])
                    .map(|answer| answer.failed)
                    .unwrap_or_default();
                // Its own renewal, given up by then, may have been carried out before this: then
                // nobody else leads, as the key says when it is read again.
                if failed.iter().any(|key| key == records::LEADER) && !self.writer.may_be_renewed() {
                    return election.deposed("a transaction met a newer leader");
                }
                for key in failed {
                    self.condition_failed(key, io.now);
                }
            }
            outcome if outcome.is_safe_to_retry() => {
                self.writer.retry_at = io.now + WRITE_RETRY_MS + io.rng.random_range(0..WRITE_RETRY_MS)
            }
            Outcome::Answer { status, body } => {
                log::error!(
                    "transaction rejected status={status}: {}",
                    String::from_utf8_lossy(body)
                );
                self.writer.retry_at = io.now + SECOND_MS;
            }
            _ => {
                if units.contains(&Unit::Renewal) {
                    self.writer.renewal_unanswered();
                }
                for unit in &units {
                    for key in unit.keys() {
                        self.writer.reread(key);
                    }
                }
            }
        }
        None
    }

    /// A record did not have the version that a transaction needed.
    fn condition_failed(&mut self, key: String, now: Timestamp) {
        match key.strip_prefix(records::JOBS) {
            // Cancelled by a node that served its user. Only a cluster's jobs
            // change while they live: held, or released.
            Some(job) if !self.job_record_may_change(job) => self.on_job_ended(&JobId(Arc::from(job)), now),
            _ => self.writer.reread(key),
        }
    }

    fn unit_written(&mut self, unit: Unit, revision: u64, election: &mut Election, now: Timestamp) {
        match unit {
            Unit::Renewal => {
                election.renewed(revision);
                self.writer.token = revision;
            }
            Unit::Shards {
                numbers,
                planned,
                returns,
            } => {
                self.writer.shards_written(&numbers, revision);
                for id in returns {
                    if let Some(machine) = self.machines.get_mut(&id) {
                        machine.return_recorded = machine.returning;
                    }
                }
                for start in planned {
                    if let Some(attempt) = self
                        .machines
                        .get_mut(&start.machine)
                        .and_then(|machine| machine.attempt_mut(&start.task, start.number))
                    {
                        attempt.durable = true;
                        if let Some(job) = self.jobs.get_mut(&start.task.job) {
                            job.account.attempt();
                        }
                        self.commands.mark_due(start.machine);
                    }
                }
            }
            Unit::Done { number, tasks } => {
                self.writer.done_version(number, revision);
                for ((job, _), tasks) in tasks {
                    self.machines.for_each_attempt(&job, |_, attempt| {
                        if attempt.exited() && tasks.contains(&attempt.task.index) {
                            attempt.closed = true;
                        }
                    });
                }
            }
            Unit::Finish { job } => self.job_finished(job, now),
            Unit::ScaleOutRequest { request } => {
                self.autoscaler.request_recorded(&request);
            }
            Unit::Shifts { number, deleted } => {
                self.shifts
                    .window_state
                    .written(number, if deleted { 0 } else { revision });
            }
            Unit::Garbage { .. } => (),
        }
    }

    /// Records the machine types, once in a term.
    pub(super) fn store_types_once(&mut self, types: &MachineTypes, io: &mut Io) {
        if !std::mem::replace(&mut self.persistence.types_stored, true) {
            self.store_types(types, io);
        }
    }

    /// Follows the answer to the record of the machine types.
    pub(super) fn types_stored(&mut self, outcome: &Outcome) {
        self.persistence.types_stored = outcome.status() == Some(200);
    }

    fn store_types(&mut self, types: &MachineTypes, io: &mut Io) {
        let flavors = protocol::Flavors {
            types: types.values().cloned().collect(),
        };
        let body = protocol::Transaction {
            conditions: vec![protocol::Condition {
                key: records::LEADER.to_owned(),
                version: self.token(),
            }],
            changes: vec![protocol::Change::Put {
                key: records::TYPES.to_owned(),
                value: flavors.to_value(),
                lease: None,
            }],
        };
        self.transact(json(&body), TermCall::StoreTypes, io);
    }

    /// The end of a job that is done is on record.
    fn job_finished(&mut self, job: JobId, now: Timestamp) {
        log::info!("job finished job={job}");
        if let Some(over) = self.jobs.get(&job) {
            self.forecast.finished(over, now);
        }
        let team = self.jobs.get(&job).map_or("", |job| &job.spec.team);
        let team = Team::named(team);
        self.on_job_ended(&job, now);
        self.writer.finished.push((job, team));
    }

    /// Follows a record whose version was uncertain.
    pub(super) fn reread(
        &mut self,
        key: String,
        end_notices: u64,
        outcome: &Outcome,
        election: &mut Election,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        let item = outcome.read::<StoredItem>(&[200]);
        let version = match (&item, outcome.status()) {
            (Some(item), _) => item.version,
            (None, Some(404)) => 0,
            _ => {
                self.writer.reread_failed(key, io.now);
                return None;
            }
        };
        self.writer.reread_done(&key);
        if key == records::LEADER {
            if election.is_mine(item.as_ref()) {
                election.renewed(version);
                self.writer.token = version;
            } else {
                return election.deposed("its key belongs to another");
            }
        } else if let Some(job) = key.strip_prefix(records::JOBS) {
            let spec = item.as_ref().map(|item| JobSpec::from_value(&item.value));
            match spec {
                _ if version == 0 => self.on_job_ended(&JobId(Arc::from(job)), io.now),
                Some(Ok(spec)) => {
                    let job = spec.id.clone();
                    self.on_job_accepted(spec, version, io);
                    self.on_job_reread(&job, end_notices);
                }
                Some(Err(problem)) => log::error!("record ignored key={key}: {problem}"),
                None => (),
            }
        } else if let Some(number) = records::parse_number(records::SHARDS, &key) {
            self.writer.shard_read(number, version);
        } else if let Some(number) = records::parse_number(records::DONE, &key) {
            self.writer.done_version(number, version);
        } else if let Some(number) = records::parse_number(records::SHIFTS, &key) {
            self.shifts.window_state.found(number, version);
        }
        None
    }
}
