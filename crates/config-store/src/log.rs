//! The log of a cluster's member on disk: a snapshot, the entries after it, and the few bytes that a member must not forget. It
//! knows nothing of what they mean.

use std::path::Path;

use redb::{Database, ReadableTable as _, TableDefinition, TableError};

use crate::error::StoreError;
use crate::store::guard;

/// The log's file in its directory.
pub const LOG_FILE: &str = "cluster.redb";
/// The format that this program writes.
const LOG_FORMAT: u64 = 1;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const PARTS: TableDefinition<&str, &[u8]> = TableDefinition::new("parts");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

const SNAPSHOT: &str = "snapshot";
const HARD: &str = "hard";
const IDENTITY: &str = "identity";
const STARTS: &str = "starts";
const AFTER: &str = "after";
const ACKNOWLEDGED: &str = "acknowledged";

/// What a log holds when it is opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Logged {
    /// The last snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The entries after it.
    pub entries: Vec<Vec<u8>>,
    /// What a member must not forget.
    pub hard: Option<Vec<u8>>,
    /// Who the member is; none before it has joined.
    pub identity: Option<Vec<u8>>,
    /// What others have acknowledged to it.
    pub acknowledged: Option<Vec<u8>>,
    /// How often it was opened, with this time.
    pub starts: u32,
}

/// What is put into a log at once, all of it or nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Append<'a> {
    /// A snapshot up to an entry: those up to it go.
    pub snapshot: Option<(u64, &'a [u8])>,
    /// Those after the snapshot go as well.
    pub whole: bool,
    /// Entries by number: they replace all from the first of them on.
    pub entries: &'a [(u64, Vec<u8>)],
    /// What a member must not forget.
    pub hard: Option<&'a [u8]>,
    /// Who the member is.
    pub identity: Option<&'a [u8]>,
    /// What others have acknowledged to it.
    pub acknowledged: Option<&'a [u8]>,
}

/// A member's log. One process has it open at a time.
pub struct Log {
    database: Database,
}

fn packed(bytes: &[u8]) -> Vec<u8> {
    let mut packed = crc32fast::hash(bytes).to_le_bytes().to_vec();
    packed.extend_from_slice(bytes);
    packed
}

fn unpacked(packed: &[u8], what: &str) -> Result<Vec<u8>, StoreError> {
    let whole = packed
        .split_first_chunk::<4>()
        .filter(|(s, b)| u32::from_le_bytes(**s) == crc32fast::hash(b));
    let (_, bytes) =
        whole.ok_or_else(|| StoreError::Damaged(format!("the checksum of {what} does not fit")))?;
    Ok(bytes.to_vec())
}

impl Log {
    /// Opens the log of a directory, or makes one, and counts that it was opened.
    ///
    /// # Errors
    /// It can't be had, is damaged, or a newer program has written it.
    pub fn open(directory: &Path) -> Result<(Self, Logged), StoreError> {
        std::fs::create_dir_all(directory)?;
        let file = directory.join(LOG_FILE);
        guard(|| {
            let database = Database::create(&file)?;
            let found = match database.begin_read()?.open_table(META) {
                Ok(meta) => meta.get("format")?.map(|v| v.value()),
                Err(TableError::TableDoesNotExist(_)) => None,
                Err(e) => return Err(e.into()),
            };
            if let Some(found) = found.filter(|f| *f > LOG_FORMAT) {
                return Err(StoreError::Newer {
                    found,
                    known: LOG_FORMAT,
                });
            }
            let write = database.begin_write()?;
            {
                let mut meta = write.open_table(META)?;
                meta.insert("format", LOG_FORMAT)?;
                let starts = meta.get(STARTS)?.map_or(0, |v| v.value()) + 1;
                meta.insert(STARTS, starts)?;
                write.open_table(PARTS)?;
                write.open_table(ENTRIES)?;
            }
            write.commit()?;
            let logged = read(&database)?;
            Ok((Log { database }, logged))
        })
    }

    /// Puts something into it; once this returns it survives a crash.
    ///
    /// # Errors
    /// Nothing of it is there, as far as can be known: the member has to stop.
    pub fn append(&mut self, append: Append) -> Result<(), StoreError> {
        guard(|| {
            let write = self.database.begin_write()?;
            {
                let mut parts = write.open_table(PARTS)?;
                let mut entries = write.open_table(ENTRIES)?;
                let named = [
                    (SNAPSHOT, append.snapshot.map(|(_, b)| b)),
                    (HARD, append.hard),
                    (IDENTITY, append.identity),
                    (ACKNOWLEDGED, append.acknowledged),
                ];
                for (name, bytes) in named {
                    if let Some(bytes) = bytes {
                        parts.insert(name, packed(bytes).as_slice())?;
                    }
                }
                if let Some((index, _)) = append.snapshot {
                    write.open_table(META)?.insert(AFTER, index)?;
                    entries.retain(|n, _| !append.whole && n > index)?;
                }
                if let Some((first, _)) = append.entries.first() {
                    entries.retain_in::<u64, _>(*first.., |_, _| false)?;
                }
                for (number, entry) in append.entries {
                    entries.insert(number, packed(entry).as_slice())?;
                }
            }
            Ok(write.commit()?)
        })
    }
}

impl Log {
    /// Lets go of all that it holds, but for how often it was opened: whoever had it is a member no more.
    ///
    /// # Errors
    /// As [`Log::append`].
    pub fn clear(&mut self) -> Result<(), StoreError> {
        guard(|| {
            let write = self.database.begin_write()?;
            write.open_table(PARTS)?.retain(|_, _| false)?;
            write.open_table(ENTRIES)?.retain(|_, _| false)?;
            write.open_table(META)?.remove(AFTER)?;
            Ok(write.commit()?)
        })
    }
}

fn read(database: &Database) -> Result<Logged, StoreError> {
    let read = database.begin_read()?;
    let parts = read.open_table(PARTS)?;
    let part = |name: &str| -> Result<Option<Vec<u8>>, StoreError> {
        parts
            .get(name)?
            .map(|v| unpacked(v.value(), name))
            .transpose()
    };
    let meta = read.open_table(META)?;
    let number =
        |name: &str| -> Result<u64, StoreError> { Ok(meta.get(name)?.map_or(0, |v| v.value())) };
    let mut entries = Vec::new();
    for (next, entry) in (number(AFTER)? + 1..).zip(read.open_table(ENTRIES)?.iter()?) {
        let (n, entry) = entry?;
        if n.value() != next {
            return Err(StoreError::Damaged(format!(
                "entry {next} of the log is missing"
            )));
        }
        entries.push(unpacked(
            entry.value(),
            &format!("entry {next} of the log"),
        )?);
    }
    Ok(Logged {
        snapshot: part(SNAPSHOT)?,
        entries,
        hard: part(HARD)?,
        identity: part(IDENTITY)?,
        acknowledged: part(ACKNOWLEDGED)?,
        starts: u32::try_from(number(STARTS)?).unwrap_or(u32::MAX),
    })
}
