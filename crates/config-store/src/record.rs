//! Records as the store returns them, with their JSON forms.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Callback for documents, one at a time: scope, revision, document.
pub type DocumentVisitor<'a> = &'a mut dyn FnMut(&str, u64, Value);

/// Originator of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// Token id, or the program's name.
    pub id: String,
    /// Display name.
    pub name: String,
}

/// Entry of the audit log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Unix time of the change, in ms.
    pub at_ms: u64,
    /// Originator of the change.
    #[serde(rename = "by")]
    pub author: Author,
    /// Name of the action, such as `server.drain`.
    pub action: String,
    /// Tenant that the action concerns, if it concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subject: Option<String>,
    /// Free text about the action.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Version that the change produced; `None` if no document changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// True if versions were skipped before this one, because a lost log may have assigned them.
    #[serde(
        rename = "skipped",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub follows_version_gap: bool,
    /// Documents that changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub edits: Vec<DocumentEdit>,
}

impl AuditEntry {
    /// Returns the names that index this entry, each once: its subject, and the last parts of its documents' scopes.
    pub fn index_names(&self) -> BTreeSet<&str> {
        let edited = self
            .edits
            .iter()
            .filter_map(|edit| edit.scope.split_once('/').map(|(_, name)| name));
        self.subject.as_deref().into_iter().chain(edited).collect()
    }
}

/// Change of one document, in an audit entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentEdit {
    /// Scope of the document.
    pub scope: String,
    /// Revision that the change produced.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// The change deleted the document.
    #[serde(rename = "gone", default, skip_serializing_if = "std::ops::Not::not")]
    pub deleted: bool,
}

/// One revision of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentRevision {
    /// Version that introduced the revision.
    pub version: u64,
    /// Number of its audit entry.
    #[serde(rename = "entry")]
    pub audit_entry: u64,
    /// Document; `None` for a deletion.
    pub document: Option<Value>,
}

/// Current state without the documents, which are visited one at a time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreState {
    /// Current version; 0 before the first.
    pub version: u64,
    /// Number of the last audit entry; 0 before the first.
    pub last_entry: u64,
    /// Tokens by id.
    pub tokens: BTreeMap<String, Value>,
}
