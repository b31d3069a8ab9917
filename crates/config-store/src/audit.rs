//! Writes of the audit log and its index by name.

use redb::{Table, WriteTransaction};

use crate::error::StoreError;
use crate::record::AuditEntry;
use crate::tables::{AUDIT, AUDIT_INDEX, encode};

/// Inserts an audit entry and indexes it.
///
/// # Errors
/// The database can't be written.
pub fn insert(write: &WriteTransaction, number: u64, entry: &AuditEntry) -> Result<(), StoreError> {
    write
        .open_table(AUDIT)?
        .insert(number, encode(entry)?.as_slice())?;
    let mut index = write.open_table(AUDIT_INDEX)?;
    insert_into_index(&mut index, number, entry)
}

/// Indexes an audit entry under each of its names.
///
/// # Errors
/// The database can't be written.
pub fn insert_into_index(
    index: &mut Table<'_, (&'static str, u64), ()>,
    number: u64,
    entry: &AuditEntry,
) -> Result<(), StoreError> {
    for name in entry.index_names() {
        index.insert((name, number), ())?;
    }
    Ok(())
}
