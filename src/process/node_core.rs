//! The components of a host that all others depend on: platform client, peer transport, membership and configuration.

use std::{sync::Arc, time::Duration};

use eyre::Result;
use tokio::sync::Notify;

use crate::{
    ClusterView, ConfigSpreader, ConfigStore, GuardedPlatform, HostRecord, HttpPlatform,
    IdlePolicy, MembershipService, MembershipTable, NodeMetrics, NodeSettings, PeerTransport,
    PlatformClient, QuicTransport, WriterId, basics::unix_clock::unix_millis,
};

/// Delay before the store is read to find out whether a configuration patch without a response was written.
const READ_BACK_DELAY: Duration = Duration::from_millis(200);

/// Components that are built first, since the others depend on them.
#[derive(Debug)]
pub(crate) struct NodeCore {
    /// Identity of this process as a writer of shard logs and configuration entries. It is new at each start.
    pub(crate) writer: WriterId,
    pub(crate) platform: Arc<dyn PlatformClient>,
    pub(crate) quic: Arc<QuicTransport>,
    pub(crate) view: ClusterView,
    pub(crate) config: Arc<ConfigStore>,
    pub(crate) spreader: Arc<ConfigSpreader>,
    pub(crate) membership: Arc<MembershipService>,
}

impl NodeCore {
    pub(crate) fn new(settings: &NodeSettings, metrics: &Arc<NodeMetrics>) -> Result<Self> {
        let writer = WriterId(rand::random());
        let http_platform = HttpPlatform::new(&settings.platform_url, settings.platform_timeout);

        let platform: Arc<dyn PlatformClient> = Arc::new(GuardedPlatform::new(
            Arc::new(http_platform),
            settings.platform_calls_per_second,
            Arc::clone(metrics),
        ));

        let quic = Arc::new(QuicTransport::bind(
            settings.peers_address,
            &settings.keys,
            &settings.receipt_key,
            IdlePolicy::Probed,
            Arc::clone(metrics),
            None,
        )?);

        let view = ClusterView::new(membership_table(settings, &quic)?);
        let config = Arc::new(ConfigStore::new(Arc::clone(&platform), writer, READ_BACK_DELAY));

        let spreader = Arc::new(ConfigSpreader {
            host: settings.host.clone(),
            store: Arc::clone(&config),
            view: view.clone(),
            transport: Arc::clone(&quic) as Arc<dyn PeerTransport>,
        });

        let membership = Arc::new(MembershipService {
            view: view.clone(),
            transport: Arc::clone(&quic) as Arc<dyn PeerTransport>,
            platform: Arc::clone(&platform),
            spreader: Arc::clone(&spreader),
            heartbeat_interval: settings.heartbeat_interval,
            host_list_interval: settings.host_list_interval,
            refresh_request: Notify::new(),
        });

        Ok(Self { writer, platform, quic, view, config, spreader, membership })
    }
}

/// Creates a membership table that holds this host alone.
fn membership_table(settings: &NodeSettings, quic: &QuicTransport) -> Result<MembershipTable> {
    let record = HostRecord {
        name: settings.host.clone(),
        region: settings.region.clone(),
        peer_address: quic.address()?,
        is_leaving: false,
    };

    let suspicion_timeout_ms = settings.suspect_after.as_millis() as u64;
    Ok(MembershipTable::new(&record, unix_millis(), suspicion_timeout_ms))
}
