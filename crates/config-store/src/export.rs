//! Export of a store as text with one JSON object per line, and its import.

use std::io::{self, BufRead, Write};

use redb::{ReadTransaction, ReadableTable as _, WriteTransaction};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::audit;
use crate::error::{ImportError, StoreError};
use crate::record::{AuditEntry, DocumentRevision, StoreState};
use crate::store::Store;
use crate::tables::{
    AUDIT, AUDIT_INDEX, FORMAT_VERSION, LATEST_REVISIONS, REPLIES, REPLY_ORDER, REVISIONS, TOKENS,
    VERSIONS, decode, decode_audit_entry, decode_revision, encode,
};

/// Line of an export.
#[derive(Serialize, Deserialize)]
enum Line {
    /// The first line.
    #[serde(rename = "canvascart-state")]
    Header { format: u64 },
    #[serde(rename = "row")]
    Revision {
        scope: String,
        #[serde(rename = "rev")]
        revision: u64,
        #[serde(flatten)]
        content: DocumentRevision,
    },
    #[serde(rename = "head")]
    LatestRevision {
        scope: String,
        #[serde(rename = "rev")]
        revision: u64,
    },
    #[serde(rename = "version")]
    Version {
        version: u64,
        #[serde(rename = "entry")]
        audit_entry: u64,
    },
    #[serde(rename = "audit")]
    Audit {
        #[serde(rename = "n")]
        number: u64,
        #[serde(flatten)]
        entry: AuditEntry,
    },
    #[serde(rename = "token")]
    Token { id: String, token: Value },
    #[serde(rename = "reply")]
    Reply {
        #[serde(rename = "n")]
        number: u64,
        at_ms: u64,
        key: String,
        reply: Value,
    },
}

/// Writes all contents of a store.
///
/// # Errors
/// The store can't be read, or the text can't be written.
pub fn export(store: &Store, output: &mut impl Write) -> Result<(), StoreError> {
    let mut exporter = Exporter {
        read: store.database()?.begin_read()?,
        output,
    };
    exporter.write(&Line::Header {
        format: FORMAT_VERSION,
    })?;
    exporter.documents()?;
    exporter.versions()?;
    exporter.audit_log()?;
    exporter.tokens()?;
    exporter.replies()
}

struct Exporter<'o, W> {
    read: ReadTransaction,
    output: &'o mut W,
}

impl<W: Write> Exporter<'_, W> {
    fn write(&mut self, line: &Line) -> Result<(), StoreError> {
        serde_json::to_writer(&mut *self.output, line).map_err(io::Error::other)?;
        Ok(self.output.write_all(b"\n")?)
    }

    fn documents(&mut self) -> Result<(), StoreError> {
        for item in self.read.open_table(REVISIONS)?.iter()? {
            let (key, bytes) = item?;
            let (scope, revision) = key.value();
            self.write(&Line::Revision {
                scope: scope.to_owned(),
                revision,
                content: decode_revision(bytes.value(), scope, revision)?,
            })?;
        }
        for item in self.read.open_table(LATEST_REVISIONS)?.iter()? {
            let (scope, revision) = item?;
            self.write(&Line::LatestRevision {
                scope: scope.value().to_owned(),
                revision: revision.value(),
            })?;
        }
        Ok(())
    }

    fn versions(&mut self) -> Result<(), StoreError> {
        for item in self.read.open_table(VERSIONS)?.iter()? {
            let (version, audit_entry) = item?;
            self.write(&Line::Version {
                version: version.value(),
                audit_entry: audit_entry.value(),
            })?;
        }
        Ok(())
    }

    fn audit_log(&mut self) -> Result<(), StoreError> {
        for item in self.read.open_table(AUDIT)?.iter()? {
            let (number, bytes) = item?;
            let number = number.value();
            self.write(&Line::Audit {
                number,
                entry: decode_audit_entry(bytes.value(), number)?,
            })?;
        }
        Ok(())
    }

    fn tokens(&mut self) -> Result<(), StoreError> {
        for item in self.read.open_table(TOKENS)?.iter()? {
            let (id, bytes) = item?;
            self.write(&Line::Token {
                id: id.value().to_owned(),
                token: decode(bytes.value(), || format!("token {}", id.value()))?,
            })?;
        }
        Ok(())
    }

    fn replies(&mut self) -> Result<(), StoreError> {
        let replies = self.read.open_table(REPLIES)?;
        for item in self.read.open_table(REPLY_ORDER)?.iter()? {
            let (number, value) = item?;
            let (at_ms, key) = value.value();
            let Some(bytes) = replies.get(key)? else {
                continue;
            };
            self.write(&Line::Reply {
                number: number.value(),
                at_ms,
                key: key.to_owned(),
                reply: decode(bytes.value(), || format!("the reply to {key}"))?,
            })?;
        }
        Ok(())
    }
}

