//! Hosts that are killed, frozen, partitioned or restarted and engines that leave, while programs run.

mod support;

use std::{collections::BTreeMap, time::Duration};

use nix::sys::signal::Signal;
use ragwortknot_standins::EngineFaults;
use serde_json::json;
use support::{
    api_caller::turn_body,
    caller_workload::CallerWorkload,
    checker::find_violations,
    test_cluster::{SIX_HOSTS, TestCluster},
};
use tokio::task::JoinSet;

/// Number of programs that run while hosts fail.
const PROGRAM_COUNT: u64 = 24;

/// Number of turns and calls of each program.
const ENTRIES_PER_PROGRAM: u32 = 12;

/// Starts the programs, each in its own task.
fn start_programs(cluster: &TestCluster, entry_count: u32) -> JoinSet<CallerWorkload> {
    let mut programs = JoinSet::new();

    for seed in 0..PROGRAM_COUNT {
        let mut workload = cluster.workload(seed);

        programs.spawn(async move {
            workload.run_program(entry_count).await;
            workload
        });
    }

    programs
}

/// Waits until all programs have run, and checks that none needed too many retries.
async fn finish_programs(programs: JoinSet<CallerWorkload>) {
    for workload in programs.join_all().await {
        assert!(workload.retries < 2_000);
    }
}

