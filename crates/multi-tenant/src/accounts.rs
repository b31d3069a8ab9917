//! Accounts of all tenants: connects the proxy with the fair-share limits, and schedules the reading of
//! client connections.

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

/// Poll interval while connections wait and no account allows reading.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Event loop time in ms that the connections of a tenant may use per round, before those of other
/// tenants are read.
const ROUND_QUOTA_MS: Millis = 0.3;
/// Maximum number of wakers per queue of a tenant; a further one is woken at once, and its connection
/// checks its account again.
const MAX_WAITING: usize = 16 * 1024;

/// Registry of all accounts.
pub struct AccountRegistry {
    start: Instant,
    /// CPU time of the thread in ms at the beginning of the current work. CPU time doesn't include the time
    /// in which the system ran other threads.
    work_started_at: Cell<Millis>,
    limiter: RefCell<TenantLimiter>,
    /// For each tenant the wakers of connections that wait to be read, and of listeners that wait to accept
    /// a connection.
    waiting: RefCell<Vec<[VecDeque<Waker>; 2]>>,
    /// Number of non-empty queues.
    nonempty_queues: Cell<usize>,
    queue_filled: Notify,
    /// Number of the current round. A round ends when each waiting tenant has had its turn; there are no
    /// rounds while no connection waits.
    round: Cell<u64>,
    used_slots: RefCell<Vec<bool>>,
    /// Accounts of tenants that are still referenced; those of an inactive tenant may be, by its client
    /// connections.
    accounts: RefCell<BTreeMap<Name, Weak<Account>>>,
    /// Usage counters of tenants without an account, except for those at zero.
    past_usage: RefCell<BTreeMap<Name, PastUsage>>,
}

/// Usage counters of a tenant without an account.
struct PastUsage {
    event_loop_time: Millis,
    rejections: Option<Box<RejectionCounts>>,
}

