//! The plane that serves: pools, accounts, routes and listeners of the present version, and how it goes over to the next.
//!
//! A change is carried out in one turn of the event loop, so that each request sees one version whole. What can fail, the
//! opening of listeners, is done first; a failure leaves all as it was.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use balancer::{Class, Costs, Discovery, Idempotency, Settings, WeightMeaning, ZoneId};
use endpoint_discovery::{DiscoveryUpdate, ListChange};
use fair_share::{ProcessCapacity, TenantQuota};
use hyper::header::{HeaderMap, HeaderName};
use hyper::{StatusCode, Uri};
use proxy_core::account::TenantAccount;
use proxy_core::gate::Gate;
use proxy_core::pool::Pool;
use proxy_core::service::{
    self, EndpointFeed, Host, PoolSettings, Process, RouteError, Router, RunningPool,
};
use schemars::JsonSchema;
use serde::Serialize;
use settings::{ConnectionSettings, Names, intern};
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};

use crate::accounts::{Book, Holder};
use crate::catalog::{Catalog, Name, PartInterner};
use crate::document::{self, Service, State, Tenant};
use crate::inactive_state::{self, InactiveStates};
use crate::plan::{Change, Plan, PreparedChange, StartTimes};
use crate::routes::Routes;

mod activation;

pub use activation::ActivationStatus;
use activation::ActivationTurns;

/// What one resident tenant has in the process.
struct Live {
    document: Tenant,
    account: Rc<Holder>,
    running: RunningPool,
    /// Pools of earlier versions that still end what they have; they hear of drains and ends of servers, too.
    former: Vec<EndpointFeed>,
    births: StartTimes,
    /// Its list, where that is followed.
    followed: Option<Followed>,
    /// Servers that get nothing new already, as a change under way ends them.
    held_off: BTreeSet<String>,
    seed: u64,
    /// Counts the pools that this tenant has had.
    pools: u64,
}

/// A list that is followed; dropped, it is followed no longer.
struct Followed {
    settings: document::DiscoverySettings,
    /// The list; none before the first.
    hosts: Option<BTreeMap<String, Host>>,
    status: Option<endpoint_discovery::Status>,
    task: JoinHandle<()>,
}

impl Drop for Followed {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Follows a tenant's list as these settings say, under a seed, for as long as somebody listens.
pub type StartDiscovery =
    Box<dyn Fn(&Tenant, &document::DiscoverySettings, u64) -> UnboundedReceiver<DiscoveryUpdate>>;

struct Open {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// The present version and what serves it.
pub struct DataPlane {
    process: Rc<Process>,
    book: Rc<Book>,
    routes: RefCell<Routes>,
    /// The residents.
    tenants: RefCell<BTreeMap<Name, Live>>,
    /// Who is resident, and who waits to be.
    residents: RefCell<tenant_activation::ActiveTenants<Name>>,
    turns: Rc<ActivationTurns>,
    /// What is kept of tenants at rest beside their documents.
    digests: RefCell<InactiveStates>,
    /// Of servers with limits the residents that use them.
    sharers: RefCell<BTreeMap<String, BTreeSet<Name>>>,
    /// Servers that get nothing new already, by tenant, as a change under way ends them.
    held_off: RefCell<BTreeMap<String, BTreeSet<String>>>,
    /// Tenants that could not be woken, as what is held of them is damaged: each is told once.
    damaged: RefCell<BTreeSet<Name>>,
    /// The longest wait that any resident's clients are ready for, at least.
    longest: Cell<Duration>,
    /// Told when a resident comes: there is something to look after.
    some_reside: Rc<tokio::sync::Notify>,
    /// Accounts of listeners, for connections that have not named a tenant yet.
    strangers: RefCell<BTreeMap<String, Rc<Holder>>>,
    listeners: RefCell<BTreeMap<String, Open>>,
    version: Cell<u64>,
    seed: u64,
    most: usize,
    follow: StartDiscovery,
    /// The cluster's version that is open here.
    opens: Cell<Option<u64>>,
    /// The start is over.
    takes: Cell<bool>,
    /// This instance's number among those that share the servers, and how many there are.
    among: Cell<(u32, u32)>,
    myself: Weak<DataPlane>,
}

/// A tenant's state, as status tells it.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub struct TenantStatus {
    /// Its name.
    pub name: String,
    /// It is held in full; otherwise it is at rest, and its first request wakes it.
    #[serde(rename = "resident")]
    pub active: bool,
    /// Its module has a list, or will have one as soon as it wakes.
    pub ready: bool,
    /// Servers that take new work, and all.
    pub servers: [usize; 2],
    /// What its list is at, where that is followed.
    #[serde(rename = "fleet", skip_serializing_if = "Option::is_none")]
    pub discovery: Option<DiscoveryStatus>,
    /// Pools of earlier versions that still end what they have.
    pub former_pools: usize,
    /// Connections of its clients.
    pub sockets: u64,
    /// Its requests in flight.
    pub in_flight: u64,
    /// Memory for its requests.
    pub bytes: u64,
    /// The event loop's time that it has used, in ms.
    pub loop_ms: f64,
    /// Times it was turned away for sockets, requests in flight, bytes, time and shared servers.
    #[serde(rename = "refused")]
    pub rejections: [u64; 5],
}

/// What a list that is followed is at.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "FleetStatus")]
pub struct DiscoveryStatus {
    /// `listing`, `watching`, `behind`, `resyncing` or `stale`.
    pub state: String,
    /// The store's revision up to which everything is known.
    pub revision: i64,
    /// Servers whose present values can't be read; their last good ones stay.
    pub quarantined: usize,
    /// Servers that are held as their leases ended together.
    #[serde(rename = "held")]
    pub retained: usize,
}

impl DataPlane {
    /// A plane with nothing to serve yet.
    pub fn new(process: &document::Process, follow: StartDiscovery) -> Rc<Self> {
        DataPlane::with_gate(process, follow, None)
    }

