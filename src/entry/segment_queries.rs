//! Which host reads an open segment for all, and the questions to it.

use std::sync::Arc;

use tokio::time::{Duration, timeout};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    PeerMessage,
    entry::{peer_mesh::PeerMesh, segment_reader::SegmentSummary},
    membership::rendezvous::weighted_score,
};

/// Time for another host to read a segment. A small host receives a page of 1 MB in 0.3 s, and may read one after the other.
const SEGMENT_TIMEOUT: Duration = Duration::from_millis(800);

impl PeerMesh {
    /// Asks the host that reads a writer's open segment for all others. Returns `None` if that is this host, or if it does not
    /// answer; then this host has to read the segment itself.
    pub(crate) async fn query_segment(
        &self,
        writer: &Arc<str>,
        prefix: &Arc<str>,
    ) -> Option<Arc<SegmentSummary>> {
        let address = self.segment_host(writer)?;
        let query = PeerMessage::SegmentQuery { prefix: Arc::clone(prefix) };

        match timeout(SEGMENT_TIMEOUT, self.connector.exchange(address, &query)).await {
            Ok(Ok(PeerMessage::Segment { summary })) => Some(Arc::new(summary)),
            answer => {
                log::info!(
                    writer:% = writer, address:% = address, is_late = answer.is_err();
                    "a host has not read an open segment for this one, which reads it itself"
                );
                None
            }
        }
    }

    /// Address of the host that reads a writer's segment for all, among those that respond; `None` if it is this one. All hosts
    /// that hear the same peers choose the same one, larger hosts for more of the segments.
    fn segment_host(&self, writer: &str) -> Option<std::net::SocketAddr> {
        let seed = xxh3_64_with_seed(writer.as_bytes(), 0);
        let score = |host: &str| weighted_score(seed, host, self.processor_millis(host));
        let peers = self.peers.lock();
        let responsive = peers
            .iter()
            .filter(|(_, peer)| peer.writer.is_some() && peer.failures == 0 && !peer.is_draining);
        let (host_score, peer) =
            responsive.map(|(host, peer)| (score(host), peer)).min_by_key(|(score, _)| *score)?;
        (host_score < score(&self.identity.host)).then_some(peer.address)
    }

    /// Reads a segment for a peer.
    pub(super) async fn read_segment_for(&self, prefix: &Arc<str>) -> PeerMessage {
        let Some(segments) = self.segments.get() else {
            return PeerMessage::NoAck;
        };

        match segments.read(prefix).await {
            Ok(summary) => PeerMessage::Segment { summary: SegmentSummary::clone(&summary) },
            Err(error) => {
                log::warn!(prefix:% = prefix; "an open segment can't be read for a peer: {error}");
                PeerMessage::NoAck
            }
        }
    }
}
