//! The bodies of answers and of calls that are no part of a tenant's document.

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
    /// Its name.
    pub name: String,
    /// The revision of its document.
    pub rev: u64,
    /// How many classes and servers it has.
    pub classes: usize,
    /// As above.
    pub servers: usize,
}

/// What came of a change, or would come of it.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Written")]
pub struct ChangeResult {
    /// Whether anything changed. The same change twice changes nothing the second time.
    pub changed: bool,
    /// Whether it was only tried.
    pub dry_run: bool,
    /// The service's version afterwards; only told to those who see all tenants.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// The tenants that change.
    pub tenants: Vec<TenantChange>,
    /// What differs, at most 1,000 places, below each tenant's name.
    pub differences: Vec<Difference>,
}

/// What a change comes to for one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Changed")]
pub struct TenantChange {
    /// Its name.
    pub name: String,
    /// Its document's revision afterwards.
    pub rev: u64,
    /// It is new.
    pub added: bool,
    /// It is gone.
    pub removed: bool,
    /// Its decision module is made anew; requests under way end under the old one.
    pub pool: bool,
    /// Its list of servers changes.
    pub servers: bool,
    /// Its limits change.
    pub limits: bool,
}

/// A version or a revision, and who made it.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub struct Version {
    /// Its number.
    pub number: u64,
    /// When it was made, in Unix time.
    pub at_ms: u64,
    /// Who made it: the token's id and name.
    pub by: Actor,
    /// What was done.
    pub action: String,
    /// More about it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// The tenants that changed, by name; only in versions of the service.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    #[schemars(default)]
    pub tenants: Vec<String>,
    /// Whether the tenant is gone with it; only in revisions of a tenant.
    pub gone: bool,
}

/// Who did something.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "By")]
pub struct Actor {
    /// The token's id.
    pub id: String,
    /// Its name.
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

/// A line of the audit log.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Line")]
pub struct AuditLine {
    /// Its number in the log.
    pub number: u64,
    /// When, in Unix time.
    pub at_ms: u64,
    /// Who.
    pub by: Actor,
    /// What was done.
    pub action: String,
    /// The tenant that it was done to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// More about it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// The service's version that came of it; only told to those who see all tenants.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
}

impl AuditLine {
    /// An entry as it is told to somebody: of a change of several tenants, one tenant hears of itself.
    pub fn visible_to(number: u64, entry: AuditEntry, principal: &Principal) -> Self {
        let sees_all_tenants = principal.sees_all_tenants();
        AuditLine {
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

/// Two versions and what differs between them.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[schemars(rename = "Compared")]
pub struct Comparison {
    /// The older one.
    pub from: u64,
    /// The newer one.
    pub to: u64,
    /// What differs, at most 1,000 places.
    pub differences: Vec<Difference>,
}

/// Where to go back to.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Back")]
pub struct RollbackTarget {
    /// The version, or the tenant's revision.
    pub to: u64,
}

/// Tenants that are to be as they stand here.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    /// Their documents.
    #[serde(rename = "tenant")]
    #[schemars(length(max = 10_000))]
    pub tenants: Vec<Tenant>,
    /// Whether all other tenants go.
    #[serde(default)]
    pub prune: bool,
}

/// A token that is to be made.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct NewToken {
    /// What people call it.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// What it may do.
    pub role: Role,
    /// The one tenant that it is for; a tenant admin's must name one, an operator's none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// It ends after so long; without it, never.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 3_153_600_000u64))]
    pub expires_in_s: Option<u64>,
}

/// How a token's secret is changed.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
#[schemars(rename = "Rotate")]
pub struct TokenRotation {
    /// The former secret stays good for so long.
    #[schemars(range(max = 2_592_000u64))]
    pub overlap_s: u64,
}

/// Which instance is to lead.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct StepDown {
    /// Its name; any other with a vote without it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub to: Option<String>,
}

/// A token.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub struct TokenView {
    /// Its id.
    pub id: String,
    /// What people call it.
    pub name: String,
    /// What it may do.
    pub role: Role,
    /// The one tenant that it is for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// When it was made, in Unix time.
    pub created_ms: u64,
    /// When it ends.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expires_ms: Option<u64>,
    /// Until when its former secret is good.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub overlap_until_ms: Option<u64>,
    /// The whole token, told this once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
}

/// How the service fares.
#[derive(Clone, Debug, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceStatus {
    /// Its version; only told to those who see all tenants.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Why nothing can be changed, if so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub read_only: Option<String>,
    /// How the tenants fare that the token sees; at most 1,000.
    pub tenants: Vec<TenantStatus>,
}
