//! The accounts of all tenants: the engine's seam over the shares, and the turns in which connections are read.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

use engine::account::Account;
use tenancy::{Caps, Limits, Millis, Shares, Tenant, Use};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Between two looks at tenants whose connections wait to be read, when nothing else happens.
const LOOK: Duration = Duration::from_millis(1);
/// Wakers kept for one tenant; a waker beyond it is called at once, and its connection looks again.
const MOST_WAITING: usize = 16 * 1024;

/// The book of all accounts.
pub struct Book {
    start: Instant,
    shares: RefCell<Shares>,
    /// For each tenant the connections that wait for their turn.
    waiting: RefCell<Vec<VecDeque<Waker>>>,
    /// How many tenants have some.
    tenants_waiting: Cell<usize>,
    some_wait: Notify,
    places: RefCell<Vec<bool>>,
}

impl Book {
    /// A book for a process that has so much.
    pub fn new(limits: Limits) -> Rc<Self> {
        Rc::new(Book {
            start: Instant::now(),
            shares: RefCell::new(Shares::new(limits)),
            waiting: RefCell::default(),
            tenants_waiting: Cell::new(0),
            some_wait: Notify::new(),
            places: RefCell::default(),
        })
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Opens an account; it is closed when the last holder lets go of it and all it held is given back.
    pub fn open(self: &Rc<Self>, caps: &Caps) -> Rc<Holder> {
        let mut places = self.places.borrow_mut();
        let free = places.iter().position(|taken| !taken).unwrap_or(places.len());
        if free == places.len() {
            places.push(true);
            self.waiting.borrow_mut().push(VecDeque::new());
        }
        places[free] = true;
        let tenant = Tenant(free);
        self.shares.borrow_mut().set(self.now(), tenant, caps);
        Rc::new(Holder { book: self.clone(), tenant, turning: Cell::new(false) })
    }

    /// Servers with limits that several tenants use.
    pub fn share_server(&self, server: u64, connections: u64, members: &[(Rc<Holder>, f64)]) {
        let members: Vec<(Tenant, f64)> = members.iter().map(|(h, weight)| (h.tenant, *weight)).collect();
        self.shares.borrow_mut().share_server(server, connections, &members);
    }

    /// Lets waiting connections be read as their tenants' accounts allow; runs for as long as the process.
    pub async fn give_turns(self: Rc<Self>) {
        loop {
            if self.tenants_waiting.get() == 0 {
                self.some_wait.notified().await;
            }
            tokio::time::sleep(LOOK).await;
            let places = self.waiting.borrow().len();
            (0..places).for_each(|place| self.next_turn(Tenant(place)));
        }
    }

    /// Wakes one connection of a tenant, if its account lets it be read.
    fn next_turn(&self, tenant: Tenant) {
        if self.tenants_waiting.get() == 0 {
            return;
        }
        let mut waiting = self.waiting.borrow_mut();
        let Some(queue) = waiting.get_mut(tenant.0).filter(|q| !q.is_empty()) else { return };
        if self.shares.borrow_mut().may_read(self.now(), tenant).is_err() {
            return;
        }
        let waker = queue.pop_front();
        if queue.is_empty() {
            self.tenants_waiting.set(self.tenants_waiting.get() - 1);
        }
        drop(waiting);
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    fn wait(&self, tenant: Tenant, waker: &Waker) {
        let mut waiting = self.waiting.borrow_mut();
        let Some(queue) = waiting.get_mut(tenant.0) else { return waker.wake_by_ref() };
        if queue.back().is_some_and(|w| w.will_wake(waker)) {
            return;
        }
        if queue.len() >= MOST_WAITING {
            return waker.wake_by_ref();
        }
        if queue.is_empty() {
            self.tenants_waiting.set(self.tenants_waiting.get() + 1);
            self.some_wait.notify_one();
        }
        queue.push_back(waker.clone());
    }
}

/// One tenant's account.
pub struct Holder {
    book: Rc<Book>,
    tenant: Tenant,
    /// The present turn of the event loop turns a request away.
    turning: Cell<bool>,
}

impl Holder {
    /// Changes its terms; what it holds it keeps.
    pub fn set(&self, caps: &Caps) {
        self.book.shares.borrow_mut().set(self.book.now(), self.tenant, caps);
    }

    /// What it holds and has done.
    pub fn used(&self) -> Use {
        self.book.shares.borrow().used(self.tenant)
    }

    /// It gets nothing new from here on.
    pub fn close(&self) {
        self.book.shares.borrow_mut().remove(self.tenant);
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.close();
        // Whoever held something held this account, too: nothing is left on it.
        if let Some(queue) = self.book.waiting.borrow_mut().get_mut(self.tenant.0)
            && !queue.is_empty()
        {
            queue.drain(..).for_each(Waker::wake);
            self.book.tenants_waiting.set(self.book.tenants_waiting.get() - 1);
        }
        if let Some(place) = self.book.places.borrow_mut().get_mut(self.tenant.0) {
            *place = false;
        }
    }
}

impl Account for Holder {
    fn connect(&self) -> Result<(), Millis> {
        self.book.shares.borrow_mut().connect(self.book.now(), self.tenant).map_err(|r| r.wait)
    }

    fn disconnect(&self) {
        self.book.shares.borrow_mut().disconnect(self.tenant);
    }

    fn begin(&self, bytes: u64) -> Result<(), Millis> {
        let begun = self.book.shares.borrow_mut().begin(self.book.now(), self.tenant, bytes);
        self.turning.set(begun.is_err());
        begun.map_err(|r| r.wait)
    }

    fn end(&self, bytes: u64, held: Millis) {
        self.book.shares.borrow_mut().end(self.tenant, bytes, held);
    }

    fn spent(&self, work: Duration) {
        let (now, ms) = (self.book.now(), work.as_secs_f64() * 1000.0);
        let mut shares = self.book.shares.borrow_mut();
        if self.turning.replace(false) {
            shares.turned_away(now, self.tenant, ms);
        } else {
            shares.spent(now, self.tenant, ms);
        }
        drop(shares);
        self.book.next_turn(self.tenant);
    }

    fn may_read(&self, waker: &Waker) -> bool {
        let may = self.book.shares.borrow_mut().may_read(self.book.now(), self.tenant).is_ok();
        if !may {
            self.book.wait(self.tenant, waker);
        }
        may
    }

    fn visit(&self, server: u64) -> bool {
        self.book.shares.borrow_mut().to_server(self.book.now(), self.tenant, server).is_ok()
    }

    fn leave(&self, server: u64) {
        self.book.shares.borrow_mut().from_server(self.tenant, server);
    }
}
