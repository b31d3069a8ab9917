//! The log in memory, as its library asks for it.

use std::cell::Cell;

use raft::eraftpb::{Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage};

/// The log in memory, as the library asks for it.
pub struct Log {
    /// What the log came to before its first entry.
    pub snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Term, vote and how far is agreed.
    pub hard: HardState,
    /// A member that has come since the last snapshot needs a newer one.
    pub wanted: Cell<bool>,
}

impl Log {
    /// A log as it was saved.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>, hard: HardState) -> Self {
        Log {
            snapshot,
            entries,
            hard,
            wanted: Cell::new(false),
        }
    }

    /// The number of the first entry that is held.
    pub fn first(&self) -> u64 {
        self.snapshot.get_metadata().index + 1
    }

    /// Another instance's snapshot takes the place of everything.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.snapshot = snapshot;
    }

    fn last(&self) -> u64 {
        self.first() + self.entries.len() as u64 - 1
    }

    /// Entries replace all from the first of them on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(from) = entries.first().map(|e| e.index) else {
            return;
        };
        self.entries
            .truncate(from.saturating_sub(self.first()) as usize);
        self.entries.extend_from_slice(entries);
    }

    /// A newer snapshot of this instance's takes the place of the entries up to it.
    pub fn replace(&mut self, snapshot: Snapshot) {
        let index = snapshot.get_metadata().index;
        let gone = (index + 1)
            .saturating_sub(self.first())
            .min(self.entries.len() as u64);
        self.entries.drain(..gone as usize);
        self.snapshot = snapshot;
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(
            self.hard.clone(),
            self.snapshot.get_metadata().get_conf_state().clone(),
        ))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first() {
            return Err(raft::Error::Store(raft::StorageError::Compacted));
        }
        let (from, to) = (
            (low - self.first()) as usize,
            (high - self.first()) as usize,
        );
        let slice = self.entries.get(from..to);
        let mut slice = slice
            .ok_or(raft::Error::Store(raft::StorageError::Unavailable))?
            .to_vec();
        raft::util::limit_size(&mut slice, most.into());
        Ok(slice)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let meta = self.snapshot.get_metadata();
        if index == meta.index {
            return Ok(meta.term);
        }
        if index < meta.index {
            return Err(raft::Error::Store(raft::StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.first()) as usize);
        entry
            .map(|e| e.term)
            .ok_or(raft::Error::Store(raft::StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, asked: u64, to: u64) -> raft::Result<Snapshot> {
        let meta = self.snapshot.get_metadata();
        let conf = meta.get_conf_state();
        // A snapshot in which a member does not stand yet is of no use to it.
        let knows = conf.voters.contains(&to) || conf.learners.contains(&to);
        if meta.index < asked || !knows {
            self.wanted.set(true);
            return Err(raft::Error::Store(
                raft::StorageError::SnapshotTemporarilyUnavailable,
            ));
        }
        Ok(self.snapshot.clone())
    }
}
