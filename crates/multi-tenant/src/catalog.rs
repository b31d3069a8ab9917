//! The tenants of a version at rest: what a process holds of all whom it may have to serve, of which most have no request now.
//!
//! Each tenant is three packed parts with a checksum behind each: what is its own (hosts, where its list is followed), its terms
//! (classes, rules, limits) and its servers. Parts that are the same are held once, so that tenants of one service share its list of
//! servers, and those of one product its classes. A catalog is a value: a change makes another one, which shares all that it does not
//! touch, and the one before stays whole for whoever holds it. Without I/O.

use std::collections::BTreeSet;
use std::hash::BuildHasher as _;
use std::ops::Bound;
use std::sync::{Arc, Weak};

use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::document::{Class, DiscoverySettings, Limits, Rules, Server, Service, Tenant};
use crate::routes::normalize_host;

/// A tenant's name.
pub type Name = Arc<str>;
type Block = Arc<[u8]>;

/// Bytes of the checksum behind a part.
const SUM: usize = 4;

/// What is held of a tenant does not fit its checksum, or can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("what is held of tenant \"{tenant}\" is damaged ({part})")]
pub struct DamagedTenant {
    /// Whose.
    pub tenant: String,
    /// Which part.
    pub part: &'static str,
}

/// What is a tenant's own.
#[derive(Serialize, Deserialize)]
struct Own {
    rev: u64,
    hosts: Vec<String>,
    fleet: Option<DiscoverySettings>,
}

/// What tenants of one product have in common.
#[derive(Serialize, Deserialize)]
struct Terms {
    classes: Vec<Class>,
    limits: Limits,
    rules: Rules,
}

#[derive(Clone)]
struct Record {
    own: Block,
    terms: Block,
    servers: Block,
}

/// The parts that are held, by what they say: whoever packs one that is there already gets that one. It belongs to whoever makes
/// changes and is no part of a catalog; a part that nobody holds any more is let go of with the next clearing.
#[derive(Default)]
pub struct PartInterner {
    known: FxHashMap<u64, Weak<[u8]>>,
    clear_at: usize,
    packed: u64,
}

impl PartInterner {
    /// How many tenants were packed so far, from which tests tell what a change costs.
    pub fn encoded_tenants(&self) -> u64 {
        self.packed
    }

    fn pack<T: Serialize>(&mut self, value: &T) -> Block {
        // Into memory, and with no map whose keys are no strings: nothing fails.
        let mut bytes = rmp_serde::to_vec_named(value).unwrap_or_default();
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        let key = rustc_hash::FxBuildHasher.hash_one(&bytes);
        if let Some(known) = self.known.get(&key).and_then(Weak::upgrade)
            && *known == *bytes
        {
            return known;
        }
        let block: Block = bytes.into();
        if self.known.len() >= self.clear_at.max(1024) {
            self.known.retain(|_, held| held.strong_count() > 0);
            self.clear_at = 2 * self.known.len();
        }
        self.known.insert(key, Arc::downgrade(&block));
        block
    }
}

/// The tenants of a version, and the rest of its document.
#[derive(Clone)]
pub struct Catalog {
    /// All but the tenants.
    frame: Arc<Service>,
    tenants: OrdMap<Name, Record>,
    /// Whose a host is, as hosts are compared.
    hosts: OrdMap<Arc<str>, Name>,
    /// Servers with a limit of their own, with each tenant that uses them, and the limit.
    limited: OrdMap<(Arc<str>, Name), u64>,
}

