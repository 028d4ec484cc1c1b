//! `ragwortknot local`: the whole path in one process.

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
        local_cluster::LOCAL_ADDRESS,
        node_log::{LogBuffer, LogSink, start_log},
    },
};

/// Budget of the demonstration's program, in tokens.
const DEMO_BUDGET_TOKENS: u64 = 60_000;

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) fn run(arguments: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optflag("", "demo", "run one program through it, print what came of it, and end");
    options.optopt("l", "listen", "address for callers (a free port of 127.0.0.1)", "ADDR");
    let brief = "Usage: ragwortknot local [--demo] [--listen ADDR]";
    let matches = super::parse(options, brief, arguments)?;
    let address = matches.opt_str("listen").unwrap_or_else(|| LOCAL_ADDRESS.into());

    if matches.opt_present("demo") {
        return super::block_on(async { Ok(demo(&address).await?) });
    }

    let _log = start_log("local", "local", "info", LogSink::Stderr);
    super::block_on(async { Ok(serve(&address).await?) })
}

fn options(address: &str) -> LocalOptions {
    LocalOptions { callers_address: address.to_owned(), ..LocalOptions::default() }
}

async fn serve(address: &str) -> Result<()> {
    let cluster = LocalCluster::start(&options(address)).await?;
    println!("callers:       {}", cluster.base_url());
    println!("team's key:    {}", cluster.team_key);
    println!("model:         agent-llm");
    println!("operators:     http://{}", cluster.first().addresses.operators);
    println!("operators' key: {}", cluster.operator_key);
    println!("\nTry: curl {}/chat/completions \\", cluster.base_url());
    println!("  -H 'Authorization: Bearer {}' \\", cluster.team_key);
    println!(
        "  -d '{{\"model\":\"agent-llm\",\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    println!("\nInterrupt to stop.");
    tokio::signal::ctrl_c().await?;
    cluster.first().request_drain();
    cluster.first().run().await;
    Ok(())
}

/// A caller of the demonstration.
struct DemoCaller {
    client: HttpClient,
    base_url: String,
    key: String,
}

impl DemoCaller {
    async fn send(&self, method: Method, path: &str, body: Value) -> Result<String> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
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

    async fn json(&self, method: Method, path: &str, body: Value) -> Result<Value> {
        Ok(serde_json::from_str(&self.send(method, path, body).await?)?)
    }

    async fn create(&self, body: Value) -> Result<String> {
        let answer = self.json(Method::POST, "/programs", body).await?;
        let program = answer["program"].as_str().ok_or_else(|| eyre!("no program in {answer}"))?;
        Ok(program.to_owned())
    }

    async fn turn(&self, program: &str, number: u32, text: &str) -> Result<()> {
        let body = json!({ "messages": [{ "role": "user", "content": text }], "max_tokens": 12 });
        let path = format!("/programs/{program}/turns/{number}");
        let answer = self.json(Method::POST, &path, body).await?;
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

async fn demo(address: &str) -> Result<()> {
    let buffer = LogBuffer::default();
    let sink = LogSink::Buffer(buffer.clone());
    let _log = start_log("local", "local", "info", sink);
    let cluster = LocalCluster::start(&options(address)).await?;

    let caller = DemoCaller {
        client: http_client(CONNECT_TIMEOUT),
        base_url: cluster.base_url(),
        key: cluster.team_key.clone(),
    };

    run_program(&caller).await?;
    cluster.first().stop().await;
    println!("\nDecisions:");

    for line in buffer.text().lines() {
        let Ok(fields) = serde_json::from_str::<Value>(line) else {
            continue;
        };

        if fields["target"] == JOURNAL_TARGET && fields["message"] == "decision" {
            println!("{}", fields["record"].as_str().unwrap_or_default());
        }
    }

    Ok(())
}

async fn run_program(caller: &DemoCaller) -> Result<()> {
    let terms = json!({ "model": "agent-llm", "budget_tokens": DEMO_BUDGET_TOKENS });
    let program = caller.create(terms).await?;
    println!("program {program}");
    caller.turn(&program, 1, "Pallet 17 has come back. What should be inspected?").await?;
    caller.turn(&program, 2, "The wrapping is torn on one side.").await?;

    let terms = json!({ "model": "agent-llm", "budget_tokens": 20_000, "parent": program });
    let child = caller.create(terms).await?;
    println!("sub-agent {child}, which draws on the budget of {program}");
    caller.turn(&child, 1, "Inspect the torn side of pallet 17.").await?;
    let ended = caller.json(Method::DELETE, &format!("/programs/{child}"), Value::Null).await?;
    println!("sub-agent ended with {} tokens spent", ended["spent_tokens"]);

    let call = json!({
        "service": "ledger-app",
        "path": "/call/settlement",
        "body": { "lot": 17, "amount": 250 },
        "repeatable": false,
    });

    let path = format!("/programs/{program}/calls/3");
    let first = caller.json(Method::POST, &path, call.clone()).await?;
    let again = caller.json(Method::POST, &path, call).await?;
    println!("call 3, which may not be repeated: {}", first["body"]);
    println!("call 3, asked for again:           {}", again["body"]);
    caller.turn(&program, 4, "The settlement is done. Sum up.").await?;

    println!("\nHistory:");
    let path = format!("/programs/{program}/history");
    let history = caller.json(Method::GET, &path, Value::Null).await?;

    for entry in history["entries"].as_array().into_iter().flatten() {
        println!("{entry}");
    }

    let path = format!("/programs/{program}");
    let status = caller.json(Method::DELETE, &path, Value::Null).await?;
    println!("\nEnded: {} of {} tokens spent", status["spent_tokens"], status["budget_tokens"]);
    Ok(())
}
