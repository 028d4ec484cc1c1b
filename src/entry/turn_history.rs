//! Turns that this host knows, by id. A finished turn never changes.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

/// Turns in a chain at most. The users' longest programs have 57 turns.
const CHAIN_LIMIT: usize = 1_024;

/// A finished turn.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HistoryTurn {
    pub(crate) id: Arc<str>,
    /// The turn that this one continues.
    pub(crate) previous: Option<Arc<str>>,
    #[serde(with = "base64_bytes")]
    pub(crate) input: Bytes,
    /// Data of each event, each followed by a line feed.
    #[serde(with = "base64_bytes")]
    pub(crate) output: Bytes,
}

impl HistoryTurn {
    /// Bytes of what was said.
    pub(crate) fn size(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// The turns before a new one, the oldest first, or what is missing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TurnChain {
    Complete(Vec<Arc<HistoryTurn>>),
    Missing(Arc<str>),
}

#[derive(Debug)]
struct HeldTurn {
    turn: Arc<HistoryTurn>,
    keep_until: Instant,
    /// When it was last written to the store by this host; a copy from elsewhere counts as just written.
    recorded_at: Instant,
}

/// Turns in memory, for as long as a turn that continues them may come.
#[derive(Debug, Default)]
pub(crate) struct TurnHistory {
    turns: HashMap<Arc<str>, HeldTurn>,
    by_age: VecDeque<(Instant, Arc<str>)>,
    held_bytes: usize,
}

impl TurnHistory {
    /// Adds a turn that is durable, and keeps it for `retention`.
    pub(crate) fn insert(&mut self, turn: Arc<HistoryTurn>, retention: Duration) {
        let now = Instant::now();
        let keep_until = now + retention;
        let id = Arc::clone(&turn.id);
        let size = turn.size();
        let held = HeldTurn { turn, keep_until, recorded_at: now };

        if self.turns.insert(Arc::clone(&id), held).is_none() {
            self.held_bytes += size;
        }

        self.by_age.push_back((keep_until, id));
        self.prune(now);
    }

    pub(crate) fn cached_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Gives the chain that ends with a turn, and keeps all of it for `retention` more.
    pub(crate) fn chain(&mut self, last: &Arc<str>, retention: Duration) -> TurnChain {
        let keep_until = Instant::now() + retention;
        let mut chain = Vec::new();
        let mut next = Some(Arc::clone(last));

        while let Some(id) = next.take() {
            let Some(held) = self.turns.get_mut(&id) else {
                return TurnChain::Missing(id);
            };
            if chain.len() >= CHAIN_LIMIT {
                break;
            }
            held.keep_until = held.keep_until.max(keep_until);
            next.clone_from(&held.turn.previous);
            chain.push(Arc::clone(&held.turn));
        }

        chain.reverse();
        TurnChain::Complete(chain)
    }

    /// Gives the turns of a chain whose record in the store is older than `age`, and counts them as written again.
    pub(crate) fn take_stale(
        &mut self,
        chain: &[Arc<HistoryTurn>],
        age: Duration,
    ) -> Vec<Arc<HistoryTurn>> {
        let now = Instant::now();
        let mut aged = Vec::new();

        for turn in chain {
            if let Some(held) = self.turns.get_mut(&turn.id)
                && now.duration_since(held.recorded_at) > age
            {
                held.recorded_at = now;
                aged.push(Arc::clone(turn));
            }
        }

        aged
    }

    fn prune(&mut self, now: Instant) {
        while let Some((due, _)) = self.by_age.front()
            && *due <= now
        {
            let Some((_, id)) = self.by_age.pop_front() else {
                return;
            };
            let Some(held) = self.turns.get(&id) else {
                continue;
            };

            if held.keep_until > now {
                self.by_age.push_back((held.keep_until, id));
            } else if let Some(held) = self.turns.remove(&id) {
                self.held_bytes -= held.turn.size();
            }
        }
    }
}

/// Joins a chain and a new input into the prompt that the upstream reads.
pub(crate) fn chain_body(chain: &[Arc<HistoryTurn>], input: &Bytes) -> Bytes {
    if chain.is_empty() {
        return input.clone();
    }

    let size: usize = chain.iter().map(|it| it.size()).sum();
    let mut body = BytesMut::with_capacity(size + input.len());

    for turn in chain {
        body.extend_from_slice(&turn.input);
        body.extend_from_slice(&turn.output);
    }

    body.extend_from_slice(input);
    body.freeze()
}

/// Bytes as base64 in texts such as JSON, and as they are in binary messages.
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
