//! An HTTP client that tries one controller after another until one can answer.

use clap::{Args, ValueEnum};
use comfy_table::{CellAlignment, Table, presets};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Longest wait for the response of a controller, in ms: it responds from memory, or reports the
/// progress of a request within a few seconds.
const RESPONSE_TIMEOUT_MS: u64 = 6_000;

/// How long requests are retried while no controller leads: twice the time for a lease to expire
/// (2.5 s), an election and the recovery of the records.
const LEADER_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(500);

#[derive(Args, Clone)]
pub struct Nodes {
    /// Controller to send requests to; several may be given, and the first that can answer does
    #[arg(
        long = "node",
        value_name = "ADDRESS:PORT",
        env = "INDIGOPATH_NODES",
        value_delimiter = ',',
        global = true
    )]
    nodes: Vec<SocketAddrV4>,
    /// Team to act for; jobs of other teams are not visible. The default is the team that the
    /// operators set for submit files without accounting_group
    #[arg(long, value_name = "TEAM", env = "INDIGOPATH_TEAM", global = true)]
    team: Option<String>,
    /// Output format
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
    #[error("no controller is given: use --node ADDRESS:PORT or set INDIGOPATH_NODES")]
    NoNodes,
    #[error("no controller can answer: {0}")]
    NoResponse(String),
    /// A controller rejected the request: the status and the body with the reason.
    #[error("{}", error_message(.1))]
    Refused(u16, String),
    #[error("invalid response from a controller: {0}")]
    InvalidResponse(#[from] serde_json::Error),
}

/// The outcome of trying every controller once.
enum RoundOutcome {
    /// The body of the response of a controller that could answer.
    Answered(String),
    /// Some controllers respond, but none leads at the moment.
    NoLeader(String),
    /// A retry would not help, or could execute the request twice.
    Failed(String),
}

impl Nodes {
    /// Sends a GET request and parses the response.
    ///
    /// # Errors
    /// No controller can answer, the request is rejected, or the response is invalid.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.request(path, None)
    }

    /// Sends a POST request and parses the response.
    ///
    /// # Errors
    /// See [`Nodes::get`].
    pub fn post<T: DeserializeOwned>(&self, path: &str, body: &str) -> Result<T, ClientError> {
        self.request(path, Some(body))
    }

    fn request<T: DeserializeOwned>(&self, path: &str, body: Option<&str>) -> Result<T, ClientError> {
        if self.nodes.is_empty() {
            return Err(ClientError::NoNodes);
        }
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_millis(RESPONSE_TIMEOUT_MS)))
            .http_status_as_error(false)
            .build()
            .into();
        let team_query = self.team.as_deref().map(team_query_string).unwrap_or_default();
        let started_at = Instant::now();
        loop {
            match self.try_each_node(&agent, &format!("{path}{team_query}"), body)? {
                RoundOutcome::Answered(response) => return Ok(serde_json::from_str(&response)?),
                RoundOutcome::NoLeader(problems) if started_at.elapsed() >= LEADER_TIMEOUT => {
                    return Err(ClientError::NoResponse(problems));
                }
                RoundOutcome::NoLeader(_) => std::thread::sleep(RETRY_DELAY),
                RoundOutcome::Failed(problems) => return Err(ClientError::NoResponse(problems)),
            }
        }
    }

    /// Sends the request to one controller after another until one can answer.
    fn try_each_node(
        &self,
        agent: &ureq::Agent,
        path: &str,
        body: Option<&str>,
    ) -> Result<RoundOutcome, ClientError> {
        let mut problems = Vec::new();
        let mut unanswered_nodes = 0;
        for node in &self.nodes {
            let url = format!("http://{node}{path}");
            let response = match body {
                Some(body) => agent.post(url).send(body),
                None => agent.get(url).call(),
            };
            let response = response.and_then(|mut response| {
                Ok((response.status().as_u16(), response.body_mut().read_to_string()?))
            });
            match response {
                Ok((200 | 201, body)) => return Ok(RoundOutcome::Answered(body)),
                Ok((421, _)) => problems.push(format!("{node} is not the leader")),
                Ok((503, body)) => problems.push(format!("{node}: {}", error_message(&body))),
                Ok((status, body)) => return Err(ClientError::Refused(status, body)),
                Err(error) => {
                    unanswered_nodes += 1;
                    problems.push(format!("{node}: {error}"));
                }
            }
        }
        // A request that changes something may have been executed by a controller that did not respond.
        let may_retry = unanswered_nodes < self.nodes.len() && (body.is_none() || unanswered_nodes == 0);
        let problems = problems.join("; ");
        Ok(if may_retry {
            RoundOutcome::NoLeader(problems)
        } else {
            RoundOutcome::Failed(problems)
        })
    }

    /// Formats a value as a table or as JSON.
    ///
    /// # Errors
    /// The value cannot be serialized as JSON.
    pub fn format_output<T: Serialize>(
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

/// Returns the query string that names a team.
fn team_query_string(team: &str) -> String {
    let escaped = team.bytes().map(|byte| {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.') {
            char::from(byte).to_string()
        } else {
            format!("%{byte:02x}")
        }
    });
    format!("?team={}", escaped.collect::<String>())
}

/// Returns the error message in the body of a rejection.
fn error_message(body: &str) -> String {
    serde_json::from_str::<serde_json::Value>(body)
        .ok()
        .and_then(|value| value["error"].as_str().map(str::to_owned))
        .unwrap_or_else(|| body.to_owned())
}

/// Formats rows under a header; the columns with the indexes `number_columns` are right-aligned.
pub fn table(header: &[&str], number_columns: &[usize], rows: impl Iterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(header.to_vec());
    for row in rows {
        table.add_row(row);
    }
    for column_index in number_columns {
        if let Some(column) = table.column_mut(*column_index) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table.trim_fmt()
}

#[cfg(test)]
mod tests;
