//! Staleness of the list, silence of the connection, and members that answer from an older state.

use crate::limits::WatchLimits;
use crate::time::Millis;

/// Time for which the list is out of sync with the store.
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

    /// Marks the list as out of sync; an earlier time of that stays.
    pub fn out_of_sync(&mut self, now: Millis) {
        self.out_of_sync_since.get_or_insert(now);
    }

    /// Checks whether the list is in sync.
    pub fn is_in_sync(&self) -> bool {
        self.out_of_sync_since.is_none()
    }

    /// Returns the time since when the list is out of sync, if that is longer than the limit.
    pub fn stale_since(&self, now: Millis) -> Option<Millis> {
        self.out_of_sync_since
            .filter(|since| now >= since + self.limit_ms)
    }

    /// Returns the time at which the list becomes stale, unless that was reported.
    pub fn next_due(&self) -> Option<Millis> {
        self.out_of_sync_since
            .filter(|_| !self.reported)
            .map(|since| since + self.limit_ms)
    }

    /// Returns the time since when the list is out of sync once it is stale, and not again until it was in sync.
    pub fn take_report(&mut self, now: Millis) -> Option<Millis> {
        let since = self.stale_since(now).filter(|_| !self.reported);
        self.reported |= since.is_some();
        since
    }
}

/// Silence of the connection.
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

    /// Returns true on the first call, unless something was recorded before.
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

    /// Records a request of progress, or another request that is answered.
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

/// Reaction to a member that answers from an older state than the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LagReaction {
    /// The member may catch up.
    Wait,
    /// Another member is tried.
    SwitchMember,
    /// The store was rolled back: its state is applied.
    AcceptRollback,
}

/// Time for which every answer has come from an older state.
#[derive(Clone, Debug, PartialEq)]
pub struct RollbackDetection {
    silence_timeout_ms: u64,
    rollback_ms: u64,
    older_since: Option<Millis>,
}

impl RollbackDetection {
    /// Builds the detection without history.
    pub fn new(limits: &WatchLimits) -> Self {
        RollbackDetection {
            silence_timeout_ms: limits.silence_timeout_ms,
            rollback_ms: limits.rollback_ms,
            older_since: None,
        }
    }

    /// Records an answer from an older state, and decides what to do.
    pub fn record_older_answer(&mut self, now: Millis) -> LagReaction {
        let since = *self.older_since.get_or_insert(now);
        if now >= since + self.rollback_ms {
            LagReaction::AcceptRollback
        } else if now >= since + self.silence_timeout_ms {
            LagReaction::SwitchMember
        } else {
            LagReaction::Wait
        }
    }

    /// Records an answer from a current state.
    pub fn reset(&mut self) {
        self.older_since = None;
    }
}
