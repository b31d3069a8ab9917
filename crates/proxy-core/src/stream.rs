//! Bodies that are too large to be buffered are streamed in bounded pieces, and a slow reader slows down the sender.
//! The buffered part of a body is the part that can be sent again.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::body_buffer::BufferedBody;

/// The largest body of a request or a response.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// The time without progress after which a body is aborted.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The lowest mean rate at which a body must arrive since its first byte; clients send twice as fast.
const MIN_BYTES_PER_SECOND: f64 = 32e3;

/// Returns the longest time that this many bytes of a body may take to arrive.
pub fn transfer_time(received: usize) -> Duration {
    Duration::from_secs_f64(received as f64 / MIN_BYTES_PER_SECOND)
}

fn invalid_data(message: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

/// A request body that is received while it is sent.
pub struct Upload {
    /// The buffered beginning, which each attempt sends first. It is released once it can't be sent again.
    prefix: RefCell<BufferedBody>,
    /// The length of the complete body, if the client has announced it.
    length: Option<u64>,
    rest: RefCell<Option<Incoming>>,
    received: Cell<u64>,
    /// Part of the rest has been sent, so the request can't be sent again.
    partly_sent: Cell<bool>,
    /// The client has disconnected or sent an invalid body.
    client_lost: Cell<bool>,
    /// The last byte has been passed on, so the request may be executed.
    complete: Cell<bool>,
    last_progress: Cell<Instant>,
    completed: Notify,
    /// The time that the client waits after its last byte.
    pub timeout: Duration,
}

impl Upload {
    pub fn new(
        prefix: BufferedBody,
        length: Option<u64>,
        rest: Incoming,
        timeout: Duration,
    ) -> Rc<Self> {
        Rc::new(Upload {
            received: Cell::new(prefix.remaining_bytes() as u64),
            prefix: RefCell::new(prefix),
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

    /// Returns whether part of the rest has been sent, so that the request can't be sent again.
    pub fn is_partly_sent(&self) -> bool {
        self.partly_sent.get()
    }

    /// Returns whether the client failed to send the complete body.
    pub fn is_client_lost(&self) -> bool {
        self.client_lost.get()
    }

    /// Returns whether the last byte has been passed on.
    pub fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// Waits until the last byte has been passed on.
    pub async fn wait_until_complete(&self) {
        while !self.complete.get() {
            self.completed.notified().await;
        }
    }

    /// Takes the part that has not been received, once the request is answered.
    pub fn take_rest(&self) -> Option<Incoming> {
        self.rest.take()
    }

    /// Restarts the stall timeout when an attempt begins to send the body.
    fn attempt_started(&self) {
        self.last_progress.set(Instant::now());
    }

    /// Returns the time at which the body is aborted unless there is progress.
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
                return Poll::Ready(
                    (!complete)
                        .then(|| Err(invalid_data("the rest of the request body was dropped"))),
                );
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
                    }; // trailers are dropped
                    self.partly_sent.set(true);
                    self.prefix.take();
                    self.received.set(self.received.get() + data.len() as u64);
                    if self.received.get() > MAX_BODY_BYTES {
                        *rest = None;
                        return Poll::Ready(Some(Err(invalid_data(
                            "the request body is too large",
                        ))));
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

/// The body of a request that is forwarded.
#[derive(Clone)]
pub enum RequestContent {
    /// The complete body is buffered.
    Buffered(BufferedBody),
    Streamed(Rc<Upload>),
}

impl RequestContent {
    /// Returns an empty body.
    pub fn empty() -> Self {
        RequestContent::Buffered(BufferedBody::default())
    }

    /// Returns the body for one attempt.
    pub fn outbound(&self) -> RequestBody {
        match self {
            RequestContent::Buffered(body) => RequestBody::Buffered(body.clone()),
            RequestContent::Streamed(upload) => {
                upload.attempt_started();
                RequestBody::Streamed {
                    prefix: upload.prefix.borrow().clone(),
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

/// A request body on its way to an endpoint.
pub enum RequestBody {
    Buffered(BufferedBody),
    Streamed {
        prefix: BufferedBody,
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
            RequestBody::Streamed { prefix, upload } => match prefix.next_block() {
                Some(prefix) => Poll::Ready(Some(Ok(Frame::data(prefix)))),
                None => {
                    *prefix = BufferedBody::default(); // releases blocks that the upload no longer holds
                    upload.poll_rest(cx)
                }
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

/// A piece of a response body on its way to the client.
pub enum ResponsePiece {
    Data(Bytes),
    /// The body is complete. A response that ends without this was cut off.
    End,
}

/// A response body that is forwarded while it is received.
pub struct ResponseStream {
    length: Option<u64>,
    receiver: mpsc::Receiver<ResponsePiece>,
    ended: bool,
}

impl ResponseStream {
    /// Creates a channel for one piece at a time, so that a slow client delays only its own response.
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

/// A response body on its way to a client.
pub enum ResponseBody {
    Buffered(BufferedBody),
    Streamed(ResponseStream, OnDone),
}

/// A callback for when a response body has been sent or dropped.
pub type OnDone = Option<Box<dyn FnOnce()>>;

impl From<BufferedBody> for ResponseBody {
    fn from(body: BufferedBody) -> Self {
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
                    None => Some(Err(invalid_data("the endpoint cut off its response"))),
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
