//! Determines the effects of a change of the service: which tenants are added, removed, or get other
//! servers or a new pool, and which listeners open and close. Without I/O. Only opening listeners can
//! fail when a plan is applied, so these are opened first.

use std::collections::{BTreeMap, BTreeSet};

use settings::stable_hash;

use crate::catalog::{Catalog, Difference};
use crate::document::{Listener, Server, State, Tenant};

/// Change of a tenant that exists before and after.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Its classes or rules have changed: it gets a new pool. Requests in flight finish in the old one.
    pub settings: bool,
    /// Its servers have changed; the load balancer keeps its state of the remaining ones.
    pub servers: bool,
    /// Its limits have changed.
    pub limits: bool,
}

impl Change {
    /// Returns true if nothing has changed.
    pub fn is_empty(self) -> bool {
        self == Change::default()
    }
}

/// Effects of a change of the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Names of added tenants.
    pub added: Vec<String>,
    /// Names of removed tenants.
    pub removed: Vec<String>,
    /// Changed tenants by name.
    pub changed: BTreeMap<String, Change>,
    /// Listeners to open.
    pub opened: Vec<Listener>,
    /// Names of listeners to close. A listener whose address changes is closed and opened.
    pub closed: Vec<String>,
    /// The routing of requests to tenants has changed.
    pub routes: bool,
}

impl Plan {
    /// Compares two versions.
    pub fn between(old: &Catalog, new: &Catalog) -> Self {
        let mut plan = Plan::default();
        for difference in Catalog::differences(old, new) {
            match difference {
                Difference::Added(name) => plan.added.push(name.to_string()),
                Difference::Removed(name) => plan.removed.push(name.to_string()),
                Difference::Changed(name) => {
                    let (old_tenant, new_tenant) = (
                        old.get(name).and_then(Result::ok),
                        new.get(name).and_then(Result::ok),
                    );
                    let (Some((_, old_tenant)), Some((_, new_tenant))) = (old_tenant, new_tenant)
                    else {
                        // A tenant whose stored data is damaged is set up again completely.
                        let all_changed = Change {
                            settings: true,
                            servers: true,
                            limits: true,
                        };
                        plan.changed.insert(name.to_string(), all_changed);
                        plan.routes = true;
                        continue;
                    };
                    plan.routes |= old_tenant.hosts != new_tenant.hosts;
                    let change = Change {
                        settings: old_tenant.classes != new_tenant.classes
                            || old_tenant.rules != new_tenant.rules,
                        servers: old_tenant.servers != new_tenant.servers
                            || old_tenant.discovery != new_tenant.discovery,
                        limits: old_tenant.limits != new_tenant.limits,
                    };
                    if !change.is_empty() {
                        plan.changed.insert(name.to_string(), change);
                    }
                }
            }
        }
        let (before, after) = (&old.base().listeners, &new.base().listeners);
        let identity = |listener: &Listener| (listener.name.clone(), listener.address.clone());
        let contains = |all: &[Listener], listener: &Listener| {
            all.iter()
                .any(|other| identity(other) == identity(listener))
        };
        plan.opened = after
            .iter()
            .filter(|listener| !contains(before, listener))
            .cloned()
            .collect();
        plan.closed = before
            .iter()
            .filter(|listener| !contains(after, listener))
            .map(|listener| listener.name.clone())
            .collect();
        plan.routes |= !plan.added.is_empty() || !plan.removed.is_empty() || before != after;
        plan
    }

    /// Returns true if nothing changes.
    pub fn is_empty(&self) -> bool {
        *self == Plan::default()
    }
}

/// A change with everything that can be computed in advance, so that applying it takes little time of the
/// event loop for any number of tenants.
#[derive(Clone, Debug)]
pub struct PreparedChange {
    /// Tenants and settings of the next version.
    pub next: Catalog,
    /// Effects of the change.
    pub plan: Plan,
    /// Addresses of servers with a connection limit whose tenants, or the weights of these, may have changed.
    pub(crate) limited_servers: BTreeSet<String>,
    /// Added and changed tenants with endpoint discovery.
    pub(crate) discovered_tenants: BTreeSet<String>,
    /// Servers of changed tenants that are added or have a new address: the stable hashes of their names,
    /// and whether they skip the warm-up.
    pub(crate) new_servers: BTreeMap<String, Vec<(u64, bool)>>,
}

