//! Which of the recorded spends this host has read, and when.
//!
//! A run that is over records nothing more, so its records are read once. See docs/design/platform.md, "Budgets".

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

/// Age up to which a complete reading is reused, unless readings take long. A host records its spends once a second.
const MIN_REUSE_AGE: Duration = Duration::from_secs(1);

/// Longest age up to which a complete reading is reused.
const MAX_REUSE_AGE: Duration = Duration::from_secs(5);

/// A reading is reused for this multiple of the time that it took, so that readings never take most of a host's time.
const REUSE_FACTOR: u32 = 2;

/// Ages of readings, as a host passes them on to one that starts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ReadingAges {
    /// Time since the start of the last complete reading, in milliseconds.
    last_ms: Option<u64>,
    /// The same for the last reading of each run's open segment.
    segments_ms: Vec<(Arc<str>, u64)>,
}

/// Starts of the readings whose results this host has.
#[derive(Debug, Default)]
pub(crate) struct RecordReadings {
    /// Start of the last complete reading.
    last: Option<Instant>,
    /// Time that the last complete reading of this host took.
    last_duration: Duration,
    /// Start of the last reading of each run's open segment.
    segments: HashMap<Arc<str>, Instant>,
}

impl RecordReadings {
    /// Whether all that was recorded before a time has been read.
    pub(crate) fn covers(&self, time: Instant) -> bool {
        self.last.is_some_and(|started| started >= time)
    }

    /// Earliest start of a reading that is still reused at `now`.
    pub(crate) fn reused_since(&self, now: Instant) -> Instant {
        let age = (self.last_duration * REUSE_FACTOR).clamp(MIN_REUSE_AGE, MAX_REUSE_AGE);
        now.checked_sub(age).unwrap_or(now)
    }

    /// Whether the open segment of a run was read after the run's end.
    pub(crate) fn covers_segment(&self, writer: &str, ended: Instant) -> bool {
        self.segments.get(writer).is_some_and(|started| *started > ended)
    }

    /// Records that the open segment of a run was read.
    pub(crate) fn record_segment(&mut self, writer: &Arc<str>, started: Instant) {
        let last = self.segments.entry(Arc::clone(writer)).or_insert(started);
        *last = started.max(*last);
    }

    /// Records a complete reading that ends at `now`, after which only these writers have records.
    pub(crate) fn record_reading(
        &mut self,
        started: Instant,
        now: Instant,
        writers: &HashSet<Arc<str>>,
    ) {
        self.last = self.last.max(Some(started));
        self.last_duration = now.duration_since(started);
        self.segments.retain(|writer, _| writers.contains(writer));
    }

    /// Ages of the readings, for a host that starts.
    pub(crate) fn ages(&self, now: Instant) -> ReadingAges {
        let age_ms = |at: Instant| now.duration_since(at).as_millis() as u64 + 1;
        let segments = self.segments.iter();
        ReadingAges {
            last_ms: self.last.map(age_ms),
            segments_ms: segments.map(|(writer, at)| (Arc::clone(writer), age_ms(*at))).collect(),
        }
    }

    /// Merges the readings of a host whose knowledge was loaded. `asked` is the time at which it was asked for, before which its
    /// ages end.
    pub(crate) fn merge(&mut self, asked: Instant, ages: &ReadingAges) {
        let at = |age_ms: u64| asked.checked_sub(Duration::from_millis(age_ms));
        self.last = self.last.max(ages.last_ms.and_then(at));

        for (writer, age_ms) in &ages.segments_ms {
            if let Some(started) = at(*age_ms) {
                self.record_segment(writer, started);
            }
        }
    }
}
