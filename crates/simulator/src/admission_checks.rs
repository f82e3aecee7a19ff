//! Checks the response to each submission in every scenario: nothing is accepted that lacks a field
//! or can never run, and nothing else is rejected. The check follows the protocol alone and does not
//! use the controller's own validation. This module also generates unusual requests beside the
//! scenario's own.

use crate::scenario::{body, number};
use crate::simulation::{NODES, Simulation, UserRequest};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::OnceLock;

/// Interval of unusual requests, in ms.
const UNUSUAL_REQUEST_INTERVAL_MS: u64 = 200;
/// First id number of unusual requests, above those of any scenario.
const FIRST_UNUSUAL_ID: u64 = 700_000_000;
/// Largest number of tasks of a job.
const MAX_TASKS: u64 = 100_000;

/// The response that a submission should get.
#[derive(Debug, PartialEq)]
pub(crate) enum ExpectedOutcome {
    Accepted,
    /// Not checked: it asks for counted resources, or for an id of submit files, which the protocol
    /// does not describe.
    Unjudged,
    /// The invalid field; empty if the body is no object.
    Malformed(String),
    Never(&'static str),
}

/// Submissions so far.
#[derive(Debug, Default)]
pub(crate) struct AdmissionChecks {
    /// Ids that were submitted with an acceptable body: no other id can be known.
    acceptable_ids: BTreeSet<String>,
    /// Number of responses by status.
    pub(crate) responses_by_status: BTreeMap<u16, u32>,
    unusual_requests_until: u64,
    unusual_requests: u64,
}

/// The deployment settings of the scenario's controllers.
fn deployment() -> &'static Value {
    static SETTINGS: OnceLock<Value> = OnceLock::new();
    let text = include_str!("../../controller/tests/support/settings.json");
    &SETTINGS.get_or_init(|| serde_json::from_str(text).unwrap())["deployment"]
}

/// Whether the protocol does not allow this value for the field.
fn is_invalid(field: &str, value: &Value) -> bool {
    let one_of = |words: &[&str]| value.as_str().is_some_and(|word| words.contains(&word));
    let amount = || value.as_f64().is_some_and(|amount| amount >= 0.0);
    let strings = |list: &Vec<Value>| list.iter().all(Value::is_string);
    let right = match field {
        "Id" => value.as_str().is_some_and(|id| {
            let digits = id.strip_prefix("wk-").unwrap_or_default();
            !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit())
        }),
        "Lane" | "Crew" | "Kit" => value.as_str().is_some_and(|name| !name.is_empty()),
        "Shape" => one_of(&["sweep", "gang", "daemon"]),
        "Urgency" => one_of(&["critical", "urgent", "standard", "low"]),
        "Picks" => value
            .as_u64()
            .is_some_and(|tasks| (1..=MAX_TASKS).contains(&tasks)),
        "OneZone" | "Apart" | "Loaners" => value.is_boolean(),
        "Rigs" => value.is_null() || value.as_array().is_some_and(strings),
        "Yard" => value.is_null() || value.is_string(),
        "DueS" => value.is_null() || amount(),
        _ => amount(),
    };
    !right
}

/// All fields of a submission.
const FIELDS: [&str; 20] = [
    "Id",
    "Lane",
    "Crew",
    "Shape",
    "Urgency",
    "Picks",
    "Cpus",
    "Gpus",
    "MemGb",
    "Kit",
    "PullGb",
    "Rigs",
    "Yard",
    "OneZone",
    "Apart",
    "Loaners",
    "RuntimeS",
    "StashEveryS",
    "StashS",
    "DueS",
];

