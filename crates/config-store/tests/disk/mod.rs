//! In-memory disk that fails from a given operation on. Writes that were not synced are then kept, lost or torn at random.
use std::io;
use std::sync::{Arc, Mutex};

use config_store::{Opener, StoreError};
use fastrand::Rng;
use redb::{Database, StorageBackend};

#[derive(Debug, Default)]
struct Inner {
    /// Contents as the operating system presents them.
    image: Vec<u8>,
    /// Contents that are durable, without the operations that are pending since the last sync.
    durable: Vec<u8>,
    pending: Vec<Op>,
    operations: u64,
    /// Number of the operation from which on all operations fail.
    fails_at: Option<u64>,
    failed: bool,
    /// Maximum length of the file.
    max_length: Option<u64>,
}

#[derive(Debug)]
enum Op {
    Write(usize, Vec<u8>),
    Length(usize),
}

fn apply(image: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Length(length) => image.resize(*length, 0),
        Op::Write(at, bytes) => {
            image.resize(image.len().max(at + bytes.len()), 0);
            image[*at..at + bytes.len()].copy_from_slice(bytes);
        }
    }
}

/// Kind of a crash.
#[derive(Clone, Copy, Debug)]
pub enum Crash {
    /// The process is killed: the operating system keeps all writes.
    Killed,
    /// Power failure: of the writes that were not synced, some are lost and some torn.
    PowerCut,
}

#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<Inner>>);

impl Disk {
    pub fn opener(&self) -> Opener {
        let disk = self.clone();
        Box::new(move || {
            let mut builder = Database::builder();
            Ok::<_, StoreError>(
                builder
                    .set_cache_size(1 << 20)
                    .create_with_backend(disk.clone())?,
            )
        })
    }

    pub fn operations(&self) -> u64 {
        self.0.lock().unwrap().operations
    }

    pub fn fail_at(&self, operation: u64) {
        self.0.lock().unwrap().fails_at = Some(operation);
    }

    pub fn set_max_length(&self, max_length: Option<u64>) {
        self.0.lock().unwrap().max_length = max_length;
    }

    pub fn length(&self) -> u64 {
        self.0.lock().unwrap().image.len() as u64
    }

    /// Returns the disk as the next process finds it after a crash.
    pub fn after_crash(&self, crash: Crash, rng: &mut Rng) -> Disk {
        let inner = self.0.lock().unwrap();
        let mut image = inner.durable.clone();
        for op in &inner.pending {
            match (crash, op) {
                (Crash::Killed, op) => apply(&mut image, op),
                (Crash::PowerCut, Op::Write(at, bytes)) if rng.bool() => {
                    let kept = if rng.bool() {
                        bytes.len()
                    } else {
                        rng.usize(..=bytes.len())
                    };
                    apply(&mut image, &Op::Write(*at, bytes[..kept].to_vec()));
                }
                (Crash::PowerCut, Op::Write(..)) => {}
                // Changes of the file's length are journaled by the file system, so they survive in order.
                (Crash::PowerCut, op) => apply(&mut image, op),
            }
        }
        Disk(Arc::new(Mutex::new(Inner {
            durable: image.clone(),
            image,
            ..Inner::default()
        })))
    }

    /// Applies a write or a change of length; syncs if there is none.
    fn record(&self, op: Option<Op>) -> io::Result<()> {
        let mut inner = self.0.lock().unwrap();
        inner.operations += 1;
        if inner
            .fails_at
            .is_some_and(|failing| inner.operations >= failing)
        {
            inner.failed = true;
        }
        if inner.failed {
            return Err(io::Error::other("the disk has failed"));
        }
        let Some(op) = op else {
            let inner = &mut *inner;
            inner
                .pending
                .drain(..)
                .for_each(|op| apply(&mut inner.durable, &op));
            return Ok(());
        };
        let length = match &op {
            Op::Write(at, bytes) => at + bytes.len(),
            Op::Length(length) => *length,
        };
        if inner
            .max_length
            .is_some_and(|max_length| length as u64 > max_length)
        {
            return Err(io::ErrorKind::StorageFull.into());
        }
        apply(&mut inner.image, &op);
        inner.pending.push(op);
        Ok(())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.length())
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let inner = self.0.lock().unwrap();
        let at = offset as usize;
        let bytes = inner
            .image
            .get(at..at + len)
            .ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(bytes.to_vec())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.record(Some(Op::Length(len as usize)))
    }

    fn sync_data(&self, _: bool) -> io::Result<()> {
        self.record(None)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.record(Some(Op::Write(offset as usize, data.to_vec())))
    }
}
