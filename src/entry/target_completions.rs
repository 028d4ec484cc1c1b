//! How often requests complete at each target, so that a target which serves others is not refused for the few that crash
//! upstreams there.
//!
//! See docs/design/platform.md, "Requests that crash upstreams".

use std::collections::HashMap;

use tokio::time::{Duration, Instant};

/// Completions are counted over this time and the one before it.
const WINDOW: Duration = Duration::from_secs(5);

/// Targets that are counted at once.
const MAX_TARGETS: usize = 16_384;

/// Completions at one target.
#[derive(Debug)]
struct CompletionCount {
    window_began_at: Instant,
    in_window: u32,
    before_window: u32,
}

impl CompletionCount {
    fn roll(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window_began_at);

        if age >= WINDOW {
            self.before_window = if age < 2 * WINDOW { self.in_window } else { 0 };
            self.in_window = 0;
            self.window_began_at = now;
        }
    }

    fn total(&self) -> u32 {
        self.in_window.saturating_add(self.before_window)
    }
}

/// Completed requests of this host by target.
#[derive(Debug, Default)]
pub(crate) struct TargetCompletions {
    counts: HashMap<u64, CompletionCount>,
}

impl TargetCompletions {
    pub(crate) fn record(&mut self, now: Instant, target: u64) {
        if self.counts.len() >= MAX_TARGETS && !self.counts.contains_key(&target) {
            self.evict(now);
        }

        let new = CompletionCount { window_began_at: now, in_window: 0, before_window: 0 };
        let count = self.counts.entry(target).or_insert(new);
        count.roll(now);
        count.in_window = count.in_window.saturating_add(1);
    }

    /// Number of lately completed requests.
    pub(crate) fn recent(&mut self, now: Instant, target: u64) -> u32 {
        self.counts.get_mut(&target).map_or(0, |count| {
            count.roll(now);
            count.total()
        })
    }

    /// Drops targets of which no request has completed lately, and if too few go, those with a single one.
    fn evict(&mut self, now: Instant) {
        for least in [1, 2] {
            self.counts.retain(|_, count| {
                count.roll(now);
                count.total() >= least
            });

            if self.counts.len() < MAX_TARGETS / 2 {
                return;
            }
        }

        if self.counts.len() >= MAX_TARGETS {
            self.counts.clear();
        }
    }
}
