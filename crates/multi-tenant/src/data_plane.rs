//! The data plane: pools, accounts, routes and listeners of the current version, and the switch to the next
//! version.
//!
//! A change is applied within one turn of the event loop, so that each request sees a consistent version.
//! Opening listeners, the only step that can fail, comes first; a failure leaves everything unchanged.

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

use crate::accounts::{Account, AccountRegistry};
use crate::catalog::{Catalog, Name, PartInterner};
use crate::document::{self, Service, State, Tenant};
use crate::inactive_state::{self, InactiveStates};
use crate::plan::{Change, Plan, PreparedChange, StartTimes};
use crate::routes::Routes;

mod activation;

pub use activation::ActivationStatus;
use activation::ActivationTurns;

/// An active tenant: its pool, account and endpoint discovery.
struct ActiveTenant {
    document: Tenant,
    account: Rc<Account>,
    running: RunningPool,
    /// Pools of earlier versions that still have requests; they receive updates of the servers, too.
    former_pools: Vec<EndpointFeed>,
    start_times: StartTimes,
    /// Endpoint discovery, if the tenant uses it.
    discovery: Option<RunningDiscovery>,
    /// Servers that a pending change drains or removes; they get no new requests.
    pending_drains: BTreeSet<String>,
    seed: u64,
    /// Number of pools created since the activation.
    pools_created: u64,
}

/// Running endpoint discovery of a tenant; dropping it stops the discovery.
struct RunningDiscovery {
    settings: document::DiscoverySettings,
    /// Last received list; none before the first.
    hosts: Option<BTreeMap<String, Host>>,
    status: Option<endpoint_discovery::Status>,
    task: JoinHandle<()>,
}

impl Drop for RunningDiscovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts the endpoint discovery of a tenant with a random seed; it ends when the receiver is dropped.
pub type StartDiscovery =
    Box<dyn Fn(&Tenant, &document::DiscoverySettings, u64) -> UnboundedReceiver<DiscoveryUpdate>>;

struct OpenListener {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// The current version and everything that serves it.
pub struct DataPlane {
    process: Rc<Process>,
    accounts: Rc<AccountRegistry>,
    routes: RefCell<Routes>,
    /// The active tenants.
    active_tenants: RefCell<BTreeMap<Name, ActiveTenant>>,
    /// Decides which tenants are active; also contains those that wait for activation.
    activation: RefCell<tenant_activation::ActiveTenants<Name>>,
    activation_turns: Rc<ActivationTurns>,
    /// State of inactive tenants besides their documents.
    inactive_states: RefCell<InactiveStates>,
    /// Active tenants that use a server with a connection limit, by address.
    limited_server_users: RefCell<BTreeMap<String, BTreeSet<Name>>>,
    /// Servers that a pending change drains or removes, by tenant; they get no new requests.
    pending_drains: RefCell<BTreeMap<String, BTreeSet<String>>>,
    /// Tenants that can't be activated, as their stored data is damaged; this is logged once for each.
    damaged_tenants: RefCell<BTreeSet<Name>>,
    /// Upper bound of the longest deadline of any active tenant.
    max_deadline: Cell<Duration>,
    /// Notified when a tenant is activated, for the task that deactivates idle tenants.
    tenant_activated: Rc<tokio::sync::Notify>,
    /// Accounts by listener, for connections without a known tenant.
    unassigned_accounts: RefCell<BTreeMap<String, Rc<Account>>>,
    listeners: RefCell<BTreeMap<String, OpenListener>>,
    version: Cell<u64>,
    seed: u64,
    max_connections: usize,
    start_discovery: StartDiscovery,
    /// Version of the cluster for which the gate may be open.
    cluster_version: Cell<Option<u64>>,
    /// True once the start is complete.
    accepts_requests: Cell<bool>,
    /// Index of this instance among those that share the servers, and their number.
    proxy_index_and_count: Cell<(u32, u32)>,
    weak_self: Weak<DataPlane>,
}

/// Status of a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub struct TenantStatus {
    /// Name of the tenant.
    pub name: String,
    /// The tenant is active; otherwise its first request activates it.
    #[serde(rename = "resident")]
    pub active: bool,
    /// Its pool has a list of servers, or will have one as soon as it is activated.
    pub ready: bool,
    /// Number of servers that accept new requests, and of all servers.
    pub servers: [usize; 2],
    /// Status of endpoint discovery, if the tenant uses it.
    #[serde(rename = "fleet", skip_serializing_if = "Option::is_none")]
    pub discovery: Option<DiscoveryStatus>,
    /// Number of pools of earlier versions that still have requests.
    pub former_pools: usize,
    /// Number of client connections.
    pub sockets: u64,
    /// Number of requests in flight.
    pub in_flight: u64,
    /// Memory for buffered request data in bytes.
    pub bytes: u64,
    /// Event loop time used, in ms.
    pub loop_ms: f64,
    /// Number of rejections for client connections, requests in flight, memory, event loop time and shared
    /// servers.
    #[serde(rename = "refused")]
    pub rejections: [u64; 5],
}

