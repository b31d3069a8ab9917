//! Bounds of the history, and the removal of records that exceed them.

use redb::{AccessGuard, ReadableTable as _, ReadableTableMetadata as _, Table, WriteTransaction};

use crate::error::StoreError;
use crate::record::DocumentEdit;
use crate::tables::{
    AUDIT, AUDIT_INDEX, LATEST_REVISIONS, REPLIES, REPLY_ORDER, REVISIONS, VERSIONS,
    decode_audit_entry, referenced_audit_entry,
};

/// Bounds of the history. Each commit removes records that exceed them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Maximum number of versions.
    pub versions: u64,
    /// Maximum number of audit entries; entries of retained versions are kept above this maximum.
    pub audit_entries: u64,
    /// Maximum number of replies to writes with an idempotency key.
    pub replies: u64,
    /// Lifetime of such a reply, in ms.
    pub reply_ttl_ms: u64,
}

impl Default for Retention {
    fn default() -> Self {
        Retention {
            versions: 1000,
            audit_entries: 100_000,
            replies: 10_000,
            reply_ttl_ms: 24 * 3600 * 1000,
        }
    }
}

/// Maximum number of records of each kind that one commit removes, which bounds the duration of a commit.
const MAX_REMOVALS_PER_COMMIT: usize = 64;

/// Removes records that exceed the retention, as part of the transaction whose audit entry is `number`.
///
/// # Errors
/// The database can't be written, or is corrupted.
pub fn prune(
    write: &WriteTransaction,
    retention: &Retention,
    number: u64,
    now_ms: u64,
) -> Result<(), StoreError> {
    prune_versions(write, retention)?;
    prune_audit_entries(write, retention, number)?;
    prune_replies(write, retention, now_ms)
}

fn prune_versions(write: &WriteTransaction, retention: &Retention) -> Result<(), StoreError> {
    let mut versions = write.open_table(VERSIONS)?;
    let mut documents = DocumentTables {
        revisions: write.open_table(REVISIONS)?,
        latest: write.open_table(LATEST_REVISIONS)?,
    };
    let audit = write.open_table(AUDIT)?;
    for _ in 0..MAX_REMOVALS_PER_COMMIT {
        if versions.len()? <= retention.versions {
            break;
        }
        let mut oldest = versions.iter()?;
        let (Some(first), Some(second)) = (oldest.next(), oldest.next()) else {
            break;
        };
        let first_version = first?.0.value();
        let second_entry = second?.1.value();
        drop(oldest);
        // The oldest version alone uses the revisions that the second version replaced.
        for edit in &referenced_audit_entry(&audit, second_entry)?.edits {
            documents.remove_replaced(edit)?;
        }
        versions.remove(first_version)?;
    }
    Ok(())
}

struct DocumentTables<'w> {
    revisions: Table<'w, (&'static str, u64), &'static [u8]>,
    latest: Table<'w, &'static str, u64>,
}

impl DocumentTables<'_> {
    /// Removes the revision that an edit replaced. For a deletion, also removes the revision of the deletion, and the scope
    /// if it was not written again.
    fn remove_replaced(&mut self, edit: &DocumentEdit) -> Result<(), StoreError> {
        let scope = edit.scope.as_str();
        self.revisions.remove((scope, edit.revision - 1))?;
        if !edit.deleted {
            return Ok(());
        }
        self.revisions.remove((scope, edit.revision))?;
        let is_latest = self
            .latest
            .get(scope)?
            .is_some_and(|revision| revision.value() == edit.revision);
        if is_latest {
            self.latest.remove(scope)?;
        }
        Ok(())
    }
}

fn prune_audit_entries(
    write: &WriteTransaction,
    retention: &Retention,
    number: u64,
) -> Result<(), StoreError> {
    let versions = write.open_table(VERSIONS)?;
    let mut audit = write.open_table(AUDIT)?;
    let mut index = write.open_table(AUDIT_INDEX)?;
    // Entries of retained versions are kept, regardless of the length of the log.
    let oldest_referenced = versions.first()?.map_or(number, |(_, entry)| entry.value());
    let first_retained =
        oldest_referenced.min((number + 1).saturating_sub(retention.audit_entries));
    for _ in 0..MAX_REMOVALS_PER_COMMIT {
        let first = audit.first()?.map(|(first, _)| first.value());
        let Some(first) = first.filter(|first| *first < first_retained) else {
            break;
        };
        let entry = match audit.remove(first)? {
            Some(bytes) => decode_audit_entry(bytes.value(), first)?,
            None => break,
        };
        for name in entry.index_names() {
            index.remove((name, first))?;
        }
    }
    Ok(())
}

/// Row of [`REPLY_ORDER`].
struct StoredReply {
    number: u64,
    at_ms: u64,
    key: String,
}

impl StoredReply {
    fn new(number: &AccessGuard<'_, u64>, value: &AccessGuard<'_, (u64, &'static str)>) -> Self {
        let (at_ms, key) = value.value();
        StoredReply {
            number: number.value(),
            at_ms,
            key: key.to_owned(),
        }
    }
}

fn prune_replies(
    write: &WriteTransaction,
    retention: &Retention,
    now_ms: u64,
) -> Result<(), StoreError> {
    let mut order = write.open_table(REPLY_ORDER)?;
    let mut replies = write.open_table(REPLIES)?;
    for _ in 0..MAX_REMOVALS_PER_COMMIT {
        let too_many = order.len()? > retention.replies;
        let Some(oldest) = order
            .first()?
            .map(|(number, value)| StoredReply::new(&number, &value))
        else {
            break;
        };
        let expired = now_ms.saturating_sub(oldest.at_ms) > retention.reply_ttl_ms;
        if !too_many && !expired {
            break;
        }
        replies.remove(oldest.key.as_str())?;
        order.remove(oldest.number)?;
    }
    Ok(())
}
