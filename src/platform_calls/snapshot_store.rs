//! Snapshots in the platform: one encoded value, cut into parts, with a manifest that is written last.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, TryStreamExt, stream};
use serde::{Deserialize, Serialize};

use crate::{PlatformClient, PlatformError, decode_frame, encode_frame};

/// Largest object that we write, in bytes. The platform takes up to a megabyte.
pub(crate) const MAX_OBJECT_BYTES: usize = 900_000;

/// Parts that are read at once.
const READ_CONCURRENCY: usize = 16;

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct SnapshotManifest {
    parts: u32,
    bytes: u64,
}

/// Snapshots of one log, each under the sequence number of the last object that it covers.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotStore {
    platform: Arc<dyn PlatformClient>,
    name: Arc<str>,
}

impl SnapshotStore {
    pub(crate) fn new(platform: Arc<dyn PlatformClient>, name: &str) -> Self {
        Self { platform, name: name.into() }
    }

    /// Deletes a snapshot, the manifest first, so that it never looks whole again.
    pub(crate) async fn delete(&self, sequence: u64) -> Result<(), PlatformError> {
        let Some(manifest) = self.manifest(sequence).await? else {
            return Ok(());
        };

        self.platform.delete(&self.manifest_key(sequence)).await?;

        for part in 0..manifest.parts {
            self.platform.delete(&self.part_key(sequence, part)).await?;
        }

        Ok(())
    }

    /// Reads a snapshot, unless a newer one has replaced it meanwhile.
    pub(crate) async fn load(&self, sequence: u64) -> Result<Option<Bytes>, PlatformError> {
        let Some(manifest) = self.manifest(sequence).await? else {
            return Ok(None);
        };

        let mut whole = BytesMut::with_capacity(manifest.bytes as usize);

        let mut parts = stream::iter(0..manifest.parts)
            .map(|part| {
                let platform = Arc::clone(&self.platform);
                let key = self.part_key(sequence, part);
                async move { platform.get(&key).await }
            })
            .buffered(READ_CONCURRENCY);

        while let Some(part) = parts.try_next().await? {
            let Some(part) = part else {
                return Ok(None);
            };
            whole.extend_from_slice(&part);
        }

        Ok(Some(whole.freeze()))
    }

    /// Gives the sequence number of the newest whole snapshot, or 0.
    pub(crate) async fn newest_sequence(&self) -> Result<u64, PlatformError> {
        let keys = self.platform.list(&format!("snapshots/{}/", self.name), "").await?;
        Ok(keys.iter().filter_map(|key| key_sequence(key)).max().unwrap_or(0))
    }

    /// Writes a snapshot. Writing it twice is harmless, since a sequence number stands for one value.
    pub(crate) async fn write(&self, sequence: u64, value: &[u8]) -> Result<(), PlatformError> {
        let mut parts = 0;

        for chunk in value.chunks(MAX_OBJECT_BYTES) {
            let part = Bytes::copy_from_slice(chunk);
            self.platform.create(&self.part_key(sequence, parts), part).await?;
            parts += 1;
        }

        let manifest = encode_frame(&SnapshotManifest { parts, bytes: value.len() as u64 });
        self.platform.create(&self.manifest_key(sequence), manifest).await?;
        Ok(())
    }

    async fn manifest(&self, sequence: u64) -> Result<Option<SnapshotManifest>, PlatformError> {
        let Some(manifest) = self.platform.get(&self.manifest_key(sequence)).await? else {
            return Ok(None);
        };

        decode_frame(&manifest)
            .map(Some)
            .map_err(|error| PlatformError::Malformed { reason: error.to_string() })
    }

    fn manifest_key(&self, sequence: u64) -> String {
        format!("snapshots/{}/{sequence:012}", self.name)
    }

    fn part_key(&self, sequence: u64, part: u32) -> String {
        format!("snapshot-parts/{}/{sequence:012}/{part:06}", self.name)
    }
}

/// Reads the number at the end of a key.
pub(crate) fn key_sequence(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}
