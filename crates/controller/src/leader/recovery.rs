//! Recovery at the start of a term: the records are read prefix by prefix and page by page, and
//! what they say of jobs, machines and scale-out requests is taken over. Before that is complete,
//! the leader knows nothing and orders nothing.

use super::LeaderTerm;
use super::calls::TermCall;
use crate::allocations::{Machine, Stop};
use crate::condor;
use crate::constants::{STATE_PAGE_ITEMS, WRITE_RETRY_MS};
use crate::election::{Election, ElectionEvent};
use crate::io::{Io, Outcome};
use crate::model::{Job, JobSpec, Timestamp};
use crate::protocol::{RentalRequest, Shape, StoredItem, StoredPage, paths};
use crate::scheduling::gangs::GangAttempt;
use crate::settings::Settings;
use crate::storage::records::{self, DoneRecord, Record, RecordError, ShardRecord};
use indigopath_counted_resources::{LingerEntry, LingerSet};
use std::collections::BTreeSet;

/// Prefixes in the order of their reading. The records of protection windows come last: they are
/// read only where there are some.
const LOAD_ORDER: [&str; 5] = [
    records::JOBS,
    records::DONE,
    records::SHARDS,
    records::RENTALS,
    records::SHIFTS,
];

/// Whether the records have been read in this term, and else how far.
#[derive(Debug)]
pub(super) struct Recovery {
    /// `None` once all of them are read.
    load: Option<Load>,
}

/// A reading of the records under way.
#[derive(Debug, Default)]
struct Load {
    /// Index into [`LOAD_ORDER`].
    prefix: usize,
    after: Option<String>,
    in_flight: bool,
    retry_at: Timestamp,
    items: Vec<StoredItem>,
    begun: Option<Beginning>,
}

/// The first page of jobs.
#[derive(Debug, Clone, Copy, Default)]
struct Beginning {
    revision: u64,
    /// When it was asked for: no job that ended before that is in it.
    asked_at: Timestamp,
}

/// All that was read.
struct Loaded {
    items: Vec<StoredItem>,
    begun: Beginning,
}

impl Recovery {
    /// Nothing is read yet.
    pub(super) fn new() -> Recovery {
        Recovery {
            load: Some(Load::default()),
        }
    }

    /// Whether all records have been read.
    pub(super) fn is_complete(&self) -> bool {
        self.load.is_none()
    }

    /// The path of the next page, if a call is due; it counts as sent.
    fn next_call(&mut self, now: Timestamp) -> Option<String> {
        let load = self.load.as_mut()?;
        if load.in_flight || now < load.retry_at {
            return None;
        }
        load.in_flight = true;
        Some(paths::page(
            LOAD_ORDER[load.prefix],
            load.after.as_deref(),
            STATE_PAGE_ITEMS,
        ))
    }

    /// Takes in a page; returns all of them after the last of so many prefixes.
    fn page_read(
        &mut self,
        page: Option<StoredPage>,
        asked_at: Timestamp,
        prefixes: usize,
        now: Timestamp,
    ) -> Option<Loaded> {
        let load = self.load.as_mut()?;
        load.in_flight = false;
        let Some(page) = page else {
            load.retry_at = now + WRITE_RETRY_MS;
            return None;
        };
        load.begun.get_or_insert(Beginning {
            revision: page.revision,
            asked_at,
        });
        load.after = page.items.last().map(|item| item.key.clone());
        let more = page.has_more && load.after.is_some();
        load.items.extend(page.items);
        if !more {
            load.after = None;
            load.prefix += 1;
        }
        if load.prefix != prefixes {
            return None;
        }
        let load = self.load.take()?;
        Some(Loaded {
            items: load.items,
            begun: load.begun.unwrap_or_default(),
        })
    }
}

impl LeaderTerm {
    /// Asks for the next page of records, if no call is under way.
    pub(super) fn poll_load(&mut self, io: &mut Io) {
        if let Some(path) = self.recovery.next_call(io.now) {
            self.read_state(path, TermCall::Load { sent: io.now }, io);
        }
    }

    /// Follows a page of records, and begins the work of the term after the last.
    pub(super) fn loaded(
        &mut self,
        sent: Timestamp,
        outcome: &Outcome,
        election: &mut Election,
        settings: &Settings,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        let prefixes = LOAD_ORDER.len() - usize::from(!self.shifts.is_enabled());
        let page = outcome.read::<StoredPage>(&[200]);
        let loaded = self.recovery.page_read(page, sent, prefixes, io.now)?;
        if let Err(problem) = self.adopt_records(loaded, settings, io) {
            // Starts may stand there that nobody here can know of.
            log::error!("leadership declined: {problem}");
            return election.hand_over("a later build's records", io);
        }
        log::info!(
            "records loaded jobs={} machines={}",
            self.jobs.len(),
            self.machines.len()
        );
        None
    }

    fn adopt_records(&mut self, loaded: Loaded, settings: &Settings, io: &mut Io) -> Result<(), RecordError> {
        self.watch.start_at(loaded.begun.revision);
        for item in loaded.items {
            match self.adopt_record(&item, settings, io) {
                Ok(()) => (),
                Err(problem @ RecordError::Later(_)) => return Err(problem),
                Err(problem) => log::error!("record ignored key={}: {problem}", item.key),
            }
        }
        self.update_all_parked();
        self.machines.reindex(io.now);
        self.join_attempts_and_jobs(io.now);
        self.watermark.advance(loaded.begun.asked_at);
        Ok(())
    }

