//! Handshake and frames of a connection between two members, without I/O.
//!
//! The connecting side sends a nonce and proves that it has the cluster's key ([`opening`]); the accepting side replies with its own
//! nonce and proof ([`answer`], checked by [`opened`]). Each frame after that is a header, its length and a seal, and a message. A
//! [`Sealer`] computes the seal over both nonces, the frame's number and the message, so a frame that is injected, left out, reordered
//! or replayed ends the connection. Messages are authenticated, not encrypted.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Version of the protocol between members.
pub const VERSION: u16 = 1;
/// Longest message in bytes; a snapshot of a large service fits.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// First bytes of a connection.
const MAGIC: [u8; MAGIC_BYTES] = *b"CCLK";
const MAGIC_BYTES: usize = 4;
const VERSION_BYTES: usize = 2;
const LENGTH_BYTES: usize = 4;
const NONCE_BYTES: usize = 16;
const SEAL_BYTES: usize = 16;
/// Label of the connecting side's proof.
const OPENING_LABEL: &[u8] = b"dial";
/// Label of the accepting side's proof.
const ANSWER_LABEL: &[u8] = b"answer";
/// Label of a message's seal; part of the wire format.
const MESSAGE_LABEL: &[u8] = b"letter";
/// Size of the opening in bytes.
pub const OPENING_BYTES: usize = MAGIC_BYTES + VERSION_BYTES + NONCE_BYTES + SEAL_BYTES;
/// Size of the answer in bytes.
pub const ANSWER_BYTES: usize = VERSION_BYTES + NONCE_BYTES + SEAL_BYTES;
/// Size of the header before each message in bytes.
pub const HEADER_BYTES: usize = LENGTH_BYTES + SEAL_BYTES;

/// Random number drawn by one side for one connection.
pub type Nonce = [u8; NONCE_BYTES];
type Seal = [u8; SEAL_BYTES];

/// Reason why a handshake or a frame is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The connection does not begin with this protocol's magic number.
    #[error("unknown protocol")]
    UnknownProtocol,
    /// The other side speaks another version.
    #[error("unsupported protocol version {0}, expected {VERSION}")]
    UnsupportedVersion(u16),
    /// The other side belongs to another cluster or has another key.
    #[error("authentication failed: another cluster or another key")]
    Unauthenticated,
    /// A message exceeds [`MAX_MESSAGE_BYTES`]; its length in bytes.
    #[error("message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    MessageTooLong(usize),
    /// The seal of a message does not match.
    #[error("invalid seal")]
    InvalidSeal,
}

/// Key of a cluster, bound to the cluster's name.
#[derive(Clone)]
pub struct Key {
    bytes: Vec<u8>,
    cluster: String,
}

impl Key {
    /// Creates the key of the cluster with this name.
    pub fn new(cluster: &str, bytes: &[u8]) -> Self {
        Key {
            bytes: bytes.to_vec(),
            cluster: cluster.to_owned(),
        }
    }

    fn seal(&self, parts: &[&[u8]]) -> Seal {
        // HMAC accepts a key of any length, so this can't fail.
        let Ok(mut mac) = <Hmac<Sha256> as Mac>::new_from_slice(&self.bytes) else {
            return [0; SEAL_BYTES];
        };
        for part in [self.cluster.as_bytes()].iter().chain(parts) {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        let digest = mac.finalize().into_bytes();
        let mut seal = [0; SEAL_BYTES];
        seal.copy_from_slice(&digest[..SEAL_BYTES]);
        seal
    }

    fn verify(&self, parts: &[&[u8]], seal: &[u8]) -> bool {
        let expected = self.seal(parts);
        if expected.len() != seal.len() {
            return false;
        }
        // Constant time: the duration must not tell how many bytes match.
        let pairs = expected.iter().zip(seal);
        let difference = pairs.fold(0, |difference, (a, b)| difference | (a ^ b));
        difference == 0
    }
}

/// Seals or checks the messages of one direction of a connection.
pub struct Sealer {
    key: Key,
    session: [u8; 2 * NONCE_BYTES],
    next_frame: u64,
}

impl Sealer {
    fn new(key: &Key, opening_nonce: &[u8], answer_nonce: &[u8]) -> Self {
        let mut session = [0; 2 * NONCE_BYTES];
        session[..NONCE_BYTES].copy_from_slice(opening_nonce);
        session[NONCE_BYTES..].copy_from_slice(answer_nonce);
        Sealer {
            key: key.clone(),
            session,
            next_frame: 0,
        }
    }

