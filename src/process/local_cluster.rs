//! A cluster in one process: hosts with an in-memory stand-in platform, tool service and engines.

use std::{sync::Arc, time::Duration};

use eyre::Result;
use ragwortknot_standins::{
    CallCounts, EngineOptions, EngineService, HostEntry, PlatformService, StandinServer,
    ToolService,
};
use serde_json::{Map, Value, json};

use crate::{
    HostPhase, KeyFiles, Node, NodeSettings, Problem,
    configuration::config_document::key_hash,
    membership::key_files::{CertificateAuthority, random_key},
};

/// Number of shards of a local cluster.
const SHARD_COUNT: u16 = 16;

/// Region and data centre of every host and upstream of a local cluster.
const REGION: &str = "local";

/// How long the hosts may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Loopback address with a free port that the system chooses.
pub(crate) const LOOPBACK_ADDRESS: &str = "127.0.0.1:0";

/// Size and address of a local cluster.
#[derive(Clone, Debug)]
pub(crate) struct LocalOptions {
    /// Address of the first host's API for callers. The other hosts use free ports.
    pub(crate) callers_address: String,
    /// Number of hosts, at least one.
    pub(crate) hosts: usize,
    /// Number of stand-in engines.
    pub(crate) engines: usize,
    /// Requests that each engine runs concurrently.
    pub(crate) slots: usize,
}

impl Default for LocalOptions {
    fn default() -> Self {
        Self { callers_address: LOOPBACK_ADDRESS.into(), hosts: 1, engines: 3, slots: 8 }
    }
}

/// Running hosts and the stand-in servers that they use.
#[derive(Debug)]
pub(crate) struct LocalCluster {
    pub(crate) nodes: Vec<Arc<Node>>,
    pub(crate) engine_urls: Vec<String>,
    pub(crate) team_key: String,
    pub(crate) operator_key: String,
    platform: Arc<PlatformService>,
    servers: Vec<StandinServer>,
}

impl LocalCluster {
    /// Starts the stand-ins and the hosts, applies the configuration, and waits until the hosts are ready. Fails if a
    /// server can't be started or the hosts aren't ready within [`READY_TIMEOUT`].
    pub(crate) async fn start(options: &LocalOptions) -> Result<Self> {
        let platform = Arc::new(PlatformService::default());
        let platform_server =
            StandinServer::start(LOOPBACK_ADDRESS, Arc::clone(&platform).router()).await?;
        let tool = Arc::new(ToolService::default());
        let tool_server = StandinServer::start(LOOPBACK_ADDRESS, tool.router()).await?;
        let platform_url = platform_server.url();
        let tool_url = tool_server.url();

        let mut cluster = Self {
            nodes: Vec::new(),
            engine_urls: Vec::new(),
            team_key: random_key(),
            operator_key: random_key(),
            platform,
            servers: vec![platform_server, tool_server],
        };

        cluster.start_engines(options).await?;
        cluster.start_nodes(options, &platform_url).await?;
        let patch = cluster.config_patch(options, &tool_url);
        cluster.first_node().config.patch(0, &patch).await.map_err(problem_report)?;
        let readiness = tokio::time::timeout(READY_TIMEOUT, cluster.wait_until_ready());
        readiness.await??;
        Ok(cluster)
    }

    /// The host whose addresses callers and operators are given.
    pub(crate) fn first_node(&self) -> &Arc<Node> {
        &self.nodes[0]
    }

    /// Base URL of the API for callers, as clients of the chat completions protocol expect it.
    pub(crate) fn base_url(&self) -> String {
        format!("http://{}/v1", self.first_node().addresses.callers)
    }

    /// Numbers of calls that the stand-in platform has received so far.
    pub(crate) fn platform_counts(&self) -> CallCounts {
        self.platform.counts()
    }

    async fn start_engines(&mut self, options: &LocalOptions) -> Result<()> {
        for index in 1..=options.engines {
            let name = format!("engine-{index}");
            let slots = options.slots;
            let engine = EngineService::new(EngineOptions { name, slots, ..Default::default() });
            let server = StandinServer::start(LOOPBACK_ADDRESS, Arc::new(engine).router()).await?;
            self.engine_urls.push(server.url());
            self.servers.push(server);
        }

        Ok(())
    }

