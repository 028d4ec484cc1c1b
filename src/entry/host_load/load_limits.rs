//! Bounds that follow from what a host may use.

/// Part of the host's memory that is asked of the kernel for one connection in each direction: its size divided by this. The
/// kernel doubles it for its own structures, so 21 KB of 88 MB carry some 15 Mbit/s over a round trip of 16 ms. With 43 KB, the
/// queues of 1,000 streams that were not read took 98 MB.
const SOCKET_MEMORY_DIVISOR: u64 = 4_096;

/// Smallest and largest such buffer. Larger ones than the kernel's usual start would not bound anything.
const SOCKET_BYTES: (u64, u64) = (16 << 10, 256 << 10);

/// Part of the host's memory that unread bytes of one stream from another host may take.
const PEER_WINDOW_DIVISOR: u64 = 1_024;

/// Smallest and largest such window. The largest is the default of quinn.
const PEER_WINDOW_BYTES: (u64, u64) = (64 << 10, 1_250_000);

/// Descriptors that are kept free for the store, other hosts and files.
const RESERVED_DESCRIPTORS: usize = 200;

/// What a host may use, as its settings state it. `None` stands for no limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadLimits {
    /// Memory, in bytes.
    pub memory_bytes: Option<u64>,
    /// File descriptors.
    pub max_descriptors: Option<usize>,
}

impl LoadLimits {
    /// Whether any limit is stated.
    pub(crate) fn is_limited(self) -> bool {
        self.memory_bytes.is_some() || self.max_descriptors.is_some()
    }

    /// Bytes that the kernel may hold for one connection in each direction; `None` for its default.
    pub fn socket_bytes(self) -> Option<usize> {
        self.memory_bytes
            .map(|it| (it / SOCKET_MEMORY_DIVISOR).clamp(SOCKET_BYTES.0, SOCKET_BYTES.1) as usize)
    }

    /// Unread bytes that another host may have sent on one stream; `None` for the default of the transport.
    pub(crate) fn peer_window_bytes(self) -> Option<u32> {
        let (least, most) = PEER_WINDOW_BYTES;
        self.memory_bytes.map(|it| (it / PEER_WINDOW_DIVISOR).clamp(least, most) as u32)
    }

    /// Descriptors that connections may use.
    pub(crate) fn usable_descriptors(self) -> Option<usize> {
        self.max_descriptors.map(|it| it.saturating_sub(RESERVED_DESCRIPTORS).max(1))
    }

    /// Most bytes that the host holds for a stream whose client does not read, beside the items that wait to be sent.
    pub(crate) fn stalled_stream_bytes(self) -> usize {
        let socket = self.socket_bytes().unwrap_or_default();
        // The kernel doubles what it is asked for, and a stream has a connection at each end.
        4 * socket + self.peer_window_bytes().unwrap_or_default() as usize
    }
}
