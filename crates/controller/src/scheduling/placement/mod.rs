//! Task placement: decides which waiting tasks start on which machines, and which running tasks are
//! preempted.
//!
//! Placement is a pure function: [`plan`] reads a [`ClusterSnapshot`] and returns a [`Plan`], which the
//! leader carries out. One call is one scheduling cycle (a *pass*) with these phases:
//!
//! 1. **Snapshot** (`inventory`): free resources and images by machine, usage by team, and units of counted
//!    resources in use.
//! 2. **Queue sort** (`queue_order`, with `aging` and fair share): the order of the waiting jobs.
//! 3. **Reserve** (`reservation`, `protection`): capacity for large gangs and for protected services.
//! 4. **Filter and score** (`filtering`, `scoring`, `placement_cost`): the machines that can run a task and
//!    the cost of each.
//! 5. **Bind** (`bin_packing`, `gang_placement`): assigns tasks to machines, all tasks of a gang at once.
//! 6. **Preempt** (`preemption`, `unit_preemption`): stops other work where no capacity or units were free.
//! 7. **Drain and consolidate** (`preemption`, `consolidation`): moves work off failing and nearly empty
//!    machines.

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
use crate::scheduling::fair_share::StarvedOwners;
use crate::scheduling::image_statistics::ImageStatistics;
use crate::settings::Deployment;
use indigopath_counted_resources::Name;
use large_jobs::{large_jobs_first, prioritized_large_jobs};
use pass::Pass;
use queue_order::{QueueEntry, order_key, starved_work_first};
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub use crate::model::MachineTypes;
pub use aging::AgingCredit;
pub use counted_units::{CountedUnits, UnsatisfiedDemand, unit_ledger};
pub use filtering::{avoids_spot, tasks_by_zone};
pub use large_jobs::large_unstarted_jobs;
pub use preemption::grace_s;
pub use protection::{Protection, SpareCapacity};
pub use queue_order::{start_slack_ms, within_guarantee};

/// The state of the cluster that one pass works on.
pub struct ClusterSnapshot<'a> {
    /// Teams, zones and objectives as the operators set them.
    pub deployment: &'a Deployment,
    /// Machine types that the cloud offers, by name.
    pub types: &'a MachineTypes,
    /// Live jobs.
    pub jobs: &'a BTreeMap<JobId, Job>,
    /// Machines of the cluster, with what runs on them.
    pub machines: &'a BTreeMap<MachineId, Machine>,
    /// Index from each job to the machines that may run its tasks, so that a lookup does not scan every
    /// machine.
    pub task_locations: &'a TaskLocations,
    /// Rate at which spot machines are lost, in losses per machine and second.
    pub spot_loss_rate: f64,
    /// Counted resources: their definitions and who holds units.
    pub units: CountedUnits<'a>,
    /// Classes and teams whose old work has been served too little.
    pub starved: &'a StarvedOwners,
    /// How many overdue tasks may go first.
    pub aging_credit: AgingCredit,
    /// Measured fetch rates, machine losses, and start rates by image.
    pub image_statistics: &'a dyn ImageStatistics,
    /// Jobs covered by open protection windows.
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
        /// The machine on which it starts.
        machine: MachineId,
    },
    /// Stop a running task.
    Stop {
        /// The task.
        task: TaskId,
        /// The machine on which it runs.
        machine: MachineId,
        /// Time allowed for saving its state, in s.
        grace_s: f64,
    },
}

/// The decisions of a pass, and the work that it could not place.
#[derive(Debug, Default)]
pub struct Plan {
    /// Starts and stops, in the order in which they are carried out.
    pub decisions: Vec<Decision>,
    /// Tasks for which no machine has capacity, in queue order; the autoscaler adds machines for them.
    pub unplaced: Vec<Unplaced>,
    /// Tasks that wait for units of counted resources, in the order in which they are served.
    pub unsatisfied: Vec<UnsatisfiedDemand>,
    /// Free units reserved for requests that have waited a long time, by counted resource.
    pub reserved_units: BTreeMap<Name, u32>,
    /// Jobs for which units are reserved.
    pub units_reserved_for: BTreeSet<JobId>,
    /// Spare capacity reserved for protected services, by machine.
    pub spare_capacity: HashMap<MachineId, Resources>,
    /// Spare capacity that fits on no machine; the autoscaler adds machines for it.
    pub unplaced_spare: Vec<Unplaced>,
}

/// Tasks of a job for which no machine has capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct Unplaced {
    /// The job.
    pub job: JobId,
    /// Number of its tasks.
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
    for group in order.chunk_by(|entry, next| entry.has_same_precedence(next, cluster)) {
        pass.place_group(group);
    }
    pass.drain_machines();
    pass.consolidate_replicas();
    pass.plan.reserved_units = pass.reserved_units();
    pass.plan
}

/// Returns the queue entries of all jobs that may start tasks now, in scheduling order.
fn queue_sort<'a>(pass: &Pass<'a>) -> Vec<QueueEntry<'a>> {
    let cluster = pass.cluster;
    let is_schedulable =
        |job: &&Job| !job.waiting.is_empty() && !job.parked && job.backoff_until <= cluster.now;
    let mut order: Vec<QueueEntry<'_>> = Vec::new();
    for job in cluster.jobs.values().filter(is_schedulable) {
        pass.queue_entries(job, &mut order);
    }
    let order = large_jobs_first(order, &prioritized_large_jobs(cluster));
    let mut order = pass.aged_work_first(order);
    order.sort_by_cached_key(|entry| order_key(entry, cluster));
    order
}

/// Whether enough different jobs have failed on the machine for it to be considered faulty.
pub fn is_faulty(machine: &Machine) -> bool {
    machine.failed_jobs.len() >= FAULTY_MACHINE_FAILURES
}

/// Whether new tasks may be placed on the machine.
fn is_usable(machine: &Machine, now: Timestamp) -> bool {
    machine.synced
        && !machine.releasing
        && !machine.unreachable
        && !machine.one_way_partition
        && machine.reclaim_notice_until.is_none()
        && machine.full_until <= now
        && !is_faulty(machine)
}
