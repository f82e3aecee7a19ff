//! The platform's settings file and the operators' settings: parsing and validation.
//! The platform requires that unknown fields of its file are ignored.

use crate::election::cancellation_watermark;
use indigopath_accounting::MAX_LANE_WEIGHT;
use indigopath_condor::{CondorSettings, CondorSettingsError};
use indigopath_counted_resources::{DefinitionError, Definitions};
use indigopath_protection_windows::Timetable;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use thiserror::Error;

/// Settings of one controller node.
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
    /// The operators' protection windows, as validated.
    #[serde(skip)]
    pub protection_windows: Timetable,
    /// The operators' own settings, which are not part of the platform's file.
    #[serde(skip)]
    pub operator: OperatorSettings,
}

/// Another controller node.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    #[serde(rename = "member")]
    pub node: String,
    pub addr: SocketAddrV4,
}

/// Addresses of the services that the controllers call.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceAddresses {
    pub cloud: SocketAddrV4,
    pub state: SocketAddrV4,
}

/// Settings shared by all controllers of a deployment.
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

/// A team's guaranteed resources and limits; 0 means none.
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

/// A service-level objective for a class of jobs: when they start or finish.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the class's jobs that should meet it.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Time limits of the worker protocol.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

/// Resource limits of a controller process.
#[derive(Debug, Clone, Deserialize)]
pub struct NodeLimits {
    #[serde(rename = "ram_mb", default = "default_memory_mb")]
    pub memory_mb: f64,
    #[serde(rename = "max_sockets", default = "default_max_connections")]
    pub max_connections: usize,
    /// CPU cores, possibly a fraction; one core if the platform states no limit.
    #[serde(default = "default_cores")]
    pub cores: f64,
}

fn default_cores() -> f64 {
    1.0
}

/// Memory limit, in MB, if the platform states none.
fn default_memory_mb() -> f64 {
    200.0
}

/// Connection limit if the platform states none.
fn default_max_connections() -> usize {
    1_000
}

/// The operators' own settings, in addition to the platform's file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Maximum number of rented machines.
    pub fleet_max: u32,
    /// Seconds that a machine must be idle before it is released.
    pub idle_return_s: f64,
    /// Counted resources, such as licence seats, by name.
    #[serde(rename = "count")]
    pub counted_resources: Definitions,
    /// Whether `GET /v1/counts/holders` lists the tasks that hold units. The list shows the job ids of all
    /// teams to everyone who can reach the node.
    pub show_holders: bool,
    /// Whether placement scores image locality of services; otherwise it considers fetch times and preferences
    /// only.
    #[serde(rename = "weights")]
    pub image_locality: bool,
    /// Protection windows of services, by name.
    #[serde(rename = "shift")]
    pub protection_windows: indigopath_protection_windows::Definitions,
    /// How HTCondor submit files are interpreted; submit files are accepted only if this is set.
    pub condor: Option<CondorSettings>,
    /// Weights of the teams in fair queueing of requests; 1 for teams that are not listed.
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
    /// Deserializes the operators' settings from a value that was parsed from any format.
    ///
    /// # Errors
    /// A field is unknown or invalid, or a block is defined more than once.
    pub fn from_value(value: serde_json::Value) -> Result<OperatorSettings, SettingsError> {
        // Blocks of the same name are parsed as a list, for which deserialization reports a misleading error.
        let duplicate_block = |block: Option<&serde_json::Value>| {
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
            if let Some(name) = duplicate_block(block) {
                return Err(invalid_field(
                    format!("{path}.{name}"),
                    "is defined more than once",
                ));
            }
        }
        if condor.is_some_and(serde_json::Value::is_array) {
            return Err(invalid_field("condor", "is defined more than once"));
        }
        Ok(serde_path_to_error::deserialize(value)?)
    }
}

/// An invalid setting, with the name of the field.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A field could not be deserialized.
    #[error("{0}")]
    Unreadable(#[from] serde_path_to_error::Error<serde_json::Error>),
    #[error("{field}: {problem}")]
    Field { field: String, problem: String },
    #[error(transparent)]
    CountedResource(#[from] DefinitionError),
    #[error(transparent)]
    ProtectionWindow(#[from] indigopath_protection_windows::DefinitionError),
    #[error(transparent)]
    Condor(#[from] CondorSettingsError),
}

fn invalid_field(field: impl Into<String>, problem: impl Into<String>) -> SettingsError {
    SettingsError::Field {
        field: field.into(),
        problem: problem.into(),
    }
}

fn check_positive(field: &str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        Err(invalid_field(
            field,
            format!("must be a positive number, not {value}"),
        ))
    }
}

fn check_not_negative(field: impl Into<String>, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(invalid_field(field, format!("must not be negative, is {value}")))
    }
}

impl Deployment {
    /// Time limits, in s, of the class's objectives of this kind.
    pub fn within_s<'a>(&'a self, kind: &'a str, class: &'a str) -> impl Iterator<Item = f64> + 'a {
        self.objectives_of(kind, class)
            .filter_map(|objective| objective.within_s)
    }

    fn objectives_of<'a>(&'a self, kind: &'a str, class: &'a str) -> impl Iterator<Item = &'a Objective> {
        self.objectives
            .iter()
            .filter(move |objective| objective.kind == kind && objective.class.as_deref() == Some(class))
    }

    /// Share of a class's jobs that should finish within the time of an objective. Without a time, which
    /// applies to deadlines of single jobs, the highest share of the class's objectives.
    pub fn finished_share(&self, class: &str, within_s: Option<f64>) -> f64 {
        self.objectives_of("finished", class)
            .filter(|objective| within_s.is_none() || objective.within_s == within_s)
            .filter_map(|objective| objective.share)
            .reduce(f64::max)
            .unwrap_or(1.0)
    }

    /// The shortest time limit, in s, of the class's objectives of this kind; infinite if there is none.
    pub fn shortest_s(&self, kind: &str, class: &str) -> f64 {
        self.within_s(kind, class).fold(f64::INFINITY, f64::min)
    }
}

