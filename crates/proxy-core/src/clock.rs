//! The module's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use balancer::Millis;
use tokio::time::Instant;

/// The module's clock is monotonic and starts with the process; Unix time is converted here alone, by an
/// offset taken once, so that the same start always gives the same time.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Millis,
}

impl Default for Clock {
    /// A clock that begins now.
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
    /// The time on the module's clock.
    pub fn now(&self) -> Millis {
        self.time_of(Instant::now())
    }

    /// Unix time at the start.
    pub fn unix_start(&self) -> Millis {
        self.unix_start
    }

    /// An instant on the module's clock.
    pub fn time_of(&self, instant: Instant) -> Millis {
        instant.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// The instant of a time on the module's clock.
    pub fn instant_of(&self, at: Millis) -> Instant {
        self.start + Duration::from_secs_f64(at.clamp(0.0, 1e12) / 1000.0)
    }

    /// A server's start on the module's clock, from Unix time in ms; `None` if long ago.
    pub fn start_time(&self, started_unix_ms: f64) -> Option<Millis> {
        (started_unix_ms.is_finite() && started_unix_ms > 0.0)
            .then_some(started_unix_ms - self.unix_start)
    }
}