    /// The same, where all that is decided passes a gate. It opens with the versions that [`Plane::open_at`] tells.
    pub fn with_gate(
        process: &document::Process,
        follow: StartDiscovery,
        gate: Option<Rc<Gate>>,
    ) -> Rc<Self> {
        let book = Book::new(ProcessCapacity {
            client_connections: process.sockets,
            in_flight_requests: process.in_flight,
            buffered_bytes: process.bytes.0 as u64,
            processing_time_ratio: process.loop_share.0,
            rejection_time_ratio: process.rejection_share.0,
            idle_reserve_ratio: process.idle_reserve.0,
        });
        spawn_local(book.clone().give_turns());
        let plane = Rc::new_cyclic(|myself| DataPlane {
            process: Rc::new(Process::new(process.server_sockets as usize).with_gate(gate)),
            book,
            routes: RefCell::new(Routes::new(&Catalog::new(&Service {
                process: process.clone(),
                ..Service::default()
            }))),
            tenants: RefCell::default(),
            residents: RefCell::new(tenant_activation::ActiveTenants::new(activation::terms(
                process,
            ))),
            turns: ActivationTurns::new(),
            digests: RefCell::new(InactiveStates::new(inactive_state::MAX_ENTRIES)),
            sharers: RefCell::default(),
            held_off: RefCell::default(),
            damaged: RefCell::default(),
            longest: Cell::default(),
            some_reside: Rc::default(),
            strangers: RefCell::default(),
            listeners: RefCell::default(),
            version: Cell::new(0),
            seed: process.seed.unwrap_or_else(|| fastrand::u64(..)),
            most: process.sockets as usize,
            follow,
            opens: Cell::new(None),
            takes: Cell::new(false),
            among: Cell::new((0, 1)),
            myself: myself.clone(),
        });
        spawn_local(plane.turns.clone().give());
        spawn_local(DataPlane::look_after(
            plane.myself.clone(),
            activation::look(process),
        ));
        plane
    }

    /// Goes over to what a whole document says; returns what that came to.
    ///
    /// # Errors
    /// A listener can't be opened: then nothing has changed.
    pub fn apply(&self, next: &Service) -> Result<Plan, String> {
        self.apply_catalog(Catalog::from_service(next, &mut PartInterner::default()))
    }

    /// Goes over to the next version; returns what that came to.
    ///
    /// # Errors
    /// A listener can't be opened: then nothing has changed.
    pub fn apply_catalog(&self, next: Catalog) -> Result<Plan, String> {
        let prepared = PreparedChange::between(&self.catalog(), next);
        let plan = prepared.plan.clone();
        self.apply_prepared(prepared)?;
        Ok(plan)
    }

