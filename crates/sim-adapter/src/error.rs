//! Errors that end a session.

use std::io;

/// A session has failed.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// A line could not be processed.
    #[error("line {line}: {source}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// The cause.
        source: LineError,
    },
    /// The input ended before the end of a batch.
    #[error("the input ends inside a batch")]
    UnfinishedBatch,
}

impl SessionError {
    /// Returns a function that adds a line number to an error.
    pub fn at_line(line: usize) -> impl Fn(LineError) -> SessionError + Copy {
        move |source| SessionError::Line { line, source }
    }
}

/// Reason why a line could not be processed.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line could not be read, or the replies of its batch could not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A part of the line is not a `name=value` pair.
    #[error("'{part}' has no '='")]
    NotAField {
        /// The part.
        part: String,
    },
    /// A field is missing.
    #[error("'{name}' is missing")]
    MissingField {
        /// Name of the field.
        name: &'static str,
    },
    /// A field is not a finite number.
    #[error("'{name}={value}' is not a number")]
    NotANumber {
        /// Name of the field.
        name: &'static str,
        /// Value of the field.
        value: String,
    },
    /// A field is not a non-negative integer.
    #[error("'{name}={value}' is not an integer")]
    NotAnInteger {
        /// Name of the field.
        name: &'static str,
        /// Value of the field.
        value: String,
    },
    /// A batch ended that had not begun.
    #[error("GO without FRAME")]
    BatchNotStarted,
    /// A message came before the beginning of a batch.
    #[error("{message} outside a batch")]
    OutsideBatch {
        /// Name of the message.
        message: String,
    },
    /// The input ended within a list.
    #[error("the input ends inside a list")]
    ListTruncated,
    /// A line of another kind came within a list.
    #[error("a list line was expected")]
    NotAListItem,
    /// The settings are not valid JSON.
    #[error("settings: {0}")]
    Settings(#[source] serde_json::Error),
    /// A request's class is unknown.
    #[error("class '{class}' is not in the settings")]
    UnknownClass {
        /// Name of the class.
        class: String,
    },
    /// A pair of a load report has no colon.
    #[error("'feedback': '{pair}' has no ':'")]
    NotALoadPair {
        /// The pair.
        pair: String,
    },
    /// A value of a load report is not a finite number.
    #[error("'feedback': '{pair}' is not a number")]
    NotALoadValue {
        /// The pair.
        pair: String,
    },
    /// A message between proxies is not valid Base64.
    #[error("'msg': {0}")]
    Base64(#[from] base64::DecodeError),
}
