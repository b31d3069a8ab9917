//! The accounts of all tenants: the engine's seam over the shares, and the turns in which connections are read.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};
use std::task::Waker;
use std::time::Duration;

use fair_share::{
    Millis, ProcessCapacity, RejectionCounts, TenantId, TenantLimiter, TenantQuota, TenantUsage,
};
use proxy_core::account::TenantAccount;
use rustix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::catalog::Name;

/// Between two looks at tenants whose connections wait to be read, when no account allows any.
const LOOK: Duration = Duration::from_millis(1);
/// The event loop's time in ms that a tenant's connections may take in one round, before those of others have their turn.
const ROUND: Millis = 0.3;
/// Wakers kept for one tenant; a waker beyond it is called at once, and its connection looks again.
const MOST_WAITING: usize = 16 * 1024;

/// The book of all accounts.
pub struct Book {
    start: Instant,
    /// The thread's time on a core, in ms, when the present work began: time on a core, so that nobody pays for what the
    /// system let others do meanwhile.
    works_since: Cell<Millis>,
    shares: RefCell<TenantLimiter>,
    /// For each tenant the connections that wait to be read, and the listeners that wait to take up another.
    waiting: RefCell<Vec<[VecDeque<Waker>; 2]>>,
    /// How many of these queues have some.
    queues_waiting: Cell<usize>,
    some_wait: Notify,
    /// Counts the rounds; one ends when all that wait have had their turn, and none runs while nobody waits.
    round: Cell<u64>,
    places: RefCell<Vec<bool>>,
    /// Tenants' accounts, for as long as anybody holds them: of a tenant at rest its clients' connections may.
    open: RefCell<BTreeMap<Name, Weak<Holder>>>,
    /// What tenants without an account have done; those that have done nothing are not here.
    past: RefCell<BTreeMap<Name, Past>>,
}

/// What a tenant has done, without what it holds.
struct Past {
    time: Millis,
    refused: Option<Box<RejectionCounts>>,
}

