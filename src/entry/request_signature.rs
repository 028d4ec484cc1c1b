//! Hashes by which a request that has crashed upstreams is recognised when it comes again.
//!
//! See docs/design/platform.md, "Requests that crash upstreams".

use std::sync::Arc;

use xxhash_rust::xxh3::Xxh3;

use crate::entry::{EntryRequest, Team, TeamScope};

/// What a request has in common with others that crash the same upstreams. Teams share no signature, so that one team's
/// crashes refuse nothing to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RequestSignature {
    /// Hash of the host, the target and the body. Hosts of all builds compute the same.
    pub(crate) content: u64,
    /// Hash of the host, the method and the target.
    pub(crate) target: u64,
    /// Whether the request has a body, so that others at its target may differ from it.
    pub(crate) has_body: bool,
}

impl RequestSignature {
    pub(crate) fn new(request: &EntryRequest, team: Option<&Arc<Team>>) -> Self {
        let host = TeamScope::new(team).id(&request.host);

        let mut hasher = Xxh3::new();
        hasher.update(host.as_bytes());
        hasher.update(request.target.as_bytes());
        hasher.update(&request.body);
        // Requests with an empty body would all share one hash, so the program is included.
        if request.body.is_empty()
            && let Some(program) = &request.program
        {
            hasher.update(program.id.as_bytes());
        }
        let content = hasher.digest();

        let mut hasher = Xxh3::new();
        for part in [host.as_bytes(), request.method.as_str().as_bytes(), request.target.as_bytes()]
        {
            hasher.update(part);
            hasher.update(b"\n");
        }
        Self { content, target: hasher.digest(), has_body: !request.body.is_empty() }
    }
}
