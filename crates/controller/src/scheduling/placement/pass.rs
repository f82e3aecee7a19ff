//! The state of one pass: capacities, reservations and what is known to be in vain.

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

/// A task on a machine, as a possible victim of preemption.
pub(super) struct RunningTask<'a> {
    pub(super) attempt: &'a Attempt,
    /// Its job, if that is live. Resolved only once a pass needs victims.
    pub(super) job: Option<&'a Job>,
    pub(super) stopping: bool,
}

/// A machine with the capacity that is left in this pass.
pub(super) struct MachineCapacity<'a> {
    pub(super) machine: &'a Machine,
    pub(super) machine_type: Option<&'a MachineType>,
    /// Positions of its type and zone, if both are known.
    pub(super) place: Option<(usize, usize)>,
    pub(super) free: Resources,
    /// Part of `free` that is reserved for protected services: batch does not start there.
    pub(super) spare: Resources,
    /// Resources of tasks that are being stopped, for the tasks for which they make room.
    pub(super) leaving: Resources,
    pub(super) running: Vec<RunningTask<'a>>,
    pub(super) usable: bool,
    /// Images that it has or fetches, by their number in the catalog, the latest used last.
    pub(super) images: Vec<u32>,
    /// Of these, images that it is still fetching.
    pub(super) fetching: Vec<ImageFetch>,
    /// For how long, in s, what is on it will occupy it, by its owners' estimates.
    pub(super) held_s: f64,
    /// The large gang for which it is reserved.
    pub(super) reservation: Option<Reservation<'a>>,
}

/// An image that a machine is fetching.
pub(super) struct ImageFetch {
    pub(super) image: u32,
    pub(super) since: Timestamp,
    /// Replicas that wait for it; other tasks count for less.
    pub(super) waiting: f64,
}

/// How many tasks of a job are in each zone, by position of the zone; the last element stands for
/// zones that the settings do not name.
pub(super) type TasksByZone = Vec<u32>;

/// Which zones may take a task, by position of the zone.
pub(super) type OpenZones = Vec<bool>;

/// How many steps each kind of machine ranks below the one that a job prefers, by type, zone and kind:
/// see `Pass::slot`. `None` for kinds that may not be used.
#[derive(Clone)]
pub(super) struct RankSteps(pub(super) Rc<Vec<Option<u16>>>);

impl RankSteps {
    /// Whether some kinds are preferred to others.
    pub(super) fn has_preference(&self) -> bool {
        self.0.iter().flatten().any(|step| *step > 0)
    }
}

/// What a job requires of a machine, computed once for each turn of the job.
pub(super) struct TaskRequirements<'a> {
    pub(super) job: &'a Job,
    /// By type, zone and kind: see `Pass::slot`.
    pub(super) eligible: Vec<bool>,
    /// Set where an expression of the job prefers some kinds to others.
    pub(super) steps: Option<RankSteps>,
    pub(super) image: Option<u32>,
    /// How long the job's class may wait to start, if its users say so.
    pub(super) start_within_s: f64,
    /// Machines on which its tasks failed are avoided.
    pub(super) avoids_failed_machines: bool,
    /// It would be late, or wait for too long, if it waited for another machine.
    pub(super) is_deadline_critical: bool,
    /// A task lost with a spot machine could not be run again in time, and a loss is likely enough to
    /// matter.
    pub(super) avoids_spot: bool,
    /// It is protected, and stays on on-demand machines.
    pub(super) on_demand_only: bool,
    /// It may not use spare capacity that is reserved for protected services.
    pub(super) is_batch: bool,
}

/// The exact value of [`Resources`], so that equal ones can be a key.
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

/// Jobs of one class have the same requirements: they find capacity, or none, on the same machines.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(super) struct EquivalenceClass {
    pub(super) needs: ResourceBits,
    pub(super) eligible: Vec<bool>,
    pub(super) one_zone: bool,
    pub(super) is_deadline_critical: bool,
    pub(super) on_demand_only: bool,
    pub(super) is_batch: bool,
    /// Which of the reservations admit it. Without this, short work found no capacity on reserved
    /// machines once long work of the same size had not been admitted there.
    pub(super) admitted_by: Vec<bool>,
}

/// Jobs for which the same running tasks may be preempted.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(super) struct PreemptionClass {
    pub(super) class: EquivalenceClass,
    pub(super) priority: Priority,
    pub(super) team: String,
    pub(super) within_guarantee: bool,
}

/// Resources in use by each team. There are so few teams that a list is quickest.
#[derive(Default)]
pub(super) struct UsageByTeam<'a>(Vec<(&'a str, Resources)>);

impl<'a> UsageByTeam<'a> {
    /// Resources that the team uses.
    pub(super) fn of(&self, team: &str) -> Resources {
        self.0
            .iter()
            .find(|(name, _)| *name == team)
            .map(|(_, used)| *used)
            .unwrap_or_default()
    }

    /// Adds to what the team uses.
    pub(super) fn add(&mut self, team: &'a str, needs: Resources) {
        let known = self.0.iter_mut().find(|(name, _)| *name == team);
        match known {
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
    /// Rank steps of the sets of kinds met so far, by address of the set: thousands of jobs share a few
    /// sets, and each is evaluated once a pass.
    pub(super) kind_sets: RefCell<HashMap<usize, RankSteps>>,
    pub(super) images: ImageCatalog<'a>,
    pub(super) usage: UsageByTeam<'a>,
    /// Jobs within their team's guarantee.
    pub(super) within_guarantee: BTreeSet<JobId>,
    /// Classes that found no capacity, with the fewest tasks that found none.
    pub(super) unschedulable: HashMap<EquivalenceClass, u32>,
    /// Classes for which preemption makes no capacity either.
    pub(super) unpreemptable: HashSet<PreemptionClass>,
    /// Tasks of large gangs for which capacity is reserved in this pass.
    pub(super) reserved_slots: usize,
    /// What is reserved of teams' limits for large gangs in this pass.
    pub(super) reserved_quotas: Vec<ReservedQuota<'a>>,
    /// Reservations of machines in this pass.
    pub(super) reservations: Vec<Reservation<'a>>,
    /// Work that may not use spot machines found no capacity: jobs that may use spot machines leave the
    /// on-demand ones to it.
    pub(super) on_demand_short: bool,
    /// The lowest priority of any job with tasks on machines.
    pub(super) lowest_priority: Option<Priority>,
    pub(super) any_leaving: bool,
    /// Zones of what this pass has placed of jobs that are bound to zones: a job may have two queue
    /// entries, and the second must see the tasks of the first.
    pub(super) placed_zones: HashMap<&'a JobId, TasksByZone>,
    pub(super) running_jobs_resolved: bool,
    pub(super) preemption_searches: usize,
    /// Who holds which units of counts.
    pub(super) book: UnitLedger<'a>,
    pub(super) unit_stops: usize,
    /// The lowest priority of any job that holds units, once a pass needs it.
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
