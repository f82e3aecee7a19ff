//! The platform's settings file: parsed here, checked here, read by everyone.
//! Fields that this version does not know are ignored, as the platform asks.

use crate::election::cancellation_watermark;
use indigopath_accounting::MAX_LANE_WEIGHT;
use indigopath_condor::{CondorSettings, CondorSettingsError};
use indigopath_counted_resources::{DefinitionError, Definitions};
use indigopath_protection_windows::Timetable;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use thiserror::Error;

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    #[serde(rename = "member")]
    pub node: String,
    #[serde(rename = "area")]
    pub zone: String,
    #[serde(rename = "bind")]
    pub listen: SocketAddrV4,
    #[serde(rename = "cluster_listen")]
    pub peer_listen: SocketAddrV4,
    #[serde(rename = "siblings", default)]
    pub peers: Vec<Peer>,
    pub services: ServiceAddresses,
    pub deployment: Deployment,
    /// The operators' shifts, as checked.
    #[serde(skip)]
    pub protection_windows: Timetable,
    /// The operators' own settings; not part of the platform's file.
    #[serde(skip)]
    pub operator: OperatorSettings,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    #[serde(rename = "member")]
    pub node: String,
    pub addr: SocketAddrV4,
}

#[derive(Debug, Clone, Deserialize)]
pub struct ServiceAddresses {
    pub cloud: SocketAddrV4,
    pub state: SocketAddrV4,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: WorkerSettings,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    #[serde(rename = "resources")]
    pub limits: NodeLimits,
    #[serde(rename = "skew_ms", default)]
    pub clock_skew_ms: f64,
}

/// A team's guarantee and limit; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// What is expected of a class of jobs, on starting or on finishing.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Part of the class that is to keep it.
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct NodeLimits {
    #[serde(rename = "ram_mb", default = "default_ram_mb")]
    pub memory_mb: f64,
    #[serde(rename = "max_sockets", default = "default_sockets")]
    pub max_connections: usize,
    /// Share of a processor core; a whole one where the platform names none.
    #[serde(default = "default_cores")]
    pub cores: f64,
}

fn default_cores() -> f64 {
    1.0
}

/// Assumed where the platform names no memory limit, in MB.
fn default_ram_mb() -> f64 {
    200.0
}

/// Assumed where the platform names no socket limit.
fn default_sockets() -> usize {
    1_000
}

/// What operators may set themselves, beyond the platform's file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Most machines rented at a time.
    pub fleet_max: u32,
    /// Seconds a machine must be idle before it is given back.
    pub idle_return_s: f64,
    /// Counted resources, such as licence seats, by name.
    #[serde(rename = "count")]
    pub counted_resources: Definitions,
    /// Whether `GET /v1/counts/holders` names the tasks that hold units. It shows ids of
    /// all teams' jobs to whoever reaches the node.
    pub show_holders: bool,
    /// Whether places are chosen by the one measure of models' weights; without it, by the fetch
    /// and preferences.
    #[serde(rename = "weights")]
    pub image_locality: bool,
    /// Windows in which services are protected, by name.
    #[serde(rename = "shift")]
    pub protection_windows: indigopath_protection_windows::Definitions,
    /// What HTCondor submit files mean here; they are served where this is given.
    pub condor: Option<CondorSettings>,
    /// Weights of teams' requests where they come faster than they can be served; 1 otherwise.
    pub request_weights: BTreeMap<String, u64>,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            fleet_max: crate::constants::DEFAULT_FLEET_MAX,
            idle_return_s: crate::constants::IDLE_RELEASE_MS as f64 / crate::constants::SECOND_MS as f64,
            counted_resources: Definitions::new(),
            show_holders: false,
            image_locality: true,
            protection_windows: indigopath_protection_windows::Definitions::new(),
            condor: None,
            request_weights: BTreeMap::new(),
        }
    }
}

impl OperatorSettings {
    /// Reads the operators' settings from whatever notation held them.
    pub fn from_value(value: serde_json::Value) -> Result<OperatorSettings, SettingsError> {
        // Two blocks of one name come as a list, which reads as nonsense below.
        let twice = |block: Option<&serde_json::Value>| {
            let blocks = block?.as_object()?;
            let (name, _) = blocks.iter().find(|(_, value)| value.is_array())?;
            Some(name.clone())
        };
        let condor = value.get("condor");
        for (path, block) in [
            ("count", value.get("count")),
            ("shift", value.get("shift")),
            ("condor.machine", condor.and_then(|condor| condor.get("machine"))),
        ] {
            if let Some(name) = twice(block) {
                return Err(bad(format!("{path}.{name}"), "is defined more than once"));
            }
        }
        if condor.is_some_and(serde_json::Value::is_array) {
            return Err(bad("condor", "is defined more than once"));
        }
        Ok(serde_path_to_error::deserialize(value)?)
    }
}

