//! State of an upstream in a cell: concurrency window, load and crashes.

use std::{collections::BTreeSet, time::Duration};

use crate::{CrashedRun, RequestKey, RequestRate, UpstreamName, upstreams::rate_limit::RateBucket};

/// A new sample enters a running mean with the weight 1 / `SAMPLE_WEIGHT_DIVISOR`.
const SAMPLE_WEIGHT_DIVISOR: u64 = 8;

/// Samples in a row without queueing or slow tokens after which the window grows by one.
const GROWTH_SAMPLES: u32 = 4;

/// A presumed crash of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamCrash {
    /// The run that ended.
    pub(crate) crashed: CrashedRun,
    /// Fingerprints of the requests that the crash was counted against.
    pub(crate) suspects: Vec<u64>,
    /// Whether a probe got no answer either; a broken connection alone does not prove a crash.
    pub(crate) is_confirmed: bool,
}

/// Concurrency window, load and speed of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    pub(crate) name: UpstreamName,
    pub(crate) is_serving: bool,
    /// Requests that may be in flight at once, adapted to the upstream's load and token times.
    pub(crate) window: u32,
    /// Configured window, which `window` never exceeds.
    pub(crate) window_limit: u32,
    pub(crate) in_flight: BTreeSet<RequestKey>,
    /// Requests that its stated limit allows.
    limit: Option<RateBucket>,
    /// The presumed crash, until the upstream serves again.
    pub(crate) crash: Option<UpstreamCrash>,
    /// Time to prefill a token, in microseconds.
    pub(crate) prefill_us: u64,
    /// Running mean of the time from grant to completion of a request, in milliseconds.
    pub(crate) mean_duration_ms: u64,
    /// Samples since the window last changed or one showed overload.
    good_samples: u32,
}

impl UpstreamState {
    pub(crate) fn new(name: UpstreamName, window: u32, prefill_us: u64) -> Self {
        Self {
            name,
            is_serving: true,
            window: window.max(1),
            window_limit: window.max(1),
            in_flight: BTreeSet::new(),
            limit: None,
            crash: None,
            prefill_us,
            mean_duration_ms: 0,
            good_samples: 0,
        }
    }

    /// Whether the upstream accepts requests, its window is not full, and its limit allows another request.
    pub(crate) fn has_room(&self, now_ms: u64) -> bool {
        let now = Duration::from_millis(now_ms);
        self.is_serving
            && self.in_flight.len() < self.window as usize
            && self.limit.as_ref().is_none_or(|it| it.is_ready(now))
    }

    /// Sets the requests a second that the upstream takes. The cell's dispatcher alone grants its slots.
    pub(crate) fn set_limit(&mut self, now_ms: u64, limit: Option<RequestRate>) {
        let now = Duration::from_millis(now_ms);

        match (limit.map(RequestRate::sole_share), &mut self.limit) {
            (Some(rate), Some(bucket)) => bucket.set_rate(rate, now),
            (Some(rate), None) => self.limit = Some(RateBucket::new(rate, now)),
            (None, _) => self.limit = None,
        }
    }

    /// Counts a granted request against the limit.
    pub(crate) fn count_grant(&mut self, now_ms: u64) {
        if let Some(bucket) = &mut self.limit {
            bucket.take(Duration::from_millis(now_ms));
        }
    }

    /// Requests in flight as a share of the window, in thousandths.
    pub(crate) fn load_permille(&self) -> u64 {
        self.in_flight.len() as u64 * 1_000 / u64::from(self.window)
    }

    /// Expected time until the window has room, in microseconds.
    pub(crate) fn wait_us(&self, now_ms: u64) -> u64 {
        if self.has_room(now_ms) {
            return 0;
        }

        let now = Duration::from_millis(now_ms);
        let share_at = self.limit.as_ref().map_or(now, |it| it.ready_at(now));
        let share_us = share_at.saturating_sub(now).as_micros() as u64;
        share_us.max(self.mean_duration_ms * 1_000 / u64::from(self.window))
    }

    /// Adds the duration of a completed request to the running mean.
    pub(crate) fn record_duration(&mut self, duration_ms: u64) {
        self.mean_duration_ms = match self.mean_duration_ms {
            0 => duration_ms,
            mean => (mean * (SAMPLE_WEIGHT_DIVISOR - 1) + duration_ms) / SAMPLE_WEIGHT_DIVISOR,
        };
    }

    /// Adapts the window to a load report. Requests that queue inside the upstream were granted too early, so the
    /// window shrinks.
    pub(crate) fn record_load(&mut self, waiting: u32) {
        if waiting > 0 {
            self.shrink();
        } else {
            self.grow();
        }
    }

    /// Adapts the window to the time between an answer's tokens.
    pub(crate) fn record_token_time(&mut self, token_us: u64, target_us: u64) {
        if token_us > target_us {
            self.shrink();
        } else {
            self.grow();
        }
    }

    fn grow(&mut self) {
        self.good_samples += 1;

        if self.good_samples >= GROWTH_SAMPLES {
            self.good_samples = 0;
            self.window = (self.window + 1).min(self.window_limit);
        }
    }

    /// Shrinks the window by one, down to a quarter of the configured one.
    fn shrink(&mut self) {
        self.good_samples = 0;
        let floor = (self.window_limit / 4).max(1);
        self.window = (self.window - 1).max(floor);
    }
}
