//! State of inactive tenants that is kept besides their documents: start times of servers that are still
//! warming up, and the health state of servers. Its size is bounded, and each tenant's state expires when
//! it no longer matters. Without I/O.

use std::collections::{BTreeMap, BTreeSet};

use balancer::{HealthSnapshot, Millis};

use crate::catalog::Name;

/// Maximum number of entries of one inactive tenant. A tenant with more stays active.
pub const MAX_ENTRIES_PER_TENANT: usize = 256;
/// Maximum number of entries of all inactive tenants. Above it the state that expires first is dropped,
/// as it would have mattered for the shortest time.
pub const MAX_ENTRIES: usize = 65_536;

/// Retained state of an inactive tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InactiveState {
    /// Start time of all servers without an own entry, as Unix time in ms; 0 for long ago.
    pub default_start_time: f64,
    /// Start times of servers, by the stable hash of the server's name.
    pub start_times: Vec<(u64, f64)>,
    /// Health state of the servers in the load balancer.
    pub health: HealthSnapshot,
    /// Expiry on the process's clock in ms.
    pub expires_at: Millis,
}

impl InactiveState {
    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        usize::from(self.default_start_time > 0.0)
            + self.start_times.len()
            + self.health.endpoints.len()
    }

    /// Returns true if there is nothing to retain.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the start time of a server.
    pub fn start_time(&self, server: u64) -> f64 {
        self.start_times
            .iter()
            .find(|(number, _)| *number == server)
            .map_or(self.default_start_time, |(_, start_time)| *start_time)
    }

    /// Resets a server that was added or has another address: the state under its number belongs to an
    /// earlier server.
    pub fn reset_server(&mut self, server: u64, start_time: f64) {
        self.health
            .endpoints
            .retain(|endpoint| endpoint.id.0 != server);
        self.start_times.retain(|(number, _)| *number != server);
        if start_time > 0.0 || self.default_start_time > 0.0 {
            self.start_times.push((server, start_time));
        }
    }
}

/// Retained state of all inactive tenants.
pub struct InactiveStates {
    by_tenant: BTreeMap<Name, InactiveState>,
    /// Expiry times as bits: these sort like the numbers, as none is negative.
    expiry_index: BTreeSet<(u64, Name)>,
    entries: usize,
    max_entries: usize,
    dropped_tenants: u64,
}

impl InactiveStates {
    /// Creates an empty collection for at most `max_entries` entries.
    pub fn new(max_entries: usize) -> Self {
        InactiveStates {
            by_tenant: BTreeMap::new(),
            expiry_index: BTreeSet::new(),
            entries: 0,
            max_entries,
            dropped_tenants: 0,
        }
    }

    /// Returns the number of entries of all tenants.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Returns the number of tenants whose state was dropped before its expiry.
    pub fn dropped_tenants(&self) -> u64 {
        self.dropped_tenants
    }

    /// Stores the state of a tenant and replaces an earlier one.
    pub fn insert(&mut self, name: &Name, state: InactiveState) {
        self.remove(name);
        if state.is_empty() {
            return;
        }
        self.entries += state.len();
        self.expiry_index
            .insert((state.expires_at.max(0.0).to_bits(), name.clone()));
        self.by_tenant.insert(name.clone(), state);
        while self.entries > self.max_entries {
            let Some((_, name)) = self.expiry_index.first().cloned() else {
                break;
            };
            self.remove(&name);
            self.dropped_tenants += 1;
        }
    }

    /// Removes and returns the state of a tenant.
    pub fn remove(&mut self, name: &str) -> Option<InactiveState> {
        let (name, state) = self.by_tenant.remove_entry(name)?;
        self.entries -= state.len();
        self.expiry_index
            .remove(&(state.expires_at.max(0.0).to_bits(), name));
        Some(state)
    }

    /// Removes expired state.
    pub fn expire(&mut self, now: Millis) {
        while let Some((expires_at, name)) = self.expiry_index.first().cloned() {
            if f64::from_bits(expires_at) > now {
                break;
            }
            self.remove(&name);
        }
    }
}
