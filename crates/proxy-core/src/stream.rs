//! Bodies that are too large to be kept: they pass through in bounded pieces, and whoever is slow at one end slows down the
//! other. What is kept of a body is what may be sent again.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::Instant;

/// Bytes of a body that are kept whatever else is: an answer up to this size is passed on whole, and a request up to it is
/// always waited for.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// The largest body of a request, and of an answer.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// A body of which nothing has come or gone for this span is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes a second at which a body has to come at least, in the mean since its first; clients send twice as fast.
const MIN_BYTES_PER_SECOND: f64 = 32e3;

/// The longest that so many bytes of a body may take to come.
pub fn transfer_time(received: usize) -> Duration {
    Duration::from_secs_f64(received as f64 / MIN_BYTES_PER_SECOND)
}

fn invalid_data(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// What one body takes on its way through: buffers at both ends and what is between them.
const STREAM_SLOT_BYTES: usize = 192 << 10;

/// Bytes by which a kept body takes memory.
const BUFFER_STEP_BYTES: usize = 64 << 10;
/// The largest body of a request that is waited for before it goes out.
const MAX_SPOOLED_BYTES: usize = 2 << 20;

/// Memory for all bodies that are kept or pass through at once.
pub struct BodyMemory {
    stream_slots: Arc<Semaphore>,
    /// Of [`BUFFER_STEP_BYTES`] bytes each.
    buffer_steps: Arc<Semaphore>,
}

/// A part of it, given back when dropped.
pub type MemoryPermit = Option<OwnedSemaphorePermit>;

impl BodyMemory {
    /// Room within so many bytes of memory: an eighth for bodies that are kept, a quarter for those that pass through, and
    /// the rest for all else.
    pub fn new(memory: usize) -> Rc<Self> {
        let part = |bytes: usize, of: usize| Arc::new(Semaphore::new((bytes / of).max(8)));
        Rc::new(BodyMemory {
            stream_slots: part(memory / 4, STREAM_SLOT_BYTES),
            buffer_steps: part(memory / 8, BUFFER_STEP_BYTES),
        })
    }

    /// A place to pass through, if there is one now.
    pub fn try_stream_slot(&self) -> MemoryPermit {
        self.stream_slots.clone().try_acquire_owned().ok()
    }

    /// A place, in turn. An answer that has begun can't be refused any more.
    pub async fn stream_slot(&self) -> MemoryPermit {
        self.stream_slots.clone().acquire_owned().await.ok()
    }

    /// Whether a body of so many bytes may be kept, and more of it be waited for. What it takes is added to its share.
    pub fn try_buffer(&self, size: usize, permit: &mut MemoryPermit) -> bool {
        let acquired = permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let more = (size / BUFFER_STEP_BYTES).saturating_sub(acquired);
        if size > MAX_SPOOLED_BYTES {
            return false;
        }
        let Ok(more) = self
            .buffer_steps
            .clone()
            .try_acquire_many_owned(more as u32)
        else {
            return false;
        };
        match permit {
            Some(permit) => permit.merge(more),
            None => *permit = Some(more),
        }
        true
    }
}

/// A body as far as it has come in, in one place: as pieces and once more as a whole it would take memory twice.
#[derive(Default)]
pub struct BodyBuffer {
    single: Bytes,
    joined: BytesMut,
}

impl BodyBuffer {
    /// Adds what has come; `length` is what the whole has, if that is told.
    pub fn add(&mut self, data: Bytes, length: Option<u64>) {
        if self.single.is_empty() && self.joined.is_empty() {
            self.single = data; // most bodies come at once
            return;
        }
        if self.joined.is_empty() {
            let capacity = length
                .and_then(|n| usize::try_from(n).ok())
                .unwrap_or(0)
                .min(MAX_SPOOLED_BYTES);
            self.joined
                .reserve(capacity.max(self.single.len() + data.len()));
            self.joined
                .extend_from_slice(&std::mem::take(&mut self.single));
        }
        self.joined.extend_from_slice(&data);
    }

    /// All of it.
    pub fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() {
            self.single
        } else {
            self.joined.freeze()
        }
    }
}

/// The body of a request that comes in while it goes out.
pub struct Upload {
    /// Its beginning, which each attempt sends first.
    prefix: Bytes,
    /// Its whole length, where the client has told it.
    length: Option<u64>,
    rest: RefCell<Option<Incoming>>,
    received: Cell<u64>,
    /// Something of the rest has gone out: the request can't be sent again.
    partly_sent: Cell<bool>,
    /// Its client has left or sent what is no body.
    client_lost: Cell<bool>,
    /// Its last byte has been handed on: the request may run.
    complete: Cell<bool>,
    last_progress: Cell<Instant>,
    completed: Notify,
    /// How long the client waits from its last byte on.
    pub timeout: Duration,
}

impl Upload {
    pub fn new(prefix: Bytes, length: Option<u64>, rest: Incoming, timeout: Duration) -> Rc<Self> {
        Rc::new(Upload {
            received: Cell::new(prefix.len() as u64),
            prefix,
            length,
            rest: RefCell::new(Some(rest)),
            partly_sent: Cell::new(false),
            client_lost: Cell::new(false),
            complete: Cell::new(false),
            last_progress: Cell::new(Instant::now()),
            completed: Notify::new(),
            timeout,
        })
    }

    /// Whether it can't be sent again.
    pub fn is_partly_sent(&self) -> bool {
        self.partly_sent.get()
    }

