//! How tenants wake and are put to rest, and how those fare that are there.

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

use super::{DataPlane, DiscoveryStatus, Live, NO_TENANT, TenantStatus, caps};
use crate::catalog::{Catalog, Name};
use crate::document::{Process, State, Tenant};
use crate::inactive_state::{self, InactiveState};
use crate::plan::{Change, StartTimes};

/// A resident keeps its place for so long at least. Short, as at the size ahead one is asked for once in minutes, and long beside what
/// it takes to wake.
const LEAST_STAY: Millis = 250.0;
/// How long a turn in the line is kept beyond the time that its tenant was told.
const HOLD: Millis = 2_000.0;
/// Tenants that wait in the line at most.
const MOST_WAITING: usize = 4096;
/// Tenants woken in one round of the event loop, before whatever else is ready has its turn.
const WAKES: usize = 4;
/// Tenants put to rest in one look, likewise.
const RESTS: usize = 64;
/// A server that is back from a closing and has not proved itself yet is remembered for so long; after that it is as good as new.
const ON_TRIAL: Millis = 600_000.0;
/// A tenant that comes while it is at rest has its servers for cold for so long at most.
const ALL_COLD: Millis = 3_600_000.0;

/// Tenants at rest that are read for one status.
const MOST_READ: usize = 256;

const DAMAGED: RouteError = RouteError::Status(StatusCode::SERVICE_UNAVAILABLE, "unavailable");

/// Bounds of the active tenants.
pub(super) fn terms(process: &Process) -> ActivationLimits {
    ActivationLimits {
        max_active: process.max_active_tenants as usize,
        idle_timeout: process.idle_timeout.0,
        min_active_time: LEAST_STAY,
        retry_grace_period: HOLD,
        max_waiting: MOST_WAITING,
    }
}

/// Between two looks at who may rest.
pub(super) fn look(process: &Process) -> Duration {
    Duration::from_secs_f64((process.idle_timeout.0 / 4000.0).clamp(0.1, 5.0))
}

/// The turns in which tenants are woken, in the order of asking: a few in each round of the event loop.
pub(super) struct ActivationTurns {
    left: Semaphore,
    taken: Notify,
    /// Rounds in which some were woken.
    rounds: Cell<u64>,
}

impl ActivationTurns {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(ActivationTurns {
            left: Semaphore::new(WAKES),
            taken: Notify::new(),
            rounds: Cell::new(0),
        })
    }

    /// Gives turns for as long as the process runs.
    pub(super) async fn give(self: Rc<Self>) {
        loop {
            self.taken.notified().await;
            // Whoever is ready goes before the next round, and what has come in meanwhile is looked for.
            tokio::task::yield_now().await;
            self.rounds.set(self.rounds.get() + 1);
            self.left
                .add_permits(WAKES - self.left.available_permits().min(WAKES));
        }
    }

    /// Waits for a turn and takes it.
    pub(super) async fn take(self: Rc<Self>) {
        if let Ok(turn) = self.left.acquire().await {
            turn.forget();
        }
        self.taken.notify_one();
    }

    fn try_take(&self) -> bool {
        let taken = self.left.try_acquire().map(|turn| turn.forget()).is_ok();
        if taken {
            self.taken.notify_one();
        }
        taken
    }
}

/// How many tenants are there, how many of them are resident, and what has come of it since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Residency")]
pub struct ActivationStatus {
    /// All.
    pub tenants: usize,
    /// Those that are resident.
    #[serde(rename = "resident")]
    pub active: usize,
    /// Those of them that stay, as their lists are followed.
    pub pinned: usize,
    /// Those that wait for a place.
    pub waiting: usize,
    /// Times that one was woken.
    #[serde(rename = "wakes")]
    pub activations: u64,
    /// Times that one was put to rest.
    #[serde(rename = "rests")]
    pub deactivations: u64,
    /// Those of them for which another wanted the place.
    pub evictions: u64,
    /// Requests refused for want of a place.
    #[serde(rename = "refused")]
    pub deferrals: u64,
    /// Tenants that can't be woken, as what is held of them is damaged.
    pub damaged: usize,
    /// Servers of tenants at rest of which something is remembered.
    #[serde(rename = "remembered")]
    pub retained_entries: usize,
    /// Tenants of which something was forgotten early, as there was too much to remember.
    #[serde(rename = "forgotten")]
    pub dropped_tenants: u64,
    /// Rounds of the event loop in which some were woken.
    #[serde(rename = "rounds")]
    pub activation_rounds: u64,
}