/// What differs between two catalogs of one tenant.
pub enum Difference<'c> {
    /// It comes.
    Added(&'c Name),
    /// It is another one.
    Changed(&'c Name),
    /// It goes.
    Removed(&'c Name),
}

fn unpack<T: for<'de> Deserialize<'de>>(block: &[u8]) -> Option<T> {
    let (bytes, sum) = block.split_last_chunk::<SUM>()?;
    (crc32fast::hash(bytes) == u32::from_le_bytes(*sum))
        .then(|| rmp_serde::from_slice(bytes).ok())?
}

impl Catalog {
    /// One with no tenants; the document's own tenants are not looked at.
    pub fn new(frame: &Service) -> Self {
        let frame = Service {
            process: frame.process.clone(),
            listeners: frame.listeners.clone(),
            admin: frame.admin.clone(),
            state: frame.state.clone(),
            cluster: frame.cluster.clone(),
            tenants: Vec::new(),
        };
        Catalog {
            frame: Arc::new(frame),
            tenants: OrdMap::new(),
            hosts: OrdMap::new(),
            limited: OrdMap::new(),
        }
    }

    /// The one of a whole document, all at revision 0.
    pub fn from_service(service: &Service, parts: &mut PartInterner) -> Self {
        let mut catalog = Catalog::new(service);
        for tenant in &service.tenants {
            catalog.insert(parts, tenant, 0);
        }
        catalog
    }

    /// The same tenants in another frame.
    #[must_use]
    pub fn with_base(&self, frame: &Service) -> Self {
        Catalog {
            frame: Catalog::new(frame).frame,
            ..self.clone()
        }
    }

    /// The document without its tenants.
    pub fn base(&self) -> &Arc<Service> {
        &self.frame
    }

    /// How many tenants there are.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// The tenants' names, in order.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.tenants.keys()
    }

    /// The names behind this one, in order.
    pub fn names_after(&self, name: &str) -> impl Iterator<Item = &Name> {
        let after: Name = name.into();
        self.tenants
            .range((Bound::Excluded(after), Bound::Unbounded))
            .map(|(name, _)| name)
    }

    /// The whole document. It takes as long as there are tenants, and as much memory.
    ///
    /// # Errors
    /// What is held of a tenant is damaged.
    pub fn to_service(&self) -> Result<Service, DamagedTenant> {
        let tenants = self.iter().map(|t| Ok(t?.1)).collect::<Result<_, _>>()?;
        Ok(Service {
            tenants,
            ..(*self.frame).clone()
        })
    }

    /// A tenant's name as it is held, if it is there.
    pub fn find_name(&self, name: &str) -> Option<&Name> {
        self.tenants.get_key_value(name).map(|(name, _)| name)
    }

    /// The tenant whose host this is, in whatever way it is written.
    pub fn tenant_of_host(&self, host: &str) -> Option<&Name> {
        self.hosts.get(normalize_host(host).as_str())
    }

    /// A tenant's revision and document; none if it is not there.
    ///
    /// # Errors
    /// What is held of it is damaged.
    pub fn get(&self, name: &str) -> Option<Result<(u64, Tenant), DamagedTenant>> {
        self.tenants
            .get_key_value(name)
            .map(|(name, record)| record.read(name))
    }

    /// All tenants, in order, each with its revision.
    pub fn iter(&self) -> impl Iterator<Item = Result<(u64, Tenant), DamagedTenant>> {
        self.tenants.iter().map(|(name, record)| record.read(name))
    }

    /// A tenant comes, or is another one from here on.
    pub fn insert(&mut self, parts: &mut PartInterner, tenant: &Tenant, rev: u64) {
        parts.packed += 1;
        self.take_ways(&tenant.name);
        let name = self
            .find_name(&tenant.name)
            .cloned()
            .unwrap_or_else(|| tenant.name.as_str().into());
        for host in &tenant.hosts {
            self.hosts.insert(normalize_host(host).into(), name.clone());
        }
        for server in &tenant.servers {
            if let Some(connections) = server.connections {
                self.limited
                    .insert((server.address.as_str().into(), name.clone()), connections);
            }
        }
        let own = Own {
            rev,
            hosts: tenant.hosts.clone(),
            fleet: tenant.discovery.clone(),
        };
        let terms = Terms {
            classes: tenant.classes.clone(),
            limits: tenant.limits.clone(),
            rules: tenant.rules.clone(),
        };
        let record = Record {
            own: parts.pack(&own),
            terms: parts.pack(&terms),
            servers: parts.pack(&tenant.servers),
        };
        self.tenants.insert(name, record);
    }

    /// A tenant goes.
    pub fn remove(&mut self, name: &str) {
        self.take_ways(name);
        self.tenants.remove(name);
    }

    /// What leads to a tenant, and what it shares, is no more.
    fn take_ways(&mut self, name: &str) {
        let Some((name, record)) = self.tenants.get_key_value(name) else {
            return;
        };
        let (name, record) = (name.clone(), record.clone());
        if let Some(own) = unpack::<Own>(&record.own) {
            for host in &own.hosts {
                if self.hosts.get(normalize_host(host).as_str()) == Some(&name) {
                    self.hosts.remove(normalize_host(host).as_str());
                }
            }
        } else {
            let whose = |(host, of): (&Arc<str>, &Name)| (*of == name).then(|| host.clone());
            let hosts: Vec<Arc<str>> = self.hosts.iter().filter_map(whose).collect();
            hosts.iter().for_each(|host| _ = self.hosts.remove(host));
        }
        for address in self.limited_of(&name, &record) {
            self.limited.remove(&(address, name.clone()));
        }
    }

    /// The servers with limits that a tenant uses.
    fn limited_of(&self, name: &Name, record: &Record) -> BTreeSet<Arc<str>> {
        match unpack::<Vec<Server>>(&record.servers) {
            Some(servers) => {
                let limited = servers.into_iter().filter(|s| s.connections.is_some());
                limited.map(|s| s.address.into()).collect()
            }
            None => self
                .limited
                .keys()
                .filter(|(_, of)| of == name)
                .map(|(address, _)| address.clone())
                .collect(),
        }
    }

    /// Who uses a server that has a limit, and the limit, in the order of names.
    pub fn users_of_server(&self, address: &str) -> impl Iterator<Item = (&Name, u64)> {
        let from: (Arc<str>, Name) = (address.into(), "".into());
        let of = address.to_owned();
        self.limited
            .range(from..)
            .take_while(move |((address, _), _)| **address == *of)
            .map(|((_, name), connections)| (name, *connections))
    }

    /// What leads from one catalog to another. It takes as long as there are differences where one came of the other.
    pub fn differences<'c>(
        old: &'c Catalog,
        new: &'c Catalog,
    ) -> impl Iterator<Item = Difference<'c>> {
        old.tenants.diff(&new.tenants).map(|item| match item {
            DiffItem::Add(name, _) => Difference::Added(name),
            DiffItem::Remove(name, _) => Difference::Removed(name),
            DiffItem::Update { new: (name, _), .. } => Difference::Changed(name),
        })
    }

    /// Spoils a part, for tests of what comes of that.
    #[doc(hidden)]
    pub fn corrupt(&mut self, name: &str) {
        if let Some(record) = self.tenants.get_mut(name) {
            let mut bytes = record.servers.to_vec();
            bytes[0] ^= 0x40;
            record.servers = bytes.into();
        }
    }
}

