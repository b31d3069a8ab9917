//! Events of the event streams: versions that have taken effect.

use config_store::AuditEntry;
use serde_json::{Value, json};

use crate::access::Principal;
use crate::bodies::{Actor, TenantChange};

/// A version that has taken effect.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionEvent {
    /// Version of the service.
    pub version: u64,
    /// Creation time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The token that made the change.
    pub by: Actor,
    /// The action.
    pub action: String,
    /// The changed tenants.
    pub tenants: Vec<TenantChange>,
}

impl VersionEvent {
    /// Builds the event from an audit entry, for clients that reconnect.
    pub fn from_audit_entry(
        entry: &AuditEntry,
        name: impl Fn(&str) -> Option<String>,
    ) -> Option<Self> {
        let changed = |e: &config_store::DocumentEdit| {
            Some(TenantChange {
                name: name(&e.scope)?,
                rev: e.revision,
                added: false,
                removed: e.deleted,
                pool: false,
                servers: false,
                limits: false,
            })
        };
        Some(VersionEvent {
            version: entry.version?,
            at_ms: entry.at_ms,
            by: Actor::from(&entry.author),
            action: entry.action.clone(),
            tenants: entry.edits.iter().filter_map(changed).collect(),
        })
    }

    /// Returns the event's id and data as a caller may see them, or `None` if the caller sees none of the changed
    /// tenants. A caller limited to one tenant gets the tenant's revision as the id, and no version of the service.
    pub fn visible_to(&self, principal: &Principal) -> Option<(u64, Value)> {
        let visible: Vec<&TenantChange> = self
            .tenants
            .iter()
            .filter(|t| principal.can_see(&t.name))
            .collect();
        let first = visible.first()?;
        let mut data = json!({ "at-ms": self.at_ms, "by": self.by, "action": self.action, "tenants": visible });
        if principal.sees_all_tenants() {
            data["version"] = self.version.into();
            return Some((self.version, data));
        }
        Some((first.rev, data))
    }
}
