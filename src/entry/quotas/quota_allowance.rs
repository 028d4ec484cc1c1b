//! Tokens of one team that a scheduler may spend without a message. Pure; see docs/design/quotas.md.
//!
//! It answers the load of a team that sends a few requests a second through many hosts, or several hundred through one.
//!
//! | Input | Source | Age |
//! |---|---|---|
//! | granted and taken tokens | the owner's answer | at most [`ALLOWANCE_LIFETIME`], then the allowance is void |
//! | arrivals | requests of the team at this host | averaged over about 0.5 s |
//! | limit | the configuration in force at this host | none |

use tokio::time::{Duration, Instant};

use crate::entry::quotas::{ALLOWANCE_LIFETIME, QuotaFigures, QuotaLimit, TeamGrant, TeamReport};

/// Load that a reserve covers: two reports and the way of the second one.
const RESERVE_TIME_S: f64 = 0.25;

/// Time for which a scheduler keeps a token of a team that it has seen. A team with a few requests a second then rarely waits
/// for a message at the hosts that its clients use.
const KEEP_TIME: Duration = Duration::from_secs(5);

/// Time over which arrivals are averaged.
const AVERAGE_TIME_S: f64 = 0.5;

/// Time without requests after which a scheduler forgets a team.
const FORGET_TIME: Duration = Duration::from_secs(30);

/// Shortest time for which a scheduler refuses without asking after an empty grant. It bounds the messages about a team
/// that sends far more than its quota; the tokens that accrue meanwhile come as a reserve.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(50);

/// Longest time for which a scheduler refuses without asking, as the limit may be raised meanwhile.
const MAX_REFUSAL_TIME: Duration = Duration::from_mins(1);

/// Longest time by which a refused request is told a later time than the first one. The load may well have ended by then.
pub(super) const MAX_RETRY_SPREAD: Duration = Duration::from_secs(5);

/// Largest number of requests that are refused together and counted for later ones.
const MAX_RETRY_COUNT: u32 = 1_000;

/// What happens to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TokenDecision {
    /// It has a token.
    Granted,
    /// It waits for the owner's answer.
    Waits,
    /// The owner has stated that there is no token until later.
    Refused { retry_after: Duration },
}

/// What becomes of the requests that wait, the oldest first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct WaitOutcome {
    /// Requests that get a token.
    pub(crate) granted: u32,
    /// Requests after them that are refused.
    pub(crate) refused: u32,
    /// Time after which the first of them would get a token.
    pub(crate) retry_after: Duration,
    /// Time by which each further one is later.
    pub(crate) retry_step: Duration,
}

/// Allowance of one team at one scheduler.
#[derive(Debug)]
pub(crate) struct QuotaAllowance {
    limit: QuotaLimit,
    held: u32,
    valid_until: Instant,
    /// Tokens that were given back and are not reported. The owner takes them into the bucket, as far as there is room.
    returned: u32,
    /// Waiting requests that the last report has named.
    asked: u32,
    /// Waiting requests that no report has named.
    waiting: u32,
    refused_until: Option<Instant>,
    /// When the next refused request would get a token, after those that were told an earlier time.
    next_retry: Instant,
    is_scarce: bool,
    arrivals: u32,
    rate_per_s: f64,
    last_report_at: Instant,
    last_arrival_at: Instant,
    figures: QuotaFigures,
    answered_at: Option<Instant>,
}

impl QuotaAllowance {
    pub(crate) fn new(now: Instant, limit: QuotaLimit) -> Self {
        Self {
            limit,
            held: 0,
            valid_until: now,
            returned: 0,
            asked: 0,
            waiting: 0,
            refused_until: None,
            next_retry: now,
            is_scarce: false,
            arrivals: 0,
            rate_per_s: 0.0,
            last_report_at: now,
            last_arrival_at: now,
            figures: QuotaFigures::default(),
            answered_at: None,
        }
    }

    /// Decides on a request by what this host holds.
    pub(crate) fn acquire(&mut self, now: Instant, limit: QuotaLimit) -> TokenDecision {
        if limit.config_version >= self.limit.config_version {
            self.limit = limit;
        }

        self.arrivals = self.arrivals.saturating_add(1);
        self.last_arrival_at = now;
        self.expire(now);
        let decision = self.decide(now);

        match decision {
            TokenDecision::Granted => self.held -= 1,
            TokenDecision::Refused { retry_after } => self.end_retry(now + retry_after, 1),
            TokenDecision::Waits => self.waiting += 1,
        }
        decision
    }

    /// What the next request gets. Nothing changes.
    pub(super) fn decide(&self, now: Instant) -> TokenDecision {
        if self.held(now) > 0 {
            return TokenDecision::Granted;
        }
        match self.refused_until {
            Some(until) if now < until => {
                TokenDecision::Refused { retry_after: self.first_retry(until).duration_since(now) }
            }
            _ => TokenDecision::Waits,
        }
    }

    /// Tokens that this host may spend.
    pub(super) fn held(&self, now: Instant) -> u32 {
        if now < self.valid_until { self.held } else { 0 }
    }

    /// Takes back the token of a request that has not run. It is spent again only through the owner, which knows whether the
    /// bucket has been filled up meanwhile.
    pub(crate) fn give_back(&mut self) {
        self.returned = self.returned.saturating_add(1);
    }

