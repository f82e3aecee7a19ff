//! Submit files and what becomes of them, as an HTML report, and what reading and judging
//! them costs by their size.
#![forbid(unsafe_code)]

mod plots;

use clap::Parser;
use indigopath_condor::{PathKind, Site, SiteFile, SubmitEnvironment, match_submission, notes, read};
use minijinja::{Environment, Value, context};
use plots::{PlotError, plot, svg};
use plotters::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;
use thiserror::Error;

const TEMPLATE: &str = include_str!("../templates/corpus.html");

/// Judges a folder of submit files and writes a report
#[derive(Parser)]
#[command(name = "corpus")]
struct Cli {
    /// Folder of submit files, with the site that they are held against in site.json
    #[arg(long, default_value = "crates/condor/tests/corpus")]
    folder: PathBuf,
    /// Where the report goes
    #[arg(long, default_value = "target/corpus.html")]
    out: PathBuf,
    /// Procs, and requirements, of the largest files that are timed
    #[arg(long, default_value_t = 10_000, value_parser = clap::value_parser!(u32).range(100..=100_000))]
    most: u32,
}

#[derive(Debug, Error)]
enum CorpusError {
    #[error("{}: {why}", path.display())]
    File { path: PathBuf, why: String },
    #[error("{} has no submit files", .0.display())]
    Empty(PathBuf),
    #[error(transparent)]
    Plot(#[from] PlotError),
    #[error("the page cannot be put together: {0}")]
    Page(#[from] minijinja::Error),
}

fn text_of(path: &Path) -> Result<String, CorpusError> {
    std::fs::read_to_string(path).map_err(|error| CorpusError::File {
        path: path.to_owned(),
        why: error.to_string(),
    })
}

/// The files of a folder, for those that include others.
struct Folder<'f>(&'f Path);

impl SubmitEnvironment for Folder<'_> {
    fn read_file(&self, path: &str) -> Result<String, String> {
        std::fs::read_to_string(self.0.join(path)).map_err(|error| error.to_string())
    }

    fn matching_paths(&self, _: &str, _: PathKind) -> Result<Vec<String>, String> {
        Err("patterns are not followed for a report".to_owned())
    }

    fn env_var(&self, _: &str) -> Option<String> {
        None
    }
}

/// Procs that share a verdict.
#[derive(Serialize)]
struct Row {
    procs: usize,
    verdict: String,
    kinds: String,
    reason: String,
}

#[derive(Serialize)]
struct Shown {
    name: String,
    text: String,
    rows: Vec<Row>,
    notes: Vec<String>,
    problem: Option<String>,
}

fn look(path: &Path, folder: &Path, site: &Site) -> Result<Shown, CorpusError> {
    let text = text_of(path)?;
    let name = path
        .file_name()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    let mut shown = Shown {
        rows: Vec::new(),
        notes: Vec::new(),
        problem: None,
        name,
        text,
    };
    match read(&shown.text, &shown.name, 1, 0, &Folder(folder)) {
        Err(error) => shown.problem = Some(error.to_string()),
        Ok(submission) => {
            let judged = match_submission(&submission, 1, 0, site);
            for (at, outcome) in judged.outcomes.iter().enumerate() {
                shown.rows.push(Row {
                    procs: judged
                        .outcome_of_proc
                        .iter()
                        .filter(|of| **of as usize == at)
                        .count(),
                    verdict: format!("{:?}", outcome.verdict).to_lowercase(),
                    kinds: site.kinds.names_in_set(&outcome.kinds).join(", "),
                    reason: outcome.reason.clone().unwrap_or_default(),
                });
            }
            let told = notes(&submission).into_iter();
            shown.notes = told.map(|(place, text)| format!("{place}: {text}")).collect();
        }
    }
    Ok(shown)
}

/// Size, and best of three times in ms.
type Curve = Vec<(f64, f64)>;

fn timed(sizes: &[u32], run: impl Fn(u32) -> f64) -> Curve {
    let best = |size: u32| (0..3).map(|_| run(size)).fold(f64::INFINITY, f64::min);
    sizes.iter().map(|size| (f64::from(*size), best(*size))).collect()
}

