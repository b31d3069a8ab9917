//! What a change of the service comes to: which tenants come, go, get other servers or a pool anew, which listeners open
//! and close. Without I/O; carrying a plan out never fails halfway but for the listeners, which are opened first.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::document::{Listener, Server, Service, State, Tenant};
use crate::routes::Routes;

/// What happens to a tenant that stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Its classes or rules are others: it gets a new module. Requests under way end under the old one.
    pub pool: bool,
    /// Its servers are others; what the module has learned of those that stay is kept.
    pub servers: bool,
    /// Its limits are others.
    pub limits: bool,
}

impl Change {
    /// Whether nothing is other.
    pub fn is_none(self) -> bool {
        self == Change::default()
    }
}

/// What a change of the service comes to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Tenants that come, by name.
    pub added: Vec<String>,
    /// Tenants that go.
    pub removed: Vec<String>,
    /// Tenants that stay and change.
    pub changed: BTreeMap<String, Change>,
    /// Listeners that open.
    pub opened: Vec<Listener>,
    /// Listeners that close, by name. One whose address changes closes and opens.
    pub closed: Vec<String>,
    /// Ways in are others.
    pub routes: bool,
}

impl Plan {
    /// What leads from one version to another.
    pub fn between(old: &Service, new: &Service) -> Self {
        let (before, after) = (by_name(old), by_name(new));
        let mut plan = Plan::default();
        for (&name, tenant) in &after {
            match before.get(name) {
                None => plan.added.push(name.to_owned()),
                Some(other) => {
                    let change = Change {
                        pool: other.classes != tenant.classes || other.rules != tenant.rules,
                        servers: other.servers != tenant.servers || other.fleet != tenant.fleet,
                        limits: other.limits != tenant.limits,
                    };
                    if !change.is_none() {
                        plan.changed.insert(name.to_owned(), change);
                    }
                }
            }
        }
        plan.removed = before.keys().filter(|n| !after.contains_key(*n)).map(|n| (*n).to_owned()).collect();
        let at = |l: &Listener| (l.name.clone(), l.address.clone());
        let stays = |all: &[Listener], l: &Listener| all.iter().any(|o| at(o) == at(l));
        plan.opened = new.listeners.iter().filter(|l| !stays(&old.listeners, l)).cloned().collect();
        let closed = old.listeners.iter().filter(|l| !stays(&new.listeners, l));
        plan.closed = closed.map(|l| l.name.clone()).collect();
        plan.routes = Routes::of(old) != Routes::of(new);
        plan
    }

    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        *self == Plan::default()
    }
}

fn by_name(service: &Service) -> BTreeMap<&str, &Tenant> {
    service.tenants.iter().map(|t| (t.name.as_str(), t)).collect()
}

/// A change with all that can be worked out ahead of it, so that carrying it out takes the event loop little time however
/// many tenants there are.
#[derive(Clone, Debug)]
pub struct Prepared {
    /// The service as it is to be.
    pub next: Arc<Service>,
    /// What that comes to.
    pub plan: Plan,
    pub(crate) routes: Routes,
    /// The documents of tenants that come or change.
    pub(crate) tenants: Vec<Tenant>,
    /// Shared servers whose limit or users, or these users' weights, are others; one that is shared no longer has no users.
    pub(crate) shared: BTreeMap<String, (u64, Vec<String>)>,
}

impl Prepared {
    /// What leads from one version to another.
    pub fn between(old: &Service, next: Arc<Service>) -> Self {
        let plan = Plan::between(old, &next);
        let concerned = |name: &String| plan.added.contains(name) || plan.changed.contains_key(name);
        let tenants = next.tenants.iter().filter(|t| concerned(&t.name)).cloned().collect();
        let before = shared(old);
        let mut servers = shared(&next);
        for address in before.keys() {
            servers.entry(address.clone()).or_default();
        }
        let same = |users: &Vec<String>| !users.iter().any(concerned);
        servers.retain(|address, now| before.get(address) != Some(now) || !same(&now.1));
        Prepared { routes: Routes::of(&next), next, plan, tenants, shared: servers }
    }
}

/// The servers that a version ends, by tenant: those that take new work under the one before, and drain or are gone with it. Where
/// a tenant would have none left meanwhile they are not named: it needs what comes with the new version first.
pub fn ended(old: &Service, new: &Service) -> BTreeMap<String, BTreeSet<String>> {
    let after = by_name(new);
    let up = |t: &Tenant| -> BTreeSet<String> {
        t.servers.iter().filter(|s| s.state == State::Up).map(|s| s.name.clone()).collect()
    };
    let mut all = BTreeMap::new();
    for tenant in &old.tenants {
        let (before, stay) = (up(tenant), after.get(tenant.name.as_str()).map(|t| up(t)).unwrap_or_default());
        let ends: BTreeSet<String> = before.difference(&stay).cloned().collect();
        if !ends.is_empty() && ends.len() < before.len() {
            all.insert(tenant.name.clone(), ends);
        }
    }
    all
}

/// When a tenant's servers started, on Unix time in ms, as far as the service knows; 0 for long ago.
#[derive(Clone, Debug, Default)]
pub struct Births(BTreeMap<String, (String, f64)>);

impl Births {
    /// Takes note of a version's servers. Those of the first version, and those that are said to be warm, are old; others
    /// that were not there or have another address have just started.
    pub fn note(&mut self, servers: &[Server], first: bool, now_ms: f64) {
        let old = std::mem::take(&mut self.0);
        for s in servers {
            let known = old.get(&s.name).filter(|(address, _)| *address == s.address);
            let born = match known {
                Some((_, born)) => *born,
                None if first || s.warm => 0.0,
                None => now_ms,
            };
            self.0.insert(s.name.clone(), (s.address.clone(), born));
        }
    }

    /// When a server started.
    pub fn of(&self, name: &str) -> f64 {
        self.0.get(name).map_or(0.0, |(_, born)| *born)
    }
}

/// Servers that several tenants use and that have a limit: their address, how many attempts they take, and who uses them.
pub fn shared(service: &Service) -> BTreeMap<String, (u64, Vec<String>)> {
    let mut all: BTreeMap<String, (u64, Vec<String>)> = BTreeMap::new();
    for t in &service.tenants {
        for s in &t.servers {
            let Some(connections) = s.connections else { continue };
            let users = &mut all.entry(s.address.clone()).or_insert((connections, Vec::new())).1;
            if users.last() != Some(&t.name) {
                users.push(t.name.clone());
            }
        }
    }
    all.retain(|_, (_, users)| users.len() > 1);
    all
}
