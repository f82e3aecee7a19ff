//! The leader's writes: gathered in batches, one transaction under way at a time,
//! each guarded by the leader's key and by the versions of what it replaces, so
//! that a late one dies.

use crate::constants::*;
use crate::io::json;
use crate::leader::Rental;
use crate::ledger::Machine;
use crate::model::{Job, JobId, MachineId, Millis, TaskId};
use crate::records::{self, EndedRecord, Ending, Record};
use crate::settings::Settings;
use crate::wire::{Change, Condition, Transaction};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// One thing that a transaction writes.
#[derive(Debug, Clone, PartialEq)]
pub enum Unit {
    /// A new version of the leader's key, and so a higher token.
    Renewal,
    Machine {
        id: MachineId,
        planned: Vec<(TaskId, u64)>,
    },
    Done {
        job: JobId,
        chunk: u32,
        tasks: BTreeSet<u32>,
    },
    Finish {
        job: JobId,
    },
    Rental {
        request: String,
    },
    Garbage {
        key: String,
    },
}

impl Unit {
    /// Keys to read again when nobody knows whether the unit was written.
    pub fn keys(&self) -> Vec<String> {
        match self {
            Unit::Renewal => vec![records::LEADER.to_owned()],
            Unit::Machine { id, .. } => vec![records::machine_key(&id.0)],
            Unit::Done { job, chunk, .. } => vec![records::done_key(job, *chunk)],
            Unit::Finish { job } => vec![records::job_key(&job.0)],
            Unit::Rental { .. } | Unit::Garbage { .. } => Vec::new(),
        }
    }
}

#[derive(Debug)]
pub struct Writer {
    pub token: u64,
    in_flight: Option<Vec<Unit>>,
    pub retry_at: Millis,
    rereads: Vec<String>,
    rereading: bool,
    reread_at: Millis,
    /// Jobs all of whose tasks are done.
    pub finishing: BTreeSet<JobId>,
    /// Completed tasks that are not recorded yet.
    done: BTreeMap<(JobId, u32), BTreeSet<u32>>,
    pub done_versions: HashMap<(JobId, u32), u64>,
    /// Rentals to be recorded.
    pub rentals: BTreeSet<String>,
    /// Keys that nobody needs any more.
    pub garbage: BTreeSet<String>,
    /// Jobs recorded as done since this was last emptied.
    pub finished: Vec<JobId>,
    ended: HashMap<JobId, u64>,
}

/// A transaction being put together.
struct Batch {
    units: Vec<Unit>,
    body: Transaction,
    conditioned: BTreeSet<String>,
    bytes: usize,
    most_ops: usize,
    most_conditions: usize,
}

impl Batch {
    /// Adds a unit if it fits.
    fn add(&mut self, unit: Unit, conditions: Vec<Condition>, changes: Vec<Change>) -> bool {
        let conditions: Vec<Condition> = conditions
            .into_iter()
            .filter(|condition| !self.conditioned.contains(&condition.key))
            .collect();
        let bytes = json(&conditions).len() + json(&changes).len();
        let fits = self.body.changes.len() + changes.len() <= self.most_ops
            && self.body.conditions.len() + conditions.len() <= self.most_conditions
            && self.bytes + bytes <= TXN_BYTES;
        if fits {
            self.bytes += bytes;
            self.conditioned
                .extend(conditions.iter().map(|condition| condition.key.clone()));
            self.body.conditions.extend(conditions);
            self.body.changes.extend(changes);
            self.units.push(unit);
        }
        fits
    }
}

impl Writer {
    pub fn new(token: u64) -> Writer {
        Writer {
            token,
            in_flight: None,
            retry_at: 0,
            rereads: Vec::new(),
            rereading: false,
            reread_at: 0,
            finishing: BTreeSet::new(),
            done: BTreeMap::new(),
            done_versions: HashMap::new(),
            rentals: BTreeSet::new(),
            garbage: BTreeSet::new(),
            finished: Vec::new(),
            ended: HashMap::new(),
        }
    }

    /// A task is done and must be recorded before its worker forgets it.
    pub fn done(&mut self, job: &JobId, task: u32) {
        self.done
            .entry((job.clone(), records::chunk_of(task)))
            .or_default()
            .insert(task);
    }

    pub fn ready(&self, now: Millis) -> bool {
        self.in_flight.is_none() && self.rereads.is_empty() && now >= self.retry_at
    }

