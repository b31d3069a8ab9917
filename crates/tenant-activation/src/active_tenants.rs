//! Decisions on activation, eviction and deactivation.

use std::collections::BTreeSet;

use crate::Millis;
use crate::recency_list::RecencyList;
use crate::wait_queue::WaitQueue;

/// Number of active tenants examined for an eviction, in addition to those whose capacity is due to others in the queue.
const MAX_EVICTION_CANDIDATES: usize = 64;
/// Bounds of the time until a retry.
const MIN_RETRY_AFTER: Millis = 1.0;
const MAX_RETRY_AFTER: Millis = 10_000.0;
/// Divisor of the capacity that gives the part which pinned tenants never take; the part is at least 1.
const UNPINNED_CAPACITY_DIVISOR: usize = 8;

/// Bounds on the active and the waiting tenants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ActivationLimits {
    /// Maximum number of active tenants.
    pub max_active: usize,
    /// Time without use after which a tenant may be deactivated although no other tenant needs its capacity.
    pub idle_timeout: Millis,
    /// Minimum time for which a tenant stays active, so that tenants do not evict each other in turn.
    pub min_active_time: Millis,
    /// Grace period after the retry time of a queued tenant, during which its position is kept.
    pub retry_grace_period: Millis,
    /// Maximum number of queued tenants; tenants beyond it get a retry time but no position.
    pub max_waiting: usize,
}

/// A tenant is active, or its caller has to activate it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Activation<K> {
    /// The tenant was active before.
    AlreadyActive,
    /// The tenant has to be activated; capacity was free.
    Activated,
    /// The tenant has to be activated after the given one is deactivated.
    ActivatedByEvicting(K),
}

/// A tenant cannot be activated now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deferral {
    /// Time until the tenant should retry.
    pub retry_after: Millis,
    /// True if the tenant has a position in the queue, which is kept if it retries in time.
    pub is_queued: bool,
}

/// Counters of decisions since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ActivationCounters {
    /// Tenants activated.
    pub activations: u64,
    /// Tenants deactivated, evicted ones included.
    pub deactivations: u64,
    /// Tenants deactivated to make room for others.
    pub evictions: u64,
    /// Requests deferred for lack of capacity.
    pub deferrals: u64,
}

/// The active tenants of a process, and the tenants that wait for activation.
#[derive(Clone, Debug)]
pub struct ActiveTenants<K> {
    limits: ActivationLimits,
    unpinned: RecencyList<K>,
    /// Tenants that stay active until they are unpinned.
    pinned: BTreeSet<K>,
    queue: WaitQueue<K>,
    /// Next number in the common order of uses and queue tickets.
    next_sequence: u64,
    counters: ActivationCounters,
}

impl<K: Ord + Clone> ActiveTenants<K> {
    /// Creates an empty set.
    pub fn new(limits: ActivationLimits) -> Self {
        ActiveTenants {
            limits: ActivationLimits {
                max_active: limits.max_active.max(1),
                ..limits
            },
            unpinned: RecencyList::new(),
            pinned: BTreeSet::new(),
            queue: WaitQueue::new(),
            next_sequence: 0,
            counters: ActivationCounters::default(),
        }
    }

    /// Returns the number of active tenants, pinned ones included.
    pub fn len(&self) -> usize {
        self.unpinned.len() + self.pinned.len()
    }

    /// Returns true if no tenant is active.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of pinned tenants.
    pub fn pinned_count(&self) -> usize {
        self.pinned.len()
    }

    /// Returns the maximum number of active tenants.
    pub fn max_active(&self) -> usize {
        self.limits.max_active
    }

    /// Returns the number of queued tenants.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns true if a tenant is active.
    pub fn contains(&self, key: &K) -> bool {
        self.unpinned.contains(key) || self.pinned.contains(key)
    }

    /// Returns the counters.
    pub fn counters(&self) -> ActivationCounters {
        self.counters
    }

    /// Returns the capacity for tenants that are not pinned.
    ///
    /// Pinned tenants reduce it, but not below an eighth of the maximum; more pinned tenants exceed the maximum.
    pub fn unpinned_capacity(&self) -> usize {
        let max_active = self.limits.max_active;
        let min_capacity = (max_active / UNPINNED_CAPACITY_DIVISOR).max(1);
        max_active
            .saturating_sub(self.pinned.len())
            .max(min_capacity)
    }

    /// Activates a tenant for a request. `can_deactivate` returns true for a tenant without work.
    ///
    /// # Errors
    /// No capacity is left, or the remaining capacity is due to tenants earlier in the queue.
    pub fn activate(
        &mut self,
        now: Millis,
        key: &K,
        mut can_deactivate: impl FnMut(&K) -> bool,
    ) -> Result<Activation<K>, Deferral> {
        if self.pinned.contains(key) {
            return Ok(Activation::AlreadyActive);
        }
        if self.unpinned.contains(key) {
            self.touch(now, key);
            return Ok(Activation::AlreadyActive);
        }
        self.queue.remove_expired(now);
        let capacity = self.unpinned_capacity();
        let free = capacity.saturating_sub(self.unpinned.len());
        // Capacity goes to earlier tenants in the queue first, even while they are not retrying.
        let ahead = self.queue.count_ahead(key, capacity);
        if free > ahead {
            self.insert(now, key);
            self.counters.activations += 1;
            return Ok(Activation::Activated);
        }
        if ahead < capacity
            && let Some(evicted) = self.find_evictable(now, ahead + 1 - free, &mut can_deactivate)
        {
            self.unpinned.remove(&evicted);
            self.counters.deactivations += 1;
            self.counters.evictions += 1;
            self.insert(now, key);
            self.counters.activations += 1;
            return Ok(Activation::ActivatedByEvicting(evicted));
        }
        self.counters.deferrals += 1;
        Err(self.defer(now, key))
    }

