//! Raft log file of a cluster member: a snapshot, the entries after it, and the member's persistent state.
//!
//! All contents are opaque bytes, each with a checksum.

use std::io;
use std::path::Path;

use redb::{Database, ReadableTable, TableDefinition, TableError, WriteTransaction};

use crate::checksum::{frame, verified_payload};
use crate::corruption::catch_corruption;
use crate::database::{RecoverableDatabase, create_file, open_file};
use crate::error::StoreError;

/// Name of the log's file in its directory.
pub const FILE_NAME: &str = "cluster.redb";
/// Format version that this program writes.
const FORMAT_VERSION: u64 = 1;
/// Size of the database's page cache, in bytes.
const CACHE_BYTES: usize = 1 << 30;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const PARTS: TableDefinition<&str, &[u8]> = TableDefinition::new("parts");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

/// Keys of [`PARTS`].
const SNAPSHOT: &str = "snapshot";
const HARD_STATE: &str = "hard";
const IDENTITY: &str = "identity";
const ACKNOWLEDGED: &str = "acknowledged";

/// Keys of [`META`].
const FORMAT: &str = "format";
const START_COUNT: &str = "starts";
const SNAPSHOT_INDEX: &str = "after";

/// Contents of a log when it is opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogContents {
    /// Last snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Vec<u8>>,
    /// Raft hard state: term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
    /// Identity of the member; `None` before it joins a cluster.
    pub identity: Option<Vec<u8>>,
    /// Acknowledgements of other members.
    pub acknowledged: Option<Vec<u8>>,
    /// Number of times the log was opened, including this one.
    pub start_count: u32,
}

/// Changes that are written together or not at all.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogBatch<'a> {
    /// Snapshot with the index of its last entry; entries up to that index are removed.
    pub snapshot: Option<(u64, &'a [u8])>,
    /// Removes the entries after the snapshot as well.
    pub discard_following: bool,
    /// Entries by index; they replace all entries from the first of them on.
    pub entries: &'a [(u64, Vec<u8>)],
    /// Raft hard state: term, vote and commit index.
    pub hard_state: Option<&'a [u8]>,
    /// Identity of the member.
    pub identity: Option<&'a [u8]>,
    /// Acknowledgements of other members.
    pub acknowledged: Option<&'a [u8]>,
}

/// Raft log of a member. One process has it open at a time.
pub struct RaftLog {
    database: RecoverableDatabase,
}

impl RaftLog {
    /// Opens the log of a directory, or creates one, and increments its start count.
    ///
    /// # Errors
    /// The log is locked, corrupted or of a newer format, or the system reports an error.
    pub fn open(directory: &Path) -> Result<(Self, LogContents), StoreError> {
        std::fs::create_dir_all(directory)?;
        let file = directory.join(FILE_NAME);
        if is_missing_or_empty(&file)? {
            create_file(directory, FILE_NAME, |_| Ok(()))?;
        }
        let opener = || open_file(&file, CACHE_BYTES);
        RaftLog::with_opener(opener).map_err(|e| e.in_log_file(&file))
    }

    /// Opens a log through an opener, and increments its start count.
    ///
    /// # Errors
    /// As [`RaftLog::open`].
    pub fn with_opener(
        opener: impl FnOnce() -> Result<RecoverableDatabase, StoreError>,
    ) -> Result<(Self, LogContents), StoreError> {
        catch_corruption(|| {
            let database = opener()?;
            verify_format(&database)?;
            record_start(&database)?;
            let contents = read_contents(&database)?;
            Ok((RaftLog { database }, contents))
        })
    }

    /// Writes a batch; it survives a crash once this returns.
    ///
    /// # Errors
    /// The log can't be written. The batch may or may not have been applied: the member has to stop.
    pub fn write(&mut self, batch: LogBatch) -> Result<(), StoreError> {
        catch_corruption(|| {
            let write = self.database.begin_write()?;
            write_parts(&write, &batch)?;
            write_entries(&write, &batch)?;
            Ok(write.commit()?)
        })
    }

    /// Removes everything but the start count, so that the directory belongs to no member.
    ///
    /// # Errors
    /// As [`RaftLog::write`].
    pub fn clear(&mut self) -> Result<(), StoreError> {
        catch_corruption(|| {
            let write = self.database.begin_write()?;
            write.open_table(PARTS)?.retain(|_, _| false)?;
            write.open_table(ENTRIES)?.retain(|_, _| false)?;
            write.open_table(META)?.remove(SNAPSHOT_INDEX)?;
            Ok(write.commit()?)
        })
    }
}

