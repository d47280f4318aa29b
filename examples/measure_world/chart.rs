//! Chart of the 95th percentile of the latency over the run.

use std::path::Path;

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, GREEN, IntoDrawingArea as _, LineSeries, PathElement, RED, RGBColor,
    SVGBackend, WHITE,
};

use super::drive::RunResult;
use super::outcome::Outcome;

/// Time of one point in seconds.
const POINT_S: f64 = 1.0;
/// Size of the chart.
const SIZE: (u32, u32) = (960, 480);

/// Writes the chart.
///
/// # Errors
/// When the file cannot be written.
pub fn write(run: &RunResult, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let series: Vec<_> = run.outcomes.iter().map(|outcomes| points(outcomes)).collect();
    let all = || series.iter().flatten();
    let longest = all().map(|(time, _)| *time).fold(1.0, f64::max);
    let highest = all().map(|(_, value)| *value).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let caption = format!("{}: p95 of answered requests in ms", run.shape.name);
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..longest, 0.0..highest)?;
    chart.configure_mesh().x_desc("s").y_desc("ms").draw()?;
    let colours = [BLUE, RED, GREEN, RGBColor(150, 110, 0)];
    for ((points, name), colour) in series.into_iter().zip(run.names()).zip(colours) {
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}

/// 95th percentile of the requests sent in each interval.
fn points(outcomes: &[Outcome]) -> Vec<(f64, f64)> {
    let mut intervals: std::collections::BTreeMap<u64, Vec<f64>> = Default::default();
    for outcome in outcomes.iter().filter(|outcome| outcome.answered()) {
        let interval = (outcome.sent_at.as_secs_f64() / POINT_S) as u64;
        intervals.entry(interval).or_default().push(outcome.latency.as_secs_f64() * 1_000.0);
    }
    let quantile = |mut times: Vec<f64>| {
        times.sort_by(f64::total_cmp);
        times[(times.len() - 1) * 95 / 100]
    };
    intervals.into_iter().map(|(at, times)| (at as f64 * POINT_S, quantile(times))).collect()
}
