//! In-memory disk that fails from a given operation on. Writes that were not synced are then kept, lost or torn at random.
#![allow(dead_code)] // each test file uses a part of this module
use std::io;
use std::sync::{Arc, Mutex};

use config_store::Opener;
use fastrand::Rng;
use redb::StorageBackend;

/// Size of the database's page cache, in bytes. Small, so that pages are written before the commit.
const CACHE_BYTES: usize = 1 << 20;

#[derive(Debug, Default)]
struct Inner {
    /// Contents as the operating system presents them.
    image: Vec<u8>,
    /// Contents that are durable, without the operations that are pending since the last sync.
    durable: Vec<u8>,
    pending: Vec<Op>,
    operations: u64,
    syncs: u64,
    /// Number of the operation from which on all operations fail.
    fails_at: Option<u64>,
    /// Number of the sync from which on all operations fail.
    fails_at_sync: Option<u64>,
    failed: bool,
    /// Maximum length of the file.
    max_length: Option<u64>,
    /// Pending operations at a crash, in their order, and what survived of each.
    survivors: Vec<String>,
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

/// Part of the last pending write of the file's header that survives a power failure.
#[derive(Clone, Copy, Debug)]
pub enum TornHeader {
    /// The first bytes.
    First(usize),
    /// All bytes from this one on.
    From(usize),
}

#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<Inner>>);

impl Disk {
    pub fn opener(&self) -> Opener {
        let disk = self.clone();
        Box::new(move || config_store::open_database(disk.clone(), CACHE_BYTES))
    }

    pub fn operations(&self) -> u64 {
        self.0.lock().unwrap().operations
    }

    pub fn fail_at(&self, operation: u64) {
        self.0.lock().unwrap().fails_at = Some(operation);
    }

    pub fn syncs(&self) -> u64 {
        self.0.lock().unwrap().syncs
    }

    pub fn fail_at_sync(&self, sync: u64) {
        self.0.lock().unwrap().fails_at_sync = Some(sync);
    }

    pub fn set_max_length(&self, max_length: Option<u64>) {
        self.0.lock().unwrap().max_length = max_length;
    }

    pub fn length(&self) -> u64 {
        self.0.lock().unwrap().image.len() as u64
    }

    /// Returns the first bytes of the file.
    pub fn bytes(&self, count: usize) -> Vec<u8> {
        self.0.lock().unwrap().image[..count].to_vec()
    }

    /// Returns the disk as the next process finds it after a crash.
    pub fn after_crash(&self, crash: Crash, rng: &mut Rng) -> Disk {
        let inner = self.0.lock().unwrap();
        let mut image = inner.durable.clone();
        let mut survivors = Vec::new();
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
                    survivors.push(format!("{kept} of {} bytes at {at}", bytes.len()));
                }
                (Crash::PowerCut, Op::Write(at, bytes)) => {
                    survivors.push(format!("0 of {} bytes at {at}", bytes.len()));
                }
                // Changes of the file's length are journaled by the file system, so they survive in order.
                (Crash::PowerCut, Op::Length(length)) => {
                    apply(&mut image, op);
                    survivors.push(format!("length {length}"));
                }
            }
        }
        let crashed = Disk::with_image(image);
        crashed.0.lock().unwrap().survivors = survivors;
        crashed
    }

    /// Describes what survived of the operations that were pending at a power failure. The library's writes come in an order
    /// that differs from run to run, so that a seed alone does not name a case.
    pub fn survivors(&self) -> String {
        self.0.lock().unwrap().survivors.join(", ")
    }

    /// Returns the disk after a power failure that tore the last pending write of the header, at offset 0. Changes of the
    /// file's length survive; the other pending writes all survive, or none does. `None` if no write of the header is pending.
    pub fn after_torn_header(&self, torn: TornHeader, others_survive: bool) -> Option<Disk> {
        let inner = self.0.lock().unwrap();
        let is_header = |op: &Op| matches!(op, Op::Write(0, _));
        let last_header = inner.pending.iter().rposition(is_header)?;
        let mut image = inner.durable.clone();
        for (position, op) in inner.pending.iter().enumerate() {
            match op {
                Op::Write(0, bytes) if position == last_header => {
                    let (at, kept) = match torn {
                        TornHeader::First(count) => (0, &bytes[..count.min(bytes.len())]),
                        TornHeader::From(first) => (first, &bytes[first.min(bytes.len())..]),
                    };
                    apply(&mut image, &Op::Write(at, kept.to_vec()));
                }
                Op::Write(..) if !others_survive => {}
                op => apply(&mut image, op),
            }
        }
        Some(Disk::with_image(image))
    }

    /// Returns the disk after a power failure before the file system recorded a change of the file's length: all pending writes
    /// survive within the durable length.
    pub fn after_lost_length(&self) -> Disk {
        let inner = self.0.lock().unwrap();
        let mut image = inner.image.clone();
        image.resize(inner.durable.len(), 0);
        Disk::with_image(image)
    }

    /// Returns the disk after a power failure that left the file with its durable length or one of the pending ones. Of the
    /// pending writes some are lost and some torn.
    pub fn after_random_length(&self, rng: &mut Rng) -> Disk {
        let crashed = self.after_crash(Crash::PowerCut, rng);
        let mut image = crashed.0.lock().unwrap().image.clone();
        let inner = self.0.lock().unwrap();
        let mut lengths = vec![inner.durable.len()];
        lengths.extend(inner.pending.iter().filter_map(|op| match op {
            Op::Length(length) => Some(*length),
            Op::Write(..) => None,
        }));
        image.resize(lengths[rng.usize(..lengths.len())], 0);
        Disk::with_image(image)
    }

    fn with_image(image: Vec<u8>) -> Disk {
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
        inner.syncs += u64::from(op.is_none());
        let fails = |at: Option<u64>, number: u64| at.is_some_and(|at| number >= at);
        if fails(inner.fails_at, inner.operations) || fails(inner.fails_at_sync, inner.syncs) {
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
