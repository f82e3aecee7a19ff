//! Parses a scenario: the site's setup, the timed actions, and the expectations.

use crate::simulation::{ObservedJob, SettingOverrides, Simulation};
use indigopath_condor::{CondorSettings, DeclaredValue};
use indigopath_controller::settings::OperatorSettings;
use indigopath_counted_resources::Definition;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// A parsed scenario.
pub(super) struct Script {
    pub(super) setup: Setup,
    pub(super) agenda: Agenda,
    /// Submit files, by name.
    pub(super) files: BTreeMap<String, String>,
    pub(super) until_ms: u64,
    pub(super) expectations: Expectations,
}

/// The site at the start of the scenario.
#[derive(Default)]
pub(super) struct Setup {
    operator: OperatorSettings,
    /// GPU limit of each team, overriding the settings.
    gpus_max: Option<f64>,
    /// Bound on clock skew, in ms, overriding the settings.
    max_clock_skew_ms: Option<f64>,
    /// Largest value of the key-value store, in KB, overriding the settings.
    max_value_kb: Option<f64>,
    /// Concurrent fetches share a machine's bandwidth.
    fetches_share_rate: bool,
    /// The key-value store enforces its rate limits.
    enforces_rate_limits: bool,
    /// Run time of tasks of submit files, in s.
    condor_run_s: Option<f64>,
    /// Jobs that are expected to wait beside free capacity.
    expected_waits: BTreeSet<String>,
}

impl Setup {
    pub(super) fn build(self) -> Simulation {
        let overrides = SettingOverrides {
            gpus_max: self.gpus_max,
            max_clock_skew_ms: self.max_clock_skew_ms,
            max_value_kb: self.max_value_kb,
        };
        let mut simulation = Simulation::with_settings(overrides, self.operator);
        simulation.condor_run_s = self.condor_run_s.unwrap_or(DEFAULT_CONDOR_RUN_S);
        simulation.fetches_share_rate = self.fetches_share_rate;
        if self.enforces_rate_limits {
            simulation.state.rate_limits = Some(simulation.state_limits());
        }
        simulation.waiting_checks.expected = self.expected_waits;
        simulation
    }
}

/// Default run time of tasks of submit files, in s.
const DEFAULT_CONDOR_RUN_S: f64 = 10.0;

/// What is checked at the end.
#[derive(Default)]
pub(super) struct Expectations {
    pub(super) conditions: Vec<String>,
    /// Classes and teams that are expected to get less than the minimum share.
    pub(super) unserved: Vec<String>,
    /// Exceptions for the largest jobs.
    pub(super) largest: Vec<String>,
}

/// Pending actions, by time in ms and line.
#[derive(Default)]
pub(super) struct Agenda(BTreeMap<(u64, usize), String>);

/// Line numbers of follow-up actions begin here, above those of any scenario.
const FIRST_FOLLOW_UP_LINE: usize = 100_000;

impl Agenda {
    fn add(&mut self, at_ms: u64, line: usize, action: &str) {
        self.0.insert((at_ms, line), action.to_owned());
    }

    /// Adds an action that another one causes later.
    pub(super) fn add_follow_up(&mut self, at_ms: u64, action: &str) {
        let line = FIRST_FOLLOW_UP_LINE + self.0.len();
        self.add(at_ms, line, action);
    }

    /// Removes and returns the next action that is due.
    pub(super) fn next_due(&mut self, now: u64) -> Option<String> {
        let entry = self.0.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}

impl Script {
    pub(super) fn parse(text: &str) -> Result<Script, String> {
        let mut script = Script {
            setup: Setup::default(),
            agenda: Agenda::default(),
            files: BTreeMap::new(),
            until_ms: 0,
            expectations: Expectations::default(),
        };
        let mut file = String::new();
        for (number, line) in text.lines().enumerate() {
            if let Some(text) = line.strip_prefix('|') {
                let text = format!("{}\n", text.strip_prefix(' ').unwrap_or(text));
                script.files.entry(file.clone()).or_default().push_str(&text);
                continue;
            }
            let line = line.split('#').next().unwrap_or("").trim();
            let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
            match word {
                "" => (),
                "file" => file = rest.to_owned(),
                "at" => script.at(number, rest)?,
                "until" => {
                    script.until_ms = rest.parse::<u64>().map_err(|error| error.to_string())? * 1000;
                }
                "expect" | "unserved" | "largest" => script.expectations.line(number, word, rest)?,
                _ => script.setup.line(number, word, rest)?,
            }
        }
        if script.expectations.conditions.is_empty() || script.until_ms == 0 {
            return Err("a scenario needs `expect` and `until`".to_owned());
        }
        Ok(script)
    }

