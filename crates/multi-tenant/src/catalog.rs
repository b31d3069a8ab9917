//! Compact storage of the tenants of a version, most of which have no requests at a given time.
//!
//! A tenant is stored as three encoded parts, each followed by a checksum: its identity (hosts, endpoint
//! discovery), its policy (classes, rules, limits) and its servers. Equal parts are stored once, so that
//! tenants of the same service share its list of servers, and tenants of the same product its classes.
//! A catalog is a persistent data structure: a changed copy shares all unchanged data with the original,
//! which remains valid. Without I/O.

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

/// Name of a tenant.
pub type Name = Arc<str>;
type Block = Arc<[u8]>;

/// Size of the checksum after an encoded part.
const CHECKSUM_SIZE: usize = 4;

/// A stored tenant that doesn't match its checksum or can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stored data of tenant \"{tenant}\" is damaged ({part})")]
pub struct DamagedTenant {
    /// Name of the tenant.
    pub tenant: String,
    /// Damaged part.
    pub part: &'static str,
}

/// Part of a tenant that it shares with no other tenant.
#[derive(Serialize, Deserialize)]
struct Identity {
    #[serde(rename = "rev")]
    revision: u64,
    hosts: Vec<String>,
    #[serde(rename = "fleet")]
    discovery: Option<DiscoverySettings>,
}

/// Part that tenants of the same product usually have in common.
#[derive(Serialize, Deserialize)]
struct Policy {
    classes: Vec<Class>,
    limits: Limits,
    rules: Rules,
}

#[derive(Clone)]
struct Record {
    identity: Block,
    policy: Block,
    servers: Block,
}

/// Interns encoded parts by their content, so that equal parts share one allocation. It is owned by the
/// code that changes catalogs and isn't part of a catalog. It has weak references; those to unused parts
/// are removed when the table grows.
#[derive(Default)]
pub struct PartInterner {
    blocks: FxHashMap<u64, Weak<[u8]>>,
    next_cleanup_size: usize,
    encoded_tenants: u64,
}

impl PartInterner {
    /// Number of tenants encoded so far, from which tests derive the cost of a change.
    pub fn encoded_tenants(&self) -> u64 {
        self.encoded_tenants
    }

    fn intern<T: Serialize>(&mut self, value: &T) -> Block {
        // Encoding into memory doesn't fail: the types contain no maps with keys other than strings.
        let mut bytes = rmp_serde::to_vec_named(value).unwrap_or_default();
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        let key = rustc_hash::FxBuildHasher.hash_one(&bytes);
        if let Some(known) = self.blocks.get(&key).and_then(Weak::upgrade)
            && *known == *bytes
        {
            return known;
        }
        let block: Block = bytes.into();
        if self.blocks.len() >= self.next_cleanup_size.max(1024) {
            self.blocks.retain(|_, block| block.strong_count() > 0);
            self.next_cleanup_size = 2 * self.blocks.len();
        }
        self.blocks.insert(key, Arc::downgrade(&block));
        block
    }
}

/// The tenants of a version and the rest of its document.
#[derive(Clone)]
pub struct Catalog {
    /// Document without the tenants.
    base: Arc<Service>,
    tenants: OrdMap<Name, Record>,
    /// Tenants by normalized host.
    hosts: OrdMap<Arc<str>, Name>,
    /// Connection limits of servers that have one, by server address and tenant.
    limited_servers: OrdMap<(Arc<str>, Name), u64>,
}

