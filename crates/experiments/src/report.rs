//! The report: one HTML page with its plots in it.

use crate::lines::lines;
use crate::play::{Outcome, Waits};
use crate::plots::{PlotError, plot, svg};
use minijinja::{Environment, Value, context};
use plotters::prelude::*;
use serde::Serialize;
use std::path::Path;
use thiserror::Error;

const TEMPLATE: &str = include_str!("../templates/contention.html");
const SIZE: (u32, u32) = (900, 260);
const COLOURS: [RGBColor; 3] = [
    RGBColor(31, 90, 166),
    RGBColor(214, 110, 30),
    RGBColor(90, 140, 60),
];

#[derive(Debug, Error)]
pub enum ReportError {
    #[error(transparent)]
    Plot(#[from] PlotError),
    #[error("the page cannot be put together: {0}")]
    Page(#[from] minijinja::Error),
    #[error("{0}")]
    Write(#[from] std::io::Error),
}

#[derive(Serialize)]
struct Shown {
    name: &'static str,
    in_use: String,
    oversubscribed: u64,
    unfinished: u64,
    kills: u64,
    stops: u64,
    took_s: String,
    gangs: Waits,
    most_s: f64,
    use_svg: String,
}

#[derive(Serialize)]
struct Row {
    of: String,
    waits: Vec<Waits>,
}

/// Writes the report of these runs, of which the first is ours.
pub fn write(
    path: &Path,
    outcomes: &[Outcome],
    seeds: u64,
    oversubscribed: u64,
    least_use: f64,
) -> Result<(), ReportError> {
    let mut ways = Vec::new();
    for (at, outcome) in outcomes.iter().enumerate() {
        let longest = outcome.waits.iter().map(|waits| waits.most_s);
        ways.push(Shown {
            name: outcome.way.name(),
            in_use: format!("{:.1}", 100.0 * outcome.in_use),
            oversubscribed: outcome.oversubscribed,
            unfinished: outcome.unfinished,
            kills: outcome.kills,
            stops: outcome.stops,
            took_s: format!("{:.0}", outcome.took_s),
            gangs: outcome.gangs.clone(),
            most_s: longest.fold(0.0, f64::max),
            use_svg: use_plot(outcome, COLOURS[at % COLOURS.len()])?,
        });
    }
    let rows = outcomes
        .first()
        .map_or(&[][..], |first| &first.waits)
        .iter()
        .map(|row| Row {
            of: row.of.clone(),
            waits: outcomes
                .iter()
                .flat_map(|outcome| outcome.waits.iter().find(|waits| waits.of == row.of).cloned())
                .collect(),
        });
    let rows: Vec<Row> = rows.collect();
    let mut page = Environment::new();
    page.add_template("contention.html", TEMPLATE)?;
    let tasks: u64 = outcomes
        .first()
        .map_or(0, |first| first.waits.iter().map(|waits| waits.tasks).sum());
    let text = page.get_template("contention.html")?.render(context! {
        units => outcomes.first().map_or(0.0, |first| first.units),
        tasks => tasks,
        ways => Value::from_serialize(&ways),
        rows => Value::from_serialize(&rows),
        seeds => seeds,
        oversubscribed => oversubscribed,
        least_use => format!("{:.1}", 100.0 * least_use),
        waits_svg => waits_plot(outcomes)?,
        again_svg => again_plot(outcomes)?,
    })?;
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder)?;
    }
    Ok(std::fs::write(path, text)?)
}

fn use_plot(outcome: &Outcome, colour: RGBColor) -> Result<String, PlotError> {
    svg(SIZE, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(45)
            .build_cartesian_2d(0.0..outcome.took_s.max(1.0), 0.0..outcome.units * 1.05)
            .map_err(plot)?;
        chart
            .configure_mesh()
            .x_desc("s")
            .y_desc("units")
            .light_line_style(TRANSPARENT)
            .draw()
            .map_err(plot)?;
        let all = outcome
            .series
            .iter()
            .map(|(at, held, lingering)| (*at, held + lingering));
        chart
            .draw_series(LineSeries::new(all, colour.mix(0.35)))
            .map_err(plot)?;
        let held = outcome.series.iter().map(|(at, held, _)| (*at, *held));
        chart.draw_series(LineSeries::new(held, colour)).map_err(plot)?;
        Ok(())
    })
}

fn waits_plot(outcomes: &[Outcome]) -> Result<String, PlotError> {
    let names: Vec<&str> = outcomes
        .first()
        .map_or(&[][..], |first| &first.waits)
        .iter()
        .map(|waits| waits.of.as_str())
        .collect();
    let most = outcomes
        .iter()
        .flat_map(|outcome| &outcome.waits)
        .map(|waits| waits.p95_s)
        .fold(1.0, f64::max);
    svg((SIZE.0, SIZE.1 + 60), |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(55)
            .build_cartesian_2d(0.0..names.len() as f64, 0.0..most * 1.05)
            .map_err(plot)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(2 * names.len() + 1)
            .x_label_formatter(&|at| {
                let half = (at.fract() - 0.5).abs() < 0.01;
                let name = names.get(*at as usize).filter(|_| half);
                name.map_or_else(String::new, |name| (*name).to_owned())
            })
            .y_desc("s")
            .draw()
            .map_err(plot)?;
        for (at, outcome) in outcomes.iter().enumerate() {
            let colour = COLOURS[at % COLOURS.len()];
            let width = 0.8 / outcomes.len() as f64;
            let bars = outcome.waits.iter().enumerate().map(|(row, waits)| {
                let left = row as f64 + 0.1 + width * at as f64;
                Rectangle::new([(left, 0.0), (left + width, waits.p95_s)], colour.filled())
            });
            chart
                .draw_series(bars)
                .map_err(plot)?
                .label(outcome.way.name())
                .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
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

fn again_plot(outcomes: &[Outcome]) -> Result<String, PlotError> {
    let most = outcomes
        .iter()
        .map(|outcome| outcome.again.most_s)
        .fold(11.0, f64::max);
    let drawn = outcomes.iter().enumerate().map(|(at, outcome)| {
        let points = outcome.again_quantiles.to_vec();
        (outcome.way.name(), points, COLOURS[at % COLOURS.len()])
    });
    lines(SIZE, (most, 1.0), None, drawn)
}