impl Settings {
    /// Parses and validates the platform's settings file.
    ///
    /// # Errors
    /// A field is missing or invalid.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let mut input = serde_json::Deserializer::from_str(text);
        let settings: Settings = serde_path_to_error::deserialize(&mut input)?;
        input
            .end()
            .map_err(|error| invalid_field("end of file", error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        if self.node.is_empty() {
            return Err(invalid_field("member", "must not be empty"));
        }
        if self.peers.iter().any(|peer| peer.node == self.node) {
            return Err(invalid_field("siblings", "must not contain this node itself"));
        }
        let deployment = &self.deployment;
        if deployment.zones.is_empty() {
            return Err(invalid_field("deployment.zones", "must not be empty"));
        }
        for team in &deployment.teams {
            for (name, value) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                check_not_negative(format!("deployment.teams.{}.{name}", team.name), value)?;
            }
        }
        let workers = &deployment.workers;
        check_positive("deployment.workers.report_s", workers.report_s)?;
        check_positive("deployment.workers.lease_s", workers.lease_s)?;
        check_positive("deployment.workers.gang_wait_s", workers.gang_wait_s)?;
        check_positive("deployment.workers.gang_peer_s", workers.gang_peer_s)?;
        check_positive("deployment.workers.cancel_s", workers.cancel_s)?;
        check_positive("deployment.state.rps", deployment.state.rps)?;
        check_positive("deployment.state.write_rps", deployment.state.write_rps)?;
        check_positive("deployment.state.value_kb", deployment.state.value_kb)?;
        if deployment.state.txn_ops < 4 {
            return Err(invalid_field("deployment.state.txn_ops", "must be at least 4"));
        }
        check_positive("deployment.cloud.rps", deployment.cloud.rps)?;
        check_not_negative("deployment.cloud.list_lag_s", deployment.cloud.list_lag_s)?;
        check_not_negative("deployment.skew_ms", deployment.clock_skew_ms)?;
        check_positive("deployment.resources.ram_mb", deployment.limits.memory_mb)?;
        check_positive("deployment.resources.cores", deployment.limits.cores)?;
        if deployment.limits.max_connections < 16 {
            return Err(invalid_field(
                "deployment.resources.max_sockets",
                "must be at least 16",
            ));
        }
        Ok(())
    }

    /// Validates the operators' settings and replaces the defaults by them.
    ///
    /// # Errors
    /// A setting is invalid for this deployment.
    pub fn with_operator(mut self, operator: OperatorSettings) -> Result<Settings, SettingsError> {
        check_not_negative("idle_return_s", operator.idle_return_s)?;
        if operator.fleet_max == 0 {
            return Err(invalid_field("fleet_max", "must be at least 1"));
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
                return Err(invalid_field(field(), "there is no such team"));
            }
            if !(1..=MAX_LANE_WEIGHT).contains(weight) {
                return Err(invalid_field(
                    field(),
                    format!("must be from 1 to {MAX_LANE_WEIGHT}"),
                ));
            }
        }
        self.protection_windows =
            indigopath_protection_windows::check(&operator.protection_windows, is_team)?;
        self.operator = operator;
        Ok(self)
    }

    /// Warnings about settings that are valid but may be unintended.
    pub fn warnings(&self) -> Vec<String> {
        let is_known_class = |class: &str| {
            let objectives = self.deployment.objectives.iter();
            objectives
                .filter_map(|objective| objective.class.as_deref())
                .any(|known| known == class)
        };
        let mut warnings: Vec<String> =
            indigopath_protection_windows::unknown_classes(&self.operator.protection_windows, is_known_class)
                .map(|(shift, class)| {
                    format!("shift.{shift}.classes: no objective names class {class}: is it misspelt?")
                })
                .collect();
        if !cancellation_watermark::proves_cancellations(&self.deployment.workers) {
            let reason =
                "a leader cut off from the state service cannot prove that cancelled tasks end in time";
            warnings.push(format!(
                "deployment.workers.cancel_s: less than 3 s above lease_s: {reason}"
            ));
        }
        warnings
    }
}

#[cfg(test)]
mod tests;
