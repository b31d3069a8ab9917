//! The store: queries, commits, and recovery of the database after a failed commit.

use std::collections::BTreeMap;
use std::path::Path;

use redb::Database;
use serde_json::Value;

use crate::commit::commit;
use crate::corruption::catch_corruption;
use crate::database::{RecoverableDatabase, create_file, open_file};
use crate::error::StoreError;
use crate::integrity;
use crate::migration::prepare;
use crate::queries;
use crate::record::{AuditEntry, DocumentEdit, DocumentRevision, DocumentVisitor, StoreState};
use crate::retention::Retention;
use crate::transaction::Transaction;

/// Name of the store's file in its directory.
pub const FILE_NAME: &str = "state.redb";

/// Size of the database's page cache, in bytes. Small, as callers hold the current documents and rarely read the history.
const CACHE_BYTES: usize = 4 << 20;

/// Function that opens the database, from a file or from the storage of a test.
pub type Opener = Box<dyn Fn() -> Result<RecoverableDatabase, StoreError> + Send>;

/// Documents with their revisions, the audit log, tokens and replies.
pub struct Store {
    opener: Opener,
    /// `None` after a failure, until the database is reopened.
    database: Option<RecoverableDatabase>,
    retention: Retention,
    version: u64,
    last_entry: u64,
}

impl Store {
    /// Opens the store of a directory, or creates one.
    ///
    /// # Errors
    /// The store is locked, corrupted or of a newer format, or the system reports an error.
    pub fn open(directory: &Path, retention: Retention) -> Result<(Self, StoreState), StoreError> {
        std::fs::create_dir_all(directory)?;
        let file = directory.join(FILE_NAME);
        if !file.exists() {
            create_file(directory, FILE_NAME, prepare)?;
        }
        let path = file.clone();
        let opener = move || open_file(&file, CACHE_BYTES);
        Store::with_opener(Box::new(opener), retention).map_err(|e| e.in_file(&path))
    }

    /// Opens the existing store of a directory.
    ///
    /// # Errors
    /// As [`Store::open`]; [`StoreError::Missing`] if there is none.
    pub fn open_existing(
        directory: &Path,
        retention: Retention,
    ) -> Result<(Self, StoreState), StoreError> {
        if !directory.join(FILE_NAME).exists() {
            return Err(StoreError::Missing(directory.display().to_string()));
        }
        Store::open(directory, retention)
    }

