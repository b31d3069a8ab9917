//! Handshake and frames of a connection between two members, without I/O.
//!
//! The connecting side sends a nonce and proves that it has the cluster's key ([`handshake_request`]). The accepting side replies with
//! its own nonce and proof ([`handshake_response`], verified by [`verify_handshake_response`]). After the handshake, each frame consists
//! of a header, with length and authentication tag, and a message. A [`FrameAuthenticator`] computes the tag over both nonces, the frame
//! number and the message, so that an injected, omitted, reordered or replayed frame ends the connection. Messages are authenticated but
//! not encrypted.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Version of the protocol between members.
pub const VERSION: u16 = 1;
/// Maximum size of a message in bytes; large enough for a snapshot of a large configuration.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// First bytes of a connection.
const MAGIC: [u8; MAGIC_BYTES] = *b"CCLK";
const MAGIC_BYTES: usize = 4;
const VERSION_BYTES: usize = 2;
const LENGTH_BYTES: usize = 4;
const NONCE_BYTES: usize = 16;
const TAG_BYTES: usize = 16;
/// Label of the connecting side's proof; part of the wire format.
const REQUEST_LABEL: &[u8] = b"dial";
/// Label of the accepting side's proof; part of the wire format.
const RESPONSE_LABEL: &[u8] = b"answer";
/// Label of a message's authentication tag; part of the wire format.
const MESSAGE_LABEL: &[u8] = b"letter";
/// Size of a handshake request in bytes.
pub const HANDSHAKE_REQUEST_BYTES: usize = MAGIC_BYTES + VERSION_BYTES + NONCE_BYTES + TAG_BYTES;
/// Size of a handshake response in bytes.
pub const HANDSHAKE_RESPONSE_BYTES: usize = VERSION_BYTES + NONCE_BYTES + TAG_BYTES;
/// Size of the header of a frame in bytes.
pub const HEADER_BYTES: usize = LENGTH_BYTES + TAG_BYTES;

/// Random number that one side draws for one connection.
pub type Nonce = [u8; NONCE_BYTES];
type Tag = [u8; TAG_BYTES];

/// Reason why a handshake or a frame is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The connection does not start with the magic number of this protocol.
    #[error("unknown protocol")]
    UnknownProtocol,
    /// The other side uses another protocol version.
    #[error("unsupported protocol version {0}, expected {VERSION}")]
    UnsupportedVersion(u16),
    /// The other side belongs to another cluster or has another key.
    #[error("authentication failed: another cluster or another key")]
    Unauthenticated,
    /// A message exceeds [`MAX_MESSAGE_BYTES`]; its length in bytes.
    #[error("message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    MessageTooLong(usize),
    /// The authentication tag of a message is invalid.
    #[error("invalid authentication tag")]
    InvalidTag,
}

/// Key of a cluster, bound to the cluster's name.
#[derive(Clone)]
pub struct Key {
    bytes: Vec<u8>,
    cluster: String,
}

impl Key {
    /// Creates a key that is bound to the cluster's name.
    pub fn new(cluster: &str, bytes: &[u8]) -> Self {
        Key {
            bytes: bytes.to_vec(),
            cluster: cluster.to_owned(),
        }
    }

    fn tag(&self, parts: &[&[u8]]) -> Tag {
        // HMAC accepts a key of any length, so this can't fail.
        let Ok(mut mac) = <Hmac<Sha256> as Mac>::new_from_slice(&self.bytes) else {
            return [0; TAG_BYTES];
        };
        for part in [self.cluster.as_bytes()].iter().chain(parts) {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        let digest = mac.finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&digest[..TAG_BYTES]);
        tag
    }

    fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        let expected = self.tag(parts);
        if expected.len() != tag.len() {
            return false;
        }
        // Compares in constant time: the duration must not reveal how many bytes match.
        let pairs = expected.iter().zip(tag);
        let difference = pairs.fold(0, |difference, (a, b)| difference | (a ^ b));
        difference == 0
    }
}

/// Creates or verifies the authentication tags of the messages in one direction of a connection.
pub struct FrameAuthenticator {
    key: Key,
    session: [u8; 2 * NONCE_BYTES],
    next_frame: u64,
}

impl FrameAuthenticator {
    fn new(key: &Key, request_nonce: &[u8], response_nonce: &[u8]) -> Self {
        let mut session = [0; 2 * NONCE_BYTES];
        session[..NONCE_BYTES].copy_from_slice(request_nonce);
        session[NONCE_BYTES..].copy_from_slice(response_nonce);
        FrameAuthenticator {
            key: key.clone(),
            session,
            next_frame: 0,
        }
    }

