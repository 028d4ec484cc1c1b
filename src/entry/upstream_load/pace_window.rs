//! Window of requests under way at an upstream that has just started or recovers from failures. See docs/design/pace.md.

use tokio::time::{Duration, Instant};

use crate::entry::upstream_load::answer_times::AnswerSpeed;

/// Shortest pause after a late answer, a rejection or a failure with the smallest window.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause. It bounds the time until a host finds out that an upstream has become warm.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Pause after a late answer, as a multiple of the time that the answer took. A host then has a request at an upstream that
/// is not warm for about a fifth of the time; with a fixed pause of 100 ms, six hosts kept six of its eight slots busy.
const PAUSE_FACTOR: u32 = 4;

/// Time after which slow start ends although the answers are late. An upstream that is slower than the others for so long is
/// on a slow machine, which the learned costs account for.
const MAX_PACE_TIME: Duration = Duration::from_secs(30);

/// Why an upstream is in slow start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PaceCause {
    /// Its process has just started.
    Started,
    /// It has failed, and may have recovered.
    Recovering,
}

/// Window of requests under way. It begins with one request, grows by one with each answer that is as fast as expected, and
/// so doubles in the time of one answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PaceWindow {
    pub(crate) cause: PaceCause,
    limit: u32,
    begun_at: Instant,
    /// When the window last shrank. Answers to earlier requests tell nothing of the smaller window.
    shrunk_at: Instant,
    closed_until: Option<Instant>,
    pause: Duration,
    is_proven: bool,
}

impl PaceWindow {
    pub(crate) fn new(cause: PaceCause, now: Instant) -> Self {
        Self {
            cause,
            limit: 1,
            begun_at: now,
            shrunk_at: now,
            closed_until: None,
            pause: MIN_PAUSE,
            is_proven: false,
        }
    }

    /// Requests that may be under way now.
    pub(crate) fn limit(&self, now: Instant) -> u32 {
        if self.closed_until.is_some_and(|until| now < until) { 0 } else { self.limit }
    }

    /// Whether the upstream has failed lately and not answered since. Then it is tried with a request whose loss does least
    /// harm. A service may have no such requests, so the state ends with time.
    pub(crate) fn is_unproven(&self, now: Instant) -> bool {
        let is_recent = now.saturating_duration_since(self.shrunk_at) < MAX_PACE_TIME;
        self.cause == PaceCause::Recovering && !self.is_proven && is_recent
    }

    /// Whether the upstream may have as many requests as it has slots.
    pub(crate) fn is_over(&self, now: Instant, slots: u32) -> bool {
        let has_waited = now.saturating_duration_since(self.begun_at) >= MAX_PACE_TIME;
        self.limit >= slots.max(1) || (has_waited && !self.is_unproven(now))
    }

    /// Records an answer to a request that was granted at `granted_at`.
    pub(crate) fn record_answer(&mut self, now: Instant, granted_at: Instant, speed: AnswerSpeed) {
        if granted_at < self.shrunk_at {
            return;
        }
        match speed {
            AnswerSpeed::AsExpected => {
                self.is_proven = true;
                self.limit = self.limit.saturating_add(1);
                self.pause = MIN_PAUSE;
                self.closed_until = None;
            }
            AnswerSpeed::Slow => self.is_proven = true,
            AnswerSpeed::Late => {
                self.is_proven = true;
                let answer_time = now.saturating_duration_since(granted_at);
                self.pause = self.pause.max(answer_time * PAUSE_FACTOR).min(MAX_PAUSE);
                self.shrink(now);
            }
        }
    }

    /// Records that a request failed.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.is_proven = false;
        self.limit = 1;
        self.shrink(now);
    }

    /// Records that the upstream rejected a request as it was full.
    pub(crate) fn record_rejection(&mut self, now: Instant) {
        self.shrink(now);
    }

    /// Halves the window; the smallest one closes for a pause that doubles each time.
    fn shrink(&mut self, now: Instant) {
        self.shrunk_at = now;

        if self.limit > 1 {
            self.limit /= 2;
        } else {
            self.closed_until = Some(now + self.pause);
            self.pause = (self.pause * 2).min(MAX_PAUSE);
        }
    }
}