    /// Completes what the records of machines say of attempts by what their jobs say, and stops
    /// attempts of jobs that are over.
    fn join_attempts_and_jobs(&mut self, now: Timestamp) {
        for machine in self.machines.values_mut() {
            for attempt in &mut machine.attempts {
                let Some(job) = self.jobs.get_mut(&attempt.task.job) else {
                    attempt.stop = Some(Stop::asked(0.0, now));
                    continue;
                };
                job.account.attempt();
                job.waiting.remove(&attempt.task.index);
                attempt.image = Some(job.spec.image.clone());
                attempt.image_gb = job.spec.image_gb;
                attempt.estimate_s = job.spec.estimate_s;
                if job.spec.shape == Shape::Gang {
                    attempt.is_idempotent_restart = true;
                    // Whether it has started is not recorded: the reports
                    // tell, and until then nothing joins it.
                    let gang = job.gang.get_or_insert(GangAttempt {
                        started: true,
                        ..GangAttempt::new(attempt.number)
                    });
                    gang.number = gang.number.max(attempt.number);
                }
            }
        }
    }

    fn adopt_record(
        &mut self,
        item: &StoredItem,
        settings: &Settings,
        io: &mut Io,
    ) -> Result<(), RecordError> {
        if let Some(cluster) = condor::parse_open(&item.key) {
            self.on_cluster_open(cluster, &item.value, item.version)
        } else if item.key.starts_with(records::JOBS) {
            self.adopt_job(item, io)
        } else if let Some(number) = records::parse_number(records::DONE, &item.key) {
            self.adopt_done(number, item)
        } else if let Some(number) = records::parse_number(records::SHARDS, &item.key) {
            self.adopt_shard(number, item, settings, io)
        } else if let Some(number) = records::parse_number(records::SHIFTS, &item.key) {
            self.restore_protection_windows(number, item, io);
            Ok(())
        } else if item.key.starts_with(records::RENTALS) {
            self.autoscaler
                .adopt_request(RentalRequest::from_value(&item.value)?);
            Ok(())
        } else {
            Ok(())
        }
    }

    fn adopt_job(&mut self, item: &StoredItem, io: &Io) -> Result<(), RecordError> {
        let mut spec = JobSpec::from_value(&item.value)?;
        self.intern_spec(&mut spec);
        self.jobs.insert(Job::new(spec, item.version, io.now, io.wall_ms));
        Ok(())
    }

    /// Takes over which tasks are done, as one record of several jobs' has it.
    fn adopt_done(&mut self, number: u32, item: &StoredItem) -> Result<(), RecordError> {
        self.writer.done_read(number, item.version);
        for (name, bitmap) in DoneRecord::from_value(&item.value)?.0 {
            let Some((job, chunk)) = records::parse_chunk_name(&name) else {
                continue;
            };
            // Jobs that are over may stand there still.
            let Some(live) = self.jobs.get_mut(job) else {
                continue;
            };
            // Many jobs share a record: what one cannot read of itself costs no other its results.
            let mut done = BTreeSet::new();
            if let Err(problem) = records::decode_done(&bitmap, chunk, &mut done) {
                log::error!("record part ignored part={name} key={}: {problem}", item.key);
                continue;
            }
            live.done.append(&mut done);
            live.done.split_off(&live.spec.tasks);
            live.waiting.retain(|task| !live.done.contains(task));
            let id = live.spec.id.clone();
            if live.complete() {
                self.writer.finishing.insert(id.clone());
            }
            let bytes = records::chunk_bytes(live.spec.tasks);
            self.writer.join_done((id, chunk), bytes, number);
        }
        Ok(())
    }

    /// Takes over the machines of one shard, with the attempts on them and the units that linger.
    fn adopt_shard(
        &mut self,
        number: u32,
        item: &StoredItem,
        settings: &Settings,
        io: &Io,
    ) -> Result<(), RecordError> {
        let shard = ShardRecord::from_value(&item.value)?;
        let definitions = &settings.operator.counts;
        let lingers = LingerSet::from_record(
            shard.lingers().iter().cloned(),
            io.now,
            io.wall_ms,
            settings.deployment.clock_skew_ms as u64,
            |count| {
                definitions
                    .get(count)
                    .map_or(0, |definition| definition.linger_ms())
            },
        );
        let recorded = shard.lingers().iter();
        let recorded: u64 = recorded
            .map(|LingerEntry(_, _, units, _)| u64::from(*units))
            .sum();
        let left: u64 = lingers.iter().map(|linger| u64::from(linger.units)).sum();
        let spent = left < recorded;
        self.writer.linger_read(number, item.version, lingers, spent);
        let clock_off_ms = settings.deployment.clock_skew_ms as u64;
        for released in shard.released() {
            self.restore_released_machine(number, released, clock_off_ms, io);
        }
        for record in shard.machines()? {
            let mut machine = Machine::from_record(&record, io.now);
            for attempt in &mut machine.attempts {
                self.intern_demand(&mut attempt.counts);
            }
            self.writer.join(&mut machine, number, item.version);
            self.machines.insert(machine);
        }
        Ok(())
    }
}
