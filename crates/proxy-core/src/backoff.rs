//! Waits between calls that fail: twice as long each time, up to a bound, with chance in it. Callers that fail together
//! would else call together, each time again.

use std::time::Duration;

/// The first span and the longest; a wait is half to one and a half times as long.
const BASE_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(250));

/// The longest wait.
pub const MAX_DELAY: Duration = Duration::from_millis(375);

/// The state of one caller.
pub struct Backoff {
    base_delay: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// One that has not failed yet. `seed` is the only source of chance.
    pub fn new(seed: u64) -> Self {
        Backoff {
            base_delay: BASE_DELAY_RANGE.0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// A call has brought something.
    pub fn reset(&mut self) {
        self.base_delay = BASE_DELAY_RANGE.0;
    }

    /// A call has failed: the wait until the next one.
    pub fn next_delay(&mut self) -> Duration {
        let next_delay = self.base_delay.mul_f64(0.5 + self.rng.f64());
        self.base_delay = (self.base_delay * 2).min(BASE_DELAY_RANGE.1);
        next_delay.min(MAX_DELAY)
    }
}
