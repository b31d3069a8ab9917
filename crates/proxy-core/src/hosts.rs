//! Endpoint list as discovery sends it and the configuration caches it.

use std::net::SocketAddr;

use balancer::EndpointState;
use serde::Deserialize;
use serde_json::Value;

use crate::note;

/// One entry of the list. The fields have the names of the discovery protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// The endpoint's name.
    pub host: String,
    /// The address; `None` if it is missing or malformed.
    pub dial: Option<SocketAddr>,
    /// The zone.
    pub site: Option<String>,
    /// The machine type.
    pub class: Option<String>,
    /// The cell.
    pub block: Option<u64>,
    /// `up`, `draining` or `removed`.
    pub health: String,
    /// The endpoint's capacity or weight.
    pub share: Option<f64>,
    /// The start of the endpoint as Unix time in milliseconds; 0 if long ago.
    pub born_ms: f64,
}

impl Host {
    /// Parses an entry as far as possible: one malformed entry must not hide the rest of the list.
    fn parse(entry: &Value) -> Option<Self> {
        let text = |key: &str| entry[key].as_str().map(str::to_owned);
        let Some(host) = text("host") else {
            note!("discovery: ignoring an entry without a name");
            return None;
        };
        let dial = entry["dial"].as_str().and_then(|d| d.parse().ok());
        if dial.is_none() && entry["health"] != "removed" {
            note!("discovery: {host} has no valid address");
        }
        Some(Host {
            host,
            dial,
            site: text("site"),
            class: text("class"),
            block: entry["block"].as_u64(),
            health: text("health").unwrap_or_default(),
            share: entry["share"].as_f64(),
            born_ms: entry["born_ms"].as_f64().unwrap_or(0.0),
        })
    }

    /// Returns whether new requests may go to the endpoint.
    pub fn state(&self) -> EndpointState {
        match self.health.as_str() {
            "up" if self.dial.is_some() => EndpointState::Up,
            "removed" => EndpointState::Removed,
            _ => EndpointState::Draining, // draining, unknown or without an address: no new requests
        }
    }
}

/// A full list or the entries that have changed.
#[derive(Debug, Deserialize)]
pub struct HostList {
    pub seq: u64,
    pub whole: bool,
    hosts: Vec<Value>,
}

impl HostList {
    pub fn entries(&self) -> Vec<Host> {
        self.hosts.iter().filter_map(Host::parse).collect()
    }
}

/// Parses the list cached in the configuration; a malformed one is ignored.
pub fn parse_cached(cached: &Value) -> Option<(u64, Vec<Host>)> {
    if cached.is_null() {
        return None;
    }
    match HostList::deserialize(cached) {
        Ok(list) => Some((list.seq, list.entries())),
        Err(e) => {
            note!("ignoring the cached endpoint list: {e}");
            None
        }
    }
}
