//! Decides how many tokens of a team each scheduler gets, at the team's quota owner. Pure; see docs/design/quotas.md.
//!
//! It answers the load of a team that sends up to 7.5 times its quota through one host or through all, while hosts are lost,
//! cut off and restarted.
//!
//! | Input | Source | Age |
//! |---|---|---|
//! | time handed over, allowances, waiting requests, reserve | each scheduler's report | 0.1 to 0.6 s, then the scheduler is not heard |
//! | limit | the report with the newest configuration | as the report |
//! | candidates of each scheduler | its reports | as the report |
//! | known schedulers | the mesh of this host | as its last update |
//! | tolerance | settings | constant |

use std::{collections::HashMap, sync::Arc};

use tokio::time::{Duration, Instant};

use crate::entry::quotas::{
    ALLOWANCE_LIFETIME, QuotaAnswer, QuotaReport, QuotaTolerance,
    owned_team::{OwnedTeam, OwnerState},
    quota_view::hash_of,
    reporting_host::ReportingHost,
};

/// Time between two searches for state that is not needed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Time without a report after which a scheduler is forgotten. Its allowances are void long before.
const HOST_FORGET_TIME: Duration = Duration::from_mins(10);

/// Teams of which a host is the quota owner.
#[derive(Debug)]
pub(crate) struct QuotaOwner {
    host: Arc<str>,
    tolerance: QuotaTolerance,
    started_at: Instant,
    swept_at: Instant,
    known_hosts: u32,
    hosts: HashMap<Arc<str>, ReportingHost>,
    /// Candidates of these schedulers, by their hash. Most schedulers have the same.
    views: HashMap<u64, Vec<Arc<str>>>,
    teams: HashMap<Arc<str>, OwnedTeam>,
}

impl QuotaOwner {
    /// An owner that knows nothing. It starts with empty buckets.
    pub(crate) fn new(now: Instant, host: Arc<str>, tolerance: QuotaTolerance) -> Self {
        Self {
            host,
            tolerance,
            started_at: now,
            swept_at: now,
            known_hosts: 1,
            hosts: HashMap::new(),
            views: HashMap::new(),
            teams: HashMap::new(),
        }
    }

    /// Sets the number of schedulers that share the limits, reachable or not.
    pub(crate) fn set_known_hosts(&mut self, known_hosts: u32) {
        self.known_hosts = known_hosts;
    }

    /// Records a report and answers it. A report that is older than the last one is ignored, and gets no grants.
    pub(crate) fn report(&mut self, now: Instant, report: &QuotaReport) -> QuotaAnswer {
        let name = &report.host;
        let last = self.hosts.get(name);
        let is_old = last.is_some_and(|it| it.run == report.run && report.sequence <= it.sequence);
        let is_other_run = last.is_some_and(|it| it.run != report.run);

        if report.is_probe || is_old {
            let knows_view = self.views.contains_key(&report.view_hash);
            return QuotaAnswer { knows_view, grants: Vec::new() };
        }
        if is_other_run {
            self.teams.values_mut().for_each(|it| it.forget_run(name));
        }

        self.sweep(now);
        self.learn_view(report);
        let known_hosts = self.known_hosts.max(report.known_hosts).max(1);
        let host =
            self.hosts.entry(Arc::clone(name)).or_insert_with(|| ReportingHost::new(now, report));
        host.record(now, report, 1.0 / f64::from(known_hosts));

        let owner = OwnerState {
            hosts: &self.hosts,
            host: &self.host,
            views: &self.views,
            is_settled: now.duration_since(self.started_at) >= ALLOWANCE_LIFETIME,
            tolerance: &self.tolerance,
            known_hosts,
        };
        let mut grants = Vec::with_capacity(report.teams.len());

        for team_report in &report.teams {
            let team = self
                .teams
                .entry(Arc::clone(&team_report.team))
                .or_insert_with(|| OwnedTeam::new(now, team_report));
            grants.push(team.report(now, name, team_report, &owner));
        }
        QuotaAnswer { knows_view: self.views.contains_key(&report.view_hash), grants }
    }

    /// Learns the candidates of a scheduler.
    fn learn_view(&mut self, report: &QuotaReport) {
        let is_new = !report.candidates.is_empty() && !self.views.contains_key(&report.view_hash);

        // The hash is computed again, since a wrong one would hand the time of other schedulers over as well.
        if is_new && hash_of(&report.candidates) == report.view_hash {
            self.views.insert(report.view_hash, report.candidates.clone());
            self.teams.values_mut().for_each(OwnedTeam::forget_choices);
        }
    }

    /// Forgets schedulers that are gone, candidates that no scheduler has, and teams whose bucket is full.
    fn sweep(&mut self, now: Instant) {
        if now.duration_since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }

        self.swept_at = now;
        let owner = OwnerState {
            hosts: &self.hosts,
            host: &self.host,
            views: &self.views,
            is_settled: now.duration_since(self.started_at) >= ALLOWANCE_LIFETIME,
            tolerance: &self.tolerance,
            known_hosts: self.known_hosts,
        };
        self.teams.retain(|_, team| !team.is_forgettable(now, &owner));
        self.hosts.retain(|_, it| now.duration_since(it.heard_at) < HOST_FORGET_TIME);
        let hosts = &self.hosts;
        let view_count = self.views.len();
        self.views.retain(|hash, _| hosts.values().any(|it| it.view_hash == *hash));
        if self.views.len() < view_count {
            self.teams.values_mut().for_each(OwnedTeam::forget_choices);
        }
    }
}