    /// Carries out a change that was prepared from the present version.
    ///
    /// # Errors
    /// A listener can't be opened: then nothing has changed.
    pub fn apply_prepared(&self, prepared: PreparedChange) -> Result<(), String> {
        let PreparedChange {
            next,
            plan,
            limited_servers,
            discovered_tenants,
            new_servers,
        } = prepared;
        let opened = self.open(&plan)?;
        for name in &plan.removed {
            self.remove(name);
        }
        let first = self.version.get() == 0;
        for name in plan.added.iter().chain(plan.changed.keys()) {
            let Some(name) = next.find_name(name) else {
                continue;
            };
            self.damaged.borrow_mut().remove(name);
            let (change, follows) = (
                plan.changed.get(&**name).copied(),
                discovered_tenants.contains(&**name),
            );
            if !follows && !self.tenants.borrow().contains_key(name) {
                let brought = new_servers.get(&**name).map_or(&[][..], Vec::as_slice);
                self.change_at_rest(&next, name, change, brought, first);
                continue;
            }
            match next.get(name) {
                Some(Ok((_, tenant))) => self.change_resident(name, tenant, change, first),
                Some(Err(e)) => tracing::error!(error = %e, "a change can't be carried out for it"),
                None => {}
            }
        }
        limited_servers
            .iter()
            .for_each(|address| self.share_server(&next, address));
        if !discovered_tenants.is_empty() {
            self.warn_of_pinned();
        }
        *self.routes.borrow_mut() = Routes::new(&next);
        for name in &plan.closed {
            // It may have been opened anew at another address, under the same name.
            let mut listeners = self.listeners.borrow_mut();
            if let Some(open) = listeners.remove(name) {
                let _ = open.stop.send(true); // its task ends by itself
                tracing::info!(listener = name, address = %open.address, "listener closes");
            }
        }
        for (name, listener, address) in opened {
            self.serve(&name, listener, address);
        }
        self.version.set(self.version.get() + 1);
        Ok(())
    }

    fn change(&self, live: &mut Live, change: Change, first: bool) {
        if change.limits {
            live.account.set(&caps(&live.document.limits));
        }
        if change.settings {
            self.renew(live);
        }
        if change.servers {
            self.attend(live);
        }
        if change.servers || change.settings {
            live.births
                .update(&live.document.servers, first, self.process.unix_now());
            live.tell();
        }
    }

    /// Opens the listeners of a plan, all or none.
    fn open(&self, plan: &Plan) -> Result<Vec<(String, TcpListener, SocketAddr)>, String> {
        let open = |l: &document::Listener| -> io::Result<(String, TcpListener, SocketAddr)> {
            let address = l.address.parse().map_err(io::Error::other)?;
            let listener = service::listen(address)?;
            let address = listener.local_addr()?;
            Ok((l.name.clone(), listener, address))
        };
        let open = |l| open(l).map_err(|e| format!("listener {}: {}: {e}", l.name, l.address));
        plan.opened.iter().map(open).collect()
    }

    /// The way of a listener's requests to their pools.
    pub fn router(self: &Rc<Self>, listener: &str) -> ListenerRouter {
        let caps = caps(&document::Limits::default());
        let mut strangers = self.strangers.borrow_mut();
        let strangers = strangers
            .entry(listener.to_owned())
            .or_insert_with(|| self.book.open(&caps))
            .clone();
        ListenerRouter {
            plane: self.clone(),
            listener: listener.to_owned(),
            strangers,
        }
    }

    fn serve(&self, name: &str, listener: TcpListener, address: SocketAddr) {
        let Some(plane) = self.myself.upgrade() else {
            return;
        };
        let (stop, stopped) = watch::channel(false);
        let way = plane.router(name);
        let (process, most) = (self.process.clone(), self.most);
        let task = spawn_local(async move {
            let mut stopped = stopped;
            let stop = async move {
                let _ = stopped.wait_for(|stop| *stop).await; // or the plane is gone
            };
            process.serve(listener, way, most, stop).await;
        });
        tracing::info!(listener = name, %address, "listens");
        self.listeners.borrow_mut().insert(
            name.to_owned(),
            Open {
                address,
                stop,
                task,
            },
        );
    }

