//! The table of known machines, an index of where each job's tasks may be, and the machines that were
//! released recently.

use crate::allocations::{Attempt, Machine};
use crate::constants::{MACHINE_INDEX_REBUILD_MS, RELEASED_MACHINE_RETENTION_MS};
use crate::model::{JobId, MachineId, TaskLocations, Timestamp};
use std::collections::{BTreeMap, HashMap, btree_map};

/// All known machines by ID, with the attempts on each.
#[derive(Debug)]
pub(super) struct MachineTable {
    machines: BTreeMap<MachineId, Machine>,
    /// Machines that may hold attempts of a job. A superset, made exact by the next reindexing.
    task_locations: TaskLocations,
    reindexed_at: Timestamp,
    /// Machines that were released, and until when to remember them. Their delayed heartbeats are rejected,
    /// and their entries on a licence server still count as this cluster's.
    recently_released: HashMap<MachineId, Timestamp>,
}

impl MachineTable {
    /// Creates an empty table at the start of a term.
    pub(super) fn new(now: Timestamp) -> MachineTable {
        MachineTable {
            machines: BTreeMap::new(),
            task_locations: TaskLocations::new(),
            reindexed_at: now,
            recently_released: HashMap::new(),
        }
    }

    /// All machines, for read-only use.
    pub(super) fn as_map(&self) -> &BTreeMap<MachineId, Machine> {
        &self.machines
    }

    /// All machines, for the batch writer, which assigns them to shards.
    pub(super) fn as_map_mut(&mut self) -> &mut BTreeMap<MachineId, Machine> {
        &mut self.machines
    }

    /// The machine with this ID.
    pub(super) fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.machines.get(id)
    }

    /// The machine with this ID, for modification.
    pub(super) fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        self.machines.get_mut(id)
    }

    /// The machine with this ID, added with `adopt` if it is not known yet.
    pub(super) fn get_or_adopt(&mut self, id: &MachineId, adopt: impl FnOnce() -> Machine) -> &mut Machine {
        self.machines.entry(id.clone()).or_insert_with(adopt)
    }

    /// Number of known machines.
    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    /// The machines in order of their IDs.
    pub(super) fn values(&self) -> btree_map::Values<'_, MachineId, Machine> {
        self.machines.values()
    }

    /// The machines in order of their IDs, for modification.
    pub(super) fn values_mut(&mut self) -> btree_map::ValuesMut<'_, MachineId, Machine> {
        self.machines.values_mut()
    }

    /// Adds a machine that was read from a record.
    pub(super) fn insert(&mut self, machine: Machine) {
        self.machines.insert(machine.id.clone(), machine);
    }

    /// Removes a machine whose release the cloud has confirmed, and remembers it for a while.
    pub(super) fn remove_released(&mut self, id: &MachineId, now: Timestamp) -> Option<Machine> {
        let machine = self.machines.remove(id)?;
        self.remember_released(id, now + RELEASED_MACHINE_RETENTION_MS);
        Some(machine)
    }

    /// Remembers that this machine was released, at least until this time.
    pub(super) fn remember_released(&mut self, id: &MachineId, until: Timestamp) {
        let expiry = self.recently_released.entry(id.clone()).or_insert(until);
        *expiry = until.max(*expiry);
    }

    /// Whether this machine was released recently.
    pub(super) fn is_recently_released(&self, id: &MachineId) -> bool {
        self.recently_released.contains_key(id)
    }

    /// Machines that were released recently, and until when they are remembered.
    pub(super) fn recently_released(&self) -> &HashMap<MachineId, Timestamp> {
        &self.recently_released
    }

    /// Forgets released machines whose retention time has passed.
    pub(super) fn forget_released(&mut self, now: Timestamp) {
        self.recently_released.retain(|_, until| now < *until);
    }

    /// For each job, the machines where attempts of it may be.
    pub(super) fn task_locations(&self) -> &TaskLocations {
        &self.task_locations
    }

    /// Adds a machine to the locations of a job.
    pub(super) fn add_location(&mut self, job: JobId, machine: MachineId) {
        self.task_locations.entry(job).or_default().insert(machine);
    }

    /// Calls `visit` for every attempt of a job, with the machine it is on.
    pub(super) fn for_each_attempt(&mut self, job: &JobId, mut visit: impl FnMut(&MachineId, &mut Attempt)) {
        for machine_id in self.task_locations.get(job).into_iter().flatten() {
            let attempts = self
                .machines
                .get_mut(machine_id)
                .map(|machine| &mut machine.attempts);
            for attempt in attempts.into_iter().flatten() {
                if attempt.task.job == *job {
                    visit(machine_id, attempt);
                }
            }
        }
    }

    /// Rebuilds the index of task locations, which drops machines without attempts of the job.
    pub(super) fn reindex(&mut self, now: Timestamp) {
        self.reindexed_at = now;
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

    /// Rebuilds the index if the last rebuild is older than [`MACHINE_INDEX_REBUILD_MS`].
    pub(super) fn reindex_when_due(&mut self, now: Timestamp) {
        if now >= self.reindexed_at + MACHINE_INDEX_REBUILD_MS {
            self.reindex(now);
        }
    }

    /// Updates since when each machine has been idle. Called after each scheduling pass.
    pub(super) fn update_idle_since(&mut self, now: Timestamp) {
        for machine in self.machines.values_mut() {
            if machine.is_up() && machine.is_empty() {
                machine.idle_since.get_or_insert(now);
            } else {
                machine.idle_since = None;
            }
        }
    }
}
