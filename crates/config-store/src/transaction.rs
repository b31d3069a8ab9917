//! One atomic change of the store.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::record::{AuditEntry, Author, StoreState};

/// Changes that are applied together or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Number of the last audit entry that the transaction was built on.
    #[serde(rename = "base")]
    pub base_entry: u64,
    /// Unix time of the change, in ms.
    pub at_ms: u64,
    /// Originator of the change.
    #[serde(rename = "by")]
    pub author: Author,
    /// Name of the action, such as `server.drain`.
    pub action: String,
    /// Tenant that the action concerns, if it concerns one.
    pub subject: Option<String>,
    /// Free text about the action.
    pub detail: Option<String>,
    /// Documents by scope; `None` deletes the document.
    pub edits: Vec<(String, Option<Value>)>,
    /// Tokens by id; `None` revokes the token.
    pub tokens: Vec<(String, Option<Value>)>,
    /// Reply to a repetition of this write, by idempotency key.
    pub reply: Option<(String, Value)>,
    /// Lowest version that this transaction may produce. A restored cluster skips the versions that its lost log may have
    /// assigned.
    #[serde(rename = "skip_to", default, skip_serializing_if = "Option::is_none")]
    pub minimum_version: Option<u64>,
}

impl StoreState {
    /// Applies a committed transaction and its audit entry, so that the state equals the stored one.
    pub fn apply(&mut self, transaction: &Transaction, entry: &AuditEntry) {
        self.last_entry = transaction.base_entry + 1;
        self.version = entry.version.unwrap_or(self.version);
        for (id, token) in &transaction.tokens {
            match token {
                Some(token) => drop(self.tokens.insert(id.clone(), token.clone())),
                None => drop(self.tokens.remove(id)),
            }
        }
    }
}
