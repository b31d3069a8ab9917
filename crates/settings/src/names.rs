//! Names of the classes, tenants, zones and machine types that the decision module refers to by index.

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Names by their index in the decision module's settings and events.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes, in the order of [`balancer::Settings::classes`].
    pub classes: Vec<String>,
    /// Tenants, in the order of [`balancer::Settings::tenants`].
    pub tenants: Vec<String>,
    /// Zones, including those first seen in the endpoint list.
    pub zones: Vec<String>,
    /// Machine types, including those first seen in the endpoint list.
    pub machine_types: Vec<String>,
}

/// Returns a hash of a name that is the same at every proxy (FNV-1a, 64 bits).
pub fn stable_hash(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Returns the index of a name in a list, to which it is added if it is new.
pub fn intern(names: &mut Vec<String>, name: &str) -> usize {
    let found = names.iter().position(|known| known == name);
    found.unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}
