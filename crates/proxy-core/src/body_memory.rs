//! Memory for bodies. Every buffered byte of a body is reserved before it is read and released with the last reference
//! to it, so that clients and endpoints together can't exceed the memory limit of the process. Other input that is kept
//! is covered as well.
//!
//! [`BodyMemory`] is the budget, and a [`Reservation`] a part of it. What passes through without being buffered takes a
//! [`StreamSlot`]. Does no I/O.

use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The size up to which a body is buffered if there is memory: a response up to it is forwarded whole, and a request up
/// to it is always read before it is forwarded.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// The unit in which other input than bodies reserves memory.
const INPUT_STEP_BYTES: usize = 4 << 10;
/// The memory for one streamed body: the buffers at both ends and the piece between them.
const STREAM_SLOT_BYTES: usize = 192 << 10;
/// The smallest number of bodies of [`MAX_BUFFERED_BYTES`] that a budget has room for.
const MIN_BUFFERED_BODIES: usize = 16;
/// The smallest number of streamed bodies that a budget has room for.
const MIN_STREAMED_BODIES: usize = 8;

/// The memory budget of all buffered and streamed bodies.
pub struct BodyMemory {
    stream_slots: Arc<Semaphore>,
    /// A permit for each byte.
    buffers: Arc<Semaphore>,
    /// The number of bytes of all buffers.
    buffer_bytes: usize,
    /// The number of bytes in use up to which bodies reserve memory as they arrive.
    max_arrival_use_bytes: usize,
    /// The number of bytes in use up to which bodies of more than [`MAX_BUFFERED_BYTES`] are buffered.
    max_spooled_use_bytes: usize,
}

/// A reserved part of the memory for streamed bodies, released when dropped; `None` if there was none.
pub type StreamSlot = Option<OwnedSemaphorePermit>;

/// Reserved bytes of the memory for buffered bodies, released when dropped.
#[derive(Debug, Default)]
pub struct Reservation(Option<OwnedSemaphorePermit>);

impl BodyMemory {
    /// Divides the memory of a process: a quarter for buffered bodies, a quarter for streamed ones, and the rest for
    /// everything else. Bodies of more than [`MAX_BUFFERED_BYTES`] leave a quarter of the buffers to others.
    pub fn new(memory_bytes: usize) -> Rc<Self> {
        let buffer_bytes = (memory_bytes / 4).max(MIN_BUFFERED_BODIES * MAX_BUFFERED_BYTES);
        Rc::new(BodyMemory {
            stream_slots: stream_slots(memory_bytes),
            buffers: Arc::new(Semaphore::new(buffer_bytes)),
            buffer_bytes,
            max_arrival_use_bytes: buffer_bytes / 2,
            max_spooled_use_bytes: buffer_bytes / 4 * 3,
        })
    }

    /// Creates the budget of a process in which tenants' accounts limit bodies of up to [`MAX_BUFFERED_BYTES`] before
    /// they are read. `memory_bytes` limits the others.
    pub fn with_accounts(memory_bytes: usize) -> Rc<Self> {
        Rc::new(BodyMemory {
            stream_slots: stream_slots(memory_bytes),
            buffers: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
            buffer_bytes: Semaphore::MAX_PERMITS,
            max_arrival_use_bytes: Semaphore::MAX_PERMITS,
            max_spooled_use_bytes: memory_bytes / 8,
        })
    }

    /// Reserves memory for a streamed body, if there is any now.
    pub fn try_stream_slot(&self) -> StreamSlot {
        self.stream_slots.clone().try_acquire_owned().ok()
    }

    /// Waits in turn for memory for a streamed body: a response that has begun can't be rejected any more.
    pub async fn stream_slot(&self) -> StreamSlot {
        self.stream_slots.clone().acquire_owned().await.ok()
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

    /// Extends the reservation of a body of more than [`MAX_BUFFERED_BYTES`], which leaves memory to others.
    pub fn try_spool(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        self.bytes_in_use() + bytes <= self.max_spooled_use_bytes
            && self.try_extend(reservation, bytes)
    }

    /// Extends a reservation once its turn has come and there is memory.
    pub async fn extend(&self, reservation: &mut Reservation, bytes: usize) {
        if let Ok(permit) = self.buffers.clone().acquire_many_owned(bytes as u32).await {
            reservation.add(permit);
        }
    }

    fn try_extend(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let permit = self.buffers.clone().try_acquire_many_owned(bytes as u32);
        permit.is_ok_and(|permit| {
            reservation.add(permit);
            true
        })
    }

    /// Returns the number of bytes that are reserved or about to be.
    fn bytes_in_use(&self) -> usize {
        self.buffer_bytes - self.buffers.available_permits()
    }
}

fn stream_slots(memory_bytes: usize) -> Arc<Semaphore> {
    let slots = memory_bytes / 4 / STREAM_SLOT_BYTES;
    Arc::new(Semaphore::new(slots.max(MIN_STREAMED_BODIES)))
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.0.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    fn add(&mut self, more: OwnedSemaphorePermit) {
        match &mut self.0 {
            Some(permit) => permit.merge(more),
            None => self.0 = Some(more),
        }
    }

    /// Takes up to this many bytes out of the reservation.
    pub fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes());
        Reservation(self.0.as_mut().and_then(|permit| permit.split(bytes)))
    }
}
