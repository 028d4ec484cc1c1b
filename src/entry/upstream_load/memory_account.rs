//! Tokens that an upstream holds for the requests on it.

/// Part of its memory from which an upstream counts as nearly full in the metrics.
const NEARLY_FULL: f64 = 0.9;

/// Tokens of this host's requests on an upstream: of each, its prompt and its largest completion. An upstream crashes if
/// the requests on it exceed its memory; cached parts give way to them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct MemoryAccount {
    held_tokens: u64,
}

impl MemoryAccount {
    pub(crate) fn record_grant(&mut self, tokens: u64) {
        self.held_tokens = self.held_tokens.saturating_add(tokens);
    }

    pub(crate) fn record_end(&mut self, tokens: u64) {
        self.held_tokens = self.held_tokens.saturating_sub(tokens);
    }

    /// Whether another request of `tokens` would exceed a memory of `capacity` tokens. Requests of other hosts are taken to
    /// be as large as this one, since only their number is reported. A capacity of 0 is not known, and never exceeded.
    pub(crate) fn is_exceeded_by(&self, tokens: u64, other_requests: u32, capacity: u64) -> bool {
        let others = tokens.saturating_mul(u64::from(other_requests));
        let sum = self.held_tokens.saturating_add(others).saturating_add(tokens);
        capacity > 0 && sum > capacity
    }

    /// Whether this host's requests fill nine tenths of a memory of `capacity` tokens.
    pub(crate) fn is_nearly_full(&self, capacity: u64) -> bool {
        capacity > 0 && self.held_tokens as f64 >= capacity as f64 * NEARLY_FULL
    }
}
