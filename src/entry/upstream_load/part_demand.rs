//! How often the prompts of a service begin with each part.

use std::collections::HashMap;

use tokio::time::{Duration, Instant};

use crate::entry::PromptPart;

/// Time in which the weight of a request halves. Ten seconds hold some hundred requests of a host at the loads of
/// docs/HARD-LOAD.md, and let a part that became popular in a burst of 3 to 7 s count within it.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Parts that are counted at once. Sessions without a shared part add one each, and the rarest are dropped first.
const MAX_PARTS: usize = 256;

/// Time after which all weights are brought to the present, so that they stay in the range of numbers.
const REBASE_INTERVAL: Duration = Duration::from_mins(1);

/// Requests that began with one part.
#[derive(Clone, Copy, Debug)]
struct PartUse {
    weight: f64,
    /// The part that followed in the last prompt, if there was one.
    follower: Option<u64>,
    /// Whether different parts have followed, so that several sessions share the part.
    is_shared: bool,
}

/// Use of first prompt parts by the requests of one service that this host has placed. Weights decline with time.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartDemand {
    parts: HashMap<u64, PartUse>,
    total: f64,
    /// Time at which a request has the weight 1.
    base: Option<Instant>,
}

impl PartDemand {
    /// Counts a request by its prompt.
    pub(crate) fn record(&mut self, now: Instant, prompt_parts: &[PromptPart]) {
        let weight = self.weight_at(now);
        self.total += weight;
        let Some(first) = prompt_parts.first() else {
            return;
        };
        let follower = prompt_parts.get(1).map(|it| it.id);
        let part = self.parts.entry(first.id).or_insert(PartUse {
            weight: 0.0,
            follower,
            is_shared: false,
        });
        part.weight += weight;
        part.is_shared |=
            follower.is_some() && part.follower.is_some_and(|it| Some(it) != follower);
        part.follower = follower.or(part.follower);

        if self.parts.len() > MAX_PARTS {
            self.drop_rarest();
        }
    }

    /// Share of the service's requests that begin with a part, from 0 to 1.
    pub(crate) fn share(&self, part: u64) -> f64 {
        let weight = self.parts.get(&part).map_or(0.0, |it| it.weight);
        if self.total > 0.0 { (weight / self.total).min(1.0) } else { 0.0 }
    }

    /// Requests that begin with a part, weighted by age; 1 for one that is placed now.
    pub(crate) fn requests(&self, now: Instant, part: u64) -> f64 {
        let age = now.saturating_duration_since(self.base.unwrap_or(now));
        let weight = self.parts.get(&part).map_or(0.0, |it| it.weight);
        weight / (age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Whether prompts of several sessions begin with a part, as far as this host has seen.
    pub(crate) fn is_shared(&self, part: u64) -> bool {
        self.parts.get(&part).is_some_and(|it| it.is_shared)
    }

    /// Weight of a request now, in the scale of the stored weights.
    fn weight_at(&mut self, now: Instant) -> f64 {
        let base = *self.base.get_or_insert(now);
        let age = now.saturating_duration_since(base);
        let weight = (age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();

        if age < REBASE_INTERVAL {
            return weight;
        }
        self.base = Some(now);
        self.total /= weight;
        self.parts.values_mut().for_each(|it| it.weight /= weight);
        1.0
    }

    /// Drops the rarer half, so that the cost of the search spreads over many requests.
    fn drop_rarest(&mut self) {
        let mut weights: Vec<f64> = self.parts.values().map(|it| it.weight).collect();
        let (_, median, _) = weights.select_nth_unstable_by(MAX_PARTS / 2, f64::total_cmp);
        let limit = *median;
        self.parts.retain(|_, part| part.weight >= limit);
    }
}
