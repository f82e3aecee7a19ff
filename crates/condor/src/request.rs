//! Converts the commands and attributes of a proc to a request in the scheduler's terms.

use crate::cluster::{Hold, HoldReason};
use crate::commands::{Effect, Field};
use crate::constants::{DEFAULT_ESTIMATE_S, DEFAULT_MEMORY_MIB, MIB_PER_GB};
use crate::site::Site;
use crate::source::SourceLocation;
use crate::submit::{EntryKind, SubmitEntry};
use indigopath_classad::{Ad, Evaluator, Expr, Name, Value, nearest};
use indigopath_counted_resources::Demand;
use std::collections::BTreeMap;
use std::sync::{Arc, LazyLock};

/// Why a proc is refused, with the location in its file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    pub location: SourceLocation,
    pub text: String,
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.location, self.text)
    }
}

/// The priority band that an HTCondor job priority is mapped to. In HTCondor, the numbers only
/// order the jobs of one submitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PriorityBand {
    High,
    Normal,
    Low,
}

/// An expression of a submit file.
#[derive(Debug, Clone)]
pub struct SourceExpr {
    pub expr: Arc<Expr>,
    pub entry: SubmitEntry,
}

/// A proc's request.
#[derive(Debug, Clone)]
pub struct Request {
    pub team: String,
    pub class: String,
    /// Number of tasks of a gang, if the proc runs in the parallel universe.
    pub gang: Option<u32>,
    pub priority: PriorityBand,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: Arc<str>,
    pub image_gb: f64,
    pub estimate_s: f64,
    /// Whether spot machines are allowed, if the file says so.
    pub allow_spot: Option<bool>,
    pub counts: Demand,
    pub requirements: Option<SourceExpr>,
    pub rank: Option<SourceExpr>,
    /// Holds that keep the proc from starting.
    pub holds: Vec<Hold>,
}

/// A request, and what is needed only for matching it.
pub struct ParsedRequest {
    pub request: Request,
    /// The job's own ClassAd.
    pub ad: Ad,
}

impl Request {
    /// Number of tasks that run concurrently.
    pub fn concurrent_tasks(&self) -> u32 {
        self.gang.unwrap_or(1)
    }
}

/// Maximum number of tasks of a gang.
const MAX_GANG_TASKS: f64 = 100_000.0;

/// The supported universes, with the value of `JobUniverse`.
const UNIVERSES: [(&str, i64); 4] = [("vanilla", 5), ("docker", 5), ("container", 5), ("parallel", 11)];

/// Names of attributes that every job has, created once.
struct AttributeNames {
    cluster_id: Name,
    proc_id: Name,
    q_date: Name,
    job_universe: Name,
    job_prio: Name,
    request_cpus: Name,
    request_gpus: Name,
    request_memory: Name,
    accounting_group: Name,
}

static NAMES: LazyLock<AttributeNames> = LazyLock::new(|| AttributeNames {
    cluster_id: Name::new("ClusterId"),
    proc_id: Name::new("ProcId"),
    q_date: Name::new("QDate"),
    job_universe: Name::new("JobUniverse"),
    job_prio: Name::new("JobPrio"),
    request_cpus: Name::new("RequestCpus"),
    request_gpus: Name::new("RequestGpus"),
    request_memory: Name::new("RequestMemory"),
    accounting_group: Name::new("AccountingGroup"),
});

/// Number of attributes of a typical job.
const TYPICAL_ATTRIBUTE_COUNT: usize = 24;

struct Builder<'a> {
    site: &'a Site,
    fields: Vec<(Field, &'a SubmitEntry, &'a str)>,
    ad: Ad,
    /// The job attributes that the file defines.
    attributes: Vec<(Name, &'a SubmitEntry)>,
    evaluator: Evaluator,
    problems: Vec<Problem>,
    holds: Vec<Hold>,
}

