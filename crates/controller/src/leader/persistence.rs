//! Persistence: sends the transactions that the batch writer assembles, handles their responses, and renews
//! the fencing token when the leader must fence off its own delayed commands.

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

/// Writes that are due outside the regular batches.
#[derive(Debug, Default)]
pub(super) struct Persistence {
    /// Whether a delayed command must be fenced off with a higher token.
    fencing_needed: bool,
    token_renewed_at: Timestamp,
    /// Whether the machine types have been written in this term, or a write is in flight.
    types_stored: bool,
}

/// A transaction that was committed.
#[derive(Debug, Clone, Copy)]
struct Committed {
    /// The version of the records that it wrote.
    revision: u64,
    /// When it was sent, on this node's clock.
    sent: Timestamp,
}

impl LeaderTerm {
    /// Sends the next re-read, token renewal or batch, if one is due.
    pub(super) fn send_due_write(&mut self, election: &Election, settings: &Settings, io: &mut Io) {
        if let Some(key) = self.writer.next_reread(io.now) {
            let path = paths::key(&key);
            let term_call = TermCall::Reread {
                key,
                end_notices: self.jobs.end_notices(),
            };
            self.read_state(path, term_call, io);
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
            self.transact(body, TermCall::Transaction { sent: io.now }, io);
            return;
        }
        self.queue_protection_windows(io.now);
        let max_ops = settings
            .deployment
            .state
            .txn_ops
            .min(io.write_budget.available(io.now));
        let Some((body, ops)) = self.writer.begin_batch(
            max_ops,
            settings,
            self.machines.as_map_mut(),
            self.jobs.as_map(),
            self.autoscaler.requests(),
            (io.now, io.wall_ms),
        ) else {
            return;
        };
        io.write_budget.force_take(ops as f64, io.now);
        self.transact(body, TermCall::Transaction { sent: io.now }, io);
    }

    /// Updates whether the token must be renewed.
    pub(super) fn update_fencing(&mut self, now: Timestamp) {
        self.persistence.fencing_needed = self.fencing_needed(now);
    }

    /// Whether the leader must renew its token to fence off its own delayed commands.
    ///
    /// A start command without a response may arrive minutes later, even after its job was cancelled. A
    /// worker that has seen a higher token rejects it. Ended tasks that were started by a direct command
    /// also need a higher token before the worker may forget them, as a duplicate of the command would run
    /// them again. These are batched for [`FORGET_TOKEN_RENEWAL_MS`], because a new token makes every worker
    /// report.
    fn fencing_needed(&self, now: Timestamp) -> bool {
        let token = self.writer.token;
        let interval_passed =
            now >= self.persistence.token_renewed_at.max(self.started) + FORGET_TOKEN_RENEWAL_MS;
        self.machines.values().any(|machine| {
            let mut pending_forgets = 0;
            !machine.releasing
                && machine.attempts.iter().any(|attempt| {
                    let awaits_renewal = attempt.forget_awaits_token(token);
                    pending_forgets += usize::from(awaits_renewal);
                    // A task that gave up waiting for its gang can rejoin only once it is forgotten.
                    awaits_renewal
                        && (interval_passed
                            || pending_forgets > MAX_PENDING_FORGETS
                            || attempt.gang_wait_timed_out())
                        || attempt
                            .unacknowledged
                            .is_some_and(|unacknowledged| unacknowledged.token == token)
                            && (attempt.stop.is_some() || attempt.exited())
                })
        })
    }

