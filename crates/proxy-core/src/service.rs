//! Several pools in one process: what a hosted service starts, feeds and serves by. The platform's proxy has one pool
//! and does without.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use balancer::{Balancer, HealthSnapshot, Millis, Settings, UpdateScope};
use settings::{ConnectionSettings, Names, ReloadableSettings};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio::task::{JoinError, spawn_local};

use crate::account::{self, Account};
use crate::clock::Clock;
use crate::driver::{Driver, Known, Parts};
use crate::frontend::{self, Frontend};
use crate::gate::{Gate, Ticket};
use crate::inbox::{Inbox, Input};
use crate::lifecycle::SharedLifecycle;
use crate::pool::{Features, Pool};
use crate::stream::Room;
use crate::upstream::Upstreams;
use crate::vars::Counters;

pub use crate::driver::server_number;
pub use crate::frontend::{Missing, Router};
pub use crate::hosts::Host;

/// Bytes of memory that bodies passing through are reckoned from.
const MEMORY: usize = 256 << 20;

/// What all pools and listeners of a process share.
pub struct Process {
    clock: Clock,
    /// The budget of connections to servers.
    sockets: Arc<Semaphore>,
    next: Rc<Cell<u64>>,
    /// Memory for what passes through.
    room: Rc<Room>,
    /// The gate, where the process acts as one with others.
    gate: Option<Rc<Gate>>,
}

/// What a pool is told at its start.
pub struct Terms {
    /// What the module decides by.
    pub settings: Settings,
    /// The names that go with it.
    pub names: Names,
    /// What concerns connections to servers.
    pub connections: ConnectionSettings,
    /// What the module's draws come from.
    pub seed: u64,
}

/// A pool that runs. Requests reach it while somebody holds its [`Pool`]; afterwards it ends what it has.
pub struct Running {
    /// What routers hand out.
    pub pool: Rc<Pool>,
    /// Where its list is told, for as long as it runs.
    pub feed: Feed,
    upstreams: Rc<Upstreams>,
    gate: Option<Rc<Ticket>>,
    known: Rc<Known>,
    clock: Clock,
}

impl Running {
    /// Whether nothing is under way and nobody else holds the pool: it can be let go of, and no request notices.
    pub fn is_still(&self) -> bool {
        Rc::strong_count(&self.pool) == 1 && self.known.is_still()
    }

    /// What its module holds against servers, and what cold ones may still be sent.
    pub fn standing(&self) -> HealthSnapshot {
        self.known.standing(self.clock.now())
    }

    /// It is a former version's from here on: it decides nothing new.
    pub fn end(&self) {
        if let Some(gate) = &self.gate {
            gate.end();
        }
    }

    /// Closes the connection to a server that has stood idle longest.
    pub fn make_room(&self) {
        self.upstreams.close_idle();
    }
}

/// Tells a pool's module which servers there are.
#[derive(Clone)]
pub struct Feed {
    inbox: Inbox,
    alive: Weak<()>,
}

impl Feed {
    /// The whole list: what it lacks has left.
    pub fn whole(&self, hosts: Vec<Host>) {
        self.inbox.put(Input::List {
            scope: UpdateScope::Full,
            seq: None,
            hosts,
        });
    }

    /// Lines that have changed; all others stand.
    pub fn changed(&self, hosts: Vec<Host>) {
        self.inbox.put(Input::List {
            scope: UpdateScope::Delta,
            seq: None,
            hosts,
        });
    }

    /// What another module knew of the servers of the list that was told before.
    pub fn resume(&self, standing: HealthSnapshot) {
        self.inbox.put(Input::Standing(Box::new(standing)));
    }

    /// So many processes share the servers, and this one has this number among them.
    pub fn among(&self, me: u32, proxies: u32) {
        self.inbox.put(Input::Proxies { me, proxies });
    }

    /// Whether the pool still runs.
    pub fn is_alive(&self) -> bool {
        self.alive.strong_count() > 0
    }
}

