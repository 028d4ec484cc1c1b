//! What a scheduler would do with a request now.

use std::sync::Arc;

use bytes::Bytes;
use tokio::time::{Duration, Instant};

use crate::entry::{
    AccessInputs, AccessRefusal, ClientKey, EntryHost, EntryRefusal, EntryRequest, EntryResponse,
    RouteTable, ServiceConfig, ServiceRoute, Team,
    dispatching::dispatcher_choice::DispatcherChoice,
    entry_host::{CUT_OFF_REASON, CUT_OFF_RETRY_AFTER, response_deadline, split_key},
    explain::{
        ExplainError, ExplainedDispatcher, ExplainedOutcome, Explanation, ProgramExplanation,
        QuotaExplanation,
    },
    quotas::program_registry::ProgramRequest,
    request_signature::RequestSignature,
    routed_request::RoutedRequest,
};

impl EntryHost {
    /// Explains what becomes of a request of a team, in the order in which a request is decided on. What depends on its body, on a
    /// key or on an earlier turn is not part of it.
    pub(crate) fn explain(
        &self,
        request: EntryRequest,
        team: Option<&str>,
    ) -> Result<Explanation, ExplainError> {
        let table = self.routes();
        let (route, service) = self.explained_route(&table, &request, team)?;
        let access = explained_access(&table, &route, team);
        let team = access.as_ref().ok().cloned().flatten();
        let routed = RoutedRequest {
            body: Bytes::new(),
            _body_lease: None,
            chain: Vec::new(),
            software_version: None,
            signature: RequestSignature::new(&request, team.as_ref()),
            deadline: response_deadline(&request, &route),
            request,
            team,
            route,
            service,
        };

        let pool = self.context.pool.explain(&routed.placement_request(&[]));
        let program = self.explained_program(&routed, pool.program);
        let quota = self.explained_quota(routed.team.as_ref());
        let dispatcher = self.explained_dispatcher(&routed);
        let mut notes = Vec::new();

        let rejection = access
            .err()
            .and_then(|refusal| rejected("access", refusal.response()))
            .or_else(|| self.explained_reach(&routed))
            .or_else(|| self.explained_start(&routed, &mut notes))
            .or_else(|| self.explained_budget(&routed, &mut notes))
            .or_else(|| explained_token(quota.as_ref()));
        let needs_token = rejection.is_none() && quota.as_ref().is_some_and(|it| it.held == 0);
        let is_dispatched = dispatcher.as_ref().is_some_and(|it| it.host.is_some() && !it.is_local);

        let outcome = match (rejection, pool.refusal, pool.upstream) {
            (Some(rejection), ..) => rejection,
            _ if is_dispatched => ExplainedOutcome::Dispatched,
            (None, Some(refusal), _) => {
                let rule = if pool.queue.class.is_some() { "admission" } else { "queue" };
                let retry_after = refusal.retry_after;
                rejection_by(rule, EntryRefusal::NotRun { retry_after }, refusal.reason)
            }
            (None, None, Some(upstream)) => ExplainedOutcome::Placed { upstream },
            (None, None, None) => ExplainedOutcome::Queued,
        };

        if is_dispatched {
            notes.push("the dispatcher decides by its own queue and caches: ask it".into());
        }

        let explanation = Explanation {
            host: Arc::clone(&self.settings.host),
            config_version: table.version,
            route: Arc::clone(&routed.route.name),
            service: Arc::clone(&routed.service.name),
            team: routed.team.as_ref().map(|it| Arc::clone(&it.name)),
            outcome,
            needs_token,
            notes,
            dispatcher,
            quota,
            program,
            queue: pool.queue,
            candidates: pool.candidates,
        };
        log::info!(
            route:% = explanation.route, service:% = explanation.service,
            team = explanation.team.as_deref().unwrap_or_default(), program:% = routed.program_id(),
            outcome:? = explanation.outcome, candidates = explanation.candidates.len(),
            took_us = routed.request.received.elapsed().as_micros() as u64;
            "explained a request"
        );
        Ok(explanation)
    }

    /// Route and service of a request, if the host is able to explain it.
    fn explained_route(
        &self,
        table: &RouteTable,
        request: &EntryRequest,
        team: Option<&str>,
    ) -> Result<(Arc<ServiceRoute>, Arc<ServiceConfig>), ExplainError> {
        let (host, version) = (Arc::clone(&self.settings.host), table.version);
        if version == 0 {
            return Err(ExplainError::NoConfiguration { host });
        }
        if !self.is_restored() {
            return Err(ExplainError::Restoring { host });
        }

        let name = Arc::clone(&request.host);
        let Some(route) = table.find(&name, &request.path).cloned() else {
            let path = Arc::clone(&request.path);
            return Err(if table.has_host(&name) {
                ExplainError::UnknownRoute { version, name, path }
            } else {
                ExplainError::UnknownHost { version, name }
            });
        };
        if let Some(name) = team.filter(|it| table.team_named(it).is_none()) {
            return Err(ExplainError::UnknownTeam { version, name: name.into() });
        }

        let target = route.target(split_key(request));
        let service = target.and_then(|it| table.service(&it.service)).cloned();
        let service =
            service.ok_or_else(|| ExplainError::NoService { route: Arc::clone(&route.name) })?;
        Ok((route, service))
    }

