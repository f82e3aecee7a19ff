//! What users do: they submit, ask, cancel, repeat themselves, and send what can never run.

use super::super::script::{body, number};
use super::{Action, nodes_named};
use crate::job_stream::JobStream;
use crate::response_checks;
use crate::simulation::{NODES, Simulation, SubmittedFile, UserRequest};
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
            let sent = simulation.submitted_files.get_mut(action.arg(1)?);
            sent.ok_or("no such file")?.next_attempt_at = u64::MAX;
        }
        "withdraw" => cancel_job(simulation, action)?,
        "ask" => {
            let nodes = action.keyed.get("node").copied().unwrap_or("all");
            send_to_nodes(simulation, action.arg(1)?, nodes, &UserRequest::Poll)?;
        }
        "close-looks" | "withhold" | "repeat" => query_rapidly(simulation, action)?,
        "stream" => {
            let stream = JobStream::new(
                action.arg(1)?,
                &action.keyed,
                action.duration_ms()?,
                simulation.now,
            )?;
            simulation.streams.push(stream);
        }
        "flood" => flood(simulation, action)?,
        // The same id for another team, at a node of its own, whichever comes first.
        "rival" => {
            let (body, _) = body(action.arg(1)?, &action.keyed)?;
            let node = action.number_or("node", 0.0)? as usize % NODES;
            simulation.send_user_request(node, "", UserRequest::submission(&body, 0));
        }
        // A submission again, with another body: its job's state, never a refusal.
        "resubmit" => {
            let (body, _) = body(action.arg(1)?, &action.keyed)?;
            send_to_nodes(simulation, "", "all", &UserRequest::submission(&body, 200))?;
        }
        "probe" => probe(simulation, action)?,
        "offer" => simulation.submit_expecting_status(&action.plain, &action.keyed)?,
        "odd-requests" => simulation.begin_unusual_requests(action.duration_ms()?),
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
    let every_ms = action.millis_or("every", 0.1)?;
    let count = action.number_or("count", 1.0)? as u64;
    for more in 0..count {
        let id = match id.strip_prefix("wk-").and_then(|own| own.parse::<u64>().ok()) {
            Some(own) => format!("wk-{}", own + more),
            None => id.to_owned(),
        };
        let (_, mut observed) = body(&id, &action.keyed)?;
        let asked_at = simulation.now + more * every_ms;
        observed.submitted_at = Some(asked_at);
        simulation.jobs.insert(id.clone(), observed);
        simulation.next_user_request_at.insert(id, asked_at);
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
    let first = action.number_or("node", 0.0)? as usize;
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
    simulation.submitted_files.insert(sent.to_owned(), sending);
    Ok(())
}

fn cancel_job(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let now = simulation.now;
    let job = action.arg(1)?;
    let observed = simulation.jobs.get_mut(job).ok_or("no such job")?;
    observed.request_cancel(now);
    match action.keyed.get("node") {
        Some(nodes) => send_to_nodes(simulation, job, nodes, &UserRequest::Cancel),
        None => Ok(()),
    }
}

/// A request at each of these nodes, at once.
fn send_to_nodes(
    simulation: &mut Simulation,
    job: &str,
    nodes: &str,
    kind: &UserRequest,
) -> Result<(), String> {
    for node in nodes_named(simulation, nodes)? {
        simulation.send_user_request(node, job, kind.clone());
    }
    Ok(())
}

fn query_rapidly(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let plain = &action.plain;
    let node = action
        .keyed
        .get("node")
        .or(plain.get(1).filter(|_| plain.len() > 2));
    let nodes = node.map_or(Ok(Vec::new()), |node| nodes_named(simulation, node))?;
    let cancels = action.number_or("cancels", 0.0)?;
    response_checks::act(simulation, plain, &nodes, cancels, action.for_ms)
}

/// Submissions of one team, so many a second, whose users neither come again nor ask.
fn flood(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let rate = action.number_or("rate", 500.0)?;
    let first = action.arg(1)?.trim_start_matches("wk-");
    let first: u64 = first.parse().map_err(|_| "no id")?;
    let count = (rate * action.duration_ms()? as f64 / 1000.0) as u64;
    for more in 0..count {
        let id = format!("wk-{}", first + more);
        let (_, observed) = body(&id, &action.keyed)?;
        simulation.jobs.insert(id.clone(), observed);
        let node = more as usize % NODES;
        let after = (more as f64 * 1000.0 / rate) as u64;
        simulation.submit_once(after, node, id);
    }
    Ok(())
}

/// A request at every node whose answer's status must be this.
fn probe(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let body = action.keyed.get("body").copied().unwrap_or("");
    let kind = UserRequest::Probe {
        method: if action.arg(1)? == "GET" { "GET" } else { "POST" },
        path: action.arg(2)?.to_owned(),
        body: body.as_bytes().to_vec(),
        status: number(action.arg(3)?)? as u16,
    };
    send_to_nodes(simulation, "", "all", &kind)
}

fn cancel_now(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let count = number(action.keyed.get("count").ok_or("how many")?)? as usize;
    let called_off = simulation.cancel_long_running(count.max(1), action.millis_or("hang", 0.0)?);
    // With `?`, nothing happens while nothing has long to go.
    if action.has("?") {
        Ok(())
    } else {
        called_off.map(|_| ())
    }
}
