//! Plays the days of `docs/acceptance` on a site made larger than the given one, and tells what
//! became of each class, each team and the largest jobs.
#![forbid(unsafe_code)]

mod larger;
mod outcome;

use clap::Parser;
use larger::{Larger, SiteError};
use outcome::{Jobbook, Outcome, Report};
use std::fs::{File, create_dir_all};
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use thiserror::Error;
use toml::Table;

/// Plays days of one's own on a larger site
#[derive(Parser)]
#[command(name = "acceptance")]
struct Cli {
    /// The given site's file; its `.days` and `wire` files lie beside it
    #[arg(long)]
    site: PathBuf,
    /// The bench's program
    #[arg(long)]
    bench: PathBuf,
    /// Where the days lie; by default `docs/acceptance/` and the site's name
    #[arg(long)]
    days: Option<PathBuf>,
    /// Only the days whose names contain this
    #[arg(long)]
    only: Option<String>,
    /// By which machines, work and teams' bounds are multiplied
    #[arg(long, default_value_t = 1.5, value_parser = factor)]
    factor: f64,
    /// Part of each zone's machines that moves to the next zone
    #[arg(long, default_value_t = 0.25, value_parser = part)]
    shift: f64,
    /// How long, in s, until a process that ended is back: the days take them in turn
    #[arg(long, value_delimiter = ',', default_values_t = [0.2, 0.5, 0.1, 0.35], value_parser = restart)]
    restart_s: Vec<f64>,
    /// Days at once
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=64))]
    jobs: u8,
    /// Where reports, logs and the table go
    #[arg(long, default_value = "target/acceptance")]
    out: PathBuf,
    /// What the bench's journal says of these runs
    #[arg(long, default_value = "days of docs/acceptance on a larger site")]
    why: String,
    /// Plays nothing: the table of what was played before
    #[arg(long)]
    read: bool,
    /// Writes the larger sites to this folder and keeps them
    #[arg(long)]
    keep: Option<PathBuf>,
}

fn within(text: &str, least: f64, most: f64) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if (least..=most).contains(&number) => Ok(number),
        _ => Err(format!("must be a number from {least} to {most}")),
    }
}

fn factor(text: &str) -> Result<f64, String> {
    within(text, 0.1, 10.0)
}

fn part(text: &str) -> Result<f64, String> {
    within(text, 0.0, 1.0)
}

fn restart(text: &str) -> Result<f64, String> {
    within(text, 0.1, 60.0)
}

