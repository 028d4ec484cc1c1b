//! Hosts as processes, with the platform, engines and a tool beside them.

use std::{fs, path::PathBuf, process::Command, sync::Arc, time::Duration};

use hyper::Method;
use ragwortknot_standins::{
    EngineClock, EngineOptions, EngineService, HostEntry, PlatformService, StandinServer,
    ToolService,
};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::time::Instant;

use super::{
    api_caller::ApiCaller,
    caller_workload::{CallerWorkload, HostAddresses},
    host_process::HostProcess,
    udp_relay::{CutLinks, UdpRelay},
};

/// Hosts of a whole cluster, two in each of three regions.
pub(crate) const SIX_HOSTS: [(&str, &str); 6] = [
    ("ub-1", "ub-a"),
    ("ub-2", "ub-a"),
    ("dk-1", "dk-a"),
    ("dk-2", "dk-a"),
    ("er-1", "er-a"),
    ("er-2", "er-a"),
];

/// Time in which a cluster comes to the state that a test waits for.
pub(crate) const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);

/// Shards of a test's cluster.
const SHARDS: usize = 12;

/// Keys of the two teams, and of the operators.
pub(crate) const TEAM_KEY: &str = "key-of-tuul";
pub(crate) const OTHER_TEAM_KEY: &str = "key-of-ebro";
pub(crate) const OPERATOR_KEY: &str = "key-of-operators";

/// A running cluster. Everything ends when it is dropped.
pub(crate) struct TestCluster {
    pub(crate) hosts: Vec<HostProcess>,
    pub(crate) platform: Arc<PlatformService>,
    pub(crate) engines: Vec<Arc<EngineService>>,
    pub(crate) tool: Arc<ToolService>,
    pub(crate) caller: ApiCaller,
    pub(crate) folder: PathBuf,
    /// Callers' addresses of the hosts that take requests.
    pub(crate) addresses: HostAddresses,
    /// Links between hosts that are cut.
    pub(crate) cuts: CutLinks,
    relays: Vec<UdpRelay>,
    platform_server: StandinServer,
    _servers: Vec<StandinServer>,
    extra: String,
}

fn hash(key: &str) -> String {
    format!("{:x}", Sha256::digest(key))
}

impl TestCluster {
    /// Starts the hosts, one engine for each region that they stand in, and a tool.
    pub(crate) async fn start(name: &str, hosts: &[(&str, &str)]) -> Self {
        Self::start_with(name, hosts, "", json!({})).await
    }

