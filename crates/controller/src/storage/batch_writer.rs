//! The leader's writes, collected in batches with one transaction in flight at a time.
//!
//! Each transaction is conditional on the leader's key and on the versions of the records that it
//! replaces, so that a late one is refused. Machines share records ("shards"), and so do completed
//! tasks: the state service counts changed keys, and a fleet starts dozens of tasks a second on as
//! many machines.

mod completed_tasks;
mod machine_shards;
mod rereads;
mod transaction;

pub use machine_shards::ShardLinger;
pub use transaction::WriteUnit;

use crate::allocations::Machine;
use crate::autoscaling::scale_out_request::ScaleOutRequest;
use crate::constants::{BYTES_PER_KB, MAX_VALUE_SHARE};
use crate::expiring_cache::ExpiringCache;
use crate::io::json;
use crate::job_api::authorization;
use crate::model::{Job, JobId, MachineId, Timestamp};
use crate::protocol::{Change, Condition, Transaction};
use crate::settings::Settings;
use crate::storage::keys;
use crate::storage::records::EndedJobRecord;
use completed_tasks::CompletedTasks;
use indigopath_accounting::{Access, Entry, FairQueue, Team};
use indigopath_counted_resources::{Linger, LingerSet};
use machine_shards::{MachineShards, ShardSources};
use rereads::Rereads;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};
use transaction::{FinishedTransaction, TransactionBuilder, WrittenShard, put, put_text};

/// The number after the highest one taken.
fn next_number<T>(taken: &BTreeMap<u32, T>) -> u32 {
    taken.last_key_value().map_or(0, |(number, _)| number + 1)
}

/// The leader's pending writes, and the transaction in flight.
#[derive(Debug)]
pub struct BatchWriter {
    /// The fencing token: the version of the leader's key.
    pub token: u64,
    /// The token under which a renewal went unanswered. That renewal may still be executed.
    unanswered_renewal: Option<u64>,
    /// Units of the transaction in flight.
    in_flight: Option<Vec<WriteUnit>>,
    /// No transaction is sent before this time.
    pub retry_at: Timestamp,
    rereads: Rereads,
    /// Completed jobs to be moved to the ended ones.
    pub jobs_to_finish: BTreeSet<JobId>,
    /// Launch requests to be recorded.
    pub launches_to_record: BTreeSet<String>,
    /// Values of protection windows to be written.
    pub protection_window_writes: Vec<indigopath_protection_windows::ValueWrite>,
    /// Keys to be deleted.
    pub obsolete_keys: BTreeSet<String>,
    /// Jobs recorded as done since this was last emptied, with their teams.
    pub recently_finished: Vec<(JobId, Team)>,
    /// Jobs that ended under this leader, with the versions of their records.
    ended_jobs: ExpiringCache<u64>,
    machine_shards: MachineShards,
    completed_tasks: CompletedTasks,
}

impl BatchWriter {
    /// A writer that knows no records yet.
    pub fn new(token: u64, settings: &Settings) -> BatchWriter {
        let max_value_bytes = (settings.deployment.state.value_kb * BYTES_PER_KB * MAX_VALUE_SHARE) as usize;
        BatchWriter {
            token,
            unanswered_renewal: None,
            in_flight: None,
            retry_at: 0,
            rereads: Rereads::default(),
            jobs_to_finish: BTreeSet::new(),
            launches_to_record: BTreeSet::new(),
            protection_window_writes: Vec::new(),
            obsolete_keys: BTreeSet::new(),
            recently_finished: Vec::new(),
            ended_jobs: ExpiringCache::default(),
            machine_shards: MachineShards::new(max_value_bytes),
            completed_tasks: CompletedTasks::new(max_value_bytes),
        }
    }

    // ---- shards of machines --------------------------------------------------

    /// The machine's record must be written before anything depending on it is sent.
    pub fn queue_machine(&mut self, machine: &mut Machine) {
        self.machine_shards.queue_machine(machine);
    }

    /// The machine has starts to be recorded.
    pub fn queue_starts(&mut self, machine: &mut Machine) {
        self.machine_shards.queue_starts(machine);
    }

