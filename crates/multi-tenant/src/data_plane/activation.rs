//! Activation and deactivation of tenants, and their status.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use balancer::Millis;
use hyper::StatusCode;
use proxy_core::pool::Pool;
use proxy_core::service::{self, EndpointFeed, RouteError};
use schemars::JsonSchema;
use serde::Serialize;
use settings::stable_hash;
use tenant_activation::{Activation, ActivationLimits, Deferral};
use tokio::sync::{Notify, Semaphore};
use tokio::time::sleep;

use super::{ActiveTenant, DataPlane, DiscoveryStatus, NO_TENANT, TenantStatus, quota};
use crate::catalog::{Catalog, Name};
use crate::document::{Process, State, Tenant};
use crate::inactive_state::{self, InactiveState};
use crate::plan::{Change, StartTimes};

/// Minimum time that a tenant stays active. It is short, as at the target size a tenant gets a request only
/// once in minutes, but long compared with the time of an activation.
const MIN_ACTIVE_TIME: Millis = 250.0;
/// Grace period for which a waiting tenant keeps its place in the queue after its retry delay.
const RETRY_GRACE_PERIOD: Millis = 2_000.0;
/// Maximum number of tenants in the queue.
const MAX_WAITING: usize = 4096;
/// Maximum number of tenants activated per round of the event loop, before other ready tasks run.
const MAX_ACTIVATIONS_PER_ROUND: usize = 4;
/// Maximum number of tenants deactivated before other ready tasks run.
const MAX_DEACTIVATIONS_PER_BATCH: usize = 64;
/// Time for which the health state of a server is retained after the end of its ejection, while it is on
/// probation; after that it counts as healthy.
const PROBATION_RETENTION: Millis = 600_000.0;
/// Maximum time for which the start times of new servers of an inactive tenant are retained.
const START_TIME_RETENTION: Millis = 3_600_000.0;

/// Maximum number of inactive tenants that are read for one status request.
const MAX_STATUS_READS: usize = 256;

const DAMAGED: RouteError = RouteError::Status(StatusCode::SERVICE_UNAVAILABLE, "unavailable");

/// Limits of the activation.
pub(super) fn activation_limits(process: &Process) -> ActivationLimits {
    ActivationLimits {
        max_active: process.max_active_tenants as usize,
        idle_timeout: process.idle_timeout.0,
        min_active_time: MIN_ACTIVE_TIME,
        retry_grace_period: RETRY_GRACE_PERIOD,
        max_waiting: MAX_WAITING,
    }
}

/// Interval between two checks for idle tenants.
pub(super) fn check_interval(process: &Process) -> Duration {
    Duration::from_secs_f64((process.idle_timeout.0 / 4000.0).clamp(0.1, 5.0))
}

/// Limits the activations per round of the event loop to [`MAX_ACTIVATIONS_PER_ROUND`], each of which consumes a
/// turn; turns are granted in the order of the requests.
pub(super) struct ActivationTurns {
    permits: Semaphore,
    turn_acquired: Notify,
    /// Number of rounds with activations.
    rounds: Cell<u64>,
}

impl ActivationTurns {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(ActivationTurns {
            permits: Semaphore::new(MAX_ACTIVATIONS_PER_ROUND),
            turn_acquired: Notify::new(),
            rounds: Cell::new(0),
        })
    }

    /// Grants new turns in each round; runs until the process ends.
    pub(super) async fn run(self: Rc<Self>) {
        loop {
            self.turn_acquired.notified().await;
            // Other ready tasks run before the next round, and new I/O events are polled.
            tokio::task::yield_now().await;
            self.rounds.set(self.rounds.get() + 1);
            self.permits.add_permits(
                MAX_ACTIVATIONS_PER_ROUND
                    - self
                        .permits
                        .available_permits()
                        .min(MAX_ACTIVATIONS_PER_ROUND),
            );
        }
    }

    /// Waits for a turn and consumes it.
    pub(super) async fn acquire(self: Rc<Self>) {
        if let Ok(turn) = self.permits.acquire().await {
            turn.forget();
        }
        self.turn_acquired.notify_one();
    }

    fn try_acquire(&self) -> bool {
        let is_acquired = self.permits.try_acquire().map(|turn| turn.forget()).is_ok();
        if is_acquired {
            self.turn_acquired.notify_one();
        }
        is_acquired
    }
}

