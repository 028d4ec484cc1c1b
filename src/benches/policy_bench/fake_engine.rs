//! A fake engine in virtual time: continuous batching in steps, a prefix cache with LRU eviction, and admission in
//! order of arrival.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Engine time to prefill one token, in microseconds.
pub(super) const PREFILL_TOKEN_US: u64 = 120;

/// Requests that an engine runs at once.
pub(super) const SLOT_COUNT: usize = 16;

/// Time between two tokens of a decoding request: a fixed part, and a part for each decoding request of the batch, in
/// microseconds. Reading the weights dominates, so a full batch is only a fifth slower than a single request.
const DECODE_BASE_US: u64 = 18_000;
const DECODE_PER_REQUEST_US: u64 = 250;

/// Engine time per answer token while all slots are in use, in microseconds.
pub(super) const DECODE_TOKEN_US: u64 =
    (DECODE_BASE_US + DECODE_PER_REQUEST_US * SLOT_COUNT as u64) / SLOT_COUNT as u64;

/// Memory for the prefixes of running and finished requests, in tokens.
pub(super) const CACHE_TOKENS: u64 = 300_000;

/// Tokens that a step generates for each decoding request.
const STEP_DECODE_TOKENS: u64 = 8;

/// Largest number of tokens that a step prefills, over all requests.
const MAX_STEP_PREFILL_TOKENS: u64 = 4_096;

/// A queued or running request of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineRequest {
    /// Index of the request in the simulation.
    pub(super) index: usize,
    /// Index of its program in the simulation.
    pub(super) program: usize,
    pub(super) prompt_tokens: u64,
    /// Tokens of the prompt that no earlier turn has prefilled or generated.
    pub(super) new_tokens: u64,
    pub(super) answer_tokens: u64,
    /// Tokens of the prompt that were cached at admission.
    pub(super) cached_tokens: u64,
    remaining_prefill_tokens: u64,
    decoded_tokens: u64,
    /// Time at which the prefill ended.
    decode_start_us: u64,
}

impl EngineRequest {
    /// Creates a request that has not been admitted yet. `prompt`, `new` and `answer` are numbers of tokens.
    pub(super) fn new(index: usize, program: usize, prompt: u64, new: u64, answer: u64) -> Self {
        Self {
            index,
            program,
            prompt_tokens: prompt,
            new_tokens: new,
            answer_tokens: answer,
            cached_tokens: 0,
            remaining_prefill_tokens: 0,
            decoded_tokens: 0,
            decode_start_us: 0,
        }
    }

    /// Time since the prefill ended, in microseconds.
    pub(super) fn decode_us(&self, now_us: u64) -> u64 {
        now_us - self.decode_start_us
    }
}

/// Cached prefix of one program.
#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: u64,
    /// Value of [`FakeEngine::use_count`] at its last use.
    last_use: u64,
    /// Number of running requests that use the prefix; while there are any, it can't be evicted.
    pins: u32,
}

/// State of one fake engine.
#[derive(Clone, Debug, Default)]
pub(super) struct FakeEngine {
    pub(super) is_stepping: bool,
    /// Whether the engine accepts requests.
    pub(super) is_serving: bool,
    /// Incremented by each crash, so that steps scheduled before it are ignored.
    pub(super) incarnation: u32,
    queue: VecDeque<EngineRequest>,
    running: Vec<EngineRequest>,
    /// Cached prefixes by program.
    cache: BTreeMap<usize, CachedPrefix>,
    /// Programs with a cached prefix by its last use, the least recent first.
    lru_order: BTreeSet<(u64, usize)>,
    cached_tokens: u64,
    use_count: u64,
    pub(super) prefilled_tokens: u64,
    /// Part of the prefilled tokens that an earlier turn had already prefilled or generated.
    pub(super) wasted_tokens: u64,
    /// Tokens that the current step prefills.
    step_prefill_tokens: u64,
}

impl FakeEngine {
    pub(super) fn new() -> Self {
        Self { is_serving: true, ..Self::default() }
    }

    /// Appends a request to the queue.
    pub(super) fn push(&mut self, request: EngineRequest) {
        self.queue.push_back(request);
    }

