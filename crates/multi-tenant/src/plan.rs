//! What a change of the service comes to: which tenants come, go, get other servers or a pool anew, which listeners open
//! and close. Without I/O; carrying a plan out never fails halfway but for the listeners, which are opened first.

use std::collections::{BTreeMap, BTreeSet};

use settings::stable_hash;

use crate::catalog::{Catalog, Difference};
use crate::document::{Listener, Server, State, Tenant};

/// What happens to a tenant that stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Its classes or rules are others: it gets a new module. Requests under way end under the old one.
    pub settings: bool,
    /// Its servers are others; what the module has learned of those that stay is kept.
    pub servers: bool,
    /// Its limits are others.
    pub limits: bool,
}

impl Change {
    /// Whether nothing is other.
    pub fn is_empty(self) -> bool {
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
    pub fn between(old: &Catalog, new: &Catalog) -> Self {
        let mut plan = Plan::default();
        for difference in Catalog::differences(old, new) {
            match difference {
                Difference::Added(name) => plan.added.push(name.to_string()),
                Difference::Removed(name) => plan.removed.push(name.to_string()),
                Difference::Changed(name) => {
                    let (was, is) = (
                        old.get(name).and_then(Result::ok),
                        new.get(name).and_then(Result::ok),
                    );
                    let (Some((_, was)), Some((_, is))) = (was, is) else {
                        // What is damaged is made anew of what there is now.
                        let all = Change {
                            settings: true,
                            servers: true,
                            limits: true,
                        };
                        plan.changed.insert(name.to_string(), all);
                        plan.routes = true;
                        continue;
                    };
                    plan.routes |= was.hosts != is.hosts;
                    let change = Change {
                        settings: was.classes != is.classes || was.rules != is.rules,
                        servers: was.servers != is.servers || was.discovery != is.discovery,
                        limits: was.limits != is.limits,
                    };
                    if !change.is_empty() {
                        plan.changed.insert(name.to_string(), change);
                    }
                }
            }
        }
        let (before, after) = (&old.base().listeners, &new.base().listeners);
        let at = |l: &Listener| (l.name.clone(), l.address.clone());
        let stays = |all: &[Listener], l: &Listener| all.iter().any(|o| at(o) == at(l));
        plan.opened = after
            .iter()
            .filter(|l| !stays(before, l))
            .cloned()
            .collect();
        plan.closed = before
            .iter()
            .filter(|l| !stays(after, l))
            .map(|l| l.name.clone())
            .collect();
        plan.routes |= !plan.added.is_empty() || !plan.removed.is_empty() || before != after;
        plan
    }

    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        *self == Plan::default()
    }
}

/// A change with all that can be worked out ahead of it, so that carrying it out takes the event loop little time however
/// many tenants there are.
#[derive(Clone, Debug)]
pub struct PreparedChange {
    /// The service as it is to be.
    pub next: Catalog,
    /// What that comes to.
    pub plan: Plan,
    /// Servers with limits whose users, or these users' weights, may be others.
    pub(crate) limited_servers: BTreeSet<String>,
    /// Tenants that come or change, and whose list is followed.
    pub(crate) discovered_tenants: BTreeSet<String>,
    /// Servers that come, or come under another address, of tenants that change: their numbers, and whether they are warm.
    pub(crate) new_servers: BTreeMap<String, Vec<(u64, bool)>>,
}

impl PreparedChange {
    /// What leads from one version to another.
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
            let of = |c: &Catalog| c.get(name).and_then(Result::ok).map(|(_, tenant)| tenant);
            let (was, is) = (of(old), of(&next));
            for tenant in was.iter().chain(&is) {
                let of = tenant.servers.iter().filter(|s| s.connections.is_some());
                limited_servers.extend(of.map(|s| s.address.clone()));
            }
            let Some(is) = is else { continue };
            if is.discovery.is_some() {
                discovered_tenants.insert(name.clone());
            }
            if plan.changed.get(name).is_some_and(|c| c.servers) {
                let before: BTreeMap<&str, &str> = was
                    .iter()
                    .flat_map(|t| &t.servers)
                    .map(|s| (&*s.name, &*s.address))
                    .collect();
                let comes = |s: &&Server| before.get(&*s.name) != Some(&&*s.address);
                let comes = is
                    .servers
                    .iter()
                    .filter(comes)
                    .map(|s| (stable_hash(&s.name), s.warm));
                new_servers.insert(name.clone(), comes.collect());
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

/// The servers that a version ends, by tenant: those that take new work under the one before, and drain or are gone with it. Where
/// a tenant would have none left meanwhile they are not named: it needs what comes with the new version first.
pub fn ended_servers(old: &Catalog, new: &Catalog) -> BTreeMap<String, BTreeSet<String>> {
    let up = |t: Tenant| -> BTreeSet<String> {
        t.servers
            .into_iter()
            .filter(|s| s.state == State::Up)
            .map(|s| s.name)
            .collect()
    };
    let of = |c: &Catalog, name: &str| {
        c.get(name)
            .and_then(Result::ok)
            .map(|(_, t)| up(t))
            .unwrap_or_default()
    };
    let mut all = BTreeMap::new();
    for difference in Catalog::differences(old, new) {
        let (Difference::Changed(name) | Difference::Removed(name)) = difference else {
            continue;
        };
        let (before, stay) = (of(old, name), of(new, name));
        let ends: BTreeSet<String> = before.difference(&stay).cloned().collect();
        if !ends.is_empty() && ends.len() < before.len() {
            all.insert(name.to_string(), ends);
        }
    }
    all
}

/// When a tenant's servers started, on Unix time in ms, as far as the service knows; 0 for long ago.
#[derive(Clone, Debug, Default)]
pub struct StartTimes(BTreeMap<String, (String, f64)>);

impl StartTimes {
    /// Takes note of a version's servers. Those of the first version, and those that are said to be warm, are old; others
    /// that were not there or have another address have just started.
    pub fn update(&mut self, servers: &[Server], first: bool, now_ms: f64) {
        let old = std::mem::take(&mut self.0);
        for s in servers {
            let known = old
                .get(&s.name)
                .filter(|(address, _)| *address == s.address);
            let born = match known {
                Some((_, born)) => *born,
                None if first || s.warm => 0.0,
                None => now_ms,
            };
            self.0.insert(s.name.clone(), (s.address.clone(), born));
        }
    }

    /// As they were told before, by the servers' names.
    pub(crate) fn restore(servers: &[Server], born: impl Fn(&Server) -> f64) -> Self {
        let one = |s: &Server| (s.name.clone(), (s.address.clone(), born(s)));
        StartTimes(servers.iter().map(one).collect())
    }

    /// When a server started.
    pub fn get(&self, name: &str) -> f64 {
        self.0.get(name).map_or(0.0, |(_, born)| *born)
    }
}
