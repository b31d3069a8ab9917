//! A client's connection: its time limits, its account, and its socket, which is read only while the account permits
//! it.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::account::TenantAccount;
use crate::body_memory::{BodyMemory, Reservation};
use crate::bounded_read::{MAX_READ_BYTES, poll_read_part};
use crate::framing::FramingValidator;
use crate::write_window::WriteWindow;

/// The time from the first byte of a request to its last, plus the transfer time of its body. A client may take 2 s
/// for the head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// The same limit for the first request of a connection, from the time of connecting: a peer that sends no valid
/// request must get an error or a close within 3 s.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2800);
/// The time for which a connection may be idle, which must be at least 2 s.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// The delivery of the latest answer to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The socket has the whole answer.
    Done,
    /// The answer has begun and is still being received from the endpoint.
    Streaming,
    /// The answer is complete, and its last bytes wait for the socket.
    Flushing,
}

/// The state of a client's connection.
pub struct ClientConnection {
    pub active: Cell<bool>,
    pub delivery: Cell<Delivery>,
    /// True if the connection has had a response. Before that its first request may arrive at any moment.
    pub answered_before: Cell<bool>,
    pub idle_since: Cell<Instant>,
    /// The time at which the head being received began.
    pub head_started: Cell<Option<Instant>>,
    /// The time of the last read or write.
    pub last_io: Cell<Instant>,
    pub close_requested: Notify,
    /// The socket, as long as the connection lasts.
    pub socket: RefCell<Weak<RefCell<TcpStream>>>,
    /// The bytes of a streamed answer that wait for the socket.
    pub write_window: Rc<WriteWindow>,
    /// The tenant account of the connection, in a process of many tenants.
    pub account: RefCell<Option<Rc<dyn TenantAccount>>>,
    /// True if the latest request was rejected; further work on the connection is charged as rejecting.
    pub rejecting: Cell<bool>,
    /// Requests that have been read completely, and requests that have been answered.
    requests_read: Cell<u64>,
    requests_answered: Cell<u64>,
    /// The rest of the current request is read as long as the client sends it, also after the answer.
    reads_rest: Cell<bool>,
    /// Memory for what the connection keeps of its input.
    memory: Rc<BodyMemory>,
    /// Bytes received after a request that has no answer yet.
    pipelined: RefCell<PipelinedBytes>,
    /// The memory of long heads, which the HTTP library's buffer keeps as long as the connection lasts.
    head_reservation: RefCell<Reservation>,
    /// The reader to wake once the request is answered.
    read_waker: RefCell<Option<Waker>>,
    /// More bytes followed than are buffered, so the connection is closed after the answer.
    overflowed: Cell<bool>,
    /// The client has left; what it has sent behind the current request is not read.
    departed: Cell<bool>,
}

impl ClientConnection {
    /// Creates the state of a new connection.
    pub fn new(account: Option<Rc<dyn TenantAccount>>, memory: Rc<BodyMemory>) -> Self {
        ClientConnection {
            memory,
            active: Cell::new(false),
            delivery: Cell::new(Delivery::Done),
            answered_before: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            head_started: Cell::new(None),
            last_io: Cell::new(Instant::now()),
            close_requested: Notify::new(),
            socket: RefCell::default(),
            write_window: Rc::default(),
            account: RefCell::new(account),
            rejecting: Cell::new(false),
            requests_read: Cell::new(0),
            requests_answered: Cell::new(0),
            reads_rest: Cell::new(false),
            pipelined: RefCell::default(),
            head_reservation: RefCell::default(),
            read_waker: RefCell::default(),
            overflowed: Cell::new(false),
            departed: Cell::new(false),
        }
    }

    /// Returns whether no received bytes are waiting to be parsed.
    pub fn pipelined_is_empty(&self) -> bool {
        self.pipelined.borrow().bytes.is_empty()
    }

    /// Returns whether more bytes followed a request than are buffered.
    pub fn has_overflowed(&self) -> bool {
        self.overflowed.get()
    }

    /// Records that the client has left.
    pub fn record_departure(&self) {
        self.departed.set(true);
    }

    /// Returns whether the client is known to have left.
    pub fn has_departed(&self) -> bool {
        self.departed.get()
    }

    /// Records that a request begins.
    pub fn request_started(&self) {
        self.active.set(true);
        self.reads_rest.set(false);
    }

    /// Records that the rest of the current request is read as long as the client sends it, also after the answer.
    pub fn read_rest(&self) {
        self.reads_rest.set(true);
    }

