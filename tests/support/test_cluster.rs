//! A cluster of host processes. The stand-ins of the platform, the engines and a tool run in the test's own process.

use std::{fs, path::PathBuf, process::Command, sync::Arc, time::Duration};

use hyper::Method;
use ragwortknot_standins::{
    EngineOptions, EngineService, EngineTimings, HostEntry, PlatformService, StandinServer,
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

/// Names and regions of the hosts of a full cluster, two in each of three regions.
pub(crate) const SIX_HOSTS: [(&str, &str); 6] = [
    ("ub-1", "ub-a"),
    ("ub-2", "ub-a"),
    ("dk-1", "dk-a"),
    ("dk-2", "dk-a"),
    ("er-1", "er-a"),
    ("er-2", "er-a"),
];

/// How long a cluster may take to reach a state that a test waits for.
pub(crate) const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);

/// Number of shards of a test cluster.
const SHARD_COUNT: usize = 12;

/// Key of the team `tuul`, which the cluster's caller uses.
pub(crate) const TEAM_KEY: &str = "key-of-tuul";
/// Key of the team `ebro`.
pub(crate) const OTHER_TEAM_KEY: &str = "key-of-ebro";
/// Key of the operators.
pub(crate) const OPERATOR_KEY: &str = "key-of-operators";

/// A running cluster. Its processes, relays and servers stop when it is dropped.
pub(crate) struct TestCluster {
    pub(crate) hosts: Vec<HostProcess>,
    pub(crate) platform: Arc<PlatformService>,
    pub(crate) engines: Vec<Arc<EngineService>>,
    pub(crate) tool: Arc<ToolService>,
    pub(crate) caller: ApiCaller,
    /// Folder of the hosts' settings, keys and logs.
    pub(crate) folder: PathBuf,
    /// Callers' addresses of the hosts that the load balancer sends requests to.
    pub(crate) addresses: HostAddresses,
    /// Links between hosts that are cut.
    pub(crate) cut_links: CutLinks,
    relays: Vec<UdpRelay>,
    platform_server: StandinServer,
    _standin_servers: Vec<StandinServer>,
    extra_settings: String,
}

/// SHA-256 of a key in hexadecimal, as settings and the configuration hold it.
fn hash_key(key: &str) -> String {
    format!("{:x}", Sha256::digest(key))
}

impl TestCluster {
    /// Starts the hosts, two engines in each of their regions, and a tool.
    pub(crate) async fn start(name: &str, hosts: &[(&str, &str)]) -> Self {
        Self::start_with(name, hosts, "", json!({})).await
    }

