//! Checks of the teams' accounting, independent of any controller.

use crate::state::StateService;
use indigopath_accounting::{HEAD_KEY, JobAccounting, Position, Rebuild};
use indigopath_controller::job_api::authorization;
use indigopath_controller::protocol::{Change, Transaction};
use indigopath_controller::storage::records::{EndedJobRecord, Record};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Largest value that the scenarios' settings allow, in bytes.
const VALUE_BYTES: usize = 14_745;

/// The owners of jobs, and a crash that is due at a write.
#[derive(Debug, Default)]
pub(crate) struct AccountingCheck {
    /// The team of each job, from the record with which it was accepted.
    owners: BTreeMap<String, String>,
    /// The accounting was modified from outside: it is compared with the records only at the end.
    pub(crate) modified_externally: bool,
    /// Text in the body of a transaction, how many such transactions are left before the crash, and
    /// whether the last one is executed before its sender crashes.
    pub(crate) crash_at_write: Option<(&'static str, u32, bool)>,
}

impl AccountingCheck {
    /// Whether the sender of this call crashes with it, and if so whether the call is executed.
    pub(crate) fn crash_for_write(&mut self, path: &str, body: &[u8]) -> Option<bool> {
        let (words, left, carried_out) = self.crash_at_write.as_mut()?;
        if path != "/multi" || !String::from_utf8_lossy(body).contains(*words) {
            return None;
        }
        if *left > 0 {
            *left -= 1;
            return None;
        }
        let carried_out = *carried_out;
        self.crash_at_write = None;
        Some(carried_out)
    }

    /// Records the owners of jobs from a transaction that was executed; an owner never changes. A
    /// submit file's job that names no team gets one later.
    pub(crate) fn record_owners(&mut self, body: &[u8]) -> Result<(), String> {
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

    /// Ended jobs in each team's accounting according to its records, and the ended jobs that no
    /// team's accounting contains.
    pub(crate) fn totals(&self, state: &StateService) -> Result<(BTreeMap<String, u64>, u64), String> {
        let accounting = read_accounting(state)?;
        let totals = accounting
            .totals()
            .map(|(team, tally)| (team.name().to_owned(), tally.done + tally.cancelled));
        Ok((totals.collect(), accounting.unowned()))
    }

    /// Checks that the accounting agrees with the records of ended jobs up to its position: each end
    /// is counted once, for the team that the job was accepted for.
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
        // Accounting of a later format version is not checked.
        if state.value(HEAD_KEY).is_some_and(|head| head["v"] != 1) {
            return Ok(());
        }
        let mut accounting = read_accounting(state)?;
        let mut rebuild = Rebuild::new(u64::MAX);
        for (position, entry) in ended {
            if position <= *accounting.last_position() {
                rebuild.add_scanned(position, entry);
            }
        }
        match accounting.repair(rebuild).first() {
            None => Ok(()),
            Some(difference) => Err(format!("{difference:?}")),
        }
    }

    /// Checks that the response to a submission with another team's id contains the state alone and
    /// nothing about its tasks.
    pub(crate) fn check_foreign_submission(&self, asked: &[u8], body: &[u8]) -> Result<(), String> {
        let asked: Value = serde_json::from_slice(asked).unwrap_or_default();
        let answer: Value = serde_json::from_slice(body).unwrap_or_default();
        let owner = asked["Id"].as_str().and_then(|job| self.owners.get(job));
        let others = owner.is_some_and(|owner| asked["Crew"].as_str() != Some(owner));
        if others && (answer.get("done").is_some() || answer.get("running").is_some()) {
            return Err(format!("{} was told {answer}", asked["Crew"]));
        }
        Ok(())
    }

    /// Checks that a response to a request for one team names no job of another team.
    pub(crate) fn check_team_isolation(&self, path: &str, body: &[u8]) -> Result<(), String> {
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

/// Reads the accounting from its records.
fn read_accounting(state: &StateService) -> Result<JobAccounting, String> {
    let mut accounting = JobAccounting::new(VALUE_BYTES);
    for (key, value, _) in state.records("b/") {
        accounting
            .load_record(key, value)
            .map_err(|problem| format!("{key}: {problem}"))?;
    }
    Ok(accounting)
}

/// Checks a response about a job: by the protocol it names that job and contains nothing about its
/// team or content.
pub(crate) fn check_job_response(job: &str, body: &[u8]) -> Result<(), String> {
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
