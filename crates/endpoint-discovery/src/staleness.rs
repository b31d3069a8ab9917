//! Staleness: the time for which the list is out of sync with the store.

use crate::limits::WatchLimits;
use crate::time::Millis;

/// Synchronization of the list with the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Staleness {
    limit_ms: u64,
    out_of_sync_since: Option<Millis>,
    reported: bool,
}

impl Staleness {
    /// Builds the state before the first list: out of sync since time 0.
    pub fn new(limits: &WatchLimits) -> Self {
        Staleness {
            limit_ms: limits.staleness_ms,
            out_of_sync_since: Some(0),
            reported: false,
        }
    }

    /// Marks the list as in sync.
    pub fn in_sync(&mut self) {
        self.out_of_sync_since = None;
        self.reported = false;
    }

    /// Marks the list as out of sync; the time of an earlier mark is kept.
    pub fn out_of_sync(&mut self, now: Millis) {
        self.out_of_sync_since.get_or_insert(now);
    }

    /// Returns true if the list is in sync.
    pub fn is_in_sync(&self) -> bool {
        self.out_of_sync_since.is_none()
    }

    /// Returns the time since when the list is out of sync, if that is longer than the limit.
    pub fn stale_since(&self, now: Millis) -> Option<Millis> {
        self.out_of_sync_since
            .filter(|since| now >= since + self.limit_ms)
    }

    /// Returns the time at which the list becomes stale, unless this was reported already.
    pub fn next_due(&self) -> Option<Millis> {
        self.out_of_sync_since
            .filter(|_| !self.reported)
            .map(|since| since + self.limit_ms)
    }

    /// Returns the time since when the list is out of sync, once each time the list becomes stale.
    pub fn take_report(&mut self, now: Millis) -> Option<Millis> {
        let since = self.stale_since(now).filter(|_| !self.reported);
        self.reported |= since.is_some();
        since
    }
}