/// A setting that cannot be used, with the field's name.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The path to the field, and what is wrong there.
    #[error("{0}")]
    Unreadable(#[from] serde_path_to_error::Error<serde_json::Error>),
    #[error("{field}: {problem}")]
    Field { field: String, problem: String },
    #[error(transparent)]
    Count(#[from] DefinitionError),
    #[error(transparent)]
    Shift(#[from] indigopath_protection_windows::DefinitionError),
    #[error(transparent)]
    Condor(#[from] CondorSettingsError),
}

fn bad(field: impl Into<String>, problem: impl Into<String>) -> SettingsError {
    SettingsError::Field {
        field: field.into(),
        problem: problem.into(),
    }
}

fn positive(field: &str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        Err(bad(field, format!("must be a positive number, not {value}")))
    }
}

fn not_negative(field: impl Into<String>, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(bad(field, format!("must not be negative, is {value}")))
    }
}

impl Deployment {
    /// Times, in s, that the objectives of this kind give jobs of a class.
    pub fn within_s<'a>(&'a self, kind: &'a str, class: &'a str) -> impl Iterator<Item = f64> + 'a {
        self.objectives_of(kind, class)
            .filter_map(|objective| objective.within_s)
    }

    fn objectives_of<'a>(&'a self, kind: &'a str, class: &'a str) -> impl Iterator<Item = &'a Objective> {
        self.objectives
            .iter()
            .filter(move |objective| objective.kind == kind && objective.class.as_deref() == Some(class))
    }

    /// Part of a class's jobs that are to be done within an objective's time; without
    /// one, for owners' own deadlines, what the strictest objective of the class asks.
    pub fn finished_share(&self, class: &str, within_s: Option<f64>) -> f64 {
        self.objectives_of("finished", class)
            .filter(|objective| within_s.is_none() || objective.within_s == within_s)
            .filter_map(|objective| objective.share)
            .reduce(f64::max)
            .unwrap_or(1.0)
    }

    /// The shortest of them; infinite if there is none.
    pub fn shortest_s(&self, kind: &str, class: &str) -> f64 {
        self.within_s(kind, class).fold(f64::INFINITY, f64::min)
    }
}

impl Settings {
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let mut input = serde_json::Deserializer::from_str(text);
        let settings: Settings = serde_path_to_error::deserialize(&mut input)?;
        input
            .end()
            .map_err(|error| bad("end of file", error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        if self.node.is_empty() {
            return Err(bad("member", "must not be empty"));
        }
        if self.peers.iter().any(|peer| peer.node == self.node) {
            return Err(bad("siblings", "must not contain this node itself"));
        }
        let deployment = &self.deployment;
        if deployment.zones.is_empty() {
            return Err(bad("deployment.zones", "must not be empty"));
        }
        for team in &deployment.teams {
            for (name, value) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                not_negative(format!("deployment.teams.{}.{name}", team.name), value)?;
            }
        }
        let workers = &deployment.workers;
        positive("deployment.workers.report_s", workers.report_s)?;
        positive("deployment.workers.lease_s", workers.lease_s)?;
        positive("deployment.workers.gang_wait_s", workers.gang_wait_s)?;
        positive("deployment.workers.gang_peer_s", workers.gang_peer_s)?;
        positive("deployment.workers.cancel_s", workers.cancel_s)?;
        positive("deployment.state.rps", deployment.state.rps)?;
        positive("deployment.state.write_rps", deployment.state.write_rps)?;
        positive("deployment.state.value_kb", deployment.state.value_kb)?;
        if deployment.state.txn_ops < 4 {
            return Err(bad("deployment.state.txn_ops", "must be at least 4"));
        }
        positive("deployment.cloud.rps", deployment.cloud.rps)?;
        not_negative("deployment.cloud.list_lag_s", deployment.cloud.list_lag_s)?;
        not_negative("deployment.skew_ms", deployment.clock_skew_ms)?;
        positive("deployment.resources.ram_mb", deployment.limits.memory_mb)?;
        positive("deployment.resources.cores", deployment.limits.cores)?;
        if deployment.limits.max_connections < 16 {
            return Err(bad("deployment.resources.max_sockets", "must be at least 16"));
        }
        Ok(())
    }

    /// Puts the operators' settings in place of the defaults.
    pub fn with_operator(mut self, operator: OperatorSettings) -> Result<Settings, SettingsError> {
        not_negative("idle_return_s", operator.idle_return_s)?;
        if operator.fleet_max == 0 {
            return Err(bad("fleet_max", "must be at least 1"));
        }
        let teams = &self.deployment.teams;
        let is_team = |name: &str| teams.iter().any(|team| team.name == name);
        indigopath_counted_resources::check_definitions(&operator.counted_resources, is_team)?;
        if let Some(condor) = &operator.condor {
            condor.check(is_team)?;
        }
        for (team, weight) in &operator.request_weights {
            let field = || format!("request_weights.{team}");
            if !is_team(team) {
                return Err(bad(field(), "there is no such team"));
            }
            if !(1..=MAX_LANE_WEIGHT).contains(weight) {
                return Err(bad(field(), format!("must be from 1 to {MAX_LANE_WEIGHT}")));
            }
        }
        self.protection_windows =
            indigopath_protection_windows::check(&operator.protection_windows, is_team)?;
        self.operator = operator;
        Ok(self)
    }

    /// What may be meant otherwise, a line each: the settings can be used all the same.
    pub fn warnings(&self) -> Vec<String> {
        let named = |class: &str| {
            let objectives = self.deployment.objectives.iter();
            objectives
                .filter_map(|objective| objective.class.as_deref())
                .any(|known| known == class)
        };
        let mut doubts: Vec<String> =
            indigopath_protection_windows::unknown_classes(&self.operator.protection_windows, named)
                .map(|(shift, class)| {
                    format!("shift.{shift}.classes: no objective names class {class}: is it misspelt?")
                })
                .collect();
        if !cancellation_watermark::proves_cancellations(&self.deployment.workers) {
            let why = "a leader cut off from the state service cannot prove that cancelled tasks end in time";
            doubts.push(format!(
                "deployment.workers.cancel_s: less than 3 s above lease_s: {why}"
            ));
        }
        doubts
    }
}

#[cfg(test)]
mod tests;
