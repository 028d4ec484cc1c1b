//! An estimate of how a time grows with a quantity, learned from answers.

/// Answers before which an estimate keeps its start value.
const MIN_ANSWERS: u32 = 64;

/// Weight of a new answer once [`MIN_ANSWERS`] are known four times over. Times vary by a third with the length of a
/// response, and a mean over 256 answers tells a slope of some per cent of them.
const GAIN: f64 = 1.0 / 256.0;

/// Largest relative change by one answer.
const MAX_STEP: f64 = 0.1;

/// Largest factor between an estimate and its start value.
const MAX_FACTOR: f64 = 8.0;

/// Relative change that is worth a log line.
const LOGGED_FACTOR: f64 = 4.0 / 3.0;

/// Slope of a time in milliseconds over a quantity, by least squares over answers whose weight declines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LearnedSlope {
    start: f64,
    value: f64,
    logged: f64,
    /// Least variance of the quantity from which its slope can be told.
    min_variance: f64,
    answers: u32,
    mean_quantity: f64,
    mean_ms: f64,
    variance: f64,
    covariance: f64,
}

impl LearnedSlope {
    pub(crate) fn new(start: f64, min_variance: f64) -> Self {
        Self {
            start,
            value: start,
            logged: start,
            min_variance,
            answers: 0,
            mean_quantity: 0.0,
            mean_ms: 0.0,
            variance: 0.0,
            covariance: 0.0,
        }
    }

    /// Time for one unit of the quantity, in milliseconds.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Records an answer. Until enough different ones are known, the estimate
    /// follows `fallback`, the one of the whole service. Returns
    /// the last logged value if the estimate has changed by a third since.
    pub(crate) fn record(&mut self, quantity: f64, time_ms: f64, fallback: f64) -> Option<f64> {
        self.answers = self.answers.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.answers));
        let quantity_error = quantity - self.mean_quantity;
        let time_error = time_ms - self.mean_ms;
        self.mean_quantity += quantity_error * gain;
        self.mean_ms += time_error * gain;
        let rest = 1.0 - gain;
        self.variance = rest * (self.variance + gain * quantity_error * quantity_error);
        self.covariance = rest * (self.covariance + gain * quantity_error * time_error);

        let target = if self.answers >= MIN_ANSWERS && self.variance >= self.min_variance {
            self.covariance / self.variance
        } else {
            fallback
        };
        let target = target.clamp(self.start / MAX_FACTOR, self.start * MAX_FACTOR);
        self.value = target.clamp(self.value * (1.0 - MAX_STEP), self.value * (1.0 + MAX_STEP));

        let ratio = self.value / self.logged;
        if (LOGGED_FACTOR.recip()..LOGGED_FACTOR).contains(&ratio) {
            return None;
        }
        Some(std::mem::replace(&mut self.logged, self.value))
    }
}
