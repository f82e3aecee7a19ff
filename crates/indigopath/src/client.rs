//! Asking controllers: the first that can answer does.

use clap::{Args, ValueEnum};
use comfy_table::{CellAlignment, Table, presets};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Longest wait for a node's answer, in ms: a node answers from memory, or tells within a
/// few seconds how far it is.
const TIMEOUT_MS: u64 = 6_000;

/// For how long controllers are asked again while none of them leads: a lease that runs out (2.5 s), an
/// election and the reading of the records, twice.
const LEADER_WAIT: Duration = Duration::from_secs(15);

/// Pause before they are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(500);

#[derive(Args, Clone)]
pub struct Nodes {
    /// Controller to ask; several may be given, and the first that can answer does
    #[arg(
        long = "node",
        value_name = "ADDRESS:PORT",
        env = "INDIGOPATH_NODES",
        value_delimiter = ',',
        global = true
    )]
    nodes: Vec<SocketAddrV4>,
    /// As which team to ask: another's jobs are not there. Without it, as the one that the
    /// operators name for submit files without accounting_group
    #[arg(long, value_name = "TEAM", env = "INDIGOPATH_TEAM", global = true)]
    team: Option<String>,
    /// How to show it
    #[arg(long, value_enum, default_value_t = Format::Table, global = true)]
    pub format: Format,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    Table,
    Json,
}

#[derive(Debug, Error)]
pub enum ClientError {
    #[error("no controller is named: give --node ADDRESS:PORT, or set INDIGOPATH_NODES")]
    NoNode,
    #[error("no controller that can tell answered: {0}")]
    NoAnswer(String),
    /// A controller's refusal: its status, and the body with the reason.
    #[error("{}", error_of(.1))]
    Refused(u16, String),
    #[error("a controller's answer cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// What came of asking every controller once.
enum Round {
    /// The body of the answer of whoever could tell.
    Answered(String),
    /// Some are there, and none of them leads for the moment.
    NobodyLeads(String),
    /// Asking again would not help, or could do a thing twice.
    Failed(String),
}

impl Nodes {
    /// What a path shows.
    ///
    /// # Errors
    /// Nobody who can tell answers, the answer is a refusal, or it cannot be read.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.ask(path, None)
    }

    /// What comes of a request.
    ///
    /// # Errors
    /// As above.
    pub fn post<T: DeserializeOwned>(&self, path: &str, body: &str) -> Result<T, ClientError> {
        self.ask(path, Some(body))
    }

    fn ask<T: DeserializeOwned>(&self, path: &str, body: Option<&str>) -> Result<T, ClientError> {
        if self.nodes.is_empty() {
            return Err(ClientError::NoNode);
        }
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_millis(TIMEOUT_MS)))
            .http_status_as_error(false)
            .build()
            .into();
        let stated = self.team.as_deref().map(query).unwrap_or_default();
        let began = Instant::now();
        loop {
            match self.ask_each(&agent, &format!("{path}{stated}"), body)? {
                Round::Answered(answer) => return Ok(serde_json::from_str(&answer)?),
                Round::NobodyLeads(problems) if began.elapsed() >= LEADER_WAIT => {
                    return Err(ClientError::NoAnswer(problems));
                }
                Round::NobodyLeads(_) => std::thread::sleep(ASK_AGAIN),
                Round::Failed(problems) => return Err(ClientError::NoAnswer(problems)),
            }
        }
    }

    /// Asks one controller after the other until one answers.
    fn ask_each(&self, agent: &ureq::Agent, path: &str, body: Option<&str>) -> Result<Round, ClientError> {
        let mut problems = Vec::new();
        let mut unanswered = 0;
        for node in &self.nodes {
            let url = format!("http://{node}{path}");
            let answer = match body {
                Some(body) => agent.post(url).send(body),
                None => agent.get(url).call(),
            };
            let answer = answer
                .and_then(|mut answer| Ok((answer.status().as_u16(), answer.body_mut().read_to_string()?)));
            match answer {
                Ok((200 | 201, body)) => return Ok(Round::Answered(body)),
                Ok((421, _)) => problems.push(format!("{node} does not lead")),
                Ok((503, body)) => problems.push(format!("{node}: {}", error_of(&body))),
                Ok((status, body)) => return Err(ClientError::Refused(status, body)),
                Err(error) => {
                    unanswered += 1;
                    problems.push(format!("{node}: {error}"));
                }
            }
        }
        // A request that changes something may have been carried out where no answer came.
        let may_ask_again = unanswered < self.nodes.len() && (body.is_none() || unanswered == 0);
        let problems = problems.join("; ");
        Ok(if may_ask_again {
            Round::NobodyLeads(problems)
        } else {
            Round::Failed(problems)
        })
    }

    /// A value as a table, or as JSON.
    ///
    /// # Errors
    /// It cannot be written as JSON.
    pub fn show<T: Serialize>(
        &self,
        value: &T,
        table: impl FnOnce(&T) -> String,
    ) -> Result<String, ClientError> {
        Ok(match self.format {
            Format::Table => table(value),
            Format::Json => serde_json::to_string_pretty(value)?,
        })
    }
}

/// A team as a request states it.
fn query(team: &str) -> String {
    let escaped = team.bytes().map(|byte| {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.') {
            char::from(byte).to_string()
        } else {
            format!("%{byte:02x}")
        }
    });
    format!("?team={}", escaped.collect::<String>())
}

/// The reason in an answer that is none.
fn error_of(body: &str) -> String {
    serde_json::from_str::<serde_json::Value>(body)
        .ok()
        .and_then(|value| value["error"].as_str().map(str::to_owned))
        .unwrap_or_else(|| body.to_owned())
}

/// Rows under a head; the columns at `right` hold numbers.
pub fn table(head: &[&str], right: &[usize], rows: impl Iterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(head.to_vec());
    for row in rows {
        table.add_row(row);
    }
    for at in right {
        if let Some(column) = table.column_mut(*at) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table.trim_fmt()
}

#[cfg(test)]
mod tests;
