//! The stand-in for a model engine: chat completions, streamed or whole, with a prefix cache and admission in arrival
//! order.

use {
    crate::{EngineCache, EngineFaults, EngineTimings, fault_gate::FaultGate},
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

/// Tokens of an answer whose request gives no limit.
const DEFAULT_ANSWER_TOKENS: u64 = 16;

/// Bytes that the stand-in counts as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Chunks of a stream that wait for a slow reader.
const STREAM_DEPTH: usize = 16;

/// How an engine is set up.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name that answers carry.
    pub name: String,
    /// Requests that run at once; others wait in arrival order.
    pub slots: usize,
    /// Memory for prefixes, in tokens.
    pub cache_tokens: u64,
    /// Speed.
    pub timings: EngineTimings,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Whether a crash ends the process, or only makes the engine drop every connection from then on.
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

/// One request that an engine has run, for the history checker.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EngineRun {
    /// The request's `prompt_cache_key`, which is the program.
    pub cache_key: String,
    /// The messages of the request, as they came.
    pub messages: Vec<Value>,
    /// Text of the answer.
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

#[derive(Deserialize)]
struct EngineOrder {
    kind: String,
    cache_key: String,
    fence: u64,
}

#[derive(Clone, Copy, Debug)]
struct ChatUsage {
    prompt: u64,
    cached: u64,
    completion: u64,
}

impl ChatUsage {
    fn json(self) -> Value {
        json!({
          "prompt_tokens": self.prompt,
          "completion_tokens": self.completion,
          "total_tokens": self.prompt + self.completion,
          "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }
}

/// The engine's state, shared by the listener and by a test that runs it in its own process.
#[derive(Debug)]
pub struct EngineService {
    options: EngineOptions,
    cache: Mutex<EngineCache>,
    faults: FaultGate<EngineFaults>,
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
            faults: FaultGate::default(),
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

    /// Cache keys that hold memory, each with its tokens.
    pub fn cached_tokens(&self) -> HashMap<String, u64> {
        self.cache.lock().cached_tokens()
    }

    /// Requests that came while the engine was leaving, and were refused.
    pub fn refusals(&self) -> usize {
        self.refusals.load(Ordering::SeqCst)
    }

    /// Whether a request has crashed the engine.
    pub fn is_crashed(&self) -> bool {
        self.is_crashed.load(Ordering::SeqCst)
    }

    /// Routes of the engine.
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

    /// Requests that this engine has run to their end, in the order in which they ended.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.runs.lock().clone()
    }

    /// Replaces the faults in force; a crashed engine is started again.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.is_crashed.store(false, Ordering::SeqCst);
        self.faults.set(faults);
    }

    async fn admit(&self, text: &str) -> Result<EngineFaults, StatusCode> {
        let faults = self.faults.get();

        if faults.hang {
            std::future::pending::<()>().await;
        }

        if faults.crash_on.as_ref().is_some_and(|word| text.contains(word)) {
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

    fn answer_words(request: &ChatRequest) -> Vec<String> {
        let last = request.messages.last().map(Value::to_string).unwrap_or_default();
        let seed = xxh3_64_with_seed(last.as_bytes(), request.messages.len() as u64);
        let count = request.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
        (0..count).map(|index| format!("w{:03x} ", (seed >> (index % 48)) & 0xfff)).collect()
    }

    fn prefix_chain(request: &ChatRequest) -> Vec<(u64, u64)> {
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

    fn store_answer(&self, request: &ChatRequest, answer: &str) {
        let message = json!({ "role": "assistant", "content": answer });
        let mut messages = request.messages.clone();
        messages.push(message);

        let whole = ChatRequest {
            messages,
            max_tokens: None,
            model: String::new(),
            prompt_cache_key: String::new(),
            stream: false,
        };

        self.cache.lock().lookup(&Self::prefix_chain(&whole), &request.prompt_cache_key);

        self.runs.lock().push(EngineRun {
            cache_key: request.prompt_cache_key.clone(),
            messages: request.messages.clone(),
            answer: answer.to_owned(),
        });
    }

    /// Generates into the channel, a word a time. The receiver may go away, as a cancelled stream does.
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
        self.run_batch(&request, &faults, &chunks).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        drop(permit);
    }

    async fn run_batch(
        &self,
        request: &ChatRequest,
        faults: &EngineFaults,
        chunks: &mpsc::Sender<EngineChunk>,
    ) {
        let chain = Self::prefix_chain(request);
        let prompt: u64 = chain.iter().map(|(_, tokens)| tokens).sum();
        let cached = self.cache.lock().lookup(&chain, &request.prompt_cache_key);
        let prefill = self.options.timings.prefill_per_token * (prompt - cached) as u32;
        tokio::time::sleep(prefill + Duration::from_millis(faults.delay_ms)).await;

        let words = Self::answer_words(request);
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

        self.store_answer(request, &words.concat());
        let usage = ChatUsage { prompt, cached, completion: words.len() as u64 };
        let _ = chunks.send(EngineChunk::End(usage)).await;
    }
}

#[derive(Debug)]
enum EngineChunk {
    Cut,
    End(ChatUsage),
    Word(String),
}

/// A crashed engine that shares its process with a test breaks every connection.
fn broken_connection() -> Response {
    let cut = futures_util::stream::iter([Err::<Bytes, _>(std::io::Error::other("crashed"))]);
    Body::from_stream(cut).into_response()
}

async fn post_chat(State(engine): State<Arc<EngineService>>, body: Bytes) -> Response {
    let Ok(request) = serde_json::from_slice::<ChatRequest>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };

    let faults = match engine.admit(&String::from_utf8_lossy(&body)).await {
        Ok(faults) => faults,
        Err(status) => return status.into_response(),
    };

    if engine.is_crashed() {
        return broken_connection();
    }

    let is_stream = request.stream;
    let model = request.model.clone();
    let (sender, receiver) = mpsc::channel(STREAM_DEPTH);
    tokio::spawn(engine.generate(request, faults, sender));

    if is_stream { stream_answer(model, receiver) } else { whole_answer(model, receiver).await }
}

async fn whole_answer(model: String, mut chunks: mpsc::Receiver<EngineChunk>) -> Response {
    let mut answer = String::new();

    while let Some(chunk) = chunks.recv().await {
        match chunk {
            EngineChunk::Word(word) => answer.push_str(&word),
            EngineChunk::Cut => return StatusCode::BAD_GATEWAY.into_response(),
            EngineChunk::End(usage) => {
                let body = json!({
                  "id": "chatcmpl-standin",
                  "object": "chat.completion",
                  "created": 0,
                  "model": model,
                  "choices": [{
                    "index": 0,
                    "message": { "role": "assistant", "content": answer },
                    "finish_reason": "stop",
                  }],
                  "usage": usage.json(),
                });
                return Json(body).into_response();
            }
        }
    }

    StatusCode::BAD_GATEWAY.into_response()
}

fn event_text(model: &str, delta: Value, finish: Option<&str>, usage: Option<ChatUsage>) -> String {
    let mut body = json!({
      "id": "chatcmpl-standin",
      "object": "chat.completion.chunk",
      "created": 0,
      "model": model,
      "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
    });

    if let Some(usage) = usage {
        body["usage"] = usage.json();
    }

    format!("data: {body}\n\n")
}

fn stream_answer(model: String, mut chunks: mpsc::Receiver<EngineChunk>) -> Response {
    let (sender, receiver) = mpsc::channel::<Result<Bytes, std::io::Error>>(STREAM_DEPTH);

    tokio::spawn(async move {
        while let Some(chunk) = chunks.recv().await {
            let part = match chunk {
                EngineChunk::Word(word) => {
                    Ok(event_text(&model, json!({ "content": word }), None, None))
                }
                EngineChunk::End(usage) => {
                    Ok(event_text(&model, json!({}), Some("stop"), Some(usage))
                        + "data: [DONE]\n\n")
                }
                EngineChunk::Cut => Err(std::io::Error::other("stream cut")),
            };

            if sender.send(part.map(Bytes::from)).await.is_err() {
                return;
            }
        }
    });

    let stream = futures_stream(receiver);
    ([(header::CONTENT_TYPE, "text/event-stream")], Body::from_stream(stream)).into_response()
}

fn futures_stream(
    receiver: mpsc::Receiver<Result<Bytes, std::io::Error>>,
) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    futures_util::stream::unfold(receiver, |mut receiver| async move {
        let part = receiver.recv().await?;
        Some((part, receiver))
    })
}

async fn get_health(State(engine): State<Arc<EngineService>>) -> Response {
    if engine.is_crashed() {
        return broken_connection();
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
    }))
}

async fn get_cache(State(engine): State<Arc<EngineService>>) -> Json<HashMap<String, u64>> {
    Json(engine.cached_tokens())
}

async fn post_order(
    State(engine): State<Arc<EngineService>>,
    Json(order): Json<EngineOrder>,
) -> StatusCode {
    let highest = engine.highest_fence.fetch_max(order.fence, Ordering::SeqCst);

    if engine.options.checks_fencing && order.fence < highest {
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
