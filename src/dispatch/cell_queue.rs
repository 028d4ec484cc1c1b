//! The queue of a cell: a deterministic state machine that turns events into decisions. It reads no clock and does no
//! I/O, so that the audit can replay it and the benchmark can drive it in virtual time. See docs/design/dispatch.md.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use slotmap::{SlotMap, new_key_type};

use crate::{
    CellDecision, CellEvent, CellPolicy, CellReport, CellRequest, CellResult, CrashTracker,
    CrashedRun, PrefixModel, QueuedRequest, RefusalReason, RequestGrant, RequestPosition, TeamName,
    TeamQueue, TeamStatus, TicketNumber, UpstreamCrash, UpstreamName, UpstreamState,
    dispatch::placement_round::{PlacementChoice, PlacementRound},
};

new_key_type! {
    /// Key of a request in its cell's arena.
    pub(crate) struct RequestKey;

    /// Key of a team in its cell's arena.
    pub(crate) struct TeamKey;

    /// Key of an upstream in its cell's arena.
    pub(crate) struct UpstreamKey;
}

/// Shortest retry delay that a refusal suggests.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// A new sample enters a running mean with the weight 1 / `SAMPLE_WEIGHT_DIVISOR`.
const SAMPLE_WEIGHT_DIVISOR: u64 = 16;

/// Queued and running requests, teams, upstreams and prefix model of one cell.
#[derive(Clone, Debug)]
pub(crate) struct CellQueue {
    pub(crate) policy: CellPolicy,
    pub(crate) requests: SlotMap<RequestKey, QueuedRequest>,
    request_keys: BTreeMap<TicketNumber, RequestKey>,
    pub(crate) teams: SlotMap<TeamKey, TeamQueue>,
    team_keys: BTreeMap<TeamName, TeamKey>,
    /// Teams with queued requests by their service, the least served first.
    waiting_teams: BTreeSet<(u64, TeamKey)>,
    pub(crate) upstreams: SlotMap<UpstreamKey, UpstreamState>,
    upstream_keys: BTreeMap<UpstreamName, UpstreamKey>,
    pub(crate) prefixes: PrefixModel,
    pub(crate) crashes: CrashTracker,
    refusals: VecDeque<CellDecision>,
    waiting: usize,
    /// Least service of the teams that waited at the last grant. A team that was idle starts from it, so that idle
    /// time earns no credit. The service of the granted team would be too high: a less served team whose requests were
    /// held meanwhile would start from it too once its queue had emptied, and lose the service that it is owed.
    service_floor: u64,
    mean_answer_tokens: u64,
    mean_duration_ms: u64,
}

impl CellQueue {
    pub(crate) fn new(policy: CellPolicy) -> Self {
        Self {
            policy,
            requests: SlotMap::with_key(),
            request_keys: BTreeMap::new(),
            teams: SlotMap::with_key(),
            team_keys: BTreeMap::new(),
            waiting_teams: BTreeSet::new(),
            upstreams: SlotMap::with_key(),
            upstream_keys: BTreeMap::new(),
            prefixes: PrefixModel::default(),
            crashes: CrashTracker::default(),
            refusals: VecDeque::new(),
            waiting: 0,
            service_floor: 0,
            mean_answer_tokens: 0,
            mean_duration_ms: 0,
        }
    }

    /// Updates the state for an event. [`CellQueue::decide`] returns the decisions that follow from it.
    pub(crate) fn handle(&mut self, now_ms: u64, event: &CellEvent) {
        match event {
            CellEvent::Arrived { ticket, request } => self.handle_arrival(now_ms, *ticket, request),
            CellEvent::Joined { upstream, window, cache_tokens, prefill_us } => {
                self.add_upstream(upstream, *window, *cache_tokens, *prefill_us);
            }
            CellEvent::LoadReported { upstream, waiting, limit, .. } => {
                if let Some(state) = self.upstream_mut(upstream) {
                    state.record_load(*waiting);
                    state.set_limit(now_ms, *limit);
                }
            }
            CellEvent::Left { upstream } => self.remove_upstream(upstream),
            CellEvent::Serving { upstream, is_serving } => self.set_serving(upstream, *is_serving),
            CellEvent::Crashed { upstream } => self.handle_crash(upstream),
            CellEvent::CrashesNoted { notes } => {
                notes.iter().for_each(|note| self.crashes.merge(note));
            }
            CellEvent::Finished { ticket, report } => self.finish(now_ms, *ticket, report),
            CellEvent::Withdrawn { ticket } => self.withdraw(*ticket),
            CellEvent::ProgramEnded { program } => self.prefixes.drop_program(*program),
            CellEvent::PrefixDropped { upstream, program } => {
                if let Some(key) = self.upstream_keys.get(upstream) {
                    self.prefixes.drop_prefix(*key, *program);
                }
            }
        }
    }

