//! The actions of a scenario, by verb.

mod controllers;
mod machines;
mod network;
mod store;
mod users;

use super::script::{Agenda, number, words};
use crate::simulation::{NODES, Simulation};
use crate::zones;
use std::collections::BTreeMap;

/// One action: a verb with plain words and `key=value` ones.
pub(super) struct Action<'a> {
    /// The whole text.
    text: &'a str,
    plain: Vec<&'a str>,
    keyed: BTreeMap<&'a str, &'a str>,
    /// Duration in ms, if given.
    for_ms: Option<u64>,
}

impl<'a> Action<'a> {
    fn parse(text: &'a str) -> Result<Action<'a>, String> {
        let (plain, keyed) = words(text);
        let for_s = keyed.get("for").map(|value| number(value)).transpose()?;
        Ok(Action {
            text,
            plain,
            keyed,
            for_ms: for_s.map(|seconds| (seconds * 1000.0) as u64),
        })
    }

    fn verb(&self) -> Result<&'a str, String> {
        self.arg(0)
    }

    /// The plain word at this position; the verb is the first.
    fn arg(&self, at: usize) -> Result<&'a str, String> {
        self.plain.get(at).copied().ok_or("missing argument".to_owned())
    }

    fn has(&self, word: &str) -> bool {
        self.plain.contains(&word)
    }

    /// The number of a key, or a default.
    fn number_or(&self, key: &str, otherwise: f64) -> Result<f64, String> {
        self.keyed.get(key).map_or(Ok(otherwise), |value| number(value))
    }

    /// The value of a key in seconds, or a default, converted to ms.
    fn millis_or(&self, key: &str, otherwise_s: f64) -> Result<u64, String> {
        Ok((self.number_or(key, otherwise_s)? * 1000.0) as u64)
    }

    /// Duration in ms; an error if it is missing.
    fn duration_ms(&self) -> Result<u64, String> {
        self.for_ms.ok_or("missing duration".to_owned())
    }

    /// Everything after the verb.
    fn rest(&self) -> &'a str {
        self.text.split_once(' ').map_or("", |(_, rest)| rest)
    }

    /// Whether the action names the machine of a task that may have none (`of:wk-1/0?`), and it has
    /// none, or the leader if there is one (`leader?`), and there is none.
    fn targets_missing_host(&self, simulation: &Simulation) -> bool {
        let optional = |name: &&&str| name.ends_with('?') && name.starts_with("of:");
        let machine = self.plain.iter().find(optional);
        machine.is_some_and(|name| machine_named(simulation, name).is_err())
            || self.has("leader?") && simulation.leader().is_none()
    }
}

/// Executes an action.
///
/// # Errors
/// The action cannot be parsed, or its target does not exist.
pub(super) fn act(
    simulation: &mut Simulation,
    agenda: &mut Agenda,
    files: &BTreeMap<String, String>,
    text: &str,
) -> Result<(), String> {
    let action = Action::parse(text)?;
    if action.targets_missing_host(simulation) {
        return Ok(());
    }
    let known = users::act(simulation, files, &action)?
        || controllers::act(simulation, &action)?
        || network::act(simulation, agenda, &action)?
        || machines::act(simulation, &action)?
        || store::act(simulation, &action)?;
    if known {
        Ok(())
    } else {
        Err(format!("unknown action {}", action.verb()?))
    }
}

/// Indexes of the controllers that a word names.
fn nodes_named(simulation: &Simulation, name: &str) -> Result<Vec<usize>, String> {
    match name {
        "all" => Ok((0..NODES).collect()),
        // Empty while there is no leader.
        "leader?" => Ok(simulation.leader().into_iter().collect()),
        "leader" => simulation
            .leader()
            .map(|leader| vec![leader])
            .ok_or("there is no leader".to_owned()),
        "follower" => {
            let leader = simulation.leader().ok_or("there is no leader")?;
            Ok(vec![(leader + 1) % NODES])
        }
        other => other
            .strip_prefix('n')
            .and_then(|index| index.parse().ok())
            .filter(|index| *index < NODES)
            .map(|index| vec![index])
            .ok_or(format!("no node {other}")),
    }
}

/// The endpoint that a word names: a controller, a machine, a zone or a system.
fn host_named(simulation: &Simulation, name: &str) -> Result<String, String> {
    match name {
        "area:leader" | "area:leader?" => Ok(zones::area_of_node(simulation.leader())),
        "leader" | "leader?" => Ok(format!("n{}", nodes_named(simulation, "leader")?[0])),
        "follower" => Ok(format!("n{}", nodes_named(simulation, name)?[0])),
        other => machine_named(simulation, other).or_else(|_| Ok(other.to_owned())),
    }
}

fn machine_named(simulation: &Simulation, name: &str) -> Result<String, String> {
    let name = name.strip_suffix('?').unwrap_or(name);
    if let Some(task) = name.strip_prefix("of:") {
        return simulation
            .machine_of(task)
            .ok_or(format!("{task} is on no machine"));
    }
    simulation
        .workers
        .contains_key(name)
        .then(|| name.to_owned())
        .ok_or(format!("no machine {name}"))
}
