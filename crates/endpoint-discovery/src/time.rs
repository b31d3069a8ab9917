//! Time as the caller passes it in.

/// Point in time or duration, in milliseconds on one monotonic clock.
pub type Millis = u64;

/// Time of an event on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct EventTime {
    /// Monotonic time.
    pub now: Millis,
    /// Unix time in ms, as endpoints report it.
    pub unix_ms: u64,
}
