//! Messages of the platform's interfaces: users, workers, the cloud and the state service. The
//! platform's own field names (Picks, Baton, Rigs, …) appear only here, as serde names.

use crate::model::MachineKind;
use indigopath_accounting::VisibleJob;
use serde::de::IntoDeserializer;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeMap;

/// Prefix of every job id.
pub const JOB_PREFIX: &str = "wk-";

/// How the tasks of a job relate to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that run at the same time or not at all.
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

impl Shape {
    /// The number of a job's tasks that the team's limit must allow at the same time: one task of an
    /// array, all tasks of a gang or service.
    pub fn concurrent_tasks(self, tasks: u64) -> u64 {
        match self {
            Shape::Array => 1,
            Shape::Gang | Shape::Service => tasks,
        }
    }
}

/// Priority of a job, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "critical")]
    Production,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "standard")]
    Normal,
    #[serde(rename = "low")]
    Low,
}

/// Deserializes an enum from a string only: derived code would also accept `{"gang":null}` in JSON.
fn enum_from_string<'de, D: Deserializer<'de>, T: Deserialize<'de>>(deserializer: D) -> Result<T, D::Error> {
    T::deserialize(String::deserialize(deserializer)?.into_deserializer())
}

/// A submission as users send it. Nullable fields (types, zone, deadline) may also be missing.
#[derive(Debug, Clone, Deserialize)]
pub struct JobSubmission {
    #[serde(rename = "Id")]
    pub id: String,
    #[serde(rename = "Lane")]
    pub class: String,
    #[serde(rename = "Crew")]
    pub team: String,
    #[serde(rename = "Shape", deserialize_with = "enum_from_string")]
    pub shape: Shape,
    #[serde(rename = "Urgency", deserialize_with = "enum_from_string")]
    pub priority: Priority,
    #[serde(rename = "Picks")]
    pub tasks: u64,
    #[serde(rename = "Cpus")]
    pub cpus: f64,
    #[serde(rename = "Gpus")]
    pub gpus: f64,
    #[serde(rename = "MemGb")]
    pub memory_gb: f64,
    #[serde(rename = "Kit")]
    pub image: String,
    #[serde(rename = "PullGb")]
    pub image_gb: f64,
    #[serde(rename = "Rigs")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "Yard")]
    pub zone: Option<String>,
    #[serde(rename = "OneZone")]
    pub one_zone: bool,
    #[serde(rename = "Apart")]
    pub spread: bool,
    #[serde(rename = "Loaners")]
    pub spot: bool,
    #[serde(rename = "RuntimeS")]
    pub estimate_s: f64,
    #[serde(rename = "StashEveryS")]
    pub checkpoint_s: f64,
    #[serde(rename = "StashS")]
    pub save_s: f64,
    #[serde(rename = "DueS")]
    pub deadline_s: Option<f64>,
    /// Units of counted resources that each task uses, by resource name.
    #[serde(rename = "Counts", default)]
    pub counts: Option<BTreeMap<String, u64>>,
}

/// Status of a job as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    Pending,
    Running,
    Done,
    Cancelled,
}

/// Response to a user's request about one job.
#[derive(Debug, Serialize)]
pub struct JobStatusResponse<'a> {
    #[serde(rename = "Id")]
    id: &'a str,
    #[serde(rename = "Status")]
    status: JobStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u64>,
}

impl<'a> JobStatusResponse<'a> {
    /// Builds the response; task counts are included only if the requester may see the job's progress.
    pub fn of(
        permission: &'a VisibleJob,
        status: JobStatus,
        done: Option<u64>,
        running: Option<u64>,
    ) -> JobStatusResponse<'a> {
        JobStatusResponse {
            id: permission.job(),
            status,
            done: done.filter(|_| permission.shows_progress()),
            running: running.filter(|_| permission.shows_progress()),
        }
    }
}

/// Response to a request that failed or was rejected.
#[derive(Debug, Serialize)]
pub struct ErrorResponse<'a> {
    pub error: &'a str,
}

/// State of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// The worker fetches the task's image.
    #[serde(rename = "pulling")]
    Fetching,
    /// The task waits for the other tasks of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    /// The task saves a checkpoint.
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task ended, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEndCause {
    #[serde(rename = "done")]
    Done,
    /// The worker was told to stop it.
    #[serde(rename = "halted")]
    Stopped,
    /// Other tasks of its gang ended.
    #[serde(rename = "mates_gone")]
    Peers,
    /// The other tasks of its gang did not arrive in time.
    #[serde(rename = "incomplete")]
    Alone,
    #[serde(rename = "error")]
    Error,
    /// The worker lacks the capacity.
    #[serde(rename = "full")]
    NoRoom,
    /// The worker still runs another attempt.
    #[serde(rename = "in_use")]
    Busy,
    /// The worker does not know the task.
    #[serde(rename = "no_such")]
    Unknown,
    /// A cause unknown to this version; the task has ended regardless.
    #[serde(other)]
    Other,
}

