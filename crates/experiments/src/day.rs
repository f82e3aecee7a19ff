//! The story of a day of the bench, from its log and its report, as one HTML page: who led when,
//! how long nobody did, when something was placed again, which machines came and went, which
//! tasks were lost and by what, which requests were told to come back.
#![forbid(unsafe_code)]

mod plots;

use clap::Parser;
use minijinja::{Environment, Value, context};
use plots::{PlotError, plot, svg};
use plotters::prelude::*;
use regex::Regex;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

const TEMPLATE: &str = include_str!("../templates/day.html");

/// Longest day, in s, of which a page is written: it is drawn second by second.
const LONGEST_S: f64 = 100_000.0;

/// How far, in s, a fault may strike from the time that the site's file gives.
const FAULT_OFF_S: f64 = 2.0;

/// Tells the story of a day that the bench played
#[derive(Parser)]
#[command(name = "day")]
struct Cli {
    /// What `fleetbench run … --log info` printed
    log: PathBuf,
    /// What its `--report` wrote
    report: PathBuf,
    /// The site's file, for how long each fault lasts
    #[arg(long)]
    site: Option<PathBuf>,
    /// Where the page goes
    #[arg(long, default_value = "target/day.html")]
    out: PathBuf,
}

#[derive(Debug, Error)]
enum DayError {
    #[error("{}: {why}", path.display())]
    File { path: PathBuf, why: String },
    #[error(transparent)]
    Plot(#[from] PlotError),
    #[error("the page cannot be put together: {0}")]
    Page(#[from] minijinja::Error),
    #[error(transparent)]
    Pattern(#[from] regex::Error),
}

fn file<E: std::fmt::Display>(path: &Path) -> impl Fn(E) -> DayError {
    move |why| DayError::File {
        path: path.to_owned(),
        why: why.to_string(),
    }
}

// ---- what the bench wrote ----------------------------------------------------

#[derive(Deserialize)]
struct Report {
    scenario: String,
    seed: u64,
    duration_s: f64,
    machines: u32,
    #[serde(default)]
    events: Vec<Struck>,
    #[serde(default)]
    windows: Vec<Window>,
    #[serde(default)]
    targets: Vec<Aim>,
    #[serde(default)]
    classes: BTreeMap<String, Class>,
}

#[derive(Deserialize)]
struct Struck {
    at_s: f64,
    what: String,
}

#[derive(Deserialize)]
struct Window {
    at_s: f64,
    machines: f64,
    booting: f64,
    gpus: f64,
    waiting_jobs: f64,
}

#[derive(Deserialize, Serialize)]
struct Aim {
    kind: String,
    #[serde(default)]
    class: Option<String>,
    #[serde(default)]
    value: f64,
    #[serde(default)]
    met: bool,
}

#[derive(Deserialize, Serialize)]
struct Class {
    jobs: u64,
    accepted: u64,
    started: u64,
    done: u64,
}

#[derive(Deserialize)]
struct Site {
    #[serde(default)]
    day: Vec<SiteDay>,
}

#[derive(Deserialize)]
struct SiteDay {
    name: String,
    #[serde(default)]
    faults: Vec<SiteFault>,
}

#[derive(Deserialize)]
struct SiteFault {
    at_s: f64,
    #[serde(default)]
    for_s: f64,
}

// ---- the story ---------------------------------------------------------------

#[derive(Serialize)]
struct Fault {
    from_s: f64,
    to_s: f64,
    what: String,
}

#[derive(Serialize, Default)]
struct Leader {
    node: String,
    token: u64,
    from_s: f64,
    to_s: f64,
    /// For how long nobody had led before it.
    gap_s: f64,
    /// From the end of the one before to its first placement.
    placed_after_s: Option<f64>,
    ended: String,
}

#[derive(Default)]
struct Story {
    leaders: Vec<Leader>,
    /// By second.
    rented: BTreeMap<u64, u64>,
    returned: BTreeMap<u64, u64>,
    lost: BTreeMap<u64, u64>,
    refused: BTreeMap<u64, u64>,
    machines: BTreeMap<String, u64>,
    tasks: BTreeMap<String, u64>,
    refusals: BTreeMap<String, u64>,
    warnings: Vec<(f64, String)>,
}

/// What is looked for in the log's lines.
struct Patterns {
    line: Regex,
    leads: Regex,
    ends: Regex,
    rents: Regex,
    returns: Regex,
    gone: Regex,
    lapsed: Regex,
    refused: Regex,
}

impl Patterns {
    fn new() -> Result<Patterns, regex::Error> {
        Ok(Patterns {
            line: Regex::new(r"^\s*([0-9.]+) (\S+) \S+ (\w+) member=\S+ (?:token=(\d+) )?(.*)$")?,
            leads: Regex::new(r"^leader elected token=(\d+)")?,
            ends: Regex::new(r"^leader deposed token=\d+: (.*)$")?,
            rents: Regex::new(r"^scale-out requested count=(\d+) ")?,
            returns: Regex::new(r"^scale-in requested machine=(\S+): (.*)$")?,
            gone: Regex::new(r"^machine released machine=(\S+) tasks_lost=(\d+)")?,
            lapsed: Regex::new(r"^lease expired machine=\S+ tasks_lost=(\d+)")?,
            refused: Regex::new(r"^requests rejected count=(\d+) most=\d+ reason=(.*)$")?,
        })
    }
}

fn number(text: Option<regex::Match<'_>>) -> u64 {
    text.and_then(|found| found.as_str().parse().ok()).unwrap_or(0)
}

impl Story {
    fn read(log: &str, events: &[Struck], ends_s: f64) -> Result<Story, regex::Error> {
        let patterns = Patterns::new()?;
        let mut story = Story::default();
        let mut silent: BTreeSet<String> = BTreeSet::new();
        let mut first: BTreeMap<u64, f64> = BTreeMap::new();
        let mut gave_up: Vec<(f64, String, String)> = Vec::new();
        for line in log.lines() {
            let Some(found) = patterns.line.captures(line) else {
                continue;
            };
            let at_s: f64 = found[1].parse().unwrap_or(0.0);
            let (node, text, second) = (&found[2], &found[5], at_s as u64);
            if let Some(lead) = patterns.leads.captures(text) {
                story.leaders.push(Leader {
                    node: node.to_owned(),
                    token: number(lead.get(1)),
                    from_s: at_s,
                    ..Leader::default()
                });
            } else if let Some(end) = patterns.ends.captures(text) {
                gave_up.push((at_s, node.to_owned(), end[1].to_owned()));
            } else if text.starts_with("first task placed") {
                first.insert(number(found.get(4)), at_s);
            } else if let Some(rent) = patterns.rents.captures(text) {
                *story.rented.entry(second).or_default() += number(rent.get(1));
                *story.machines.entry("rented".to_owned()).or_default() += number(rent.get(1));
            } else if let Some(back) = patterns.returns.captures(text) {
                let why = back[2].to_owned();
                if why.contains("silent") {
                    silent.insert(back[1].to_owned());
                    *story.lost.entry(second).or_default() += 1;
                } else {
                    *story.returned.entry(second).or_default() += 1;
                }
                *story.machines.entry(format!("given back: {why}")).or_default() += 1;
            } else if let Some(gone) = patterns.gone.captures(text) {
                let what = if silent.contains(&gone[1]) {
                    "a silent machine was given back"
                } else {
                    "a machine was given back for another reason"
                };
                *story.tasks.entry(what.to_owned()).or_default() += number(gone.get(2));
            } else if let Some(lapsed) = patterns.lapsed.captures(text) {
                let what = "a machine's lease ran out".to_owned();
                *story.tasks.entry(what).or_default() += number(lapsed.get(1));
            } else if let Some(refused) = patterns.refused.captures(text) {
                *story.refused.entry(second).or_default() += number(refused.get(1));
                *story.refusals.entry(refused[2].to_owned()).or_default() += number(refused.get(1));
            } else if &found[3] == "warn" {
                story.warnings.push((at_s, text.to_owned()));
            }
        }
        story.end_terms(&first, &gave_up, events, ends_s);
        Ok(story)
    }

    /// A term ends with a crash, or where its leader says so, or where the next begins.
    fn end_terms(
        &mut self,
        first: &BTreeMap<u64, f64>,
        gave_up: &[(f64, String, String)],
        events: &[Struck],
        ends_s: f64,
    ) {
        self.leaders.sort_by(|a, b| a.from_s.total_cmp(&b.from_s));
        let starts: Vec<f64> = self.leaders.iter().map(|leader| leader.from_s).collect();
        let mut before_s = None;
        for (at, leader) in self.leaders.iter_mut().enumerate() {
            let crash = format!("{} crashes", leader.node);
            let crashes = events
                .iter()
                .filter(|event| event.what == crash && event.at_s > leader.from_s)
                .map(|event| (event.at_s, "crashed".to_owned()));
            let quits = gave_up
                .iter()
                .filter(|(at_s, node, _)| *node == leader.node && *at_s > leader.from_s)
                .map(|(at_s, _, why)| (*at_s, why.clone()));
            let next = starts.get(at + 1).map(|at_s| (*at_s, "another leads".to_owned()));
            let ends = crashes.chain(quits).chain(next);
            let (to_s, ended) = ends
                .min_by(|a, b| a.0.total_cmp(&b.0))
                .unwrap_or((ends_s, "the day's end".to_owned()));
            leader.to_s = to_s;
            leader.ended = ended;
            leader.gap_s = leader.from_s - before_s.unwrap_or(0.0);
            leader.placed_after_s = first
                .get(&leader.token)
                .map(|placed_s| placed_s - before_s.unwrap_or(0.0));
            before_s = Some(to_s);
        }
    }

    /// Median and longest time from a leader's end to the next placement.
    fn placed_again(&self) -> Option<(f64, f64)> {
        let mut times: Vec<f64> = self
            .leaders
            .iter()
            .skip(1)
            .filter_map(|leader| leader.placed_after_s)
            .collect();
        times.sort_by(f64::total_cmp);
        Some((*times.get(times.len() / 2)?, *times.last()?))
    }
}

fn faults(report: &Report, site: Option<&Site>) -> Vec<Fault> {
    let day = site.and_then(|site| site.day.iter().find(|day| day.name == report.scenario));
    let lasts = |at_s: f64| {
        let near = day
            .iter()
            .flat_map(|day| &day.faults)
            .filter(|fault| (fault.at_s - at_s).abs() < FAULT_OFF_S)
            .min_by(|a, b| (a.at_s - at_s).abs().total_cmp(&(b.at_s - at_s).abs()));
        near.map_or(0.0, |fault| fault.for_s)
    };
    let bands = report.events.iter().map(|event| Fault {
        from_s: event.at_s,
        to_s: event.at_s + lasts(event.at_s),
        what: event.what.clone(),
    });
    bands.collect()
}

// ---- plots -------------------------------------------------------------------

type Curve = (&'static str, RGBColor, Vec<(f64, f64)>);

fn by_second(counts: &BTreeMap<u64, u64>, until_s: f64) -> Vec<(f64, f64)> {
    (0..until_s as u64)
        .map(|second| (second as f64, counts.get(&second).copied().unwrap_or(0) as f64))
        .collect()
}

/// Faults as bands, up to this height.
fn bands(faults: &[Fault], until_s: f64, top: f64) -> impl Iterator<Item = Rectangle<(f64, f64)>> {
    faults.iter().map(move |fault| {
        // What lasts for a moment is to be seen all the same.
        let to_s = fault.to_s.max(fault.from_s + until_s / 400.0);
        Rectangle::new(
            [(fault.from_s, 0.0), (to_s.min(until_s), top)],
            RED.mix(0.12).filled(),
        )
    })
}

/// Curves over the day, with faults as bands behind them.
fn curves(height: u32, until_s: f64, faults: &[Fault], curves: &[Curve]) -> Result<String, PlotError> {
    let most = curves
        .iter()
        .flat_map(|(_, _, points)| points)
        .map(|(_, value)| *value)
        .fold(1.0, f64::max);
    svg((1000, height), |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..until_s, 0.0..most * 1.05)
            .map_err(plot)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .draw()
            .map_err(plot)?;
        let bands = bands(faults, until_s, most * 1.05);
        chart.draw_series(bands).map_err(plot)?;
        for (name, colour, points) in curves {
            let colour = *colour;
            chart
                .draw_series(LineSeries::new(points.iter().copied(), &colour))
                .map_err(plot)?
                .label(*name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(plot)?;
        Ok(())
    })
}

/// Who led when, a row a node.
fn led(until_s: f64, faults: &[Fault], leaders: &[Leader]) -> Result<String, PlotError> {
    let nodes: Vec<&str> = leaders
        .iter()
        .map(|leader| leader.node.as_str())
        .collect::<BTreeSet<_>>()
        .into_iter()
        .collect();
    let rows = nodes.len().max(1) as f64;
    let height = 60 + 26 * nodes.len() as u32;
    svg((1000, height), |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..until_s, 0.0..rows)
            .map_err(plot)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .y_labels(0)
            .draw()
            .map_err(plot)?;
        chart.draw_series(bands(faults, until_s, rows)).map_err(plot)?;
        let row = |leader: &Leader| nodes.iter().position(|node| *node == leader.node).unwrap_or(0) as f64;
        let terms = leaders.iter().map(|leader| {
            let row = row(leader);
            Rectangle::new(
                [(leader.from_s, row + 0.2), (leader.to_s, row + 0.8)],
                RGBColor(31, 90, 166).filled(),
            )
        });
        chart.draw_series(terms).map_err(plot)?;
        let names = nodes.iter().enumerate().map(|(at, node)| {
            Text::new(
                (*node).to_owned(),
                (until_s * 0.002, at as f64 + 0.65),
                ("sans-serif", 12),
            )
        });
        chart.draw_series(names).map_err(plot)?;
        Ok(())
    })
}

fn page(cli: &Cli) -> Result<(), DayError> {
    let read = |path: &Path| std::fs::read_to_string(path).map_err(file(path));
    let report: Report = serde_json::from_str(&read(&cli.report)?).map_err(file(&cli.report))?;
    let site: Option<Site> = match &cli.site {
        Some(path) => Some(toml::from_str(&read(path)?).map_err(file(path))?),
        None => None,
    };
    let until_s = report.duration_s;
    if !(1.0..=LONGEST_S).contains(&until_s) {
        let why = format!("duration_s is {until_s}, not 1 to {LONGEST_S}");
        return Err(file(&cli.report)(why));
    }
    let story = Story::read(&read(&cli.log)?, &report.events, until_s)?;
    let faults = faults(&report, site.as_ref());
    let window = |of: fn(&Window) -> f64| -> Vec<(f64, f64)> {
        report
            .windows
            .iter()
            .map(|window| (window.at_s, of(window)))
            .collect()
    };
    let fleet = [
        (
            "machines up",
            RGBColor(31, 90, 166),
            window(|window| window.machines),
        ),
        ("booting", RGBColor(214, 110, 30), window(|window| window.booting)),
        (
            "jobs that wait",
            RGBColor(160, 32, 32),
            window(|window| window.waiting_jobs),
        ),
    ];
    let gpus = [("GPUs in use", RGBColor(90, 140, 60), window(|window| window.gpus))];
    let came = [
        ("rented", RGBColor(31, 90, 166), by_second(&story.rented, until_s)),
        (
            "given back",
            RGBColor(90, 140, 60),
            by_second(&story.returned, until_s),
        ),
        (
            "silent, given back",
            RGBColor(160, 32, 32),
            by_second(&story.lost, until_s),
        ),
    ];
    let refused = [(
        "told to come back",
        RGBColor(160, 32, 32),
        by_second(&story.refused, until_s),
    )];
    let mut environment = Environment::new();
    environment.add_template("day.html", TEMPLATE)?;
    let text = environment.get_template("day.html")?.render(context! {
        scenario => report.scenario,
        seed => report.seed,
        most_machines => report.machines,
        aims => Value::from_serialize(&report.targets),
        classes => Value::from_serialize(&report.classes),
        faults => Value::from_serialize(&faults),
        leaders => Value::from_serialize(&story.leaders),
        placed_again => story.placed_again().map(|(median, most)| format!("{median:.2} s in the median, {most:.2} s at most")),
        machines => Value::from_serialize(&story.machines),
        tasks => Value::from_serialize(&story.tasks),
        refusals => Value::from_serialize(&story.refusals),
        warnings => Value::from_serialize(&story.warnings),
        led_svg => led(until_s, &faults, &story.leaders)?,
        fleet_svg => curves(260, until_s, &faults, &fleet)?,
        gpus_svg => curves(180, until_s, &faults, &gpus)?,
        came_svg => curves(220, until_s, &faults, &came)?,
        refused_svg => curves(180, until_s, &faults, &refused)?,
    })?;
    if let Some(folder) = cli.out.parent() {
        std::fs::create_dir_all(folder).map_err(file(folder))?;
    }
    std::fs::write(&cli.out, text).map_err(file(&cli.out))?;
    println!("{}", cli.out.display());
    Ok(())
}

fn main() -> ExitCode {
    match page(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("day: {error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
#[path = "day/tests.rs"]
mod tests;