    /// Returns whether a part of the current request, which is being answered, will not be read.
    pub fn leaves_rest_unread(&self) -> bool {
        let is_receiving = self.requests_read.get() <= self.requests_answered.get();
        is_receiving && !self.reads_rest.get()
    }

    /// Returns whether the rest of a request is still arriving after its answer.
    pub fn is_receiving_rest(&self) -> bool {
        self.requests_read.get() < self.requests_answered.get()
    }

    /// Returns whether the connection has a request, or an answer that the socket has not taken whole.
    pub fn is_occupied(&self) -> bool {
        self.active.get() || self.delivery.get() != Delivery::Done
    }

    /// Returns when the connection has to be checked again if nothing happens before.
    pub fn next_check(&self) -> Instant {
        match self.head_started.get() {
            _ if self.is_occupied() => Instant::now() + IDLE_TIMEOUT,
            Some(head_started) => self.receive_deadline(head_started),
            None => self.idle_since.get().max(self.last_io.get()) + IDLE_TIMEOUT,
        }
    }

    /// Returns the time by which a request that began at `head_started` must be complete, without the transfer time
    /// of its body.
    pub fn receive_deadline(&self, head_started: Instant) -> Instant {
        let first = if self.answered_before.get() {
            head_started + HEAD_TIMEOUT
        } else {
            self.idle_since.get() + FIRST_HEAD_TIMEOUT
        };
        first.min(head_started + HEAD_TIMEOUT)
    }

    /// Records that everything written so far has reached the socket.
    fn record_flush(&self) {
        if self.delivery.get() == Delivery::Flushing {
            self.delivery.set(Delivery::Done);
        }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes @ 1..)) = written {
            self.last_io.set(Instant::now());
            self.write_window.record_write(*bytes);
        }
    }

    /// Keeps as many bytes of further requests as there is room and memory for.
    fn keep_pipelined(&self, bytes: &[u8]) {
        let kept = self.pipelined.borrow_mut().append(bytes, &self.memory);
        self.overflowed
            .set(self.overflowed.get() || kept < bytes.len());
    }

    /// Reserves memory for a head of this length, of which there may be two copies. Returns false if there is none.
    fn cover_head(&self, head_bytes: usize) -> bool {
        let is_short = head_bytes <= MAX_SHORT_HEAD_BYTES;
        let mut reservation = self.head_reservation.borrow_mut();
        is_short || self.memory.try_cover(&mut reservation, 2 * head_bytes)
    }

    /// Marks the current request as answered.
    pub fn request_answered(&self) {
        self.active.set(false);
        self.requests_answered.set(self.requests_answered.get() + 1);
        self.idle_since.set(Instant::now());
        if let Some(read_waker) = self
            .read_waker
            .take()
            .filter(|_| !self.pipelined_is_empty())
        {
            read_waker.wake();
        }
    }

    /// Moves the connection to the account of the tenant named in its latest request.
    pub fn assign_account(&self, account: &Rc<dyn TenantAccount>) -> Result<(), f64> {
        let mut assigned = self.account.borrow_mut();
        if assigned.as_ref().is_some_and(|a| Rc::ptr_eq(a, account)) {
            return Ok(());
        }
        account.acquire_client_connection()?;
        if let Some(previous) = assigned.replace(account.clone()) {
            previous.release_client_connection();
        }
        Ok(())
    }

    /// Runs the connection's future and charges each poll to the account that the connection has at that time.
    pub async fn run_accounted<F: Future>(&self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if let Some(account) = &*self.account.borrow() {
                account.begin_work();
            }
            let result = future.as_mut().poll(cx);
            if let Some(account) = &*self.account.borrow() {
                account.end_work(self.rejecting.get());
            }
            result
        })
        .await
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        if let Some(account) = self.account.get_mut() {
            account.release_client_connection();
        }
    }
}

/// The largest number of bytes buffered behind a request that has no answer yet.
const MAX_PIPELINED_BYTES: usize = 64 << 10;
/// The number of these bytes for which every connection has room.
const MAX_FREE_PIPELINED_BYTES: usize = 4 << 10;
/// The length of a head that fits into the first buffer of the HTTP library.
const MAX_SHORT_HEAD_BYTES: usize = 8 << 10;

/// The answer to a request for whose long head there is no memory.
const NO_MEMORY_FOR_HEAD: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Received bytes of further requests, with their memory.
#[derive(Default)]
struct PipelinedBytes {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl PipelinedBytes {
    /// Appends bytes as far as there is room and memory for them, and returns their number.
    fn append(&mut self, bytes: &[u8], memory: &BodyMemory) -> usize {
        let room = MAX_PIPELINED_BYTES.saturating_sub(self.bytes.len());
        let kept = room.min(bytes.len());
        let size = self.bytes.len() + kept;
        if size > MAX_FREE_PIPELINED_BYTES && !memory.try_cover(&mut self.reservation, size) {
            return 0;
        }
        self.bytes.reserve_exact(kept);
        self.bytes.extend_from_slice(&bytes[..kept]);
        kept
    }

