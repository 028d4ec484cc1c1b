//! Upstreams that have stated in a response that they are leaving.

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

/// Most instances that are remembered. The one that was added first is forgotten first.
const MAX_INSTANCES: usize = 4_096;

/// One run of an upstream's process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct UpstreamInstance {
    pub(crate) id: Arc<str>,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub(crate) started_at_ms: u64,
}

/// Instances that leave. They get no new request, even while their entry in the store says that they serve, and even if
/// the entry is removed and comes back; a restarted upstream is another instance.
#[derive(Debug, Default)]
pub(crate) struct LeavingUpstreams {
    /// Start of the leaving instance of each upstream, and when it was added.
    instances: HashMap<Arc<str>, (u64, u64)>,
    last_addition: u64,
    /// Instances that the other hosts have not been told of.
    unreported: Vec<UpstreamInstance>,
}

impl LeavingUpstreams {
    pub(crate) fn contains(&self, id: &str, started_at_ms: u64) -> bool {
        self.instances.get(id).is_some_and(|(leaving, _)| *leaving == started_at_ms)
    }

    /// Adds an instance that has stated to this host that it leaves. Returns whether that is new.
    pub(crate) fn add(&mut self, instance: UpstreamInstance) -> bool {
        let is_new = self.merge(instance.clone());
        if is_new {
            self.unreported.push(instance);
        }
        is_new
    }

    /// Adds an instance that another host has reported. Returns whether that is new.
    pub(crate) fn merge(&mut self, instance: UpstreamInstance) -> bool {
        if self.contains(&instance.id, instance.started_at_ms) {
            return false;
        }

        self.last_addition += 1;
        self.instances.insert(instance.id, (instance.started_at_ms, self.last_addition));

        if self.instances.len() > MAX_INSTANCES {
            let oldest = self.instances.iter().min_by_key(|(_, (_, addition))| *addition);
            if let Some(id) = oldest.map(|(id, _)| Arc::clone(id)) {
                self.instances.remove(&id);
            }
        }
        true
    }

    /// Takes the instances that were added since the last call, for the other hosts.
    pub(crate) fn take_unreported(&mut self) -> Vec<UpstreamInstance> {
        std::mem::take(&mut self.unreported)
    }

    /// All instances, for a host that joins.
    pub(crate) fn all(&self) -> Vec<UpstreamInstance> {
        let instance = |(id, (started_at_ms, _)): (&Arc<str>, &(u64, u64))| UpstreamInstance {
            id: Arc::clone(id),
            started_at_ms: *started_at_ms,
        };
        self.instances.iter().map(instance).collect()
    }
}
