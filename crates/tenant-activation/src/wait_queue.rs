//! Queue of tenants that wait for capacity, with expiry of unclaimed positions.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;

#[derive(Clone, Copy, Debug)]
struct WaitingTenant {
    /// Position in the queue; grows with each request that is queued.
    ticket: u64,
    expires_at: Millis,
}

/// Tenants in the order of their first request.
///
/// Invariant: `tenants`, `by_ticket` and `by_expiry` hold the same tickets.
#[derive(Clone, Debug)]
pub(crate) struct WaitQueue<K> {
    tenants: BTreeMap<K, WaitingTenant>,
    by_ticket: BTreeMap<u64, K>,
    /// Tickets by the bits of their expiry: times are not negative, so their bits sort in the same order.
    by_expiry: BTreeSet<(u64, u64)>,
}

impl<K: Ord + Clone> WaitQueue<K> {
    pub(crate) fn new() -> Self {
        WaitQueue {
            tenants: BTreeMap::new(),
            by_ticket: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_ticket.len()
    }

    /// Returns a tenant's ticket, if it is queued.
    pub(crate) fn ticket(&self, key: &K) -> Option<u64> {
        self.tenants.get(key).map(|waiting| waiting.ticket)
    }

    /// Returns the ticket at the head of the queue.
    pub(crate) fn first_ticket(&self) -> Option<u64> {
        self.by_ticket.first_key_value().map(|(ticket, _)| *ticket)
    }

    /// Counts the tenants before a tenant, or all if it is not queued, up to a maximum.
    pub(crate) fn count_ahead(&self, key: &K, max: usize) -> usize {
        let ticket = self.ticket(key).unwrap_or(u64::MAX);
        self.by_ticket.range(..ticket).take(max).count()
    }

    /// Adds a tenant with a ticket, or renews the expiry of the ticket that it has.
    pub(crate) fn insert(&mut self, key: &K, ticket: u64, expires_at: Millis) {
        if let Some(former) = self.tenants.get(key) {
            let expiry = (former.expires_at.to_bits(), ticket);
            self.by_expiry.remove(&expiry);
        }
        self.by_expiry.insert((expires_at.to_bits(), ticket));
        self.by_ticket.insert(ticket, key.clone());
        let waiting = WaitingTenant { ticket, expires_at };
        self.tenants.insert(key.clone(), waiting);
    }

    pub(crate) fn remove(&mut self, key: &K) {
        if let Some(waiting) = self.tenants.remove(key) {
            self.by_ticket.remove(&waiting.ticket);
            let expiry = (waiting.expires_at.to_bits(), waiting.ticket);
            self.by_expiry.remove(&expiry);
        }
    }

    /// Removes all tenants whose positions expired before `now`.
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        while let Some((expiry, ticket)) = self.by_expiry.first().copied() {
            if f64::from_bits(expiry) >= now {
                return;
            }
            match self.by_ticket.get(&ticket).cloned() {
                Some(key) => self.remove(&key),
                None => _ = self.by_expiry.pop_first(),
            }
        }
    }
}
