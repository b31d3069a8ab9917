//! Messages on a link: how a link is opened under the cluster's key, and how each message is framed and sealed. Without I/O.
//!
//! The one that dials says the version and draws a number; the one that is dialled draws another and proves that it has the key; from
//! then on each frame carries its length and a seal over both numbers, the frame's own number and its bytes. So nothing can be put
//! in, left out, reordered or played again without the link ending.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The version of what is said on links.
pub const VERSION: u16 = 1;
/// Bytes of a message at most: the snapshot of a large service fits.
pub const LONGEST: usize = 64 << 20;
/// What a link begins with.
const MAGIC: [u8; 4] = *b"CCLK";
/// Bytes of the drawn numbers and of a seal.
const NONCE: usize = 16;
const SEAL: usize = 16;
/// What a message's seal begins with. Members of versions that called messages letters seal alike, so the word stays.
const SEALED: &[u8] = b"letter";
/// Bytes that the one who dials says first.
pub const OPENING: usize = MAGIC.len() + 2 + NONCE + SEAL;
/// Bytes of the answer to it.
pub const ANSWER: usize = 2 + NONCE + SEAL;
/// Bytes before a message.
pub const HEAD: usize = 4 + SEAL;

/// Why a link ends.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rubbish {
    /// It is no link of this program.
    #[error("it does not speak this protocol")]
    Foreign,
    /// The other speaks another version.
    #[error("it speaks version {0} of the links' protocol, and this program version {VERSION}")]
    Version(u16),
    /// Another cluster, or another key.
    #[error("it is of another cluster, or has another key")]
    Stranger,
    /// A message is too long.
    #[error("a message of {0} bytes is too long")]
    TooLong(usize),
    /// A seal does not fit.
    #[error("a seal does not fit")]
    Seal,
}

/// A cluster's name and key.
#[derive(Clone)]
pub struct Key {
    bytes: Vec<u8>,
    cluster: String,
}

impl Key {
    /// The key of a cluster of this name.
    pub fn new(cluster: &str, bytes: &[u8]) -> Self {
        Key {
            bytes: bytes.to_vec(),
            cluster: cluster.to_owned(),
        }
    }

    fn seal(&self, parts: &[&[u8]]) -> [u8; SEAL] {
        // A key of any length is taken, so that this can't fail.
        let Ok(mut mac) = <Hmac<Sha256> as Mac>::new_from_slice(&self.bytes) else {
            return [0; SEAL];
        };
        for part in [self.cluster.as_bytes()].iter().chain(parts) {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        let whole = mac.finalize().into_bytes();
        let mut seal = [0; SEAL];
        seal.copy_from_slice(&whole[..SEAL]);
        seal
    }

    fn fits(&self, parts: &[&[u8]], seal: &[u8]) -> bool {
        let good = self.seal(parts);
        // In the same time whatever differs.
        good.len() == seal.len() && good.iter().zip(seal).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0
    }
}

/// Seals messages one way, or checks them.
pub struct Sealer {
    key: Key,
    session: [u8; 2 * NONCE],
    number: u64,
}

impl Sealer {
    fn new(key: &Key, dialler: &[u8], dialled: &[u8]) -> Self {
        let mut session = [0; 2 * NONCE];
        session[..NONCE].copy_from_slice(dialler);
        session[NONCE..].copy_from_slice(dialled);
        Sealer {
            key: key.clone(),
            session,
            number: 0,
        }
    }

    /// The head of the next message.
    ///
    /// # Errors
    /// It is too long.
    pub fn seal(&mut self, message: &[u8]) -> Result<[u8; HEAD], Rubbish> {
        if message.len() > LONGEST {
            return Err(Rubbish::TooLong(message.len()));
        }
        let mut head = [0; HEAD];
        head[..4].copy_from_slice(&(message.len() as u32).to_le_bytes());
        let seal = self
            .key
            .seal(&[SEALED, &self.session, &self.number.to_le_bytes(), message]);
        head[4..].copy_from_slice(&seal);
        self.number += 1;
        Ok(head)
    }

    /// The length of the message that a head announces.
    ///
    /// # Errors
    /// It is too long.
    pub fn length(head: &[u8; HEAD]) -> Result<usize, Rubbish> {
        let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if length > LONGEST {
            Err(Rubbish::TooLong(length))
        } else {
            Ok(length)
        }
    }

    /// Whether a message is the next one.
    ///
    /// # Errors
    /// It is not.
    pub fn check(&mut self, head: &[u8; HEAD], message: &[u8]) -> Result<(), Rubbish> {
        let number = self.number.to_le_bytes();
        if !self
            .key
            .fits(&[SEALED, &self.session, &number, message], &head[4..])
        {
            return Err(Rubbish::Seal);
        }
        self.number += 1;
        Ok(())
    }
}

/// What the one who dials says first, with the number that it drew.
pub fn opening(key: &Key, drawn: [u8; NONCE]) -> [u8; OPENING] {
    let mut bytes = [0; OPENING];
    bytes[..4].copy_from_slice(&MAGIC);
    bytes[4..6].copy_from_slice(&VERSION.to_le_bytes());
    bytes[6..6 + NONCE].copy_from_slice(&drawn);
    bytes[6 + NONCE..].copy_from_slice(&key.seal(&[b"dial", &drawn]));
    bytes
}

/// The answer of the one who is dialled, and how messages that follow are checked.
///
/// # Errors
/// No answer is due: the link ends.
pub fn answer(
    key: &Key,
    opening: &[u8; OPENING],
    drawn: [u8; NONCE],
) -> Result<([u8; ANSWER], Sealer), Rubbish> {
    if opening[..4] != MAGIC {
        return Err(Rubbish::Foreign);
    }
    let version = u16::from_le_bytes([opening[4], opening[5]]);
    if version != VERSION {
        return Err(Rubbish::Version(version));
    }
    let (theirs, seal) = opening[6..].split_at(NONCE);
    if !key.fits(&[b"dial", theirs], seal) {
        return Err(Rubbish::Stranger);
    }
    let mut bytes = [0; ANSWER];
    bytes[..2].copy_from_slice(&VERSION.to_le_bytes());
    bytes[2..2 + NONCE].copy_from_slice(&drawn);
    bytes[2 + NONCE..].copy_from_slice(&key.seal(&[b"answer", theirs, &drawn]));
    Ok((bytes, Sealer::new(key, theirs, &drawn)))
}

/// How messages are sealed after this answer.
///
/// # Errors
/// The other has not proved that it has the key.
pub fn opened(key: &Key, drawn: [u8; NONCE], answer: &[u8; ANSWER]) -> Result<Sealer, Rubbish> {
    let version = u16::from_le_bytes([answer[0], answer[1]]);
    if version != VERSION {
        return Err(Rubbish::Version(version));
    }
    let (theirs, seal) = answer[2..].split_at(NONCE);
    if !key.fits(&[b"answer", &drawn, theirs], seal) {
        return Err(Rubbish::Stranger);
    }
    Ok(Sealer::new(key, &drawn, theirs))
}