/// Numbers of tenants and active tenants, and counters of activations since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Residency")]
pub struct ActivationStatus {
    /// All tenants.
    pub tenants: usize,
    /// Active tenants.
    #[serde(rename = "resident")]
    pub active: usize,
    /// Active tenants that are never deactivated, as they use endpoint discovery.
    pub pinned: usize,
    /// Tenants that wait for activation.
    pub waiting: usize,
    /// Number of activations.
    #[serde(rename = "wakes")]
    pub activations: u64,
    /// Number of deactivations.
    #[serde(rename = "rests")]
    pub deactivations: u64,
    /// Number of deactivations in favor of another tenant.
    pub evictions: u64,
    /// Requests rejected because their tenant could not be activated yet.
    #[serde(rename = "refused")]
    pub deferrals: u64,
    /// Tenants that can't be activated, as their stored data is damaged.
    pub damaged: usize,
    /// Entries of retained state of inactive tenants.
    #[serde(rename = "remembered")]
    pub retained_entries: usize,
    /// Tenants whose retained state was dropped before its expiry because of the size limit.
    #[serde(rename = "forgotten")]
    pub dropped_tenants: u64,
    /// Rounds of the event loop with activations.
    #[serde(rename = "rounds")]
    pub activation_rounds: u64,
}

impl ActiveTenant {
    /// Returns true if the tenant can be deactivated without affecting a request.
    fn can_deactivate(&self) -> bool {
        self.discovery.is_none()
            && self.running.is_idle()
            && !self.former_pools.iter().any(EndpointFeed::is_alive)
            // A tenant with more state than can be retained stays active. With few servers this is impossible,
            // and the snapshot isn't needed.
            && (self.document.servers.len() < inactive_state::MAX_ENTRIES_PER_TENANT
                || self.running.health_snapshot().endpoints.len() <= inactive_state::MAX_ENTRIES_PER_TENANT)
    }
}

impl DataPlane {
    /// Returns the pool of an existing tenant. An inactive tenant is activated if this is allowed and it has
    /// got a turn.
    pub(super) fn pool_of(
        &self,
        name: &Name,
        may_activate: bool,
        has_turn: bool,
    ) -> Result<Rc<Pool>, RouteError> {
        let active_pool = self
            .active_tenants
            .borrow()
            .get(name)
            .map(|active| active.running.pool.clone());
        if !may_activate {
            return active_pool.ok_or(RouteError::RetryAfter(MIN_ACTIVE_TIME)); // this doesn't count as a use
        }
        if active_pool.is_none() && self.damaged_tenants.borrow().contains(name) {
            return Err(DAMAGED);
        }
        if active_pool.is_none() && !has_turn && !self.activation_turns.try_acquire() {
            return Err(RouteError::NeedsTurn);
        }
        let now = self.process.now();
        let activation_result = {
            let tenants = self.active_tenants.borrow();
            let can_deactivate =
                |other: &Name| tenants.get(other).is_some_and(ActiveTenant::can_deactivate);
            self.activation
                .borrow_mut()
                .activate(now, name, can_deactivate)
        };
        match activation_result {
            Err(Deferral { retry_after, .. }) => Err(RouteError::RetryAfter(retry_after)),
            Ok(Activation::AlreadyActive) => active_pool.ok_or(NO_TENANT),
            Ok(Activation::Activated) => self.activate(name),
            Ok(Activation::ActivatedByEvicting(other)) => {
                self.deactivate(&other);
                self.activate(name)
            }
        }
    }

