//! Registry of the entry hosts and the keys by which they authenticate each other, both stored as objects in the store.

use std::{collections::HashSet, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, timeout};

use crate::{
    BackoffPolicy, KeyFiles,
    entry::{
        KindListing, ObjectChange, ObjectListener, ObjectStore, ReadFreshness, StoreError,
        StoredObject, host_reach::LostServices, peer_mesh::PeerMesh,
    },
    gateway::SchedulerEntry,
    membership::key_files::CertificateAuthority,
};

/// Object kind of the hosts' registry entries.
pub(crate) const REGISTRY_KIND: &str = "entry-hosts";

/// Object kind of the shared keys.
const KEY_KIND: &str = "peer-keys";

/// Object name of the shared keys.
const KEY_NAME: &str = "current";

/// Delays between attempts while calls to the store fail.
const STORE_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(50), limit: Duration::from_millis(500) };

/// Time after which the removal of another host's entry is given up.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Registry entry of a host: where peers reach it.
#[derive(Debug, Deserialize, Serialize)]
struct HostEntry {
    address: SocketAddr,
    region: Arc<str>,
    /// Processor time that the host may use, in thousandths of a core.
    #[serde(default = "whole_core")]
    processor_millis: u32,
}

/// Processor time of a host whose entry states none.
fn whole_core() -> u32 {
    1_000
}

/// Certificate, private key and authority that all entry hosts use.
#[derive(Debug, Deserialize, Serialize)]
struct SharedKeys {
    certificate: Arc<str>,
    private_key: Arc<str>,
    authority: Arc<str>,
}

/// Registers and removes entry hosts in the store, and provides the keys that they share.
#[derive(Clone, Debug)]
pub(crate) struct HostRegistry {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) host: Arc<str>,
    pub(crate) region: Arc<str>,
}

impl HostRegistry {
    /// Loads the keys that all entry hosts share, and creates them if no host has. Retries until it has them.
    pub(crate) async fn load_or_create_keys(&self) -> KeyFiles {
        let mut attempt = 0;

        loop {
            match self.try_load_or_create_keys().await {
                Ok(Some(keys)) => {
                    let SharedKeys { certificate, private_key, authority } = keys;
                    return KeyFiles { certificate, private_key, authority };
                }
                Ok(None) => (),
                Err(error) => log::warn!(
                    "failed to load or create the shared keys of the hosts, retrying: {error}"
                ),
            }

            STORE_BACKOFF.sleep(attempt).await;
            attempt += 1;
        }
    }

    async fn try_load_or_create_keys(&self) -> Result<Option<SharedKeys>, StoreError> {
        if let Some(object) = self.store.get(KEY_KIND, KEY_NAME).await? {
            return Ok(object.decode());
        }

        let issued =
            CertificateAuthority::generate().and_then(|authority| authority.issue("entry host"));

        let files = match issued {
            Ok(files) => files,
            Err(error) => {
                log::error!("failed to generate the shared keys of the hosts: {error}");
                return Ok(None);
            }
        };

        let KeyFiles { certificate, private_key, authority } = files;
        let keys = SharedKeys { certificate, private_key, authority };
        let content =
            serde_json::value::to_raw_value(&keys).expect("the shared keys can be encoded as JSON");
        self.store.create(KEY_KIND, KEY_NAME, &content).await?;

        // Another host may have created the keys at the same time, so the stored ones are used.
        let object = self.store.get(KEY_KIND, KEY_NAME).await?;
        Ok(object.as_ref().and_then(StoredObject::decode))
    }

    /// Writes this host's registry entry, with the part of a core that it may use. Retries while calls to the store fail; a write that meets a conflict is not
    /// repeated.
    pub(crate) async fn register(&self, address: SocketAddr, processor_share: f64) {
        let processor_millis = (processor_share * 1_000.0).max(1.0) as u32;
        let entry = HostEntry { address, region: Arc::clone(&self.region), processor_millis };
        let content = serde_json::value::to_raw_value(&entry)
            .expect("a registry entry can be encoded as JSON");
        let mut attempt = 0;

        loop {
            match self.write_entry(&content).await {
                Ok(()) => return,
                Err(error) => log::warn!("failed to register this host, retrying: {error}"),
            }

            STORE_BACKOFF.sleep(attempt).await;
            attempt += 1;
        }
    }

    /// Lists the registered hosts.
    pub(crate) async fn list(
        &self,
        freshness: ReadFreshness,
    ) -> Result<Vec<SchedulerEntry>, StoreError> {
        let mut schedulers = Vec::new();
        let mut after: Option<Arc<str>> = None;

        loop {
            let page = self.store.list(REGISTRY_KIND, after.as_deref(), freshness).await?;
            after = page.items.last().map(|it| Arc::clone(&it.name));
            schedulers.extend(page.items.iter().filter_map(decode_scheduler));

            if !page.has_more || after.is_none() {
                return Ok(schedulers);
            }
        }
    }

