//! The store: opened, written in whole transactions, and opened anew after a failure.

use std::fs::File;
use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

use redb::{Database, ReadableTable as _, WriteTransaction};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::FILE;
use crate::error::StoreError;
use crate::format::{
    AUDIT, AUDIT_OF, HEADS, REPLIES, REPLY_ORDER, ROWS, TOKENS, VERSIONS, pack, prepare, unpack,
};
use crate::record::{Author, Edited, Entry, Row, State};

/// Opens the database: a file, or what a test puts in its place.
pub type Opener = Box<dyn Fn() -> Result<Database, StoreError> + Send>;

/// Hears of documents, one by one: scope, revision, document.
pub type Each<'a> = &'a mut dyn FnMut(&str, u64, Value);

/// How much of the past is kept. What is beyond it goes with later writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keep {
    /// Versions that can be gone back to.
    pub versions: u64,
    /// Lines of the audit log.
    pub audit: u64,
    /// Replies to writes that may be repeated.
    pub replies: u64,
    /// How long such a reply is kept, in ms.
    pub reply_ms: u64,
}

impl Default for Keep {
    fn default() -> Self {
        Keep {
            versions: 1000,
            audit: 100_000,
            replies: 10_000,
            reply_ms: 24 * 3600 * 1000,
        }
    }
}

/// Bytes of pages that the database keeps in memory: who holds the present documents does so beside it, the past is read rarely.
const CACHE: usize = 4 << 20;

/// One write makes so many old things go at most, so that no write takes long.
const GOING: usize = 64;

/// What one change does. All of it is there afterwards, or none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The last line of the audit log that it was made on.
    pub base: u64,
    /// When, in Unix time.
    pub at_ms: u64,
    /// Who.
    pub by: Author,
    /// What is done.
    pub action: String,
    /// The tenant that it is done to, if it is one.
    pub subject: Option<String>,
    /// More about it.
    pub detail: Option<String>,
    /// Documents by scope; none takes one away.
    pub edits: Vec<(String, Option<Value>)>,
    /// Tokens by id; none takes one away.
    pub tokens: Vec<(String, Option<Value>)>,
    /// The reply that a repetition of this write gets, by key.
    pub reply: Option<(String, Value)>,
    /// It makes this version, if the next would be an earlier one: versions in between may have been given where nothing is known
    /// of them any more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub skip_to: Option<u64>,
}

/// Documents, their versions, the audit log, tokens and replies.
pub struct Store {
    opener: Opener,
    /// None after a failure, until it could be opened anew.
    database: Option<Database>,
    keep: Keep,
    pub(crate) version: u64,
    pub(crate) entry: u64,
}

impl Store {
    /// Opens the store of a directory, or makes one.
    ///
    /// # Errors
    /// It can't be had, is damaged, or a newer program has written it.
    pub fn open(directory: &Path, keep: Keep) -> Result<(Self, State), StoreError> {
        std::fs::create_dir_all(directory)?;
        let file = directory.join(FILE);
        if !file.exists() {
            make(directory, &file)?;
        }
        Store::with(
            Box::new(move || Ok(Database::builder().set_cache_size(CACHE).open(&file)?)),
            keep,
        )
    }

    /// Opens the store of a directory that must be there.
    ///
    /// # Errors
    /// As [`Store::open`]; there is none.
    pub fn open_existing(directory: &Path, keep: Keep) -> Result<(Self, State), StoreError> {
        let file = directory.join(FILE);
        if !file.exists() {
            return Err(StoreError::Missing(directory.display().to_string()));
        }
        Store::open(directory, keep)
    }

