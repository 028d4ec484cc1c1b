//! Responses to the messages of other entry hosts.

use std::sync::{Arc, atomic::Ordering};

use async_trait::async_trait;
use tokio::time::{Duration, Instant};

use crate::{
    PeerHandler, PeerMessage, PeerStream, RequestRate,
    entry::{
        budget_ledger::WriterSpends,
        peer_mesh::PeerMesh,
        turn_history::{HistoryTurn, TurnChain},
        upstream_departures::UpstreamDeparture,
        upstream_limits::LimitNote,
    },
};

impl PeerMesh {
    fn respond(&self, message: PeerMessage) -> PeerMessage {
        match message {
            PeerMessage::SpendsNoted {
                host,
                address,
                region,
                writer,
                sequence,
                run_age_ms,
                is_draining,
                notes,
                streams,
                lost_services,
            } => {
                let now = Instant::now();
                let run_started = now.checked_sub(Duration::from_millis(run_age_ms)).unwrap_or(now);
                if !self.update_peer_state(&host, address, &writer, run_started, is_draining) {
                    self.add_peer(Arc::clone(&host), address, region);
                    self.update_peer_state(&host, address, &writer, run_started, is_draining);
                }
                self.update_peer_reach(&host, sequence, &lost_services);
                self.merge_reported_spends(&writer, sequence, &notes);
                let mut known = self.state.streams.lock();
                streams.iter().for_each(|stream| known.merge(now, stream));
                PeerMessage::Done
            }
            PeerMessage::SpendQuery { writer, sequence, note } => {
                let program = Arc::clone(&note.program);
                self.merge_reported_spends(&writer, sequence, &[note]);
                let mut ledger = self.state.ledger.lock();
                ledger.record_question(&program, &writer);
                // What no turn uses must not refuse a turn of another host.
                ledger.release_ahead(&program);
                PeerMessage::Spend {
                    writer: Arc::clone(&self.identity.writer),
                    sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
                    note: ledger.local_note(&program),
                }
            }
            PeerMessage::KnowledgeQuery if self.has_loaded_records.load(Ordering::Relaxed) => {
                let mut spends = self.state.ledger.lock().other_spends();
                let notes = self.state.ledger.lock().local_notes();
                spends.push(WriterSpends { writer: Arc::clone(&self.identity.writer), notes });
                let batches = self.state.index.lock().all_batches();
                let departures = self.state.departures.lock().all();
                let readings = self.state.readings.lock().ages(Instant::now());
                PeerMessage::Knowledge { spends, batches, readings, departures }
            }
            PeerMessage::KnowledgeQuery => PeerMessage::NoAck,
            PeerMessage::FeaturesQuery => PeerMessage::Features { features: self.local_features() },
            PeerMessage::QuotaReport { report } => self.respond_to_quota_report(&report),
            PeerMessage::RecentSpendsQuery { writer, sequence } => {
                let journal = self.journal.get().filter(|_| writer == self.identity.writer);
                match journal.and_then(|it| it.recent_spends(sequence)) {
                    Some(spends) => PeerMessage::RecentSpends { spends },
                    None => PeerMessage::NoAck,
                }
            }
            PeerMessage::RequestCrashesNoted { notes } => {
                let mut crashes = self.state.crashes.lock();
                notes.iter().for_each(|note| crashes.merge(note));
                PeerMessage::Done
            }
            PeerMessage::UpstreamsLeaving { departures } => {
                self.merge_departures(&departures);
                PeerMessage::Done
            }
            PeerMessage::UpstreamsLimited { limits } => {
                self.merge_limits(&limits);
                PeerMessage::Done
            }
            PeerMessage::StreamQuery { request } => {
                PeerMessage::StreamFound { origin: self.state.streams.lock().get(&request) }
            }
            PeerMessage::TurnQuery { turn } => {
                // The query of a peer does not extend the time for which this host caches the turns.
                let chain = self.state.history.lock().chain(&turn, Duration::ZERO);
                let turns = match chain {
                    TurnChain::Complete(chain) => {
                        chain.iter().map(|turn| HistoryTurn::clone(turn)).collect()
                    }
                    TurnChain::Missing(_) => Vec::new(),
                };
                PeerMessage::Turns { turns }
            }
            _ => PeerMessage::Refused { reason: "not a message between entry hosts".into() },
        }
    }

    /// Merges the limits that upstreams have stated to a peer.
    fn merge_limits(&self, limits: &[LimitNote]) {
        let now = Instant::now();
        let mut known = self.state.limits.lock();
        for limit in limits.iter().filter(|it| known.merge(it, now)) {
            log::info!(
                upstream:% = limit.upstream, born_ms = limit.run, age_ms = limit.age_ms,
                limit:? = limit.rate.map(RequestRate::per_second);
                "a peer reports an upstream's limit of requests a second"
            );
        }
    }

    /// Adds the upstreams that a peer knows to leave.
    pub(super) fn merge_departures(&self, departures: &[UpstreamDeparture]) {
        let new_departures: Vec<&UpstreamDeparture> = {
            let mut known = self.state.departures.lock();
            departures.iter().filter(|it| known.merge(it)).collect()
        };
        for departure in new_departures {
            log::info!(
                upstream:% = departure.id, leaving_runs:? = departure.leaving_runs,
                withdrawn_revision = departure.withdrawn_revision;
                "a peer reports that an upstream is leaving or has left"
            );
        }
    }
}

#[async_trait]
impl PeerHandler for PeerMesh {
    async fn handle(self: Arc<Self>, first: PeerMessage, mut stream: Box<dyn PeerStream>) {
        let response = match first {
            PeerMessage::Record { turns, spends } => self.record_for(turns, spends).await,
            PeerMessage::SegmentQuery { prefix } => self.read_segment_for(&prefix).await,
            message => self.respond(message),
        };

        if let Err(error) = stream.send(&response).await {
            log::debug!("failed to send a response to a peer: {error}");
        }

        stream.finish();
    }
}
