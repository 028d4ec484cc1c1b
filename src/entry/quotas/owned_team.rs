//! The token bucket of one team at its quota owner.

use std::{collections::HashMap, sync::Arc};

use tokio::time::{Duration, Instant};

use crate::entry::quotas::{
    ALLOWANCE_LIFETIME, HEARD_TIME, QuotaFigures, QuotaLimit, QuotaTolerance, TeamGrant,
    TeamReport,
    quota_view::owner_among,
    reporting_host::ReportingHost,
    start_account::{MAX_PROGRAM_SIZE, is_start_account},
};

/// Time of its rate that a bucket may hold for schedulers that another owner may still count. Enough for the requests of
/// two reports, and little enough that two owners together stay within the tolerated excess.
const UNSETTLED_TIME_S: f64 = 0.25;

/// Time without reports on a team after which its full bucket may be forgotten.
const FORGET_TIME: Duration = Duration::from_mins(10);

/// Time in which the requests of a program come. Programs of known deployments last 2 to 4 s.
const PROGRAM_SPREAD_S: f64 = 3.0;

/// Programs whose requests a team may owe. The burst of a small team holds less than one, that of a large team many.
const MAX_OWED_PROGRAMS: f64 = 2.0;

/// Part of a team's bucket that suffices for any program, so that a program which is larger than the bucket can start.
const FULL_START_PART: f64 = 0.9;

/// Tokens that a start may lack. Reports state times in whole microseconds, so a client that comes back at the stated time would
/// find a little less than it needs.
const START_ROUNDING: f64 = 0.1;

/// Longest `Retry-After`. A limit of 0.001 requests a second would otherwise state a time in which it may well be raised.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// What one scheduler holds of a team.
#[derive(Debug)]
struct TeamAccount {
    sequence: u64,
    reported_at: Instant,
    view_number: u64,
    held: u32,
    reserve: u32,
    /// Tokens that the scheduler held when it first reported with its present candidates.
    first_held: u32,
}

impl TeamAccount {
    /// Tokens that the scheduler may still spend. A later report that doesn't name the team says that it holds none.
    fn held(&self, now: Instant, host: Option<&ReportingHost>) -> u32 {
        let is_valid = now.duration_since(self.reported_at) <= ALLOWANCE_LIFETIME;
        let is_current = host.is_none_or(|it| it.sequence == self.sequence);
        if is_valid && is_current { self.held } else { 0 }
    }
}

/// What an owner knows beside a team's bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnerState<'a> {
    pub(super) hosts: &'a HashMap<Arc<str>, ReportingHost>,
    pub(super) host: &'a Arc<str>,
    /// Candidates of schedulers, by their hash.
    pub(super) views: &'a HashMap<u64, Vec<Arc<str>>>,
    /// Whether no allowance can exist that an earlier run of this host has granted.
    pub(super) is_settled: bool,
    pub(super) tolerance: &'a QuotaTolerance,
    pub(super) known_hosts: u32,
}

/// Sums over the schedulers that a team's owner hears.
#[derive(Debug, Default)]
pub(super) struct TeamTotals {
    /// Tokens that the bucket and all allowances may hold together.
    capacity: f64,
    held: u32,
    /// Tokens that were accrued and not reported, beyond what the tolerance allows.
    unreported: f64,
    /// Tokens that were accrued and not reported, as far as the tolerance allows. They may be granted before they are reported.
    credit: f64,
    reserve: u32,
    heard: u32,
    share: f64,
}

/// Bucket and allowances of one team.
#[derive(Debug)]
pub(super) struct OwnedTeam {
    name: Arc<str>,
    limit: QuotaLimit,
    level: f64,
    accounts: HashMap<Arc<str>, TeamAccount>,
    /// Part of each scheduler's handed over time that the bucket has got, in seconds.
    credited_s: HashMap<Arc<str>, f64>,
    /// Whether this host is the team's owner among the candidates with a hash.
    choices: HashMap<u64, bool>,
    last_report_at: Instant,
}

