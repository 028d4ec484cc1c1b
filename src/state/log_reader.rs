//! Replay of a shard's log.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};

use crate::{
    LogBatch, LogError, PlatformClient, ShardId, ShardState, SnapshotStore, decode_frame,
    platform_calls::snapshot_store::key_sequence,
};

/// Objects that a replay reads at once.
const READ_CONCURRENCY: usize = 16;

/// A replay that met a snapshot in the middle of its cleaning starts again, at most this often.
const REPLAY_ATTEMPTS: u32 = 5;

/// What a replay has found.
#[derive(Debug)]
pub(crate) struct LogReplay {
    pub(crate) state: ShardState,
    /// Sequence number that the next batch gets.
    pub(crate) next: u64,
    /// Sequence number of the snapshot that the replay began with, or 0.
    pub(crate) snapshot: u64,
    /// Sequence numbers of the claims after the snapshot.
    pub(crate) claims: Vec<u64>,
    /// Bytes that were read.
    pub(crate) bytes: u64,
}

impl LogReplay {
    /// Applies the next batch of the log.
    pub(crate) fn apply(&mut self, batch: &LogBatch) -> Result<(), LogError> {
        for record in &batch.records {
            self.state.apply(record)?;
        }

        if batch.has_claim() {
            self.claims.push(self.next);
        }

        self.next += 1;
        Ok(())
    }
}

/// One object of a log, as it was read.
struct LogObject {
    sequence: Option<u64>,
    value: Option<Bytes>,
}

impl LogObject {
    async fn read(platform: Arc<dyn PlatformClient>, key: Arc<str>) -> Result<Self, LogError> {
        let value = platform.get(&key).await?;
        Ok(Self { sequence: key_sequence(&key), value })
    }
}

/// Reads a shard's log; it never writes.
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

    /// Reads the batch under a sequence number, if there is one.
    pub(crate) async fn batch(&self, sequence: u64) -> Result<Option<LogBatch>, LogError> {
        match self.platform.get(&self.key(sequence)).await? {
            Some(value) => Ok(Some(decode_frame(&value)?)),
            None => Ok(None),
        }
    }

    /// Key of a batch. Numbers are padded, so that the platform's order is the order of the log.
    pub(crate) fn key(&self, sequence: u64) -> String {
        format!("{}{sequence:012}", self.prefix)
    }

    /// Replays the newest snapshot and all batches after it.
    pub(crate) async fn replay(&self) -> Result<LogReplay, LogError> {
        let mut attempt = 1;

        loop {
            match self.replay_once().await {
                Err(LogError::Gap { .. }) if attempt < REPLAY_ATTEMPTS => attempt += 1,
                result => return result,
            }
        }
    }

    async fn replay_once(&self) -> Result<LogReplay, LogError> {
        let mut replay = self.load_snapshot().await?;
        let after = self.key(replay.snapshot);
        let keys = self.platform.list(&self.prefix, &after).await?;

        let mut objects = stream::iter(keys)
            .map(|key| LogObject::read(Arc::clone(&self.platform), key))
            .buffered(READ_CONCURRENCY);

        while let Some(object) = objects.try_next().await? {
            let sequence = replay.next;

            let Some(value) = object.value.filter(|_| object.sequence == Some(sequence)) else {
                return Err(LogError::Gap { sequence });
            };

            replay.bytes += value.len() as u64;
            replay.apply(&decode_frame::<LogBatch>(&value)?)?;
        }

        Ok(replay)
    }

    async fn load_snapshot(&self) -> Result<LogReplay, LogError> {
        let sequence = self.snapshots.newest_sequence().await?;

        let mut replay = LogReplay {
            state: ShardState::default(),
            next: sequence + 1,
            snapshot: sequence,
            claims: Vec::new(),
            bytes: 0,
        };

        if sequence > 0 {
            let value = self.snapshots.load(sequence).await?.ok_or(LogError::Gap { sequence })?;
            replay.bytes = value.len() as u64;
            replay.state = decode_frame(&value)?;
        }

        Ok(replay)
    }
}
