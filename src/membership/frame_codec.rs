//! Encoding of everything that hosts send each other or keep in the platform: a version byte, then `postcard`.

use bytes::Bytes;
use derive_more::Display;
use serde::{Serialize, de::DeserializeOwned};

/// Version that this build writes, and the only one that it reads.
pub(crate) const FRAME_VERSION: u8 = 1;

/// Bytes that can't be read as a frame.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum FrameError {
    #[display("the frame is empty")]
    Empty,
    #[display("the frame has version {version}, expected {FRAME_VERSION}")]
    Version { version: u8 },
    #[display("the frame is truncated or not well formed: {reason}")]
    Malformed { reason: String },
}

/// Encodes a value. It fails only for types that `postcard` can't hold, which none of ours are.
pub(crate) fn encode_frame<T: Serialize>(value: &T) -> Bytes {
    let frame = vec![FRAME_VERSION];
    postcard::to_extend(value, frame).expect("types of frames are encodable").into()
}

/// Decodes a value, and refuses what follows it.
pub(crate) fn decode_frame<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    let (version, body) = frame.split_first().ok_or(FrameError::Empty)?;

    if *version != FRAME_VERSION {
        return Err(FrameError::Version { version: *version });
    }

    let (value, rest) = postcard::take_from_bytes(body)
        .map_err(|error| FrameError::Malformed { reason: error.to_string() })?;

    if !rest.is_empty() {
        let reason = format!("{} bytes follow the value", rest.len());
        return Err(FrameError::Malformed { reason });
    }

    Ok(value)
}
