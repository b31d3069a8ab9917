//! Arrival rate of requests at this proxy, smoothed over a few seconds.

use crate::types::Millis;

/// Time constant of the average.
const TIME_CONSTANT: Millis = 2000.0;
/// Minimum time over which arrivals are counted before they enter the average.
const MIN_COUNTING_TIME: Millis = 200.0;

/// Estimator of the arrival rate.
pub(crate) struct ArrivalRate {
    counted: f64,
    counted_since: Millis,
    per_ms: f64,
}

impl ArrivalRate {
    /// Creates an estimator that has counted no arrivals.
    pub fn new() -> Self {
        ArrivalRate {
            counted: 0.0,
            counted_since: 0.0,
            per_ms: 0.0,
        }
    }

    /// Starts counting at the given time.
    pub fn start(&mut self, now: Millis) {
        self.counted_since = now;
    }

    /// Counts an arrival.
    pub fn count(&mut self) {
        self.counted += 1.0;
    }

    /// Updates the average with the arrivals counted since the last update, if enough time has passed.
    pub fn update(&mut self, now: Millis) {
        let elapsed = now - self.counted_since;
        if elapsed < MIN_COUNTING_TIME {
            return;
        }
        let gain = if self.per_ms == 0.0 {
            1.0
        } else {
            1.0 - (-elapsed / TIME_CONSTANT).exp()
        };
        self.per_ms += gain * (self.counted / elapsed - self.per_ms);
        self.counted = 0.0;
        self.counted_since = now;
    }

    /// Returns arrivals per millisecond.
    pub fn per_ms(&self) -> f64 {
        self.per_ms
    }
}
