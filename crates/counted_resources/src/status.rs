//! What people and programs are told of counts.

use serde::{Deserialize, Serialize};

/// A count at a glance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CountStatus {
    pub name: String,
    /// As operators define it; `None` if they do not any more.
    pub units: Option<u32>,
    /// What may be held at most: less than `units` where the licence covers less.
    pub usable: u32,
    /// Units of tasks that are, or may be, on a machine.
    pub held: u32,
    /// Of them, units of tasks that are being stopped.
    pub leaving: u32,
    /// Units that nobody uses, but that the licence server has not got back yet.
    pub lingering: u32,
    /// Units that users outside hold.
    pub others: u32,
    pub free: u32,
    /// Units kept for a request that has waited for long.
    pub kept: u32,
    /// Units that tasks wait for.
    pub waiting: u64,
    /// How often more was held than there is.
    pub oversubscribed: u64,
    /// Why nothing more may start, if so.
    pub closed: Option<String>,
    pub teams: Vec<TeamStatus>,
    pub server: Option<ServerStatus>,
}

/// What a team has of a count.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamStatus {
    pub team: String,
    /// Units that it is guaranteed.
    pub share: u32,
    /// Units that it holds, lingering ones included.
    pub used: u32,
}

/// A count's licence server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    pub addr: String,
    /// Seconds since its last word, if there was any.
    pub heard_s: Option<f64>,
    pub total: Option<u32>,
    pub in_use: Option<u32>,
    /// What the last answer lacked.
    pub problem: Option<String>,
}

/// The answer to `GET /v1/counts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CountList {
    pub counts: Vec<CountStatus>,
}

/// A task, or units that linger after one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Holder {
    pub count: String,
    pub units: u32,
    pub team: String,
    /// `None` for lingering units.
    pub task: Option<String>,
    pub machine: Option<String>,
    /// `planned`, `sent`, `running`, `stopping`, `uncertain` or `lingering`.
    pub state: String,
    /// Seconds since the task was placed, or until lingering units are free.
    pub seconds: f64,
}

/// The answer to `GET /v1/counts/holders`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HolderList {
    pub holders: Vec<Holder>,
}

/// One count that a job asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestedCount {
    pub count: String,
    /// Units that it needs to go on: one task's, or a whole gang's.
    pub needs: u64,
    pub free: u32,
    /// Units kept for an older request.
    pub kept: u32,
    /// Units that jobs before it in the order wait for.
    pub ahead: u64,
    pub why: Option<String>,
}

/// The answer to `GET /v1/counts/explain/{id}`: of this job alone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    #[serde(rename = "Id")]
    pub id: String,
    /// Tasks that wait, for whatever.
    pub waiting: u32,
    /// In one sentence.
    pub verdict: String,
    pub counts: Vec<RequestedCount>,
}
