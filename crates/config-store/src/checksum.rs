//! Checksum framing of stored values: a CRC-32 (little-endian) before the payload.
//!
//! The database verifies its own checksums only after a crash; these are verified on every read.

/// Length of the checksum before a payload, in bytes.
const CHECKSUM_BYTES: usize = size_of::<u32>();

/// Prepends the checksum to a payload.
pub fn frame(payload: &[u8]) -> Vec<u8> {
    let mut framed = crc32fast::hash(payload).to_le_bytes().to_vec();
    framed.extend_from_slice(payload);
    framed
}

/// Returns the payload of a framed value; `None` if it is too short or its checksum does not match.
pub fn verified_payload(framed: &[u8]) -> Option<&[u8]> {
    let (checksum, payload) = framed.split_first_chunk::<CHECKSUM_BYTES>()?;
    (u32::from_le_bytes(*checksum) == crc32fast::hash(payload)).then_some(payload)
}