impl PreparedChange {
    /// Prepares the change from one version to another.
    pub fn between(old: &Catalog, next: Catalog) -> Self {
        let plan = Plan::between(old, &next);
        let (mut limited_servers, mut discovered_tenants, mut new_servers) =
            (BTreeSet::new(), BTreeSet::new(), BTreeMap::new());
        for name in plan
            .added
            .iter()
            .chain(&plan.removed)
            .chain(plan.changed.keys())
        {
            let tenant_in = |catalog: &Catalog| {
                catalog
                    .get(name)
                    .and_then(Result::ok)
                    .map(|(_, tenant)| tenant)
            };
            let (old_tenant, new_tenant) = (tenant_in(old), tenant_in(&next));
            for tenant in old_tenant.iter().chain(&new_tenant) {
                let limited = tenant
                    .servers
                    .iter()
                    .filter(|server| server.connections.is_some());
                limited_servers.extend(limited.map(|server| server.address.clone()));
            }
            let Some(new_tenant) = new_tenant else {
                continue;
            };
            if new_tenant.discovery.is_some() {
                discovered_tenants.insert(name.clone());
            }
            if plan.changed.get(name).is_some_and(|change| change.servers) {
                let before: BTreeMap<&str, &str> = old_tenant
                    .iter()
                    .flat_map(|tenant| &tenant.servers)
                    .map(|server| (&*server.name, &*server.address))
                    .collect();
                let is_new =
                    |server: &&Server| before.get(&*server.name) != Some(&&*server.address);
                let new = new_tenant
                    .servers
                    .iter()
                    .filter(is_new)
                    .map(|server| (stable_hash(&server.name), server.warm));
                new_servers.insert(name.clone(), new.collect());
            }
        }
        PreparedChange {
            next,
            plan,
            limited_servers,
            discovered_tenants,
            new_servers,
        }
    }
}

/// Returns the servers that a new version stops using, by tenant: those that accept new requests in the
/// old version and are draining or removed in the new one. Tenants for which these are all servers are left
/// out: they need the servers of the new version first.
pub fn ended_servers(old: &Catalog, new: &Catalog) -> BTreeMap<String, BTreeSet<String>> {
    let names_up = |tenant: Tenant| -> BTreeSet<String> {
        tenant
            .servers
            .into_iter()
            .filter(|server| server.state == State::Up)
            .map(|server| server.name)
            .collect()
    };
    let servers_up = |catalog: &Catalog, name: &str| {
        catalog
            .get(name)
            .and_then(Result::ok)
            .map(|(_, tenant)| names_up(tenant))
            .unwrap_or_default()
    };
    let mut ended_by_tenant = BTreeMap::new();
    for difference in Catalog::differences(old, new) {
        let (Difference::Changed(name) | Difference::Removed(name)) = difference else {
            continue;
        };
        let (before, after) = (servers_up(old, name), servers_up(new, name));
        let ended: BTreeSet<String> = before.difference(&after).cloned().collect();
        if !ended.is_empty() && ended.len() < before.len() {
            ended_by_tenant.insert(name.to_string(), ended);
        }
    }
    ended_by_tenant
}

/// Start times of a tenant's servers as Unix time in ms, as far as known; 0 for long ago.
#[derive(Clone, Debug, Default)]
pub struct StartTimes(BTreeMap<String, (String, f64)>);

impl StartTimes {
    /// Updates the start times for the servers of a version. New servers, and those with another address,
    /// have just started, except in the first version and if they are marked as warm.
    pub fn update(&mut self, servers: &[Server], first_version: bool, now_ms: f64) {
        let old = std::mem::take(&mut self.0);
        for server in servers {
            let known = old
                .get(&server.name)
                .filter(|(address, _)| *address == server.address);
            let start_time = match known {
                Some((_, start_time)) => *start_time,
                None if first_version || server.warm => 0.0,
                None => now_ms,
            };
            self.0
                .insert(server.name.clone(), (server.address.clone(), start_time));
        }
    }

    /// Restores start times from a function.
    pub(crate) fn restore(servers: &[Server], start_time: impl Fn(&Server) -> f64) -> Self {
        let entry = |server: &Server| {
            (
                server.name.clone(),
                (server.address.clone(), start_time(server)),
            )
        };
        StartTimes(servers.iter().map(entry).collect())
    }

    /// Returns the start time of a server.
    pub fn get(&self, name: &str) -> f64 {
        self.0.get(name).map_or(0.0, |(_, start_time)| *start_time)
    }
}
