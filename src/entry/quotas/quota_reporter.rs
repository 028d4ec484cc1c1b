//! Decides when a scheduler reports to which quota owner, and hands its part of all rates over. Pure; see
//! docs/design/quotas.md.
//!
//! It answers the loss of owners and links: an owner that does not answer is passed over, and a scheduler that reaches nobody
//! is its own owner, of its part of the rate.
//!
//! | Input | Source | Age |
//! |---|---|---|
//! | responsive and known schedulers | the mesh of this host | as its last update |
//! | answers and time-outs | exchanges with owners | at most [`REPORT_TIMEOUT`](crate::entry::quotas::REPORT_TIMEOUT) |
//! | requests | the gate of this host | none |

use std::{collections::HashMap, sync::Arc};

use tokio::time::{Duration, Instant};

use crate::entry::{
    explain::QuotaExplanation,
    quotas::{
        HEARD_TIME, QuotaAnswer, QuotaFigures, QuotaLimit, QuotaReport, TeamGrant, TeamReport,
        owner_link::OwnerLink,
        quota_allowance::{QuotaAllowance, TokenDecision, WaitOutcome},
        quota_view::QuotaView,
    },
};

/// Time between two probes of an owner that has not answered.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which schedulers that are not in contact with more than half of the known ones hand over nothing any more. The
/// others take over their part 10 s later; see `KnownHosts`.
const LONE_TIME: Duration = Duration::from_secs(50);

/// Reports in a row without an answer after which an owner is passed over.
const MAX_FAILURES: u32 = 2;

/// Time for which a host is not asked whose build knows no quotas.
const OLD_BUILD_INTERVAL: Duration = Duration::from_secs(30);

/// How an exchange with an owner has failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReportFailure {
    /// There was no answer in time.
    Silent,
    /// The peer's build knows no quotas, or it is no scheduler.
    Refused,
}

/// A candidate that is passed over.
#[derive(Debug)]
struct AvoidedOwner {
    next_probe: Instant,
}

/// Allowances of a scheduler, and its exchanges with their owners.
#[derive(Debug)]
pub(crate) struct QuotaReporter {
    host: Arc<str>,
    run: Arc<str>,
    view: QuotaView,
    /// Schedulers that the mesh takes for responsive, without this one.
    responsive: Vec<Arc<str>>,
    known_hosts: u32,
    is_draining: bool,
    /// Since when at most half of the known schedulers are candidates.
    minority_since: Option<Instant>,
    avoided: HashMap<Arc<str>, AvoidedOwner>,
    links: HashMap<Arc<str>, OwnerLink>,
    allowances: HashMap<Arc<str>, QuotaAllowance>,
}

impl QuotaReporter {
    /// A scheduler whose run begins now. Time before belongs to earlier runs.
    pub(crate) fn new(now: Instant, host: Arc<str>, run: Arc<str>) -> Self {
        let view = QuotaView::new(now, &host);
        Self {
            host,
            run,
            view,
            responsive: Vec::new(),
            known_hosts: 1,
            is_draining: false,
            minority_since: None,
            avoided: HashMap::new(),
            links: HashMap::new(),
            allowances: HashMap::new(),
        }
    }

    /// Takes over what the mesh knows of the other schedulers.
    /// `is_draining` states whether this host is about to stop; the others then no longer choose it.
    pub(crate) fn set_peers(
        &mut self,
        now: Instant,
        responsive: Vec<Arc<str>>,
        known_hosts: u32,
        is_draining: bool,
    ) {
        self.responsive = responsive;
        self.known_hosts = known_hosts;
        self.is_draining = is_draining;
        self.refresh_view(now);
    }

    fn refresh_view(&mut self, now: Instant) {
        let mut candidates: Vec<Arc<str>> = self
            .responsive
            .iter()
            .filter(|it| !self.avoided.contains_key(*it))
            .map(Arc::clone)
            .collect();
        if candidates.is_empty() || !self.is_draining {
            candidates.push(Arc::clone(&self.host));
        }

        let is_minority = candidates.len() as u64 * 2 <= u64::from(self.known_hosts);
        self.minority_since = if is_minority { self.minority_since.or(Some(now)) } else { None };

        if self.view.update(now, candidates, self.known_hosts) {
            // Time before the change may have been handed over to a team's earlier owner.
            self.links.values_mut().for_each(|it| it.skip_until(now));
            log::info!(
                candidates = self.view.candidates.len(), known = self.view.known_hosts;
                "the candidates for quota owners have changed"
            );
        }
    }

    /// Decides on a request of a team.
    pub(crate) fn acquire(
        &mut self,
        now: Instant,
        team: &Arc<str>,
        limit: QuotaLimit,
    ) -> TokenDecision {
        self.acquire_tokens(now, team, limit, 1)
    }

    /// Decides on what needs `size` tokens of one of a team's accounts.
    pub(crate) fn acquire_tokens(
        &mut self,
        now: Instant,
        account: &Arc<str>,
        limit: QuotaLimit,
        size: u32,
    ) -> TokenDecision {
        self.allowance(now, account, limit).acquire(now, limit, size)
    }

