//! Finds the software version at which a stream that a client takes up has to go on.
//!
//! See docs/design/platform.md, "Software versions".

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::entry::{
    EntryRequest, PlacementPool, RequestKind, ServiceRoute, TeamScope,
    mesh_queries::OriginSearch,
    peer_mesh::PeerMesh,
    stream_versions::{StreamOrigin, StreamVersions},
};

/// Version of the upstreams on which a request may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RequiredVersion {
    /// The request begins a stream, or has none.
    Any,
    /// The request goes on with a stream that this version has begun.
    Only(Arc<str>),
    /// The request goes on with a stream that no host knows, and upstreams of several versions serve.
    Unknown,
}

/// Looks for a stream in this host's memory, then at the other hosts, and last, if all of them have answered, among the versions
/// that serve.
#[derive(Debug)]
pub(crate) struct VersionFinder {
    pub(crate) streams: Arc<Mutex<StreamVersions>>,
    pub(crate) mesh: Arc<PeerMesh>,
    pub(crate) pool: Arc<PlacementPool>,
}

impl VersionFinder {
    /// Returns the version on which a request may run.
    pub(crate) async fn find(
        &self,
        request: &EntryRequest,
        scope: TeamScope<'_>,
        route: &ServiceRoute,
        service: &str,
    ) -> RequiredVersion {
        let is_stream = matches!(route.kind, RequestKind::Stream { .. });

        if !is_stream || request.last_event_id.is_none() {
            return RequiredVersion::Any;
        }

        let (version, source) = match self.find_origin(request, scope, route, service).await {
            Some((version, source)) => (RequiredVersion::Only(version), source),
            None => (RequiredVersion::Unknown, "nowhere"),
        };
        log::info!(
            request:% = request.id, resumed_request:? = request.resumed_request,
            after_event:? = request.last_event_id, version:?, found = source,
            took_ms = request.received.elapsed().as_millis() as u64;
            "a client takes up a stream"
        );
        version
    }

    /// Returns the version that has begun the stream, and where it was found.
    async fn find_origin(
        &self,
        request: &EntryRequest,
        scope: TeamScope<'_>,
        route: &ServiceRoute,
        service: &str,
    ) -> Option<(Arc<str>, &'static str)> {
        if let Some(origin) = request.resumed_request.as_ref().map(|it| scope.id(it)) {
            let known = self.streams.lock().get(&origin);
            let (found, source) = match known {
                Some(known) => (OriginSearch::Found(known), "here"),
                None => (self.mesh.find_stream_origin(&origin).await, "peer"),
            };

            match found {
                OriginSearch::Found(StreamOrigin::Version(version)) => {
                    return Some((version, source));
                }
                OriginSearch::Found(StreamOrigin::Disputed) => return None,
                OriginSearch::Nowhere => (),
                // This host's list may be behind that of a peer which it does not hear.
                OriginSearch::Incomplete { silent_count } => {
                    log::info!(request:% = request.id, silent_count; "peers that may have begun a stream do not answer");
                    return None;
                }
            }
        }

        let version = self.pool.sole_version(service, Instant::now(), route.stream_lifetime())?;
        Some((version, "sole version"))
    }
}