impl Live {
    /// Whether it can be put to rest, and no request notices.
    fn may_rest(&self) -> bool {
        self.followed.is_none()
            && self.running.is_idle()
            && !self.former.iter().any(EndpointFeed::is_alive)
            // One of which there is more to say than is kept stays; a small one never is.
            && (self.document.servers.len() < inactive_state::MAX_ENTRIES_PER_TENANT
                || self.running.health_snapshot().endpoints.len() <= inactive_state::MAX_ENTRIES_PER_TENANT)
    }
}

impl DataPlane {
    /// The pool of a tenant that is there; one at rest is woken if it may be, and has had its turn.
    pub(super) fn pool_of(
        &self,
        name: &Name,
        may_wake: bool,
        turn: bool,
    ) -> Result<Rc<Pool>, RouteError> {
        let resident = self
            .tenants
            .borrow()
            .get(name)
            .map(|live| live.running.pool.clone());
        if !may_wake {
            return resident.ok_or(RouteError::RetryAfter(LEAST_STAY)); // nor is it kept awake by that
        }
        if resident.is_none() && self.damaged.borrow().contains(name) {
            return Err(DAMAGED);
        }
        if resident.is_none() && !turn && !self.turns.try_take() {
            return Err(RouteError::NeedsTurn);
        }
        let now = self.process.now();
        let admission = {
            let tenants = self.tenants.borrow();
            let may_rest = |other: &Name| tenants.get(other).is_some_and(Live::may_rest);
            self.residents.borrow_mut().activate(now, name, may_rest)
        };
        match admission {
            Err(Deferral { retry_after, .. }) => Err(RouteError::RetryAfter(retry_after)),
            Ok(Activation::AlreadyActive) => resident.ok_or(NO_TENANT),
            Ok(Activation::Activated) => self.wake(name),
            Ok(Activation::ActivatedByEvicting(other)) => {
                self.put_to_rest(&other);
                self.wake(name)
            }
        }
    }

    /// Makes a tenant's pool out of what is held of it, in this turn: no version comes between.
    fn wake(&self, name: &Name) -> Result<Rc<Pool>, RouteError> {
        let tenant = self.routes.borrow().catalog().get(name);
        let tenant = match tenant {
            Some(Ok((_, tenant))) => tenant,
            Some(Err(e)) => {
                tracing::error!(error = %e, "a tenant can't be served until it is changed");
                self.residents.borrow_mut().remove(name);
                self.damaged.borrow_mut().insert(name.clone());
                return Err(DAMAGED);
            }
            None => {
                self.residents.borrow_mut().remove(name);
                return Err(NO_TENANT);
            }
        };
        let digest = self.digests.borrow_mut().remove(name).unwrap_or_default();
        let pool = self.start(name, tenant, digest);
        self.some_reside.notify_one();
        Ok(pool)
    }

    /// Starts what a resident has.
    fn start(&self, name: &Name, tenant: Tenant, digest: InactiveState) -> Rc<Pool> {
        let account = self.book.resume(name, &caps(&tenant.limits));
        // Another draw each time, or the first request after each rest would go the same way.
        let wakes = self.residents.borrow().counters().activations;
        let seed = self.seed ^ stable_hash(name) ^ wakes.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let running = self.pool(&tenant, &account, seed, 0);
        let born = |s: &crate::document::Server| {
            if s.warm {
                0.0
            } else {
                digest.start_time(stable_hash(&s.name))
            }
        };
        let mut live = Live {
            births: StartTimes::restore(&tenant.servers, born),
            document: tenant,
            account,
            running,
            former: Vec::new(),
            followed: None,
            held_off: self
                .held_off
                .borrow()
                .get(&**name)
                .cloned()
                .unwrap_or_default(),
            seed,
            pools: 1,
        };
        self.attend(&mut live);
        live.tell();
        if !digest.health.endpoints.is_empty() {
            live.running.feed.restore_health(digest.health);
        }
        let pool = live.running.pool.clone();
        self.longest.set(self.longest.get().max(pool.max_timeout()));
        let limited = self.join_servers(name, &live.document);
        self.tenants.borrow_mut().insert(name.clone(), live);
        let catalog = self.catalog();
        limited
            .iter()
            .for_each(|address| self.share_server(&catalog, address));
        pool
    }

