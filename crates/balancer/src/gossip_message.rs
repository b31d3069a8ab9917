//! Encoding of the messages between proxies: attempts in flight and ejected endpoints. Makes no decisions.
//!
//! A message consists of a version byte, the sender's zone (255 if unknown), the number of ejected endpoints, and a
//! list of endpoints with two bytes each in little-endian order: first the ejected endpoints, then one entry per
//! attempt in flight. Endpoints are identified by 16 bits of a hash of their number.

use rustc_hash::FxHashMap;

use crate::endpoint::EndpointRecord;
use crate::hash::mix;
use crate::types::{EndpointId, Millis, ZoneId};

const VERSION: u8 = 1;
const UNKNOWN_ZONE: u8 = u8::MAX;
/// Bytes before the list of endpoints.
const HEADER_BYTES: usize = 3;
/// Bytes of an endpoint's short name.
const NAME_BYTES: usize = 2;
/// Maximum number of ejected endpoints in a message.
const MAX_EJECTED: usize = 30;
/// Maximum size of a message.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256;

/// Identifies an endpoint in messages.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct ShortName(u16);

impl ShortName {
    /// Returns the short name of an endpoint.
    pub fn of(id: EndpointId) -> Self {
        ShortName(mix(id.0) as u16)
    }
}

/// Decoded message of another proxy, with endpoints by index.
pub(crate) struct Message {
    /// Zone of the sender.
    pub zone: Option<ZoneId>,
    /// Endpoints that the sender has ejected.
    pub ejected: Vec<usize>,
    /// Endpoints of the sender's attempts in flight, one entry per attempt.
    pub in_flight: Vec<usize>,
}

/// Returns the size of a message with `in_flight` attempts and no ejected endpoints.
pub(crate) fn encoded_bytes(in_flight: usize) -> usize {
    HEADER_BYTES + NAME_BYTES * in_flight
}

/// Encodes this proxy's attempts in flight and ejected endpoints, up to the maximum size.
pub(crate) fn encode(zone: Option<ZoneId>, endpoints: &[EndpointRecord], now: Millis) -> Vec<u8> {
    let name = |endpoint: &EndpointRecord| ShortName::of(endpoint.entry.id).0.to_le_bytes();
    let zone_byte = zone.map_or(UNKNOWN_ZONE, |zone| zone.0 as u8);
    let mut bytes = vec![VERSION, zone_byte, 0];
    let is_ejected = |endpoint: &&EndpointRecord| {
        endpoint.health.overall().is_ejected(now) && endpoint.accepts_requests()
    };
    for endpoint in endpoints.iter().filter(is_ejected).take(MAX_EJECTED) {
        bytes.extend(name(endpoint));
        bytes[2] += 1;
    }
    for endpoint in endpoints {
        let room = ((MAX_MESSAGE_BYTES - bytes.len()) / NAME_BYTES) as u32;
        for _ in 0..endpoint.in_flight.own.min(room) {
            bytes.extend(name(endpoint));
        }
    }
    bytes
}

/// Decodes a message; `None` if it is too short or of another version. Unknown endpoints are skipped.
pub(crate) fn decode(bytes: &[u8], endpoints: &FxHashMap<ShortName, usize>) -> Option<Message> {
    if bytes.len() < HEADER_BYTES || bytes[0] != VERSION {
        return None;
    }
    let zone = (bytes[1] != UNKNOWN_ZONE).then_some(ZoneId(u32::from(bytes[1])));
    let ejected_count = usize::from(bytes[2]);
    let mut message = Message {
        zone,
        ejected: Vec::new(),
        in_flight: Vec::new(),
    };
    let names = bytes[HEADER_BYTES..].chunks_exact(NAME_BYTES);
    for (position, name) in names.enumerate() {
        let name = ShortName(u16::from_le_bytes([name[0], name[1]]));
        let Some(&endpoint) = endpoints.get(&name) else {
            continue;
        };
        if position < ejected_count {
            message.ejected.push(endpoint);
        } else {
            message.in_flight.push(endpoint);
        }
    }
    Some(message)
}
