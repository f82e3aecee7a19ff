//! `indigopath condor`: HTCondor submit files, with subcommands that correspond to those of HTCondor.

use crate::client::{ClientError, Format, Nodes, table};
use crate::{INVALID_SETTINGS_STATUS, SettingsFiles, load_settings};
use clap::{Args, Subcommand};
use indigopath_condor::{
    Bundle, CondorSettings, MatchResults, PathKind, Recorder, Site, Submission, SubmitError, Verdict,
};
use indigopath_controller::condor::{
    AcceptedCluster, ChangeSummary, History, QueueList, QueueRow, RowState, SubmitRejection, parse_target,
};
use indigopath_controller::constants::MAX_SUBMIT_BODY_BYTES;
use indigopath_controller::protocol::{MachineTypeList, paths};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use thiserror::Error;

#[derive(Args)]
pub struct CondorArgs {
    #[command(subcommand)]
    command: CondorCommand,
    #[command(flatten)]
    nodes: Nodes,
}

#[derive(Subcommand)]
enum CondorCommand {
    /// Submit a file as a cluster, as a whole or not at all
    Submit(SubmitArgs),
    /// Show idle, running and held jobs
    Q(QueueArgs),
    /// Hold clusters or procs; running jobs are stopped
    Hold(IdArgs),
    /// Release held clusters or procs
    Release(IdArgs),
    /// Remove clusters or procs
    Rm(IdArgs),
    /// Show accepted clusters, or the jobs of one
    History {
        /// Show only this cluster, job by job
        cluster: Option<u64>,
    },
    /// Show, without submitting, how each proc of a file would be handled
    Explain(ExplainArgs),
}

#[derive(Args)]
struct SubmitArgs {
    /// The submit file
    file: PathBuf,
    /// Owner of the submission
    #[arg(long, env = "USER", default_value = "nobody")]
    owner: String,
    /// Key that identifies the submission: the same file with the same key is the same cluster
    #[arg(long)]
    key: Option<String>,
    /// How long to retry, in s
    #[arg(long, value_name = "SECONDS", default_value_t = 120)]
    wait: u64,
}

#[derive(Args)]
struct QueueArgs {
    /// Show only these clusters
    clusters: Vec<u64>,
    /// Show a line for each array of procs with the same request
    #[arg(long)]
    nobatch: bool,
    /// Show only held jobs, and why they are held
    #[arg(long)]
    hold: bool,
}

#[derive(Args)]
struct IdArgs {
    /// Clusters, as in 7, or procs, as in 7.3
    #[arg(required = true)]
    ids: Vec<String>,
}

#[derive(Args)]
struct ExplainArgs {
    /// The submit file
    file: PathBuf,
    /// Machine types, as returned by the cloud's GET /flavors (JSON)
    #[arg(long, value_name = "FLAVORS.json")]
    machines: PathBuf,
    #[command(flatten)]
    settings: SettingsFiles,
}

