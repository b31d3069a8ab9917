//! Creation of a database's tables, and its migration to the current format version.

use redb::{Database, ReadableTable as _, TableError};

use crate::audit::insert_into_index;
use crate::error::StoreError;
use crate::tables::{
    AUDIT, AUDIT_INDEX, FORMAT_KEY, FORMAT_VERSION, LATEST_REVISIONS, META, REPLIES, REPLY_ORDER,
    REVISIONS, TOKENS, VERSIONS, decode_audit_entry,
};

/// Creates the tables of a new database, or migrates an older one to [`FORMAT_VERSION`].
///
/// Writes nothing if the format is current. All writes are one transaction: a crash leaves the older format.
///
/// # Errors
/// [`StoreError::NewerFormat`], or the database can't be read or written.
pub fn prepare(database: &Database) -> Result<(), StoreError> {
    match format_version(database)? {
        Some(FORMAT_VERSION) => Ok(()),
        Some(found) if found > FORMAT_VERSION => Err(StoreError::NewerFormat {
            found,
            known: FORMAT_VERSION,
        }),
        _ => migrate(database),
    }
}

fn format_version(database: &Database) -> Result<Option<u64>, StoreError> {
    match database.begin_read()?.open_table(META) {
        Ok(meta) => Ok(meta.get(FORMAT_KEY)?.map(|version| version.value())),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(e) => Err(e.into()),
    }
}

fn migrate(database: &Database) -> Result<(), StoreError> {
    let write = database.begin_write()?;
    write.open_table(REVISIONS)?;
    write.open_table(LATEST_REVISIONS)?;
    write.open_table(VERSIONS)?;
    write.open_table(TOKENS)?;
    write.open_table(REPLIES)?;
    write.open_table(REPLY_ORDER)?;
    {
        // Format 1 has no index of the audit log.
        let audit = write.open_table(AUDIT)?;
        let mut index = write.open_table(AUDIT_INDEX)?;
        for item in audit.iter()? {
            let (number, bytes) = item?;
            let number = number.value();
            let entry = decode_audit_entry(bytes.value(), number)?;
            insert_into_index(&mut index, number, &entry)?;
        }
    }
    write.open_table(META)?.insert(FORMAT_KEY, FORMAT_VERSION)?;
    Ok(write.commit()?)
}