    /// Puts bytes of the latest read before the others.
    fn put_back(&mut self, bytes: &[u8]) {
        self.bytes.splice(..0, bytes.iter().copied());
    }

    /// Moves bytes from the beginning to a buffer.
    fn take(&mut self, buf: &mut ReadBuf) {
        let taken = self.bytes.len().min(buf.remaining()).min(MAX_READ_BYTES);
        buf.put_slice(&self.bytes[..taken]);
        self.bytes.drain(..taken);
        if self.bytes.is_empty() {
            *self = PipelinedBytes::default();
        }
    }
}

/// The number of reads in one poll for bytes that are not parsed at once.
pub const MAX_READS_PER_POLL: usize = 4;

/// A client's socket, which is read only while its account permits it. The HTTP library gets one request at a time:
/// with bytes of a further request in its buffer it would not notice that the client disconnects.
pub struct ClientSocket {
    pub stream: Rc<RefCell<TcpStream>>,
    pub client: Rc<ClientConnection>,
    pub framing: FramingValidator,
    /// Received bytes of an incomplete head.
    pub head_bytes: usize,
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        // The rest of an admitted request is read even if the account permits no reading, because the request
        // occupies the resources that the account lacks.
        let admitted = self.client.active.get() && !self.client.rejecting.get();
        let must_wait =
            |account: &Rc<dyn TenantAccount>| !admitted && !account.may_read(cx.waker());
        if self.client.account.borrow().as_ref().is_some_and(must_wait) {
            return Poll::Pending;
        }
        if self.client.requests_read.get() > self.client.requests_answered.get() {
            return self.read_pipelined(cx);
        }
        let before = buf.filled().len();
        let read = if !self.client.pipelined_is_empty() {
            self.client.pipelined.borrow_mut().take(buf);
            Poll::Ready(Ok(()))
        } else if self.client.overflowed.get() {
            return Poll::Ready(Ok(())); // bytes have been lost before what follows
        } else {
            poll_read_part(&mut self.stream.borrow_mut(), cx, buf)
        };
        if buf.filled().len() > before {
            match self.framing.feed(&buf.filled()[before..]) {
                // The framing is ambiguous from here on: close the connection.
                Err(error) => {
                    buf.set_filled(before);
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
                }
                Ok((taken, request_ended)) => {
                    let rest = &buf.filled()[before + taken..];
                    self.client.pipelined.borrow_mut().put_back(rest);
                    buf.set_filled(before + taken);
                    self.client
                        .requests_read
                        .set(self.client.requests_read.get() + u64::from(request_ended));
                    if !self.cover_head(taken) {
                        self.reject_head();
                        return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
                    }
                }
            }
            let now = Instant::now();
            self.client.last_io.set(now);
            if !self.client.active.get()
                && self.client.head_started.get().is_none()
                && self.framing.in_head()
            {
                self.client.head_started.set(Some(now));
            }
        }
        read
    }
}

impl ClientSocket {
    /// Reserves memory for the head that is being received, of which these many bytes have just come. Returns false if
    /// there is none.
    fn cover_head(&mut self, received: usize) -> bool {
        if !self.framing.in_head() {
            self.head_bytes = 0;
            return true;
        }
        self.head_bytes += received;
        self.client.cover_head(self.head_bytes)
    }

    /// Rejects a request whose head is not kept; the connection ends with this.
    fn reject_head(&self) {
        if self.client.delivery.get() == Delivery::Done {
            let _ = self.stream.borrow().try_write(NO_MEMORY_FOR_HEAD); // the client may have disconnected
        }
    }

    /// Buffers bytes that follow a request without an answer. Only the end of the client's stream is reported.
    fn read_pipelined(&self, cx: &mut Context) -> Poll<io::Result<()>> {
        let mut bytes = [0; 4 << 10];
        for _ in 0..MAX_READS_PER_POLL {
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    self.client.last_io.set(Instant::now());
                    if !self.client.overflowed.get() {
                        self.client.keep_pipelined(buf.filled());
                    }
                }
                Poll::Pending => {
                    self.client.read_waker.replace(Some(cx.waker().clone()));
                    return Poll::Pending;
                }
                end => return end,
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes);
        self.client.record_write(&written);
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.client.record_flush(); // hyper flushes a socket once its own buffer is empty
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, parts);
        self.client.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }
}