/// Status of a tenant's endpoint discovery.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "FleetStatus")]
pub struct DiscoveryStatus {
    /// `listing`, `watching`, `behind`, `resyncing` or `stale`.
    pub state: String,
    /// Revision of the store up to which all updates have been received.
    pub revision: i64,
    /// Number of servers whose current values are invalid; their last valid ones are used.
    pub quarantined: usize,
    /// Number of servers that are retained after a mass expiry of leases.
    #[serde(rename = "held")]
    pub retained: usize,
}

impl DataPlane {
    /// Creates a data plane without tenants and listeners.
    pub fn new(process: &document::Process, start_discovery: StartDiscovery) -> Rc<Self> {
        DataPlane::with_gate(process, start_discovery, None)
    }

    /// Creates a data plane whose routing decisions pass a gate, which [`DataPlane::set_version`] opens.
    pub fn with_gate(
        process: &document::Process,
        start_discovery: StartDiscovery,
        gate: Option<Rc<Gate>>,
    ) -> Rc<Self> {
        let accounts = AccountRegistry::new(ProcessCapacity {
            client_connections: process.sockets,
            in_flight_requests: process.in_flight,
            buffered_bytes: process.bytes.0 as u64,
            processing_time_ratio: process.loop_share.0,
            rejection_time_ratio: process.rejection_share.0,
            idle_reserve_ratio: process.idle_reserve.0,
        });
        spawn_local(accounts.clone().run_rounds());
        let plane = Rc::new_cyclic(|weak_self| DataPlane {
            process: Rc::new(Process::new(process.server_sockets as usize).with_gate(gate)),
            accounts,
            routes: RefCell::new(Routes::new(&Catalog::new(&Service {
                process: process.clone(),
                ..Service::default()
            }))),
            active_tenants: RefCell::default(),
            activation: RefCell::new(tenant_activation::ActiveTenants::new(
                activation::activation_limits(process),
            )),
            activation_turns: ActivationTurns::new(),
            inactive_states: RefCell::new(InactiveStates::new(inactive_state::MAX_ENTRIES)),
            limited_server_users: RefCell::default(),
            pending_drains: RefCell::default(),
            damaged_tenants: RefCell::default(),
            max_deadline: Cell::default(),
            tenant_activated: Rc::default(),
            unassigned_accounts: RefCell::default(),
            listeners: RefCell::default(),
            version: Cell::new(0),
            seed: process.seed.unwrap_or_else(|| fastrand::u64(..)),
            max_connections: process.sockets as usize,
            start_discovery,
            cluster_version: Cell::new(None),
            accepts_requests: Cell::new(false),
            proxy_index_and_count: Cell::new((0, 1)),
            weak_self: weak_self.clone(),
        });
        spawn_local(plane.activation_turns.clone().run());
        spawn_local(DataPlane::run_deactivation(
            plane.weak_self.clone(),
            activation::check_interval(process),
        ));
        plane
    }

    /// Applies a whole document and returns its effects.
    ///
    /// # Errors
    /// A listener can't be opened; nothing has changed then.
    pub fn apply(&self, next: &Service) -> Result<Plan, String> {
        self.apply_catalog(Catalog::from_service(next, &mut PartInterner::default()))
    }

    /// Applies the next version and returns its effects.
    ///
    /// # Errors
    /// A listener can't be opened; nothing has changed then.
    pub fn apply_catalog(&self, next: Catalog) -> Result<Plan, String> {
        let prepared = PreparedChange::between(&self.catalog(), next);
        let plan = prepared.plan.clone();
        self.apply_prepared(prepared)?;
        Ok(plan)
    }

