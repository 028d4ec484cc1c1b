//! Regression bounds on the results of the policy benchmark, taken from the policy's targets. The benchmark runs in
//! virtual time, so its results don't depend on the machine.

use crate::benches::policy_bench::{BenchPolicy, BenchScenario, ScenarioResult, run_scenario};

/// Seed of the results in docs/BENCHMARKS.md.
const SEED: u64 = 1;

fn find_scenario(name: &str) -> BenchScenario {
    BenchScenario::all(SEED)
        .into_iter()
        .find(|it| it.name == name)
        .expect("a scenario with this name")
}

fn run(name: &str, policy: BenchPolicy) -> ScenarioResult {
    run_scenario(&find_scenario(name), policy)
}

#[test]
fn run_scenario_at_load_0_9_beats_baselines() {
    let ragwortknot = run("load 0.9", BenchPolicy::ragwortknot());
    let least_loaded = run("load 0.9", BenchPolicy::LeastLoadedFifo);
    let sticky = run("load 0.9", BenchPolicy::StickyFifo);
    assert!(ragwortknot.p95_ms * 2 <= least_loaded.p95_ms, "{ragwortknot:?}\n{least_loaded:?}");
    assert!(ragwortknot.p95_ms < sticky.p95_ms, "{ragwortknot:?}\n{sticky:?}");
    assert!(
        ragwortknot.waste_permille * 4 <= least_loaded.waste_permille,
        "{ragwortknot:?}\n{least_loaded:?}"
    );
    assert!(
        ragwortknot.waste_permille * 10 <= sticky.waste_permille * 11,
        "{ragwortknot:?}\n{sticky:?}"
    );
}

#[test]
fn run_scenario_limits_service_gap_between_waiting_teams() {
    let ragwortknot = run("load 0.9", BenchPolicy::ragwortknot());
    assert!(
        ragwortknot.service_gap_tokens <= 2 * ragwortknot.largest_request_tokens,
        "{ragwortknot:?}"
    );
}

#[test]
fn run_scenario_limits_slowdown_beside_greedy_team() {
    let alone = run("light team alone", BenchPolicy::ragwortknot());
    let beside = run("light team beside a greedy one", BenchPolicy::ragwortknot());
    let (alone, beside) = (alone.team_p95_ms["light"], beside.team_p95_ms["light"]);
    assert!(beside * 10 <= alone * 13, "{beside} ms beside the greedy team, {alone} ms alone");
}

#[test]
fn run_scenario_gives_same_result_every_run() {
    let policy = BenchPolicy::ragwortknot();
    assert_eq!(run("light team alone", policy), run("light team alone", policy));
}
