//! HTCondor submit files on this core: what they are held against, the jobs that they
//! become, and the operations on their clusters.

mod cluster_api;
mod plan;

pub use cluster_api::{ClusterAction, Context, Route, SubmitFileService, Target, parse_target, route};

use crate::model::{JobId, JobSpec};
use crate::protocol::MachineType;
use crate::settings::Deployment;
use crate::storage::records::{self, Record};
use indigopath_accounting::{Access, Entry, TeamHistory};
use indigopath_condor::cluster::{
    ClusterRecord, NextClusterRecord, OPEN_MARKER, OpenClusterRecord, SubmissionKeyRecord,
};
use indigopath_condor::{CondorSettings, HoldReason, MachineKinds, Site, Team};
use indigopath_counted_resources::Definitions;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

impl Record for NextClusterRecord {}
impl Record for SubmissionKeyRecord {}
impl Record for OpenClusterRecord {}
impl Record for ClusterRecord {}

/// What the numbers of jobs of submit files begin with; twenty digits in all, the most that
/// an id has. Users' own ids of that form are refused where submit files are served.
const JOB_ID_PREFIX: &str = "wk-99";

/// Digits of a cluster's number in an id.
const CLUSTER_DIGITS: usize = 10;

/// Digits of a job's number within its cluster.
const INDEX_DIGITS: usize = 8;

/// Largest number of a cluster.
pub const MAX_CLUSTER: u64 = 9_999_999_999;

/// The id of a cluster's job.
pub fn job_id(cluster: u64, index: u32) -> JobId {
    JobId(Arc::from(format!(
        "{JOB_ID_PREFIX}{cluster:0CLUSTER_DIGITS$}{index:0INDEX_DIGITS$}"
    )))
}

/// Whether an id is of the form that submit files' jobs have.
pub fn is_reserved(id: &JobId) -> bool {
    id.0.starts_with(JOB_ID_PREFIX) && id.0.len() == JOB_ID_PREFIX.len() + CLUSTER_DIGITS + INDEX_DIGITS
}

/// Prefix of the keys of a cluster's live, or ended, jobs.
pub fn jobs_prefix(prefix: &str, cluster: u64) -> String {
    format!("{prefix}{JOB_ID_PREFIX}{cluster:0CLUSTER_DIGITS$}")
}

/// Key that stands while a cluster is being recorded.
pub fn open_key(cluster: u64) -> String {
    format!("{}{OPEN_MARKER}{cluster:0CLUSTER_DIGITS$}", records::JOB_PREFIX)
}

/// The cluster of such a key.
pub fn parse_open_key(key: &str) -> Option<u64> {
    key.strip_prefix(records::JOB_PREFIX)?
        .strip_prefix(OPEN_MARKER)?
        .parse()
        .ok()
}

/// The site as submit files see it.
pub fn site(
    deployment: &Deployment,
    types: &[MachineType],
    counts: &Definitions,
    settings: &CondorSettings,
) -> Site {
    let types: Vec<indigopath_condor::MachineType> = types
        .iter()
        .map(|machine_type| indigopath_condor::MachineType {
            name: machine_type.name.clone(),
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
            price: machine_type.price,
            spot_price: machine_type.spot_price,
            zones: machine_type.zones.clone(),
        })
        .collect();
    let teams = deployment.teams.iter().map(|team| Team {
        name: team.name.clone(),
        cpus_max: team.cpus_max,
        gpus_max: team.gpus_max,
    });
    Site {
        kinds: MachineKinds::new(&types, &deployment.zones, settings),
        teams: teams.collect(),
        counts: counts.clone(),
        settings: settings.clone(),
    }
}

/// Whether a team's limit would ever let tasks of the job that run together start.
fn within_limit(spec: &JobSpec, team: &crate::settings::Team) -> bool {
    let together = spec.shape.concurrent_tasks(u64::from(spec.tasks));
    team.allows(&spec.needs.scaled_by(together as f64))
}

