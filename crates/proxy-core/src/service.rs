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

use crate::account::{self, TenantAccount};
use crate::clock::Clock;
use crate::driver::{Driver, DriverState, Parts};
use crate::frontend::{self, Frontend};
use crate::gate::{Gate, PoolGate};
use crate::inbox::{Inbox, Input};
use crate::lifecycle::SharedLifecycle;
use crate::pool::{Features, Pool};
use crate::stream::BodyMemory;
use crate::upstream::Upstreams;
use crate::vars::Counters;

pub use crate::driver::endpoint_number;
pub use crate::frontend::{RouteError, Router};
pub use crate::hosts::Host;

/// Bytes of memory that bodies passing through are reckoned from.
const BODY_MEMORY_BYTES: usize = 256 << 20;

/// What all pools and listeners of a process share.
pub struct Process {
    clock: Clock,
    /// The budget of connections to servers.
    sockets: Arc<Semaphore>,
    next_id: Rc<Cell<u64>>,
    /// Memory for what passes through.
    body_memory: Rc<BodyMemory>,
    /// The gate, where the process acts as one with others.
    gate: Option<Rc<Gate>>,
}

/// What a pool is told at its start.
pub struct PoolSettings {
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
pub struct RunningPool {
    /// What routers hand out.
    pub pool: Rc<Pool>,
    /// Where its list is told, for as long as it runs.
    pub feed: EndpointFeed,
    upstreams: Rc<Upstreams>,
    gate: Option<Rc<PoolGate>>,
    driver_state: Rc<DriverState>,
    clock: Clock,
}

impl RunningPool {
    /// Whether nothing is under way and nobody else holds the pool: it can be let go of, and no request notices.
    pub fn is_idle(&self) -> bool {
        Rc::strong_count(&self.pool) == 1 && self.driver_state.is_idle()
    }

    /// What its module holds against servers, and what cold ones may still be sent.
    pub fn health_snapshot(&self) -> HealthSnapshot {
        self.driver_state.health_snapshot(self.clock.now())
    }

    /// It is a former version's from here on: it decides nothing new.
    pub fn stop_deciding(&self) {
        if let Some(gate) = &self.gate {
            gate.deactivate();
        }
    }

    /// Closes the connection to a server that has stood idle longest.
    pub fn close_idle_connection(&self) {
        self.upstreams.close_longest_idle();
    }
}

/// Tells a pool's module which servers there are.
#[derive(Clone)]
pub struct EndpointFeed {
    inbox: Inbox,
    alive: Weak<()>,
}

impl EndpointFeed {
    /// The whole list: what it lacks has left.
    pub fn replace_all(&self, hosts: Vec<Host>) {
        self.inbox.send(Input::EndpointList {
            scope: UpdateScope::Full,
            seq: None,
            hosts,
        });
    }

    /// Lines that have changed; all others stand.
    pub fn update(&self, hosts: Vec<Host>) {
        self.inbox.send(Input::EndpointList {
            scope: UpdateScope::Delta,
            seq: None,
            hosts,
        });
    }

    /// What another module knew of the servers of the list that was told before.
    pub fn restore_health(&self, snapshot: HealthSnapshot) {
        self.inbox.send(Input::HealthRestored(Box::new(snapshot)));
    }

    /// So many processes share the servers, and this one has this number among them.
    pub fn set_proxy_count(&self, index: u32, count: u32) {
        self.inbox.send(Input::ProxyCount { index, count });
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
            next_id: Rc::default(),
            body_memory: BodyMemory::new(BODY_MEMORY_BYTES),
            gate: None,
        }
    }

    /// All that its pools decide passes this gate.
    #[must_use]
    pub fn with_gate(mut self, gate: Option<Rc<Gate>>) -> Self {
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
        settings: PoolSettings,
        account: Option<Rc<dyn TenantAccount>>,
        ended: impl FnOnce(Result<(), JoinError>) + 'static,
    ) -> RunningPool {
        let (inbox, inputs) = Inbox::new();
        let counts = Rc::new(Counters::default());
        counts.register_classes(&settings.names.classes);
        let sockets = self.sockets.clone();
        let upstreams = Upstreams::new(
            &settings.connections,
            sockets,
            account.clone(),
            counts.clone(),
            self.body_memory.clone(),
        );
        let upstreams = Rc::new(upstreams);
        let lifecycle = Rc::new(SharedLifecycle::new(self.clock, false));
        let gate = self.gate.clone().map(PoolGate::new);
        let parts = Parts {
            gate: gate.clone(),
            clock: self.clock,
            capture: None,
            inbox: inbox.clone(),
            upstreams: upstreams.clone(),
            peers: None,
            discovery: None,
            account: account.clone(),
            may_sleep: true,
            subscribe: Rc::new(Notify::new()),
            lifecycle: lifecycle.clone(),
            counts: counts.clone(),
        };
        let balancer = Balancer::new(settings.settings.clone(), settings.seed);
        let driver = Driver::new(balancer, settings.names.clone(), parts);
        let driver_state = driver.state();
        let driver = driver.run(inputs);
        let running_token = Rc::new(());
        let alive = Rc::downgrade(&running_token);
        let driver = match account.clone() {
            Some(account) => spawn_local(account::run_accounted(account, driver)),
            None => spawn_local(driver),
        };
        spawn_local(async move {
            let end = driver.await;
            drop(running_token);
            ended(end);
        });
        let features = Features::default();
        let reloadable = RefCell::new(Rc::new(ReloadableSettings::fixed(
            settings.settings,
            settings.names,
        )));
        let pool = Pool {
            inbox: inbox.clone(),
            reloadable,
            lifecycle,
            counts,
            body_memory: self.body_memory.clone(),
            features,
            account,
            requires_headers: false,
        };
        let feed = EndpointFeed { inbox, alive };
        RunningPool {
            pool: Rc::new(pool),
            feed,
            upstreams,
            gate,
            driver_state,
            clock: self.clock,
        }
    }

    /// Serves a listener with at most so many connections until `stop`, and then until all that was taken is answered.
    pub async fn serve<R: Router>(
        &self,
        listener: TcpListener,
        router: R,
        max_connections: usize,
        stop: impl Future<Output = ()>,
    ) {
        let lifecycle = Rc::new(SharedLifecycle::new(self.clock, false));
        lifecycle.update(|lifecycle, _| lifecycle.mark_list_received()); // its pools have lists, or answer for themselves
        Frontend::new(router, max_connections, self.next_id.clone(), lifecycle)
            .serve(listener, stop)
            .await;
    }
}

impl Pool {
    /// Whether its module has a list.
    pub fn is_ready(&self) -> bool {
        self.lifecycle.is_up()
    }

    /// The longest wait that its clients are ready for.
    pub fn max_timeout(&self) -> Duration {
        self.max_deadline()
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
pub fn set_log_name(name: &'static str) {
    crate::log::set_name(name);
}
