//! Endpoint table: decides which records of the store are applied, retained, or ignored.
//!
//! Invariant: a record that is not newer than its endpoint's deletion is never applied.

use std::collections::BTreeMap;

use crate::event::TableNotice;
use crate::flapping::{FlapDamping, ReturnDecision};
use crate::key_space::KeySpace;
use crate::key_value::{KeyChange, KeyValue};
use crate::lease_expiry::LeaseExpiries;
use crate::limits::TableLimits;
use crate::list::{Endpoint, EndpointCounts, ListChange};
use crate::record::{EndpointRecord, EndpointState};
use crate::time::{EventTime, Millis};
use crate::tombstone::{Tombstone, Tombstones};

/// Placeholder for a modification revision; no record of the store has it.
const UNKNOWN_REVISION: i64 = -1;

/// Results of table operations, in order.
#[derive(Debug, Default)]
pub struct TableEffects {
    /// Changes of the list.
    pub changes: Vec<ListChange>,
    /// Notices for the log.
    pub notices: Vec<TableNotice>,
}

/// Endpoint of the list with its key's revisions.
#[derive(Clone, Debug, PartialEq)]
struct TableEntry {
    record: EndpointRecord,
    started_at_ms: u64,
    mod_revision: i64,
    create_revision: i64,
    lease: i64,
    /// The present value is invalid; `record` is the last valid one.
    quarantined: bool,
    /// Present after a mass lease expiry, until the endpoint is released or returns.
    retained: Option<Retained>,
}

impl TableEntry {
    /// Returns true if a deletion of the key would be a lease expiry: an endpoint that leaves on purpose drains first.
    fn is_leased(&self) -> bool {
        self.lease != 0 && self.record.state == EndpointState::Up && self.retained.is_none()
    }
}

/// Retention of an endpoint whose lease expired with many others.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Retained {
    since: Millis,
    deleted_revision: i64,
}

/// Deletion of an endpoint's key.
struct Deletion {
    name: String,
    revision: i64,
}

/// Endpoints of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointTable {
    keys: KeySpace,
    max_endpoints: usize,
    retention_ms: u64,
    entries: BTreeMap<String, TableEntry>,
    tombstones: Tombstones,
    flapping: FlapDamping,
    lease_expiries: LeaseExpiries,
    /// Revision of the last release of retained endpoints.
    released_revision: i64,
    has_snapshot: bool,
}

impl EndpointTable {
    /// Builds an empty table.
    pub fn new(keys: KeySpace, limits: &TableLimits) -> Self {
        EndpointTable {
            keys,
            max_endpoints: limits.max_endpoints,
            retention_ms: limits.retention_ms,
            entries: BTreeMap::new(),
            tombstones: Tombstones::new(limits),
            flapping: FlapDamping::new(limits),
            lease_expiries: LeaseExpiries::new(limits),
            released_revision: 0,
            has_snapshot: false,
        }
    }

    /// Returns the numbers of endpoints.
    pub fn counts(&self) -> EndpointCounts {
        let count = |matches: fn(&TableEntry) -> bool| {
            self.entries.values().filter(|entry| matches(entry)).count()
        };
        EndpointCounts {
            total: self.entries.len(),
            quarantined: count(|entry| entry.quarantined),
            retained: count(|entry| entry.retained.is_some()),
        }
    }

