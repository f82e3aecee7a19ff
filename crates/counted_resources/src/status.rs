//! Status of counted resources in API answers.

use serde::{Deserialize, Serialize};

/// Status of one counted resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CountStatus {
    /// Name of the counted resource.
    pub name: String,
    /// Units as defined by the operators; `None` if it is no longer defined.
    pub units: Option<u32>,
    /// Maximum units that may be held: less than `units` if the licence covers fewer.
    pub usable: u32,
    /// Units of tasks that are, or may be, on a machine.
    pub held: u32,
    /// The part of `held` whose tasks are being stopped.
    pub leaving: u32,
    /// Units no longer used, but still checked out according to the licence server.
    pub lingering: u32,
    /// Units held by clients outside the cluster.
    pub others: u32,
    /// Unused units, including reserved ones.
    pub free: u32,
    /// Units reserved for a request that has waited for long.
    pub kept: u32,
    /// Units that tasks wait for.
    pub waiting: u64,
    /// How often more units were in use than exist.
    pub oversubscribed: u64,
    /// Why no further units may be allocated, if so.
    pub closed: Option<String>,
    /// Use by each team.
    pub teams: Vec<TeamStatus>,
    /// Its licence server, if it has one.
    pub server: Option<ServerStatus>,
}

/// A team's use of a counted resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Name of the team.
    pub team: String,
    /// Guaranteed units.
    pub share: u32,
    /// Held and lingering units.
    pub used: u32,
}

/// State of the licence server of a counted resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Its address and port.
    pub addr: String,
    /// Seconds since its last answer, if there was any.
    pub heard_s: Option<f64>,
    /// Seats that the licence covers.
    pub total: Option<u32>,
    /// Seats checked out by any client.
    pub in_use: Option<u32>,
    /// Why the last answer contained no usage.
    pub problem: Option<String>,
}

/// The answer to `GET /v1/counts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CountList {
    /// All counted resources.
    pub counts: Vec<CountStatus>,
}

/// A task that holds units, or units that linger after one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Holder {
    /// The counted resource.
    pub count: String,
    /// Number of units.
    pub units: u32,
    /// The team that holds them, or did.
    pub team: String,
    /// `None` for lingering units.
    pub task: Option<String>,
    /// The machine of the task; `None` for lingering units.
    pub machine: Option<String>,
    /// `planned`, `sent`, `running`, `stopping`, `uncertain` or `lingering`.
    pub state: String,
    /// Seconds since the task was placed, or until lingering units become free.
    pub seconds: f64,
}

/// The answer to `GET /v1/counts/holders`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HolderList {
    /// All holders visible to the requester.
    pub holders: Vec<Holder>,
}

/// One counted resource that a job requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestedCount {
    /// The counted resource.
    pub count: String,
    /// Units needed to start the next task, or the whole gang.
    pub needs: u64,
    /// Unused units, including reserved ones.
    pub free: u32,
    /// Units reserved for an older request.
    pub kept: u32,
    /// Units that jobs earlier in the queue wait for.
    pub ahead: u64,
    /// Why units are lacking, if they are.
    pub why: Option<String>,
}

/// The answer to `GET /v1/counts/explain/{id}`, about a single job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Id of the job.
    #[serde(rename = "Id")]
    pub id: String,
    /// Waiting tasks, for whatever reason.
    pub waiting: u32,
    /// Why the job's tasks wait, in one sentence.
    pub verdict: String,
    /// The counted resources that it requests.
    pub counts: Vec<RequestedCount>,
}
