//! Finds the tenant of a request by listener, host or header. Without I/O.

use rustc_hash::FxHashMap;

use crate::catalog::{Catalog, Name};
use crate::document::TenantBy;

/// Routing table of a version of the service.
#[derive(Clone, Debug)]
pub struct Routes {
    listeners: FxHashMap<String, TenantSelector>,
    catalog: Catalog,
}

#[derive(Clone, Debug, PartialEq)]
enum TenantSelector {
    Tenant(String),
    Host,
    Header,
}

/// The request names no tenant or an unknown one. The two cases aren't distinguished, so that a client
/// can't find out more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownTenant;

impl Routes {
    /// Creates the routing table of a version.
    pub fn new(catalog: &Catalog) -> Self {
        let selector = |listener: &crate::document::Listener| match listener.tenant_by {
            TenantBy::Listener => {
                TenantSelector::Tenant(listener.tenant.clone().unwrap_or_default())
            }
            TenantBy::Host => TenantSelector::Host,
            TenantBy::Header => TenantSelector::Header,
        };
        let listeners = catalog
            .base()
            .listeners
            .iter()
            .map(|listener| (listener.name.clone(), selector(listener)))
            .collect();
        Routes {
            listeners,
            catalog: catalog.clone(),
        }
    }

    /// Returns the tenants of the version.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the tenant to which all requests of a listener belong, if there is one.
    pub fn dedicated_tenant(&self, listener: &str) -> Option<&str> {
        match self.listeners.get(listener) {
            Some(TenantSelector::Tenant(name)) => Some(name),
            _ => None,
        }
    }

    /// Finds the tenant of a request by its listener and by its headers Host and X-Tenant-Id, which are
    /// given if they occur exactly once.
    ///
    /// # Errors
    /// The request names no existing tenant.
    pub fn find(
        &self,
        listener: &str,
        host: Option<&str>,
        header: Option<&str>,
    ) -> Result<&Name, UnknownTenant> {
        let found = match self.listeners.get(listener).ok_or(UnknownTenant)? {
            TenantSelector::Tenant(name) => self.catalog.find_name(name),
            TenantSelector::Host => self.catalog.tenant_of_host(host.ok_or(UnknownTenant)?),
            TenantSelector::Header => self.catalog.find_name(header.ok_or(UnknownTenant)?),
        };
        found.ok_or(UnknownTenant)
    }
}

/// Normalizes a host for comparison: without port and trailing dots, in lower case (RFC 9110, 4.2.3).
pub fn normalize_host(host: &str) -> String {
    let host = host.trim();
    let name = match host.rsplit_once(':') {
        // The colons of an IPv6 address, which is in brackets, don't separate a port.
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
