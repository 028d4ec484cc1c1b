//! Encoding of all messages between hosts and of all objects in the platform: a version byte, then the value in
//! `postcard` format.

use bytes::Bytes;
use derive_more::Display;
use serde::{Serialize, de::DeserializeOwned};

/// Version of the frames that this build writes, and the only one that it reads.
pub(crate) const FRAME_VERSION: u8 = 1;

/// Why bytes can't be decoded as a frame.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum FrameError {
    #[display("the frame is empty")]
    Empty,
    #[display("the frame has version {version}, expected {FRAME_VERSION}")]
    Version { version: u8 },
    #[display("the frame is truncated or not well formed: {reason}")]
    Malformed { reason: String },
}

/// Encodes a value as a frame. Panics on a type that `postcard` does not support; no framed type is one.
pub(crate) fn encode_frame<T: Serialize>(value: &T) -> Bytes {
    let frame = vec![FRAME_VERSION];
    postcard::to_extend(value, frame).expect("postcard supports all framed types").into()
}

/// Decodes the value of a frame. Bytes after the value are an error.
pub(crate) fn decode_frame<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    let (version, body) = frame.split_first().ok_or(FrameError::Empty)?;

    if *version != FRAME_VERSION {
        return Err(FrameError::Version { version: *version });
    }

    let (value, trailing) = postcard::take_from_bytes(body)
        .map_err(|error| FrameError::Malformed { reason: error.to_string() })?;

    if !trailing.is_empty() {
        let reason = format!("{} bytes follow the value", trailing.len());
        return Err(FrameError::Malformed { reason });
    }

    Ok(value)
}
