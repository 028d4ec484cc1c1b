//! Stand-in for an inference engine: serves `OpenAI` chat completions, streamed or not, with a prefix cache and a fixed
//! number of slots that are granted in order of arrival.

use {
    crate::{EngineCache, EngineFaults, EngineTimings, active_faults::ActiveFaults},
    axum::{
        Json, Router,
        body::{Body, Bytes},
        extract::{DefaultBodyLimit, State},
        http::{StatusCode, header},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Semaphore, mpsc},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Tokens of a completion whose request has no `max_tokens`.
const DEFAULT_COMPLETION_TOKENS: u64 = 16;

/// Bytes of a message that count as one prompt token.
const BYTES_PER_TOKEN: u64 = 4;

/// Chunks of a response that are buffered for a slow reader.
const STREAM_BUFFER_CHUNKS: usize = 16;

/// Options of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name in the load report.
    pub name: String,
    /// Requests that run concurrently. Others wait in order of arrival.
    pub slots: usize,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Simulated processing times.
    pub timings: EngineTimings,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Whether a crash exits the process. If not, as for an engine inside a test process, running responses break off,
    /// and new chat requests and health checks fail with a broken connection until the faults are replaced.
    pub exits_on_crash: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            slots: 8,
            cache_tokens: 200_000,
            timings: EngineTimings::default(),
            checks_fencing: true,
            exits_on_crash: false,
        }
    }
}

/// Request that an engine has completed, for the tests' history checker.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EngineRun {
    /// The request's `prompt_cache_key`, which is the program's id.
    pub cache_key: String,
    /// Messages of the request, unchanged.
    pub messages: Vec<Value>,
    /// Text of the completion.
    pub answer: String,
}

#[derive(Deserialize)]
struct ChatRequest {
    messages: Vec<Value>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt_cache_key: String,
    #[serde(default)]
    stream: bool,
}

/// Order of a dispatcher. The only kind with an effect is `release`, which frees the prefixes of a cache key.
#[derive(Deserialize)]
struct EngineOrder {
    kind: String,
    cache_key: String,
    fence: u64,
}

/// Token counts of a response.
#[derive(Clone, Copy, Debug)]
struct TokenUsage {
    prompt: u64,
    cached: u64,
    completion: u64,
}

impl TokenUsage {
    fn to_json(self) -> Value {
        json!({
          "prompt_tokens": self.prompt,
          "completion_tokens": self.completion,
          "total_tokens": self.prompt + self.completion,
          "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }
}

/// The engine's state, shared by the HTTP listener and by a test that runs the engine in its process.
#[derive(Debug)]
pub struct EngineService {
    options: EngineOptions,
    cache: Mutex<EngineCache>,
    faults: ActiveFaults<EngineFaults>,
    is_crashed: AtomicBool,
    highest_fence: AtomicU64,
    refusals: AtomicUsize,
    running: AtomicUsize,
    runs: Mutex<Vec<EngineRun>>,
    slots: Semaphore,
    waiting: AtomicUsize,
}

impl EngineService {
    /// Makes an idle engine.
    pub fn new(options: EngineOptions) -> Self {
        Self {
            cache: Mutex::new(EngineCache::new(options.cache_tokens)),
            faults: ActiveFaults::default(),
            is_crashed: AtomicBool::new(false),
            highest_fence: AtomicU64::new(0),
            refusals: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            runs: Mutex::default(),
            slots: Semaphore::new(options.slots),
            waiting: AtomicUsize::new(0),
            options,
        }
    }

    /// Cached tokens by cache key; keys without any are left out.
    pub fn cached_tokens(&self) -> HashMap<String, u64> {
        self.cache.lock().cached_tokens()
    }

    /// Number of chat requests that were refused because of [`EngineFaults::leaving`].
    pub fn refusals(&self) -> usize {
        self.refusals.load(Ordering::SeqCst)
    }

    /// Whether a request has crashed the engine; see [`EngineFaults::crash_on`].
    pub fn is_crashed(&self) -> bool {
        self.is_crashed.load(Ordering::SeqCst)
    }

    /// HTTP routes of the engine.
    pub fn router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/v1/chat/completions", post(post_chat))
            .route("/health", get(get_health))
            .route("/load", get(get_load))
            .route("/cache", get(get_cache))
            .route("/orders", post(post_order))
            .route("/runs", get(get_runs))
            .route("/faults", post(post_faults))
            .layer(DefaultBodyLimit::max(16_000_000))
            .with_state(self)
    }

    /// Requests that this engine has completed, in order of completion.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.runs.lock().clone()
    }

    /// Replaces the active faults, and revives a crashed engine.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.is_crashed.store(false, Ordering::SeqCst);
        self.faults.set(faults);
    }

