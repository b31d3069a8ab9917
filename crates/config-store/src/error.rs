//! Errors of the store and of the raft log file.

use std::io;
use std::path::Path;

/// Failure of a store operation; the message names the operator's next step.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No store exists at this path.
    #[error("{0}: there is no store")]
    Missing(String),
    /// Another process holds the file's lock.
    #[error("the store is open in another process; stop that process first")]
    Locked,
    /// A newer program wrote the file.
    #[error(
        "the store has format {found}, and this program knows none beyond {known}: use the program that wrote it, or \
         export there and import here"
    )]
    NewerFormat {
        /// Format version of the file.
        found: u64,
        /// Newest format version that this program reads.
        known: u64,
    },
    /// A checksum or a reference between records does not match.
    #[error(
        "the store is damaged: {0}; keep a copy of it, then restore a backup or import an export (canvascart store \
         import), or serve the last known good state with --read-only-state"
    )]
    Corrupted(String),
    /// A checksum of a member's log does not match, or its file is no log.
    #[error(
        "the log is damaged: {0}; move its directory away and start with an empty one: the instance joins as a new member"
    )]
    CorruptedLog(String),
    /// The disk is full; the transaction was not applied.
    #[error("the disk is full; nothing has changed")]
    DiskFull,
    /// The transaction was built on another state than the stored one.
    #[error("the store has changed: its last audit entry is {found}, not {expected}")]
    Conflict {
        /// Number of the stored last audit entry.
        found: u64,
        /// Number of the audit entry that the transaction was built on.
        expected: u64,
    },
    /// An import failed at a line.
    #[error("line {line}: {source}")]
    Import {
        /// Line number, from 1; 0 for the import as a whole.
        line: usize,
        /// Reason of the failure.
        source: ImportError,
    },
    /// The operating system reported an error.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The database library reported an error.
    #[error("{0}")]
    Database(#[source] Box<redb::Error>),
    /// A record could not be encoded as JSON.
    #[error("{0}")]
    Encoding(#[source] serde_json::Error),
    /// The database stayed closed after an earlier failure.
    #[error("the store could not be reopened after a failure")]
    Closed,
    /// The caller can't use the store, for the given reason.
    #[error("{0}")]
    Unavailable(String),
}

/// Reason why a line of an export is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// The target store has contents.
    #[error("the store is not empty: import into a new directory")]
    StoreNotEmpty,
    /// The line is not a record of an export.
    #[error("{0}")]
    Malformed(#[source] serde_json::Error),
    /// A header occurs after the first line.
    #[error("a header is valid in the first line only")]
    MisplacedHeader,
    /// The first line is not a header.
    #[error("the first line is not the header of an export")]
    MissingHeader,
    /// The input has no line.
    #[error("the input is empty")]
    Empty,
}

impl StoreError {
    /// Names the file in the reason of a corruption.
    pub(crate) fn in_file(self, path: &Path) -> Self {
        match self {
            StoreError::Corrupted(reason) => {
                StoreError::Corrupted(format!("{}: {reason}", path.display()))
            }
            other => other,
        }
    }

    /// Names the log file in the reason of a corruption, and the way to recover a log.
    pub(crate) fn in_log_file(self, path: &Path) -> Self {
        match self.in_file(path) {
            StoreError::Corrupted(reason) => StoreError::CorruptedLog(reason),
            other => other,
        }
    }
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> Self {
        match error {
            redb::Error::Io(e) if e.kind() == io::ErrorKind::StorageFull => StoreError::DiskFull,
            redb::Error::Io(e) if e.kind() == io::ErrorKind::InvalidData => {
                StoreError::Corrupted(e.to_string())
            }
            redb::Error::Io(e) if e.kind() == io::ErrorKind::UnexpectedEof => {
                StoreError::Corrupted("pages are missing at its end".into())
            }
            redb::Error::Io(e) => StoreError::Io(e),
            redb::Error::DatabaseAlreadyOpen => StoreError::Locked,
            redb::Error::Corrupted(reason) => StoreError::Corrupted(reason),
            redb::Error::TableTypeMismatch { .. } | redb::Error::TableDoesNotExist(_) => {
                StoreError::Corrupted(error.to_string())
            }
            other => StoreError::Database(Box::new(other)),
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
