//! Data model of the scheduler: jobs, tasks, teams, machines and their resources.

use crate::constants::FAILED_MACHINE_AVOIDANCE_MS;
use crate::protocol::{MachineType, Priority, Shape};
use crate::settings::Team;
use indigopath_accounting::ExecutionStats;
use indigopath_condor::{KindSet, SubmitOrigin};
use indigopath_counted_resources::Demand;
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::ops::{AddAssign, SubAssign};
use std::sync::Arc;

/// Monotonic time in milliseconds, from an arbitrary start.
pub type Timestamp = u64;

/// Identifier of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub Arc<str>);

impl Borrow<str> for JobId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifier of a machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineId(pub Arc<str>);

impl Borrow<str> for MachineId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Machines on which tasks of each job are or may be running. It may contain too many machines but
/// never too few, so that the whole fleet need not be searched for a job.
pub type TaskLocations = HashMap<JobId, BTreeSet<MachineId>>;

/// Machine types that the cloud offers, by name.
pub type MachineTypes = BTreeMap<String, MachineType>;

/// What distinguishes machines to the cloud: type, zone, and whether it is a spot instance.
pub type MachineKind = (String, String, bool);

/// Identifies one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl TaskId {
    /// Parses `<job>/<index>`.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
        Some(TaskId {
            job: JobId(Arc::from(job)),
            index: index.parse().ok()?,
        })
    }
}

/// Resources that a task requires or a machine provides.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Tolerance for rounding errors in sums of decimal amounts.
const EPSILON: f64 = 1e-6;

impl Resources {
    /// Whether no amount exceeds that of `available`.
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus + EPSILON
            && self.gpus <= available.gpus + EPSILON
            && self.memory_gb <= available.memory_gb + EPSILON
    }

    /// These amounts multiplied by `factor`.
    pub fn scaled_by(&self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            memory_gb: self.memory_gb * factor,
        }
    }

    /// How many tasks of this size fit into an empty `capacity`.
    pub fn instances_in(&self, capacity: &Resources) -> f64 {
        let instances = |required: f64, available: f64| {
            if required > 0.0 {
                (available + EPSILON) / required
            } else {
                f64::INFINITY
            }
        };
        instances(self.cpus, capacity.cpus)
            .min(instances(self.gpus, capacity.gpus))
            .min(instances(self.memory_gb, capacity.memory_gb))
            .floor()
    }

    /// The largest share of any resource of `whole` that these amounts are.
    pub fn share_of(&self, whole: &Resources) -> f64 {
        let share = |part: f64, whole: f64| if part > 0.0 { part / whole } else { 0.0 };
        share(self.cpus, whole.cpus)
            .max(share(self.gpus, whole.gpus))
            .max(share(self.memory_gb, whole.memory_gb))
    }

    /// The smallest free share of any resource of `whole`, of which these amounts are free.
    pub fn free_share_of(&self, whole: &Resources) -> f64 {
        let share = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 1.0 };
        share(self.cpus, whole.cpus)
            .min(share(self.gpus, whole.gpus))
            .min(share(self.memory_gb, whole.memory_gb))
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
}

impl MachineType {
    /// Resources of a machine of this type.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Seconds to fetch an image of this size when nothing else is fetched.
    pub fn fetch_s(&self, image_gb: f64) -> f64 {
        image_gb / self.fetch_gb_per_s.max(f64::MIN_POSITIVE)
    }
}

impl Team {
    /// Whether `used` stays within the team's limit; 0 means no limit.
    pub fn allows(&self, used: &Resources) -> bool {
        (self.cpus_max == 0.0 || used.cpus <= self.cpus_max + EPSILON)
            && (self.gpus_max == 0.0 || used.gpus <= self.gpus_max + EPSILON)
    }

    /// Whether `used` stays within the team's guarantee. A team without any amounts has no
    /// guarantee; where only one resource is guaranteed, the other does not count.
    pub fn guarantees(&self, used: &Resources) -> bool {
        (self.cpus > 0.0 || self.gpus > 0.0)
            && (self.cpus == 0.0 || used.cpus <= self.cpus + EPSILON)
            && (self.gpus == 0.0 || used.gpus <= self.gpus + EPSILON)
    }
}

/// An accepted job. This is also its record in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: JobId,
    pub class: String,
    pub team: String,
    pub shape: Shape,
    pub priority: Priority,
    pub tasks: u32,
    pub needs: Resources,
    pub image: Arc<str>,
    pub image_gb: f64,
    /// Allowed machine types; `None` for any.
    pub types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub deadline_s: Option<f64>,
    /// Units of counted resources that each task takes. Not in records of earlier builds.
    #[serde(default, skip_serializing_if = "Demand::is_empty")]
    pub counts: Demand,
    /// Machine kinds that the requirements expression of the job allows, if it had one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kinds: Option<Arc<KindSet>>,
    /// The submit file that the job came from, if it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub condor: Option<Arc<SubmitOrigin>>,
    /// Wall-clock time of the submission at the accepting node, in ms since 1970.
    pub submitted_ms: u64,
}

