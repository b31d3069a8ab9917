//! State of the watch for operators.

use std::fmt;

use crate::list::{EndpointCounts, ListChange};
use crate::time::Millis;

/// Phase of the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The first list is not complete.
    Listing,
    /// The list is in sync, and changes arrive as they happen.
    Watching,
    /// The list is out of sync: the connection is down, or the member lags.
    Behind,
    /// A new snapshot is read because changes were missed.
    Resyncing,
    /// The list is out of sync for longer than the staleness limit; it stays in use.
    Stale,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Phase::Listing => "listing",
            Phase::Watching => "watching",
            Phase::Behind => "behind",
            Phase::Resyncing => "resyncing",
            Phase::Stale => "stale",
        })
    }
}

/// State of the watch.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Phase.
    pub phase: Phase,
    /// Revision up to which all changes are applied.
    pub revision: i64,
    /// Time since when the list is out of sync, if it is stale.
    pub stale_since: Option<Millis>,
    /// Numbers of endpoints.
    pub endpoints: EndpointCounts,
}

/// Message to the users of a list.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryUpdate {
    /// The list changed.
    List(ListChange),
    /// The state of the watch changed.
    Status(Status),
}