    /// Returns the header of the next message.
    ///
    /// # Errors
    /// The message is too long.
    pub fn seal(&mut self, message: &[u8]) -> Result<[u8; HEADER_BYTES], FrameError> {
        if message.len() > MAX_MESSAGE_BYTES {
            return Err(FrameError::MessageTooLong(message.len()));
        }
        let length = message.len() as u32;
        let frame = self.next_frame.to_le_bytes();
        let seal = self
            .key
            .seal(&[MESSAGE_LABEL, &self.session, &frame, message]);
        let mut header = [0; HEADER_BYTES];
        header[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        header[LENGTH_BYTES..].copy_from_slice(&seal);
        self.next_frame += 1;
        Ok(header)
    }

    /// Returns the length of the message that a header announces, in bytes.
    ///
    /// # Errors
    /// The message is too long.
    pub fn message_length(header: &[u8; HEADER_BYTES]) -> Result<usize, FrameError> {
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(FrameError::MessageTooLong(length));
        }
        Ok(length)
    }

    /// Checks that a message is the next one of its connection.
    ///
    /// # Errors
    /// The seal does not match.
    pub fn check(&mut self, header: &[u8; HEADER_BYTES], message: &[u8]) -> Result<(), FrameError> {
        let frame = self.next_frame.to_le_bytes();
        let parts = [MESSAGE_LABEL, &self.session, &frame, message];
        if !self.key.verify(&parts, &header[LENGTH_BYTES..]) {
            return Err(FrameError::InvalidSeal);
        }
        self.next_frame += 1;
        Ok(())
    }
}

/// Returns the first bytes of the connecting side, with the nonce that it drew.
pub fn opening(key: &Key, nonce: Nonce) -> [u8; OPENING_BYTES] {
    const NONCE_AT: usize = MAGIC_BYTES + VERSION_BYTES;
    const SEAL_AT: usize = NONCE_AT + NONCE_BYTES;
    let mut bytes = [0; OPENING_BYTES];
    bytes[..MAGIC_BYTES].copy_from_slice(&MAGIC);
    bytes[MAGIC_BYTES..NONCE_AT].copy_from_slice(&VERSION.to_le_bytes());
    bytes[NONCE_AT..SEAL_AT].copy_from_slice(&nonce);
    bytes[SEAL_AT..].copy_from_slice(&key.seal(&[OPENING_LABEL, &nonce]));
    bytes
}

/// Returns the accepting side's answer to an opening, and the sealer that checks the messages after it.
///
/// # Errors
/// The opening is rejected: nothing is sent and the connection is closed.
pub fn answer(
    key: &Key,
    opening: &[u8; OPENING_BYTES],
    nonce: Nonce,
) -> Result<([u8; ANSWER_BYTES], Sealer), FrameError> {
    let (magic, rest) = opening.split_at(MAGIC_BYTES);
    if magic != MAGIC {
        return Err(FrameError::UnknownProtocol);
    }
    let (version, rest) = rest.split_at(VERSION_BYTES);
    check_version(version)?;
    let (peer_nonce, seal) = rest.split_at(NONCE_BYTES);
    if !key.verify(&[OPENING_LABEL, peer_nonce], seal) {
        return Err(FrameError::Unauthenticated);
    }
    const SEAL_AT: usize = VERSION_BYTES + NONCE_BYTES;
    let mut bytes = [0; ANSWER_BYTES];
    bytes[..VERSION_BYTES].copy_from_slice(&VERSION.to_le_bytes());
    bytes[VERSION_BYTES..SEAL_AT].copy_from_slice(&nonce);
    bytes[SEAL_AT..].copy_from_slice(&key.seal(&[ANSWER_LABEL, peer_nonce, &nonce]));
    Ok((bytes, Sealer::new(key, peer_nonce, &nonce)))
}

/// Checks the answer to an opening and returns the sealer of the messages after it.
///
/// # Errors
/// The accepting side has not proved that it has the key.
pub fn opened(key: &Key, nonce: Nonce, answer: &[u8; ANSWER_BYTES]) -> Result<Sealer, FrameError> {
    let (version, rest) = answer.split_at(VERSION_BYTES);
    check_version(version)?;
    let (peer_nonce, seal) = rest.split_at(NONCE_BYTES);
    if !key.verify(&[ANSWER_LABEL, &nonce, peer_nonce], seal) {
        return Err(FrameError::Unauthenticated);
    }
    Ok(Sealer::new(key, &nonce, peer_nonce))
}

fn check_version(bytes: &[u8]) -> Result<(), FrameError> {
    let version = u16::from_le_bytes([bytes[0], bytes[1]]);
    if version != VERSION {
        return Err(FrameError::UnsupportedVersion(version));
    }
    Ok(())
}