impl OwnedTeam {
    /// State before the first report on a team. Its bucket is empty, since an earlier owner may have granted all. The first program
    /// can start at once: the rule limits requests, and a small team would else wait for a minute after a restart of all hosts.
    pub(super) fn new(now: Instant, report: &TeamReport) -> Self {
        let is_for_starts = is_start_account(&report.team);
        let first_start = if is_for_starts { report.reserve.min(MAX_PROGRAM_SIZE) } else { 0 };
        Self {
            name: Arc::clone(&report.team),
            limit: report.limit,
            level: f64::from(first_start),
            accounts: HashMap::new(),
            credited_s: HashMap::new(),
            choices: HashMap::new(),
            last_report_at: now,
        }
    }

    /// Whether the bucket is full and nothing is held, so that a new state would come to the same, or another host owns the team.
    pub(super) fn is_forgettable(&mut self, now: Instant, owner: &OwnerState<'_>) -> bool {
        if now.duration_since(self.last_report_at) < FORGET_TIME {
            return false;
        }
        let totals = self.accrue(now, owner);
        // Where no scheduler has chosen this host any more, another one owns the team, and all allowances of old are void.
        totals.heard == 0 || totals.held == 0 && self.level + 1.0 >= totals.capacity
    }

    /// Forgets which candidates make this host the owner, when candidates are forgotten or added.
    pub(super) fn forget_choices(&mut self) {
        self.choices.clear();
    }

    /// Forgets what an earlier run of a host held. It was spent, or is lost.
    pub(super) fn forget_run(&mut self, host: &str) {
        self.accounts.remove(host);
    }

    /// Adds what has accrued since the last call, and cuts off what exceeds the capacity.
    pub(super) fn accrue(&mut self, now: Instant, owner: &OwnerState<'_>) -> TeamTotals {
        let OwnerState { hosts, is_settled, tolerance, .. } = *owner;
        let rate = self.limit.rate();
        let burst = f64::from(self.limit.burst);
        let mut totals = TeamTotals::default();
        let mut unreported_s = 0.0;

        for (name, host) in hosts {
            let account = self.accounts.get(name);
            // A scheduler with other candidates may have chosen another owner for this team.
            let has_chosen = *self.choices.entry(host.view_hash).or_insert_with(|| {
                let candidates = owner.views.get(&host.view_hash);
                candidates.and_then(|it| owner_among(it, &self.name)) == Some(owner.host)
            });
            if !has_chosen {
                continue;
            }

            let credited_s = self.credited_s.entry(Arc::clone(name)).or_insert(host.baseline_s);
            let gain_s = host.delegated_s - credited_s.max(host.baseline_s);
            *credited_s = host.delegated_s;
            self.level += rate * gain_s.max(0.0);

            if host.is_heard(now) {
                totals.heard += 1;
                totals.share += host.share;
                totals.capacity += tolerance.extra_tokens() * host.share;
                unreported_s += now.duration_since(host.heard_at).as_secs_f64() * host.share;
                totals.capacity += if is_settled && host.is_settled(now) {
                    burst * host.share
                } else {
                    let first_held = account.map_or(0, |it| it.first_held);
                    let unsettled = (rate * UNSETTLED_TIME_S).min(burst) * host.share;
                    unsettled.max(f64::from(first_held))
                };
            }
        }

        totals.capacity = totals.capacity.min(burst + tolerance.extra_tokens());
        let unreported = rate * unreported_s;
        totals.credit = unreported.min(tolerance.unreported_tokens(rate));
        totals.unreported = unreported - totals.credit;

        for (name, account) in &self.accounts {
            let host = hosts.get(name);
            totals.held = totals.held.saturating_add(account.held(now, host));
            if now.duration_since(account.reported_at) <= HEARD_TIME {
                totals.reserve = totals.reserve.saturating_add(account.reserve);
            }
        }

        let room = totals.capacity - f64::from(totals.held) - totals.unreported;
        // Below zero is what was granted before it was reported.
        self.level = self.level.min(room.max(0.0));
        totals
    }

