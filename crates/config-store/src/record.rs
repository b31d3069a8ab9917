//! What a store keeps.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Who changed something.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// The token's id, or the program's name.
    pub id: String,
    /// What people call it.
    pub name: String,
}

/// A line of the audit log: who did what, when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When, in Unix time.
    pub at_ms: u64,
    /// Who.
    pub by: Author,
    /// What was done, such as `server.drain`.
    pub action: String,
    /// The tenant that it was done to, if it was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subject: Option<String>,
    /// More about it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// The version that came of it; none where no document changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Versions before it were skipped, as they may have been given where nothing is known of them any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub skipped: bool,
    /// The documents that changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub edits: Vec<Edited>,
}

impl Entry {
    /// The names that it concerns, each once: its subject's, and those that its documents' scopes end in.
    pub fn names(&self) -> BTreeSet<&str> {
        let edited = self
            .edits
            .iter()
            .filter_map(|e| e.scope.split_once('/').map(|(_, name)| name));
        self.subject.as_deref().into_iter().chain(edited).collect()
    }
}

/// A document that changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edited {
    /// Which.
    pub scope: String,
    /// Its revision afterwards.
    pub rev: u64,
    /// It is gone.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub gone: bool,
}

/// One revision of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The version that it came with.
    pub version: u64,
    /// Its line in the audit log.
    pub entry: u64,
    /// The document; none where it was taken away.
    pub document: Option<Value>,
}

/// All that is there now, but for the documents: those are read one by one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// The version; 0 before the first.
    pub version: u64,
    /// The last entry of the audit log; 0 before the first.
    pub entry: u64,
    /// The tokens by id.
    pub tokens: BTreeMap<String, Value>,
}