    /// Starts a cluster with more settings, and a patch on top of the test's configuration.
    pub(crate) async fn start_with(
        name: &str,
        hosts: &[(&str, &str)],
        extra: &str,
        patch: Value,
    ) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&folder);
        make_keys(&folder, hosts);
        let platform = Arc::new(PlatformService::default());
        let tool = Arc::new(ToolService::default());
        let any = "127.0.0.1:0";
        let platform_server =
            StandinServer::start(any, Arc::clone(&platform).router()).await.expect("a port");
        let tool_server =
            StandinServer::start(any, Arc::clone(&tool).router()).await.expect("a port");

        let mut regions: Vec<&str> = hosts.iter().map(|(_, region)| *region).collect();
        regions.dedup();
        let mut engines = Vec::new();
        let mut upstreams = json!({
            "ledger-1": {
                "region": regions[0], "model": "ledger-app", "url": tool_server.url(), "window": 64,
            },
        });
        let mut servers = vec![tool_server];

        for region in &regions {
            for index in 1..=2 {
                let name = format!("engine-{region}-{index}");
                let clock = EngineClock {
                    decode_per_token: Duration::from_millis(1),
                    ..EngineClock::default()
                };
                let options =
                    EngineOptions { name: name.clone(), clock, ..EngineOptions::default() };
                let engine = Arc::new(EngineService::new(options));
                let server =
                    StandinServer::start(any, Arc::clone(&engine).router()).await.expect("a port");
                upstreams[&name] = json!({
                    "region": region, "model": "agent-llm", "url": server.url(),
                    "checks_fencing": true,
                });
                engines.push(engine);
                servers.push(server);
            }
        }

        let extra = format!("[cluster]\nshards = {SHARDS}\n{extra}");
        let mut cluster = Self {
            hosts: Vec::new(),
            platform,
            engines,
            tool,
            caller: ApiCaller::new(TEAM_KEY),
            folder,
            addresses: HostAddresses::default(),
            cuts: CutLinks::default(),
            relays: Vec::new(),
            platform_server,
            _servers: servers,
            extra,
        };

        for (name, region) in hosts {
            cluster.start_host(name, region).await;
        }

        let config = json!({
            "teams": {
                "tuul": { "key_hash": hash(TEAM_KEY) },
                "ebro": { "key_hash": hash(OTHER_TEAM_KEY) },
            },
            "models": {
                "agent-llm": { "kind": "engine", "answer_tokens": 16 },
                "ledger-app": { "kind": "service", "status_path": "/status/{key}" },
            },
            "upstreams": upstreams,
        });

        cluster.wait_ready().await;
        assert_eq!(cluster.patch(0, 0, &config).await, 200);
        assert_eq!(cluster.patch(0, 1, &patch).await, 200);
        cluster.wait_number(2).await;
        cluster.wait_owned().await;
        cluster
    }

    /// Starts a host, and puts it on the platform's list.
    pub(crate) async fn start_host(&mut self, name: &str, region: &str) {
        let url = self.platform_server.url();
        let host = HostProcess::start(&self.folder, name, region, &url, &self.extra);

        let relay = UdpRelay::start(host.peers, Arc::clone(&self.cuts)).await;

        self.platform.set_host(HostEntry {
            name: name.to_owned(),
            region: region.to_owned(),
            peer_address: relay.address.to_string(),
            is_leaving: false,
        });

        self.relays.push(relay);
        self.hosts.retain(|it| it.name != name);
        self.hosts.push(host);
    }

    /// Ends a host at once, and takes it from the balancer.
    pub(crate) fn kill_host(&mut self, name: &str) {
        let callers = self.host(name).callers;
        self.host_mut(name).kill();
        self.remove_address(callers);
    }

    /// Adds a host that is ready to the balancer.
    fn add_address(&self, callers: std::net::SocketAddr) {
        let mut addresses = self.addresses.write().expect("no panic");

        if !addresses.contains(&callers) {
            addresses.push(callers);
        }
    }

    /// Takes a host from the balancer.
    pub(crate) fn remove_address(&self, callers: std::net::SocketAddr) {
        self.addresses.write().expect("no panic").retain(|it| *it != callers);
    }

    /// Cuts the way from one host to another, in this direction alone.
    pub(crate) fn cut(&self, from: &str, to: &str) {
        let link = (self.host(from).peers, self.host(to).peers);
        self.cuts.lock().expect("no panic").insert(link);
    }

    pub(crate) fn heal(&self) {
        self.cuts.lock().expect("no panic").clear();
    }

    /// Names of the hosts that run.
    pub(crate) fn names(&self) -> Vec<String> {
        self.hosts.iter().map(|host| host.name.clone()).collect()
    }

    /// A caller that drives programs.
    pub(crate) fn workload(&self, seed: u64) -> CallerWorkload {
        CallerWorkload::new(&self.caller, &self.addresses, seed)
    }

    pub(crate) fn host(&self, name: &str) -> &HostProcess {
        self.hosts.iter().find(|host| host.name == name).expect("a host of this name")
    }

    pub(crate) fn host_mut(&mut self, name: &str) -> &mut HostProcess {
        self.hosts.iter_mut().find(|host| host.name == name).expect("a host of this name")
    }

    /// Patches the configuration through a host, and gives the status.
    pub(crate) async fn patch(&self, host: usize, number: u64, patch: &Value) -> u16 {
        let operator = ApiCaller::new(OPERATOR_KEY);
        let number = number.to_string();
        let address = self.hosts[host].operators;

        let answer = operator
            .send(
                address,
                Method::PATCH,
                "/admin/v1/config",
                &[("if-match", &number)],
                patch.to_string(),
            )
            .await;

        answer.map_or(0, |answer| answer.status)
    }

    /// Reads a path of the operators' API.
    pub(crate) async fn admin(&self, host: &HostProcess, path: &str) -> Value {
        let operator = ApiCaller::new(OPERATOR_KEY);
        let answer = operator.send_json(host.operators, Method::GET, path, &Value::Null).await;
        answer.map_or(Value::Null, |answer| answer.body)
    }

    /// Name of the host that owns a program's shard, as the hosts say.
    pub(crate) async fn owner(&self, program: &str) -> String {
        let shard = &program[2..6];
        let deadline = Instant::now() + SETTLE_TIMEOUT;

        while Instant::now() < deadline {
            for host in &self.hosts {
                let shards = self.admin(host, "/admin/v1/shards").await;
                let rows = shards["shards"].as_array().cloned().unwrap_or_default();
                let row = rows.iter().find(|row| row["shard"] == shard);

                if row.is_some_and(|row| row["programs"].is_u64()) {
                    return host.name.clone();
                }
            }

            tokio::time::sleep(Duration::from_millis(50)).await;
        }

        panic!("nobody owns shard {shard}");
    }

    pub(crate) async fn wait_ready(&self) {
        for host in &self.hosts {
            let wait = async {
                loop {
                    let answer =
                        self.caller.send_json(host.callers, Method::GET, "/readyz", &Value::Null);

                    if answer.await.is_some_and(|answer| answer.status == 200) {
                        return self.add_address(host.callers);
                    }

                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };

            let waited = tokio::time::timeout(SETTLE_TIMEOUT, wait).await;
            assert!(waited.is_ok(), "host {} does not become ready", host.name);
        }
    }

    /// Waits until every host has a number of the configuration.
    pub(crate) async fn wait_number(&self, number: u64) {
        let deadline = Instant::now() + SETTLE_TIMEOUT;

        for host in &self.hosts {
            while self.admin(host, "/admin/v1/config").await["number"].as_u64() < Some(number) {
                assert!(Instant::now() < deadline, "host {} lacks number {number}", host.name);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits until all hosts know all others to be serving, and every shard has an owner that all hosts know.
    pub(crate) async fn wait_owned(&self) {
        let deadline = Instant::now() + SETTLE_TIMEOUT;

        for host in &self.hosts {
            loop {
                let hosts = self.admin(host, "/admin/v1/hosts").await;
                let rows = hosts["hosts"].as_array().cloned().unwrap_or_default();
                let is_serving =
                    |row: &&Value| row["phase"] == "serving" && row["status"] == "alive";
                let serving = rows.iter().filter(is_serving).count();

                if serving == self.hosts.len() {
                    break;
                }

                assert!(Instant::now() < deadline, "hosts are not known: {rows:?}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }

        for host in &self.hosts {
            loop {
                let shards = self.admin(host, "/admin/v1/shards").await;
                let rows = shards["shards"].as_array().cloned().unwrap_or_default();

                if rows.len() == SHARDS && rows.iter().all(|row| row["host"].is_string()) {
                    break;
                }

                assert!(Instant::now() < deadline, "shards have no owner: {rows:?}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

fn make_keys(folder: &std::path::Path, hosts: &[(&str, &str)]) {
    let status = Command::new(env!("CARGO_BIN_EXE_ragwortknot"))
        .arg("keys")
        .arg(folder)
        .args(hosts.iter().map(|(name, _)| *name))
        .status()
        .expect("the command line starts");

    assert!(status.success(), "the keys are made");
    fs::write(folder.join("operator.hash"), hash(OPERATOR_KEY)).expect("a file");
}