impl Simulation {
    pub(crate) fn expected_outcome(&self, body: &[u8]) -> ExpectedOutcome {
        let Ok(Value::Object(fields)) = serde_json::from_slice(body) else {
            return ExpectedOutcome::Malformed(String::new());
        };
        // A field that may be null may also be missing.
        let job = |field: &str| fields.get(field).unwrap_or(&Value::Null);
        if let Some(field) = FIELDS.iter().find(|field| is_invalid(field, job(field))) {
            return ExpectedOutcome::Malformed((*field).to_owned());
        }
        let amounts = |from: &Value, names: [&str; 2]| names.map(|name| from[name].as_f64().unwrap_or(0.0));
        let Value::Array(teams) = &deployment()["teams"] else {
            return ExpectedOutcome::Unjudged;
        };
        let Some(team) = teams.iter().find(|team| team["name"] == *job("Crew")) else {
            return ExpectedOutcome::Never("unknown team");
        };
        let array = job("Shape") == "sweep";
        let concurrent_tasks = if array {
            1
        } else {
            job("Picks").as_u64().unwrap_or(1)
        };
        let limits = amounts(team, ["cpus_max", "gpus_max"]);
        let limits = [limits[0], self.gpus_max.unwrap_or(limits[1])];
        let needs = ["Cpus", "Gpus"].map(|field| job(field).as_f64().unwrap_or(0.0));
        let exceeds =
            |(need, limits): (&f64, &f64)| *limits > 0.0 && need * concurrent_tasks as f64 > limits + 1e-6;
        if needs.iter().zip(&limits).any(exceeds) {
            return ExpectedOutcome::Never("over its team's limit");
        }
        let zones = deployment()["zones"].as_array().into_iter().flatten();
        let allows = |zone: &&Value| {
            let mut types = self.cloud.types.iter();
            (job("Yard").is_null() || job("Yard") == *zone)
                && types.any(|known| {
                    let allowed = job("Rigs").as_array();
                    let sold = known.zones.iter().any(|sold| *zone == sold.as_str());
                    sold && allowed.is_none_or(|allowed| allowed.contains(&json!(known.name)))
                        && needs[0] <= known.cpus
                        && needs[1] <= known.gpus
                        && job("MemGb").as_f64() <= Some(known.memory_gb)
                })
        };
        // Tasks that must run at the same time with half of them in another zone.
        let apart = job("Apart") == true && concurrent_tasks > 1;
        match zones.filter(allows).count() {
            0 => ExpectedOutcome::Never("no machine fits"),
            _ if apart && job("OneZone") == true => ExpectedOutcome::Never("apart in one zone"),
            1 if apart => ExpectedOutcome::Never("apart, and one zone"),
            _ if !job("Counts").is_null() || self.operator.condor.is_some() => ExpectedOutcome::Unjudged,
            _ => ExpectedOutcome::Accepted,
        }
    }

    /// Records that a submission is on its way to a node.
    pub(crate) fn record_submission(&mut self, body: &[u8]) {
        if matches!(
            self.expected_outcome(body),
            ExpectedOutcome::Accepted | ExpectedOutcome::Unjudged
        ) {
            let body: Value = serde_json::from_slice(body).unwrap_or_default();
            self.admission_checks
                .acceptable_ids
                .extend(body["Id"].as_str().map(str::to_owned));
        }
    }

    /// Checks a response to a user if it answers a submission.
    pub(crate) fn check_submission_response(
        &mut self,
        job: &str,
        kind: &UserRequest,
        status: u16,
        answer: &[u8],
    ) {
        let submitted = match kind {
            UserRequest::Submit => self.jobs[job].body.to_string().into_bytes(),
            UserRequest::Probe {
                method: "POST",
                path,
                body,
                ..
            } if path == "/v1/jobs" => body.clone(),
            _ => return,
        };
        *self
            .admission_checks
            .responses_by_status
            .entry(status)
            .or_default() += 1;
        let expected = self.expected_outcome(&submitted);
        let answer: Value = serde_json::from_slice(answer).unwrap_or_default();
        let id = answer["Id"].as_str().unwrap_or_default();
        let of_file = self
            .jobs
            .get(id)
            .is_some_and(|observed| observed.cluster.is_some());
        let rule = match (status, &expected) {
            (201, ExpectedOutcome::Malformed(_) | ExpectedOutcome::Never(_)) => "accepted_wrongly",
            (200, _) if !self.admission_checks.acceptable_ids.contains(id) && !of_file => "accepted_wrongly",
            (400, ExpectedOutcome::Accepted | ExpectedOutcome::Never(_)) => "refused_wrongly",
            (422, ExpectedOutcome::Accepted | ExpectedOutcome::Malformed(_)) => "refused_wrongly",
            // The response must name the invalid field.
            (400, ExpectedOutcome::Malformed(field)) if !answer.to_string().contains(field) => "unclear",
            _ => return,
        };
        let submitted = String::from_utf8_lossy(&submitted).into_owned();
        self.violation(rule, format!("{status} {answer}, {expected:?}: {submitted:.400}"));
    }

    /// Carries out `offer ID STATUS …` with `without=FIELD` or `with=FIELD:JSON`: submits the job at
    /// all nodes, which must answer with this status once they can decide.
    pub(crate) fn submit_expecting_status(
        &mut self,
        plain: &[&str],
        keyed: &BTreeMap<&str, &str>,
    ) -> Result<(), String> {
        let [_, id, status] = plain else {
            return Err("`offer` needs an id and a status".to_owned());
        };
        let (mut body, _) = body(id, keyed)?;
        if let (Some(field), Some(fields)) = (keyed.get("without"), body.as_object_mut()) {
            fields.remove(*field).ok_or("no such field")?;
        }
        if let Some((field, value)) = keyed.get("with").and_then(|with| with.split_once(':')) {
            body[field] = serde_json::from_str(value).map_err(|error| error.to_string())?;
        }
        for node in 0..NODES {
            self.send_post(node, "/v1/jobs", body.to_string(), number(status)? as u16);
        }
        Ok(())
    }

