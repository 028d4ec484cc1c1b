//! Memory that all buffered bodies of a host share. Each body has limits of its own, but a host has less memory than the sum
//! of them. See docs/design/platform.md, "Memory".

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use parking_lot::Mutex;

use crate::entry::host_load::{
    LoadLimits, StalledStreams, StreamHolder, load_policy::BUFFERS_SHORT,
};

/// Bytes of each body that are not counted. Bodies up to this size are never turned away for the sake of large ones.
const UNCOUNTED_BYTES: usize = 32 << 10;

/// Size of a part of a stream up to which it is not counted while it waits to be sent.
const MAX_UNCOUNTED_PART: usize = 4 << 10;

/// Size from which a buffer grows by half, and not to twice its size.
const DOUBLING_LIMIT: usize = 64 << 10;

/// Part of the host's memory that buffers may take: its size divided by this.
const MEMORY_DIVISOR: u64 = 5;

/// Size of the buffers of a host whose memory is not stated, in bytes.
const DEFAULT_CAPACITY: usize = 256 << 20;

/// The buffers of the host are full, so no more of a body can be kept.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the buffers of this host are full")]
pub struct BuffersFull;

/// Counts the bytes of all buffered bodies.
#[derive(Debug)]
pub struct BufferBudget {
    capacity: usize,
    /// Most bytes that are counted when a request's body is to grow, so that responses find room.
    request_capacity: usize,
    used: AtomicUsize,
    /// What a stream that has stalled holds; `None` if the host's memory is not limited.
    stalled_stream_bytes: Option<usize>,
    stalled: Mutex<StalledStreams>,
    /// Streams that have stalled a moment ago. Most of them go on soon, so they are bounded apart from the others.
    pending: Mutex<StalledStreams>,
}

impl Default for BufferBudget {
    fn default() -> Self {
        Self::new(None)
    }
}

impl BufferBudget {
    /// Creates the budget of a host with `memory_bytes` of memory.
    pub fn new(memory_bytes: Option<u64>) -> Self {
        let part = memory_bytes.and_then(|it| usize::try_from(it / MEMORY_DIVISOR).ok());
        let capacity = part.unwrap_or(DEFAULT_CAPACITY);
        let request_capacity = part.map_or(capacity, |it| (it as f64 * BUFFERS_SHORT) as usize);
        let limits = LoadLimits { memory_bytes, max_descriptors: None };
        Self {
            capacity,
            request_capacity,
            used: AtomicUsize::new(0),
            stalled_stream_bytes: part.map(|_| limits.stalled_stream_bytes()),
            stalled: Mutex::new(StalledStreams::new(capacity)),
            pending: Mutex::new(StalledStreams::new(capacity)),
        }
    }

    /// Bytes that are counted now.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Most bytes that are counted at a time.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Begins to count a body.
    pub(crate) fn lease(self: &Arc<Self>) -> BufferLease {
        BufferLease { budget: Arc::clone(self), counted: 0, limit: self.capacity }
    }

    /// Begins to count the body of a request, which leaves room for the responses of those that run.
    pub(crate) fn lease_request(self: &Arc<Self>) -> BufferLease {
        BufferLease { budget: Arc::clone(self), counted: 0, limit: self.request_capacity }
    }

    /// Begins to buffer a body.
    pub fn buffer(self: &Arc<Self>) -> LeasedBuffer {
        LeasedBuffer { bytes: Vec::new(), lease: self.lease() }
    }

    /// Begins to buffer the body of a client's request.
    pub fn buffer_request(self: &Arc<Self>) -> LeasedBuffer {
        LeasedBuffer { bytes: Vec::new(), lease: self.lease_request() }
    }

