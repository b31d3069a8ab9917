//! Silence of the connection: progress requests, and the timeout after which the connection counts as lost.

use crate::limits::WatchLimits;
use crate::time::Millis;

/// Times of the last event and request on the connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Silence {
    progress_interval_ms: u64,
    timeout_ms: u64,
    last_event: Millis,
    last_request: Millis,
}

impl Silence {
    /// Builds the state before the first connection.
    pub fn new(limits: &WatchLimits) -> Self {
        Silence {
            progress_interval_ms: limits.progress_interval_ms,
            timeout_ms: limits.silence_timeout_ms,
            last_event: 0,
            last_request: 0,
        }
    }

    /// Returns true on the first call, unless an event or a request was recorded before.
    pub fn take_start(&mut self) -> bool {
        let is_start = self.last_event == 0 && self.last_request == 0;
        if is_start {
            self.last_request = 1;
        }
        is_start
    }

    /// Records an event of the connection.
    pub fn record_event(&mut self, now: Millis) {
        self.last_event = now;
    }

    /// Records a progress request, or another request that the store answers.
    pub fn record_request(&mut self, now: Millis) {
        self.last_request = now;
    }

    /// Returns the time at which the connection counts as lost.
    pub fn timeout_at(&self) -> Millis {
        self.last_event + self.timeout_ms
    }

    /// Returns the time at which progress is requested.
    pub fn progress_request_at(&self) -> Millis {
        self.last_event.max(self.last_request) + self.progress_interval_ms
    }
}
