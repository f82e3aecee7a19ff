//! What is judged of the answer to each submission, in every scenario: nothing is accepted that lacks
//! a field or can never run, and nothing else is refused. By the protocol's words alone, never by the
//! core's own check. Odd requests beside the scenario's own are drawn here, too.

use crate::scenario::{body, number};
use crate::simulation::{NODES, Simulation, UserKind};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::OnceLock;

/// Interval of odd requests, in ms.
const ODD_MS: u64 = 200;
/// Numbers of odd requests' ids, beyond those of any scenario.
const ODD_IDS: u64 = 700_000_000;
/// Most tasks of a job.
const MOST_TASKS: u64 = 100_000;

/// What a submission deserves.
#[derive(Debug, PartialEq)]
pub(crate) enum Due {
    Accepted,
    /// It asks for counts, or for an id of submit files, which are not in the protocol.
    Unjudged,
    /// The field that is wrong, if there are fields.
    Malformed(String),
    Never(&'static str),
}

/// Submissions so far.
#[derive(Debug, Default)]
pub(crate) struct Intake {
    /// Ids that came with a body that deserves to be accepted: no other is known.
    sound: BTreeSet<String>,
    /// Answers by status.
    pub(crate) told: BTreeMap<u16, u32>,
    odd_until: u64,
    odd: u64,
}

/// The settings as the scenario's controllers have them.
fn deployment() -> &'static Value {
    static SETTINGS: OnceLock<Value> = OnceLock::new();
    let text = include_str!("../../controller/tests/support/settings.json");
    &SETTINGS.get_or_init(|| serde_json::from_str(text).unwrap())["deployment"]
}

/// Whether a field has no value that the protocol allows it.
fn is_wrong(field: &str, value: &Value) -> bool {
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
            .is_some_and(|tasks| (1..=MOST_TASKS).contains(&tasks)),
        "OneZone" | "Apart" | "Loaners" => value.is_boolean(),
        "Rigs" => value.is_null() || value.as_array().is_some_and(strings),
        "Yard" => value.is_null() || value.is_string(),
        "DueS" => value.is_null() || amount(),
        _ => amount(),
    };
    !right
}