    /// Creates the pool of a tenant from its stored data, without yielding, so that the version can't change
    /// in between.
    fn activate(&self, name: &Name) -> Result<Rc<Pool>, RouteError> {
        let tenant = self.routes.borrow().catalog().get(name);
        let tenant = match tenant {
            Some(Ok((_, tenant))) => tenant,
            Some(Err(e)) => {
                tracing::error!(error = %e, "a tenant can't be served until it is changed");
                self.activation.borrow_mut().remove(name);
                self.damaged_tenants.borrow_mut().insert(name.clone());
                return Err(DAMAGED);
            }
            None => {
                self.activation.borrow_mut().remove(name);
                return Err(NO_TENANT);
            }
        };
        let retained = self
            .inactive_states
            .borrow_mut()
            .remove(name)
            .unwrap_or_default();
        let pool = self.start_tenant(name, tenant, retained);
        self.tenant_activated.notify_one();
        Ok(pool)
    }

    /// Starts the pool of a tenant, its account and its endpoint discovery.
    fn start_tenant(&self, name: &Name, tenant: Tenant, retained: InactiveState) -> Rc<Pool> {
        let account = self.accounts.resume(name, &quota(&tenant.limits));
        // A new seed each time, as otherwise the first request after each activation would go to the same server.
        let activations = self.activation.borrow().counters().activations;
        let seed = self.seed ^ stable_hash(name) ^ activations.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let running = self.start_pool(&tenant, &account, seed, 0);
        let start_time_of = |server: &crate::document::Server| {
            if server.warm {
                0.0
            } else {
                retained.start_time(stable_hash(&server.name))
            }
        };
        let mut active = ActiveTenant {
            start_times: StartTimes::restore(&tenant.servers, start_time_of),
            document: tenant,
            account,
            running,
            former_pools: Vec::new(),
            discovery: None,
            pending_drains: self
                .pending_drains
                .borrow()
                .get(&**name)
                .cloned()
                .unwrap_or_default(),
            seed,
            pools_created: 1,
        };
        self.update_discovery(&mut active);
        active.publish_hosts();
        if !retained.health.endpoints.is_empty() {
            active.running.feed.restore_health(retained.health);
        }
        let pool = active.running.pool.clone();
        self.max_deadline
            .set(self.max_deadline.get().max(pool.max_timeout()));
        let limited = self.add_server_user(name, &active.document);
        self.active_tenants
            .borrow_mut()
            .insert(name.clone(), active);
        let catalog = self.catalog();
        limited
            .iter()
            .for_each(|address| self.divide_server_limit(&catalog, address));
        pool
    }

    /// Deactivates a tenant and retains the state that outlasts this.
    fn deactivate(&self, name: &Name) {
        let Some(active) = self.active_tenants.borrow_mut().remove(name) else {
            return;
        };
        self.inactive_states
            .borrow_mut()
            .insert(name, self.retained_state(&active));
        let catalog = self.catalog();
        for address in self.remove_server_user(name, &active.document) {
            self.divide_server_limit(&catalog, &address);
        }
    }

    fn retained_state(&self, active: &ActiveTenant) -> InactiveState {
        let (now, unix_now) = (self.process.now(), self.process.unix_now());
        let warm_up = active.document.rules.warm_up.0;
        let start_time_of = |server: &crate::document::Server| {
            (
                stable_hash(&server.name),
                active.start_times.get(&server.name),
            )
        };
        let is_warming_up =
            |(_, start_time): &(u64, f64)| *start_time > 0.0 && unix_now - start_time < warm_up;
        let start_times: Vec<_> = active
            .document
            .servers
            .iter()
            .map(start_time_of)
            .filter(is_warming_up)
            .collect();
        let health = active.running.health_snapshot();
        let ejections = health.endpoints.iter().flat_map(|endpoint| {
            endpoint
                .overall
                .iter()
                .chain(endpoint.by_class.iter().map(|class| &class.1))
        });
        let ejection_expiries =
            ejections.map(|ejection| ejection.ejected_until.max(now) + PROBATION_RETENTION);
        let expiries = start_times
            .iter()
            .map(|(_, start_time)| now + start_time + warm_up - unix_now)
            .chain(ejection_expiries);
        InactiveState {
            expires_at: expiries.fold(now, f64::max),
            default_start_time: 0.0,
            start_times,
            health,
        }
    }