    /// Returns the endpoints in the order of their names.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        let endpoint = |(name, entry): (&String, &TableEntry)| Endpoint {
            name: name.clone(),
            record: entry.record.clone(),
            started_at_ms: entry.started_at_ms,
        };
        self.entries.iter().map(endpoint).collect()
    }

    /// Returns the time at which [`EndpointTable::advance`] is due.
    pub fn next_due(&self) -> Option<Millis> {
        let retained = self.entries.values().filter_map(|entry| entry.retained);
        retained
            .map(|retained| retained.since + self.retention_ms)
            .chain(self.flapping.next_due())
            .min()
    }

    /// Removes endpoints whose retention has ended, and adds flapping endpoints that have stayed.
    pub fn advance(&mut self, time: EventTime, effects: &mut TableEffects) {
        let retention_ms = self.retention_ms;
        self.remove_retained(time.now, effects, |retained| {
            time.now >= retained.since + retention_ms
        });
        for (name, key_value) in self.flapping.take_due(time.now) {
            self.apply_value(time, &name, &key_value, effects);
        }
        self.flapping.forget_settled(time.now);
    }

    /// Applies changes of one answer, each newer than all changes before.
    pub fn apply_changes(
        &mut self,
        time: EventTime,
        changes: &[KeyChange],
        effects: &mut TableEffects,
    ) {
        let mut deletions: Vec<Deletion> = Vec::new();
        for change in changes {
            if change.key() == self.keys.release_key().as_bytes() {
                if let KeyChange::Put(key_value) = change {
                    self.release(time.now, key_value.mod_revision, effects);
                }
                continue;
            }
            let Some(name) = self.keys.endpoint_name(change.key()).map(str::to_owned) else {
                continue;
            };
            match change {
                KeyChange::Delete { revision, .. } => deletions.push(Deletion {
                    name,
                    revision: *revision,
                }),
                KeyChange::Put(key_value) => {
                    // Deletions are collected to see a mass expiry, but one key's changes stay in order.
                    if deletions.iter().any(|deletion| deletion.name == name) {
                        self.delete(time.now, std::mem::take(&mut deletions), effects);
                    }
                    self.apply_put(time, &name, key_value, effects);
                }
            }
        }
        self.delete(time.now, deletions, effects);
    }

    /// Applies a complete snapshot at a revision: endpoints that it lacks are deleted.
    pub fn apply_snapshot(
        &mut self,
        time: EventTime,
        revision: i64,
        key_values: &[KeyValue],
        effects: &mut TableEffects,
    ) {
        let present = self.index_snapshot(key_values);
        let is_first = !std::mem::replace(&mut self.has_snapshot, true);
        let missing = self
            .entries
            .keys()
            .filter(|name| !present.contains_key(*name))
            .map(|name| Deletion {
                name: name.clone(),
                revision,
            });
        let missing: Vec<Deletion> = missing.collect();
        let mut snapshot_effects = TableEffects::default();
        // Removals come first: a new endpoint is never listed beside one that it replaces.
        self.delete(time.now, missing, &mut snapshot_effects);
        self.flapping.cancel_all();
        let arrival = EventTime {
            now: time.now,
            // Endpoints of the first list started at an unknown time.
            unix_ms: if is_first { 0 } else { time.unix_ms },
        };
        for (name, key_value) in present {
            self.apply_put(arrival, &name, key_value, &mut snapshot_effects);
        }
        if is_first {
            effects.changes.push(ListChange::Complete(self.endpoints()));
        } else {
            effects.changes.append(&mut snapshot_effects.changes);
        }
        effects.notices.append(&mut snapshot_effects.notices);
        self.release(time.now, self.released_revision, effects);
    }

    /// Indexes a snapshot by endpoint name, and notes its release key.
    fn index_snapshot<'s>(&mut self, key_values: &'s [KeyValue]) -> BTreeMap<String, &'s KeyValue> {
        let mut present = BTreeMap::new();
        for key_value in key_values {
            if key_value.key == self.keys.release_key().as_bytes() {
                self.released_revision = self.released_revision.max(key_value.mod_revision);
            } else if let Some(name) = self.keys.endpoint_name(&key_value.key) {
                present.insert(name.to_owned(), key_value);
            }
        }
        present
    }

    /// Applies a value unless it is applied already, outdated, or its endpoint is flapping.
    fn apply_put(
        &mut self,
        time: EventTime,
        name: &str,
        key_value: &KeyValue,
        effects: &mut TableEffects,
    ) {
        if let Some(entry) = self.entries.get(name)
            && entry.mod_revision == key_value.mod_revision
            && entry.retained.is_none()
        {
            return;
        }
        if let Some(tombstone) = self.tombstones.get(name) {
            if tombstone.covers(key_value) {
                effects
                    .notices
                    .push(TableNotice::OutdatedRecord(name.to_owned()));
                return;
            }
            match self.flapping.record_return(time.now, name, key_value) {
                ReturnDecision::Admit => {}
                ReturnDecision::AlreadyDelayed => return,
                ReturnDecision::Delay => {
                    effects.notices.push(TableNotice::Flapping(name.to_owned()));
                    return;
                }
            }
        }
        self.apply_value(time, name, key_value, effects);
    }

    fn apply_value(
        &mut self,
        time: EventTime,
        name: &str,
        key_value: &KeyValue,
        effects: &mut TableEffects,
    ) {
        let record = match EndpointRecord::parse(&key_value.value) {
            Ok(record) => record,
            Err(error) => {
                self.quarantine(name, key_value);
                effects.notices.push(TableNotice::Quarantined {
                    name: name.to_owned(),
                    reason: error.to_string(),
                });
                return;
            }
        };
        if record.state == EndpointState::Removed {
            let tombstone = Tombstone {
                deleted_revision: key_value.mod_revision,
                create_revision: key_value.create_revision,
                at: time.now,
                predates_rollback: false,
            };
            self.remove(name, tombstone, effects);
            return;
        }
        if !self.entries.contains_key(name) && self.entries.len() >= self.max_endpoints {
            effects
                .notices
                .push(TableNotice::LimitExceeded(name.to_owned()));
            return;
        }
        self.insert(time, name, key_value, record, effects);
    }

    /// Keeps the last valid record of an endpoint whose value is invalid.
    fn quarantine(&mut self, name: &str, key_value: &KeyValue) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.quarantined = true;
            entry.mod_revision = key_value.mod_revision;
            entry.lease = key_value.lease;
            entry.retained = None;
        }
    }

    fn insert(
        &mut self,
        time: EventTime,
        name: &str,
        key_value: &KeyValue,
        record: EndpointRecord,
        effects: &mut TableEffects,
    ) {
        let started_at_ms = self.start_time(time, name, key_value, &record);
        let entry = TableEntry {
            record: record.clone(),
            started_at_ms,
            mod_revision: key_value.mod_revision,
            create_revision: key_value.create_revision,
            lease: key_value.lease,
            quarantined: false,
            retained: None,
        };
        self.tombstones.remove(name);
        let previous = self.entries.insert(name.to_owned(), entry);
        let is_unchanged = previous.is_some_and(|previous| {
            previous.record == record && previous.started_at_ms == started_at_ms
        });
        if !is_unchanged {
            effects.changes.push(ListChange::Upserted(Endpoint {
                name: name.to_owned(),
                record,
                started_at_ms,
            }));
        }
    }

    /// Returns the start of an endpoint's process: as recorded, as known of the same process, or now.
    fn start_time(
        &self,
        time: EventTime,
        name: &str,
        key_value: &KeyValue,
        record: &EndpointRecord,
    ) -> u64 {
        if let Some(recorded) = record.started_at_ms {
            return recorded;
        }
        // A key that was created again, or another address, means another process.
        let same_process = self.entries.get(name).filter(|entry| {
            entry.create_revision == key_value.create_revision
                && entry.record.address == record.address
        });
        same_process.map_or(time.unix_ms, |entry| entry.started_at_ms)
    }

    /// Deletes endpoints together; those of a mass lease expiry are retained.
    fn delete(&mut self, now: Millis, deletions: Vec<Deletion>, effects: &mut TableEffects) {
        let is_leased = |deletion: &&Deletion| {
            let entry = self.entries.get(&deletion.name);
            entry.is_some_and(TableEntry::is_leased)
        };
        let expiring = deletions.iter().filter(is_leased).count();
        let leased = self.entries.values().filter(|e| e.is_leased()).count();
        let is_mass_expiry = self.lease_expiries.is_mass_expiry(now, expiring, leased);
        let mut retained_count = 0;
        for Deletion { name, revision } in deletions {
            self.flapping.cancel(&name);
            let Some(entry) = self.entries.get_mut(&name) else {
                // The endpoint was deleted before, and its return was delayed.
                self.tombstones.raise_deleted_revision(&name, revision);
                continue;
            };
            if entry.retained.is_some() {
                continue;
            }
            let lease_expired = entry.is_leased();
            if is_mass_expiry && lease_expired && revision > self.released_revision {
                entry.retained = Some(Retained {
                    since: now,
                    deleted_revision: revision,
                });
                retained_count += 1;
                continue;
            }
            let create_revision = entry.create_revision;
            if lease_expired {
                self.lease_expiries.record(now);
            }
            let tombstone = Tombstone {
                deleted_revision: revision,
                create_revision,
                at: now,
                predates_rollback: false,
            };
            self.remove(&name, tombstone, effects);
        }
        if retained_count > 0 {
            effects.notices.push(TableNotice::Retained(retained_count));
        }
    }

    /// Removes the endpoints that were retained up to a revision.
    fn release(&mut self, now: Millis, revision: i64, effects: &mut TableEffects) {
        self.released_revision = self.released_revision.max(revision);
        self.remove_retained(now, effects, |retained| {
            retained.deleted_revision <= revision
        });
    }

    fn remove_retained(
        &mut self,
        now: Millis,
        effects: &mut TableEffects,
        is_over: impl Fn(&Retained) -> bool,
    ) {
        let mut over = Vec::new();
        for (name, entry) in &self.entries {
            let Some(retained) = entry.retained.filter(&is_over) else {
                continue;
            };
            let tombstone = Tombstone {
                deleted_revision: retained.deleted_revision,
                create_revision: entry.create_revision,
                at: now,
                predates_rollback: false,
            };
            over.push((name.clone(), tombstone));
        }
        if !over.is_empty() {
            effects
                .notices
                .push(TableNotice::RetentionEnded(over.len()));
        }
        for (name, tombstone) in over {
            self.remove(&name, tombstone, effects);
        }
    }

    fn remove(&mut self, name: &str, tombstone: Tombstone, effects: &mut TableEffects) {
        if self.entries.remove(name).is_some() {
            effects.changes.push(ListChange::Removed(name.to_owned()));
        }
        self.tombstones.insert(name, tombstone);
    }

    /// Prepares for the snapshot of a store that was rolled back to a backup, whose revisions begin lower.
    ///
    /// A deleted endpoint stays deleted until its key is created again.
    pub fn store_rolled_back(&mut self) {
        for entry in self.entries.values_mut() {
            entry.mod_revision = UNKNOWN_REVISION;
        }
        self.tombstones.store_rolled_back();
        self.released_revision = 0;
    }
}
