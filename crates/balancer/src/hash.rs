//! Hashes that are equal on all proxies, as they depend only on their arguments.

/// Mixes the bits of a number (finalizer of splitmix64).
pub(crate) fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Maps two numbers to a uniformly distributed number in [0, 1).
pub(crate) fn unit_hash(first: u64, second: u64) -> f64 {
    let bits = mix(first ^ mix(second.wrapping_add(0x9e37_79b9_7f4a_7c15)));
    (bits >> 11) as f64 / (1u64 << 53) as f64
}
