//! Handshake and frames: messages are accepted only in order and unchanged, and a connection only with the cluster's key.

use cluster_runtime::frame::{
    FrameAuthenticator, FrameError, HANDSHAKE_REQUEST_BYTES, HEADER_BYTES, Key, MAX_MESSAGE_BYTES,
    handshake_request, handshake_response, verify_handshake_response,
};

/// Size of a nonce in bytes.
const NONCE_BYTES: usize = 16;

fn connect() -> (FrameAuthenticator, FrameAuthenticator) {
    let key = Key::new("c", b"secret");
    let (response, reader) = handshake_response(
        &key,
        &handshake_request(&key, [1; NONCE_BYTES]),
        [2; NONCE_BYTES],
    )
    .unwrap();
    (
        verify_handshake_response(&key, [1; NONCE_BYTES], &response).unwrap(),
        reader,
    )
}

#[test]
fn messages_are_accepted_only_in_order_and_unchanged() {
    let (mut writer, mut reader) = connect();
    let (one, two) = (
        writer.next_header(b"one").unwrap(),
        writer.next_header(b"two").unwrap(),
    );
    assert_eq!(FrameAuthenticator::message_length(&one), Ok(3));
    assert_eq!(
        reader.verify(&two, b"two"),
        Err(FrameError::InvalidTag),
        "out of order"
    );
    assert_eq!(reader.verify(&one, b"one"), Ok(()));
    assert_eq!(
        reader.verify(&one, b"one"),
        Err(FrameError::InvalidTag),
        "replayed"
    );
    assert_eq!(
        reader.verify(&two, b"twp"),
        Err(FrameError::InvalidTag),
        "modified"
    );
    let (_, mut other) = connect();
    assert_eq!(
        other.verify(&two, b"two"),
        Err(FrameError::InvalidTag),
        "previous frame omitted"
    );
}

#[test]
fn another_key_cluster_version_or_protocol_is_rejected() {
    let key = Key::new("c", b"secret");
    for other in [Key::new("c", b"other"), Key::new("d", b"secret")] {
        assert_eq!(
            handshake_response(
                &key,
                &handshake_request(&other, [1; NONCE_BYTES]),
                [2; NONCE_BYTES]
            )
            .err(),
            Some(FrameError::Unauthenticated)
        );
        let (response, _) = handshake_response(
            &other,
            &handshake_request(&other, [1; NONCE_BYTES]),
            [2; NONCE_BYTES],
        )
        .unwrap();
        assert_eq!(
            verify_handshake_response(&key, [1; NONCE_BYTES], &response).err(),
            Some(FrameError::Unauthenticated)
        );
    }
    let mut bytes = handshake_request(&key, [1; NONCE_BYTES]);
    bytes[4] = 9;
    assert_eq!(
        handshake_response(&key, &bytes, [2; NONCE_BYTES]).err(),
        Some(FrameError::UnsupportedVersion(9))
    );
    bytes[0] = b'G';
    assert_eq!(
        handshake_response(&key, &bytes, [2; NONCE_BYTES]).err(),
        Some(FrameError::UnknownProtocol)
    );
    let mut header = [0xFF; HEADER_BYTES];
    assert_eq!(
        FrameAuthenticator::message_length(&header),
        Err(FrameError::MessageTooLong(u32::MAX as usize))
    );
    header[..4].copy_from_slice(&(MAX_MESSAGE_BYTES as u32).to_le_bytes());
    assert_eq!(
        FrameAuthenticator::message_length(&header),
        Ok(MAX_MESSAGE_BYTES)
    );
}

#[test]
fn modified_handshake_requests_are_rejected() {
    let key = Key::new("c", b"secret");
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..10_000 {
        let mut bytes = handshake_request(&key, [3; NONCE_BYTES]);
        let index = random.usize(..HANDSHAKE_REQUEST_BYTES);
        bytes[index] ^= random.u8(1..);
        assert!(handshake_response(&key, &bytes, [2; NONCE_BYTES]).is_err());
    }
}
