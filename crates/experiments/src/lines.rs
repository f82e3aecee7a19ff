//! Plots of one line a way, with names.

use crate::plots::{PlotError, plot, svg};
use plotters::prelude::*;

/// A line for each way, with its name, over seconds from 0 to `most_s` and heights from 0 to `top`.
pub fn lines<'a>(
    size: (u32, u32),
    (most_s, top): (f64, f64),
    height: Option<&str>,
    lines: impl Iterator<Item = (&'a str, Vec<(f64, f64)>, RGBColor)>,
) -> Result<String, PlotError> {
    svg(size, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(45)
            .build_cartesian_2d(0.0..most_s, 0.0..top)
            .map_err(plot)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("s").light_line_style(TRANSPARENT);
        if let Some(height) = height {
            mesh.y_desc(height);
        }
        mesh.draw().map_err(plot)?;
        for (name, points, colour) in lines {
            chart
                .draw_series(LineSeries::new(points, colour))
                .map_err(plot)?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(plot)?;
        Ok(())
    })
}
