//! Task placement: which waiting task starts on which machine, and which running task is
//! stopped to make room.
//!
//! Placement is pure. [`plan`] reads a [`ClusterSnapshot`] and returns a [`Plan`]; the leader carries it
//! out. One call is one scheduling cycle (a *pass*), with these phases:
//!
//! 1. **Snapshot** (`inventory`): free resources by machine, images, usage by team, units of counts.
//! 2. **Queue sort** (`queue_order`, with `aging` and fair share): the order of the waiting jobs.
//! 3. **Reserve** (`reservation`, `protection`): capacity for large gangs and for protected services.
//! 4. **Filter and score** (`filtering`, `scoring`, `placement_cost`): machines that can take a task, and
//!    what each costs.
//! 5. **Bind** (`bin_packing`): starts of tasks, all tasks of a gang at once.
//! 6. **Preempt** (`preemption`, `counted_units`): stops of other work where nothing was free.
//! 7. **Drain and consolidate** (`preemption`, `consolidation`).

mod aging;
mod bin_packing;
mod consolidation;
mod counted_units;
mod filtering;
mod gang_placement;
mod gang_slots;
mod image_catalog;
mod inventory;
mod large_jobs;
mod pass;
mod placement_cost;
mod preemption;
mod protection;
mod queue_order;
mod reservation;
mod scoring;
mod unit_preemption;

use crate::allocations::Machine;
use crate::constants::FAULTY_MACHINE_FAILURES;
use crate::model::{Job, JobId, MachineId, Resources, TaskId, TaskLocations, Timestamp};
use crate::scheduling::fair_share::Starved;
use crate::scheduling::image_statistics::ImageStatistics;
use crate::settings::Deployment;
use indigopath_counted_resources::Name;
use large_jobs::{overdue_large_first, overdue_large_jobs};
use pass::Pass;
use queue_order::{QueueEntry, order_key, starved_work_first};
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub use crate::model::MachineTypes;
pub use aging::AgingCredit;
pub use counted_units::{Units, UnsatisfiedDemand, book};
pub use filtering::{avoids_spot, tasks_by_zone};
pub use large_jobs::large_not_begun;
pub use preemption::grace_s;
pub use protection::{Protection, SpareCapacity};
pub use queue_order::{may_wait_ms, within_guarantee};

/// The state of the cluster that one pass works on.
pub struct ClusterSnapshot<'a> {
    /// Teams, zones and objectives as the operators set them.
    pub deployment: &'a Deployment,
    /// Machine types that the cloud offers, by name.
    pub types: &'a MachineTypes,
    /// Jobs that are not over.
    pub jobs: &'a BTreeMap<JobId, Job>,
    /// Machines of the cluster, with what runs on them.
    pub machines: &'a BTreeMap<MachineId, Machine>,
    /// Machines on which a job's tasks may be: an index, so that no search visits every machine.
    pub task_locations: &'a TaskLocations,
    /// Rate at which spot machines are lost, per second and machine.
    pub spot_loss: f64,
    /// Counted resources: their definitions and who holds units.
    pub units: Units<'a>,
    /// Classes and teams that have had less than their least share for long.
    pub starved: &'a Starved,
    /// How much overdue work may go first.
    pub aging_credit: AgingCredit,
    /// Measured fetch rates, and starts by image.
    pub image_statistics: &'a dyn ImageStatistics,
    /// Jobs that protection windows cover now.
    pub protection: &'a Protection,
    /// Time of the pass.
    pub now: Timestamp,
}

/// A step of a [`Plan`].
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Start a waiting task.
    Start {
        /// The task.
        task: TaskId,
        /// Where it starts.
        machine: MachineId,
    },
    /// Stop a running task.
    Stop {
        /// The task.
        task: TaskId,
        /// Where it runs.
        machine: MachineId,
        /// Time that it has to save its state, in s.
        grace_s: f64,
    },
}

/// What a pass decided, and what it could not place.
#[derive(Debug, Default)]
pub struct Plan {
    /// Starts and stops, in the order in which they are carried out.
    pub decisions: Vec<Decision>,
    /// Tasks for which no machine has room, in the order of the queue: machines are rented for them.
    pub unplaced: Vec<Unplaced>,
    /// Tasks that wait for units of counts, in the order in which they are served.
    pub unsatisfied: Vec<UnsatisfiedDemand>,
    /// Free units that are reserved for requests that have waited for long, by count.
    pub reserved_units: BTreeMap<Name, u32>,
    /// Jobs for which units are reserved.
    pub units_reserved_for: BTreeSet<JobId>,
    /// Spare capacity that is reserved for protected services, by machine.
    pub spare_capacity: HashMap<MachineId, Resources>,
    /// Spare capacity for which no machine has room: machines are rented for it.
    pub unplaced_spare: Vec<Unplaced>,
}

/// Tasks of a job for which no machine has room.
#[derive(Debug, Clone, PartialEq)]
pub struct Unplaced {
    /// The job.
    pub job: JobId,
    /// How many of its tasks.
    pub tasks: u32,
    /// Zones in which they may start.
    pub zones: Vec<String>,
}

/// Runs one scheduling cycle.
pub fn plan(cluster: &ClusterSnapshot<'_>) -> Plan {
    let mut pass = Pass::new(cluster);
    pass.reserve_spare_capacity();
    let order = queue_sort(&pass);
    for entry in &order {
        pass.reserve_capacity(entry);
    }
    let order = starved_work_first(order, cluster.starved);
    for peers in order.chunk_by(|entry, next| entry.is_peer_of(next, cluster)) {
        pass.place_peers(peers);
    }
    pass.drain_noticed();
    pass.consolidate_replicas();
    pass.plan.reserved_units = pass.reserved_units();
    pass.plan
}

/// The queue entries of all jobs that may start tasks now, in scheduling order.
fn queue_sort<'a>(pass: &Pass<'a>) -> Vec<QueueEntry<'a>> {
    let cluster = pass.cluster;
    let schedulable = |job: &&Job| !job.waiting.is_empty() && !job.parked && job.held_until <= cluster.now;
    let mut order: Vec<QueueEntry<'_>> = Vec::new();
    for job in cluster.jobs.values().filter(schedulable) {
        pass.queue_entries(job, &mut order);
    }
    let order = overdue_large_first(order, &overdue_large_jobs(cluster));
    let mut order = pass.aged_work_first(order);
    order.sort_by_cached_key(|entry| order_key(entry, cluster));
    order
}

/// Whether so many different jobs have failed on the machine that it is taken to be at fault.
pub fn faulty(machine: &Machine) -> bool {
    machine.errors.len() >= FAULTY_MACHINE_FAILURES
}

/// Whether new tasks may be placed on the machine.
fn usable(machine: &Machine, now: Timestamp) -> bool {
    machine.synced
        && !machine.returning
        && !machine.inspect_failed
        && !machine.one_way_partition
        && machine.notice_until.is_none()
        && machine.full_until <= now
        && !faulty(machine)
}
