//! Software versions of the upstreams that have begun streams.
//!
//! A stream may go on only at the version that began it, also when its client takes it up at another host. See
//! docs/design/platform.md, "Software versions".

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

/// Most streams that are remembered. The one that is forgotten next anyway makes room.
const MAX_STREAMS: usize = 65_536;

/// Most versions that are remembered of one stream. A second one already makes its origin disputed.
const MAX_VERSIONS: usize = 2;

/// Time between two removals of streams that are over.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// A stream whose first event has been sent to a client.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct BegunStream {
    /// Id of the client's attempt that has brought the first event.
    pub(crate) request: Arc<str>,
    pub(crate) software_version: Arc<str>,
    /// Time for which the client may take the stream up.
    pub(crate) lifetime: Duration,
}

/// What is known of the version at which a stream has begun.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum StreamOrigin {
    /// The stream has begun at this version only.
    Version(Arc<str>),
    /// The request was forwarded again after a host was lost, and began at another version. Which of them the client has
    /// received is not known.
    Disputed,
}

impl StreamOrigin {
    /// What this host and another one know together.
    pub(crate) fn merge(self, other: Self) -> Self {
        if self == other { self } else { Self::Disputed }
    }
}

#[derive(Debug)]
struct KnownStream {
    /// Versions at which the stream has begun; not empty.
    software_versions: Vec<Arc<str>>,
    expires_at: Instant,
    is_local: bool,
}

/// Streams that clients may take up, begun on this host or reported by others.
#[derive(Debug, Default)]
pub(crate) struct StreamVersions {
    streams: HashMap<Arc<str>, KnownStream>,
    /// Streams that the other hosts have not been told of.
    unreported: Vec<BegunStream>,
    next_prune: Option<Instant>,
}

impl StreamVersions {
    /// Where a stream has begun, if that is known.
    pub(crate) fn get(&self, request: &str) -> Option<StreamOrigin> {
        let known = self.streams.get(request)?;

        Some(match known.software_versions.as_slice() {
            [version] => StreamOrigin::Version(Arc::clone(version)),
            _ => StreamOrigin::Disputed,
        })
    }

    /// Adds a stream that this host has begun.
    pub(crate) fn add(&mut self, now: Instant, stream: BegunStream) {
        if self.insert(now, &stream, true) {
            self.unreported.push(stream);
        }
    }

    /// Adds a stream that another host has begun.
    pub(crate) fn merge(&mut self, now: Instant, stream: &BegunStream) {
        self.insert(now, stream, false);
    }

    /// Takes the streams that were begun here since the last call, for the other hosts.
    pub(crate) fn take_unreported(&mut self) -> Vec<BegunStream> {
        std::mem::take(&mut self.unreported)
    }

    /// Streams that were begun here and may still be taken up, for a host that joins.
    pub(crate) fn local_streams(&self, now: Instant) -> Vec<BegunStream> {
        let local = self.streams.iter().filter(|(_, it)| it.is_local && it.expires_at > now);
        let mut streams = Vec::new();

        for (request, known) in local {
            streams.extend(known.software_versions.iter().map(|version| BegunStream {
                request: Arc::clone(request),
                software_version: Arc::clone(version),
                lifetime: known.expires_at.duration_since(now),
            }));
        }
        streams
    }

    /// Returns whether the stream is new, or has begun at another version.
    fn insert(&mut self, now: Instant, stream: &BegunStream, is_local: bool) -> bool {
        self.prune(now);
        let version = Arc::clone(&stream.software_version);

        if let Some(known) = self.streams.get_mut(&stream.request) {
            let is_new = !known.software_versions.contains(&version);
            if is_new && known.software_versions.len() < MAX_VERSIONS {
                known.software_versions.push(version);
            }
            known.is_local |= is_local;
            known.expires_at = known.expires_at.max(now + stream.lifetime);
            return is_new;
        }

        let known = KnownStream {
            software_versions: vec![version],
            expires_at: now + stream.lifetime,
            is_local,
        };
        self.streams.insert(Arc::clone(&stream.request), known);
        true
    }

    fn prune(&mut self, now: Instant) {
        if self.next_prune.is_none_or(|at| at <= now) {
            self.streams.retain(|_, it| it.expires_at > now);
            self.next_prune = Some(now + PRUNE_INTERVAL);
        }

        if self.streams.len() >= MAX_STREAMS {
            let oldest = self.streams.iter().min_by_key(|(_, it)| it.expires_at);
            if let Some(request) = oldest.map(|(request, _)| Arc::clone(request)) {
                self.streams.remove(&request);
            }
        }
    }
}