    /// Applies a change that was prepared from the current version.
    ///
    /// # Errors
    /// A listener can't be opened; nothing has changed then.
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
        let first_version = self.version.get() == 0;
        for name in plan.added.iter().chain(plan.changed.keys()) {
            let Some(name) = next.find_name(name) else {
                continue;
            };
            self.damaged_tenants.borrow_mut().remove(name);
            let (change, uses_discovery) = (
                plan.changed.get(&**name).copied(),
                discovered_tenants.contains(&**name),
            );
            if !uses_discovery && !self.active_tenants.borrow().contains_key(name) {
                let servers = new_servers.get(&**name).map_or(&[][..], Vec::as_slice);
                self.change_inactive(&next, name, change, servers, first_version);
                continue;
            }
            match next.get(name) {
                Some(Ok((_, tenant))) => self.change_active(name, tenant, change, first_version),
                Some(Err(e)) => tracing::error!(error = %e, "tenant can't be changed"),
                None => {}
            }
        }
        limited_servers
            .iter()
            .for_each(|address| self.divide_server_limit(&next, address));
        if !discovered_tenants.is_empty() {
            self.warn_about_pinned_tenants();
        }
        *self.routes.borrow_mut() = Routes::new(&next);
        for name in &plan.closed {
            // A listener of the same name may be opened at another address below.
            let mut listeners = self.listeners.borrow_mut();
            if let Some(open) = listeners.remove(name) {
                let _ = open.stop.send(true); // fails if the task has already ended
                tracing::info!(listener = name, address = %open.address, "listener closes");
            }
        }
        for (name, listener, address) in opened {
            self.serve(&name, listener, address);
        }
        self.version.set(self.version.get() + 1);
        Ok(())
    }

    fn apply_change(&self, tenant: &mut ActiveTenant, change: Change, first_version: bool) {
        if change.limits {
            tenant.account.set_quota(&quota(&tenant.document.limits));
        }
        if change.settings {
            self.replace_pool(tenant);
        }
        if change.servers {
            self.update_discovery(tenant);
        }
        if change.servers || change.settings {
            tenant.start_times.update(
                &tenant.document.servers,
                first_version,
                self.process.unix_now(),
            );
            tenant.publish_hosts();
        }
    }

    /// Opens all new listeners of a plan, or none if one fails.
    fn open(&self, plan: &Plan) -> Result<Vec<(String, TcpListener, SocketAddr)>, String> {
        let open =
            |listener: &document::Listener| -> io::Result<(String, TcpListener, SocketAddr)> {
                let address = listener.address.parse().map_err(io::Error::other)?;
                let socket = service::listen(address)?;
                let address = socket.local_addr()?;
                Ok((listener.name.clone(), socket, address))
            };
        let open = |listener| {
            open(listener)
                .map_err(|e| format!("listener {}: {}: {e}", listener.name, listener.address))
        };
        plan.opened.iter().map(open).collect()
    }

    /// Returns the router from a listener's requests to the pools.
    pub fn router(self: &Rc<Self>, listener: &str) -> ListenerRouter {
        let quota = quota(&document::Limits::default());
        let mut unassigned_accounts = self.unassigned_accounts.borrow_mut();
        let unassigned_account = unassigned_accounts
            .entry(listener.to_owned())
            .or_insert_with(|| self.accounts.open(&quota))
            .clone();
        ListenerRouter {
            plane: self.clone(),
            listener: listener.to_owned(),
            unassigned_account,
        }
    }

    fn serve(&self, name: &str, listener: TcpListener, address: SocketAddr) {
        let Some(plane) = self.weak_self.upgrade() else {
            return;
        };
        let (stop, stopped) = watch::channel(false);
        let router = plane.router(name);
        let (process, max_connections) = (self.process.clone(), self.max_connections);
        let task = spawn_local(async move {
            let mut stopped = stopped;
            let stop = async move {
                let _ = stopped.wait_for(|stop| *stop).await; // fails if the data plane was dropped
            };
            process.serve(listener, router, max_connections, stop).await;
        });
        tracing::info!(listener = name, %address, "listens");
        self.listeners.borrow_mut().insert(
            name.to_owned(),
            OpenListener {
                address,
                stop,
                task,
            },
        );
    }

    /// Starts, restarts or stops endpoint discovery according to a tenant's document. A known list stays in
    /// use until the first update.
    fn update_discovery(&self, tenant: &mut ActiveTenant) {
        let Some(settings) = tenant.document.discovery.clone() else {
            tenant.discovery = None;
            return;
        };
        if tenant
            .discovery
            .as_ref()
            .is_some_and(|running| running.settings == settings)
        {
            return;
        }
        let mut updates = (self.start_discovery)(&tenant.document, &settings, tenant.seed);
        let (plane, name) = (self.weak_self.clone(), tenant.document.name.clone());
        let task = spawn_local(async move {
            while let Some(update) = updates.recv().await {
                let Some(plane) = plane.upgrade() else { return };
                let mut tenants = plane.active_tenants.borrow_mut();
                let Some(tenant) = tenants.get_mut(name.as_str()) else {
                    return;
                };
                tenant.apply_discovery_update(update);
            }
        });
        let hosts = tenant
            .discovery
            .take()
            .and_then(|mut running| running.hosts.take());
        tenant.discovery = Some(RunningDiscovery {
            settings,
            hosts,
            status: None,
            task,
        });
    }

    fn start_pool(
        &self,
        tenant: &Tenant,
        account: &Rc<Account>,
        seed: u64,
        number: u64,
    ) -> RunningPool {
        let (plane, name) = (self.weak_self.clone(), tenant.name.clone());
        let seed = seed.wrapping_add(number);
        let mut settings = pool_settings(tenant, seed);
        (settings.settings.proxy_index, settings.settings.proxy_count) =
            self.proxy_index_and_count.get();
        self.process.start(settings, Some(account.clone()), move |end| {
            if let Err(e) = end {
                tracing::error!(tenant = name, error = %e, "load balancer of the tenant failed; starting a new one");
                if let Some(plane) = plane.upgrade()
                    && let Some(tenant) = plane.active_tenants.borrow_mut().get_mut(name.as_str())
                {
                    plane.replace_pool(tenant);
                    tenant.publish_hosts();
                }
            }
        })
    }

    /// Replaces a tenant's pool; the previous one finishes its requests.
    fn replace_pool(&self, tenant: &mut ActiveTenant) {
        let running = self.start_pool(
            &tenant.document,
            &tenant.account,
            tenant.seed,
            tenant.pools_created,
        );
        tenant.pools_created += 1;
        self.max_deadline
            .set(self.max_deadline.get().max(running.pool.max_timeout()));
        let old = std::mem::replace(&mut tenant.running, running);
        old.stop_deciding();
        tenant.former_pools.push(old.feed);
        tenant.former_pools.retain(EndpointFeed::is_alive);
    }

    /// Sets the servers, by tenant, that get no new requests although they are up in the current version.
    /// A pending change drains or removes them; this starts without waiting until the change takes effect.
    pub fn set_pending_drains(&self, servers: &BTreeMap<String, BTreeSet<String>>) {
        let before = self.pending_drains.replace(servers.clone());
        let mut tenants = self.active_tenants.borrow_mut();
        for name in before.keys().chain(servers.keys()) {
            let Some(tenant) = tenants.get_mut(name.as_str()) else {
                continue;
            };
            let after = servers.get(name).cloned().unwrap_or_default();
            if after != tenant.pending_drains {
                tenant.pending_drains = after;
                tenant.publish_hosts();
            }
        }
    }

    /// Closes the gate: no more routing decisions until [`DataPlane::set_version`].
    pub fn close_gate(&self) {
        self.cluster_version.set(None);
        self.process.gate().inspect(|gate| gate.close());
    }

    /// Sets the version of the cluster that is being served, and opens the gate for it.
    pub fn set_version(&self, version: u64) {
        self.cluster_version.set(Some(version));
        if self.accepts_requests.get() {
            self.process.gate().inspect(|gate| gate.open(version));
        }
    }

    /// Sets the index of this instance and the number of instances that share the servers: the total load that
    /// a server may get is divided by that number.
    pub fn set_proxy_count(&self, index: u32, instances: u32) {
        if instances == 0
            || self.proxy_index_and_count.replace((index, instances)) == (index, instances)
        {
            return;
        }
        for tenant in self.active_tenants.borrow().values() {
            let pools = tenant
                .former_pools
                .iter()
                .filter(|feed| feed.is_alive())
                .chain([&tenant.running.feed]);
            pools.for_each(|feed| feed.set_proxy_count(index, instances));
        }
    }

    /// Completes the start: the gate opens if a version has been set. Until then it stays closed.
    pub fn accept_requests(&self) {
        self.accepts_requests.set(true);
        if let Some(version) = self.cluster_version.get() {
            self.process.gate().inspect(|gate| gate.open(version));
        }
    }

    /// Returns the version set by [`DataPlane::set_version`], the number of tenants, and the names of those
    /// whose discovered list of servers is not known to be current.
    pub fn startup_state(&self) -> (Option<u64>, usize, Vec<String>) {
        let tenants = self.active_tenants.borrow();
        let name_if_unknown = |(name, tenant): (&Name, &ActiveTenant)| {
            let discovery = tenant.discovery.as_ref()?;
            let is_current = discovery
                .status
                .as_ref()
                .is_some_and(|status| status.phase == endpoint_discovery::Phase::Watching);
            (!is_current).then(|| name.to_string())
        };
        (
            self.cluster_version.get(),
            self.routes.borrow().catalog().len(),
            tenants.iter().filter_map(name_if_unknown).collect(),
        )
    }

    /// Returns the number of requests that waited at the gate, and of those it rejected.
    pub fn gate_counts(&self) -> [u64; 2] {
        self.process.gate().map(Gate::counts).unwrap_or_default()
    }

    /// Returns the addresses of the listeners by name.
    pub fn listener_addresses(&self) -> BTreeMap<String, SocketAddr> {
        self.listeners
            .borrow()
            .iter()
            .map(|(name, open)| (name.clone(), open.address))
            .collect()
    }

    /// Returns the current version.
    pub fn catalog(&self) -> Catalog {
        self.routes.borrow().catalog().clone()
    }

    /// Closes all listeners and waits for the accepted requests.
    pub async fn drain(&self) {
        let open = std::mem::take(&mut *self.listeners.borrow_mut());
        for listener in open.values() {
            let _ = listener.stop.send(true); // fails if the task has already ended
        }
        for (name, open) in open {
            if let Err(e) = open.task.await {
                tracing::error!(listener = name, error = %e, "listener task failed");
            }
        }
    }
}