    fn send_post(&mut self, node: usize, path: &str, body: String, status: u16) {
        let (path, body) = (path.to_owned(), body.into_bytes());
        let kind = UserRequest::Probe {
            method: "POST",
            path,
            body,
            status,
        };
        self.send_user_request(node, "", kind);
    }

    pub(crate) fn begin_unusual_requests(&mut self, for_ms: u64) {
        self.admission_checks.unusual_requests_until = self.now + for_ms;
    }

    fn draw_from<T: Clone>(&mut self, from: &[T]) -> Option<T> {
        let at = (self.draw() * from.len() as f64) as usize;
        from.get(at).cloned()
    }

    /// Sends unusual requests: users repeat submissions of unfinished jobs, also with a field
    /// missing, cancel jobs that are done, and submit jobs that can never run or whose fields are
    /// missing, null or of a wrong type.
    pub(crate) fn step_unusual_requests(&mut self) {
        if self.now >= self.admission_checks.unusual_requests_until
            || !self.now.is_multiple_of(UNUSUAL_REQUEST_INTERVAL_MS)
        {
            return;
        }
        let node = (self.draw() * NODES as f64) as usize;
        let kind = (self.draw() * 6.0) as u32;
        let has_status = |status_text: &Option<String>, done: bool| match status_text.as_deref() {
            Some("done") => done,
            Some("pending" | "running") => !done,
            _ => false,
        };
        let matches_kind = |observed: &&crate::simulation::ObservedJob| {
            observed.cluster.is_none() && has_status(&observed.reported_status, kind == 1)
        };
        let known: Vec<Value> = self
            .jobs
            .values()
            .filter(matches_kind)
            .map(|observed| observed.body.clone())
            .collect();
        let known = self.draw_from(&known);
        self.admission_checks.unusual_requests += 1;
        let id = format!("wk-{}", FIRST_UNUSUAL_ID + self.admission_checks.unusual_requests);
        let Ok((mut fresh, _)) = body(&id, &BTreeMap::new()) else {
            return;
        };
        let field = self.draw_from(&FIELDS).unwrap_or("Id");
        let required = is_invalid(field, &Value::Null);
        let (path, body, status) = match (kind, known) {
            (0, Some(body)) => ("/v1/jobs".to_owned(), body, 200),
            (1, Some(body)) => {
                let id = body["Id"].as_str().unwrap_or_default();
                (format!("/v1/jobs/{id}/withdraw"), Value::Null, 200)
            }
            (2, Some(mut body)) if field != "Id" => {
                body.as_object_mut().and_then(|fields| fields.remove(field));
                ("/v1/jobs".to_owned(), body, 200)
            }
            (3, _) if required => {
                fresh.as_object_mut().and_then(|fields| fields.remove(field));
                ("/v1/jobs".to_owned(), fresh, 400)
            }
            (4, _) => {
                let invalid_values = [json!({}), json!([7]), json!(-1), json!(-0.5), json!("")];
                let invalid_values = [&invalid_values[..], &[Value::Null][..usize::from(required)]].concat();
                fresh[field] = self.draw_from(&invalid_values).unwrap_or_default();
                let status = if is_invalid(field, &fresh[field]) {
                    400
                } else {
                    422
                };
                ("/v1/jobs".to_owned(), fresh, status)
            }
            (5, _) => {
                let impossible = [
                    json!({"Crew": "nobody"}),
                    json!({"Gpus": 64.0}),
                    json!({"MemGb": 1e6}),
                    json!({"Rigs": []}),
                    json!({"Rigs": ["none"]}),
                    json!({"Yard": "nowhere"}),
                    json!({"Shape": "gang", "Picks": 1000}),
                    json!({"Shape": "daemon", "Picks": 2, "Apart": true, "OneZone": true}),
                    json!({"Shape": "gang", "Picks": 3, "Apart": true, "Yard": "west"}),
                ];
                let impossible = self.draw_from(&impossible).unwrap_or_default();
                for (field, value) in impossible.as_object().into_iter().flatten() {
                    fresh[field] = value.clone();
                }
                ("/v1/jobs".to_owned(), fresh, 422)
            }
            _ => return,
        };
        self.send_post(node, &path, body.to_string(), status);
    }
}
