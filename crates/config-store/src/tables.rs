//! Tables of the database, and the encoding of their values: a checksum, then JSON.

use redb::{ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::checksum::{frame, verified_payload};
use crate::error::StoreError;
use crate::record::{AuditEntry, DocumentRevision};

/// Format version that this program writes.
pub const FORMAT_VERSION: u64 = 2;

/// Numbers about the store itself.
pub const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Document revisions by scope and revision number.
pub const REVISIONS: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("rows");
/// Latest revision number of each scope; also of a deleted document.
pub const LATEST_REVISIONS: TableDefinition<&str, u64> = TableDefinition::new("heads");
/// Audit entry number by version.
pub const VERSIONS: TableDefinition<u64, u64> = TableDefinition::new("versions");
/// Audit entries by number.
pub const AUDIT: TableDefinition<u64, &[u8]> = TableDefinition::new("audit");
/// Index of audit entries by name ([`AuditEntry::index_names`]) and number. Since format 2.
pub const AUDIT_INDEX: TableDefinition<(&str, u64), ()> = TableDefinition::new("audit-of");
/// Tokens by id.
pub const TOKENS: TableDefinition<&str, &[u8]> = TableDefinition::new("tokens");
/// Replies by idempotency key.
pub const REPLIES: TableDefinition<&str, &[u8]> = TableDefinition::new("replies");
/// Unix time in ms and idempotency key of each reply, by number; the oldest first.
pub const REPLY_ORDER: TableDefinition<u64, (u64, &str)> = TableDefinition::new("reply-order");

/// Key of the format version in [`META`].
pub const FORMAT_KEY: &str = "format";

/// Encodes a record.
///
/// # Errors
/// [`StoreError::Encoding`].
pub fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>, StoreError> {
    let json = serde_json::to_vec(record).map_err(StoreError::Encoding)?;
    Ok(frame(&json))
}

/// Decodes a record; `describe` names it in the error.
///
/// # Errors
/// [`StoreError::Corrupted`] if the checksum or the JSON is wrong.
pub fn decode<T: DeserializeOwned>(
    bytes: &[u8],
    describe: impl Fn() -> String,
) -> Result<T, StoreError> {
    let json = verified_payload(bytes).ok_or_else(|| {
        StoreError::Corrupted(format!("the checksum of {} does not match", describe()))
    })?;
    serde_json::from_slice(json).map_err(|e| StoreError::Corrupted(format!("{}: {e}", describe())))
}

/// Decodes a document revision.
///
/// # Errors
/// As [`decode`].
pub fn decode_revision(
    bytes: &[u8],
    scope: &str,
    revision: u64,
) -> Result<DocumentRevision, StoreError> {
    decode(bytes, || describe_revision(scope, revision))
}

/// Decodes an audit entry.
///
/// # Errors
/// As [`decode`].
pub fn decode_audit_entry(bytes: &[u8], number: u64) -> Result<AuditEntry, StoreError> {
    decode(bytes, || describe_audit_entry(number))
}

/// Reads an audit entry that another table refers to.
///
/// # Errors
/// As [`decode`]; [`StoreError::Corrupted`] if the entry is missing.
pub fn referenced_audit_entry(
    audit: &impl ReadableTable<u64, &'static [u8]>,
    number: u64,
) -> Result<AuditEntry, StoreError> {
    let Some(bytes) = audit.get(number)? else {
        return Err(missing(&describe_audit_entry(number)));
    };
    decode_audit_entry(bytes.value(), number)
}

/// Builds the error for a missing record that another one refers to.
pub fn missing(description: &str) -> StoreError {
    StoreError::Corrupted(format!("{description} is missing"))
}

/// Names a document revision in messages.
pub fn describe_revision(scope: &str, revision: u64) -> String {
    format!("revision {revision} of {scope}")
}

/// Names an audit entry in messages.
pub fn describe_audit_entry(number: u64) -> String {
    format!("entry {number} of the audit log")
}