    /// A resident is at rest from here on. What outlasts that is kept.
    fn put_to_rest(&self, name: &Name) {
        let Some(live) = self.tenants.borrow_mut().remove(name) else {
            return;
        };
        self.digests.borrow_mut().insert(name, self.digest(&live));
        let catalog = self.catalog();
        for address in self.leave_servers(name, &live.document) {
            self.share_server(&catalog, &address);
        }
    }

    fn digest(&self, live: &Live) -> InactiveState {
        let (now, unix) = (self.process.now(), self.process.unix_now());
        let cold = live.document.rules.warm_up.0;
        let born = |s: &crate::document::Server| (stable_hash(&s.name), live.births.get(&s.name));
        let young = |(_, born): &(u64, f64)| *born > 0.0 && unix - born < cold;
        let start_times: Vec<_> = live
            .document
            .servers
            .iter()
            .map(born)
            .filter(young)
            .collect();
        let health = live.running.health_snapshot();
        let ejected = health
            .endpoints
            .iter()
            .flat_map(|s| s.overall.iter().chain(s.by_class.iter().map(|c| &c.1)));
        let closings = ejected.map(|e| e.ejected_until.max(now) + ON_TRIAL);
        let ends = start_times
            .iter()
            .map(|(_, born)| now + born + cold - unix)
            .chain(closings);
        InactiveState {
            expires_at: ends.fold(now, f64::max),
            default_start_time: 0.0,
            start_times,
            health,
        }
    }

    /// A tenant is no more.
    pub(super) fn remove(&self, name: &str) {
        let name: Name = name.into();
        self.residents.borrow_mut().remove(&name);
        self.digests.borrow_mut().remove(&name);
        self.damaged.borrow_mut().remove(&name);
        self.book.forget(&name);
        let Some(live) = self.tenants.borrow_mut().remove(&name) else {
            return;
        };
        // Its servers get nothing new; what is under way there ends, and with it the pool.
        live.running.stop_deciding();
        live.running.feed.replace_all(Vec::new());
        live.former.iter().for_each(|f| f.replace_all(Vec::new()));
        self.leave_servers(&name, &live.document);
    }

    /// A tenant at rest comes or changes: all that there is to do is to note which of its servers have just started.
    pub(super) fn change_at_rest(
        &self,
        next: &Catalog,
        name: &Name,
        change: Option<Change>,
        brought: &[(u64, bool)],
        first: bool,
    ) {
        if first {
            return;
        }
        // Its clients' connections may hold its account still.
        if change.is_some_and(|c| c.limits)
            && let Some(account) = self.book.held(name)
            && let Some(Ok((_, tenant))) = next.get(name)
        {
            account.set(&caps(&tenant.limits));
        }
        let (now, unix) = (self.process.now(), self.process.unix_now());
        let mut digests = self.digests.borrow_mut();
        let Some(change) = change else {
            return digests.insert(
                name,
                InactiveState {
                    default_start_time: unix,
                    expires_at: now + ALL_COLD,
                    ..InactiveState::default()
                },
            );
        };
        let mut digest = digests.remove(name).unwrap_or_default();
        if change.settings {
            digest.health = balancer::HealthSnapshot::default(); // a new module learns anew
        }
        for (server, warm) in brought {
            digest.reset_server(*server, if *warm { 0.0 } else { unix });
        }
        if brought.iter().any(|(_, warm)| !warm) {
            digest.expires_at = digest.expires_at.max(now + ALL_COLD);
        }
        digests.insert(name, digest);
    }

    /// A resident changes, or a tenant whose list is followed comes.
    pub(super) fn change_resident(
        &self,
        name: &Name,
        tenant: Tenant,
        change: Option<Change>,
        first: bool,
    ) {
        let now = self.process.now();
        let follows = tenant.discovery.is_some();
        if follows {
            self.residents.borrow_mut().pin(name);
        }
        let mut tenants = self.tenants.borrow_mut();
        let Some(live) = tenants.get_mut(name) else {
            drop(tenants);
            let digest = self.digests.borrow_mut().remove(name).unwrap_or_default();
            self.start(name, tenant, digest);
            return self.some_reside.notify_one();
        };
        if live.document.discovery.is_some() && !follows {
            self.residents.borrow_mut().unpin(now, name);
        }
        self.leave_servers(name, &live.document);
        self.join_servers(name, &tenant);
        live.document = tenant;
        if let Some(change) = change {
            self.change(live, change, first);
        }
    }

