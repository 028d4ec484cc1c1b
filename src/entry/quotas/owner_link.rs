//! Exchange of a scheduler with one quota owner.

use tokio::time::{Duration, Instant};

use crate::entry::quotas::MAX_DELEGATION;

/// Time between two reports while the scheduler uses tokens of the owner's teams.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reports otherwise. They hand over the scheduler's time, without which an owner grants less than the
/// rate, and keep it heard.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);

/// What a scheduler knows of its exchange with one owner.
#[derive(Debug)]
pub(super) struct OwnerLink {
    /// Number of the last report.
    pub(super) sequence: u64,
    /// Time of the scheduler up to this moment was handed over, or was another owner's.
    delegated_until: Instant,
    pub(super) last_sent: Option<Instant>,
    /// Whether the last report awaits its answer.
    pub(super) is_in_flight: bool,
    /// Reports in a row that the owner has not answered.
    pub(super) failures: u32,
    /// Hash of the candidates that the owner knows.
    pub(super) announced_view: Option<u64>,
}

impl OwnerLink {
    pub(super) fn new(delegated_until: Instant) -> Self {
        Self {
            sequence: 0,
            delegated_until,
            last_sent: None,
            is_in_flight: false,
            failures: 0,
            announced_view: None,
        }
    }

    /// Whether a report is to be sent. Requests that wait don't wait for the interval as well.
    pub(super) fn is_due(&self, now: Instant, is_urgent: bool, is_active: bool) -> bool {
        let interval = if is_active { ACTIVE_INTERVAL } else { IDLE_INTERVAL };
        let is_due = self.last_sent.is_none_or(|at| now.duration_since(at) >= interval);
        !self.is_in_flight && (is_urgent || is_due || self.failures > 0)
    }

    /// Begins a report: returns its number and the time that it hands over.
    pub(super) fn begin_report(&mut self, now: Instant) -> (u64, Duration) {
        let delegated = now.saturating_duration_since(self.delegated_until).min(MAX_DELEGATION);
        self.delegated_until = now;
        self.sequence += 1;
        self.last_sent = Some(now);
        self.is_in_flight = true;
        (self.sequence, delegated)
    }

    /// Keeps time before `now` from being handed over, since it may have been another owner's.
    pub(super) fn skip_until(&mut self, now: Instant) {
        self.delegated_until = now;
    }
}
