//! HTCondor submit files in the controller: the site against which they are matched, the jobs that
//! are created from them, and the operations on their clusters.

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

/// Prefix of the ids of jobs from submit files, which have twenty digits, the most that an id
/// allows. Where submit files are served, users cannot choose ids of this form.
const JOB_ID_PREFIX: &str = "wk-99";

/// Digits of the cluster number in a job id.
const CLUSTER_DIGITS: usize = 10;

/// Digits of the job's index within its cluster in a job id.
const INDEX_DIGITS: usize = 8;

/// Largest cluster number.
pub const MAX_CLUSTER: u64 = 9_999_999_999;

/// Returns the id of a cluster's job.
pub fn job_id(cluster: u64, index: u32) -> JobId {
    JobId(Arc::from(format!(
        "{JOB_ID_PREFIX}{cluster:0CLUSTER_DIGITS$}{index:0INDEX_DIGITS$}"
    )))
}

/// Whether an id has the form reserved for jobs from submit files.
pub fn is_reserved(id: &JobId) -> bool {
    id.0.starts_with(JOB_ID_PREFIX) && id.0.len() == JOB_ID_PREFIX.len() + CLUSTER_DIGITS + INDEX_DIGITS
}

/// Returns the common prefix of the keys of a cluster's jobs, below the prefix of live or of ended
/// jobs.
pub fn jobs_prefix(prefix: &str, cluster: u64) -> String {
    format!("{prefix}{JOB_ID_PREFIX}{cluster:0CLUSTER_DIGITS$}")
}

/// Returns the key of an open cluster's record, which exists while the cluster is being recorded.
pub fn open_key(cluster: u64) -> String {
    format!("{}{OPEN_MARKER}{cluster:0CLUSTER_DIGITS$}", records::JOB_PREFIX)
}

/// Parses a key made by [`open_key`] and returns its cluster.
pub fn parse_open_key(key: &str) -> Option<u64> {
    key.strip_prefix(records::JOB_PREFIX)?
        .strip_prefix(OPEN_MARKER)?
        .parse()
        .ok()
}

/// Describes the site as submit files are matched against it.
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

/// Whether the team's limit allows the tasks of the job that run together.
fn fits_team_limit(spec: &JobSpec, team: &crate::settings::Team) -> bool {
    let together = spec.shape.concurrent_tasks(u64::from(spec.tasks));
    team.allows(&spec.needs.scaled_by(together as f64))
}

/// Returns the job without the holds that the current settings no longer require; `None` if they
/// require all of them.
pub fn without_obsolete_holds(
    spec: &JobSpec,
    deployment: &Deployment,
    default_team: Option<&str>,
) -> Option<JobSpec> {
    let origin = spec.condor.as_ref()?;
    origin.holds.iter().find(|hold| hold.reason != HoldReason::User)?;
    let team_name = if spec.team.is_empty() {
        default_team?
    } else {
        &spec.team
    };
    let team = deployment
        .teams
        .iter()
        .find(|team| team.name.eq_ignore_ascii_case(team_name))?;
    let mut origin = (**origin).clone();
    let before = origin.holds.len();
    origin.holds.retain(|hold| match hold.reason {
        HoldReason::User => true,
        HoldReason::Team => false,
        HoldReason::Limit => !fits_team_limit(spec, team),
    });
    if origin.holds.len() == before {
        return None;
    }
    // A job whose team was unknown at submission was not yet checked against the team's limit.
    if !fits_team_limit(spec, team) && origin.holds.iter().all(|hold| hold.reason != HoldReason::Limit) {
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

/// State of a live job from a submit file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RowState {
    Idle,
    Running,
    Held,
}

/// Evidence that a value was built for a requester with access to the job: in the controller it is
/// only created from an [`Access`]. On a value that a client has deserialized it proves nothing.
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

/// A live job from a submit file, for display.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueRow {
    #[serde(skip, default = "AccessProof::unchecked")]
    pub access_proof: AccessProof,
    pub job: String,
    pub cluster: u64,
    pub procs: String,
    pub owner: String,
    pub team: String,
    /// Unix time in ms.
    pub submitted_ms: u64,
    pub state: RowState,
    /// The job's tasks run together and form one proc.
    pub gang: bool,
    pub tasks: u32,
    pub done: u32,
    pub running: u32,
    pub memory_gb: f64,
    pub cmd: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hold: Option<String>,
    /// The user can release the job: it has no other hold.
    pub releasable: bool,
    /// What the job waits for: `nothing`, `held`, `recording`, `retry`, `units`, `machines` or
    /// `turn`.
    #[serde(default)]
    pub waits: String,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueList {
    pub jobs: Vec<QueueRow>,
}

/// The response to an accepted submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedCluster {
    pub cluster: u64,
    pub procs: u32,
    pub jobs: u32,
    /// Procs that are held, with the reason.
    #[serde(default)]
    pub held: Vec<ProcsOutcome>,
    #[serde(default)]
    pub notes: Vec<String>,
}

/// A verdict on some procs, and its reason.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProcsOutcome {
    pub procs: String,
    pub verdict: String,
    pub reason: String,
}

/// The response to a submission that is rejected as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SubmitRejection {
    pub error: String,
    #[serde(default)]
    pub refused: Vec<ProcsOutcome>,
}

/// The response to a request to hold, release or remove procs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeSummary {
    pub cluster: u64,
    /// Number of procs that are in the requested state.
    pub procs: u32,
    /// Procs that are not, and why.
    #[serde(default)]
    pub not: Vec<ProcsOutcome>,
}

/// One job of a cluster, live or ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HistoryJob {
    #[serde(skip, default = "AccessProof::unchecked")]
    pub access_proof: AccessProof,
    pub job: String,
    /// Number of tasks, or for an ended job the number that had completed.
    pub tasks: u32,
    pub state: String,
    /// How the job ended, if its record says so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<Entry>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Clusters, the latest last.
    pub clusters: Vec<ClusterRecord>,
    /// Jobs, if a single cluster was requested.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub jobs: Vec<HistoryJob>,
    /// The requesting team's accounting history, if no cluster was requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub book: Option<TeamHistory>,
}

#[cfg(test)]
mod tests;
