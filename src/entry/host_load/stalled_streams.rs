//! Decides how much a host holds for streams whose clients don't read. The decision is pure.
//!
//! | Input | Load that it addresses |
//! |---|---|
//! | bytes of a stream that has stalled | many clients that read slowly |
//! | holder of the stream | one team with many of them |
//! | bytes that are held already | all of them together |

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::entry::{ClientKey, EntryRequest, Team};

/// Part of the buffers that stalled streams may take: the rest is for the bodies of others.
const STALLED_DIVISOR: usize = 2;

/// Part of what stalled streams may take that those of one team may take.
const TEAM_DIVISOR: usize = 2;

/// Whose stream it is: a team, or the key of one at a host that knows no teams. Only the hash is kept.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct StreamHolder(Option<u64>);

impl StreamHolder {
    pub(crate) fn new(request: &EntryRequest, team: Option<&Team>) -> Self {
        match (team, request.key) {
            (Some(team), _) => Self::of_name(&team.name),
            (None, ClientKey::Digest(digest)) => Self::of_name(&digest.to_hex()),
            (None, _) => Self::default(),
        }
    }

    pub(crate) fn of_name(name: &str) -> Self {
        Self(Some(xxh3_64(name.as_bytes())))
    }
}

/// Bytes that are held for stalled streams, over all and by holder.
#[derive(Debug)]
pub(crate) struct StalledStreams {
    capacity: usize,
    held: usize,
    held_by: HashMap<StreamHolder, usize>,
}

impl StalledStreams {
    /// Creates the state of a host with buffers of this size, in bytes.
    pub(crate) fn new(buffers_capacity: usize) -> Self {
        Self { capacity: buffers_capacity / STALLED_DIVISOR, held: 0, held_by: HashMap::new() }
    }

    /// Counts a stream that has stalled, if there is room for it. Requests without a key may use what all may use together.
    pub(crate) fn take(&mut self, holder: StreamHolder, bytes: usize) -> bool {
        let most = if holder.0.is_some() { self.capacity / TEAM_DIVISOR } else { self.capacity };
        let held_by = self.held_by.get(&holder).copied().unwrap_or_default();
        let has_room = self.held.saturating_add(bytes) <= self.capacity
            && held_by.saturating_add(bytes) <= most;

        if has_room {
            self.held += bytes;
            *self.held_by.entry(holder).or_default() += bytes;
        }
        has_room
    }

    /// Takes back what [`StalledStreams::take`] has counted.
    pub(crate) fn give_back(&mut self, holder: StreamHolder, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);

        if let Some(held_by) = self.held_by.get_mut(&holder) {
            *held_by = held_by.saturating_sub(bytes);
            if *held_by == 0 {
                self.held_by.remove(&holder);
            }
        }
    }

    pub(crate) fn held(&self) -> usize {
        self.held
    }
}
