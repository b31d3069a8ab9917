//! The balancer's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use balancer::Millis;
use tokio::time::Instant;

/// Monotonic clock that starts with the process. Unix time is converted only here, with an offset taken once, so that
/// the same endpoint start always maps to the same time.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Millis,
}

impl Default for Clock {
    /// Creates a clock that starts now.
    fn default() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix_start: unix.as_secs_f64() * 1000.0,
        }
    }
}

impl Clock {
    /// Returns the current time on this clock.
    pub fn now(&self) -> Millis {
        self.time_of(Instant::now())
    }

    /// Returns the Unix time in ms at which this clock started.
    pub fn unix_start(&self) -> Millis {
        self.unix_start
    }

    /// Converts an instant to a time on this clock.
    pub fn time_of(&self, instant: Instant) -> Millis {
        instant.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// Converts a time on this clock to an instant.
    pub fn instant_of(&self, at: Millis) -> Instant {
        self.start + Duration::from_secs_f64(at.clamp(0.0, 1e12) / 1000.0)
    }

    /// Converts an endpoint's start from Unix time in ms to this clock; `None` if it is unknown or long ago.
    pub fn start_time(&self, started_unix_ms: f64) -> Option<Millis> {
        (started_unix_ms.is_finite() && started_unix_ms > 0.0)
            .then_some(started_unix_ms - self.unix_start)
    }
}