    /// Charges tokens of one of a team's accounts for what has run already.
    pub(crate) fn charge(
        &mut self,
        now: Instant,
        account: &Arc<str>,
        limit: QuotaLimit,
        tokens: u32,
    ) {
        self.allowance(now, account, limit).charge(now, limit, tokens);
    }

    fn allowance(
        &mut self,
        now: Instant,
        account: &Arc<str>,
        limit: QuotaLimit,
    ) -> &mut QuotaAllowance {
        self.allowances
            .entry(Arc::clone(account))
            .or_insert_with(|| QuotaAllowance::new(now, account, limit))
    }

    /// Records that a request with a token begins or ends to wait for an upstream.
    pub(crate) fn record_queued(&mut self, team: &str, is_queued: bool) {
        if let Some(allowance) = self.allowances.get_mut(team) {
            allowance.record_queued(is_queued);
        }
    }

    /// Takes back the token of a request that has not run.
    pub(crate) fn give_back(&mut self, team: &str) {
        self.give_back_tokens(team, 1);
    }

    /// Takes tokens back of which nothing has run.
    pub(crate) fn give_back_tokens(&mut self, account: &str, tokens: u32) {
        if let Some(allowance) = self.allowances.get_mut(account) {
            allowance.give_back(tokens);
        }
    }

    /// Removes a request that waits no longer, by its place among those of its team.
    pub(crate) fn cancel_wait(&mut self, team: &str, place: u32) {
        if let Some(allowance) = self.allowances.get_mut(team) {
            allowance.cancel_wait(place);
        }
    }

    /// Whether requests wait that no report has named.
    pub(crate) fn is_urgent(&self) -> bool {
        self.allowances.values().any(QuotaAllowance::is_urgent)
    }

    /// Figures of the last answer about a team, and their age.
    pub(super) fn figures(&self, now: Instant, team: &str) -> (QuotaFigures, Option<Duration>) {
        self.allowances.get(team).map(|it| it.figures(now)).unwrap_or_default()
    }

    /// What this host holds of a team's quota for requests, its owner, and the owner's last answer.
    pub(super) fn standing(&self, now: Instant, team: &str) -> QuotaExplanation {
        let (figures, age) = self.figures(now, team);
        QuotaExplanation {
            held: self.allowances.get(team).map_or(0, |it| it.held(now)),
            retry_after_s: self.stated_retry(now, team, 1).map(|it| it.as_secs_f64()),
            owner: self.view.owner(team).cloned(),
            answer_age_ms: age.map(|it| it.as_millis() as u64),
            answer: age.map(|_| figures.to_string()).unwrap_or_default().into(),
        }
    }

    /// Time after which an account has `size` tokens, if this host refuses a request for them without asking the owner.
    pub(super) fn stated_retry(&self, now: Instant, account: &str, size: u32) -> Option<Duration> {
        match self.allowances.get(account)?.decide(now, size) {
            TokenDecision::Refused { retry_after } => Some(retry_after),
            TokenDecision::Granted | TokenDecision::Waits => None,
        }
    }

    /// How full the bucket of a team's requests is, from 0 to 1, by the last answer about it; 1 if there is none that is recent.
    pub(crate) fn bucket_part(&self, now: Instant, team: &str) -> f64 {
        let (figures, age) = self.figures(now, team);
        let is_recent = age.is_some_and(|it| it <= HEARD_TIME) && figures.capacity > 0.0;
        if is_recent { (figures.level / figures.capacity).clamp(0.0, 1.0) } else { 1.0 }
    }

    /// Reports that are to be sent now, each with its receiver.
    pub(crate) fn next_reports(&mut self, now: Instant) -> Vec<(Arc<str>, QuotaReport)> {
        self.allowances.retain(|_, it| !it.is_over(now));
        let mut teams: HashMap<Arc<str>, Vec<Arc<str>>> = HashMap::new();
        for (team, allowance) in &self.allowances {
            if let Some(owner) = self.view.owner(team).filter(|_| !allowance.is_idle(now)) {
                teams.entry(Arc::clone(owner)).or_default().push(Arc::clone(team));
            }
        }

        let is_lone = self.minority_since.is_some_and(|it| now.duration_since(it) >= LONE_TIME);
        let mut reports = Vec::new();
        for owner in &self.view.candidates {
            let names = teams.remove(owner).unwrap_or_default();
            let link = self
                .links
                .entry(Arc::clone(owner))
                .or_insert_with(|| OwnerLink::new(self.view.since));
            let is_urgent = names.iter().any(|it| self.allowances[it].is_urgent());
            let is_active = names.iter().any(|it| self.allowances[it].is_active());

            if !link.is_due(now, is_urgent, is_active) {
                continue;
            }

            let is_announced = link.announced_view == Some(self.view.hash);
            let (sequence, delegated) = link.begin_report(now);
            let mut team_reports = Vec::with_capacity(names.len());
            for name in &names {
                if let Some(allowance) = self.allowances.get_mut(name) {
                    team_reports.push(allowance.begin_report(now, name));
                }
            }

            let report = QuotaReport {
                host: Arc::clone(&self.host),
                run: Arc::clone(&self.run),
                sequence,
                is_probe: false,
                delegated_us: if is_lone { 0 } else { delegated.as_micros() as u64 },
                view_hash: self.view.hash,
                candidates: if is_announced { Vec::new() } else { self.view.candidates.clone() },
                view_number: self.view.number,
                view_age_ms: now.duration_since(self.view.since).as_millis() as u64,
                known_hosts: self.view.known_hosts,
                teams: team_reports,
            };
            reports.push((Arc::clone(owner), report));
        }

        reports.extend(self.next_probes(now));
        reports
    }