    fn join_servers(&self, name: &Name, tenant: &Tenant) -> Vec<String> {
        let limited = tenant.servers.iter().filter(|s| s.connections.is_some());
        let limited: Vec<String> = limited.map(|s| s.address.clone()).collect();
        let mut sharers = self.sharers.borrow_mut();
        for address in &limited {
            sharers
                .entry(address.clone())
                .or_default()
                .insert(name.clone());
        }
        limited
    }

    fn leave_servers(&self, name: &Name, tenant: &Tenant) -> Vec<String> {
        let limited = tenant.servers.iter().filter(|s| s.connections.is_some());
        let limited: Vec<String> = limited.map(|s| s.address.clone()).collect();
        let mut sharers = self.sharers.borrow_mut();
        for address in &limited {
            if let Some(users) = sharers.get_mut(address) {
                users.remove(name);
                if users.is_empty() {
                    sharers.remove(address);
                }
            }
        }
        limited
    }

    /// Divides a server with a limit among the residents that use it. Where others use it, too, that are at rest, the limit holds for
    /// one alone.
    pub(super) fn share_server(&self, catalog: &Catalog, address: &str) {
        let Ok(at) = address.parse() else { return };
        let (tenants, sharers) = (self.tenants.borrow(), self.sharers.borrow());
        let mut all = catalog.users_of_server(address);
        let (connections, several) = (
            all.next().map_or(0, |(_, connections)| connections),
            all.next().is_some(),
        );
        let users = sharers
            .get(address)
            .filter(|_| several)
            .into_iter()
            .flatten();
        let member = |name| {
            let live: &Live = tenants.get(name)?;
            Some((live.account.clone(), live.document.limits.weight))
        };
        let members: Vec<_> = users.filter_map(member).collect();
        self.book
            .share_server(service::endpoint_number(at), connections, &members);
    }

    /// Says so where those that stay whatever happens take the others' places.
    pub(super) fn warn_of_pinned(&self) {
        let residents = self.residents.borrow();
        let (pinned, places) = (residents.pinned_count(), residents.unpinned_capacity());
        if pinned > 0 && pinned + places > residents.max_active() {
            tracing::warn!(
                pinned,
                resident_tenants = residents.max_active(),
                "tenants whose lists are followed take more than their part of resident-tenants"
            );
        }
    }

    /// Puts to rest whom nobody asks for, for as long as the plane is there. While nobody is resident it takes no time.
    pub(super) async fn look_after(plane: Weak<DataPlane>, every: Duration) {
        loop {
            let Some(here) = plane.upgrade() else { return };
            let (some, comes) = (!here.tenants.borrow().is_empty(), here.some_reside.clone());
            drop(here);
            if some {
                sleep(every).await;
            } else {
                comes.notified().await;
            }
            let Some(plane) = plane.upgrade() else { return };
            while plane.rest_some() == RESTS {
                tokio::task::yield_now().await;
            }
        }
    }

    /// Puts some of those to rest that were idle for long enough; tells how many.
    fn rest_some(&self) -> usize {
        let now = self.process.now();
        let rests = {
            let tenants = self.tenants.borrow();
            let may_rest = |name: &Name| tenants.get(name).is_some_and(Live::may_rest);
            self.residents
                .borrow_mut()
                .deactivate_idle(now, RESTS, may_rest)
        };
        rests.iter().for_each(|name| self.put_to_rest(name));
        self.digests.borrow_mut().expire(now);
        let tenants = self.tenants.borrow();
        self.longest.set(
            tenants
                .values()
                .map(|live| live.running.pool.max_timeout())
                .max()
                .unwrap_or_default(),
        );
        rests.len()
    }

    /// How one tenant fares.
    pub fn status_of(&self, name: &str) -> Option<TenantStatus> {
        let name = self.routes.borrow().catalog().find_name(name)?.clone();
        Some(self.status_by(&name))
    }

