//! The platform down, slow, or losing answers, also together with hosts that die; and operators that race.

mod support;

use std::time::Duration;

use ragwortknot_standins::{PlatformFaults, ToolFaults};
use serde_json::json;
use support::{
    api_caller::{call_body, turn_body},
    checker::check,
    test_cluster::{SIX_HOSTS, TestCluster},
};
use tokio::task::JoinSet;

async fn assert_whole(cluster: &TestCluster) {
    assert_eq!(check(cluster).await, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_gives_receipts_and_starts_nothing_unsafe() {
    let mut cluster = TestCluster::start("outage", &SIX_HOSTS).await;
    let mut workload = cluster.workload(1);
    let program = workload.create_program(400_000).await;
    workload.run_turn(&program, 1).await;
    cluster.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });

    for number in 2..=4 {
        let answer = workload.run_turn(&program, number).await;
        assert_eq!(answer.body["ragwortknot"]["durability"], "receipt", "{answer:?}");
    }

    // Every host is heard, and none has claimed, so the owner may say that the call did not run.
    let host = cluster.hosts[0].callers;
    let call = call_body("a settlement");
    let refused = cluster.caller.send_call(host, &program, 5, &call).await.expect("an answer");
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not_run"), "{refused:?}");
    assert!(refused.retry_after.is_some());
    let runs = cluster.tool.runs();
    assert!(runs.is_empty(), "{runs:?}");

    // An altered receipt, another program's and another team's are refused.
    let foreign = json!({
        "messages": [{ "role": "user", "content": "x" }],
        "ragwortknot": { "receipts": ["AAAA"] },
    });
    let refused = cluster.caller.send_turn(host, &program, 5, &foreign).await.expect("an answer");
    assert_eq!(refused.problem(), "receipt-invalid");

    // The owner dies with its receipts' turns; the caller gives them back to the next one.
    let owner = cluster.owner(&program).await;
    cluster.kill_host(&owner);
    cluster.hosts.retain(|host| host.name != owner);

    // With a host that can't be asked, nobody can tell any more.
    let host = cluster.hosts[0].callers;
    let refused = cluster.caller.send_call(host, &program, 5, &call).await.expect("an answer");
    assert_eq!(refused.outcome, "unknown", "{refused:?}");

    cluster.platform.set_faults(PlatformFaults::default());
    workload.run_turn(&program, 5).await;
    workload.run_call(&program, 6).await;
    assert_whole(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_and_slow_platform_with_a_dying_host() {
    let mut cluster = TestCluster::start("lost_answers", &SIX_HOSTS).await;
    let mut programs = JoinSet::new();

    for seed in 0..12 {
        let mut workload = cluster.workload(seed);
        programs.spawn(async move { workload.run_program(12).await });
    }

    for round in 0..4 {
        let faults =
            PlatformFaults { lose_answers: 10, delay_ms: round * 20, ..Default::default() };
        cluster.platform.set_faults(faults);
        tokio::time::sleep(Duration::from_millis(400)).await;

        if round == 1 {
            cluster.kill_host("er-2");
        }
    }

    cluster.platform.set_faults(PlatformFaults::default());
    programs.join_all().await;
    cluster.hosts.retain(|host| host.name != "er-2");
    assert_whole(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn strict_team_is_refused_in_an_outage() {
    let cluster = TestCluster::start("strict_team", &SIX_HOSTS[..2]).await;
    let strict = json!({ "teams": { "tuul": { "require_durable": true } } });
    assert_eq!(cluster.patch(0, 2, &strict).await, 200);
    cluster.wait_number(3).await;
    let host = cluster.hosts[0].callers;
    let program = cluster.caller.create_program(host, 100_000).await;
    cluster.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });

    // The first answer may still find the breaker closed, and has a receipt then.
    let body = turn_body("one");
    let mut answers = Vec::new();

    for _ in 0..3 {
        answers.push(cluster.caller.send_turn(host, &program, 1, &body).await.expect("an answer"));
    }

    let last = answers.last().expect("an answer");
    let is_refused = last.problem() == "not-durable" && last.outcome == "not_run";
    assert!(is_refused || last.is_completed(), "{answers:?}");
    cluster.platform.set_faults(PlatformFaults::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_race_and_numbers_never_go_back() {
    let mut cluster = TestCluster::start("operators_race", &SIX_HOSTS).await;
    let mut number = 2;

    for round in 0..5 {
        if round == 2 {
            cluster.platform.set_faults(PlatformFaults { lose_answers: 2, ..Default::default() });
        }

        let patch = |host: usize| json!({ "limits": { "turns": 100 + round * 10 + host } });
        let patches: Vec<_> = (0..cluster.hosts.len()).map(patch).collect();
        let race = patches.iter().enumerate().map(|(host, it)| cluster.patch(host, number, it));
        let statuses = futures_util::future::join_all(race).await;
        let accepted = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(accepted, 1, "{statuses:?}");
        assert!(statuses.iter().all(|status| [200, 412].contains(status)), "{statuses:?}");
        number += 1;
        cluster.wait_number(number).await;
    }

    // A host that starts again serves nothing older, whatever the platform says at first.
    cluster.kill_host("dk-2");
    cluster.start_host("dk-2", "dk-a").await;
    cluster.wait_ready().await;
    let config = cluster.admin(cluster.host("dk-2"), "/admin/v1/config").await;
    assert_eq!(config["number"], json!(number));

    let configs = futures_util::future::join_all(
        cluster.hosts.iter().map(|host| cluster.admin(host, "/admin/v1/config")),
    );
    let configs = configs.await;
    assert!(configs.iter().all(|config| *config == configs[0]), "{configs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn hung_tool_ends_unknown_and_is_settled_by_its_status() {
    let patch = json!({ "limits": { "call_timeout_ms": 500 } });
    let cluster = TestCluster::start_with("hung_tool", &SIX_HOSTS[..2], "", patch).await;
    let host = cluster.hosts[0].callers;
    let program = cluster.caller.create_program(host, 100_000).await;
    cluster.tool.set_faults(ToolFaults { hang: true, ..ToolFaults::default() });

    // The call took effect, and the tool's status query says so.
    let answer = cluster.caller.send_call(host, &program, 1, &call_body("one")).await;
    let answer = answer.expect("an answer");
    assert!(answer.is_completed(), "{answer:?}");

    let without = json!({ "models": { "ledger-app": { "status_path": null } } });
    assert_eq!(cluster.patch(0, 2, &without).await, 200);
    cluster.wait_number(3).await;

    for _ in 0..2 {
        let answer = cluster.caller.send_call(host, &program, 2, &call_body("two")).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.outcome, "unknown", "{answer:?}");
    }

    cluster.tool.set_faults(ToolFaults::default());
    let down = ToolFaults { down: true, ..ToolFaults::default() };
    cluster.tool.set_faults(down);
    assert_eq!(cluster.tool.runs().len(), 2, "neither call was sent again");
    assert_whole(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_shard_is_given_up_in_an_outage() {
    let mut cluster = TestCluster::start("kept_shards", &SIX_HOSTS[..2]).await;
    cluster.kill_host("ub-2");
    cluster.hosts.retain(|host| host.name != "ub-2");
    cluster.wait_owned().await;
    let mut programs = Vec::new();

    for seed in 0..12 {
        let mut workload = cluster.workload(seed);
        let program = workload.create_program(100_000).await;
        workload.run_turn(&program, 1).await;
        programs.push((workload, program));
    }

    // A second host is to have some of the shards again, and the platform goes down as soon as it is there.
    cluster.start_host("ub-2", "ub-a").await;
    cluster.wait_ready().await;
    cluster.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });

    for number in 2..=4 {
        for (workload, program) in &mut programs {
            workload.run_turn(program, number).await;
        }
    }

    cluster.platform.set_faults(PlatformFaults::default());

    for (workload, program) in &mut programs {
        workload.run_turn(program, 5).await;
        workload.run_call(program, 6).await;
    }

    assert_whole(&cluster).await;
}