impl Book {
    /// A book for a process that has so much.
    pub fn new(capacity: ProcessCapacity) -> Rc<Self> {
        Rc::new(Book {
            start: Instant::now(),
            works_since: Cell::new(thread_time()),
            shares: RefCell::new(TenantLimiter::new(capacity)),
            waiting: RefCell::default(),
            queues_waiting: Cell::new(0),
            some_wait: Notify::new(),
            round: Cell::new(0),
            places: RefCell::default(),
            open: RefCell::default(),
            past: RefCell::default(),
        })
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Opens an account; it is closed when the last holder lets go of it and all it held is given back.
    pub fn open(self: &Rc<Self>, quota: &TenantQuota) -> Rc<Holder> {
        let mut places = self.places.borrow_mut();
        let free = places
            .iter()
            .position(|taken| !taken)
            .unwrap_or(places.len());
        if free == places.len() {
            places.push(true);
            self.waiting.borrow_mut().push(Default::default());
        }
        places[free] = true;
        let tenant = TenantId(free);
        self.shares
            .borrow_mut()
            .set_quota(self.now(), tenant, quota);
        Rc::new(Holder {
            book: self.clone(),
            tenant,
            turn: Cell::new((0, ROUND)),
            name: RefCell::default(),
        })
    }

    /// The account of a tenant that wakes: the one that it had if anybody holds that still, or one that goes on from there.
    pub fn resume(self: &Rc<Self>, name: &Name, quota: &TenantQuota) -> Rc<Holder> {
        if let Some(holder) = self.held(name) {
            holder.set(quota);
            return holder;
        }
        let holder = self.open(quota);
        if let Some(past) = self.past.borrow_mut().remove(name) {
            let refused = past.refused.map_or([0; 5], |r| *r);
            self.shares
                .borrow_mut()
                .restore_counters(holder.tenant, past.time, refused);
        }
        holder.name.replace(Some(name.clone()));
        self.open
            .borrow_mut()
            .insert(name.clone(), Rc::downgrade(&holder));
        holder
    }

    /// A tenant's account, if anybody holds it.
    pub fn held(&self, name: &str) -> Option<Rc<Holder>> {
        self.open.borrow().get(name).and_then(Weak::upgrade)
    }

    /// What a tenant holds and has done, whether it has an account now or not.
    pub fn used_by(&self, name: &str) -> TenantUsage {
        if let Some(holder) = self.held(name) {
            return holder.used();
        }
        let past = self.past.borrow();
        let Some(past) = past.get(name) else {
            return TenantUsage::default();
        };
        let refused = past.refused.as_ref().map_or([0; 5], |r| **r);
        TenantUsage {
            event_loop_time: past.time,
            rejections: refused,
            ..TenantUsage::default()
        }
    }

    /// A tenant is gone: nothing is kept of it, and one of its name that comes later is another one.
    pub fn forget(&self, name: &str) {
        self.past.borrow_mut().remove(name);
        if let Some(holder) = self
            .open
            .borrow_mut()
            .remove(name)
            .and_then(|h| h.upgrade())
        {
            holder.name.replace(None);
        }
    }

    /// Servers with limits that several tenants use.
    pub fn share_server(&self, server: u64, connections: u64, members: &[(Rc<Holder>, f64)]) {
        let members: Vec<(TenantId, f64)> = members
            .iter()
            .map(|(h, weight)| (h.tenant, *weight))
            .collect();
        self.shares
            .borrow_mut()
            .set_shared_endpoint(server, connections, &members);
    }

    /// Lets waiting connections be read as their tenants' accounts allow; runs for as long as the process.
    pub async fn give_turns(self: Rc<Self>) {
        loop {
            if self.queues_waiting.get() == 0 {
                self.some_wait.notified().await;
            }
            self.round.set(self.round.get() + 1);
            let places = self.waiting.borrow().len();
            let woken = (0..places)
                .filter(|place| self.next_turn(TenantId(*place)))
                .count();
            // Whoever is ready goes before the next round, and what has come in meanwhile is looked for.
            if woken > 0 {
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep(LOOK).await;
            }
        }
    }

    /// Whether a tenant's account lets something of this kind go on.
    fn may(&self, tenant: TenantId, wish: Wish) -> bool {
        let (mut shares, now) = (self.shares.borrow_mut(), self.now());
        match wish {
            Wish::Read => shares.check_read(now, tenant).is_ok(),
            Wish::Accept => shares.check_accept(now, tenant).is_ok(),
        }
    }

    /// Wakes one connection and one listener of a tenant, if its account lets them go on; tells whether it did.
    fn next_turn(&self, tenant: TenantId) -> bool {
        let read = self.wake(tenant, Wish::Read);
        self.wake(tenant, Wish::Accept) || read
    }

    fn wake(&self, tenant: TenantId, wish: Wish) -> bool {
        if self.queues_waiting.get() == 0 {
            return false;
        }
        let mut waiting = self.waiting.borrow_mut();
        let queue = waiting
            .get_mut(tenant.0)
            .map(|queues| &mut queues[wish as usize]);
        let Some(queue) = queue.filter(|q| !q.is_empty()) else {
            return false;
        };
        if !self.may(tenant, wish) {
            return false;
        }
        let waker = queue.pop_front();
        if queue.is_empty() {
            self.queues_waiting.set(self.queues_waiting.get() - 1);
        }
        drop(waiting);
        if let Some(waker) = waker {
            waker.wake();
        }
        true
    }

    fn wait(&self, tenant: TenantId, wish: Wish, waker: &Waker) {
        let mut waiting = self.waiting.borrow_mut();
        let queue = waiting
            .get_mut(tenant.0)
            .map(|queues| &mut queues[wish as usize]);
        let Some(queue) = queue else {
            return waker.wake_by_ref();
        };
        if queue.back().is_some_and(|w| w.will_wake(waker)) {
            return;
        }
        if queue.len() >= MOST_WAITING {
            return waker.wake_by_ref();
        }
        if queue.is_empty() {
            self.queues_waiting.set(self.queues_waiting.get() + 1);
            self.some_wait.notify_one();
        }
        queue.push_back(waker.clone());
    }
}

/// What waits for its turn. The two have conditions of their own: woken by the other's, it would only wait anew.
#[derive(Clone, Copy)]
enum Wish {
    Read,
    Accept,
}

/// This thread's time on a core, in ms.
fn thread_time() -> Millis {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6
}

/// One tenant's account.
pub struct Holder {
    book: Rc<Book>,
    tenant: TenantId,
    /// The round that it is in, and the time that it may still take in it.
    turn: Cell<(u64, Millis)>,
    /// Whose it is, if it is a tenant's that is still there.
    name: RefCell<Option<Name>>,
}

impl Holder {
    fn may_now(&self, wish: Wish, waker: &Waker) -> bool {
        let may = self.left() > 0.0 && self.book.may(self.tenant, wish);
        if !may {
            self.book.wait(self.tenant, wish, waker);
        }
        may
    }

