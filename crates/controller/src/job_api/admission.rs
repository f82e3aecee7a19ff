//! What a submission must satisfy. Kept apart from HTTP, so that other ways of
//! submitting can share it.

use crate::constants::{MAX_AMOUNT, MAX_DURATION_S, MAX_NAME_BYTES, MAX_TASKS_PER_JOB};
use crate::model::{JobId, JobSpec, Resources};
use crate::protocol::{JOB_PREFIX, JobSubmission, MachineType};
use crate::settings::Deployment;
use indigopath_counted_resources::{Definitions, Demand};
use std::borrow::Cow;
use std::sync::Arc;

/// Said where only a former leader's list of machine types is known.
pub const MACHINE_TYPES_UNCONFIRMED: &str = "the cloud has not told its machine types yet";

const NO_ZONE: &str = "no allowed zone does, or too few for tasks that have to be apart";

/// Longest number in a job's id, in digits: any count below 2^64 has at most 20.
const ID_DIGITS: usize = 20;

/// A job's id is always the prefix and a number.
pub fn parse_id(text: &str) -> Option<JobId> {
    let digits = text.strip_prefix(JOB_PREFIX)?;
    let valid = (1..=ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
    valid.then(|| JobId(Arc::from(text)))
}

/// Machine types as this node knows them.
#[derive(Debug, Clone, Copy)]
pub struct KnownMachineTypes<'a> {
    pub list: &'a [MachineType],
    /// The cloud itself has told them; else they are what a former leader left, and a new one may lack.
    pub confirmed: bool,
}

/// Why a submission is not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Malformed.
    Invalid(String),
    /// Well-formed, but it could never run.
    Impossible(Cow<'static, str>),
    /// This node cannot tell yet.
    Undecided(&'static str),
}

/// Reads and checks a submission. The id comes back even with a refusal, because
/// an id accepted before gets its job's state, whatever the body says now.
pub fn accept(
    body: &[u8],
    deployment: &Deployment,
    definitions: &Definitions,
    types: Option<KnownMachineTypes<'_>>,
    wall_ms: u64,
) -> Result<JobSpec, (Option<JobId>, Refusal)> {
    // An array of the right values, in the fields' order, would be read as well.
    if body.trim_ascii_start().first() != Some(&b'{') {
        return Err((None, invalid("not an object")));
    }
    let mut input = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut input).map_err(|error| error.to_string());
    let body: JobSubmission =
        match parsed.and_then(|job| input.end().map(|()| job).map_err(|error| error.to_string())) {
            Ok(job) => job,
            Err(problem) => return Err((id_of(body), Refusal::Invalid(problem))),
        };
    let Some(id) = parse_id(&body.id) else {
        return Err((None, invalid("Id is not a job id")));
    };
    check(id.clone(), body, deployment, definitions, types, wall_ms).map_err(|refusal| (Some(id), refusal))
}

fn id_of(body: &[u8]) -> Option<JobId> {
    #[derive(serde::Deserialize)]
    struct OnlyId {
        #[serde(rename = "Id")]
        id: String,
    }
    let only: OnlyId = serde_json::from_slice(body).ok()?;
    parse_id(&only.id)
}

fn impossible(problem: &'static str) -> Refusal {
    Refusal::Impossible(Cow::Borrowed(problem))
}

fn invalid(problem: &str) -> Refusal {
    Refusal::Invalid(problem.to_owned())
}

/// A number from 0 to `most`.
fn amount(field: &str, value: f64, most: f64) -> Result<f64, Refusal> {
    if value.is_finite() && (0.0..=most).contains(&value) {
        Ok(value)
    } else {
        Err(Refusal::Invalid(format!("{field} is out of range")))
    }
}

fn check_name(field: &str, value: &str) -> Result<(), Refusal> {
    if value.is_empty() || value.len() > MAX_NAME_BYTES {
        Err(Refusal::Invalid(format!("{field} is empty or too long")))
    } else {
        Ok(())
    }
}

/// Checks in the order in which problems are reported: the fields, then what could never run whatever
/// machine types there are, then what depends on them.
fn check(
    id: JobId,
    body: JobSubmission,
    deployment: &Deployment,
    definitions: &Definitions,
    types: Option<KnownMachineTypes<'_>>,
    wall_ms: u64,
) -> Result<JobSpec, Refusal> {
    let mut spec = checked_fields(id, body, wall_ms)?;
    check_limits(&spec, deployment, definitions)?;
    let zones = allowed_zones(&spec, deployment)?;
    let Some(types) = types else {
        return Err(Refusal::Undecided("machine types are not known yet"));
    };
    check_machine_types(&spec, zones, types)?;
    keep_known_types(&mut spec, types.list);
    Ok(spec)
}

