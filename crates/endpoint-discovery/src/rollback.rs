//! Members that answer from an older state: one that lags, or a store that was rolled back to a backup.

use crate::limits::WatchLimits;
use crate::time::Millis;

/// Reaction to a member that answers from an older state than the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LagReaction {
    /// The member may catch up.
    Wait,
    /// The watch connects to another member.
    SwitchMember,
    /// The store was rolled back: its state is applied.
    AcceptRollback,
}

/// Tracks for how long every answer has come from an older state.
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

    /// Records an answer from an older state, and returns the reaction to it.
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