    /// Removes a tenant.
    pub(super) fn remove(&self, name: &str) {
        let name: Name = name.into();
        self.activation.borrow_mut().remove(&name);
        self.inactive_states.borrow_mut().remove(&name);
        self.damaged_tenants.borrow_mut().remove(&name);
        self.accounts.remove(&name);
        let Some(active) = self.active_tenants.borrow_mut().remove(&name) else {
            return;
        };
        // The servers get no new requests; the pool ends with those in flight.
        active.running.stop_deciding();
        active.running.feed.replace_all(Vec::new());
        active
            .former_pools
            .iter()
            .for_each(|feed| feed.replace_all(Vec::new()));
        self.remove_server_user(&name, &active.document);
    }

    /// Adds or changes an inactive tenant: only the start times of new servers have to be retained.
    pub(super) fn change_inactive(
        &self,
        next: &Catalog,
        name: &Name,
        change: Option<Change>,
        new_servers: &[(u64, bool)],
        first_version: bool,
    ) {
        if first_version {
            return;
        }
        // Client connections may still use its account.
        if change.is_some_and(|change| change.limits)
            && let Some(account) = self.accounts.existing(name)
            && let Some(Ok((_, tenant))) = next.get(name)
        {
            account.set_quota(&quota(&tenant.limits));
        }
        let (now, unix_now) = (self.process.now(), self.process.unix_now());
        let mut inactive_states = self.inactive_states.borrow_mut();
        let Some(change) = change else {
            return inactive_states.insert(
                name,
                InactiveState {
                    default_start_time: unix_now,
                    expires_at: now + START_TIME_RETENTION,
                    ..InactiveState::default()
                },
            );
        };
        let mut retained = inactive_states.remove(name).unwrap_or_default();
        if change.settings {
            retained.health = balancer::HealthSnapshot::default(); // a new load balancer starts without health state
        }
        for (server, warm) in new_servers {
            retained.reset_server(*server, if *warm { 0.0 } else { unix_now });
        }
        if new_servers.iter().any(|(_, warm)| !warm) {
            retained.expires_at = retained.expires_at.max(now + START_TIME_RETENTION);
        }
        inactive_states.insert(name, retained);
    }

    /// Changes an active tenant, or adds a tenant with endpoint discovery.
    pub(super) fn change_active(
        &self,
        name: &Name,
        tenant: Tenant,
        change: Option<Change>,
        first_version: bool,
    ) {
        let now = self.process.now();
        let uses_discovery = tenant.discovery.is_some();
        if uses_discovery {
            self.activation.borrow_mut().pin(name);
        }
        let mut tenants = self.active_tenants.borrow_mut();
        let Some(active) = tenants.get_mut(name) else {
            drop(tenants);
            let retained = self
                .inactive_states
                .borrow_mut()
                .remove(name)
                .unwrap_or_default();
            self.start_tenant(name, tenant, retained);
            return self.tenant_activated.notify_one();
        };
        if active.document.discovery.is_some() && !uses_discovery {
            self.activation.borrow_mut().unpin(now, name);
        }
        self.remove_server_user(name, &active.document);
        self.add_server_user(name, &tenant);
        active.document = tenant;
        if let Some(change) = change {
            self.apply_change(active, change, first_version);
        }
    }

    fn add_server_user(&self, name: &Name, tenant: &Tenant) -> Vec<String> {
        let limited = tenant
            .servers
            .iter()
            .filter(|server| server.connections.is_some());
        let limited: Vec<String> = limited.map(|server| server.address.clone()).collect();
        let mut limited_server_users = self.limited_server_users.borrow_mut();
        for address in &limited {
            limited_server_users
                .entry(address.clone())
                .or_default()
                .insert(name.clone());
        }
        limited
    }

    fn remove_server_user(&self, name: &Name, tenant: &Tenant) -> Vec<String> {
        let limited = tenant
            .servers
            .iter()
            .filter(|server| server.connections.is_some());
        let limited: Vec<String> = limited.map(|server| server.address.clone()).collect();
        let mut limited_server_users = self.limited_server_users.borrow_mut();
        for address in &limited {
            if let Some(users) = limited_server_users.get_mut(address) {
                users.remove(name);
                if users.is_empty() {
                    limited_server_users.remove(address);
                }
            }
        }
        limited
    }

