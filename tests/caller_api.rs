//! The callers' API: bad input, plain clients, streams, slow readers.

mod support;

use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use ragwortknot_standins::EngineFaults;
use serde_json::{Value, json};
use support::{
    caller::{Caller, call_body, turn_body},
    cluster::{Cluster, OTHER_KEY, TEAM_KEY},
};

const TWO_HOSTS: [(&str, &str); 2] = [("ub-1", "ub-a"), ("ub-2", "ub-a")];

/// A request, and the answer that it must have.
struct Row {
    key: &'static str,
    method: Method,
    path: String,
    body: String,
    status: u16,
    problem: &'static str,
    outcome: &'static str,
}

fn row(path: &str, body: impl ToString, status: u16, problem: &'static str) -> Row {
    Row {
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
async fn bad_input_each_case() {
    let cluster = Cluster::start("bad_input", &TWO_HOSTS).await;
    let host = cluster.hosts[0].callers;
    let program = cluster.caller.create(host, 50_000).await;
    let small = cluster.caller.create(host, 50).await;
    let turn = |number: &str| format!("/v1/programs/{program}/turns/{number}");
    let call = |number: &str| format!("/v1/programs/{program}/calls/{number}");
    let good = turn_body("hello");
    let unknown = "/v1/programs/p-0000-00000000000000aa/turns/1";
    let create = |model: &str, budget: u64| json!({ "model": model, "budget_tokens": budget });
    let large = json!({ "messages": [{ "role": "user", "content": "x".repeat(600_000) }] });
    let service = json!({ "service": "none", "path": "/x", "repeatable": false });
    let not_run = |row: Row| Row { outcome: "not_run", ..row };

    let rows = [
        row("/v1/programs", "{", 400, "bad-request"),
        row("/v1/programs", json!({ "model": "agent-llm" }), 400, "bad-request"),
        row("/v1/programs", create("agent-llm", 0), 400, "bad-request"),
        row("/v1/programs", create("no-model", 5), 422, "unknown-model"),
        row("/v1/programs", create("ledger-app", 5), 422, "unknown-model"),
        not_run(row("/v1/programs", create("agent-llm", u64::MAX), 429, "limit-reached")),
        row(&turn("1"), "no JSON", 400, "bad-request"),
        row(&turn("1"), json!({ "messages": [] }), 400, "bad-request"),
        row(&turn("1"), json!({ "messages": ["text"] }), 400, "bad-request"),
        row(&turn("1"), json!({ "messages": [{}], "n": 2 }), 400, "bad-request"),
        row(&turn("1"), json!({ "messages": [{}], "max_tokens": 0 }), 400, "bad-request"),
        row(&turn("1"), large, 413, "body-too-large"),
        row(&turn("0"), &good, 409, "number-out-of-range"),
        row(&turn("-1"), &good, 409, "number-out-of-range"),
        row(&turn("one"), &good, 409, "number-out-of-range"),
        not_run(row(&turn("99"), &good, 409, "number-out-of-range")),
        not_run(row(unknown, &good, 404, "unknown-program")),
        row("/v1/programs/nonsense/turns/1", &good, 404, "unknown-program"),
        not_run(row(&format!("/v1/programs/{small}/turns/1"), &good, 402, "budget-exhausted")),
        row(&call("1"), json!({ "service": "ledger-app", "path": "x" }), 400, "bad-request"),
        not_run(row(&call("1"), service, 422, "unknown-model")),
        row("/v1/nothing", &good, 400, "bad-request"),
        Row { key: "wrong", ..row(&turn("1"), &good, 401, "unauthorized") },
        Row { key: OTHER_KEY, ..not_run(row(&turn("1"), &good, 404, "unknown-program")) },
        Row {
            key: OTHER_KEY,
            method: Method::DELETE,
            ..not_run(row(&format!("/v1/programs/{program}"), "", 404, "unknown-program"))
        },
    ];

    for (index, row) in rows.into_iter().enumerate() {
        // Every second case goes through the other host.
        let host = cluster.hosts[index % 2].callers;
        let caller = Caller::new(row.key);
        let answer = caller.send(host, row.method, &row.path, &[], row.body).await;
        let answer = answer.unwrap_or_else(|| panic!("{} has no answer", row.path));
        let told = (answer.status, answer.problem(), answer.outcome.as_str());
        assert_eq!(told, (row.status, row.problem, row.outcome), "{}: {answer:?}", row.path);
        assert_eq!(answer.content_type, "application/problem+json", "{}", row.path);
    }

    // None of it has used the number, and another content under a used number is told apart.
    let first = cluster.caller.turn(host, &program, 1, &good).await.expect("an answer");
    assert!(first.is_completed(), "{first:?}");
    let other = cluster.caller.turn(host, &program, 1, &turn_body("other")).await;
    assert_eq!(other.expect("an answer").problem(), "number-mismatch");
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_client_whole_and_streamed() {
    let cluster = Cluster::start("plain_client", &TWO_HOSTS).await;
    let host = cluster.hosts[1].callers;
    let path = "/v1/chat/completions";
    let body = json!({
        "model": "agent-llm",
        "messages": [{ "role": "user", "content": "hello" }],
        "max_tokens": 5,
    });

    let whole = cluster.caller.json(host, Method::POST, path, &body).await.expect("an answer");
    assert_eq!((whole.status, whole.outcome.as_str()), (200, "completed"), "{whole:?}");
    assert_eq!(whole.body["object"], "chat.completion");

    let mut streamed = body.clone();
    streamed["stream"] = json!(true);
    let answer = cluster.caller.json(host, Method::POST, path, &streamed).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.content_type, "text/event-stream");
    let chunks: Vec<&str> =
        answer.text.lines().filter_map(|it| it.strip_prefix("data: ")).collect();
    assert_eq!(chunks.last(), Some(&"[DONE]"));
    let parsed: Vec<Value> = chunks[..chunks.len() - 1]
        .iter()
        .map(|it| serde_json::from_str(it).expect("JSON"))
        .collect();
    let text: String = parsed
        .iter()
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str())
        .collect();
    assert_eq!(text, whole.content(), "the same request has the same answer from the stand-in");
    let last = parsed.last().expect("a chunk");
    assert_eq!(last["ragwortknot"]["outcome"], "completed");
    assert_eq!(last["choices"][0]["finish_reason"], "stop");

    // The next turn of a program, by its header.
    let program = cluster.caller.create(host, 50_000).await;
    let headers = [("ragwortknot-program", program.as_str())];

    for next in 1..=2 {
        let answer =
            cluster.caller.send(host, Method::POST, path, &headers, body.to_string()).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.body["ragwortknot"]["number"], next, "{answer:?}");
    }

    let models = cluster.caller.json(host, Method::GET, "/v1/models", &Value::Null).await;
    assert_eq!(models.expect("an answer").body["data"][0]["id"], "agent-llm");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_reader_is_left_behind_and_may_ask_again() {
    let cluster = Cluster::start("slow_reader", &TWO_HOSTS).await;
    let host = cluster.hosts[0].callers;
    let program = cluster.caller.create(host, 1_000_000).await;
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
        .expect("a request");

    // The reader takes the head and then nothing, while the answer goes on without it.
    let response = client.request(request).await.expect("an answer");
    let wait = async {
        loop {
            let status = cluster.caller.status(host, &program).await.expect("an answer");

            if status.body["next"] == json!(2) {
                return;
            }

            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(Duration::from_mins(1), wait).await.expect("the turn ends");
    drop(response.into_body().frame().await);

    let mut whole = body.clone();
    whole["stream"] = json!(false);
    let answer = cluster.caller.turn(host, &program, 1, &whole).await.expect("an answer");
    assert!(answer.is_completed(), "{answer:?}");
    assert_eq!(answer.content().split_whitespace().count(), 9_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn poisonous_request_takes_two_upstreams_at_most() {
    let hosts = [("ub-1", "ub-a"), ("dk-1", "dk-a")];
    let cluster = Cluster::start("poisonous", &hosts).await;

    for engine in &cluster.engines {
        engine.set_faults(EngineFaults {
            crash_on: Some("poison".into()),
            ..EngineFaults::default()
        });
    }

    let body = turn_body("this is poison");
    let mut answers = Vec::new();

    for attempt in 0..6 {
        // Sent again under a new program, and through another host.
        let host = cluster.hosts[attempt % 2].callers;
        let program = cluster.caller.create(host, 50_000).await;
        answers.push(cluster.caller.turn(host, &program, 1, &body).await.expect("an answer"));
    }

    assert!(answers.iter().all(|it| !it.is_completed()), "{answers:?}");
    assert_eq!(answers.last().expect("an answer").problem(), "request-poisonous", "{answers:?}");
    let crashed = cluster.engines.iter().filter(|engine| engine.is_crashed()).count();
    assert_eq!(crashed, 2, "{answers:?}");

    // Another request of the same team is served by the engines that are left.
    let host = cluster.hosts[0].callers;
    let program = cluster.caller.create(host, 50_000).await;
    let answer = cluster.caller.turn(host, &program, 1, &turn_body("harmless")).await;
    assert!(answer.is_some_and(|it| it.is_completed()));
}

#[tokio::test(flavor = "multi_thread")]
async fn ended_program_releases_engine_memory() {
    let cluster = Cluster::start("release", &TWO_HOSTS).await;
    let host = cluster.hosts[0].callers;
    let program = cluster.caller.create(host, 50_000).await;
    cluster.caller.turn(host, &program, 1, &turn_body("hello")).await;
    let held = || cluster.engines.iter().any(|engine| engine.held().contains_key(&program));
    assert!(held());

    let path = format!("/v1/programs/{program}");
    let ended = cluster.caller.json(host, Method::DELETE, &path, &Value::Null).await;
    assert_eq!(ended.expect("an answer").body["state"], "ended");

    let wait = async {
        while held() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), wait).await.expect("the memory is released");

    let after = cluster.caller.turn(host, &program, 2, &turn_body("more")).await;
    assert_eq!(after.expect("an answer").problem(), "program-ended");
    let call = cluster.caller.call(host, &program, 2, &call_body("late")).await;
    assert_eq!(call.expect("an answer").outcome, "not_run");
}
