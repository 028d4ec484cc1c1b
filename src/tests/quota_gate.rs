//! Exchange of reports between hosts, and requests that wait for it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
};

use async_trait::async_trait;
use futures_util::future::join_all;
use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep};

use super::entry_fakes::{ResponseStream, exchange_message};
use crate::{
    PeerError, PeerMessage, PeerStream, PeerTransport,
    entry::{
        QuotaTolerance,
        entry_metrics::EntryMetrics,
        mesh_peer::MeshIdentity,
        mesh_state::MeshState,
        peer_mesh::PeerMesh,
        quotas::{
            QuotaLimit, program_registry::ProgramRequest, quota_gate::QuotaGate,
            quota_token::QuotaToken,
        },
    },
};

/// Time of a message's way.
const LATENCY: Duration = Duration::from_millis(5);

/// What a peer does with reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PeerFault {
    /// It does not answer.
    Silent,
    /// Its build knows no quotas.
    OldBuild,
}

/// Network of hosts in memory.
#[derive(Debug, Default)]
struct HostNet {
    hosts: OnceLock<HashMap<SocketAddr, Arc<PeerMesh>>>,
    faults: Mutex<HashMap<SocketAddr, PeerFault>>,
    reports: AtomicU64,
}

#[async_trait]
impl PeerTransport for HostNet {
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
        peer: SocketAddr,
        first: &PeerMessage,
    ) -> Result<Box<dyn PeerStream>, PeerError> {
        self.reports.fetch_add(1, Ordering::Relaxed);
        sleep(LATENCY).await;
        let fault = self.faults.lock().get(&peer).copied();
        let response = match fault {
            None => {
                let host = &self.hosts.get().expect("the hosts are set")[&peer];
                exchange_message(host, first.clone()).await
            }
            Some(PeerFault::Silent) => std::future::pending().await,
            Some(PeerFault::OldBuild) => Some(PeerMessage::Refused { reason: "unknown".into() }),
        };
        sleep(LATENCY).await;
        Ok(Box::new(ResponseStream { response }))
    }
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], host as u16 + 1))
}

/// Starts hosts that know each other.
fn start(count: usize) -> (Arc<HostNet>, Vec<Arc<QuotaGate>>) {
    let net = Arc::new(HostNet::default());
    let mut hosts = HashMap::new();
    let mut gates = Vec::new();
    for index in 0..count {
        let name: Arc<str> = format!("host-{index}").into();
        let identity = MeshIdentity {
            host: Arc::clone(&name),
            address: address(index),
            region: "north".into(),
            writer: format!("{name}.1").into(),
        };
        let transport = Arc::clone(&net) as Arc<dyn PeerTransport>;
        let mesh = Arc::new(PeerMesh::new(identity, transport, MeshState::default()));
        (0..count).for_each(|it| {
            mesh.add_peer(format!("host-{it}").into(), address(it), "north".into());
        });
        hosts.insert(address(index), Arc::clone(&mesh));
        let metrics = Arc::new(EntryMetrics::new().expect("metrics"));
        gates.push(QuotaGate::start(QuotaTolerance::default(), &mesh, &metrics));
    }
    net.hosts.set(hosts).expect("set once");
    (net, gates)
}

const LIMIT: QuotaLimit = QuotaLimit { rate_per_s: 10.0, burst: 30, config_version: 1 };

/// Sends requests at once, spread over hosts. Returns how many got a token, and the latest answer.
async fn send(gates: &[Arc<QuotaGate>], count: usize) -> (usize, Duration) {
    let team: Arc<str> = "red".into();
    let begin = Instant::now();
    let requests = (0..count).map(|it| {
        let (gate, team) = (Arc::clone(&gates[it % gates.len()]), Arc::clone(&team));
        async move { gate.acquire(&team, LIMIT, begin + Duration::from_secs(3)).await.is_ok() }
    });
    let granted = join_all(requests).await.into_iter().filter(|it| *it).count();
    (granted, begin.elapsed())
}

/// Guards against hosts that each enforce the limit for themselves.
#[tokio::test(start_paused = true)]
async fn acquire_shares_one_bucket_between_hosts() {
    let (_net, gates) = start(4);
    gates.iter().for_each(|it| it.set_enabled(true));
    sleep(Duration::from_secs(8)).await;
    let (granted, took) = send(&gates, 200).await;
    assert!((36..=49).contains(&granted), "the burst and 0.9 of the slack: {granted}");
    assert!(took < Duration::from_millis(100), "refusals are sent at once: {took:?}");
    sleep(Duration::from_secs(8)).await;
    let (granted, _) = send(&gates[..1], 200).await;
    assert!((36..=49).contains(&granted), "one host gets all of it: {granted}");
}

/// Guards against messages of deployments without quotas.
#[tokio::test(start_paused = true)]
async fn run_sends_nothing_without_quotas() {
    let (net, gates) = start(3);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(net.reports.load(Ordering::Relaxed), 0);
    gates[0].set_enabled(true);
    sleep(Duration::from_secs(5)).await;
    let reports = net.reports.load(Ordering::Relaxed);
    assert!((10..40).contains(&reports), "2 peers, each every 400 ms: {reports}");
}