    /// Fails if there is no room now for a request's body of this size.
    pub fn check_request(&self, bytes: u64) -> Result<(), BuffersFull> {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES as u64);
        let has_room = counted == 0 || self.used() as u64 + counted <= self.request_capacity as u64;
        if has_room { Ok(()) } else { Err(BuffersFull) }
    }

    /// Whether the host's memory is limited.
    pub(crate) fn is_limited(&self) -> bool {
        self.stalled_stream_bytes.is_some()
    }

    /// Bytes that are counted for streams that have stalled.
    pub(crate) fn stalled_bytes(&self) -> usize {
        self.stalled.lock().held()
    }

    /// Counts a stream that has just stalled, with `waiting` bytes that wait to be sent. Returns `None` if there is no room for it,
    /// or if its holder has too many of them.
    pub(crate) fn hold_pending(
        self: &Arc<Self>,
        holder: StreamHolder,
        waiting: usize,
    ) -> Option<StalledLease> {
        let bytes = self.stalled_stream_bytes.unwrap_or_default() + waiting;
        let has_room = self.pending.lock().take(holder, bytes);
        has_room.then(|| StalledLease { budget: Arc::clone(self), holder, bytes, is_pending: true })
    }

    /// Counts a stream that has stalled for long. It then takes room from other bodies.
    pub(crate) fn hold_stalled(
        self: &Arc<Self>,
        holder: StreamHolder,
        waiting: usize,
    ) -> Option<StalledLease> {
        let bytes = self.stalled_stream_bytes.unwrap_or_default() + waiting;

        if !self.stalled.lock().take(holder, bytes) {
            return None;
        }
        if !self.take(bytes, self.request_capacity) {
            self.stalled.lock().give_back(holder, bytes);
            return None;
        }
        Some(StalledLease { budget: Arc::clone(self), holder, bytes, is_pending: false })
    }

    /// Counts bytes that wait to be sent, until they are dropped. Small ones are not counted.
    pub(crate) fn count(self: &Arc<Self>, bytes: Bytes) -> Result<Bytes, BuffersFull> {
        if bytes.len() <= MAX_UNCOUNTED_PART {
            return Ok(bytes);
        }

        let mut lease = self.lease();
        lease.resize(UNCOUNTED_BYTES + bytes.len())?;
        Ok(Bytes::from_owner(CountedBytes { bytes, _lease: lease }))
    }

    fn take(&self, bytes: usize, limit: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|it| *it <= limit);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }
}

/// Part of the budget that one body holds until this is dropped.
#[derive(Debug)]
pub(crate) struct BufferLease {
    budget: Arc<BufferBudget>,
    counted: usize,
    /// Most bytes of the budget that may be counted when this grows.
    limit: usize,
}

/// What is counted for a stream whose client does not read, until this is dropped.
#[derive(Debug)]
pub(crate) struct StalledLease {
    budget: Arc<BufferBudget>,
    holder: StreamHolder,
    bytes: usize,
    is_pending: bool,
}

impl Drop for StalledLease {
    fn drop(&mut self) {
        if self.is_pending {
            return self.budget.pending.lock().give_back(self.holder, self.bytes);
        }
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.budget.stalled.lock().give_back(self.holder, self.bytes);
    }
}

impl BufferLease {
    /// Counts `bytes` for the body from now on. If there is no room for them, what was counted before stays.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), BuffersFull> {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);

        if counted > self.counted && !self.budget.take(counted - self.counted, self.limit) {
            return Err(BuffersFull);
        }
        if counted < self.counted {
            self.budget.used.fetch_sub(self.counted - counted, Ordering::Relaxed);
        }

        self.counted = counted;
        Ok(())
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.counted, Ordering::Relaxed);
    }
}

/// Bytes that are counted until they are dropped.
struct CountedBytes {
    bytes: Bytes,
    _lease: BufferLease,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that are not counted, for a keeper that bounds its memory by itself.
pub(crate) fn uncounted(bytes: &Bytes) -> Bytes {
    if bytes.len() > UNCOUNTED_BYTES { Bytes::copy_from_slice(bytes) } else { bytes.clone() }
}

/// A body that is counted while it grows, and as long as any part of it is used.
#[derive(Debug)]
pub struct LeasedBuffer {
    bytes: Vec<u8>,
    lease: BufferLease,
}

impl LeasedBuffer {
    /// Makes room for `additional` bytes.
    pub(crate) fn reserve(&mut self, additional: usize) -> Result<(), BuffersFull> {
        let needed = self.bytes.len() + additional;

        if needed > self.bytes.capacity() {
            let capacity = self.bytes.capacity();
            let grown = if capacity < DOUBLING_LIMIT { capacity * 2 } else { capacity * 3 / 2 };
            let size = needed.max(grown);
            self.lease.resize(size)?;
            self.bytes.reserve_exact(size - self.bytes.len());
        }
        Ok(())
    }

    /// Adds bytes to the body.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BuffersFull> {
        self.reserve(bytes.len())?;
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the body has no bytes yet.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the body. It is counted until the last part of it is dropped.
    pub fn freeze(self) -> Bytes {
        if self.lease.counted == 0 { Bytes::from(self.bytes) } else { Bytes::from_owner(self) }
    }

    /// Returns the body for a keeper that bounds its memory by itself.
    pub(crate) fn into_uncounted(self) -> Bytes {
        Bytes::from(self.bytes)
    }
}

impl AsRef<[u8]> for LeasedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