    /// Handles the response to a transaction.
    pub(super) fn handle_transaction_response(
        &mut self,
        sent: Timestamp,
        outcome: &Outcome,
        election: &mut Election,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        let units = self.writer.take_in_flight();
        if outcome.status() == Some(200)
            && let Some(response) = outcome.read::<protocol::TransactionResponse>(&[200])
        {
            let committed = Committed {
                revision: response.revision,
                sent,
            };
            for unit in units {
                self.on_unit_committed(unit, committed, election, io.now);
            }
            return None;
        }
        self.writer.requeue(&units, io.now);
        self.protection_windows.on_write_failed(&units);
        match outcome {
            Outcome::Answer { status: 409, .. } => {
                let failed_keys = outcome
                    .read::<protocol::TransactionResponse>(&[409])
                    .map(|response| response.failed)
                    .unwrap_or_default();
                // An earlier renewal of this leader that was given up may have been executed before
                // this transaction. Then there is no other leader, as re-reading the key shows.
                if failed_keys.iter().any(|key| key == records::LEADER_KEY) && !self.writer.may_have_renewed()
                {
                    return election.depose("a transaction conflicted with a newer leader");
                }
                for key in failed_keys {
                    self.on_condition_failed(key, io.now);
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

    /// Handles a record that did not have the version required by a transaction.
    fn on_condition_failed(&mut self, key: String, now: Timestamp) {
        match key.strip_prefix(records::JOB_PREFIX) {
            // Another controller cancelled the job. Only jobs of a submitted cluster can change before
            // they end, when they are held or released.
            Some(job) if !self.job_record_may_change(job) => self.on_job_ended(&JobId(Arc::from(job)), now),
            _ => self.writer.queue_reread(key),
        }
    }

    /// Applies the effects of a committed unit of a transaction.
    fn on_unit_committed(
        &mut self,
        unit: WriteUnit,
        Committed { revision, sent }: Committed,
        election: &mut Election,
        now: Timestamp,
    ) {
        match unit {
            WriteUnit::Renewal => {
                election.on_key_renewed(revision);
                self.writer.token = revision;
            }
            WriteUnit::Shards {
                shards,
                planned_starts,
                releases,
            } => {
                self.writer.on_shards_written(&shards, revision);
                for id in releases {
                    if let Some(machine) = self.machines.get_mut(&id) {
                        machine.release_recorded = machine.releasing;
                    }
                }
                for start in planned_starts {
                    if let Some(attempt) = self
                        .machines
                        .get_mut(&start.machine)
                        .and_then(|machine| machine.attempt_mut(&start.task, start.number))
                    {
                        attempt.durable = true;
                        attempt.job_live_at = Some(sent);
                        if let Some(job) = self.jobs.get_mut(&start.task.job) {
                            job.execution_stats.record_attempt();
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
            WriteUnit::FinishJob { job } => self.on_job_finished(job, now),
            WriteUnit::ScaleOutRequest { request } => {
                self.autoscaler.request_recorded(&request);
            }
            WriteUnit::ProtectionWindows { number, deleted } => {
                self.protection_windows
                    .window_state
                    .on_written(number, if deleted { 0 } else { revision });
            }
            WriteUnit::ObsoleteKey { .. } => (),
        }
    }

    /// Writes the machine types, once per term.
    pub(super) fn store_types_once(&mut self, types: &MachineTypes, io: &mut Io) {
        if !std::mem::replace(&mut self.persistence.types_stored, true) {
            self.store_types(types, io);
        }
    }

    /// Handles the response to the write of the machine types.
    pub(super) fn handle_store_types_response(&mut self, outcome: &Outcome) {
        self.persistence.types_stored = outcome.status() == Some(200);
    }

    fn store_types(&mut self, types: &MachineTypes, io: &mut Io) {
        let flavors = protocol::MachineTypeList {
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
        self.transact(json(&body), TermCall::StoreMachineTypes, io);
    }

    /// Handles a finished job whose end has been recorded.
    fn on_job_finished(&mut self, job: JobId, now: Timestamp) {
        log::info!("job finished job={job}");
        if let Some(finished) = self.jobs.get(&job) {
            self.forecast.finished(finished, now);
        }
        let team = self.jobs.get(&job).map_or("", |job| &job.spec.team);
        let team = Team::named(team);
        self.on_job_ended(&job, now);
        self.writer.recently_finished.push((job, team));
    }

    /// Handles the re-read of a record whose version was uncertain.
    pub(super) fn handle_reread(
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
                return election.depose("the leader key belongs to another node");
            }
        } else if let Some(job) = key.strip_prefix(records::JOB_PREFIX) {
            let spec = item.as_ref().map(|item| JobSpec::from_value(&item.value));
            match spec {
                _ if version == 0 => self.on_job_ended(&JobId(Arc::from(job)), io.now),
                Some(Ok(spec)) => {
                    let job = spec.id.clone();
                    self.on_job_accepted(spec, version, io);
                    self.on_job_reread(&job, end_notices);
                }
                Some(Err(error)) => log::error!("record ignored key={key}: {error}"),
                None => (),
            }
        } else if let Some(number) = records::parse_numbered_key(records::SHARD_PREFIX, &key) {
            self.writer.on_shard_reread(number, version);
        } else if let Some(number) = records::parse_numbered_key(records::COMPLETED_TASKS_PREFIX, &key) {
            self.writer.set_completed_tasks_version(number, version);
        } else if let Some(number) = records::parse_numbered_key(records::PROTECTION_WINDOWS_PREFIX, &key) {
            self.protection_windows
                .window_state
                .on_version_read(number, version);
        }
        None
    }
}
