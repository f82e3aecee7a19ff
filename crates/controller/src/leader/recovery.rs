//! Recovery at the start of a term: the leader reads the records prefix by prefix and page by page, and
//! restores jobs, machines and scale-out requests from them. Until recovery is complete, the leader sends
//! no commands.

use super::LeaderTerm;
use super::calls::TermCall;
use crate::allocations::{Machine, Stop};
use crate::condor;
use crate::constants::{STATE_PAGE_ITEMS, WRITE_RETRY_MS};
use crate::election::{Election, ElectionEvent};
use crate::io::{Io, Outcome};
use crate::model::{Job, JobSpec, Timestamp};
use crate::protocol::{LaunchRequest, Shape, StoredItem, StoredPage, paths};
use crate::scheduling::gangs::GangAttempt;
use crate::settings::Settings;
use crate::storage::records::{self, CompletedTasksRecord, Record, RecordError, ShardRecord};
use indigopath_counted_resources::{LingerEntry, LingerSet};
use std::collections::BTreeSet;

/// Key prefixes in the order in which they are read. The records of protection windows come last, as they
/// are read only if windows are configured.
const LOAD_ORDER: [&str; 5] = [
    records::JOB_PREFIX,
    records::COMPLETED_TASKS_PREFIX,
    records::SHARD_PREFIX,
    records::LAUNCH_PREFIX,
    records::PROTECTION_WINDOWS_PREFIX,
];

/// Progress of the recovery.
#[derive(Debug)]
pub(super) struct Recovery {
    /// `None` once all records have been read.
    load: Option<Load>,
}

/// An unfinished read of the records.
#[derive(Debug, Default)]
struct Load {
    /// Index into [`LOAD_ORDER`].
    prefix_index: usize,
    after: Option<String>,
    in_flight: bool,
    retry_at: Timestamp,
    items: Vec<StoredItem>,
    first_page: Option<FirstPage>,
}

/// The state of the first page, at which the record watch and the cancellation watermark start.
#[derive(Debug, Clone, Copy, Default)]
struct FirstPage {
    revision: u64,
    /// When the page was requested. It contains no job that ended before that.
    asked_at: Timestamp,
}

/// All records, once they have been read.
struct LoadedRecords {
    items: Vec<StoredItem>,
    first_page: FirstPage,
}

impl Recovery {
    /// Starts a recovery; nothing has been read yet.
    pub(super) fn new() -> Recovery {
        Recovery {
            load: Some(Load::default()),
        }
    }

    /// Whether all records have been read.
    pub(super) fn is_complete(&self) -> bool {
        self.load.is_none()
    }

    /// Returns the path of the next page if a call is due, and marks the call as sent.
    fn next_call(&mut self, now: Timestamp) -> Option<String> {
        let load = self.load.as_mut()?;
        if load.in_flight || now < load.retry_at {
            return None;
        }
        load.in_flight = true;
        Some(paths::page(
            LOAD_ORDER[load.prefix_index],
            load.after.as_deref(),
            STATE_PAGE_ITEMS,
        ))
    }

    /// Adds a page. Returns all records once `prefix_count` prefixes have been read.
    fn add_page(
        &mut self,
        page: Option<StoredPage>,
        asked_at: Timestamp,
        prefix_count: usize,
        now: Timestamp,
    ) -> Option<LoadedRecords> {
        let load = self.load.as_mut()?;
        load.in_flight = false;
        let Some(page) = page else {
            load.retry_at = now + WRITE_RETRY_MS;
            return None;
        };
        load.first_page.get_or_insert(FirstPage {
            revision: page.revision,
            asked_at,
        });
        load.after = page.items.last().map(|item| item.key.clone());
        let more = page.has_more && load.after.is_some();
        load.items.extend(page.items);
        if !more {
            load.after = None;
            load.prefix_index += 1;
        }
        if load.prefix_index != prefix_count {
            return None;
        }
        let load = self.load.take()?;
        Some(LoadedRecords {
            items: load.items,
            first_page: load.first_page.unwrap_or_default(),
        })
    }
}

impl LeaderTerm {
    /// Requests the next page of records, unless a call is in flight.
    pub(super) fn poll_recovery(&mut self, io: &mut Io) {
        if let Some(path) = self.recovery.next_call(io.now) {
            self.read_state(path, TermCall::RecordsPage { sent: io.now }, io);
        }
    }

    /// Handles a page of records, and restores the state after the last page.
    pub(super) fn handle_records_page(
        &mut self,
        sent: Timestamp,
        outcome: &Outcome,
        election: &mut Election,
        settings: &Settings,
        io: &mut Io,
    ) -> Option<ElectionEvent> {
        let prefix_count = LOAD_ORDER.len() - usize::from(!self.protection_windows.is_enabled());
        let page = outcome.read::<StoredPage>(&[200]);
        if page.is_some() {
            self.watermark.note_progress(sent);
        }
        let loaded = self.recovery.add_page(page, sent, prefix_count, io.now)?;
        if let Err(error) = self.adopt_records(loaded, settings, io) {
            // The records may contain starts that this version cannot read.
            log::error!("leadership declined: {error}");
            return election.hand_over("records of a later version", io);
        }
        log::info!(
            "records loaded jobs={} machines={}",
            self.jobs.len(),
            self.machines.len()
        );
        None
    }

