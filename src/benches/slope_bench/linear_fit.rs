//! Linear fits of measured costs, and their report.

use serde::Serialize;
use tabled::builder::Builder;

/// Measured value at one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct FitPoint {
    pub(super) size: f64,
    pub(super) value: f64,
}

/// Line `value = base + slope * size` through the measured points, by least squares.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LinearFit {
    pub(crate) name: &'static str,
    /// Quantity that `size` counts.
    pub(crate) per: &'static str,
    /// Unit of the values.
    pub(crate) unit: &'static str,
    pub(crate) base: f64,
    pub(crate) slope: f64,
    points: Vec<FitPoint>,
}

/// All fits of one run.
#[derive(Debug, Default, Serialize)]
pub(crate) struct SlopeReport {
    pub(crate) rows: Vec<LinearFit>,
}

impl LinearFit {
    /// Calls `measure_value` for each size and fits a line to the results.
    pub(super) fn measure(
        name: &'static str,
        per: &'static str,
        unit: &'static str,
        sizes: [usize; 3],
        measure_value: impl Fn(usize) -> f64,
    ) -> Self {
        let points: Vec<FitPoint> = sizes
            .into_iter()
            .map(|size| FitPoint { size: size as f64, value: measure_value(size) })
            .collect();

        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;

        let covariance: f64 =
            points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();

        let variance: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        let slope = covariance / variance;
        Self { name, per, unit, base: mean_value - slope * mean_size, slope, points }
    }
}

impl SlopeReport {
    /// Formats the report as a Markdown table.
    pub(crate) fn table(&self) -> String {
        let mut builder = Builder::default();
        builder.push_record(["slope", "unit", "base", "per size", "size counts", "points"]);

        for fit in &self.rows {
            let points: Vec<String> =
                fit.points.iter().map(|it| format!("{}: {:.1}", it.size, it.value)).collect();

            builder.push_record([
                fit.name.to_owned(),
                fit.unit.to_owned(),
                format!("{:.1}", fit.base),
                format!("{:.4}", fit.slope),
                fit.per.to_owned(),
                points.join(", "),
            ]);
        }

        builder.build().with(tabled::settings::Style::markdown()).to_string()
    }
}
