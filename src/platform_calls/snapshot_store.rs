//! Snapshots in the platform's object store. A snapshot is one encoded value, split into parts, with a manifest that is
//! written last.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, TryStreamExt, stream};
use serde::{Deserialize, Serialize};

use crate::{PlatformClient, PlatformError, decode_frame, encode_frame};

/// Largest object that is written, in bytes. The platform accepts up to one megabyte.
pub(crate) const MAX_OBJECT_BYTES: usize = 900_000;

/// Number of parts that are read concurrently.
const READ_CONCURRENCY: usize = 16;

/// Size of a snapshot. It is written after all parts, so a snapshot with a manifest is complete.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct SnapshotManifest {
    /// Number of parts.
    parts: u32,
    /// Size of the whole value.
    bytes: u64,
}

/// Snapshots of one log, each identified by the sequence number of the last object that it covers.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotStore {
    platform: Arc<dyn PlatformClient>,
    /// Name of the log in the keys of its snapshots.
    name: Arc<str>,
}

impl SnapshotStore {
    pub(crate) fn new(platform: Arc<dyn PlatformClient>, name: &str) -> Self {
        Self { platform, name: name.into() }
    }

    /// Deletes a snapshot. The manifest is deleted first, so that a snapshot with missing parts is never listed.
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

    /// Reads a snapshot. Returns `None` if it does not exist or is deleted meanwhile, since a newer one has replaced
    /// it.
    pub(crate) async fn load(&self, sequence: u64) -> Result<Option<Bytes>, PlatformError> {
        let Some(manifest) = self.manifest(sequence).await? else {
            return Ok(None);
        };

        let mut value = BytesMut::with_capacity(manifest.bytes as usize);

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
            value.extend_from_slice(&part);
        }

        Ok(Some(value.freeze()))
    }

    /// Returns the sequence number of the newest complete snapshot, or 0 if there is none.
    pub(crate) async fn newest_sequence(&self) -> Result<u64, PlatformError> {
        let keys = self.platform.list(&format!("snapshots/{}/", self.name), "").await?;
        Ok(keys.iter().filter_map(|key| key_sequence(key)).max().unwrap_or(0))
    }

    /// Writes a snapshot. Writes are idempotent, since the value of a sequence number is always the same.
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

/// Parses the sequence number at the end of a key.
pub(crate) fn key_sequence(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}
