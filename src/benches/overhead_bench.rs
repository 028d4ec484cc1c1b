//! Latency that a host adds to a streamed response, compared with direct requests to the stand-in engines in the same
//! run.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::{Result, bail, eyre};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, header};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::{sync::Mutex, task::JoinSet};

use crate::{HttpClient, LocalCluster, LocalOptions, platform_calls::http_client::http_client};

const REQUESTS_PER_SECOND: u32 = 200;

/// Number of programs created. Each has one turn; the last 50 only warm up connections.
const PROGRAM_COUNT: u32 = 2_000;

/// Length of each answer, sent as `max_tokens`; the stand-in engine always generates that many.
const ANSWER_TOKENS: u32 = 200;

/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Latency percentiles of one path, in microseconds. `whole` is the time until the end of the stream.
#[derive(Clone, Copy, Debug, Serialize)]
#[expect(clippy::struct_field_names, reason = "each name carries its unit")]
pub(crate) struct PathLatencies {
    pub(crate) first_token_p50_us: u64,
    pub(crate) first_token_p95_us: u64,
    pub(crate) whole_p50_us: u64,
    pub(crate) whole_p95_us: u64,
}

/// Results of the benchmark.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct OverheadReport {
    /// Requests sent straight to the engines.
    pub(crate) direct: PathLatencies,
    /// Turns sent to a host that doesn't own their programs.
    pub(crate) through_non_owner: PathLatencies,
    /// 95th percentile of the time to the end of the stream through a host, divided by the direct one, in thousandths.
    pub(crate) whole_p95_permille: u64,
    /// Writes to the platform per turn, in thousandths.
    pub(crate) platform_writes_per_turn_permille: u64,
}

/// Collects the latencies of one path, in microseconds.
#[derive(Debug)]
struct LatencyRecorder {
    first_token: Histogram<u64>,
    whole: Histogram<u64>,
}

impl LatencyRecorder {
    fn new() -> Result<Self> {
        Ok(Self { first_token: Histogram::new(3)?, whole: Histogram::new(3)? })
    }

    fn percentiles(&self) -> PathLatencies {
        PathLatencies {
            first_token_p50_us: self.first_token.value_at_quantile(0.5),
            first_token_p95_us: self.first_token.value_at_quantile(0.95),
            whole_p50_us: self.whole.value_at_quantile(0.5),
            whole_p95_us: self.whole.value_at_quantile(0.95),
        }
    }
}

/// Measures direct requests, then turns through a host that doesn't own their programs, in a local cluster.
pub(crate) async fn measure_overhead() -> Result<OverheadReport> {
    let options = LocalOptions { hosts: 2, engines: 4, slots: 128, ..LocalOptions::default() };
    let cluster = LocalCluster::start(&options).await?;
    let client = http_client(CONNECT_TIMEOUT);
    let owner = &cluster.nodes[0];
    let entry_url = format!("http://{}", cluster.nodes[1].addresses.callers);
    let key = cluster.team_key.as_str();
    let mut programs = Vec::new();

    for _ in 0..PROGRAM_COUNT {
        let url = format!("http://{}/v1/programs", owner.addresses.callers);
        programs.push(create_program(&client, &url, key).await?);
    }

    // Opens all connections, so that the measurement doesn't include connecting.
    let warm_up = programs.split_off(programs.len() - 50);
    measure_path(&client, key, turn_urls(&entry_url, &warm_up)).await?;
    measure_path(&client, key, direct_urls(&cluster, warm_up.len())).await?;

    let direct = measure_path(&client, key, direct_urls(&cluster, programs.len())).await?;
    let counts_before = cluster.platform_counts();
    let through_host = measure_path(&client, key, turn_urls(&entry_url, &programs)).await?;
    let counts_after = cluster.platform_counts();
    let writes = counts_after.writes - counts_before.writes;

    Ok(OverheadReport {
        direct,
        through_non_owner: through_host,
        whole_p95_permille: through_host.whole_p95_us * 1_000 / direct.whole_p95_us.max(1),
        platform_writes_per_turn_permille: writes * 1_000 / programs.len() as u64,
    })
}

fn turn_urls(entry_url: &str, programs: &[String]) -> Vec<String> {
    programs.iter().map(|program| format!("{entry_url}/v1/programs/{program}/turns/1")).collect()
}

fn direct_urls(cluster: &LocalCluster, count: usize) -> Vec<String> {
    let engines = cluster.engine_urls.iter().cycle();
    engines.take(count).map(|url| format!("{url}/v1/chat/completions")).collect()
}

async fn create_program(client: &HttpClient, url: &str, key: &str) -> Result<String> {
    let body = json!({ "model": "agent-llm", "budget_tokens": 20_000 });
    let response = client.request(post_request(url, key, &body)?).await?;
    let body = response.into_body().collect().await?.to_bytes();
    let program: Value = serde_json::from_slice(&body)?;
    program["program"]
        .as_str()
        .map(ToOwned::to_owned)
        .ok_or_else(|| eyre!("{url}: the response holds no program id: {program}"))
}

fn post_request(url: &str, key: &str, body: &Value) -> Result<Request<Full<bytes::Bytes>>> {
    Ok(Request::builder()
        .method(Method::POST)
        .uri(url)
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(body.to_string()))?)
}

/// Sends one streamed request to each URL, [`REQUESTS_PER_SECOND`] a second, and returns their latency percentiles.
async fn measure_path(client: &HttpClient, key: &str, urls: Vec<String>) -> Result<PathLatencies> {
    let recorder = Arc::new(Mutex::new(LatencyRecorder::new()?));
    let mut interval = tokio::time::interval(Duration::from_secs(1) / REQUESTS_PER_SECOND);
    let mut requests = JoinSet::new();

    for (index, url) in urls.into_iter().enumerate() {
        interval.tick().await;
        let client = client.clone();
        let key = key.to_owned();
        let recorder = Arc::clone(&recorder);
        requests.spawn(async move { time_stream(&client, &key, &url, index, &recorder).await });
    }

    while let Some(result) = requests.join_next().await {
        result??;
    }

    let percentiles = recorder.lock().await.percentiles();
    Ok(percentiles)
}

/// Sends one request and records the latency of its first token and of its whole stream.
async fn time_stream(
    client: &HttpClient,
    key: &str,
    url: &str,
    index: usize,
    recorder: &Mutex<LatencyRecorder>,
) -> Result<()> {
    let body = json!({
        "model": "agent-llm",
        "messages": [{ "role": "user", "content": format!("request {index} of the benchmark") }],
        "max_tokens": ANSWER_TOKENS,
        "stream": true,
    });

    let started = Instant::now();
    let response = client.request(post_request(url, key, &body)?).await?;

    if !response.status().is_success() {
        bail!("{url}: request {index} failed with status {}", response.status());
    }

    let mut body = response.into_body();
    let mut first_token = None;
    let mut last_chunk = bytes::Bytes::new();

    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            first_token.get_or_insert_with(|| started.elapsed());
            last_chunk = data;
        }
    }

    if !last_chunk.ends_with(b"data: [DONE]\n\n") {
        bail!("{url}: the stream of request {index} ended without [DONE]");
    }

    let mut recorder = recorder.lock().await;
    let first_token = first_token.unwrap_or_default();
    recorder.first_token.record(first_token.as_micros() as u64)?;
    recorder.whole.record(started.elapsed().as_micros() as u64)?;
    Ok(())
}
