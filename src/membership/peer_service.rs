//! Responds to the exchanges that peers start.

use std::sync::Arc;

use async_trait::async_trait;
use tokio::sync::mpsc;

use crate::{
    CellId, CellReport, CellRequest, CellResult, ConfigSpreader, DispatchOutcome, DispatcherTable,
    MembershipService, PeerError, PeerHandler, PeerMessage, PeerStream, ProgramId, ProgramRequest,
    ProgramService, state::program_sweeper::ended_programs,
};

/// Events of a request that are buffered for a slow peer.
const MAX_BUFFERED_EVENTS: usize = 64;

/// Serves requests of peers with the roles of this host.
#[derive(Debug)]
pub(crate) struct PeerService {
    pub(crate) programs: Arc<ProgramService>,
    pub(crate) dispatchers: Arc<DispatcherTable>,
    pub(crate) membership: Arc<MembershipService>,
    pub(crate) spreader: Arc<ConfigSpreader>,
}

#[async_trait]
impl PeerHandler for PeerService {
    async fn handle(self: Arc<Self>, first: PeerMessage, mut stream: Box<dyn PeerStream>) {
        let result = match first {
            PeerMessage::Program(request) => self.serve_program(request, stream.as_mut()).await,
            PeerMessage::Dispatch { cell, request } => {
                self.serve_dispatch(cell, request, stream.as_mut()).await
            }
            request => {
                let response = self.respond(request).await;
                stream.send(&response).await
            }
        };

        if let Err(error) = result {
            log::debug!("an exchange with a peer failed: {error}");
        }

        stream.finish();
    }
}

impl PeerService {
    /// Handles a request that has a single response.
    async fn respond(self: &Arc<Self>, request: PeerMessage) -> PeerMessage {
        match request {
            PeerMessage::Ping { from, config_number, rumors } => {
                self.membership.respond_to_ping(&from, config_number, &rumors)
            }
            PeerMessage::PingOther { other } => {
                self.membership.respond_to_indirect_ping(&other).await
            }
            PeerMessage::Sync { rumors } => self.membership.respond_to_sync(&rumors),
            PeerMessage::ConfigPush { entries, tree, position } => {
                self.spreader.receive(entries, tree, position);
                PeerMessage::Done
            }
            PeerMessage::ConfigPull { after } => {
                PeerMessage::ConfigEntries { entries: self.spreader.store.entries_after(after) }
            }
            PeerMessage::ProgramsEnded { cell, programs } => {
                self.dispatchers.end_programs(&cell, programs).await;
                PeerMessage::Done
            }
            PeerMessage::EndedQuery { programs } => {
                PeerMessage::Ended { programs: self.filter_ended(&programs) }
            }
            PeerMessage::CrashesNoted { cell, notes } => {
                self.dispatchers.merge_crashes(&cell, &notes);
                PeerMessage::Done
            }
            PeerMessage::HolderQuery { shard } => PeerMessage::Holder {
                may_hold: self.programs.shards.may_own(shard),
                hosts: self.membership.view.host_names(),
            },
            _ => PeerMessage::Refused { reason: "an exchange can't begin like this".into() },
        }
    }

    /// Returns those programs that have ended or do not exist, or none if this host does not own the shard of the
    /// first. Programs of other shards are left out.
    fn filter_ended(&self, programs: &[ProgramId]) -> Vec<ProgramId> {
        let Some(owner) = programs.first().and_then(|it| self.programs.shards.owner(it.shard))
        else {
            return Vec::new();
        };

        let in_shard: Vec<ProgramId> =
            programs.iter().copied().filter(|it| it.shard == owner.shard()).collect();
        ended_programs(&owner, &in_shard)
    }

    /// Runs a request of a peer and sends its events. The request runs to its end even if the peer disconnects.
    async fn serve_program(
        &self,
        request: ProgramRequest,
        stream: &mut dyn PeerStream,
    ) -> Result<(), PeerError> {
        let (sender, mut events) = mpsc::channel(MAX_BUFFERED_EVENTS);
        tokio::spawn(Arc::clone(&self.programs).serve(request, sender));

        while let Some(event) = events.recv().await {
            stream.send(&PeerMessage::Event(event)).await?;
        }

        Ok(())
    }

    /// Queues a request of a peer, and sends the outcome. After a grant it waits for the peer's report, and counts the
    /// grant as lost if the peer disconnects before.
    async fn serve_dispatch(
        &self,
        cell: CellId,
        request: CellRequest,
        stream: &mut dyn PeerStream,
    ) -> Result<(), PeerError> {
        let Some(dispatcher) = self.dispatchers.dispatcher(&cell) else {
            return stream.send(&PeerMessage::NotDispatcher).await;
        };

        let mut ticket = dispatcher.submit(request);

        let outcome = tokio::select! {
            outcome = ticket.outcome() => outcome,
            // The peer sends nothing before it has the outcome, so it has disconnected.
            _ = stream.receive() => return Ok(()),
        };

        let upstream = match outcome {
            DispatchOutcome::Granted { upstream } => upstream,
            DispatchOutcome::Declined { refusal } => {
                return stream.send(&PeerMessage::Declined { refusal }).await;
            }
            DispatchOutcome::Moved => return stream.send(&PeerMessage::NotDispatcher).await,
        };

        stream.send(&PeerMessage::Granted { upstream: upstream.clone() }).await?;

        let report = match stream.receive().await {
            Ok(Some(PeerMessage::Report(report))) => report,
            _ => CellReport::without_usage(CellResult::Lost),
        };

        self.dispatchers.finish_grant(&cell, &upstream, ticket, report).await;
        stream.send(&PeerMessage::Done).await
    }
}
