//! A plain warning, once per job, before it is forecast to miss what is expected
//! of it: its class's objectives on finishing, or its deadline.

use crate::constants::SECOND_MS;
use crate::ledger::Machine;
use crate::model::{Job, JobId, MachineId, Millis};
use crate::placement::Types;
use crate::settings::{Deployment, Settings};
use crate::wire::Shape;
use std::collections::{BTreeMap, HashMap};

/// What a job is to be complete within, in s, and who says so.
fn limits(job: &Job, deployment: &Deployment) -> Vec<(f64, &'static str)> {
    let mut limits: Vec<(f64, &str)> = deployment
        .within_s("finished", &job.spec.class)
        .map(|within_s| (within_s, "objective"))
        .collect();
    limits.extend(job.spec.deadline_s.map(|deadline| (deadline, "deadline")));
    limits.sort_by(|a, b| a.0.total_cmp(&b.0));
    limits
}

/// Progress of a job's tasks on machines: how many there are and the longest that
/// one still needs, by the owner's estimate.
#[derive(Debug, Clone, Copy, Default)]
struct Placed {
    tasks: u32,
    longest_s: f64,
}

/// Seconds until the job is complete, by the owner's estimate, and what holds it.
fn remaining(job: &Job, placed: Placed, boot_s: f64, fetch_s: f64) -> (f64, &'static str) {
    let waiting = job.waiting.len() as f64;
    if waiting == 0.0 {
        return (placed.longest_s, "its tasks run long");
    }
    if placed.tasks == 0 {
        return (boot_s + fetch_s + job.spec.estimate_s, "it waits for machines");
    }
    let waves = (waiting / f64::from(placed.tasks)).ceil();
    (
        placed.longest_s + waves * job.spec.estimate_s,
        "too few machines for its tasks",
    )
}

/// Warns of jobs that will be late, before they are.
pub fn warn(
    jobs: &mut BTreeMap<JobId, Job>,
    machines: &BTreeMap<MachineId, Machine>,
    types: &Types,
    settings: &Settings,
    boot_s: &HashMap<String, f64>,
    now: Millis,
) {
    let mut placed: HashMap<&JobId, Placed> = HashMap::new();
    for attempt in machines
        .values()
        .flat_map(|machine| &machine.attempts)
        .filter(|attempt| !attempt.exited())
    {
        let Some(job) = jobs.get(&attempt.task.job) else {
            continue;
        };
        let entry = placed.entry(&attempt.task.job).or_default();
        entry.tasks += 1;
        entry.longest_s = entry
            .longest_s
            .max((job.spec.estimate_s - attempt.ran_s(now)).max(0.0));
    }
    let mut late = Vec::new();
    for job in jobs
        .values()
        .filter(|job| !job.warned && job.spec.shape != Shape::Service)
    {
        let age_s = job.age_ms(now) as f64 / SECOND_MS as f64;
        let (boot_s, fetch_s) = types
            .values()
            .map(|machine_type| {
                let boot = boot_s
                    .get(&machine_type.name)
                    .copied()
                    .unwrap_or(machine_type.boot_s);
                (
                    boot,
                    job.spec.image_gb / machine_type.fetch_gb_per_s.max(f64::MIN_POSITIVE),
                )
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .unwrap_or((0.0, 0.0));
        let (left_s, why) = remaining(
            job,
            placed.get(&job.spec.id).copied().unwrap_or_default(),
            boot_s,
            fetch_s,
        );
        for (limit_s, what) in limits(job, &settings.deployment) {
            if age_s <= limit_s && age_s + left_s > limit_s {
                log::warn!(
                    "job={} class={} is forecast to miss its {what} of {limit_s:.0} s: {age_s:.0} s old, about {left_s:.0} s to go, {why}",
                    job.spec.id,
                    job.spec.class
                );
                late.push(job.spec.id.clone());
                break;
            }
        }
    }
    for id in late {
        if let Some(job) = jobs.get_mut(&id) {
            job.warned = true;
        }
    }
}