/// Every field of a submission.
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
    pub(crate) fn due(&self, body: &[u8]) -> Due {
        let Ok(Value::Object(fields)) = serde_json::from_slice(body) else {
            return Due::Malformed(String::new());
        };
        // What may be null may be missing.
        let job = |field: &str| fields.get(field).unwrap_or(&Value::Null);
        if let Some(field) = FIELDS.iter().find(|field| is_wrong(field, job(field))) {
            return Due::Malformed((*field).to_owned());
        }
        let amounts = |from: &Value, names: [&str; 2]| names.map(|name| from[name].as_f64().unwrap_or(0.0));
        let Value::Array(teams) = &deployment()["teams"] else {
            return Due::Unjudged;
        };
        let Some(team) = teams.iter().find(|team| team["name"] == *job("Crew")) else {
            return Due::Never("unknown team");
        };
        let array = job("Shape") == "sweep";
        let at_once = if array {
            1
        } else {
            job("Picks").as_u64().unwrap_or(1)
        };
        let most = amounts(team, ["cpus_max", "gpus_max"]);
        let most = [most[0], self.gpus_max.unwrap_or(most[1])];
        let needs = ["Cpus", "Gpus"].map(|field| job(field).as_f64().unwrap_or(0.0));
        let over = |(need, most): (&f64, &f64)| *most > 0.0 && need * at_once as f64 > most + 1e-6;
        if needs.iter().zip(&most).any(over) {
            return Due::Never("over its team's limit");
        }
        let zones = deployment()["zones"].as_array().into_iter().flatten();
        let does = |zone: &&Value| {
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
        // All at once, and half of them elsewhere.
        let apart = job("Apart") == true && at_once > 1;
        match zones.filter(does).count() {
            0 => Due::Never("no machine fits"),
            _ if apart && job("OneZone") == true => Due::Never("apart in one zone"),
            1 if apart => Due::Never("apart, and one zone"),
            _ if !job("Counts").is_null() || self.operator.condor.is_some() => Due::Unjudged,
            _ => Due::Accepted,
        }
    }

    /// A submission is under way to a node.
    pub(crate) fn note_submission(&mut self, body: &[u8]) {
        if matches!(self.due(body), Due::Accepted | Due::Unjudged) {
            let body: Value = serde_json::from_slice(body).unwrap_or_default();
            self.intake.sound.extend(body["Id"].as_str().map(str::to_owned));
        }
    }

    /// A user was answered, perhaps to a submission.
    pub(crate) fn judge_submission(&mut self, job: &str, kind: &UserKind, status: u16, answer: &[u8]) {
        let asked = match kind {
            UserKind::Submit => self.jobs[job].body.to_string().into_bytes(),
            UserKind::Probe {
                method: "POST",
                path,
                body,
                ..
            } if path == "/v1/jobs" => body.clone(),
            _ => return,
        };
        *self.intake.told.entry(status).or_default() += 1;
        let due = self.due(&asked);
        let answer: Value = serde_json::from_slice(answer).unwrap_or_default();
        let id = answer["Id"].as_str().unwrap_or_default();
        let of_file = self.jobs.get(id).is_some_and(|facts| facts.cluster.is_some());
        let rule = match (status, &due) {
            (201, Due::Malformed(_) | Due::Never(_)) => "accepted_wrongly",
            (200, _) if !self.intake.sound.contains(id) && !of_file => "accepted_wrongly",
            (400, Due::Accepted | Due::Never(_)) => "refused_wrongly",
            (422, Due::Accepted | Due::Malformed(_)) => "refused_wrongly",
            // Whoever reads it must learn which field it is.
            (400, Due::Malformed(field)) if !answer.to_string().contains(field) => "unclear",
            _ => return,
        };
        let asked = String::from_utf8_lossy(&asked).into_owned();
        self.violation(rule, format!("{status} {answer}, {due:?}: {asked:.400}"));
    }

    /// `offer ID STATUS …` as a submission at all nodes, `without=FIELD` or `with=FIELD:JSON`: that
    /// must be its answer, once it can be decided.
    pub(crate) fn offer(&mut self, plain: &[&str], keyed: &BTreeMap<&str, &str>) -> Result<(), String> {
        let [_, id, status] = plain else {
            return Err("an offer has an id and a status".to_owned());
        };
        let (mut body, _) = body(id, keyed)?;
        if let (Some(field), Some(fields)) = (keyed.get("without"), body.as_object_mut()) {
            fields.remove(*field).ok_or("no such field")?;
        }
        if let Some((field, value)) = keyed.get("with").and_then(|with| with.split_once(':')) {
            body[field] = serde_json::from_str(value).map_err(|error| error.to_string())?;
        }
        for node in 0..NODES {
            self.request(node, "/v1/jobs", body.to_string(), number(status)? as u16);
        }
        Ok(())
    }

    fn request(&mut self, node: usize, path: &str, body: String, status: u16) {
        let (path, body) = (path.to_owned(), body.into_bytes());
        let kind = UserKind::Probe {
            method: "POST",
            path,
            body,
            status,
        };
        self.user_asks(node, "", kind);
    }

    pub(crate) fn begin_odd(&mut self, for_ms: u64) {
        self.intake.odd_until = self.now + for_ms;
    }

    fn pick<T: Clone>(&mut self, from: &[T]) -> Option<T> {
        let at = (self.draw() * from.len() as f64) as usize;
        from.get(at).cloned()
    }

    /// Users repeat submissions of unfinished jobs, also with a field gone, cancel jobs that are
    /// done, and send jobs that can never run or whose fields are gone, null or nonsense.
    pub(crate) fn step_odd(&mut self) {
        if self.now >= self.intake.odd_until || !self.now.is_multiple_of(ODD_MS) {
            return;
        }
        let node = (self.draw() * NODES as f64) as usize;
        let kind = (self.draw() * 6.0) as u32;
        let is = |told: &Option<String>, done: bool| match told.as_deref() {
            Some("done") => done,
            Some("pending" | "running") => !done,
            _ => false,
        };
        let own = |facts: &&crate::simulation::ObservedJob| {
            facts.cluster.is_none() && is(&facts.reported_status, kind == 1)
        };
        let known: Vec<Value> = self
            .jobs
            .values()
            .filter(own)
            .map(|facts| facts.body.clone())
            .collect();
        let known = self.pick(&known);
        self.intake.odd += 1;
        let id = format!("wk-{}", ODD_IDS + self.intake.odd);
        let Ok((mut fresh, _)) = body(&id, &BTreeMap::new()) else {
            return;
        };
        let field = self.pick(&FIELDS).unwrap_or("Id");
        let required = is_wrong(field, &Value::Null);
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
                let odd = [json!({}), json!([7]), json!(-1), json!(-0.5), json!("")];
                let odd = [&odd[..], &[Value::Null][..usize::from(required)]].concat();
                fresh[field] = self.pick(&odd).unwrap_or_default();
                let status = if is_wrong(field, &fresh[field]) { 400 } else { 422 };
                ("/v1/jobs".to_owned(), fresh, status)
            }
            (5, _) => {
                let never = [
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
                let never = self.pick(&never).unwrap_or_default();
                for (field, value) in never.as_object().into_iter().flatten() {
                    fresh[field] = value.clone();
                }
                ("/v1/jobs".to_owned(), fresh, 422)
            }
            _ => return,
        };
        self.request(node, &path, body.to_string(), status);
    }
}
