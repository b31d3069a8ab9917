//! Tombstones: records of deleted endpoints, which prevent their return through an older state of the store.

use std::collections::BTreeMap;

use crate::key_value::KeyValue;
use crate::limits::TableLimits;
use crate::time::Millis;

/// Revisions of a deleted endpoint's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Tombstone {
    /// Revision that deleted the key.
    pub deleted_revision: i64,
    /// Revision that had created the key.
    pub create_revision: i64,
    /// Time of the deletion.
    pub at: Millis,
    /// The store was rolled back since: its revisions can't be compared with `deleted_revision`.
    pub predates_rollback: bool,
}

impl Tombstone {
    /// Returns true if a record is older than the deletion.
    pub fn covers(&self, key_value: &KeyValue) -> bool {
        if self.predates_rollback {
            key_value.create_revision == self.create_revision
        } else {
            key_value.mod_revision <= self.deleted_revision
        }
    }
}

/// Tombstones by endpoint name, limited in number and age.
#[derive(Clone, Debug, PartialEq)]
pub struct Tombstones {
    max_tombstones: usize,
    ttl_ms: u64,
    by_name: BTreeMap<String, Tombstone>,
}

impl Tombstones {
    /// Builds an empty set.
    pub fn new(limits: &TableLimits) -> Self {
        Tombstones {
            max_tombstones: limits.max_tombstones,
            ttl_ms: limits.tombstone_ttl_ms,
            by_name: BTreeMap::new(),
        }
    }

    /// Returns the tombstone of an endpoint.
    pub fn get(&self, name: &str) -> Option<&Tombstone> {
        self.by_name.get(name)
    }

    /// Inserts a tombstone; removes the oldest one if the maximum is exceeded, and expired ones.
    pub fn insert(&mut self, name: &str, tombstone: Tombstone) {
        let now = tombstone.at;
        self.by_name.insert(name.to_owned(), tombstone);
        if self.by_name.len() > self.max_tombstones {
            self.remove_oldest();
        }
        let ttl_ms = self.ttl_ms;
        self.by_name.retain(|_, t| now < t.at + ttl_ms);
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .by_name
            .iter()
            .min_by_key(|(_, tombstone)| tombstone.at)
            .map(|(name, _)| name.clone());
        if let Some(name) = oldest {
            self.by_name.remove(&name);
        }
    }

    /// Removes the tombstone of an endpoint that is in the list again.
    pub fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Raises the deletion's revision after a further deletion.
    pub fn raise_deleted_revision(&mut self, name: &str, revision: i64) {
        if let Some(tombstone) = self.by_name.get_mut(name) {
            tombstone.deleted_revision = tombstone.deleted_revision.max(revision);
        }
    }

    /// Marks all tombstones after a rollback of the store.
    pub fn store_rolled_back(&mut self) {
        for tombstone in self.by_name.values_mut() {
            tombstone.predates_rollback = true;
        }
    }
}