    /// A shard's record was read: its size, in bytes.
    pub fn load_shard_size(&mut self, number: u32, bytes: usize) {
        self.machine_shards.load_size(number, bytes);
    }

    /// Assigns a machine to the shard that a record lists it in.
    pub fn assign_shard(&mut self, machine: &mut Machine, number: u32, version: u64) {
        self.machine_shards.assign_shard(machine, number, version);
    }

    /// Units of a removed attempt linger. They are recorded in the attempt's shard, with the next
    /// record that omits the attempt.
    pub fn add_linger(&mut self, number: Option<u32>, linger: Linger) {
        self.machine_shards.add_linger(number, linger);
    }

    /// Loads lingering units from a record. `lists_freed_units` says whether it also lists units that
    /// no longer linger.
    pub fn load_lingers(&mut self, number: u32, version: u64, lingers: LingerSet, lists_freed_units: bool) {
        self.machine_shards
            .load_lingers(number, version, lingers, lists_freed_units);
    }

    /// The machine was released. While units of its shard linger, a licence server may list its clients:
    /// returns until when, if at all.
    pub fn on_machine_released(&mut self, shard: u32, machine: &MachineId) -> Option<Timestamp> {
        self.machine_shards.on_machine_released(shard, machine)
    }

    /// Loads a released machine from a record.
    pub fn load_released_machine(&mut self, shard: u32, machine: MachineId, until: Timestamp) {
        self.machine_shards.load_released_machine(shard, machine, until);
    }

    /// Units that this shard's record may list are free. It is written before any start that could
    /// get them.
    pub fn on_units_freed(&mut self, shard: u32) {
        self.machine_shards.on_units_freed(shard);
    }

    /// All units that still linger.
    pub fn active_lingers(&mut self, now: Timestamp) -> Vec<Linger> {
        self.machine_shards.active_lingers(now)
    }

