//! Encoder of a shard's stored form, in which each text and each job is listed once.

use super::stored::{JobEntry, MachineEntry, StartEntry};
use super::{MachineRecord, ShardRecord, StartRecord};
use crate::model::JobId;
use std::collections::HashMap;
use std::sync::Arc;

/// A shard being encoded, and the positions of its list entries.
#[derive(Default)]
pub(super) struct ShardEncoder {
    shard: ShardRecord,
    text_positions: HashMap<Arc<str>, usize>,
    job_positions: HashMap<JobKey, usize>,
}

/// What the starts of one listed job have in common.
#[derive(PartialEq, Eq, Hash)]
struct JobKey {
    job: JobId,
    team: Arc<str>,
    /// Completed tasks hold no units, next to others of their job that do.
    holds_units: bool,
}

impl ShardEncoder {
    pub(super) fn add(&mut self, machine: &MachineRecord) {
        let machine_type = self.text_position(&machine.machine_type);
        let zone = self.text_position(&machine.zone);
        let images = machine
            .images
            .iter()
            .map(|(image, gb)| (self.text_position(image), *gb))
            .collect();
        let starts = machine.starts.iter().map(|start| self.start(start)).collect();
        self.shard.machines.push(MachineEntry {
            name: machine.name.clone(),
            machine_type,
            zone,
            spot: machine.spot,
            releasing: machine.releasing,
            addr: machine.addr.clone(),
            images,
            starts,
        });
    }

    pub(super) fn into_shard(self) -> ShardRecord {
        self.shard
    }

    fn start(&mut self, start: &StartRecord) -> StartEntry {
        StartEntry {
            job: self.job_position(start),
            index: start.index,
            attempt: start.attempt,
        }
    }

    fn job_position(&mut self, start: &StartRecord) -> usize {
        // The team is listed first, even if the job is listed already.
        let team = self.text_position(&start.team);
        let key = JobKey {
            job: start.job.clone(),
            team: start.team.clone(),
            holds_units: !start.counts.is_empty(),
        };
        if let Some(position) = self.job_positions.get(&key) {
            return *position;
        }
        let position = self.shard.jobs.len();
        self.shard.jobs.push(JobEntry {
            job: start.job.clone(),
            team,
            needs: start.needs,
        });
        if !start.counts.is_empty() {
            self.shard.counts.push((position, start.counts.clone()));
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
        self.shard.names.push(text.clone());
        self.text_positions.insert(text, position);
        position
    }
}
