//! Verification of a whole database: page checksums, record checksums, and references between records.

use redb::{ReadTransaction, ReadableTable as _, ReadableTableMetadata as _};

use crate::database::RecoverableDatabase;
use crate::error::StoreError;
use crate::queries;
use crate::tables::{
    AUDIT, AUDIT_INDEX, REVISIONS, VERSIONS, decode_audit_entry, decode_revision,
    describe_audit_entry, referenced_audit_entry,
};

/// Verifies all contents of a database.
///
/// # Errors
/// The first inconsistency, as [`StoreError::Corrupted`], or the database can't be read.
pub fn verify(database: &mut RecoverableDatabase) -> Result<(), StoreError> {
    if !database.verify_pages()? {
        return Err(corrupted("the database was repaired; check it again"));
    }
    queries::state(database)?;
    queries::visit_documents(database, &mut |_, _, _| {})?;
    let read = database.begin_read()?;
    verify_revisions(&read)?;
    verify_audit_index(&read)?;
    verify_versions(&read)
}

fn corrupted(reason: impl Into<String>) -> StoreError {
    StoreError::Corrupted(reason.into())
}

fn verify_revisions(read: &ReadTransaction) -> Result<(), StoreError> {
    for item in read.open_table(REVISIONS)?.iter()? {
        let (key, bytes) = item?;
        let (scope, revision) = key.value();
        decode_revision(bytes.value(), scope, revision)?;
    }
    Ok(())
}

/// Verifies that the index has exactly the names of all audit entries.
fn verify_audit_index(read: &ReadTransaction) -> Result<(), StoreError> {
    let index = read.open_table(AUDIT_INDEX)?;
    let mut expected_length = 0;
    for item in read.open_table(AUDIT)?.iter()? {
        let (number, bytes) = item?;
        let number = number.value();
        let entry = decode_audit_entry(bytes.value(), number)?;
        for name in entry.index_names() {
            if index.get((name, number))?.is_none() {
                let described = describe_audit_entry(number);
                return Err(corrupted(format!(
                    "{described} is missing from the index under {name}"
                )));
            }
            expected_length += 1;
        }
    }
    if index.len()? != expected_length {
        return Err(corrupted(
            "the index of the audit log names entries that are missing",
        ));
    }
    Ok(())
}

/// Verifies that versions have no gaps but the declared ones, and that each audit entry names its version.
fn verify_versions(read: &ReadTransaction) -> Result<(), StoreError> {
    let audit = read.open_table(AUDIT)?;
    let mut expected = None;
    for item in read.open_table(VERSIONS)?.iter()? {
        let (version, number) = item?;
        let version = version.value();
        let number = number.value();
        let entry = referenced_audit_entry(&audit, number)?;
        let follows_gap = expected.is_some_and(|expected| expected != version);
        if follows_gap && !entry.follows_version_gap {
            return Err(corrupted(format!(
                "the version before {version} is missing"
            )));
        }
        expected = Some(version + 1);
        if entry.version != Some(version) {
            let described = describe_audit_entry(number);
            return Err(corrupted(format!("{described} is not version {version}")));
        }
    }
    Ok(())
}
