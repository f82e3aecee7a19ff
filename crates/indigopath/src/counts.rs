//! `indigopath counts`: shows the counted resources as reported by the leader, as a table or as JSON.

use crate::client::{ClientError, Nodes, table};
use clap::{Args, Subcommand};
use indigopath_controller::job_api::admission::parse_id;
use indigopath_controller::protocol::paths;
use indigopath_counted_resources::status::{CountList, CountStatus, Explanation, HolderList};
use thiserror::Error;

#[derive(Args)]
pub struct CountsArgs {
    #[command(subcommand)]
    command: Option<CountsCommand>,
    #[command(flatten)]
    nodes: Nodes,
}

#[derive(Subcommand)]
enum CountsCommand {
    /// Show an overview of all counts (the default)
    List,
    /// Show the tasks that hold units, and the units that linger
    Holders {
        /// Only holders of this count
        count: Option<String>,
    },
    /// Show why a job waits
    Explain {
        /// The job's id
        job: String,
    },
}

#[derive(Debug, Error)]
pub enum CountsError {
    #[error("invalid job id {0:?}: expected wk- and a number")]
    InvalidJobId(String),
    #[error(transparent)]
    Client(#[from] ClientError),
}

/// Runs the command and returns its output.
///
/// # Errors
/// No leader answers, the request is rejected, or the response is invalid.
pub fn run(args: &CountsArgs) -> Result<String, CountsError> {
    match args.command.as_ref().unwrap_or(&CountsCommand::List) {
        CountsCommand::List => {
            let list: CountList = args.nodes.get(paths::COUNTS)?;
            Ok(args.nodes.format_output(&list, count_table)?)
        }
        CountsCommand::Holders { count } => {
            let path = format!("{}/{}", paths::COUNTS, paths::HOLDERS);
            let mut list: HolderList = args.nodes.get(&path)?;
            if let Some(count) = count {
                list.holders.retain(|holder| holder.count == *count);
            }
            Ok(args.nodes.format_output(&list, holder_table)?)
        }
        CountsCommand::Explain { job } => {
            let job = parse_id(job).ok_or_else(|| CountsError::InvalidJobId(job.clone()))?;
            let path = format!("{}/{}{job}", paths::COUNTS, paths::EXPLAIN);
            let explanation: Explanation = args.nodes.get(&path)?;
            Ok(args.nodes.format_output(&explanation, format_explanation)?)
        }
    }
}

fn count_table(list: &CountList) -> String {
    if list.counts.is_empty() {
        return "no counts are defined".to_owned();
    }
    let rows = list.counts.iter().map(|count| {
        let mut row = vec![count.name.clone()];
        row.extend(
            [
                u64::from(count.usable),
                u64::from(count.held),
                u64::from(count.lingering),
                u64::from(count.others),
                u64::from(count.free),
                u64::from(count.kept),
                count.waiting,
            ]
            .map(|units| units.to_string()),
        );
        row.push(remarks(count));
        row
    });
    let header = [
        "COUNT", "UNITS", "HELD", "LINGER", "OTHERS", "FREE", "KEPT", "WAITING", "",
    ];
    table(&header, &[1, 2, 3, 4, 5, 6, 7], rows)
}

/// Returns remarks on unusual states of a count.
fn remarks(count: &CountStatus) -> String {
    let mut remarks = Vec::new();
    remarks.extend(count.closed.clone());
    let taken = u64::from(count.held) + u64::from(count.lingering) + u64::from(count.others);
    if taken > u64::from(count.usable) && count.closed.is_none() {
        remarks.push("more units are taken than exist: nothing starts".to_owned());
    }
    if count.units.is_some_and(|units| count.usable < units) {
        remarks.push(format!(
            "its licence covers fewer than the {} defined",
            count.units.unwrap_or(0)
        ));
    }
    if count.leaving > 0 {
        remarks.push(format!("{} are being released", count.leaving));
    }
    let shares: Vec<String> = count
        .teams
        .iter()
        .filter(|team| team.share > 0)
        .map(|team| format!("{} {}/{}", team.team, team.used, team.share))
        .collect();
    if !shares.is_empty() {
        remarks.push(format!("shares {}", shares.join(", ")));
    }
    remarks.join("; ")
}

fn holder_table(list: &HolderList) -> String {
    if list.holders.is_empty() {
        return "no units are held".to_owned();
    }
    let rows = list.holders.iter().map(|holder| {
        vec![
            holder.count.clone(),
            holder.units.to_string(),
            holder.team.clone(),
            holder.task.clone().unwrap_or_else(|| "-".to_owned()),
            holder.machine.clone().unwrap_or_else(|| "-".to_owned()),
            holder.state.clone(),
            if holder.task.is_some() {
                format!("for {:.0} s", holder.seconds)
            } else {
                format!("{:.0} s more", holder.seconds)
            },
        ]
    });
    let header = ["COUNT", "UNITS", "TEAM", "TASK", "MACHINE", "STATE", "TIME"];
    table(&header, &[1], rows)
}

fn format_explanation(explanation: &Explanation) -> String {
    let mut text = format!(
        "{}: {} tasks wait; {}",
        explanation.id, explanation.waiting, explanation.verdict
    );
    if explanation.counts.is_empty() {
        return text;
    }
    let rows = explanation.counts.iter().map(|requested| {
        vec![
            requested.count.clone(),
            requested.needs.to_string(),
            requested.free.to_string(),
            requested.kept.to_string(),
            requested.ahead.to_string(),
            requested.why.clone().unwrap_or_default(),
        ]
    });
    text.push('\n');
    text.push_str(&table(
        &["COUNT", "NEEDS", "FREE", "KEPT", "AHEAD", ""],
        &[1, 2, 3, 4],
        rows,
    ));
    text
}

#[cfg(test)]
mod tests;
