//! Endpoints as this proxy knows them: their list entry, and the state that each rule keeps per endpoint. Decides
//! nothing.

use std::collections::VecDeque;

use crate::ewma::Ewma;
use crate::outlier_detection::HealthRecord;
use crate::slow_start::SlowStart;
use crate::types::{DeduplicationScope, Endpoint, Millis, RequestId};

/// Slots of an endpoint: requests that it may hold.
pub(crate) struct Slots {
    /// Cores of the endpoint, as its size tells.
    pub cores: f64,
    /// Slots for all proxies together.
    pub total: f64,
    /// Slots that are this proxy's own.
    pub own: f64,
    /// Cached count of own slots.
    pub ownership: Option<SlotOwnership>,
}

/// Number of this proxy's own slots among so many.
#[derive(Clone, Copy)]
pub(crate) struct SlotOwnership {
    /// Slots of the endpoint.
    pub slots: u32,
    /// Own ones of them.
    pub own: u32,
}

/// Attempts in flight at an endpoint.
#[derive(Default)]
pub(crate) struct InFlightCount {
    /// Attempts of this proxy, including abandoned ones that are plausibly still processed.
    pub own: u32,
    /// Attempts of other proxies, as they report.
    pub peers: u32,
}

impl InFlightCount {
    /// Adds an attempt of this proxy.
    pub fn add_own(&mut self) {
        self.own += 1;
    }

    /// Removes an attempt of this proxy.
    pub fn remove_own(&mut self) {
        self.own -= 1;
    }

    /// Returns the attempts of all proxies, as far as this one knows.
    pub fn total(&self) -> u32 {
        self.own.saturating_add(self.peers)
    }
}

/// Queued requests whose key has its home at an endpoint.
#[derive(Default)]
pub(crate) struct AffinityQueue {
    /// Requests in their order; some may not be queued any more.
    pub requests: VecDeque<RequestId>,
    /// Number of those that are.
    pub queued: u32,
}

/// Endpoint as this proxy knows it.
pub(crate) struct EndpointRecord {
    /// Entry in the endpoint list.
    pub entry: Endpoint,
    /// Time at which its drain or removal was announced.
    pub unavailable_since: Option<Millis>,
    /// The list has just shown a new process.
    pub restarted: bool,
    /// Index of its machine type; 0 if unknown.
    pub machine_type: usize,
    /// Attempts in flight.
    pub in_flight: InFlightCount,
    /// Number of other proxies that have ejected it.
    pub ejecting_peers: u32,
    /// Mean latency relative to the means of its requests' classes.
    pub relative_latency: Ewma,
    /// Failures and ejections.
    pub health: HealthRecord,
    /// Slow start.
    pub slow_start: SlowStart,
    /// Slots.
    pub slots: Slots,
    /// Expected latency relative to the mean of all endpoints, including a delay for zone crossing.
    pub cost: f64,
    /// Speed band of the cost.
    pub band: usize,
    /// Factor on its hash score in the choice of a key's home; the smaller, the more keys.
    pub affinity_factor: f64,
    /// Queued requests of its keys.
    pub affinity_queue: AffinityQueue,
    /// It has a free slot, as of the last update. Requests of its keys may always take it, others while it is open in
    /// a speed band.
    pub has_free_slot: bool,
    /// It is open although it is warming up.
    pub open_while_warming: bool,
}

impl EndpointRecord {
    /// Creates the record of an endpoint that the list has just named.
    pub fn new(entry: Endpoint, classes: usize, now: Millis) -> Self {
        EndpointRecord {
            entry,
            unavailable_since: None,
            restarted: false,
            machine_type: 0,
            in_flight: InFlightCount::default(),
            ejecting_peers: 0,
            relative_latency: Ewma::new(1.0, 0.0),
            health: HealthRecord::new(classes, now),
            slow_start: SlowStart::new(now),
            slots: Slots {
                cores: 1.0,
                total: 1.0,
                own: 0.0,
                ownership: None,
            },
            cost: 1.0,
            band: 0,
            affinity_factor: 1.0,
            affinity_queue: AffinityQueue::default(),
            has_free_slot: false,
            open_while_warming: false,
        }
    }

    /// Returns true if the list says that it accepts requests.
    pub fn accepts_requests(&self) -> bool {
        self.unavailable_since.is_none()
    }

    /// Returns true if it drops repeats of a request whose first attempt went to `first`.
    pub fn drops_repeats_of(&self, first: &EndpointRecord, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => {
                first.entry.zone.is_some() && self.entry.zone == first.entry.zone
            }
            DeduplicationScope::Cell => {
                first.entry.cell.is_some() && self.entry.cell == first.entry.cell
            }
        }
    }
}
