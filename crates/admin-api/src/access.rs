//! Authentication and authorization: bearer tokens, stored as hashes, with rights for the whole service or for one
//! tenant.

use std::collections::BTreeMap;

use base64::Engine as _;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::problem::Problem;

/// The rights of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// May read and change everything, for all tenants.
    Operator,
    /// May read and change what belongs to one tenant alone: its servers, classes, rules and tokens.
    TenantAdmin,
    /// May read, for one tenant or for all.
    ReadOnly,
}

/// The permission that an operation requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// No token is required.
    Public,
    /// Read access.
    Read,
    /// Write access to the resource.
    Write,
    /// The operator role.
    Operator,
    /// Read access to all tenants.
    AllTenants,
}

/// The hash of a secret, and the end of its validity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Secret {
    hash: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    until_ms: Option<u64>,
}

/// A token as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Display name.
    pub name: String,
    /// The rights of the token.
    pub role: Role,
    /// The only tenant that the token is valid for; `None` for all tenants.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Creation time in milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// Expiry time in milliseconds since the Unix epoch; `None` if the token does not expire.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expires_ms: Option<u64>,
    /// The current secret, followed by the previous one while it is valid after a rotation.
    pub secrets: Vec<Secret>,
}

/// An authenticated caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Principal {
    /// The id of the token.
    pub id: String,
    /// The name of the token.
    pub name: String,
    /// The role of the token.
    pub role: Role,
    /// The only tenant that the token is valid for; `None` for all tenants.
    pub tenant: Option<String>,
}

impl Principal {
    /// Returns whether the caller may know that a tenant exists.
    pub fn can_see(&self, tenant: &str) -> bool {
        self.tenant.as_deref().is_none_or(|own| own == tenant)
    }

    /// Returns whether the caller may see all tenants.
    pub fn sees_all_tenants(&self) -> bool {
        self.tenant.is_none()
    }

    /// Returns whether the caller is an operator.
    pub fn is_operator(&self) -> bool {
        self.role == Role::Operator
    }

    /// Checks that the caller has a permission.
    ///
    /// # Errors
    /// The caller lacks the permission.
    pub fn authorize(&self, permission: Permission) -> Result<(), Problem> {
        let is_allowed = match permission {
            Permission::Public | Permission::Read => true,
            Permission::Write => self.role != Role::ReadOnly,
            Permission::Operator => self.is_operator(),
            Permission::AllTenants => self.sees_all_tenants(),
        };
        let reason = match permission {
            Permission::Operator => "it needs an operator's token",
            Permission::AllTenants => "it needs a token for all tenants",
            _ => "a read-only token changes nothing",
        };
        if is_allowed {
            Ok(())
        } else {
            Err(Problem::forbidden(reason))
        }
    }
}

/// Prefix of every token, by which scanners for leaked secrets recognize it.
const TOKEN_PREFIX: &str = "cct_";
/// Random bytes of an id and of a secret.
const ID_BYTES: usize = 8;
const SECRET_BYTES: usize = 32;

/// Returns `N` cryptographically random bytes as text.
///
/// # Errors
/// The operating system provides no random numbers.
fn random_string<const N: usize>() -> Result<String, Problem> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|e| Problem::internal(format!("random numbers: {e}")))?;
    Ok(BASE64_URL_SAFE_NO_PAD.encode(bytes))
}

/// Hashes a secret. A secret has 256 random bits, so one round of SHA-256 is enough.
fn hash_secret(secret: &str) -> String {
    BASE64_URL_SAFE_NO_PAD.encode(Sha256::digest(secret.as_bytes()))
}

/// Returns a new token id.
///
/// # Errors
/// The operating system provides no random numbers.
pub fn new_id() -> Result<String, Problem> {
    // Ids occur in paths, and underscores separate the parts of a token.
    Ok(random_string::<ID_BYTES>()?.replace(['_', '-'], "0"))
}

/// Returns a new secret for a token: the token text for its owner, and the hash to store.
///
/// # Errors
/// The operating system provides no random numbers.
pub fn new_secret(id: &str) -> Result<(String, Secret), Problem> {
    let secret = random_string::<SECRET_BYTES>()?;
    let stored = Secret {
        hash: hash_secret(&secret),
        until_ms: None,
    };
    Ok((format!("{TOKEN_PREFIX}{id}_{secret}"), stored))
}

impl Token {
    /// Replaces the secret. The current secret stays valid until `until_ms`; a previous one becomes invalid at once.
    pub fn rotate(&mut self, secret: Secret, until_ms: u64) {
        let old = self.secrets.drain(..).next();
        self.secrets.push(secret);
        self.secrets.extend(old.map(|old| Secret {
            until_ms: Some(until_ms),
            ..old
        }));
    }

    /// Returns the end of validity of the previous secret, if there is one.
    pub fn overlap_end_ms(&self) -> Option<u64> {
        self.secrets.get(1).and_then(|s| s.until_ms)
    }

    fn is_valid(&self, secret: &str, now_ms: u64) -> bool {
        let hash = hash_secret(secret);
        // Compares with every secret, so that the time taken does not depend on which one matches.
        let matches = self.secrets.iter().fold(0, |matches, secret| {
            let is_current = u8::from(secret.until_ms.is_none_or(|until| now_ms < until));
            matches | (secret.hash.as_bytes().ct_eq(hash.as_bytes()).unwrap_u8() & is_current)
        });
        matches == 1 && self.expires_ms.is_none_or(|end| now_ms < end)
    }
}

/// Authenticates the value of an Authorization header.
///
/// # Errors
/// The token is not valid. The error does not say which part of it is wrong.
pub fn authenticate(
    tokens: &BTreeMap<String, Token>,
    authorization: Option<&str>,
    now_ms: u64,
) -> Result<Principal, Problem> {
    let unauthorized = || Problem::unauthorized("send Authorization: Bearer with a valid token");
    let (scheme, token) = authorization
        .and_then(|a| a.split_once(' '))
        .ok_or_else(unauthorized)?;
    let token = token.trim();
    let (id, secret) = token
        .strip_prefix(TOKEN_PREFIX)
        .and_then(|t| t.split_once('_'))
        .ok_or_else(unauthorized)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(unauthorized());
    }
    let stored = tokens
        .get(id)
        .filter(|t| t.is_valid(secret, now_ms))
        .ok_or_else(unauthorized)?;
    Ok(Principal {
        id: id.to_owned(),
        name: stored.name.clone(),
        role: stored.role,
        tenant: stored.tenant.clone(),
    })
}

#[cfg(test)]
#[path = "../tests/unit/access.rs"]
mod tests;