    /// Follows a tenant's list as its document says now. What is known of the list stands until another one comes.
    fn attend(&self, live: &mut Live) {
        let Some(settings) = live.document.discovery.clone() else {
            live.followed = None;
            return;
        };
        if live
            .followed
            .as_ref()
            .is_some_and(|f| f.settings == settings)
        {
            return;
        }
        let mut updates = (self.follow)(&live.document, &settings, live.seed);
        let (plane, name) = (self.myself.clone(), live.document.name.clone());
        let task = spawn_local(async move {
            while let Some(update) = updates.recv().await {
                let Some(plane) = plane.upgrade() else { return };
                let mut tenants = plane.tenants.borrow_mut();
                let Some(live) = tenants.get_mut(name.as_str()) else {
                    return;
                };
                live.hear(update);
            }
        });
        let hosts = live.followed.take().and_then(|mut f| f.hosts.take());
        live.followed = Some(Followed {
            settings,
            hosts,
            status: None,
            task,
        });
    }

    fn pool(&self, tenant: &Tenant, account: &Rc<Holder>, seed: u64, number: u64) -> RunningPool {
        let (plane, name) = (self.myself.clone(), tenant.name.clone());
        let seed = seed.wrapping_add(number);
        let mut terms = terms(tenant, seed);
        (terms.settings.proxy_index, terms.settings.proxy_count) = self.among.get();
        self.process.start(terms, Some(account.clone()), move |end| {
            if let Err(e) = end {
                tracing::error!(tenant = name, error = %e, "its module has failed; it gets a new one");
                if let Some(plane) = plane.upgrade()
                    && let Some(live) = plane.tenants.borrow_mut().get_mut(name.as_str())
                {
                    plane.renew(live);
                    live.tell();
                }
            }
        })
    }

    /// Gives a tenant a new pool; the one that it had ends what it has.
    fn renew(&self, live: &mut Live) {
        let running = self.pool(&live.document, &live.account, live.seed, live.pools);
        live.pools += 1;
        self.longest
            .set(self.longest.get().max(running.pool.max_timeout()));
        let old = std::mem::replace(&mut live.running, running);
        old.stop_deciding();
        live.former.push(old.feed);
        live.former.retain(EndpointFeed::is_alive);
    }

    /// These servers, by tenant, get nothing new from here on, though the present version has them; all others as it says. A change
    /// that ends them may take a while to take hold, and need not be waited for.
    pub fn set_pending_drains(&self, servers: &BTreeMap<String, BTreeSet<String>>) {
        let before = self.held_off.replace(servers.clone());
        let mut tenants = self.tenants.borrow_mut();
        for name in before.keys().chain(servers.keys()) {
            let Some(live) = tenants.get_mut(name.as_str()) else {
                continue;
            };
            let now = servers.get(name).cloned().unwrap_or_default();
            if now != live.held_off {
                live.held_off = now;
                live.tell();
            }
        }
    }

    /// Nothing new is decided from here on, until a version opens.
    pub fn close_gate(&self) {
        self.opens.set(None);
        self.process.gate().inspect(|gate| gate.close());
    }

    /// What is served now is this version of the cluster's.
    pub fn set_version(&self, version: u64) {
        self.opens.set(Some(version));
        if self.takes.get() {
            self.process.gate().inspect(|gate| gate.open(version));
        }
    }

    /// So many instances share the servers from here on, and this one has this number among them: what a server may get from all of
    /// them together is divided by that.
    pub fn set_proxy_count(&self, me: u32, instances: u32) {
        if instances == 0 || self.among.replace((me, instances)) == (me, instances) {
            return;
        }
        for live in self.tenants.borrow().values() {
            let pools = live
                .former
                .iter()
                .filter(|f| f.is_alive())
                .chain([&live.running.feed]);
            pools.for_each(|feed| feed.set_proxy_count(me, instances));
        }
    }

    /// The start is over: requests pass the gate from here on, under whatever version is open. Until then it stays closed.
    pub fn accept_requests(&self) {
        self.takes.set(true);
        if let Some(version) = self.opens.get() {
            self.process.gate().inspect(|gate| gate.open(version));
        }
    }

    /// The version that is open here, how many tenants there are, and those whose list of servers is not known to be current.
    pub fn startup_state(&self) -> (Option<u64>, usize, Vec<String>) {
        let tenants = self.tenants.borrow();
        let unknown = |(name, live): (&Name, &Live)| {
            let followed = live.followed.as_ref()?;
            let current = followed
                .status
                .as_ref()
                .is_some_and(|s| s.phase == endpoint_discovery::Phase::Watching);
            (!current).then(|| name.to_string())
        };
        (
            self.opens.get(),
            self.routes.borrow().catalog().len(),
            tenants.iter().filter_map(unknown).collect(),
        )
    }

