//! Software versions of the upstreams that have begun streams.
//!
//! A stream may go on only at the version that began it, also when its client takes it up at another host. See
//! docs/design/platform.md, "Software versions".

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

/// Most streams that are remembered. The one that is forgotten next anyway makes room.
const MAX_STREAMS: usize = 65_536;

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

#[derive(Debug)]
struct KnownStream {
    software_version: Arc<str>,
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
    /// Version that has begun a stream, if it is known.
    pub(crate) fn get(&self, request: &str) -> Option<Arc<str>> {
        self.streams.get(request).map(|it| Arc::clone(&it.software_version))
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
        let stream = |(request, known): (&Arc<str>, &KnownStream)| BegunStream {
            request: Arc::clone(request),
            software_version: Arc::clone(&known.software_version),
            lifetime: known.expires_at.duration_since(now),
        };
        local.map(stream).collect()
    }

    /// Returns whether the stream is new. The version of a known one never changes.
    fn insert(&mut self, now: Instant, stream: &BegunStream, is_local: bool) -> bool {
        self.prune(now);

        if self.streams.contains_key(&stream.request) {
            return false;
        }

        let known = KnownStream {
            software_version: Arc::clone(&stream.software_version),
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
