//! Decides on admission and order for one service.

use std::{collections::BTreeMap, sync::Arc};

use tokio::time::{Duration, Instant};

use super::{
    admission_refusal::{AdmissionRefusal, RefusalReason},
    admission_ticket::AdmissionTicket,
    decayed_count::DecayedCount,
    grant_group::GrantGroup,
    program_progress::ProgramProgress,
    program_table::ProgramTable,
    queue_rank::{QueueClass, QueueRank},
    queue_view::QueueView,
    retry_time::retry_time,
    route_estimate::RouteEstimate,
    team_usage::TeamUsage,
};
use crate::entry::placement_request::PlacementRequest;

/// Time constant of the counts of grants and refusals. It covers the turns of short programs.
const RATE_TIME: Duration = Duration::from_secs(1);

/// Age of a queue from which on it is taken for overload. Shorter queues come from chance, also well below the capacity.
const MIN_QUEUE_AGE: Duration = Duration::from_millis(100);

/// Bounds of the part of a program's slack that it may spend in the queue before its first turn. The rest is for later turns
/// and for errors of the prediction; the lower bound holds whatever the learned lease times are.
const WAIT_SHARE_BOUNDS: (f64, f64) = (0.2, 0.5);

/// Longest expected wait of a new program, in leases. A longer queue of new programs fills no slot that a shorter one leaves
/// free, and makes programs late whose objectives leave little.
const MAX_WAIT_LEASES: f64 = 1.0;

/// Largest part of the time left that any admitted request may be expected to wait, also in a queue that has just formed.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Part of the predicted time still needed that has to fit for a turn to count as in time. A turn that is wrongly taken for
/// late costs its program; one that is wrongly taken for in time costs a slot.
const NEEDED_MARGIN: f64 = 0.8;

/// Grants of which one goes to the late program that has waited longest, so that a long overload can't hold
/// back programs under way for good. It is far less than new programs get, so it admits no further load.
const LATE_INTERVAL: u32 = 16;

/// Part of its mean value below which the share of grants that a group of new programs gets is not assumed to fall.
const MIN_NEW_SHARE: f64 = 0.125;

/// Part of the allowed wait that a new program ahead has to have waited before others are refused. A prediction from few
/// recent grants alone may be far too long.
const MIN_WAIT_EVIDENCE: f64 = 0.25;

/// Part of a program's idle time that is kept for errors of the estimates.
const IDLE_MARGIN: f64 = 0.1;

/// Programs, teams and recent grants of a service.
#[derive(Debug)]
pub(crate) struct AdmissionState {
    programs: ProgramTable,
    teams: TeamUsage,
    grants: DecayedCount,
    /// Grants to new programs.
    new_grants: BTreeMap<GrantGroup, DecayedCount>,
    refusals: DecayedCount,
    queued_since: Option<Instant>,
    /// Grants since a late program got one.
    grants_since_late: u32,
}

impl Default for AdmissionState {
    fn default() -> Self {
        let count = DecayedCount::new(RATE_TIME);
        Self {
            programs: ProgramTable::default(),
            teams: TeamUsage::default(),
            grants: count,
            new_grants: BTreeMap::new(),
            refusals: count,
            queued_since: None,
            grants_since_late: 0,
        }
    }
}

impl AdmissionState {
    /// Records that a request has arrived. The returned ticket belongs to its lease.
    pub(crate) fn record_arrival(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
    ) -> Option<Arc<AdmissionTicket>> {
        if let Some(team) = &request.team {
            self.teams.record_demand(now, team);
        }
        self.programs.record_arrival(now, request);
        let estimate = self.programs.estimate_key(now, request);
        AdmissionTicket::new(now, request, estimate).map(Arc::new)
    }

    /// Place of a request in the queue.
    pub(crate) fn rank(
        &self,
        now: Instant,
        request: &PlacementRequest,
        sequence: u64,
    ) -> QueueRank {
        let class = self.class(now, request);
        let overuse = self.teams.level(now, request.team.as_ref());
        let (size, due_at) = match class {
            QueueClass::New if request.program.is_some() => (
                self.programs.estimate_key(now, request).size,
                self.programs.progress(request).map_or(now, |it| it.first_seen),
            ),
            _ => (0, self.finish_by(request)),
        };
        QueueRank { class, priority: request.priority, overuse, size, due_at, sequence }
    }

