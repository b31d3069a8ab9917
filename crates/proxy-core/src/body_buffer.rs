//! Bodies in memory, in blocks of which each has exactly the size that is reserved for it.
//!
//! A block is never larger than its reservation, not even while it is filled: the allocator gives freed memory out
//! again with its pages, so that room which was made in advance would be resident without having been counted.
//!
//! [`BodyBuffer`] receives a body, [`BufferedBody`] is what was received. Does no I/O.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::body_memory::{BodyMemory, MAX_BUFFERED_BYTES, Reservation};
use crate::memory_queue::Place;

/// The size of a block, which is also that of most other buffers of the process, so that freed ones fit again.
const BLOCK_BYTES: usize = 8 << 10;
/// The unit in which a body of up to [`MAX_BUFFERED_BYTES`] is reserved: at least what one read brings.
const ARRIVAL_STEP_BYTES: usize = 8 << 10;
/// The unit in which the part of a body beyond [`MAX_BUFFERED_BYTES`] is reserved.
const SPOOL_STEP_BYTES: usize = 64 << 10;

/// The part of a body that has been received.
pub struct BodyBuffer {
    /// The announced length of the complete body.
    length: Option<usize>,
    /// The memory of what is not taken yet.
    reservation: Reservation,
    /// The number of bytes that have been taken with their reservations.
    taken_bytes: usize,
    blocks: Vec<Vec<u8>>,
    /// The capacity of all blocks.
    allocated_bytes: usize,
    received_bytes: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of this length.
    pub fn new(length: Option<u64>) -> Self {
        BodyBuffer {
            length: length.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX)),
            reservation: Reservation::default(),
            taken_bytes: 0,
            blocks: Vec::new(),
            allocated_bytes: 0,
            received_bytes: 0,
        }
    }

    /// Reserves memory for what the next read brings, if there is any now. The part beyond [`MAX_BUFFERED_BYTES`] leaves
    /// some to others.
    pub fn try_reserve_next(&mut self, memory: &BodyMemory) -> bool {
        self.try_reserve(memory, BodyMemory::try_spool)
    }

    /// Does the same for a body that is being sent. What has not been taken stays within the body's even share, as its
    /// request needs it only to learn of the last byte.
    pub fn try_reserve_ahead(&mut self, memory: &BodyMemory) -> bool {
        let is_within_share = self.reservation.bytes() < memory.long_body_share();
        is_within_share && self.try_reserve_next(memory)
    }

    /// Does the same for the body of a waiting request, in its turn.
    pub fn try_reserve_next_in_turn(&mut self, memory: &BodyMemory, place: &Place) -> bool {
        let needed_bytes = self.length.map_or(usize::MAX, |length| {
            length.saturating_sub(self.reserved_bytes())
        });
        self.try_reserve(memory, |memory, reservation, bytes| {
            memory.try_in_turn(reservation, bytes, needed_bytes, place)
        })
    }

    /// Reserves memory for what the next read brings. `extend` extends the reservation of a body that is not short.
    fn try_reserve(
        &mut self,
        memory: &BodyMemory,
        extend: impl FnOnce(&BodyMemory, &mut Reservation, usize) -> bool,
    ) -> bool {
        let rest = self.length.map_or(usize::MAX, |length| {
            length.saturating_sub(self.received_bytes)
        });
        let needed = self.received_bytes + rest.min(ARRIVAL_STEP_BYTES);
        let more = needed.saturating_sub(self.reserved_bytes());
        if more == 0 {
            return true;
        }
        if self.received_bytes >= MAX_BUFFERED_BYTES {
            let unreserved = self.received_bytes.saturating_add(rest) - self.reserved_bytes();
            let step = unreserved.min(SPOOL_STEP_BYTES);
            return extend(memory, &mut self.reservation, step);
        }
        let missing = self.missing_bytes();
        memory.try_arrival(&mut self.reservation, more, missing)
            || (!self.may_be_short() && extend(memory, &mut self.reservation, more))
    }

    /// Waits in turn for memory for the rest of the first [`MAX_BUFFERED_BYTES`].
    pub async fn reserve_rest(&mut self, memory: &BodyMemory) {
        let missing = self.missing_bytes();
        memory.extend(&mut self.reservation, missing).await;
    }

    /// Returns the number of bytes for which memory has been reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.taken_bytes + self.reservation.bytes()
    }

    /// Returns the part of the first [`MAX_BUFFERED_BYTES`] for which no memory is reserved.
    fn missing_bytes(&self) -> usize {
        let first = self.length.unwrap_or(usize::MAX).min(MAX_BUFFERED_BYTES);
        first.saturating_sub(self.reserved_bytes())
    }

    /// Returns whether the complete body fits into the first [`MAX_BUFFERED_BYTES`], as far as is known.
    pub fn may_be_short(&self) -> bool {
        self.length.unwrap_or(0).max(self.received_bytes) <= MAX_BUFFERED_BYTES
    }

    /// Appends received data.
    pub fn add(&mut self, data: &[u8]) {
        let mut rest = data;
        while !rest.is_empty() {
            let room = self.block_with_room(rest.len());
            let (now, later) = rest.split_at(rest.len().min(room.capacity() - room.len()));
            room.extend_from_slice(now);
            rest = later;
        }
        self.received_bytes += data.len();
    }

    /// Returns the last block, or a new one if that is full. Only behind a long head a read brings more than is
    /// reserved.
    fn block_with_room(&mut self, needed_bytes: usize) -> &mut Vec<u8> {
        let is_full = |block: &Vec<u8>| block.len() == block.capacity();
        if self.blocks.last().is_none_or(is_full) {
            let reserved = self.reserved_bytes().saturating_sub(self.allocated_bytes);
            let size = match reserved.min(BLOCK_BYTES) {
                0 => needed_bytes,
                size => size,
            };
            self.allocated_bytes += size;
            self.blocks.push(Vec::with_capacity(size));
        }
        let last = self.blocks.len() - 1;
        &mut self.blocks[last]
    }

    /// Returns the number of received bytes.
    pub fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// Returns whether there is data that has not been taken.
    pub fn has_data(&self) -> bool {
        !self.blocks.is_empty()
    }

    /// Takes the data that has been received since the latest call. Its blocks hold their reservations.
    pub fn take_body(&mut self) -> BufferedBody {
        self.allocated_bytes = self.received_bytes;
        self.taken_bytes = self.received_bytes;
        let blocks = std::mem::take(&mut self.blocks).into_iter().map(|block| {
            let data = block.into_boxed_slice();
            let reservation = self.reservation.split(data.len());
            Bytes::from_owner(ReservedBlock {
                data,
                _reservation: reservation,
            })
        });
        BufferedBody::from_blocks(blocks)
    }

    /// Releases what is reserved beyond the received data, once that is taken.
    pub fn release_unused(&mut self) {
        self.reservation = Reservation::default();
    }

    /// Returns the received data and releases what is reserved beyond it.
    pub fn into_body(mut self) -> BufferedBody {
        self.take_body()
    }
}

