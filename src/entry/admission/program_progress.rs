//! How far a program has come.

use tokio::time::{Duration, Instant};

use super::estimate_key::EstimateKey;

/// A program's progress, as seen by the pool that places its turns.
#[derive(Clone, Debug)]
pub(super) struct ProgramProgress {
    pub(super) estimate: EstimateKey,
    pub(super) first_seen: Instant,
    pub(super) last_seen: Instant,
    /// Earliest finish time that a request has stated. Requests of late programs state that no time is left, not a time
    /// in the past.
    pub(super) finish_by: Instant,
    /// Time left at the program's first turn; `None` if another pool placed that.
    pub(super) first_left: Option<Duration>,
    /// Whether a request has got a slot.
    pub(super) has_started: bool,
    pub(super) in_flight: u32,
    pub(super) answered: u32,
    pub(super) last_end: Option<Instant>,
    /// Time that went to waits, and to leases beyond those on idle upstreams.
    pub(super) lost_time: Duration,
    pub(super) is_learned: bool,
}

impl ProgramProgress {
    /// When the program's credit ends: twice its time after it began. `None` if its begin is not known.
    pub(super) fn expires_at(&self) -> Option<Instant> {
        self.first_left.and_then(|left| self.finish_by.checked_add(left))
    }

    /// Whether the program has ended, by its finish time and by a silence of `retry_time`, and nothing was learned from it yet.
    pub(super) fn has_news(&self, now: Instant, retry_time: Duration) -> bool {
        let silence = now.saturating_duration_since(self.last_seen);
        !self.is_learned && self.in_flight == 0 && silence >= retry_time && self.finish_by <= now
    }

    /// Time that the program would have taken on idle upstreams, if an answered turn has ended.
    pub(super) fn idle_time(&self) -> Option<Duration> {
        let last_end = self.last_end.filter(|_| self.answered > 0)?;
        Some(last_end.saturating_duration_since(self.first_seen).saturating_sub(self.lost_time))
    }
}
