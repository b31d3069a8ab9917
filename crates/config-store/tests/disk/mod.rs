//! A disk in memory that ends at any operation: what was not synced is kept, lost, or torn, as the chance has it.
use std::io;
use std::sync::{Arc, Mutex};

use config_store::{Opener, StoreError};
use fastrand::Rng;
use redb::{Database, StorageBackend};

#[derive(Debug, Default)]
struct Inner {
    /// What the system shows.
    image: Vec<u8>,
    /// What is on the disk for sure, and what has been written since.
    durable: Vec<u8>,
    pending: Vec<Op>,
    operations: u64,
    /// It ends at this operation.
    ends_at: Option<u64>,
    ended: bool,
    /// How long the file may become.
    room: Option<u64>,
}

#[derive(Debug)]
enum Op {
    Transaction(usize, Vec<u8>),
    Length(usize),
}

fn apply(image: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Length(length) => image.resize(*length, 0),
        Op::Transaction(at, bytes) => {
            image.resize(image.len().max(at + bytes.len()), 0);
            image[*at..at + bytes.len()].copy_from_slice(bytes);
        }
    }
}

/// How a process ends.
#[derive(Clone, Copy, Debug)]
pub enum End {
    /// It is killed: the system keeps what it has written.
    Killed,
    /// The power fails: of what was not synced, some is lost and some torn.
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

    pub fn end_at(&self, operation: u64) {
        self.0.lock().unwrap().ends_at = Some(operation);
    }

    pub fn set_room(&self, room: Option<u64>) {
        self.0.lock().unwrap().room = room;
    }

    pub fn length(&self) -> u64 {
        self.0.lock().unwrap().image.len() as u64
    }

    /// The disk as the next process finds it.
    pub fn after(&self, end: End, rng: &mut Rng) -> Disk {
        let inner = self.0.lock().unwrap();
        let mut image = inner.durable.clone();
        for op in &inner.pending {
            match (end, op) {
                (End::Killed, op) => apply(&mut image, op),
                (End::PowerCut, Op::Transaction(at, bytes)) if rng.bool() => {
                    let kept = if rng.bool() {
                        bytes.len()
                    } else {
                        rng.usize(..=bytes.len())
                    };
                    apply(&mut image, &Op::Transaction(*at, bytes[..kept].to_vec()));
                }
                (End::PowerCut, Op::Transaction(..)) => {}
                // A file's length goes with its log of changes, in order.
                (End::PowerCut, op) => apply(&mut image, op),
            }
        }
        Disk(Arc::new(Mutex::new(Inner {
            durable: image.clone(),
            image,
            ..Inner::default()
        })))
    }

    fn step(&self, op: Option<Op>) -> io::Result<()> {
        let mut inner = self.0.lock().unwrap();
        inner.operations += 1;
        if inner.ends_at.is_some_and(|end| inner.operations >= end) {
            inner.ended = true;
        }
        if inner.ended {
            return Err(io::Error::other("the process has ended"));
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
            Op::Transaction(at, bytes) => at + bytes.len(),
            Op::Length(length) => *length,
        };
        if inner.room.is_some_and(|room| length as u64 > room) {
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
        self.step(Some(Op::Length(len as usize)))
    }

    fn sync_data(&self, _: bool) -> io::Result<()> {
        self.step(None)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.step(Some(Op::Transaction(offset as usize, data.to_vec())))
    }
}
