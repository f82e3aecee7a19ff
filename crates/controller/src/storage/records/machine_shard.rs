//! Shards: records of what may be on each of many machines.
//!
//! In its stored form a shard has lists of texts and of jobs, and refers to them by their position,
//! as a value has little room (`value_kb`); its entries are JSON arrays for the same reason.

mod encoder;
mod stored;

use super::RecordError;
use crate::model::{JobId, Resources};
use encoder::ShardEncoder;
use indigopath_counted_resources::{Demand, LingerEntry};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use stored::{JobEntry, MachineEntry, StartEntry};

/// A start that was or may have been sent to a machine. Team and needs stand
/// beside it because the job itself may be over, and its record gone, while the
/// task still takes its team's quota.
#[derive(Debug, Clone, PartialEq)]
pub struct StartRecord {
    pub job: JobId,
    /// Position of the task in its job.
    pub index: u32,
    pub attempt: u64,
    pub team: Arc<str>,
    /// What the task takes of its machine.
    pub needs: Resources,
    /// Units of counted resources that it holds.
    pub counts: Demand,
}

/// A machine and what may be on it.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineRecord {
    pub name: Arc<str>,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Its worker's address, once known.
    pub addr: Option<String>,
    pub starts: Vec<StartRecord>,
    /// Images it is thought to hold, with their size in GB, the latest used last.
    pub images: Vec<(Arc<str>, f64)>,
    /// It is being given back: nothing may be placed there any more.
    pub releasing: bool,
}

/// A machine that the cloud has taken back, but whose clients a licence server may still name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(Arc<str>, u64)", into = "(Arc<str>, u64)")]
pub struct ReleasedMachine {
    pub name: Arc<str>,
    /// Until when, by the time of day in ms since 1970.
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

/// What may be on each of some machines.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Form of the record. The first, which had no such field, knew no counts.
    #[serde(rename = "v", default = "first_format")]
    pub(super) format: u16,
    /// Texts that entries refer to: types, zones, teams and images.
    names: Vec<Arc<str>>,
    jobs: Vec<JobEntry>,
    machines: Vec<MachineEntry>,
    /// Jobs whose tasks hold units of counts, by position.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    counts: Vec<(usize, Demand)>,
    /// Units that linger after attempts which stood here.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    lingers: Vec<LingerEntry>,
    /// Machines that stood here. Builds that do not know the field leave it out; whoever reads their
    /// record takes these machines' clients for users outside, as they do themselves.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    released: Vec<ReleasedMachine>,
}

/// Form of shards that this build writes.
pub(super) const SHARD_FORMAT: u16 = 2;

fn first_format() -> u16 {
    1
}

impl ShardRecord {
    /// The record of these machines.
    pub fn from_machines(machines: &[MachineRecord], lingers: Vec<LingerEntry>) -> ShardRecord {
        let mut encoder = ShardEncoder::default();
        for machine in machines {
            encoder.add(machine);
        }
        ShardRecord {
            format: SHARD_FORMAT,
            lingers,
            ..encoder.into_shard()
        }
    }

    /// The same record, with machines that stood here and are gone.
    pub fn with_released(self, released: Vec<ReleasedMachine>) -> ShardRecord {
        ShardRecord { released, ..self }
    }

    /// Machines that stood here, whose clients a licence server may still name.
    pub fn released(&self) -> &[ReleasedMachine] {
        &self.released
    }

    /// Units that linger after attempts which stood here.
    pub fn lingers(&self) -> &[LingerEntry] {
        &self.lingers
    }

    /// The machines' records; an error if a position names nothing, or a later build
    /// wrote what this one may not understand.
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
