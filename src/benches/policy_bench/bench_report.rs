//! Figures of the benchmark.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use tabled::builder::Builder;

use super::program_plan::LIGHT_TEAM;
use crate::TeamStatus;

/// Figures of one scenario under one policy.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ScenarioFigures {
    pub(crate) scenario: String,
    pub(crate) policy: String,
    pub(crate) programs: u64,
    /// Latency of whole programs, in milliseconds.
    pub(crate) p50_ms: u64,
    pub(crate) p95_ms: u64,
    pub(crate) mean_ms: u64,
    /// Latency of single turns, in milliseconds.
    pub(crate) turn_p95_ms: u64,
    /// Tokens prefilled again over tokens prefilled, in thousandths.
    pub(crate) waste_permille: u64,
    pub(crate) refusals: u64,
    /// Largest difference in weighted service between two teams that both waited, in tokens.
    pub(crate) service_gap_tokens: u64,
    /// Largest request, prompt and answer together, in tokens.
    pub(crate) largest_request_tokens: u64,
    /// 95th percentile of each team's whole programs, in milliseconds.
    pub(crate) team_p95_ms: BTreeMap<String, u64>,
}

/// Figures of all scenarios.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct PolicyReport {
    /// Seed that the programs were drawn from.
    pub(crate) seed: u64,
    pub(crate) rows: Vec<ScenarioFigures>,
}

impl PolicyReport {
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
                seconds(row.p50_ms),
                seconds(row.p95_ms),
                seconds(row.mean_ms),
                seconds(row.turn_p95_ms),
                format!("{:.3}", row.waste_permille as f64 / 1_000.0),
                row.refusals.to_string(),
                row.service_gap_tokens.to_string(),
                row.team_p95_ms.get(LIGHT_TEAM).map_or_else(String::new, |it| seconds(*it)),
            ]);
        }

        builder.build().with(tabled::settings::Style::markdown()).to_string()
    }
}

fn seconds(ms: u64) -> String {
    format!("{:.1}", ms as f64 / 1_000.0)
}

/// Largest latency that is told apart, in milliseconds.
const LATENCY_LIMIT_MS: u64 = 100_000_000;

/// Digits of latencies that are told apart.
const LATENCY_DIGITS: u8 = 3;

fn latencies() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_LIMIT_MS, LATENCY_DIGITS).expect("the bounds are right")
}

/// Collects figures during a run.
#[derive(Debug)]
pub(super) struct FigureCollector {
    scenario: &'static str,
    policy: &'static str,
    programs: Histogram<u64>,
    turns: Histogram<u64>,
    teams: BTreeMap<&'static str, Histogram<u64>>,
    refusals: u64,
    gap: u64,
    largest_request: u64,
}

impl FigureCollector {
    pub(super) fn new(scenario: &'static str, policy: &'static str) -> Self {
        Self {
            scenario,
            policy,
            programs: latencies(),
            turns: latencies(),
            teams: BTreeMap::new(),
            refusals: 0,
            gap: 0,
            largest_request: 0,
        }
    }

    pub(super) fn program(&mut self, team: &'static str, time_us: u64) {
        let latency = (time_us / 1_000).max(1);
        self.programs.saturating_record(latency);
        self.teams.entry(team).or_insert_with(latencies).saturating_record(latency);
    }

    pub(super) fn request(&mut self, tokens: u64) {
        self.largest_request = self.largest_request.max(tokens);
    }

    pub(super) fn refused(&mut self) {
        self.refusals += 1;
    }

    pub(super) fn turn(&mut self, time_us: u64) {
        self.turns.saturating_record((time_us / 1_000).max(1));
    }

    /// Takes note of the teams that wait in a cell, the least served first.
    pub(super) fn standings(&mut self, standings: &[TeamStatus]) {
        if let (Some(least), Some(most)) = (standings.first(), standings.last()) {
            self.gap = self.gap.max((most.service - least.service) / 1_000);
        }
    }

    pub(super) fn finish(self, prefilled: u64, wasted: u64) -> ScenarioFigures {
        let p95 = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.95);

        ScenarioFigures {
            scenario: self.scenario.to_owned(),
            policy: self.policy.to_owned(),
            programs: self.programs.len(),
            p50_ms: self.programs.value_at_quantile(0.5),
            p95_ms: p95(&self.programs),
            mean_ms: self.programs.mean() as u64,
            turn_p95_ms: p95(&self.turns),
            waste_permille: wasted * 1_000 / prefilled.max(1),
            refusals: self.refusals,
            service_gap_tokens: self.gap,
            largest_request_tokens: self.largest_request,
            team_p95_ms: self
                .teams
                .iter()
                .map(|(team, it)| ((*team).to_owned(), p95(it)))
                .collect(),
        }
    }
}
