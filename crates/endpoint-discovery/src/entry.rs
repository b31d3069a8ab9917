//! Keys and values: where a server's entry stands in the store, and what it says.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The version of values that this program writes.
pub const VERSION: u64 = 1;
/// Bytes of a value; a longer one is none.
const LONGEST: usize = 16 << 10;

/// Where a pool's keys are: `PREFIX/POOL/servers/NAME`, and `PREFIX/POOL/control/release`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keys {
    servers: String,
    release: String,
    all: String,
}

impl Keys {
    /// The keys of a pool below a prefix.
    pub fn new(prefix: &str, pool: &str) -> Self {
        let all = format!("{}/{pool}/", prefix.trim_end_matches('/'));
        Keys {
            servers: format!("{all}servers/"),
            release: format!("{all}control/release"),
            all,
        }
    }

    /// The key that all others of the pool begin with.
    pub fn all(&self) -> &str {
        &self.all
    }

    /// The key below which the servers are.
    pub fn servers(&self) -> &str {
        &self.servers
    }

    /// A server's key.
    pub fn of(&self, name: &str) -> String {
        format!("{}{name}", self.servers)
    }

    /// The key whose writing lets go of servers that are held because their leases ended together.
    pub fn release(&self) -> &str {
        &self.release
    }

    /// The server that a key is of; none for another key, and for a name that can't be one.
    pub fn name<'k>(&self, key: &'k [u8]) -> Option<&'k str> {
        let name = std::str::from_utf8(key).ok()?.strip_prefix(&self.servers)?;
        is_name(name).then_some(name)
    }
}

/// Whether a server can have this name.
pub fn is_name(name: &str) -> bool {
    let good = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b':');
    (1..=128).contains(&name.len()) && name.bytes().all(good)
}

/// Where a key range that begins with a prefix ends, as etcd asks for it.
pub fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0] // all keys from the prefix on
}

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It does.
    #[default]
    Up,
    /// It ends what it has.
    Draining,
    /// It has left; its key goes next.
    Gone,
}

/// A server's value in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Entry {
    /// The value's version.
    #[serde(default = "one")]
    pub v: u64,
    /// Address and port.
    pub address: SocketAddr,
    /// Requests that it works on at once, about.
    #[serde(default = "size")]
    pub size: f64,
    /// Where it stands.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Its kind of machine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: State,
    /// When its process started, in Unix time in ms; without it, when it joined.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born_ms: Option<u64>,
    /// What this program does not know, kept as it is.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

fn one() -> u64 {
    1
}

fn size() -> f64 {
    1.0
}

/// Why a value is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid(pub String);

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Entry {
    /// A server at an address, as large as one request.
    pub fn at(address: SocketAddr) -> Self {
        Entry {
            v: VERSION,
            address,
            size: 1.0,
            zone: None,
            kind: None,
            state: State::Up,
            born_ms: None,
            rest: Map::new(),
        }
    }

    /// Reads a value. Newer versions are read as far as they have what is asked for here.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn read(value: &[u8]) -> Result<Self, Invalid> {
        if value.len() > LONGEST {
            return Err(Invalid(format!(
                "it has {} bytes, {LONGEST} at most",
                value.len()
            )));
        }
        let entry: Entry = serde_json::from_slice(value).map_err(|e| Invalid(e.to_string()))?;
        if !(0.01..=10_000.0).contains(&entry.size) {
            return Err(Invalid(format!(
                "size: {} is not from 0.01 to 10,000",
                entry.size
            )));
        }
        if entry.v == 0 {
            return Err(Invalid("v: it begins with 1".into()));
        }
        Ok(entry)
    }

    /// The value as it is written.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unknown_fields_are_kept_and_bad_values_told_of() {
        let text = r#"{"v":3,"address":"127.0.0.1:9","rack":"r7","size":2.0,"nested":{"a":[1]}}"#;
        let entry = Entry::read(text.as_bytes()).unwrap();
        assert_eq!(
            (entry.state, entry.rest["rack"].as_str()),
            (State::Up, Some("r7"))
        );
        let again = Entry::read(entry.text().as_bytes()).unwrap();
        assert_eq!(entry, again);
        for bad in [
            "",
            "{}",
            "[]",
            r#"{"address":"x"}"#,
            r#"{"address":"127.0.0.1:9","size":0}"#,
            r#"{"v":0,"address":"127.0.0.1:9"}"#,
        ] {
            assert!(Entry::read(bad.as_bytes()).is_err(), "{bad}");
        }
        assert!(Entry::read(&vec![b' '; 20_000]).is_err());
    }

    #[test]
    fn keys_are_of_servers_of_the_pool_alone() {
        let keys = Keys::new("/canvascart/", "north");
        assert_eq!(keys.of("n1"), "/canvascart/north/servers/n1");
        assert_eq!(keys.name(b"/canvascart/north/servers/n1"), Some("n1"));
        for other in [
            "/canvascart/north/servers/",
            "/canvascart/northern/servers/a",
            "/canvascart/north/servers/a/b",
            "/canvascart/north/control/release",
        ] {
            assert_eq!(keys.name(other.as_bytes()), None, "{other}");
        }
        assert_eq!(keys.name(b"/canvascart/north/servers/\xff"), None);
        assert_eq!(range_end("a/"), b"a0");
    }
}
