//! Hosts that die, freeze, are cut off and are restarted, while callers go on.

mod support;

use std::{collections::BTreeMap, time::Duration};

use nix::sys::signal::Signal;
use ragwortknot_standins::EngineFaults;
use serde_json::json;
use support::{
    api_caller::turn_body,
    caller_workload::CallerWorkload,
    checker::check,
    test_cluster::{SIX_HOSTS, TestCluster},
};
use tokio::task::JoinSet;

/// Programs that run while hosts fail.
const PROGRAMS: u64 = 24;

/// Turns and calls of each.
const NUMBERS: u32 = 12;

fn start_programs(cluster: &TestCluster, numbers: u32) -> JoinSet<CallerWorkload> {
    let mut programs = JoinSet::new();

    for seed in 0..PROGRAMS {
        let mut workload = cluster.workload(seed);

        programs.spawn(async move {
            workload.run_program(numbers).await;
            workload
        });
    }

    programs
}

async fn finish(programs: JoinSet<CallerWorkload>) {
    for workload in programs.join_all().await {
        assert!(workload.retries < 2_000);
    }
}

async fn assert_whole(cluster: &TestCluster) {
    assert_eq!(check(cluster).await, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_two_hosts_and_restart_one() {
    let mut cluster = TestCluster::start("kill_hosts", &SIX_HOSTS).await;
    let programs = start_programs(&cluster, NUMBERS);
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.kill_host("ub-2");
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.kill_host("dk-1");
    cluster.start_host("ub-2", "ub-a").await;
    cluster.hosts.retain(|host| host.name != "dk-1");
    cluster.wait_ready().await;
    finish(programs).await;
    assert_whole(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn freeze_owner_past_its_shards() {
    let cluster = TestCluster::start("freeze_owner", &SIX_HOSTS).await;
    let mut workload = cluster.workload(1);
    let program = workload.create_program(200_000).await;
    workload.run_turn(&program, 1).await;
    let name = cluster.owner(&program).await;
    let owner = cluster.host(&name);
    cluster.remove_address(owner.callers);
    owner.signal(Signal::SIGSTOP);

    // The rest of the hosts take the shard over and go on.
    for number in 2..=5 {
        workload.run_turn(&program, number).await;
    }

    workload.run_call(&program, 6).await;
    owner.signal(Signal::SIGCONT);

    // The host that wakes still thinks that the program is at its first turn.
    let late = cluster.caller.send_turn(owner.callers, &program, 3, &turn_body("another")).await;
    let late = late.expect("an answer");
    assert_ne!(late.outcome, "not_run", "{late:?}");
    assert!(!late.is_completed(), "{late:?}");

    let status = cluster.caller.status(owner.callers, &program).await.expect("an answer");
    assert_eq!(status.body["next"], json!(7), "{status:?}");
    workload.run_turn(&program, 7).await;
    assert_whole(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_links_one_way_and_both_ways() {
    let cluster = TestCluster::start("cut_links", &SIX_HOSTS).await;
    let programs = start_programs(&cluster, NUMBERS);
    tokio::time::sleep(Duration::from_millis(200)).await;

    // One host hears all and is heard by none.
    for other in cluster.names().iter().filter(|name| *name != "er-1") {
        cluster.cut("er-1", other);
    }

    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.heal();
    tokio::time::sleep(Duration::from_secs(1)).await;

    // A region is cut off from the others.
    for inside in ["dk-1", "dk-2"] {
        for outside in ["ub-1", "ub-2", "er-1", "er-2"] {
            cluster.cut(inside, outside);
            cluster.cut(outside, inside);
        }
    }

    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.heal();
    finish(programs).await;
    assert_whole(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_interrupts_nothing() {
    let mut cluster = TestCluster::start("rolling_restart", &SIX_HOSTS).await;
    let programs = start_programs(&cluster, 60);

    for (name, region) in SIX_HOSTS {
        let callers = cluster.host(name).callers;
        cluster.host(name).signal(Signal::SIGTERM);

        // The balancer sees that the host is not ready, and chooses it no more.
        let path = "/readyz";
        let ready = || cluster.caller.send_json(callers, hyper::Method::GET, path, &json!(null));
        while ready().await.is_some_and(|answer| answer.status == 200) {}
        cluster.remove_address(callers);

        let status = cluster.host_mut(name).wait();
        assert!(status.success(), "host {name} ends with {status}");
        cluster.start_host(name, region).await;
        cluster.wait_ready().await;
    }

    finish(programs).await;
    let told = cluster.caller.told.lock().expect("no panic").clone();
    let mut interrupted: BTreeMap<String, u32> = BTreeMap::new();

    for it in &told {
        let outcome = it.answer.as_ref().map_or("broken", |answer| answer.outcome.as_str());

        if outcome != "completed" {
            let detail = it.answer.as_ref().map_or("", |answer| answer.text.as_str());
            *interrupted.entry(format!("{outcome}: {detail}")).or_default() += 1;
        }
    }

    assert!(interrupted.is_empty(), "of {} requests: {interrupted:#?}", told.len());
    assert_whole(&cluster).await;
}

/// Name of the host that dispatches for a cell.
async fn dispatcher(cluster: &TestCluster, region: &str, model: &str) -> Option<String> {
    for host in &cluster.hosts {
        let cells = cluster.admin(host, "/admin/v1/cells").await;
        let mut cells = cells["cells"].as_array().into_iter().flatten();

        if cells.any(|it| it["cell"]["region"] == region && it["cell"]["model"] == model) {
            return Some(host.name.clone());
        }
    }

    None
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_dispatcher_with_waiting_requests() {
    let narrow = json!({ "upstreams": {
        "engine-ub-a-1": { "window": 1 }, "engine-ub-a-2": { "window": 1 },
        "engine-dk-a-1": { "window": 1 }, "engine-dk-a-2": { "window": 1 },
        "engine-er-a-1": { "window": 1 }, "engine-er-a-2": { "window": 1 },
    } });
    let mut cluster = TestCluster::start_with("kill_dispatcher", &SIX_HOSTS, "", narrow).await;
    let programs = start_programs(&cluster, NUMBERS);

    let name = loop {
        if let Some(name) = dispatcher(&cluster, "ub-a", "agent-llm").await {
            break name;
        }
    };

    cluster.kill_host(&name);
    cluster.hosts.retain(|host| host.name != name);
    finish(programs).await;
    assert_whole(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn sweep_frees_what_a_dead_dispatcher_had_placed() {
    let mut cluster = TestCluster::start("sweep", &SIX_HOSTS).await;
    let mut workload = cluster.workload(1);
    let program = workload.create_program(200_000).await;
    workload.run_turn(&program, 1).await;
    let held = |cluster: &TestCluster| {
        cluster.engines.iter().any(|engine| engine.held().contains_key(&program))
    };
    assert!(held(&cluster));

    // Whoever dispatched for the program's cell dies, and with it the knowledge of where its prefix is.
    for region in ["ub-a", "dk-a", "er-a"] {
        if let Some(name) = dispatcher(&cluster, region, "agent-llm").await {
            cluster.kill_host(&name);
            cluster.hosts.retain(|host| host.name != name);
        }
    }

    // Another turn makes the next dispatcher's office, which sweeps the engines of its cell.
    workload.run_turn(&program, 2).await;
    let host = cluster.hosts[0].callers;
    let path = format!("/v1/programs/{program}");
    let ended = cluster.caller.send_json(host, hyper::Method::DELETE, &path, &json!(null)).await;
    assert!(ended.is_some_and(|it| it.is_completed()));

    let wait = async {
        while held(&cluster) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(40), wait).await.expect("the memory is freed");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_is_given_one_request_at_most() {
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

    let ran = cluster.engines[0].runs().len();

    for number in 5..=30 {
        let other = workload.create_program(50_000).await;
        workload.run_turn(&other, 1).await;
        workload.run_turn(&program, number).await;
    }

    // The first evidence is the one request that it refuses, or a probe before it.
    assert!(cluster.engines[0].refusals() <= 1, "{} refusals", cluster.engines[0].refusals());
    assert_eq!(cluster.engines[0].runs().len(), ran);
    assert_whole(&cluster).await;
}
