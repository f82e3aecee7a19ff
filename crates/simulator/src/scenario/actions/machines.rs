//! Actions on machines and on the cloud's capacity.

use super::super::script::number;
use super::{Action, machine_named};
use crate::simulation::Simulation;
use crate::worker::Worker;

/// Returns false if the verb does not concern machines.
pub(super) fn act(simulation: &mut Simulation, action: &Action) -> Result<bool, String> {
    match action.verb()? {
        "die" => {
            let id = machine_named(simulation, action.arg(1)?)?;
            die(simulation, &id);
        }
        "die-in" => die_in_zone(simulation, action)?,
        "kill" => kill(simulation, action.arg(1)?)?,
        "hang" => {
            let until = simulation.now + action.duration_ms()?;
            worker(simulation, action)?.hung_until = until;
        }
        // The machine refuses starts as if it were full.
        "full" => {
            let until = simulation.now + action.duration_ms()?;
            worker(simulation, action)?.refuses_starts_until = until;
        }
        "faulty" => worker(simulation, action)?.faulty = true,
        "notice" => {
            let now = simulation.now;
            let taken_at = now + (number(action.arg(2)?)? * 1000.0) as u64;
            worker(simulation, action)?.give_reclaim_notice(taken_at, now);
        }
        "no-capacity" => {
            let kind = (action.arg(1)?.to_owned(), action.arg(2)? == "spot");
            simulation.cloud.unavailable_kinds.insert(kind);
        }
        "boots" => {
            let (least_s, most_s) = (number(action.arg(1)?)?, number(action.arg(2)?)?);
            simulation.cloud.boot_range_s = Some((least_s, most_s));
        }
        // Limit on the cloud's machines, including those that are up.
        "capacity" => simulation.cloud.max_machines = Some(number(action.arg(1)?)? as usize),
        "duds" => simulation.cloud.failing_launches = number(action.arg(1)?)? as u32,
        "stranger" => {
            let now = simulation.now;
            simulation
                .cloud
                .launch(action.arg(1)?, action.arg(2)?, false, now);
        }
        // A machine type becomes available in this zone only.
        "sells" => {
            let (name, zone) = (action.arg(1)?, action.arg(2)?.to_owned());
            let mut types = simulation.cloud.types.iter_mut();
            let machine_type = types.find(|known| known.name == name);
            machine_type.ok_or("no such type")?.zones = vec![zone];
        }
        _ => return Ok(false),
    }
    Ok(true)
}

fn worker<'a>(simulation: &'a mut Simulation, action: &Action) -> Result<&'a mut Worker, String> {
    let id = machine_named(simulation, action.arg(1)?)?;
    simulation.workers.get_mut(&id).ok_or("no machine".to_owned())
}

/// Kills a machine. The cloud lists it as running for a while, then as failed.
fn die(simulation: &mut Simulation, id: &str) {
    simulation.workers.remove(id);
    simulation.cloud.kill(id, simulation.now);
}

/// Kills every n-th machine of a zone: `die-in west part=3`.
fn die_in_zone(simulation: &mut Simulation, action: &Action) -> Result<(), String> {
    let zone = action.arg(1)?;
    let part = action.number_or("part", 1.0)? as usize;
    let there = simulation.workers.values().filter(|worker| worker.zone == zone);
    let ids: Vec<String> = there.map(|worker| worker.id.clone()).collect();
    for id in ids.into_iter().step_by(part.max(1)) {
        die(simulation, &id);
    }
    Ok(())
}

/// Kills a task's process; its machine stays healthy.
fn kill(simulation: &mut Simulation, task: &str) -> Result<(), String> {
    let task = task.trim_start_matches("of:").trim_end_matches('?');
    let id = simulation.machine_of(task).ok_or("the task is on no machine")?;
    let worker = simulation.workers.get_mut(&id).ok_or("no machine")?;
    let tasks = worker.tasks.iter_mut();
    let killed = tasks.filter(|other| other.name() == task && other.is_on_machine());
    killed.for_each(|task| task.exit(indigopath_controller::protocol::TaskEndCause::Error));
    Ok(())
}
