//! Finished turns in memory, by id. A finished turn never changes.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

/// Most turns of a chain; the oldest turns of a longer one are left out. The users' longest programs have 57 turns.
const MAX_CHAIN_TURNS: usize = 1_024;

/// A finished turn, as it is recorded and sent between hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HistoryTurn {
    pub(crate) id: Arc<str>,
    /// Id of the turn that this one continues.
    pub(crate) previous: Option<Arc<str>>,
    #[serde(with = "base64_bytes")]
    pub(crate) input: Bytes,
    /// Data of all events of the answer, each followed by a line feed.
    #[serde(with = "base64_bytes")]
    pub(crate) output: Bytes,
}

impl HistoryTurn {
    /// Bytes of input and output.
    pub(crate) fn size(&self) -> usize {
        self.input.len() + self.output.len()
    }

    /// Most bytes that the turn takes in a record, which holds input and output as base64.
    pub(crate) fn record_size(&self) -> usize {
        let id_bytes = self.id.len() + self.previous.as_ref().map_or(0, |it| it.len());
        base64_size(self.input.len()) + base64_size(self.output.len()) + id_bytes + FIELD_BYTES
    }
}

/// Most bytes that a record takes for the names of a turn's fields.
const FIELD_BYTES: usize = 128;

/// Most bytes of the base64 text of this many bytes.
pub(crate) fn base64_size(bytes: usize) -> usize {
    bytes.div_ceil(3) * 4
}

/// The turns that a new one continues, the oldest first, or the id of the latest one that is not in memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TurnChain {
    Complete(Vec<Arc<HistoryTurn>>),
    Missing(Arc<str>),
}

#[derive(Debug)]
struct CachedTurn {
    turn: Arc<HistoryTurn>,
    expires_at: Instant,
    /// When the last record of the turn was written, at the earliest, if this host knows it. A copy from another host or from
    /// the store may be about to lose its record.
    recorded_at: Option<Instant>,
}

/// Cache of durable turns. Each is kept as long as a request may continue it.
#[derive(Debug, Default)]
pub(crate) struct TurnHistory {
    turns: HashMap<Arc<str>, CachedTurn>,
    /// When to check each turn for expiry, in order of insertion. A turn whose expiry was postponed is queued again.
    expiry_queue: VecDeque<(Instant, Arc<str>)>,
    cached_bytes: usize,
    /// Most bytes to keep, if that is limited. What is removed is found in the store again.
    max_bytes: Option<usize>,
}

impl TurnHistory {
    /// Adds a copy of a durable turn, and keeps it for `retention`. The first copy of a turn stays: a run of the request on a
    /// host that was taken for lost may have recorded another output than the one that the client has received.
    pub(crate) fn insert(&mut self, turn: Arc<HistoryTurn>, retention: Duration) {
        self.add(turn, retention, None);
    }

    /// Adds a turn that this host has recorded at `recorded_at` or later, and keeps it for `retention`.
    pub(crate) fn insert_recorded(
        &mut self,
        turn: Arc<HistoryTurn>,
        retention: Duration,
        recorded_at: Instant,
    ) {
        self.add(turn, retention, Some(recorded_at));
    }

    fn add(&mut self, turn: Arc<HistoryTurn>, retention: Duration, recorded_at: Option<Instant>) {
        let now = Instant::now();
        let expires_at = now + retention;
        let id = Arc::clone(&turn.id);
        let size = turn.size();

        if let Some(cached) = self.turns.get_mut(&id) {
            cached.expires_at = cached.expires_at.max(expires_at);
            cached.recorded_at = cached.recorded_at.max(recorded_at);
        } else {
            let cached = CachedTurn { turn, expires_at, recorded_at };
            self.turns.insert(Arc::clone(&id), cached);
            self.cached_bytes += size;
        }

        self.expiry_queue.push_back((expires_at, id));
        self.prune(now);
    }

