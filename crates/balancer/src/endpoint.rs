//! Records of endpoints: the entry in the endpoint list, and the state that each rule keeps per endpoint. Makes no
//! decisions.

use std::collections::VecDeque;

use crate::ewma::Ewma;
use crate::outlier_detection::HealthRecord;
use crate::slow_start::SlowStart;
use crate::types::{DeduplicationScope, Endpoint, Millis, RequestId};

/// Slots of an endpoint: the number of requests that it may have in flight.
pub(crate) struct Slots {
    /// Cores of the endpoint, as derived from its weight.
    pub cores: f64,
    /// Slots of all proxies together.
    pub total: f64,
    /// Slots that this proxy owns.
    pub own: f64,
    /// Cached number of own slots.
    pub ownership: Option<SlotOwnership>,
}

/// Number of slots that this proxy owns, out of all slots of an endpoint.
#[derive(Clone, Copy)]
pub(crate) struct SlotOwnership {
    /// All slots of the endpoint.
    pub slots: u32,
    /// Slots that this proxy owns.
    pub own: u32,
}

/// Numbers of attempts in flight at an endpoint.
#[derive(Default)]
pub(crate) struct InFlightCount {
    /// Attempts of this proxy, including abandoned attempts that the endpoint is assumed to still process.
    pub own: u32,
    /// Attempts of other proxies, according to their reports.
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

    /// Returns the number of known attempts of all proxies.
    pub fn total(&self) -> u32 {
        self.own.saturating_add(self.peers)
    }
}

/// Queued requests whose key has an endpoint as its home.
#[derive(Default)]
pub(crate) struct AffinityQueue {
    /// Requests in queueing order, including some that are no longer queued.
    pub requests: VecDeque<RequestId>,
    /// Number of requests that are still queued.
    pub queued: u32,
}

/// State of an endpoint at this proxy.
pub(crate) struct EndpointRecord {
    /// Entry in the endpoint list.
    pub entry: Endpoint,
    /// Time at which the endpoint's drain or removal was announced.
    pub unavailable_since: Option<Millis>,
    /// True if the list has reported a new process whose slow start has not begun yet.
    pub restarted: bool,
    /// Index of the machine type; 0 if unknown.
    pub machine_type: usize,
    /// Attempts in flight.
    pub in_flight: InFlightCount,
    /// Number of other proxies that have ejected the endpoint.
    pub ejecting_peers: u32,
    /// Mean latency relative to the means of the requests' classes.
    pub relative_latency: Ewma,
    /// Failures and ejections.
    pub health: HealthRecord,
    /// Slow start state.
    pub slow_start: SlowStart,
    /// Slots of the endpoint.
    pub slots: Slots,
    /// Expected latency relative to the mean of all endpoints, plus a penalty for crossing zones.
    pub cost: f64,
    /// Speed band that corresponds to the cost.
    pub band: usize,
    /// Factor on the endpoint's hash score in the choice of a key's home; a smaller factor attracts more keys.
    pub affinity_factor: f64,
    /// Queued requests whose key has this endpoint as its home.
    pub affinity_queue: AffinityQueue,
    /// True if the endpoint has a free slot, as of the last update. Requests whose home is this endpoint may always use
    /// the slot; other requests may use it while the endpoint is open in a speed band.
    pub has_free_slot: bool,
    /// True if the endpoint is open while it is warming up.
    pub open_while_warming: bool,
}

impl EndpointRecord {
    /// Creates the record of a newly listed endpoint.
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

    /// Returns true if the endpoint accepts requests according to the list.
    pub fn accepts_requests(&self) -> bool {
        self.unavailable_since.is_none()
    }

    /// Returns true if the endpoint drops repeats of a request whose first attempt went to `first`.
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
