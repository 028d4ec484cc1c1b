//! Numbered configuration of a host: read from the platform at the start, advanced by entries of peers and patched by
//! operators. See docs/design/configuration.md.

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

/// Prefix of the keys of configuration entries.
const KEY_PREFIX: &str = "config/";

/// Most entries that are cached for peers that missed them. Older ones are read from the platform.
const MAX_CACHED_ENTRIES: usize = 1_024;

/// Entries that are read concurrently.
const READ_CONCURRENCY: usize = 16;

/// Entries after which a snapshot is written, which bounds what a starting host reads.
const ENTRIES_PER_SNAPSHOT: u64 = 256;

/// Name of the configuration's snapshots.
const SNAPSHOT_NAME: &str = "config";

/// Most reads of an entry's key after a write that failed or got no response.
const MAX_READ_BACK_ATTEMPTS: u32 = 4;

/// Configuration in force on this host, with operations that advance it.
#[derive(Debug)]
pub(crate) struct ConfigStore {
    platform: Arc<dyn PlatformClient>,
    snapshots: SnapshotStore,
    writer: WriterId,
    /// Pause after a failed read of an entry's key.
    read_back_pause: Duration,
    state: ArcSwap<ConfigState>,
    /// Cached entries by number; some may be ahead of a gap. Locked while the state is replaced.
    entries: Mutex<BTreeMap<u64, ConfigEntry>>,
    /// Number in force, for subscribers.
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

    /// Returns the configuration in force.
    pub(crate) fn state(&self) -> Arc<ConfigState> {
        self.state.load_full()
    }

    pub(crate) fn number(&self) -> u64 {
        self.state.load().number
    }

    /// Returns a receiver of changes of the number.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.number.subscribe()
    }

    /// Returns the cached entries after a number, for a peer that missed them.
    pub(crate) fn entries_after(&self, number: u64) -> Vec<ConfigEntry> {
        self.entries.lock().range(number + 1..).map(|(_, entry)| entry.clone()).collect()
    }

    /// Merges entries from a peer or the platform, and applies those that follow without a gap. Entries up to the
    /// number in force change nothing, so the number never goes back. Returns the number in force afterwards.
    pub(crate) fn merge(&self, entries: Vec<ConfigEntry>) -> u64 {
        let mut cached = self.entries.lock();
        let mut state = ConfigState::clone(&self.state.load());
        let previous = state.number;
        let fresh = entries.into_iter().filter(|entry| entry.number > previous);
        cached.extend(fresh.map(|entry| (entry.number, entry)));

        if let Err(error) = state.advance_all(&cached) {
            log::error!("a configuration entry can't be applied: {error}");
        }

        let number = state.number;

        if number > previous {
            self.state.store(Arc::new(state));
            self.number.send_replace(number);
        }

        while cached.len() > MAX_CACHED_ENTRIES
            && cached.first_key_value().is_some_and(|it| *it.0 < number)
        {
            cached.pop_first();
        }

        number
    }

    /// Merges the entries after the number in force from the platform. A stale response only contains fewer entries.
    pub(crate) async fn pull(&self) -> Result<u64, PlatformError> {
        self.pull_snapshot().await?;
        let entries = self.history(self.number()).await?;
        Ok(self.merge(entries))
    }

    /// Loads the newest snapshot if this host has no configuration yet.
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
        let _guard = self.entries.lock();

        if number > self.number() {
            self.state.store(Arc::new(ConfigState::new(number, document)));
            self.number.send_replace(number);
        }

        Ok(())
    }

    /// Writes a snapshot after every [`ENTRIES_PER_SNAPSHOT`] entries. If that fails, the next one replaces it.
    async fn write_snapshot(&self) {
        let state = self.state();

        if !state.number.is_multiple_of(ENTRIES_PER_SNAPSHOT) {
            return;
        }

        let text = serde_json::to_string(&state.document).unwrap_or_default();
        let value = encode_frame(&text);

        if let Err(error) = self.snapshots.write(state.number, &value).await {
            log::warn!("no snapshot of configuration {} was written: {error}", state.number);
        }
    }

    /// Validates a patch against `number` and appends it as the next entry. When this succeeds, the entry is in force
    /// on this host.
    pub(crate) async fn patch(&self, number: u64, patch: &Value) -> Result<ConfigEntry, Problem> {
        let state = self.state();

        if state.number > number {
            return Err(stale_problem(number, state.number));
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
        self.merge(vec![entry.clone()]);
        self.write_snapshot().await;
        Ok(entry)
    }

    /// Creates the entry's object. If the response is lost or the number is taken, reads the object to find out whose
    /// entry it is.
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

        for _ in 0..MAX_READ_BACK_ATTEMPTS {
            match self.read(&key).await {
                Ok(Some(existing)) if existing.writer == entry.writer => return Ok(()),
                Ok(Some(existing)) => {
                    let current = self.merge(vec![existing]);
                    return Err(stale_problem(entry.number - 1, current));
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

    /// Reads the entries after a number from the platform.
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

fn stale_problem(patched: u64, current: u64) -> Problem {
    let detail = format!("the patch is against number {patched}, and number {current} is in force");
    Problem::not_run(ProblemKind::ConfigStale, detail)
}
