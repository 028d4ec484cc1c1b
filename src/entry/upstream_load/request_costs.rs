//! What a request costs at an upstream, learned from its answers.

use crate::entry::upstream_load::learned_slope::LearnedSlope;

/// Prompt tokens that an engine prefills in a millisecond until its answers tell, as the users' first specification states.
const PREFILL_TOKENS_PER_MS: f64 = 147.0;

/// Cost of each further request on an upstream until its answers tell, in milliseconds: two requests that run concurrently
/// slow each other's response, of about 250 tokens, by 0.038 ms a token.
const CONCURRENCY_COST_MS: f64 = 18.0;

/// Both requests are slowed, and each one's time shows half of the cost.
const SLOWED_REQUESTS: f64 = 2.0;

/// Least variance of uncached tokens: with a standard deviation of 2,000, times that vary by 20 ms tell the slope.
const MIN_TOKEN_VARIANCE: f64 = 4e6;

/// Least variance of the number of requests.
const MIN_LOAD_VARIANCE: f64 = 0.5;

/// Learned costs of requests at one upstream, or at all upstreams of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestCosts {
    prefill: LearnedSlope,
    concurrency: LearnedSlope,
}

impl Default for RequestCosts {
    fn default() -> Self {
        let concurrency = CONCURRENCY_COST_MS / SLOWED_REQUESTS;
        Self {
            prefill: LearnedSlope::new(PREFILL_TOKENS_PER_MS.recip(), MIN_TOKEN_VARIANCE),
            concurrency: LearnedSlope::new(concurrency, MIN_LOAD_VARIANCE),
        }
    }
}

/// An estimate that has changed by a third since it was last logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CostChange {
    pub(crate) old: f64,
    pub(crate) new: f64,
}

impl RequestCosts {
    /// Time to prefill a number of tokens, in milliseconds.
    pub(crate) fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.prefill.value()
    }

    /// Prompt tokens that the upstream reads in a millisecond.
    pub(crate) fn tokens_per_ms(&self) -> f64 {
        self.prefill.value().recip()
    }

    /// Cost of each request that runs beside another, in milliseconds of both.
    pub(crate) fn concurrency_ms(&self) -> f64 {
        self.concurrency.value() * SLOWED_REQUESTS
    }

    /// Records the time to a first event after the prefill of `tokens`. `service` has the costs of the whole service.
    /// Returns a change of the tokens read in a millisecond.
    pub(crate) fn record_prefill(
        &mut self,
        tokens: u64,
        time_ms: f64,
        service: &Self,
    ) -> Option<CostChange> {
        let old = self.prefill.record(tokens as f64, time_ms, service.prefill.value())?;
        Some(CostChange { old: old.recip(), new: self.tokens_per_ms() })
    }

    /// Records the time from the first event to the end beside `load` other requests. Returns a change of the cost of a
    /// concurrent request.
    pub(crate) fn record_concurrency(
        &mut self,
        load: f64,
        time_ms: f64,
        service: &Self,
    ) -> Option<CostChange> {
        let old = self.concurrency.record(load, time_ms, service.concurrency.value())?;
        Some(CostChange { old: old * SLOWED_REQUESTS, new: self.concurrency_ms() })
    }
}
