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

/// Exit status when the settings cannot be used.
const BAD_SETTINGS: u8 = 2;

/// Longest line that says what is wrong with the settings, in characters.
const LONGEST_ERROR: usize = 500;

/// Token of the term in which this node leads, for the log; 0 while it does not.
static TOKEN: AtomicU64 = AtomicU64::new(0);

#[derive(Parser)]
#[command(name = "indigopath", version, about, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    files: Option<Files>,
}

#[derive(Args)]
struct Files {
    /// The platform's settings (JSON)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (HCL)
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Check the settings files and say what is wrong with them
    Check(Files),
    /// Show counted resources: licences and other named counts
    Counts(counts::CountsArgs),
    /// HTCondor submit files: what becomes of them here
    Condor(condor::CondorArgs),
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Error)]
enum FileError {
    #[error("{}: {source}", path.display())]
    Read { path: PathBuf, source: std::io::Error },
    #[error("{}: {source}", path.display())]
    Settings { path: PathBuf, source: SettingsError },
    #[error("{}: {source}", path.display())]
    Hcl { path: PathBuf, source: hcl::Error },
}

fn read(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|source| FileError::Read {
        path: path.to_owned(),
        source,
    })
}

fn load(files: &Files) -> Result<Settings, FileError> {
    let path = &files.config;
    let settings = Settings::parse(&read(path)?).map_err(|source| FileError::Settings {
        path: path.clone(),
        source,
    })?;
    let Some(path) = &files.operator else {
        return Ok(settings);
    };
    let value: serde_json::Value = hcl::from_str(&read(path)?).map_err(|source| FileError::Hcl {
        path: path.clone(),
        source,
    })?;
    let unusable = |source| FileError::Settings {
        path: path.clone(),
        source,
    };
    let operator = OperatorSettings::from_value(value).map_err(unusable)?;
    settings.with_operator(operator).map_err(unusable)
}

fn start_log(member: &str) {
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
            match TOKEN.load(Ordering::Relaxed) {
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

/// Prints what was asked for, or why it cannot be had.
fn show(outcome: Result<String, counts::CountsError>) -> ExitCode {
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
        (Some(Command::Counts(args)), _) => return show(counts::run(&args)),
        (Some(Command::Condor(args)), _) => return condor::run(&args),
        (Some(Command::Completions { shell }), _) => {
            let mut command = Cli::command();
            clap_complete::generate(shell, &mut command, "indigopath", &mut std::io::stdout());
            return ExitCode::SUCCESS;
        }
        (Some(Command::Check(files)), _) => (files, true),
        (None, Some(files)) => (files, false),
        (None, None) => {
            eprintln!("indigopath: --config FILE is needed; see --help");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let settings = match load(&files) {
        Ok(settings) => settings,
        Err(error) => {
            // One line of a bearable length, whatever the parser says: it quotes the file.
            let words = error.to_string();
            let line: String = words.split_whitespace().collect::<Vec<_>>().join(" ");
            let line: String = line.chars().take(LONGEST_ERROR).collect();
            eprintln!("indigopath: {line}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let doubts = settings.warnings();
    if check {
        for doubt in &doubts {
            eprintln!("indigopath: warning: {doubt}");
        }
        println!("the settings of {} are usable", settings.node);
        return ExitCode::SUCCESS;
    }
    start_log(&settings.node);
    log::info!("started version={}", env!("CARGO_PKG_VERSION"));
    for doubt in doubts {
        log::warn!("settings doubtful: {doubt}");
    }
    let ended = event_loop::EventLoop::new(settings).and_then(event_loop::EventLoop::run);
    if let Err(error) = ended {
        log::error!("stopped: {error}");
    }
    ExitCode::FAILURE
}
