//! indigopath: an elastic cluster scheduler for small sites.
#![forbid(unsafe_code)]

mod client;
mod condor;
mod counts;
mod event_loop;
mod http;

use clap::{Args, CommandFactory, Parser, Subcommand};
use indigopath_controller::settings::{OperatorSettings, Settings, SettingsError};
use log::LevelFilter;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use thiserror::Error;

/// Exit status for invalid settings or arguments.
const INVALID_SETTINGS_STATUS: u8 = 2;

/// Maximum length of an error message about the settings, in characters.
const MAX_ERROR_CHARS: usize = 500;

/// Fencing token of this node's term as leader, for log lines; 0 while it is not the leader.
static LEADER_TOKEN: AtomicU64 = AtomicU64::new(0);

#[derive(Parser)]
#[command(name = "indigopath", version, about, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    files: Option<SettingsFiles>,
}

#[derive(Args)]
struct SettingsFiles {
    /// The platform's settings (JSON)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' settings (HCL)
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Check the settings files and report errors
    Check(SettingsFiles),
    /// Show counted resources: licences and other named counts
    Counts(counts::CountsArgs),
    /// Submit HTCondor submit files and manage their clusters
    Condor(condor::CondorArgs),
    /// Print the completion script for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Error)]
enum SettingsFileError {
    #[error("{}: {source}", path.display())]
    Read { path: PathBuf, source: std::io::Error },
    #[error("{}: {source}", path.display())]
    Settings { path: PathBuf, source: SettingsError },
    #[error("{}: {source}", path.display())]
    Hcl { path: PathBuf, source: hcl::Error },
}

fn read_file(path: &Path) -> Result<String, SettingsFileError> {
    std::fs::read_to_string(path).map_err(|source| SettingsFileError::Read {
        path: path.to_owned(),
        source,
    })
}

fn load_settings(files: &SettingsFiles) -> Result<Settings, SettingsFileError> {
    let path = &files.config;
    let settings = Settings::parse(&read_file(path)?).map_err(|source| SettingsFileError::Settings {
        path: path.clone(),
        source,
    })?;
    let Some(path) = &files.operator else {
        return Ok(settings);
    };
    let value: serde_json::Value =
        hcl::from_str(&read_file(path)?).map_err(|source| SettingsFileError::Hcl {
            path: path.clone(),
            source,
        })?;
    let settings_error = |source| SettingsFileError::Settings {
        path: path.clone(),
        source,
    };
    let operator = OperatorSettings::from_value(value).map_err(settings_error)?;
    settings.with_operator(operator).map_err(settings_error)
}

fn init_logger(member: &str) {
    let level = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|level| level.parse().ok())
        .unwrap_or(LevelFilter::Info);
    let member = member.to_owned();
    env_logger::Builder::new()
        .filter_level(level)
        .format(move |out, record| {
            let time = out.timestamp_millis();
            let level = record.level().as_str().to_ascii_lowercase();
            match LEADER_TOKEN.load(Ordering::Relaxed) {
                0 => writeln!(out, "{time} {level} member={member} {}", record.args()),
                token => writeln!(
                    out,
                    "{time} {level} member={member} token={token} {}",
                    record.args()
                ),
            }
        })
        .init();
}

/// Prints the output of a command, or its error.
fn print_output(outcome: Result<String, counts::CountsError>) -> ExitCode {
    match outcome {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("indigopath: {error}");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (files, check) = match (cli.command, cli.files) {
        (Some(Command::Counts(args)), _) => return print_output(counts::run(&args)),
        (Some(Command::Condor(args)), _) => return condor::run(&args),
        (Some(Command::Completions { shell }), _) => {
            let mut command = Cli::command();
            clap_complete::generate(shell, &mut command, "indigopath", &mut std::io::stdout());
            return ExitCode::SUCCESS;
        }
        (Some(Command::Check(files)), _) => (files, true),
        (None, Some(files)) => (files, false),
        (None, None) => {
            eprintln!("indigopath: --config FILE is required; see --help");
            return ExitCode::from(INVALID_SETTINGS_STATUS);
        }
    };
    let settings = match load_settings(&files) {
        Ok(settings) => settings,
        Err(error) => {
            // The parser quotes the file; its message is reduced to one line of limited length.
            let message = error.to_string();
            let line: String = message.split_whitespace().collect::<Vec<_>>().join(" ");
            let line: String = line.chars().take(MAX_ERROR_CHARS).collect();
            eprintln!("indigopath: {line}");
            return ExitCode::from(INVALID_SETTINGS_STATUS);
        }
    };
    let warnings = settings.warnings();
    if check {
        for warning in &warnings {
            eprintln!("indigopath: warning: {warning}");
        }
        println!("the settings of {} are usable", settings.node);
        return ExitCode::SUCCESS;
    }
    init_logger(&settings.node);
    log::info!("started version={}", env!("CARGO_PKG_VERSION"));
    for warning in warnings {
        log::warn!("settings warning: {warning}");
    }
    let result = event_loop::EventLoop::new(settings).and_then(event_loop::EventLoop::run);
    if let Err(error) = result {
        log::error!("stopped: {error}");
    }
    ExitCode::FAILURE
}
