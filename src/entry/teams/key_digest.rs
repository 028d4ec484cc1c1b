//! Digests of keys.

use derive_more::Debug;
use sha2::{Digest, Sha256};

use crate::hex_text;

/// Longest key, in bytes. Longer ones count as unknown, so that a client can't make a host digest large headers.
const MAX_KEY_BYTES: usize = 4_096;

/// SHA-256 digest of a key. Hosts keep and exchange digests only, so that neither their memory nor their messages contain
/// a key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[debug("KeyDigest(..)")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digests a key. Returns `None` for a text that counts as unknown whatever the configuration states: one that is empty,
    /// too long, or not printable ASCII.
    pub fn from_key(key: &str) -> Option<Self> {
        let is_valid = (1..=MAX_KEY_BYTES).contains(&key.len())
            && key.bytes().all(|it| matches!(it, b' '..=b'~'));
        is_valid.then(|| Self(Sha256::digest(key.as_bytes()).into()))
    }

    /// The digest as hexadecimal digits, as hosts exchange it.
    pub(crate) fn to_hex(self) -> String {
        hex_text(&self.0)
    }

    /// Decodes hexadecimal digits.
    pub(crate) fn from_hex(text: &[u8]) -> Option<Self> {
        let mut digest = [0; 32];

        if text.len() != 2 * digest.len() {
            return None;
        }

        for (byte, pair) in digest.iter_mut().zip(text.chunks_exact(2)) {
            let [high, low] = [pair[0], pair[1]].map(|it| char::from(it).to_digit(16));
            *byte = (high? << 4 | low?) as u8;
        }

        Some(Self(digest))
    }
}
