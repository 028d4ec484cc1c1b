//! The callers' API: invalid requests, plain chat-completions clients, streams, slow readers, requests that crash
//! engines, and the end of a program.

mod support;

use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use ragwortknot_standins::EngineFaults;
use serde_json::{Value, json};
use support::{
    api_caller::{ApiCaller, call_body, turn_body},
    test_cluster::{OTHER_TEAM_KEY, TEAM_KEY, TestCluster},
};

const TWO_HOSTS: [(&str, &str); 2] = [("ub-1", "ub-a"), ("ub-2", "ub-a")];

/// An invalid request, and the problem that it must get.
struct InvalidRequest {
    key: &'static str,
    method: Method,
    path: String,
    body: String,
    status: u16,
    problem: &'static str,
    outcome: &'static str,
}

/// A `POST` of the first team whose problem has the outcome `failed`.
fn invalid(path: &str, body: impl ToString, status: u16, problem: &'static str) -> InvalidRequest {
    InvalidRequest {
        key: TEAM_KEY,
        method: Method::POST,
        path: path.to_owned(),
        body: body.to_string(),
        status,
        problem,
        outcome: "failed",
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_request_gets_its_problem() {
    let cluster = TestCluster::start("bad_input", &TWO_HOSTS).await;
    let host = cluster.hosts[0].callers;
    let program = cluster.caller.create_program(host, 50_000).await;
    let small = cluster.caller.create_program(host, 50).await;
    let turn_path = |number: &str| format!("/v1/programs/{program}/turns/{number}");
    let call_path = |number: &str| format!("/v1/programs/{program}/calls/{number}");
    let valid_body = turn_body("hello");
    let unknown_path = "/v1/programs/p-0000-00000000000000aa/turns/1";
    let create_body = |model: &str, budget: u64| json!({ "model": model, "budget_tokens": budget });
    let large_body = json!({ "messages": [{ "role": "user", "content": "x".repeat(600_000) }] });
    let unknown_service_body = json!({ "service": "none", "path": "/x", "repeatable": false });
    let not_run = |request: InvalidRequest| InvalidRequest { outcome: "not_run", ..request };

    let requests = [
        invalid("/v1/programs", "{", 400, "bad-request"),
        invalid("/v1/programs", json!({ "model": "agent-llm" }), 400, "bad-request"),
        invalid("/v1/programs", create_body("agent-llm", 0), 400, "bad-request"),
        invalid("/v1/programs", create_body("no-model", 5), 422, "unknown-model"),
        invalid("/v1/programs", create_body("ledger-app", 5), 422, "unknown-model"),
        not_run(invalid("/v1/programs", create_body("agent-llm", u64::MAX), 429, "limit-reached")),
        invalid(&turn_path("1"), "no JSON", 400, "bad-request"),
        invalid(&turn_path("1"), json!({ "messages": [] }), 400, "bad-request"),
        invalid(&turn_path("1"), json!({ "messages": ["text"] }), 400, "bad-request"),
        invalid(&turn_path("1"), json!({ "messages": [{}], "n": 2 }), 400, "bad-request"),
        invalid(&turn_path("1"), json!({ "messages": [{}], "max_tokens": 0 }), 400, "bad-request"),
        invalid(&turn_path("1"), large_body, 413, "body-too-large"),
        invalid(&turn_path("0"), &valid_body, 409, "number-out-of-range"),
        invalid(&turn_path("-1"), &valid_body, 409, "number-out-of-range"),
        invalid(&turn_path("one"), &valid_body, 409, "number-out-of-range"),
        not_run(invalid(&turn_path("99"), &valid_body, 409, "number-out-of-range")),
        not_run(invalid(unknown_path, &valid_body, 404, "unknown-program")),
        invalid("/v1/programs/nonsense/turns/1", &valid_body, 404, "unknown-program"),
        not_run(invalid(
            &format!("/v1/programs/{small}/turns/1"),
            &valid_body,
            402,
            "budget-exhausted",
        )),
        invalid(
            &call_path("1"),
            json!({ "service": "ledger-app", "path": "x" }),
            400,
            "bad-request",
        ),
        not_run(invalid(&call_path("1"), unknown_service_body, 422, "unknown-model")),
        invalid("/v1/nothing", &valid_body, 400, "bad-request"),
        InvalidRequest {
            key: "wrong",
            ..invalid(&turn_path("1"), &valid_body, 401, "unauthorized")
        },
        InvalidRequest {
            key: OTHER_TEAM_KEY,
            ..not_run(invalid(&turn_path("1"), &valid_body, 404, "unknown-program"))
        },
        InvalidRequest {
            key: OTHER_TEAM_KEY,
            method: Method::DELETE,
            ..not_run(invalid(&format!("/v1/programs/{program}"), "", 404, "unknown-program"))
        },
    ];

    for (index, request) in requests.into_iter().enumerate() {
        // Requests alternate between the two hosts.
        let host = cluster.hosts[index % 2].callers;
        let caller = ApiCaller::new(request.key);
        let response = caller.send(host, request.method, &request.path, &[], request.body).await;
        let response = response
            .unwrap_or_else(|| panic!("request {index} to {} got no response", request.path));
        let actual = (response.status, response.problem(), response.outcome.as_str());
        assert_eq!(
            actual,
            (request.status, request.problem, request.outcome),
            "request {index} to {}: {response:?}",
            request.path
        );
        assert_eq!(
            response.content_type, "application/problem+json",
            "request {index} to {}: {response:?}",
            request.path
        );
    }

    // None of these requests used number 1. Once it is used, a request with other content under it is refused.
    let first_answer = cluster
        .caller
        .send_turn(host, &program, 1, &valid_body)
        .await
        .expect("the host should answer");
    assert!(first_answer.is_completed(), "{first_answer:?}");
    let other_answer = cluster.caller.send_turn(host, &program, 1, &turn_body("other")).await;
    assert_eq!(other_answer.expect("the host should answer").problem(), "number-mismatch");
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_completions_whole_and_streamed() {
    let cluster = TestCluster::start("plain_client", &TWO_HOSTS).await;
    let host = cluster.hosts[1].callers;
    let path = "/v1/chat/completions";
    let body = json!({
        "model": "agent-llm",
        "messages": [{ "role": "user", "content": "hello" }],
        "max_tokens": 5,
    });

    let whole_response = cluster
        .caller
        .send_json(host, Method::POST, path, &body)
        .await
        .expect("the host should answer");
    assert_eq!(
        (whole_response.status, whole_response.outcome.as_str()),
        (200, "completed"),
        "{whole_response:?}"
    );
    assert_eq!(whole_response.body["object"], "chat.completion");

    let mut stream_body = body.clone();
    stream_body["stream"] = json!(true);
    let response = cluster.caller.send_json(host, Method::POST, path, &stream_body).await;
    let response = response.expect("the host should answer");
    assert_eq!(response.content_type, "text/event-stream");
    let chunks: Vec<&str> =
        response.text.lines().filter_map(|it| it.strip_prefix("data: ")).collect();
    assert_eq!(chunks.last(), Some(&"[DONE]"));
    let parsed_chunks: Vec<Value> = chunks[..chunks.len() - 1]
        .iter()
        .map(|it| serde_json::from_str(it).expect("a chunk should be JSON"))
        .collect();
    let text: String = parsed_chunks
        .iter()
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str())
        .collect();
    assert_eq!(
        text,
        whole_response.content(),
        "the stand-in engine should give equal requests equal responses"
    );
    let last_chunk = parsed_chunks.last().expect("the stream should have chunks");
    assert_eq!(last_chunk["ragwortknot"]["outcome"], "completed");
    assert_eq!(last_chunk["choices"][0]["finish_reason"], "stop");

    // With the header of a program, each request is the next turn of that program.
    let program = cluster.caller.create_program(host, 50_000).await;
    let headers = [("ragwortknot-program", program.as_str())];

    for number in 1..=2 {
        let response =
            cluster.caller.send(host, Method::POST, path, &headers, body.to_string()).await;
        let response = response.expect("the host should answer");
        assert_eq!(response.body["ragwortknot"]["number"], number, "{response:?}");
    }

    let models_response =
        cluster.caller.send_json(host, Method::GET, "/v1/models", &Value::Null).await;
    assert_eq!(models_response.expect("the host should answer").body["data"][0]["id"], "agent-llm");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_reader_turn_ends_and_can_be_repeated() {
    let cluster = TestCluster::start("slow_reader", &TWO_HOSTS).await;
    let host = cluster.hosts[0].callers;
    let program = cluster.caller.create_program(host, 1_000_000).await;
    let body = json!({
        "messages": [{ "role": "user", "content": "a long one" }],
        "max_tokens": 9_000,
        "stream": true,
    });

    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{host}/v1/programs/{program}/turns/1"))
        .header("authorization", format!("Bearer {TEAM_KEY}"))
        .body(Full::<bytes::Bytes>::from(body.to_string()))
        .expect("the request should be valid");

    // The client reads the head of the response and no part of its body. The turn must end all the same.
    let response = client.request(request).await.expect("the host should answer");
    let wait_for_turn = async {
        loop {
            let status =
                cluster.caller.status(host, &program).await.expect("the host should answer");

            if status.body["next"] == json!(2) {
                return;
            }

            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(Duration::from_mins(1), wait_for_turn)
        .await
        .expect("the turn should end within a minute");
    drop(response.into_body().frame().await);

    let mut whole_body = body.clone();
    whole_body["stream"] = json!(false);
    let response = cluster
        .caller
        .send_turn(host, &program, 1, &whole_body)
        .await
        .expect("the host should answer");
    assert!(response.is_completed(), "{response:?}");
    assert_eq!(response.content().split_whitespace().count(), 9_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn poisonous_request_crashes_at_most_two_upstreams() {
    let hosts = [("ub-1", "ub-a"), ("dk-1", "dk-a")];
    let cluster = TestCluster::start("poisonous", &hosts).await;

    for engine in &cluster.engines {
        engine.set_faults(EngineFaults {
            crash_on: Some("poison".into()),
            ..EngineFaults::default()
        });
    }

    let body = turn_body("this is poison");
    let mut responses = Vec::new();

    for attempt in 0..6 {
        // Each attempt uses a new program, and the attempts alternate between the hosts.
        let host = cluster.hosts[attempt % 2].callers;
        let program = cluster.caller.create_program(host, 50_000).await;
        responses.push(
            cluster
                .caller
                .send_turn(host, &program, 1, &body)
                .await
                .expect("the host should answer"),
        );
    }

    assert!(responses.iter().all(|it| !it.is_completed()), "{responses:?}");
    assert_eq!(
        responses.last().expect("there should be responses").problem(),
        "request-poisonous",
        "{responses:?}"
    );
    let crashed_count = cluster.engines.iter().filter(|engine| engine.is_crashed()).count();
    assert_eq!(crashed_count, 2, "{responses:?}");

    // The remaining engines still serve other requests of the team.
    let host = cluster.hosts[0].callers;
    let program = cluster.caller.create_program(host, 50_000).await;
    let response = cluster.caller.send_turn(host, &program, 1, &turn_body("harmless")).await;
    assert!(response.is_some_and(|it| it.is_completed()));
}

#[tokio::test(flavor = "multi_thread")]
async fn turn_that_broke_and_used_its_budget_is_not_called_not_run() {
    let cluster = TestCluster::start("broken_turn", &TWO_HOSTS).await;

    for engine in &cluster.engines {
        engine.set_faults(EngineFaults { cut_after_tokens: Some(1), ..EngineFaults::default() });
    }

    // The budget covers the worst case of one attempt.
    let host = cluster.hosts[0].callers;
    let program = cluster.caller.create_program(host, 100).await;

    for host in &cluster.hosts {
        let response = cluster.caller.send_turn(host.callers, &program, 1, &turn_body("x")).await;
        let response = response.expect("the host should answer");
        let actual = (response.status, response.problem(), response.outcome.as_str());
        assert_eq!(actual, (402, "budget-exhausted", "failed"), "{response:?}");
    }

    // The attempt that broke is charged.
    let status = cluster.caller.status(host, &program).await.expect("the host should answer");
    assert!(status.body["spent_tokens"].as_u64() > Some(0), "{status:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn ended_program_releases_engine_memory() {
    let cluster = TestCluster::start("release", &TWO_HOSTS).await;
    let host = cluster.hosts[0].callers;
    let program = cluster.caller.create_program(host, 50_000).await;
    cluster.caller.send_turn(host, &program, 1, &turn_body("hello")).await;
    let is_cached =
        || cluster.engines.iter().any(|engine| engine.cached_tokens().contains_key(&program));
    assert!(is_cached());

    let path = format!("/v1/programs/{program}");
    let end_answer = cluster.caller.send_json(host, Method::DELETE, &path, &Value::Null).await;
    assert_eq!(end_answer.expect("the host should answer").body["state"], "ended");

    let wait_for_release = async {
        while is_cached() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), wait_for_release)
        .await
        .expect("the engines should release the memory within 20 s");

    let turn_answer = cluster.caller.send_turn(host, &program, 2, &turn_body("more")).await;
    assert_eq!(turn_answer.expect("the host should answer").problem(), "program-ended");
    let call_answer = cluster.caller.send_call(host, &program, 2, &call_body("late")).await;
    assert_eq!(call_answer.expect("the host should answer").outcome, "not_run");
}
