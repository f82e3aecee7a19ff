//! What a proc asks for, in the scheduler's own terms.

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

/// Why a proc is refused, and where its file says so.
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

/// HTCondor's numbers order a submitter's own jobs; here they become bands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PriorityBand {
    High,
    Normal,
    Low,
}

/// An expression of a file.
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
    /// A gang of so many tasks, if it runs in the parallel universe.
    pub gang: Option<u32>,
    pub priority: PriorityBand,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: Arc<str>,
    pub image_gb: f64,
    pub estimate_s: f64,
    /// What the file says of spot machines, if it says anything.
    pub allow_spot: Option<bool>,
    pub counts: Demand,
    pub requirements: Option<SourceExpr>,
    pub rank: Option<SourceExpr>,
    /// Why it is not to start yet.
    pub holds: Vec<Hold>,
}

/// A request, and what is needed only to judge it.
pub struct ParsedRequest {
    pub request: Request,
    /// What the job says of itself.
    pub ad: Ad,
}

impl Request {
    /// Tasks that run together.
    pub fn concurrent_tasks(&self) -> u32 {
        self.gang.unwrap_or(1)
    }
}

/// Most tasks of a gang.
const MAX_GANG: f64 = 100_000.0;

/// Attributes of a job that are there whatever its file says.
const UNIVERSES: [(&str, i64); 4] = [("vanilla", 5), ("docker", 5), ("container", 5), ("parallel", 11)];

