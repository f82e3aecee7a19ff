//! Actions of users: submissions, polls, cancellations, repeated and invalid requests.

use super::super::script::{body, number};
use super::{Action, nodes_named};
use crate::job_stream::JobStream;
use crate::response_checks;
use crate::simulation::{NODES, Simulation, SubmittedFile, UserRequest};
use indigopath_condor::Bundle;
use std::collections::BTreeMap;

/// Returns false if the verb is no action of a user.
pub(super) fn act(
    simulation: &mut Simulation,
    files: &BTreeMap<String, String>,
    action: &Action,
) -> Result<bool, String> {
    match action.verb()? {
        "submit" => submit(simulation, action)?,
        "condor" => send_file(simulation, files, action)?,
        // Its submitter never retries.
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
        // The same id for another team at a certain node, whichever submission comes first.
        "rival" => {
            let (body, _) = body(action.arg(1)?, &action.keyed)?;
            let node = action.number_or("node", 0.0)? as usize % NODES;
            simulation.send_user_request(node, "", UserRequest::submission(&body, 0));
        }
        // A repeated submission with another body: answered with the job's state, never rejected.
        "resubmit" => {
            let (body, _) = body(action.arg(1)?, &action.keyed)?;
            send_to_nodes(simulation, "", "all", &UserRequest::submission(&body, 200))?;
        }
        "probe" => probe(simulation, action)?,
        "offer" => simulation.submit_expecting_status(&action.plain, &action.keyed)?,
        "odd-requests" => simulation.begin_unusual_requests(action.duration_ms()?),
        "cancel-now" => cancel_now(simulation, action)?,
        // The job's error is fixed.
        "fix" => {
            let job = simulation.jobs.get_mut(action.arg(1)?);
            job.ok_or("no such job")?.always_fails = false;
        }
        _ => return Ok(false),
    }
    Ok(true)
}

/// Submits a job; with `count=` that many equal ones, numbered upwards from the given id, ten per
/// second or one every `every=` seconds.
fn submit(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let id = action.arg(1)?;
    let every_ms = action.millis_or("every", 0.1)?;
    let count = action.number_or("count", 1.0)? as u64;
    for offset in 0..count {
        let id = match id.strip_prefix("wk-").and_then(|own| own.parse::<u64>().ok()) {
            Some(own) => format!("wk-{}", own + offset),
            None => id.to_owned(),
        };
        let (_, mut observed) = body(&id, &action.keyed)?;
        let asked_at = simulation.now + offset * every_ms;
        observed.submitted_at = Some(asked_at);
        simulation.jobs.insert(id.clone(), observed);
        simulation.next_user_request_at.insert(id, asked_at);
    }
    Ok(())
}

/// Sends a submit file, under its own submission key or that of another file.
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
    // The first attempt rotates the nodes by one.
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

/// Sends a request to each of these nodes at once.
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

/// Submits jobs of one team at a fixed rate; their users neither retry nor poll.
fn flood(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let rate = action.number_or("rate", 500.0)?;
    let first = action.arg(1)?.trim_start_matches("wk-");
    let first: u64 = first.parse().map_err(|_| "no id")?;
    let count = (rate * action.duration_ms()? as f64 / 1000.0) as u64;
    for offset in 0..count {
        let id = format!("wk-{}", first + offset);
        let (_, observed) = body(&id, &action.keyed)?;
        simulation.jobs.insert(id.clone(), observed);
        let node = offset as usize % NODES;
        let after = (offset as f64 * 1000.0 / rate) as u64;
        simulation.submit_once(after, node, id);
    }
    Ok(())
}

/// Sends a request to every node whose response must have this status.
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
    let count = number(action.keyed.get("count").ok_or("missing `count=`")?)? as usize;
    let cancelled = simulation.cancel_long_running(count.max(1), action.millis_or("hang", 0.0)?);
    // With `?`, it is no error if no running job has a long remaining run time.
    if action.has("?") {
        Ok(())
    } else {
        cancelled.map(|_| ())
    }
}