    /// What it may still take in this round.
    fn left(&self) -> Millis {
        let (round, left) = self.turn.get();
        if round == self.book.round.get() {
            left
        } else {
            ROUND
        }
    }

    /// Changes its terms; what it holds it keeps.
    pub fn set(&self, quota: &TenantQuota) {
        self.book
            .shares
            .borrow_mut()
            .set_quota(self.book.now(), self.tenant, quota);
    }

    /// What it holds and has done.
    pub fn used(&self) -> TenantUsage {
        self.book.shares.borrow().usage(self.tenant)
    }

    /// It gets nothing new from here on.
    pub fn close(&self) {
        self.book.shares.borrow_mut().remove(self.tenant);
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        if let Some(name) = self.name.take() {
            let used = self.used();
            let time = used.event_loop_time;
            let refused = used.rejections;
            self.book.open.borrow_mut().remove(&name);
            let refused = refused.iter().any(|n| *n > 0).then(|| Box::new(refused));
            if time > 0.0 || refused.is_some() {
                self.book
                    .past
                    .borrow_mut()
                    .insert(name, Past { time, refused });
            }
        }
        self.close();
        // Whoever held something held this account, too: nothing is left on it.
        let queues = self
            .book
            .waiting
            .borrow_mut()
            .get_mut(self.tenant.0)
            .map(std::mem::take);
        for queue in queues.into_iter().flatten().filter(|q| !q.is_empty()) {
            queue.into_iter().for_each(Waker::wake);
            self.book
                .queues_waiting
                .set(self.book.queues_waiting.get() - 1);
        }
        if let Some(place) = self.book.places.borrow_mut().get_mut(self.tenant.0) {
            *place = false;
        }
    }
}

impl TenantAccount for Holder {
    fn acquire_client_connection(&self) -> Result<(), Millis> {
        self.book
            .shares
            .borrow_mut()
            .acquire_client_connection(self.book.now(), self.tenant)
            .map_err(|rejection| rejection.retry_after)
    }

    fn release_client_connection(&self) {
        self.book
            .shares
            .borrow_mut()
            .release_client_connection(self.tenant);
    }

    fn begin_request(&self, bytes: u64) -> Result<(), Millis> {
        self.book
            .shares
            .borrow_mut()
            .begin_request(self.book.now(), self.tenant, bytes)
            .map_err(|rejection| rejection.retry_after)
    }

    fn end_request(&self, bytes: u64, held: Millis) {
        self.book
            .shares
            .borrow_mut()
            .end_request(self.tenant, bytes, held);
    }

    fn begin_work(&self) {
        self.book.works_since.set(thread_time());
    }

    fn end_work(&self, turning_away: bool) {
        let (now, ms) = (self.book.now(), thread_time() - self.book.works_since.get());
        let left = self.left() - ms;
        self.turn.set((self.book.round.get(), left));
        let mut shares = self.book.shares.borrow_mut();
        if turning_away {
            shares.charge_rejecting(now, self.tenant, ms);
        } else {
            shares.charge_processing(now, self.tenant, ms);
        }
        drop(shares);
        if left > 0.0 {
            self.book.next_turn(self.tenant);
        }
    }

    fn may_read(&self, waker: &Waker) -> bool {
        self.may_now(Wish::Read, waker)
    }

    fn may_accept(&self, waker: &Waker) -> bool {
        self.may_now(Wish::Accept, waker)
    }

    fn acquire_endpoint_connection(&self, server: u64) -> bool {
        self.book
            .shares
            .borrow_mut()
            .acquire_endpoint_connection(self.book.now(), self.tenant, server)
            .is_ok()
    }

    fn release_endpoint_connection(&self, server: u64) {
        self.book
            .shares
            .borrow_mut()
            .release_endpoint_connection(self.tenant, server);
    }
}
