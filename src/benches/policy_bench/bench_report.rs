//! Results of the benchmark: their collection and their report.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tabled::builder::Builder;

use super::program_plan::LIGHT_TEAM;
use crate::TeamStatus;

/// Result of one scenario under one policy.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ScenarioResult {
    pub(crate) scenario: String,
    pub(crate) policy: String,
    /// Number of completed programs, without sub-agents.
    pub(crate) programs: u64,
    /// Latency of whole programs from arrival to the end of their last turn, in milliseconds.
    pub(crate) p50_ms: u64,
    pub(crate) p95_ms: u64,
    pub(crate) mean_ms: u64,
    /// Latency of single turns from arrival to the end of the answer, in milliseconds.
    pub(crate) turn_p95_ms: u64,
    /// Share of the prefilled tokens that an earlier turn had already prefilled or generated, in thousandths.
    pub(crate) waste_permille: u64,
    /// Number of refusals by the queue; each refused request is submitted again later.
    pub(crate) refusals: u64,
    /// Largest difference in weighted service between two teams that waited at the same time, in tokens.
    pub(crate) service_gap_tokens: u64,
    /// Size of the largest request, prompt and answer together, in tokens.
    pub(crate) largest_request_tokens: u64,
    /// 95th percentile of the latency of whole programs for each team, in milliseconds.
    pub(crate) team_p95_ms: BTreeMap<String, u64>,
}

/// Results of all scenarios.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct PolicyReport {
    /// Seed from which the programs were drawn.
    pub(crate) seed: u64,
    pub(crate) rows: Vec<ScenarioResult>,
}

impl PolicyReport {
    /// Formats the report as a Markdown table.
    pub(crate) fn table(&self) -> String {
        let mut builder = Builder::default();

        builder.push_record([
            "scenario",
            "policy",
            "programs",
            "p50 s",
            "p95 s",
            "mean s",
            "turn p95 s",
            "waste",
            "refusals",
            "gap tokens",
            "light p95 s",
        ]);

        for row in &self.rows {
            builder.push_record([
                row.scenario.clone(),
                row.policy.clone(),
                row.programs.to_string(),
                format_seconds(row.p50_ms),
                format_seconds(row.p95_ms),
                format_seconds(row.mean_ms),
                format_seconds(row.turn_p95_ms),
                format!("{:.3}", row.waste_permille as f64 / 1_000.0),
                row.refusals.to_string(),
                row.service_gap_tokens.to_string(),
                row.team_p95_ms.get(LIGHT_TEAM).map_or_else(String::new, |it| format_seconds(*it)),
            ]);
        }

        builder.build().with(tabled::settings::Style::markdown()).to_string()
    }
}

fn format_seconds(ms: u64) -> String {
    format!("{:.1}", ms as f64 / 1_000.0)
}

/// Upper bound of the latency histograms, in milliseconds; longer latencies count as this value.
const MAX_LATENCY_MS: u64 = 100_000_000;

/// Significant decimal digits of the latency histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
        .expect("valid histogram bounds")
}

/// Collects the measurements of one run, in virtual time.
#[derive(Debug)]
pub(super) struct ResultCollector {
    scenario: &'static str,
    policy: &'static str,
    programs: Histogram<u64>,
    turns: Histogram<u64>,
    teams: BTreeMap<&'static str, Histogram<u64>>,
    refusals: u64,
    max_service_gap_tokens: u64,
    max_request_tokens: u64,
}

impl ResultCollector {
    pub(super) fn new(scenario: &'static str, policy: &'static str) -> Self {
        Self {
            scenario,
            policy,
            programs: latency_histogram(),
            turns: latency_histogram(),
            teams: BTreeMap::new(),
            refusals: 0,
            max_service_gap_tokens: 0,
            max_request_tokens: 0,
        }
    }

    pub(super) fn record_program(&mut self, team: &'static str, latency_us: u64) {
        let millis = (latency_us / 1_000).max(1);
        self.programs.saturating_record(millis);
        self.teams.entry(team).or_insert_with(latency_histogram).saturating_record(millis);
    }

    pub(super) fn record_request(&mut self, tokens: u64) {
        self.max_request_tokens = self.max_request_tokens.max(tokens);
    }

    pub(super) fn record_refusal(&mut self) {
        self.refusals += 1;
    }

    pub(super) fn record_turn(&mut self, latency_us: u64) {
        self.turns.saturating_record((latency_us / 1_000).max(1));
    }

    /// Records the difference in service between the teams that wait in a cell; `statuses` begins with the least
    /// served one.
    pub(super) fn record_service_gap(&mut self, statuses: &[TeamStatus]) {
        if let (Some(least), Some(most)) = (statuses.first(), statuses.last()) {
            self.max_service_gap_tokens =
                self.max_service_gap_tokens.max((most.service - least.service) / 1_000);
        }
    }

    /// Computes the result of the run. `wasted_tokens` is the part of `prefilled_tokens` that an earlier turn had
    /// already prefilled or generated.
    pub(super) fn finish(self, prefilled_tokens: u64, wasted_tokens: u64) -> ScenarioResult {
        let p95 = |latencies: &Histogram<u64>| latencies.value_at_quantile(0.95);

        ScenarioResult {
            scenario: self.scenario.to_owned(),
            policy: self.policy.to_owned(),
            programs: self.programs.len(),
            p50_ms: self.programs.value_at_quantile(0.5),
            p95_ms: p95(&self.programs),
            mean_ms: self.programs.mean() as u64,
            turn_p95_ms: p95(&self.turns),
            waste_permille: wasted_tokens * 1_000 / prefilled_tokens.max(1),
            refusals: self.refusals,
            service_gap_tokens: self.max_service_gap_tokens,
            largest_request_tokens: self.max_request_tokens,
            team_p95_ms: self
                .teams
                .iter()
                .map(|(team, latencies)| ((*team).to_owned(), p95(latencies)))
                .collect(),
        }
    }
}
