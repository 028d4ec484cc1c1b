//! Memory that all buffered bodies of a host share. Each body has limits of its own, but a host has less memory than the sum
//! of them. See docs/design/platform.md, "Memory".

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use derive_more::{Display, Error};

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
    used: AtomicUsize,
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
        Self { capacity: part.unwrap_or(DEFAULT_CAPACITY), used: AtomicUsize::new(0) }
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
        BufferLease { budget: Arc::clone(self), counted: 0 }
    }

    /// Begins to buffer a body.
    pub fn buffer(self: &Arc<Self>) -> LeasedBuffer {
        LeasedBuffer { bytes: Vec::new(), lease: self.lease() }
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

    fn take(&self, bytes: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|it| *it <= self.capacity);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }
}

/// Part of the budget that one body holds until this is dropped.
#[derive(Debug)]
pub(crate) struct BufferLease {
    budget: Arc<BufferBudget>,
    counted: usize,
}

impl BufferLease {
    /// Counts `bytes` for the body from now on. If there is no room for them, what was counted before stays.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), BuffersFull> {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);

        if counted > self.counted && !self.budget.take(counted - self.counted) {
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
