//! What a cell knows of an upstream.

use std::collections::BTreeSet;

use crate::{RequestKey, UpstreamName};

/// Weight of a new sample in a running mean: one part in this many.
const MEAN_PARTS: u64 = 8;

/// Reports in a row without queueing after which the window grows by one.
const GROWTH_REPORTS: u32 = 4;

/// A crash of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamCrash {
    /// Fingerprints that are blamed for it.
    pub(crate) blamed: Vec<u64>,
    /// Whether a probe has found the upstream gone; a broken connection alone is no proof.
    pub(crate) is_confirmed: bool,
}

/// Window, load and speed of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    pub(crate) name: UpstreamName,
    pub(crate) is_serving: bool,
    /// Requests that may be in flight at once, as learnt.
    pub(crate) window: u32,
    pub(crate) window_limit: u32,
    pub(crate) in_flight: BTreeSet<RequestKey>,
    /// The crash that the upstream is thought to have had, until it serves again.
    pub(crate) crash: Option<UpstreamCrash>,
    /// Time to prefill a token, in microseconds.
    pub(crate) prefill_us: u64,
    /// Running mean of the time that a request stays, in milliseconds.
    pub(crate) stay_ms: u64,
    calm_reports: u32,
}

impl UpstreamState {
    pub(crate) fn new(name: UpstreamName, window: u32, prefill_us: u64) -> Self {
        Self {
            name,
            is_serving: true,
            window: window.max(1),
            window_limit: window.max(1),
            in_flight: BTreeSet::new(),
            crash: None,
            prefill_us,
            stay_ms: 0,
            calm_reports: 0,
        }
    }

    pub(crate) fn has_room(&self) -> bool {
        self.is_serving && self.in_flight.len() < self.window as usize
    }

    /// Requests in flight as a share of the window, in thousandths.
    pub(crate) fn load_permille(&self) -> u64 {
        self.in_flight.len() as u64 * 1_000 / u64::from(self.window)
    }

    /// Expected time until a place is free, in microseconds.
    pub(crate) fn wait_us(&self) -> u64 {
        if self.has_room() { 0 } else { self.stay_ms * 1_000 / u64::from(self.window) }
    }

    pub(crate) fn record_stay(&mut self, stay_ms: u64) {
        self.stay_ms = match self.stay_ms {
            0 => stay_ms,
            mean => (mean * (MEAN_PARTS - 1) + stay_ms) / MEAN_PARTS,
        };
    }

    /// Learns from a report of the upstream's load: requests that wait inside it came too early.
    pub(crate) fn record_load(&mut self, waiting: u32) {
        if waiting > 0 {
            self.shrink();
        } else {
            self.grow();
        }
    }

    /// Learns from the time between an answer's tokens.
    pub(crate) fn record_token_time(&mut self, token_us: u64, target_us: u64) {
        if token_us > target_us {
            self.shrink();
        } else {
            self.grow();
        }
    }

    fn grow(&mut self) {
        self.calm_reports += 1;

        if self.calm_reports >= GROWTH_REPORTS {
            self.calm_reports = 0;
            self.window = (self.window + 1).min(self.window_limit);
        }
    }

    fn shrink(&mut self) {
        self.calm_reports = 0;
        let floor = (self.window_limit / 4).max(1);
        self.window = (self.window - 1).max(floor);
    }
}
