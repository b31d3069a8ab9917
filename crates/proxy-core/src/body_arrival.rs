//! How much of a streamed body has arrived, and when its client gives up: its time counts from its last byte, which may have
//! been written long before it is read.
//!
//! While the body is received as it comes, the last byte counts from its read. While it is paused, for want of memory, the
//! last byte may stand in the buffers of the systems. Does no I/O.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// The most that the system of a client keeps of what the client has written.
const CLIENT_BUFFER_BYTES: u64 = 4 << 20;
/// The most that the HTTP library has read and not passed on.
const LIBRARY_BUFFER_BYTES: u64 = 8 << 10;

/// The time within which the HTTP library passes on what it has read.
const LIBRARY_DELAY: Duration = Duration::from_millis(20);
/// How much later an answer is given if it is not certain that the last byte was written: it may come half a second late.
const UNCERTAIN_ANSWER_DELAY: Duration = Duration::from_millis(150);

/// The arrival of one body.
pub struct BodyArrival {
    /// The length of the complete body, if the client has announced it.
    length: Option<u64>,
    received_bytes: Cell<u64>,
    /// All of the body has been received.
    is_whole: Cell<bool>,
    /// The time at which the last byte arrived.
    last_byte_at: Cell<Option<Instant>>,
    /// How much earlier the last byte may have arrived.
    last_byte_uncertainty: Cell<Duration>,
    /// The time since which the client may have written what is not received.
    paused_since: Cell<Option<Instant>>,
    /// The time at which a paused body seemed to be received as far as it was written.
    caught_up_at: Cell<Option<Instant>>,
    /// The time that the client waits after its last byte.
    timeout: Duration,
}

impl BodyArrival {
    /// Creates the state of a body of which `received_bytes` have arrived.
    pub fn new(length: Option<u64>, received_bytes: u64, timeout: Duration) -> Self {
        BodyArrival {
            length,
            received_bytes: Cell::new(received_bytes),
            is_whole: Cell::new(false),
            last_byte_at: Cell::new(None),
            last_byte_uncertainty: Cell::default(),
            paused_since: Cell::new(None),
            caught_up_at: Cell::new(None),
            timeout,
        }
    }

    /// Returns the announced length of the complete body.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns the time that the client waits after its last byte.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Returns the number of received bytes.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    /// Returns whether all of the body has been received.
    pub fn is_whole(&self) -> bool {
        self.is_whole.get()
    }

    /// Records received bytes.
    pub fn record(&self, bytes: u64, now: Instant) {
        self.received_bytes.set(self.received_bytes.get() + bytes);
        self.release_if_caught_up(now);
        if self.length == Some(self.received_bytes.get()) {
            self.record_end(now);
        }
    }

    /// Records that all of the body has been received.
    pub fn record_end(&self, now: Instant) {
        self.release_if_caught_up(now);
        self.is_whole.set(true);
        self.record_last_byte(now);
    }

    fn record_last_byte(&self, now: Instant) {
        if self.last_byte_at.get().is_some() {
            return;
        }
        let paused_since = self.paused_since.get().unwrap_or(now);
        let arrived_at = now.min(paused_since + UNCERTAIN_ANSWER_DELAY);
        self.last_byte_at.set(Some(arrived_at));
        self.last_byte_uncertainty.set(arrived_at - paused_since);
    }

    /// Returns how much earlier than counted the last byte may have arrived.
    pub fn last_byte_uncertainty(&self) -> Duration {
        self.last_byte_uncertainty.get()
    }

    /// Ends the pause when something arrives some time after the body was caught up: the client has written it since. What
    /// arrives sooner may come from the HTTP library.
    fn release_if_caught_up(&self, now: Instant) {
        if let Some(caught_up_at) = self.caught_up_at.take()
            && now >= caught_up_at + LIBRARY_DELAY
        {
            self.paused_since.set(None);
        }
    }

    /// Records that the body is not received any more as it comes.
    pub fn pause(&self, now: Instant) {
        self.release_if_caught_up(now);
        let paused_since = self.paused_since.get().unwrap_or(now);
        self.paused_since.set(Some(paused_since));
    }

    /// Returns whether the body is paused.
    pub fn is_paused(&self) -> bool {
        self.paused_since().is_some()
    }

    /// Records that all that the client has written so far seems to be received.
    pub fn record_caught_up(&self, now: Instant) {
        let caught_up_at = self.caught_up_at.get().unwrap_or(now);
        self.caught_up_at.set(Some(caught_up_at));
    }

    fn paused_since(&self) -> Option<Instant> {
        self.paused_since
            .get()
            .filter(|_| self.caught_up_at.get().is_none())
    }

    /// Records how much the system has of what is not received. Returns whether this shows if the last byte has arrived.
    pub fn record_unread(&self, unread_bytes: u64, now: Instant) -> bool {
        match self.missing_bytes(unread_bytes) {
            Some(missing) if missing <= LIBRARY_BUFFER_BYTES => self.record_last_byte(now),
            // More is missing than the client can have written.
            Some(missing) if missing > CLIENT_BUFFER_BYTES => {
                self.paused_since.set(self.paused_since.get().map(|_| now));
            }
            _ => return false,
        }
        true
    }

    /// Returns how much has not reached this system; `None` if the length is not known.
    fn missing_bytes(&self, unread_bytes: u64) -> Option<u64> {
        let rest = self.length?.saturating_sub(self.received_bytes.get());
        Some(rest.saturating_sub(unread_bytes))
    }

    /// Returns when the client gives up; `None` before its last byte has arrived.
    pub fn client_deadline(&self) -> Option<Instant> {
        Some(self.last_byte_at.get()? + self.timeout)
    }

    /// Returns when a client gives up whose last byte may have been written since the body is paused; `None` if that is not
    /// possible yet.
    pub fn earliest_client_deadline(&self, unread_bytes: u64) -> Option<Instant> {
        let missing = self.missing_bytes(unread_bytes).unwrap_or_default();
        let may_be_written = missing <= CLIENT_BUFFER_BYTES;
        let paused_since = self.paused_since().filter(|_| may_be_written);
        let if_written = || Some(paused_since? + UNCERTAIN_ANSWER_DELAY + self.timeout);
        self.client_deadline().or_else(if_written)
    }

    /// Returns the latest time at which a client gives up that takes as long as `transfer_time` for bytes that have not been
    /// received. `max_bytes` limits a body whose length is not known.
    pub fn latest_client_deadline(
        &self,
        max_bytes: u64,
        transfer_time: impl FnOnce(u64) -> Duration,
        now: Instant,
    ) -> Instant {
        let written_at = self.last_byte_at.get().or(self.paused_since());
        let latest_end = || {
            let length = self.length.unwrap_or(max_bytes);
            now + transfer_time(length.saturating_sub(self.received_bytes.get()))
        };
        written_at.unwrap_or_else(latest_end) + self.timeout
    }
}