    /// Sorts waiting requests into the order in which they are served.
    pub(crate) fn sort_queue<'a, T: Copy>(
        &self,
        now: Instant,
        waiting: impl Iterator<Item = (T, u64, &'a PlacementRequest)>,
    ) -> Vec<T> {
        let mut ranked: Vec<(QueueRank, T)> = waiting
            .map(|(item, sequence, request)| (self.rank(now, request, sequence), item))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);

        if self.grants_since_late + 1 >= LATE_INTERVAL {
            let oldest = (0..ranked.len())
                .filter(|index| ranked[*index].0.class == QueueClass::Late)
                .min_by_key(|index| ranked[*index].0.sequence);
            if let Some(index) = oldest {
                ranked[..=index].rotate_right(1);
            }
        }

        ranked.into_iter().map(|(_, item)| item).collect()
    }

    /// Records whether requests wait.
    pub(crate) fn record_queue(&mut self, now: Instant, is_empty: bool) {
        self.queued_since = if is_empty { None } else { self.queued_since.or(Some(now)) };
    }

    /// Time for which the queue has not been empty.
    pub(crate) fn queue_age(&self, now: Instant) -> Duration {
        self.queued_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Decides whether a request that finds no free slot may wait. A turn of a program under way always may, unless the
    /// program earns nothing any more and the queue is too long for its client.
    pub(crate) fn check(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
        view: &QueueView,
    ) -> Result<(), AdmissionRefusal> {
        let progress = self.programs.progress(request);
        let time_left = self.finish_by(request).saturating_duration_since(now);
        let first_left = progress.and_then(|it| it.first_left).unwrap_or(time_left);
        let route = self.estimate(now, request);
        let turns = route.turns(first_left);
        let slack = time_left.saturating_sub(route.idle_time(first_left));
        let lease_excess = route.lease_excess();

        let (min_share, max_share) = WAIT_SHARE_BOUNDS;
        let client_time = request.deadline.saturating_duration_since(now);
        let first_slack = first_left.saturating_sub(route.idle_time(first_left));
        let age = first_left.saturating_sub(time_left);
        let allowed_wait = slack
            .saturating_sub(lease_excess.mul_f64(turns))
            .saturating_sub(route.idle_time(first_left).mul_f64(IDLE_MARGIN))
            .min(slack.mul_f64(max_share))
            .max(first_slack.mul_f64(min_share).saturating_sub(age))
            .min(client_time.mul_f64(MAX_WAIT_SHARE))
            .min(route.idle_lease().mul_f64(MAX_WAIT_LEASES));
        let expected_wait = self.expected_wait(now, request, turns, view);
        // What the queue takes if no further turn goes before it: a wait that can't become shorter.
        let ahead = (view.under_way_ahead + view.new_ahead + 1) as f64;
        let least_wait = seconds(ahead / view.slots_per_s);

        let class = self.class(now, request);
        let is_worthless = class == QueueClass::Worthless;
        let wait_limit = if is_worthless { client_time } else { time_left.min(client_time) };

        let reason = match class {
            _ if self.is_under_way(request) && !is_worthless => return Ok(()),
            _ if least_wait > wait_limit.mul_f64(MAX_WAIT_SHARE) => RefusalReason::QueueTooLong,
            QueueClass::Worthless => return Ok(()),
            _ if view.queue_age >= MIN_QUEUE_AGE
                && expected_wait > allowed_wait
                && view.longest_wait >= allowed_wait.mul_f64(MIN_WAIT_EVIDENCE) =>
            {
                RefusalReason::NoChance
            }
            _ => return Ok(()),
        };

        // Those that were refused before come back as well.
        let returning = self.refusals.value(now);
        let return_time = self.expected_wait(
            now,
            request,
            turns,
            &QueueView { under_way_ahead: 0, new_ahead: returning as usize, ..*view },
        );
        let expected = expected_wait.saturating_sub(allowed_wait).saturating_add(return_time);
        self.refusals.add(now);
        Err(AdmissionRefusal {
            reason,
            retry_after: retry_time(expected, &request.request),
            expected_wait,
            allowed_wait,
            time_left,
            slack,
            turns,
            lease_excess,
        })
    }

    /// Records that a request has got a slot.
    pub(crate) fn record_grant(&mut self, now: Instant, request: &PlacementRequest) {
        let is_late = self.class(now, request) == QueueClass::Late;
        self.grants_since_late = if is_late { 0 } else { self.grants_since_late.saturating_add(1) };
        self.grants.add(now);
        if !self.is_under_way(request) {
            let group = self.group(now, request);
            let count = self.new_grants.entry(group);
            count.or_insert_with(|| DecayedCount::new(RATE_TIME)).add(now);
        }
        if let Some(team) = &request.team {
            self.teams.record_grant(now, team);
        }
        self.programs.record_grant(request);
    }

    /// Records that a lease has ended.
    pub(crate) fn record_end(
        &mut self,
        now: Instant,
        ticket: &AdmissionTicket,
        lease_time: Duration,
        is_answered: bool,
    ) {
        self.programs.record_end(now, ticket, lease_time, is_answered);
    }

    /// Time until a new program gets a slot: requests under way go first, and new programs share what those leave.
    fn expected_wait(
        &self,
        now: Instant,
        request: &PlacementRequest,
        turns: f64,
        view: &QueueView,
    ) -> Duration {
        // Groups before this one are served first, so only the grants that they leave can be hoped for.
        let groups = self.new_grants.range(self.group(now, request)..);
        let new_grants: f64 = groups.map(|(_, count)| count.value(now)).sum();
        let grants = self.grants.value(now);
        let min_share = MIN_NEW_SHARE / turns.max(1.0);
        // With few grants the count says little, and each turn of a program counts the same.
        let measured = (new_grants + 1.0) / (grants + turns.max(1.0));
        let new_share = measured.clamp(min_share, 1.0);
        let turns_ahead = view.under_way_ahead as f64 + (view.new_ahead + 1) as f64 / new_share;
        seconds(turns_ahead / view.slots_per_s)
    }

    fn estimate(&self, now: Instant, request: &PlacementRequest) -> RouteEstimate {
        self.programs.estimate(&self.programs.estimate_key(now, request))
    }

    fn group(&self, now: Instant, request: &PlacementRequest) -> GrantGroup {
        let overuse = self.teams.level(now, request.team.as_ref());
        let size = self.programs.estimate_key(now, request).size;
        GrantGroup::new(request.priority, overuse, size)
    }

    fn finish_by(&self, request: &PlacementRequest) -> Instant {
        let known = self.programs.progress(request).map(|it| it.finish_by);
        known.map_or(request.finish_by, |known| known.min(request.finish_by))
    }

    fn is_under_way(&self, request: &PlacementRequest) -> bool {
        // A sub-agent's first turn continues no other.
        request.is_continuation || self.programs.progress(request).is_some_and(|it| it.has_started)
    }

    fn class(&self, now: Instant, request: &PlacementRequest) -> QueueClass {
        let is_under_way = self.is_under_way(request);
        let progress = self.programs.progress(request);

        if request.program.is_some() {
            if progress.and_then(ProgramProgress::worthless_at).is_some_and(|at| at < now) {
                return QueueClass::Worthless;
            }

            let needed = self.needed_time(now, request, is_under_way).mul_f64(NEEDED_MARGIN);
            if self.finish_by(request).saturating_duration_since(now) < needed {
                return if is_under_way { QueueClass::Late } else { QueueClass::LateNew };
            }
        }

        if is_under_way { QueueClass::UnderWay } else { QueueClass::New }
    }

    /// Time that the program still needs on idle upstreams, or that of this turn if no more is known.
    fn needed_time(
        &self,
        now: Instant,
        request: &PlacementRequest,
        is_under_way: bool,
    ) -> Duration {
        let route = self.estimate(now, request);
        let first_left = self.programs.progress(request).and_then(|it| it.first_left);
        let Some((first_left, answered)) = first_left
            .filter(|_| route.is_learned())
            .zip(self.programs.progress(request).map(|it| it.answered))
        else {
            return route.idle_lease();
        };

        let done = if is_under_way { f64::from(answered) / route.turns(first_left) } else { 0.0 };
        route.idle_time(first_left).mul_f64((1.0 - done).max(0.0)).max(route.idle_lease())
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}