    fn next_probes(&mut self, now: Instant) -> Vec<(Arc<str>, QuotaReport)> {
        let mut probes = Vec::new();
        let responsive = &self.responsive;
        self.avoided.retain(|host, _| responsive.contains(host));

        for (host, avoided) in &mut self.avoided {
            if now < avoided.next_probe {
                continue;
            }

            avoided.next_probe = now + PROBE_INTERVAL;
            let probe = QuotaReport {
                host: Arc::clone(&self.host),
                run: Arc::clone(&self.run),
                sequence: 0,
                is_probe: true,
                delegated_us: 0,
                view_hash: self.view.hash,
                candidates: Vec::new(),
                view_number: self.view.number,
                view_age_ms: 0,
                known_hosts: self.view.known_hosts,
                teams: Vec::new(),
            };
            probes.push((Arc::clone(host), probe));
        }
        probes
    }

    /// Applies an owner's answer to `report`, which was sent at `sent_at`. Returns what becomes of waiting requests.
    pub(crate) fn take_answer(
        &mut self,
        now: Instant,
        owner: &Arc<str>,
        report: &QuotaReport,
        sent_at: Instant,
        answer: &QuotaAnswer,
    ) -> Vec<(Arc<str>, WaitOutcome)> {
        if report.is_probe {
            if self.avoided.remove(owner).is_some() {
                if let Some(link) = self.links.get_mut(owner) {
                    link.failures = 0;
                }
                self.refresh_view(now);
            }
            return Vec::new();
        }

        let view_hash = self.view.hash;
        let Some(link) = self.end_report(owner, report) else {
            return Vec::new();
        };
        link.failures = 0;
        link.announced_view =
            Some(report.view_hash).filter(|it| answer.knows_view && *it == view_hash);

        // An owner of another build may answer in any order.
        let grants: HashMap<&Arc<str>, &TeamGrant> =
            answer.grants.iter().map(|it| (&it.team, it)).collect();
        let mut outcomes = Vec::with_capacity(report.teams.len());

        for TeamReport { team, .. } in &report.teams {
            let Some(allowance) = self.allowances.get_mut(team) else {
                continue;
            };
            match grants.get(team) {
                Some(grant) => {
                    outcomes.push((Arc::clone(team), allowance.apply(now, sent_at, grant)));
                }
                // An owner that has ignored the report has lost nothing of what this host holds.
                None => allowance.fail_report(),
            }
        }
        outcomes
    }

    /// Passes over an owner that has not answered `report`.
    pub(crate) fn take_failure(
        &mut self,
        now: Instant,
        owner: &Arc<str>,
        report: &QuotaReport,
        failure: ReportFailure,
    ) {
        let mut failures = MAX_FAILURES;
        if !report.is_probe {
            let Some(link) = self.end_report(owner, report) else {
                return;
            };
            link.failures += 1;
            link.announced_view = None;
            failures = link.failures;
        }

        for team in &report.teams {
            if let Some(allowance) = self.allowances.get_mut(&team.team) {
                allowance.fail_report();
            }
        }

        if failure == ReportFailure::Silent && failures < MAX_FAILURES {
            return;
        }

        let interval = match failure {
            ReportFailure::Silent => PROBE_INTERVAL,
            ReportFailure::Refused => OLD_BUILD_INTERVAL,
        };
        if !self.avoided.contains_key(owner) {
            log::warn!(owner:% = owner, failure:?; "a quota owner has not answered a report, so others take its teams over");
        }
        self.avoided.insert(Arc::clone(owner), AvoidedOwner { next_probe: now + interval });
        self.refresh_view(now);
    }

    /// Whether the answer to a report is still awaited.
    #[cfg(test)]
    pub(crate) fn is_awaited(&self, owner: &str, report: &QuotaReport) -> bool {
        let link = self.links.get(owner);
        let is_link_waiting =
            link.is_some_and(|it| it.sequence == report.sequence && it.is_in_flight);
        is_link_waiting || (report.is_probe && self.avoided.contains_key(owner))
    }

    /// Ends the exchange of a report, if it is the last one to its owner.
    fn end_report(&mut self, owner: &str, report: &QuotaReport) -> Option<&mut OwnerLink> {
        let link = self.links.get_mut(owner)?;
        if link.sequence != report.sequence || !link.is_in_flight {
            return None;
        }
        link.is_in_flight = false;
        Some(link)
    }
}