    /// Number of running requests.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    pub(super) fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Stops the engine, clears its cache, and returns its running and queued requests.
    pub(super) fn crash(&mut self) -> Vec<EngineRequest> {
        self.incarnation += 1;
        self.is_serving = false;
        self.is_stepping = false;
        self.cache.clear();
        self.lru_order.clear();
        self.cached_tokens = 0;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.queue));
        lost
    }

    /// Drops a program's prefix from the cache, unless a running request uses it.
    pub(super) fn drop_prefix(&mut self, program: usize) {
        if self.cache.get(&program).is_some_and(|it| it.pins == 0) {
            self.remove(program);
        }
    }

    /// Admits queued requests and begins a step. Returns its duration in microseconds, or `None` if no request runs.
    pub(super) fn begin_step(&mut self) -> Option<u64> {
        self.admit();

        if self.running.is_empty() {
            self.is_stepping = false;
            return None;
        }

        self.is_stepping = true;
        let pending_prefill_tokens: u64 =
            self.running.iter().map(|it| it.remaining_prefill_tokens).sum();
        self.step_prefill_tokens = pending_prefill_tokens.min(MAX_STEP_PREFILL_TOKENS);
        let decoding_requests =
            self.running.iter().filter(|it| it.remaining_prefill_tokens == 0).count() as u64;
        let token_us = DECODE_BASE_US + DECODE_PER_REQUEST_US * decoding_requests;
        let decode_us = if decoding_requests > 0 { token_us * STEP_DECODE_TOKENS } else { 0 };
        Some((decode_us + self.step_prefill_tokens * PREFILL_TOKEN_US).max(1))
    }

    /// Ends the step and returns the requests that it has finished.
    pub(super) fn end_step(&mut self, now_us: u64) -> Vec<EngineRequest> {
        let mut prefill_tokens = self.step_prefill_tokens;
        let mut finished = Vec::new();

        for request in &mut self.running {
            if request.remaining_prefill_tokens > 0 {
                let prefilled = request.remaining_prefill_tokens.min(prefill_tokens);
                request.remaining_prefill_tokens -= prefilled;
                prefill_tokens -= prefilled;

                if request.remaining_prefill_tokens == 0 {
                    request.decode_start_us = now_us;
                }
            } else {
                request.decoded_tokens += STEP_DECODE_TOKENS;
            }

            if request.decoded_tokens >= request.answer_tokens {
                finished.push(*request);
            }
        }

        self.running.retain(|it| it.decoded_tokens < it.answer_tokens);

        for request in &finished {
            let tokens = request.prompt_tokens + request.answer_tokens;
            self.unpin(request.program, tokens);
        }

        finished
    }

    /// Moves requests from the queue to free slots and reserves cache for their prompts.
    fn admit(&mut self) {
        while self.running.len() < SLOT_COUNT {
            let Some(mut request) = self.queue.pop_front() else {
                return;
            };

            let cached = self.cache.get(&request.program).map_or(0, |it| it.tokens);
            request.cached_tokens = cached.min(request.prompt_tokens);
            request.remaining_prefill_tokens =
                (request.prompt_tokens - request.cached_tokens).max(1);
            self.prefilled_tokens += request.prompt_tokens - request.cached_tokens;
            let seen_tokens = request.prompt_tokens - request.new_tokens;
            self.wasted_tokens += seen_tokens.saturating_sub(request.cached_tokens);
            self.pin(request.program, request.prompt_tokens);
            self.running.push(request);
        }
    }

    /// Resizes a program's prefix to `tokens` and adds a pin.
    fn pin(&mut self, program: usize, tokens: u64) {
        let pins = self.cache.get(&program).map_or(0, |it| it.pins);
        self.remove(program);
        self.insert(program, tokens, pins + 1);
        self.evict();
    }

    /// Resizes a program's prefix to `tokens` and removes a pin.
    fn unpin(&mut self, program: usize, tokens: u64) {
        let pins = self.cache.get(&program).map_or(1, |it| it.pins);
        self.remove(program);
        self.insert(program, tokens, pins - 1);
        self.evict();
    }

    fn insert(&mut self, program: usize, tokens: u64, pins: u32) {
        self.use_count += 1;
        self.cached_tokens += tokens;
        self.lru_order.insert((self.use_count, program));
        self.cache.insert(program, CachedPrefix { tokens, last_use: self.use_count, pins });
    }

    fn remove(&mut self, program: usize) {
        if let Some(cached) = self.cache.remove(&program) {
            self.cached_tokens -= cached.tokens;
            self.lru_order.remove(&(cached.last_use, program));
        }
    }

    /// Evicts the least recently used prefixes until the cache fits. Pinned ones stay, even beyond its size.
    fn evict(&mut self) {
        while self.cached_tokens > CACHE_TOKENS {
            let least_recent =
                self.lru_order.iter().find(|(_, program)| self.cache[program].pins == 0);

            let Some((_, program)) = least_recent.copied() else {
                return;
            };

            self.remove(program);
        }
    }
}