    /// Makes the next decision, or returns `None` if nothing can be decided before the next event or tick.
    pub(crate) fn decide(&mut self, now_ms: u64) -> Option<CellDecision> {
        if let Some(refusal) = self.refusals.pop_front() {
            return Some(refusal);
        }

        if !self.upstreams.values().any(|it| it.has_room(now_ms)) {
            return None;
        }

        let choice = self.choose_placement(now_ms)?;
        Some(self.grant(now_ms, choice))
    }

    /// Refuses queued requests whose deadline has passed. The dispatcher calls it a few times a second.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let overdue: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, queued)| queued.grant.is_none())
            .filter(|(_, queued)| queued.request.deadline_ms.is_some_and(|it| it <= now_ms))
            .map(|(key, _)| key)
            .collect();

        for key in overdue {
            self.refuse(key, RefusalReason::DeadlinePassed, MIN_RETRY_AFTER_MS);
        }
    }

    /// Teams with queued requests, the least served first.
    pub(crate) fn team_statuses(&self) -> Vec<TeamStatus> {
        self.waiting_teams
            .iter()
            .map(|(service, key)| TeamStatus {
                team: self.teams[*key].name.clone(),
                service: *service,
                waiting: self.teams[*key].waiting(),
            })
            .collect()
    }

    /// Number of queued requests.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Age of the oldest queued request, in milliseconds.
    pub(crate) fn oldest_age_ms(&self, now_ms: u64) -> u64 {
        self.teams
            .values()
            .filter_map(TeamQueue::oldest)
            .map(|position| now_ms.saturating_sub(position.queued_ms))
            .max()
            .unwrap_or(0)
    }

    fn handle_arrival(&mut self, now_ms: u64, ticket: TicketNumber, request: &CellRequest) {
        let team = self.team_key(request);

        let key = self.requests.insert(QueuedRequest {
            ticket,
            request: request.clone(),
            team,
            held_since_ms: None,
            grant: None,
            is_warm: !self.prefixes.cached_prefixes(request.program).is_empty(),
        });

        self.request_keys.insert(ticket, key);
        self.enqueue(key);

        if self.crashes.crash_count(request.fingerprint) >= self.policy.crash_limit {
            self.refuse(key, RefusalReason::Poisonous, MIN_RETRY_AFTER_MS);
        } else if let Some(retry_after_ms) = self.excess_wait_ms(now_ms, key) {
            self.refuse(key, RefusalReason::TeamShareExhausted, retry_after_ms);
        } else if !self.upstreams.values().any(|state| Self::is_eligible(state, request)) {
            self.refuse(key, RefusalReason::NoUpstream, MIN_RETRY_AFTER_MS);
        }
    }

    /// Whether an upstream may run a request at all. [`PlacementRound`] also keeps suspected requests apart.
    fn is_eligible(state: &UpstreamState, request: &CellRequest) -> bool {
        state.is_serving && !request.excluded.contains(&state.name)
    }

    fn team_key(&mut self, request: &CellRequest) -> TeamKey {
        let name = if self.policy.uses_fair_share { request.team.clone() } else { "".into() };
        let weight = if self.policy.uses_fair_share { request.weight } else { 1 };

        let key = *self
            .team_keys
            .entry(name.clone())
            .or_insert_with(|| self.teams.insert(TeamQueue::new(name, weight)));

        self.teams[key].weight = weight.max(1);
        key
    }

    fn position(&self, key: RequestKey) -> RequestPosition {
        let queued = &self.requests[key];
        RequestPosition { queued_ms: queued.request.queued_ms, ticket: queued.ticket, request: key }
    }

    fn enqueue(&mut self, key: RequestKey) {
        let position = self.position(key);
        let team_key = self.requests[key].team;
        let is_warm = self.requests[key].is_warm;
        let team = &mut self.teams[team_key];

        if !team.is_waiting() {
            team.service = team.service.max(self.service_floor);
            self.waiting_teams.insert((team.service, team_key));
        }

        team.queue_mut(is_warm).insert(position);
        self.waiting += 1;
    }

    fn dequeue(&mut self, key: RequestKey) {
        let position = self.position(key);
        let team_key = self.requests[key].team;
        let is_warm = self.requests[key].is_warm;
        let team = &mut self.teams[team_key];
        team.queue_mut(is_warm).remove(&position);
        self.waiting -= 1;

        if !team.is_waiting() {
            self.waiting_teams.remove(&(team.service, team_key));
        }
    }

    /// Changes a team's service and reorders `waiting_teams` accordingly.
    fn set_service(&mut self, team_key: TeamKey, service: u64) {
        let team = &mut self.teams[team_key];
        let is_waiting = self.waiting_teams.remove(&(team.service, team_key));
        team.service = service;

        if is_waiting {
            self.waiting_teams.insert((service, team_key));
        }
    }

    /// Time by which a request's expected wait exceeds what its deadline and the policy allow, if it does. The estimate
    /// divides the team's own queued requests by its share of all windows; those of other teams do not count.
    fn excess_wait_ms(&self, now_ms: u64, key: RequestKey) -> Option<u64> {
        let queued = &self.requests[key];
        let team = &self.teams[queued.team];
        let total_window: u64 = self
            .upstreams
            .values()
            .filter(|state| state.is_serving)
            .map(|state| u64::from(state.window))
            .sum();

        let total_weight: u64 =
            self.waiting_teams.iter().map(|(_, it)| u64::from(self.teams[*it].weight)).sum();

        let ahead = team.waiting() as u64 - 1;
        let weighted_window = (total_window * u64::from(team.weight)).max(1);
        let wait_ms = ahead * self.mean_duration_ms * total_weight / weighted_window;

        let allowed_ms = match queued.request.deadline_ms {
            Some(deadline_ms) => deadline_ms.saturating_sub(now_ms + self.mean_duration_ms),
            None => self.policy.wait_limit_ms,
        };

        let limit_ms = allowed_ms.min(self.policy.wait_limit_ms);
        (wait_ms > limit_ms).then(|| (wait_ms - limit_ms).max(MIN_RETRY_AFTER_MS))
    }

    fn refuse(&mut self, key: RequestKey, reason: RefusalReason, retry_after_ms: u64) {
        self.dequeue(key);

        if let Some(queued) = self.requests.remove(key) {
            let ticket = queued.ticket;
            self.request_keys.remove(&ticket);
            self.refusals.push_back(CellDecision::Refuse { ticket, reason, retry_after_ms });
        }
    }

    /// Tries the teams from the least served on, and each team's requests from the oldest on, until one can be placed.
    /// Marks the requests that were passed over as held.
    fn choose_placement(&mut self, now_ms: u64) -> Option<PlacementChoice> {
        let mut held = Vec::new();
        let mut choice = None;
        let round = PlacementRound::new(self, now_ms);
        let mut has_cache_room = round.has_cache_room;

        'teams: for (index, (service, team_key)) in self.waiting_teams.iter().enumerate() {
            let is_urgent = index == 0 && self.is_lagging(*service);

            for request in self.candidates(*team_key, has_cache_room || is_urgent) {
                match round.place(request, is_urgent) {
                    Some(placed) => {
                        choice = Some(placed);
                        break 'teams;
                    }
                    None => held.push(request),
                }

                // Once a program without a cached prefix has to wait, those of the following teams are passed over, so
                // that cache room that becomes free goes to the least served team.
                has_cache_room &= self.requests[request].is_warm;

                if held.len() >= self.policy.scan_limit {
                    break 'teams;
                }
            }
        }

        for key in held {
            self.requests[key].held_since_ms.get_or_insert(now_ms);
        }

        choice
    }

    /// Whether a team's service lags behind that of the most served waiting team by more than the limit.
    fn is_lagging(&self, service: u64) -> bool {
        let limit = self.policy.lag_limit_tokens * 1_000;
        self.waiting_teams.last().is_some_and(|(most, _)| most - service > limit)
    }

    /// Requests of a team, the oldest first. Those of programs without a cached prefix are left out while no cache has
    /// room for another program.
    fn candidates(
        &self,
        team_key: TeamKey,
        has_cache_room: bool,
    ) -> impl Iterator<Item = RequestKey> {
        let team = &self.teams[team_key];
        let mut warm = team.warm.iter().peekable();
        let mut cold = team.cold.iter().filter(move |_| has_cache_room).peekable();

        std::iter::from_fn(move || match (warm.peek(), cold.peek()) {
            (Some(warm_first), Some(cold_first)) if warm_first < cold_first => warm.next(),
            (Some(_), None) => warm.next(),
            (_, _) => cold.next(),
        })
        .map(|position| position.request)
    }

    fn grant(&mut self, now_ms: u64, choice: PlacementChoice) -> CellDecision {
        let waiting = self.waiting;
        let key = choice.request;
        let least_service = self.waiting_teams.first().map_or(0, |(service, _)| *service);
        self.service_floor = self.service_floor.max(least_service);
        self.dequeue(key);

        let queued = &mut self.requests[key];
        let answer_tokens = match self.mean_answer_tokens {
            0 => queued.request.answer_tokens,
            mean => mean.min(queued.request.answer_tokens),
        };

        let prompt_tokens = queued.request.prompt_tokens.saturating_sub(choice.cached_tokens);
        let charged_tokens = prompt_tokens + answer_tokens;
        let cached_tokens = choice.cached_tokens;
        queued.grant = Some(RequestGrant {
            upstream: choice.upstream,
            at_ms: now_ms,
            cached_tokens,
            charged_tokens,
        });

        let prefix_tokens = queued.request.prompt_tokens + answer_tokens;
        let program = queued.request.program;
        self.prefixes.reserve(now_ms, program, choice.upstream, prefix_tokens);
        let queued = &self.requests[key];

        let ticket = queued.ticket;
        let team_key = queued.team;
        let state = &mut self.upstreams[choice.upstream];
        state.in_flight.insert(key);
        state.count_grant(now_ms);
        let upstream = state.name.clone();

        let team = &self.teams[team_key];
        let charge = team.weighted_service(charged_tokens);
        self.set_service(team_key, team.service + charge);

        CellDecision::Grant {
            ticket,
            upstream,
            reason: choice.reason,
            cached_tokens: choice.cached_tokens,
            cost_us: choice.cost_us,
            waiting,
        }
    }

    fn finish(&mut self, now_ms: u64, ticket: TicketNumber, report: &CellReport) {
        let Some(key) = self.request_keys.remove(&ticket) else {
            return;
        };

        let Some(grant) = self.requests[key].grant else {
            return;
        };

        if report.result == CellResult::Broken && self.upstreams.contains_key(grant.upstream) {
            self.record_crash(grant.upstream, false);
        }

        let Some(queued) = self.requests.remove(key) else {
            return;
        };

        self.correct_charge(&queued, grant, report);
        let Some(state) = self.upstreams.get_mut(grant.upstream) else {
            return;
        };

        state.in_flight.remove(&key);

        if report.result == CellResult::Completed {
            self.record_completion(now_ms, &queued, grant, report);
        } else {
            self.prefixes.drop_prefix(grant.upstream, queued.request.program);
        }
    }

    fn correct_charge(&mut self, queued: &QueuedRequest, grant: RequestGrant, report: &CellReport) {
        let usage = report.usage;
        let served = usage.prompt.saturating_sub(usage.cached) + usage.completion;
        let team = &self.teams[queued.team];
        let charged = team.weighted_service(grant.charged_tokens);
        let service = (team.service + team.weighted_service(served)).saturating_sub(charged);
        self.set_service(queued.team, service);
    }

    fn record_completion(
        &mut self,
        now_ms: u64,
        queued: &QueuedRequest,
        grant: RequestGrant,
        report: &CellReport,
    ) {
        let usage = report.usage;
        let duration_ms = now_ms.saturating_sub(grant.at_ms);
        self.mean_duration_ms = running_mean(self.mean_duration_ms, duration_ms);
        self.mean_answer_tokens = running_mean(self.mean_answer_tokens, usage.completion);
        self.crashes.clear(queued.request.fingerprint);

        let state = &mut self.upstreams[grant.upstream];
        state.record_duration(duration_ms);

        if usage.completion > 1 {
            let token_us = report.decode_us / (usage.completion - 1);
            state.record_token_time(token_us, self.policy.token_time_target_us);
        }

        let program = queued.request.program;
        let (upstream, expected_tokens) = (grant.upstream, grant.cached_tokens);
        self.prefixes.record_usage(
            now_ms,
            expected_tokens,
            program,
            upstream,
            usage.cached,
            usage.total(),
        );
    }

    fn withdraw(&mut self, ticket: TicketNumber) {
        let Some(key) = self.request_keys.get(&ticket).copied() else {
            return;
        };

        if self.requests[key].grant.is_some() {
            return;
        }

        self.dequeue(key);
        self.requests.remove(key);
        self.request_keys.remove(&ticket);
    }

    fn upstream_mut(&mut self, upstream: &UpstreamName) -> Option<&mut UpstreamState> {
        let key = self.upstream_keys.get(upstream)?;
        self.upstreams.get_mut(*key)
    }

    fn add_upstream(
        &mut self,
        upstream: &UpstreamName,
        window: u32,
        cache_tokens: u64,
        prefill_us: u64,
    ) {
        let key = *self.upstream_keys.entry(upstream.clone()).or_insert_with(|| {
            self.upstreams.insert(UpstreamState::new(upstream.clone(), window, prefill_us))
        });

        let state = &mut self.upstreams[key];
        state.window_limit = window.max(1);
        state.window = state.window.min(state.window_limit);
        state.prefill_us = prefill_us;
        self.prefixes.set_capacity(key, cache_tokens);
    }

    fn remove_upstream(&mut self, upstream: &UpstreamName) {
        if let Some(key) = self.upstream_keys.remove(upstream) {
            self.upstreams.remove(key);
            self.prefixes.remove_upstream(key);
            self.refuse_stranded();
        }
    }

    /// Refuses the queued requests that exclude all upstreams that remain, since nothing else would end those without a
    /// deadline. An upstream that has only stopped serving may start again, so requests still wait for it.
    fn refuse_stranded(&mut self) {
        let has_upstream = |request: &CellRequest| {
            self.upstreams.values().any(|state| !request.excluded.contains(&state.name))
        };

        let stranded: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, queued)| queued.grant.is_none() && !has_upstream(&queued.request))
            .map(|(key, _)| key)
            .collect();

        for key in stranded {
            self.refuse(key, RefusalReason::NoUpstream, MIN_RETRY_AFTER_MS);
        }
    }

    /// Records that an upstream started or stopped accepting requests. If it accepts them again after a crash that no
    /// probe confirmed, it is presumed not to have crashed: only a connection to it broke.
    fn set_serving(&mut self, upstream: &UpstreamName, is_serving: bool) {
        let Some(state) = self.upstream_mut(upstream) else {
            return;
        };

        state.is_serving = is_serving;

        if is_serving
            && let Some(crash) = state.crash.take()
            && !crash.is_confirmed
        {
            self.crashes.retract_crash(&crash.crashed, &crash.suspects);
        }
    }

    fn handle_crash(&mut self, upstream: &UpstreamName) {
        if let Some(key) = self.upstream_keys.get(upstream).copied() {
            self.record_crash(key, true);
            self.prefixes.clear_upstream(key);
        }
    }

    /// Counts a crash of an upstream against the requests that run on it. A crash that is reported again is counted
    /// once.
    fn record_crash(&mut self, key: UpstreamKey, is_confirmed: bool) {
        let state = &mut self.upstreams[key];
        state.is_serving = false;

        if let Some(crash) = &mut state.crash {
            crash.is_confirmed |= is_confirmed;
            return;
        }

        let running =
            state.in_flight.iter().map(|it| self.requests[*it].request.fingerprint).collect();
        // No earlier run of the upstream had these tickets.
        let run = state.in_flight.iter().map(|it| self.requests[*it].ticket).min().unwrap_or(0);
        let crashed = CrashedRun { upstream: state.name.as_str().into(), run };

        let suspects = self.crashes.record_crash(&crashed, running);
        state.crash = Some(UpstreamCrash { crashed, suspects, is_confirmed });
    }
}

/// Exponentially weighted mean; 0 stands for a mean without samples.
fn running_mean(mean: u64, sample: u64) -> u64 {
    match mean {
        0 => sample,
        _ => (mean * (SAMPLE_WEIGHT_DIVISOR - 1) + sample) / SAMPLE_WEIGHT_DIVISOR,
    }
}