/// Converts the entries of a proc to a request.
///
/// # Errors
/// Returns all reasons for which the proc is refused.
pub fn read<'a>(
    entries: impl Iterator<Item = (&'a SubmitEntry, &'a str)>,
    cluster: u64,
    process: u32,
    now_s: i64,
    site: &'a Site,
) -> Result<ParsedRequest, Vec<Problem>> {
    let mut builder = Builder {
        site,
        fields: Vec::new(),
        ad: Ad::with_capacity(TYPICAL_ATTRIBUTE_COUNT),
        attributes: Vec::new(),
        evaluator: Evaluator::new(now_s),
        problems: Vec::new(),
        holds: Vec::new(),
    };
    builder.set_attribute(&NAMES.cluster_id, Value::Int(cluster as i64));
    builder.set_attribute(&NAMES.proc_id, Value::Int(i64::from(process)));
    builder.set_attribute(&NAMES.q_date, Value::Int(now_s));
    for (entry, value) in entries {
        builder.add_entry(entry, value);
    }
    builder.finish()
}

impl<'a> Builder<'a> {
    fn add_entry(&mut self, entry: &'a SubmitEntry, value: &'a str) {
        match entry.kind {
            EntryKind::Attribute => self.add_attribute(entry, value),
            EntryKind::Command(command) => match command.effect {
                Effect::SetsField(field) => self.fields.push((field, entry, value)),
                Effect::CopiedToAd(attribute) => {
                    if !value.is_empty() {
                        self.ad.set(attribute, Value::from(value.trim_matches('"')));
                    }
                }
                Effect::Ignored(_) => (),
                Effect::Unsupported {
                    reason,
                    accepted_values,
                } => {
                    let value = value.trim().trim_matches('"');
                    if !accepted_values
                        .iter()
                        .any(|same| value.eq_ignore_ascii_case(same))
                    {
                        self.refuse(entry, 0, format!("{} is not taken: {reason}", command.name));
                    }
                }
            },
        }
    }

    fn refuse(&mut self, entry: &SubmitEntry, offset: usize, text: String) {
        let location = if offset == 0 {
            entry.definition.location()
        } else {
            entry.definition.location_in_value(offset)
        };
        self.problems.push(Problem { location, text });
    }

    fn add_attribute(&mut self, entry: &'a SubmitEntry, value: &str) {
        // Defined as "MY.<name>"; the prefix is not part of the name.
        let name = Name::new(entry.definition.name.get(3..).unwrap_or_default());
        match Expr::parse(value) {
            Ok(expr) => {
                self.ad.insert(name.clone(), expr);
                self.attributes.push((name, entry));
            }
            Err(error) => {
                let location = entry.definition.location_in_value(error.at);
                let text = format!("+{name} is no expression: {}", error.problem);
                self.problems.push(Problem { location, text });
            }
        }
    }

    fn hold(&mut self, reason: HoldReason, text: String) {
        self.holds.push(Hold { reason, text });
    }

    fn set_attribute(&mut self, name: &Name, value: Value) {
        self.ad.insert(name.clone(), Expr::literal(value));
    }

    /// Returns a command's value, unless it is empty.
    fn get(&self, field: Field) -> Option<(&'a SubmitEntry, &'a str)> {
        // The last definition counts: several commands may set the same field.
        let found = self.fields.iter().rev().find(|(known, ..)| *known == field)?;
        Some((found.1, found.2.trim())).filter(|(_, value)| !value.is_empty())
    }

    /// Evaluates an expression that refers to the job alone.
    fn evaluate(&mut self, entry: &SubmitEntry, text: &str) -> Option<Value> {
        let expr = match Expr::parse(text) {
            Ok(expr) => expr,
            Err(error) => {
                let location = entry.definition.location_in_value(error.at);
                let text = format!("{} is no expression: {}", entry.definition.name, error.problem);
                self.problems.push(Problem { location, text });
                return None;
            }
        };
        match self.evaluator.evaluate(&expr, &self.ad, None) {
            Value::Undefined => {
                let reason = "its value depends on what the job does not say".to_owned();
                self.refuse(entry, 0, format!("{}: {reason}", entry.definition.name));
                None
            }
            Value::Error => {
                let fault = self
                    .evaluator
                    .fault()
                    .map(ToString::to_string)
                    .unwrap_or_default();
                self.refuse(entry, 0, format!("{}: {fault}", entry.definition.name));
                None
            }
            value => Some(value),
        }
    }

    fn number(&mut self, field: Field, default: f64, min: f64, max: f64) -> f64 {
        let Some((entry, text)) = self.get(field) else {
            return default;
        };
        match self.evaluate(entry, text).map(|value| value.as_number()) {
            None => default,
            Some(Some(number)) if (min..=max).contains(&number) => number,
            Some(_) => {
                self.refuse(
                    entry,
                    0,
                    format!("{} = {text} is no number that it can be", entry.definition.name),
                );
                default
            }
        }
    }

