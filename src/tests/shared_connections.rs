//! Connections between hosts that carry clients' requests beside the messages of the hosts.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{HeaderMap, Method};
use tokio::{
    sync::Notify,
    time::{Duration, Instant, sleep},
};

use super::memory_platform::{FaultRates, MemoryPlatform};
use crate::{
    ClusterView, ConfigSpreader, ConfigStore, HostRecord, IdlePolicy, MembershipService,
    MembershipTable, NodeMetrics, PeerError, PeerHandler, PeerMessage, PeerStream, PeerTransport,
    PlatformClient, QuicTransport, WriterId,
    entry::{
        EntryRequest, EntryResponse, PossibleRuns, RelayedBody, StreamItem,
        entry_metrics::EntryMetrics, mesh_connector::MeshConnector, mesh_peer::MeshIdentity,
        mesh_state::MeshState, peer_mesh::PeerMesh,
    },
    gateway::{ForwardedHead, RequestForwarder, SchedulerDirectory, SchedulerEntry},
    membership::key_files::CertificateAuthority,
};

const BUSY_HOST: &str = "busy";

/// Number of events of a forwarded response, and the time between two of them. Together they take longer than a host
/// waits for the acknowledgement of an update.
const EVENT_COUNT: usize = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a host is suspected before it counts as dead.
const SUSPICION_TIMEOUT_MS: u64 = 60_000;

/// A scheduler that streams the response to a forwarded request, and is too busy to respond to anything else.
#[derive(Debug)]
struct BusyScheduler;

impl BusyScheduler {
    async fn stream_response(stream: &mut dyn PeerStream) -> Result<(), PeerError> {
        let accepted = PeerMessage::ForwardAccepted { is_retryable: false, config_version: 1 };
        stream.send(&accepted).await?;
        stream.receive().await?;
        let head = ForwardedHead { status: 200, headers: Vec::new(), body: None, departure: None };
        stream.send(&PeerMessage::ForwardHead(head)).await?;

        for _ in 0..EVENT_COUNT {
            sleep(EVENT_INTERVAL).await;
            let bytes = Bytes::from_static(b"data: word\n\n");
            stream.send(&PeerMessage::ForwardBytes { bytes }).await?;
        }

        stream.send(&PeerMessage::ForwardEnd).await
    }
}

#[async_trait]
impl PeerHandler for BusyScheduler {
    async fn handle(self: Arc<Self>, first: PeerMessage, mut stream: Box<dyn PeerStream>) {
        if !matches!(first, PeerMessage::ForwardOffer { .. }) {
            return std::future::pending().await;
        }

        // An error means that the connection is gone, which the test sees at the other end.
        let _ = Self::stream_response(&mut *stream).await;
        stream.finish();
    }
}

fn transport(authority: &CertificateAuthority, host: &str) -> Arc<QuicTransport> {
    let keys = authority.issue(host).expect("keys");
    let metrics = Arc::new(NodeMetrics::new().expect("metrics"));
    let address: SocketAddr = ([127, 0, 0, 1], 0).into();
    let transport =
        QuicTransport::bind(address, &keys, "secret", IdlePolicy::KeptAlive, metrics, None);
    Arc::new(transport.expect("failed to bind a port"))
}

/// A host of a mesh whose only other host is busy.
struct ConnectedHost {
    transport: Arc<dyn PeerTransport>,
    mesh: Arc<PeerMesh>,
    forwarder: RequestForwarder,
    busy_address: SocketAddr,
}

impl ConnectedHost {
    fn start() -> Self {
        let authority = CertificateAuthority::generate().expect("an authority");
        let busy_transport = transport(&authority, BUSY_HOST);
        let busy_address = busy_transport.address().expect("a bound endpoint");
        tokio::spawn(busy_transport.serve(Arc::new(BusyScheduler)));

        let transport = transport(&authority, "one") as Arc<dyn PeerTransport>;
        let identity = MeshIdentity {
            host: "one".into(),
            address: ([127, 0, 0, 1], 1).into(),
            region: "north".into(),
            writer: "one.1".into(),
        };
        let mesh = Arc::new(PeerMesh::new(identity, Arc::clone(&transport), MeshState::default()));
        let forwarder = RequestForwarder {
            connector: Arc::new(MeshConnector::new(Arc::clone(&transport))),
            directory: Arc::new(SchedulerDirectory::new("north".into())),
            metrics: Arc::new(EntryMetrics::new().expect("metrics")),
            departures: Arc::default(),
            buffers: Arc::default(),
        };
        Self { transport, mesh, forwarder, busy_address }
    }

