//! The numbered configuration of this host: read at the start, advanced by pushes from peers, patched by operators.
//! See docs/design/configuration.md.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use futures_util::{StreamExt, TryStreamExt, stream};
use parking_lot::Mutex;
use serde_json::Value;
use tokio::sync::watch;

use crate::{
    ConfigEntry, ConfigState, CreateOutcome, PlatformClient, PlatformError, Problem, ProblemKind,
    SnapshotStore, WriterId, basics::unix_clock::unix_millis, decode_frame, encode_frame,
};

/// Keys of the configuration's log.
const KEY_PREFIX: &str = "config/";

/// Entries that are kept in memory for peers that missed them. Older ones are read from the platform.
const KEPT_ENTRIES: usize = 1_024;

/// Objects that are read at once.
const READ_CONCURRENCY: usize = 16;

/// Entries from one snapshot to the next, which bounds what a starting host reads.
const SNAPSHOT_ENTRIES: u64 = 256;

/// Name of the configuration's snapshots.
const SNAPSHOT_NAME: &str = "config";

/// Tries to learn what became of a write whose answer was lost.
const READ_BACK_ATTEMPTS: u32 = 4;

/// The configuration in force on this host, and the way to its next number.
#[derive(Debug)]
pub(crate) struct ConfigStore {
    platform: Arc<dyn PlatformClient>,
    snapshots: SnapshotStore,
    writer: WriterId,
    /// Pause before a write whose answer was lost is looked for again.
    read_back_pause: Duration,
    state: ArcSwap<ConfigState>,
    /// Entries that are known, some perhaps ahead of a gap.
    entries: Mutex<BTreeMap<u64, ConfigEntry>>,
    number: watch::Sender<u64>,
}

fn entry_key(number: u64) -> String {
    format!("{KEY_PREFIX}{number:012}")
}

impl ConfigStore {
    pub(crate) fn new(
        platform: Arc<dyn PlatformClient>,
        writer: WriterId,
        read_back_pause: Duration,
    ) -> Self {
        Self {
            snapshots: SnapshotStore::new(Arc::clone(&platform), SNAPSHOT_NAME),
            platform,
            writer,
            read_back_pause,
            state: ArcSwap::default(),
            entries: Mutex::default(),
            number: watch::Sender::new(0),
        }
    }

    /// The configuration in force.
    pub(crate) fn document(&self) -> Arc<ConfigState> {
        self.state.load_full()
    }

    pub(crate) fn number(&self) -> u64 {
        self.state.load().number
    }