    /// Divides the connection limit of a server among the active tenants that use it. The limit also applies
    /// to a single active tenant if inactive ones use the server, too.
    pub(super) fn divide_server_limit(&self, catalog: &Catalog, address: &str) {
        let Ok(socket_address) = address.parse() else {
            return;
        };
        let (tenants, limited_server_users) = (
            self.active_tenants.borrow(),
            self.limited_server_users.borrow(),
        );
        let mut limits = catalog.users_of_server(address);
        let (connections, is_shared) = (
            limits.next().map_or(0, |(_, connections)| connections),
            limits.next().is_some(),
        );
        let users = limited_server_users
            .get(address)
            .filter(|_| is_shared)
            .into_iter()
            .flatten();
        let member = |name| {
            let active: &ActiveTenant = tenants.get(name)?;
            Some((active.account.clone(), active.document.limits.weight))
        };
        let members: Vec<_> = users.filter_map(member).collect();
        self.accounts.set_shared_endpoint(
            service::endpoint_number(socket_address),
            connections,
            &members,
        );
    }

    /// Logs a warning if tenants that are always active take the places of others.
    pub(super) fn warn_about_pinned_tenants(&self) {
        let activation = self.activation.borrow();
        let (pinned, capacity) = (activation.pinned_count(), activation.unpinned_capacity());
        if pinned > 0 && pinned + capacity > activation.max_active() {
            tracing::warn!(
                pinned,
                resident_tenants = activation.max_active(),
                "tenants with endpoint discovery use more than their part of resident-tenants"
            );
        }
    }

    /// Deactivates idle tenants until the data plane is dropped. It sleeps while no tenant is active.
    pub(super) async fn run_deactivation(weak_data_plane: Weak<DataPlane>, interval: Duration) {
        loop {
            let Some(data_plane) = weak_data_plane.upgrade() else {
                return;
            };
            let (any_active, tenant_activated) = (
                !data_plane.active_tenants.borrow().is_empty(),
                data_plane.tenant_activated.clone(),
            );
            drop(data_plane);
            if any_active {
                sleep(interval).await;
            } else {
                tenant_activated.notified().await;
            }
            let Some(data_plane) = weak_data_plane.upgrade() else {
                return;
            };
            while data_plane.deactivate_some() == MAX_DEACTIVATIONS_PER_BATCH {
                tokio::task::yield_now().await;
            }
        }
    }

    /// Deactivates some of the tenants that have reached the idle timeout; returns their number.
    fn deactivate_some(&self) -> usize {
        let now = self.process.now();
        let deactivated = {
            let tenants = self.active_tenants.borrow();
            let can_deactivate =
                |name: &Name| tenants.get(name).is_some_and(ActiveTenant::can_deactivate);
            self.activation.borrow_mut().deactivate_idle(
                now,
                MAX_DEACTIVATIONS_PER_BATCH,
                can_deactivate,
            )
        };
        deactivated.iter().for_each(|name| self.deactivate(name));
        self.inactive_states.borrow_mut().expire(now);
        let tenants = self.active_tenants.borrow();
        self.max_deadline.set(
            tenants
                .values()
                .map(|active| active.running.pool.max_timeout())
                .max()
                .unwrap_or_default(),
        );
        deactivated.len()
    }

    /// Returns the status of a tenant.
    pub fn status_of(&self, name: &str) -> Option<TenantStatus> {
        let name = self.routes.borrow().catalog().find_name(name)?.clone();
        Some(self.status_of_name(&name))
    }

    /// Returns the status of at most `max_tenants` tenants: active ones first, each group in order of names.
    /// The number of inactive ones is limited further, as each has to be decoded.
    pub fn status(&self, max_tenants: usize) -> Vec<TenantStatus> {
        let mut statuses: Vec<TenantStatus> = self
            .active_tenants
            .borrow()
            .iter()
            .take(max_tenants)
            .map(active_status)
            .collect();
        let remaining = (max_tenants - statuses.len()).min(MAX_STATUS_READS);
        let routes = self.routes.borrow();
        let is_inactive = |name: &&Name| !self.active_tenants.borrow().contains_key(*name);
        let inactive = routes.catalog().names().filter(is_inactive).take(remaining);
        statuses.extend(inactive.map(|name| self.status_of_name(name)));
        statuses
    }

