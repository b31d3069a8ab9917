//! The header fields of a request that waits. A map of many fields takes ten times their bytes, for as long as a client writes
//! its body or an endpoint its response; they are kept as bytes until an attempt needs the map.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// The number of fields up to which the map is kept: its smallest sizes take little, and most requests have fewer.
const MAX_MAPPED_FIELDS: usize = 24;

/// A field within the kept bytes.
#[derive(Clone, Copy)]
pub struct FieldLengths {
    name: u16,
    value: u16,
}

/// The header fields of a request.
pub enum RequestFields {
    Map(HeaderMap),
    Bytes {
        bytes: Box<[u8]>,
        fields: Box<[FieldLengths]>,
    },
}

impl From<HeaderMap> for RequestFields {
    fn from(map: HeaderMap) -> Self {
        let fits = |length: usize| u16::try_from(length).is_ok();
        let is_kept = map.len() <= MAX_MAPPED_FIELDS
            || !map
                .iter()
                .all(|(name, value)| fits(name.as_str().len()) && fits(value.len()));
        if is_kept {
            return RequestFields::Map(map);
        }
        let size = map
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let mut bytes = Vec::with_capacity(size);
        let mut fields = Vec::with_capacity(map.len());
        for (name, value) in &map {
            bytes.extend_from_slice(name.as_str().as_bytes());
            bytes.extend_from_slice(value.as_bytes());
            fields.push(FieldLengths {
                name: name.as_str().len() as u16,
                value: value.len() as u16,
            });
        }
        RequestFields::Bytes {
            bytes: bytes.into(),
            fields: fields.into(),
        }
    }
}

impl RequestFields {
    /// Returns the fields as a map, in their order.
    pub fn to_map(&self) -> HeaderMap {
        let (mut rest, fields) = match self {
            RequestFields::Map(map) => return map.clone(),
            RequestFields::Bytes { bytes, fields } => (&bytes[..], fields),
        };
        let mut map = HeaderMap::with_capacity(fields.len());
        for lengths in fields {
            let (name, after) = rest.split_at(lengths.name.into());
            let (value, after) = after.split_at(lengths.value.into());
            rest = after;
            // Both were valid when they were read.
            if let (Ok(name), Ok(value)) =
                (HeaderName::from_bytes(name), HeaderValue::from_bytes(value))
            {
                map.append(name, value);
            }
        }
        map
    }

    /// Returns the value of a field as text, or `None` if it is not there.
    pub fn text(&self, wanted: &str) -> Option<&str> {
        let (mut rest, fields) = match self {
            RequestFields::Map(map) => return map.get(wanted)?.to_str().ok(),
            RequestFields::Bytes { bytes, fields } => (&bytes[..], fields),
        };
        for lengths in fields {
            let (name, after) = rest.split_at(lengths.name.into());
            let (value, after) = after.split_at(lengths.value.into());
            rest = after;
            if name.eq_ignore_ascii_case(wanted.as_bytes()) {
                return std::str::from_utf8(value).ok();
            }
        }
        None
    }

    /// Changes the map of the fields.
    pub fn update(&mut self, change: impl FnOnce(&mut HeaderMap)) {
        let mut map = match self {
            RequestFields::Map(map) => return change(map),
            RequestFields::Bytes { .. } => self.to_map(),
        };
        change(&mut map);
        *self = map.into();
    }
}

/// Returns a map whose size fits its fields: the HTTP library reuses maps, which keep the size of the longest head.
pub fn fitted(map: HeaderMap) -> HeaderMap {
    const MAX_UNUSED_FIELDS: usize = 64;
    if map.capacity() <= map.len() + MAX_UNUSED_FIELDS {
        return map;
    }
    let mut fitted = HeaderMap::with_capacity(map.len());
    fitted.extend(map);
    fitted
}
