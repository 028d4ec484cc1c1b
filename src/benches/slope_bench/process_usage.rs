//! Memory usage of this process.

/// Bytes that are allocated from the C library's allocator. Resident memory would be misleading: freed memory stays
/// resident and is reused by later allocations.
pub(super) fn allocated_bytes() -> u64 {
    // SAFETY: mallinfo2 has no arguments and returns a struct of integers.
    #[expect(unsafe_code, reason = "mallinfo2 has no safe binding")]
    let usage = unsafe { libc::mallinfo2() };
    (usage.uordblks + usage.hblkhd) as u64
}