impl PartialEq for Catalog {
    fn eq(&self, other: &Self) -> bool {
        self.frame == other.frame
            && self.len() == other.len()
            && Catalog::differences(self, other).next().is_none()
    }
}

impl std::fmt::Debug for Catalog {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Catalog")
            .field("tenants", &self.len())
            .finish_non_exhaustive()
    }
}

/// What they say, whatever their revisions.
impl PartialEq for Record {
    fn eq(&self, other: &Self) -> bool {
        let same = |a: &Block, b: &Block| Arc::ptr_eq(a, b) || a == b;
        let own = |r: &Record| unpack::<Own>(&r.own).map(|own| (own.hosts, own.fleet));
        same(&self.terms, &other.terms)
            && same(&self.servers, &other.servers)
            && (same(&self.own, &other.own) || own(self).is_some_and(|o| Some(o) == own(other)))
    }
}

impl Record {
    fn read(&self, name: &str) -> Result<(u64, Tenant), DamagedTenant> {
        let damaged = |part| DamagedTenant {
            tenant: name.to_owned(),
            part,
        };
        let own: Own = unpack(&self.own).ok_or_else(|| damaged("hosts"))?;
        let terms: Terms =
            unpack(&self.terms).ok_or_else(|| damaged("classes, rules or limits"))?;
        let servers = unpack(&self.servers).ok_or_else(|| damaged("servers"))?;
        let tenant = Tenant {
            name: name.to_owned(),
            hosts: own.hosts,
            limits: terms.limits,
            rules: terms.rules,
            classes: terms.classes,
            discovery: own.fleet,
            servers,
        };
        Ok((own.rev, tenant))
    }
}