    /// Keeps at most this many bytes from now on.
    pub(crate) fn set_limit(&mut self, max_bytes: usize) {
        self.max_bytes = Some(max_bytes);
    }

    pub(crate) fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }

    /// Returns the chain that ends with a turn, and keeps all of it for `retention` from now.
    pub(crate) fn chain(&mut self, last: &Arc<str>, retention: Duration) -> TurnChain {
        let expires_at = Instant::now() + retention;
        let mut chain = Vec::new();
        let mut next = Some(Arc::clone(last));

        while let Some(id) = next.take() {
            let Some(cached) = self.turns.get_mut(&id) else {
                return TurnChain::Missing(id);
            };
            if chain.len() >= MAX_CHAIN_TURNS {
                break;
            }
            cached.expires_at = cached.expires_at.max(expires_at);
            next.clone_from(&cached.turn.previous);
            chain.push(Arc::clone(&cached.turn));
        }

        chain.reverse();
        TurnChain::Complete(chain)
    }

    /// Returns the turns of a chain whose records may have been written before `refresh_before`, and counts them as written
    /// at `now`: the caller records them again.
    pub(crate) fn take_stale(
        &mut self,
        chain: &[Arc<HistoryTurn>],
        refresh_before: Option<Instant>,
        now: Instant,
    ) -> Vec<Arc<HistoryTurn>> {
        let mut stale = Vec::new();

        for turn in chain {
            let mut cached = self.turns.get_mut(&turn.id);
            let recorded_at = cached.as_ref().and_then(|it| it.recorded_at);

            if recorded_at.is_some_and(|at| refresh_before.is_none_or(|before| at >= before)) {
                continue;
            }
            if let Some(cached) = &mut cached {
                cached.recorded_at = Some(now);
            }
            stale.push(Arc::clone(turn));
        }

        stale
    }

    fn is_over_limit(&self) -> bool {
        self.max_bytes.is_some_and(|it| self.cached_bytes > it)
    }

    /// Removes expired turns, and the oldest ones while all take too much memory.
    fn prune(&mut self, now: Instant) {
        while let Some((check_at, _)) = self.expiry_queue.front()
            && (*check_at <= now || self.is_over_limit())
        {
            let Some((_, id)) = self.expiry_queue.pop_front() else {
                return;
            };
            let Some(cached) = self.turns.get(&id) else {
                continue;
            };

            if cached.expires_at > now && !self.is_over_limit() {
                self.expiry_queue.push_back((cached.expires_at, id));
            } else if let Some(cached) = self.turns.remove(&id) {
                self.cached_bytes -= cached.turn.size();
            }
        }
    }
}

/// Bytes of the prompt that [`chain_body`] makes.
pub(crate) fn chain_size(chain: &[Arc<HistoryTurn>], input: &Bytes) -> usize {
    chain.iter().map(|it| it.size()).sum::<usize>() + input.len()
}

/// Joins a chain and a new input into the prompt that is sent to the upstream.
pub(crate) fn chain_body(chain: &[Arc<HistoryTurn>], input: &Bytes) -> Bytes {
    if chain.is_empty() {
        return input.clone();
    }

    let mut body = BytesMut::with_capacity(chain_size(chain, input));

    for turn in chain {
        body.extend_from_slice(&turn.input);
        body.extend_from_slice(&turn.output);
    }

    body.extend_from_slice(input);
    body.freeze()
}

/// Serialises bytes as base64 in text formats such as JSON, and as raw bytes in binary ones.
pub(crate) mod base64_bytes {
    use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

    pub(crate) fn serialize<S: Serializer>(
        bytes: &Bytes,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
        } else {
            bytes.serialize(serializer)
        }
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Bytes, D::Error> {
        if !deserializer.is_human_readable() {
            return Bytes::deserialize(deserializer);
        }

        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        STANDARD_NO_PAD.decode(text.as_bytes()).map(Bytes::from).map_err(D::Error::custom)
    }
}
