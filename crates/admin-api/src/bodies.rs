//! Bodies of replies and of calls that are not part of a tenant's document.

use config_store::AuditEntry;
use multi_tenant::data_plane::TenantStatus;
use multi_tenant::document::Tenant;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::access::{Principal, Role};
use crate::difference::Difference;

/// A tenant in a list.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Listed")]
pub struct TenantSummary {
    /// Name of the tenant.
    pub name: String,
    /// Revision of its document.
    pub rev: u64,
    /// Number of its classes.
    pub classes: usize,
    /// Number of its servers.
    pub servers: usize,
}

/// The result of a change, or of a dry run.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Written")]
pub struct ChangeResult {
    /// True if anything changed. Repeating a change has no further effect.
    pub changed: bool,
    /// True for a dry run.
    pub dry_run: bool,
    /// Version of the service after the change; present only for callers that may see all tenants.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// The changed tenants.
    pub tenants: Vec<TenantChange>,
    /// The differences, 1,000 at most; each path begins with the tenant's name.
    pub differences: Vec<Difference>,
}

/// The effect of a change on one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Changed")]
pub struct TenantChange {
    /// Name of the tenant.
    pub name: String,
    /// Revision of its document after the change.
    pub rev: u64,
    /// True if the tenant is new.
    pub added: bool,
    /// True if the tenant was removed.
    pub removed: bool,
    /// True if its decision module is replaced; requests in flight finish under the old one.
    pub pool: bool,
    /// True if its list of servers changes.
    pub servers: bool,
    /// True if its limits change.
    pub limits: bool,
}

/// A version of the service or a revision of a tenant, with its author.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub struct Version {
    /// The version or revision number.
    pub number: u64,
    /// Creation time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The token that made the change.
    pub by: Actor,
    /// The action.
    pub action: String,
    /// Details of the action.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Names of the changed tenants; only in versions of the service.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    #[schemars(default)]
    pub tenants: Vec<String>,
    /// True if this revision removed the tenant; only in revisions of a tenant.
    pub gone: bool,
}

/// The token that made a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "By")]
pub struct Actor {
    /// Id of the token.
    pub id: String,
    /// Name of the token.
    pub name: String,
}

impl From<&config_store::Author> for Actor {
    fn from(author: &config_store::Author) -> Self {
        Actor {
            id: author.id.clone(),
            name: author.name.clone(),
        }
    }
}

/// An entry of the audit log.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Line")]
pub struct AuditEntryView {
    /// Number of the entry.
    pub number: u64,
    /// Time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The token that made the change.
    pub by: Actor,
    /// The action.
    pub action: String,
    /// The tenant that the action concerns.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Details of the action.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// The resulting version of the service; present only for callers that may see all tenants.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
}

impl AuditEntryView {
    /// Returns an audit entry as a caller may see it: for a change of several tenants, a caller limited to one tenant
    /// sees only that one.
    pub fn visible_to(number: u64, entry: AuditEntry, principal: &Principal) -> Self {
        let sees_all_tenants = principal.sees_all_tenants();
        AuditEntryView {
            number,
            at_ms: entry.at_ms,
            by: Actor::from(&entry.author),
            action: entry.action,
            tenant: principal.tenant.clone().or(entry.subject),
            detail: entry.detail,
            version: entry.version.filter(|_| sees_all_tenants),
        }
    }
}

/// The differences between two versions.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[schemars(rename = "Compared")]
pub struct Comparison {
    /// The older version.
    pub from: u64,
    /// The newer version.
    pub to: u64,
    /// The differences, 1,000 at most.
    pub differences: Vec<Difference>,
}

/// The target of a rollback.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Back")]
pub struct RollbackTarget {
    /// The version of the service, or the revision of the tenant.
    pub to: u64,
}

/// Documents that replace those of several tenants.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    /// Documents of the tenants.
    #[serde(rename = "tenant")]
    #[schemars(length(max = 10_000))]
    pub tenants: Vec<Tenant>,
    /// If true, removes all other tenants.
    #[serde(default)]
    pub prune: bool,
}

/// A token to create.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct NewToken {
    /// Display name.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// Rights of the token.
    pub role: Role,
    /// The only tenant that the token is valid for; required for a tenant admin's token, not allowed for an
    /// operator's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Seconds until the token expires; if missing, it does not expire.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 3_153_600_000u64))]
    pub expires_in_s: Option<u64>,
}

/// Settings of a rotation of a token's secret.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
#[schemars(rename = "Rotate")]
pub struct TokenRotation {
    /// Seconds that the previous secret stays valid.
    #[schemars(range(max = 2_592_000u64))]
    pub overlap_s: u64,
}

/// The instance that is to become leader.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct StepDown {
    /// Name of the instance; if missing, any other voter.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub to: Option<String>,
}

/// A token.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub struct TokenView {
    /// Id of the token.
    pub id: String,
    /// Display name.
    pub name: String,
    /// Rights of the token.
    pub role: Role,
    /// The only tenant that the token is valid for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Creation time in milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// Expiry time in milliseconds since the Unix epoch.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expires_ms: Option<u64>,
    /// Time until which the previous secret is valid, in milliseconds since the Unix epoch.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub overlap_until_ms: Option<u64>,
    /// The token text; returned only when the secret is created.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
}

/// The status of the service.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceStatus {
    /// Version of the service; present only for callers that may see all tenants.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// The reason why nothing can be changed, if the state is read-only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub read_only: Option<String>,
    /// Status of the tenants that the caller may see, 1,000 at most.
    pub tenants: Vec<TenantStatus>,
}
