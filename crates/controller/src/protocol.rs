//! The platform's interfaces. Its field names (Picks, Baton, Rigs, …) appear here
//! only; the rest of the program uses the field's usual terms.

use crate::model::MachineKind;
use indigopath_accounting::VisibleJob;
use serde::de::IntoDeserializer;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeMap;

/// Prefix of every job's id.
pub const JOB_PREFIX: &str = "wk-";

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    #[serde(rename = "sweep")]
    Array,
    #[serde(rename = "gang")]
    Gang,
    #[serde(rename = "daemon")]
    Service,
}

impl Shape {
    /// Of so many tasks, those that a team's limit must allow at once: one of an array, all
    /// of the others.
    pub fn concurrent_tasks(self, tasks: u64) -> u64 {
        match self {
            Shape::Array => 1,
            Shape::Gang | Shape::Service => tasks,
        }
    }
}

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

/// Reads a name among several as a string alone: in JSON, `{"gang":null}` would do as well.
fn word<'de, D: Deserializer<'de>, T: Deserialize<'de>>(from: D) -> Result<T, D::Error> {
    T::deserialize(String::deserialize(from)?.into_deserializer())
}

/// A submission as users send it. What may be null may also be missing: types, zone and deadline.
#[derive(Debug, Clone, Deserialize)]
pub struct JobSubmission {
    #[serde(rename = "Id")]
    pub id: String,
    #[serde(rename = "Lane")]
    pub class: String,
    #[serde(rename = "Crew")]
    pub team: String,
    #[serde(rename = "Shape", deserialize_with = "word")]
    pub shape: Shape,
    #[serde(rename = "Urgency", deserialize_with = "word")]
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
    /// Units of counts that each task takes, by name.
    #[serde(rename = "Counts", default)]
    pub counts: Option<BTreeMap<String, u64>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    Pending,
    Running,
    Done,
    Cancelled,
}

/// What a user is told about a job.
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
    /// The status of the visible job; its progress only if the permission covers that.
    pub fn of(
        permission: &'a VisibleJob,
        status: JobStatus,
        done: Option<u64>,
        running: Option<u64>,
    ) -> JobStatusResponse<'a> {
        JobStatusResponse {
            id: permission.job(),
            status,
            done: done.filter(|_| permission.progress()),
            running: running.filter(|_| permission.progress()),
        }
    }
}

#[derive(Debug, Serialize)]
pub struct ErrorResponse<'a> {
    pub error: &'a str,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEndCause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "mates_gone")]
    Peers,
    #[serde(rename = "incomplete")]
    Alone,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "full")]
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    /// A cause this version does not know: the task has ended all the same.
    #[serde(other)]
    Other,
}

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
    pub notice_s: Option<f64>,
    #[serde(rename = "Picks", default)]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandKind {
    #[serde(rename = "run")]
    Start,
    #[serde(rename = "stop")]
    Stop,
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

#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "Baton")]
    pub token: u64,
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    #[serde(rename = "Baton")]
    pub token: u64,
    #[serde(rename = "Shift")]
    pub agent_epoch: u64,
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Sends a worker to the leader.
#[derive(Debug, Serialize)]
pub struct Redirect<'a> {
    #[serde(rename = "Foreman", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<&'a str>,
}

/// A machine type as the cloud offers it; also kept in the state service.
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

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Flavors {
    #[serde(rename = "Rigs")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentalRequest {
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

impl RentalRequest {
    pub fn kind(&self) -> MachineKind {
        (self.machine_type.clone(), self.zone.clone(), self.spot)
    }
}

/// Names of machines: the answer to a rental, the body of a return.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "Hosts")]
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedStatus {
    #[serde(rename = "booting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

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

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachinePage {
    #[serde(rename = "Hosts")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "HasNext", default)]
    pub has_more: bool,
}

/// One key of the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredItem {
    #[serde(rename = "Path")]
    pub key: String,
    #[serde(rename = "V")]
    pub value: serde_json::Value,
    #[serde(rename = "Stamp")]
    pub version: u64,
    /// The lease on which it hangs.
    #[serde(rename = "Permit", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredPage {
    #[serde(rename = "Pairs")]
    pub items: Vec<StoredItem>,
    #[serde(rename = "HasNext", default)]
    pub has_more: bool,
    #[serde(rename = "Ledger")]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "Path")]
    pub key: String,
    #[serde(rename = "Stamp")]
    pub version: u64,
}

/// A change of one key. Its value is a tree, or text that is JSON already.
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

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction<V = serde_json::Value> {
    #[serde(rename = "If")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "Then", default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change<V>>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TransactionResponse {
    #[serde(rename = "Ledger")]
    pub revision: u64,
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    #[serde(rename = "LifeMs")]
    pub ttl_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    #[serde(rename = "Permit")]
    pub lease: u64,
}

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

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchResponse {
    #[serde(rename = "Ledger")]
    pub revision: u64,
    #[serde(rename = "News", default)]
    pub events: Vec<WatchEvent>,
}

/// Paths of the outside interfaces.
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
    /// Submit files and their clusters.
    pub const CONDOR: &str = "/v1/condor/";
    pub const CLUSTERS: &str = "/v1/condor/clusters";
    /// Where a licence server shows what `lmstat -a` prints.
    pub const LICENCES: &str = "/lmstat";
    pub const DIRECT_COMMANDS: &str = "/do";
    pub const INSPECT: &str = "/inspect";
    pub const FLAVORS: &str = "/flavors";
    pub const RENTALS: &str = "/rentals";
    pub const RENTAL_RETURNS: &str = "/rentals/return";
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