    fn adopt_records(
        &mut self,
        loaded: LoadedRecords,
        settings: &Settings,
        io: &mut Io,
    ) -> Result<(), RecordError> {
        self.watch.start_at(loaded.first_page.revision);
        for item in loaded.items {
            match self.adopt_record(&item, settings, io) {
                Ok(()) => (),
                Err(error @ RecordError::NewerFormat(_)) => return Err(error),
                Err(error) => log::error!("record ignored key={}: {error}", item.key),
            }
        }
        self.update_all_parked();
        self.machines.reindex(io.now);
        self.link_attempts_to_jobs(io.now);
        self.watermark.advance(loaded.first_page.asked_at);
        Ok(())
    }

    /// Completes attempts restored from machine records with the data of their jobs, and stops attempts of
    /// jobs that have ended.
    fn link_attempts_to_jobs(&mut self, now: Timestamp) {
        for machine in self.machines.values_mut() {
            for attempt in &mut machine.attempts {
                let Some(job) = self.jobs.get_mut(&attempt.task.job) else {
                    attempt.stop = Some(Stop::requested(0.0, now));
                    continue;
                };
                job.execution_stats.record_attempt();
                job.waiting.remove(&attempt.task.index);
                attempt.image = Some(job.spec.image.clone());
                attempt.image_gb = job.spec.image_gb;
                attempt.estimate_s = job.spec.estimate_s;
                if job.spec.shape == Shape::Gang {
                    attempt.is_idempotent_restart = true;
                    // Whether the gang has started is not recorded. It counts as started until its
                    // workers report, so that no replacement joins it.
                    let gang = job.gang.get_or_insert(GangAttempt {
                        started: true,
                        ..GangAttempt::new(attempt.number)
                    });
                    gang.number = gang.number.max(attempt.number);
                }
            }
        }
    }

    /// Restores state from one record, by the prefix of its key.
    fn adopt_record(
        &mut self,
        item: &StoredItem,
        settings: &Settings,
        io: &mut Io,
    ) -> Result<(), RecordError> {
        if let Some(cluster) = condor::parse_open_key(&item.key) {
            self.on_cluster_open(cluster, &item.value, item.version)
        } else if item.key.starts_with(records::JOB_PREFIX) {
            self.adopt_job(item, io)
        } else if let Some(number) = records::parse_numbered_key(records::COMPLETED_TASKS_PREFIX, &item.key) {
            self.adopt_completed_tasks(number, item)
        } else if let Some(number) = records::parse_numbered_key(records::SHARD_PREFIX, &item.key) {
            self.adopt_shard(number, item, settings, io)
        } else if let Some(number) =
            records::parse_numbered_key(records::PROTECTION_WINDOWS_PREFIX, &item.key)
        {
            self.restore_protection_windows(number, item, io);
            Ok(())
        } else if item.key.starts_with(records::LAUNCH_PREFIX) {
            self.autoscaler
                .adopt_request(LaunchRequest::from_value(&item.value)?);
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

    /// Restores which tasks are done, from a record shared by several jobs.
    fn adopt_completed_tasks(&mut self, number: u32, item: &StoredItem) -> Result<(), RecordError> {
        self.writer.load_completed_tasks_version(number, item.version);
        for (name, bitmap) in CompletedTasksRecord::from_value(&item.value)?.0 {
            let Some((job_id, chunk)) = records::parse_chunk_key(&name) else {
                continue;
            };
            // The record may still contain jobs that have ended.
            let Some(job) = self.jobs.get_mut(job_id) else {
                continue;
            };
            // Many jobs share a record: an unreadable part must not cost the other jobs their results.
            let mut done = BTreeSet::new();
            if let Err(error) = records::decode_completed_tasks(&bitmap, chunk, &mut done) {
                log::error!("record part ignored part={name} key={}: {error}", item.key);
                continue;
            }
            job.done.append(&mut done);
            job.done.split_off(&job.spec.tasks);
            job.waiting.retain(|task| !job.done.contains(task));
            let id = job.spec.id.clone();
            if job.is_complete() {
                self.writer.jobs_to_finish.insert(id.clone());
            }
            let bytes = records::max_chunk_bytes(job.spec.tasks);
            self.writer.assign_chunk((id, chunk), bytes, number);
        }
        Ok(())
    }

    /// Restores the machines of one shard, with their attempts, and the units that linger.
    fn adopt_shard(
        &mut self,
        number: u32,
        item: &StoredItem,
        settings: &Settings,
        io: &Io,
    ) -> Result<(), RecordError> {
        let shard = ShardRecord::from_value(&item.value)?;
        let definitions = &settings.operator.counted_resources;
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
        let remaining: u64 = lingers.iter().map(|linger| u64::from(linger.units)).sum();
        let some_expired = remaining < recorded;
        self.writer.load_shard_size(number, item.value.to_string().len());
        self.writer
            .load_lingers(number, item.version, lingers, some_expired);
        let clock_skew_ms = settings.deployment.clock_skew_ms as u64;
        for released in shard.released() {
            self.restore_released_machine(number, released, clock_skew_ms, io);
        }
        for record in shard.machines()? {
            let mut machine = Machine::from_record(&record, io.now);
            for attempt in &mut machine.attempts {
                self.intern_demand(&mut attempt.counts);
            }
            self.writer.assign_shard(&mut machine, number, item.version);
            self.machines.insert(machine);
        }
        Ok(())
    }
}