    /// Opens a store through an opener, which is called again after a failed commit.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn with_opener(
        opener: Opener,
        retention: Retention,
    ) -> Result<(Self, StoreState), StoreError> {
        let mut store = Store {
            opener,
            database: None,
            retention,
            version: 0,
            last_entry: 0,
        };
        let state = store.reload()?;
        Ok((store, state))
    }

    /// Reopens the database and reads the state, after a failure or a change by other means than [`Store::commit`].
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn reload(&mut self) -> Result<StoreState, StoreError> {
        self.close(); // releases the lock
        let (database, state) = catch_corruption(|| {
            let database = (self.opener)()?;
            prepare(&database)?;
            let state = queries::state(&database)?;
            Ok((database, state))
        })?;
        self.version = state.version;
        self.last_entry = state.last_entry;
        self.database = Some(database);
        Ok(state)
    }

    /// Closes the database. A corrupted one may panic then; the panic is ignored, as the database is dropped in any case.
    fn close(&mut self) {
        let database = self.database.take();
        let _ = catch_corruption(|| {
            drop(database);
            Ok(())
        });
    }

    pub(crate) fn database(&self) -> Result<&Database, StoreError> {
        self.database.as_deref().ok_or(StoreError::Closed)
    }

    /// Returns the current version; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of the last audit entry; 0 before the first.
    pub fn last_entry(&self) -> u64 {
        self.last_entry
    }

    /// Commits a transaction. It survives a crash once this returns.
    ///
    /// After an error that leaves it unknown whether the transaction was applied, reopens the database to find out.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] if the transaction was built on another state; otherwise the reason why it was not applied.
    pub fn commit(&mut self, transaction: &Transaction) -> Result<AuditEntry, StoreError> {
        if self.database.is_none() {
            self.reload()?;
        }
        if transaction.base_entry != self.last_entry {
            return Err(StoreError::Conflict {
                found: self.last_entry,
                expected: transaction.base_entry,
            });
        }
        let entry = self.audit_entry_for(transaction)?;
        let committed =
            catch_corruption(|| commit(self.database()?, transaction, &entry, &self.retention));
        if let Err(error) = committed {
            self.reload()?;
            let applied = self.last_entry != transaction.base_entry;
            return if applied { Ok(entry) } else { Err(error) };
        }
        self.last_entry += 1;
        self.version = entry.version.unwrap_or(self.version);
        Ok(entry)
    }

    /// Builds the audit entry of a transaction.
    fn audit_entry_for(&self, transaction: &Transaction) -> Result<AuditEntry, StoreError> {
        let next = self.version + 1;
        let version = match transaction.minimum_version {
            Some(minimum) => Some(minimum.max(next)),
            None => (!transaction.edits.is_empty()).then_some(next),
        };
        let mut edits = Vec::with_capacity(transaction.edits.len());
        for (scope, document) in &transaction.edits {
            edits.push(DocumentEdit {
                scope: scope.clone(),
                revision: self.next_revision(scope)?,
                deleted: document.is_none(),
            });
        }
        Ok(AuditEntry {
            at_ms: transaction.at_ms,
            author: transaction.author.clone(),
            action: transaction.action.clone(),
            subject: transaction.subject.clone(),
            detail: transaction.detail.clone(),
            version,
            follows_version_gap: transaction
                .minimum_version
                .is_some_and(|minimum| minimum > next),
            edits,
        })
    }

    /// Visits the current documents in the order of their scopes, with one of them in memory at a time.
    ///
    /// # Errors
    /// The store can't be read; earlier documents were visited.
    pub fn visit_documents(&self, visit: DocumentVisitor<'_>) -> Result<(), StoreError> {
        catch_corruption(|| queries::visit_documents(self.database()?, visit))
    }

    /// Returns the current revision number and document of a scope.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn document(&self, scope: &str) -> Result<Option<(u64, Value)>, StoreError> {
        let latest = self.next_revision(scope)? - 1;
        if latest == 0 {
            return Ok(None);
        }
        let document = self
            .revision(scope, latest)?
            .and_then(|found| found.document);
        Ok(document.map(|document| (latest, document)))
    }

    /// Returns the revision number that the next change of a scope gets.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn next_revision(&self, scope: &str) -> Result<u64, StoreError> {
        catch_corruption(|| queries::next_revision(self.database()?, scope))
    }

    /// Returns one revision of a document.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn revision(
        &self,
        scope: &str,
        revision: u64,
    ) -> Result<Option<DocumentRevision>, StoreError> {
        queries::revision(self.database()?, scope, revision)
    }

    /// Returns at most `limit` revisions of a document below one, the newest first, each with its number.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn history(
        &self,
        scope: &str,
        below: u64,
        limit: usize,
    ) -> Result<Vec<(u64, DocumentRevision)>, StoreError> {
        queries::history(self.database()?, scope, below, limit)
    }

    /// Returns the documents at a version by scope; `None` if the version is not retained.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn documents_at(
        &self,
        version: u64,
    ) -> Result<Option<BTreeMap<String, Value>>, StoreError> {
        queries::documents_at(self.database()?, version)
    }

    /// Returns at most `limit` retained versions below one, the newest first, each with its number.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn versions(&self, below: u64, limit: usize) -> Result<Vec<(u64, AuditEntry)>, StoreError> {
        queries::versions(self.database()?, below, limit)
    }

    /// Returns one entry of the audit log.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn audit_entry(&self, number: u64) -> Result<Option<AuditEntry>, StoreError> {
        queries::audit_entry(self.database()?, number)
    }

    /// Returns at most `limit` audit entries below one, the newest first, each with its number; with a name only the entries
    /// that concern it ([`AuditEntry::index_names`]).
    ///
    /// # Errors
    /// The store can't be read.
    pub fn audit_log(
        &self,
        name: Option<&str>,
        below: u64,
        limit: usize,
    ) -> Result<Vec<(u64, AuditEntry)>, StoreError> {
        match name {
            Some(name) => queries::audit_log_of(self.database()?, name, below, limit),
            None => queries::audit_log(self.database()?, below, limit),
        }
    }

    /// Returns the stored reply of an idempotency key.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn reply(&self, key: &str) -> Result<Option<Value>, StoreError> {
        queries::reply(self.database()?, key)
    }

    /// Verifies all contents of the store: page checksums, record checksums, and references between records.
    ///
    /// # Errors
    /// The first inconsistency, or the store can't be read.
    pub fn verify(&mut self) -> Result<(), StoreError> {
        let database = self.database.as_mut().ok_or(StoreError::Closed)?;
        catch_corruption(|| integrity::verify(database))
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.close();
    }
}
