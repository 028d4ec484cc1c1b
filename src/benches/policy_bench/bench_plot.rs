//! Plot of the benchmark's results.

use eyre::{Result, eyre};
use plotters::prelude::*;

use super::PolicyReport;

/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (860, 480);

/// Draws the 95th percentile of the latency of whole programs over the load as SVG, with one line per policy.
/// Scenarios other than the plain loads, and policies that ran at only one load, are left out.
pub(crate) fn plot_svg(report: &PolicyReport) -> Result<String> {
    let mut text = String::new();
    draw(report, &mut text).map_err(|error| eyre!("the plot can't be drawn: {error}"))?;
    Ok(text)
}

/// Line of one policy; each point is a load and a latency in seconds.
struct PolicyLine {
    policy: String,
    points: Vec<(f64, f64)>,
}

fn policy_lines(report: &PolicyReport) -> Vec<PolicyLine> {
    let mut lines: Vec<PolicyLine> = Vec::new();

    for row in &report.rows {
        let Some(load) = row.scenario.strip_prefix("load ").and_then(|it| it.parse().ok()) else {
            continue;
        };

        let point = (load, row.p95_ms as f64 / 1_000.0);

        match lines.iter_mut().find(|line| line.policy == row.policy) {
            Some(line) => line.points.push(point),
            None => lines.push(PolicyLine { policy: row.policy.clone(), points: vec![point] }),
        }
    }

    lines.retain(|line| line.points.len() > 1);
    lines
}

fn draw(report: &PolicyReport, text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let lines = policy_lines(report);
    let max_seconds = lines.iter().flat_map(|it| &it.points).map(|it| it.1).fold(1.0, f64::max);
    let area = SVGBackend::with_string(text, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;

    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.45..1.15, 0.0..max_seconds * 1.05)?;

    chart.configure_mesh().x_desc("load").y_desc("p95 of whole programs, s").draw()?;

    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(line.points.clone(), color.stroke_width(2));

        chart
            .draw_series(series)?
            .label(line.policy.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }

    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    drop(chart);
    Ok(())
}
