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
use crate::storage::batch_writer::WriteUnit;
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
        if !self.writer.can_send(io.now) {
            return;
        }
        if self.persistence.fencing_needed
            && io.now >= self.persistence.token_renewed_at + STATE_TIMEOUT_MS
            && let Some(renewal) = election.key_renewal()
        {
            self.persistence.token_renewed_at = io.now;
            self.persistence.fencing_needed = false;
            let body = self.writer.begin_renewal(renewal);
            self.transact(body, TermCall::Write, io);
            return;
        }
        self.queue_shifts(io.now);
        let most = settings
            .deployment
            .state
            .txn_ops
            .min(io.write_budget.available(io.now));
        let Some((body, ops)) = self.writer.begin_batch(
            most,
            settings,
            self.machines.as_map_mut(),
            self.jobs.as_map(),
            self.autoscaler.requests(),
            (io.now, io.wall_ms),
        ) else {
            return;
        };
        io.write_budget.force_take(ops as f64, io.now);
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
            !machine.releasing
                && machine.attempts.iter().any(|attempt| {
                    let waits = attempt.forget_awaits_token(token);
                    waiting += usize::from(waits);
                    // Who waited in vain for its gang joins it again once it is forgotten.
                    waits && (paced || waiting > MAX_PENDING_FORGETS || attempt.gang_wait_timed_out())
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
        let units = self.writer.take_in_flight();
        if outcome.status() == Some(200)
            && let Some(answer) = outcome.read::<protocol::TransactionResponse>(&[200])
        {
            for unit in units {
                self.unit_written(unit, answer.revision, election, io.now);
            }
            return None;
        }
        self.writer.requeue(&units, io.now);
        self.shifts.failed(&units);
        match outcome {
            Outcome::Answer { status: 409, .. } => {
                let failed = outcome
                    .read::<protocol::TransactionResponse>(&[409])
                    .map(|answer| answer.failed)
                    .unwrap_or_default();
                // Its own renewal, given up by then, may have been carried out before this: then
                // nobody else leads, as the key says when it is read again.
                if failed.iter().any(|key| key == records::LEADER_KEY) && !self.writer.may_have_renewed() {
                    return election.depose("a transaction met a newer leader");
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
                if units.contains(&WriteUnit::Renewal) {
                    self.writer.on_renewal_unanswered();
                }
                for unit in &units {
                    for key in unit.keys() {
                        self.writer.queue_reread(key);
                    }
                }
            }
        }
        None
    }

    /// A record did not have the version that a transaction needed.
    fn condition_failed(&mut self, key: String, now: Timestamp) {
        match key.strip_prefix(records::JOB_PREFIX) {
            // Cancelled by a node that served its user. Only a cluster's jobs
            // change while they live: held, or released.
            Some(job) if !self.may_change(job) => self.job_over(&JobId(Arc::from(job)), now),
            _ => self.writer.queue_reread(key),
        }
    }

    fn unit_written(&mut self, unit: WriteUnit, revision: u64, election: &mut Election, now: Timestamp) {
        match unit {
            WriteUnit::Renewal => {
                election.on_key_renewed(revision);
                self.writer.token = revision;
            }
            WriteUnit::Shards {
                shards: numbers,
                planned_starts: planned,
                releases: returns,
            } => {
                self.writer.on_shards_written(&numbers, revision);
                for id in returns {
                    if let Some(machine) = self.machines.get_mut(&id) {
                        machine.release_recorded = machine.releasing;
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
                            job.execution_stats.attempt();
                        }
                        self.commands.mark_due(start.machine);
                    }
                }
            }
            WriteUnit::CompletedTasks { number, tasks } => {
                self.writer.set_completed_tasks_version(number, revision);
                for ((job, _), tasks) in tasks {
                    self.machines.for_each_attempt(&job, |_, attempt| {
                        if attempt.exited() && tasks.contains(&attempt.task.index) {
                            attempt.end_processed = true;
                        }
                    });
                }
            }
            WriteUnit::FinishJob { job } => self.job_finished(job, now),
            WriteUnit::ScaleOutRequest { request } => {
                self.autoscaler.request_recorded(&request);
            }
            WriteUnit::ProtectionWindows { number, deleted } => {
                self.shifts
                    .ledger
                    .written(number, if deleted { 0 } else { revision });
            }
            WriteUnit::ObsoleteKey { .. } => (),
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
                key: records::LEADER_KEY.to_owned(),
                version: self.token(),
            }],
            changes: vec![protocol::Change::Put {
                key: records::MACHINE_TYPES_KEY.to_owned(),
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
        self.job_over(&job, now);
        self.writer.recently_finished.push((job, team));
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
                self.writer.on_reread_failed(key, io.now);
                return None;
            }
        };
        self.writer.on_reread(&key);
        if key == records::LEADER_KEY {
            if election.is_own_key(item.as_ref()) {
                election.on_key_renewed(version);
                self.writer.token = version;
            } else {
                return election.depose("its key belongs to another");
            }
        } else if let Some(job) = key.strip_prefix(records::JOB_PREFIX) {
            let spec = item.as_ref().map(|item| JobSpec::from_value(&item.value));
            match spec {
                _ if version == 0 => self.job_over(&JobId(Arc::from(job)), io.now),
                Some(Ok(spec)) => {
                    let job = spec.id.clone();
                    self.job_accepted(spec, version, io);
                    self.on_job_reread(&job, end_notices);
                }
                Some(Err(problem)) => log::error!("record ignored key={key}: {problem}"),
                None => (),
            }
        } else if let Some(number) = records::parse_numbered_key(records::SHARD_PREFIX, &key) {
            self.writer.on_shard_reread(number, version);
        } else if let Some(number) = records::parse_numbered_key(records::COMPLETED_TASKS_PREFIX, &key) {
            self.writer.set_completed_tasks_version(number, version);
        } else if let Some(number) = records::parse_numbered_key(records::PROTECTION_WINDOWS_PREFIX, &key) {
            self.shifts.ledger.found(number, version);
        }
        None
    }
}
