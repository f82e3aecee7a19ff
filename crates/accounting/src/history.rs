//! A team's ended jobs, for display.

use crate::access::Team;
use crate::entry::Entry;
use crate::records::{Record, RecordError, parse};
use crate::totals::TotalsByDay;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::sync::Arc;

/// The serialized form of [`OlderJobs`]: a tuple of its fields in order.
type OlderJobsForm = (u32, Arc<str>, u64, u64, u64, u64);

/// Totals over ended jobs that are too old for separate entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "OlderJobsForm", into = "OlderJobsForm")]
pub struct OlderJobs {
    /// Day on which the jobs ended, in days since the Unix epoch; 0 for all earlier days.
    pub day: u32,
    /// Class of the jobs; empty for all classes without separate totals.
    pub class: Arc<str>,
    /// Jobs that finished.
    pub done: u64,
    /// Jobs that were cancelled.
    pub cancelled: u64,
    /// Lower bound on the attempts of their tasks.
    pub attempts: u64,
    /// Lower bound on the seconds of lost work.
    pub lost_s: u64,
}

impl From<OlderJobsForm> for OlderJobs {
    fn from(form: OlderJobsForm) -> OlderJobs {
        let (day, class, done, cancelled, attempts, lost_s) = form;
        OlderJobs {
            day,
            class,
            done,
            cancelled,
            attempts,
            lost_s,
        }
    }
}

impl From<OlderJobs> for OlderJobsForm {
    fn from(older: OlderJobs) -> OlderJobsForm {
        (
            older.day,
            older.class,
            older.done,
            older.cancelled,
            older.attempts,
            older.lost_s,
        )
    }
}

/// The latest ended jobs of a team, and totals over older ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamHistory {
    /// Job ids and entries, latest last.
    pub ended: Vec<(Arc<str>, Entry)>,
    /// Totals over older jobs.
    pub older: Vec<OlderJobs>,
}

/// Reads the records of one team's account for display. Records of other teams are skipped.
///
/// # Errors
/// One of the records cannot be used.
pub fn read_history(team: &Team, items: &[(String, Value)]) -> Result<TeamHistory, RecordError> {
    let mut history = TeamHistory::default();
    for (key, value) in items {
        match parse(key, value)? {
            Record::Page {
                team: owner, page, ..
            } if owner == *team => {
                let entries = page
                    .into_iter()
                    .map(|page_entry| (page_entry.job, (*page_entry.entry).clone()));
                history.ended.extend(entries);
            }
            Record::Totals { team: owner, totals } if owner == *team => {
                history.older = older_jobs(totals);
            }
            _ => (),
        }
    }
    Ok(history)
}

fn older_jobs(totals: TotalsByDay) -> Vec<OlderJobs> {
    let rows = totals.0.into_iter();
    rows.map(|((day, class), totals)| OlderJobs {
        day,
        class,
        done: totals.done,
        cancelled: totals.cancelled,
        attempts: totals.attempts,
        lost_s: totals.lost_s,
    })
    .collect()
}