    fn at(&mut self, number: usize, rest: &str) -> Result<(), String> {
        let (at, action) = rest
            .split_once(' ')
            .ok_or(format!("line {}: no action", number + 1))?;
        let at: f64 = at.parse().map_err(|_| format!("line {}: no time", number + 1))?;
        self.agenda.add((at * 1000.0) as u64, number, action);
        Ok(())
    }
}

impl Expectations {
    fn line(&mut self, number: usize, word: &str, rest: &str) -> Result<(), String> {
        match word {
            "expect" => self.conditions.push(rest.to_owned()),
            "unserved" => self.unserved.push(rest.to_owned()),
            _ => self.largest.push(parse_exception(number, rest)?),
        }
        Ok(())
    }
}

impl Setup {
    fn line(&mut self, number: usize, word: &str, rest: &str) -> Result<(), String> {
        match word {
            "shared-fetches" => self.fetches_share_rate = true,
            "weights" => self.operator.image_locality = rest != "off",
            "limits" => self.enforces_rate_limits = true,
            "teams" => self.gpus_max = Some(rest.parse().map_err(|error| format!("{error}"))?),
            "count" => define_count(&mut self.operator, rest)?,
            "shift" => define_protection_window(&mut self.operator, rest)?,
            "idle-return" => {
                self.operator.idle_return_s = rest.parse().map_err(|error| format!("{error}"))?;
            }
            "value-kb" => self.max_value_kb = Some(rest.parse().map_err(|error| format!("{error}"))?),
            "skew" => {
                let seconds: f64 = rest.parse().map_err(|error| format!("{error}"))?;
                self.max_clock_skew_ms = Some(seconds * 1000.0);
            }
            "condor" => self.condor_run_s = Some(enable_condor(&mut self.operator, rest)?),
            "waits" => {
                self.expected_waits.insert(parse_exception(number, rest)?);
            }
            other => return Err(format!("line {}: unknown word {other}", number + 1)),
        }
        Ok(())
    }
}

/// Parses what an exception is for; it must have a reason.
fn parse_exception(number: usize, text: &str) -> Result<String, String> {
    let (what, _) = text
        .split_once(" because ")
        .ok_or(format!("line {}: no reason", number + 1))?;
    Ok(what.to_owned())
}

/// Defines a count, or changes it.
pub(super) fn define_count(operator: &mut OperatorSettings, text: &str) -> Result<(), String> {
    let (plain, keyed) = words(text);
    let name = plain.first().ok_or("a count needs a name")?;
    let mut definition = Definition::with_units(0);
    for (key, value) in keyed {
        match key {
            "units" => definition.units = number(value)? as u32,
            "linger" => definition.linger_s = number(value)?,
            team => {
                let share = number(value)? as u32;
                definition.shares.insert(team.to_owned(), share);
            }
        }
    }
    if plain.contains(&"server") {
        definition.server = Some(SocketAddrV4::new([127, 0, 2, 1].into(), 7788));
    }
    operator.counted_resources.insert((*name).into(), definition);
    Ok(())
}

/// Defines or changes a protection window: `shift NAME from=22:14 to=22:16 classes=live rank=1
/// lead=5 spare=0.1 teams=red closed=2023-11-14 zone=UTC`; `gone` removes it.
pub(super) fn define_protection_window(operator: &mut OperatorSettings, text: &str) -> Result<(), String> {
    let (plain, keyed) = words(text);
    let name = plain.first().ok_or("a shift needs a name")?;
    if plain.contains(&"gone") {
        operator.protection_windows.remove(*name);
        return Ok(());
    }
    let list = |key: &str| keyed.get(key).map(|value| value.split(',').collect::<Vec<_>>());
    let get = |key: &str, or: &str| keyed.get(key).copied().unwrap_or(or).to_owned();
    let definition = json!({
        "time_zone": get("zone", "UTC"), "from": get("from", "22:14"), "to": get("to", "22:16"),
        "closed": list("closed").unwrap_or_default(), "classes": list("classes").unwrap_or(vec!["live"]),
        "teams": list("teams"), "rank": number(&get("rank", "1"))? as i64,
        "lead_s": number(&get("lead", "0"))?, "spare": number(&get("spare", "0"))?,
    });
    let definition = serde_json::from_value(definition).map_err(|error| error.to_string())?;
    operator.protection_windows.insert((*name).into(), definition);
    Ok(())
}

/// Separates `key=value` words from plain ones.
pub(super) fn words(text: &str) -> (Vec<&str>, BTreeMap<&str, &str>) {
    let mut plain = Vec::new();
    let mut keyed = BTreeMap::new();
    for word in text.split_whitespace() {
        match word.split_once('=') {
            // A path may have a query with `=`.
            Some((key, value)) if !key.starts_with('/') => {
                keyed.insert(key, value);
            }
            _ => plain.push(word),
        }
    }
    (plain, keyed)
}

/// Parses a number; the error contains the text.
pub(crate) fn number(text: &str) -> Result<f64, String> {
    text.parse().map_err(|_| format!("{text} is not a number"))
}

/// Builds a submission and the initial observation of its job.
pub(crate) fn body(id: &str, keyed: &BTreeMap<&str, &str>) -> Result<(Value, ObservedJob), String> {
    let get = |key: &str, or: &str| keyed.get(key).copied().unwrap_or(or).to_owned();
    let amount = |key: &str, or: &str| number(&get(key, or));
    let flag = |key: &str| keyed.get(key) == Some(&"yes");
    let optional = |key: &str| keyed.get(key).map_or(Value::Null, |value| json!(value));
    let shape = get("shape", "sweep");
    let observed = ObservedJob {
        shape: shape.clone(),
        team: get("team", "blue"),
        class: get("class", "batch"),
        tasks: amount("tasks", "1")? as u32,
        gpus: amount("gpus", "1")?,
        run_s: amount("run", "10")?,
        checkpoint_interval_s: amount("checkpoint", "0")?,
        checkpoint_save_s: amount("save", "0")?,
        image: get("image", "img-1"),
        image_gb: amount("image_gb", "1")?,
        always_fails: flag("broken"),
        counted_units: parse_counts(&get("counts", ""))?,
        ..ObservedJob::default()
    };
    let mut body = json!({
        "Id": id, "Lane": get("class", "batch"), "Crew": observed.team, "Shape": shape,
        "Urgency": get("priority", "standard"), "Picks": observed.tasks,
        "Cpus": amount("cpus", "2")?, "Gpus": observed.gpus, "MemGb": amount("mem", "4")?,
        "Kit": observed.image, "PullGb": observed.image_gb,
        "Rigs": keyed.get("types").map(|types| types.split(',').collect::<Vec<_>>()),
        "Yard": optional("zone"), "OneZone": flag("one_zone"), "Apart": flag("apart"), "Loaners": flag("spot"),
        "RuntimeS": if shape == "daemon" { 0.0 } else { amount("estimate", &get("run", "10"))? },
        "StashEveryS": observed.checkpoint_interval_s, "StashS": observed.checkpoint_save_s,
        "DueS": keyed.get("due").map(|due| number(due)).transpose()?,
    });
    if !observed.counted_units.is_empty() {
        body["Counts"] = json!(observed.counted_units);
    }
    Ok((body.clone(), ObservedJob { body, ..observed }))
}

/// Parses units by counted resource, as in `seat:2,other:1`.
fn parse_counts(text: &str) -> Result<BTreeMap<String, u32>, String> {
    text.split(',')
        .filter(|part| !part.is_empty())
        .map(|part| {
            let (name, units) = part.split_once(':').ok_or("a count needs units, as in seat:1")?;
            Ok((name.to_owned(), number(units)? as u32))
        })
        .collect()
}

/// Enables submit files; returns the run time of their tasks in s.
fn enable_condor(operator: &mut OperatorSettings, text: &str) -> Result<f64, String> {
    let (_, keyed) = words(text);
    let get = |key: &str, or: &str| Some(keyed.get(key).copied().unwrap_or(or).to_owned());
    let declared = BTreeMap::from([("OpSys".to_owned(), DeclaredValue::Str("LINUX".to_owned()))]);
    operator.condor = Some(CondorSettings {
        default_team: get("team", "red"),
        default_class: get("class", "batch"),
        default_image: get("image", "img-1"),
        default_image_gb: 1.0,
        machines: BTreeMap::from([("small".to_owned(), declared)]),
    });
    keyed.get("run").map_or(Ok(10.0), |run| number(run))
}
