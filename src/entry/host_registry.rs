//! How entry hosts find each other, and the key with which they trust each other: objects in the store.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use tokio::time::Duration;

use crate::{
    BackoffPolicy, KeyFiles,
    entry::{
        ObjectChange, ObjectListener, ObjectStore, StoreError, StoredObject, peer_mesh::PeerMesh,
    },
    membership::key_files::KeyAuthority,
};

/// Kind of the hosts' entries.
pub(crate) const REGISTRY_KIND: &str = "entry-hosts";

/// Kind of the shared keys.
const KEY_KIND: &str = "peer-keys";

/// Name of the shared keys.
const KEY_NAME: &str = "current";

/// Pause between tries while the store does not answer.
const STORE_BACKOFF: BackoffPolicy =
    BackoffPolicy { first: Duration::from_millis(50), limit: Duration::from_millis(500) };

#[derive(Debug, Deserialize, Serialize)]
struct HostEntry {
    address: SocketAddr,
    region: Arc<str>,
}

#[derive(Debug, Deserialize, Serialize)]
struct SharedKeys {
    certificate: Arc<str>,
    private_key: Arc<str>,
    authority: Arc<str>,
}

/// The store's view of which entry hosts there are.
#[derive(Clone, Debug)]
pub(crate) struct HostRegistry {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) host: Arc<str>,
    pub(crate) region: Arc<str>,
}

impl HostRegistry {
    /// Gives the keys that all entry hosts share. The first host makes them.
    pub(crate) async fn load_or_create_keys(&self) -> KeyFiles {
        let mut attempt = 0;

        loop {
            match self.read_or_make_keys().await {
                Ok(Some(keys)) => {
                    let SharedKeys { certificate, private_key, authority } = keys;
                    return KeyFiles { certificate, private_key, authority };
                }
                Ok(None) => (),
                Err(error) => log::warn!("the keys of the hosts can't be read yet: {error}"),
            }

            STORE_BACKOFF.sleep(attempt).await;
            attempt += 1;
        }
    }

    async fn read_or_make_keys(&self) -> Result<Option<SharedKeys>, StoreError> {
        if let Some(object) = self.store.get(KEY_KIND, KEY_NAME).await? {
            return Ok(object.decode());
        }

        let made = KeyAuthority::generate().and_then(|authority| authority.issue("entry host"));

        let files = match made {
            Ok(files) => files,
            Err(error) => {
                log::error!("keys for the hosts can't be made: {error}");
                return Ok(None);
            }
        };

        let KeyFiles { certificate, private_key, authority } = files;
        let keys = SharedKeys { certificate, private_key, authority };
        let content = serde_json::value::to_raw_value(&keys).expect("keys can be encoded");
        self.store.create(KEY_KIND, KEY_NAME, &content).await?;

        // Another host may have been first, so what the store has is what counts.
        let object = self.store.get(KEY_KIND, KEY_NAME).await?;
        Ok(object.as_ref().and_then(StoredObject::decode))
    }

    /// Writes this host's entry, and tries until the store has it.
    pub(crate) async fn register(&self, address: SocketAddr) {
        let entry = HostEntry { address, region: Arc::clone(&self.region) };
        let content = serde_json::value::to_raw_value(&entry).expect("an entry can be encoded");
        let mut attempt = 0;

        loop {
            match self.write_entry(&content).await {
                Ok(()) => return,
                Err(error) => log::warn!("the host can't be registered yet: {error}"),
            }

            STORE_BACKOFF.sleep(attempt).await;
            attempt += 1;
        }
    }

    /// Removes a host's entry. A host that lives finds out and writes it again.
    pub(crate) async fn remove(&self, host: &Arc<str>) {
        let removed = match self.store.get(REGISTRY_KIND, host).await {
            Ok(Some(object)) => self.store.remove(REGISTRY_KIND, host, object.revision).await,
            Ok(None) => return,
            Err(error) => Err(error),
        };

        if let Err(error) = removed {
            log::warn!(peer:% = host; "the entry of a host can't be removed: {error}");
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

impl ObjectListener for PeerMesh {
    fn reset(&self, objects: Vec<StoredObject>) {
        for object in objects {
            self.apply_change(ObjectChange { object, is_removed: false });
        }
    }

    fn apply_change(&self, change: ObjectChange) {
        let name = Arc::clone(&change.object.name);

        if change.is_removed {
            log::info!(peer:% = name; "a peer is not listed any more");
            self.remove_peer(&name);
            return;
        }

        match change.object.decode::<HostEntry>() {
            Some(entry) => self.add_peer(name, entry.address, entry.region),
            None => log::warn!(peer:% = name; "the entry of a host can't be read"),
        }
    }

    fn set_available(&self, is_available: bool) {
        log::info!(is_available; "the store's list of hosts");
    }
}
