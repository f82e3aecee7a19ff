//! Encoder of a shard's stored form, in which each text and each job is listed once.

use super::stored::{JobEntry, MachineEntry, StartEntry};
use super::{MachineRecord, ReleasedMachine, SHARD_FORMAT, ShardRecord, StartRecord};
use crate::model::JobId;
use indigopath_counted_resources::LingerEntry;
use serde::Serialize;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;

/// Size of the brackets and the name of a list that is only written if it is not empty.
const OPTIONAL_LIST_BYTES: usize = 16;

/// A shard's record under construction, with an upper bound of the size of its text.
#[derive(Debug)]
pub struct ShardEncoder {
    shard: ShardRecord,
    text_positions: HashMap<Arc<str>, usize>,
    job_positions: HashMap<JobKey, usize>,
    bytes: usize,
}

/// What the starts of one listed job have in common.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct JobKey {
    job: JobId,
    team: Arc<str>,
    /// Completed tasks hold no units, next to others of their job that do.
    holds_units: bool,
}

impl JobKey {
    fn of(start: &StartRecord) -> JobKey {
        JobKey {
            job: start.job.clone(),
            team: start.team.clone(),
            holds_units: !start.counts.is_empty(),
        }
    }
}

/// The lengths of the lists before a start was added.
#[derive(Debug, Clone, Copy)]
struct ListLengths {
    names: usize,
    jobs: usize,
    counts: usize,
    bytes: usize,
}

impl ShardEncoder {
    /// A record with these lingering units and released machines, and no machine yet.
    pub fn new(lingers: Vec<LingerEntry>, released: Vec<ReleasedMachine>) -> ShardEncoder {
        let shard = ShardRecord {
            format: SHARD_FORMAT,
            lingers,
            released,
            ..ShardRecord::default()
        };
        ShardEncoder {
            bytes: json_bytes(&shard),
            shard,
            text_positions: HashMap::new(),
            job_positions: HashMap::new(),
        }
    }

    /// Adds a machine with its starts, whatever size the record gets.
    pub fn add_machine(&mut self, machine: &MachineRecord) {
        let machine_type = self.text_position(&machine.machine_type);
        let zone = self.text_position(&machine.zone);
        let images = machine
            .images
            .iter()
            .map(|(image, gb)| (self.text_position(image), *gb))
            .collect();
        let entry = MachineEntry {
            name: machine.name.clone(),
            machine_type,
            zone,
            spot: machine.spot,
            releasing: machine.releasing,
            addr: machine.addr.clone(),
            images,
            starts: Vec::new(),
        };
        self.bytes += element_bytes(&entry);
        self.shard.machines.push(entry);
        for start in &machine.starts {
            self.push_start(start);
        }
    }

    /// Adds a start to the machine at this position unless the record would become larger than `max_bytes`. Returns
    /// whether it was added.
    pub fn try_add_start(&mut self, machine: usize, start: &StartRecord, max_bytes: usize) -> bool {
        let before = self.list_lengths();
        let entry = self.start_entry(start);
        if self.bytes > max_bytes {
            self.remove_new_entries(before, start);
            return false;
        }
        match self.shard.machines.get_mut(machine) {
            Some(machine) => machine.starts.push(entry),
            None => return false,
        }
        true
    }

    /// Upper bound of the size of the record's text.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The record.
    pub fn into_record(self) -> ShardRecord {
        self.shard
    }

    /// Adds a start to the machine that was added last.
    fn push_start(&mut self, start: &StartRecord) {
        let entry = self.start_entry(start);
        if let Some(machine) = self.shard.machines.last_mut() {
            machine.starts.push(entry);
        }
    }

    fn start_entry(&mut self, start: &StartRecord) -> StartEntry {
        let entry = StartEntry {
            job: self.job_position(start),
            index: start.index,
            attempt: start.attempt,
        };
        self.bytes += element_bytes(&entry);
        entry
    }

    fn job_position(&mut self, start: &StartRecord) -> usize {
        // The team is listed first, even if the job is listed already.
        let team = self.text_position(&start.team);
        let key = JobKey::of(start);
        if let Some(position) = self.job_positions.get(&key) {
            return *position;
        }
        let position = self.shard.jobs.len();
        let entry = JobEntry {
            job: start.job.clone(),
            team,
            needs: start.needs,
        };
        self.bytes += element_bytes(&entry);
        self.shard.jobs.push(entry);
        if !start.counts.is_empty() {
            let counts = (position, start.counts.clone());
            self.bytes += element_bytes(&counts) + OPTIONAL_LIST_BYTES;
            self.shard.counts.push(counts);
        }
        self.job_positions.insert(key, position);
        position
    }

    fn text_position(&mut self, text: &str) -> usize {
        if let Some(position) = self.text_positions.get(text) {
            return *position;
        }
        let position = self.shard.names.len();
        let text: Arc<str> = Arc::from(text);
        self.bytes += element_bytes(&text);
        self.shard.names.push(text.clone());
        self.text_positions.insert(text, position);
        position
    }

    fn list_lengths(&self) -> ListLengths {
        ListLengths {
            names: self.shard.names.len(),
            jobs: self.shard.jobs.len(),
            counts: self.shard.counts.len(),
            bytes: self.bytes,
        }
    }

    /// Removes the entries that a start has added to the lists.
    fn remove_new_entries(&mut self, before: ListLengths, start: &StartRecord) {
        for text in self.shard.names.drain(before.names..) {
            self.text_positions.remove(&text);
        }
        if self.shard.jobs.len() > before.jobs {
            self.shard.jobs.truncate(before.jobs);
            self.job_positions.remove(&JobKey::of(start));
        }
        self.shard.counts.truncate(before.counts);
        self.bytes = before.bytes;
    }
}

/// Size of an element of a list, with the comma after it.
fn element_bytes(element: &impl Serialize) -> usize {
    json_bytes(element) + 1
}

/// Size of a value's text.
fn json_bytes(value: &impl Serialize) -> usize {
    let mut counter = ByteCounter(0);
    // Counting cannot fail, and the records are plain data.
    let _ = serde_json::to_writer(&mut counter, value);
    counter.0
}

/// Counts the bytes that are written to it.
struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
