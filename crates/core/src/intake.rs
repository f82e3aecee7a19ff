//! What a submission must satisfy. Kept apart from HTTP, so that other ways of
//! submitting can share it.

use crate::constants::{MAX_AMOUNT, MAX_DURATION_S, MAX_NAME, MAX_TASKS};
use crate::model::{JobId, JobSpec, Resources};
use crate::settings::Deployment;
use crate::wire::{JOB_PREFIX, JobBody, MachineType};
use indigopath_counts::{Definitions, Demand};
use std::borrow::Cow;
use std::sync::Arc;

/// Longest number in a job's id, in digits: any count below 2^64 has at most 20.
const ID_DIGITS: usize = 20;

/// A job's id is always the prefix and a number.
pub fn parse_id(text: &str) -> Option<JobId> {
    let digits = text.strip_prefix(JOB_PREFIX)?;
    let valid = (1..=ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
    valid.then(|| JobId(Arc::from(text)))
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
    types: Option<&[MachineType]>,
    wall_ms: u64,
) -> Result<JobSpec, (Option<JobId>, Refusal)> {
    let parsed: Result<JobBody, _> = serde_json::from_slice(body);
    let body = match parsed {
        Ok(parsed) => parsed,
        Err(error) => return Err((id_of(body), Refusal::Invalid(error.to_string()))),
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

fn check(
    id: JobId,
    body: JobBody,
    deployment: &Deployment,
    definitions: &Definitions,
    types: Option<&[MachineType]>,
    wall_ms: u64,
) -> Result<JobSpec, Refusal> {
    let amount = |name: &str, value: f64, most: f64| {
        if value.is_finite() && (0.0..=most).contains(&value) {
            Ok(value)
        } else {
            Err(Refusal::Invalid(format!("{name} is out of range")))
        }
    };
    let name = |field: &str, value: &str| {
        if value.is_empty() || value.len() > MAX_NAME {
            Err(Refusal::Invalid(format!("{field} is empty or too long")))
        } else {
            Ok(())
        }
    };
    name("Lane", &body.class)?;
    name("Crew", &body.team)?;
    name("Kit", &body.image)?;
    if !(1..=MAX_TASKS).contains(&body.tasks) {
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

    let Some(team) = deployment.teams.iter().find(|team| team.name == body.team) else {
        return Err(impossible("unknown team"));
    };
    // One task of an array must fit the team's limit; of the other shapes, all.
    let together = body.shape.at_once(body.tasks);
    if !team.allows(&needs.times(together as f64)) {
        return Err(impossible("over the team's limit"));
    }
    // The same holds for units of counts: what one task, or all of a gang or service,
    // can never have at once never starts.
    counts
        .check(definitions, together)
        .map_err(|error| Refusal::Impossible(Cow::Owned(error.to_string())))?;
    let Some(types) = types else {
        return Err(Refusal::Undecided("machine types are not known yet"));
    };
    let mut spec = JobSpec {
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
    };
    let fits = types.iter().any(|machine_type| {
        deployment
            .zones
            .iter()
            .any(|zone| spec.eligible(machine_type, zone, false))
    });
    if !fits {
        return Err(impossible("a task fits no allowed machine type"));
    }
    // Only names that exist are kept, which bounds the record.
    if let Some(allowed) = &mut spec.types {
        allowed.retain(|name| types.iter().any(|machine_type| machine_type.name == *name));
        allowed.sort();
        allowed.dedup();
    }
    Ok(spec)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::Settings;
    use proptest::prelude::*;

    fn deployment() -> Deployment {
        Settings::parse(include_str!("../tests/support/settings.json"))
            .unwrap()
            .deployment
    }

    fn types() -> Vec<MachineType> {
        let flavors: crate::wire::Flavors =
            serde_json::from_str(include_str!("../tests/support/flavors.json")).unwrap();
        flavors.types
    }

    fn body() -> serde_json::Value {
        serde_json::json!({
            "Id": "wk-000001", "Lane": "batch", "Crew": "red", "Shape": "sweep",
            "Urgency": "standard", "Picks": 4, "Cpus": 4.0, "Gpus": 1.0, "MemGb": 8.0,
            "Kit": "img-1", "PullGb": 2.0, "Rigs": null, "Yard": null, "OneZone": false,
            "Apart": false, "Loaners": true, "RuntimeS": 20.0, "StashEveryS": 0.0,
            "StashS": 0.0, "DueS": null
        })
    }

    fn definitions() -> Definitions {
        serde_json::from_value(serde_json::json!({ "seat": { "units": 4 } })).unwrap()
    }

    fn outcome(change: impl FnOnce(&mut serde_json::Value)) -> Result<JobSpec, Refusal> {
        let mut body = body();
        change(&mut body);
        accept(
            body.to_string().as_bytes(),
            &deployment(),
            &definitions(),
            Some(&types()),
            0,
        )
        .map_err(|(_, refusal)| refusal)
    }

    #[test]
    fn fields_are_checked_one_by_one() {
        assert!(outcome(|_| ()).is_ok());
        for (field, value) in [
            ("Picks", serde_json::json!(0)),
            ("Picks", serde_json::json!(100_001)),
            ("Picks", serde_json::json!(1.5)),
            ("Cpus", serde_json::json!(-1.0)),
            ("Cpus", serde_json::json!("4")),
            ("MemGb", serde_json::json!(1e300)),
            ("RuntimeS", serde_json::Value::Null),
            ("Shape", serde_json::json!("ring")),
            ("Urgency", serde_json::json!("now")),
            ("Id", serde_json::json!("wk-")),
            ("Id", serde_json::json!("wk-../leader")),
            ("Kit", serde_json::json!("")),
            ("OneZone", serde_json::json!(1)),
            ("Rigs", serde_json::json!("small")),
            ("Counts", serde_json::json!("seat")),
            ("Counts", serde_json::json!({ "seat": 0 })),
            ("Counts", serde_json::json!({ "seat": -1 })),
            ("Counts", serde_json::json!({ "seat": 1.5 })),
            ("Counts", serde_json::json!({ "a seat": 1 })),
        ] {
            let result = outcome(|body| body[field] = value.clone());
            assert!(
                matches!(result, Err(Refusal::Invalid(_))),
                "{field} = {value}: {result:?}"
            );
        }
    }

    #[test]
    fn impossible_jobs_are_told_apart_from_malformed_ones() {
        for (field, value) in [
            ("Crew", serde_json::json!("nobody")),
            ("Gpus", serde_json::json!(9.0)),
            ("Cpus", serde_json::json!(5000.0)),
            ("Rigs", serde_json::json!([])),
            ("Yard", serde_json::json!("elsewhere")),
        ] {
            let result = outcome(|body| body[field] = value.clone());
            assert!(
                matches!(result, Err(Refusal::Impossible(_))),
                "{field} = {value}: {result:?}"
            );
        }
        // An array may be larger than its team's limit, a gang may not.
        assert!(outcome(|body| body["Picks"] = 100.into()).is_ok());
        let gang = outcome(|body| {
            body["Picks"] = 100.into();
            body["Shape"] = "gang".into();
        });
        assert_eq!(gang, Err(impossible("over the team's limit")));
    }

    #[test]
    fn what_can_never_have_its_units_is_refused_with_the_reason() {
        let asks = |shape: &str, tasks: u32, name: &str, units: u32| {
            outcome(|body| {
                body["Shape"] = shape.into();
                body["Picks"] = tasks.into();
                body["Counts"] = serde_json::json!({ name: units });
            })
        };
        assert_eq!(asks("sweep", 9, "seat", 4).unwrap().counts.units("seat"), 4);
        assert!(asks("gang", 2, "seat", 2).is_ok());
        for (refused, reason) in [
            (
                asks("sweep", 1, "seat", 5),
                "needs 5 of count \"seat\" at once, of which there are 4",
            ),
            (asks("gang", 3, "seat", 2), "needs 6 of count"),
            (asks("daemon", 3, "seat", 2), "needs 6 of count"),
            (asks("sweep", 1, "chair", 1), "there is no count \"chair\""),
        ] {
            match refused {
                Err(Refusal::Impossible(text)) => assert!(text.contains(reason), "{text}"),
                other => panic!("{other:?}"),
            }
        }
    }

    #[test]
    fn without_machine_types_nothing_is_decided() {
        let result = accept(
            body().to_string().as_bytes(),
            &deployment(),
            &definitions(),
            None,
            0,
        );
        assert!(matches!(result, Err((Some(_), Refusal::Undecided(_)))));
    }

    proptest! {
        #[test]
        fn no_body_panics(body in proptest::collection::vec(any::<u8>(), 0..200)) {
            let _ = accept(&body, &deployment(), &definitions(), Some(&types()), 0);
        }
    }
}
