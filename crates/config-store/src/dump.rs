//! A store as text, a JSON object a line: to look at, to keep elsewhere, and to take to another program.

use std::io::{BufRead, Write};

use redb::{ReadableTable as _, WriteTransaction};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::StoreError;
use crate::format::{
    AUDIT, AUDIT_OF, FORMAT, HEADS, REPLIES, REPLY_ORDER, ROWS, TOKENS, VERSIONS, pack, unpack,
};
use crate::record::{Entry, Row, State};
use crate::store::Store;

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Line {
    /// The first line.
    CanvascartState {
        format: u64,
    },
    Row {
        scope: String,
        rev: u64,
        #[serde(flatten)]
        row: Row,
    },
    Head {
        scope: String,
        rev: u64,
    },
    Version {
        version: u64,
        entry: u64,
    },
    Audit {
        n: u64,
        #[serde(flatten)]
        entry: Entry,
    },
    Token {
        id: String,
        token: Value,
    },
    Reply {
        n: u64,
        at_ms: u64,
        key: String,
        reply: Value,
    },
}

/// Writes all that a store holds.
///
/// # Errors
/// The store can't be read, or the text not written.
pub fn export(store: &Store, to: &mut impl Write) -> Result<(), StoreError> {
    let mut put = |line: Line| -> Result<(), StoreError> {
        serde_json::to_writer(&mut *to, &line).map_err(std::io::Error::other)?;
        Ok(to.write_all(b"\n")?)
    };
    put(Line::CanvascartState { format: FORMAT })?;
    let read = store.database()?.begin_read()?;
    for row in read.open_table(ROWS)?.iter()? {
        let (key, row) = row?;
        let (scope, rev) = key.value();
        let row = unpack(row.value(), &|| format!("revision {rev} of {scope}"))?;
        put(Line::Row {
            scope: scope.to_owned(),
            rev,
            row,
        })?;
    }
    for head in read.open_table(HEADS)?.iter()? {
        let (scope, rev) = head?;
        put(Line::Head {
            scope: scope.value().to_owned(),
            rev: rev.value(),
        })?;
    }
    for version in read.open_table(VERSIONS)?.iter()? {
        let (version, entry) = version?;
        put(Line::Version {
            version: version.value(),
            entry: entry.value(),
        })?;
    }
    for entry in read.open_table(AUDIT)?.iter()? {
        let (n, entry) = entry?;
        let n = n.value();
        put(Line::Audit {
            n,
            entry: unpack(entry.value(), &|| format!("line {n} of the audit log"))?,
        })?;
    }
    for token in read.open_table(TOKENS)?.iter()? {
        let (id, token) = token?;
        let token = unpack(token.value(), &|| format!("token {}", id.value()))?;
        put(Line::Token {
            id: id.value().to_owned(),
            token,
        })?;
    }
    let replies = read.open_table(REPLIES)?;
    for given in read.open_table(REPLY_ORDER)?.iter()? {
        let (n, given) = given?;
        let (at_ms, key) = given.value();
        let Some(reply) = replies.get(key)? else {
            continue;
        };
        let reply = unpack(reply.value(), &|| format!("the reply to {key}"))?;
        put(Line::Reply {
            n: n.value(),
            at_ms,
            key: key.to_owned(),
            reply,
        })?;
    }
    Ok(())
}

/// Puts what was exported into a store that holds nothing yet, whole or not at all.
///
/// # Errors
/// The line that is wrong; the store is not empty.
pub fn import(store: &mut Store, from: impl BufRead) -> Result<(), StoreError> {
    if store.entry() > 0 {
        return Err(wrong(
            0,
            "the store is not empty: import into a new directory".into(),
        ));
    }
    let transaction = store.database()?.begin_write()?;
    fill(&transaction, from)?;
    transaction.commit()?;
    store.look_again()?;
    store.check()
}

fn wrong(line: usize, what: String) -> StoreError {
    StoreError::Import { line, what }
}

fn fill(transaction: &WriteTransaction, from: impl BufRead) -> Result<(), StoreError> {
    let mut lines = 0;
    for (i, text) in from.lines().enumerate() {
        let line: Line = serde_json::from_str(&text?).map_err(|e| wrong(i + 1, e.to_string()))?;
        match line {
            Line::CanvascartState { format } if i == 0 && format <= FORMAT => {}
            Line::CanvascartState { format } if i == 0 => {
                return Err(StoreError::Newer {
                    found: format,
                    known: FORMAT,
                });
            }
            Line::CanvascartState { .. } => {
                return Err(wrong(i + 1, "only the first line says the format".into()));
            }
            _ if i == 0 => return Err(wrong(1, "this is no export of a store".into())),
            line => take(transaction, line)?,
        }
        lines = i + 1;
    }
    if lines == 0 {
        return Err(wrong(1, "there is nothing in it".into()));
    }
    Ok(())
}

/// Puts what was exported in the place of all that a store holds, whole or not at all.
///
/// # Errors
/// The line that is wrong.
pub fn replace(store: &mut Store, from: impl BufRead) -> Result<State, StoreError> {
    let transaction = store.database()?.begin_write()?;
    transaction.open_table(ROWS)?.retain(|_, _| false)?;
    transaction.open_table(HEADS)?.retain(|_, _| false)?;
    transaction.open_table(VERSIONS)?.retain(|_, _| false)?;
    transaction.open_table(AUDIT)?.retain(|_, _| false)?;
    transaction.open_table(AUDIT_OF)?.retain(|_, _| false)?;
    transaction.open_table(TOKENS)?.retain(|_, _| false)?;
    transaction.open_table(REPLIES)?.retain(|_, _| false)?;
    transaction.open_table(REPLY_ORDER)?.retain(|_, _| false)?;
    fill(&transaction, from)?;
    transaction.commit()?;
    let state = store.look_again()?;
    store.check()?;
    Ok(state)
}

fn take(t: &WriteTransaction, line: Line) -> Result<(), StoreError> {
    match line {
        Line::CanvascartState { .. } => {}
        Line::Row { scope, rev, row } => {
            t.open_table(ROWS)?
                .insert((scope.as_str(), rev), pack(&row)?.as_slice())?;
        }
        Line::Head { scope, rev } => {
            t.open_table(HEADS)?.insert(scope.as_str(), rev)?;
        }
        Line::Version { version, entry } => {
            t.open_table(VERSIONS)?.insert(version, entry)?;
        }
        Line::Audit { n, entry } => {
            t.open_table(AUDIT)?.insert(n, pack(&entry)?.as_slice())?;
            let mut of = t.open_table(AUDIT_OF)?;
            for name in entry.names() {
                of.insert((name, n), ())?;
            }
        }
        Line::Token { id, token } => {
            t.open_table(TOKENS)?
                .insert(id.as_str(), pack(&token)?.as_slice())?;
        }
        Line::Reply {
            n,
            at_ms,
            key,
            reply,
        } => {
            t.open_table(REPLIES)?
                .insert(key.as_str(), pack(&reply)?.as_slice())?;
            t.open_table(REPLY_ORDER)?
                .insert(n, (at_ms, key.as_str()))?;
        }
    }
    Ok(())
}