/// Status of one task in a worker's heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "Pick")]
    pub task: String,
    #[serde(rename = "Try")]
    pub attempt: u64,
    #[serde(rename = "Status")]
    pub state: TaskState,
    #[serde(rename = "Cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<TaskEndCause>,
    #[serde(rename = "Kept", default)]
    pub checkpoint_saved: Option<bool>,
}

/// A worker's periodic report of itself and its tasks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "Host")]
    pub machine: String,
    #[serde(rename = "Endpoint")]
    pub addr: String,
    #[serde(rename = "Rig")]
    pub machine_type: String,
    #[serde(rename = "Yard")]
    pub zone: String,
    #[serde(rename = "Loaners", default)]
    pub spot: bool,
    #[serde(rename = "Shift")]
    pub agent_epoch: u64,
    #[serde(rename = "Tick")]
    pub seq: u64,
    #[serde(rename = "Baton")]
    pub token: u64,
    #[serde(rename = "WarningS", default)]
    pub reclaim_notice_s: Option<f64>,
    #[serde(rename = "Picks", default)]
    pub tasks: Vec<TaskStatus>,
}

/// What a worker is told to do with a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandKind {
    #[serde(rename = "run")]
    Start,
    #[serde(rename = "stop")]
    Stop,
    /// Stop reporting an ended task.
    #[serde(rename = "forget")]
    Forget,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommand {
    #[serde(rename = "Verb")]
    pub kind: CommandKind,
    #[serde(rename = "Pick")]
    pub task: String,
    #[serde(rename = "Try")]
    pub attempt: u64,
    #[serde(rename = "WindDownS", skip_serializing_if = "Option::is_none", default)]
    pub grace_s: Option<f64>,
}

/// Response to a heartbeat, with commands for the worker.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "Baton")]
    pub token: u64,
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Commands that the leader sends to a worker without waiting for its next heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    #[serde(rename = "Baton")]
    pub token: u64,
    #[serde(rename = "Shift")]
    pub agent_epoch: u64,
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Redirects a sender to the leader, if it is known.
#[derive(Debug, Serialize)]
pub struct Redirect<'a> {
    #[serde(rename = "Foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<&'a str>,
}

/// A machine type as the cloud offers it; also stored in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "Label")]
    pub name: String,
    #[serde(rename = "Cpus")]
    pub cpus: f64,
    #[serde(rename = "Gpus")]
    pub gpus: f64,
    #[serde(rename = "MemGb")]
    pub memory_gb: f64,
    #[serde(rename = "CacheGb")]
    pub cache_gb: f64,
    #[serde(rename = "FetchGbPerS")]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "Rate")]
    pub price: f64,
    #[serde(rename = "LowPrice")]
    pub spot_price: f64,
    #[serde(rename = "StartupS")]
    pub boot_s: f64,
    #[serde(rename = "Yards")]
    pub zones: Vec<String>,
}

/// All machine types that the cloud offers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypeList {
    #[serde(rename = "Rigs")]
    pub types: Vec<MachineType>,
}

/// A request to the cloud for new machines of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LaunchRequest {
    #[serde(rename = "Hire")]
    pub request: String,
    #[serde(rename = "Rig")]
    pub machine_type: String,
    #[serde(rename = "Yard")]
    pub zone: String,
    #[serde(rename = "Loaners")]
    pub spot: bool,
    #[serde(rename = "Count")]
    pub count: u32,
}

impl LaunchRequest {
    pub fn kind(&self) -> MachineKind {
        (self.machine_type.clone(), self.zone.clone(), self.spot)
    }
}

/// Machine names: the response to a rental request and the body of a return request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "Hosts")]
    pub machines: Vec<String>,
}

/// Status of a machine in the cloud's listing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedStatus {
    #[serde(rename = "booting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

/// A rented machine in the cloud's listing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "Id")]
    pub id: String,
    #[serde(rename = "Endpoint", default)]
    pub addr: Option<String>,
    #[serde(rename = "Rig")]
    pub machine_type: String,
    #[serde(rename = "Yard")]
    pub zone: String,
    #[serde(rename = "Loaners", default)]
    pub spot: bool,
    #[serde(rename = "Status")]
    pub status: ListedStatus,
    #[serde(rename = "HeldS", default)]
    pub age_s: f64,
}

