//! Tokens of one team that a scheduler may spend without a message. Pure; see docs/design/quotas.md.
//!
//! It answers the load of a team that sends a few requests a second through many hosts, or several hundred through one.
//!
//! | Input | Source | Age |
//! |---|---|---|
//! | granted and taken tokens | the owner's answer | at most [`ALLOWANCE_LIFETIME`], then the allowance is void |
//! | arrivals | requests of the team at this host | averaged over about 0.5 s |
//! | limit | the configuration in force at this host | none |

use std::{collections::VecDeque, sync::Arc};

use tokio::time::{Duration, Instant};

use crate::entry::quotas::{
    ALLOWANCE_LIFETIME, QuotaFigures, QuotaLimit, TeamGrant, TeamReport,
    start_account::{MAX_PROGRAM_SIZE, is_start_account},
};

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

/// Largest number of tokens of requests that are refused together and counted for later ones.
const MAX_RETRY_COUNT: u32 = 1_000;

/// Most tokens that programs may owe beyond what was expected of them. It bounds what a program that loops costs its team.
const MAX_OWED: u32 = 1_000;

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

/// Allowance of one team at one scheduler: that of its requests, or that of the programs that it starts. A start needs a token
/// for each request that is expected of its program; none is held for starts to come.
#[derive(Debug)]
pub(crate) struct QuotaAllowance {
    limit: QuotaLimit,
    is_for_starts: bool,
    held: u32,
    valid_until: Instant,
    /// Tokens that were given back and are not reported. The owner takes them into the bucket, as far as there is room.
    returned: u32,
    /// Tokens that each waiting request needs, the oldest first.
    waiting: VecDeque<u32>,
    /// Those of them that the last report has named. They come first.
    asked: usize,
    /// Tokens of requests that wait for an upstream. They fill the bucket until their requests run.
    queued: u32,
    /// Tokens that were spent without having been granted, as a program has sent more than was expected.
    owed: u32,
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
    pub(crate) fn new(now: Instant, account: &str, limit: QuotaLimit) -> Self {
        Self {
            limit,
            is_for_starts: is_start_account(account),
            held: 0,
            valid_until: now,
            returned: 0,
            waiting: VecDeque::new(),
            asked: 0,
            queued: 0,
            owed: 0,
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

    /// Decides by what this host holds on a request that needs `size` tokens.
    pub(crate) fn acquire(&mut self, now: Instant, limit: QuotaLimit, size: u32) -> TokenDecision {
        if limit.config_version >= self.limit.config_version {
            self.limit = limit;
        }

        self.arrivals = self.arrivals.saturating_add(1);
        self.last_arrival_at = now;
        self.expire(now);
        let decision = self.decide(now, size);

        match decision {
            TokenDecision::Granted => self.held -= size,
            TokenDecision::Refused { retry_after } => self.end_retry(now + retry_after, size),
            TokenDecision::Waits => self.waiting.push_back(size),
        }
        decision
    }

    /// What the next request gets that needs `size` tokens. Nothing changes.
    pub(super) fn decide(&self, now: Instant, size: u32) -> TokenDecision {
        if self.held(now) >= size {
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

    /// Takes tokens back of which nothing has run. They are spent again only through the owner, which knows whether the
    /// bucket has been filled up meanwhile.
    pub(crate) fn give_back(&mut self, tokens: u32) {
        self.returned = self.returned.saturating_add(tokens);
    }

    /// Records that a request with a token begins or ends to wait for an upstream.
    pub(crate) fn record_queued(&mut self, is_queued: bool) {
        self.queued =
            if is_queued { self.queued.saturating_add(1) } else { self.queued.saturating_sub(1) };
    }

    /// Charges tokens for what has run already.
    pub(crate) fn charge(&mut self, now: Instant, limit: QuotaLimit, tokens: u32) {
        if limit.config_version >= self.limit.config_version {
            self.limit = limit;
        }
        self.last_arrival_at = now;
        self.owed = self.owed.saturating_add(tokens).min(MAX_OWED);
    }

    /// Removes a request that waits no longer, by its place among those that wait.
    pub(crate) fn cancel_wait(&mut self, place: u32) {
        let place = place as usize;
        if self.waiting.remove(place).is_some() && place < self.asked {
            self.asked -= 1;
        }
    }

    /// Figures of the owner's last answer, and their age.
    pub(super) fn figures(&self, now: Instant) -> (QuotaFigures, Option<Duration>) {
        (self.figures, self.answered_at.map(|at| now.duration_since(at)))
    }

    pub(super) fn is_urgent(&self) -> bool {
        self.waiting.len() > self.asked
    }

    pub(super) fn is_active(&self) -> bool {
        self.is_urgent() || self.arrivals > 0 || self.returned > 0 || self.owed > 0
    }

    /// Whether a report has nothing to state about the team.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.held + self.queued == 0
            && !self.is_active()
            && self.waiting.is_empty()
            && self.reserve(now) == 0
    }

    /// Whether the team can be forgotten.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        self.is_idle(now) && now.duration_since(self.last_arrival_at) > FORGET_TIME
    }

    /// Makes the part of a report about the team, and gives up what is not needed.
    pub(super) fn begin_report(&mut self, now: Instant, team: &Arc<str>) -> TeamReport {
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
        let new: u32 = self.waiting.iter().skip(self.asked).sum();
        let surplus = self.held.saturating_sub(limit.saturating_add(new));
        self.held -= surplus;
        let returned = std::mem::take(&mut self.returned).saturating_add(surplus);
        self.asked = self.waiting.len();
        let waiting: u32 = self.waiting.iter().sum();

        TeamReport {
            team: Arc::clone(team),
            limit: self.limit,
            // Tokens that are queued are named on both sides, since they don't serve those that wait.
            held: self.held.saturating_add(self.queued),
            returned,
            waiting: waiting.saturating_add(self.owed).saturating_add(self.queued),
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

        let paid = self.owed.min(self.held);
        self.owed -= paid;
        self.held -= paid;

        let mut granted = 0;
        while let Some(size) = self.waiting.front().copied() {
            // An owner of an older build grants a start what it has, and would never have the tokens of a large program.
            let is_partial = self.is_for_starts && granted == 0 && self.held > 0;
            if self.held < size && !is_partial {
                break;
            }
            self.held = self.held.saturating_sub(size);
            self.waiting.pop_front();
            granted += 1;
        }

        let refused = self.asked.saturating_sub(granted as usize);
        let refused_tokens = self.waiting.drain(..refused).sum();
        let refused = refused as u32;
        self.asked = 0;
        if self.is_for_starts {
            self.give_back_held();
        }

        let mut retry_after = Duration::ZERO;
        if refused > 0 {
            let until = now + grant.retry_after.clamp(MIN_REFUSAL_TIME, MAX_REFUSAL_TIME);
            self.refused_until = Some(until);
            retry_after = self.reserve_retry(now, until, refused_tokens);
        } else if granted > 0 || self.held > 0 {
            self.refused_until = None;
        }

        let retry_step =
            self.token_interval() * (refused_tokens / refused.max(1)).min(MAX_RETRY_COUNT);
        WaitOutcome { granted, refused, retry_after, retry_step }
    }

    /// Returns tokens that the owner has granted beyond what the starts that waited have needed.
    fn give_back_held(&mut self) {
        let held = std::mem::take(&mut self.held);
        self.give_back(held);
    }

    /// Time after which the first of some refused requests, which need `count` tokens together, would get a token. Those that are refused later are told later
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
        self.asked = 0;
    }

    /// Tokens that the scheduler needs for the requests to come; for starts, the largest size of a program that waits.
    fn reserve(&self, now: Instant) -> u32 {
        if self.is_for_starts {
            return self.waiting.iter().copied().max().unwrap_or(0).min(MAX_PROGRAM_SIZE);
        }

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
