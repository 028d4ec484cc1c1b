//! `ragwortknot local`: runs a cluster with stand-in engines in this process, for trying the API and for a demo.

use std::time::Duration;

use eyre::{Result, bail, eyre};
use getopts::Options;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, header};
use serde_json::{Value, json};

use crate::{
    CliError, HttpClient, LocalCluster, LocalOptions,
    dispatch::decision_journal::JOURNAL_TARGET,
    platform_calls::http_client::http_client,
    process::{
        local_cluster::LOOPBACK_ADDRESS,
        node_log::{LogBuffer, LogSink, start_log},
    },
};

/// Budget of the demo's program, in tokens.
const DEMO_BUDGET_TOKENS: u64 = 60_000;

/// How long the demo's client waits for a connection to the host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) fn run(arguments: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optflag("", "demo", "run one program, print its history and the decisions, and exit");
    options.optopt("l", "listen", "address for callers (default: 127.0.0.1, free port)", "ADDR");
    let brief = "Usage: ragwortknot local [--demo] [--listen ADDR]";
    let matches = super::parse(options, brief, arguments)?;
    let address = matches.opt_str("listen").unwrap_or_else(|| LOOPBACK_ADDRESS.into());

    if matches.opt_present("demo") {
        return super::block_on(async { Ok(run_demo(&address).await?) });
    }

    let _log = start_log("local", "local", "info", LogSink::Stderr);
    super::block_on(async { Ok(serve(&address).await?) })
}

fn local_options(address: &str) -> LocalOptions {
    LocalOptions { callers_address: address.to_owned(), ..LocalOptions::default() }
}

/// Runs a cluster until it is interrupted, and prints how to use it.
async fn serve(address: &str) -> Result<()> {
    let cluster = LocalCluster::start(&local_options(address)).await?;
    println!("callers:       {}", cluster.base_url());
    println!("team's key:    {}", cluster.team_key);
    println!("model:         agent-llm");
    println!("operators:     http://{}", cluster.first_node().addresses.operators);
    println!("operators' key: {}", cluster.operator_key);
    println!("\nTry: curl {}/chat/completions \\", cluster.base_url());
    println!("  -H 'Authorization: Bearer {}' \\", cluster.team_key);
    println!(
        "  -d '{{\"model\":\"agent-llm\",\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    println!("\nPress Ctrl-C to stop.");
    tokio::signal::ctrl_c().await?;
    cluster.first_node().request_drain();
    cluster.first_node().run().await;
    Ok(())
}

/// HTTP client that calls the demo's host as its team.
struct DemoCaller {
    client: HttpClient,
    base_url: String,
    team_key: String,
}

impl DemoCaller {
    /// Sends a request and returns the body of the response. Fails if the status isn't a success.
    async fn send(&self, method: Method, path: &str, body: Value) -> Result<String> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.team_key))
            .body(Full::from(body.to_string()))?;

        let response = self.client.request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        let text = String::from_utf8_lossy(&body).into_owned();

        if !status.is_success() {
            bail!("{path}: {status}: {text}");
        }

        Ok(text)
    }

    async fn send_json(&self, method: Method, path: &str, body: Value) -> Result<Value> {
        Ok(serde_json::from_str(&self.send(method, path, body).await?)?)
    }

    /// Creates a program and returns its id.
    async fn create_program(&self, body: Value) -> Result<String> {
        let status = self.send_json(Method::POST, "/programs", body).await?;
        let program = status["program"].as_str().ok_or_else(|| eyre!("no program in {status}"))?;
        Ok(program.to_owned())
    }

    /// Runs a turn with one user message, and prints the answer and the token usage.
    async fn run_turn(&self, program: &str, number: u32, text: &str) -> Result<()> {
        let body = json!({ "messages": [{ "role": "user", "content": text }], "max_tokens": 12 });
        let path = format!("/programs/{program}/turns/{number}");
        let answer = self.send_json(Method::POST, &path, body).await?;
        let content = &answer["choices"][0]["message"]["content"];
        let usage = &answer["usage"];
        println!("turn {number} of {program}: {content}");
        println!(
            "  {} prompt tokens ({} cached), {} answered, {}",
            usage["prompt_tokens"],
            usage["prompt_tokens_details"]["cached_tokens"],
            usage["completion_tokens"],
            answer["ragwortknot"]["durability"],
        );
        Ok(())
    }
}

/// Runs the demo's program on a new cluster, and prints the dispatcher's decisions from the log.
async fn run_demo(address: &str) -> Result<()> {
    let log_buffer = LogBuffer::default();
    let sink = LogSink::Buffer(log_buffer.clone());
    let _log = start_log("local", "local", "info", sink);
    let cluster = LocalCluster::start(&local_options(address)).await?;

    let caller = DemoCaller {
        client: http_client(CONNECT_TIMEOUT),
        base_url: cluster.base_url(),
        team_key: cluster.team_key.clone(),
    };

    run_program(&caller).await?;
    cluster.first_node().stop().await;
    println!("\nDecisions:");

    for line in log_buffer.text().lines() {
        let Ok(fields) = serde_json::from_str::<Value>(line) else {
            continue;
        };

        if fields["target"] == JOURNAL_TARGET && fields["message"] == "decision" {
            println!("{}", fields["record"].as_str().unwrap_or_default());
        }
    }

    Ok(())
}

/// Runs a program of three turns, with a child program of one turn and a call that is sent twice and runs once.
async fn run_program(caller: &DemoCaller) -> Result<()> {
    let terms = json!({ "model": "agent-llm", "budget_tokens": DEMO_BUDGET_TOKENS });
    let program = caller.create_program(terms).await?;
    println!("program {program}");
    caller.run_turn(&program, 1, "Pallet 17 has come back. What should be inspected?").await?;
    caller.run_turn(&program, 2, "The wrapping is torn on one side.").await?;

    let terms = json!({ "model": "agent-llm", "budget_tokens": 20_000, "parent": program });
    let child = caller.create_program(terms).await?;
    println!("child program {child}, which spends from the budget of {program}");
    caller.run_turn(&child, 1, "Inspect the torn side of pallet 17.").await?;
    let child_status =
        caller.send_json(Method::DELETE, &format!("/programs/{child}"), Value::Null).await?;
    println!("child program ended with {} tokens spent", child_status["spent_tokens"]);

    let call = json!({
        "service": "ledger-app",
        "path": "/call/settlement",
        "body": { "lot": 17, "amount": 250 },
        "repeatable": false,
    });

    let path = format!("/programs/{program}/calls/3");
    let first_answer = caller.send_json(Method::POST, &path, call.clone()).await?;
    let repeated_answer = caller.send_json(Method::POST, &path, call).await?;
    println!("call 3, which must not run twice: {}", first_answer["body"]);
    println!("call 3, sent again:               {}", repeated_answer["body"]);
    caller.run_turn(&program, 4, "The settlement is done. Sum up.").await?;

    println!("\nHistory:");
    let path = format!("/programs/{program}/history");
    let history = caller.send_json(Method::GET, &path, Value::Null).await?;

    for entry in history["entries"].as_array().into_iter().flatten() {
        println!("{entry}");
    }

    let path = format!("/programs/{program}");
    let status = caller.send_json(Method::DELETE, &path, Value::Null).await?;
    println!(
        "\nProgram ended: {} of {} tokens spent",
        status["spent_tokens"], status["budget_tokens"]
    );
    Ok(())
}
