//! What streams of events tell: versions that have taken effect, and how tenants fare.

use config_store::AuditEntry;
use serde_json::{Value, json};

use crate::access::Principal;
use crate::bodies::{Actor, TenantChange};

/// A version that has taken effect.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionEvent {
    /// The service's version.
    pub version: u64,
    /// When it was made.
    pub at_ms: u64,
    /// Who made it.
    pub by: Actor,
    /// What was done.
    pub action: String,
    /// What changed.
    pub tenants: Vec<TenantChange>,
}

impl VersionEvent {
    /// What a log entry tells of it, to those who join later.
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

    /// The event's id and data for somebody; none if it concerns nothing that they see. Who sees one tenant gets its
    /// revision for an id, and learns nothing of the service's versions.
    pub fn visible_to(&self, principal: &Principal) -> Option<(u64, Value)> {
        let seen: Vec<&TenantChange> = self
            .tenants
            .iter()
            .filter(|t| principal.can_see(&t.name))
            .collect();
        let first = seen.first()?;
        let mut data =
            json!({ "at-ms": self.at_ms, "by": self.by, "action": self.action, "tenants": seen });
        if principal.sees_all_tenants() {
            data["version"] = self.version.into();
            return Some((self.version, data));
        }
        Some((first.rev, data))
    }
}
