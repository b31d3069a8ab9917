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
/// The unit in which a body reserves memory as it arrives: at least what one read brings.
const ARRIVAL_STEP_BYTES: usize = 8 << 10;
/// The same for a body of more than [`MAX_BUFFERED_BYTES`].
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
    /// The number of bytes in use up to which bodies reserve memory as they arrive. Beyond it, a body that begins to
    /// wait for memory could wait for others that wait as well, so each reserves all of its rest at once.
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
    fn bytes(&self) -> usize {
        self.0.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    fn add(&mut self, more: OwnedSemaphorePermit) {
        match &mut self.0 {
            Some(permit) => permit.merge(more),
            None => self.0 = Some(more),
        }
    }

    /// Releases what exceeds `size`.
    fn shrink_to(&mut self, size: usize) {
        let surplus = self.bytes().saturating_sub(size);
        drop(self.0.as_mut().and_then(|permit| permit.split(surplus)));
    }
}

/// The received part of a body in one buffer; separate pieces would keep the whole buffers into which they were read.
pub struct BodyBuffer {
    /// The announced length of the complete body.
    length: Option<usize>,
    reservation: Reservation,
    single: Bytes,
    joined: BytesMut,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of this length.
    pub fn new(length: Option<u64>) -> Self {
        BodyBuffer {
            length: length.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX)),
            reservation: Reservation::default(),
            single: Bytes::new(),
            joined: BytesMut::new(),
        }
    }

    /// Reserves memory for what the next read brings, if there is any now.
    pub fn try_reserve_next(&mut self, memory: &BodyMemory) -> bool {
        let size = self.len();
        let needed = self.length.map_or(ARRIVAL_STEP_BYTES, |length| {
            length.saturating_sub(size).min(ARRIVAL_STEP_BYTES)
        });
        let more = (size + needed).saturating_sub(self.reservation.bytes());
        if more == 0 {
            return true;
        }
        if size >= MAX_BUFFERED_BYTES {
            return size < MAX_SPOOLED_BYTES
                && memory.bytes_in_use() + SPOOL_STEP_BYTES <= memory.max_spooled_use_bytes
                && memory.try_extend(&mut self.reservation, SPOOL_STEP_BYTES);
        }
        let arrives = memory.bytes_in_use() + more <= memory.max_arrival_use_bytes;
        let more = if arrives { more } else { self.missing_bytes() };
        memory.try_extend(&mut self.reservation, more)
    }

    /// Waits in turn for memory for the rest of the first [`MAX_BUFFERED_BYTES`].
    pub async fn reserve_rest(&mut self, memory: &BodyMemory) {
        let missing = self.missing_bytes() as u32;
        if let Ok(permit) = memory.buffers.clone().acquire_many_owned(missing).await {
            self.reservation.add(permit);
        }
    }

    /// Returns the part of the first [`MAX_BUFFERED_BYTES`] for which no memory is reserved.
    fn missing_bytes(&self) -> usize {
        let first = self.length.unwrap_or(usize::MAX).min(MAX_BUFFERED_BYTES);
        first.saturating_sub(self.reservation.bytes())
    }

    /// Returns whether the complete body fits into the first [`MAX_BUFFERED_BYTES`], as far as is known.
    pub fn may_be_short(&self) -> bool {
        self.length.unwrap_or(0).max(self.len()) <= MAX_BUFFERED_BYTES
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
