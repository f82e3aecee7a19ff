//! Stored form of a shard's entries: JSON arrays, with named fields here.

use crate::model::{JobId, Resources};
use serde::{Deserialize, Serialize, Serializer};
use std::sync::Arc;

/// A job and the resources that each of its tasks takes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(from = "JobArray")]
pub(super) struct JobEntry {
    pub(super) job: JobId,
    /// Position of its team's name.
    pub(super) team: usize,
    pub(super) needs: Resources,
}

/// Job, team, CPUs, GPUs, memory in GB.
type JobArray = (JobId, usize, f64, f64, f64);

impl From<JobArray> for JobEntry {
    fn from((job, team, cpus, gpus, memory_gb): JobArray) -> JobEntry {
        JobEntry {
            job,
            team,
            needs: Resources {
                cpus,
                gpus,
                memory_gb,
            },
        }
    }
}

impl Serialize for JobEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let Resources {
            cpus,
            gpus,
            memory_gb,
        } = self.needs;
        (&self.job, self.team, cpus, gpus, memory_gb).serialize(serializer)
    }
}

/// A machine and the starts that may be on it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(from = "MachineArray")]
pub(super) struct MachineEntry {
    pub(super) name: Arc<str>,
    /// Position of its type's name.
    pub(super) machine_type: usize,
    /// Position of its zone's name.
    pub(super) zone: usize,
    pub(super) spot: bool,
    pub(super) releasing: bool,
    pub(super) addr: Option<String>,
    /// Images by the position of their names, with their size in GB.
    pub(super) images: Vec<(usize, f64)>,
    pub(super) starts: Vec<StartEntry>,
}

/// Name, type, zone, spot, releasing, address, images, starts.
type MachineArray = (
    Arc<str>,
    usize,
    usize,
    bool,
    bool,
    Option<String>,
    Vec<(usize, f64)>,
    Vec<StartEntry>,
);

impl From<MachineArray> for MachineEntry {
    fn from((name, machine_type, zone, spot, releasing, addr, images, starts): MachineArray) -> MachineEntry {
        MachineEntry {
            name,
            machine_type,
            zone,
            spot,
            releasing,
            addr,
            images,
            starts,
        }
    }
}

impl Serialize for MachineEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (
            &self.name,
            self.machine_type,
            self.zone,
            self.spot,
            self.releasing,
            &self.addr,
            &self.images,
            &self.starts,
        )
            .serialize(serializer)
    }
}

/// A start on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(from = "StartArray")]
pub(super) struct StartEntry {
    /// Position of its job.
    pub(super) job: usize,
    /// Index of the task in its job.
    pub(super) index: u32,
    pub(super) attempt: u64,
}

/// Job, index, attempt.
type StartArray = (usize, u32, u64);

impl From<StartArray> for StartEntry {
    fn from((job, index, attempt): StartArray) -> StartEntry {
        StartEntry { job, index, attempt }
    }
}

impl Serialize for StartEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.job, self.index, self.attempt).serialize(serializer)
    }
}
