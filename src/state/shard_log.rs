//! Write access to a shard's log for its only writer. See docs/design/shard-log.md for why it needs neither clocks nor
//! consensus.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    CreateOutcome, HostName, LogBatch, LogError, LogReader, LogRecord, LogReplay, PlatformClient,
    ShardId, ShardState, WriterId, encode_frame,
};

/// An encoded batch with its sequence number. Writing it is idempotent.
#[derive(Clone, Debug)]
pub(crate) struct EncodedBatch {
    sequence: u64,
    batch_number: u64,
    value: Bytes,
}

impl EncodedBatch {
    /// Size of the encoded batch.
    pub(crate) fn bytes(&self) -> usize {
        self.value.len()
    }
}

/// Log and state of a shard after its claim.
#[derive(Debug)]
pub(crate) struct ClaimedShard {
    pub(crate) log: ShardLog,
    pub(crate) state: ShardState,
    /// Bytes that the replay read.
    pub(crate) replay_bytes: u64,
}

/// Writer of a shard's log.
#[derive(Debug)]
pub(crate) struct ShardLog {
    platform: Arc<dyn PlatformClient>,
    reader: LogReader,
    writer: WriterId,
    /// Sequence number of the next batch.
    next_sequence: u64,
    /// Batches that were encoded since the claim, the claim included.
    batch_count: u64,
    /// Sequence number of the last snapshot, or 0 without one.
    snapshot_sequence: u64,
    /// Sequence numbers of the claims since the last snapshot.
    claim_sequences: Vec<u64>,
}

impl ShardLog {
    /// Replays the log and claims it for `host`. From then on, an earlier writer can't append to it.
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
            next_sequence: replay.next_sequence,
            batch_count: 0,
            snapshot_sequence: replay.snapshot_sequence,
            claim_sequences: Vec::new(),
        };

        let record = LogRecord::ShardClaimed { host: host.clone(), epoch };
        let claim = log.encode(vec![record.clone()]);
        log.commit(&claim).await?;
        log.check_claim(&claim).await?;
        replay.apply(&LogBatch { writer, batch: claim.batch_number, records: vec![record] })?;
        log.claim_sequences = replay.claim_sequences;

        let LogReplay { state, read_bytes: replay_bytes, .. } = replay;
        Ok(ClaimedShard { log, state, replay_bytes })
    }

    /// Encodes records as the next batch. Until it is committed, no other batch may be encoded.
    pub(crate) fn encode(&mut self, records: Vec<LogRecord>) -> EncodedBatch {
        self.batch_count += 1;
        let batch = LogBatch { writer: self.writer, batch: self.batch_count, records };
        let value = encode_frame(&batch);
        EncodedBatch { sequence: self.next_sequence, batch_number: self.batch_count, value }
    }

    /// Writes a batch. After any error but [`LogError::Deposed`] the same batch has to be committed again, since the
    /// write may have taken effect. If the sequence number is taken, the object is read to find out who wrote it.
    pub(crate) async fn commit(&mut self, batch: &EncodedBatch) -> Result<(), LogError> {
        let key = self.reader.key(batch.sequence);
        let outcome = self.platform.create(&key, batch.value.clone()).await?;

        if outcome == CreateOutcome::Exists && !self.has_written(batch).await? {
            return Err(LogError::Deposed);
        }

        self.next_sequence = batch.sequence + 1;
        Ok(())
    }

    pub(crate) fn reader(&self) -> &LogReader {
        &self.reader
    }

    pub(crate) fn writer(&self) -> WriterId {
        self.writer
    }

    /// Sequence number of the last batch.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.next_sequence - 1
    }

    /// Number of batches since the last snapshot, which a replay would have to read.
    pub(crate) fn tail_batches(&self) -> u64 {
        self.last_sequence() - self.snapshot_sequence
    }

    /// Writes a snapshot of the state after the batch `sequence`. Returns the objects that it replaces, which may be
    /// deleted at any later time.
    pub(crate) async fn write_snapshot(
        &mut self,
        sequence: u64,
        state: &[u8],
    ) -> Result<LogTrim, LogError> {
        self.reader.snapshots.write(sequence, state).await?;
        let replaced_sequence = self.snapshot_sequence;
        self.snapshot_sequence = sequence;
        Ok(self.trim(replaced_sequence, sequence))
    }

    /// Tells whether the object under the batch's sequence number is this batch.
    async fn has_written(&self, batch: &EncodedBatch) -> Result<bool, LogError> {
        let existing = self.reader.batch(batch.sequence).await?;

        Ok(existing.is_some_and(|it| it.writer == self.writer && it.batch == batch.batch_number))
    }

    /// Fails if a claim is void. One that was written long after its replay may have the sequence number of a batch
    /// that was deleted since; a newer snapshot then covers the number.
    async fn check_claim(&self, claim: &EncodedBatch) -> Result<(), LogError> {
        if self.reader.snapshots.newest_sequence().await? >= claim.sequence {
            return Err(LogError::Deposed);
        }

        Ok(())
    }

    /// Returns the objects that a snapshot replaces, except each claim and the batch before it: a deposed writer that
    /// resumes after any time tries one of these two sequence numbers next, and must find it taken.
    fn trim(&mut self, replaced_sequence: u64, snapshot_sequence: u64) -> LogTrim {
        let retained: BTreeSet<u64> = self
            .claim_sequences
            .iter()
            .flat_map(|claim| [*claim, claim.saturating_sub(1)])
            .collect();

        let batch_sequences = (replaced_sequence.max(1)..snapshot_sequence)
            .filter(|it| !retained.contains(it))
            .collect();
        self.claim_sequences.retain(|claim| *claim >= snapshot_sequence);

        LogTrim {
            platform: Arc::clone(&self.platform),
            reader: self.reader.clone(),
            batch_sequences,
            snapshot_sequence: replaced_sequence,
        }
    }
}

/// Objects that a snapshot has replaced, which are to be deleted.
#[derive(Debug)]
pub(crate) struct LogTrim {
    platform: Arc<dyn PlatformClient>,
    reader: LogReader,
    batch_sequences: Vec<u64>,
    snapshot_sequence: u64,
}

impl LogTrim {
    /// Deletes the objects, with a pause after each batch, so that appends don't wait behind the deletions.
    pub(crate) async fn delete(self, pause: Duration) -> Result<(), LogError> {
        for sequence in self.batch_sequences {
            self.platform.delete(&self.reader.key(sequence)).await?;

            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }

        self.reader.snapshots.delete(self.snapshot_sequence).await?;
        Ok(())
    }
}
