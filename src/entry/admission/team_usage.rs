//! Use of a service by teams, for the fair share.

use std::{collections::BTreeMap, sync::Arc};

use tokio::time::{Duration, Instant};

use super::decayed_count::DecayedCount;

/// Time constant of a team's grants. It covers a few turns of a program, so a single turn says little.
const USAGE_TIME: Duration = Duration::from_secs(2);

/// Time after its last request for which a team has demand.
const DEMAND_TIME: Duration = Duration::from_secs(2);

/// Time for which the mean share is reused, since it is computed over all teams with demand.
const MEAN_LIFETIME: Duration = Duration::from_millis(50);

/// Lower bounds, in fair shares, of the levels above 0. The first leaves room for the noise of small counts.
const LEVEL_BOUNDS: [f64; 3] = [1.25, 2.5, 5.0];

#[derive(Clone, Debug)]
struct TeamDemand {
    grants: DecayedCount,
    last_seen: Instant,
}

/// Recent grants of each team with demand. All teams have the same weight.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamUsage {
    /// In a fixed order, so that sums don't depend on the process.
    teams: BTreeMap<Arc<str>, TeamDemand>,
    mean_grants: f64,
    computed_at: Option<Instant>,
}

impl TeamUsage {
    /// Records that a team has demand.
    pub(super) fn record_demand(&mut self, now: Instant, team: &Arc<str>) {
        let demand = self.teams.entry(Arc::clone(team)).or_insert_with(|| TeamDemand {
            grants: DecayedCount::new(USAGE_TIME),
            last_seen: now,
        });
        demand.last_seen = now;

        if self.computed_at.is_none_or(|at| now.saturating_duration_since(at) >= MEAN_LIFETIME) {
            self.teams
                .retain(|_, demand| now.saturating_duration_since(demand.last_seen) < DEMAND_TIME);
            let sum: f64 = self.teams.values().map(|demand| demand.grants.value(now)).sum();
            self.mean_grants = sum / self.teams.len().max(1) as f64;
            self.computed_at = Some(now);
        }
    }

    pub(super) fn record_grant(&mut self, now: Instant, team: &Arc<str>) {
        if let Some(demand) = self.teams.get_mut(team) {
            demand.grants.add(now);
        }
    }

    /// How far a team exceeds its share; 0 if it does not. A lone team never does, since its share is everything.
    pub(super) fn level(&self, now: Instant, team: Option<&Arc<str>>) -> usize {
        let grants =
            team.and_then(|it| self.teams.get(it)).map_or(0.0, |demand| demand.grants.value(now));
        // Fewer than two recent grants say nothing about a team's rate.
        if grants < 2.0 {
            return 0;
        }
        LEVEL_BOUNDS.iter().filter(|bound| grants > **bound * self.mean_grants).count()
    }
}