#[derive(Debug, Error)]
enum AcceptanceError {
    #[error("{}: {why}", path.display())]
    File { path: PathBuf, why: String },
    #[error("{}: {why}", path.display())]
    Site { path: PathBuf, why: SiteError },
    #[error("{}: has no day{}", path.display(), named(only))]
    NoDay { path: PathBuf, only: Option<String> },
    #[error("{}", lines.join("\nacceptance: "))]
    Failed { lines: Vec<String> },
    #[error(transparent)]
    Pattern(#[from] regex::Error),
}

fn named(only: &Option<String>) -> String {
    only.as_ref()
        .map_or(String::new(), |only| format!(" whose name contains \"{only}\""))
}

fn file<E: std::fmt::Display>(path: &Path) -> impl Fn(E) -> AcceptanceError {
    move |why| AcceptanceError::File {
        path: path.to_owned(),
        why: why.to_string(),
    }
}

/// A day and the site on which it is played.
struct Planned {
    name: String,
    day: PathBuf,
    site: PathBuf,
    restart_s: f64,
    /// Classes whose jobs have begun only once all of their tasks run.
    gangs: Vec<String>,
}

/// A folder that goes with its value.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // Whoever plays days cleans up for good manners; the system would do so at last.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Days come in the order of their numbers: `10-hands` after `9-limits`, and each keeps its restart time as days are added.
fn order(name: &str) -> (u64, &str) {
    let digits = name.len() - name.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    (name[..digits].parse().unwrap_or(u64::MAX), name)
}

/// Every day of a folder by number and name.
fn days(folder: &Path) -> Result<Vec<(String, PathBuf)>, AcceptanceError> {
    let mut days = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(file(folder))? {
        let path = entry.map_err(file(folder))?.path();
        if path.extension().is_none_or(|kind| kind != "toml") {
            continue;
        }
        let text = std::fs::read_to_string(&path).map_err(file(&path))?;
        let day: Table = text.parse().map_err(one_line(&path))?;
        let name = day.get("name").and_then(toml::Value::as_str);
        let name = name.ok_or_else(|| file(&path)("has no `name`"))?.to_owned();
        days.push((name, path));
    }
    days.sort_by(|(a, _), (b, _)| order(a).cmp(&order(b)));
    Ok(days)
}

/// Errors of TOML are several lines long; the first says what and where.
fn one_line(path: &Path) -> impl Fn(toml::de::Error) -> AcceptanceError {
    move |error| file(path)(error.message())
}

/// Writes a larger site for each day, with what must lie beside it.
fn plan(cli: &Cli, into: &Path) -> Result<Vec<Planned>, AcceptanceError> {
    let text = std::fs::read_to_string(&cli.site).map_err(file(&cli.site))?;
    let site: Table = text.parse().map_err(one_line(&cli.site))?;
    let text_of = |field: &str| {
        let text = site.get(field).and_then(toml::Value::as_str);
        text.ok_or_else(|| file(&cli.site)(format!("has no `{field}`")))
    };
    let name = text_of("name")?;
    let folder = match &cli.days {
        Some(folder) => folder.clone(),
        None => Path::new("docs/acceptance").join(name),
    };
    let beside = cli.site.parent().unwrap_or(Path::new("."));
    let mut planned = Vec::new();
    for (at, (day, path)) in days(&folder)?.into_iter().enumerate() {
        if cli.only.as_ref().is_some_and(|only| !day.contains(only.as_str())) {
            continue;
        }
        let how = Larger {
            factor: cli.factor,
            shift: cli.shift,
            restart_s: cli.restart_s[at % cli.restart_s.len()],
        };
        let larger = larger::larger(&site, how).map_err(|why| AcceptanceError::Site {
            path: cli.site.clone(),
            why,
        })?;
        let folder = into.join(&day);
        create_dir_all(&folder).map_err(file(&folder))?;
        let to = folder.join(format!("{name}.toml"));
        let text = toml::to_string(&larger).map_err(file(&to))?;
        std::fs::write(&to, text).map_err(file(&to))?;
        for other in [format!("{name}.days"), text_of("wire")?.to_owned()] {
            let from = beside.join(&other);
            std::fs::copy(&from, folder.join(&other)).map_err(file(&from))?;
        }
        planned.push(Planned {
            name: day,
            day: path,
            site: to,
            restart_s: how.restart_s,
            gangs: gangs(&site),
        });
    }
    if planned.is_empty() {
        return Err(AcceptanceError::NoDay {
            path: folder,
            only: cli.only.clone(),
        });
    }
    Ok(planned)
}

fn gangs(site: &Table) -> Vec<String> {
    let jobs = site.get("jobs").and_then(toml::Value::as_array);
    jobs.into_iter()
        .flatten()
        .filter(|class| class.get("kind").and_then(toml::Value::as_str) == Some("gang"))
        .filter_map(|class| class.get("name").and_then(toml::Value::as_str))
        .map(str::to_owned)
        .collect()
}

/// Plays one day. What the bench prints goes to `NAME.log`, without debug lines; its report to
/// `NAME.report.json`, and what became of the day to `NAME.json`.
fn play(cli: &Cli, planned: &Planned) -> Result<Outcome, AcceptanceError> {
    let beside = |end: &str| cli.out.join(format!("{}.{end}", planned.name));
    let (log, to_report) = (beside("log"), beside("report.json"));
    if to_report.exists() {
        std::fs::remove_file(&to_report).map_err(file(&to_report))?;
    }
    let (printed, prints) = std::io::pipe().map_err(file(&cli.bench))?;
    // A path without a folder would be looked for among the system's programs.
    let mut command = Command::new(cli.bench.canonicalize().map_err(file(&cli.bench))?);
    command
        .arg("run")
        .args([&planned.site, &planned.day])
        .args(["--log", "debug", "--why", &cli.why, "--report"])
        .arg(&to_report)
        .stdin(Stdio::null())
        .stderr(prints.try_clone().map_err(file(&cli.bench))?)
        .stdout(prints);
    let mut bench = command.spawn().map_err(file(&cli.bench))?;
    // It holds the other ends of the pipe.
    drop(command);
    let mut kept = BufWriter::new(File::create(&log).map_err(file(&log))?);
    let mut book = Jobbook::new()?;
    let mut printed = BufReader::new(printed);
    let mut line = Vec::new();
    loop {
        line.clear();
        if printed.read_until(b'\n', &mut line).map_err(file(&log))? == 0 {
            break;
        }
        let text = String::from_utf8_lossy(&line);
        if book.read(text.trim_end()) {
            kept.write_all(text.as_bytes()).map_err(file(&log))?;
        }
    }
    kept.flush().map_err(file(&log))?;
    let status = bench.wait().map_err(file(&cli.bench))?;
    let text = std::fs::read_to_string(&to_report)
        .map_err(|_| file(&log)(format!("{} has no report: {status}", planned.name)))?;
    let report: Report = serde_json::from_str(&text).map_err(file(&to_report))?;
    let outcome = Outcome::new(&planned.name, planned.restart_s, &report, &book, &planned.gangs);
    let to = beside("json");
    let text = serde_json::to_string_pretty(&outcome).map_err(file(&to))?;
    std::fs::write(&to, text).map_err(file(&to))?;
    Ok(outcome)
}

/// What became of a day that was played before.
fn read(cli: &Cli, planned: &Planned) -> Result<Outcome, AcceptanceError> {
    let path = cli.out.join(format!("{}.json", planned.name));
    let text = std::fs::read_to_string(&path).map_err(file(&path))?;
    serde_json::from_str(&text).map_err(file(&path))
}

fn all(cli: &Cli) -> Result<(), AcceptanceError> {
    if !cli.bench.is_file() {
        return Err(file(&cli.bench)("is not a program"));
    }
    create_dir_all(&cli.out).map_err(file(&cli.out))?;
    let folder = std::env::temp_dir().join(format!("indigopath-acceptance-{}", std::process::id()));
    let (folder, _gone) = match &cli.keep {
        Some(kept) => (kept.clone(), None),
        None => (folder.clone(), Some(Folder(folder))),
    };
    let planned = plan(cli, &folder)?;
    let next = AtomicUsize::new(0);
    let results: Mutex<(Vec<Outcome>, Vec<String>)> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..cli.jobs {
            scope.spawn(|| {
                while let Some(planned) = planned.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = if cli.read {
                        read(cli, planned)
                    } else {
                        eprintln!(
                            "{}: a process that ends is back after {} s",
                            planned.name, planned.restart_s
                        );
                        play(cli, planned)
                    };
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    match result {
                        Ok(outcome) => results.0.push(outcome),
                        Err(error) => results.1.push(error.to_string()),
                    }
                }
            });
        }
    });
    let (mut days, mut lines) = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    days.sort_by(|a, b| order(&a.day).cmp(&order(&b.day)));
    if !days.is_empty() {
        let table = outcome::table(&days);
        let to = cli.out.join("table.md");
        std::fs::write(&to, &table).map_err(file(&to))?;
        println!("{table}");
    }
    lines.extend(days.iter().flat_map(Outcome::failures));
    if lines.is_empty() {
        Ok(())
    } else {
        Err(AcceptanceError::Failed { lines })
    }
}

fn main() -> ExitCode {
    match all(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("acceptance: {error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