impl Process {
    /// A process that holds at most so many connections to servers.
    pub fn new(sockets: usize) -> Self {
        let sockets = Arc::new(Semaphore::new(sockets.min(Semaphore::MAX_PERMITS)));
        Process {
            clock: Clock::default(),
            sockets,
            next: Rc::default(),
            room: Room::new(MEMORY),
            gate: None,
        }
    }

    /// All that its pools decide passes this gate.
    #[must_use]
    pub fn behind(mut self, gate: Option<Rc<Gate>>) -> Self {
        self.gate = gate;
        self
    }

    /// The gate that all passes, if there is one.
    pub fn gate(&self) -> Option<&Gate> {
        self.gate.as_deref()
    }

    /// The time on the process's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Unix time in ms, as its pools reckon it: by the clock, from what the system said at the start.
    pub fn unix_now(&self) -> Millis {
        self.clock.unix_start() + self.clock.now()
    }

    /// Starts a pool; it must be told a list before it is ready. `ended` is called when its driver has: without an error
    /// once it was retired and all was answered.
    pub fn start(
        &self,
        terms: Terms,
        account: Option<Rc<dyn Account>>,
        ended: impl FnOnce(Result<(), JoinError>) + 'static,
    ) -> Running {
        let (inbox, inputs) = Inbox::new();
        let counts = Rc::new(Counters::default());
        counts.register_classes(&terms.names.classes);
        let sockets = self.sockets.clone();
        let upstreams = Upstreams::new(
            &terms.connections,
            sockets,
            account.clone(),
            counts.clone(),
            self.room.clone(),
        );
        let upstreams = Rc::new(upstreams);
        let life = Rc::new(SharedLifecycle::new(self.clock, false));
        let gate = self.gate.clone().map(Ticket::new);
        let parts = Parts {
            gate: gate.clone(),
            clock: self.clock,
            capture: None,
            inbox: inbox.clone(),
            upstreams: upstreams.clone(),
            peers: None,
            discovery: None,
            account: account.clone(),
            rests: true,
            watch: Rc::new(Notify::new()),
            life: life.clone(),
            counts: counts.clone(),
        };
        let balancer = Balancer::new(terms.settings.clone(), terms.seed);
        let driver = Driver::new(balancer, terms.names.clone(), parts);
        let known = driver.known();
        let driver = driver.run(inputs);
        let runs = Rc::new(());
        let alive = Rc::downgrade(&runs);
        let driver = match account.clone() {
            Some(account) => spawn_local(account::on(account, driver)),
            None => spawn_local(driver),
        };
        spawn_local(async move {
            let end = driver.await;
            drop(runs);
            ended(end);
        });
        let features = Features::default();
        let terms = RefCell::new(Rc::new(ReloadableSettings::fixed(
            terms.settings,
            terms.names,
        )));
        let pool = Pool {
            inbox: inbox.clone(),
            terms,
            life,
            counts,
            room: self.room.clone(),
            features,
            account,
            strict: false,
        };
        let feed = Feed { inbox, alive };
        Running {
            pool: Rc::new(pool),
            feed,
            upstreams,
            gate,
            known,
            clock: self.clock,
        }
    }

    /// Serves a listener with at most so many connections until `stop`, and then until all that was taken is answered.
    pub async fn serve<R: Router>(
        &self,
        listener: TcpListener,
        router: R,
        most: usize,
        stop: impl Future<Output = ()>,
    ) {
        let life = Rc::new(SharedLifecycle::new(self.clock, false));
        life.update(|life, _| life.mark_list_received()); // its pools have lists, or answer for themselves
        Frontend::new(router, most, self.next.clone(), life)
            .serve(listener, stop)
            .await;
    }
}

impl Pool {
    /// Whether its module has a list.
    pub fn is_ready(&self) -> bool {
        self.life.is_up()
    }

    /// The longest wait that its clients are ready for.
    pub fn patience(&self) -> Duration {
        self.longest()
    }
}

/// Listens on an address.
///
/// # Errors
/// What the system says.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    frontend::listen(address)
}

/// The name that lines of the log begin with.
pub fn log_as(name: &'static str) {
    crate::log::set_name(name);
}
