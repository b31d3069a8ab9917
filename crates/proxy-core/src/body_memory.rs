//! Memory for bodies. Every buffered byte of a body is reserved before it is read and released with the last reference
//! to it, so that clients and endpoints together can't exceed the memory limit of the process. Other input that is kept
//! is covered as well.
//!
//! [`BodyMemory`] is the budget, and a [`Reservation`] a part of it. What passes through without being buffered is not
//! reserved: its window (`write_window`) bounds it for each connection, and the descriptors bound the connections. Does no
//! I/O.

use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::memory_queue::{MemoryQueue, Place};

/// The size up to which a body is buffered if there is memory: a response up to it is forwarded whole, and a request up
/// to it is always read before it is forwarded.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// The unit in which other input than bodies reserves memory.
const INPUT_STEP_BYTES: usize = 4 << 10;
/// The memory of a process without connections and bodies.
const PROCESS_BYTES: usize = 8 << 20;
/// The memory of a connection: its buffers, and what it keeps of a streamed body.
const CONNECTION_BYTES: usize = 24 << 10;
/// The smallest number of bodies of [`MAX_BUFFERED_BYTES`] that a budget has room for.
const MIN_BUFFERED_BODIES: usize = 16;
/// The smallest reserve for long bodies that wait for memory.
const MIN_RESERVE_BYTES: usize = 512 << 10;

/// The memory budget of all buffered bodies.
pub struct BodyMemory {
    /// A permit for each byte.
    buffers: Arc<Semaphore>,
    /// The same, for the parts of bodies beyond [`MAX_BUFFERED_BYTES`] only.
    long_bodies: Arc<Semaphore>,
    /// The number of bytes of those.
    long_body_bytes: usize,
    /// The part of them for waiting bodies that fit into it together.
    reserve_bytes: usize,
    /// The number of bytes of all buffers.
    buffer_bytes: usize,
    /// The number of bytes in use up to which bodies reserve memory as they arrive.
    max_arrival_use_bytes: usize,
    /// The number of bytes in use up to which bodies of more than [`MAX_BUFFERED_BYTES`] take the memory of all.
    max_spooled_use_bytes: usize,
    /// The long bodies that wait for memory.
    queue: Rc<MemoryQueue>,
}

/// Reserved bytes of the memory for buffered bodies, released when dropped.
#[derive(Debug, Default)]
pub struct Reservation {
    buffers: Option<OwnedSemaphorePermit>,
    long_bodies: Option<OwnedSemaphorePermit>,
}

impl BodyMemory {
    /// Takes a quarter of a process's memory for all bodies, or three sixteenths where connections may take the rest, and for long ones most of what this many connections leave of
    /// the rest. Long bodies leave a quarter of the first to others.
    pub fn new(memory_bytes: usize, connections: usize) -> Rc<Self> {
        let others = PROCESS_BYTES + connections * CONNECTION_BYTES;
        let unclaimed = memory_bytes.saturating_sub(others);
        let left = unclaimed / 10 * 9;
        let buffer_bytes = (memory_bytes / 4)
            .min(unclaimed.max(memory_bytes / 16 * 3))
            .max(MIN_BUFFERED_BODIES * MAX_BUFFERED_BYTES);
        let spare_bytes = left.saturating_sub(buffer_bytes);
        let reserve_bytes = (spare_bytes / 2).max(MIN_RESERVE_BYTES);
        let long_body_bytes = spare_bytes.max(reserve_bytes);
        Rc::new(BodyMemory {
            buffers: Arc::new(Semaphore::new(buffer_bytes)),
            long_bodies: Arc::new(Semaphore::new(long_body_bytes)),
            long_body_bytes,
            reserve_bytes,
            buffer_bytes,
            max_arrival_use_bytes: buffer_bytes / 2,
            max_spooled_use_bytes: buffer_bytes / 4 * 3,
            queue: Rc::default(),
        })
    }

    /// Creates the budget of a process in which tenants' accounts limit bodies of up to [`MAX_BUFFERED_BYTES`] before
    /// they are read. `memory_bytes` limits the others.
    pub fn with_accounts(memory_bytes: usize) -> Rc<Self> {
        Rc::new(BodyMemory {
            buffers: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
            long_bodies: Arc::new(Semaphore::new(memory_bytes / 8)),
            long_body_bytes: memory_bytes / 8,
            reserve_bytes: memory_bytes / 8,
            buffer_bytes: Semaphore::MAX_PERMITS,
            max_arrival_use_bytes: Semaphore::MAX_PERMITS,
            max_spooled_use_bytes: memory_bytes / 8,
            queue: Rc::default(),
        })
    }