    /// Returns the header of the next frame, which contains `message`.
    ///
    /// # Errors
    /// The message is too long.
    pub fn next_header(&mut self, message: &[u8]) -> Result<[u8; HEADER_BYTES], FrameError> {
        if message.len() > MAX_MESSAGE_BYTES {
            return Err(FrameError::MessageTooLong(message.len()));
        }
        let length = message.len() as u32;
        let frame = self.next_frame.to_le_bytes();
        let tag = self
            .key
            .tag(&[MESSAGE_LABEL, &self.session, &frame, message]);
        let mut header = [0; HEADER_BYTES];
        header[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        header[LENGTH_BYTES..].copy_from_slice(&tag);
        self.next_frame += 1;
        Ok(header)
    }

    /// Returns the length of the message according to a header, in bytes.
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

    /// Verifies that a message is the next one of its connection.
    ///
    /// # Errors
    /// The authentication tag is invalid.
    pub fn verify(
        &mut self,
        header: &[u8; HEADER_BYTES],
        message: &[u8],
    ) -> Result<(), FrameError> {
        let frame = self.next_frame.to_le_bytes();
        let parts = [MESSAGE_LABEL, &self.session, &frame, message];
        if !self.key.verify(&parts, &header[LENGTH_BYTES..]) {
            return Err(FrameError::InvalidTag);
        }
        self.next_frame += 1;
        Ok(())
    }
}

/// Returns the handshake request of the connecting side with its nonce.
pub fn handshake_request(key: &Key, nonce: Nonce) -> [u8; HANDSHAKE_REQUEST_BYTES] {
    const NONCE_OFFSET: usize = MAGIC_BYTES + VERSION_BYTES;
    const TAG_OFFSET: usize = NONCE_OFFSET + NONCE_BYTES;
    let mut bytes = [0; HANDSHAKE_REQUEST_BYTES];
    bytes[..MAGIC_BYTES].copy_from_slice(&MAGIC);
    bytes[MAGIC_BYTES..NONCE_OFFSET].copy_from_slice(&VERSION.to_le_bytes());
    bytes[NONCE_OFFSET..TAG_OFFSET].copy_from_slice(&nonce);
    bytes[TAG_OFFSET..].copy_from_slice(&key.tag(&[REQUEST_LABEL, &nonce]));
    bytes
}

/// Verifies a handshake request. Returns the response of the accepting side and the authenticator that verifies the messages after it.
///
/// # Errors
/// The request is invalid; the caller sends nothing and closes the connection.
pub fn handshake_response(
    key: &Key,
    request: &[u8; HANDSHAKE_REQUEST_BYTES],
    nonce: Nonce,
) -> Result<([u8; HANDSHAKE_RESPONSE_BYTES], FrameAuthenticator), FrameError> {
    let (magic, rest) = request.split_at(MAGIC_BYTES);
    if magic != MAGIC {
        return Err(FrameError::UnknownProtocol);
    }
    let (version, rest) = rest.split_at(VERSION_BYTES);
    check_version(version)?;
    let (peer_nonce, tag) = rest.split_at(NONCE_BYTES);
    if !key.verify(&[REQUEST_LABEL, peer_nonce], tag) {
        return Err(FrameError::Unauthenticated);
    }
    const TAG_OFFSET: usize = VERSION_BYTES + NONCE_BYTES;
    let mut bytes = [0; HANDSHAKE_RESPONSE_BYTES];
    bytes[..VERSION_BYTES].copy_from_slice(&VERSION.to_le_bytes());
    bytes[VERSION_BYTES..TAG_OFFSET].copy_from_slice(&nonce);
    bytes[TAG_OFFSET..].copy_from_slice(&key.tag(&[RESPONSE_LABEL, peer_nonce, &nonce]));
    Ok((bytes, FrameAuthenticator::new(key, peer_nonce, &nonce)))
}

/// Verifies the response to a handshake request and returns the authenticator for the messages after it.
///
/// # Errors
/// The accepting side uses another protocol version or has not proved that it has the key.
pub fn verify_handshake_response(
    key: &Key,
    nonce: Nonce,
    response: &[u8; HANDSHAKE_RESPONSE_BYTES],
) -> Result<FrameAuthenticator, FrameError> {
    let (version, rest) = response.split_at(VERSION_BYTES);
    check_version(version)?;
    let (peer_nonce, tag) = rest.split_at(NONCE_BYTES);
    if !key.verify(&[RESPONSE_LABEL, &nonce, peer_nonce], tag) {
        return Err(FrameError::Unauthenticated);
    }
    Ok(FrameAuthenticator::new(key, &nonce, peer_nonce))
}

fn check_version(bytes: &[u8]) -> Result<(), FrameError> {
    let version = u16::from_le_bytes([bytes[0], bytes[1]]);
    if version != VERSION {
        return Err(FrameError::UnsupportedVersion(version));
    }
    Ok(())
}
