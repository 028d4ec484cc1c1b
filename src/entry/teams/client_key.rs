//! The key of a client's request.

use crate::entry::KeyDigest;

/// What is known of the key of a client's request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ClientKey {
    /// The client has sent no key, or one that no team can have.
    #[default]
    Missing,
    /// The digest of the client's key.
    Digest(KeyDigest),
    /// The request was forwarded by a build that knows no teams, so whether the client has sent a key is not known.
    Unstated,
}
