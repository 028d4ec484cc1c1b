//! Decides on admission and order for one service.

use std::{collections::BTreeMap, sync::Arc};

use tokio::time::{Duration, Instant};

use super::{
    admission_refusal::{AdmissionRefusal, RefusalReason},
    admission_ticket::AdmissionTicket,
    decayed_count::DecayedCount,
    grant_group::GrantGroup,
    program_table::ProgramTable,
    program_view::ProgramView,
    queue_rank::{QueueClass, QueueRank},
    queue_view::QueueView,
    retry_time::retry_time,
    team_usage::TeamUsage,
    wait_decision::WaitDecision,
};
use crate::entry::{explain::ProgramExplanation, placement_request::PlacementRequest};

/// Time constant of the counts of grants and refusals. It covers the turns of short programs.
const RATE_TIME: Duration = Duration::from_secs(1);

/// Age of a queue from which on it is taken for overload. Shorter queues come from chance, also well below the capacity.
const MIN_QUEUE_AGE: Duration = Duration::from_millis(100);

/// Bounds of the part of a program's slack that it may spend in the queue before its first turn. The rest is for later turns
/// and for errors of the prediction; the lower bound holds whatever the learned lease times are.
const WAIT_SHARE_BOUNDS: (f64, f64) = (0.2, 0.5);

/// Longest expected wait of a new program, in leases. A longer queue of new programs fills no slot that a shorter one leaves
/// free, and makes programs late whose objectives leave little.
const MAX_WAIT_LEASES: f64 = 2.0;

