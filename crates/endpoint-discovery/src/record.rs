//! Value of an endpoint's key in the store, with its JSON form.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Version of the records that this program writes.
pub const RECORD_VERSION: u64 = 1;
/// Longest value that is parsed, in bytes.
const MAX_VALUE_BYTES: usize = 16 << 10;
/// Valid capacities of an endpoint, in concurrent requests.
const CAPACITY: RangeInclusive<f64> = 0.01..=10_000.0;

/// Readiness of an endpoint for new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// Accepts new requests.
    #[default]
    #[serde(rename = "up")]
    Up,
    /// Completes its requests in flight and accepts no new ones.
    #[serde(rename = "draining")]
    Draining,
    /// Has left the pool; its key is deleted next.
    #[serde(rename = "gone")]
    Removed,
}

/// Record of an endpoint in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Version of the record's form.
    #[serde(rename = "v", default = "first_version")]
    pub version: u64,
    /// Address and port.
    pub address: SocketAddr,
    /// Approximate number of requests that the endpoint processes concurrently.
    #[serde(rename = "size", default = "default_capacity")]
    pub capacity: f64,
    /// Availability zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Machine type.
    #[serde(rename = "kind", default, skip_serializing_if = "Option::is_none")]
    pub machine_type: Option<String>,
    /// Readiness for new requests.
    #[serde(default)]
    pub state: EndpointState,
    /// Start of the endpoint's process, in Unix time in ms; the time of its arrival in the list if absent.
    #[serde(rename = "born-ms", default, skip_serializing_if = "Option::is_none")]
    pub started_at_ms: Option<u64>,
    /// Fields that this program does not know, preserved on rewrite.
    #[serde(flatten)]
    pub unknown_fields: Map<String, Value>,
}

fn first_version() -> u64 {
    1
}

fn default_capacity() -> f64 {
    1.0
}

/// Reason why a value is not a valid record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The value is too long.
    #[error("its {length_bytes} bytes exceed the maximum of {MAX_VALUE_BYTES}")]
    TooLong {
        /// Length of the value.
        length_bytes: usize,
    },
    /// The value is not the JSON of a record.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// The capacity is out of range.
    #[error("size: {0} is not between 0.01 and 10,000")]
    InvalidCapacity(f64),
    /// The version is 0.
    #[error("v: versions begin with 1")]
    InvalidVersion,
}

impl EndpointRecord {
    /// Builds the record of an endpoint with a capacity of one request.
    pub fn new(address: SocketAddr) -> Self {
        EndpointRecord {
            version: RECORD_VERSION,
            address,
            capacity: 1.0,
            zone: None,
            machine_type: None,
            state: EndpointState::Up,
            started_at_ms: None,
            unknown_fields: Map::new(),
        }
    }

    /// Parses a value. Reads only the fields of this version from a record of a newer version.
    ///
    /// # Errors
    /// The value is too long, malformed, or a field is out of range.
    pub fn parse(value: &[u8]) -> Result<Self, RecordError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(RecordError::TooLong {
                length_bytes: value.len(),
            });
        }
        let record: EndpointRecord = serde_json::from_slice(value)?;
        if !CAPACITY.contains(&record.capacity) {
            return Err(RecordError::InvalidCapacity(record.capacity));
        }
        if record.version == 0 {
            return Err(RecordError::InvalidVersion);
        }
        Ok(record)
    }

    /// Returns the record's JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
