//! Shards: records of what may be running on each of many machines.
//!
//! The stored form lists texts and jobs once and refers to them by position, and encodes its
//! entries as JSON arrays, because a value has little space (`value_kb`).

mod encoder;
mod stored;

use super::RecordError;
use crate::model::{JobId, Resources};
pub use encoder::ShardEncoder;
use indigopath_counted_resources::{Demand, LingerEntry};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use stored::{JobEntry, MachineEntry, StartEntry};

/// A start that was or may have been sent to a machine. It contains team and needs because the job
/// itself may have ended and its record be deleted while the task still uses its team's quota.
#[derive(Debug, Clone, PartialEq)]
pub struct StartRecord {
    pub job: JobId,
    /// Index of the task in its job.
    pub index: u32,
    pub attempt: u64,
    pub team: Arc<str>,
    /// Resources of its machine that the task takes.
    pub needs: Resources,
    /// Units of counted resources that it holds.
    pub counts: Demand,
}

/// A machine and the starts that may be on it.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineRecord {
    pub name: Arc<str>,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Address of its worker, once known.
    pub addr: Option<String>,
    pub starts: Vec<StartRecord>,
    /// Images that it presumably holds, with their size in GB, the most recently used last.
    pub images: Vec<(Arc<str>, f64)>,
    /// It is being released, and nothing may be placed on it.
    pub releasing: bool,
}

/// A released machine whose clients a licence server may still list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(Arc<str>, u64)", into = "(Arc<str>, u64)")]
pub struct ReleasedMachine {
    pub name: Arc<str>,
    /// Until when, as wall-clock time in ms since 1970.
    pub until_ms: u64,
}

impl From<(Arc<str>, u64)> for ReleasedMachine {
    fn from((name, until_ms): (Arc<str>, u64)) -> ReleasedMachine {
        ReleasedMachine { name, until_ms }
    }
}

impl From<ReleasedMachine> for (Arc<str>, u64) {
    fn from(machine: ReleasedMachine) -> (Arc<str>, u64) {
        (machine.name, machine.until_ms)
    }
}

/// The record of a shard.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Format of the record. The first, without this field, had no counted resources.
    #[serde(rename = "v", default = "first_format")]
    pub(super) format: u16,
    /// Texts that entries refer to: types, zones, teams and images.
    names: Vec<Arc<str>>,
    jobs: Vec<JobEntry>,
    machines: Vec<MachineEntry>,
    /// Jobs whose tasks hold units of counted resources, by position.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    counts: Vec<(usize, Demand)>,
    /// Lingering units of attempts that were in this shard.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    lingers: Vec<LingerEntry>,
    /// Released machines that were in this shard. Builds that do not know the field omit it;
    /// whoever reads their record counts these machines' clients as outside users, as those builds
    /// do themselves.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    released: Vec<ReleasedMachine>,
}

/// Format of the shards that this build writes.
pub(super) const SHARD_FORMAT: u16 = 2;

fn first_format() -> u16 {
    1
}

impl ShardRecord {
    /// The record of these machines.
    pub fn from_machines(machines: &[MachineRecord], lingers: Vec<LingerEntry>) -> ShardRecord {
        let mut encoder = ShardEncoder::new(lingers, Vec::new());
        for machine in machines {
            encoder.add_machine(machine);
        }
        encoder.into_record()
    }

    /// Released machines whose clients a licence server may still list.
    pub fn released(&self) -> &[ReleasedMachine] {
        &self.released
    }

    /// Lingering units of attempts that were in this shard.
    pub fn lingers(&self) -> &[LingerEntry] {
        &self.lingers
    }

    /// Decodes the machines' records. Fails if a position is invalid, or if a newer build wrote the
    /// record, which this build may not understand.
    pub fn machines(self) -> Result<Vec<MachineRecord>, RecordError> {
        if self.format > SHARD_FORMAT {
            return Err(RecordError::NewerFormat(self.format));
        }
        let counts: HashMap<usize, &Demand> = self
            .counts
            .iter()
            .map(|(position, counts)| (*position, counts))
            .collect();
        self.machines
            .iter()
            .map(|entry| self.decode_machine(entry, &counts))
            .collect()
    }

    fn decode_machine(
        &self,
        entry: &MachineEntry,
        counts: &HashMap<usize, &Demand>,
    ) -> Result<MachineRecord, RecordError> {
        let machine_type = self.text(entry.machine_type)?.to_string();
        let zone = self.text(entry.zone)?.to_string();
        let mut images = Vec::with_capacity(entry.images.len());
        for (image, gb) in &entry.images {
            images.push((self.text(*image)?.clone(), *gb));
        }
        let mut starts = Vec::with_capacity(entry.starts.len());
        for start in &entry.starts {
            starts.push(self.decode_start(start, counts)?);
        }
        Ok(MachineRecord {
            name: entry.name.clone(),
            machine_type,
            zone,
            spot: entry.spot,
            addr: entry.addr.clone(),
            starts,
            images,
            releasing: entry.releasing,
        })
    }

    fn decode_start(
        &self,
        entry: &StartEntry,
        counts: &HashMap<usize, &Demand>,
    ) -> Result<StartRecord, RecordError> {
        let job = self
            .jobs
            .get(entry.job)
            .ok_or(RecordError::InvalidPosition(entry.job))?;
        Ok(StartRecord {
            job: job.job.clone(),
            index: entry.index,
            attempt: entry.attempt,
            team: self.text(job.team)?.clone(),
            needs: job.needs,
            counts: counts
                .get(&entry.job)
                .map_or_else(Demand::default, |counts| (*counts).clone()),
        })
    }

    fn text(&self, position: usize) -> Result<&Arc<str>, RecordError> {
        self.names
            .get(position)
            .ok_or(RecordError::InvalidPosition(position))
    }
}
