//! Compaction of the log: determines when a snapshot is due, and builds it once the application has exported its state.

use raft::eraftpb::{ConfState, Snapshot};

use crate::codec::{LogPosition, SnapshotContent};
use crate::raft_log::RaftLog;
use crate::state_machine::StateMachine;

/// Default number of entries after which the log is compacted.
const DEFAULT_THRESHOLD_ENTRIES: u64 = 1024;

/// A snapshot that waits for the application's state.
struct PendingSnapshot {
    state_machine: StateMachine,
    position: LogPosition,
    configuration: ConfState,
}

/// Compaction of one member's log.
pub(crate) struct Compaction {
    threshold_entries: u64,
    pending: Option<PendingSnapshot>,
}

impl Compaction {
    /// Creates a compaction with the default threshold.
    pub fn new() -> Self {
        Compaction {
            threshold_entries: DEFAULT_THRESHOLD_ENTRIES,
            pending: None,
        }
    }

    /// Sets the number of entries after which the log is compacted; the minimum is one.
    pub fn set_threshold(&mut self, entries: u64) {
        self.threshold_entries = entries.max(1);
    }

    /// Returns true if a snapshot is due, because the log is long or another member needs a newer snapshot.
    pub fn is_due(&self, applied_index: u64, log: &RaftLog) -> bool {
        let first = log.first_index();
        let is_long = applied_index >= first + self.threshold_entries;
        let is_needed = log.needs_newer_snapshot() && applied_index >= first;
        self.pending.is_none() && (is_long || is_needed)
    }

    /// Records the state machine at the current position until the application has exported its state.
    pub fn request_state(
        &mut self,
        state_machine: StateMachine,
        position: LogPosition,
        configuration: ConfState,
    ) {
        self.pending = Some(PendingSnapshot {
            state_machine,
            position,
            configuration,
        });
    }

    /// Builds the pending snapshot. Returns `None` if there is none, or if a newer one was received from another member meanwhile.
    pub fn finish(&mut self, application_state: String, log: &RaftLog) -> Option<Snapshot> {
        let pending = self.pending.take()?;
        if pending.position.index <= log.snapshot_index() {
            return None;
        }
        let content = SnapshotContent {
            state_machine: pending.state_machine,
            application_state,
        };
        Some(content.into_snapshot(pending.position, pending.configuration))
    }
}
