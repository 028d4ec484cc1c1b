//! Mean of a quantity that changes slowly.

/// Sum and number of observations, of which old ones fade.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LearnedMean {
    sum: f64,
    count: f64,
}

impl LearnedMean {
    /// Adds observations, and halves the weight of all once there are more than `limit`.
    pub(super) fn add(&mut self, sum: f64, count: f64, limit: f64) {
        self.sum += sum;
        self.count += count;
        if self.count > limit {
            self.sum /= 2.0;
            self.count /= 2.0;
        }
    }

    /// The mean, as if `weight` observations of `prior` had been added.
    pub(super) fn value(&self, prior: f64, weight: f64) -> f64 {
        (self.sum + prior * weight) / (self.count + weight)
    }
}
