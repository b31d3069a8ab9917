//! In-memory raft log with the latest snapshot. The caller of [`Node`](crate::node::Node) writes it to disk.

use std::cell::Cell;

use raft::eraftpb::{Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

/// In-memory raft log.
///
/// Invariant: `entries` are contiguous and start right after the snapshot.
pub(crate) struct RaftLog {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    hard_state: HardState,
    /// Set when raft needs a newer snapshot, for example for a member added since the latest one.
    needs_newer_snapshot: Cell<bool>,
}

impl RaftLog {
    /// Creates a log from persisted parts.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>, hard_state: HardState) -> Self {
        RaftLog {
            snapshot,
            entries,
            hard_state,
            needs_newer_snapshot: Cell::new(false),
        }
    }

    /// Returns the index of the first entry after the snapshot.
    pub fn first_index(&self) -> u64 {
        self.snapshot_index() + 1
    }

    /// Returns the index of the last entry that the snapshot covers.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns true if raft needs a newer snapshot.
    pub fn needs_newer_snapshot(&self) -> bool {
        self.needs_newer_snapshot.get()
    }

    /// Records that a newer snapshot has been requested from the application.
    pub fn snapshot_requested(&self) {
        self.needs_newer_snapshot.set(false);
    }

    /// Replaces term, vote and commit index.
    pub fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
    }

    /// Replaces the commit index.
    pub fn set_commit_index(&mut self, index: u64) {
        self.hard_state.commit = index;
    }

    /// Replaces the whole log by a snapshot received from another member.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Appends entries, which replace all existing ones from the first new index on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else {
            return;
        };
        let kept = first.index.saturating_sub(self.first_index());
        self.entries.truncate(kept as usize);
        self.entries.extend_from_slice(entries);
    }

    /// Removes the entries that a newer snapshot of this member covers.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let index = snapshot.get_metadata().index;
        let covered = (index + 1)
            .saturating_sub(self.first_index())
            .min(self.entries.len() as u64);
        self.entries.drain(..covered as usize);
        self.snapshot = snapshot;
    }

    fn last_index(&self) -> u64 {
        self.snapshot_index() + self.entries.len() as u64
    }

    /// Returns true if a member is part of the snapshot's configuration.
    fn snapshot_contains(&self, member_id: u64) -> bool {
        let configuration = self.snapshot.get_metadata().get_conf_state();
        configuration.voters.contains(&member_id) || configuration.learners.contains(&member_id)
    }
}

impl Storage for RaftLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(
            self.hard_state.clone(),
            self.snapshot.get_metadata().get_conf_state().clone(),
        ))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let first = RaftLog::first_index(self);
        if low < first {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let range = (low - first) as usize..(high - first) as usize;
        let mut entries = self
            .entries
            .get(range)
            .ok_or(raft::Error::Store(StorageError::Unavailable))?
            .to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let metadata = self.snapshot.get_metadata();
        if index == metadata.index {
            return Ok(metadata.term);
        }
        if index < metadata.index {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let offset = index - RaftLog::first_index(self);
        self.entries
            .get(offset as usize)
            .map(|entry| entry.term)
            .ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(RaftLog::first_index(self))
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(RaftLog::last_index(self))
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        // A member can't be restored from a snapshot whose configuration does not contain it.
        if self.snapshot_index() < request_index || !self.snapshot_contains(to) {
            self.needs_newer_snapshot.set(true);
            return Err(raft::Error::Store(
                StorageError::SnapshotTemporarilyUnavailable,
            ));
        }
        Ok(self.snapshot.clone())
    }
}
