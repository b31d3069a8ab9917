//! What streams of events tell: versions that have taken effect, and how tenants fare.

use config_store::AuditEntry;
use serde_json::{Value, json};

use crate::access::Who;
use crate::answers::{By, Changed};

/// A version that has taken effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Happened {
    /// The service's version.
    pub version: u64,
    /// When it was made.
    pub at_ms: u64,
    /// Who made it.
    pub by: By,
    /// What was done.
    pub action: String,
    /// What changed.
    pub tenants: Vec<Changed>,
}

impl Happened {
    /// What a log entry tells of it, to those who join later.
    pub fn of(entry: &AuditEntry, name: impl Fn(&str) -> Option<String>) -> Option<Self> {
        let changed = |e: &config_store::DocumentEdit| {
            Some(Changed {
                name: name(&e.scope)?,
                rev: e.revision,
                added: false,
                removed: e.deleted,
                pool: false,
                servers: false,
                limits: false,
            })
        };
        Some(Happened {
            version: entry.version?,
            at_ms: entry.at_ms,
            by: By::from(&entry.author),
            action: entry.action.clone(),
            tenants: entry.edits.iter().filter_map(changed).collect(),
        })
    }

    /// The event's id and data for somebody; none if it concerns nothing that they see. Who sees one tenant gets its
    /// revision for an id, and learns nothing of the service's versions.
    pub fn told_to(&self, who: &Who) -> Option<(u64, Value)> {
        let seen: Vec<&Changed> = self.tenants.iter().filter(|t| who.sees(&t.name)).collect();
        let first = seen.first()?;
        let mut data =
            json!({ "at-ms": self.at_ms, "by": self.by, "action": self.action, "tenants": seen });
        if who.oversees() {
            data["version"] = self.version.into();
            return Some((self.version, data));
        }
        Some((first.rev, data))
    }
}
