//! Positions of keys in the text of a TOML document, for error messages.

use std::fmt;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::message::{self, MAX_LISTED_ERRORS};

/// Problem of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line number, from 1.
    pub line: usize,
    /// Dotted path of the key.
    pub key: String,
    /// Description of the problem.
    pub message: String,
}

/// Problems of a document; displayed one per line, with file, line and key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct DocumentError {
    /// Name of the file, as given by the caller.
    pub file: String,
    /// Problems in the order of the file.
    pub problems: Vec<Problem>,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let key = if problem.key.is_empty() {
                String::new()
            } else {
                format!(" {}:", problem.key)
            };
            write!(
                f,
                "{}{}:{}:{key} {}",
                if index > 0 { "\n" } else { "" },
                self.file,
                problem.line,
                problem.message
            )?;
        }
        Ok(())
    }
}

/// Positions of the keys of a TOML text.
#[derive(Clone, Debug)]
pub struct KeyPositions {
    file: String,
    /// Dotted path and byte range of each key with its value. An element of an array has its index as path segment.
    keys: Vec<(String, Range<usize>)>,
    /// Byte offset of the start of each line.
    line_starts: Vec<usize>,
}

impl KeyPositions {
    /// Parses a text and records the positions of its keys. `file` is its name in errors.
    ///
    /// # Errors
    /// The text is not TOML.
    pub fn new(file: &str, text: &str) -> Result<Self, DocumentError> {
        let line_starts = std::iter::once(0)
            .chain(text.match_indices('\n').map(|(i, _)| i + 1))
            .collect();
        let mut positions = KeyPositions {
            file: file.to_owned(),
            keys: Vec::new(),
            line_starts,
        };
        let table = DeTable::parse(text).map_err(|e| positions.syntax_error(&e))?;
        positions.add_table("", table.get_ref());
        Ok(positions)
    }

    fn add_table(&mut self, parent: &str, table: &DeTable) {
        for (key, value) in table {
            let name = key.get_ref();
            let path = if parent.is_empty() {
                name.to_string()
            } else {
                format!("{parent}.{name}")
            };
            self.add_value(path, Some(key.span().start), value);
        }
    }

    fn add_value(&mut self, path: String, key_start: Option<usize>, value: &Spanned<DeValue>) {
        let span = value.span();
        self.keys.push((
            path.clone(),
            key_start.unwrap_or(span.start)..span.end.max(span.start),
        ));
        match value.get_ref() {
            DeValue::Table(table) => self.add_table(&path, table),
            DeValue::Array(items) => {
                for (index, item) in items.iter().enumerate() {
                    self.add_value(format!("{path}.{index}"), None, item);
                }
            }
            _ => {}
        }
    }

    fn line_at(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Returns the line of a key, or of its nearest ancestor in the text; 1 if there is none.
    pub fn line_of(&self, key: &str) -> usize {
        let mut key = key;
        loop {
            if let Some((_, span)) = self.keys.iter().find(|(path, _)| path == key) {
                return self.line_at(span.start);
            }
            match key.rsplit_once('.') {
                Some((parent, _)) => key = parent,
                None => return 1,
            }
        }
    }

    /// Converts an error of the TOML parser to one with its line and the innermost key at its position.
    pub fn syntax_error(&self, error: &toml::de::Error) -> DocumentError {
        let offset = error.span().map_or(0, |s| s.start);
        let contains =
            |span: &Range<usize>| span.start <= offset && offset < span.end.max(span.start + 1);
        let innermost = self
            .keys
            .iter()
            .filter(|(_, span)| contains(span))
            .min_by_key(|(_, span)| span.len());
        let key = innermost.map_or(String::new(), |(path, _)| path.clone());
        self.document_error(vec![Problem {
            line: self.line_at(offset),
            key,
            message: error.message().trim().replace('\n', "; "),
        }])
    }

    /// Creates an error with these problems in the order of the file: the first [`MAX_LISTED_ERRORS`], and the number of
    /// further ones in a last line. A key and its message together are shorter than 1 KB.
    pub fn document_error(&self, problems: Vec<Problem>) -> DocumentError {
        self.document_error_with_omitted(problems, 0)
    }

    /// Does the same as [`KeyPositions::document_error`] for a list from which `omitted` problems have been left out already.
    pub(crate) fn document_error_with_omitted(
        &self,
        mut problems: Vec<Problem>,
        omitted: usize,
    ) -> DocumentError {
        problems.sort_by_key(|p| p.line);
        let omitted = omitted + problems.len().saturating_sub(MAX_LISTED_ERRORS);
        problems.truncate(MAX_LISTED_ERRORS);
        for problem in &mut problems {
            problem.key = message::truncate(&problem.key, message::MAX_POSITION_BYTES);
            problem.message = message::truncate(&problem.message, message::MAX_MESSAGE_BYTES);
        }
        if omitted > 0 {
            let line = problems.last().map_or(1, |p| p.line);
            problems.push(Problem {
                line,
                key: String::new(),
                message: message::omitted_count(omitted),
            });
        }
        DocumentError {
            file: self.file.clone(),
            problems,
        }
    }
}