    /// Tells when the number changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.number.subscribe()
    }

    /// Gives the known entries after a number, for a peer that missed them.
    pub(crate) fn entries_after(&self, number: u64) -> Vec<ConfigEntry> {
        self.entries.lock().range(number + 1..).map(|(_, entry)| entry.clone()).collect()
    }

    /// Takes entries in that a peer or the platform has. What is older than the number in force changes nothing, so
    /// the number never goes back. Gives the number in force afterwards.
    pub(crate) fn learn(&self, entries: Vec<ConfigEntry>) -> u64 {
        let mut known = self.entries.lock();
        let mut state = ConfigState::clone(&self.state.load());
        let before = state.number;
        let fresh = entries.into_iter().filter(|entry| entry.number > before);
        known.extend(fresh.map(|entry| (entry.number, entry)));

        if let Err(error) = state.advance_all(&known) {
            log::error!("a configuration entry can't be applied: {error}");
        }

        let number = state.number;

        if number > before {
            self.state.store(Arc::new(state));
            self.number.send_replace(number);
        }

        while known.len() > KEPT_ENTRIES && known.first_key_value().is_some_and(|it| *it.0 < number)
        {
            known.pop_first();
        }

        number
    }

    /// Reads what the platform has beyond the number in force. A stale answer only brings less.
    pub(crate) async fn pull(&self) -> Result<u64, PlatformError> {
        self.pull_snapshot().await?;
        let entries = self.history(self.number()).await?;
        Ok(self.learn(entries))
    }

    /// Begins with the newest snapshot, where this host is far behind it.
    async fn pull_snapshot(&self) -> Result<(), PlatformError> {
        if self.number() > 0 {
            return Ok(());
        }

        let number = self.snapshots.newest_sequence().await?;

        let Some(value) = self.snapshots.load(number).await? else {
            return Ok(());
        };

        let malformed = |reason: String| PlatformError::Malformed { reason };
        let text: Arc<str> = decode_frame(&value).map_err(|it| malformed(it.to_string()))?;
        let document = serde_json::from_str(&text).map_err(|it| malformed(it.to_string()))?;
        let _known = self.entries.lock();

        if number > self.number() {
            self.state.store(Arc::new(ConfigState::new(number, document)));
            self.number.send_replace(number);
        }

        Ok(())
    }

    /// Writes a snapshot after every [`SNAPSHOT_ENTRIES`] entries. A failed one is made up for by the next.
    async fn write_snapshot(&self) {
        let state = self.document();

        if !state.number.is_multiple_of(SNAPSHOT_ENTRIES) {
            return;
        }

        let text = serde_json::to_string(&state.document).unwrap_or_default();
        let value = encode_frame(&text);

        if let Err(error) = self.snapshots.write(state.number, &value).await {
            log::warn!("no snapshot of configuration {} was written: {error}", state.number);
        }
    }

    /// Accepts a patch against `number`, or refuses it. It is in force here when this returns.
    pub(crate) async fn patch(&self, number: u64, patch: &Value) -> Result<ConfigEntry, Problem> {
        let state = self.document();

        if state.number > number {
            return Err(stale(number, state.number));
        }

        if state.number < number {
            return Err(Problem::not_run(
                ProblemKind::ConfigStale,
                format!("this host has number {}; come back when it has {number}", state.number),
            )
            .retry_after(1));
        }

        state
            .document
            .patched(patch)
            .map_err(|error| Problem::not_run(ProblemKind::ConfigInvalid, error.to_string()))?;

        let entry = ConfigEntry {
            number: number + 1,
            patch: patch.to_string().into(),
            writer: WriterId(self.writer.0 ^ rand::random::<u64>()),
            at_ms: unix_millis(),
        };

        self.append(&entry).await?;
        self.learn(vec![entry.clone()]);
        self.write_snapshot().await;
        Ok(entry)
    }

    /// Creates the entry's object, and reads it back where the answer was lost or another one stands there.
    async fn append(&self, entry: &ConfigEntry) -> Result<(), Problem> {
        let key = entry_key(entry.number);

        if !self.platform.is_available() {
            let problem = Problem::not_run(
                ProblemKind::PlatformUnavailable,
                "no change can be accepted while the platform is unavailable",
            );
            return Err(problem.retry_after(2));
        }

        if let Ok(CreateOutcome::Created) = self.platform.create(&key, encode_frame(entry)).await {
            return Ok(());
        }

        for _ in 0..READ_BACK_ATTEMPTS {
            match self.read(&key).await {
                Ok(Some(standing)) if standing.writer == entry.writer => return Ok(()),
                Ok(Some(standing)) => {
                    let current = self.learn(vec![standing]);
                    return Err(stale(entry.number - 1, current));
                }
                Ok(None) => match self.platform.create(&key, encode_frame(entry)).await {
                    Ok(CreateOutcome::Created) => return Ok(()),
                    Ok(CreateOutcome::Exists) | Err(_) => (),
                },
                Err(_) if self.read_back_pause.is_zero() => (),
                Err(_) => tokio::time::sleep(self.read_back_pause).await,
            }
        }

        let detail = format!("the patch to number {} may have been accepted", entry.number);
        Err(Problem::unknown(ProblemKind::OutcomeUnknown, detail).retry_after(2))
    }

    async fn read(&self, key: &str) -> Result<Option<ConfigEntry>, PlatformError> {
        let Some(value) = self.platform.get(key).await? else {
            return Ok(None);
        };

        decode_frame(&value)
            .map(Some)
            .map_err(|error| PlatformError::Malformed { reason: error.to_string() })
    }

    /// Reads the entries from a number on from the platform, for the operators' history.
    pub(crate) async fn history(&self, after: u64) -> Result<Vec<ConfigEntry>, PlatformError> {
        let keys = self.platform.list(KEY_PREFIX, &entry_key(after)).await?;

        let entries: Vec<Option<ConfigEntry>> = stream::iter(keys)
            .map(|key| async move { self.read(&key).await })
            .buffered(READ_CONCURRENCY)
            .try_collect()
            .await?;

        Ok(entries.into_iter().flatten().collect())
    }
}

fn stale(given: u64, current: u64) -> Problem {
    let detail = format!("the patch is against number {given}, and number {current} is in force");
    Problem::not_run(ProblemKind::ConfigStale, detail)
}
