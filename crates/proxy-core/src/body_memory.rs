//! Memory for bodies. Every buffered byte of a body is reserved before it is read and released with the last reference
//! to it, so that clients and endpoints together can't exceed the memory limit of the process. Other input that is kept
//! is covered as well.
//!
//! [`BodyMemory`] is the budget, [`BodyBuffer`] the received part of one body. What passes through without being
//! buffered takes a [`StreamSlot`]. Does no I/O.

use std::rc::Rc;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The size up to which a body is buffered if there is memory: a response up to it is forwarded whole, and a request up
/// to it is always read before it is forwarded.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// The largest request body that is read completely before it is forwarded.
const MAX_SPOOLED_BYTES: usize = 2 << 20;
/// The unit in which a body of more than [`MAX_BUFFERED_BYTES`] reserves memory.
const SPOOL_STEP_BYTES: usize = 64 << 10;
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
    /// The number of bytes in use up to which bodies of more than [`MAX_BUFFERED_BYTES`] are buffered.
    max_spooled_use_bytes: usize,
}

/// A reserved part of the memory for streamed bodies, released when dropped; `None` if there was none.
pub type StreamSlot = Option<OwnedSemaphorePermit>;

/// Reserved bytes of the memory for buffered bodies, released when dropped.
#[derive(Debug)]
pub struct Reservation(OwnedSemaphorePermit);

impl BodyMemory {
    /// Divides the memory of a process: three sixteenths for buffered bodies, a quarter for streamed ones, and the
    /// rest for everything else. Bodies of more than [`MAX_BUFFERED_BYTES`] leave half of the buffers to others.
    pub fn new(memory_bytes: usize) -> Rc<Self> {
        let buffer_bytes = (memory_bytes / 16 * 3).max(MIN_BUFFERED_BODIES * MAX_BUFFERED_BYTES);
        Rc::new(BodyMemory {
            stream_slots: stream_slots(memory_bytes),
            buffers: Arc::new(Semaphore::new(buffer_bytes)),
            buffer_bytes,
            max_spooled_use_bytes: buffer_bytes / 2,
        })
    }

    /// Creates the budget of a process in which tenants' accounts limit bodies of up to [`MAX_BUFFERED_BYTES`] before
    /// they are read. `memory_bytes` limits the others.
    pub fn with_accounts(memory_bytes: usize) -> Rc<Self> {
        Rc::new(BodyMemory {
            stream_slots: stream_slots(memory_bytes),
            buffers: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
            buffer_bytes: Semaphore::MAX_PERMITS,
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

    /// Reserves memory for the first [`MAX_BUFFERED_BYTES`] of a body of this length, if there is any now.
    pub fn try_reserve(&self, length: Option<u64>) -> Option<Reservation> {
        let permit = self
            .buffers
            .clone()
            .try_acquire_many_owned(first_bytes(length));
        permit.ok().map(Reservation)
    }

    /// Waits in turn for memory for the first [`MAX_BUFFERED_BYTES`] of a body of this length.
    pub async fn reserve(&self, length: Option<u64>) -> Option<Reservation> {
        let permit = self.buffers.clone().acquire_many_owned(first_bytes(length));
        permit.await.ok().map(Reservation)
    }

    /// Extends a reservation to at least this many bytes, if there is memory now.
    pub fn try_cover(&self, reservation: &mut Option<Reservation>, bytes: usize) -> bool {
        let covered = reservation.as_ref().map_or(0, |r| r.0.num_permits());
        let Some(more) = bytes.checked_sub(covered).filter(|more| *more > 0) else {
            return true;
        };
        let more = more.next_multiple_of(INPUT_STEP_BYTES);
        let Ok(permit) = self.buffers.clone().try_acquire_many_owned(more as u32) else {
            return false;
        };
        match reservation {
            Some(reservation) => reservation.0.merge(permit),
            None => *reservation = Some(Reservation(permit)),
        }
        true
    }

    /// Reserves memory so that a body may be buffered up to `size` and read further. Returns false if the body is too
    /// large or there is no memory now.
    fn try_extend(&self, reservation: &mut Reservation, size: usize) -> bool {
        if size > MAX_SPOOLED_BYTES {
            return false;
        }
        let needed = size.next_multiple_of(SPOOL_STEP_BYTES);
        let more = needed.saturating_sub(reservation.0.num_permits());
        let in_use = self.buffer_bytes - self.buffers.available_permits();
        if in_use + more > self.max_spooled_use_bytes {
            return false;
        }
        match self.buffers.clone().try_acquire_many_owned(more as u32) {
            Ok(permit) => {
                reservation.0.merge(permit);
                true
            }
            Err(_) => false,
        }
    }
}

fn stream_slots(memory_bytes: usize) -> Arc<Semaphore> {
    let slots = memory_bytes / 4 / STREAM_SLOT_BYTES;
    Arc::new(Semaphore::new(slots.max(MIN_STREAMED_BODIES)))
}

/// Returns the number of bytes reserved for the first part of a body of this length.
fn first_bytes(length: Option<u64>) -> u32 {
    let limit = MAX_BUFFERED_BYTES as u64;
    length.unwrap_or(limit).min(limit) as u32
}

impl Reservation {
    /// Releases what exceeds `size`.
    fn shrink_to(&mut self, size: usize) {
        let surplus = self.0.num_permits().saturating_sub(size);
        drop(self.0.split(surplus));
    }
}

/// The received part of a body in one buffer; separate pieces would keep the whole buffers into which they were read.
pub struct BodyBuffer {
    /// The announced length of the complete body.
    length: Option<u64>,
    reservation: Reservation,
    single: Bytes,
    joined: BytesMut,
}

impl BodyBuffer {
    /// Creates an empty buffer with the memory reserved for a body of this length.
    pub fn new(reservation: Reservation, length: Option<u64>) -> Self {
        BodyBuffer {
            length,
            reservation,
            single: Bytes::new(),
            joined: BytesMut::new(),
        }
    }

    /// Appends received data.
    pub fn add(&mut self, data: Bytes) {
        if self.is_empty() {
            self.single = data; // most bodies arrive in one piece
            return;
        }
        if self.joined.is_empty() {
            self.joined
                .reserve(self.expected_bytes().max(self.single.len() + data.len()));
            self.joined
                .extend_from_slice(&std::mem::take(&mut self.single));
        }
        self.joined.extend_from_slice(&data);
    }

    /// Returns the number of bytes to make room for when a second piece arrives.
    fn expected_bytes(&self) -> usize {
        self.length
            .and_then(|length| usize::try_from(length).ok())
            .map_or(MAX_BUFFERED_BYTES, |length| length.min(MAX_SPOOLED_BYTES))
    }

    /// Returns whether nothing has been received.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of received bytes.
    pub fn len(&self) -> usize {
        self.single.len() + self.joined.len()
    }

    /// Returns whether more data may be added, for which memory is reserved if necessary.
    pub fn may_grow(&mut self, memory: &BodyMemory) -> bool {
        let size = self.len();
        size <= MAX_BUFFERED_BYTES || memory.try_extend(&mut self.reservation, size)
    }

    /// Returns the buffered data, which holds its reservation.
    pub fn into_bytes(mut self) -> Bytes {
        if self.is_empty() {
            return Bytes::new();
        }
        self.reservation.shrink_to(self.len());
        let data = if self.joined.is_empty() {
            self.single
        } else {
            self.joined.freeze()
        };
        Bytes::from_owner(ReservedBytes {
            data,
            _reservation: self.reservation,
        })
    }
}

/// Data with the reservation of its memory.
struct ReservedBytes {
    data: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
