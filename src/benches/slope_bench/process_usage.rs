//! What this process has taken so far.

/// Bytes that the C library's allocator has given out and not taken back. Resident memory would not do: freed memory
/// stays resident and is given out again.
pub(super) fn allocated_bytes() -> u64 {
    // SAFETY: the call takes nothing, and gives plain numbers.
    #[expect(unsafe_code, reason = "the allocator's account has no safe interface")]
    let usage = unsafe { libc::mallinfo2() };
    (usage.uordblks + usage.hblkhd) as u64
}
