//! The order in which the long bodies of waiting requests get memory that is short: the oldest first. Shared evenly, the
//! memory would complete none of them.
//!
//! A [`Place`] belongs to one body. It waits in the queue from the time when there was no memory for the body until all
//! that its client has sent is received. Does no I/O.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// The long bodies of a process, and those of them that wait for memory.
#[derive(Default)]
pub struct MemoryQueue {
    next_number: Cell<u64>,
    /// The number of all bodies.
    bodies: Cell<usize>,
    /// The waiting bodies by age.
    waiters: RefCell<BTreeMap<u64, Rc<Waiter>>>,
    /// The claims of bodies to the reserve, by age.
    reserve_claims: RefCell<BTreeMap<u64, ReserveClaim>>,
}

/// What a body may use of the reserve.
struct ReserveClaim {
    needed_bytes: usize,
    used_bytes: usize,
}

#[derive(Default)]
struct Waiter {
    /// Notified when the body becomes the first one or is evicted.
    changed: Notify,
    evicted: Cell<bool>,
}

impl MemoryQueue {
    /// Creates the place of a body that does not wait yet; later ones rank behind it.
    pub fn place(self: &Rc<Self>) -> Place {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.bodies.set(self.bodies.get() + 1);
        Place {
            queue: self.clone(),
            number,
            is_waiting: Cell::new(false),
            waiter: Rc::default(),
        }
    }

    /// Returns the number of all bodies.
    pub fn bodies(&self) -> usize {
        self.bodies.get()
    }

    /// Returns whether no body waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.borrow().is_empty()
    }

    /// Returns how much of the reserve is in use.
    pub fn reserve_used_bytes(&self) -> usize {
        let claims = self.reserve_claims.borrow();
        claims.values().map(|claim| claim.used_bytes).sum()
    }

    fn first(&self) -> Option<u64> {
        let waiters = self.waiters.borrow();
        waiters.first_key_value().map(|(number, _)| *number)
    }

    fn notify_first(&self) {
        if let Some((_, first)) = self.waiters.borrow().first_key_value() {
            first.changed.notify_one();
        }
    }
}

/// The place of one body. Dropping it leaves the queue.
pub struct Place {
    queue: Rc<MemoryQueue>,
    number: u64,
    is_waiting: Cell<bool>,
    waiter: Rc<Waiter>,
}

impl Place {
    /// Begins to wait, unless the body waits already.
    pub fn join(&self) {
        self.is_waiting.set(true);
        let mut waiters = self.queue.waiters.borrow_mut();
        waiters.insert(self.number, self.waiter.clone());
    }

    /// Stops waiting, so that the next body is the first one.
    pub fn leave(&self) {
        if !self.is_waiting.take() {
            return;
        }
        let was_first = self.is_first();
        self.queue.waiters.borrow_mut().remove(&self.number);
        if was_first {
            self.queue.notify_first();
        }
    }

    /// Returns whether the body waits.
    pub fn is_waiting(&self) -> bool {
        self.is_waiting.get()
    }

    /// Stops waiting for good, because the body is complete, is sent, or is not needed any more.
    pub fn finish(&self) {
        self.leave();
        self.queue.reserve_claims.borrow_mut().remove(&self.number);
    }

    /// Returns whether the body waits and no older one does.
    pub fn is_first(&self) -> bool {
        self.queue.first() == Some(self.number)
    }

    /// Returns whether the body, which needs `needed_bytes` more, may use the reserve. Only bodies that fit into it
    /// together do, so that they need not wait for each other. A body does until it is finished or an older one needs its
    /// part; what it has used by then it keeps.
    pub fn may_use_reserve(&self, needed_bytes: usize, reserve_bytes: usize) -> bool {
        let mut claims = self.queue.reserve_claims.borrow_mut();
        if claims.contains_key(&self.number) || !self.is_first() {
            return claims.contains_key(&self.number);
        }
        let needed_bytes = needed_bytes.min(reserve_bytes);
        let fits = |claims: &BTreeMap<u64, ReserveClaim>| {
            let claimed_bytes: usize = claims.values().map(|claim| claim.needed_bytes).sum();
            claimed_bytes + needed_bytes <= reserve_bytes
        };
        while !fits(&claims) {
            if claims
                .last_key_value()
                .is_none_or(|(youngest, _)| *youngest < self.number)
            {
                return false;
            }
            claims.pop_last();
        }
        let claim = ReserveClaim {
            needed_bytes,
            used_bytes: 0,
        };
        claims.insert(self.number, claim);
        true
    }

    /// Records that the body has used a part of the reserve.
    pub fn record_reserve_use(&self, bytes: usize) {
        if let Some(claim) = self.queue.reserve_claims.borrow_mut().get_mut(&self.number) {
            claim.used_bytes += bytes;
        }
    }

    /// Returns whether no older body waits.
    pub fn has_turn(&self) -> bool {
        self.queue
            .first()
            .is_none_or(|number| self.number <= number)
    }

    /// Returns whether all long bodies wait, so that none of them will release memory.
    pub fn all_wait(&self) -> bool {
        self.queue.bodies.get() == self.queue.waiters.borrow().len()
    }

    /// Waits until the body may have become the first one, or is evicted.
    pub async fn changed(&self) {
        self.waiter.changed.notified().await;
    }

    /// Evicts a waiting body from the queue: this one, or the youngest.
    pub fn evict(&self, this: bool) {
        let mut waiters = self.queue.waiters.borrow_mut();
        let evicted = if this {
            waiters.remove(&self.number)
        } else {
            waiters.pop_last().map(|(_, waiter)| waiter)
        };
        if let Some(waiter) = evicted {
            waiter.evicted.set(true);
            waiter.changed.notify_one();
        }
    }

    /// Returns whether the body has been evicted since the latest call.
    pub fn take_eviction(&self) -> bool {
        let evicted = self.waiter.evicted.take();
        if evicted {
            self.is_waiting.set(false);
        }
        evicted
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.finish();
        self.queue.bodies.set(self.queue.bodies.get() - 1);
    }
}
