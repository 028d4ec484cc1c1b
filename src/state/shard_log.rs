//! A shard's log, as its one writer holds it. See docs/design/shard-log.md for why no clock and no consensus is
//! needed.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    CreateOutcome, HostName, LogBatch, LogError, LogReader, LogRecord, LogReplay, PlatformClient,
    ShardId, ShardState, WriterId, encode_frame,
};

/// A batch that is encoded and has its sequence number. Writing it again is harmless.
#[derive(Clone, Debug)]
pub(crate) struct EncodedBatch {
    sequence: u64,
    batch: u64,
    value: Bytes,
}

impl EncodedBatch {
    pub(crate) fn bytes(&self) -> usize {
        self.value.len()
    }
}

/// A shard that was claimed: its log and its state.
#[derive(Debug)]
pub(crate) struct ClaimedShard {
    pub(crate) log: ShardLog,
    pub(crate) state: ShardState,
    /// Bytes that the replay read.
    pub(crate) replay_bytes: u64,
}

/// The writer's end of a log.
#[derive(Debug)]
pub(crate) struct ShardLog {
    platform: Arc<dyn PlatformClient>,
    reader: LogReader,
    writer: WriterId,
    next: u64,
    batches: u64,
    snapshot: u64,
    claims: Vec<u64>,
}

impl ShardLog {
    /// Replays the log and claims it for `host`. Whoever held it before can append nothing from then on.
    pub(crate) async fn claim(
        platform: Arc<dyn PlatformClient>,
        shard: ShardId,
        host: &HostName,
        writer: WriterId,
    ) -> Result<ClaimedShard, LogError> {
        let reader = LogReader::new(Arc::clone(&platform), shard);
        let mut replay = reader.replay().await?;
        let epoch = replay.state.epoch + 1;

        let mut log = Self {
            platform,
            reader,
            writer,
            next: replay.next,
            batches: 0,
            snapshot: replay.snapshot,
            claims: Vec::new(),
        };

        let record = LogRecord::ShardClaimed { host: host.clone(), epoch };
        let claim = log.encode(vec![record.clone()]);
        log.commit(&claim).await?;
        log.check_claim(&claim).await?;
        replay.apply(&LogBatch { writer, batch: claim.batch, records: vec![record] })?;
        log.claims = replay.claims;

        let LogReplay { state, bytes: replay_bytes, .. } = replay;
        Ok(ClaimedShard { log, state, replay_bytes })
    }

    /// Encodes records as the next batch. Until it is committed, no other batch may be encoded.
    pub(crate) fn encode(&mut self, records: Vec<LogRecord>) -> EncodedBatch {
        self.batches += 1;
        let batch = LogBatch { writer: self.writer, batch: self.batches, records };
        let value = encode_frame(&batch);
        EncodedBatch { sequence: self.next, batch: self.batches, value }
    }

    /// Writes a batch. After any error but [`LogError::Deposed`] the same batch has to be committed again, since it
    /// may have taken effect; an object that stands under its number is read back to tell whose it is.
    pub(crate) async fn commit(&mut self, batch: &EncodedBatch) -> Result<(), LogError> {
        let key = self.reader.key(batch.sequence);
        let outcome = self.platform.create(&key, batch.value.clone()).await?;

        if outcome == CreateOutcome::Exists && !self.is_own(batch).await? {
            return Err(LogError::Deposed);
        }

        self.next = batch.sequence + 1;
        Ok(())
    }

    pub(crate) fn reader(&self) -> &LogReader {
        &self.reader
    }

    pub(crate) fn writer(&self) -> WriterId {
        self.writer
    }

    /// Sequence number of the last batch.
    pub(crate) fn last(&self) -> u64 {
        self.next - 1
    }

    /// Batches since the last snapshot, which a replay would have to read.
    pub(crate) fn tail(&self) -> u64 {
        self.last() - self.snapshot
    }

    /// Writes a snapshot of the state after the batch `sequence`, and gives what it replaces, to be deleted at leisure.
    pub(crate) async fn write_snapshot(
        &mut self,
        sequence: u64,
        state: &[u8],
    ) -> Result<LogTrim, LogError> {
        self.reader.snapshots.write(sequence, state).await?;
        let replaced = self.snapshot;
        self.snapshot = sequence;
        Ok(self.trim(replaced, sequence))
    }

    async fn is_own(&self, batch: &EncodedBatch) -> Result<bool, LogError> {
        let standing = self.reader.batch(batch.sequence).await?;

        Ok(standing.is_some_and(|it| it.writer == self.writer && it.batch == batch.batch))
    }

    /// A claim that was written long after its replay may stand where a deleted batch stood. Then a newer snapshot
    /// covers its number, and the claim is void.
    async fn check_claim(&self, claim: &EncodedBatch) -> Result<(), LogError> {
        if self.reader.snapshots.newest_sequence().await? >= claim.sequence {
            return Err(LogError::Deposed);
        }

        Ok(())
    }

    /// Gives the batches that a snapshot covers. Each claim stays, and the batch before it: a deposed writer that wakes
    /// after any time tries one of these two numbers next, and must find them taken.
    fn trim(&mut self, replaced: u64, snapshot: u64) -> LogTrim {
        let kept: BTreeSet<u64> =
            self.claims.iter().flat_map(|claim| [*claim, claim.saturating_sub(1)]).collect();

        let batches = (replaced.max(1)..snapshot).filter(|it| !kept.contains(it)).collect();
        self.claims.retain(|claim| *claim >= snapshot);

        LogTrim {
            platform: Arc::clone(&self.platform),
            reader: self.reader.clone(),
            batches,
            snapshot: replaced,
        }
    }
}

/// Objects that a snapshot has replaced.
#[derive(Debug)]
pub(crate) struct LogTrim {
    platform: Arc<dyn PlatformClient>,
    reader: LogReader,
    batches: Vec<u64>,
    snapshot: u64,
}

impl LogTrim {
    /// Deletes the objects, with a pause after each, so that appends do not wait behind them.
    pub(crate) async fn delete(self, pause: Duration) -> Result<(), LogError> {
        for sequence in self.batches {
            self.platform.delete(&self.reader.key(sequence)).await?;

            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }

        self.reader.snapshots.delete(self.snapshot).await?;
        Ok(())
    }
}
