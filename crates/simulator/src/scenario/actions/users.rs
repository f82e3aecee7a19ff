//! What users do: they submit, ask, cancel, repeat themselves, and send what can never run.

use super::super::script::{body, number};
use super::{Action, nodes_named};
use crate::job_stream::Stream;
use crate::response_checks;
use crate::simulation::{NODES, Simulation, SubmittedFile, UserKind};
use indigopath_condor::Bundle;
use std::collections::BTreeMap;

/// False where the verb is none of a user's.
pub(super) fn act(
    simulation: &mut Simulation,
    files: &BTreeMap<String, String>,
    action: &Action,
) -> Result<bool, String> {
    match action.verb()? {
        "submit" => submit(simulation, action)?,
        "condor" => send_file(simulation, files, action)?,
        // Its submitter never comes back.
        "abandon" => {
            let sent = simulation.sent.get_mut(action.arg(1)?);
            sent.ok_or("no such file")?.next_attempt_at = u64::MAX;
        }
        "withdraw" => withdraw(simulation, action)?,
        "ask" => {
            let nodes = action.keyed.get("node").copied().unwrap_or("all");
            ask(simulation, action.arg(1)?, nodes, &UserKind::Poll)?;
        }
        "close-looks" | "withhold" | "repeat" => look_closely(simulation, action)?,
        "stream" => {
            let stream = Stream::new(action.arg(1)?, &action.keyed, action.lasts_ms()?, simulation.now)?;
            simulation.streams.push(stream);
        }
        "flood" => flood(simulation, action)?,
        // The same id for another team, at a node of its own, whichever comes first.
        "rival" => {
            let (body, _) = body(action.arg(1)?, &action.keyed)?;
            let node = action.number("node", 0.0)? as usize % NODES;
            simulation.user_asks(node, "", UserKind::submission(&body, 0));
        }
        // A submission again, with another body: its job's state, never a refusal.
        "resubmit" => {
            let (body, _) = body(action.arg(1)?, &action.keyed)?;
            ask(simulation, "", "all", &UserKind::submission(&body, 200))?;
        }
        "probe" => probe(simulation, action)?,
        "offer" => simulation.offer(&action.plain, &action.keyed)?,
        "odd-requests" => simulation.begin_odd(action.lasts_ms()?),
        "cancel-now" => cancel_now(simulation, action)?,
        // What was wrong with the job is mended.
        "fix" => {
            let job = simulation.jobs.get_mut(action.arg(1)?);
            job.ok_or("no such job")?.always_fails = false;
        }
        _ => return Ok(false),
    }
    Ok(true)
}

/// With `count=`, that many alike, numbered from the name's own number, ten a second or one `every=` so
/// many seconds.
fn submit(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let id = action.arg(1)?;
    let every_ms = action.millis("every", 0.1)?;
    let count = action.number("count", 1.0)? as u64;
    for more in 0..count {
        let id = match id.strip_prefix("wk-").and_then(|own| own.parse::<u64>().ok()) {
            Some(own) => format!("wk-{}", own + more),
            None => id.to_owned(),
        };
        let (_, mut facts) = body(&id, &action.keyed)?;
        let asked_at = simulation.now + more * every_ms;
        facts.submitted_at = Some(asked_at);
        simulation.jobs.insert(id.clone(), facts);
        simulation.user_at.insert(id, asked_at);
    }
    Ok(())
}

/// A submit file, under a key of its own or another's.
fn send_file(
    simulation: &mut Simulation,
    files: &BTreeMap<String, String>,
    action: &Action,
) -> Result<(), String> {
    let name = action.arg(1)?;
    let text = files.get(name).ok_or("no such file")?;
    let sent = action.keyed.get("as").copied().unwrap_or(name);
    let key = action.keyed.get("key").copied().unwrap_or(sent);
    let first = action.number("node", 0.0)? as usize;
    let bundle = Bundle {
        key: format!("scenario-{key}"),
        owner: "awa".to_owned(),
        file: format!("{name}.sub"),
        text: text.clone(),
        at_s: 1_700_000_000,
        ..Bundle::default()
    };
    let mut nodes: Vec<usize> = (0..NODES).collect();
    // The first turn moves on by one.
    nodes.rotate_left((first + NODES - 1) % NODES);
    let sending = SubmittedFile {
        body: serde_json::to_vec(&bundle).map_err(|error| error.to_string())?,
        next_attempt_at: simulation.now,
        nodes,
        response: None,
    };
    simulation.sent.insert(sent.to_owned(), sending);
    Ok(())
}

fn withdraw(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let now = simulation.now;
    let job = action.arg(1)?;
    let facts = simulation.jobs.get_mut(job).ok_or("no such job")?;
    facts.request_cancel(now);
    match action.keyed.get("node") {
        Some(nodes) => ask(simulation, job, nodes, &UserKind::Cancel),
        None => Ok(()),
    }
}

/// A request at each of these nodes, at once.
fn ask(simulation: &mut Simulation, job: &str, nodes: &str, kind: &UserKind) -> Result<(), String> {
    for node in nodes_named(simulation, nodes)? {
        simulation.user_asks(node, job, kind.clone());
    }
    Ok(())
}

fn look_closely(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let plain = &action.plain;
    let node = action
        .keyed
        .get("node")
        .or(plain.get(1).filter(|_| plain.len() > 2));
    let nodes = node.map_or(Ok(Vec::new()), |node| nodes_named(simulation, node))?;
    let cancels = action.number("cancels", 0.0)?;
    response_checks::act(simulation, plain, &nodes, cancels, action.for_ms)
}

/// Submissions of one team, so many a second, whose users neither come again nor ask.
fn flood(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let rate = action.number("rate", 500.0)?;
    let first = action.arg(1)?.trim_start_matches("wk-");
    let first: u64 = first.parse().map_err(|_| "no id")?;
    let count = (rate * action.lasts_ms()? as f64 / 1000.0) as u64;
    for more in 0..count {
        let id = format!("wk-{}", first + more);
        let (_, facts) = body(&id, &action.keyed)?;
        simulation.jobs.insert(id.clone(), facts);
        let node = more as usize % NODES;
        let after = (more as f64 * 1000.0 / rate) as u64;
        simulation.flood(after, node, id);
    }
    Ok(())
}

/// A request at every node whose answer's status must be this.
fn probe(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let body = action.keyed.get("body").copied().unwrap_or("");
    let kind = UserKind::Probe {
        method: if action.arg(1)? == "GET" { "GET" } else { "POST" },
        path: action.arg(2)?.to_owned(),
        body: body.as_bytes().to_vec(),
        status: number(action.arg(3)?)? as u16,
    };
    ask(simulation, "", "all", &kind)
}

fn cancel_now(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let count = number(action.keyed.get("count").ok_or("how many")?)? as usize;
    let called_off = simulation.cancel_now(count.max(1), action.millis("hang", 0.0)?);
    // With `?`, nothing happens while nothing has long to go.
    if action.has("?") {
        Ok(())
    } else {
        called_off.map(|_| ())
    }
}