impl JobSpec {
    /// Whether a task of this job may run on such a machine when it is empty. Admission, placement
    /// and autoscaling all use this predicate.
    pub fn is_eligible(&self, machine_type: &MachineType, zone: &str, spot: bool) -> bool {
        self.allows(&machine_type.name, zone, spot) && self.needs.fits_in(&machine_type.resources())
    }

    /// Whether the submission allows the type, the zone and spot instances.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (!spot || self.spot)
            && self.zone.as_deref().is_none_or(|only| only == zone)
            && self
                .types
                .as_ref()
                .is_none_or(|types| types.iter().any(|name| name == machine_type))
            && self
                .kinds
                .as_ref()
                .is_none_or(|kinds| kinds.preference_step(machine_type, zone, spot).is_some())
    }

    /// The cluster of a submit file that the job belongs to.
    pub fn cluster(&self) -> Option<u64> {
        self.condor.as_ref().map(|origin| origin.cluster)
    }

    /// Maximum number of its tasks in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether its tasks write checkpoints.
    pub fn writes_checkpoints(&self) -> bool {
        self.checkpoint_s > 0.0
    }
}

/// A live job and the leader's state of it.
#[derive(Debug)]
pub struct Job {
    pub spec: JobSpec,
    /// Version of the job's record. A start is recorded only on condition that it is unchanged.
    pub version: u64,
    /// Indexes of completed tasks.
    pub done: BTreeSet<u32>,
    /// Tasks that are neither done nor possibly on a machine.
    pub waiting: BTreeSet<u32>,
    /// Machines on which tasks of this job failed since a task of it last ran well.
    pub failed_on: BTreeSet<MachineId>,
    /// When the last of them failed.
    pub failed_at: Timestamp,
    /// It failed on a machine that later started other work without problems.
    pub failed_on_healthy_machine: bool,
    /// Number of rounds of failures on several machines; tasks that fail at the same time count as
    /// one.
    pub failure_rounds: u32,
    /// Not placed before this time.
    pub backoff_until: Timestamp,
    /// Neither placed nor counted as waiting at any time, because it is on hold or its cluster is
    /// not accepted yet.
    pub parked: bool,
    /// Current attempt of the gang, being placed or running.
    pub gang: Option<crate::scheduling::gangs::GangAttempt>,
    /// The gang was seen running in this term, so it no longer waits for its first start.
    pub has_started: bool,
    /// What this leader observed of it, for the accounts of its team.
    pub execution_stats: ExecutionStats,
    /// Age of the job when this leader loaded it, in ms.
    pub age_ms_at_load: u64,
    /// When this leader loaded the job.
    pub loaded_at: Timestamp,
}

impl Job {
    /// A job of which nothing has been placed yet.
    pub fn new(spec: JobSpec, version: u64, now: Timestamp, wall_ms: u64) -> Job {
        let waiting = (0..spec.tasks).collect();
        let age_ms_at_load = wall_ms.saturating_sub(spec.submitted_ms);
        Job {
            spec,
            version,
            done: BTreeSet::new(),
            waiting,
            failed_on: BTreeSet::new(),
            failed_at: 0,
            failed_on_healthy_machine: false,
            failure_rounds: 0,
            backoff_until: 0,
            parked: false,
            gang: None,
            has_started: false,
            execution_stats: ExecutionStats::default(),
            age_ms_at_load,
            loaded_at: now,
        }
    }

    /// Time since the submission.
    pub fn age_ms(&self, now: Timestamp) -> u64 {
        self.age_ms_at_load + now.saturating_sub(self.loaded_at)
    }

    /// Its tasks fail on different machines, so the cause is the job rather than they.
    pub fn fails_on_many_machines(&self) -> bool {
        self.failed_on.len() >= crate::constants::FAILING_JOB_MACHINES
    }

    /// Machines on which none of its tasks is placed for a while. A job that fails everywhere
    /// avoids none. The avoidance ends after [`FAILED_MACHINE_AVOIDANCE_MS`]: otherwise a job
    /// waited forever after one failure when the only machine was healthy.
    pub fn avoided_machines(&self, now: Timestamp) -> &BTreeSet<MachineId> {
        static NONE: BTreeSet<MachineId> = BTreeSet::new();
        if self.fails_on_many_machines() || now >= self.failed_at + FAILED_MACHINE_AVOIDANCE_MS {
            &NONE
        } else {
            &self.failed_on
        }
    }

    /// Number of its tasks that must start together.
    pub fn gang_size(&self) -> u32 {
        match self.spec.shape {
            Shape::Gang => self.spec.tasks,
            Shape::Array | Shape::Service => 1,
        }
    }

    /// Whether all its tasks are done. A service never completes.
    pub fn is_complete(&self) -> bool {
        self.spec.shape != Shape::Service && self.done.len() as u32 == self.spec.tasks
    }
}