    /// Requests that waited at the gate, and those that it refused.
    pub fn gate_counts(&self) -> [u64; 2] {
        self.process.gate().map(Gate::counts).unwrap_or_default()
    }

    /// Where the listeners are, by name.
    pub fn listener_addresses(&self) -> BTreeMap<String, SocketAddr> {
        self.listeners
            .borrow()
            .iter()
            .map(|(name, open)| (name.clone(), open.address))
            .collect()
    }

    /// The present version.
    pub fn catalog(&self) -> Catalog {
        self.routes.borrow().catalog().clone()
    }

    /// Closes all listeners and answers what has been taken.
    pub async fn drain(&self) {
        let open = std::mem::take(&mut *self.listeners.borrow_mut());
        for one in open.values() {
            let _ = one.stop.send(true); // or it has ended
        }
        for (name, open) in open {
            if let Err(e) = open.task.await {
                tracing::error!(listener = name, error = %e, "its front has failed");
            }
        }
    }
}

impl Live {
    /// Its list; none where that is followed and not known yet.
    fn hosts(&self) -> Option<Vec<Host>> {
        let host = |s: &document::Server| Host {
            host: s.name.clone(),
            dial: s.address.parse().ok(),
            site: s.zone.clone(),
            class: s.machine_type.clone(),
            block: None,
            health: if s.state == State::Up && !self.held_off.contains(&s.name) {
                "up"
            } else {
                "draining"
            }
            .into(),
            share: Some(s.capacity),
            born_ms: self.births.get(&s.name),
        };
        match &self.followed {
            None => Some(self.document.servers.iter().map(host).collect()),
            Some(followed) => Some(followed.hosts.as_ref()?.values().cloned().collect()),
        }
    }

    /// Tells all its pools its list.
    fn tell(&self) {
        let Some(hosts) = self.hosts() else { return };
        self.former
            .iter()
            .filter(|f| f.is_alive())
            .for_each(|f| f.replace_all(hosts.clone()));
        self.running.feed.replace_all(hosts);
    }

