//! Keys of a pool in the store, and the names that endpoints may have.

/// Longest name of an endpoint, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Keys of a pool: `PREFIX/POOL/servers/NAME` and `PREFIX/POOL/control/release`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeySpace {
    pool_prefix: String,
    endpoint_prefix: String,
    release_key: String,
}

impl KeySpace {
    /// Builds the keys of a pool below a prefix.
    pub fn new(prefix: &str, pool: &str) -> Self {
        let pool_prefix = format!("{}/{pool}/", prefix.trim_end_matches('/'));
        KeySpace {
            endpoint_prefix: format!("{pool_prefix}servers/"),
            release_key: format!("{pool_prefix}control/release"),
            pool_prefix,
        }
    }

    /// Returns the prefix of all keys of the pool.
    pub fn pool_prefix(&self) -> &str {
        &self.pool_prefix
    }

    /// Returns the prefix of the endpoints' keys.
    pub fn endpoint_prefix(&self) -> &str {
        &self.endpoint_prefix
    }

    /// Returns the key of an endpoint.
    pub fn endpoint_key(&self, name: &str) -> String {
        format!("{}{name}", self.endpoint_prefix)
    }

    /// Returns the key whose write removes the endpoints that are retained after a mass lease expiry.
    pub fn release_key(&self) -> &str {
        &self.release_key
    }

    /// Returns the name of the endpoint that a key belongs to; `None` for another key and for an invalid name.
    pub fn endpoint_name<'k>(&self, key: &'k [u8]) -> Option<&'k str> {
        let name = std::str::from_utf8(key)
            .ok()?
            .strip_prefix(&self.endpoint_prefix)?;
        is_valid_endpoint_name(name).then_some(name)
    }
}

/// Checks the name of an endpoint: 1 to 128 bytes of letters, digits, `.`, `_`, `-` and `:`.
pub fn is_valid_endpoint_name(name: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-' | b':');
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}

/// Returns the exclusive end of the key range with a prefix, in etcd's form.
pub fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0] // etcd's form for all keys from the prefix on
}
