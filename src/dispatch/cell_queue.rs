//! The queue of a cell: a pure state machine from events to decisions. It reads no clock and does no I/O, so the
//! audit replays it and the benchmark drives it in virtual time. See docs/design/dispatch.md.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use slotmap::{SlotMap, new_key_type};

use crate::{
    CellDecision, CellEvent, CellPolicy, CellReport, CellRequest, CellResult, CrashTracker,
    PrefixModel, QueuedRequest, RefusalReason, RequestGrant, RequestPosition, TeamName, TeamQueue,
    TeamStatus, TicketNumber, UpstreamCrash, UpstreamName, UpstreamState,
    dispatch::placement::{Placement, PlacementChoice},
};

new_key_type! {
    /// Key of a request in its cell's arena.
    pub(crate) struct RequestKey;

    /// Key of a team in its cell's arena.
    pub(crate) struct TeamKey;

    /// Key of an upstream in its cell's arena.
    pub(crate) struct UpstreamKey;
}

/// Time to come back that a refusal states at the least, in milliseconds.
const RETRY_AFTER_FLOOR_MS: u64 = 1_000;

/// Weight of a new sample in the running means, one part in this many.
const MEAN_PARTS: u64 = 16;

/// Queue, windows and prefix model of one cell.
#[derive(Clone, Debug)]
pub(crate) struct CellQueue {
    pub(crate) policy: CellPolicy,
    pub(crate) requests: SlotMap<RequestKey, QueuedRequest>,
    tickets: BTreeMap<TicketNumber, RequestKey>,
    pub(crate) teams: SlotMap<TeamKey, TeamQueue>,
    team_keys: BTreeMap<TeamName, TeamKey>,
    /// Teams with waiting requests, the least served first.
    backlog: BTreeSet<(u64, TeamKey)>,
    pub(crate) upstreams: SlotMap<UpstreamKey, UpstreamState>,
    upstream_keys: BTreeMap<UpstreamName, UpstreamKey>,
    pub(crate) prefixes: PrefixModel,
    pub(crate) crashes: CrashTracker,
    refusals: VecDeque<CellDecision>,
    waiting: usize,
    /// Least service of the teams that waited at the last grant, from which a team that was idle starts. Were it the
    /// service of the team that was granted, one whose requests are held would lose what it is behind.
    service_floor: u64,
    mean_answer_tokens: u64,
    mean_stay_ms: u64,
}

impl CellQueue {
    pub(crate) fn new(policy: CellPolicy) -> Self {
        Self {
            policy,
            requests: SlotMap::with_key(),
            tickets: BTreeMap::new(),
            teams: SlotMap::with_key(),
            team_keys: BTreeMap::new(),
            backlog: BTreeSet::new(),
            upstreams: SlotMap::with_key(),
            upstream_keys: BTreeMap::new(),
            prefixes: PrefixModel::default(),
            crashes: CrashTracker::default(),
            refusals: VecDeque::new(),
            waiting: 0,
            service_floor: 0,
            mean_answer_tokens: 0,
            mean_stay_ms: 0,
        }
    }

