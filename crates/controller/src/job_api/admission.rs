//! Validation of submissions. Independent of HTTP, so that other interfaces can share it.

use crate::constants::{MAX_AMOUNT, MAX_DURATION_S, MAX_NAME_BYTES, MAX_TASKS_PER_JOB};
use crate::model::{JobId, JobSpec, Resources};
use crate::protocol::{JOB_PREFIX, JobSubmission, MachineType};
use crate::settings::Deployment;
use indigopath_counted_resources::{Definitions, Demand};
use std::borrow::Cow;
use std::sync::Arc;

/// Problem reported while only a machine type list stored by an earlier leader is known.
pub const MACHINE_TYPES_UNCONFIRMED: &str = "the cloud has not told its machine types yet";

const NO_ZONE: &str = "no allowed zone does, or too few for tasks that have to be apart";

/// Maximum number of digits in a job id: numbers below 2^64 have at most 20.
const ID_DIGITS: usize = 20;

/// Parses a job id: the prefix and a decimal number.
pub fn parse_id(text: &str) -> Option<JobId> {
    let digits = text.strip_prefix(JOB_PREFIX)?;
    let valid = (1..=ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
    valid.then(|| JobId(Arc::from(text)))
}

/// The machine types that this node knows.
#[derive(Debug, Clone, Copy)]
pub struct KnownMachineTypes<'a> {
    pub list: &'a [MachineType],
    /// Whether the list was read from the cloud; otherwise an earlier leader stored it, and it may lack
    /// new types.
    pub confirmed: bool,
}

/// Why a submission is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Malformed.
    Invalid(String),
    /// Well-formed, but the job could never run.
    Impossible(Cow<'static, str>),
    /// This node lacks the information to decide; the user may retry.
    Undecided(&'static str),
}

/// Parses and validates a submission. A refusal includes the id if it could be read, because a request
/// with the id of an existing job is answered with that job's status whatever else the body says.
pub fn accept(
    body: &[u8],
    deployment: &Deployment,
    definitions: &Definitions,
    types: Option<KnownMachineTypes<'_>>,
    wall_ms: u64,
) -> Result<JobSpec, (Option<JobId>, Refusal)> {
    // Deserialization would also accept an array of the values in field order.
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
    check_submission(id.clone(), body, deployment, definitions, types, wall_ms)
        .map_err(|refusal| (Some(id), refusal))
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

/// Checks that a number is from 0 to `max`.
fn check_amount(field: &str, value: f64, max: f64) -> Result<f64, Refusal> {
    if value.is_finite() && (0.0..=max).contains(&value) {
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

/// Checks in the order in which problems are reported: fields first, then conditions that hold for any
/// machine types, then conditions that depend on the machine types.
fn check_submission(
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
        cpus: check_amount("Cpus", body.cpus, MAX_AMOUNT)?,
        gpus: check_amount("Gpus", body.gpus, MAX_AMOUNT)?,
        memory_gb: check_amount("MemGb", body.memory_gb, MAX_AMOUNT)?,
    };
    let image_gb = check_amount("PullGb", body.image_gb, MAX_AMOUNT)?;
    let estimate_s = check_amount("RuntimeS", body.estimate_s, MAX_DURATION_S)?;
    let checkpoint_s = check_amount("StashEveryS", body.checkpoint_s, MAX_DURATION_S)?;
    let save_s = check_amount("StashS", body.save_s, MAX_DURATION_S)?;
    let deadline_s = body
        .deadline_s
        .map(|value| check_amount("DueS", value, MAX_DURATION_S))
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

/// Number of tasks that have to run at the same time.
fn concurrent_tasks(spec: &JobSpec) -> u64 {
    spec.shape.concurrent_tasks(spec.tasks.into())
}

/// Whether tasks that run at the same time have to be in different zones. The tasks of an array may run
/// one after another.
fn needs_two_zones(spec: &JobSpec) -> bool {
    spec.spread && concurrent_tasks(spec) > 1
}

/// Rejects a job that can never run within its team's limit, the counted resources or its zone rules.
fn check_limits(spec: &JobSpec, deployment: &Deployment, definitions: &Definitions) -> Result<(), Refusal> {
    let Some(team) = deployment.teams.iter().find(|team| team.name == spec.team) else {
        return Err(impossible("unknown team"));
    };
    // The team's limit must allow one task of an array, or all tasks of another shape.
    let concurrent = concurrent_tasks(spec);
    if !team.allows(&spec.needs.scaled_by(concurrent as f64)) {
        return Err(impossible("over the team's limit"));
    }
    // Likewise for counted resources: a job whose concurrent tasks need more units than exist never
    // starts.
    spec.counts
        .check(definitions, concurrent)
        .map_err(|error| Refusal::Impossible(Cow::Owned(error.to_string())))?;
    if needs_two_zones(spec) && spec.one_zone {
        return Err(impossible("its tasks may neither share a zone nor be in several"));
    }
    Ok(())
}

fn has_enough_zones(zones: &[&String], spec: &JobSpec) -> bool {
    zones.len() > usize::from(needs_two_zones(spec))
}

/// Zones in which the job may run; too few are an error regardless of machine types.
fn allowed_zones<'a>(spec: &JobSpec, deployment: &'a Deployment) -> Result<Vec<&'a String>, Refusal> {
    let is_allowed = |zone: &&String| spec.zone.as_ref().is_none_or(|only| only == *zone);
    let zones: Vec<&String> = deployment.zones.iter().filter(is_allowed).collect();
    if !has_enough_zones(&zones, spec) {
        return Err(impossible(NO_ZONE));
    }
    Ok(zones)
}

/// Rejects a job that fits no machine type in these zones; undecided until the cloud itself has listed the
/// types.
fn check_machine_types(
    spec: &JobSpec,
    zones: Vec<&String>,
    types: KnownMachineTypes<'_>,
) -> Result<(), Refusal> {
    let is_offered = |zone: &&String| {
        let mut list = types.list.iter();
        // A type that the cloud does not offer in a zone is never rented there.
        list.any(|known| known.zones.contains(*zone) && spec.is_eligible(known, zone, false))
    };
    let zones: Vec<&String> = zones.into_iter().filter(is_offered).collect();
    if has_enough_zones(&zones, spec) {
        return Ok(());
    }
    Err(match (types.confirmed, zones.is_empty()) {
        (false, _) => Refusal::Undecided(MACHINE_TYPES_UNCONFIRMED),
        (true, true) => impossible("a task fits no allowed machine type"),
        (true, false) => impossible(NO_ZONE),
    })
}

/// Removes names of unknown types, which bounds the size of the stored record.
fn keep_known_types(spec: &mut JobSpec, types: &[MachineType]) {
    if let Some(allowed) = &mut spec.types {
        allowed.retain(|name| types.iter().any(|machine_type| machine_type.name == *name));
        allowed.sort();
        allowed.dedup();
    }
}

#[cfg(test)]
mod tests;