    /// Returns a job attribute defined in the file, evaluated.
    fn file_attribute(&mut self, name: &str) -> Option<(&'a SubmitEntry, Value)> {
        let has_name = |(known, _): &&(Name, &'a SubmitEntry)| known.text().eq_ignore_ascii_case(name);
        let entry = self.attributes.iter().rev().find(has_name)?.1;
        let expr = self.ad.get(name)?.clone();
        Some((entry, self.evaluator.evaluate(&expr, &self.ad, None)))
    }

    fn file_number(&mut self, name: &str, default: f64, max: f64) -> f64 {
        match self.file_attribute(name) {
            None => default,
            Some((_, value))
                if value
                    .as_number()
                    .is_some_and(|number| (0.0..=max).contains(&number)) =>
            {
                value.as_number().unwrap_or(default)
            }
            Some((entry, value)) => {
                self.refuse(entry, 0, format!("+{name} = {value} is no number that it can be"));
                default
            }
        }
    }

    fn file_text(&mut self, name: &str) -> Option<String> {
        match self.file_attribute(name)? {
            (_, Value::Str(text)) if !text.is_empty() => Some(text.to_string()),
            (entry, value) => {
                self.refuse(entry, 0, format!("+{name} = {value} is no text"));
                None
            }
        }
    }

    fn memory_mib(&mut self) -> f64 {
        let Some((entry, text)) = self.get(Field::Memory) else {
            return DEFAULT_MEMORY_MIB;
        };
        if let Some(mib) = parse_mib(text) {
            return mib;
        }
        // An expression whose value is in MiB.
        match self.evaluate(entry, text).map(|value| value.as_number()) {
            None => DEFAULT_MEMORY_MIB,
            Some(Some(mib)) if mib.is_finite() && mib >= 0.0 => mib,
            Some(_) => {
                self.refuse(
                    entry,
                    0,
                    format!("request_memory = {text} is no amount: one is 4096, 4 GB or 512 MB"),
                );
                DEFAULT_MEMORY_MIB
            }
        }
    }

    fn team(&mut self) -> String {
        let Some((_, text)) = self.get(Field::Team) else {
            if let Some(team) = &self.site.settings.default_team {
                return team.clone();
            }
            let text = "accounting_group is not given, and the operators name no default team";
            self.hold(HoldReason::Team, text.to_owned());
            return String::new();
        };
        let text = text.trim_matches('"');
        let plain = text.strip_prefix("group_").unwrap_or(text);
        let first = plain.split('.').next().unwrap_or(plain);
        let teams = &self.site.teams;
        let known = [text, plain, first]
            .into_iter()
            .find_map(|name| teams.iter().find(|team| team.name.eq_ignore_ascii_case(name)));
        match known {
            Some(team) => team.name.clone(),
            None => {
                let nearest_names = nearest(first, teams.iter().map(|team| team.name.as_str()));
                let mut reason = format!("accounting_group {text:?} is no team here");
                if !nearest_names.is_empty() {
                    reason = format!("{reason}; the nearest are {}", nearest_names.join(", "));
                }
                self.hold(HoldReason::Team, reason);
                first.to_owned()
            }
        }
    }

    fn universe(&mut self) -> Option<&'static str> {
        let Some((entry, text)) = self.get(Field::Universe) else {
            return Some("vanilla");
        };
        let known = UNIVERSES
            .iter()
            .find(|(name, number)| name.eq_ignore_ascii_case(text) || *text == number.to_string());
        match known {
            Some((name, number)) => {
                self.set_attribute(&NAMES.job_universe, Value::Int(*number));
                Some(name)
            }
            None => {
                let text = format!(
                    "universe = {text} is not taken: jobs run in the vanilla, docker, container or parallel universe"
                );
                self.refuse(entry, 0, text);
                None
            }
        }
    }

