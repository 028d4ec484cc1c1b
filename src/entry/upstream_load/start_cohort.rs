//! Which upstreams have just started, compared with the others of their service.

/// Time by which an upstream must have started later than at least half of its service. Upstreams that start together at
/// the beginning of a day, and clocks that differ by seconds, lie within it.
const MIN_LEAD_MS: u64 = 10_000;

/// Time before the latest start of a service within which an upstream counts as new. What started earlier has had the time
/// to warm up, as far as the starts tell.
const COHORT_MS: u64 = 20_000;

/// Starts of the upstreams of one service, in milliseconds since the Unix epoch. Only their differences count, so this
/// host's wall clock plays no part.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartCohort {
    starts: Vec<u64>,
}

impl StartCohort {
    pub(crate) fn new(starts: impl Iterator<Item = u64>) -> Self {
        let mut starts: Vec<u64> = starts.collect();
        starts.sort_unstable();
        Self { starts }
    }

    /// Whether an upstream of the service has just started. When more than half of a service starts at once, none counts
    /// as new, since the others could not bear the load in the meantime.
    pub(crate) fn is_new(&self, started_at_ms: u64) -> bool {
        let Some(latest) = self.starts.last() else {
            return false;
        };
        let lower_median = self.starts[(self.starts.len() - 1) / 2];
        started_at_ms.saturating_sub(lower_median) >= MIN_LEAD_MS
            && latest.saturating_sub(started_at_ms) <= COHORT_MS
    }
}
