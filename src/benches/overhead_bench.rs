//! What a host adds to an answer, against calling the stand-in engine itself, both in one run.

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

/// Requests a second, and in all.
const REQUEST_RATE: u32 = 200;
const REQUEST_COUNT: u32 = 2_000;

/// Tokens of each answer.
const ANSWER_TOKENS: u32 = 200;

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Times of one way, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
#[expect(clippy::struct_field_names, reason = "each name carries its unit")]
pub(crate) struct PathTimes {
    pub(crate) first_token_p50_us: u64,
    pub(crate) first_token_p95_us: u64,
    pub(crate) whole_p50_us: u64,
    pub(crate) whole_p95_us: u64,
}

/// Figures of the benchmark.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct OverheadFigures {
    pub(crate) direct: PathTimes,
    pub(crate) through_non_owner: PathTimes,
    /// Whole answers at the 95th percentile, through a host over directly, in thousandths.
    pub(crate) whole_p95_permille: u64,
    /// Calls to the platform for each turn, in thousandths.
    pub(crate) platform_writes_per_turn_permille: u64,
}

#[derive(Debug)]
struct PathRecorder {
    first_token: Histogram<u64>,
    whole: Histogram<u64>,
}

impl PathRecorder {
    fn new() -> Result<Self> {
        Ok(Self { first_token: Histogram::new(3)?, whole: Histogram::new(3)? })
    }

    fn times(&self) -> PathTimes {
        PathTimes {
            first_token_p50_us: self.first_token.value_at_quantile(0.5),
            first_token_p95_us: self.first_token.value_at_quantile(0.95),
            whole_p50_us: self.whole.value_at_quantile(0.5),
            whole_p95_us: self.whole.value_at_quantile(0.95),
        }
    }
}

/// Runs the benchmark.
pub(crate) async fn measure_overhead() -> Result<OverheadFigures> {
    let options = LocalOptions { hosts: 2, engines: 4, slots: 128, ..LocalOptions::default() };
    let cluster = LocalCluster::start(&options).await?;
    let client = http_client(CONNECT_TIMEOUT);
    let owner = &cluster.nodes[0];
    let entry = format!("http://{}", cluster.nodes[1].addresses.callers);
    let key = cluster.team_key.as_str();
    let mut programs = Vec::new();

    for _ in 0..REQUEST_COUNT {
        let url = format!("http://{}/v1/programs", owner.addresses.callers);
        programs.push(create(&client, &url, key).await?);
    }

    // The connections between all parties are made before anything is measured.
    let warm = programs.split_off(programs.len() - 50);
    measure(&client, key, turn_urls(&entry, &warm)).await?;
    measure(&client, key, direct_urls(&cluster, warm.len())).await?;

    let direct = measure(&client, key, direct_urls(&cluster, programs.len())).await?;
    let before = cluster.platform_counts();
    let through = measure(&client, key, turn_urls(&entry, &programs)).await?;
    let after = cluster.platform_counts();
    let writes = after.writes - before.writes;

    Ok(OverheadFigures {
        direct,
        through_non_owner: through,
        whole_p95_permille: through.whole_p95_us * 1_000 / direct.whole_p95_us.max(1),
        platform_writes_per_turn_permille: writes * 1_000 / programs.len() as u64,
    })
}

fn turn_urls(entry: &str, programs: &[String]) -> Vec<String> {
    programs.iter().map(|program| format!("{entry}/v1/programs/{program}/turns/1")).collect()
}

fn direct_urls(cluster: &LocalCluster, count: usize) -> Vec<String> {
    let engines = cluster.engine_urls.iter().cycle();
    engines.take(count).map(|url| format!("{url}/v1/chat/completions")).collect()
}

async fn create(client: &HttpClient, url: &str, key: &str) -> Result<String> {
    let body = json!({ "model": "agent-llm", "budget_tokens": 20_000 });
    let response = client.request(request(url, key, &body)?).await?;
    let body = response.into_body().collect().await?.to_bytes();
    let answer: Value = serde_json::from_slice(&body)?;
    answer["program"].as_str().map(ToOwned::to_owned).ok_or_else(|| eyre!("{answer}"))
}

fn request(url: &str, key: &str, body: &Value) -> Result<Request<Full<bytes::Bytes>>> {
    Ok(Request::builder()
        .method(Method::POST)
        .uri(url)
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(body.to_string()))?)
}

/// Sends one request to each address, at the rate, and times its stream.
async fn measure(client: &HttpClient, key: &str, urls: Vec<String>) -> Result<PathTimes> {
    let recorder = Arc::new(Mutex::new(PathRecorder::new()?));
    let mut interval = tokio::time::interval(Duration::from_secs(1) / REQUEST_RATE);
    let mut requests = JoinSet::new();

    for (index, url) in urls.into_iter().enumerate() {
        interval.tick().await;
        let client = client.clone();
        let key = key.to_owned();
        let recorder = Arc::clone(&recorder);
        requests.spawn(async move { stream(&client, &key, &url, index, &recorder).await });
    }

    while let Some(result) = requests.join_next().await {
        result??;
    }

    let times = recorder.lock().await.times();
    Ok(times)
}

async fn stream(
    client: &HttpClient,
    key: &str,
    url: &str,
    index: usize,
    recorder: &Mutex<PathRecorder>,
) -> Result<()> {
    let body = json!({
        "model": "agent-llm",
        "messages": [{ "role": "user", "content": format!("request {index} of the benchmark") }],
        "max_tokens": ANSWER_TOKENS,
        "stream": true,
    });

    let started = Instant::now();
    let response = client.request(request(url, key, &body)?).await?;

    if !response.status().is_success() {
        bail!("{url}: {}", response.status());
    }

    let mut body = response.into_body();
    let mut first_token = None;
    let mut last = bytes::Bytes::new();

    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            first_token.get_or_insert_with(|| started.elapsed());
            last = data;
        }
    }

    if !last.ends_with(b"data: [DONE]\n\n") {
        bail!("{url}: the stream has no end");
    }

    let mut recorder = recorder.lock().await;
    let first_token = first_token.unwrap_or_default();
    recorder.first_token.record(first_token.as_micros() as u64)?;
    recorder.whole.record(started.elapsed().as_micros() as u64)?;
    Ok(())
}
