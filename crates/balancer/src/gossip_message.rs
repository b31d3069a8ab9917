//! Encoding of the messages between proxies: attempts in flight and ejected endpoints. Decides nothing.
//!
//! A message is a version, the sender's zone (255 if unknown), the number of ejected endpoints, and then two bytes
//! per endpoint in little endian: the ejected ones first, then one entry for each attempt in flight. Endpoints are
//! named by 16 bits of a hash of their number.

use rustc_hash::FxHashMap;

use crate::endpoint::EndpointRecord;
use crate::hash::mix;
use crate::types::{EndpointId, Millis, ZoneId};

const VERSION: u8 = 1;
const UNKNOWN_ZONE: u8 = u8::MAX;
/// Bytes before the endpoints.
const HEADER_BYTES: usize = 3;
/// Bytes of an endpoint's name.
const NAME_BYTES: usize = 2;
/// Ejected endpoints in a message.
const MAX_EJECTED: usize = 30;
/// Bytes of the largest message.
pub(crate) const MAX_BYTES: usize = 256;

/// Endpoint's name in messages.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct ShortName(u16);

impl ShortName {
    /// Returns the name of an endpoint.
    pub fn of(id: EndpointId) -> Self {
        ShortName(mix(id.0) as u16)
    }
}

/// Message of another proxy, with endpoints by index.
pub(crate) struct Message {
    /// Zone of the sender.
    pub zone: Option<ZoneId>,
    /// Endpoints that it has ejected.
    pub ejected: Vec<usize>,
    /// Endpoints of its attempts in flight, one entry for each.
    pub in_flight: Vec<usize>,
}

/// Returns the length of a message with so many attempts in flight and no ejected endpoints.
pub(crate) fn encoded_bytes(in_flight: usize) -> usize {
    HEADER_BYTES + NAME_BYTES * in_flight
}

/// Encodes this proxy's attempts in flight and ejected endpoints, as far as they fit.
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
        let room = ((MAX_BYTES - bytes.len()) / NAME_BYTES) as u32;
        for _ in 0..endpoint.in_flight.own.min(room) {
            bytes.extend(name(endpoint));
        }
    }
    bytes
}

/// Decodes a message; `None` if it is of another version. Unknown endpoints are left out.
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
