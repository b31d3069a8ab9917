//! What is read of a store: the present state, what was, and whether all of it fits.

use std::collections::BTreeMap;

use redb::{Database, ReadableTable as _};
use serde_json::Value;

use crate::error::StoreError;
use crate::format::{AUDIT, AUDIT_OF, HEADS, REPLIES, ROWS, TOKENS, VERSIONS, unpack};
use crate::record::{Entry, Row, State};
use crate::store::{Each, Store, guard};

/// The present state, but for the documents.
pub fn state(database: &Database) -> Result<State, StoreError> {
    let read = database.begin_read()?;
    let last = |n: Option<u64>| n.unwrap_or(0);
    let mut state = State {
        version: last(read.open_table(VERSIONS)?.last()?.map(|(v, _)| v.value())),
        entry: last(read.open_table(AUDIT)?.last()?.map(|(n, _)| n.value())),
        ..State::default()
    };
    for token in read.open_table(TOKENS)?.iter()? {
        let (id, token) = token?;
        let token = unpack(token.value(), &|| format!("token {}", id.value()))?;
        state.tokens.insert(id.value().to_owned(), token);
    }
    Ok(state)
}

/// The present documents, one after another, in the order of their scopes.
fn documents(database: &Database, each: Each<'_>) -> Result<(), StoreError> {
    let read = database.begin_read()?;
    let (rows, heads) = (read.open_table(ROWS)?, read.open_table(HEADS)?);
    for head in heads.iter()? {
        let (scope, rev) = head?;
        let (scope, rev) = (scope.value(), rev.value());
        let row = rows.get((scope, rev))?;
        let row = row
            .ok_or_else(|| StoreError::Damaged(format!("revision {rev} of {scope} is missing")))?;
        if let Some(document) = unpack::<Row>(row.value(), &|| name(scope, rev))?.document {
            each(scope, rev, document);
        }
    }
    Ok(())
}

fn name(scope: &str, rev: u64) -> String {
    format!("revision {rev} of {scope}")
}

fn line(n: u64) -> String {
    format!("line {n} of the audit log")
}