    /// Extends a reservation to at least this many bytes, if there is memory now.
    pub fn try_cover(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let more = bytes.saturating_sub(reservation.bytes());
        more == 0 || self.try_extend(reservation, more.next_multiple_of(INPUT_STEP_BYTES))
    }

    /// Extends a reservation by `bytes` as its body arrives while enough memory is free, and by `rest_bytes` beyond; a
    /// body that begins to wait for memory could otherwise wait for others that wait as well.
    pub fn try_arrival(
        &self,
        reservation: &mut Reservation,
        bytes: usize,
        rest_bytes: usize,
    ) -> bool {
        let arrives = self.bytes_in_use() + bytes <= self.max_arrival_use_bytes;
        self.try_extend(reservation, if arrives { bytes } else { rest_bytes })
    }

    /// Returns the place of a new long body among those that wait for memory.
    pub fn place(&self) -> Place {
        self.queue.place()
    }

    /// Extends the reservation of a long body whose request waits, in its turn. The body needs `needed_bytes`
    /// more to be complete, of which `bytes` now.
    pub fn try_in_turn(
        &self,
        reservation: &mut Reservation,
        bytes: usize,
        needed_bytes: usize,
        place: &Place,
    ) -> bool {
        if !place.has_turn() {
            return false;
        }
        if self.try_extend_spooled(reservation, bytes) {
            return true;
        }
        let extended = place.may_use_reserve(needed_bytes, self.reserve_bytes)
            && self.try_extend_long(reservation, bytes);
        if extended {
            place.record_reserve_use(bytes);
        }
        extended
    }

    /// Returns whether a long body with this many reserved bytes has so much of the memory for long bodies that others
    /// should not give up theirs for it.
    pub fn is_large_share(&self, bytes: usize) -> bool {
        bytes > (self.max_spooled_use_bytes + self.long_body_bytes) / 4 * 3
    }

    /// Returns the even share of each long body in the memory that they may use.
    pub fn long_body_share(&self) -> usize {
        (self.max_spooled_use_bytes + self.long_body_bytes) / self.queue.bodies().max(1)
    }

    /// Extends the reservation of a body of more than [`MAX_BUFFERED_BYTES`] while none waits for memory.
    pub fn try_spool(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        self.queue.is_empty() && self.try_extend_spooled(reservation, bytes)
    }

    /// Extends the reservation of a body of more than [`MAX_BUFFERED_BYTES`], which leaves memory to others.
    fn try_extend_spooled(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        if self.bytes_in_use() + bytes <= self.max_spooled_use_bytes {
            return self.try_extend(reservation, bytes);
        }
        let kept_free = self
            .reserve_bytes
            .saturating_sub(self.queue.reserve_used_bytes());
        self.long_bodies.available_permits() >= kept_free + bytes
            && self.try_extend_long(reservation, bytes)
    }

    fn try_extend_long(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let permit = self
            .long_bodies
            .clone()
            .try_acquire_many_owned(bytes as u32);
        permit.is_ok_and(|permit| {
            merge(&mut reservation.long_bodies, permit);
            true
        })
    }

    /// Extends a reservation once its turn has come and there is memory.
    pub async fn extend(&self, reservation: &mut Reservation, bytes: usize) {
        if let Ok(permit) = self.buffers.clone().acquire_many_owned(bytes as u32).await {
            merge(&mut reservation.buffers, permit);
        }
    }

    fn try_extend(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let permit = self.buffers.clone().try_acquire_many_owned(bytes as u32);
        permit.is_ok_and(|permit| {
            merge(&mut reservation.buffers, permit);
            true
        })
    }

    /// Returns the number of bytes that are reserved or about to be.
    fn bytes_in_use(&self) -> usize {
        self.buffer_bytes - self.buffers.available_permits()
    }
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        let parts = self.buffers.iter().chain(&self.long_bodies);
        parts.map(OwnedSemaphorePermit::num_permits).sum()
    }

    /// Takes up to this many bytes out of the reservation.
    pub fn split(&mut self, bytes: usize) -> Self {
        let buffers = split(&mut self.buffers, bytes);
        let taken = buffers
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        let long_bodies = split(&mut self.long_bodies, bytes - taken);
        Reservation {
            buffers,
            long_bodies,
        }
    }
}

fn merge(permit: &mut Option<OwnedSemaphorePermit>, more: OwnedSemaphorePermit) {
    match permit {
        Some(permit) => permit.merge(more),
        None => *permit = Some(more),
    }
}

/// Takes up to this many bytes out of a permit.
fn split(permit: &mut Option<OwnedSemaphorePermit>, bytes: usize) -> Option<OwnedSemaphorePermit> {
    let permit = permit.as_mut()?;
    permit.split(bytes.min(permit.num_permits()))
}
