//! Answers the exchanges that peers start.

use std::sync::Arc;

use async_trait::async_trait;
use tokio::sync::mpsc;

use crate::{
    CellId, CellReport, CellRequest, CellResult, ConfigSpreader, DispatchOutcome, DispatcherTable,
    MembershipService, PeerError, PeerHandler, PeerMessage, PeerStream, ProgramId, ProgramRequest,
    ProgramService, dispatch::peer_gateway::indicates_failure,
    state::program_sweeper::ended_programs,
};

/// Events of an answer that wait for a slow peer.
const EVENT_DEPTH: usize = 64;

/// The roles of this host, as peers reach them.
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
                let answer = self.answer(request).await;
                stream.send(&answer).await
            }
        };

        if let Err(error) = result {
            log::debug!("an exchange with a peer was cut: {error}");
        }

        stream.finish();
    }
}

impl PeerService {
    async fn answer(self: &Arc<Self>, request: PeerMessage) -> PeerMessage {
        match request {
            PeerMessage::Ping { from, config_number, rumors } => {
                self.membership.answer(&from, config_number, &rumors)
            }
            PeerMessage::PingOther { other } => self.membership.answer_for(&other).await,
            PeerMessage::Sync { rumors } => self.membership.members(&rumors),
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
                PeerMessage::Ended { programs: self.ended(&programs) }
            }
            PeerMessage::CrashesNoted { cell, notes } => {
                self.dispatchers.import_crashes(&cell, &notes);
                PeerMessage::Done
            }
            PeerMessage::HolderQuery { shard } => PeerMessage::Holder {
                may_hold: self.programs.shards.may_own(shard),
                hosts: self.membership.view.host_names(),
            },
            _ => PeerMessage::Refused { reason: "an exchange can't begin like this".into() },
        }
    }

    fn ended(&self, programs: &[ProgramId]) -> Vec<ProgramId> {
        let Some(owner) = programs.first().and_then(|it| self.programs.shards.owner(it.shard))
        else {
            return Vec::new();
        };

        let known: Vec<ProgramId> =
            programs.iter().copied().filter(|it| it.shard == owner.shard()).collect();
        ended_programs(&owner, &known)
    }

    /// Runs a request to its end, also when the peer goes away.
    async fn serve_program(
        &self,
        request: ProgramRequest,
        stream: &mut dyn PeerStream,
    ) -> Result<(), PeerError> {
        let (sender, mut events) = mpsc::channel(EVENT_DEPTH);
        tokio::spawn(Arc::clone(&self.programs).serve(request, sender));

        while let Some(event) = events.recv().await {
            stream.send(&PeerMessage::Event(event)).await?;
        }

        Ok(())
    }

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

        let verdict = tokio::select! {
            verdict = ticket.outcome() => verdict,
            // The owner says nothing before it has a verdict, so this means that it is gone.
            _ = stream.receive() => return Ok(()),
        };

        let upstream = match verdict {
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

        ticket.finish(report);

        if indicates_failure(report.result) {
            self.dispatchers.report_failure(&cell, &upstream);
            self.dispatchers.broadcast_crashes(&cell).await;
        }

        stream.send(&PeerMessage::Done).await
    }
}
