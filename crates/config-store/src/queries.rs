//! Read-only queries of the database, each in one read transaction.

use std::collections::BTreeMap;

use redb::{Database, ReadableTable as _};
use serde_json::Value;

use crate::error::StoreError;
use crate::record::{AuditEntry, DocumentRevision, DocumentVisitor, StoreState};
use crate::tables::{
    AUDIT, AUDIT_INDEX, LATEST_REVISIONS, REPLIES, REVISIONS, TOKENS, VERSIONS, decode,
    decode_audit_entry, decode_revision, describe_revision, missing, referenced_audit_entry,
};

/// Reads the current state without the documents.
pub fn state(database: &Database) -> Result<StoreState, StoreError> {
    let read = database.begin_read()?;
    let versions = read.open_table(VERSIONS)?;
    let audit = read.open_table(AUDIT)?;
    let mut state = StoreState {
        version: versions.last()?.map_or(0, |(version, _)| version.value()),
        last_entry: audit.last()?.map_or(0, |(number, _)| number.value()),
        tokens: BTreeMap::new(),
    };
    for item in read.open_table(TOKENS)?.iter()? {
        let (id, bytes) = item?;
        let token = decode(bytes.value(), || format!("token {}", id.value()))?;
        state.tokens.insert(id.value().to_owned(), token);
    }
    Ok(state)
}

/// Visits the current documents in the order of their scopes.
pub fn visit_documents(database: &Database, visit: DocumentVisitor<'_>) -> Result<(), StoreError> {
    let read = database.begin_read()?;
    let revisions = read.open_table(REVISIONS)?;
    let latest = read.open_table(LATEST_REVISIONS)?;
    for item in latest.iter()? {
        let (scope, revision) = item?;
        let scope = scope.value();
        let revision = revision.value();
        let bytes = revisions
            .get((scope, revision))?
            .ok_or_else(|| missing(&describe_revision(scope, revision)))?;
        if let Some(document) = decode_revision(bytes.value(), scope, revision)?.document {
            visit(scope, revision, document);
        }
    }
    Ok(())
}

/// Returns the revision number that the next change of a scope gets.
pub fn next_revision(database: &Database, scope: &str) -> Result<u64, StoreError> {
    let read = database.begin_read()?;
    let latest = read.open_table(LATEST_REVISIONS)?.get(scope)?;
    Ok(latest.map_or(0, |revision| revision.value()) + 1)
}

/// Returns one revision of a document.
pub fn revision(
    database: &Database,
    scope: &str,
    revision: u64,
) -> Result<Option<DocumentRevision>, StoreError> {
    let read = database.begin_read()?;
    let bytes = read.open_table(REVISIONS)?.get((scope, revision))?;
    bytes
        .map(|bytes| decode_revision(bytes.value(), scope, revision))
        .transpose()
}

/// Returns at most `limit` revisions of a document below one, the newest first.
pub fn history(
    database: &Database,
    scope: &str,
    below: u64,
    limit: usize,
) -> Result<Vec<(u64, DocumentRevision)>, StoreError> {
    let read = database.begin_read()?;
    let revisions = read.open_table(REVISIONS)?;
    let mut history = Vec::new();
    for item in revisions
        .range((scope, 0)..(scope, below))?
        .rev()
        .take(limit)
    {
        let (key, bytes) = item?;
        let revision = key.value().1;
        history.push((revision, decode_revision(bytes.value(), scope, revision)?));
    }
    Ok(history)
}

/// Returns the documents at a version by scope; `None` if the version is not retained.
pub fn documents_at(
    database: &Database,
    version: u64,
) -> Result<Option<BTreeMap<String, Value>>, StoreError> {
    let read = database.begin_read()?;
    if read.open_table(VERSIONS)?.get(version)?.is_none() {
        return Ok(None);
    }
    let revisions = read.open_table(REVISIONS)?;
    let mut documents = BTreeMap::new();
    for item in read.open_table(LATEST_REVISIONS)?.iter()? {
        let scope = item?.0;
        let scope = scope.value();
        for item in revisions.range((scope, 0)..=(scope, u64::MAX))?.rev() {
            let (key, bytes) = item?;
            let found = decode_revision(bytes.value(), scope, key.value().1)?;
            if found.version > version {
                continue;
            }
            if let Some(document) = found.document {
                documents.insert(scope.to_owned(), document);
            }
            break;
        }
    }
    Ok(Some(documents))
}

/// Returns at most `limit` retained versions below one with their audit entries, the newest first.
pub fn versions(
    database: &Database,
    below: u64,
    limit: usize,
) -> Result<Vec<(u64, AuditEntry)>, StoreError> {
    let read = database.begin_read()?;
    let versions = read.open_table(VERSIONS)?;
    let audit = read.open_table(AUDIT)?;
    let mut found = Vec::new();
    for item in versions.range(..below)?.rev().take(limit) {
        let (version, number) = item?;
        let entry = referenced_audit_entry(&audit, number.value())?;
        found.push((version.value(), entry));
    }
    Ok(found)
}

/// Returns one entry of the audit log.
pub fn audit_entry(database: &Database, number: u64) -> Result<Option<AuditEntry>, StoreError> {
    let read = database.begin_read()?;
    let bytes = read.open_table(AUDIT)?.get(number)?;
    bytes
        .map(|bytes| decode_audit_entry(bytes.value(), number))
        .transpose()
}

/// Returns at most `limit` entries of the audit log below one, the newest first.
pub fn audit_log(
    database: &Database,
    below: u64,
    limit: usize,
) -> Result<Vec<(u64, AuditEntry)>, StoreError> {
    let read = database.begin_read()?;
    let audit = read.open_table(AUDIT)?;
    let mut entries = Vec::new();
    for item in audit.range(..below)?.rev().take(limit) {
        let (number, bytes) = item?;
        let number = number.value();
        entries.push((number, decode_audit_entry(bytes.value(), number)?));
    }
    Ok(entries)
}

/// Like [`audit_log`], but returns only entries that are indexed under a name.
pub fn audit_log_of(
    database: &Database,
    name: &str,
    below: u64,
    limit: usize,
) -> Result<Vec<(u64, AuditEntry)>, StoreError> {
    let read = database.begin_read()?;
    let audit = read.open_table(AUDIT)?;
    let index = read.open_table(AUDIT_INDEX)?;
    let mut entries = Vec::new();
    for item in index.range((name, 0)..(name, below))?.rev().take(limit) {
        let number = item?.0.value().1;
        entries.push((number, referenced_audit_entry(&audit, number)?));
    }
    Ok(entries)
}

/// Returns the stored reply of an idempotency key.
pub fn reply(database: &Database, key: &str) -> Result<Option<Value>, StoreError> {
    let read = database.begin_read()?;
    let bytes = read.open_table(REPLIES)?.get(key)?;
    bytes
        .map(|bytes| decode(bytes.value(), || format!("the reply to {key}")))
        .transpose()
}
