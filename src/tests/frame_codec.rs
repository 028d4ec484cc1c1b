//! Decoding of frames: invalid ones are errors and never cause a panic.

use crate::{FrameError, PeerMessage, decode_frame, encode_frame};

#[test]
fn decode_frame_invalid_frames() {
    let message = PeerMessage::ConfigPull { after: 7 };
    let frame = encode_frame(&message);
    assert!(decode_frame::<PeerMessage>(&frame).is_ok());
    assert_eq!(decode_frame::<PeerMessage>(&[]).err(), Some(FrameError::Empty));

    let mut other_version = frame.to_vec();
    other_version[0] = 9;
    assert_eq!(
        decode_frame::<PeerMessage>(&other_version).err(),
        Some(FrameError::Version { version: 9 })
    );

    let truncated = decode_frame::<PeerMessage>(&frame[..frame.len() - 1]);
    assert!(matches!(truncated, Err(FrameError::Malformed { .. })));

    let mut longer = frame.to_vec();
    longer.push(0);
    assert!(matches!(decode_frame::<PeerMessage>(&longer), Err(FrameError::Malformed { .. })));
}

#[test]
fn decode_frame_random_bytes() {
    let seeds = bolero::check!().exhaustive().with_generator(0..2_000_u64).cloned();

    seeds.for_each(|seed| {
        use rand::{RngExt, SeedableRng};
        let mut random = rand::rngs::StdRng::seed_from_u64(seed);
        let mut bytes: Vec<u8> =
            (0..random.random_range(0..200)).map(|_| random.random()).collect();

        if let Some(first) = bytes.first_mut() {
            *first = crate::membership::frame_codec::FRAME_VERSION;
        }

        let _ = decode_frame::<PeerMessage>(&bytes);
    });
}