/// Returns whether there is no log yet. An older program that ended while it created one may have left an empty file.
fn is_missing_or_empty(file: &Path) -> io::Result<bool> {
    match std::fs::metadata(file) {
        Ok(metadata) => Ok(metadata.len() == 0),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(true),
        Err(e) => Err(e),
    }
}

fn verify_format(database: &Database) -> Result<(), StoreError> {
    let found = match database.begin_read()?.open_table(META) {
        Ok(meta) => number(&meta, FORMAT)?,
        Err(TableError::TableDoesNotExist(_)) => 0,
        Err(e) => return Err(e.into()),
    };
    if found > FORMAT_VERSION {
        return Err(StoreError::NewerFormat {
            found,
            known: FORMAT_VERSION,
        });
    }
    Ok(())
}

fn record_start(database: &Database) -> Result<(), StoreError> {
    let write = database.begin_write()?;
    {
        let mut meta = write.open_table(META)?;
        meta.insert(FORMAT, FORMAT_VERSION)?;
        let start_count = number(&meta, START_COUNT)? + 1;
        meta.insert(START_COUNT, start_count)?;
        write.open_table(PARTS)?;
        write.open_table(ENTRIES)?;
    }
    Ok(write.commit()?)
}

fn write_parts(write: &WriteTransaction, batch: &LogBatch) -> Result<(), StoreError> {
    let changes = [
        (SNAPSHOT, batch.snapshot.map(|(_, bytes)| bytes)),
        (HARD_STATE, batch.hard_state),
        (IDENTITY, batch.identity),
        (ACKNOWLEDGED, batch.acknowledged),
    ];
    let mut parts = write.open_table(PARTS)?;
    for (key, bytes) in changes {
        if let Some(bytes) = bytes {
            parts.insert(key, frame(bytes).as_slice())?;
        }
    }
    Ok(())
}

fn write_entries(write: &WriteTransaction, batch: &LogBatch) -> Result<(), StoreError> {
    let mut entries = write.open_table(ENTRIES)?;
    if let Some((snapshot_index, _)) = batch.snapshot {
        write
            .open_table(META)?
            .insert(SNAPSHOT_INDEX, snapshot_index)?;
        entries.retain(|index, _| !batch.discard_following && index > snapshot_index)?;
    }
    if let Some((first, _)) = batch.entries.first() {
        entries.retain_in::<u64, _>(*first.., |_, _| false)?;
    }
    for (index, entry) in batch.entries {
        entries.insert(index, frame(entry).as_slice())?;
    }
    Ok(())
}

fn read_contents(database: &Database) -> Result<LogContents, StoreError> {
    let read = database.begin_read()?;
    let parts = read.open_table(PARTS)?;
    let meta = read.open_table(META)?;
    let stored_entries = read.open_table(ENTRIES)?;
    let mut entries = Vec::new();
    let first = number(&meta, SNAPSHOT_INDEX)? + 1;
    for (expected, item) in (first..).zip(stored_entries.iter()?) {
        let (index, bytes) = item?;
        let description = format!("entry {expected} of the log");
        if index.value() != expected {
            return Err(StoreError::Corrupted(format!("{description} is missing")));
        }
        entries.push(payload(bytes.value(), &description)?);
    }
    let start_count = number(&meta, START_COUNT)?;
    Ok(LogContents {
        snapshot: part(&parts, SNAPSHOT)?,
        entries,
        hard_state: part(&parts, HARD_STATE)?,
        identity: part(&parts, IDENTITY)?,
        acknowledged: part(&parts, ACKNOWLEDGED)?,
        start_count: u32::try_from(start_count).unwrap_or(u32::MAX),
    })
}

fn number(meta: &impl ReadableTable<&'static str, u64>, key: &str) -> Result<u64, StoreError> {
    Ok(meta.get(key)?.map_or(0, |value| value.value()))
}

fn part(
    parts: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<Vec<u8>>, StoreError> {
    let bytes = parts.get(key)?;
    bytes.map(|bytes| payload(bytes.value(), key)).transpose()
}

fn payload(framed: &[u8], description: &str) -> Result<Vec<u8>, StoreError> {
    verified_payload(framed).map(<[u8]>::to_vec).ok_or_else(|| {
        StoreError::Corrupted(format!("the checksum of {description} does not match"))
    })
}