    /// Removes a registry entry if it still has the given revision. A host that is still alive notices this and registers
    /// again. A call that takes long is given up, so that it does not take effect once the host is heard again.
    pub(crate) async fn remove_entry(&self, host: &Arc<str>, revision: u64) {
        let removal = self.store.remove(REGISTRY_KIND, host, revision);

        match timeout(REMOVAL_TIMEOUT, removal).await {
            Ok(Ok(outcome)) => {
                log::info!(peer:% = host, revision, outcome:?; "the store has answered the removal of a registry entry");
            }
            Ok(Err(error)) => {
                log::warn!(peer:% = host; "failed to remove the registry entry of a host: {error}");
            }
            Err(_) => {
                log::warn!(peer:% = host; "the store does not answer the removal of a registry entry");
            }
        }
    }

    /// Removes a host's registry entry. A host that is still alive notices this and registers again.
    pub(crate) async fn remove(&self, host: &Arc<str>) {
        let result = match self.store.get(REGISTRY_KIND, host).await {
            Ok(Some(object)) => self.store.remove(REGISTRY_KIND, host, object.revision).await,
            Ok(None) => return,
            Err(error) => Err(error),
        };

        if let Err(error) = result {
            log::warn!(peer:% = host; "failed to remove the registry entry of a host: {error}");
        }
    }

    async fn write_entry(&self, content: &serde_json::value::RawValue) -> Result<(), StoreError> {
        match self.store.get(REGISTRY_KIND, &self.host).await? {
            Some(object) if object.content.as_ref().is_some_and(|it| it.get() == content.get()) => {
            }
            Some(object) => {
                let revision = object.revision;
                self.store.replace(REGISTRY_KIND, &self.host, content, revision).await?;
            }
            None => {
                self.store.create(REGISTRY_KIND, &self.host, content).await?;
            }
        }

        Ok(())
    }
}

fn decode_scheduler(object: &StoredObject) -> Option<SchedulerEntry> {
    let Some(HostEntry { address, region, processor_millis }) = object.decode() else {
        log::warn!(peer:% = object.name; "failed to decode the registry entry of a host");
        return None;
    };

    let host = Arc::clone(&object.name);
    let lost_services = LostServices::default();
    Some(SchedulerEntry {
        host,
        address,
        region,
        is_draining: false,
        lost_services,
        processor_millis,
    })
}

impl PeerMesh {
    fn record_processor(&self, host: &Arc<str>, processor_millis: u32) {
        self.processor_millis.lock().insert(Arc::clone(host), processor_millis);
    }

    /// Processor time that a host may use, by its registry entry, in thousandths of a core.
    pub(super) fn processor_millis(&self, host: &str) -> u32 {
        self.processor_millis.lock().get(host).copied().unwrap_or_else(whole_core)
    }

    fn remove_registered(&self, host: &str) {
        self.registered.lock().remove(host);
        self.processor_millis.lock().remove(host);
        self.remove_entry(host);
    }
}

impl ObjectListener for PeerMesh {
    fn reset(&self, listing: KindListing) {
        let listed: HashSet<Arc<str>> =
            listing.objects.iter().map(|it| Arc::clone(&it.name)).collect();
        let registered: Vec<Arc<str>> = self.registered.lock().keys().cloned().collect();
        let unlisted = registered.into_iter().filter(|it| !listed.contains(it));

        for name in unlisted {
            log::info!(peer:% = name, revision = listing.revision; "the registry entry of a peer is gone");
            self.remove_registered(&name);
        }

        for object in listing.objects {
            self.apply_change(ObjectChange { object, is_removed: false });
        }
    }

    fn apply_change(&self, change: ObjectChange) {
        let name = Arc::clone(&change.object.name);

        if change.is_removed {
            log::info!(peer:% = name; "the registry entry of a peer has been removed");
            self.remove_registered(&name);
            return;
        }

        self.registered.lock().insert(Arc::clone(&name), change.object.revision);

        match change.object.decode::<HostEntry>() {
            Some(entry) => {
                self.record_processor(&name, entry.processor_millis);
                self.add_peer(name, entry.address, entry.region);
            }
            None => log::warn!(peer:% = name; "failed to decode the registry entry of a host"),
        }
    }

    fn set_available(&self, is_available: bool) {
        log::info!(is_available; "the availability of the host registry has changed");
    }
}