/// Imports an export into an empty store, completely or not at all.
///
/// # Errors
/// [`StoreError::Import`] with the rejected line, or the store is not empty or can't be written.
pub fn import(store: &mut Store, input: impl BufRead) -> Result<(), StoreError> {
    if store.last_entry() > 0 {
        return Err(rejected(0, ImportError::StoreNotEmpty));
    }
    let write = store.database()?.begin_write()?;
    insert_lines(&write, input)?;
    write.commit()?;
    store.reload()?;
    store.verify()
}

/// Replaces all contents of a store by an export, completely or not at all.
///
/// # Errors
/// [`StoreError::Import`] with the rejected line, or the store can't be written.
pub fn restore(store: &mut Store, input: impl BufRead) -> Result<StoreState, StoreError> {
    let write = store.database()?.begin_write()?;
    write.open_table(REVISIONS)?.retain(|_, _| false)?;
    write.open_table(LATEST_REVISIONS)?.retain(|_, _| false)?;
    write.open_table(VERSIONS)?.retain(|_, _| false)?;
    write.open_table(AUDIT)?.retain(|_, _| false)?;
    write.open_table(AUDIT_INDEX)?.retain(|_, _| false)?;
    write.open_table(TOKENS)?.retain(|_, _| false)?;
    write.open_table(REPLIES)?.retain(|_, _| false)?;
    write.open_table(REPLY_ORDER)?.retain(|_, _| false)?;
    insert_lines(&write, input)?;
    write.commit()?;
    let state = store.reload()?;
    store.verify()?;
    Ok(state)
}

fn rejected(line: usize, source: ImportError) -> StoreError {
    StoreError::Import { line, source }
}

fn insert_lines(write: &WriteTransaction, input: impl BufRead) -> Result<(), StoreError> {
    let mut number = 0;
    for text in input.lines() {
        number += 1;
        let line: Line = serde_json::from_str(&text?)
            .map_err(|e| rejected(number, ImportError::Malformed(e)))?;
        match line {
            Line::Header { format } if number == 1 => verify_format(format)?,
            Line::Header { .. } => return Err(rejected(number, ImportError::MisplacedHeader)),
            _ if number == 1 => return Err(rejected(1, ImportError::MissingHeader)),
            line => insert_line(write, line)?,
        }
    }
    if number == 0 {
        return Err(rejected(1, ImportError::Empty));
    }
    Ok(())
}

fn verify_format(format: u64) -> Result<(), StoreError> {
    if format > FORMAT_VERSION {
        return Err(StoreError::NewerFormat {
            found: format,
            known: FORMAT_VERSION,
        });
    }
    Ok(())
}

fn insert_line(write: &WriteTransaction, line: Line) -> Result<(), StoreError> {
    match line {
        Line::Header { .. } => {}
        Line::Revision {
            scope,
            revision,
            content,
        } => {
            write
                .open_table(REVISIONS)?
                .insert((scope.as_str(), revision), encode(&content)?.as_slice())?;
        }
        Line::LatestRevision { scope, revision } => {
            write
                .open_table(LATEST_REVISIONS)?
                .insert(scope.as_str(), revision)?;
        }
        Line::Version {
            version,
            audit_entry,
        } => {
            write.open_table(VERSIONS)?.insert(version, audit_entry)?;
        }
        Line::Audit { number, entry } => audit::insert(write, number, &entry)?,
        Line::Token { id, token } => {
            write
                .open_table(TOKENS)?
                .insert(id.as_str(), encode(&token)?.as_slice())?;
        }
        Line::Reply {
            number,
            at_ms,
            key,
            reply,
        } => {
            write
                .open_table(REPLIES)?
                .insert(key.as_str(), encode(&reply)?.as_slice())?;
            write
                .open_table(REPLY_ORDER)?
                .insert(number, (at_ms, key.as_str()))?;
        }
    }
    Ok(())
}