impl ActiveTenant {
    /// Returns the list of servers; none if endpoint discovery has not received it yet.
    fn hosts(&self) -> Option<Vec<Host>> {
        let to_host = |server: &document::Server| Host {
            host: server.name.clone(),
            dial: server.address.parse().ok(),
            site: server.zone.clone(),
            class: server.machine_type.clone(),
            block: None,
            health: if server.state == State::Up && !self.pending_drains.contains(&server.name) {
                "up"
            } else {
                "draining"
            }
            .into(),
            share: Some(server.capacity),
            born_ms: self.start_times.get(&server.name),
        };
        match &self.discovery {
            None => Some(self.document.servers.iter().map(to_host).collect()),
            Some(discovery) => Some(discovery.hosts.as_ref()?.values().cloned().collect()),
        }
    }

    /// Sends the complete list of servers to all pools of the tenant.
    fn publish_hosts(&self) {
        let Some(hosts) = self.hosts() else { return };
        self.former_pools
            .iter()
            .filter(|feed| feed.is_alive())
            .for_each(|feed| feed.replace_all(hosts.clone()));
        self.running.feed.replace_all(hosts);
    }

    /// Processes an update of endpoint discovery and forwards it to all pools of the tenant.
    fn apply_discovery_update(&mut self, update: DiscoveryUpdate) {
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        let changed = match update {
            DiscoveryUpdate::Status(status) => {
                discovery.status = Some(status);
                return;
            }
            DiscoveryUpdate::List(ListChange::Complete(all)) => {
                discovery.hosts = Some(
                    all.iter()
                        .map(|server| (server.name.clone(), discovered_host(server)))
                        .collect(),
                );
                return self.publish_hosts();
            }
            DiscoveryUpdate::List(ListChange::Upserted(server)) => {
                let host = discovered_host(&server);
                discovery
                    .hosts
                    .get_or_insert_default()
                    .insert(server.name, host.clone());
                host
            }
            DiscoveryUpdate::List(ListChange::Removed(name)) => {
                let Some(host) = discovery
                    .hosts
                    .as_mut()
                    .and_then(|hosts| hosts.remove(&name))
                else {
                    return;
                };
                Host {
                    health: "removed".into(),
                    ..host
                }
            }
        };
        self.former_pools
            .iter()
            .filter(|feed| feed.is_alive())
            .for_each(|feed| feed.update(vec![changed.clone()]));
        self.running.feed.update(vec![changed]);
    }
}