fn checked_fields(id: JobId, body: JobSubmission, wall_ms: u64) -> Result<JobSpec, Refusal> {
    check_name("Lane", &body.class)?;
    check_name("Crew", &body.team)?;
    check_name("Kit", &body.image)?;
    if !(1..=MAX_TASKS_PER_JOB).contains(&body.tasks) {
        return Err(invalid("Picks is out of range"));
    }
    let needs = Resources {
        cpus: amount("Cpus", body.cpus, MAX_AMOUNT)?,
        gpus: amount("Gpus", body.gpus, MAX_AMOUNT)?,
        memory_gb: amount("MemGb", body.memory_gb, MAX_AMOUNT)?,
    };
    let image_gb = amount("PullGb", body.image_gb, MAX_AMOUNT)?;
    let estimate_s = amount("RuntimeS", body.estimate_s, MAX_DURATION_S)?;
    let checkpoint_s = amount("StashEveryS", body.checkpoint_s, MAX_DURATION_S)?;
    let save_s = amount("StashS", body.save_s, MAX_DURATION_S)?;
    let deadline_s = body
        .deadline_s
        .map(|value| amount("DueS", value, MAX_DURATION_S))
        .transpose()?;
    let counts = body.counts.as_ref().map_or(Ok(Demand::default()), Demand::new);
    let counts = counts.map_err(|error| Refusal::Invalid(error.to_string()))?;
    Ok(JobSpec {
        id,
        class: body.class,
        team: body.team,
        shape: body.shape,
        priority: body.priority,
        tasks: body.tasks as u32,
        needs,
        image: Arc::from(body.image),
        image_gb,
        types: body.types,
        zone: body.zone,
        one_zone: body.one_zone,
        spread: body.spread,
        spot: body.spot,
        estimate_s,
        checkpoint_s,
        save_s,
        deadline_s,
        counts,
        kinds: None,
        condor: None,
        submitted_ms: wall_ms,
    })
}

/// Tasks that have to run at the same time.
fn tasks_at_once(spec: &JobSpec) -> u64 {
    spec.shape.concurrent_tasks(spec.tasks.into())
}

/// Whether tasks that run at the same time have to be in different zones. An array's tasks run one after
/// the other.
fn needs_two_zones(spec: &JobSpec) -> bool {
    spec.spread && tasks_at_once(spec) > 1
}

/// Refuses what its team can never have at once.
fn check_limits(spec: &JobSpec, deployment: &Deployment, definitions: &Definitions) -> Result<(), Refusal> {
    let Some(team) = deployment.teams.iter().find(|team| team.name == spec.team) else {
        return Err(impossible("unknown team"));
    };
    // One task of an array must fit the team's limit; of the other shapes, all.
    let at_once = tasks_at_once(spec);
    if !team.allows(&spec.needs.times(at_once as f64)) {
        return Err(impossible("over the team's limit"));
    }
    // The same holds for counted resources: a job whose tasks can never have their units at once never
    // starts.
    spec.counts
        .check(definitions, at_once)
        .map_err(|error| Refusal::Impossible(Cow::Owned(error.to_string())))?;
    if needs_two_zones(spec) && spec.one_zone {
        return Err(impossible("its tasks may neither share a zone nor be in several"));
    }
    Ok(())
}

fn are_enough(zones: &[&String], spec: &JobSpec) -> bool {
    zones.len() > usize::from(needs_two_zones(spec))
}

/// Zones in which the job may run. Too few are a refusal, whatever machine types there are.
fn allowed_zones<'a>(spec: &JobSpec, deployment: &'a Deployment) -> Result<Vec<&'a String>, Refusal> {
    let is_allowed = |zone: &&String| spec.zone.as_ref().is_none_or(|only| only == *zone);
    let zones: Vec<&String> = deployment.zones.iter().filter(is_allowed).collect();
    if !are_enough(&zones, spec) {
        return Err(impossible(NO_ZONE));
    }
    Ok(zones)
}

/// Refuses a job that fits no machine type in these zones, but only as the cloud itself names the types.
fn check_machine_types(
    spec: &JobSpec,
    zones: Vec<&String>,
    types: KnownMachineTypes<'_>,
) -> Result<(), Refusal> {
    let is_sold = |zone: &&String| {
        let mut list = types.list.iter();
        // A type that the cloud does not sell in a zone is never rented there.
        list.any(|known| known.zones.contains(*zone) && spec.eligible(known, zone, false))
    };
    let zones: Vec<&String> = zones.into_iter().filter(is_sold).collect();
    if are_enough(&zones, spec) {
        return Ok(());
    }
    Err(match (types.confirmed, zones.is_empty()) {
        (false, _) => Refusal::Undecided(MACHINE_TYPES_UNCONFIRMED),
        (true, true) => impossible("a task fits no allowed machine type"),
        (true, false) => impossible(NO_ZONE),
    })
}

/// Keeps only names of types that exist, which bounds the record.
fn keep_known_types(spec: &mut JobSpec, types: &[MachineType]) {
    if let Some(allowed) = &mut spec.types {
        allowed.retain(|name| types.iter().any(|machine_type| machine_type.name == *name));
        allowed.sort();
        allowed.dedup();
    }
}

#[cfg(test)]
mod tests;