/// Data with the reservation of its memory.
struct ReservedBlock {
    data: Box<[u8]>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBlock {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// A body in memory, or the beginning of one. A clone shares its blocks.
#[derive(Clone, Default)]
pub struct BufferedBody {
    /// Most bodies have one block, or none.
    first: Bytes,
    others: Option<Rc<[Bytes]>>,
    /// The number of blocks that have been passed on.
    position: usize,
    remaining_bytes: usize,
}

impl BufferedBody {
    /// Returns the number of bytes that have not been passed on.
    pub fn remaining_bytes(&self) -> usize {
        self.remaining_bytes
    }

    fn others(&self) -> &[Bytes] {
        self.others.as_deref().unwrap_or_default()
    }

    fn from_blocks(mut blocks: impl Iterator<Item = Bytes>) -> Self {
        let first = blocks.next().unwrap_or_default();
        let others: Vec<Bytes> = blocks.collect();
        BufferedBody {
            remaining_bytes: first.len() + others.iter().map(Bytes::len).sum::<usize>(),
            first,
            others: (!others.is_empty()).then(|| others.into()),
            position: 0,
        }
    }

    /// Appends the blocks of another body.
    pub fn append(&mut self, mut other: Self) {
        if other.is_end_stream() {
            return;
        }
        let mut own = std::mem::take(self);
        let own_blocks = std::iter::from_fn(|| own.next_block());
        *self = Self::from_blocks(own_blocks.chain(std::iter::from_fn(|| other.next_block())));
    }

    /// Takes the next block.
    pub fn next_block(&mut self) -> Option<Bytes> {
        let block = match self.position {
            0 => std::mem::take(&mut self.first),
            position => self.others().get(position - 1)?.clone(),
        };
        self.position += 1;
        self.remaining_bytes -= block.len();
        Some(block).filter(|block| !block.is_empty())
    }
}

impl From<Bytes> for BufferedBody {
    fn from(first: Bytes) -> Self {
        BufferedBody {
            remaining_bytes: first.len(),
            first,
            ..BufferedBody::default()
        }
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.next_block().map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes() == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes() as u64)
    }
}