    /// Takes an event in.
    pub(crate) fn handle(&mut self, now_ms: u64, event: &CellEvent) {
        match event {
            CellEvent::Arrived { ticket, request } => self.arrive(now_ms, *ticket, request),
            CellEvent::Joined { upstream, window, cache_tokens, prefill_us } => {
                self.join(upstream, *window, *cache_tokens, *prefill_us);
            }
            CellEvent::LoadReported { upstream, waiting, .. } => {
                if let Some(slot) = self.slot_mut(upstream) {
                    slot.record_load(*waiting);
                }
            }
            CellEvent::Left { upstream } => self.leave(upstream),
            CellEvent::Serving { upstream, is_serving } => self.serve(upstream, *is_serving),
            CellEvent::Crashed { upstream } => self.crash(upstream),
            CellEvent::CrashesNoted { notes } => {
                notes.iter().for_each(|note| self.crashes.import(*note));
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

    /// Makes the next decision, if there is one to make now.
    pub(crate) fn decide(&mut self, now_ms: u64) -> Option<CellDecision> {
        if let Some(refusal) = self.refusals.pop_front() {
            return Some(refusal);
        }

        if !self.upstreams.values().any(UpstreamState::has_room) {
            return None;
        }

        let choice = self.choose(now_ms)?;
        Some(self.grant(now_ms, choice))
    }

    /// Refuses what can't be served any more. The dispatcher calls it a few times a second.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let overdue: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, queued)| queued.grant.is_none())
            .filter(|(_, queued)| queued.request.deadline_ms.is_some_and(|it| it <= now_ms))
            .map(|(key, _)| key)
            .collect();

        for key in overdue {
            self.refuse(key, RefusalReason::DeadlinePassed, RETRY_AFTER_FLOOR_MS);
        }
    }

    /// Teams that wait, the least served first.
    pub(crate) fn team_statuses(&self) -> Vec<TeamStatus> {
        self.backlog
            .iter()
            .map(|(service, key)| TeamStatus {
                team: self.teams[*key].name.clone(),
                service: *service,
                waiting: self.teams[*key].waiting(),
            })
            .collect()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Age of the oldest waiting request, in milliseconds.
    pub(crate) fn oldest_age_ms(&self, now_ms: u64) -> u64 {
        self.teams
            .values()
            .filter_map(TeamQueue::oldest)
            .map(|age| now_ms.saturating_sub(age.queued_ms))
            .max()
            .unwrap_or(0)
    }

    fn arrive(&mut self, now_ms: u64, ticket: TicketNumber, request: &CellRequest) {
        let team = self.team_key(request);

        let key = self.requests.insert(QueuedRequest {
            ticket,
            request: request.clone(),
            team,
            held_since_ms: None,
            grant: None,
            is_warm: !self.prefixes.residences(request.program).is_empty(),
        });

        self.tickets.insert(ticket, key);
        self.enqueue(key);

        if self.crashes.crash_count(request.fingerprint) >= self.policy.crash_limit {
            self.refuse(key, RefusalReason::Poisonous, RETRY_AFTER_FLOOR_MS);
        } else if let Some(retry_after_ms) = self.excess_wait_ms(now_ms, key) {
            self.refuse(key, RefusalReason::TeamShareExhausted, retry_after_ms);
        } else if !self.upstreams.values().any(|slot| Self::is_eligible(slot, request)) {
            self.refuse(key, RefusalReason::NoUpstream, RETRY_AFTER_FLOOR_MS);
        }
    }

    fn is_eligible(slot: &UpstreamState, request: &CellRequest) -> bool {
        slot.is_serving && !request.excluded.contains(&slot.name)
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

    fn age(&self, key: RequestKey) -> RequestPosition {
        let queued = &self.requests[key];
        RequestPosition { queued_ms: queued.request.queued_ms, ticket: queued.ticket, request: key }
    }

    fn enqueue(&mut self, key: RequestKey) {
        let age = self.age(key);
        let team_key = self.requests[key].team;
        let is_warm = self.requests[key].is_warm;
        let team = &mut self.teams[team_key];

        if !team.is_waiting() {
            team.service = team.service.max(self.service_floor);
            self.backlog.insert((team.service, team_key));
        }

        team.ages_mut(is_warm).insert(age);
        self.waiting += 1;
    }

    fn dequeue(&mut self, key: RequestKey) {
        let age = self.age(key);
        let team_key = self.requests[key].team;
        let is_warm = self.requests[key].is_warm;
        let team = &mut self.teams[team_key];
        team.ages_mut(is_warm).remove(&age);
        self.waiting -= 1;

        if !team.is_waiting() {
            self.backlog.remove(&(team.service, team_key));
        }
    }

    /// Changes a team's service, and its place in the order with it.
    fn set_service(&mut self, team_key: TeamKey, service: u64) {
        let team = &mut self.teams[team_key];
        let is_waiting = self.backlog.remove(&(team.service, team_key));
        team.service = service;

        if is_waiting {
            self.backlog.insert((service, team_key));
        }
    }

    /// Gives the time by which a request's expected wait exceeds what it may wait, if it does. Only the request's own
    /// team counts: its waiting requests over its share of the places.
    fn excess_wait_ms(&self, now_ms: u64, key: RequestKey) -> Option<u64> {
        let queued = &self.requests[key];
        let team = &self.teams[queued.team];
        let places: u64 = self
            .upstreams
            .values()
            .filter(|slot| slot.is_serving)
            .map(|slot| u64::from(slot.window))
            .sum();

        let weights: u64 =
            self.backlog.iter().map(|(_, it)| u64::from(self.teams[*it].weight)).sum();

        let ahead = team.waiting() as u64 - 1;
        let share = (places * u64::from(team.weight)).max(1);
        let wait_ms = ahead * self.mean_stay_ms * weights / share;

        let allowed_ms = match queued.request.deadline_ms {
            Some(deadline_ms) => deadline_ms.saturating_sub(now_ms + self.mean_stay_ms),
            None => self.policy.wait_limit_ms,
        };

        let limit_ms = allowed_ms.min(self.policy.wait_limit_ms);
        (wait_ms > limit_ms).then(|| (wait_ms - limit_ms).max(RETRY_AFTER_FLOOR_MS))
    }

    fn refuse(&mut self, key: RequestKey, reason: RefusalReason, retry_after_ms: u64) {
        self.dequeue(key);

        if let Some(queued) = self.requests.remove(key) {
            let ticket = queued.ticket;
            self.tickets.remove(&ticket);
            self.refusals.push_back(CellDecision::Refuse { ticket, reason, retry_after_ms });
        }
    }

    /// Goes through the teams, the least served first, and through their requests in rank, until one can be placed.
    fn choose(&mut self, now_ms: u64) -> Option<PlacementChoice> {
        let mut held = Vec::new();
        let mut choice = None;
        let placement = Placement::new(self, now_ms);
        let mut has_memory = placement.has_memory;

        'teams: for (index, (service, team_key)) in self.backlog.iter().enumerate() {
            let is_urgent = index == 0 && self.is_lagging(*service);

            for request in self.candidates(*team_key, has_memory || is_urgent) {
                match placement.place(request, is_urgent) {
                    Some(found) => {
                        choice = Some(found);
                        break 'teams;
                    }
                    None => held.push(request),
                }

                // Memory that comes free is kept for the least served team that waits for some.
                has_memory &= self.requests[request].is_warm;

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

    /// Tells whether a team has fallen behind any other one that waits by more than the limit.
    fn is_lagging(&self, service: u64) -> bool {
        let limit = self.policy.lag_limit_tokens * 1_000;
        self.backlog.last().is_some_and(|(most, _)| most - service > limit)
    }

    /// Gives a team's requests in order of age. Programs without a prefix are passed over while no cache has room for
    /// another one.
    fn candidates(&self, team_key: TeamKey, has_memory: bool) -> impl Iterator<Item = RequestKey> {
        let team = &self.teams[team_key];
        let mut warm = team.warm.iter().peekable();
        let mut cold = team.cold.iter().filter(move |_| has_memory).peekable();

        std::iter::from_fn(move || match (warm.peek(), cold.peek()) {
            (Some(first), Some(second)) if first < second => warm.next(),
            (Some(_), None) => warm.next(),
            (_, _) => cold.next(),
        })
        .map(|age| age.request)
    }

    fn grant(&mut self, now_ms: u64, choice: PlacementChoice) -> CellDecision {
        let waiting = self.waiting;
        let key = choice.request;
        let least_service = self.backlog.first().map_or(0, |(service, _)| *service);
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

        let held_tokens = queued.request.prompt_tokens + answer_tokens;
        let program = queued.request.program;
        self.prefixes.reserve(now_ms, program, choice.upstream, held_tokens);
        let queued = &self.requests[key];

        let ticket = queued.ticket;
        let team_key = queued.team;
        let slot = &mut self.upstreams[choice.upstream];
        slot.in_flight.insert(key);
        let upstream = slot.name.clone();

        let team = &self.teams[team_key];
        let charge = team.weighted(charged_tokens);
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
        let Some(key) = self.tickets.remove(&ticket) else {
            return;
        };

        let Some(grant) = self.requests[key].grant else {
            return;
        };

        if report.result == CellResult::Broken && self.upstreams.contains_key(grant.upstream) {
            self.suspect_crash(grant.upstream, false);
        }

        let Some(queued) = self.requests.remove(key) else {
            return;
        };

        self.settle_charge(&queued, grant, report);
        let Some(slot) = self.upstreams.get_mut(grant.upstream) else {
            return;
        };

        slot.in_flight.remove(&key);

        if report.result == CellResult::Completed {
            self.learn(now_ms, &queued, grant, report);
        } else {
            self.prefixes.drop_prefix(grant.upstream, queued.request.program);
        }
    }

    fn settle_charge(&mut self, queued: &QueuedRequest, grant: RequestGrant, report: &CellReport) {
        let usage = report.usage;
        let served = usage.prompt.saturating_sub(usage.cached) + usage.completion;
        let team = &self.teams[queued.team];
        let charged = team.weighted(grant.charged_tokens);
        let service = (team.service + team.weighted(served)).saturating_sub(charged);
        self.set_service(queued.team, service);
    }

    fn learn(
        &mut self,
        now_ms: u64,
        queued: &QueuedRequest,
        grant: RequestGrant,
        report: &CellReport,
    ) {
        let usage = report.usage;
        let stay_ms = now_ms.saturating_sub(grant.at_ms);
        self.mean_stay_ms = running_mean(self.mean_stay_ms, stay_ms);
        self.mean_answer_tokens = running_mean(self.mean_answer_tokens, usage.completion);
        self.crashes.clear(queued.request.fingerprint);

        let slot = &mut self.upstreams[grant.upstream];
        slot.record_stay(stay_ms);

        if usage.completion > 1 {
            let token_us = report.decode_us / (usage.completion - 1);
            slot.record_token_time(token_us, self.policy.token_time_target_us);
        }

        let program = queued.request.program;
        let (upstream, expected) = (grant.upstream, grant.cached_tokens);
        self.prefixes.record_answer(
            now_ms,
            expected,
            program,
            upstream,
            usage.cached,
            usage.total(),
        );
    }

    fn withdraw(&mut self, ticket: TicketNumber) {
        let Some(key) = self.tickets.get(&ticket).copied() else {
            return;
        };

        if self.requests[key].grant.is_some() {
            return;
        }

        self.dequeue(key);
        self.requests.remove(key);
        self.tickets.remove(&ticket);
    }

    fn slot_mut(&mut self, upstream: &UpstreamName) -> Option<&mut UpstreamState> {
        let key = self.upstream_keys.get(upstream)?;
        self.upstreams.get_mut(*key)
    }

    fn join(&mut self, upstream: &UpstreamName, window: u32, cache_tokens: u64, prefill_us: u64) {
        let key = *self.upstream_keys.entry(upstream.clone()).or_insert_with(|| {
            self.upstreams.insert(UpstreamState::new(upstream.clone(), window, prefill_us))
        });

        let slot = &mut self.upstreams[key];
        slot.window_limit = window.max(1);
        slot.window = slot.window.min(slot.window_limit);
        slot.prefill_us = prefill_us;
        self.prefixes.add(key, cache_tokens);
    }

    fn leave(&mut self, upstream: &UpstreamName) {
        if let Some(key) = self.upstream_keys.remove(upstream) {
            self.upstreams.remove(key);
            self.prefixes.remove(key);
        }
    }

    fn serve(&mut self, upstream: &UpstreamName, is_serving: bool) {
        let Some(slot) = self.slot_mut(upstream) else {
            return;
        };

        slot.is_serving = is_serving;

        if is_serving
            && let Some(crash) = slot.crash.take()
            && !crash.is_confirmed
        {
            self.crashes.pardon(&crash.blamed);
        }
    }

    fn crash(&mut self, upstream: &UpstreamName) {
        if let Some(key) = self.upstream_keys.get(upstream).copied() {
            self.suspect_crash(key, true);
            self.prefixes.clear(key);
        }
    }

    /// Blames what runs on an upstream for its crash, once for each crash.
    fn suspect_crash(&mut self, key: UpstreamKey, is_confirmed: bool) {
        let slot = &mut self.upstreams[key];
        slot.is_serving = false;

        if let Some(crash) = &mut slot.crash {
            crash.is_confirmed |= is_confirmed;
            return;
        }

        let running =
            slot.in_flight.iter().map(|it| self.requests[*it].request.fingerprint).collect();

        let blamed = self.crashes.record_crash(running);
        slot.crash = Some(UpstreamCrash { blamed, is_confirmed });
    }
}

fn running_mean(mean: u64, sample: u64) -> u64 {
    match mean {
        0 => sample,
        _ => (mean * (MEAN_PARTS - 1) + sample) / MEAN_PARTS,
    }
}