    /// Records a scheduler's report on the team, and decides what it gets.
    pub(super) fn report(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        report: &TeamReport,
        owner: &OwnerState<'_>,
    ) -> TeamGrant {
        let known_hosts = owner.known_hosts;
        let Some(host) = owner.hosts.get(name) else {
            return self.grant(report, &TeamTotals::default(), known_hosts);
        };

        if report.limit.config_version >= self.limit.config_version {
            self.limit = report.limit;
        }

        self.last_report_at = now;
        let last = self.accounts.get(name).filter(|it| it.view_number == host.view_number);
        let first_held = last.map_or(report.held, |it| it.first_held);
        let account = TeamAccount {
            sequence: host.sequence,
            reported_at: now,
            view_number: host.view_number,
            held: report.held,
            reserve: report.reserve,
            first_held,
        };
        self.accounts.insert(Arc::clone(name), account);
        self.level += f64::from(report.returned);
        let totals = self.accrue(now, owner);
        let mut grant = self.grant(report, &totals, known_hosts);

        let excess = f64::from(totals.held) - totals.capacity;
        if excess > 0.0 {
            grant.taken = (excess.ceil() as u32).min(report.held);
        }

        let needed = report.waiting.saturating_sub(report.held);
        let (available, missing) = self.available(report, &totals);
        let for_waiting = needed.min(available);
        self.level -= f64::from(for_waiting);

        if for_waiting < needed {
            let rate = self.limit.rate() * totals.share;
            let missing = missing + f64::from(for_waiting);
            let retry_after_s = (missing.max(0.001) / rate).clamp(0.001, MAX_RETRY_AFTER_S);
            grant.retry_after = Duration::from_secs_f64(retry_after_s);
        }

        let left = report.held.saturating_sub(report.waiting);
        let for_reserve = if is_start_account(&self.name) {
            0
        } else {
            self.reserve_of(report.reserve, left, &totals, owner.tolerance)
        };
        self.level -= f64::from(for_reserve);
        grant.granted = for_waiting + for_reserve;
        grant.figures.level = self.level;
        grant.figures.held = totals.held.saturating_add(grant.granted);

        if let Some(account) = self.accounts.get_mut(name) {
            account.held = account.held.saturating_add(grant.granted).saturating_sub(grant.taken);
        }
        grant
    }

    /// Tokens for what waits, and how many are missing for the first of it.
    ///
    /// A program gets all that it needs at its start although its requests come over seconds, so its team may owe what accrues
    /// meanwhile. Less is needed where the bucket is too small for the program.
    fn available(&self, report: &TeamReport, totals: &TeamTotals) -> (u32, f64) {
        let level = self.level + totals.credit;
        if !is_start_account(&self.name) {
            return (level.max(0.0) as u32, 1.0 - level);
        }

        let size = report.reserve.clamp(1, MAX_PROGRAM_SIZE);
        let accruing = (self.limit.rate() * totals.share * PROGRAM_SPREAD_S)
            .min(f64::from(size) * MAX_OWED_PROGRAMS);
        let largest = (totals.capacity + accruing) * FULL_START_PART;
        let needed = f64::from(size).min(largest);
        let missing = needed - level - accruing;
        if missing > START_ROUNDING {
            return (0, missing);
        }
        (((level + accruing) as u32).max(size), missing)
    }

    /// Tokens for requests that are expected, so that few of them wait for a message. While the bucket is nearly full, half of
    /// the extra tokens may lie anywhere; the other half stays for requests at hosts that hold none. Beyond that, each
    /// scheduler gets its part by demand.
    fn reserve_of(
        &self,
        wanted: u32,
        left: u32,
        totals: &TeamTotals,
        tolerance: &QuotaTolerance,
    ) -> u32 {
        let missing = wanted.saturating_sub(left);
        let kept = (totals.capacity - tolerance.extra_tokens() / 2.0).max(totals.capacity / 2.0);
        let plenty = self.level - kept;
        let part = self.level * f64::from(wanted) / f64::from(totals.reserve.max(1));
        missing.min(plenty.max(part).max(0.0) as u32)
    }

    fn grant(&self, report: &TeamReport, totals: &TeamTotals, known: u32) -> TeamGrant {
        TeamGrant {
            team: Arc::clone(&report.team),
            granted: 0,
            taken: 0,
            is_scarce: self.level < totals.capacity / 2.0,
            retry_after: Duration::ZERO,
            figures: QuotaFigures {
                rate_per_s: self.limit.rate(),
                burst: self.limit.burst,
                level: self.level,
                capacity: totals.capacity,
                held: totals.held,
                heard: totals.heard,
                known,
            },
        }
    }
}
