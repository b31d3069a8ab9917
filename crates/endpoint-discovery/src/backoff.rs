//! Reconnect backoff: delays that double up to a limit, with jitter.

use fastrand::Rng;

use crate::limits::BackoffLimits;
use crate::time::Millis;

/// Largest exponent of the delay's doubling.
const MAX_DOUBLINGS: u32 = 16;

/// Backoff of one watch.
#[derive(Clone, Debug, PartialEq)]
pub struct Backoff {
    limits: BackoffLimits,
    rng: Rng,
    attempts: u32,
}

impl Backoff {
    /// Builds a backoff; the seed makes its delays differ from those of other watches.
    pub fn new(limits: BackoffLimits, seed: u64) -> Self {
        Backoff {
            limits,
            rng: Rng::with_seed(seed),
            attempts: 0,
        }
    }

    /// Returns the delay before the first connection, which spreads watches that start together.
    pub fn start_delay(&mut self) -> Millis {
        self.delay_up_to(self.limits.initial_ms)
    }

    /// Returns the delay before the next reconnection.
    pub fn next_delay(&mut self) -> Millis {
        let factor = 1 << self.attempts.min(MAX_DOUBLINGS);
        let limit = self
            .limits
            .initial_ms
            .saturating_mul(factor)
            .min(self.limits.max_ms);
        self.attempts = self.attempts.saturating_add(1);
        self.delay_up_to(limit)
    }

    /// Resets the doubling after a success.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }

    fn delay_up_to(&mut self, limit: Millis) -> Millis {
        if self.limits.jitter {
            self.rng.u64(0..=limit)
        } else {
            limit
        }
    }
}