/// Attributes that every job has, made once.
struct Names {
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

static NAMES: LazyLock<Names> = LazyLock::new(|| Names {
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

/// Attributes of an ordinary job.
const USUAL: usize = 24;

struct Builder<'a> {
    site: &'a Site,
    given: Vec<(Field, &'a SubmitEntry, &'a str)>,
    ad: Ad,
    /// Where the file gives attributes of its own.
    entries: Vec<(Name, &'a SubmitEntry)>,
    evaluator: Evaluator,
    problems: Vec<Problem>,
    holds: Vec<Hold>,
}

/// Reads what a proc is given.
///
/// # Errors
/// Everything for which it is refused.
pub fn read<'a>(
    given: impl Iterator<Item = (&'a SubmitEntry, &'a str)>,
    cluster: u64,
    process: u32,
    now_s: i64,
    site: &'a Site,
) -> Result<ParsedRequest, Vec<Problem>> {
    let mut builder = Builder {
        site,
        given: Vec::new(),
        ad: Ad::with_capacity(USUAL),
        entries: Vec::new(),
        evaluator: Evaluator::new(now_s),
        problems: Vec::new(),
        holds: Vec::new(),
    };
    builder.put(&NAMES.cluster_id, Value::Int(cluster as i64));
    builder.put(&NAMES.proc_id, Value::Int(i64::from(process)));
    builder.put(&NAMES.q_date, Value::Int(now_s));
    for (entry, value) in given {
        builder.take(entry, value);
    }
    builder.finish()
}

impl<'a> Builder<'a> {
    fn take(&mut self, entry: &'a SubmitEntry, value: &'a str) {
        match entry.kind {
            EntryKind::Attribute => self.attribute(entry, value),
            EntryKind::Command(command) => match command.effect {
                Effect::Means(field) => self.given.push((field, entry, value)),
                Effect::Carried(attribute) => {
                    if !value.is_empty() {
                        self.ad.set(attribute, Value::from(value.trim_matches('"')));
                    }
                }
                Effect::Noted(_) => (),
                Effect::Refused { why, unless } => {
                    let value = value.trim().trim_matches('"');
                    if !unless.iter().any(|same| value.eq_ignore_ascii_case(same)) {
                        self.refuse(entry, 0, format!("{} is not taken: {why}", command.name));
                    }
                }
            },
        }
    }

    fn refuse(&mut self, entry: &SubmitEntry, at: usize, text: String) {
        let location = if at == 0 {
            entry.definition.location()
        } else {
            entry.definition.location_in_value(at)
        };
        self.problems.push(Problem { location, text });
    }

    fn attribute(&mut self, entry: &'a SubmitEntry, value: &str) {
        // Defined under "MY.", which is no part of the name.
        let name = Name::new(entry.definition.name.get(3..).unwrap_or_default());
        match Expr::parse(value) {
            Ok(expr) => {
                self.ad.insert(name.clone(), expr);
                self.entries.push((name, entry));
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

    fn put(&mut self, name: &Name, value: Value) {
        self.ad.insert(name.clone(), Expr::literal(value));
    }

    /// A command's value, unless it is empty.
    fn get(&self, field: Field) -> Option<(&'a SubmitEntry, &'a str)> {
        // The last that was given: two commands may mean the same.
        let found = self.given.iter().rev().find(|(known, ..)| *known == field)?;
        Some((found.1, found.2.trim())).filter(|(_, value)| !value.is_empty())
    }

    /// The value of an expression that looks at the job alone.
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
                let why = "its value depends on what the job does not say".to_owned();
                self.refuse(entry, 0, format!("{}: {why}", entry.definition.name));
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

    fn number(&mut self, field: Field, default: f64, least: f64, most: f64) -> f64 {
        let Some((entry, text)) = self.get(field) else {
            return default;
        };
        match self.evaluate(entry, text).map(|value| value.as_number()) {
            None => default,
            Some(Some(number)) if (least..=most).contains(&number) => number,
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

    /// A number of an attribute of the job's own.
    fn own(&mut self, name: &str) -> Option<(&'a SubmitEntry, Value)> {
        let named = |(known, _): &&(Name, &'a SubmitEntry)| known.text().eq_ignore_ascii_case(name);
        let entry = self.entries.iter().rev().find(named)?.1;
        let expr = self.ad.get(name)?.clone();
        Some((entry, self.evaluator.evaluate(&expr, &self.ad, None)))
    }

    fn own_number(&mut self, name: &str, default: f64, most: f64) -> f64 {
        match self.own(name) {
            None => default,
            Some((_, value))
                if value
                    .as_number()
                    .is_some_and(|number| (0.0..=most).contains(&number)) =>
            {
                value.as_number().unwrap_or(default)
            }
            Some((entry, value)) => {
                self.refuse(entry, 0, format!("+{name} = {value} is no number that it can be"));
                default
            }
        }
    }

    fn own_text(&mut self, name: &str) -> Option<String> {
        match self.own(name)? {
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
        if let Some(mib) = in_mib(text) {
            return mib;
        }
        // In MiB, as an expression.
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
                let near = nearest(first, teams.iter().map(|team| team.name.as_str()));
                let mut why = format!("accounting_group {text:?} is no team here");
                if !near.is_empty() {
                    why = format!("{why}; the nearest are {}", near.join(", "));
                }
                self.hold(HoldReason::Team, why);
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
                self.put(&NAMES.job_universe, Value::Int(*number));
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
        let given = container.or(docker).map(|(_, text)| text);
        let asked_for = match universe {
            "docker" => docker.is_none().then_some("docker_image"),
            "container" => given.is_none().then_some("container_image"),
            _ => None,
        };
        if let (Some(command), Some((entry, _))) = (asked_for, self.get(Field::Universe)) {
            self.refuse(entry, 0, format!("the {universe} universe needs {command}"));
        }
        let size = self.own_number("ImageGb", self.site.settings.default_image_gb, 1e6);
        let image = match given {
            Some(text) => {
                let text = text.trim_matches('"');
                text.strip_prefix("docker://").unwrap_or(text)
            }
            None => match &self.site.settings.default_image {
                Some(image) => image.as_str(),
                None => {
                    if asked_for.is_none() {
                        self.without_image();
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

    /// There is no command to point at: the file's first will do.
    fn without_image(&mut self) {
        let first = self.given.first().map(|(_, entry, _)| *entry);
        let first = first.or_else(|| self.entries.first().map(|(_, entry)| *entry));
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
        let mut asked: BTreeMap<String, u64> = BTreeMap::new();
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
                Some(known) => *asked.entry(known.to_string()).or_default() += units,
                None => {
                    let near = nearest(name, self.site.counts.keys().map(|known| &**known));
                    let mut text = format!("concurrency_limits: there is no count {name:?} here");
                    if !near.is_empty() {
                        text = format!("{text}; the nearest are {}", near.join(", "));
                    }
                    self.refuse(entry, 0, text);
                }
            }
        }
        Demand::new(&asked).unwrap_or_else(|error| {
            self.refuse(entry, 0, format!("concurrency_limits: {error}"));
            Demand::default()
        })
    }

    fn priority(&mut self) -> PriorityBand {
        let number = self.number(Field::Priority, 0.0, -1e9, 1e9);
        self.put(&NAMES.job_prio, Value::number(number));
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
        let given = self.get(Field::MachineCount);
        let number = self.number(Field::MachineCount, 1.0, 1.0, MAX_GANG);
        if number.fract() != 0.0
            && let Some((entry, text)) = given
        {
            self.refuse(entry, 0, format!("machine_count = {text} is no whole number"));
        }
        if universe == "parallel" {
            self.ad.set("MinHosts", Value::Int(number as i64));
            self.ad.set("MaxHosts", Value::Int(number as i64));
            return Some(number as u32);
        }
        if let Some((entry, _)) = given.filter(|_| number > 1.0) {
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
        self.put(&NAMES.job_universe, Value::Int(5));
        let universe = self.universe().unwrap_or("vanilla");
        let priority = self.priority();
        let gang = self.gang(universe);
        let cpus = self.number(Field::Cpus, 1.0, 0.0, 1e6);
        self.put(&NAMES.request_cpus, Value::number(cpus));
        let gpus = self.number(Field::Gpus, 0.0, 0.0, 1e6);
        self.put(&NAMES.request_gpus, Value::number(gpus));
        let memory_mib = self.memory_mib();
        self.put(&NAMES.request_memory, Value::number(memory_mib.ceil()));
        let team = self.team();
        self.put(&NAMES.accounting_group, Value::from(team.as_str()));
        let counts = self.counts();
        let (image, image_gb) = self.image(universe);
        let duration = self.number(Field::Duration, DEFAULT_ESTIMATE_S, 0.0, 1e9);
        let estimate_s = self.own_number("RuntimeS", duration, 1e9);
        let allow_spot = match self.own("AllowSpot") {
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
            .own_text("JobClass")
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

/// An amount with a unit, in MiB: K, M, G and T count in steps of 1024, with or without a B.
fn in_mib(text: &str) -> Option<f64> {
    let digits = text
        .find(|next: char| !next.is_ascii_digit() && next != '.')
        .filter(|at| *at > 0)?;
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