    fn status_of_name(&self, name: &Name) -> TenantStatus {
        if let Some(active) = self.active_tenants.borrow().get_key_value(name) {
            return active_status(active);
        }
        let tenant = self
            .routes
            .borrow()
            .catalog()
            .get(name)
            .and_then(Result::ok)
            .map(|(_, tenant)| tenant);
        let usage = self.accounts.usage_of(name);
        let servers_listed = tenant.as_ref().map_or(&[][..], |tenant| &tenant.servers);
        TenantStatus {
            name: name.to_string(),
            active: false,
            ready: tenant.is_some(),
            servers: [
                servers_listed
                    .iter()
                    .filter(|server| server.state == State::Up)
                    .count(),
                servers_listed.len(),
            ],
            discovery: None,
            former_pools: 0,
            sockets: usage.client_connections,
            in_flight: usage.in_flight_requests,
            bytes: usage.buffered_bytes,
            loop_ms: usage.event_loop_time,
            rejections: usage.rejections,
        }
    }

    /// Returns the servers last sent to the pool of an active tenant: name, start time as Unix time in ms, and
    /// whether it accepts new requests. For tests.
    #[doc(hidden)]
    pub fn endpoints_of(&self, name: &str) -> Vec<(String, f64, bool)> {
        let tenants = self.active_tenants.borrow();
        let hosts = tenants
            .get(name)
            .and_then(ActiveTenant::hosts)
            .unwrap_or_default();
        hosts
            .into_iter()
            .map(|host| (host.host, host.born_ms, host.health == "up"))
            .collect()
    }

    /// Returns the health state of an active tenant's servers. For tests.
    #[doc(hidden)]
    pub fn health_of(&self, name: &str) -> balancer::HealthSnapshot {
        self.active_tenants
            .borrow()
            .get(name)
            .map(|active| active.running.health_snapshot())
            .unwrap_or_default()
    }

    /// Returns numbers and counters of the activation.
    pub fn activation_status(&self) -> ActivationStatus {
        let (activation, inactive_states) =
            (self.activation.borrow(), self.inactive_states.borrow());
        let counters = activation.counters();
        ActivationStatus {
            tenants: self.routes.borrow().catalog().len(),
            active: activation.len(),
            pinned: activation.pinned_count(),
            waiting: activation.waiting_count(),
            activations: counters.activations,
            deactivations: counters.deactivations,
            evictions: counters.evictions,
            deferrals: counters.deferrals,
            damaged: self.damaged_tenants.borrow().len(),
            retained_entries: inactive_states.entries(),
            dropped_tenants: inactive_states.dropped_tenants(),
            activation_rounds: self.activation_turns.rounds.get(),
        }
    }
}

fn active_status((name, active): (&Name, &ActiveTenant)) -> TenantStatus {
    let usage = active.account.usage();
    let servers_listed = &active.document.servers;
    let servers = match &active.discovery {
        None => [
            servers_listed
                .iter()
                .filter(|server| server.state == State::Up)
                .count(),
            servers_listed.len(),
        ],
        Some(discovery) => {
            let hosts = discovery.hosts.iter().flat_map(BTreeMap::values);
            [
                hosts.clone().filter(|host| host.health == "up").count(),
                hosts.count(),
            ]
        }
    };
    let discovery_status = active
        .discovery
        .as_ref()
        .and_then(|running| running.status.as_ref())
        .map(|status| DiscoveryStatus {
            state: status.phase.to_string(),
            revision: status.revision,
            quarantined: status.endpoints.quarantined,
            retained: status.endpoints.retained,
        });
    TenantStatus {
        name: name.to_string(),
        active: true,
        ready: active.running.pool.is_ready(),
        servers,
        discovery: discovery_status,
        former_pools: active
            .former_pools
            .iter()
            .filter(|feed| feed.is_alive())
            .count(),
        sockets: usage.client_connections,
        in_flight: usage.in_flight_requests,
        bytes: usage.buffered_bytes,
        loop_ms: usage.event_loop_time,
        rejections: usage.rejections,
    }
}