    fn image(&mut self, universe: &str) -> (Arc<str>, f64) {
        let container = self.get(Field::ContainerImage);
        let docker = self.get(Field::DockerImage);
        let image_command = container.or(docker).map(|(_, text)| text);
        let missing_command = match universe {
            "docker" => docker.is_none().then_some("docker_image"),
            "container" => image_command.is_none().then_some("container_image"),
            _ => None,
        };
        if let (Some(command), Some((entry, _))) = (missing_command, self.get(Field::Universe)) {
            self.refuse(entry, 0, format!("the {universe} universe needs {command}"));
        }
        let size = self.file_number("ImageGb", self.site.settings.default_image_gb, 1e6);
        let image = match image_command {
            Some(text) => {
                let text = text.trim_matches('"');
                text.strip_prefix("docker://").unwrap_or(text)
            }
            None => match &self.site.settings.default_image {
                Some(image) => image.as_str(),
                None => {
                    if missing_command.is_none() {
                        self.refuse_missing_image();
                    }
                    ""
                }
            },
        };
        if let Some((_, text)) = container {
            self.ad.set("ContainerImage", Value::from(text));
        }
        if let Some((_, text)) = docker {
            self.ad.set("DockerImage", Value::from(text));
        }
        (Arc::from(image), size)
    }

    /// Refuses a proc without an image. There is no command to point at, so the problem is located
    /// at the file's first entry.
    fn refuse_missing_image(&mut self) {
        let first = self.fields.first().map(|(_, entry, _)| *entry);
        let first = first.or_else(|| self.attributes.first().map(|(_, entry)| *entry));
        let text = "container_image is not given, and the operators name no default image".to_owned();
        match first {
            Some(entry) => self.refuse(entry, 0, text),
            None => self.problems.push(Problem {
                location: SourceLocation {
                    file: Arc::from("submit file"),
                    line: 1,
                    column: 1,
                },
                text,
            }),
        }
    }

    fn counts(&mut self) -> Demand {
        let Some((entry, text)) = self.get(Field::Counts) else {
            return Demand::default();
        };
        let mut requested: BTreeMap<String, u64> = BTreeMap::new();
        for limit in text
            .trim_matches('"')
            .split([',', ' ', '\t'])
            .filter(|limit| !limit.is_empty())
        {
            let (name, units) = match limit.split_once(':') {
                Some((name, units)) => (name.trim(), units.trim().parse::<u64>().ok()),
                None => (limit, Some(1)),
            };
            let Some(units) = units else {
                self.refuse(
                    entry,
                    0,
                    format!("concurrency_limits: {limit} names no whole number of units"),
                );
                continue;
            };
            let known = self
                .site
                .counts
                .keys()
                .find(|known| known.eq_ignore_ascii_case(name));
            match known {
                Some(known) => *requested.entry(known.to_string()).or_default() += units,
                None => {
                    let nearest_names = nearest(name, self.site.counts.keys().map(|known| &**known));
                    let mut text = format!("concurrency_limits: there is no count {name:?} here");
                    if !nearest_names.is_empty() {
                        text = format!("{text}; the nearest are {}", nearest_names.join(", "));
                    }
                    self.refuse(entry, 0, text);
                }
            }
        }
        Demand::new(&requested).unwrap_or_else(|error| {
            self.refuse(entry, 0, format!("concurrency_limits: {error}"));
            Demand::default()
        })
    }

    fn priority(&mut self) -> PriorityBand {
        let number = self.number(Field::Priority, 0.0, -1e9, 1e9);
        self.set_attribute(&NAMES.job_prio, Value::number(number));
        let nice = self.get(Field::Nice).is_some_and(|(entry, text)| {
            self.evaluate(entry, text)
                .and_then(|value| value.truth())
                .unwrap_or(false)
        });
        if nice || number < 0.0 {
            PriorityBand::Low
        } else if number > 0.0 {
            PriorityBand::High
        } else {
            PriorityBand::Normal
        }
    }

    fn gang(&mut self, universe: &str) -> Option<u32> {
        let machine_count = self.get(Field::MachineCount);
        let number = self.number(Field::MachineCount, 1.0, 1.0, MAX_GANG_TASKS);
        if number.fract() != 0.0
            && let Some((entry, text)) = machine_count
        {
            self.refuse(entry, 0, format!("machine_count = {text} is no whole number"));
        }
        if universe == "parallel" {
            self.ad.set("MinHosts", Value::Int(number as i64));
            self.ad.set("MaxHosts", Value::Int(number as i64));
            return Some(number as u32);
        }
        if let Some((entry, _)) = machine_count.filter(|_| number > 1.0) {
            let text =
                "machine_count asks for tasks that run together, which is the parallel universe".to_owned();
            self.refuse(entry, 0, text);
        }
        None
    }

