//! Messages pass a link in order and unchanged, and nobody opens one without the cluster's key.

use cluster_runtime::frame::{
    FrameError, HEADER_BYTES, Key, MAX_MESSAGE_BYTES, OPENING_BYTES, Sealer, answer, opened,
    opening,
};

/// Bytes of the drawn numbers.
const NONCE: usize = 16;

fn link() -> (Sealer, Sealer) {
    let key = Key::new("c", b"secret");
    let (answer, reader) = answer(&key, &opening(&key, [1; NONCE]), [2; NONCE]).unwrap();
    (opened(&key, [1; NONCE], &answer).unwrap(), reader)
}

#[test]
fn messages_pass_in_order_and_no_other_way() {
    let (mut writer, mut reader) = link();
    let (one, two) = (writer.seal(b"one").unwrap(), writer.seal(b"two").unwrap());
    assert_eq!(Sealer::message_length(&one), Ok(3));
    assert_eq!(
        reader.check(&two, b"two"),
        Err(FrameError::InvalidSeal),
        "out of order"
    );
    assert_eq!(reader.check(&one, b"one"), Ok(()));
    assert_eq!(
        reader.check(&one, b"one"),
        Err(FrameError::InvalidSeal),
        "played again"
    );
    assert_eq!(
        reader.check(&two, b"twp"),
        Err(FrameError::InvalidSeal),
        "changed"
    );
    let (_, mut other) = link();
    assert_eq!(
        other.check(&two, b"two"),
        Err(FrameError::InvalidSeal),
        "left out"
    );
}

#[test]
fn another_key_name_version_or_program_is_turned_away() {
    let key = Key::new("c", b"secret");
    for other in [Key::new("c", b"other"), Key::new("d", b"secret")] {
        assert_eq!(
            answer(&key, &opening(&other, [1; NONCE]), [2; NONCE]).err(),
            Some(FrameError::Unauthenticated)
        );
        let (said, _) = answer(&other, &opening(&other, [1; NONCE]), [2; NONCE]).unwrap();
        assert_eq!(
            opened(&key, [1; NONCE], &said).err(),
            Some(FrameError::Unauthenticated)
        );
    }
    let mut bytes = opening(&key, [1; NONCE]);
    bytes[4] = 9;
    assert_eq!(
        answer(&key, &bytes, [2; NONCE]).err(),
        Some(FrameError::UnsupportedVersion(9))
    );
    bytes[0] = b'G';
    assert_eq!(
        answer(&key, &bytes, [2; NONCE]).err(),
        Some(FrameError::UnknownProtocol)
    );
    let mut head = [0xFF; HEADER_BYTES];
    assert_eq!(
        Sealer::message_length(&head),
        Err(FrameError::MessageTooLong(u32::MAX as usize))
    );
    head[..4].copy_from_slice(&(MAX_MESSAGE_BYTES as u32).to_le_bytes());
    assert_eq!(Sealer::message_length(&head), Ok(MAX_MESSAGE_BYTES));
}

#[test]
fn bytes_by_chance_open_nothing() {
    let key = Key::new("c", b"secret");
    let mut chance = fastrand::Rng::with_seed(7);
    for _ in 0..10_000 {
        let mut bytes = opening(&key, [3; NONCE]);
        let at = chance.usize(..OPENING_BYTES);
        bytes[at] ^= chance.u8(1..);
        assert!(answer(&key, &bytes, [2; NONCE]).is_err());
    }
}
