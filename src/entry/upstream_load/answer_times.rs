//! How long a service's upstreams take to answer, as a measure for one that starts or recovers.

use tokio::time::Duration;

/// Answers from which a service's usual time is known. Before them, every answer is as fast as expected.
const MIN_ANSWERS: u32 = 16;

/// Weight of a new answer in the mean and the deviation.
const GAIN: f64 = 1.0 / 16.0;

/// Multiple of the expected time up to which an answer is as fast as expected, before the deviation is added.
const EXPECTED_FACTOR: f64 = 1.5;

/// Multiple of the expected time from which an answer is late, before the deviation is added.
const LATE_FACTOR: f64 = 2.0;

/// Speed of an answer, compared with those of the service's other upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerSpeed {
    AsExpected,
    /// Slower than most, but not by so much that the upstream must be spared.
    Slow,
    Late,
}

/// Times to the answers of one kind from a service's upstreams, without what the prefill of uncached tokens takes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerTimes {
    answers: u32,
    mean_ms: f64,
    deviation_ms: f64,
}

impl AnswerTimes {
    /// Counts an answer of an upstream that runs at full pace. `prefill_ms` is what its uncached tokens should take.
    pub(crate) fn record(&mut self, time: Duration, prefill_ms: f64) {
        let base_ms = time.as_secs_f64() * 1_000.0 - prefill_ms;

        if self.answers == 0 {
            self.mean_ms = base_ms;
        }
        self.answers = self.answers.saturating_add(1);
        let error_ms = base_ms - self.mean_ms;
        self.mean_ms += error_ms * GAIN;
        self.deviation_ms += (error_ms.abs() - self.deviation_ms) * GAIN;
    }

    /// Compares an answer with those of the other upstreams. The prefill of uncached tokens is expected, so that an empty
    /// cache isn't taken for a slow upstream.
    pub(crate) fn speed(&self, time: Duration, prefill_ms: f64) -> AnswerSpeed {
        if self.answers < MIN_ANSWERS {
            return AnswerSpeed::AsExpected;
        }
        let time_ms = time.as_secs_f64() * 1_000.0;
        let expected_ms = (self.mean_ms + prefill_ms).max(1.0);

        if time_ms <= expected_ms * EXPECTED_FACTOR + self.deviation_ms * 2.0 {
            AnswerSpeed::AsExpected
        } else if time_ms <= expected_ms * LATE_FACTOR + self.deviation_ms * 4.0 {
            AnswerSpeed::Slow
        } else {
            AnswerSpeed::Late
        }
    }
}
