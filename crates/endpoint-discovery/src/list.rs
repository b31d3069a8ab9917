//! Endpoints of the list, and changes of the list.

use crate::record::EndpointRecord;

/// Endpoint of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name, unique in the pool.
    pub name: String,
    /// Last valid record.
    pub record: EndpointRecord,
    /// Start of the endpoint's process, in Unix time in ms; 0 if it started before the first list.
    pub started_at_ms: u64,
}

/// Change of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// The complete first list.
    Complete(Vec<Endpoint>),
    /// An endpoint was added or changed.
    Upserted(Endpoint),
    /// The endpoint of this name was removed.
    Removed(String),
}

/// Numbers of endpoints in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// All endpoints.
    pub total: usize,
    /// Endpoints whose present value is invalid, and that keep their last valid record.
    pub quarantined: usize,
    /// Endpoints that are retained after a mass lease expiry.
    pub retained: usize,
}