    fn expression(&mut self, field: Field) -> Option<SourceExpr> {
        let (entry, text) = self.get(field)?;
        match Expr::parse(text) {
            Ok(expr) => Some(SourceExpr {
                expr: Arc::new(expr),
                entry: entry.clone(),
            }),
            Err(error) => {
                let location = entry.definition.location_in_value(error.at);
                let text = format!("{} is no expression: {}", entry.definition.name, error.problem);
                self.problems.push(Problem { location, text });
                None
            }
        }
    }

    fn finish(mut self) -> Result<ParsedRequest, Vec<Problem>> {
        self.set_attribute(&NAMES.job_universe, Value::Int(5));
        let universe = self.universe().unwrap_or("vanilla");
        let priority = self.priority();
        let gang = self.gang(universe);
        let cpus = self.number(Field::Cpus, 1.0, 0.0, 1e6);
        self.set_attribute(&NAMES.request_cpus, Value::number(cpus));
        let gpus = self.number(Field::Gpus, 0.0, 0.0, 1e6);
        self.set_attribute(&NAMES.request_gpus, Value::number(gpus));
        let memory_mib = self.memory_mib();
        self.set_attribute(&NAMES.request_memory, Value::number(memory_mib.ceil()));
        let team = self.team();
        self.set_attribute(&NAMES.accounting_group, Value::from(team.as_str()));
        let counts = self.counts();
        let (image, image_gb) = self.image(universe);
        let duration = self.number(Field::Duration, DEFAULT_ESTIMATE_S, 0.0, 1e9);
        let estimate_s = self.file_number("RuntimeS", duration, 1e9);
        let allow_spot = match self.file_attribute("AllowSpot") {
            None => None,
            Some((_, value)) if value.truth().is_some() => value.truth(),
            Some((entry, value)) => {
                self.refuse(
                    entry,
                    0,
                    format!("+AllowSpot = {value} is neither true nor false"),
                );
                None
            }
        };
        let default_class = self.site.settings.default_class.clone();
        let class = self
            .file_text("JobClass")
            .or(default_class)
            .unwrap_or_else(|| "condor".to_owned());
        if let Some((entry, text)) = self.get(Field::Hold)
            && let Some(value) = self.evaluate(entry, text)
        {
            match value.truth() {
                Some(true) => self.hold(HoldReason::User, "hold = true in the submit file".to_owned()),
                Some(false) => (),
                None => self.refuse(entry, 0, format!("hold = {text} is neither true nor false")),
            }
        }
        let requirements = self.expression(Field::Requirements);
        let rank = self.expression(Field::Rank);
        if !self.problems.is_empty() {
            self.problems.sort_by(|a, b| a.location.cmp(&b.location));
            return Err(self.problems);
        }
        let request = Request {
            team,
            class,
            gang,
            priority,
            cpus,
            gpus,
            memory_gb: memory_mib / MIB_PER_GB,
            image,
            image_gb,
            estimate_s,
            allow_spot,
            counts,
            requirements,
            rank,
            holds: self.holds,
        };
        Ok(ParsedRequest { request, ad: self.ad })
    }
}

/// Parses an amount with a unit and returns it in MiB. The units K, M, G and T are powers of 1024,
/// with or without a B.
fn parse_mib(text: &str) -> Option<f64> {
    let digits = text
        .find(|next: char| !next.is_ascii_digit() && next != '.')
        .filter(|offset| *offset > 0)?;
    let (number, unit) = text.split_at(digits);
    let number: f64 = number.parse().ok()?;
    let unit = unit.trim().to_ascii_uppercase();
    let factor = match unit
        .strip_suffix("IB")
        .or(unit.strip_suffix('B'))
        .unwrap_or(&unit)
    {
        "K" => 1.0 / 1_024.0,
        "M" => 1.0,
        "G" => 1_024.0,
        "T" => 1_024.0 * 1_024.0,
        "P" => 1_024.0 * 1_024.0 * 1_024.0,
        _ => return None,
    };
    Some(number * factor)
}

#[cfg(test)]
mod tests;