    /// Applies the faults that act before a chat request runs, and returns all active faults. The error is the status
    /// to refuse the request with.
    async fn apply_faults(&self, body: &str) -> Result<EngineFaults, StatusCode> {
        let faults = self.faults.get();

        if faults.hang {
            std::future::pending::<()>().await;
        }

        if faults.crash_on.as_ref().is_some_and(|text| body.contains(text)) {
            self.crash();
        }

        if faults.leaving {
            self.refusals.fetch_add(1, Ordering::SeqCst);
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }

        Ok(faults)
    }

    fn crash(&self) {
        if self.options.exits_on_crash {
            std::process::exit(1);
        }

        self.is_crashed.store(true, Ordering::SeqCst);
    }

    /// Words of the completion, one a token. Equal requests get equal words.
    fn completion_words(request: &ChatRequest) -> Vec<String> {
        let last = request.messages.last().map(Value::to_string).unwrap_or_default();
        let seed = xxh3_64_with_seed(last.as_bytes(), request.messages.len() as u64);
        let count = request.max_tokens.unwrap_or(DEFAULT_COMPLETION_TOKENS);
        (0..count).map(|index| format!("w{:03x} ", (seed >> (index % 48)) & 0xfff)).collect()
    }

    /// Hash of each prefix of the messages, from the shortest to the longest, with the tokens of its last message.
    fn message_prefixes(request: &ChatRequest) -> Vec<(u64, u64)> {
        let mut hash = 0;

        request
            .messages
            .iter()
            .map(|message| {
                let text = message.to_string();
                hash = xxh3_64_with_seed(text.as_bytes(), hash);
                (hash, text.len() as u64 / BYTES_PER_TOKEN + 1)
            })
            .collect()
    }

    /// Records a completed request, and caches its conversation with the completion, which the next turn's prompt
    /// begins with.
    fn record_completion(&self, request: &ChatRequest, completion: &str) {
        let message = json!({ "role": "assistant", "content": completion });
        let mut messages = request.messages.clone();
        messages.push(message);

        let conversation = ChatRequest {
            messages,
            max_tokens: None,
            model: String::new(),
            prompt_cache_key: String::new(),
            stream: false,
        };

        self.cache
            .lock()
            .lookup_and_insert(&Self::message_prefixes(&conversation), &request.prompt_cache_key);

        self.runs.lock().push(EngineRun {
            cache_key: request.prompt_cache_key.clone(),
            messages: request.messages.clone(),
            answer: completion.to_owned(),
        });
    }

    /// Runs a request once a slot is free, and sends its chunks to the channel.
    async fn generate(
        self: Arc<Self>,
        request: ChatRequest,
        faults: EngineFaults,
        chunks: mpsc::Sender<EngineChunk>,
    ) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        self.running.fetch_add(1, Ordering::Relaxed);
        self.run_request(&request, &faults, &chunks).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        drop(permit);
    }

    /// Sends the words of the completion at the configured speed, and then its usage. Stops early if the receiver is
    /// dropped, as it is when the client cancels.
    async fn run_request(
        &self,
        request: &ChatRequest,
        faults: &EngineFaults,
        chunks: &mpsc::Sender<EngineChunk>,
    ) {
        let prefixes = Self::message_prefixes(request);
        let prompt: u64 = prefixes.iter().map(|(_, tokens)| tokens).sum();
        let cached = self.cache.lock().lookup_and_insert(&prefixes, &request.prompt_cache_key);
        let prefill_time = self.options.timings.prefill_per_token * (prompt - cached) as u32;
        tokio::time::sleep(prefill_time + Duration::from_millis(faults.delay_ms)).await;

        let words = Self::completion_words(request);
        let mut interval = tokio::time::interval(
            self.options.timings.decode_per_token.max(Duration::from_micros(1)),
        );

        for (index, word) in words.iter().enumerate() {
            interval.tick().await;
            let is_cut = faults.cut_after_tokens.is_some_and(|limit| index as u64 >= limit);

            if is_cut || self.is_crashed.load(Ordering::SeqCst) {
                let _ = chunks.send(EngineChunk::Cut).await;
                return;
            }

            if chunks.send(EngineChunk::Word(word.clone())).await.is_err() {
                return;
            }
        }

        self.record_completion(request, &words.concat());
        let usage = TokenUsage { prompt, cached, completion: words.len() as u64 };
        let _ = chunks.send(EngineChunk::End(usage)).await;
    }
}

/// Part of a response.
#[derive(Debug)]
enum EngineChunk {
    /// The response breaks off here.
    Cut,
    /// The response is complete.
    End(TokenUsage),
    Word(String),
}

/// Response of a crashed engine inside a test process: its body fails, which closes the connection.
fn broken_response() -> Response {
    let failing_body =
        futures_util::stream::iter([Err::<Bytes, _>(std::io::Error::other("crashed"))]);
    Body::from_stream(failing_body).into_response()
}

