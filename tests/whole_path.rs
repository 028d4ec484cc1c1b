//! The path of a request through real processes: any host serves any program.

mod support;

use support::{
    api_caller::{call_body, turn_body},
    checker::find_violations,
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
        let response =
            caller.send_turn(host, &program, number, &body).await.expect("the host should answer");
        assert!(response.is_completed(), "{response:?}");
        assert_eq!(response.body["ragwortknot"]["durability"], "logged");

        let repeated = caller.send_turn(cluster.hosts[0].callers, &program, number, &body).await;
        let repeated = repeated.expect("the host should answer");
        assert_eq!(repeated.content(), response.content(), "{repeated:?}");
    }

    let call = call_body("one settlement");
    let response = caller.send_call(cluster.hosts[3].callers, &program, 7, &call).await;
    let response = response.expect("the host should answer");
    assert!(response.is_completed(), "{response:?}");
    assert_eq!(cluster.tool.runs().len(), 1);
    assert_eq!(find_violations(&cluster).await, Vec::<String>::new());
}
