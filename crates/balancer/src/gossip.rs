//! Gossip: reports of other proxies about their attempts in flight and ejected endpoints, the lifetime of these
//! reports, and the frequency of this proxy's own reports.

use rustc_hash::FxHashMap;

use crate::endpoint::EndpointRecord;
use crate::gossip_message::{self, MAX_MESSAGE_BYTES, Message, ShortName};
use crate::types::{EndpointId, Millis, ZoneId};

/// Age from which a peer's report is ignored.
pub(crate) const STALE_AFTER: Millis = 500.0;

/// Maximum interval between this proxy's messages.
const MAX_INTERVAL: Millis = STALE_AFTER / 2.0;
/// Messages of maximum size that a proxy may send per arriving request, summed over all peers.
const MESSAGES_PER_REQUEST: f64 = 0.6;
/// Messages of maximum size up to which credit accumulates.
const MAX_SAVED_MESSAGES: f64 = 2.0;
/// Weight of one interval in the moving average of intervals.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Maximum mean interval between peers' reports, as a fraction of the mean latency, for an endpoint to count as idle.
const IDLE_INTERVAL_FRACTION: f64 = 0.3;
/// Number of ejecting peers from which an endpoint without recent responses to this proxy is unavailable.
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
    /// Creates the state of a proxy that has received no messages.
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

    /// Starts the interval of the first message.
    pub fn start(&mut self, now: Millis) {
        self.sent_at = now;
    }

    /// Registers an endpoint, so that messages can refer to it.
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

    /// Returns the zones of the proxies; `None` where unknown.
    pub fn zones(&self) -> &[Option<ZoneId>] {
        &self.zones
    }

    /// Decodes a message; `None` if the message is invalid or its sender unknown.
    pub fn decode(&self, from: usize, bytes: &[u8]) -> Option<Message> {
        let message = gossip_message::decode(bytes, &self.endpoints)?;
        (from < self.peers.len()).then_some(message)
    }

    /// Replaces the report of a peer; returns the endpoints whose number of requests in flight may have changed.
    pub fn receive(
        &mut self,
        from: usize,
        message: Message,
        endpoints: &mut [EndpointRecord],
        now: Millis,
    ) -> Vec<usize> {
        let mut changed = self.remove_report(from, endpoints);
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

    /// Drops the report of a peer; returns the endpoints whose number of requests in flight may have changed.
    pub fn remove_report(&mut self, from: usize, endpoints: &mut [EndpointRecord]) -> Vec<usize> {
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

    /// Returns true if peers report often enough to detect that an endpoint is idle.
    pub fn can_detect_idleness(&self, mean_latency: Millis) -> bool {
        self.mean_interval < IDLE_INTERVAL_FRACTION * mean_latency
    }

    /// Adds the message bytes earned by an arrival to the credit.
    pub fn add_arrival(&mut self, proxy_count: u32) {
        let earned = MESSAGES_PER_REQUEST * MAX_MESSAGE_BYTES as f64 / f64::from(proxy_count);
        self.byte_credit =
            (self.byte_credit + earned).min(MAX_SAVED_MESSAGES * MAX_MESSAGE_BYTES as f64);
    }

    /// Returns true if a message that reports `in_flight` attempts is due.
    pub fn is_message_due(&self, in_flight: usize, now: Millis) -> bool {
        let affordable = self.byte_credit >= gossip_message::encoded_bytes(in_flight) as f64;
        affordable || now - self.sent_at > MAX_INTERVAL
    }

    /// Records the send of a message. Peers are assumed to report about as often as this proxy.
    pub fn record_message(&mut self, in_flight: usize, now: Millis) {
        let interval = now - self.sent_at;
        self.mean_interval += INTERVAL_WEIGHT * (interval - self.mean_interval);
        self.byte_credit -= gossip_message::encoded_bytes(in_flight) as f64;
        self.sent_at = now;
    }
}

/// Returns true if several peers have ejected an endpoint that has not responded to this proxy recently. This includes
/// an endpoint to which this proxy has sent no request recently.
pub(crate) fn peers_confirm_ejection(endpoint: &EndpointRecord, now: Millis) -> bool {
    endpoint.ejecting_peers >= EJECTING_PEERS && endpoint.health.stalled_for(now) > STALE_AFTER
}
