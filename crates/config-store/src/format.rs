//! How records stand in the database: its tables, a checksum before each value, and the format's number.
//!
//! The database has checksums of its own, but looks at them only after a crash; these are looked at on each read.

use redb::{Database, ReadableTable as _, TableDefinition, TableError};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::StoreError;
use crate::record::Entry;

/// The format that this program writes.
pub const FORMAT: u64 = 2;

/// Numbers about the store itself.
pub const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Revisions of documents, by scope and number.
pub const ROWS: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("rows");
/// The newest revision of each scope, also of one that is gone.
pub const HEADS: TableDefinition<&str, u64> = TableDefinition::new("heads");
/// The line of the audit log that each version came with.
pub const VERSIONS: TableDefinition<u64, u64> = TableDefinition::new("versions");
/// The audit log.
pub const AUDIT: TableDefinition<u64, &[u8]> = TableDefinition::new("audit");
/// The lines of the audit log that concern a name: the subject's, and those that the documents' scopes end in. Since format 2.
pub const AUDIT_OF: TableDefinition<(&str, u64), ()> = TableDefinition::new("audit-of");
/// Tokens by id.
pub const TOKENS: TableDefinition<&str, &[u8]> = TableDefinition::new("tokens");
/// Replies to writes that may be repeated, by key.
pub const REPLIES: TableDefinition<&str, &[u8]> = TableDefinition::new("replies");
/// When these replies were given and their keys, oldest first, by number.
pub const REPLY_ORDER: TableDefinition<u64, (u64, &str)> = TableDefinition::new("reply-order");

/// The key of the format's number in [`META`].
pub const FORMAT_KEY: &str = "format";

/// A value's bytes.
pub fn pack<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    let json = serde_json::to_vec(value).map_err(|e| StoreError::Database(e.to_string()))?;
    let mut bytes = crc32fast::hash(&json).to_le_bytes().to_vec();
    bytes.extend_from_slice(&json);
    Ok(bytes)
}

/// A value from its bytes; `what` names it where it is damaged.
pub fn unpack<T: DeserializeOwned>(
    bytes: &[u8],
    what: &dyn Fn() -> String,
) -> Result<T, StoreError> {
    let whole = bytes
        .split_first_chunk::<4>()
        .filter(|(sum, json)| u32::from_le_bytes(**sum) == crc32fast::hash(json))
        .ok_or_else(|| StoreError::Damaged(format!("the checksum of {} does not fit", what())))?;
    serde_json::from_slice(whole.1).map_err(|e| StoreError::Damaged(format!("{}: {e}", what())))
}

/// Makes a new store's tables, or brings an older store's to this program's format. Nothing is written where nothing has to be;
/// what is written is one transaction, so that a process that ends meanwhile leaves the old format.
pub fn prepare(database: &Database) -> Result<(), StoreError> {
    let found = match database.begin_read()?.open_table(META) {
        Ok(meta) => meta.get(FORMAT_KEY)?.map(|v| v.value()),
        Err(TableError::TableDoesNotExist(_)) => None,
        Err(e) => return Err(e.into()),
    };
    match found {
        Some(FORMAT) => return Ok(()),
        Some(found) if found > FORMAT => {
            return Err(StoreError::Newer {
                found,
                known: FORMAT,
            });
        }
        _ => {}
    }
    let write = database.begin_write()?;
    write.open_table(ROWS)?;
    write.open_table(HEADS)?;
    write.open_table(VERSIONS)?;
    write.open_table(TOKENS)?;
    write.open_table(REPLIES)?;
    write.open_table(REPLY_ORDER)?;
    {
        // Format 1 had no table of whom a line concerns.
        let (audit, mut of) = (write.open_table(AUDIT)?, write.open_table(AUDIT_OF)?);
        for line in audit.iter()? {
            let (n, entry) = line?;
            let n = n.value();
            let entry: Entry = unpack(entry.value(), &|| format!("line {n} of the audit log"))?;
            for name in entry.names() {
                of.insert((name, n), ())?;
            }
        }
    }
    write.open_table(META)?.insert(FORMAT_KEY, FORMAT)?;
    Ok(write.commit()?)
}