impl Store {
    /// Tells the present documents one after another, in the order of their scopes: never are two of them in memory. Where it fails,
    /// those before were told.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn documents(&self, each: Each<'_>) -> Result<(), StoreError> {
        guard(|| documents(self.database()?, each))
    }

    /// The present document of a scope, with its revision; none where there is none.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn document(&self, scope: &str) -> Result<Option<(u64, Value)>, StoreError> {
        let rev = self.next_rev(scope)? - 1;
        let row = if rev == 0 {
            None
        } else {
            self.revision(scope, rev)?
        };
        Ok(row.and_then(|row| Some((rev, row.document?))))
    }

    /// The revision that a scope's next change gets.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn next_rev(&self, scope: &str) -> Result<u64, StoreError> {
        guard(|| {
            let read = self.database()?.begin_read()?;
            Ok(read
                .open_table(HEADS)?
                .get(scope)?
                .map_or(0, |rev| rev.value())
                + 1)
        })
    }

    /// One revision of a document.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn revision(&self, scope: &str, rev: u64) -> Result<Option<Row>, StoreError> {
        let read = self.database()?.begin_read()?;
        let row = read.open_table(ROWS)?.get((scope, rev))?;
        row.map(|row| unpack(row.value(), &|| name(scope, rev)))
            .transpose()
    }

    /// Revisions of a document, the newest first, below one, at most so many.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn history(
        &self,
        scope: &str,
        below: u64,
        most: usize,
    ) -> Result<Vec<(u64, Row)>, StoreError> {
        let read = self.database()?.begin_read()?;
        let rows = read.open_table(ROWS)?;
        let mut all = Vec::new();
        for row in rows.range((scope, 0)..(scope, below))?.rev().take(most) {
            let (key, row) = row?;
            let rev = key.value().1;
            all.push((rev, unpack(row.value(), &|| name(scope, rev))?));
        }
        Ok(all)
    }

    /// All documents as they were at a version; none if it is not kept.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn at(&self, version: u64) -> Result<Option<BTreeMap<String, Value>>, StoreError> {
        let read = self.database()?.begin_read()?;
        if read.open_table(VERSIONS)?.get(version)?.is_none() {
            return Ok(None);
        }
        let rows = read.open_table(ROWS)?;
        let mut all = BTreeMap::new();
        for head in read.open_table(HEADS)?.iter()? {
            let scope = head?.0;
            let scope = scope.value();
            for row in rows.range((scope, 0)..=(scope, u64::MAX))?.rev() {
                let (key, row) = row?;
                let row: Row = unpack(row.value(), &|| name(scope, key.value().1))?;
                if row.version <= version {
                    row.document
                        .map(|document| all.insert(scope.to_owned(), document));
                    break;
                }
            }
        }
        Ok(Some(all))
    }

    /// Versions that are kept, the newest first, below one, at most so many: each with its number.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn versions(&self, below: u64, most: usize) -> Result<Vec<(u64, Entry)>, StoreError> {
        let read = self.database()?.begin_read()?;
        let (versions, audit) = (read.open_table(VERSIONS)?, read.open_table(AUDIT)?);
        let mut all = Vec::new();
        for version in versions.range(..below)?.rev().take(most) {
            let (version, n) = version?;
            let n = n.value();
            let entry = audit.get(n)?;
            let entry =
                entry.ok_or_else(|| StoreError::Damaged(format!("{} is missing", line(n))))?;
            all.push((version.value(), unpack(entry.value(), &|| line(n))?));
        }
        Ok(all)
    }

    /// One line of the audit log.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn line(&self, n: u64) -> Result<Option<Entry>, StoreError> {
        let read = self.database()?.begin_read()?;
        let entry = read.open_table(AUDIT)?.get(n)?;
        entry
            .map(|entry| unpack(entry.value(), &|| line(n)))
            .transpose()
    }

    /// Lines of the audit log, the newest first, below one, at most so many; those that concern a name where one is given.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn audit(
        &self,
        name: Option<&str>,
        below: u64,
        most: usize,
    ) -> Result<Vec<(u64, Entry)>, StoreError> {
        let read = self.database()?.begin_read()?;
        let audit = read.open_table(AUDIT)?;
        let Some(name) = name else {
            let lines = audit.range(..below)?.rev().take(most).map(|l| {
                let (n, entry) = l?;
                Ok((n.value(), unpack(entry.value(), &|| line(n.value()))?))
            });
            return lines.collect();
        };
        let of = read.open_table(AUDIT_OF)?;
        let lines = of
            .range((name, 0)..(name, below))?
            .rev()
            .take(most)
            .map(|l| {
                let n = l?.0.value().1;
                let entry = audit.get(n)?;
                let entry =
                    entry.ok_or_else(|| StoreError::Damaged(format!("{} is missing", line(n))))?;
                Ok((n, unpack(entry.value(), &|| line(n))?))
            });
        lines.collect()
    }

    /// The reply that a repeated write gets.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn reply(&self, key: &str) -> Result<Option<Value>, StoreError> {
        let read = self.database()?.begin_read()?;
        let reply = read.open_table(REPLIES)?.get(key)?;
        reply
            .map(|reply| unpack(reply.value(), &|| format!("the reply to {key}")))
            .transpose()
    }

    /// Looks at all that the store holds: the database's own checksums, each record's, and whether they fit each other.
    ///
    /// # Errors
    /// What does not fit.
    pub fn check(&mut self) -> Result<(), StoreError> {
        guard(|| self.look())
    }

    fn look(&mut self) -> Result<(), StoreError> {
        if !self
            .database_mut()?
            .check_integrity()
            .map_err(StoreError::from)?
        {
            return Err(StoreError::Damaged(
                "the database had to be repaired; look again".into(),
            ));
        }
        state(self.database()?)?;
        documents(self.database()?, &mut |_, _, _| {})?;
        let read = self.database()?.begin_read()?;
        let (rows, audit) = (read.open_table(ROWS)?, read.open_table(AUDIT)?);
        let (of, mut pointed) = (read.open_table(AUDIT_OF)?, 0);
        for row in rows.iter()? {
            let (key, row) = row?;
            let (scope, rev) = key.value();
            unpack::<Row>(row.value(), &|| name(scope, rev))?;
        }
        for entry in audit.iter()? {
            let (n, entry) = entry?;
            let n = n.value();
            let entry: Entry = unpack(entry.value(), &|| line(n))?;
            for name in entry.names() {
                if of.get((name, n))?.is_none() {
                    return Err(StoreError::Damaged(format!(
                        "{} is not among those of {name}",
                        line(n)
                    )));
                }
                pointed += 1;
            }
        }
        if redb::ReadableTableMetadata::len(&of)? != pointed {
            return Err(StoreError::Damaged(
                "lines of the audit log are named that are not there".into(),
            ));
        }
        let mut expected = None;
        for version in read.open_table(VERSIONS)?.iter()? {
            let (version, n) = version?;
            let (version, n) = (version.value(), n.value());
            let entry = audit.get(n)?;
            let entry =
                entry.ok_or_else(|| StoreError::Damaged(format!("{} is missing", line(n))))?;
            let entry: Entry = unpack(entry.value(), &|| line(n))?;
            if expected.is_some_and(|e| e != version) && !entry.skipped {
                return Err(StoreError::Damaged(format!(
                    "before version {version} one is missing"
                )));
            }
            expected = Some(version + 1);
            if entry.version != Some(version) {
                return Err(StoreError::Damaged(format!(
                    "{} is not version {version}",
                    line(n)
                )));
            }
        }
        Ok(())
    }
}
