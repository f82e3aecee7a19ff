//! Jobs, tasks, teams and machines in the field's usual terms.

use crate::constants::FAILED_MACHINE_AVOIDANCE_MS;
use crate::protocol::{MachineType, Priority, Shape};
use crate::settings::Team;
use indigopath_accounting::ExecutionStats;
use indigopath_condor::{KindSet, Part};
use indigopath_counted_resources::Demand;
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::ops::{AddAssign, SubAssign};
use std::sync::Arc;

/// Steady time in milliseconds, from any fixed start.
pub type Timestamp = u64;

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

/// Machines on which something of a job is or may have been: never fewer than the
/// ledger says, so that whoever asks after a job need not look at the whole fleet.
pub type TaskLocations = HashMap<JobId, BTreeSet<MachineId>>;

/// Machine types that the cloud offers, by name.
pub type MachineTypes = BTreeMap<String, MachineType>;

/// What a machine is to the cloud: its type, its zone, and whether it is a spot one.
pub type MachineKind = (String, String, bool);

/// One task of a job.
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
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
        Some(TaskId {
            job: JobId(Arc::from(job)),
            index: index.parse().ok()?,
        })
    }
}

/// Amounts that a task takes or a machine has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Tolerance for sums of decimal amounts.
const EPSILON: f64 = 1e-6;

impl Resources {
    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus + EPSILON
            && self.gpus <= room.gpus + EPSILON
            && self.memory_gb <= room.memory_gb + EPSILON
    }

    pub fn scaled_by(&self, n: f64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory_gb: self.memory_gb * n,
        }
    }

    /// How many such tasks an empty `room` takes.
    pub fn instances_in(&self, room: &Resources) -> f64 {
        let per = |need: f64, have: f64| {
            if need > 0.0 {
                (have + EPSILON) / need
            } else {
                f64::INFINITY
            }
        };
        per(self.cpus, room.cpus)
            .min(per(self.gpus, room.gpus))
            .min(per(self.memory_gb, room.memory_gb))
            .floor()
    }

    /// The largest share that this takes of any of `whole`'s amounts.
    pub fn share_of(&self, whole: &Resources) -> f64 {
        let share = |part: f64, whole: f64| if part > 0.0 { part / whole } else { 0.0 };
        share(self.cpus, whole.cpus)
            .max(share(self.gpus, whole.gpus))
            .max(share(self.memory_gb, whole.memory_gb))
    }

    /// The smallest share that is left of any of `whole`'s amounts.
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
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Seconds that an image of this size takes to fetch, alone.
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

    /// Whether `used` stays within the team's guarantee. A team without any has
    /// none; where only one amount is guaranteed, the other does not count.
    pub fn guarantees(&self, used: &Resources) -> bool {
        (self.cpus > 0.0 || self.gpus > 0.0)
            && (self.cpus == 0.0 || used.cpus <= self.cpus + EPSILON)
            && (self.gpus == 0.0 || used.gpus <= self.gpus + EPSILON)
    }
}

/// A job as accepted. This is also its record in the state service.
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
    /// Units of counts that each task takes. Not in records of earlier builds.
    #[serde(default, skip_serializing_if = "Demand::is_empty")]
    pub counts: Demand,
    /// Kinds of machines that an expression allows, where there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kinds: Option<Arc<KindSet>>,
    /// What a job of a submit file keeps of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub condor: Option<Arc<Part>>,
    /// Time of day of the submission at the accepting node, in ms since 1970.
    pub submitted_ms: u64,
}

impl JobSpec {
    /// Whether a task of this job may be on such a machine at all, whatever else
    /// is there. The one predicate behind intake, placement and renting.
    pub fn is_eligible(&self, machine_type: &MachineType, zone: &str, spot: bool) -> bool {
        self.allows(&machine_type.name, zone, spot) && self.needs.fits_in(&machine_type.resources())
    }

    /// Whether the submission allows the type, the zone and the kind of machine.
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
                .is_none_or(|kinds| kinds.step(machine_type, zone, spot).is_some())
    }

    /// The cluster of whose jobs it is one.
    pub fn cluster(&self) -> Option<u64> {
        self.condor.as_ref().map(|part| part.cluster)
    }

    /// Most tasks that may be in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    pub fn writes_checkpoints(&self) -> bool {
        self.checkpoint_s > 0.0
    }
}

/// Work on a live job, as its leader knows it.
#[derive(Debug)]
pub struct Job {
    pub spec: JobSpec,
    /// Version of the job's record: a start is recorded only while it holds.
    pub version: u64,
    pub done: BTreeSet<u32>,
    /// Tasks neither done nor possibly on a machine.
    pub waiting: BTreeSet<u32>,
    /// Machines on which tasks of this job failed, since one last ran well.
    pub failed_on: BTreeSet<MachineId>,
    /// When the last of them failed.
    pub failed_at: Timestamp,
    /// It failed on a machine that started other work well afterwards.
    pub failed_on_healthy_machine: bool,
    /// Rounds of failures on several machines; many tasks failing at once are one.
    pub failure_rounds: u32,
    /// Not placed before then.
    pub backoff_until: Timestamp,
    /// Not placed, nor counted as waiting, whatever the time: it is held, or its cluster is
    /// not accepted yet.
    pub parked: bool,
    /// Attempt of the gang that is being placed or runs.
    pub gang: Option<crate::scheduling::gangs::GangAttempt>,
    /// The gang was seen to run, in this term: it waits for no first start.
    pub has_started: bool,
    /// What this leader saw of it, for its team's book.
    pub execution_stats: ExecutionStats,
    /// When this leader learnt of the job, for its order among equals.
    pub age_ms_at_load: u64,
    pub loaded_at: Timestamp,
}

impl Job {
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

    /// Its tasks fail on different machines: the job is to blame, not they.
    pub fn fails_on_many_machines(&self) -> bool {
        self.failed_on.len() >= crate::constants::FAILING_JOB_MACHINES
    }

    /// Machines on which none of its tasks is tried for a while. A job that fails everywhere avoids none;
    /// nor does one for ever: on the only machine that there was, sound but for one task's end, it waited for
    /// good.
    pub fn avoided_machines(&self, now: Timestamp) -> &BTreeSet<MachineId> {
        static NONE: BTreeSet<MachineId> = BTreeSet::new();
        if self.fails_on_many_machines() || now >= self.failed_at + FAILED_MACHINE_AVOIDANCE_MS {
            &NONE
        } else {
            &self.failed_on
        }
    }

    /// Tasks of it that start together or not at all.
    pub fn gang_size(&self) -> u32 {
        match self.spec.shape {
            Shape::Gang => self.spec.tasks,
            Shape::Array | Shape::Service => 1,
        }
    }

    pub fn is_complete(&self) -> bool {
        self.spec.shape != Shape::Service && self.done.len() as u32 == self.spec.tasks
    }
}