#[derive(Debug, Error)]
enum CondorError {
    #[error("{0}")]
    Settings(#[from] crate::SettingsFileError),
    #[error("{}: {reason}", path.display())]
    File { path: PathBuf, reason: String },
    /// An error in the submit file. Its message starts with the location and gets no prefix.
    #[error("{0}")]
    Submit(#[from] SubmitError),
    #[error("cannot write the output: {0}")]
    Write(#[from] std::io::Error),
    #[error("invalid id {0:?}: expected a cluster, such as 7, or a proc, such as 7.3")]
    InvalidId(String),
    #[error("{0}")]
    Bundle(String),
    #[error(transparent)]
    Client(#[from] ClientError),
}

/// The JSON output for one proc.
#[derive(Serialize)]
struct ProcLine<'a> {
    proc: usize,
    verdict: Verdict,
    kinds: &'a [String],
    reason: Option<&'a str>,
}

/// Runs the command and returns its exit status.
pub fn run(args: &CondorArgs) -> ExitCode {
    let nodes = &args.nodes;
    let result = match &args.command {
        CondorCommand::Submit(submit) => submit.run(nodes),
        CondorCommand::Q(queue) => queue.run(nodes),
        CondorCommand::Hold(ids) => change_clusters(nodes, ids, "hold", "held"),
        CondorCommand::Release(ids) => change_clusters(nodes, ids, "release", "released"),
        CondorCommand::Rm(ids) => change_clusters(nodes, ids, "remove", "marked for removal"),
        CondorCommand::History { cluster } => show_history(nodes, *cluster),
        CondorCommand::Explain(explain) => explain.run(nodes.format),
    };
    match result {
        Ok(code) => code,
        Err(CondorError::Submit(error)) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
        // The reader of the output closed the pipe.
        Err(CondorError::Write(error)) if error.kind() == std::io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("indigopath: {error}");
            match error {
                CondorError::Client(ClientError::NoNodes) => ExitCode::from(INVALID_SETTINGS_STATUS),
                CondorError::Client(_) => ExitCode::FAILURE,
                _ => ExitCode::from(INVALID_SETTINGS_STATUS),
            }
        }
    }
}

fn print(text: &str) -> Result<(), CondorError> {
    Ok(writeln!(std::io::stdout().lock(), "{text}")?)
}

impl SubmitArgs {
    fn run(&self, nodes: &Nodes) -> Result<ExitCode, CondorError> {
        let text = read(&self.file)?;
        let file = self.file.display().to_string();
        let at_s = now_s();
        // Parses the file locally first: an invalid file is not sent, and this records which other files
        // and values must be sent with it.
        let recorder = Recorder::new(&LocalEnvironment);
        indigopath_condor::read(&text, &file, 0, at_s, &recorder)?;
        let key = self
            .key
            .clone()
            .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
        let bundle = Bundle {
            key,
            owner: self.owner.clone(),
            file,
            text,
            at_s,
            ..recorder.finish()
        };
        bundle.check().map_err(CondorError::Bundle)?;
        let body = serde_json::to_string(&bundle).map_err(ClientError::from)?;
        if body.len() > MAX_SUBMIT_BODY_BYTES {
            let size = body.len();
            return Err(CondorError::Bundle(format!(
                "the submit file and the files it reads are {size} bytes; at most {MAX_SUBMIT_BODY_BYTES} are accepted: split it"
            )));
        }
        let deadline = Instant::now() + Duration::from_secs(self.wait);
        let mut last_problem = String::new();
        loop {
            match nodes.post::<AcceptedCluster>(paths::CLUSTERS, &body) {
                Ok(accepted) => return self.print_accepted(&accepted, nodes),
                // Resending with the same key never creates a second cluster.
                Err(ClientError::NoResponse(problem)) if Instant::now() < deadline => {
                    if problem != last_problem {
                        eprintln!("indigopath: {problem}; retrying");
                        last_problem = problem;
                    }
                    std::thread::sleep(Duration::from_millis(RETRY_DELAY_MS));
                }
                Err(ClientError::Refused(status, body)) => {
                    let rejection: Result<SubmitRejection, _> = serde_json::from_str(&body);
                    match rejection {
                        Ok(rejection) if !rejection.refused.is_empty() => {
                            for group in &rejection.refused {
                                eprintln!("procs {}: {}: {}", group.procs, group.verdict, group.reason);
                            }
                            eprintln!("indigopath: nothing was submitted");
                        }
                        _ => return Err(ClientError::Refused(status, body).into()),
                    }
                    return Ok(ExitCode::FAILURE);
                }
                Err(error) => {
                    if matches!(error, ClientError::NoResponse(_)) {
                        eprintln!(
                            "indigopath: to retry this submission later, use --key {}",
                            bundle.key
                        );
                    }
                    return Err(error.into());
                }
            }
        }
    }

    fn print_accepted(&self, accepted: &AcceptedCluster, nodes: &Nodes) -> Result<ExitCode, CondorError> {
        for note in &accepted.notes {
            eprintln!("{note}");
        }
        for group in &accepted.held {
            eprintln!("procs {} are held: {}", group.procs, group.reason);
        }
        let text = nodes.format_output(accepted, |accepted| {
            format!(
                "{} job(s) submitted to cluster {}.",
                accepted.procs, accepted.cluster
            )
        })?;
        print(&text)?;
        Ok(ExitCode::SUCCESS)
    }
}

/// Delay before a submission is retried, in ms.
const RETRY_DELAY_MS: u64 = 1_000;

/// Totals of a cluster.
struct Batch<'a> {
    first: &'a QueueRow,
    procs: Vec<&'a str>,
    done: u32,
    running: u32,
    idle: u32,
    held: u32,
}

impl QueueArgs {
    fn run(&self, nodes: &Nodes) -> Result<ExitCode, CondorError> {
        let mut list: QueueList = nodes.get(&format!("{}queue", paths::CONDOR))?;
        list.jobs.retain(|row| {
            let is_selected = self.clusters.is_empty() || self.clusters.contains(&row.cluster);
            is_selected && (!self.hold || row.state == RowState::Held)
        });
        let text = nodes.format_output(&list, |list| {
            let rows = if self.hold {
                hold_table(list)
            } else if self.nobatch {
                array_table(list)
            } else {
                batch_table(list)
            };
            format!("{rows}\n{}", totals(list))
        })?;
        print(&text)?;
        Ok(ExitCode::SUCCESS)
    }
}

fn format_time(ms: u64) -> String {
    let time = chrono::DateTime::from_timestamp_millis(ms as i64).unwrap_or_default();
    time.format("%m/%d %H:%M").to_string()
}

/// Returns the numbers of done, running, idle and held procs of an array. A gang counts as one proc.
fn count_by_state(row: &QueueRow) -> [u32; 4] {
    if row.gang {
        return match row.state {
            RowState::Running => [0, 1, 0, 0],
            RowState::Idle => [0, 0, 1, 0],
            RowState::Held => [0, 0, 0, 1],
        };
    }
    let waiting = row.tasks.saturating_sub(row.done + row.running);
    match row.state {
        RowState::Held => [row.done, row.running, 0, waiting],
        _ => [row.done, row.running, waiting, 0],
    }
}

fn batch_table(list: &QueueList) -> String {
    let mut batches: BTreeMap<u64, Batch<'_>> = BTreeMap::new();
    for row in &list.jobs {
        let [done, running, idle, held] = count_by_state(row);
        let batch = batches.entry(row.cluster).or_insert_with(|| Batch {
            first: row,
            procs: Vec::new(),
            done: 0,
            running: 0,
            idle: 0,
            held: 0,
        });
        batch.procs.push(&row.procs);
        batch.done += done;
        batch.running += running;
        batch.idle += idle;
        batch.held += held;
    }
    let count = |number: u32| {
        if number == 0 {
            "_".to_owned()
        } else {
            number.to_string()
        }
    };
    let rows = batches.into_iter().map(|(cluster, batch)| {
        let total = batch.done + batch.running + batch.idle + batch.held;
        vec![
            batch.first.owner.clone(),
            format!("ID: {cluster}"),
            format_time(batch.first.submitted_ms),
            count(batch.done),
            count(batch.running),
            count(batch.idle),
            count(batch.held),
            total.to_string(),
            format!("{cluster}.{}", batch.procs.join(",")),
        ]
    });
    let header = [
        "OWNER",
        "BATCH_NAME",
        "SUBMITTED",
        "DONE",
        "RUN",
        "IDLE",
        "HOLD",
        "TOTAL",
        "JOB_IDS",
    ];
    table(&header, &[3, 4, 5, 6, 7], rows)
}

fn array_table(list: &QueueList) -> String {
    let rows = list.jobs.iter().map(|row| {
        let state = match row.state {
            RowState::Idle => "I",
            RowState::Running => "R",
            RowState::Held => "H",
        };
        vec![
            format!("{}.{}", row.cluster, row.procs),
            row.owner.clone(),
            row.team.clone(),
            format_time(row.submitted_ms),
            state.to_owned(),
            format!("{}/{}/{}", row.done, row.running, row.tasks),
            format!("{:.1}", row.memory_gb),
            row.job.clone(),
            row.cmd.clone(),
        ]
    });
    let header = [
        "ID",
        "OWNER",
        "TEAM",
        "SUBMITTED",
        "ST",
        "DONE/RUN/ALL",
        "GB",
        "JOB",
        "CMD",
    ];
    table(&header, &[6], rows)
}

fn hold_table(list: &QueueList) -> String {
    let rows = list.jobs.iter().map(|row| {
        vec![
            format!("{}.{}", row.cluster, row.procs),
            row.owner.clone(),
            format_time(row.submitted_ms),
            if row.releasable { "its user" } else { "the limit" }.to_owned(),
            row.hold.clone().unwrap_or_default(),
        ]
    });
    table(
        &["ID", "OWNER", "SUBMITTED", "RELEASED_BY", "HOLD_REASON"],
        &[],
        rows,
    )
}

fn totals(list: &QueueList) -> String {
    let mut sums = [0u32; 4];
    for row in &list.jobs {
        for (sum, part) in sums.iter_mut().zip(count_by_state(row)) {
            *sum += part;
        }
    }
    let [done, running, idle, held] = sums;
    format!(
        "Total for query: {} jobs; {done} completed, {idle} idle, {running} running, {held} held",
        done + running + idle + held
    )
}

fn change_clusters(
    nodes: &Nodes,
    ids: &IdArgs,
    action: &str,
    participle: &str,
) -> Result<ExitCode, CondorError> {
    for id in &ids.ids {
        if parse_target(id).is_none() {
            return Err(CondorError::InvalidId(id.clone()));
        }
    }
    let mut code = ExitCode::SUCCESS;
    for id in &ids.ids {
        let changed: ChangeSummary = nodes.post(&format!("{}/{id}/{action}", paths::CLUSTERS), "")?;
        for group in &changed.not {
            eprintln!(
                "{}.{} {}: {}",
                changed.cluster, group.procs, group.verdict, group.reason
            );
            code = ExitCode::FAILURE;
        }
        let text = nodes.format_output(&changed, |changed| match (changed.procs, id.contains('.')) {
            (0, _) => format!("no jobs of {id} have been {participle}"),
            (_, true) => format!("Job {id} {participle}"),
            (_, false) if changed.not.is_empty() => {
                format!("All jobs in cluster {id} have been {participle}")
            }
            (procs, false) => format!("{procs} jobs in cluster {id} have been {participle}"),
        })?;
        print(&text)?;
    }
    Ok(code)
}

fn show_history(nodes: &Nodes, cluster: Option<u64>) -> Result<ExitCode, CondorError> {
    let path = format!("{}history", paths::CONDOR);
    let history: History = match cluster {
        Some(cluster) => nodes.get(&format!("{path}/{cluster}"))?,
        None => nodes.get(&path)?,
    };
    let text = nodes.format_output(&history, |history| {
        let rows = history.clusters.iter().map(|record| {
            vec![
                record.cluster.to_string(),
                record.owner.clone(),
                format_time(record.at_ms),
                record.procs.to_string(),
                record.jobs.to_string(),
                record.file.clone(),
            ]
        });
        let mut text = table(
            &["ID", "OWNER", "SUBMITTED", "PROCS", "JOBS", "FILE"],
            &[0, 3, 4],
            rows,
        );
        if cluster.is_some() {
            let jobs = history
                .jobs
                .iter()
                .map(|job| vec![job.job.clone(), job.tasks.to_string(), job.state.clone()]);
            text.push('\n');
            text.push_str(&table(&["JOB", "TASKS", "STATE"], &[1], jobs));
        }
        text
    })?;
    print(&text)?;
    Ok(ExitCode::SUCCESS)
}

impl ExplainArgs {
    fn run(&self, format: Format) -> Result<ExitCode, CondorError> {
        let settings = load_settings(&self.settings)?;
        let machine_types: MachineTypeList =
            serde_json::from_str(&read(&self.machines)?).map_err(|error| CondorError::File {
                path: self.machines.clone(),
                reason: error.to_string(),
            })?;
        let text = read(&self.file)?;
        let condor = settings.operator.condor.clone().unwrap_or_else(|| {
            let team = settings.deployment.teams.first().map(|team| team.name.clone());
            eprintln!(
                "note: the operators' settings have no condor block; explained as if it named team {:?} and some image \
                 where the file names none",
                team.as_deref().unwrap_or("")
            );
            CondorSettings {
                default_team: team,
                default_image: Some("any".to_owned()),
                ..CondorSettings::default()
            }
        });
        let site = indigopath_controller::condor::site(
            &settings.deployment,
            &machine_types.types,
            &settings.operator.counted_resources,
            &condor,
        );
        let submission = indigopath_condor::read(
            &text,
            &self.file.display().to_string(),
            1,
            now_s(),
            &LocalEnvironment,
        )?;
        for (location, note) in indigopath_condor::notes(&submission) {
            eprintln!("{location}: note: {note}");
        }
        for machine in condor.machines.keys() {
            if machine_types
                .types
                .iter()
                .all(|machine_type| machine_type.name != *machine)
            {
                eprintln!("condor.machine.{machine}: note: the cloud has no such machine type");
            }
        }
        let results = indigopath_condor::match_submission(&submission, 1, now_s(), &site);
        print_results(format, &submission, &results, &site)?;
        let is_rejected = |verdict| matches!(verdict, Verdict::Refused | Verdict::Never);
        let any_rejected = results
            .outcomes
            .iter()
            .any(|outcome| is_rejected(outcome.verdict));
        Ok(if any_rejected {
            ExitCode::FAILURE
        } else {
            ExitCode::SUCCESS
        })
    }
}

fn print_results(
    format: Format,
    submission: &Submission,
    results: &MatchResults,
    site: &Site,
) -> Result<(), CondorError> {
    let kinds: Vec<Vec<String>> = results
        .outcomes
        .iter()
        .map(|outcome| site.kinds.names_in_set(&outcome.kinds))
        .collect();
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    match format {
        Format::Json => {
            for (proc, outcome_index) in results.outcome_of_proc.iter().enumerate() {
                let outcome_index = *outcome_index as usize;
                let line = ProcLine {
                    proc,
                    verdict: results.outcomes[outcome_index].verdict,
                    kinds: &kinds[outcome_index],
                    reason: results.outcomes[outcome_index].reason.as_deref(),
                };
                serde_json::to_writer(&mut out, &line).map_err(std::io::Error::from)?;
                out.write_all(b"\n")?;
            }
        }
        Format::Table => {
            let mut rows = Vec::new();
            // Consecutive procs with the same outcome share a row.
            let mut first = 0;
            while let Some(outcome_index) = results.outcome_of_proc.get(first).copied() {
                let count = results.outcome_of_proc[first..]
                    .iter()
                    .take_while(|other| **other == outcome_index)
                    .count();
                let outcome = &results.outcomes[outcome_index as usize];
                let procs = match count {
                    1 => first.to_string(),
                    _ => format!("{first}-{}", first + count - 1),
                };
                let verdict = format!("{:?}", outcome.verdict).to_lowercase();
                let reason = outcome.reason.clone().unwrap_or_default();
                rows.push(vec![
                    procs,
                    verdict,
                    kinds[outcome_index as usize].join(", "),
                    reason,
                ]);
                first += count;
            }
            let header = ["PROCS", "VERDICT", "MACHINES", "REASON"];
            writeln!(out, "{}", table(&header, &[], rows.into_iter()))?;
            writeln!(
                out,
                "{} procs, {} different requests",
                submission.procs(),
                results.outcomes.len()
            )?;
        }
    }
    Ok(out.flush()?)
}

fn read(path: &Path) -> Result<String, CondorError> {
    std::fs::read_to_string(path).map_err(|error| CondorError::File {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}

fn now_s() -> i64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_secs() as i64)
}

/// The files and environment variables of the calling process.
struct LocalEnvironment;

impl indigopath_condor::SubmitEnvironment for LocalEnvironment {
    fn read_file(&self, path: &str) -> Result<String, String> {
        std::fs::read_to_string(path).map_err(|error| error.to_string())
    }

    fn matching_paths(&self, pattern: &str, kind: PathKind) -> Result<Vec<String>, String> {
        let paths = glob::glob(pattern).map_err(|error| error.to_string())?;
        let mut found = Vec::new();
        for path in paths {
            let path = path.map_err(|error| error.to_string())?;
            let is_match = match kind {
                PathKind::Files => path.is_file(),
                PathKind::Folders => path.is_dir(),
                PathKind::Any => true,
            };
            if is_match {
                found.push(path.display().to_string());
            }
        }
        Ok(found)
    }

    fn env_var(&self, name: &str) -> Option<String> {
        std::env::var(name).ok()
    }
}