    /// Writes fail: planning more starts would only pile them up.
    pub fn stalled(&self, now: Millis) -> bool {
        now < self.retry_at || !self.rereads.is_empty()
    }

    /// A job is over; nothing of it will be written any more.
    pub fn job_over(&mut self, id: &JobId, job: &Job) {
        self.ended.insert(id.clone(), job.version);
        self.finishing.remove(id);
        self.done.retain(|(other, _), _| other != id);
        let chunks: Vec<u32> = self
            .done_versions
            .keys()
            .filter(|(other, _)| other == id)
            .map(|(_, chunk)| *chunk)
            .collect();
        for chunk in chunks {
            self.done_versions.remove(&(id.clone(), chunk));
            self.garbage.insert(records::done_key(id, chunk));
        }
    }

    /// Version of a job's record when it ended here, so that a late notice of its
    /// acceptance does not bring it back.
    pub fn ended_at(&self, id: &JobId) -> u64 {
        self.ended.get(id).copied().unwrap_or(0)
    }

    pub fn machine_gone(&mut self, id: &MachineId, version: u64) {
        if version > 0 || self.in_flight.is_some() {
            self.garbage.insert(records::machine_key(&id.0));
        }
    }

    fn leader_condition(&self) -> Condition {
        Condition {
            key: records::LEADER.to_owned(),
            version: self.token,
        }
    }

    pub fn renewal(&mut self, renewal: Change) -> Vec<u8> {
        self.in_flight = Some(vec![Unit::Renewal]);
        json(&Transaction {
            conditions: vec![self.leader_condition()],
            changes: vec![renewal],
        })
    }

    /// Puts the next transaction together and counts it as under way.
    pub(crate) fn batch(
        &mut self,
        most_ops: usize,
        settings: &Settings,
        machines: &mut BTreeMap<MachineId, Machine>,
        jobs: &BTreeMap<JobId, Job>,
        rentals: &BTreeMap<String, Rental>,
    ) -> Option<(Vec<u8>, usize)> {
        if most_ops == 0 {
            return None;
        }
        let leader = self.leader_condition();
        let mut batch = Batch {
            units: Vec::new(),
            conditioned: BTreeSet::from([leader.key.clone()]),
            bytes: json(&leader).len() + 64,
            body: Transaction {
                conditions: vec![leader],
                changes: Vec::new(),
            },
            most_ops,
            most_conditions: 4 * settings.deployment.state.txn_ops,
        };
        self.add_finished(&mut batch, jobs);
        self.add_machines(&mut batch, settings, machines, jobs);
        for request in std::mem::take(&mut self.rentals) {
            let Some(rental) = rentals.get(&request) else {
                continue;
            };
            let change = Change::Put {
                key: records::rental_key(&request),
                value: rental.request.to_value(),
                lease: None,
            };
            if !batch.add(
                Unit::Rental {
                    request: request.clone(),
                },
                Vec::new(),
                vec![change],
            ) {
                self.rentals.insert(request);
            }
        }
        self.add_done(&mut batch, jobs);
        for key in std::mem::take(&mut self.garbage) {
            if !batch.add(
                Unit::Garbage { key: key.clone() },
                Vec::new(),
                vec![Change::Delete { key: key.clone() }],
            ) {
                self.garbage.insert(key);
            }
        }
        if batch.units.is_empty() {
            return None;
        }
        self.in_flight = Some(batch.units);
        Some((json(&batch.body), batch.body.changes.len()))
    }

    /// A done job moves to the ended ones in one transaction, so that done and
    /// cancelled exclude each other.
    fn add_finished(&mut self, batch: &mut Batch, jobs: &BTreeMap<JobId, Job>) {
        for id in std::mem::take(&mut self.finishing) {
            let Some(job) = jobs.get(&id) else { continue };
            let key = records::job_key(&id.0);
            let record = EndedRecord {
                end: Ending::Done,
                tasks: job.spec.tasks,
            };
            let changes = vec![
                Change::Delete { key: key.clone() },
                Change::Put {
                    key: records::ended_key(&id.0),
                    value: record.to_value(),
                    lease: None,
                },
            ];
            if !batch.add(
                Unit::Finish { job: id.clone() },
                vec![Condition {
                    key,
                    version: job.version,
                }],
                changes,
            ) {
                self.finishing.insert(id);
            }
        }
    }