    /// Removes a request that waits no longer, by its place among those that wait.
    pub(crate) fn cancel_wait(&mut self, place: u32) {
        if place < self.asked {
            self.asked -= 1;
        } else {
            self.waiting = self.waiting.saturating_sub(1);
        }
    }

    /// Figures of the owner's last answer, and their age.
    pub(super) fn figures(&self, now: Instant) -> (QuotaFigures, Option<Duration>) {
        (self.figures, self.answered_at.map(|at| now.duration_since(at)))
    }

    pub(super) fn is_urgent(&self) -> bool {
        self.waiting > 0
    }

    pub(super) fn is_active(&self) -> bool {
        self.waiting > 0 || self.arrivals > 0 || self.returned > 0
    }

    /// Whether a report has nothing to state about the team.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.held == 0 && !self.is_active() && self.asked == 0 && self.reserve(now) == 0
    }

    /// Whether the team can be forgotten.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        self.is_idle(now) && now.duration_since(self.last_arrival_at) > FORGET_TIME
    }

    /// Makes the part of a report about the team, and gives up what is not needed.
    pub(super) fn begin_report(&mut self, now: Instant, team: &std::sync::Arc<str>) -> TeamReport {
        self.expire(now);
        let interval_s = now.duration_since(self.last_report_at).as_secs_f64();
        let weight = (interval_s / AVERAGE_TIME_S).min(1.0);
        if interval_s > 0.0 {
            let recent = f64::from(self.arrivals) / interval_s;
            self.rate_per_s += (recent - self.rate_per_s) * weight;
        }
        self.arrivals = 0;
        self.last_report_at = now;

        let reserve = self.reserve(now);
        let limit = if self.is_scarce { reserve } else { reserve.saturating_mul(2) };
        let surplus = self.held.saturating_sub(limit.saturating_add(self.waiting));
        self.held -= surplus;
        let returned = std::mem::take(&mut self.returned).saturating_add(surplus);
        self.asked += std::mem::take(&mut self.waiting);

        TeamReport {
            team: std::sync::Arc::clone(team),
            limit: self.limit,
            held: self.held,
            returned,
            waiting: self.asked,
            reserve,
        }
    }

    /// Applies the owner's answer to the report that was sent at `sent_at`.
    pub(super) fn apply(
        &mut self,
        now: Instant,
        sent_at: Instant,
        grant: &TeamGrant,
    ) -> WaitOutcome {
        self.expire(now);
        self.valid_until = self.valid_until.max(sent_at + ALLOWANCE_LIFETIME);
        self.held = self.held.saturating_add(grant.granted).saturating_sub(grant.taken);
        self.is_scarce = grant.is_scarce;
        self.figures = grant.figures;
        self.answered_at = Some(now);

        let granted = self.held.min(self.asked + self.waiting);
        let refused = self.asked.saturating_sub(granted);
        self.waiting -= granted.saturating_sub(self.asked);
        self.held -= granted;
        self.asked = 0;

        let mut retry_after = Duration::ZERO;
        if refused > 0 {
            let until = now + grant.retry_after.clamp(MIN_REFUSAL_TIME, MAX_REFUSAL_TIME);
            self.refused_until = Some(until);
            retry_after = self.reserve_retry(now, until, refused);
        } else if granted > 0 || self.held > 0 {
            self.refused_until = None;
        }

        WaitOutcome { granted, refused, retry_after, retry_step: self.token_interval() }
    }

    /// Time after which the first of some refused requests would get a token. Those that are refused later are told later
    /// times, as otherwise all clients would come back for the same token.
    fn reserve_retry(&mut self, now: Instant, until: Instant, count: u32) -> Duration {
        let first = self.first_retry(until);
        self.end_retry(first, count);
        first.duration_since(now)
    }

    fn first_retry(&self, until: Instant) -> Instant {
        self.next_retry.max(until).min(until + MAX_RETRY_SPREAD)
    }

    /// Lets requests that are refused later be told later times than the `count` from `first` on.
    fn end_retry(&mut self, first: Instant, count: u32) {
        self.next_retry = first + self.token_interval() * count.min(MAX_RETRY_COUNT);
    }

    /// Time in which one token accrues, by the owner's last answer.
    fn token_interval(&self) -> Duration {
        let part = f64::from(self.figures.heard) / f64::from(self.figures.known.max(1));
        let rate = self.figures.rate_per_s * part;
        // An owner of another build may state anything.
        if rate > 0.0 {
            Duration::from_secs_f64((1.0 / rate).min(MAX_RETRY_SPREAD.as_secs_f64()))
        } else {
            MAX_RETRY_SPREAD
        }
    }

    /// Lets the next report name the requests again that wait for an answer which has not come.
    pub(super) fn fail_report(&mut self) {
        self.waiting += std::mem::take(&mut self.asked);
    }

    /// Tokens that the scheduler needs for the requests to come.
    fn reserve(&self, now: Instant) -> u32 {
        let expected = (self.rate_per_s * RESERVE_TIME_S).round() as u32;
        let is_recent = now.duration_since(self.last_arrival_at) <= KEEP_TIME;
        let kept = u32::from(is_recent && !self.is_scarce);
        expected.max(kept).min(self.limit.burst)
    }

    fn expire(&mut self, now: Instant) {
        if now >= self.valid_until {
            self.held = 0;
        }
    }
}
