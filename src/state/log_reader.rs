//! Replay of a shard's log.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};

use crate::{
    LogBatch, LogError, PlatformClient, ShardId, ShardState, SnapshotStore, decode_frame,
    platform_calls::snapshot_store::key_sequence,
};

/// Objects that a replay reads concurrently.
const READ_CONCURRENCY: usize = 16;

/// Most attempts of a replay. One fails if objects that it is about to read are deleted, because a newer snapshot has
/// replaced them.
const MAX_REPLAY_ATTEMPTS: u32 = 5;

/// State of a shard after a replay of its log.
#[derive(Debug)]
pub(crate) struct LogReplay {
    pub(crate) state: ShardState,
    /// Sequence number of the next batch.
    pub(crate) next_sequence: u64,
    /// Sequence number of the snapshot that the replay started from, or 0 without one.
    pub(crate) snapshot_sequence: u64,
    /// Sequence numbers of the claims after the snapshot.
    pub(crate) claim_sequences: Vec<u64>,
    /// Bytes that were read, snapshot included.
    pub(crate) read_bytes: u64,
}

impl LogReplay {
    /// Applies the next batch of the log.
    pub(crate) fn apply(&mut self, batch: &LogBatch) -> Result<(), LogError> {
        for record in &batch.records {
            self.state.apply(record)?;
        }

        if batch.has_claim() {
            self.claim_sequences.push(self.next_sequence);
        }

        self.next_sequence += 1;
        Ok(())
    }
}

/// An object of a log, as read from the platform.
struct LogObject {
    /// Sequence number in the object's key.
    sequence: Option<u64>,
    /// Content; `None` if the object was deleted after its key was listed.
    value: Option<Bytes>,
}

impl LogObject {
    async fn read(platform: Arc<dyn PlatformClient>, key: Arc<str>) -> Result<Self, LogError> {
        let value = platform.get(&key).await?;
        Ok(Self { sequence: key_sequence(&key), value })
    }
}

/// Reader of a shard's log. It writes nothing.
#[derive(Clone, Debug)]
pub(crate) struct LogReader {
    platform: Arc<dyn PlatformClient>,
    prefix: Arc<str>,
    pub(crate) snapshots: SnapshotStore,
}

impl LogReader {
    pub(crate) fn new(platform: Arc<dyn PlatformClient>, shard: ShardId) -> Self {
        let snapshots = SnapshotStore::new(Arc::clone(&platform), &shard.to_string());
        Self { platform, prefix: format!("logs/{shard}/").into(), snapshots }
    }

    /// Reads the batch with a sequence number. Returns `None` if the log has none.
    pub(crate) async fn batch(&self, sequence: u64) -> Result<Option<LogBatch>, LogError> {
        match self.platform.get(&self.key(sequence)).await? {
            Some(value) => Ok(Some(decode_frame(&value)?)),
            None => Ok(None),
        }
    }

    /// Returns the key of a batch. Zero padding makes the platform list keys in the order of the log.
    pub(crate) fn key(&self, sequence: u64) -> String {
        format!("{}{sequence:012}", self.prefix)
    }

    /// Loads the newest snapshot and applies all batches after it.
    pub(crate) async fn replay(&self) -> Result<LogReplay, LogError> {
        let mut attempt = 1;

        loop {
            match self.replay_once().await {
                Err(LogError::Gap { .. }) if attempt < MAX_REPLAY_ATTEMPTS => attempt += 1,
                result => return result,
            }
        }
    }

    async fn replay_once(&self) -> Result<LogReplay, LogError> {
        let mut replay = self.load_snapshot().await?;
        let after_key = self.key(replay.snapshot_sequence);
        let keys = self.platform.list(&self.prefix, &after_key).await?;

        let mut objects = stream::iter(keys)
            .map(|key| LogObject::read(Arc::clone(&self.platform), key))
            .buffered(READ_CONCURRENCY);

        while let Some(object) = objects.try_next().await? {
            let sequence = replay.next_sequence;

            let Some(value) = object.value.filter(|_| object.sequence == Some(sequence)) else {
                return Err(LogError::Gap { sequence });
            };

            replay.read_bytes += value.len() as u64;
            replay.apply(&decode_frame::<LogBatch>(&value)?)?;
        }

        Ok(replay)
    }

    async fn load_snapshot(&self) -> Result<LogReplay, LogError> {
        let sequence = self.snapshots.newest_sequence().await?;

        let mut replay = LogReplay {
            state: ShardState::default(),
            next_sequence: sequence + 1,
            snapshot_sequence: sequence,
            claim_sequences: Vec::new(),
            read_bytes: 0,
        };

        if sequence > 0 {
            let value = self.snapshots.load(sequence).await?.ok_or(LogError::Gap { sequence })?;
            replay.read_bytes = value.len() as u64;
            replay.state = ShardState::decode(&value)?;
        }

        Ok(replay)
    }
}
