//! Opening of database files: their creation, their checks, and recovery after a power failure.
//!
//! The library recovers a database that was not closed: it takes the number of pages from the file's length, and the older of
//! two commits if the newer one is incomplete. [`RecoveringStorage`] closes three gaps of that recovery:
//!
//! - The header names the number of pages without a checksum, so that a power failure can tear it. The library rejects a
//!   header that names more pages than the file has. It is shown a header that fits the file.
//! - The header is overwritten in place, so that it can be durable before the file's new length is. Pages beyond the end
//!   read as zeros, so that their commit counts as incomplete.
//! - A recovery marks the header as closed in the same step in which it writes the table of free pages. If only the header
//!   is durable, the next start would use an old table. The header is marked as not closed until recovery has ended.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind};
use std::ops::Deref;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use redb::backends::FileBackend;
use redb::{Database, StorageBackend};

use crate::error::StoreError;
use crate::header::{self, HEADER_BYTES, HeaderCheck};

/// Suffix of a file that is being written, and that a crash may leave incomplete.
const PARTIAL_SUFFIX: &str = "new";
/// Suffix of the copy of a file whose header did not fit its length.
const COPY_SUFFIX: &str = "before-recovery";

/// Open database whose storage can be set to recovery.
pub struct RecoverableDatabase {
    database: Database,
    /// True while the library recovers the database, which it does when it opens or verifies it.
    recovering: Arc<AtomicBool>,
}

impl RecoverableDatabase {
    /// Verifies the checksums of all pages; returns false if the database had to be repaired.
    ///
    /// # Errors
    /// The database is corrupted, or can't be read or written.
    pub(crate) fn verify_pages(&mut self) -> Result<bool, StoreError> {
        self.recovering.store(true, Ordering::Release);
        let clean = self.database.check_integrity()?;
        self.recovering.store(false, Ordering::Release);
        Ok(clean)
    }
}

impl Deref for RecoverableDatabase {
    type Target = Database;

    fn deref(&self) -> &Database {
        &self.database
    }
}

/// Opens a database in a storage, or creates one if the storage is empty.
///
/// # Errors
/// The storage holds no database, is truncated, or reports an error.
pub fn open_database(
    storage: impl StorageBackend,
    cache_bytes: usize,
) -> Result<RecoverableDatabase, StoreError> {
    check_header(&storage)?;
    let recovering = Arc::new(AtomicBool::new(true));
    let storage = RecoveringStorage {
        storage,
        recovering: Arc::clone(&recovering),
    };
    let database = Database::builder()
        .set_cache_size(cache_bytes)
        .create_with_backend(storage)?;
    recovering.store(false, Ordering::Release);
    Ok(RecoverableDatabase {
        database,
        recovering,
    })
}

/// Opens the database file of a directory; copies it first if only a corrected header lets the library open it.
pub(crate) fn open_file(
    path: &Path,
    cache_bytes: usize,
) -> Result<RecoverableDatabase, StoreError> {
    let file = OpenOptions::new().read(true).write(true).open(path)?;
    let storage = FileBackend::new(file)?; // locks the file
    if storage.len()? == 0 {
        return Err(StoreError::Corrupted("it is empty".into()));
    }
    if let HeaderCheck::Corrected(correction) = check_header(&storage)?
        && correction.is_required
    {
        copy_beside(path)?;
    }
    open_database(storage, cache_bytes)
}

/// Creates a database file under another name and renames it: a crash leaves no partial file under its name.
pub(crate) fn create_file(
    directory: &Path,
    name: &str,
    prepare: impl FnOnce(&Database) -> Result<(), StoreError>,
) -> Result<(), StoreError> {
    let path = directory.join(name);
    let partial = with_suffix(&path, PARTIAL_SUFFIX);
    remove_if_exists(&partial)?;
    prepare(&Database::create(&partial)?)?;
    fs::rename(&partial, &path)?;
    Ok(File::open(directory)?.sync_all()?)
}

/// Copies a file beside itself; a crash leaves no partial copy under the copy's name.
fn copy_beside(path: &Path) -> Result<(), StoreError> {
    let copy = with_suffix(path, COPY_SUFFIX);
    let partial = with_suffix(&copy, PARTIAL_SUFFIX);
    fs::copy(path, &partial)?;
    File::open(&partial)?.sync_all()?;
    Ok(fs::rename(&partial, &copy)?)
}

fn remove_if_exists(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".");
    name.push(suffix);
    name.into()
}

/// Checks the header of a storage; an empty one needs no correction.
fn check_header(storage: &impl StorageBackend) -> Result<HeaderCheck, StoreError> {
    let length_bytes = storage.len()?;
    if length_bytes == 0 {
        return Ok(HeaderCheck::Consistent);
    }
    let available = usize::try_from(length_bytes).unwrap_or(usize::MAX);
    let stored = storage.read(0, HEADER_BYTES.min(available))?;
    header::check(&stored, length_bytes).map_err(|e| StoreError::Corrupted(e.to_string()))
}

/// Storage of a database that may need recovery.
#[derive(Debug)]
struct RecoveringStorage<S> {
    storage: S,
    /// True while the library recovers the database.
    recovering: Arc<AtomicBool>,
}

impl<S: StorageBackend> RecoveringStorage<S> {
    fn is_recovering(&self) -> bool {
        self.recovering.load(Ordering::Acquire)
    }

    /// Reads with zeros for bytes beyond the end, and a header that fits the file.
    fn read_for_recovery(&self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let file_bytes = self.storage.len()?;
        let stored = file_bytes.saturating_sub(offset);
        let available = usize::try_from(stored).map_or(length, |stored| stored.min(length));
        let mut bytes = match available {
            0 => Vec::new(),
            available => self.storage.read(offset, available)?,
        };
        bytes.resize(length, 0);
        if offset == 0 && length >= HEADER_BYTES {
            correct_header(&mut bytes, file_bytes)?;
        }
        Ok(bytes)
    }

    /// Writes; a header is marked as not closed.
    fn write_for_recovery(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        if offset != 0 {
            return self.storage.write(offset, bytes);
        }
        let mut header = bytes.to_vec();
        header::mark_not_closed(&mut header);
        self.storage.write(0, &header)
    }
}

fn correct_header(bytes: &mut [u8], file_bytes: u64) -> io::Result<()> {
    let checked = header::check(&bytes[..HEADER_BYTES], file_bytes);
    let checked = checked.map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
    if let HeaderCheck::Corrected(correction) = checked {
        bytes[..HEADER_BYTES].copy_from_slice(correction.header.as_slice());
    }
    Ok(())
}

impl<S: StorageBackend> StorageBackend for RecoveringStorage<S> {
    fn len(&self) -> io::Result<u64> {
        self.storage.len()
    }

    fn read(&self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        if self.is_recovering() {
            self.read_for_recovery(offset, length)
        } else {
            self.storage.read(offset, length)
        }
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.storage.set_len(length)
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.storage.sync_data(eventual)
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        if self.is_recovering() {
            self.write_for_recovery(offset, bytes)
        } else {
            self.storage.write(offset, bytes)
        }
    }
}
