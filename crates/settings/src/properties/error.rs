//! Errors of reading a properties file, with their position.

use std::io;

use super::value::ValueError;

/// A properties file could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file could not be opened or read.
    #[error("{file}: {source}")]
    Io {
        /// The file's name.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// The file is too long for a properties file.
    #[error("{file}: over {max_bytes} bytes")]
    TooLong {
        /// The file's name.
        file: String,
        /// Maximum length in bytes.
        max_bytes: u64,
    },
    /// A line is invalid.
    #[error(transparent)]
    Parse(#[from] ParseError),
}

/// A line of a properties file is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {key}: {reason}")]
pub struct ParseError {
    /// The file's name.
    pub file: String,
    /// The line's number, from 1.
    pub line: usize,
    /// The line's key.
    pub key: String,
    /// Reason why the line is invalid.
    #[source]
    pub reason: LineError,
}

/// Reason why a line is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The line has no value.
    #[error("there is no value: expected 'key = value'")]
    MissingValue,
    /// The key is also set in an earlier line.
    #[error("already set in line {first_line}")]
    DuplicateKey {
        /// Number of the earlier line.
        first_line: usize,
    },
    /// The key is unknown.
    #[error("no such key")]
    UnknownKey,
    /// The value is invalid.
    #[error(transparent)]
    Value(#[from] ValueError),
}