    /// Opens a store as the opener does it.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn with(opener: Opener, keep: Keep) -> Result<(Self, State), StoreError> {
        let mut store = Store {
            opener,
            database: None,
            keep,
            version: 0,
            entry: 0,
        };
        let state = store.reopen()?;
        Ok((store, state))
    }

    /// Opens the database anew and reads what is there. What a damaged file makes the database stumble over is told of as
    /// damage.
    fn reopen(&mut self) -> Result<State, StoreError> {
        self.close(); // lets go of its lock first
        let (database, state) = guard(|| {
            let database = (self.opener)()?;
            prepare(&database)?;
            let state = crate::read::state(&database)?;
            Ok((database, state))
        })?;
        (self.version, self.entry) = (state.version, state.entry);
        self.database = Some(database);
        Ok(state)
    }

    /// Closes the database; one that is damaged may stumble over that, too.
    fn close(&mut self) {
        let database = self.database.take();
        let _ = guard(|| {
            drop(database);
            Ok(())
        });
    }

    /// Reads anew what is there, after it was changed in another way than by [`Store::commit`].
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn look_again(&mut self) -> Result<State, StoreError> {
        self.reopen()
    }

    pub(crate) fn database(&self) -> Result<&Database, StoreError> {
        self.database
            .as_ref()
            .ok_or_else(|| StoreError::Database("it could not be opened anew".into()))
    }

    pub(crate) fn database_mut(&mut self) -> Result<&mut Database, StoreError> {
        self.database
            .as_mut()
            .ok_or_else(|| StoreError::Database("it could not be opened anew".into()))
    }

    /// The present version; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The last line of the audit log; 0 before the first.
    pub fn entry(&self) -> u64 {
        self.entry
    }

    /// Carries a write out; once this returns it survives a crash.
    ///
    /// # Errors
    /// Nothing of it is there. Where the system leaves open whether it is, the store is opened anew to see.
    pub fn commit(&mut self, write: &Write) -> Result<Entry, StoreError> {
        if self.database.is_none() {
            self.reopen()?;
        }
        if write.base != self.entry {
            return Err(StoreError::MovedOn {
                found: self.entry,
                expected: write.base,
            });
        }
        let entry = self.entry_of(write)?;
        let failed = match guard(|| self.put(write, &entry)) {
            Ok(()) => {
                self.entry += 1;
                self.version = entry.version.unwrap_or(self.version);
                return Ok(entry);
            }
            Err(e) => e,
        };
        self.reopen()?;
        if self.entry == write.base {
            Err(failed)
        } else {
            Ok(entry)
        }
    }

    /// The line of the audit log that a write makes.
    fn entry_of(&self, write: &Write) -> Result<Entry, StoreError> {
        let edited = |(scope, document): &(String, Option<Value>)| {
            Ok(Edited {
                scope: scope.clone(),
                rev: self.next_rev(scope)?,
                gone: document.is_none(),
            })
        };
        let next = self.version + 1;
        let skipped = write.skip_to.is_some_and(|to| to > next);
        let version = match write.skip_to {
            Some(to) => Some(to.max(next)),
            None => (!write.edits.is_empty()).then_some(next),
        };
        Ok(Entry {
            at_ms: write.at_ms,
            by: write.by.clone(),
            action: write.action.clone(),
            subject: write.subject.clone(),
            detail: write.detail.clone(),
            version,
            skipped,
            edits: write
                .edits
                .iter()
                .map(edited)
                .collect::<Result<_, StoreError>>()?,
        })
    }

    fn put(&self, write: &Write, entry: &Entry) -> Result<(), StoreError> {
        let number = self.entry + 1;
        let transaction = self.database()?.begin_write()?;
        {
            let (mut rows, mut heads) = (
                transaction.open_table(ROWS)?,
                transaction.open_table(HEADS)?,
            );
            for (edit, (scope, document)) in entry.edits.iter().zip(&write.edits) {
                let row = Row {
                    version: entry.version.unwrap_or_default(),
                    entry: number,
                    document: document.clone(),
                };
                rows.insert((scope.as_str(), edit.rev), pack(&row)?.as_slice())?;
                heads.insert(scope.as_str(), edit.rev)?;
            }
            let mut tokens = transaction.open_table(TOKENS)?;
            for (id, token) in &write.tokens {
                match token {
                    Some(token) => tokens.insert(id.as_str(), pack(token)?.as_slice())?,
                    None => tokens.remove(id.as_str())?,
                };
            }
            transaction
                .open_table(AUDIT)?
                .insert(number, pack(entry)?.as_slice())?;
            let mut of = transaction.open_table(AUDIT_OF)?;
            for name in entry.names() {
                of.insert((name, number), ())?;
            }
            drop(of);
            if let Some((key, reply)) = &write.reply {
                transaction
                    .open_table(REPLIES)?
                    .insert(key.as_str(), pack(reply)?.as_slice())?;
                transaction
                    .open_table(REPLY_ORDER)?
                    .insert(number, (write.at_ms, key.as_str()))?;
            }
            if let Some(version) = entry.version {
                transaction.open_table(VERSIONS)?.insert(version, number)?;
            }
            drop((rows, heads));
            self.forget(&transaction, number, write.at_ms)?;
        }
        Ok(transaction.commit()?)
    }

    /// Lets go of what is older than is kept.
    fn forget(&self, t: &WriteTransaction, number: u64, now_ms: u64) -> Result<(), StoreError> {
        let (mut versions, mut rows) = (t.open_table(VERSIONS)?, t.open_table(ROWS)?);
        let (mut heads, mut audit) = (t.open_table(HEADS)?, t.open_table(AUDIT)?);
        let mut of = t.open_table(AUDIT_OF)?;
        for _ in 0..GOING {
            if redb::ReadableTableMetadata::len(&versions)? <= self.keep.versions {
                break;
            }
            let mut oldest = versions.iter()?;
            let (Some(first), Some(next)) = (oldest.next(), oldest.next()) else {
                break;
            };
            // What the next version changed is in use no longer as it was before.
            let (first, next) = (first?.0.value(), next?.1.value());
            drop(oldest);
            let what = || format!("line {next} of the audit log");
            let line = audit
                .get(next)?
                .ok_or_else(|| StoreError::Damaged(format!("{} is missing", what())))?;
            let entry: Entry = unpack(line.value(), &what)?;
            for edit in &entry.edits {
                rows.remove((edit.scope.as_str(), edit.rev - 1))?;
                if edit.gone {
                    rows.remove((edit.scope.as_str(), edit.rev))?;
                    if heads
                        .get(edit.scope.as_str())?
                        .is_some_and(|rev| rev.value() == edit.rev)
                    {
                        heads.remove(edit.scope.as_str())?;
                    }
                }
            }
            versions.remove(first)?;
        }
        // A line that a kept version points to stays, however long the log.
        let oldest = versions.first()?.map_or(number, |(_, line)| line.value());
        let until = oldest.min((number + 1).saturating_sub(self.keep.audit));
        for _ in 0..GOING {
            let first = audit.first()?.map(|(n, _)| n.value());
            let Some(first) = first.filter(|first| *first < until) else {
                break;
            };
            let entry: Entry = match audit.remove(first)? {
                Some(line) => unpack(line.value(), &|| format!("line {first} of the audit log"))?,
                None => break,
            };
            for name in entry.names() {
                of.remove((name, first))?;
            }
        }
        let (mut order, mut replies) = (t.open_table(REPLY_ORDER)?, t.open_table(REPLIES)?);
        for _ in 0..GOING {
            let many = redb::ReadableTableMetadata::len(&order)? > self.keep.replies;
            let first = order
                .first()?
                .map(|(n, v)| (n.value(), v.value().0, v.value().1.to_owned()));
            let Some((n, at_ms, key)) = first else { break };
            if !many && now_ms.saturating_sub(at_ms) <= self.keep.reply_ms {
                break;
            }
            replies.remove(key.as_str())?;
            order.remove(n)?;
        }
        Ok(())
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.close();
    }
}

/// Makes a store under another name first: a process that ends meanwhile leaves none, and not half of one.
fn make(directory: &Path, file: &Path) -> Result<(), StoreError> {
    let aside = directory.join(format!("{FILE}.new"));
    match std::fs::remove_file(&aside) {
        Err(e) if e.kind() != ErrorKind::NotFound => return Err(e.into()),
        _ => {}
    }
    prepare(&Database::create(&aside)?)?;
    std::fs::rename(&aside, file)?;
    Ok(File::open(directory)?.sync_all()?)
}

/// Runs what the database may stumble over where its file is damaged.
pub(crate) fn guard<T>(run: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let damaged = |_| StoreError::Damaged("its pages do not fit each other".into());
    catch_unwind(AssertUnwindSafe(run)).map_err(damaged)?
}

impl State {
    /// What is there once an entry's write has been carried out, but for the documents.
    pub fn follow(&mut self, write: &Write, entry: &Entry) {
        self.entry = write.base + 1;
        self.version = entry.version.unwrap_or(self.version);
        for (id, token) in &write.tokens {
            match token {
                Some(token) => drop(self.tokens.insert(id.clone(), token.clone())),
                None => drop(self.tokens.remove(id)),
            }
        }
    }
}
