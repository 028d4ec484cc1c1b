//! How much faster a request is answered by an upstream that its object prefers, as learned from answers.

/// Answers of each kind before which the gain has its start value.
const MIN_ANSWERS: u32 = 32;

/// Weight of a new answer in a mean. Times vary by half, and a mean over 64 answers tells a tenth of them.
const GAIN: f64 = 1.0 / 64.0;

/// Gain until enough answers are known, as a share of a request's time.
const START_SHARE: f64 = 0.5;

/// Largest gain until enough answers are known, in milliseconds. It is worth another data centre, but no other region.
const MAX_START_MS: f64 = 20.0;

/// Worth of a preferred upstream as a multiple of the time that it has saved. A request also makes the next one for its
/// object faster, at all hosts.
const WARMING_FACTOR: f64 = 2.0;

/// Range of the worth as a share of a request's time. The least keeps requests for one object together while upstreams are
/// equally loaded: if all were spread, no upstream would have an object recently and no gain could be seen again. The
/// largest bounds what a wrong estimate moves.
const SHARE_RANGE: (f64, f64) = (0.05, 0.6);

/// One in so many requests is placed without a preference: the first figure until enough answers are known, then the second.
/// So times at other upstreams are also known while the preferred ones have room for all requests.
const TRIAL_INTERVALS: (u64, u64) = (16, 128);

/// Where a request about an object was placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ObjectPlace {
    /// On an upstream that the object prefers.
    Preferred,
    /// On one of those that come next in the object's order, which may have handled the object.
    Next,
    /// On another upstream.
    Beside,
}

/// Moving average of times.
#[derive(Clone, Copy, Debug, Default)]
struct MeanTime {
    answers: u32,
    mean_ms: f64,
}

impl MeanTime {
    fn record(&mut self, time_ms: f64) {
        self.answers = self.answers.saturating_add(1);
        self.mean_ms += (time_ms - self.mean_ms) * GAIN.max(1.0 / f64::from(self.answers));
    }
}

/// Times of a service's answers to requests about objects. How recently an upstream must have handled an object is not known
/// to this host, and need not be: the times at preferred upstreams contain how often that was so.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ObjectGain {
    preferred: MeanTime,
    beside: MeanTime,
}

impl ObjectGain {
    /// Counts an answer of an upstream at full pace.
    pub(crate) fn record(&mut self, place: ObjectPlace, time_ms: f64) {
        match place {
            ObjectPlace::Preferred => self.preferred.record(time_ms),
            ObjectPlace::Beside => self.beside.record(time_ms),
            ObjectPlace::Next => (),
        }
    }

    /// Whether a request is placed without a preference, to learn what that costs. `request` is the hash of its id.
    pub(crate) fn is_trial(&self, request: u64) -> bool {
        let (first, later) = TRIAL_INTERVALS;
        let interval = if self.beside.answers < MIN_ANSWERS { first } else { later };
        request.is_multiple_of(interval)
    }

    /// Milliseconds that a preferred upstream is worth; `lease_ms` is the mean time of the service's requests.
    pub(crate) fn gain_ms(&self, lease_ms: f64) -> f64 {
        if self.preferred.answers.min(self.beside.answers) < MIN_ANSWERS {
            return (lease_ms * START_SHARE).min(MAX_START_MS);
        }
        let (least, most) = SHARE_RANGE;
        let beside_ms = self.beside.mean_ms;
        let saved_ms = beside_ms - self.preferred.mean_ms;
        (saved_ms * WARMING_FACTOR).clamp(beside_ms * least, beside_ms * most)
    }
}
