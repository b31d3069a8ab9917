//! Progress of a response whose length is not announced, while it is held back. It may turn out to be long: then its client
//! gets the beginning in time, and the rest as it arrives.
//!
//! Held back, a response can be replaced by that of another attempt, and a short one reaches its client whole or not at
//! all. Does no I/O.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::upload::MIN_BYTES_PER_SECOND;

/// The longest time for which a response is held back from its head on. The rest of a long one must not be held back for 2 s.
pub const MAX_HOLD_TIME: Duration = Duration::from_secs(1);
/// The time after which the rate counts: a few small pieces say nothing of it.
const MIN_RATE_TIME: Duration = Duration::from_millis(100);
/// The size up to which a response that pauses is taken for a short one without its end.
const SHORT_RESPONSE_BYTES: usize = 2 << 10;
/// The pause after which it is.
const SHORT_RESPONSE_PAUSE: Duration = Duration::from_millis(200);

/// What has arrived of a response.
#[derive(Clone, Copy, Debug)]
struct Progress {
    first_at: Instant,
    last_at: Instant,
    bytes: usize,
}

/// The arrival of one response, as its attempt reports it.
#[derive(Default)]
pub struct ResponseArrival {
    head_at: Cell<Option<Instant>>,
    progress: Cell<Option<Progress>>,
    progressing: Cell<bool>,
    changed: Notify,
}

impl ResponseArrival {
    /// Records that a response begins whose length is not announced.
    pub fn begin(&self, now: Instant) {
        self.head_at.set(Some(now));
        self.set_progressing(true);
    }

    /// Records data of its body.
    pub fn record(&self, bytes: usize, now: Instant) {
        let first_at = self
            .progress
            .get()
            .map_or(now, |progress| progress.first_at);
        let received = self.progress.get().map_or(0, |progress| progress.bytes);
        let progress = Progress {
            first_at,
            last_at: now,
            bytes: received + bytes,
        };
        self.progress.set(Some(progress));
        self.set_progressing(!progress.is_too_slow());
    }

    /// Records a pause until now.
    pub fn record_pause(&self, now: Instant) {
        if self.pause_ends().is_some_and(|end| end <= now) {
            self.set_progressing(false);
        }
    }

    /// Returns when a pause shows that the endpoint has stopped, if it does.
    fn pause_ends(&self) -> Option<Instant> {
        let progress = self.progress.get()?;
        let is_short = progress.bytes <= SHORT_RESPONSE_BYTES;
        (is_short && self.progressing.get()).then(|| progress.last_at + SHORT_RESPONSE_PAUSE)
    }

    /// Returns when the response has to be looked at again if nothing arrives.
    pub fn next_check(&self) -> Option<Instant> {
        let hold_end = self.head_at.get()? + MAX_HOLD_TIME;
        match self.pause_ends() {
            Some(end) => Some(end.min(hold_end)),
            None => self.progressing.get().then_some(hold_end),
        }
    }

    /// Returns whether the response has been held back for long enough.
    pub fn is_hold_over(&self, now: Instant) -> bool {
        let is_over = |head_at: Instant| now >= head_at + MAX_HOLD_TIME;
        self.progressing.get() && self.head_at.get().is_some_and(is_over)
    }

    /// Returns whether a response is arriving that can be passed on.
    pub fn is_progressing(&self) -> bool {
        self.progressing.get()
    }

    fn set_progressing(&self, progressing: bool) {
        if self.progressing.replace(progressing) != progressing {
            self.changed.notify_one();
        }
    }

    /// Waits for a change of [`is_progressing`](Self::is_progressing) and returns it.
    pub async fn changed(&self) -> bool {
        self.changed.notified().await;
        self.progressing.get()
    }
}

impl Progress {
    fn is_too_slow(&self) -> bool {
        let elapsed = self.last_at - self.first_at;
        elapsed >= MIN_RATE_TIME
            && (self.bytes as f64) < MIN_BYTES_PER_SECOND * elapsed.as_secs_f64()
    }
}
