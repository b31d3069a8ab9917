//! Gossip: what other proxies report of their attempts in flight and ejected endpoints, how long that holds, and how
//! often this proxy reports.

use rustc_hash::FxHashMap;

use crate::endpoint::EndpointRecord;
use crate::gossip_message::{self, MAX_BYTES, Message, ShortName};
use crate::types::{EndpointId, Millis, ZoneId};

/// Age from which a peer's report does not count any more.
pub(crate) const STALE_AFTER: Millis = 500.0;

/// Longest interval between this proxy's messages.
const MAX_INTERVAL: Millis = STALE_AFTER / 2.0;
/// Largest messages that a proxy may send for each request that it gets, over all peers.
const MESSAGES_PER_REQUEST: f64 = 0.6;
/// Largest messages that may be saved up.
const MAX_SAVED_MESSAGES: f64 = 2.0;
/// Weight of an interval in the mean interval.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Fraction of the mean latency within which peers must report for an endpoint to count as idle.
const IDLE_INTERVAL_FRACTION: f64 = 0.3;
/// Number of peers whose ejections count where this proxy has seen no response for a while.
const EJECTING_PEERS: u32 = 2;

/// Report of a peer.
struct PeerReport {
    received_at: Millis,
    in_flight: Vec<usize>,
    ejected: Vec<usize>,
}

/// Gossip state of this proxy.
pub(crate) struct Gossip {
    endpoints: FxHashMap<ShortName, usize>,
    peers: Vec<Option<PeerReport>>,
    zones: Vec<Option<ZoneId>>,
    byte_credit: f64,
    sent_at: Millis,
    mean_interval: Millis,
}

impl Gossip {
    /// Creates the state of a proxy that has heard of no other.
    pub fn new(proxy_count: u32) -> Self {
        let mut gossip = Gossip {
            endpoints: FxHashMap::default(),
            peers: Vec::new(),
            zones: Vec::new(),
            byte_credit: 0.0,
            sent_at: 0.0,
            mean_interval: STALE_AFTER,
        };
        gossip.resize(proxy_count);
        gossip
    }

    /// Starts the clock.
    pub fn start(&mut self, now: Millis) {
        self.sent_at = now;
    }

    /// Makes an endpoint known to messages.
    pub fn add_endpoint(&mut self, id: EndpointId, index: usize) {
        self.endpoints.insert(ShortName::of(id), index);
    }

    /// Sets the number of proxies.
    pub fn resize(&mut self, proxy_count: u32) {
        self.peers.resize_with(proxy_count as usize, || None);
        self.zones.resize(proxy_count as usize, None);
    }

    /// Returns the number of proxies.
    pub fn proxies(&self) -> usize {
        self.peers.len()
    }

    /// Returns the zones of the proxies, as far as they are known.
    pub fn zones(&self) -> &[Option<ZoneId>] {
        &self.zones
    }

    /// Decodes a message of a proxy that is known.
    pub fn decode(&self, from: usize, bytes: &[u8]) -> Option<Message> {
        let message = gossip_message::decode(bytes, &self.endpoints)?;
        (from < self.peers.len()).then_some(message)
    }

    /// Replaces the report of a peer; returns the endpoints whose requests in flight may have changed.
    pub fn receive(
        &mut self,
        from: usize,
        message: Message,
        endpoints: &mut [EndpointRecord],
        now: Millis,
    ) -> Vec<usize> {
        let mut changed = self.forget(from, endpoints);
        for &index in &message.ejected {
            endpoints[index].ejecting_peers += 1;
        }
        for &index in &message.in_flight {
            endpoints[index].in_flight.peers += 1;
        }
        changed.extend(&message.in_flight);
        if self.zones[from] != message.zone {
            self.zones[from] = message.zone;
            for endpoint in endpoints {
                endpoint.slots.ownership = None;
            }
        }
        self.peers[from] = Some(PeerReport {
            received_at: now,
            in_flight: message.in_flight,
            ejected: message.ejected,
        });
        changed
    }

    /// Returns true if a peer's report is too old.
    pub fn is_stale(&self, from: usize, now: Millis) -> bool {
        self.peers[from]
            .as_ref()
            .is_some_and(|report| now - report.received_at > STALE_AFTER)
    }

    /// Forgets the report of a peer; returns the endpoints whose requests in flight may have changed.
    pub fn forget(&mut self, from: usize, endpoints: &mut [EndpointRecord]) -> Vec<usize> {
        let Some(report) = self.peers[from].take() else {
            return Vec::new();
        };
        for &index in &report.ejected {
            endpoints[index].ejecting_peers -= 1;
        }
        for &index in &report.in_flight {
            endpoints[index].in_flight.peers -= 1;
        }
        report.in_flight
    }

    /// Returns true if peers report often enough to tell an idle endpoint.
    pub fn shows_idleness(&self, mean_latency: Millis) -> bool {
        self.mean_interval < IDLE_INTERVAL_FRACTION * mean_latency
    }

    /// Adds the message bytes of an arrival to the credit.
    pub fn add_arrival(&mut self, proxy_count: u32) {
        let earned = MESSAGES_PER_REQUEST * MAX_BYTES as f64 / f64::from(proxy_count);
        self.byte_credit = (self.byte_credit + earned).min(MAX_SAVED_MESSAGES * MAX_BYTES as f64);
    }

    /// Returns true if a message on so many attempts in flight is due.
    pub fn is_message_due(&self, in_flight: usize, now: Millis) -> bool {
        let affordable = self.byte_credit >= gossip_message::encoded_bytes(in_flight) as f64;
        affordable || now - self.sent_at > MAX_INTERVAL
    }

    /// Records a message; peers are assumed to report about as often as this proxy does.
    pub fn record_message(&mut self, in_flight: usize, now: Millis) {
        let interval = now - self.sent_at;
        self.mean_interval += INTERVAL_WEIGHT * (interval - self.mean_interval);
        self.byte_credit -= gossip_message::encoded_bytes(in_flight) as f64;
        self.sent_at = now;
    }
}

/// Returns true if several peers have ejected an endpoint that has not responded to this proxy for a while. An endpoint
/// to which this proxy has sent nothing for that time counts as such too.
pub(crate) fn peers_confirm_ejection(endpoint: &EndpointRecord, now: Millis) -> bool {
    endpoint.ejecting_peers >= EJECTING_PEERS && endpoint.health.stalled_for(now) > STALE_AFTER
}