    async fn start_nodes(&mut self, options: &LocalOptions, platform_url: &str) -> Result<()> {
        let authority = CertificateAuthority::generate()?;
        let receipt_key: Arc<str> = random_key().into();

        for index in 0..options.hosts {
            let name = if index == 0 { "local".into() } else { format!("local-{index}") };
            let callers = if index == 0 { &*options.callers_address } else { LOOPBACK_ADDRESS };
            let keys = authority.issue(&name)?;
            let settings =
                node_settings(&name, keys, &receipt_key, platform_url, &self.operator_key);
            let node = Node::start(NodeSettings { callers_address: callers.parse()?, ..settings? });
            let node = node.await?;

            self.platform.set_host(HostEntry {
                name,
                region: REGION.into(),
                peer_address: node.addresses.peers.to_string(),
                is_leaving: false,
            });

            self.nodes.push(node);
        }

        Ok(())
    }

    /// Patch that adds the team, the models and the upstreams to the empty configuration.
    fn config_patch(&self, options: &LocalOptions, tool_url: &str) -> Value {
        let mut upstreams = Map::new();

        for (index, url) in self.engine_urls.iter().enumerate() {
            let engine = upstream_json(url, "agent-llm", true, options.slots);
            upstreams.insert(format!("engine-{}", index + 1), engine);
        }

        upstreams.insert("ledger-1".into(), upstream_json(tool_url, "ledger-app", false, 8));

        json!({
            "teams": { "trial": { "key_hash": key_hash(&self.team_key) } },
            "models": {
                "agent-llm": { "kind": "engine" },
                "ledger-app": { "kind": "service", "status_path": "/status/{key}" },
            },
            "upstreams": upstreams,
        })
    }

    /// Waits until every host serves, has a configuration and owns a shard, and together they own [`SHARD_COUNT`].
    async fn wait_until_ready(&self) -> Result<()> {
        let owned_count =
            || self.nodes.iter().map(|node| node.shards.shards().len()).sum::<usize>();

        let is_ready = || {
            let mut nodes = self.nodes.iter();
            owned_count() == usize::from(SHARD_COUNT)
                && nodes.all(|node| {
                    node.phase() == HostPhase::Serving
                        && node.config.number() > 0
                        && !node.shards.shards().is_empty()
                })
        };

        while !is_ready() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }

        Ok(())
    }
}

fn problem_report(problem: Problem) -> eyre::Report {
    eyre::eyre!("{problem}")
}

fn upstream_json(url: &str, model: &str, checks_fencing: bool, window: usize) -> Value {
    json!({
        "region": REGION,
        "window": window,
        "model": model,
        "url": url,
        "checks_fencing": checks_fencing,
    })
}

fn node_settings(
    name: &str,
    keys: KeyFiles,
    receipt_key: &Arc<str>,
    platform_url: &str,
    operator_key: &str,
) -> Result<NodeSettings> {
    Ok(NodeSettings {
        host: name.into(),
        region: REGION.into(),
        data_centre: REGION.into(),
        callers_address: LOOPBACK_ADDRESS.parse()?,
        operators_address: LOOPBACK_ADDRESS.parse()?,
        peers_address: LOOPBACK_ADDRESS.parse()?,
        platform_url: platform_url.into(),
        platform_timeout: Duration::from_secs(2),
        platform_calls_per_second: 500,
        keys,
        operator_key_hash: key_hash(operator_key),
        receipt_key: Arc::clone(receipt_key),
        shard_count: SHARD_COUNT,
        append_rate: 40,
        heartbeat_interval: Duration::from_millis(300),
        suspect_after: Duration::from_millis(1_200),
        host_list_interval: Duration::from_secs(2),
        drain_timeout: Duration::from_secs(5),
        commit_timeout: Duration::from_secs(3),
        body_limit_bytes: 512 << 10,
        log_filter: "info".into(),
    })
}
