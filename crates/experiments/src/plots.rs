//! Plots as SVG text, for the reports.

use plotters::coord::Shift;
use plotters::prelude::*;
use thiserror::Error;

/// A plot cannot be drawn, with the library's reason.
#[derive(Debug, Error)]
#[error("a plot cannot be drawn: {0}")]
pub struct PlotError(String);

pub fn plot<E: std::error::Error + Send + Sync>(error: DrawingAreaErrorKind<E>) -> PlotError {
    PlotError(error.to_string())
}

pub type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A plot of this size as SVG text.
pub fn svg(
    size: (u32, u32),
    draw: impl FnOnce(&Area<'_>) -> Result<(), PlotError>,
) -> Result<String, PlotError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&WHITE).map_err(plot)?;
        draw(&area)?;
        area.present().map_err(plot)?;
    }
    Ok(text)
}
