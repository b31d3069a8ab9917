//! Pagination of a snapshot: pages at one revision, until the snapshot is complete.

use crate::key_value::KeyValue;

/// Pages of a snapshot that were read so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SnapshotPages {
    /// Revision of all pages; 0 before the first, as a store's revisions begin with 1.
    revision: i64,
    key_values: Vec<KeyValue>,
}

/// Result of a page.
#[derive(Clone, Debug, PartialEq)]
pub enum PageOutcome {
    /// The next page begins with this key and has to be requested.
    Next(Vec<u8>),
    /// The snapshot is complete, with these keys and values.
    Complete(Vec<KeyValue>),
}

impl SnapshotPages {
    /// Returns the revision of the snapshot; 0 before the first page.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Sets the snapshot's revision, from the header of the first page.
    pub fn set_revision(&mut self, revision: i64) {
        self.revision = revision;
    }

    /// Adds a page. A snapshot with more than `max_keys` keys counts as complete.
    pub fn add(&mut self, page: Vec<KeyValue>, more: bool, max_keys: usize) -> PageOutcome {
        let last_key = page.last().map(|key_value| key_value.key.clone());
        self.key_values.extend(page);
        match last_key {
            Some(mut start_key) if more && self.key_values.len() <= max_keys => {
                start_key.push(0); // the smallest key after the last one
                PageOutcome::Next(start_key)
            }
            _ => PageOutcome::Complete(std::mem::take(&mut self.key_values)),
        }
    }
}
