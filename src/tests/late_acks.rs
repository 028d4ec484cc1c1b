//! Probes of a host that answers, but later than the prober waits.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use tokio::{
    sync::Notify,
    time::{Duration, sleep},
};

use super::{
    clock_steps::STEPS_MS,
    memory_platform::{FaultRates, MemoryPlatform},
};
use crate::{
    ClusterView, ConfigSpreader, ConfigStore, HostRecord, MemberStatus, MembershipService,
    MembershipTable, PeerError, PeerMessage, PeerStream, PeerTransport, PlatformClient, WriterId,
    basics::{steady_clock::steady_millis, unix_clock::clock_step::STEP_MS},
};

const LATE_HOST: &str = "late";

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which the late host answers each probe.
const ANSWER_DELAY: Duration = Duration::from_millis(350);

/// Time for which a host is suspected before it counts as dead.
const SUSPICION_TIMEOUT_MS: u64 = 60_000;

/// Connections to a host that answers each probe late.
#[derive(Debug)]
struct LateTransport;

#[derive(Debug)]
struct LateStream;

#[async_trait]
impl PeerStream for LateStream {
    async fn receive(&mut self) -> Result<Option<PeerMessage>, PeerError> {
        sleep(ANSWER_DELAY).await;
        Ok(Some(PeerMessage::Ack { config_number: 0, rumors: Vec::new() }))
    }

    async fn send(&mut self, _message: &PeerMessage) -> Result<(), PeerError> {
        Ok(())
    }

    fn finish(&mut self) {}

    async fn wait_until_received(&mut self) -> Result<(), PeerError> {
        Ok(())
    }
}

#[async_trait]
impl PeerTransport for LateTransport {
    fn disconnect(&self, _peer: SocketAddr) {}

    fn retire(&self, _peer: SocketAddr) {}

    fn is_connected(&self, _peer: SocketAddr) -> bool {
        true
    }

    async fn connect(&self, _peer: SocketAddr) -> Result<(), PeerError> {
        Ok(())
    }

    async fn open(
        &self,
        _peer: SocketAddr,
        _first: &PeerMessage,
    ) -> Result<Box<dyn PeerStream>, PeerError> {
        Ok(Box::new(LateStream))
    }
}

fn membership(suspicion_timeout_ms: u64) -> Arc<MembershipService> {
    let record = |name: &str, port| HostRecord {
        name: name.into(),
        region: "north".into(),
        peer_address: ([127, 0, 0, 1], port).into(),
        is_leaving: false,
    };
    let local = record("one", 1);
    let mut table = MembershipTable::new(&local, 1, suspicion_timeout_ms);
    table.merge_hosts(&[local, record(LATE_HOST, 2)]);
    let view = ClusterView::new(table);
    let transport = Arc::new(LateTransport) as Arc<dyn PeerTransport>;
    let platform = MemoryPlatform::new(1, FaultRates::default()) as Arc<dyn PlatformClient>;
    let store = ConfigStore::new(Arc::clone(&platform), WriterId(1), Duration::ZERO);

    Arc::new(MembershipService {
        view: view.clone(),
        transport: Arc::clone(&transport),
        platform,
        spreader: Arc::new(ConfigSpreader {
            host: "one".into(),
            store: Arc::new(store),
            view,
            transport,
        }),
        heartbeat_interval: HEARTBEAT_INTERVAL,
        host_list_interval: Duration::from_mins(1),
        refresh_request: Notify::new(),
    })
}

#[tokio::test(start_paused = true)]
async fn probe_counts_an_answer_that_comes_after_its_time() {
    let membership = membership(SUSPICION_TIMEOUT_MS);
    let status = || membership.view.lock().member(&LATE_HOST.into()).expect("a member").status();
    let probes = tokio::spawn(Arc::clone(&membership).run_probes());

    while status() != MemberStatus::Suspect {
        sleep(HEARTBEAT_INTERVAL / 4).await;
    }

    probes.abort();
    sleep(ANSWER_DELAY * 2).await;
    assert_eq!(status(), MemberStatus::Alive);
}

/// Guards against hosts that are declared dead, and whose shards are taken over, before they could answer, and against dead
/// hosts that are waited for.
#[tokio::test]
async fn suspects_keep_their_time_over_steps() {
    let host = LATE_HOST.into();
    for (timeout_ms, expected) in [(20_000, MemberStatus::Suspect), (50, MemberStatus::Dead)] {
        for step_ms in STEPS_MS {
            STEP_MS.set(0);
            let membership = membership(timeout_ms);
            membership.view.lock().record_probe_failure(steady_millis(), &host);
            STEP_MS.set(step_ms);
            sleep(Duration::from_millis(100)).await;
            membership.expire_suspects();
            let status = membership.view.lock().member(&host).expect("a member").status();
            assert_eq!(status, expected, "step {step_ms}, time to answer {timeout_ms} ms");
        }
    }
}
