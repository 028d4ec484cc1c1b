//! The whole path over real processes: any host serves any program.

mod support;

use support::{
    api_caller::{call_body, turn_body},
    checker::check,
    test_cluster::{SIX_HOSTS, TestCluster},
};

#[tokio::test(flavor = "multi_thread")]
async fn program_through_any_host() {
    let cluster = TestCluster::start("whole_path", &SIX_HOSTS).await;
    let caller = &cluster.caller;
    let program = caller.create_program(cluster.hosts[0].callers, 60_000).await;

    for number in 1..=6 {
        let host = cluster.hosts[number as usize % 6].callers;
        let body = turn_body(&format!("{program} message {number}"));
        let answer = caller.send_turn(host, &program, number, &body).await.expect("an answer");
        assert!(answer.is_completed(), "{answer:?}");
        assert_eq!(answer.body["ragwortknot"]["durability"], "logged");

        let again = caller.send_turn(cluster.hosts[0].callers, &program, number, &body).await;
        let again = again.expect("an answer");
        assert_eq!(again.content(), answer.content(), "{again:?}");
    }

    let call = call_body("one settlement");
    let answer = caller.send_call(cluster.hosts[3].callers, &program, 7, &call).await;
    let answer = answer.expect("an answer");
    assert!(answer.is_completed(), "{answer:?}");
    assert_eq!(cluster.tool.runs().len(), 1);
    assert_eq!(check(&cluster).await, Vec::<String>::new());
}
