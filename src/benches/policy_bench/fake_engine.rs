//! A fake engine in virtual time: continuous batching in steps, a prefix cache with eviction by least recent use, and
//! admission in order of arrival.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time to prefill a token, in microseconds.
pub(super) const PREFILL_TOKEN_US: u64 = 120;

/// Requests that run at once.
pub(super) const SLOT_COUNT: usize = 16;

/// Time between two tokens of a request that runs alone, and what each other one adds, in microseconds. Reading the
/// weights takes most of a step, so a full batch is a fifth slower than a single request.
const DECODE_BASE_US: u64 = 18_000;
const DECODE_SHARE_US: u64 = 250;

/// Engine time that a token of an answer takes where all slots are taken, in microseconds.
pub(super) const DECODE_SLOT_US: u64 =
    (DECODE_BASE_US + DECODE_SHARE_US * SLOT_COUNT as u64) / SLOT_COUNT as u64;

/// Memory for the prefixes of what runs and of what has run, in tokens.
pub(super) const CACHE_TOKENS: u64 = 300_000;

/// Tokens that a step generates for each request.
const STEP_TOKENS: u64 = 8;

/// Tokens that a step prefills at the most.
const STEP_PREFILL_TOKENS: u64 = 4_096;

/// A request as the engine has it.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineRequest {
    /// Index of the request in the simulation.
    pub(super) request: usize,
    pub(super) program: usize,
    pub(super) prompt_tokens: u64,
    /// Tokens of the prompt that were never prefilled anywhere.
    pub(super) new_tokens: u64,
    pub(super) answer_tokens: u64,
    pub(super) cached_tokens: u64,
    prefill_left: u64,
    decoded: u64,
    first_token_us: u64,
}

impl EngineRequest {
    pub(super) fn new(request: usize, program: usize, prompt: u64, new: u64, answer: u64) -> Self {
        Self {
            request,
            program,
            prompt_tokens: prompt,
            new_tokens: new,
            answer_tokens: answer,
            cached_tokens: 0,
            prefill_left: 0,
            decoded: 0,
            first_token_us: 0,
        }
    }

    pub(super) fn decode_us(&self, now_us: u64) -> u64 {
        now_us - self.first_token_us
    }
}

#[derive(Clone, Copy, Debug)]
struct CachedProgram {
    tokens: u64,
    last_use: u64,
    /// Requests of the program that run; their prefix can't be evicted.
    pins: u32,
}

/// One engine.
#[derive(Clone, Debug, Default)]
pub(super) struct FakeEngine {
    pub(super) is_stepping: bool,
    pub(super) is_serving: bool,
    /// Raised by a crash, so that steps planned before it are passed over.
    pub(super) life: u32,
    queue: VecDeque<EngineRequest>,
    running: Vec<EngineRequest>,
    cache: BTreeMap<usize, CachedProgram>,
    by_use: BTreeSet<(u64, usize)>,
    held_tokens: u64,
    uses: u64,
    pub(super) prefilled_tokens: u64,
    pub(super) wasted_tokens: u64,
    step_prefill: u64,
}

impl FakeEngine {
    pub(super) fn new() -> Self {
        Self { is_serving: true, ..Self::default() }
    }

    pub(super) fn push(&mut self, request: EngineRequest) {
        self.queue.push_back(request);
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Dies, and gives what was on it.
    pub(super) fn crash(&mut self) -> Vec<EngineRequest> {
        self.life += 1;
        self.is_serving = false;
        self.is_stepping = false;
        self.cache.clear();
        self.by_use.clear();
        self.held_tokens = 0;
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.queue));
        lost
    }

    /// Frees a program's prefix.
    pub(super) fn release(&mut self, program: usize) {
        if self.cache.get(&program).is_some_and(|it| it.pins == 0) {
            self.remove(program);
        }
    }

    /// Begins a step, if there is work, and gives its length in microseconds.
    pub(super) fn begin_step(&mut self) -> Option<u64> {
        self.admit();

        if self.running.is_empty() {
            self.is_stepping = false;
            return None;
        }

        self.is_stepping = true;
        let waiting: u64 = self.running.iter().map(|it| it.prefill_left).sum();
        self.step_prefill = waiting.min(STEP_PREFILL_TOKENS);
        let decoding = self.running.iter().filter(|it| it.prefill_left == 0).count() as u64;
        let decode_us = DECODE_BASE_US + DECODE_SHARE_US * decoding;
        let decode_time = if decoding > 0 { decode_us * STEP_TOKENS } else { 0 };
        Some((decode_time + self.step_prefill * PREFILL_TOKEN_US).max(1))
    }

    /// Ends the step, and gives the requests that are answered.
    pub(super) fn end_step(&mut self, now_us: u64) -> Vec<EngineRequest> {
        let mut budget = self.step_prefill;
        let mut finished = Vec::new();

        for request in &mut self.running {
            if request.prefill_left > 0 {
                let done = request.prefill_left.min(budget);
                request.prefill_left -= done;
                budget -= done;

                if request.prefill_left == 0 {
                    request.first_token_us = now_us;
                }
            } else {
                request.decoded += STEP_TOKENS;
            }

            if request.decoded >= request.answer_tokens {
                finished.push(*request);
            }
        }

        self.running.retain(|it| it.decoded < it.answer_tokens);

        for request in &finished {
            let tokens = request.prompt_tokens + request.answer_tokens;
            self.unpin(request.program, tokens);
        }

        finished
    }

    fn admit(&mut self) {
        while self.running.len() < SLOT_COUNT {
            let Some(mut request) = self.queue.pop_front() else {
                return;
            };

            let cached = self.cache.get(&request.program).map_or(0, |it| it.tokens);
            request.cached_tokens = cached.min(request.prompt_tokens);
            request.prefill_left = (request.prompt_tokens - request.cached_tokens).max(1);
            self.prefilled_tokens += request.prompt_tokens - request.cached_tokens;
            let known = request.prompt_tokens - request.new_tokens;
            self.wasted_tokens += known.saturating_sub(request.cached_tokens);
            self.pin(request.program, request.prompt_tokens);
            self.running.push(request);
        }
    }

    fn pin(&mut self, program: usize, tokens: u64) {
        let pins = self.cache.get(&program).map_or(0, |it| it.pins);
        self.remove(program);
        self.insert(program, tokens, pins + 1);
        self.evict();
    }

    fn unpin(&mut self, program: usize, tokens: u64) {
        let pins = self.cache.get(&program).map_or(1, |it| it.pins);
        self.remove(program);
        self.insert(program, tokens, pins - 1);
        self.evict();
    }

    fn insert(&mut self, program: usize, tokens: u64, pins: u32) {
        self.uses += 1;
        self.held_tokens += tokens;
        self.by_use.insert((self.uses, program));
        self.cache.insert(program, CachedProgram { tokens, last_use: self.uses, pins });
    }

    fn remove(&mut self, program: usize) {
        if let Some(cached) = self.cache.remove(&program) {
            self.held_tokens -= cached.tokens;
            self.by_use.remove(&(cached.last_use, program));
        }
    }

    fn evict(&mut self) {
        while self.held_tokens > CACHE_TOKENS {
            let oldest = self.by_use.iter().find(|(_, program)| self.cache[program].pins == 0);

            let Some((_, program)) = oldest.copied() else {
                return;
            };

            self.remove(program);
        }
    }
}