/// Times to read files of so many procs, and to judge so many different requirements.
fn costs(most: u32, site: &Site) -> (Curve, Curve) {
    let sizes: Vec<u32> = (1..=10).map(|tenth| most / 10 * tenth).collect();
    let folder = Folder(Path::new("."));
    let reading = timed(&sizes, |procs| {
        let mut text = String::from("arguments = $(page) $Fn(page).$(Process).png\nqueue page from (\n");
        for number in 0..procs {
            let _ = writeln!(text, "scans/page-{number:06}.tif");
        }
        text.push_str(")\n");
        let began = Instant::now();
        let submission = read(&text, "timed.sub", 1, 0, &folder);
        let ms = began.elapsed().as_secs_f64() * 1_000.0;
        submission.map_or(f64::NAN, |_| ms)
    });
    let judging = timed(&sizes, |requirements| {
        let mut text = String::from("requirements = $(wanted)\nqueue wanted from (\n");
        for number in 0..requirements {
            let _ = writeln!(
                text,
                "(OpSys == \"LINUX\") && (Memory >= {}) && Cpus > {}",
                1_024 + number,
                number % 64
            );
        }
        text.push_str(")\n");
        let Ok(submission) = read(&text, "timed.sub", 1, 0, &folder) else {
            return f64::NAN;
        };
        let began = Instant::now();
        let judged = match_submission(&submission, 1, 0, site);
        let ms = began.elapsed().as_secs_f64() * 1_000.0;
        if judged.outcomes.len() == requirements as usize {
            ms
        } else {
            f64::NAN
        }
    });
    (reading, judging)
}

fn cost_plot(curves: &[(&'static str, &Curve)]) -> Result<String, PlotError> {
    let points = || curves.iter().flat_map(|(_, curve)| curve.iter());
    let widest = points().map(|point| point.0).fold(1.0, f64::max);
    let highest = points().map(|point| point.1).fold(1.0, f64::max);
    svg((900, 320), |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..widest, 0.0..highest * 1.05)
            .map_err(plot)?;
        chart
            .configure_mesh()
            .x_desc("procs, or different requirements")
            .y_desc("ms")
            .light_line_style(TRANSPARENT)
            .draw()
            .map_err(plot)?;
        for ((name, curve), colour) in curves.iter().zip([RGBColor(31, 90, 166), RGBColor(214, 110, 30)]) {
            chart
                .draw_series(LineSeries::new(curve.iter().copied(), colour))
                .map_err(plot)?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(plot)?;
        Ok(())
    })
}

fn report(cli: &Cli) -> Result<(), CorpusError> {
    let path = cli.folder.join("site.json");
    let file: SiteFile = serde_json::from_str(&text_of(&path)?).map_err(|error| CorpusError::File {
        path,
        why: error.to_string(),
    })?;
    let site = Site::from(file);
    let entries = std::fs::read_dir(&cli.folder).map_err(|error| CorpusError::File {
        path: cli.folder.clone(),
        why: error.to_string(),
    })?;
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "sub"));
    paths.sort();
    if paths.is_empty() {
        return Err(CorpusError::Empty(cli.folder.clone()));
    }
    let shown: Vec<Shown> = paths
        .iter()
        .map(|path| look(path, &cli.folder, &site))
        .collect::<Result<_, _>>()?;
    let mut verdicts: BTreeMap<&str, usize> = BTreeMap::new();
    for file in &shown {
        if file.problem.is_some() {
            *verdicts.entry("unreadable").or_default() += 1;
        }
        for row in &file.rows {
            *verdicts.entry(&row.verdict).or_default() += 1;
        }
    }
    eprintln!("{} files read; now timing", shown.len());
    let (reading, judging) = costs(cli.most, &site);
    for (what, curve) in [("read", &reading), ("judge", &judging)] {
        if let Some((size, ms)) = curve.last() {
            println!("{what} {size}: {ms:.1} ms");
        }
    }
    println!("{} files: {verdicts:?}", shown.len());
    let svg = cost_plot(&[("reading procs", &reading), ("judging requirements", &judging)])?;
    let mut page = Environment::new();
    page.add_template("corpus.html", TEMPLATE)?;
    let kinds: Vec<String> = site.kinds.all().iter().map(ToString::to_string).collect();
    let html = page.get_template("corpus.html")?.render(context! {
        files => Value::from_serialize(&shown),
        verdicts => Value::from_serialize(&verdicts),
        kinds => kinds,
        svg => svg,
    })?;
    let write = |path: &Path| {
        if let Some(folder) = path.parent() {
            std::fs::create_dir_all(folder)?;
        }
        std::fs::write(path, html)
    };
    write(&cli.out).map_err(|error| CorpusError::File {
        path: cli.out.clone(),
        why: error.to_string(),
    })?;
    println!("report: {}", cli.out.display());
    Ok(())
}

fn main() -> ExitCode {
    match report(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("corpus: {error}");
            ExitCode::FAILURE
        }
    }
}
