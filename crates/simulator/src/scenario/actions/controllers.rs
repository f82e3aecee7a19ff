//! What befalls controllers: they end, freeze, stall, find other settings, and their clocks are off.

use super::super::script::{define, define_shift, number};
use super::{Action, nodes_named};
use crate::simulation::{EndOn, NODES, RESTART_MS, Simulation, Stage};

/// False where the verb is about no controller.
pub(super) fn act(simulation: &mut Simulation, action: &Action) -> Result<bool, String> {
    match action.verb()? {
        // Whoever sends the so manieth call about clusters ends with it, before or after it is carried
        // out.
        "end-at" => {
            let calls = number(action.arg(1)?)? as u32;
            simulation.end_at = Some((calls, action.arg(2)? == "after"));
        }
        // Whoever makes such a call next ends with it.
        "end-on" => simulation.end_on.push_back(EndOn {
            stage: stage(action.arg(1)?)?,
            carried_out: action.arg(2)? == "after",
            back_ms: action.for_ms.unwrap_or(RESTART_MS),
        }),
        // Whoever sends the so manieth write of an end, or of the accounts, ends with it.
        "end-books" => end_with_write(simulation, "\"b/~\"", action)?,
        "end-ends" => end_with_write(simulation, "\"Put\":\"e/", action)?,
        "crash" => {
            for node in nodes_named(simulation, action.arg(1)?)? {
                simulation.end(node, action.for_ms.unwrap_or(RESTART_MS));
            }
        }
        "freeze" => {
            for node in nodes_named(simulation, action.arg(1)?)? {
                simulation.nodes[node].frozen_until = simulation.now + action.lasts_ms()?;
            }
        }
        // It decides, and what it sends goes out only when it goes on.
        "stall" => {
            for node in nodes_named(simulation, action.arg(1)?)? {
                simulation.nodes[node].stalls_until = simulation.now + action.lasts_ms()?;
            }
        }
        // Operators change a count: nodes find it when they start.
        "redefine" => {
            define(&mut simulation.operator, action.rest())?;
            simulation.note_redefined_counts();
        }
        // Nodes that start from now on find a shift so.
        "reshift" => define_shift(&mut simulation.operator, action.rest())?,
        "clock" => set_clock(simulation, action)?,
        _ => return Ok(false),
    }
    Ok(true)
}

fn stage(name: &str) -> Result<Stage, String> {
    match name {
        "lease" => Ok(Stage::Lease),
        "claim" => Ok(Stage::Claim),
        "touch" => Ok(Stage::Touch),
        "page" => Ok(Stage::Page),
        other => Err(format!("unknown call {other}")),
    }
}

fn end_with_write(simulation: &mut Simulation, what: &'static str, action: &Action) -> Result<(), String> {
    let writes = number(action.arg(1)?)? as u32;
    simulation.books.end_at = Some((what, writes, action.arg(2)? == "after"));
    Ok(())
}

/// The clocks of these nodes are off by so many s.
fn set_clock(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let off_ms = (number(action.arg(2)?)? * 1000.0) as i64;
    let nodes = match action.arg(1)? {
        "others" => {
            let leader = simulation.leader().ok_or("nobody leads")?;
            (0..NODES).filter(|node| *node != leader).collect()
        }
        name => nodes_named(simulation, name)?,
    };
    for node in nodes {
        simulation.guarded.clocks[node] = off_ms;
    }
    Ok(())
}