    /// Finds the least recently used tenant that can be evicted. Returns `None` unless `required` tenants can be evicted,
    /// as the capacity of the others is due to tenants earlier in the queue.
    fn find_evictable(
        &mut self,
        now: Millis,
        required: usize,
        can_deactivate: &mut impl FnMut(&K) -> bool,
    ) -> Option<K> {
        let mut least_recent = None;
        let mut evictable_count = 0;
        let mut busy = Vec::new();
        let candidates = self.unpinned.iter();
        for (key, tenant) in candidates.take(MAX_EVICTION_CANDIDATES + required) {
            if now - tenant.activated_at < self.limits.min_active_time {
                continue;
            }
            if !can_deactivate(key) {
                busy.push(key.clone());
                continue;
            }
            if least_recent.is_none() {
                least_recent = Some(key.clone());
            }
            evictable_count += 1;
            if evictable_count == required {
                break;
            }
        }
        self.touch_all(now, &busy);
        least_recent.filter(|_| evictable_count == required)
    }

    /// Deactivates tenants that were idle for the idle timeout, at most `max`, and returns them.
    ///
    /// Tenants beyond the capacity, which pinning others has reduced, are deactivated without that timeout.
    pub fn deactivate_idle(
        &mut self,
        now: Millis,
        max: usize,
        mut can_deactivate: impl FnMut(&K) -> bool,
    ) -> Vec<K> {
        self.queue.remove_expired(now);
        let excess = self.unpinned.len().saturating_sub(self.unpinned_capacity());
        let candidates: Vec<K> = self
            .unpinned
            .iter()
            .enumerate()
            .take_while(|(position, (_, tenant))| {
                *position < excess || now - tenant.last_used_at >= self.limits.idle_timeout
            })
            .take(max)
            .map(|(_, (key, _))| key.clone())
            .collect();
        let (deactivated, busy): (Vec<K>, Vec<K>) =
            candidates.into_iter().partition(|key| can_deactivate(key));
        self.touch_all(now, &busy);
        for key in &deactivated {
            self.unpinned.remove(key);
        }
        self.counters.deactivations += deactivated.len() as u64;
        deactivated
    }

    /// Makes a tenant active until it is unpinned.
    pub fn pin(&mut self, key: &K) {
        self.queue.remove(key);
        self.unpinned.remove(key);
        self.pinned.insert(key.clone());
    }

    /// Unpins a tenant. It stays active, and may be deactivated.
    pub fn unpin(&mut self, now: Millis, key: &K) {
        if self.pinned.remove(key) {
            self.insert(now, key);
        }
    }

    /// Removes a tenant from the active and from the waiting ones.
    pub fn remove(&mut self, key: &K) {
        self.queue.remove(key);
        self.unpinned.remove(key);
        self.pinned.remove(key);
    }

    fn take_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }

    fn insert(&mut self, now: Millis, key: &K) {
        self.queue.remove(key);
        let sequence = self.take_sequence();
        self.unpinned.insert(now, key, sequence);
    }

    fn touch(&mut self, now: Millis, key: &K) {
        let sequence = self.take_sequence();
        self.unpinned.touch(now, key, sequence);
    }

    /// Marks tenants with work as used, so that they are examined again only after all others.
    fn touch_all(&mut self, now: Millis, keys: &[K]) {
        for key in keys {
            self.touch(now, key);
        }
    }

    /// Queues a tenant, or keeps its position, and sets the time of its retry.
    fn defer(&mut self, now: Millis, key: &K) -> Deferral {
        let queue_len = self.queue.len();
        let ticket = match self.queue.ticket(key) {
            Some(ticket) => ticket,
            None if queue_len >= self.limits.max_waiting => {
                return Deferral {
                    retry_after: self.retry_after(queue_len),
                    is_queued: false,
                };
            }
            None => self.take_sequence(),
        };
        let first_ticket = self.queue.first_ticket().unwrap_or(ticket);
        // Tickets share their numbers with uses, so their difference may exceed the number of tenants between them.
        let ahead = queue_len.min((ticket - first_ticket) as usize);
        let retry_after = self.retry_after(ahead);
        let expires_at = now + retry_after + self.limits.retry_grace_period;
        self.queue.insert(key, ticket, expires_at);
        Deferral {
            retry_after,
            is_queued: true,
        }
    }

    /// Estimates the time until capacity is free for a tenant with `ahead` tenants before it in the queue.
    fn retry_after(&self, ahead: usize) -> Millis {
        let turnovers = 1.0 + ahead as f64 / self.unpinned_capacity() as f64;
        (self.limits.min_active_time * turnovers).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