    fn add_machines(
        &mut self,
        batch: &mut Batch,
        settings: &Settings,
        machines: &mut BTreeMap<MachineId, Machine>,
        jobs: &BTreeMap<JobId, Job>,
    ) {
        let most_bytes = (settings.deployment.state.value_kb * 1024.0) as usize;
        for machine in machines.values_mut().filter(|machine| machine.dirty) {
            let planned: Vec<(TaskId, u64)> = machine
                .attempts
                .iter()
                .filter(|attempt| !attempt.durable)
                .map(|attempt| (attempt.task.clone(), attempt.number))
                .collect();
            let key = records::machine_key(&machine.id.0);
            let mut conditions = vec![Condition {
                key: key.clone(),
                version: machine.version,
            }];
            // A start is recorded only while its job is live.
            let live: BTreeSet<&JobId> = planned.iter().map(|(task, _)| &task.job).collect();
            for id in live {
                let version = jobs.get(id).map_or(0, |job| job.version);
                conditions.push(Condition {
                    key: records::job_key(&id.0),
                    version,
                });
            }
            let value = machine.record().to_value();
            if json(&value).len() > most_bytes {
                log::error!("machine={} has too many tasks for its record", machine.id);
                continue;
            }
            let change = Change::Put {
                key,
                value,
                lease: None,
            };
            if batch.add(
                Unit::Machine {
                    id: machine.id.clone(),
                    planned,
                },
                conditions,
                vec![change],
            ) {
                machine.dirty = false;
            }
        }
    }

    fn add_done(&mut self, batch: &mut Batch, jobs: &BTreeMap<JobId, Job>) {
        for ((id, chunk), tasks) in std::mem::take(&mut self.done) {
            let Some(job) = jobs.get(&id) else { continue };
            if job.complete() {
                // Its end is recorded instead.
                continue;
            }
            let key = records::done_key(&id, chunk);
            let version = self.done_versions.get(&(id.clone(), chunk)).copied().unwrap_or(0);
            let conditions = vec![
                Condition {
                    key: key.clone(),
                    version,
                },
                Condition {
                    key: records::job_key(&id.0),
                    version: job.version,
                },
            ];
            let change = Change::Put {
                key,
                value: records::encode_done(&job.done, chunk),
                lease: None,
            };
            if !batch.add(
                Unit::Done {
                    job: id.clone(),
                    chunk,
                    tasks: tasks.clone(),
                },
                conditions,
                vec![change],
            ) {
                self.done.insert((id, chunk), tasks);
            }
        }
    }

    pub fn take_batch(&mut self) -> Vec<Unit> {
        self.in_flight.take().unwrap_or_default()
    }

    /// The transaction was not, or may not have been, carried out: its units are
    /// written again.
    pub fn failed(&mut self, units: &[Unit], machines: &mut BTreeMap<MachineId, Machine>) {
        for unit in units {
            match unit {
                Unit::Renewal => (),
                Unit::Machine { id, .. } => {
                    if let Some(machine) = machines.get_mut(id) {
                        machine.dirty = true;
                    }
                }
                Unit::Done { job, chunk, tasks } => {
                    self.done.entry((job.clone(), *chunk)).or_default().extend(tasks)
                }
                Unit::Finish { job } => {
                    self.finishing.insert(job.clone());
                }
                Unit::Rental { request } => {
                    self.rentals.insert(request.clone());
                }
                Unit::Garbage { key } => {
                    self.garbage.insert(key.clone());
                }
            }
        }
    }

    pub fn reread(&mut self, key: String) {
        if !self.rereads.contains(&key) {
            self.rereads.push(key);
        }
    }

    /// The next key whose version must be read, if none is being read.
    pub fn next_reread(&mut self, now: Millis) -> Option<String> {
        if self.rereading || now < self.reread_at {
            return None;
        }
        let key = self.rereads.first().cloned()?;
        self.rereading = true;
        Some(key)
    }

    pub fn reread_done(&mut self, key: &str) {
        self.rereading = false;
        self.rereads.retain(|other| other != key);
    }

    pub fn reread_failed(&mut self, key: String, now: Millis) {
        self.rereading = false;
        self.reread_at = now + WRITE_RETRY_MS;
        self.reread(key);
    }
}