    /// Starts a cluster with additional settings of the hosts and with a patch on top of the base configuration, which
    /// is number 2 then.
    pub(crate) async fn start_with(
        name: &str,
        hosts: &[(&str, &str)],
        extra_settings: &str,
        patch: Value,
    ) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&folder);
        create_keys(&folder, hosts);
        let platform = Arc::new(PlatformService::default());
        let tool = Arc::new(ToolService::default());
        let any_port = "127.0.0.1:0";
        let platform_server = StandinServer::start(any_port, Arc::clone(&platform).router())
            .await
            .expect("a port should be available");
        let tool_server = StandinServer::start(any_port, Arc::clone(&tool).router())
            .await
            .expect("a port should be available");

        let mut regions: Vec<&str> = hosts.iter().map(|(_, region)| *region).collect();
        regions.dedup();
        let mut engines = Vec::new();
        let mut upstreams = json!({
            "ledger-1": {
                "region": regions[0], "model": "ledger-app", "url": tool_server.url(), "window": 64,
            },
        });
        let mut standin_servers = vec![tool_server];

        for region in &regions {
            for index in 1..=2 {
                let name = format!("engine-{region}-{index}");
                let timings = EngineTimings {
                    decode_per_token: Duration::from_millis(1),
                    ..EngineTimings::default()
                };
                let options =
                    EngineOptions { name: name.clone(), timings, ..EngineOptions::default() };
                let engine = Arc::new(EngineService::new(options));
                let server = StandinServer::start(any_port, Arc::clone(&engine).router())
                    .await
                    .expect("a port should be available");
                upstreams[&name] = json!({
                    "region": region, "model": "agent-llm", "url": server.url(),
                    "checks_fencing": true,
                });
                engines.push(engine);
                standin_servers.push(server);
            }
        }

        let extra_settings = format!("[cluster]\nshards = {SHARD_COUNT}\n{extra_settings}");
        let mut cluster = Self {
            hosts: Vec::new(),
            platform,
            engines,
            tool,
            caller: ApiCaller::new(TEAM_KEY),
            folder,
            addresses: HostAddresses::default(),
            cut_links: CutLinks::default(),
            relays: Vec::new(),
            platform_server,
            _standin_servers: standin_servers,
            extra_settings,
        };

        for (name, region) in hosts {
            cluster.start_host(name, region).await;
        }

        let config = json!({
            "teams": {
                "tuul": { "key_hash": hash_key(TEAM_KEY) },
                "ebro": { "key_hash": hash_key(OTHER_TEAM_KEY) },
            },
            "models": {
                "agent-llm": { "kind": "engine", "answer_tokens": 16 },
                "ledger-app": { "kind": "service", "status_path": "/status/{key}" },
            },
            "upstreams": upstreams,
        });

        cluster.wait_for_readiness().await;
        assert_eq!(cluster.patch_config(0, 0, &config).await, 200);
        assert_eq!(cluster.patch_config(0, 1, &patch).await, 200);
        cluster.wait_for_config_number(2).await;
        cluster.wait_for_convergence().await;
        cluster
    }

    /// Starts a host, or one again that has ended, and puts it on the platform's host list. Other hosts reach it
    /// through a new relay.
    pub(crate) async fn start_host(&mut self, name: &str, region: &str) {
        let url = self.platform_server.url();
        let host = HostProcess::start(&self.folder, name, region, &url, &self.extra_settings);

        let relay = UdpRelay::start(host.peers, Arc::clone(&self.cut_links)).await;

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

    /// Kills a host, and removes it from the load balancer.
    pub(crate) fn kill_host(&mut self, name: &str) {
        let callers = self.host(name).callers;
        self.host_mut(name).kill();
        self.remove_address(callers);
    }

    /// Adds a host to the load balancer.
    fn add_address(&self, callers: std::net::SocketAddr) {
        let mut addresses = self.addresses.write().expect("the lock should not be poisoned");

        if !addresses.contains(&callers) {
            addresses.push(callers);
        }
    }

    /// Removes a host from the load balancer.
    pub(crate) fn remove_address(&self, callers: std::net::SocketAddr) {
        self.addresses
            .write()
            .expect("the lock should not be poisoned")
            .retain(|it| *it != callers);
    }

    /// Cuts the link from one host to another, in this direction alone.
    pub(crate) fn cut_link(&self, from: &str, to: &str) {
        let link = (self.host(from).peers, self.host(to).peers);
        self.cut_links.lock().expect("the lock should not be poisoned").insert(link);
    }

    /// Restores all links that were cut.
    pub(crate) fn restore_links(&self) {
        self.cut_links.lock().expect("the lock should not be poisoned").clear();
    }

    /// Names of the cluster's hosts.
    pub(crate) fn host_names(&self) -> Vec<String> {
        self.hosts.iter().map(|host| host.name.clone()).collect()
    }

    /// A workload whose random choices follow from the seed.
    pub(crate) fn workload(&self, seed: u64) -> CallerWorkload {
        CallerWorkload::new(&self.caller, &self.addresses, seed)
    }

    pub(crate) fn host(&self, name: &str) -> &HostProcess {
        self.hosts
            .iter()
            .find(|host| host.name == name)
            .expect("the cluster should have a host of this name")
    }

    pub(crate) fn host_mut(&mut self, name: &str) -> &mut HostProcess {
        self.hosts
            .iter_mut()
            .find(|host| host.name == name)
            .expect("the cluster should have a host of this name")
    }

    /// Patches the configuration of the given number through a host. Returns the HTTP status, or 0 without a response.
    pub(crate) async fn patch_config(&self, host_index: usize, number: u64, patch: &Value) -> u16 {
        let operator = ApiCaller::new(OPERATOR_KEY);
        let number = number.to_string();
        let address = self.hosts[host_index].operators;

        let response = operator
            .send(
                address,
                Method::PATCH,
                "/admin/v1/config",
                &[("if-match", &number)],
                patch.to_string(),
            )
            .await;

        response.map_or(0, |response| response.status)
    }

    /// Reads a path of the operators' API. Returns `null` if there was no response.
    pub(crate) async fn read_admin(&self, host: &HostProcess, path: &str) -> Value {
        let operator = ApiCaller::new(OPERATOR_KEY);
        let response = operator.send_json(host.operators, Method::GET, path, &Value::Null).await;
        response.map_or(Value::Null, |response| response.body)
    }

    /// Name of the host that owns a program's shard. Only the owner of a shard reports how many programs it has.
    pub(crate) async fn owner(&self, program: &str) -> String {
        let shard = &program[2..6];
        let deadline = Instant::now() + SETTLE_TIMEOUT;

        while Instant::now() < deadline {
            for host in &self.hosts {
                let shards = self.read_admin(host, "/admin/v1/shards").await;
                let rows = shards["shards"].as_array().cloned().unwrap_or_default();
                let row = rows.iter().find(|row| row["shard"] == shard);

                if row.is_some_and(|row| row["programs"].is_u64()) {
                    return host.name.clone();
                }
            }

            tokio::time::sleep(Duration::from_millis(50)).await;
        }

        panic!("no host has reported that it owns shard {shard} within {SETTLE_TIMEOUT:?}");
    }

    /// Waits until every host is ready, and adds each to the load balancer.
    pub(crate) async fn wait_for_readiness(&self) {
        for host in &self.hosts {
            let wait_for_host = async {
                loop {
                    let response =
                        self.caller.send_json(host.callers, Method::GET, "/readyz", &Value::Null);

                    if response.await.is_some_and(|response| response.status == 200) {
                        return self.add_address(host.callers);
                    }

                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };

            let result = tokio::time::timeout(SETTLE_TIMEOUT, wait_for_host).await;
            assert!(result.is_ok(), "host {} is not ready after {SETTLE_TIMEOUT:?}", host.name);
        }
    }

    /// Waits until every host has the configuration of this number, or a later one.
    pub(crate) async fn wait_for_config_number(&self, number: u64) {
        let deadline = Instant::now() + SETTLE_TIMEOUT;

        for host in &self.hosts {
            while self.read_admin(host, "/admin/v1/config").await["number"].as_u64() < Some(number)
            {
                assert!(
                    Instant::now() < deadline,
                    "host {} has no configuration {number} after {SETTLE_TIMEOUT:?}",
                    host.name
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits until every host sees all hosts as alive and serving, and an owner of every shard.
    pub(crate) async fn wait_for_convergence(&self) {
        let deadline = Instant::now() + SETTLE_TIMEOUT;

        for host in &self.hosts {
            loop {
                let hosts = self.read_admin(host, "/admin/v1/hosts").await;
                let rows = hosts["hosts"].as_array().cloned().unwrap_or_default();
                let is_serving =
                    |row: &&Value| row["phase"] == "serving" && row["status"] == "alive";
                let serving_count = rows.iter().filter(is_serving).count();

                if serving_count == self.hosts.len() {
                    break;
                }

                assert!(
                    Instant::now() < deadline,
                    "a host does not see all hosts as alive and serving: {rows:?}"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }

        for host in &self.hosts {
            loop {
                let shards = self.read_admin(host, "/admin/v1/shards").await;
                let rows = shards["shards"].as_array().cloned().unwrap_or_default();

                if rows.len() == SHARD_COUNT && rows.iter().all(|row| row["host"].is_string()) {
                    break;
                }

                assert!(
                    Instant::now() < deadline,
                    "a host does not see an owner of every shard: {rows:?}"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Creates the keys and certificates of the hosts, with the command line.
fn create_keys(folder: &std::path::Path, hosts: &[(&str, &str)]) {
    let status = Command::new(env!("CARGO_BIN_EXE_ragwortknot"))
        .arg("keys")
        .arg(folder)
        .args(hosts.iter().map(|(name, _)| *name))
        .status()
        .expect("ragwortknot should start");

    assert!(status.success(), "`ragwortknot keys` ended with {status}");
    fs::write(folder.join("operator.hash"), hash_key(OPERATOR_KEY))
        .expect("the hash of the operators' key should be writable");
}
