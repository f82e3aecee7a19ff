//! What befalls machines, and what the cloud has of them.

use super::super::script::number;
use super::{Action, machine_named};
use crate::simulation::Simulation;
use crate::worker::Worker;

/// False where the verb is about no machine.
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
        // It refuses starts as if it were full.
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
        // Most machines that the cloud has, those that are up among them.
        "capacity" => simulation.cloud.max_machines = Some(number(action.arg(1)?)? as usize),
        "duds" => simulation.cloud.failing_launches = number(action.arg(1)?)? as u32,
        "stranger" => {
            let now = simulation.now;
            simulation
                .cloud
                .launch(action.arg(1)?, action.arg(2)?, false, now);
        }
        // A type that the cloud sells in this zone alone.
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

/// It still appears as running; nothing on it runs.
fn die(simulation: &mut Simulation, id: &str) {
    simulation.workers.remove(id);
    if let Some(machine) = simulation.cloud.machines.get_mut(id) {
        machine.ready_at = u64::MAX;
    }
}

/// Every so manieth machine of a zone dies: `die-in west part=3`.
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

/// The task's process dies; its machine is sound.
fn kill(simulation: &mut Simulation, task: &str) -> Result<(), String> {
    let task = task.trim_start_matches("of:").trim_end_matches('?');
    let id = simulation.machine_of(task).ok_or("it is nowhere")?;
    let worker = simulation.workers.get_mut(&id).ok_or("no machine")?;
    let tasks = worker.tasks.iter_mut();
    let killed = tasks.filter(|other| other.name() == task && other.is_on_machine());
    killed.for_each(|task| task.exit(indigopath_controller::protocol::TaskEndCause::Error));
    Ok(())
}
