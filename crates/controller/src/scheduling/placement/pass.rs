//! The state of one scheduling pass: capacities, reservations, and searches already known to fail.

use super::image_catalog::ImageCatalog;
use super::reservation::{Reservation, ReservedQuota};
use super::{ClusterSnapshot, Plan};
use crate::allocations::{Attempt, Machine};
use crate::model::{Job, JobId, Resources, Timestamp};
use crate::protocol::{MachineType, Priority};
use crate::settings::Team;
use indigopath_counted_resources::UnitLedger;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// A task on a machine, which preemption may choose as a victim.
pub(super) struct RunningTask<'a> {
    pub(super) attempt: &'a Attempt,
    /// Its job, if that is live. Looked up only once a pass needs victims.
    pub(super) job: Option<&'a Job>,
    pub(super) stopping: bool,
}

/// A machine with its remaining capacity in this pass.
pub(super) struct MachineCapacity<'a> {
    pub(super) machine: &'a Machine,
    pub(super) machine_type: Option<&'a MachineType>,
    /// Indexes of its type and zone, if both are known.
    pub(super) type_and_zone: Option<(usize, usize)>,
    pub(super) free: Resources,
    /// Part of `free` that is reserved for protected services. Batch tasks may not use it.
    pub(super) spare: Resources,
    /// Resources of tasks that are being stopped, not yet claimed by the tasks that will replace them.
    pub(super) stopping_resources: Resources,
    pub(super) running: Vec<RunningTask<'a>>,
    pub(super) usable: bool,
    /// Images that it has or is fetching, by their number in the catalog, the most recently used last.
    pub(super) images: Vec<u32>,
    /// Those of `images` that it is still fetching.
    pub(super) fetching: Vec<ImageFetch>,
    /// Estimated time, in s, for which its current tasks will occupy it.
    pub(super) occupied_s: f64,
    /// Its reservation for a large gang, if any.
    pub(super) reservation: Option<Reservation<'a>>,
}

/// An image that a machine is fetching.
pub(super) struct ImageFetch {
    pub(super) image: u32,
    pub(super) started_at: Timestamp,
    /// Number of replicas waiting for it; other tasks count as a fraction of a replica.
    pub(super) waiting_replicas: f64,
}

/// Number of a job's tasks in each zone, by zone index. The last element counts tasks in zones that are
/// not in the settings.
pub(super) type TasksByZone = Vec<u32>;

/// Whether each zone may take a task, by zone index.
pub(super) type OpenZones = Vec<bool>;

/// How many preference steps each kind of machine ranks below the job's most preferred one, indexed by
/// `Pass::kind_index`. `None` for kinds that the job may not use.
#[derive(Clone)]
pub(super) struct RankSteps(pub(super) Rc<Vec<Option<u16>>>);

impl RankSteps {
    /// Whether any kind is preferred to another.
    pub(super) fn has_preference(&self) -> bool {
        self.0.iter().flatten().any(|step| *step > 0)
    }
}

/// The requirements of a job on a machine, computed once for each queue entry.
pub(super) struct TaskRequirements<'a> {
    pub(super) job: &'a Job,
    /// Whether the job may use each kind of machine, indexed by `Pass::kind_index`.
    pub(super) eligible: Vec<bool>,
    /// Set if the job's rank expression prefers some kinds to others.
    pub(super) rank_steps: Option<RankSteps>,
    pub(super) image: Option<u32>,
    /// The shortest objective of the job's class on the time to start; infinite if there is none.
    pub(super) start_within_s: f64,
    /// Whether to avoid machines on which its tasks failed.
    pub(super) avoids_failed_machines: bool,
    /// Whether waiting for another machine would make it late, or it has waited too long already.
    pub(super) is_deadline_critical: bool,
    /// Whether it should avoid spot machines: a lost task could not be rerun in time, and a loss is likely
    /// enough to matter.
    pub(super) avoids_spot: bool,
    /// Whether it is protected and therefore restricted to on-demand machines.
    pub(super) on_demand_only: bool,
    /// Whether it may not use spare capacity reserved for protected services.
    pub(super) is_barred_from_spare: bool,
}

/// The bit patterns of [`Resources`], usable as a hash key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ResourceBits {
    cpus: u64,
    gpus: u64,
    memory_gb: u64,
}

