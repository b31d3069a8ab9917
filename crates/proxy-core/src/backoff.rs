//! Waits between calls that fail: twice as long each time, up to a bound, with chance in it. Callers that fail together
//! would else call together, each time again.

use std::time::Duration;

/// The first span and the longest; a wait is half to one and a half times as long.
const SPANS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(250));

/// The longest wait.
pub const MOST: Duration = Duration::from_millis(375);

/// The state of one caller.
pub struct Backoff {
    span: Duration,
    chance: fastrand::Rng,
}

impl Backoff {
    /// One that has not failed yet. `seed` is the only source of chance.
    pub fn new(seed: u64) -> Self {
        Backoff {
            span: SPANS.0,
            chance: fastrand::Rng::with_seed(seed),
        }
    }

    /// A call has brought something.
    pub fn reset(&mut self) {
        self.span = SPANS.0;
    }

    /// A call has failed: the wait until the next one.
    pub fn wait(&mut self) -> Duration {
        let wait = self.span.mul_f64(0.5 + self.chance.f64());
        self.span = (self.span * 2).min(SPANS.1);
        wait.min(MOST)
    }
}
