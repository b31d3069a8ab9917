//! Who may do what: bearer tokens, stored as hashes, with rights for the service or for one tenant.

use std::collections::BTreeMap;

use base64::Engine as _;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::problem::Problem;

/// What a token may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Everything, for all tenants.
    Operator,
    /// Everything that concerns one tenant alone: its servers, classes, rules and tokens.
    TenantAdmin,
    /// Looking, at one tenant or at all.
    ReadOnly,
}

/// What an operation asks of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Nothing: it tells what anybody may know.
    Public,
    /// The right to look.
    Read,
    /// The right to change what it concerns.
    Write,
    /// An operator's right.
    Operator,
    /// The right to look at all tenants.
    AllTenants,
}

/// A hash of a secret, and until when it is good.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Secret {
    hash: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    until_ms: Option<u64>,
}

/// A token as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// What people call it.
    pub name: String,
    /// What it may do.
    pub role: Role,
    /// The one tenant that it is for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// When it was made, in Unix time.
    pub created_ms: u64,
    /// When it ends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expires_ms: Option<u64>,
    /// Its secrets: the present one first, then one that a rotation lets live on for a while.
    pub secrets: Vec<Secret>,
}

/// Who calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Principal {
    /// The token's id.
    pub id: String,
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// The one tenant that it is for.
    pub tenant: Option<String>,
}

impl Principal {
    /// Whether it may know that a tenant is there.
    pub fn can_see(&self, tenant: &str) -> bool {
        self.tenant.as_deref().is_none_or(|own| own == tenant)
    }

    /// Whether it sees all tenants.
    pub fn sees_all_tenants(&self) -> bool {
        self.tenant.is_none()
    }

    /// Whether it is an operator's.
    pub fn is_operator(&self) -> bool {
        self.role == Role::Operator
    }

    /// Whether an operation is open to it.
    ///
    /// # Errors
    /// It is not.
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

/// What tokens begin with, so that scanners for leaked secrets can know them.
const TOKEN_PREFIX: &str = "cct_";
/// Bytes of an id, and of a secret.
const ID_BYTES: usize = 8;
const SECRET_BYTES: usize = 32;

/// Draws what nobody can guess.
///
/// # Errors
/// The system has no random numbers.
fn random_string<const N: usize>() -> Result<String, Problem> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|e| Problem::internal(format!("random numbers: {e}")))?;
    Ok(BASE64_URL_SAFE_NO_PAD.encode(bytes))
}

/// A secret has 256 bits of chance, so that one round of a hash is enough to keep it.
fn hash_secret(secret: &str) -> String {
    BASE64_URL_SAFE_NO_PAD.encode(Sha256::digest(secret.as_bytes()))
}

/// A new id.
///
/// # Errors
/// The system has no random numbers.
pub fn new_id() -> Result<String, Problem> {
    // Ids stand in paths and in tokens, whose parts underscores divide.
    Ok(random_string::<ID_BYTES>()?.replace(['_', '-'], "0"))
}

/// A new secret for a token: what its owner gets, and what is stored.
///
/// # Errors
/// The system has no random numbers.
pub fn new_secret(id: &str) -> Result<(String, Secret), Problem> {
    let secret = random_string::<SECRET_BYTES>()?;
    let stored = Secret {
        hash: hash_secret(&secret),
        until_ms: None,
    };
    Ok((format!("{TOKEN_PREFIX}{id}_{secret}"), stored))
}

impl Token {
    /// Gives it another secret; the present one is good until the given time. One that an earlier rotation let live on
    /// ends at once.
    pub fn rotate(&mut self, secret: Secret, until_ms: u64) {
        let old = self.secrets.drain(..).next();
        self.secrets.push(secret);
        self.secrets.extend(old.map(|old| Secret {
            until_ms: Some(until_ms),
            ..old
        }));
    }

    /// Until when a former secret is good, if there is one.
    pub fn overlap_end_ms(&self) -> Option<u64> {
        self.secrets.get(1).and_then(|s| s.until_ms)
    }

    fn is_valid(&self, secret: &str, now_ms: u64) -> bool {
        let hash = hash_secret(secret);
        // Every secret is looked at, whichever matches.
        let matches = self.secrets.iter().fold(0, |matches, s| {
            let is_current = u8::from(s.until_ms.is_none_or(|until| now_ms < until));
            matches | (s.hash.as_bytes().ct_eq(hash.as_bytes()).unwrap_u8() & is_current)
        });
        matches == 1 && self.expires_ms.is_none_or(|end| now_ms < end)
    }
}

/// Who presents this value of the header Authorization.
///
/// # Errors
/// It is no good token; which part of it is wrong is not told.
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