    /// Takes what has become of a list that is followed, and tells all its pools.
    fn hear(&mut self, update: DiscoveryUpdate) {
        let Some(followed) = &mut self.followed else {
            return;
        };
        let changed = match update {
            DiscoveryUpdate::Status(status) => {
                followed.status = Some(status);
                return;
            }
            DiscoveryUpdate::List(ListChange::Complete(all)) => {
                followed.hosts = Some(all.iter().map(|s| (s.name.clone(), host(s))).collect());
                return self.tell();
            }
            DiscoveryUpdate::List(ListChange::Upserted(server)) => {
                let host = host(&server);
                followed
                    .hosts
                    .get_or_insert_default()
                    .insert(server.name, host.clone());
                host
            }
            DiscoveryUpdate::List(ListChange::Removed(name)) => {
                let Some(host) = followed.hosts.as_mut().and_then(|h| h.remove(&name)) else {
                    return;
                };
                Host {
                    health: "removed".into(),
                    ..host
                }
            }
        };
        self.former
            .iter()
            .filter(|f| f.is_alive())
            .for_each(|f| f.update(vec![changed.clone()]));
        self.running.feed.update(vec![changed]);
    }
}

/// A server of a list that is followed, as the module takes it.
fn host(server: &endpoint_discovery::Endpoint) -> Host {
    let record = &server.record;
    Host {
        host: server.name.clone(),
        dial: Some(record.address),
        site: record.zone.clone(),
        class: record.machine_type.clone(),
        block: None,
        health: if record.state == endpoint_discovery::EndpointState::Up {
            "up"
        } else {
            "draining"
        }
        .into(),
        share: Some(record.capacity),
        born_ms: server.started_at_ms as f64,
    }
}

/// A tenant's limits as the shares take them.
fn caps(limits: &document::Limits) -> TenantQuota {
    TenantQuota {
        weight: limits.weight,
        max_client_connections: limits.sockets.unwrap_or(u64::MAX),
        max_in_flight_requests: limits.in_flight.unwrap_or(u64::MAX),
        max_buffered_bytes: limits.bytes.map_or(u64::MAX, |b| b.0 as u64),
        max_processing_time_ratio: limits.loop_share.map_or(1.0, |s| s.0),
        burst: limits.burst.0,
    }
}

/// A tenant's document as its decision module takes it.
fn terms(tenant: &Tenant, seed: u64) -> PoolSettings {
    let class = |c: &document::Class| Class {
        latency_objective: c.latency_objective.0,
        deadline: c.deadline.0,
        objective_work_multiple: 0.0,
        priority_weight: c.priority_weight,
        late_weight_fraction: c.late_weight_fraction.0,
        idempotency: match c.idempotency {
            document::Idempotency::Idempotent => Idempotency::Idempotent,
            document::Idempotency::NonIdempotent => Idempotency::NonIdempotent,
        },
    };
    let rules = &tenant.rules;
    let classes = tenant.classes.iter().map(|c| c.name.clone()).collect();
    let mut names = Names {
        classes,
        ..Names::default()
    };
    let zone = rules
        .zone
        .as_deref()
        .map(|z| ZoneId(intern(&mut names.zones, z) as u32));
    let settings = Settings {
        proxy_index: 0,
        proxy_count: 1,
        zone,
        classes: tenant.classes.iter().map(class).collect(),
        tenants: Vec::new(),
        over_quota_weight_fraction: 1.0,
        weight_by_work: false,
        discovery: Discovery::Pushed,
        weight_meaning: WeightMeaning::Capacity,
        key_affinity: false,
        gossip_enabled: false,
        max_retry_after: Some(rules.retry_after.0),
        costs: Costs::default(),
        limits: balancer::Limits {
            initial_capacity_fraction: rules.initial_capacity.0,
            warm_up: rules.warm_up.0,
            overload_multiple: 1.0,
            // How long a cold server bears too much is not known here: its budget alone keeps it, and no class is too heavy.
            overload_window: f64::MAX,
            max_attempts: rules.max_attempts,
        },
    };
    let connections = ConnectionSettings {
        connect_timeout: rules.connect_timeout.0,
        idle_timeout: rules.idle_timeout.0,
    };
    PoolSettings {
        settings,
        names,
        connections,
        seed,
    }
}

/// One listener's way to the pools.
pub struct ListenerRouter {
    plane: Rc<DataPlane>,
    listener: String,
    strangers: Rc<Holder>,
}

const NO_TENANT: RouteError = RouteError::Status(StatusCode::NOT_FOUND, "no such tenant");

impl Router for ListenerRouter {
    fn pool(&self, uri: &Uri, headers: &HeaderMap, turn: bool) -> Result<Rc<Pool>, RouteError> {
        let routes = self.plane.routes.borrow();
        // A target in absolute form names the host itself (RFC 9112, 3.2.2).
        let host = uri.host().or_else(|| once(headers, &hyper::header::HOST));
        let tenant = once(headers, &HeaderName::from_static("x-tenant-id"));
        let name = routes
            .find(&self.listener, host, tenant)
            .map_err(|_| NO_TENANT)?
            .clone();
        drop(routes);
        // Nobody is woken to say that the process is up, nor while nothing may be decided.
        let may_wake = uri.path() != "/up" && self.gate().is_none_or(Gate::is_open);
        self.plane.pool_of(&name, may_wake, turn)
    }

    fn wait_for_turn(&self) -> impl Future<Output = ()> {
        self.plane.turns.clone().take()
    }

    fn unassigned_account(&self) -> Option<Rc<dyn TenantAccount>> {
        let routes = self.plane.routes.borrow();
        let owner = routes.dedicated_tenant(&self.listener).and_then(|name| {
            let tenants = self.plane.tenants.borrow();
            tenants.get(name).map(|live| live.account.clone())
        });
        let account: Rc<dyn TenantAccount> = owner.unwrap_or_else(|| self.strangers.clone());
        Some(account)
    }

    fn is_up(&self) -> bool {
        self.plane.version.get() > 0 && self.gate().is_none_or(Gate::is_open)
    }

    fn gate(&self) -> Option<&Gate> {
        self.plane.process.gate()
    }

    fn max_deadline(&self) -> Duration {
        self.plane.longest.get()
    }

    fn close_idle_connections(&self) {
        self.plane
            .tenants
            .borrow()
            .values()
            .for_each(|live| live.running.close_idle_connection());
    }
}

/// A header that stands once and can be read.
fn once<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.to_str().ok()?;
    values.next().is_none().then_some(value)
}