    /// Whether its client has left before its end.
    pub fn is_client_lost(&self) -> bool {
        self.client_lost.get()
    }

    /// Whether its last byte has been handed on.
    pub fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// Waits until that is so.
    pub async fn wait_until_complete(&self) {
        while !self.complete.get() {
            self.completed.notified().await;
        }
    }

    /// Takes away what has not come in yet: the request has its answer.
    pub fn take_rest(&self) -> Option<Incoming> {
        self.rest.take()
    }

    /// An attempt begins to send it.
    fn attempt_started(&self) {
        self.last_progress.set(Instant::now());
    }

    /// When it counts as given up, unless something moves.
    pub fn stalls_at(&self) -> Instant {
        self.last_progress.get() + STALL_TIMEOUT
    }

    fn set_complete(&self) {
        self.complete.set(true);
        self.completed.notify_waiters();
    }

    fn poll_rest(&self, cx: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let mut rest = self.rest.borrow_mut();
        loop {
            let Some(body) = rest.as_mut() else {
                let complete = self.complete.get();
                return Poll::Ready((!complete).then(|| Err(invalid_data("the body is gone"))));
            };
            let frame = ready!(Pin::new(body).poll_frame(cx));
            self.last_progress.set(Instant::now());
            match frame {
                None => {
                    *rest = None;
                    self.set_complete();
                    return Poll::Ready(None);
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    }; // trailers go no further
                    self.partly_sent.set(true);
                    self.received.set(self.received.get() + data.len() as u64);
                    if self.received.get() > MAX_BODY_BYTES {
                        *rest = None;
                        return Poll::Ready(Some(Err(invalid_data("the body is too large"))));
                    }
                    if self.length == Some(self.received.get()) {
                        self.set_complete();
                    }
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
                Some(Err(e)) => {
                    *rest = None;
                    self.client_lost.set(true);
                    return Poll::Ready(Some(Err(io::Error::other(e))));
                }
            }
        }
    }
}

/// The body of a request that goes on.
#[derive(Clone)]
pub enum RequestContent {
    /// All of it is kept.
    Buffered(Bytes),
    Streamed(Rc<Upload>),
}

impl RequestContent {
    /// What a request without a body has.
    pub const fn empty() -> Self {
        RequestContent::Buffered(Bytes::new())
    }

    /// The body that one attempt sends.
    pub fn outbound(&self) -> RequestBody {
        match self {
            RequestContent::Buffered(body) => RequestBody::Buffered(Full::new(body.clone())),
            RequestContent::Streamed(upload) => {
                upload.attempt_started();
                RequestBody::Streamed {
                    prefix: Some(upload.prefix.clone()),
                    upload: upload.clone(),
                }
            }
        }
    }

    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            RequestContent::Buffered(_) => None,
            RequestContent::Streamed(upload) => Some(upload),
        }
    }
}

/// What goes out to a server.
pub enum RequestBody {
    Buffered(Full<Bytes>),
    Streamed {
        prefix: Option<Bytes>,
        upload: Rc<Upload>,
    },
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            RequestBody::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            RequestBody::Streamed { prefix, upload } => match prefix.take() {
                Some(prefix) => Poll::Ready(Some(Ok(Frame::data(prefix)))),
                None => upload.poll_rest(cx),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Buffered(body) => body.is_end_stream(),
            RequestBody::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(body) => body.size_hint(),
            RequestBody::Streamed { upload, .. } => upload
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// A part of an answer on its way to the client.
pub enum ResponsePiece {
    Data(Bytes),
    /// It is whole. An answer that ends without this has been cut.
    End,
}

/// The body of an answer that goes on while it comes in.
pub struct ResponseStream {
    length: Option<u64>,
    receiver: mpsc::Receiver<ResponsePiece>,
    ended: bool,
}

impl ResponseStream {
    /// One piece at a time is on its way: a client that does not read holds up nothing but its own answer.
    pub fn new(length: Option<u64>) -> (mpsc::Sender<ResponsePiece>, Self) {
        let (sender, receiver) = mpsc::channel(1);
        (
            sender,
            ResponseStream {
                length,
                receiver,
                ended: false,
            },
        )
    }
}

/// What goes back to a client.
pub enum ResponseBody {
    Buffered(Full<Bytes>),
    Streamed(ResponseStream, OnDone),
}

/// Called when an answer's body is done with.
pub type OnDone = Option<Box<dyn FnOnce()>>;

impl From<Bytes> for ResponseBody {
    fn from(body: Bytes) -> Self {
        ResponseBody::Buffered(Full::new(body))
    }
}

impl From<Full<Bytes>> for ResponseBody {
    fn from(body: Full<Bytes>) -> Self {
        ResponseBody::Buffered(body)
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let ResponseBody::Streamed(_, on_done) = self
            && let Some(on_done) = on_done.take()
        {
            on_done();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            ResponseBody::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            ResponseBody::Streamed(stream, _) if stream.ended => Poll::Ready(None),
            ResponseBody::Streamed(stream, _) => {
                Poll::Ready(match ready!(stream.receiver.poll_recv(cx)) {
                    Some(ResponsePiece::Data(data)) => Some(Ok(Frame::data(data))),
                    Some(ResponsePiece::End) => {
                        stream.ended = true;
                        None
                    }
                    None => Some(Err(invalid_data("the server has cut its answer"))),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(body) => body.is_end_stream(),
            ResponseBody::Streamed(stream, _) => stream.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body) => body.size_hint(),
            ResponseBody::Streamed(stream, _) => stream
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
