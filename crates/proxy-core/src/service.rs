//! Several pools in one process: the interface with which a hosted service starts pools, updates their endpoints and
//! serves listeners. The platform's proxy has one pool and doesn't use it.

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
use crate::body_memory::BodyMemory;
use crate::clock::Clock;
use crate::driver::{Driver, DriverState, Parts};
use crate::frontend::{self, Frontend};
use crate::gate::{Gate, PoolGate};
use crate::inbox::{Inbox, Input};
use crate::lifecycle::SharedLifecycle;
use crate::pool::{Features, Pool};
use crate::upstream::Upstreams;
use crate::vars::Counters;

pub use crate::attempt_report::endpoint_number;
pub use crate::frontend::{RouteError, Router};
pub use crate::hosts::Host;

/// The process memory in bytes of which request and response bodies get their part.
const BODY_MEMORY_BYTES: usize = 256 << 20;

/// State shared by all pools and listeners of a process.
pub struct Process {
    clock: Clock,
    /// The limit on connections to endpoints.
    sockets: Arc<Semaphore>,
    next_id: Rc<Cell<u64>>,
    /// Memory for request and response bodies.
    body_memory: Rc<BodyMemory>,
    /// The decision gate, where the process is a member of a cluster.
    gate: Option<Rc<Gate>>,
}

/// Settings with which a pool is started.
pub struct PoolSettings {
    /// The balancer's settings.
    pub settings: Settings,
    /// The names of classes, tenants and zones in the settings.
    pub names: Names,
    /// The settings of connections to endpoints.
    pub connections: ConnectionSettings,
    /// The seed of the balancer's random numbers.
    pub seed: u64,
}

/// A running pool. Requests reach it while its [`Pool`] is referenced; afterwards it finishes the active ones.
pub struct RunningPool {
    /// The pool as routers return it.
    pub pool: Rc<Pool>,
    /// The feed for its endpoint list, usable for as long as the pool runs.
    pub feed: EndpointFeed,
    upstreams: Rc<Upstreams>,
    gate: Option<Rc<PoolGate>>,
    driver_state: Rc<DriverState>,
    clock: Clock,
}

impl RunningPool {
    /// Returns whether the pool has no active requests and no other references, so that dropping it affects no
    /// request.
    pub fn is_idle(&self) -> bool {
        Rc::strong_count(&self.pool) == 1 && self.driver_state.is_idle()
    }

    /// Returns the health state of the balancer: ejections, and the remaining slow-start limits of cold endpoints.
    pub fn health_snapshot(&self) -> HealthSnapshot {
        self.driver_state.health_snapshot(self.clock.now())
    }

    /// Marks the pool as one of an earlier version, which makes no new decisions.
    pub fn stop_deciding(&self) {
        if let Some(gate) = &self.gate {
            gate.deactivate();
        }
    }

    /// Closes the connection to an endpoint that has been idle longest.
    pub fn close_idle_connection(&self) {
        self.upstreams.close_longest_idle();
    }
}

/// Sends endpoint updates to a pool's balancer.
#[derive(Clone)]
pub struct EndpointFeed {
    inbox: Inbox,
    alive: Weak<()>,
}

impl EndpointFeed {
    /// Replaces the list; endpoints that are missing in it are removed.
    pub fn replace_all(&self, hosts: Vec<Host>) {
        self.inbox.send(Input::EndpointList {
            scope: UpdateScope::Full,
            seq: None,
            hosts,
        });
    }

    /// Updates the given entries; all others stay.
    pub fn update(&self, hosts: Vec<Host>) {
        self.inbox.send(Input::EndpointList {
            scope: UpdateScope::Delta,
            seq: None,
            hosts,
        });
    }

    /// Restores the health state that another balancer had for the endpoints of the current list.
    pub fn restore_health(&self, snapshot: HealthSnapshot) {
        self.inbox.send(Input::HealthRestored(Box::new(snapshot)));
    }

    /// Sets the index of this process among those that share the endpoints, and their number.
    pub fn set_proxy_count(&self, index: u32, count: u32) {
        self.inbox.send(Input::ProxyCount { index, count });
    }

    /// Returns whether the pool still runs.
    pub fn is_alive(&self) -> bool {
        self.alive.strong_count() > 0
    }
}

impl Process {
    /// Creates a process with a limit on connections to endpoints.
    pub fn new(sockets: usize) -> Self {
        let sockets = Arc::new(Semaphore::new(sockets.min(Semaphore::MAX_PERMITS)));
        Process {
            clock: Clock::default(),
            sockets,
            next_id: Rc::default(),
            body_memory: BodyMemory::with_accounts(BODY_MEMORY_BYTES),
            gate: None,
        }
    }

    /// Sets the gate that all decisions of the pools pass.
    #[must_use]
    pub fn with_gate(mut self, gate: Option<Rc<Gate>>) -> Self {
        self.gate = gate;
        self
    }

    /// Returns the gate, if there is one.
    pub fn gate(&self) -> Option<&Gate> {
        self.gate.as_deref()
    }

    /// Returns the time on the process's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns Unix time in ms as the pools compute it: from the process's clock and the system time at the start.
    pub fn unix_now(&self) -> Millis {
        self.clock.unix_start() + self.clock.now()
    }

    /// Starts a pool, which is ready once it has an endpoint list. `ended` is called when its driver ends: without an
    /// error if the pool was retired and all requests were answered.
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

    /// Serves a listener with at most `max_connections` until `stop`, and then until all accepted requests are
    /// answered.
    pub async fn serve<R: Router>(
        &self,
        listener: TcpListener,
        router: R,
        max_connections: usize,
        stop: impl Future<Output = ()>,
    ) {
        let lifecycle = Rc::new(SharedLifecycle::new(self.clock, false));
        lifecycle.update(|lifecycle, _| lifecycle.mark_list_received()); // the pools have lists or answer for themselves
        let memory = self.body_memory.clone();
        Frontend::new(
            router,
            max_connections,
            self.next_id.clone(),
            lifecycle,
            memory,
        )
        .serve(listener, stop)
        .await;
    }
}

impl Pool {
    /// Returns whether the balancer has an endpoint list.
    pub fn is_ready(&self) -> bool {
        self.lifecycle.is_up()
    }

    /// Returns the longest time that a client of this pool waits.
    pub fn max_timeout(&self) -> Duration {
        self.max_deadline()
    }
}

/// Binds a listener.
///
/// # Errors
/// The system's error.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    frontend::listen(address)
}

/// Sets the prefix of log lines.
pub fn set_log_name(name: &'static str) {
    crate::log::set_name(name);
}
