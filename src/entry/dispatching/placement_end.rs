//! The end of a lease that a dispatcher has granted.

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

use crate::entry::{
    ReportedLoad,
    dispatching::{NamedNumbers, named_number},
    pooled_upstream::LeaseOutcome,
};

/// Name of the factor by which work takes longer on the upstream's machine than usual, in thousandths.
const SLOWNESS: &str = "slowness-permille";

/// Name of the time from the grant to the first event of a stream, in microseconds.
const FIRST_EVENT: &str = "first-event-us";

/// [`LeaseOutcome`] as hosts report it to each other. The order of the variants is the wire format.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum EndOutcome {
    Answered,
    Failed,
    Unreachable,
    Full,
    Cancelled,
}

impl From<LeaseOutcome> for EndOutcome {
    fn from(outcome: LeaseOutcome) -> Self {
        match outcome {
            LeaseOutcome::Answered => Self::Answered,
            LeaseOutcome::Failed => Self::Failed,
            LeaseOutcome::Unreachable => Self::Unreachable,
            LeaseOutcome::Full => Self::Full,
            LeaseOutcome::Cancelled => Self::Cancelled,
        }
    }
}

impl From<EndOutcome> for LeaseOutcome {
    fn from(outcome: EndOutcome) -> Self {
        match outcome {
            EndOutcome::Answered => Self::Answered,
            EndOutcome::Failed => Self::Failed,
            EndOutcome::Unreachable => Self::Unreachable,
            EndOutcome::Full => Self::Full,
            EndOutcome::Cancelled => Self::Cancelled,
        }
    }
}

/// Load that an upstream has reported to a requester.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct EndLoad {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) slots: u32,
    /// Time since the report, in microseconds. The weight of a report declines with its age.
    pub(crate) age_us: u64,
    pub(crate) numbers: NamedNumbers,
}

impl EndLoad {
    pub(crate) fn encode(load: ReportedLoad, reported_at: Instant, now: Instant) -> Self {
        let age = now.saturating_duration_since(reported_at);
        Self {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            age_us: age.as_micros() as u64,
            numbers: load.slowness.iter().map(|it| (SLOWNESS.into(), (it * 1e3) as i64)).collect(),
        }
    }

    /// The report, and when it was made. `None` if that is longer ago than this host's clock can tell.
    pub(crate) fn decode(&self, now: Instant) -> Option<(ReportedLoad, Instant)> {
        let reported_at = now.checked_sub(Duration::from_micros(self.age_us))?;
        let Self { running, waiting, slots, .. } = *self;
        let slowness = named_number(&self.numbers, SLOWNESS).map(|it| it as f32 / 1e3);
        Some((ReportedLoad { running, waiting, slots, slowness }, reported_at))
    }
}

/// How a lease has ended, and the last load that the upstream has reported meanwhile.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct PlacementEnd {
    pub(crate) outcome: EndOutcome,
    pub(crate) load: Option<EndLoad>,
    pub(crate) numbers: NamedNumbers,
}

impl PlacementEnd {
    pub(crate) fn new(
        outcome: LeaseOutcome,
        load: Option<EndLoad>,
        first_event_time: Option<Duration>,
    ) -> Self {
        let first_event_us = first_event_time.map(|it| it.as_micros() as i64);
        let numbers = first_event_us.into_iter().map(|it| (FIRST_EVENT.into(), it)).collect();
        Self { outcome: outcome.into(), load, numbers }
    }

    /// Time from the grant to the first event of a stream, if there was one.
    pub(crate) fn first_event_time(&self) -> Option<Duration> {
        named_number(&self.numbers, FIRST_EVENT).map(Duration::from_micros)
    }
}