async fn post_chat(State(engine): State<Arc<EngineService>>, body: Bytes) -> Response {
    let Ok(request) = serde_json::from_slice::<ChatRequest>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };

    let faults = match engine.apply_faults(&String::from_utf8_lossy(&body)).await {
        Ok(faults) => faults,
        Err(status) => return status.into_response(),
    };

    if engine.is_crashed() {
        return broken_response();
    }

    let is_stream = request.stream;
    let model = request.model.clone();
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
    tokio::spawn(engine.generate(request, faults, sender));

    if is_stream {
        stream_response(model, receiver)
    } else {
        buffered_response(model, receiver).await
    }
}

async fn buffered_response(model: String, mut chunks: mpsc::Receiver<EngineChunk>) -> Response {
    let mut completion = String::new();

    while let Some(chunk) = chunks.recv().await {
        match chunk {
            EngineChunk::Word(word) => completion.push_str(&word),
            EngineChunk::Cut => return StatusCode::BAD_GATEWAY.into_response(),
            EngineChunk::End(usage) => {
                let body = json!({
                  "id": "chatcmpl-standin",
                  "object": "chat.completion",
                  "created": 0,
                  "model": model,
                  "choices": [{
                    "index": 0,
                    "message": { "role": "assistant", "content": completion },
                    "finish_reason": "stop",
                  }],
                  "usage": usage.to_json(),
                });
                return Json(body).into_response();
            }
        }
    }

    StatusCode::BAD_GATEWAY.into_response()
}

/// Server-sent event with one chunk of a completion.
fn chunk_event(
    model: &str,
    delta: Value,
    finish_reason: Option<&str>,
    usage: Option<TokenUsage>,
) -> String {
    let mut body = json!({
      "id": "chatcmpl-standin",
      "object": "chat.completion.chunk",
      "created": 0,
      "model": model,
      "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
    });

    if let Some(usage) = usage {
        body["usage"] = usage.to_json();
    }

    format!("data: {body}\n\n")
}

fn stream_response(model: String, mut chunks: mpsc::Receiver<EngineChunk>) -> Response {
    let (sender, receiver) = mpsc::channel::<Result<Bytes, std::io::Error>>(STREAM_BUFFER_CHUNKS);

    tokio::spawn(async move {
        while let Some(chunk) = chunks.recv().await {
            let event = match chunk {
                EngineChunk::Word(word) => {
                    Ok(chunk_event(&model, json!({ "content": word }), None, None))
                }
                EngineChunk::End(usage) => {
                    Ok(chunk_event(&model, json!({}), Some("stop"), Some(usage))
                        + "data: [DONE]\n\n")
                }
                EngineChunk::Cut => Err(std::io::Error::other("stream cut")),
            };

            if sender.send(event.map(Bytes::from)).await.is_err() {
                return;
            }
        }
    });

    let stream = receiver_stream(receiver);
    ([(header::CONTENT_TYPE, "text/event-stream")], Body::from_stream(stream)).into_response()
}

fn receiver_stream(
    receiver: mpsc::Receiver<Result<Bytes, std::io::Error>>,
) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    futures_util::stream::unfold(receiver, |mut receiver| async move {
        let event = receiver.recv().await?;
        Some((event, receiver))
    })
}

async fn get_health(State(engine): State<Arc<EngineService>>) -> Response {
    if engine.is_crashed() {
        return broken_response();
    }

    let is_leaving = engine.faults.get().leaving;
    let status = if is_leaving { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
    status.into_response()
}

async fn get_load(State(engine): State<Arc<EngineService>>) -> Json<Value> {
    Json(json!({
        "name": engine.options.name,
        "running": engine.running.load(Ordering::Relaxed),
        "waiting": engine.waiting.load(Ordering::Relaxed),
        "slots": engine.options.slots,
        "requests_per_second": engine.faults.get().requests_per_second,
    }))
}

async fn get_cache(State(engine): State<Arc<EngineService>>) -> Json<HashMap<String, u64>> {
    Json(engine.cached_tokens())
}

async fn post_order(
    State(engine): State<Arc<EngineService>>,
    Json(order): Json<EngineOrder>,
) -> StatusCode {
    let highest_fence = engine.highest_fence.fetch_max(order.fence, Ordering::SeqCst);

    if engine.options.checks_fencing && order.fence < highest_fence {
        return StatusCode::CONFLICT;
    }

    if order.kind == "release" {
        engine.cache.lock().release(&order.cache_key);
    }

    StatusCode::NO_CONTENT
}

async fn get_runs(State(engine): State<Arc<EngineService>>) -> Json<Vec<EngineRun>> {
    Json(engine.runs())
}

async fn post_faults(
    State(engine): State<Arc<EngineService>>,
    Json(faults): Json<EngineFaults>,
) -> StatusCode {
    engine.set_faults(faults);
    StatusCode::NO_CONTENT
}
