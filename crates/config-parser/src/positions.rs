//! Where in a document's text a key stands, so that errors can say it.

use std::fmt;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::message::{self, MOST_LISTED};

/// One thing that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The line, from 1.
    pub line: usize,
    /// The key, with those above it.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

/// What is wrong with a document: one line each, with file, line and key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct DocumentError {
    /// The file, as it was named.
    pub file: String,
    /// What is wrong, in the order of the file.
    pub problems: Vec<Problem>,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (i, p) in self.problems.iter().enumerate() {
            let key = if p.key.is_empty() {
                String::new()
            } else {
                format!(" {}:", p.key)
            };
            write!(
                f,
                "{}{}:{}:{key} {}",
                if i > 0 { "\n" } else { "" },
                self.file,
                p.line,
                p.what
            )?;
        }
        Ok(())
    }
}

/// A document's text with the places of its keys.
#[derive(Clone, Debug)]
pub struct Places {
    file: String,
    /// Every key with those above it, and the bytes of its value. A table's number stands for its place in a list.
    keys: Vec<(String, Range<usize>)>,
    /// Where each line begins.
    lines: Vec<usize>,
}

impl Places {
    /// Finds all keys.
    ///
    /// # Errors
    /// The text is not TOML.
    pub fn new(file: &str, text: &str) -> Result<Self, DocumentError> {
        let lines = std::iter::once(0)
            .chain(text.match_indices('\n').map(|(i, _)| i + 1))
            .collect();
        let mut places = Places {
            file: file.to_owned(),
            keys: Vec::new(),
            lines,
        };
        let table = DeTable::parse(text).map_err(|e| places.error(&e))?;
        places.table("", table.get_ref());
        Ok(places)
    }

    fn table(&mut self, above: &str, table: &DeTable) {
        for (key, value) in table {
            let name = key.get_ref();
            let path = if above.is_empty() {
                name.to_string()
            } else {
                format!("{above}.{name}")
            };
            self.value(path, Some(key.span().start), value);
        }
    }

    fn value(&mut self, path: String, key: Option<usize>, value: &Spanned<DeValue>) {
        let span = value.span();
        self.keys.push((
            path.clone(),
            key.unwrap_or(span.start)..span.end.max(span.start),
        ));
        match value.get_ref() {
            DeValue::Table(table) => self.table(&path, table),
            DeValue::Array(items) => {
                for (i, item) in items.iter().enumerate() {
                    self.value(format!("{path}.{i}"), None, item);
                }
            }
            _ => {}
        }
    }

    fn line_at(&self, offset: usize) -> usize {
        self.lines.partition_point(|start| *start <= offset)
    }

    /// The line of a key, or of the nearest one above it that is there.
    pub fn line_of(&self, key: &str) -> usize {
        let mut key = key;
        loop {
            if let Some((_, span)) = self.keys.iter().find(|(path, _)| path == key) {
                return self.line_at(span.start);
            }
            match key.rsplit_once('.') {
                Some((above, _)) => key = above,
                None => return 1,
            }
        }
    }

    /// What the reader of TOML says, with its line and the innermost key there.
    pub fn error(&self, e: &toml::de::Error) -> DocumentError {
        let at = e.span().map_or(0, |s| s.start);
        let holds = |span: &Range<usize>| span.start <= at && at < span.end.max(span.start + 1);
        let inner = self
            .keys
            .iter()
            .filter(|(_, span)| holds(span))
            .min_by_key(|(_, span)| span.len());
        let key = inner.map_or(String::new(), |(path, _)| path.clone());
        self.problems(vec![Problem {
            line: self.line_at(at),
            key,
            what: e.message().trim().replace('\n', "; "),
        }])
    }

    /// An error that names these problems in the order of the file: the first [`MOST_LISTED`] of them, and in a last
    /// line how many there are beyond. No key and no text is longer than 1 KB with the other.
    pub fn problems(&self, problems: Vec<Problem>) -> DocumentError {
        self.problems_and_more(problems, 0)
    }

    /// As [`Places::problems`], with so many more that were counted and not kept.
    pub(crate) fn problems_and_more(
        &self,
        mut problems: Vec<Problem>,
        more: usize,
    ) -> DocumentError {
        problems.sort_by_key(|p| p.line);
        let more = more + problems.len().saturating_sub(MOST_LISTED);
        problems.truncate(MOST_LISTED);
        for p in &mut problems {
            p.key = message::cut(&p.key, message::MOST_OF_PLACE);
            p.what = message::cut(&p.what, message::MOST_OF_WHAT);
        }
        if more > 0 {
            let line = problems.last().map_or(1, |p| p.line);
            problems.push(Problem {
                line,
                key: String::new(),
                what: message::rest(more),
            });
        }
        DocumentError {
            file: self.file.clone(),
            problems,
        }
    }
}