/// Converts a discovered endpoint for the pool.
fn discovered_host(server: &endpoint_discovery::Endpoint) -> Host {
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

/// Converts a tenant's limits into a quota.
fn quota(limits: &document::Limits) -> TenantQuota {
    TenantQuota {
        weight: limits.weight,
        max_client_connections: limits.sockets.unwrap_or(u64::MAX),
        max_in_flight_requests: limits.in_flight.unwrap_or(u64::MAX),
        max_buffered_bytes: limits.bytes.map_or(u64::MAX, |bytes| bytes.0 as u64),
        max_processing_time_ratio: limits.loop_share.map_or(1.0, |share| share.0),
        burst: limits.burst.0,
    }
}

/// Converts a tenant's document into the settings of its pool.
fn pool_settings(tenant: &Tenant, seed: u64) -> PoolSettings {
    let convert_class = |class: &document::Class| Class {
        latency_objective: class.latency_objective.0,
        deadline: class.deadline.0,
        objective_work_multiple: 0.0,
        priority_weight: class.priority_weight,
        late_weight_fraction: class.late_weight_fraction.0,
        idempotency: match class.idempotency {
            document::Idempotency::Idempotent => Idempotency::Idempotent,
            document::Idempotency::NonIdempotent => Idempotency::NonIdempotent,
        },
    };
    let rules = &tenant.rules;
    let classes = tenant
        .classes
        .iter()
        .map(|class| class.name.clone())
        .collect();
    let mut names = Names {
        classes,
        ..Names::default()
    };
    let zone = rules
        .zone
        .as_deref()
        .map(|zone| ZoneId(intern(&mut names.zones, zone) as u32));
    let settings = Settings {
        proxy_index: 0,
        proxy_count: 1,
        zone,
        classes: tenant.classes.iter().map(convert_class).collect(),
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
            // The time for which a server tolerates overload during its warm-up is unknown here: only its budget
            // limits it, and no class is considered too heavy.
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

/// Router from a listener's requests to the pools.
pub struct ListenerRouter {
    plane: Rc<DataPlane>,
    listener: String,
    unassigned_account: Rc<Account>,
}

const NO_TENANT: RouteError = RouteError::Status(StatusCode::NOT_FOUND, "no such tenant");

impl Router for ListenerRouter {
    fn pool(&self, uri: &Uri, headers: &HeaderMap, turn: bool) -> Result<Rc<Pool>, RouteError> {
        let routes = self.plane.routes.borrow();
        // A request target in absolute form overrides the header Host (RFC 9112, 3.2.2).
        let host = uri
            .host()
            .or_else(|| unique_header(headers, &hyper::header::HOST));
        let tenant = unique_header(headers, &HeaderName::from_static("x-tenant-id"));
        let name = routes
            .find(&self.listener, host, tenant)
            .map_err(|_| NO_TENANT)?
            .clone();
        drop(routes);
        // Health checks don't activate a tenant, nor do requests while the gate is closed.
        let may_activate = uri.path() != "/up" && self.gate().is_none_or(Gate::is_open);
        self.plane.pool_of(&name, may_activate, turn)
    }

    fn wait_for_turn(&self) -> impl Future<Output = ()> {
        self.plane.activation_turns.clone().acquire()
    }

    fn unassigned_account(&self) -> Option<Rc<dyn TenantAccount>> {
        let routes = self.plane.routes.borrow();
        let owner = routes.dedicated_tenant(&self.listener).and_then(|name| {
            let tenants = self.plane.active_tenants.borrow();
            tenants.get(name).map(|tenant| tenant.account.clone())
        });
        let account: Rc<dyn TenantAccount> =
            owner.unwrap_or_else(|| self.unassigned_account.clone());
        Some(account)
    }

    fn is_up(&self) -> bool {
        self.plane.version.get() > 0 && self.gate().is_none_or(Gate::is_open)
    }

    fn gate(&self) -> Option<&Gate> {
        self.plane.process.gate()
    }

    fn max_deadline(&self) -> Duration {
        self.plane.max_deadline.get()
    }

    fn close_idle_connections(&self) {
        self.plane
            .active_tenants
            .borrow()
            .values()
            .for_each(|tenant| tenant.running.close_idle_connection());
    }
}

/// Returns the value of a header that occurs exactly once and is valid text.
fn unique_header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.to_str().ok()?;
    values.next().is_none().then_some(value)
}
