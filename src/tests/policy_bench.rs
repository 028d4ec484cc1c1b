//! Regression bounds of the policy, taken from its targets. The runs are in virtual time, so the verdict is always the
//! same.

use crate::benches::policy_bench::{BenchPolicy, BenchScenario, ScenarioFigures, run_scenario};

/// Seed of the figures in docs/BENCHMARKS.md.
const SEED: u64 = 1;

fn scenario(name: &str) -> BenchScenario {
    BenchScenario::all(SEED)
        .into_iter()
        .find(|it| it.name == name)
        .expect("a scenario of this name")
}

fn run(name: &str, policy: BenchPolicy) -> ScenarioFigures {
    run_scenario(&scenario(name), policy)
}

#[test]
fn programs_at_load_0_9_beat_baselines() {
    let own = run("load 0.9", BenchPolicy::ragwortknot());
    let least_loaded = run("load 0.9", BenchPolicy::LeastLoadedFifo);
    let sticky = run("load 0.9", BenchPolicy::StickyFifo);
    assert!(own.p95_ms * 2 <= least_loaded.p95_ms, "{own:?}\n{least_loaded:?}");
    assert!(own.p95_ms < sticky.p95_ms, "{own:?}\n{sticky:?}");
    assert!(own.waste_permille * 4 <= least_loaded.waste_permille, "{own:?}\n{least_loaded:?}");
    assert!(own.waste_permille * 10 <= sticky.waste_permille * 11, "{own:?}\n{sticky:?}");
}

#[test]
fn teams_that_wait_are_served_alike() {
    let own = run("load 0.9", BenchPolicy::ragwortknot());
    assert!(own.service_gap_tokens <= 2 * own.largest_request_tokens, "{own:?}");
}

#[test]
fn light_team_beside_a_greedy_one() {
    let alone = run("light team alone", BenchPolicy::ragwortknot());
    let beside = run("light team beside a greedy one", BenchPolicy::ragwortknot());
    let (alone, beside) = (alone.team_p95_ms["light"], beside.team_p95_ms["light"]);
    assert!(beside * 10 <= alone * 13, "{beside} ms beside the greedy team, {alone} ms alone");
}

#[test]
fn figures_are_the_same_every_run() {
    let policy = BenchPolicy::ragwortknot();
    assert_eq!(run("light team alone", policy), run("light team alone", policy));
}