/// Difference of a tenant between two catalogs.
pub enum Difference<'c> {
    /// The tenant is only in the new catalog.
    Added(&'c Name),
    /// The tenant is different in the new catalog.
    Changed(&'c Name),
    /// The tenant is only in the old catalog.
    Removed(&'c Name),
}

fn decode<T: for<'de> Deserialize<'de>>(block: &[u8]) -> Option<T> {
    let (bytes, checksum) = block.split_last_chunk::<CHECKSUM_SIZE>()?;
    (crc32fast::hash(bytes) == u32::from_le_bytes(*checksum))
        .then(|| rmp_serde::from_slice(bytes).ok())?
}

impl Catalog {
    /// Creates a catalog without tenants; the tenants of the document are ignored.
    pub fn new(base: &Service) -> Self {
        let base = Service {
            process: base.process.clone(),
            listeners: base.listeners.clone(),
            admin: base.admin.clone(),
            state: base.state.clone(),
            cluster: base.cluster.clone(),
            tenants: Vec::new(),
        };
        Catalog {
            base: Arc::new(base),
            tenants: OrdMap::new(),
            hosts: OrdMap::new(),
            limited_servers: OrdMap::new(),
        }
    }

    /// Creates a catalog of all tenants of a document, at revision 0.
    pub fn from_service(service: &Service, parts: &mut PartInterner) -> Self {
        let mut catalog = Catalog::new(service);
        for tenant in &service.tenants {
            catalog.insert(parts, tenant, 0);
        }
        catalog
    }

    /// Returns the same tenants with the rest of another document.
    #[must_use]
    pub fn with_base(&self, base: &Service) -> Self {
        Catalog {
            base: Catalog::new(base).base,
            ..self.clone()
        }
    }

    /// Returns the document without its tenants.
    pub fn base(&self) -> &Arc<Service> {
        &self.base
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns true if there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Iterates over the names of the tenants in order.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.tenants.keys()
    }

    /// Iterates over the names after this one in order.
    pub fn names_after(&self, name: &str) -> impl Iterator<Item = &Name> {
        let start: Name = name.into();
        self.tenants
            .range((Bound::Excluded(start), Bound::Unbounded))
            .map(|(name, _)| name)
    }

    /// Returns the whole document. Time and memory are proportional to the number of tenants.
    ///
    /// # Errors
    /// The stored data of a tenant is damaged.
    pub fn to_service(&self) -> Result<Service, DamagedTenant> {
        let tenants = self
            .iter()
            .map(|tenant| Ok(tenant?.1))
            .collect::<Result<_, _>>()?;
        Ok(Service {
            tenants,
            ..(*self.base).clone()
        })
    }

    /// Returns the stored name of a tenant if it exists.
    pub fn find_name(&self, name: &str) -> Option<&Name> {
        self.tenants.get_key_value(name).map(|(name, _)| name)
    }

    /// Returns the tenant of a host, which doesn't have to be normalized.
    pub fn tenant_of_host(&self, host: &str) -> Option<&Name> {
        self.hosts.get(normalize_host(host).as_str())
    }

    /// Returns the revision and document of a tenant if it exists.
    ///
    /// # Errors
    /// The stored data of the tenant is damaged.
    pub fn get(&self, name: &str) -> Option<Result<(u64, Tenant), DamagedTenant>> {
        self.tenants
            .get_key_value(name)
            .map(|(name, record)| record.decode(name))
    }

    /// Iterates over all tenants in order of their names, with their revisions.
    pub fn iter(&self) -> impl Iterator<Item = Result<(u64, Tenant), DamagedTenant>> {
        self.tenants
            .iter()
            .map(|(name, record)| record.decode(name))
    }

    /// Adds or replaces a tenant.
    pub fn insert(&mut self, parts: &mut PartInterner, tenant: &Tenant, revision: u64) {
        parts.encoded_tenants += 1;
        self.remove_index_entries(&tenant.name);
        let name = self
            .find_name(&tenant.name)
            .cloned()
            .unwrap_or_else(|| tenant.name.as_str().into());
        for host in &tenant.hosts {
            self.hosts.insert(normalize_host(host).into(), name.clone());
        }
        for server in &tenant.servers {
            if let Some(connections) = server.connections {
                self.limited_servers
                    .insert((server.address.as_str().into(), name.clone()), connections);
            }
        }
        let identity = Identity {
            revision,
            hosts: tenant.hosts.clone(),
            discovery: tenant.discovery.clone(),
        };
        let policy = Policy {
            classes: tenant.classes.clone(),
            limits: tenant.limits.clone(),
            rules: tenant.rules.clone(),
        };
        let record = Record {
            identity: parts.intern(&identity),
            policy: parts.intern(&policy),
            servers: parts.intern(&tenant.servers),
        };
        self.tenants.insert(name, record);
    }

    /// Removes a tenant.
    pub fn remove(&mut self, name: &str) {
        self.remove_index_entries(name);
        self.tenants.remove(name);
    }

    /// Removes a tenant's entries from the indexes of hosts and limited servers.
    fn remove_index_entries(&mut self, name: &str) {
        let Some((name, record)) = self.tenants.get_key_value(name) else {
            return;
        };
        let (name, record) = (name.clone(), record.clone());
        if let Some(identity) = decode::<Identity>(&record.identity) {
            for host in &identity.hosts {
                if self.hosts.get(normalize_host(host).as_str()) == Some(&name) {
                    self.hosts.remove(normalize_host(host).as_str());
                }
            }
        } else {
            let host_of_tenant =
                |(host, tenant): (&Arc<str>, &Name)| (*tenant == name).then(|| host.clone());
            let hosts: Vec<Arc<str>> = self.hosts.iter().filter_map(host_of_tenant).collect();
            hosts.iter().for_each(|host| _ = self.hosts.remove(host));
        }
        for address in self.limited_servers_of(&name, &record) {
            self.limited_servers.remove(&(address, name.clone()));
        }
    }

    /// Returns the addresses of the servers with a connection limit that a tenant uses.
    fn limited_servers_of(&self, name: &Name, record: &Record) -> BTreeSet<Arc<str>> {
        match decode::<Vec<Server>>(&record.servers) {
            Some(servers) => {
                let limited = servers
                    .into_iter()
                    .filter(|server| server.connections.is_some());
                limited.map(|server| server.address.into()).collect()
            }
            None => self
                .limited_servers
                .keys()
                .filter(|(_, tenant)| tenant == name)
                .map(|(address, _)| address.clone())
                .collect(),
        }
    }

    /// Iterates over the tenants that use a server with a connection limit, in order of their names, with
    /// the limit.
    pub fn users_of_server(&self, address: &str) -> impl Iterator<Item = (&Name, u64)> {
        let start: (Arc<str>, Name) = (address.into(), "".into());
        let server = address.to_owned();
        self.limited_servers
            .range(start..)
            .take_while(move |((address, _), _)| **address == *server)
            .map(|((_, name), connections)| (name, *connections))
    }

    /// Iterates over the differences between two catalogs. If one was derived from the other, the time is
    /// proportional to the number of differences.
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

    /// Corrupts the stored servers of a tenant, for tests.
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
        self.base == other.base
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

/// Compares the content without the revisions.
impl PartialEq for Record {
    fn eq(&self, other: &Self) -> bool {
        let same = |a: &Block, b: &Block| Arc::ptr_eq(a, b) || a == b;
        let identity = |record: &Record| {
            decode::<Identity>(&record.identity)
                .map(|identity| (identity.hosts, identity.discovery))
        };
        same(&self.policy, &other.policy)
            && same(&self.servers, &other.servers)
            && (same(&self.identity, &other.identity)
                || identity(self).is_some_and(|o| Some(o) == identity(other)))
    }
}

impl Record {
    fn decode(&self, name: &str) -> Result<(u64, Tenant), DamagedTenant> {
        let damaged = |part| DamagedTenant {
            tenant: name.to_owned(),
            part,
        };
        let identity: Identity = decode(&self.identity).ok_or_else(|| damaged("hosts"))?;
        let policy: Policy =
            decode(&self.policy).ok_or_else(|| damaged("classes, rules or limits"))?;
        let servers = decode(&self.servers).ok_or_else(|| damaged("servers"))?;
        let tenant = Tenant {
            name: name.to_owned(),
            hosts: identity.hosts,
            limits: policy.limits,
            rules: policy.rules,
            classes: policy.classes,
            discovery: identity.discovery,
            servers,
        };
        Ok((identity.revision, tenant))
    }
}
