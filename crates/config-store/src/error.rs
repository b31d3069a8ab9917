//! What can be wrong with a store.

use std::io;

/// What is wrong with a store, and what to do about it.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There is none.
    #[error("{0}: there is no store")]
    Missing(String),
    /// Another process has it open.
    #[error("the store is open in another process; end that one first")]
    Locked,
    /// A newer program has written it.
    #[error(
        "the store has format {found}, and this program knows none beyond {known}: use the program that wrote it, or \
         export there and import here"
    )]
    Newer {
        /// The store's format.
        found: u64,
        /// The newest that this program knows.
        known: u64,
    },
    /// What it holds is not what was written.
    #[error(
        "the store is damaged: {0}; put a copy of it aside, then bring back a backup or import an export (canvascart store \
         import), or serve the last known good state with --read-only-state"
    )]
    Damaged(String),
    /// The disk is full.
    #[error("the disk is full; nothing has changed")]
    Full,
    /// The write was made for another state than there is.
    #[error("the store has moved on: entry {found}, not {expected}")]
    MovedOn {
        /// The last entry of the log.
        found: u64,
        /// The one that the write was made for.
        expected: u64,
    },
    /// What is to be read is no export, or does not fit.
    #[error("line {line}: {what}")]
    Import {
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        what: String,
    },
    /// The system says no.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The database says no.
    #[error("{0}")]
    Database(String),
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> Self {
        match error {
            redb::Error::Io(e) if e.kind() == io::ErrorKind::StorageFull => StoreError::Full,
            redb::Error::Io(e) if e.kind() == io::ErrorKind::InvalidData => {
                StoreError::Damaged(e.to_string())
            }
            redb::Error::Io(e) => StoreError::Io(e),
            redb::Error::DatabaseAlreadyOpen => StoreError::Locked,
            redb::Error::Corrupted(what) => StoreError::Damaged(what),
            redb::Error::TableTypeMismatch { .. } | redb::Error::TableDoesNotExist(_) => {
                StoreError::Damaged(error.to_string())
            }
            other => StoreError::Database(other.to_string()),
        }
    }
}

macro_rules! from_redb {
    ($($kind:ident),*) => {
        $(impl From<redb::$kind> for StoreError {
            fn from(error: redb::$kind) -> Self {
                redb::Error::from(error).into()
            }
        })*
    };
}
from_redb!(
    DatabaseError,
    TransactionError,
    TableError,
    StorageError,
    CommitError
);
