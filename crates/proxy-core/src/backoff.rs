//! Exponential backoff with jitter between failing calls. Without jitter, callers that fail together would retry
//! together each time.

use std::time::Duration;

/// The first and the longest base delay. The jitter makes a delay 0.5 to 1.5 times as long.
const BASE_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(250));

/// The upper bound of a delay, jitter included.
pub const MAX_DELAY: Duration = Duration::from_millis(375);

/// The backoff state of one caller.
pub struct Backoff {
    base_delay: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates the state of a caller that has not failed yet. `seed` is the only source of randomness.
    pub fn new(seed: u64) -> Self {
        Backoff {
            base_delay: BASE_DELAY_RANGE.0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns to the first delay after a successful call.
    pub fn reset(&mut self) {
        self.base_delay = BASE_DELAY_RANGE.0;
    }

    /// Returns the delay before the next call after a failed one.
    pub fn next_delay(&mut self) -> Duration {
        let next_delay = self.base_delay.mul_f64(0.5 + self.rng.f64());
        self.base_delay = (self.base_delay * 2).min(BASE_DELAY_RANGE.1);
        next_delay.min(MAX_DELAY)
    }
}
