//! `indigopath condor`: HTCondor submit files, by the commands that their users know.

use crate::{BAD_SETTINGS, Files, load};
use clap::{Args, Subcommand, ValueEnum};
use comfy_table::{Table, presets};
use indigopath_condor::{Judged, Matching, Site, Submission, SubmitError, Verdict};
use indigopath_core::wire::Flavors;
use serde::Serialize;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

#[derive(Args)]
pub struct CondorArgs {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Say, without submitting, what would become of each proc of a file
    Explain(Explain),
}

#[derive(Args)]
struct Explain {
    /// The submit file
    file: PathBuf,
    /// Machine types, as the cloud's GET /flavors answers (JSON)
    #[arg(long, value_name = "FLAVORS.json")]
    machines: PathBuf,
    #[command(flatten)]
    settings: Files,
    /// How to show it
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Table,
    Json,
}

#[derive(Debug, Error)]
enum CondorError {
    #[error("{0}")]
    Settings(#[from] crate::FileError),
    #[error("{}: {why}", path.display())]
    File { path: PathBuf, why: String },
    /// The text is at fault: nothing precedes the place.
    #[error("{0}")]
    Submit(#[from] SubmitError),
    #[error("what was found cannot be written: {0}")]
    Write(#[from] std::io::Error),
}

/// What a proc's line says.
#[derive(Serialize)]
struct Line<'a> {
    proc: usize,
    verdict: Verdict,
    kinds: &'a [String],
    reason: Option<&'a str>,
}

/// Carries a command out, and says how it went.
pub fn run(args: &CondorArgs) -> ExitCode {
    let done = match &args.what {
        What::Explain(explain) => explain.run(),
    };
    match done {
        Ok(code) => code,
        Err(CondorError::Submit(error)) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
        // Whoever reads has read enough.
        Err(CondorError::Write(error)) if error.kind() == std::io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("indigopath: {error}");
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

impl Explain {
    fn run(&self) -> Result<ExitCode, CondorError> {
        let settings = load(&self.settings)?;
        let flavors: Flavors =
            serde_json::from_str(&read(&self.machines)?).map_err(|error| CondorError::File {
                path: self.machines.clone(),
                why: error.to_string(),
            })?;
        let text = read(&self.file)?;
        let condor = settings.operator.condor.clone().unwrap_or_default();
        let site = indigopath_core::condor::site(
            &settings.deployment,
            &flavors.types,
            &settings.operator.counts,
            &condor,
        );
        let submission = indigopath_condor::read(&text, &self.file.display().to_string(), 1, now_s(), &Here)?;
        for (place, note) in indigopath_condor::notes(&submission) {
            eprintln!("{place}: note: {note}");
        }
        for machine in condor.machines.keys() {
            if flavors
                .types
                .iter()
                .all(|machine_type| machine_type.name != *machine)
            {
                eprintln!("condor.machine.{machine}: note: the cloud has no such machine type");
            }
        }
        let judged = indigopath_condor::judge(&submission, 1, now_s(), &site);
        self.show(&submission, &judged, &site)?;
        let bad = |verdict| matches!(verdict, Verdict::Refused | Verdict::Never);
        let any_bad = judged.outcomes.iter().any(|outcome| bad(outcome.verdict));
        Ok(if any_bad {
            ExitCode::FAILURE
        } else {
            ExitCode::SUCCESS
        })
    }

    fn show(&self, submission: &Submission, judged: &Judged, site: &Site) -> Result<(), CondorError> {
        let kinds: Vec<Vec<String>> = judged
            .outcomes
            .iter()
            .map(|outcome| site.kinds.of(&outcome.kinds).map(ToString::to_string).collect())
            .collect();
        let mut out = std::io::BufWriter::new(std::io::stdout().lock());
        match self.format {
            Format::Json => {
                for (proc, at) in judged.of.iter().enumerate() {
                    let at = *at as usize;
                    let line = Line {
                        proc,
                        verdict: judged.outcomes[at].verdict,
                        kinds: &kinds[at],
                        reason: judged.outcomes[at].reason.as_deref(),
                    };
                    serde_json::to_writer(&mut out, &line).map_err(std::io::Error::from)?;
                    out.write_all(b"\n")?;
                }
            }
            Format::Table => {
                let mut table = Table::new();
                table
                    .load_style(presets::NOTHING)
                    .set_header(["PROCS", "VERDICT", "MACHINES", "REASON"]);
                // Procs that share their outcome share a row.
                let mut from = 0;
                while let Some(at) = judged.of.get(from).copied() {
                    let same = judged.of[from..].iter().take_while(|other| **other == at).count();
                    let outcome = &judged.outcomes[at as usize];
                    let procs = match same {
                        1 => from.to_string(),
                        _ => format!("{from}-{}", from + same - 1),
                    };
                    let verdict = format!("{:?}", outcome.verdict).to_lowercase();
                    let reason = outcome.reason.clone().unwrap_or_default();
                    table.add_row([procs, verdict, kinds[at as usize].join(", "), reason]);
                    from += same;
                }
                writeln!(out, "{}", table.trim_fmt())?;
                writeln!(
                    out,
                    "{} procs, {} different requests",
                    submission.procs(),
                    judged.outcomes.len()
                )?;
            }
        }
        Ok(out.flush()?)
    }
}

fn read(path: &Path) -> Result<String, CondorError> {
    std::fs::read_to_string(path).map_err(|error| CondorError::File {
        path: path.to_owned(),
        why: error.to_string(),
    })
}

fn now_s() -> i64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_secs() as i64)
}

/// Files of the place from which this is called.
struct Here;

impl indigopath_condor::Files for Here {
    fn read(&self, path: &str) -> Result<String, String> {
        std::fs::read_to_string(path).map_err(|error| error.to_string())
    }

    fn matching(&self, pattern: &str, what: Matching) -> Result<Vec<String>, String> {
        let paths = glob::glob(pattern).map_err(|error| error.to_string())?;
        let mut found = Vec::new();
        for path in paths {
            let path = path.map_err(|error| error.to_string())?;
            let wanted = match what {
                Matching::Files => path.is_file(),
                Matching::Folders => path.is_dir(),
                Matching::Any => true,
            };
            if wanted {
                found.push(path.display().to_string());
            }
        }
        Ok(found)
    }

    fn variable(&self, name: &str) -> Option<String> {
        std::env::var(name).ok()
    }
}
