//! The machines that this term knows, an index of where each job's tasks may be, and the machines
//! that went back lately.

use crate::allocations::{Attempt, Machine};
use crate::constants::{GONE_MACHINE_RETENTION_MS, MACHINE_INDEX_REBUILD_MS};
use crate::model::{JobId, MachineId, TaskLocations, Timestamp};
use std::collections::{BTreeMap, HashMap, btree_map};

/// Every known machine by its id, with the attempts on it.
#[derive(Debug)]
pub(super) struct MachineTable {
    machines: BTreeMap<MachineId, Machine>,
    /// Machines that may hold attempts of a job: a superset, made exact by the next reindexing.
    task_locations: TaskLocations,
    indexed_at: Timestamp,
    /// Machines that the cloud took back, and until when that is remembered: late heartbeats of theirs
    /// are refused, and their clients of a licence server are ours.
    gone: HashMap<MachineId, Timestamp>,
}

impl MachineTable {
    /// An empty table of a term that begins now.
    pub(super) fn new(now: Timestamp) -> MachineTable {
        MachineTable {
            machines: BTreeMap::new(),
            task_locations: TaskLocations::new(),
            indexed_at: now,
            gone: HashMap::new(),
        }
    }

    /// All machines, for functions that only read them.
    pub(super) fn as_map(&self) -> &BTreeMap<MachineId, Machine> {
        &self.machines
    }

    /// All machines, for the writer, which assigns their records.
    pub(super) fn as_map_mut(&mut self) -> &mut BTreeMap<MachineId, Machine> {
        &mut self.machines
    }

    /// The machine with this id.
    pub(super) fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.machines.get(id)
    }

    /// The machine with this id, to be changed.
    pub(super) fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        self.machines.get_mut(id)
    }

    /// The machine with this id, added by `adopt` if it is unknown so far.
    pub(super) fn get_or_adopt(&mut self, id: &MachineId, adopt: impl FnOnce() -> Machine) -> &mut Machine {
        self.machines.entry(id.clone()).or_insert_with(adopt)
    }

    /// Whether this machine is known.
    pub(super) fn contains(&self, id: &MachineId) -> bool {
        self.machines.contains_key(id)
    }

    /// Number of known machines.
    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    /// The machines in the order of their ids.
    pub(super) fn values(&self) -> btree_map::Values<'_, MachineId, Machine> {
        self.machines.values()
    }

    /// The machines in the order of their ids, to be changed.
    pub(super) fn values_mut(&mut self) -> btree_map::ValuesMut<'_, MachineId, Machine> {
        self.machines.values_mut()
    }

    /// Adds a machine that was read from a record.
    pub(super) fn insert(&mut self, machine: Machine) {
        self.machines.insert(machine.id.clone(), machine);
    }

    /// Removes a machine that the cloud has taken back, and remembers it for a while.
    pub(super) fn take_gone(&mut self, id: &MachineId, now: Timestamp) -> Option<Machine> {
        let machine = self.machines.remove(id)?;
        self.remember_gone(id, now + GONE_MACHINE_RETENTION_MS);
        Some(machine)
    }

    /// Remembers at least until then that the cloud took this machine back.
    pub(super) fn remember_gone(&mut self, id: &MachineId, until: Timestamp) {
        let known = self.gone.entry(id.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// Whether the cloud took this machine back lately.
    pub(super) fn is_gone(&self, id: &MachineId) -> bool {
        self.gone.contains_key(id)
    }

    /// Machines that the cloud took back lately, and until when that is remembered.
    pub(super) fn gone(&self) -> &HashMap<MachineId, Timestamp> {
        &self.gone
    }

    /// Forgets machines that went back long ago.
    pub(super) fn forget_gone(&mut self, now: Timestamp) {
        self.gone.retain(|_, until| now < *until);
    }

    /// For each job, the machines where attempts of it may be.
    pub(super) fn task_locations(&self) -> &TaskLocations {
        &self.task_locations
    }

    /// Notes that an attempt of the job is, or will be, on the machine.
    pub(super) fn add_location(&mut self, job: JobId, machine: MachineId) {
        self.task_locations.entry(job).or_default().insert(machine);
    }

    /// Does something with every attempt of a job, wherever it is.
    pub(super) fn for_each_attempt(&mut self, job: &JobId, mut act: impl FnMut(&MachineId, &mut Attempt)) {
        for host in self.task_locations.get(job).into_iter().flatten() {
            let attempts = self.machines.get_mut(host).map(|machine| &mut machine.attempts);
            for attempt in attempts.into_iter().flatten() {
                if attempt.task.job == *job {
                    act(host, attempt);
                }
            }
        }
    }

    /// Builds the index of task locations anew, which drops those where nothing is left.
    pub(super) fn reindex(&mut self, now: Timestamp) {
        self.indexed_at = now;
        self.task_locations.clear();
        for machine in self.machines.values() {
            for attempt in &machine.attempts {
                self.task_locations
                    .entry(attempt.task.job.clone())
                    .or_default()
                    .insert(machine.id.clone());
            }
        }
    }

    /// Reindexes at bounded intervals.
    pub(super) fn reindex_when_due(&mut self, now: Timestamp) {
        if now >= self.indexed_at + MACHINE_INDEX_REBUILD_MS {
            self.reindex(now);
        }
    }

    /// Notes since when each machine has been idle, after a pass.
    pub(super) fn note_idle(&mut self, now: Timestamp) {
        for machine in self.machines.values_mut() {
            if machine.is_up() && machine.is_empty() {
                machine.idle_since.get_or_insert(now);
            } else {
                machine.idle_since = None;
            }
        }
    }
}
