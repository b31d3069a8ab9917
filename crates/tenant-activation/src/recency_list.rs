//! Active tenants in the order of their last use.

use std::collections::BTreeMap;

use crate::Millis;

/// Times of an active tenant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveTenant {
    /// Key of its position in the order of use.
    sequence: u64,
    pub(crate) activated_at: Millis,
    pub(crate) last_used_at: Millis,
}

/// Active tenants, least recently used first.
///
/// Invariant: `by_use` holds each tenant of `tenants` once, under its `sequence`.
#[derive(Clone, Debug)]
pub(crate) struct RecencyList<K> {
    tenants: BTreeMap<K, ActiveTenant>,
    by_use: BTreeMap<u64, K>,
}

impl<K: Ord + Clone> RecencyList<K> {
    pub(crate) fn new() -> Self {
        RecencyList {
            tenants: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.tenants.len()
    }

    pub(crate) fn contains(&self, key: &K) -> bool {
        self.tenants.contains_key(key)
    }

    /// Iterates over the tenants, least recently used first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &ActiveTenant)> {
        self.by_use
            .values()
            .filter_map(|key| Some((key, self.tenants.get(key)?)))
    }

    /// Adds a tenant that is not in the list. `sequence` is greater than all before.
    pub(crate) fn insert(&mut self, now: Millis, key: &K, sequence: u64) {
        let tenant = ActiveTenant {
            sequence,
            activated_at: now,
            last_used_at: now,
        };
        self.tenants.insert(key.clone(), tenant);
        self.by_use.insert(sequence, key.clone());
    }

    /// Marks a tenant as used. `sequence` is greater than all before.
    pub(crate) fn touch(&mut self, now: Millis, key: &K, sequence: u64) {
        let Some(tenant) = self.tenants.get_mut(key) else {
            return;
        };
        if let Some(key) = self.by_use.remove(&tenant.sequence) {
            self.by_use.insert(sequence, key);
        }
        tenant.sequence = sequence;
        tenant.last_used_at = now;
    }

    pub(crate) fn remove(&mut self, key: &K) {
        if let Some(tenant) = self.tenants.remove(key) {
            self.by_use.remove(&tenant.sequence);
        }
    }
}
