//! Which object a request is about.

use hyper::{HeaderMap, header::COOKIE};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest value of a cookie that names an object, in bytes. A longer one is taken for a cookie of another use.
const MAX_BYTES: usize = 256;

/// Hash of an object's name. The name itself is kept in the request only.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct ObjectKey(pub(crate) u64);

impl ObjectKey {
    /// Returns the object that a cookie names; `None` if the cookie is missing, empty or too long, or names different
    /// objects. A value is any sequence of bytes, since upstreams may not restrict it to ASCII.
    pub(crate) fn from_cookies(headers: &HeaderMap, name: &str) -> Option<Self> {
        let mut values = headers
            .get_all(COOKIE)
            .iter()
            .flat_map(|it| it.as_bytes().split(|byte| *byte == b';'))
            .filter_map(|cookie| {
                cookie.trim_ascii().strip_prefix(name.as_bytes())?.strip_prefix(b"=")
            });
        let first = values.next()?;

        if first.is_empty() || first.len() > MAX_BYTES || values.any(|it| it != first) {
            return None;
        }
        Some(Self(xxh3_64_with_seed(first, 0)))
    }
}
