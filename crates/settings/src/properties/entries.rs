//! The lines of a properties file by key.

use std::collections::BTreeMap;

use super::error::{LineError, ParseError};
use super::value::ValueError;

#[derive(Clone, Copy)]
struct Entry<'a> {
    line: usize,
    value: &'a str,
}

/// Entries of a file that have not been parsed yet.
pub(super) struct Entries<'a> {
    file: &'a str,
    by_key: BTreeMap<&'a str, Entry<'a>>,
}

impl<'a> Entries<'a> {
    /// Parses the lines of a file; `file` is its name in errors.
    pub(super) fn parse(file: &'a str, text: &'a str) -> Result<Self, ParseError> {
        let mut entries = Entries {
            file,
            by_key: BTreeMap::new(),
        };
        for (index, line) in text.lines().enumerate() {
            entries.parse_line(index + 1, line.trim())?;
        }
        Ok(entries)
    }

    fn parse_line(&mut self, number: usize, line: &'a str) -> Result<(), ParseError> {
        if line.is_empty() || line.starts_with('#') {
            return Ok(());
        }
        let (key, value) = line.split_once('=').unwrap_or((line, ""));
        let key = key.trim();
        let value = value.trim();
        if value.is_empty() {
            return Err(self.error(number, key, LineError::MissingValue));
        }
        let entry = Entry {
            line: number,
            value,
        };
        match self.by_key.insert(key, entry) {
            Some(Entry { line, .. }) => {
                let reason = LineError::DuplicateKey { first_line: line };
                Err(self.error(number, key, reason))
            }
            None => Ok(()),
        }
    }

    /// Removes a key's value, if the file has the key, and parses it.
    pub(super) fn take<T>(
        &mut self,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, ValueError>,
    ) -> Result<Option<T>, ParseError> {
        let Some(Entry { line, value }) = self.by_key.remove(key) else {
            return Ok(None);
        };
        parse(value)
            .map(Some)
            .map_err(|error| self.error(line, key, error.into()))
    }

    /// Checks that all entries were parsed.
    ///
    /// # Errors
    /// The first line whose key is unknown.
    pub(super) fn finish(self) -> Result<(), ParseError> {
        match self.by_key.iter().min_by_key(|(_, entry)| entry.line) {
            Some((key, entry)) => Err(self.error(entry.line, key, LineError::UnknownKey)),
            None => Ok(()),
        }
    }

    fn error(&self, line: usize, key: &str, reason: LineError) -> ParseError {
        ParseError {
            file: self.file.to_owned(),
            line,
            key: key.to_owned(),
            reason,
        }
    }
}