impl From<Resources> for ResourceBits {
    fn from(resources: Resources) -> ResourceBits {
        ResourceBits {
            cpus: resources.cpus.to_bits(),
            gpus: resources.gpus.to_bits(),
            memory_gb: resources.memory_gb.to_bits(),
        }
    }
}

/// A set of jobs with the same requirements, which therefore fit on the same machines.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(super) struct EquivalenceClass {
    pub(super) needs: ResourceBits,
    pub(super) eligible: Vec<bool>,
    pub(super) one_zone: bool,
    pub(super) is_deadline_critical: bool,
    pub(super) on_demand_only: bool,
    pub(super) is_barred_from_spare: bool,
    /// Whether each reservation admits it. Without this, short jobs were treated as unschedulable on
    /// reserved machines once a long job of the same size had not been admitted there.
    pub(super) admitted_by: Vec<bool>,
}

/// A set of jobs for which the same running tasks may be preempted.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(super) struct PreemptionClass {
    pub(super) class: EquivalenceClass,
    pub(super) priority: Priority,
    pub(super) team: String,
    pub(super) within_guarantee: bool,
}

/// Resources in use by each team. There are so few teams that a list is fastest.
#[derive(Default)]
pub(super) struct UsageByTeam<'a>(Vec<(&'a str, Resources)>);

impl<'a> UsageByTeam<'a> {
    /// Returns the resources that the team uses.
    pub(super) fn of(&self, team: &str) -> Resources {
        self.0
            .iter()
            .find(|(name, _)| *name == team)
            .map(|(_, used)| *used)
            .unwrap_or_default()
    }

    /// Adds to the resources that the team uses.
    pub(super) fn add(&mut self, team: &'a str, needs: Resources) {
        let entry = self.0.iter_mut().find(|(name, _)| *name == team);
        match entry {
            Some((_, used)) => *used += needs,
            None => self.0.push((team, needs)),
        }
    }
}

/// The state of one scheduling cycle.
pub(super) struct Pass<'a> {
    pub(super) cluster: &'a ClusterSnapshot<'a>,
    pub(super) capacities: Vec<MachineCapacity<'a>>,
    pub(super) types: Vec<&'a MachineType>,
    /// Cache of rank steps by the address of the set of kinds: thousands of jobs share a few sets, and
    /// each set is evaluated once per pass.
    pub(super) kind_sets: RefCell<HashMap<usize, RankSteps>>,
    pub(super) images: ImageCatalog<'a>,
    pub(super) usage: UsageByTeam<'a>,
    /// Jobs within their team's guarantee.
    pub(super) within_guarantee: BTreeSet<JobId>,
    /// Classes that found no capacity, with the smallest number of tasks that found none.
    pub(super) unschedulable: HashMap<EquivalenceClass, u32>,
    /// Classes for which preemption cannot make capacity either.
    pub(super) unpreemptable: HashSet<PreemptionClass>,
    /// Number of gang tasks for which capacity is reserved in this pass.
    pub(super) reserved_slots: usize,
    /// Parts of teams' limits reserved for large gangs in this pass.
    pub(super) reserved_quotas: Vec<ReservedQuota<'a>>,
    /// Reservations of machines in this pass.
    pub(super) reservations: Vec<Reservation<'a>>,
    /// Set once work that may not use spot machines has found no capacity. Jobs that may use spot machines
    /// then leave the on-demand ones free.
    pub(super) on_demand_shortage: bool,
    /// The lowest priority of any job with tasks on machines; larger values are lower priorities.
    pub(super) lowest_priority: Option<Priority>,
    pub(super) any_stopping: bool,
    /// Zones of the tasks placed in this pass, for jobs with zone constraints. A job may have two queue
    /// entries, and the second must see the tasks of the first.
    pub(super) placed_zones: HashMap<&'a JobId, TasksByZone>,
    pub(super) running_jobs_resolved: bool,
    pub(super) preemption_searches: usize,
    /// Units of counted resources in use, by holder.
    pub(super) unit_ledger: UnitLedger<'a>,
    pub(super) unit_preemptions: usize,
    /// The lowest priority of any job that holds units. Computed on first use.
    pub(super) lowest_unit_priority: Option<Option<Priority>>,
    pub(super) plan: Plan,
    pub(super) starts: usize,
}

impl<'a> Pass<'a> {
    pub(super) fn team(&self, name: &str) -> Option<&'a Team> {
        self.cluster
            .deployment
            .teams
            .iter()
            .find(|team| team.name == name)
    }
}
