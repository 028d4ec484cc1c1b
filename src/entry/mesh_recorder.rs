//! Recording of turns and spends through another host, and on behalf of another host.

use std::sync::Arc;

use async_trait::async_trait;
use tokio::time::{Duration, Instant, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    HostName, PeerMessage,
    entry::{
        budget_ledger::SpendRecord, peer_mesh::PeerMesh, turn_history::HistoryTurn,
        turn_journal::TurnRecorder,
    },
    membership::rendezvous::rendezvous_winner,
};

/// Time for another host to record in the store. That host gathers a batch for 30 ms, and the store responds in 4 ms.
const RECORD_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a host that failed to record is not asked again.
const RECORD_BACKOFF: Duration = Duration::from_millis(1_500);

/// Hosts of a region that share one recorder. More would make batches larger, but the recorder a bottleneck.
const HOSTS_PER_RECORDER: u64 = 12;

/// Largest number of other hosts that are asked, one after the other, to record a batch between two attempts of this
/// host to write it.
const MAX_FALLBACK_HOSTS: usize = 2;

/// Number of recorders of a region.
fn recorder_count(region_hosts: u64) -> u64 {
    region_hosts.div_ceil(HOSTS_PER_RECORDER).max(1)
}

impl PeerMesh {
    /// Records turns and spends for another host. Returns `NoAck` at once while the store does not answer this host, so
    /// that the other host tries elsewhere.
    pub(super) async fn record_for(
        &self,
        turns: Vec<HistoryTurn>,
        spends: Vec<SpendRecord>,
    ) -> PeerMessage {
        let Some(journal) = self.journal.get().filter(|journal| journal.is_store_reachable())
        else {
            return PeerMessage::NoAck;
        };

        match timeout(RECORD_TIMEOUT, journal.append_forwarded(turns, spends)).await {
            Ok(Ok(())) => PeerMessage::Done,
            _ => PeerMessage::NoAck,
        }
    }
}

#[async_trait]
impl TurnRecorder for PeerMesh {
    fn preferred_host(&self) -> Option<Arc<str>> {
        let now = Instant::now();
        let peers = self.peers.lock();
        let local_host = HostName::from(&*self.identity.host);

        let mut candidates: Vec<HostName> = peers
            .iter()
            .filter(|(_, peer)| peer.region == self.identity.region && peer.can_record(now))
            .map(|(host, _)| HostName::from(&**host))
            .collect();
        candidates.push(local_host.clone());

        let group_count = recorder_count(candidates.len() as u64);
        let key = format!("turn-recorder/{}", xxh3_64(self.identity.host.as_bytes()) % group_count);
        let winner = rendezvous_winner(&key, candidates.iter())?;
        (*winner != local_host).then(|| winner.as_str().into())
    }

    fn sharing_host_count(&self) -> u32 {
        let peers = self.peers.lock();
        let region_hosts = 1 + self.region_peer_count(&peers) as u64;
        u32::try_from(region_hosts / recorder_count(region_hosts)).unwrap_or(u32::MAX)
    }

    fn fallback_hosts(&self) -> Vec<Arc<str>> {
        let now = Instant::now();
        let peers = self.peers.lock();
        let mut candidates: Vec<(bool, Arc<str>)> = peers
            .iter()
            .filter(|(_, peer)| peer.can_record(now))
            .map(|(host, peer)| (peer.region != self.identity.region, Arc::clone(host)))
            .collect();

        // Hosts of this region sort first.
        candidates.sort();
        candidates.into_iter().map(|(_, host)| host).take(MAX_FALLBACK_HOSTS).collect()
    }

    async fn record(
        &self,
        host: &Arc<str>,
        turns: &[HistoryTurn],
        records: &[SpendRecord],
    ) -> bool {
        let Some(address) = self.peers.lock().get(host).map(|peer| peer.address) else {
            return false;
        };

        let message = PeerMessage::Record { turns: turns.to_vec(), spends: records.to_vec() };
        let response = timeout(RECORD_TIMEOUT, self.connector.exchange(address, &message)).await;
        let is_recorded = matches!(response, Ok(Ok(PeerMessage::Done)));

        if !is_recorded && let Some(peer) = self.peers.lock().get_mut(host) {
            log::info!(peer:% = host; "a peer failed to record a batch in time");
            peer.record_backoff_until = Some(Instant::now() + RECORD_BACKOFF);
        }

        is_recorded
    }
}
