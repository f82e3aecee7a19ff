//! What befalls controllers: they end, freeze, stall, find other settings, and their clocks are off.

use super::super::script::{define_count, define_protection_window, number};
use super::{Action, nodes_named};
use crate::simulation::{CrashOn, ElectionCall, NODE_RESTART_MS, NODES, Simulation};

/// False where the verb is about no controller.
pub(super) fn act(simulation: &mut Simulation, action: &Action) -> Result<bool, String> {
    match action.verb()? {
        // Whoever sends the so manieth call about clusters ends with it, before or after it is carried
        // out.
        "end-at" => {
            let calls = number(action.arg(1)?)? as u32;
            simulation.crash_at_cluster_call = Some((calls, action.arg(2)? == "after"));
        }
        // Whoever makes such a call next ends with it.
        "end-on" => simulation.crashes_on_call.push_back(CrashOn {
            call: election_call(action.arg(1)?)?,
            executed: action.arg(2)? == "after",
            restart_ms: action.for_ms.unwrap_or(NODE_RESTART_MS),
        }),
        // Whoever sends the so manieth write of an end, or of the accounts, ends with it.
        "end-books" => crash_on_write(simulation, "\"b/~\"", action)?,
        "end-ends" => crash_on_write(simulation, "\"Put\":\"e/", action)?,
        "crash" => {
            for node in nodes_named(simulation, action.arg(1)?)? {
                simulation.crash(node, action.for_ms.unwrap_or(NODE_RESTART_MS));
            }
        }
        "freeze" => {
            for node in nodes_named(simulation, action.arg(1)?)? {
                simulation.nodes[node].frozen_until = simulation.now + action.duration_ms()?;
            }
        }
        // It decides, and what it sends goes out only when it goes on.
        "stall" => {
            for node in nodes_named(simulation, action.arg(1)?)? {
                simulation.nodes[node].stalled_until = simulation.now + action.duration_ms()?;
            }
        }
        // Operators change a count: nodes find it when they start.
        "redefine" => {
            define_count(&mut simulation.operator, action.rest())?;
            simulation.record_redefined_counts();
        }
        // Nodes that start from now on find a shift so.
        "reshift" => define_protection_window(&mut simulation.operator, action.rest())?,
        "clock" => set_clock_offset(simulation, action)?,
        _ => return Ok(false),
    }
    Ok(true)
}

fn election_call(name: &str) -> Result<ElectionCall, String> {
    match name {
        "lease" => Ok(ElectionCall::Lease),
        "claim" => Ok(ElectionCall::Claim),
        "touch" => Ok(ElectionCall::Renew),
        "page" => Ok(ElectionCall::ReadRecords),
        other => Err(format!("unknown call {other}")),
    }
}

fn crash_on_write(simulation: &mut Simulation, what: &'static str, action: &Action) -> Result<(), String> {
    let writes = number(action.arg(1)?)? as u32;
    simulation.accounting_check.crash_at_write = Some((what, writes, action.arg(2)? == "after"));
    Ok(())
}

/// The clocks of these nodes are off by so many s.
fn set_clock_offset(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let off_ms = (number(action.arg(2)?)? * 1000.0) as i64;
    let nodes = match action.arg(1)? {
        "others" => {
            let leader = simulation.leader().ok_or("nobody leads")?;
            (0..NODES).filter(|node| *node != leader).collect()
        }
        name => nodes_named(simulation, name)?,
    };
    for node in nodes {
        simulation.window_checks.clock_offsets_ms[node] = off_ms;
    }
    Ok(())
}
