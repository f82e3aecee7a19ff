//! Actions on messages and on the systems that receive them: cuts, outages, late and duplicate
//! messages.

use super::super::script::{Agenda, number};
use super::{Action, host_named, machine_named, nodes_named};
use crate::simulation::{DuplicateDelivery, Fault, MessageFault, NetworkCut, Simulation};

/// Returns false if the verb does not concern messages.
pub(super) fn act(simulation: &mut Simulation, agenda: &mut Agenda, action: &Action) -> Result<bool, String> {
    match action.verb()? {
        "cut-off" => cut_off(simulation, action)?,
        "late-writes" | "late-reports" | "slow-state" | "deaf" | "mute" | "cancel-at-end" => {
            begin_fault(simulation, action)?;
        }
        "refuse" => {
            for node in nodes_named(simulation, action.arg(1)?)? {
                let until = simulation.now + action.duration_ms()?;
                simulation.refused_until.insert(node, until);
            }
        }
        "cut" => cut(simulation, agenda, action)?,
        "heal" => simulation.heal_cuts(),
        "outage" => outage(simulation, agenda, action)?,
        "restore" => match action.arg(1)? {
            "state" => simulation.state.end_outage(simulation.now),
            "licences" => simulation.licences.outage = false,
            _ => simulation.cloud.outage = false,
        },
        // The path may have a query.
        "lose-answer" => {
            let (_, path) = action.text.split_once(' ').ok_or("no path")?;
            let path = path.to_owned();
            simulation
                .message_faults
                .push(MessageFault::LoseResponse { path });
        }
        // Messages delivered and answered from now on are delivered a second time.
        "copies" => {
            let later = action.keyed.get("later").ok_or("missing `later=`")?;
            simulation.duplicate_deliveries.push(DuplicateDelivery {
                kind: action.arg(1)?.to_owned(),
                delay_ms: (number(later)? * 1000.0) as u64,
                until: simulation.now + action.duration_ms()?,
            });
        }
        "late" => simulation.message_faults.push(MessageFault::Delay {
            path: action.arg(1)?.to_owned(),
            by_ms: (number(action.arg(2)?)? * 1000.0) as u64,
        }),
        _ => return Ok(false),
    }
    Ok(true)
}

fn cut_off(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let until = simulation.now + action.duration_ms()?;
    for node in nodes_named(simulation, action.arg(1)?)? {
        let silent = action.has("silent");
        simulation
            .faults
            .push((until, Fault::IsolateNode { node, silent }));
    }
    Ok(())
}

/// Starts a lasting fault that affects a share of all messages or machines of its kind.
fn begin_fault(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let until = simulation.now + action.duration_ms()?;
    let share = action.number_or("share", 0.0)?;
    let fault = match action.verb()? {
        "late-writes" if action.has("at-once") => Fault::LostWriteResponses { share },
        "cancel-at-end" => Fault::CancelNearCompletion { share },
        "late-reports" if action.has("for-next") => Fault::HeartbeatsForNextLeader {
            share,
            after_ms: action.millis_or("after", 0.0)?,
        },
        "late-writes" => Fault::LateWrites { share },
        "late-reports" => Fault::LateHeartbeats { share },
        "slow-state" => Fault::SlowState {
            share,
            times: number(action.keyed.get("times").ok_or("missing `times=`")?)?,
        },
        one_way => {
            let named = action.plain.get(1);
            let named = named.map(|name| machine_named(simulation, name)).transpose()?;
            let (machines, zone) = simulation.affected_machines(named, &action.keyed, share);
            if one_way == "mute" {
                Fault::DropHeartbeats { machines, zone }
            } else {
                Fault::DropInbound { machines, zone }
            }
        }
    };
    simulation.faults.push((until, fault));
    Ok(())
}

fn cut(simulation: &mut Simulation, agenda: &mut Agenda, action: &Action) -> Result<(), String> {
    let one_end = host_named(simulation, action.arg(1)?)?;
    let other_end = host_named(simulation, action.arg(2)?)?;
    let cut = if action.has("hold") {
        NetworkCut::Hold
    } else {
        NetworkCut::Drop
    };
    simulation.cuts.push((one_end, other_end, cut));
    if let Some(lasts_ms) = action.for_ms {
        agenda.add_follow_up(simulation.now + lasts_ms, "heal");
    }
    Ok(())
}

fn outage(simulation: &mut Simulation, agenda: &mut Agenda, action: &Action) -> Result<(), String> {
    let system = action.arg(1)?;
    match system {
        "state" => simulation.state.start_outage(simulation.now),
        "licences" => simulation.licences.outage = true,
        _ => simulation.cloud.outage = true,
    }
    if let Some(lasts_ms) = action.for_ms {
        agenda.add_follow_up(simulation.now + lasts_ms, &format!("restore {system}"));
    }
    Ok(())
}