    /// Forwards a request to the busy host, and returns the number of events that arrive and whether the response is
    /// complete. `disturb` runs after the first event.
    async fn forward(&self, disturb: impl FnOnce()) -> (usize, bool) {
        let scheduler = SchedulerEntry {
            host: BUSY_HOST.into(),
            address: self.busy_address,
            region: "north".into(),
            is_draining: false,
            lost_services: Arc::default(),
            processor_millis: 1_000,
        };
        let response = self.forwarder.forward(&request(), &[scheduler]).await;
        let Some(EntryResponse::Relayed(relayed)) = response else {
            panic!("expected a response, received {response:?}");
        };
        let RelayedBody::Events(mut events) = relayed.body else {
            panic!("expected a stream");
        };
        let mut event_count = 0;
        let mut disturb = Some(disturb);

        while let Some(item) = events.recv().await {
            match item {
                StreamItem::Bytes(_) => event_count += 1,
                StreamItem::End => return (event_count, true),
            }
            if let Some(disturb) = disturb.take() {
                disturb();
            }
        }

        (event_count, false)
    }
}

fn request() -> EntryRequest {
    let now = Instant::now();

    EntryRequest {
        key: crate::entry::ClientKey::Missing,
        id: "r1".into(),
        method: Method::POST,
        host: "a.example".into(),
        path: "/read/1".into(),
        target: "/read/1".into(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"input"),
        received: now,
        deadline: Some(now + Duration::from_secs(5)),
        program: None,
        prompt_tokens: 0,
        max_completion_tokens: 0,
        prompt_parts: Vec::new(),
        last_event_id: None,
        resumed_request: None,
        possible_runs: PossibleRuns::default(),
        is_forwarded: false,
    }
}

#[tokio::test]
async fn unacknowledged_update_leaves_forwarded_stream_open() {
    let host = ConnectedHost::start();
    let mesh = Arc::clone(&host.mesh);
    mesh.add_peer(BUSY_HOST.into(), host.busy_address, "north".into());
    let result = host.forward(|| drop(tokio::spawn(mesh.run()))).await;
    assert_eq!(result, (EVENT_COUNT, true));
}

#[tokio::test]
async fn relisted_peer_leaves_forwarded_stream_open() {
    let host = ConnectedHost::start();
    let mesh = Arc::clone(&host.mesh);
    let relist = || mesh.add_peer(BUSY_HOST.into(), host.busy_address, "north".into());
    assert_eq!(host.forward(relist).await, (EVENT_COUNT, true));
}

/// Membership of a host that probes the busy host, and suspects it for longer than a test takes.
fn membership(host: &ConnectedHost) -> Arc<MembershipService> {
    let record = |name: &str, peer_address| HostRecord {
        name: name.into(),
        region: "north".into(),
        peer_address,
        is_leaving: false,
    };
    let local = record("one", ([127, 0, 0, 1], 1).into());
    let mut table = MembershipTable::new(&local, 1, SUSPICION_TIMEOUT_MS);
    table.merge_hosts(&[local, record(BUSY_HOST, host.busy_address)]);
    let view = ClusterView::new(table);
    let platform = MemoryPlatform::new(1, FaultRates::default()) as Arc<dyn PlatformClient>;
    let store = ConfigStore::new(Arc::clone(&platform), WriterId(1), Duration::ZERO);

    Arc::new(MembershipService {
        view: view.clone(),
        transport: Arc::clone(&host.transport),
        platform,
        spreader: Arc::new(ConfigSpreader {
            host: "one".into(),
            store: Arc::new(store),
            view,
            transport: Arc::clone(&host.transport),
        }),
        heartbeat_interval: EVENT_INTERVAL,
        host_list_interval: Duration::from_mins(1),
        refresh_request: Notify::new(),
    })
}

#[tokio::test]
async fn unanswered_probe_leaves_exchange_open() {
    let host = ConnectedHost::start();
    let membership = membership(&host);
    let result = host.forward(|| drop(tokio::spawn(membership.run_probes()))).await;
    assert_eq!(result, (EVENT_COUNT, true));
}
