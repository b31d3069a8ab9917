//! What the driver tells the attempts of a request that are under way.

use std::cell::Cell;

use tokio::sync::Notify;

/// Permits attempts for a request until it is answered or its client disconnects, and names the attempt whose response is
/// passed on as it arrives.
#[derive(Default)]
pub struct AttemptControl {
    cancelled: Cell<bool>,
    streamed_attempt: Cell<Option<u32>>,
    changed: Notify,
}

impl AttemptControl {
    /// Returns whether further attempts may begin.
    pub fn allows_attempts(&self) -> bool {
        !self.cancelled.get()
    }

    /// Prevents further attempts.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.changed.notify_waiters();
    }

    /// Waits until further attempts are prevented.
    pub async fn cancelled(&self) {
        while self.allows_attempts() {
            self.changed.notified().await;
        }
    }

    /// Asks an attempt to pass on its response as it arrives.
    pub fn request_streaming(&self, attempt: u32) {
        self.streamed_attempt.set(Some(attempt));
        self.changed.notify_waiters();
    }

    /// Returns whether an attempt has been asked to pass on its response.
    pub fn is_streaming_requested(&self) -> bool {
        self.streamed_attempt.get().is_some()
    }

    /// Waits until this attempt is asked to pass on its response.
    pub async fn streaming_requested(&self, attempt: u32) {
        while self.streamed_attempt.get() != Some(attempt) {
            self.changed.notified().await;
        }
    }
}