/// The job without those of its holds that the settings in force no longer call for; `None`
/// if they call for all of them.
pub fn without_obsolete_holds(
    spec: &JobSpec,
    deployment: &Deployment,
    default_team: Option<&str>,
) -> Option<JobSpec> {
    let origin = spec.condor.as_ref()?;
    origin.holds.iter().find(|hold| hold.reason != HoldReason::User)?;
    let named = if spec.team.is_empty() {
        default_team?
    } else {
        &spec.team
    };
    let team = deployment
        .teams
        .iter()
        .find(|team| team.name.eq_ignore_ascii_case(named))?;
    let mut origin = (**origin).clone();
    let before = origin.holds.len();
    origin.holds.retain(|hold| match hold.reason {
        HoldReason::User => true,
        HoldReason::Team => false,
        HoldReason::Limit => !within_limit(spec, team),
    });
    if origin.holds.len() == before {
        return None;
    }
    // A team that was not known when the file came had no limit to be held against.
    if !within_limit(spec, team) && origin.holds.iter().all(|hold| hold.reason != HoldReason::Limit) {
        origin.holds.push(indigopath_condor::Hold {
            reason: HoldReason::Limit,
            text: format!("it needs more at once than team {}'s limit", team.name),
        });
    }
    Some(JobSpec {
        team: team.name.clone(),
        condor: Some(Arc::new(origin)),
        ..spec.clone()
    })
}

/// How a cluster's job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RowState {
    Idle,
    Running,
    Held,
}

/// Marks what was told to somebody whom the gate let through to the job: nothing else makes one
/// here. Read back by a client, it says nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccessProof(());

impl AccessProof {
    pub fn from_access(_access: &Access) -> AccessProof {
        AccessProof(())
    }

    fn unchecked() -> AccessProof {
        AccessProof(())
    }
}

/// A live job of a submit file, for display.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueRow {
    #[serde(skip, default = "AccessProof::unchecked")]
    pub access_proof: AccessProof,
    pub job: String,
    pub cluster: u64,
    pub procs: String,
    pub owner: String,
    pub team: String,
    /// Time of day, in ms since 1970.
    pub submitted_ms: u64,
    pub state: RowState,
    /// Its tasks run together and are one proc.
    pub gang: bool,
    pub tasks: u32,
    pub done: u32,
    pub running: u32,
    pub memory_gb: f64,
    pub cmd: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hold: Option<String>,
    /// Its user may release it: nothing else holds it.
    pub releasable: bool,
    /// What it waits for: `nothing`, `held`, `recording`, `retry`, `units`, `machines` or `turn`.
    #[serde(default)]
    pub waits: String,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueList {
    pub jobs: Vec<QueueRow>,
}

/// What a submitter is told of an accepted cluster.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedCluster {
    pub cluster: u64,
    pub procs: u32,
    pub jobs: u32,
    /// Procs that wait for a reason, with it.
    #[serde(default)]
    pub held: Vec<ProcsOutcome>,
    #[serde(default)]
    pub notes: Vec<String>,
}

/// What became of some procs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProcsOutcome {
    pub procs: String,
    pub verdict: String,
    pub reason: String,
}

/// A file that is not taken, as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SubmitRejection {
    pub error: String,
    #[serde(default)]
    pub refused: Vec<ProcsOutcome>,
}

/// What came of holding, releasing or removing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeSummary {
    pub cluster: u64,
    /// Procs that are as they were asked to be.
    pub procs: u32,
    /// Those that are not, and why.
    #[serde(default)]
    pub not: Vec<ProcsOutcome>,
}

/// One job of a cluster, live or over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryJob {
    #[serde(skip, default = "AccessProof::unchecked")]
    pub access_proof: AccessProof,
    pub job: String,
    /// Its tasks, or those that were done when it ended.
    pub tasks: u32,
    pub state: String,
    /// How it ended, where its record says so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<Entry>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The latest last.
    pub clusters: Vec<ClusterRecord>,
    /// Of a single cluster.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub jobs: Vec<HistoryJob>,
    /// The asking team's book, where no cluster is named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub book: Option<TeamHistory>,
}

#[cfg(test)]
mod tests;
