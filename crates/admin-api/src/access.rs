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
pub enum Needs {
    /// Nothing: it tells what anybody may know.
    Nothing,
    /// The right to look.
    Read,
    /// The right to change what it concerns.
    Write,
    /// An operator's right.
    Operate,
    /// The right to look at all tenants.
    Oversee,
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
pub struct Who {
    /// The token's id.
    pub id: String,
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// The one tenant that it is for.
    pub tenant: Option<String>,
}

impl Who {
    /// Whether it may know that a tenant is there.
    pub fn sees(&self, tenant: &str) -> bool {
        self.tenant.as_deref().is_none_or(|own| own == tenant)
    }

    /// Whether it sees all tenants.
    pub fn oversees(&self) -> bool {
        self.tenant.is_none()
    }

    /// Whether it is an operator's.
    pub fn operates(&self) -> bool {
        self.role == Role::Operator
    }

    /// Whether an operation is open to it.
    ///
    /// # Errors
    /// It is not.
    pub fn may(&self, needs: Needs) -> Result<(), Problem> {
        let may = match needs {
            Needs::Nothing | Needs::Read => true,
            Needs::Write => self.role != Role::ReadOnly,
            Needs::Operate => self.operates(),
            Needs::Oversee => self.oversees(),
        };
        let why = match needs {
            Needs::Operate => "it needs an operator's token",
            Needs::Oversee => "it needs a token for all tenants",
            _ => "a read-only token changes nothing",
        };
        if may {
            Ok(())
        } else {
            Err(Problem::forbidden(why))
        }
    }
}

/// What tokens begin with, so that scanners for leaked secrets can know them.
const PREFIX: &str = "cct_";
/// Bytes of an id, and of a secret.
const ID: usize = 8;
const SECRET: usize = 32;

/// Draws what nobody can guess.
///
/// # Errors
/// The system has no random numbers.
fn draw<const N: usize>() -> Result<String, Problem> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|e| Problem::internal(format!("random numbers: {e}")))?;
    Ok(BASE64_URL_SAFE_NO_PAD.encode(bytes))
}

/// A secret has 256 bits of chance, so that one round of a hash is enough to keep it.
fn hash(secret: &str) -> String {
    BASE64_URL_SAFE_NO_PAD.encode(Sha256::digest(secret.as_bytes()))
}

/// A new id.
///
/// # Errors
/// The system has no random numbers.
pub fn new_id() -> Result<String, Problem> {
    // Ids stand in paths and in tokens, whose parts underscores divide.
    Ok(draw::<ID>()?.replace(['_', '-'], "0"))
}

/// A new secret for a token: what its owner gets, and what is stored.
///
/// # Errors
/// The system has no random numbers.
pub fn new_secret(id: &str) -> Result<(String, Secret), Problem> {
    let secret = draw::<SECRET>()?;
    let stored = Secret {
        hash: hash(&secret),
        until_ms: None,
    };
    Ok((format!("{PREFIX}{id}_{secret}"), stored))
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
    pub fn overlap_ms(&self) -> Option<u64> {
        self.secrets.get(1).and_then(|s| s.until_ms)
    }

    fn is_good(&self, secret: &str, now_ms: u64) -> bool {
        let hash = hash(secret);
        // Every secret is looked at, whichever fits.
        let fits = self.secrets.iter().fold(0, |fits, s| {
            let alive = u8::from(s.until_ms.is_none_or(|until| now_ms < until));
            fits | (s.hash.as_bytes().ct_eq(hash.as_bytes()).unwrap_u8() & alive)
        });
        fits == 1 && self.expires_ms.is_none_or(|end| now_ms < end)
    }
}

/// Who presents this value of the header Authorization.
///
/// # Errors
/// It is no good token; which part of it is wrong is not told.
pub fn who(
    tokens: &BTreeMap<String, Token>,
    authorization: Option<&str>,
    now_ms: u64,
) -> Result<Who, Problem> {
    let none = || Problem::unauthorized("send Authorization: Bearer with a valid token");
    let (scheme, token) = authorization
        .and_then(|a| a.split_once(' '))
        .ok_or_else(none)?;
    let token = token.trim();
    let (id, secret) = token
        .strip_prefix(PREFIX)
        .and_then(|t| t.split_once('_'))
        .ok_or_else(none)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(none());
    }
    let stored = tokens
        .get(id)
        .filter(|t| t.is_good(secret, now_ms))
        .ok_or_else(none)?;
    Ok(Who {
        id: id.to_owned(),
        name: stored.name.clone(),
        role: stored.role,
        tenant: stored.tenant.clone(),
    })
}

#[cfg(test)]
#[path = "../tests/unit/access.rs"]
mod tests;
