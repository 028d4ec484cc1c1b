//! Benchmark of the dispatch policy: runs the product's [`CellQueue`](crate::CellQueue) against fake engines in virtual
//! time. The same seed always gives the same results. See docs/design/dispatch.md and docs/BENCHMARKS.md.

mod bench_plot;
mod bench_policy;
mod bench_report;
mod bench_scenario;
mod fake_engine;
mod program_plan;
mod simulation;

pub(crate) use self::{
    bench_plot::plot_svg,
    bench_policy::BenchPolicy,
    bench_report::{PolicyReport, ScenarioResult},
    bench_scenario::BenchScenario,
};

use self::simulation::Simulation;

/// Runs one scenario under one policy.
pub(crate) fn run_scenario(scenario: &BenchScenario, policy: BenchPolicy) -> ScenarioResult {
    Simulation::new(scenario, policy).run()
}

/// Runs every scenario of the benchmark under every policy, with programs drawn from `seed`. `progress` receives the
/// name of each run before it starts.
pub(crate) fn run_all_scenarios(seed: u64, progress: impl Fn(&str)) -> PolicyReport {
    let mut report = PolicyReport { seed, ..PolicyReport::default() };

    for scenario in BenchScenario::all(seed) {
        for policy in scenario.policies() {
            progress(&format!("{} under {}", scenario.name, policy.name()));
            report.rows.push(run_scenario(&scenario, policy));
        }
    }

    report
}