    /// Rejections of what this host can't serve, whatever the load.
    fn explained_reach(&self, routed: &RoutedRequest) -> Option<ExplainedOutcome> {
        if self.context.pool.reach().is_lost(&routed.service.name) {
            return rejected("reach", EntryResponse::out_of_reach(false));
        }
        let retry_after = CUT_OFF_RETRY_AFTER;
        (routed.route.history_retention.is_some() && self.is_cut_off())
            .then(|| rejection_by("cut off", EntryRefusal::NotRun { retry_after }, CUT_OFF_REASON))
    }

    /// What this host knows of the request's program.
    fn explained_program(
        &self,
        routed: &RoutedRequest,
        known: Option<ProgramExplanation>,
    ) -> Option<ProgramExplanation> {
        let program = routed.request.program.as_ref()?;
        let account = routed.scope().id(&program.id);
        let ledger = self.budgets.ledger.lock();
        Some(ProgramExplanation {
            token_budget: ledger.known_budget(&account),
            spent_tokens: ledger.total(&account),
            ..known.unwrap_or_default()
        })
    }

    /// Rejection of a new program that its team's quota does not hold whole, as far as this host decides without the owner. A
    /// program without a token budget would be let in.
    fn explained_start(
        &self,
        routed: &RoutedRequest,
        notes: &mut Vec<Arc<str>>,
    ) -> Option<ExplainedOutcome> {
        let team = routed.team.as_ref().filter(|it| it.quota.is_some())?;
        let program = routed.scope().id(&routed.request.program.as_ref()?.id);
        let request = ProgramRequest {
            has_begun: self.budgets.ledger.lock().total(&program) > 0,
            is_turn: routed.service.tokens_per_event > 0 || routed.service.cache_tokens > 0,
            route: Arc::clone(&routed.route.name),
            program,
        };
        let start = self.quotas.start_standing(Instant::now(), &team.name, &request)?;
        let size = start.size;
        let note = format!(
            "the request starts a program, for which the quota has to hold {size} requests"
        );
        notes.push(note.into());
        let refusal = EntryRefusal::QuotaExceeded { retry_after: start.retry_after? };
        let reason = "the quota of the team does not hold the whole program";
        Some(rejection_by("program start", refusal, reason))
    }

    /// Rejection by the program's budget, if a request to this host has stated one.
    fn explained_budget(
        &self,
        routed: &RoutedRequest,
        notes: &mut Vec<Arc<str>>,
    ) -> Option<ExplainedOutcome> {
        let program = routed.request.program.as_ref()?;
        if routed.service.tokens_per_event == 0 {
            return None;
        }

        let account = routed.scope().id(&program.id);
        let tokens = routed.request.max_completion_tokens;
        let ledger = self.budgets.ledger.lock();
        let budget = ledger.known_budget(&account)?;
        if ledger.has_room(&account, budget, tokens) {
            return None;
        }

        notes.push("the other schedulers are asked before a budget counts as spent".into());
        let reason = format!(
            "the program has spent or reserved {} of {budget} tokens and asks for {tokens}",
            ledger.total(&account)
        );
        Some(rejection_by("budget", EntryRefusal::BudgetSpent, reason))
    }

    fn explained_quota(&self, team: Option<&Arc<Team>>) -> Option<QuotaExplanation> {
        let team = team.filter(|it| it.quota.is_some())?;
        Some(self.quotas.standing(Instant::now(), &team.name))
    }

    /// Who places the request; `None` where each host does so itself.
    fn explained_dispatcher(&self, routed: &RoutedRequest) -> Option<ExplainedDispatcher> {
        let dispatch = self.context.dispatch_of(routed)?;
        let choice = dispatch.choose(&routed.service.name, &[])?;
        Some(match choice {
            DispatcherChoice::Local => {
                ExplainedDispatcher { host: Some(Arc::clone(&self.settings.host)), is_local: true }
            }
            DispatcherChoice::Remote(it) => {
                ExplainedDispatcher { host: Some(it.host), is_local: false }
            }
            DispatcherChoice::Fallback => ExplainedDispatcher { host: None, is_local: true },
        })
    }
}

/// Decides on the access of a team as on that of a client with one of its keys.
fn explained_access(
    table: &RouteTable,
    route: &ServiceRoute,
    team: Option<&str>,
) -> Result<Option<Arc<Team>>, AccessRefusal> {
    let inputs = AccessInputs {
        has_teams: table.has_teams(),
        is_public: route.is_public,
        key: ClientKey::Missing,
        team: team.and_then(|it| table.team_named(it)),
        is_current: true,
    };
    inputs.decide()
}

/// Rejection by the team's quota, as far as this host decides without its owner.
fn explained_token(quota: Option<&QuotaExplanation>) -> Option<ExplainedOutcome> {
    let retry_s = quota?.retry_after_s?;
    let retry_after = Duration::try_from_secs_f64(retry_s).unwrap_or(Duration::MAX);
    let refusal = EntryRefusal::QuotaExceeded { retry_after };
    let reason = "the quota of the team is used up";
    Some(rejection_by("quota", refusal, reason))
}

/// The rejection that a refusing response states; `None` for any other response.
fn rejected(rule: &str, response: EntryResponse) -> Option<ExplainedOutcome> {
    match response {
        EntryResponse::Refused { refusal, reason } => Some(rejection_by(rule, refusal, reason)),
        EntryResponse::Relayed(_) => None,
    }
}

fn rejection_by(
    rule: &str,
    refusal: EntryRefusal,
    reason: impl Into<Arc<str>>,
) -> ExplainedOutcome {
    ExplainedOutcome::Rejected { refusal, reason: reason.into(), rule: rule.into() }
}