/// Guards against requests that wait for longer than 250 ms for owners that are gone, and against a host that refuses
/// everything from then on.
#[tokio::test(start_paused = true)]
async fn acquire_without_other_hosts_uses_its_own_part() {
    for fault in [PeerFault::Silent, PeerFault::OldBuild] {
        let (net, gates) = start(4);
        gates.iter().for_each(|it| it.set_enabled(true));
        sleep(Duration::from_secs(8)).await;
        {
            let mut faults = net.faults.lock();
            faults.extend((1..4).map(|it| (address(it), fault)));
            // The others would hand their part to this host while they can.
            faults.insert(address(0), PeerFault::Silent);
        }
        let (_, took) = send(&gates[..1], 20).await;
        assert!(took <= Duration::from_millis(251), "{took:?}");
        sleep(Duration::from_secs(8)).await;
        let (granted, _) = send(&gates[..1], 200).await;
        assert!((6..=12).contains(&granted), "a quarter of the burst and the slack: {granted}");
    }
}

/// Guards against a request that is told of another one's token after its client has gone away.
#[tokio::test(start_paused = true)]
async fn acquire_that_is_dropped_leaves_its_place() {
    let (_net, gates) = start(2);
    gates.iter().for_each(|it| it.set_enabled(true));
    sleep(Duration::from_secs(8)).await;
    let team: Arc<str> = "red".into();
    for gate in &gates {
        let deadline = Instant::now() + Duration::from_secs(3);
        let dropped = gate.acquire(&team, LIMIT, deadline);
        let _ = tokio::time::timeout(Duration::from_millis(1), dropped).await;
    }
    let (granted, _) = send(&gates, 10).await;
    assert_eq!(granted, 10);
}

/// Guards against requests of several windows that have got tokens, wait for an upstream during a stall, and then run at once.
#[tokio::test(start_paused = true)]
async fn acquire_counts_tokens_of_requests_that_wait_for_an_upstream() {
    let (_net, gates) = start(3);
    gates.iter().for_each(|it| it.set_enabled(true));
    sleep(Duration::from_secs(8)).await;
    let team: Arc<str> = "red".into();
    let mut tokens = Vec::new();
    for _ in 0..40 {
        for gate in &gates {
            let deadline = Instant::now() + Duration::from_secs(3);
            while let Ok(token) = gate.acquire(&team, LIMIT, deadline).await {
                tokens.push(token);
            }
        }
        sleep(Duration::from_millis(500)).await;
    }
    let allowed = QuotaTolerance::default().window_limit(LIMIT.rate_per_s, f64::from(LIMIT.burst));
    let count = tokens.len() as f64;
    assert!(count >= 30.0 && count <= allowed, "{count} requests run at once after 20 s");

    tokens.iter().for_each(QuotaToken::record_sent);
    sleep(Duration::from_secs(5)).await;
    let (granted, _) = send(&gates, 200).await;
    assert!(granted >= 30, "the bucket fills up again: {granted}");
}

/// Guards against a request of a program in progress that is refused although its token is there 100 ms later, and against one
/// that waits for a token which comes too late.
#[tokio::test(start_paused = true)]
async fn acquire_within_waits_for_an_imminent_token() {
    let (_net, gates) = start(1);
    gates[0].set_enabled(true);
    sleep(Duration::from_secs(8)).await;
    let team: Arc<str> = "red".into();
    let deadline = Instant::now() + Duration::from_secs(3);
    let refusal = loop {
        match gates[0].acquire(&team, LIMIT, deadline).await {
            Ok(_) => {}
            Err(refusal) => break refusal,
        }
    };
    assert!(refusal.retry_after <= Duration::from_millis(200), "{refusal}");

    let began_at = Instant::now();
    let patience = Duration::from_millis(250);
    assert!(gates[0].acquire_within(&team, LIMIT, deadline, patience).await.is_ok());
    assert!(began_at.elapsed() <= patience);
    for _ in 0..4 {
        let _ = gates[0].acquire(&team, LIMIT, deadline).await;
    }
    let began_at = Instant::now();
    let waiting = gates[0].acquire_within(&team, LIMIT, deadline, patience).await;
    assert!(waiting.is_err(), "others were told of the next tokens");
    assert_eq!(began_at.elapsed(), Duration::ZERO);
}

/// Guards against starts that are held back for longer than requests while no owner answers.
#[tokio::test(start_paused = true)]
async fn admit_lets_programs_in_while_no_owner_answers() {
    let (net, gates) = start(4);
    gates.iter().for_each(|it| it.set_enabled(true));
    sleep(Duration::from_secs(8)).await;
    net.faults.lock().extend((1..4).map(|it| (address(it), PeerFault::Silent)));
    for number in 0..4 {
        let request = ProgramRequest {
            program: number.to_string().into(),
            route: "chat".into(),
            is_turn: true,
            has_begun: false,
        };
        let deadline = Instant::now() + Duration::from_secs(3);
        let team: Arc<str> = format!("team-{number}").into();
        let began_at = Instant::now();
        let admitted = gates[0].admit(&team, LIMIT, &request, deadline).await;
        assert!(admitted.is_ok(), "{admitted:?}");
        assert!(began_at.elapsed() <= Duration::from_millis(251));
    }
}