impl AccountRegistry {
    /// Creates a registry for a process with this capacity.
    pub fn new(capacity: ProcessCapacity) -> Rc<Self> {
        Rc::new(AccountRegistry {
            start: Instant::now(),
            work_started_at: Cell::new(thread_time()),
            limiter: RefCell::new(TenantLimiter::new(capacity)),
            waiting: RefCell::default(),
            nonempty_queues: Cell::new(0),
            queue_filled: Notify::new(),
            round: Cell::new(0),
            used_slots: RefCell::default(),
            accounts: RefCell::default(),
            past_usage: RefCell::default(),
        })
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Opens an account; it is closed with its last reference, when all its resources have been released.
    pub fn open(self: &Rc<Self>, quota: &TenantQuota) -> Rc<Account> {
        let mut used_slots = self.used_slots.borrow_mut();
        let slot = used_slots
            .iter()
            .position(|used| !used)
            .unwrap_or(used_slots.len());
        if slot == used_slots.len() {
            used_slots.push(true);
            self.waiting.borrow_mut().push(Default::default());
        }
        used_slots[slot] = true;
        let tenant = TenantId(slot);
        self.limiter
            .borrow_mut()
            .set_quota(self.now(), tenant, quota);
        Rc::new(Account {
            registry: self.clone(),
            tenant,
            round_quota: Cell::new((0, ROUND_QUOTA_MS)),
            name: RefCell::default(),
        })
    }

    /// Returns the account of a tenant that is activated: the existing one if it is still referenced, or a
    /// new one that continues its usage counters.
    pub fn resume(self: &Rc<Self>, name: &Name, quota: &TenantQuota) -> Rc<Account> {
        if let Some(account) = self.existing(name) {
            account.set_quota(quota);
            return account;
        }
        let account = self.open(quota);
        if let Some(past) = self.past_usage.borrow_mut().remove(name) {
            let rejections = past.rejections.map_or([0; 5], |rejections| *rejections);
            self.limiter.borrow_mut().restore_counters(
                account.tenant,
                past.event_loop_time,
                rejections,
            );
        }
        account.name.replace(Some(name.clone()));
        self.accounts
            .borrow_mut()
            .insert(name.clone(), Rc::downgrade(&account));
        account
    }

    /// Returns the account of a tenant if it is still referenced.
    pub fn existing(&self, name: &str) -> Option<Rc<Account>> {
        self.accounts.borrow().get(name).and_then(Weak::upgrade)
    }

    /// Returns the usage of a tenant with or without an account.
    pub fn usage_of(&self, name: &str) -> TenantUsage {
        if let Some(account) = self.existing(name) {
            return account.usage();
        }
        let past = self.past_usage.borrow();
        let Some(past) = past.get(name) else {
            return TenantUsage::default();
        };
        let rejection_counts = past
            .rejections
            .as_ref()
            .map_or([0; 5], |rejections| **rejections);
        TenantUsage {
            event_loop_time: past.event_loop_time,
            rejections: rejection_counts,
            ..TenantUsage::default()
        }
    }

    /// Removes everything about a removed tenant; a later one of the same name starts from zero.
    pub fn remove(&self, name: &str) {
        self.past_usage.borrow_mut().remove(name);
        if let Some(account) = self
            .accounts
            .borrow_mut()
            .remove(name)
            .and_then(|account| account.upgrade())
        {
            account.name.replace(None);
        }
    }

    /// Divides the connection limit of a server between the tenants that use it.
    pub fn set_shared_endpoint(
        &self,
        endpoint: u64,
        connections: u64,
        members: &[(Rc<Account>, f64)],
    ) {
        let members: Vec<(TenantId, f64)> = members
            .iter()
            .map(|(account, weight)| (account.tenant, *weight))
            .collect();
        self.limiter
            .borrow_mut()
            .set_shared_endpoint(endpoint, connections, &members);
    }

    /// Wakes waiting connections as their tenants' accounts allow; runs until the process ends.
    pub async fn run_rounds(self: Rc<Self>) {
        loop {
            if self.nonempty_queues.get() == 0 {
                self.queue_filled.notified().await;
            }
            self.round.set(self.round.get() + 1);
            let slots = self.waiting.borrow().len();
            let woken = (0..slots)
                .filter(|slot| self.wake_next(TenantId(*slot)))
                .count();
            // Other ready tasks run before the next round, and new I/O events are polled.
            if woken > 0 {
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Returns true if a tenant's account allows this operation.
    fn is_allowed(&self, tenant: TenantId, operation: Operation) -> bool {
        let (mut limiter, now) = (self.limiter.borrow_mut(), self.now());
        match operation {
            Operation::Read => limiter.check_read(now, tenant).is_ok(),
            Operation::Accept => limiter.check_accept(now, tenant).is_ok(),
        }
    }

    /// Wakes one connection and one listener of a tenant if its account allows it. Returns true if one was
    /// woken.
    fn wake_next(&self, tenant: TenantId) -> bool {
        let read = self.wake_waiter(tenant, Operation::Read);
        self.wake_waiter(tenant, Operation::Accept) || read
    }

    fn wake_waiter(&self, tenant: TenantId, operation: Operation) -> bool {
        if self.nonempty_queues.get() == 0 {
            return false;
        }
        let mut waiting = self.waiting.borrow_mut();
        let queue = waiting
            .get_mut(tenant.0)
            .map(|queues| &mut queues[operation as usize]);
        let Some(queue) = queue.filter(|queue| !queue.is_empty()) else {
            return false;
        };
        if !self.is_allowed(tenant, operation) {
            return false;
        }
        let waker = queue.pop_front();
        if queue.is_empty() {
            self.nonempty_queues.set(self.nonempty_queues.get() - 1);
        }
        drop(waiting);
        if let Some(waker) = waker {
            waker.wake();
        }
        true
    }

    fn wait(&self, tenant: TenantId, operation: Operation, waker: &Waker) {
        let mut waiting = self.waiting.borrow_mut();
        let queue = waiting
            .get_mut(tenant.0)
            .map(|queues| &mut queues[operation as usize]);
        let Some(queue) = queue else {
            return waker.wake_by_ref();
        };
        if queue.back().is_some_and(|last| last.will_wake(waker)) {
            return;
        }
        if queue.len() >= MAX_WAITING {
            return waker.wake_by_ref();
        }
        if queue.is_empty() {
            self.nonempty_queues.set(self.nonempty_queues.get() + 1);
            self.queue_filled.notify_one();
        }
        queue.push_back(waker.clone());
    }
}

/// Operation that waits for its turn. The two have separate queues, as they depend on different conditions:
/// a connection woken because the other operation is allowed would only have to wait again.
#[derive(Clone, Copy)]
enum Operation {
    Read,
    Accept,
}

/// Returns the CPU time of this thread in ms.
fn thread_time() -> Millis {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6
}

/// Account of a tenant.
pub struct Account {
    registry: Rc<AccountRegistry>,
    tenant: TenantId,
    /// Last round in which the account was charged, and the time left to it in that round.
    round_quota: Cell<(u64, Millis)>,
    /// Name of the tenant, for the account of a tenant that has not been removed.
    name: RefCell<Option<Name>>,
}

impl Account {
    fn allow_or_wait(&self, operation: Operation, waker: &Waker) -> bool {
        let allowed = self.time_left() > 0.0 && self.registry.is_allowed(self.tenant, operation);
        if !allowed {
            self.registry.wait(self.tenant, operation, waker);
        }
        allowed
    }

    /// Returns the event loop time left in this round.
    fn time_left(&self) -> Millis {
        let (round, left) = self.round_quota.get();
        if round == self.registry.round.get() {
            left
        } else {
            ROUND_QUOTA_MS
        }
    }

    /// Changes the quota; resources in use stay acquired.
    pub fn set_quota(&self, quota: &TenantQuota) {
        self.registry
            .limiter
            .borrow_mut()
            .set_quota(self.registry.now(), self.tenant, quota);
    }

    /// Returns the usage of the account.
    pub fn usage(&self) -> TenantUsage {
        self.registry.limiter.borrow().usage(self.tenant)
    }

    /// Closes the account: nothing more can be acquired.
    pub fn close(&self) {
        self.registry.limiter.borrow_mut().remove(self.tenant);
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        if let Some(name) = self.name.take() {
            let usage = self.usage();
            let event_loop_time = usage.event_loop_time;
            let rejections = usage.rejections;
            self.registry.accounts.borrow_mut().remove(&name);
            let rejections = rejections
                .iter()
                .any(|n| *n > 0)
                .then(|| Box::new(rejections));
            if event_loop_time > 0.0 || rejections.is_some() {
                self.registry.past_usage.borrow_mut().insert(
                    name,
                    PastUsage {
                        event_loop_time,
                        rejections,
                    },
                );
            }
        }
        self.close();
        // Each user of a resource also holds a reference to the account, so that no resource is in use here.
        let queues = self
            .registry
            .waiting
            .borrow_mut()
            .get_mut(self.tenant.0)
            .map(std::mem::take);
        for queue in queues
            .into_iter()
            .flatten()
            .filter(|queue| !queue.is_empty())
        {
            queue.into_iter().for_each(Waker::wake);
            self.registry
                .nonempty_queues
                .set(self.registry.nonempty_queues.get() - 1);
        }
        if let Some(slot) = self.registry.used_slots.borrow_mut().get_mut(self.tenant.0) {
            *slot = false;
        }
    }
}

impl TenantAccount for Account {
    fn acquire_client_connection(&self) -> Result<(), Millis> {
        self.registry
            .limiter
            .borrow_mut()
            .acquire_client_connection(self.registry.now(), self.tenant)
            .map_err(|rejection| rejection.retry_after)
    }

    fn release_client_connection(&self) {
        self.registry
            .limiter
            .borrow_mut()
            .release_client_connection(self.tenant);
    }

    fn begin_request(&self, bytes: u64) -> Result<(), Millis> {
        self.registry
            .limiter
            .borrow_mut()
            .begin_request(self.registry.now(), self.tenant, bytes)
            .map_err(|rejection| rejection.retry_after)
    }

    fn end_request(&self, bytes: u64, duration: Millis) {
        self.registry
            .limiter
            .borrow_mut()
            .end_request(self.tenant, bytes, duration);
    }

    fn begin_work(&self) {
        self.registry.work_started_at.set(thread_time());
    }

    fn end_work(&self, rejecting: bool) {
        let (now, cpu_time) = (
            self.registry.now(),
            thread_time() - self.registry.work_started_at.get(),
        );
        let time_left = self.time_left() - cpu_time;
        self.round_quota.set((self.registry.round.get(), time_left));
        let mut limiter = self.registry.limiter.borrow_mut();
        if rejecting {
            limiter.charge_rejecting(now, self.tenant, cpu_time);
        } else {
            limiter.charge_processing(now, self.tenant, cpu_time);
        }
        drop(limiter);
        if time_left > 0.0 {
            self.registry.wake_next(self.tenant);
        }
    }

    fn may_read(&self, waker: &Waker) -> bool {
        self.allow_or_wait(Operation::Read, waker)
    }

    fn may_accept(&self, waker: &Waker) -> bool {
        self.allow_or_wait(Operation::Accept, waker)
    }

    fn acquire_endpoint_connection(&self, endpoint: u64) -> bool {
        self.registry
            .limiter
            .borrow_mut()
            .acquire_endpoint_connection(self.registry.now(), self.tenant, endpoint)
            .is_ok()
    }

    fn release_endpoint_connection(&self, endpoint: u64) {
        self.registry
            .limiter
            .borrow_mut()
            .release_endpoint_connection(self.tenant, endpoint);
    }
}
