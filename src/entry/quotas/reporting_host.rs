//! A scheduler as a quota owner knows it.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use crate::entry::quotas::{HEARD_TIME, MAX_DELEGATION, QuotaReport, SETTLE_TIME};

/// Last report of a scheduler, and the sum of the times that it has handed over.
#[derive(Debug)]
pub(super) struct ReportingHost {
    pub(super) run: Arc<str>,
    pub(super) sequence: u64,
    pub(super) heard_at: Instant,
    /// Sum of the times handed over, each divided by the number of known schedulers, in seconds. A team's bucket gets its
    /// rate times the growth of this sum.
    pub(super) delegated_s: f64,
    /// Value of `delegated_s` when the scheduler last changed its candidates. What was handed over before may have been for
    /// other teams.
    pub(super) baseline_s: f64,
    pub(super) view_hash: u64,
    pub(super) view_number: u64,
    view_since: Instant,
    /// Part of each limit that belongs to this scheduler.
    pub(super) share: f64,
}

impl ReportingHost {
    /// State before the first report of a scheduler.
    pub(super) fn new(now: Instant, report: &QuotaReport) -> Self {
        Self {
            run: Arc::clone(&report.run),
            sequence: 0,
            heard_at: now,
            delegated_s: 0.0,
            baseline_s: 0.0,
            view_hash: report.view_hash,
            view_number: report.view_number,
            view_since: now,
            share: 0.0,
        }
    }

    /// Records a report, which must be newer than the last one of the same run. `share` is one divided by the number of
    /// known schedulers.
    pub(super) fn record(&mut self, now: Instant, report: &QuotaReport, share: f64) {
        if self.run != report.run || self.view_number != report.view_number {
            self.baseline_s = self.delegated_s;
        }

        self.run = Arc::clone(&report.run);
        self.sequence = report.sequence;
        self.heard_at = now;
        self.share = share;
        self.view_hash = report.view_hash;
        self.view_number = report.view_number;
        let view_age = Duration::from_millis(report.view_age_ms);
        self.view_since = now.checked_sub(view_age).unwrap_or(now);
        let delegated = Duration::from_micros(report.delegated_us).min(MAX_DELEGATION);
        self.delegated_s += delegated.as_secs_f64() * share;
    }

    pub(super) fn is_heard(&self, now: Instant) -> bool {
        now.duration_since(self.heard_at) <= HEARD_TIME
    }

    /// Whether no other owner can still count this scheduler.
    pub(super) fn is_settled(&self, now: Instant) -> bool {
        now.duration_since(self.view_since) >= SETTLE_TIME
    }
}