/// Largest part of the time left that any admitted request may be expected to wait, also in a queue that has just formed.
const MAX_WAIT_SHARE: f64 = 0.5;

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
    /// A copy that decides on `requests` as this state does. Of programs it has only theirs, as there may be thousands.
    pub(crate) fn copy_for<'a>(
        &self,
        now: Instant,
        requests: impl Iterator<Item = &'a PlacementRequest>,
    ) -> Self {
        Self {
            programs: self.programs.copy_for(now, requests),
            teams: self.teams.clone(),
            new_grants: self.new_grants.clone(),
            ..*self
        }
    }

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

    /// What is known of a request's program, before the request counts.
    pub(crate) fn program_explanation(
        &self,
        now: Instant,
        request: &PlacementRequest,
    ) -> ProgramExplanation {
        let program = self.programs.view(now, request);
        let left_ms = u64::try_from(program.time_left().as_millis()).unwrap_or(u64::MAX);
        ProgramExplanation {
            is_remembered: program.progress.is_some(),
            is_under_way: program.is_under_way(),
            answered_turns: program.progress.map_or(0, |it| it.answered),
            expected_turns: Some(program.estimate.turns(program.first_left())),
            time_left_ms: Some(left_ms),
            ..ProgramExplanation::default()
        }
    }

    /// Place of a request in the queue.
    pub(crate) fn rank(
        &self,
        now: Instant,
        request: &PlacementRequest,
        sequence: u64,
    ) -> QueueRank {
        let program = self.programs.view(now, request);
        let class = program.class();
        let overuse = self.teams.level(now, request.team.as_ref());
        let (size, due_at) = match class {
            QueueClass::New if request.program.is_some() => {
                (program.size, program.progress.map_or(now, |it| it.first_seen))
            }
            _ => (0, program.finish_by()),
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

        if self.grants_since_late >= LATE_INTERVAL - 1 {
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

    /// Decides whether a request that finds no free slot may wait, and counts its refusal.
    pub(crate) fn check(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
        view: &QueueView,
    ) -> Result<(), AdmissionRefusal> {
        let Some(refusal) = self.decide(now, request, view).refusal else {
            return Ok(());
        };
        self.refusals.add(now);
        Err(refusal)
    }

    /// Decides whether a request that finds no free slot may wait. A turn of a program under way always may, unless the
    /// program earns nothing any more and the queue is too long for its client.
    pub(crate) fn decide(
        &self,
        now: Instant,
        request: &PlacementRequest,
        view: &QueueView,
    ) -> WaitDecision {
        let program = self.programs.view(now, request);
        let (time_left, first_left) = (program.time_left(), program.first_left());
        let estimate = program.estimate;
        let turns = estimate.turns(first_left);
        let idle_time = estimate.idle_time(first_left);
        let slack = time_left.saturating_sub(idle_time);
        let lease_excess = estimate.lease_excess();

        let (min_share, max_share) = WAIT_SHARE_BOUNDS;
        let client_time = request.deadline.saturating_duration_since(now);
        let first_slack = first_left.saturating_sub(idle_time);
        let age = first_left.saturating_sub(time_left);
        let allowed_wait = slack
            .saturating_sub(lease_excess.mul_f64(turns))
            .saturating_sub(idle_time.mul_f64(IDLE_MARGIN))
            .min(slack.mul_f64(max_share))
            .max(first_slack.mul_f64(min_share).saturating_sub(age))
            .min(client_time.mul_f64(MAX_WAIT_SHARE))
            .min(estimate.idle_lease().mul_f64(MAX_WAIT_LEASES));
        let expected_wait = self.expected_wait(&program, turns, view);
        // What the queue takes if no further turn goes before it: a wait that can't become shorter.
        let ahead = (view.under_way_ahead + view.new_ahead + 1) as f64;
        let least_wait = seconds(ahead / view.slots_per_s);

        let class = program.class();
        let is_expired = class == QueueClass::Expired;
        let wait_limit = if is_expired { client_time } else { time_left.min(client_time) };

        let reason = match class {
            _ if program.is_under_way() && !is_expired => None,
            _ if least_wait > wait_limit.mul_f64(MAX_WAIT_SHARE) => {
                Some(RefusalReason::QueueTooLong)
            }
            QueueClass::Expired => None,
            _ if view.queue_age >= MIN_QUEUE_AGE
                && expected_wait > allowed_wait
                && view.longest_wait >= allowed_wait.mul_f64(MIN_WAIT_EVIDENCE) =>
            {
                Some(RefusalReason::NoChance)
            }
            _ => None,
        };

        let refusal = reason.map(|reason| {
            // Those that were refused before come back as well.
            let returning = self.refusals.value(now);
            let return_time = self.expected_wait(
                &program,
                turns,
                &QueueView { under_way_ahead: 0, new_ahead: returning as usize, ..*view },
            );
            let expected = expected_wait.saturating_sub(allowed_wait).saturating_add(return_time);
            AdmissionRefusal {
                reason,
                retry_after: retry_time(expected, &request.request),
                expected_wait,
                allowed_wait,
                time_left,
                slack,
                turns,
                lease_excess,
            }
        });
        WaitDecision { expected_wait, allowed_wait, refusal }
    }

    /// Records that a request has got a slot.
    pub(crate) fn record_grant(&mut self, now: Instant, request: &PlacementRequest) {
        let program = self.programs.view(now, request);
        let is_late = program.class() == QueueClass::Late;
        let group = (!program.is_under_way()).then(|| self.group(&program));
        self.grants_since_late = if is_late { 0 } else { self.grants_since_late.saturating_add(1) };
        self.grants.add(now);
        if let Some(group) = group {
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
    fn expected_wait(&self, program: &ProgramView<'_>, turns: f64, view: &QueueView) -> Duration {
        // Groups before this one are served first, so only the grants that they leave can be hoped for.
        let groups = self.new_grants.range(self.group(program)..);
        let new_grants: f64 = groups.map(|(_, count)| count.value(program.now)).sum();
        let grants = self.grants.value(program.now);
        // With few grants the count says little, and each turn of a program counts the same.
        let measured = (new_grants + 1.0) / (grants + turns.max(1.0));
        let new_share = measured.clamp(MIN_NEW_SHARE / turns.max(1.0), 1.0);
        let turns_ahead = view.under_way_ahead as f64 + (view.new_ahead + 1) as f64 / new_share;
        seconds(turns_ahead / view.slots_per_s)
    }

    /// Group in which a new program is served.
    fn group(&self, program: &ProgramView<'_>) -> GrantGroup {
        let overuse = self.teams.level(program.now, program.request.team.as_ref());
        GrantGroup::new(program.request.priority, overuse, program.size)
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}
