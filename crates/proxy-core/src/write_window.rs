//! Bound on the bytes of a streamed body that one connection keeps between its source and its socket.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;

/// The number of bytes from which on a connection takes no further piece.
const WINDOW_BYTES: usize = 8 << 10;
/// The same for pieces whose memory is reserved anyway: more of them in one write take less processor time.
const RESERVED_WINDOW_BYTES: usize = 64 << 10;
/// The size of the buffers into which pieces are read; a piece keeps the whole buffer.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// The bytes of a body that have been passed to a connection and not been written to its socket.
#[derive(Default)]
pub struct WriteWindow {
    unwritten_bytes: Cell<usize>,
    waker: RefCell<Option<Waker>>,
}

impl WriteWindow {
    /// Forgets an earlier body.
    pub fn reset(&self) {
        self.unwritten_bytes.set(0);
    }

    /// Waits until the connection takes a further piece.
    pub fn poll_room(&self, cx: &mut Context) -> Poll<()> {
        self.poll_room_below(WINDOW_BYTES, cx)
    }

    /// Waits until the connection takes a further piece of a body whose memory is reserved.
    pub fn poll_reserved_room(&self, cx: &mut Context) -> Poll<()> {
        self.poll_room_below(RESERVED_WINDOW_BYTES, cx)
    }

    fn poll_room_below(&self, max_unwritten_bytes: usize, cx: &mut Context) -> Poll<()> {
        if self.unwritten_bytes.get() < max_unwritten_bytes {
            return Poll::Ready(());
        }
        self.waker.replace(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// Records a piece that is passed to the connection.
    pub fn record_piece(&self, bytes: usize) {
        self.unwritten_bytes.set(self.unwritten_bytes.get() + bytes);
    }

    /// Records bytes that were written to the socket; those of heads and of chunk sizes count as well.
    pub fn record_write(&self, bytes: usize) {
        let unwritten = self.unwritten_bytes.get().saturating_sub(bytes);
        self.unwritten_bytes.set(unwritten);
        if unwritten < WINDOW_BYTES
            && let Some(waker) = self.waker.take()
        {
            waker.wake();
        }
    }
}

/// Returns a piece that does not keep a much larger buffer.
pub fn compact(piece: Bytes) -> Bytes {
    if piece.len() < READ_BUFFER_BYTES / 2 {
        Bytes::copy_from_slice(&piece)
    } else {
        piece
    }
}
