//! Which tenant a request is for: by listener, by host or by header. A table without I/O.

use rustc_hash::FxHashMap;

use crate::catalog::{Catalog, Name};
use crate::document::TenantBy;

/// The tenants' ways in, as one version of the service has them.
#[derive(Clone, Debug)]
pub struct Routes {
    listeners: FxHashMap<String, Way>,
    catalog: Catalog,
}

#[derive(Clone, Debug, PartialEq)]
enum Way {
    Tenant(String),
    Host,
    Header,
}

/// No tenant is named, or none that is there; which of both is nobody's business.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownTenant;

impl Routes {
    /// The table of a version.
    pub fn new(catalog: &Catalog) -> Self {
        let way = |l: &crate::document::Listener| match l.tenant_by {
            TenantBy::Listener => Way::Tenant(l.tenant.clone().unwrap_or_default()),
            TenantBy::Host => Way::Host,
            TenantBy::Header => Way::Header,
        };
        let listeners = catalog
            .base()
            .listeners
            .iter()
            .map(|l| (l.name.clone(), way(l)))
            .collect();
        Routes {
            listeners,
            catalog: catalog.clone(),
        }
    }

    /// The version's tenants.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The tenant whose all requests of a listener are.
    pub fn dedicated_tenant(&self, listener: &str) -> Option<&str> {
        match self.listeners.get(listener) {
            Some(Way::Tenant(name)) => Some(name),
            _ => None,
        }
    }

    /// The tenant of a request that came in by a listener, with the headers Host and X-Tenant-Id where they stand once.
    ///
    /// # Errors
    /// It names none that is there.
    pub fn find(
        &self,
        listener: &str,
        host: Option<&str>,
        header: Option<&str>,
    ) -> Result<&Name, UnknownTenant> {
        let found = match self.listeners.get(listener).ok_or(UnknownTenant)? {
            Way::Tenant(name) => self.catalog.find_name(name),
            Way::Host => self.catalog.tenant_of_host(host.ok_or(UnknownTenant)?),
            Way::Header => self.catalog.find_name(header.ok_or(UnknownTenant)?),
        };
        found.ok_or(UnknownTenant)
    }
}

/// A host as it is compared: without its port and a last dot, in small letters (RFC 9110, 4.2.3).
pub fn normalize_host(host: &str) -> String {
    let host = host.trim();
    let name = match host.rsplit_once(':') {
        // Brackets hold an IPv6 address, whose colons are its own.
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) && !name.ends_with(':') => {
            if name.contains(':') && !name.ends_with(']') {
                host
            } else {
                name
            }
        }
        _ => host,
    };
    name.trim_end_matches('.').to_ascii_lowercase()
}
