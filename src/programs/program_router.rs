//! Routes a request from the host that received it to the program's owner, here or on a peer, and relays the answer.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};

use crate::{
    AttemptHistory, ClusterView, HostTarget, PeerError, PeerMessage, PeerTransport, Problem,
    ProblemKind, ProgramAnswer, ProgramEvent, ProgramRequest, ProgramService,
};

/// How long a request is retried while its shard has no reachable owner, as when the shard moves between hosts.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time before the owner is looked up again.
const ROUTE_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Events of an answer that are buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 64;

/// Sends requests to the owners of their programs. Retrying is safe, because a request keeps its number, and the
/// number is its idempotency key.
#[derive(Debug)]
pub(crate) struct ProgramRouter {
    pub(crate) view: ClusterView,
    pub(crate) service: Arc<ProgramService>,
    pub(crate) transport: Arc<dyn PeerTransport>,
}

/// Result of one attempt to reach the owner.
enum RouteResult {
    /// The answer was forwarded.
    Answered,
    /// The host did nothing, and another attempt may find the owner.
    NotBegun { reason: String },
    /// The owner was lost before anything was forwarded. It may have begun the request.
    Retry { reason: String },
    /// The owner was lost after part of a stream was forwarded, so the request can't be retried here.
    Interrupted { reason: String },
}

impl ProgramRouter {
    /// Sends a request to the owner of its program, and returns the events of the answer. The last event is always an
    /// answer.
    pub(crate) fn route(self: &Arc<Self>, request: ProgramRequest) -> mpsc::Receiver<ProgramEvent> {
        let (sender, events) = mpsc::channel(MAX_BUFFERED_EVENTS);
        let router = Arc::clone(self);
        tokio::spawn(async move { router.run(request, sender).await });
        events
    }

    async fn run(&self, request: ProgramRequest, events: mpsc::Sender<ProgramEvent>) {
        let deadline = Instant::now() + ROUTE_TIMEOUT;
        // The log tells the next owner whether a call whose intent it has was sent.
        let key = request.operation.key().filter(|key| !key.is_intent_logged);
        let mut attempts = AttemptHistory::default();

        loop {
            let may_have_run = key.is_some_and(|key| attempts.may_have_run(key));
            let mut relay = EventRelay { events: &events, has_forwarded: false, may_have_run };

            let result = match self.view.shard_host(request.program.shard) {
                Some(target) if target.is_local => self.try_local(&request, &mut relay).await,
                Some(target) => self.try_peer(&target, &request, &mut relay).await,
                None => RouteResult::NotBegun { reason: "no host is serving".into() },
            };

            if let (RouteResult::Retry { .. }, Some(key)) = (&result, key) {
                attempts.add(key.number);
            }

            let reason = match result {
                RouteResult::Answered => return,
                RouteResult::NotBegun { .. } | RouteResult::Retry { .. }
                    if Instant::now() < deadline && !events.is_closed() =>
                {
                    tokio::time::sleep(ROUTE_RETRY_INTERVAL).await;
                    continue;
                }
                RouteResult::NotBegun { reason }
                | RouteResult::Retry { reason }
                | RouteResult::Interrupted { reason } => reason,
            };

            // This host can't tell whether the request ran. Only an owner may state that it did not.
            let problem = Problem::unknown(ProblemKind::OwnerUnreachable, reason).retry_after(1);
            let _ = events.send(ProgramEvent::Answer(ProgramAnswer::Problem(problem))).await;
            return;
        }
    }

    async fn try_local(&self, request: &ProgramRequest, relay: &mut EventRelay<'_>) -> RouteResult {
        let (sender, mut receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
        tokio::spawn(Arc::clone(&self.service).serve(request.clone(), sender));

        while let Some(event) = receiver.recv().await {
            if let Some(result) = relay.forward(event).await {
                return result;
            }
        }

        relay.owner_lost("the owner's task ended without an answer".into())
    }

    async fn try_peer(
        &self,
        target: &HostTarget,
        request: &ProgramRequest,
        relay: &mut EventRelay<'_>,
    ) -> RouteResult {
        if let Err(error) = self.transport.connect(target.address).await {
            log::info!(
                program:% = request.program, peer:% = target.name;
                "the owner can't be reached: {error}"
            );
            return RouteResult::NotBegun { reason: format!("host {}: {error}", target.name) };
        }

        match self.exchange(target, request, relay).await {
            Ok(result) => result,
            Err(error) => {
                log::info!(
                    program:% = request.program, peer:% = target.name;
                    "the request to the owner failed: {error}"
                );
                relay.owner_lost(format!("host {}: {error}", target.name))
            }
        }
    }

    async fn exchange(
        &self,
        target: &HostTarget,
        request: &ProgramRequest,
        relay: &mut EventRelay<'_>,
    ) -> Result<RouteResult, PeerError> {
        let message = PeerMessage::Program(request.clone());
        let mut stream = self.transport.open(target.address, &message).await?;

        loop {
            match stream.receive().await? {
                Some(PeerMessage::Event(event)) => {
                    if let Some(result) = relay.forward(event).await {
                        return Ok(result);
                    }
                }
                Some(PeerMessage::Refused { reason }) => {
                    return Err(PeerError::Refused { reason: reason.to_string() });
                }
                Some(_) => return Err(PeerError::Unexpected),
                None => return Ok(relay.owner_lost("the owner ended without an answer".into())),
            }
        }
    }
}

/// Forwards events to the caller, and records whether part of a stream was among them.
struct EventRelay<'a> {
    events: &'a mpsc::Sender<ProgramEvent>,
    has_forwarded: bool,
    /// Whether an owner that was lost may have begun the request.
    may_have_run: bool,
}

impl EventRelay<'_> {
    /// Forwards an event. Returns a result if it ends the attempt.
    async fn forward(&mut self, event: ProgramEvent) -> Option<RouteResult> {
        match event {
            ProgramEvent::NotOwner if !self.has_forwarded => {
                Some(RouteResult::NotBegun { reason: "the host does not own the program".into() })
            }
            ProgramEvent::NotOwner => {
                Some(self.owner_lost("the host does not own the program".into()))
            }
            ProgramEvent::Answer(ProgramAnswer::Problem(problem))
                if problem.kind == ProblemKind::OwnerUnreachable && !self.has_forwarded =>
            {
                Some(self.owner_lost(problem.detail.to_string()))
            }
            ProgramEvent::Answer(answer) => {
                let answer = match answer {
                    ProgramAnswer::Problem(problem) if self.may_have_run => {
                        problem.without_not_run().into()
                    }
                    answer => answer,
                };

                let _ = self.events.send(ProgramEvent::Answer(answer)).await;
                Some(RouteResult::Answered)
            }
            ProgramEvent::Delta(_) => {
                self.has_forwarded = true;
                let _ = self.events.send(event).await;
                None
            }
        }
    }

    /// Result of an attempt that lost the owner or found that the host is not the owner.
    fn owner_lost(&self, reason: String) -> RouteResult {
        if self.has_forwarded {
            RouteResult::Interrupted { reason }
        } else {
            RouteResult::Retry { reason }
        }
    }
}
