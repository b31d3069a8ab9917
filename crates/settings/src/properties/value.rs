//! Parsers of single values, which command lines use too.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Range of a duration in milliseconds.
const DURATION_RANGE_MS: RangeInclusive<u64> = 1..=3_600_000;

/// A value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// Not a boolean.
    #[error("'{text}' is neither true nor false")]
    NotBoolean {
        /// The value.
        text: String,
    },
    /// Not a metrics format.
    #[error("'{text}' is neither statsd nor influx")]
    NotMetricsFormat {
        /// The value.
        text: String,
    },
    /// Not an IP address with a port above 0.
    #[error("'{text}' is not an IP address with a port")]
    NotSocketAddress {
        /// The value.
        text: String,
    },
    /// Not an integer in a range.
    #[error("'{text}' is not an integer from {min} to {max}")]
    NotInteger {
        /// The value.
        text: String,
        /// Minimum.
        min: u64,
        /// Maximum.
        max: u64,
    },
    /// Not a duration in milliseconds.
    #[error("'{text}' is not an integer from {min_ms} to {max_ms}, in ms")]
    NotDuration {
        /// The value.
        text: String,
        /// Minimum in milliseconds.
        min_ms: u64,
        /// Maximum in milliseconds.
        max_ms: u64,
    },
    /// Not a host with a port above 0.
    #[error("'{text}' is not HOST:PORT")]
    NotHostAndPort {
        /// The value.
        text: String,
    },
    /// Not usable as a secret. The value is not shown.
    #[error("a secret must consist of visible ASCII characters")]
    InvalidSecret,
}

/// A secret that is neither shown nor logged.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret from one or more visible ASCII characters.
    ///
    /// # Errors
    /// [`ValueError::InvalidSecret`].
    pub fn new(text: &str) -> Result<Self, ValueError> {
        if text.is_empty() || !is_visible_ascii(text) {
            return Err(ValueError::InvalidSecret);
        }
        Ok(Secret(text.to_owned()))
    }

    /// Returns the secret itself.
    pub fn bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("Secret(…)")
    }
}

fn is_visible_ascii(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_graphic())
}

pub(super) fn boolean(text: &str) -> Result<bool, ValueError> {
    text.parse().map_err(|_| ValueError::NotBoolean {
        text: text.to_owned(),
    })
}

pub(super) fn socket_address(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse()
        .ok()
        .filter(|address: &SocketAddr| address.port() > 0)
        .ok_or_else(|| ValueError::NotSocketAddress {
            text: text.to_owned(),
        })
}

/// Returns a parser of integers in a range.
pub(super) fn integer<T: TryFrom<u64>>(
    range: RangeInclusive<u64>,
) -> impl Fn(&str) -> Result<T, ValueError> {
    move |text| {
        integer_in(&range, text).ok_or_else(|| ValueError::NotInteger {
            text: text.to_owned(),
            min: *range.start(),
            max: *range.end(),
        })
    }
}

fn integer_in<T: TryFrom<u64>>(range: &RangeInclusive<u64>, text: &str) -> Option<T> {
    let number = text.parse().ok().filter(|number| range.contains(number))?;
    T::try_from(number).ok()
}

/// Parses a duration in milliseconds, with or without the unit `ms`.
pub(super) fn duration(text: &str) -> Result<Duration, ValueError> {
    let number = text.strip_suffix("ms").unwrap_or(text).trim_end();
    integer_in(&DURATION_RANGE_MS, number)
        .map(Duration::from_millis)
        .ok_or_else(|| ValueError::NotDuration {
            text: number.to_owned(),
            min_ms: *DURATION_RANGE_MS.start(),
            max_ms: *DURATION_RANGE_MS.end(),
        })
}

/// Checks a host name or address with a port, and returns it unchanged.
///
/// # Errors
/// [`ValueError::NotHostAndPort`].
pub fn host_and_port(text: &str) -> Result<String, ValueError> {
    let port = text
        .rsplit_once(':')
        .filter(|(host, _)| !host.is_empty())
        .and_then(|(_, port)| port.parse::<u16>().ok());
    if port.is_some_and(|port| port > 0) && is_visible_ascii(text) {
        Ok(text.to_owned())
    } else {
        Err(ValueError::NotHostAndPort {
            text: text.to_owned(),
        })
    }
}