async fn assert_no_violations(cluster: &TestCluster) {
    assert_eq!(find_violations(cluster).await, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_two_hosts_and_restart_one() {
    let mut cluster = TestCluster::start("kill_hosts", &SIX_HOSTS).await;
    let programs = start_programs(&cluster, ENTRIES_PER_PROGRAM);
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.kill_host("ub-2");
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.kill_host("dk-1");
    cluster.start_host("ub-2", "ub-a").await;
    cluster.hosts.retain(|host| host.name != "dk-1");
    cluster.wait_for_readiness().await;
    finish_programs(programs).await;
    assert_no_violations(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn freeze_owner_until_takeover() {
    let cluster = TestCluster::start("freeze_owner", &SIX_HOSTS).await;
    let mut workload = cluster.workload(1);
    let program = workload.create_program(200_000).await;
    workload.run_turn(&program, 1).await;
    let name = cluster.owner(&program).await;
    let owner = cluster.host(&name);
    cluster.remove_address(owner.callers);
    owner.signal(Signal::SIGSTOP);

    // Another host takes over the shard and serves the program.
    for number in 2..=5 {
        workload.run_turn(&program, number).await;
    }

    workload.run_call(&program, 6).await;
    owner.signal(Signal::SIGCONT);

    // The resumed host still has the program's state after turn 1. It must answer neither that turn 3 is completed with
    // this content nor that it was not run, since the new owner has run it.
    let stale_response =
        cluster.caller.send_turn(owner.callers, &program, 3, &turn_body("another")).await;
    let stale_response = stale_response.expect("the host should answer");
    assert_ne!(stale_response.outcome, "not_run", "{stale_response:?}");
    assert!(!stale_response.is_completed(), "{stale_response:?}");

    let status =
        cluster.caller.status(owner.callers, &program).await.expect("the host should answer");
    assert_eq!(status.body["next"], json!(7), "{status:?}");
    workload.run_turn(&program, 7).await;
    assert_no_violations(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_links_one_way_and_both_ways() {
    let cluster = TestCluster::start("cut_links", &SIX_HOSTS).await;
    let programs = start_programs(&cluster, ENTRIES_PER_PROGRAM);
    tokio::time::sleep(Duration::from_millis(200)).await;

    // One host receives from all others, and none receives from it.
    for other in cluster.host_names().iter().filter(|name| *name != "er-1") {
        cluster.cut_link("er-1", other);
    }

    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.restore_links();
    tokio::time::sleep(Duration::from_secs(1)).await;

    // One region is partitioned from the others.
    for dk_host in ["dk-1", "dk-2"] {
        for other_host in ["ub-1", "ub-2", "er-1", "er-2"] {
            cluster.cut_link(dk_host, other_host);
            cluster.cut_link(other_host, dk_host);
        }
    }

    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.restore_links();
    finish_programs(programs).await;
    assert_no_violations(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_interrupts_nothing() {
    let mut cluster = TestCluster::start("rolling_restart", &SIX_HOSTS).await;
    let programs = start_programs(&cluster, 60);

    for (name, region) in SIX_HOSTS {
        let callers = cluster.host(name).callers;
        cluster.host(name).signal(Signal::SIGTERM);

        // The load balancer removes the host once its readiness check fails.
        let path = "/readyz";
        let check_readiness =
            || cluster.caller.send_json(callers, hyper::Method::GET, path, &json!(null));
        while check_readiness().await.is_some_and(|response| response.status == 200) {}
        cluster.remove_address(callers);

        let status = cluster.host_mut(name).wait();
        assert!(status.success(), "host {name} exited with {status}");
        cluster.start_host(name, region).await;
        cluster.wait_for_readiness().await;
    }

    finish_programs(programs).await;
    let exchanges =
        cluster.caller.exchanges.lock().expect("the lock should not be poisoned").clone();
    let mut failures: BTreeMap<String, u32> = BTreeMap::new();

    for exchange in &exchanges {
        let outcome =
            exchange.response.as_ref().map_or("broken", |response| response.outcome.as_str());

        if outcome != "completed" {
            let detail = exchange.response.as_ref().map_or("", |response| response.text.as_str());
            *failures.entry(format!("{outcome}: {detail}")).or_default() += 1;
        }
    }

    assert!(
        failures.is_empty(),
        "some of {} requests were not completed: {failures:#?}",
        exchanges.len()
    );
    assert_no_violations(&cluster).await;
}

/// Name of the host that is the dispatcher of a cell, if one is.
async fn dispatcher(cluster: &TestCluster, region: &str, model: &str) -> Option<String> {
    for host in &cluster.hosts {
        let cells = cluster.read_admin(host, "/admin/v1/cells").await;
        let mut cells = cells["cells"].as_array().into_iter().flatten();

        if cells.any(|row| row["cell"]["region"] == region && row["cell"]["model"] == model) {
            return Some(host.name.clone());
        }
    }

    None
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_dispatcher_with_waiting_requests() {
    // One request at a time for each engine, so that requests wait at the dispatchers.
    let narrow_windows = json!({ "upstreams": {
        "engine-ub-a-1": { "window": 1 }, "engine-ub-a-2": { "window": 1 },
        "engine-dk-a-1": { "window": 1 }, "engine-dk-a-2": { "window": 1 },
        "engine-er-a-1": { "window": 1 }, "engine-er-a-2": { "window": 1 },
    } });
    let mut cluster =
        TestCluster::start_with("kill_dispatcher", &SIX_HOSTS, "", narrow_windows).await;
    let programs = start_programs(&cluster, ENTRIES_PER_PROGRAM);

    let name = loop {
        if let Some(name) = dispatcher(&cluster, "ub-a", "agent-llm").await {
            break name;
        }
    };

    cluster.kill_host(&name);
    cluster.hosts.retain(|host| host.name != name);
    finish_programs(programs).await;
    assert_no_violations(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cache_sweep_releases_memory_placed_by_killed_dispatcher() {
    let mut cluster = TestCluster::start("sweep", &SIX_HOSTS).await;
    let mut workload = cluster.workload(1);
    let program = workload.create_program(200_000).await;
    workload.run_turn(&program, 1).await;
    let is_memory_held = |cluster: &TestCluster| {
        cluster.engines.iter().any(|engine| engine.cached_tokens().contains_key(&program))
    };
    assert!(is_memory_held(&cluster));

    // Only the dispatcher that placed the program knows which engine has its prefix cached. All dispatchers are killed.
    for region in ["ub-a", "dk-a", "er-a"] {
        if let Some(name) = dispatcher(&cluster, region, "agent-llm").await {
            cluster.kill_host(&name);
            cluster.hosts.retain(|host| host.name != name);
        }
    }

    // Another turn starts a new dispatcher. Its host sweeps the engines' caches for programs that have ended.
    workload.run_turn(&program, 2).await;
    let host = cluster.hosts[0].callers;
    let path = format!("/v1/programs/{program}");
    let end_response =
        cluster.caller.send_json(host, hyper::Method::DELETE, &path, &json!(null)).await;
    assert!(end_response.is_some_and(|it| it.is_completed()));

    let wait_for_release = async {
        while is_memory_held(&cluster) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(40), wait_for_release)
        .await
        .expect("the engines should release the memory within 40 s");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_at_most_one_request() {
    let cluster = TestCluster::start("leaving_engine", &SIX_HOSTS[..2]).await;
    let mut workload = cluster.workload(1);
    let program = workload.create_program(400_000).await;

    for number in 1..=4 {
        workload.run_turn(&program, number).await;
    }

    for engine in &cluster.engines[..1] {
        let leaving = EngineFaults { leaving: true, ..EngineFaults::default() };
        engine.set_faults(leaving);
    }

    let run_count = cluster.engines[0].runs().len();

    for number in 5..=30 {
        let other_program = workload.create_program(50_000).await;
        workload.run_turn(&other_program, 1).await;
        workload.run_turn(&program, number).await;
    }

    // The first refused request, or a probe before it, shows the dispatcher that the engine is leaving.
    assert!(cluster.engines[0].refusals() <= 1, "{} refusals", cluster.engines[0].refusals());
    assert_eq!(cluster.engines[0].runs().len(), run_count);
    assert_no_violations(&cluster).await;
}
