//! Schedulers that exchange reports on quotas in memory, for the bench of the decision code.

use std::{collections::HashMap, sync::Arc};

use tokio::time::{Duration, Instant};

use crate::entry::{
    QuotaTolerance,
    quotas::{QuotaLimit, quota_owner::QuotaOwner, quota_reporter::QuotaReporter},
};

/// Simulated time of a round, in which each scheduler reports to each owner once.
const ROUND_TIME: Duration = Duration::from_millis(100);

/// Schedulers and teams with a quota.
#[derive(Debug)]
pub struct LoadedQuotas {
    now: Instant,
    reporters: Vec<QuotaReporter>,
    owners: HashMap<Arc<str>, QuotaOwner>,
    teams: Vec<Arc<str>>,
    limit: QuotaLimit,
    next_team: usize,
}

impl LoadedQuotas {
    /// Schedulers that know each other, after two seconds in which each had requests of each team.
    pub fn new(host_count: usize, team_count: usize) -> Self {
        let now = Instant::now();
        let names: Vec<Arc<str>> = (0..host_count).map(|it| format!("host-{it}").into()).collect();
        let known_hosts = host_count as u32;
        let reporter = |name: &Arc<str>| {
            let run = format!("{name}.run").into();
            let mut reporter = QuotaReporter::new(now, Arc::clone(name), run);
            let others = names.iter().filter(|it| *it != name).cloned().collect();
            reporter.set_peers(now, others, known_hosts, false);
            reporter
        };
        let owner = |name: &Arc<str>| {
            let tolerance = QuotaTolerance::default();
            let mut owner = QuotaOwner::new(now, Arc::clone(name), tolerance);
            owner.set_known_hosts(known_hosts);
            (Arc::clone(name), owner)
        };
        let mut quotas = Self {
            now,
            reporters: names.iter().map(reporter).collect(),
            owners: names.iter().map(owner).collect(),
            teams: (0..team_count).map(|it| format!("team-{it}").into()).collect(),
            limit: QuotaLimit { rate_per_s: 655.0, burst: 655, config_version: 1 },
            next_team: 0,
        };
        (0..20).for_each(|_| quotas.run_round());
        quotas
    }

    /// Decides on one request at one scheduler.
    pub fn run_request(&mut self) {
        self.next_team = (self.next_team + 1) % self.teams.len();
        let team = &self.teams[self.next_team];
        let _ = self.reporters[0].acquire(self.now, team, self.limit);
        self.reporters[0].give_back(team);
    }

    /// Lets each scheduler have a request of each team, report to all owners, and apply their answers.
    pub fn run_round(&mut self) {
        self.now += ROUND_TIME;
        for reporter in &mut self.reporters {
            for team in &self.teams {
                let _ = reporter.acquire(self.now, team, self.limit);
            }
            for (name, report) in reporter.next_reports(self.now) {
                if let Some(owner) = self.owners.get_mut(&name) {
                    let answer = owner.report(self.now, &report);
                    reporter.take_answer(self.now, &name, &report, self.now, &answer);
                }
            }
        }
    }
}
