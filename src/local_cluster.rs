//! The whole path in one process: stand-ins in memory, and a host before them.

use std::{sync::Arc, time::Duration};

use eyre::Result;
use ragwortknot_standins::{
    EngineOptions, EngineService, HostEntry, PlatformService, StandinServer, ToolService,
};
use serde_json::{Map, Value, json};

use crate::{
    KeyFiles, Node, NodeSettings, Problem,
    config_document::key_hash,
    http_client::http_client,
    key_files::{KeyAuthority, random_key},
};

/// Engines of a local cluster.
const ENGINE_COUNT: usize = 3;

/// Shards of a local cluster.
const SHARD_COUNT: u16 = 4;

/// Time that a local cluster takes to become ready at the most.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Port that a local cluster listens on for callers, unless another is asked for.
pub(crate) const LOCAL_ADDRESS: &str = "127.0.0.1:0";

/// A host with its stand-ins. They end with it.
#[derive(Debug)]
pub(crate) struct LocalCluster {
    pub(crate) node: Arc<Node>,
    pub(crate) team_key: String,
    pub(crate) operator_key: String,
    _servers: Vec<StandinServer>,
}

impl LocalCluster {
    /// Starts everything, and waits until the host is ready.
    pub(crate) async fn start(callers_address: &str) -> Result<Self> {
        let platform = Arc::new(PlatformService::default());
        let platform_server =
            StandinServer::start(LOCAL_ADDRESS, Arc::clone(&platform).router()).await?;
        let tool = Arc::new(ToolService::default());
        let tool_server = StandinServer::start(LOCAL_ADDRESS, tool.router()).await?;
        let operator_key = random_key();
        let team_key = random_key();
        let settings = settings(&platform_server.url(), &operator_key, callers_address)?;
        let mut servers = vec![platform_server, tool_server];
        let tool_url = servers[1].url();
        let mut upstreams = Map::new();

        for index in 1..=ENGINE_COUNT {
            let name = format!("engine-{index}");
            let options = EngineOptions { name: name.clone(), ..EngineOptions::default() };
            let engine = Arc::new(EngineService::new(options));
            let server = StandinServer::start(LOCAL_ADDRESS, engine.router()).await?;
            upstreams.insert(name, upstream(&server.url(), "agent-llm", true));
            servers.push(server);
        }

        upstreams.insert("ledger-1".into(), upstream(&tool_url, "ledger-app", false));
        let node = Node::start(settings).await?;

        platform.set_host(HostEntry {
            name: "local".into(),
            region: "local".into(),
            peer_address: node.addresses.peers.to_string(),
            is_leaving: false,
        });

        let patch = json!({
            "teams": { "trial": { "key_hash": key_hash(&team_key) } },
            "models": {
                "agent-llm": { "kind": "engine" },
                "ledger-app": { "kind": "service", "status_path": "/status/{key}" },
            },
            "upstreams": upstreams,
        });

        let cluster = Self { node, team_key, operator_key, _servers: servers };
        cluster.node.config.patch(0, &patch).await.map_err(report)?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Base address for clients of the chat-completions protocol.
    pub(crate) fn base_url(&self) -> String {
        format!("http://{}/v1", self.node.addresses.callers)
    }

    async fn wait_ready(&self) -> Result<()> {
        let client = http_client(READY_TIMEOUT);
        let uri: hyper::Uri = format!("http://{}/readyz", self.node.addresses.callers).parse()?;

        let ready = async {
            let is_owning = || !self.node.shards.shards().is_empty();

            while !is_owning()
                || !client.get(uri.clone()).await.is_ok_and(|it| it.status().is_success())
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };

        tokio::time::timeout(READY_TIMEOUT, ready).await?;
        Ok(())
    }
}

fn report(problem: Problem) -> eyre::Report {
    eyre::eyre!("{problem}")
}

fn upstream(url: &str, model: &str, checks_fencing: bool) -> Value {
    json!({
        "region": "local",
        "model": model,
        "url": url,
        "checks_fencing": checks_fencing,
    })
}

fn settings(platform_url: &str, operator_key: &str, callers: &str) -> Result<NodeSettings> {
    let keys: KeyFiles = KeyAuthority::generate()?.issue("local")?;

    Ok(NodeSettings {
        host: "local".into(),
        region: "local".into(),
        data_centre: "local".into(),
        callers_address: callers.parse()?,
        operators_address: LOCAL_ADDRESS.parse()?,
        peers_address: LOCAL_ADDRESS.parse()?,
        platform_url: platform_url.into(),
        platform_timeout: Duration::from_secs(2),
        platform_calls_per_second: 500,
        keys,
        operator_key_hash: key_hash(operator_key),
        receipt_key: random_key().into(),
        shards: SHARD_COUNT,
        heartbeat_interval: Duration::from_millis(300),
        suspect_after: Duration::from_millis(1_200),
        host_list_interval: Duration::from_secs(2),
        drain_timeout: Duration::from_secs(5),
        commit_patience: Duration::from_secs(3),
        body_limit_bytes: 512 << 10,
        log_filter: "info".into(),
    })
}