/// One page of the cloud's listing of rented machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachinePage {
    #[serde(rename = "Hosts")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "HasNext", default)]
    pub has_more: bool,
}

/// A key of the state service with its value and version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredItem {
    #[serde(rename = "Path")]
    pub key: String,
    #[serde(rename = "V")]
    pub value: serde_json::Value,
    #[serde(rename = "Stamp")]
    pub version: u64,
    /// The lease that the key is attached to.
    #[serde(rename = "Permit", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// One page of the keys below a prefix.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredPage {
    #[serde(rename = "Pairs")]
    pub items: Vec<StoredItem>,
    #[serde(rename = "HasNext", default)]
    pub has_more: bool,
    #[serde(rename = "Ledger")]
    pub revision: u64,
}

/// Requires that a key has this version; version 0 means that the key is absent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "Path")]
    pub key: String,
    #[serde(rename = "Stamp")]
    pub version: u64,
}

/// A change of one key. The value is a JSON tree or already serialized JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change<V = serde_json::Value> {
    Put {
        #[serde(rename = "Put")]
        key: String,
        #[serde(rename = "V")]
        value: V,
        #[serde(rename = "Permit", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "Delete")]
        key: String,
    },
}

/// Changes that are applied together if all conditions hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction<V = serde_json::Value> {
    #[serde(rename = "If")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "Then", default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change<V>>,
}

/// Result of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TransactionResponse {
    #[serde(rename = "Ledger")]
    pub revision: u64,
    /// Keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Requests a lease of the state service.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    #[serde(rename = "LifeMs")]
    pub ttl_ms: u64,
}

/// The id of a granted lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    #[serde(rename = "Permit")]
    pub lease: u64,
}

/// A change of one key that a watch reports.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    Put {
        #[serde(rename = "Put")]
        key: String,
        #[serde(rename = "V")]
        value: serde_json::Value,
        #[serde(rename = "Stamp")]
        version: u64,
    },
    Delete {
        #[serde(rename = "Delete")]
        key: String,
    },
}

/// Response to a watch: the events since the requested revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchResponse {
    #[serde(rename = "Ledger")]
    pub revision: u64,
    #[serde(rename = "News", default)]
    pub events: Vec<WatchEvent>,
}

/// URL paths of the served and the called interfaces.
pub mod paths {
    use crate::constants::LIST_PAGE_MACHINES;

    pub const JOBS: &str = "/v1/jobs";
    pub const CANCEL: &str = "withdraw";
    pub const REPORT: &str = "/v1/report";
    pub const HEALTH: &str = "/healthz";
    pub const COUNTS: &str = "/v1/counts";
    pub const HOLDERS: &str = "holders";
    pub const EXPLAIN: &str = "explain/";
    pub const METRICS: &str = "/metrics";
    /// HTCondor submit files and their clusters.
    pub const CONDOR: &str = "/v1/condor/";
    pub const CLUSTERS: &str = "/v1/condor/clusters";
    /// Path at which a licence server serves the output of `lmstat -a`.
    pub const LICENCES: &str = "/lmstat";
    pub const DIRECT_COMMANDS: &str = "/do";
    pub const INSPECT: &str = "/inspect";
    pub const MACHINE_TYPES: &str = "/flavors";
    pub const RENTALS: &str = "/rentals";
    pub const RELEASE_MACHINES: &str = "/rentals/return";
    pub const TRANSACTION: &str = "/multi";
    pub const LEASES: &str = "/holds";

    pub fn key(key: &str) -> String {
        format!("/store/{key}")
    }

    pub fn page(prefix: &str, after: Option<&str>, limit: u32) -> String {
        match after {
            Some(after) => format!("/store?Under={prefix}&From={after}&Limit={limit}"),
            None => format!("/store?Under={prefix}&Limit={limit}"),
        }
    }

    pub fn watch(prefix: &str, after: u64, hold_ms: u64) -> String {
        format!("/changes?Under={prefix}&From={after}&HoldMs={hold_ms}")
    }

    pub fn renew_lease(lease: u64) -> String {
        format!("/holds/{lease}/touch")
    }

    pub fn lease(lease: u64) -> String {
        format!("/holds/{lease}")
    }

    pub fn listing(after: Option<&str>) -> String {
        match after {
            Some(after) => format!("/rentals?From={after}&Limit={LIST_PAGE_MACHINES}"),
            None => format!("/rentals?Limit={LIST_PAGE_MACHINES}"),
        }
    }
}