    /// How the tenants fare, so many of them at most: residents first, each group by name, and few of those at rest, as each of these
    /// has to be read.
    pub fn status(&self, most: usize) -> Vec<TenantStatus> {
        let mut all: Vec<TenantStatus> = self
            .tenants
            .borrow()
            .iter()
            .take(most)
            .map(status)
            .collect();
        let left = (most - all.len()).min(MOST_READ);
        let routes = self.routes.borrow();
        let at_rest = |name: &&Name| !self.tenants.borrow().contains_key(*name);
        let rest = routes.catalog().names().filter(at_rest).take(left);
        all.extend(rest.map(|name| self.status_by(name)));
        all
    }

    fn status_by(&self, name: &Name) -> TenantStatus {
        if let Some(live) = self.tenants.borrow().get_key_value(name) {
            return status(live);
        }
        let tenant = self
            .routes
            .borrow()
            .catalog()
            .get(name)
            .and_then(Result::ok)
            .map(|(_, tenant)| tenant);
        let used = self.book.used_by(name);
        let listed = tenant.as_ref().map_or(&[][..], |t| &t.servers);
        TenantStatus {
            name: name.to_string(),
            active: false,
            ready: tenant.is_some(),
            servers: [
                listed.iter().filter(|s| s.state == State::Up).count(),
                listed.len(),
            ],
            discovery: None,
            former_pools: 0,
            sockets: used.client_connections,
            in_flight: used.in_flight_requests,
            bytes: used.buffered_bytes,
            loop_ms: used.event_loop_time,
            rejections: used.rejections,
        }
    }

    /// A resident's servers as its module was told last: name, when it started on Unix time in ms, whether it takes new work. For tests.
    #[doc(hidden)]
    pub fn endpoints_of(&self, name: &str) -> Vec<(String, f64, bool)> {
        let tenants = self.tenants.borrow();
        let hosts = tenants.get(name).and_then(Live::hosts).unwrap_or_default();
        hosts
            .into_iter()
            .map(|h| (h.host, h.born_ms, h.health == "up"))
            .collect()
    }

    /// What a resident's module holds against its servers. For tests.
    #[doc(hidden)]
    pub fn health_of(&self, name: &str) -> balancer::HealthSnapshot {
        self.tenants
            .borrow()
            .get(name)
            .map(|live| live.running.health_snapshot())
            .unwrap_or_default()
    }

    /// How many are resident, and what has come of it.
    pub fn activation_status(&self) -> ActivationStatus {
        let (residents, digests) = (self.residents.borrow(), self.digests.borrow());
        let counters = residents.counters();
        ActivationStatus {
            tenants: self.routes.borrow().catalog().len(),
            active: residents.len(),
            pinned: residents.pinned_count(),
            waiting: residents.waiting_count(),
            activations: counters.activations,
            deactivations: counters.deactivations,
            evictions: counters.evictions,
            deferrals: counters.deferrals,
            damaged: self.damaged.borrow().len(),
            retained_entries: digests.entries(),
            dropped_tenants: digests.dropped_tenants(),
            activation_rounds: self.turns.rounds.get(),
        }
    }
}

fn status((name, live): (&Name, &Live)) -> TenantStatus {
    let used = live.account.used();
    let listed = &live.document.servers;
    let servers = match &live.followed {
        None => [
            listed.iter().filter(|s| s.state == State::Up).count(),
            listed.len(),
        ],
        Some(followed) => {
            let hosts = followed.hosts.iter().flat_map(BTreeMap::values);
            [
                hosts.clone().filter(|h| h.health == "up").count(),
                hosts.count(),
            ]
        }
    };
    let followed = live
        .followed
        .as_ref()
        .and_then(|f| f.status.as_ref())
        .map(|s| DiscoveryStatus {
            state: s.phase.to_string(),
            revision: s.revision,
            quarantined: s.endpoints.quarantined,
            retained: s.endpoints.retained,
        });
    TenantStatus {
        name: name.to_string(),
        active: true,
        ready: live.running.pool.is_ready(),
        servers,
        discovery: followed,
        former_pools: live.former.iter().filter(|f| f.is_alive()).count(),
        sockets: used.client_connections,
        in_flight: used.in_flight_requests,
        bytes: used.buffered_bytes,
        loop_ms: used.event_loop_time,
        rejections: used.rejections,
    }
}