    /// All lingering units, by shard.
    pub fn shard_lingers(&self) -> impl Iterator<Item = ShardLinger<'_>> {
        self.machine_shards.shard_lingers()
    }

    /// Removes a machine from its shard, which is written when a transaction has room.
    pub fn remove_machine(&mut self, machine: &Machine) {
        self.machine_shards.remove(machine);
    }

    /// Shards were written at this revision.
    pub fn on_shards_written(&mut self, written: &[WrittenShard], version: u64) {
        self.machine_shards.on_written(written, version);
    }

    /// The version of a shard was read again; the shard is written again.
    pub fn on_shard_reread(&mut self, number: u32, version: u64) {
        self.machine_shards.on_reread(number, version);
    }

    // ---- completed tasks -----------------------------------------------------

    /// A task is done, and must be recorded before its worker forgets it.
    pub fn add_completed_task(&mut self, job: &Job, task: u32, now: Timestamp) {
        self.completed_tasks.add(job, task, now);
    }

    /// Assigns a chunk of a job's tasks to the record that lists it.
    pub fn assign_chunk(&mut self, chunk: (JobId, u32), bytes: usize, number: u32) {
        self.completed_tasks.assign_chunk(chunk, bytes, number);
    }

    /// A record of completed tasks was read, whatever it contains.
    pub fn load_completed_tasks_version(&mut self, number: u32, version: u64) {
        self.completed_tasks.load_version(number, version);
    }

    /// Version of a record of completed tasks that was written or read again.
    pub fn set_completed_tasks_version(&mut self, number: u32, version: u64) {
        self.completed_tasks.set_version(number, version);
    }

    // ---- jobs ----------------------------------------------------------------

    /// A job has ended, and nothing of it is written any more. What a record still contains of it
    /// is removed when the record is next written.
    pub fn remove_job(&mut self, id: &JobId, job: &Job) {
        // A term may last for weeks with four ends of jobs a second: keeping all of them would take
        // a megabyte an hour. A late notice arrives within seconds, and a flood ends as many as are
        // kept in half a minute.
        self.ended_jobs.insert(id.clone(), job.version);
        self.jobs_to_finish.remove(id);
        self.completed_tasks.remove_job(id, job.spec.tasks);
    }

    /// Version of a job's record when it ended under this leader, so that a late notice of its
    /// acceptance does not restore it.
    pub fn ended_version(&self, id: &JobId) -> u64 {
        self.ended_jobs.get(id).copied().unwrap_or(0)
    }

    // ---- transactions --------------------------------------------------------

    /// Whether a transaction may be sent.
    pub fn can_send(&self, now: Timestamp) -> bool {
        self.in_flight.is_none() && !self.is_stalled(now)
    }

    /// Whether writes are failing, so that planning more starts would only pile them up.
    pub fn is_stalled(&self, now: Timestamp) -> bool {
        now < self.retry_at || !self.rereads.is_empty()
    }

    fn leader_condition(&self) -> Condition {
        Condition {
            key: keys::LEADER_KEY.to_owned(),
            version: self.token,
        }
    }

    /// Builds a transaction that only renews the leader's key, and marks it as in flight.
    pub fn begin_renewal(&mut self, renewal: Change) -> Vec<u8> {
        self.in_flight = Some(vec![WriteUnit::Renewal]);
        json(&Transaction {
            conditions: vec![self.leader_condition()],
            changes: vec![renewal],
        })
    }

    /// Builds the next transaction with at most `max_changes`, and marks it as in flight. Writes
    /// that others wait for come first; starts use the rest, which is most of it. Returns the body
    /// and the number of changes.
    pub(crate) fn begin_batch(
        &mut self,
        max_changes: usize,
        settings: &Settings,
        machines: &mut BTreeMap<MachineId, Machine>,
        jobs: &BTreeMap<JobId, Job>,
        launches: &BTreeMap<String, ScaleOutRequest>,
        (now, wall_ms): (Timestamp, u64),
    ) -> Option<(Vec<u8>, usize)> {
        if max_changes == 0 {
            return None;
        }
        let mut transaction = TransactionBuilder::new(self.leader_condition(), max_changes, settings);
        let mut sources = ShardSources {
            machines,
            jobs,
            now,
            wall_ms,
        };
        self.write_finished_jobs(&mut transaction, jobs, wall_ms);
        self.write_launches(&mut transaction, launches);
        self.write_protection_windows(&mut transaction);
        self.completed_tasks.write(&mut transaction, jobs, now);
        self.machine_shards.write_urgent(&mut transaction, &mut sources);
        self.delete_garbage(&mut transaction);
        self.machine_shards.write_stale(&mut transaction, &mut sources);
        let FinishedTransaction { units, body, changes } = transaction.finish()?;
        self.in_flight = Some(units);
        Some((body, changes))
    }

    /// Moves completed jobs to the ended ones, each in one transaction, so that completion and
    /// cancellation exclude each other; the accounting entry is part of it. Where many jobs end at
    /// once, the teams take turns.
    fn write_finished_jobs(
        &mut self,
        transaction: &mut TransactionBuilder,
        jobs: &BTreeMap<JobId, Job>,
        wall_ms: u64,
    ) {
        let mut turns = FairQueue::new(usize::MAX);
        for id in std::mem::take(&mut self.jobs_to_finish) {
            if let Some(job) = jobs.get(&id) {
                // The queue is unbounded.
                let _ = turns.push(&Team::named(&job.spec.team), 1, 1, id);
            }
        }
        while let Some((_, id)) = turns.pop() {
            if transaction.is_full() {
                self.jobs_to_finish.insert(id);
                continue;
            }
            let Some(job) = jobs.get(&id) else { continue };
            if !write_finished_job(transaction, &id, job, wall_ms) {
                self.jobs_to_finish.insert(id);
            }
        }
    }

    fn write_launches(
        &mut self,
        transaction: &mut TransactionBuilder,
        launches: &BTreeMap<String, ScaleOutRequest>,
    ) {
        for request in std::mem::take(&mut self.launches_to_record) {
            let Some(launch) = launches.get(&request) else {
                continue;
            };
            let change = put(keys::launch_key(&request), &launch.request);
            let unit = WriteUnit::ScaleOutRequest {
                request: request.clone(),
            };
            if transaction.is_full() || !transaction.add(unit, Vec::new(), vec![change]) {
                self.launches_to_record.insert(request);
            }
        }
    }

    fn write_protection_windows(&mut self, transaction: &mut TransactionBuilder) {
        for write in std::mem::take(&mut self.protection_window_writes) {
            let key = keys::protection_windows_key(write.number);
            let unchanged = Condition {
                key: key.clone(),
                version: write.version,
            };
            let change = match write.value.clone().map(RawValue::from_string) {
                Some(Ok(value)) => put_text(key, value),
                _ => Change::Delete { key },
            };
            let unit = WriteUnit::ProtectionWindows {
                number: write.number,
                deleted: write.value.is_none(),
            };
            if transaction.is_full() || !transaction.add(unit, vec![unchanged], vec![change]) {
                self.protection_window_writes.push(write);
            }
        }
    }

    fn delete_garbage(&mut self, transaction: &mut TransactionBuilder) {
        while let Some(key) = self.obsolete_keys.pop_first() {
            let unit = WriteUnit::ObsoleteKey { key: key.clone() };
            let delete = Change::Delete { key: key.clone() };
            if transaction.is_full() || !transaction.add(unit, Vec::new(), vec![delete]) {
                self.obsolete_keys.insert(key);
                break;
            }
        }
    }

    /// Takes the units of the transaction in flight, which was answered or timed out.
    pub fn take_in_flight(&mut self) -> Vec<WriteUnit> {
        self.in_flight.take().unwrap_or_default()
    }

    /// Queues the units of a transaction again that was not, or may not have been, executed.
    pub fn requeue(&mut self, units: &[WriteUnit], now: Timestamp) {
        for unit in units {
            match unit {
                WriteUnit::Renewal | WriteUnit::ProtectionWindows { .. } => (),
                WriteUnit::Shards { shards, .. } => {
                    for shard in shards {
                        self.machine_shards.queue(shard.number);
                    }
                }
                WriteUnit::CompletedTasks { number, tasks } => {
                    self.completed_tasks.on_failed(*number, tasks, now)
                }
                WriteUnit::FinishJob { job } => {
                    self.jobs_to_finish.insert(job.clone());
                }
                WriteUnit::ScaleOutRequest { request } => {
                    self.launches_to_record.insert(request.clone());
                }
                WriteUnit::ObsoleteKey { key } => {
                    self.obsolete_keys.insert(key.clone());
                }
            }
        }
    }

    /// A renewal went unanswered, so it is unknown whether it was or will be executed.
    pub fn on_renewal_unanswered(&mut self) {
        self.unanswered_renewal = Some(self.token);
    }

    /// Whether the leader's key may have another version because this leader renewed it.
    pub fn may_have_renewed(&self) -> bool {
        self.unanswered_renewal == Some(self.token)
    }

    // ---- keys to be read again -----------------------------------------------

    /// The version of this key must be read again before anything else is written.
    pub fn queue_reread(&mut self, key: String) {
        self.rereads.add(key);
    }

    /// The next key whose version must be read, if no read is in flight.
    pub fn next_reread(&mut self, now: Timestamp) -> Option<String> {
        self.rereads.next(now)
    }

    /// The key was read.
    pub fn on_reread(&mut self, key: &str) {
        self.rereads.on_read(key);
    }

    /// The key could not be read; it is read again later.
    pub fn on_reread_failed(&mut self, key: String, now: Timestamp) {
        self.rereads.on_failed(key, now);
    }
}

fn write_finished_job(transaction: &mut TransactionBuilder, id: &JobId, job: &Job, wall_ms: u64) -> bool {
    let key = keys::job_key(&id.0);
    let access = Access::for_service(&authorization::job_owner(&job.spec));
    let ended = authorization::ended_job(&job.spec, wall_ms);
    let record = EndedJobRecord::done(Entry::finished(&access, &ended, job.execution_stats.clone()));
    let changes = vec![
        Change::Delete { key: key.clone() },
        put(keys::ended_job_key(&id.0), &record),
    ];
    let unchanged = Condition {
        key,
        version: job.version,
    };
    transaction.add(WriteUnit::FinishJob { job: id.clone() }, vec![unchanged], changes)
}

#[cfg(test)]
mod tests;
