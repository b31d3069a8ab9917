//! Writes of one transaction to the database.

use redb::{Database, WriteTransaction};

use crate::audit;
use crate::error::StoreError;
use crate::record::{AuditEntry, DocumentRevision};
use crate::retention::{Retention, prune};
use crate::tables::{LATEST_REVISIONS, REPLIES, REPLY_ORDER, REVISIONS, TOKENS, VERSIONS, encode};
use crate::transaction::Transaction;

/// Writes a transaction under its audit entry, prunes the history, and makes both durable.
///
/// # Errors
/// The database can't be written. After an error of the final commit it is unknown whether the transaction was applied.
pub fn commit(
    database: &Database,
    transaction: &Transaction,
    entry: &AuditEntry,
    retention: &Retention,
) -> Result<(), StoreError> {
    let number = transaction.base_entry + 1;
    let write = database.begin_write()?;
    write_documents(&write, number, transaction, entry)?;
    write_tokens(&write, transaction)?;
    audit::insert(&write, number, entry)?;
    write_reply(&write, number, transaction)?;
    if let Some(version) = entry.version {
        write.open_table(VERSIONS)?.insert(version, number)?;
    }
    prune(&write, retention, number, transaction.at_ms)?;
    Ok(write.commit()?)
}

fn write_documents(
    write: &WriteTransaction,
    number: u64,
    transaction: &Transaction,
    entry: &AuditEntry,
) -> Result<(), StoreError> {
    let mut revisions = write.open_table(REVISIONS)?;
    let mut latest = write.open_table(LATEST_REVISIONS)?;
    for (edit, (scope, document)) in entry.edits.iter().zip(&transaction.edits) {
        let revision = DocumentRevision {
            version: entry.version.unwrap_or_default(),
            audit_entry: number,
            document: document.clone(),
        };
        revisions.insert(
            (scope.as_str(), edit.revision),
            encode(&revision)?.as_slice(),
        )?;
        latest.insert(scope.as_str(), edit.revision)?;
    }
    Ok(())
}

fn write_tokens(write: &WriteTransaction, transaction: &Transaction) -> Result<(), StoreError> {
    let mut tokens = write.open_table(TOKENS)?;
    for (id, token) in &transaction.tokens {
        match token {
            Some(token) => tokens.insert(id.as_str(), encode(token)?.as_slice())?,
            None => tokens.remove(id.as_str())?,
        };
    }
    Ok(())
}

fn write_reply(
    write: &WriteTransaction,
    number: u64,
    transaction: &Transaction,
) -> Result<(), StoreError> {
    let Some((key, reply)) = &transaction.reply else {
        return Ok(());
    };
    write
        .open_table(REPLIES)?
        .insert(key.as_str(), encode(reply)?.as_slice())?;
    write
        .open_table(REPLY_ORDER)?
        .insert(number, (transaction.at_ms, key.as_str()))?;
    Ok(())
}
