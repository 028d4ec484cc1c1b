//! The entry host's part of a request: to find the program's owner, here or on a peer, and to pass its answer back.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};

use crate::{
    ClusterView, HostTarget, PeerError, PeerMessage, PeerTransport, Problem, ProblemKind,
    ProgramAnswer, ProgramEvent, ProgramRequest, ProgramService,
};

/// Time that a request looks for an owner, while a shard changes hands.
const ROUTE_PATIENCE: Duration = Duration::from_secs(15);

/// Pause before the owner is looked for again.
const ROUTE_PAUSE: Duration = Duration::from_millis(50);

/// Events of an answer that wait for a slow caller.
const EVENT_DEPTH: usize = 64;

/// Finds owners. A request keeps its number over all tries, and the number is its key, so trying again is safe.
#[derive(Debug)]
pub(crate) struct ProgramRouter {
    pub(crate) view: ClusterView,
    pub(crate) service: Arc<ProgramService>,
    pub(crate) transport: Arc<dyn PeerTransport>,
}

/// How one try ended.
enum RouteResult {
    /// The answer was passed on.
    Answered,
    /// Nothing was passed on, and another try may find the owner.
    Again { reason: String },
    /// A part of a stream was passed on before the owner was lost.
    Cut { reason: String },
}

impl ProgramRouter {
    /// Sends a request to its owner, and gives the events of its answer.
    pub(crate) fn route(self: &Arc<Self>, request: ProgramRequest) -> mpsc::Receiver<ProgramEvent> {
        let (sender, events) = mpsc::channel(EVENT_DEPTH);
        let router = Arc::clone(self);
        tokio::spawn(async move { router.run(request, sender).await });
        events
    }

    async fn run(&self, request: ProgramRequest, events: mpsc::Sender<ProgramEvent>) {
        let deadline = Instant::now() + ROUTE_PATIENCE;

        loop {
            let result = match self.view.shard_host(request.program.shard) {
                Some(target) if target.is_own => self.try_own(&request, &events).await,
                Some(target) => self.try_peer(&target, &request, &events).await,
                None => RouteResult::Again { reason: "no host is serving".into() },
            };

            let reason = match result {
                RouteResult::Answered => return,
                RouteResult::Again { .. } if Instant::now() < deadline && !events.is_closed() => {
                    tokio::time::sleep(ROUTE_PAUSE).await;
                    continue;
                }
                RouteResult::Again { reason } | RouteResult::Cut { reason } => reason,
            };

            // This host can't tell whether anything ran; only an owner may say that nothing did.
            let problem = Problem::unknown(ProblemKind::OwnerUnreachable, reason).retry_after(1);
            let _ = events.send(ProgramEvent::Answer(ProgramAnswer::Problem(problem))).await;
            return;
        }
    }

    async fn try_own(
        &self,
        request: &ProgramRequest,
        events: &mpsc::Sender<ProgramEvent>,
    ) -> RouteResult {
        let (sender, mut receiver) = mpsc::channel(EVENT_DEPTH);
        tokio::spawn(Arc::clone(&self.service).serve(request.clone(), sender));
        let mut relay = EventRelay { events, has_passed: false };

        while let Some(event) = receiver.recv().await {
            if let Some(result) = relay.pass(event).await {
                return result;
            }
        }

        relay.lost("the owner's task ended without an answer".into())
    }

    async fn try_peer(
        &self,
        target: &HostTarget,
        request: &ProgramRequest,
        events: &mpsc::Sender<ProgramEvent>,
    ) -> RouteResult {
        let mut relay = EventRelay { events, has_passed: false };

        match self.exchange(target, request, &mut relay).await {
            Ok(result) => result,
            Err(error) => {
                log::info!(
                    program:% = request.program, peer:% = target.name;
                    "the owner can't be reached: {error}"
                );
                relay.lost(format!("host {}: {error}", target.name))
            }
        }
    }

    async fn exchange(
        &self,
        target: &HostTarget,
        request: &ProgramRequest,
        relay: &mut EventRelay<'_>,
    ) -> Result<RouteResult, PeerError> {
        let first = PeerMessage::Program(request.clone());
        let mut stream = self.transport.open(target.address, &first).await?;

        loop {
            match stream.receive().await? {
                Some(PeerMessage::Event(event)) => {
                    if let Some(result) = relay.pass(event).await {
                        return Ok(result);
                    }
                }
                Some(PeerMessage::Refused { reason }) => {
                    return Err(PeerError::Refused { reason: reason.to_string() });
                }
                Some(_) => return Err(PeerError::Unexpected),
                None => return Ok(relay.lost("the owner ended without an answer".into())),
            }
        }
    }
}

/// Passes events on, and knows whether any was.
struct EventRelay<'a> {
    events: &'a mpsc::Sender<ProgramEvent>,
    has_passed: bool,
}

impl EventRelay<'_> {
    /// Passes an event on. Gives a result where it was the last one.
    async fn pass(&mut self, event: ProgramEvent) -> Option<RouteResult> {
        match event {
            ProgramEvent::NotOwner => Some(self.lost("the host does not own the program".into())),
            ProgramEvent::Answer(ProgramAnswer::Problem(problem))
                if problem.kind == ProblemKind::OwnerUnreachable && !self.has_passed =>
            {
                Some(self.lost(problem.detail.to_string()))
            }
            ProgramEvent::Answer(_) => {
                let _ = self.events.send(event).await;
                Some(RouteResult::Answered)
            }
            ProgramEvent::Delta(_) => {
                self.has_passed = true;
                let _ = self.events.send(event).await;
                None
            }
        }
    }

    fn lost(&self, reason: String) -> RouteResult {
        if self.has_passed { RouteResult::Cut { reason } } else { RouteResult::Again { reason } }
    }
}
