//! One measured slope.

use serde::Serialize;
use tabled::builder::Builder;

/// Value at one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct SlopePoint {
    pub(super) size: f64,
    pub(super) value: f64,
}

/// A fit `value = base + slope x size` over the measured points.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SlopeRow {
    pub(crate) name: &'static str,
    /// What `size` counts.
    pub(crate) per: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) base: f64,
    pub(crate) slope: f64,
    points: Vec<SlopePoint>,
}

/// All slopes of a run.
#[derive(Debug, Default, Serialize)]
pub(crate) struct SlopeReport {
    pub(crate) rows: Vec<SlopeRow>,
}

impl SlopeRow {
    /// Measures at each size and fits a line through the points by least squares.
    pub(super) fn fit(
        name: &'static str,
        per: &'static str,
        unit: &'static str,
        sizes: [usize; 3],
        measure: impl Fn(usize) -> f64,
    ) -> Self {
        let points: Vec<SlopePoint> = sizes
            .into_iter()
            .map(|size| SlopePoint { size: size as f64, value: measure(size) })
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
    pub(crate) fn table(&self) -> String {
        let mut builder = Builder::default();
        builder.push_record(["slope", "unit", "base", "per size", "size counts", "points"]);

        for row in &self.rows {
            let points: Vec<String> =
                row.points.iter().map(|it| format!("{}: {:.1}", it.size, it.value)).collect();

            builder.push_record([
                row.name.to_owned(),
                row.unit.to_owned(),
                format!("{:.1}", row.base),
                format!("{:.4}", row.slope),
                row.per.to_owned(),
                points.join(", "),
            ]);
        }

        builder.build().with(tabled::settings::Style::markdown()).to_string()
    }
}
