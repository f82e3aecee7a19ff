//! What users and operators may hold the teams' books to, apart from any controller.

use crate::state::StateService;
use indigopath_accounting::{HEAD_KEY, JobAccounting, Position, Rebuild};
use indigopath_controller::job_api::authorization;
use indigopath_controller::protocol::{Change, Transaction};
use indigopath_controller::storage::records::{EndedJobRecord, Record};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Bytes of a value, as the scenarios' settings allow it.
const VALUE_BYTES: usize = 14_745;

#[derive(Debug, Default)]
pub(crate) struct AccountingCheck {
    /// Whose each job is, by the record with which it was accepted.
    owners: BTreeMap<String, String>,
    /// Somebody outside changed the books: they are held against the records at the end only.
    pub(crate) spoilt: bool,
    /// Words of a transaction, how many such are left, and whether the last is carried out before
    /// its sender ends.
    pub(crate) end_at: Option<(&'static str, u32, bool)>,
}

impl AccountingCheck {
    /// Whether the sender of this call ends with it, and if so whether it is carried out.
    pub(crate) fn ends_at(&mut self, path: &str, body: &[u8]) -> Option<bool> {
        let (words, left, carried_out) = self.end_at.as_mut()?;
        if path != "/multi" || !String::from_utf8_lossy(body).contains(*words) {
            return None;
        }
        if *left > 0 {
            *left -= 1;
            return None;
        }
        let carried_out = *carried_out;
        self.end_at = None;
        Some(carried_out)
    }

    /// Learns whose jobs are from a transaction that was carried out: for ever. A submit file's
    /// job that names no team gets one later.
    pub(crate) fn learn(&mut self, body: &[u8]) -> Result<(), String> {
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return Ok(());
        };
        for change in transaction.changes {
            let Change::Put { key, value, .. } = change else {
                continue;
            };
            let (Some(job), Some(team)) = (key.strip_prefix("j/wk-"), value["team"].as_str()) else {
                continue;
            };
            let before = self.owners.entry(format!("wk-{job}")).or_default();
            if before.is_empty() {
                *before = team.to_owned();
            } else if !before.eq_ignore_ascii_case(team) {
                return Err(format!("wk-{job} was {before}'s, is {team}'s"));
            }
        }
        Ok(())
    }

    /// Ended jobs in each team's book by its records, and the ends that are in none.
    pub(crate) fn totals(&self, state: &StateService) -> Result<(BTreeMap<String, u64>, u64), String> {
        let books = read(state)?;
        let totals = books
            .totals()
            .map(|(team, tally)| (team.name().to_owned(), tally.done + tally.cancelled));
        Ok((totals.collect(), books.unowned()))
    }

    /// The books say what the records of ended jobs say, as far as they go: each end once, in
    /// the book of the team that the job was accepted for.
    pub(crate) fn check(&self, state: &StateService) -> Result<(), String> {
        let mut ended = Vec::new();
        for (key, value, version) in state.records("e/") {
            let job = key.trim_start_matches("e/");
            if state.value(&format!("j/{job}")).is_some() {
                return Err(format!("{job} is live and over"));
            }
            let Ok(record) = EndedJobRecord::from_value(value) else {
                return Err(format!("{key} cannot be read"));
            };
            let position = Position {
                revision: version,
                job: Arc::from(job),
            };
            let entry = record.entry().cloned();
            if let (Some(entry), Some(owner)) = (&entry, self.owners.get(job))
                && !entry.team().name().eq_ignore_ascii_case(owner)
            {
                return Err(format!("{job} is {owner}'s, and in {}'s book", entry.team()));
            }
            if entry.is_none() && self.owners.contains_key(job) {
                return Err(format!("{job} is in no book"));
            }
            ended.push((position, entry));
        }
        // A later build's books are nobody's to judge here.
        if state.value(HEAD_KEY).is_some_and(|head| head["v"] != 1) {
            return Ok(());
        }
        let mut books = read(state)?;
        let mut rebuild = Rebuild::new(u64::MAX);
        for (position, entry) in ended {
            if position <= *books.last_position() {
                rebuild.add_scanned(position, entry);
            }
        }
        match books.repair(rebuild).first() {
            None => Ok(()),
            Some(difference) => Err(format!("{difference:?}")),
        }
    }

    /// A submission of an id that is another team's is told the state, and nothing of its tasks.
    pub(crate) fn keeps(&self, asked: &[u8], body: &[u8]) -> Result<(), String> {
        let asked: Value = serde_json::from_slice(asked).unwrap_or_default();
        let answer: Value = serde_json::from_slice(body).unwrap_or_default();
        let owner = asked["Id"].as_str().and_then(|job| self.owners.get(job));
        let others = owner.is_some_and(|owner| asked["Crew"].as_str() != Some(owner));
        if others && (answer.get("done").is_some() || answer.get("running").is_some()) {
            return Err(format!("{} was told {answer}", asked["Crew"]));
        }
        Ok(())
    }

    /// An answer to whoever states a team names no job of another.
    pub(crate) fn hides(&self, path: &str, body: &[u8]) -> Result<(), String> {
        let Some(team) = path
            .split_once('?')
            .and_then(|(_, query)| authorization::team_in_query(query))
        else {
            return Ok(());
        };
        let text = String::from_utf8_lossy(body);
        let told = self.owners.iter().find(|(job, owner)| {
            !owner.is_empty() && !owner.eq_ignore_ascii_case(&team) && text.contains(&format!("\"{job}\""))
        });
        match told {
            None => Ok(()),
            Some((job, owner)) => Err(format!("{path} names {job}, which is {owner}'s")),
        }
    }
}

/// The books as their records say.
fn read(state: &StateService) -> Result<JobAccounting, String> {
    let mut books = JobAccounting::new(VALUE_BYTES);
    for (key, value, _) in state.records("b/") {
        books
            .load_record(key, value)
            .map_err(|problem| format!("{key}: {problem}"))?;
    }
    Ok(books)
}

/// By the protocol, a plain answer about a job names that job and says nothing of team or content.
pub(crate) fn plain(job: &str, body: &[u8]) -> Result<(), String> {
    let Ok(Value::Object(answer)) = serde_json::from_slice::<Value>(body) else {
        return Ok(());
    };
    let known = ["Id", "Status", "done", "running", "error"];
    if let Some((field, _)) = answer.iter().find(|(field, _)| !known.contains(&field.as_str())) {
        return Err(format!("{job} was told {field}"));
    }
    match answer.get("Id").and_then(Value::as_str) {
        Some(id) if id != job => Err(format!("{job} was told of {id}")),
        _ => Ok(()),
    }
}

#[cfg(test)]
mod tests;
