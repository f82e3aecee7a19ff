//! Actions on controllers: crashes, freezes, stalls, changed settings and clock skew.

use super::super::script::{define_count, define_protection_window, number};
use super::{Action, nodes_named};
use crate::simulation::{CrashOn, ElectionCall, NODE_RESTART_MS, NODES, Simulation};

/// Returns false if the verb does not concern controllers.
pub(super) fn act(simulation: &mut Simulation, action: &Action) -> Result<bool, String> {
    match action.verb()? {
        // The sender of the n-th call about clusters crashes with it, before or after it is
        // executed.
        "end-at" => {
            let calls = number(action.arg(1)?)? as u32;
            simulation.crash_at_cluster_call = Some((calls, action.arg(2)? == "after"));
        }
        // The next sender of such a call crashes with it.
        "end-on" => simulation.crashes_on_call.push_back(CrashOn {
            call: election_call(action.arg(1)?)?,
            executed: action.arg(2)? == "after",
            restart_ms: action.for_ms.unwrap_or(NODE_RESTART_MS),
        }),
        // The sender of the n-th write of an ended job, or of the accounting, crashes with it.
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
        // The node goes on deciding, but its messages go out only after the stall.
        "stall" => {
            for node in nodes_named(simulation, action.arg(1)?)? {
                simulation.nodes[node].stalled_until = simulation.now + action.duration_ms()?;
            }
        }
        // Operators change a counted resource: nodes read it when they start.
        "redefine" => {
            define_count(&mut simulation.operator, action.rest())?;
            simulation.record_redefined_counts();
        }
        // Nodes that start from now on read this protection window.
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

/// Sets the clock offset of these nodes.
fn set_clock_offset(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let off_ms = (number(action.arg(2)?)? * 1000.0) as i64;
    let nodes = match action.arg(1)? {
        "others" => {
            let leader = simulation.leader().ok_or("there is no leader")?;
            (0..NODES).filter(|node| *node != leader).collect()
        }
        name => nodes_named(simulation, name)?,
    };
    for node in nodes {
        simulation.window_checks.clock_offsets_ms[node] = off_ms;
    }
    Ok(())
}
