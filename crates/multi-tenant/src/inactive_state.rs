//! What is kept of tenants at rest beside their documents: births of servers that are cold still, and what their modules held
//! against servers. It is bounded, and each entry has an end after which nothing of it matters. Without I/O.

use std::collections::{BTreeMap, BTreeSet};

use balancer::{HealthSnapshot, Millis};

use crate::catalog::Name;

/// Servers that there may be something to say of in one tenant at rest. One with more stays resident.
pub const MAX_ENTRIES_PER_TENANT: usize = 256;
/// And in all of them together. Beyond it what ends soonest is let go of: it would have mattered for the shortest time.
pub const MAX_ENTRIES: usize = 65_536;

/// What is kept of one tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InactiveState {
    /// When all its servers started that are not named below, on Unix time in ms; 0 for long ago.
    pub default_start_time: f64,
    /// When servers started, by their numbers.
    pub start_times: Vec<(u64, f64)>,
    /// What its module held against servers.
    pub health: HealthSnapshot,
    /// Nothing of it matters after this, on the process's clock in ms.
    pub expires_at: Millis,
}

impl InactiveState {
    /// How much there is to say.
    pub fn len(&self) -> usize {
        usize::from(self.default_start_time > 0.0)
            + self.start_times.len()
            + self.health.endpoints.len()
    }

    /// Whether there is nothing to say.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// When a server started.
    pub fn start_time(&self, server: u64) -> f64 {
        self.start_times
            .iter()
            .find(|(number, _)| *number == server)
            .map_or(self.default_start_time, |(_, born)| *born)
    }

    /// A server comes anew: what was known under its number is another's.
    pub fn reset_server(&mut self, server: u64, born: f64) {
        self.health.endpoints.retain(|s| s.id.0 != server);
        self.start_times.retain(|(number, _)| *number != server);
        if born > 0.0 || self.default_start_time > 0.0 {
            self.start_times.push((server, born));
        }
    }
}

/// What is kept of all tenants at rest.
pub struct InactiveStates {
    of: BTreeMap<Name, InactiveState>,
    /// Their ends: not negative, so that their bits sort as they do.
    ends: BTreeSet<(u64, Name)>,
    entries: usize,
    most: usize,
    dropped: u64,
}

impl InactiveStates {
    /// Room for so many entries.
    pub fn new(most: usize) -> Self {
        InactiveStates {
            of: BTreeMap::new(),
            ends: BTreeSet::new(),
            entries: 0,
            most,
            dropped: 0,
        }
    }

    /// How many entries there are.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Tenants of which something was let go of before its end.
    pub fn dropped_tenants(&self) -> u64 {
        self.dropped
    }

    /// Keeps what there is to say of a tenant, in place of what was kept.
    pub fn insert(&mut self, name: &Name, digest: InactiveState) {
        self.remove(name);
        if digest.is_empty() {
            return;
        }
        self.entries += digest.len();
        self.ends
            .insert((digest.expires_at.max(0.0).to_bits(), name.clone()));
        self.of.insert(name.clone(), digest);
        while self.entries > self.most {
            let Some((_, name)) = self.ends.first().cloned() else {
                break;
            };
            self.remove(&name);
            self.dropped += 1;
        }
    }

    /// Takes out what is kept of a tenant.
    pub fn remove(&mut self, name: &str) -> Option<InactiveState> {
        let (name, digest) = self.of.remove_entry(name)?;
        self.entries -= digest.len();
        self.ends
            .remove(&(digest.expires_at.max(0.0).to_bits(), name));
        Some(digest)
    }

    /// Lets go of what has come to its end.
    pub fn expire(&mut self, now: Millis) {
        while let Some((end, name)) = self.ends.first().cloned() {
            if f64::from_bits(end) > now {
                break;
            }
            self.remove(&name);
        }
    }
}
