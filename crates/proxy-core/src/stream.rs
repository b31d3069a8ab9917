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
pub const KEPT: usize = 64 << 10;
/// The largest body of a request, and of an answer.
pub const MOST: u64 = 32 << 20;
/// A body of which nothing has come or gone for this span is given up.
const STALL: Duration = Duration::from_secs(2);
/// Bytes a second at which a body has to come at least, in the mean since its first; clients send twice as fast.
const LEAST: f64 = 32e3;

/// The longest that so many bytes of a body may take to come.
pub fn span(received: usize) -> Duration {
    Duration::from_secs_f64(received as f64 / LEAST)
}

fn broken(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// What one body takes on its way through: buffers at both ends and what is between them.
const PLACE: usize = 192 << 10;

/// Bytes by which a kept body takes memory.
const STEP: usize = 64 << 10;
/// The largest body of a request that is waited for before it goes out.
const SPOOL: usize = 2 << 20;

/// Memory for all bodies that are kept or pass through at once.
pub struct Room {
    places: Arc<Semaphore>,
    /// Of [`STEP`] bytes each.
    steps: Arc<Semaphore>,
}

/// A part of it, given back when dropped.
pub type Share = Option<OwnedSemaphorePermit>;

impl Room {
    /// Room within so many bytes of memory: an eighth for bodies that are kept, a quarter for those that pass through, and
    /// the rest for all else.
    pub fn new(memory: usize) -> Rc<Self> {
        let part = |bytes: usize, of: usize| Arc::new(Semaphore::new((bytes / of).max(8)));
        Rc::new(Room {
            places: part(memory / 4, PLACE),
            steps: part(memory / 8, STEP),
        })
    }

    /// A place to pass through, if there is one now.
    pub fn take(&self) -> Share {
        self.places.clone().try_acquire_owned().ok()
    }

    /// A place, in turn. An answer that has begun can't be refused any more.
    pub async fn wait(&self) -> Share {
        self.places.clone().acquire_owned().await.ok()
    }

    /// Whether a body of so many bytes may be kept, and more of it be waited for. What it takes is added to its share.
    pub fn keeps(&self, size: usize, share: &mut Share) -> bool {
        let held = share.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let more = (size / STEP).saturating_sub(held);
        if size > SPOOL {
            return false;
        }
        let Ok(more) = self.steps.clone().try_acquire_many_owned(more as u32) else {
            return false;
        };
        match share {
            Some(share) => share.merge(more),
            None => *share = Some(more),
        }
        true
    }
}

/// A body as far as it has come in, in one place: as pieces and once more as a whole it would take memory twice.
#[derive(Default)]
pub struct Kept {
    first: Bytes,
    all: BytesMut,
}

impl Kept {
    /// Adds what has come; `length` is what the whole has, if that is told.
    pub fn add(&mut self, data: Bytes, length: Option<u64>) {
        if self.first.is_empty() && self.all.is_empty() {
            self.first = data; // most bodies come at once
            return;
        }
        if self.all.is_empty() {
            let most = length
                .and_then(|n| usize::try_from(n).ok())
                .unwrap_or(0)
                .min(SPOOL);
            self.all.reserve(most.max(self.first.len() + data.len()));
            self.all.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.all.extend_from_slice(&data);
    }

    /// All of it.
    pub fn whole(self) -> Bytes {
        if self.all.is_empty() {
            self.first
        } else {
            self.all.freeze()
        }
    }
}

/// The body of a request that comes in while it goes out.
pub struct Upload {
    /// Its beginning, which each attempt sends first.
    kept: Bytes,
    /// Its whole length, where the client has told it.
    length: Option<u64>,
    rest: RefCell<Option<Incoming>>,
    received: Cell<u64>,
    /// Something of the rest has gone out: the request can't be sent again.
    touched: Cell<bool>,
    /// Its client has left or sent what is no body.
    lost: Cell<bool>,
    /// Its last byte has been handed on: the request may run.
    passed: Cell<bool>,
    moved: Cell<Instant>,
    whole: Notify,
    /// How long the client waits from its last byte on.
    pub patience: Duration,
}

impl Upload {
    pub fn new(kept: Bytes, length: Option<u64>, rest: Incoming, patience: Duration) -> Rc<Self> {
        Rc::new(Upload {
            received: Cell::new(kept.len() as u64),
            kept,
            length,
            rest: RefCell::new(Some(rest)),
            touched: Cell::new(false),
            lost: Cell::new(false),
            passed: Cell::new(false),
            moved: Cell::new(Instant::now()),
            whole: Notify::new(),
            patience,
        })
    }

    /// Whether it can't be sent again.
    pub fn is_touched(&self) -> bool {
        self.touched.get()
    }

    /// Whether its client has left before its end.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }

    /// Whether its last byte has been handed on.
    pub fn is_passed(&self) -> bool {
        self.passed.get()
    }

    /// Waits until that is so.
    pub async fn whole(&self) {
        while !self.passed.get() {
            self.whole.notified().await;
        }
    }

    /// Takes away what has not come in yet: the request has its answer.
    pub fn abandon(&self) -> Option<Incoming> {
        self.rest.take()
    }

    /// An attempt begins to send it.
    fn begin(&self) {
        self.moved.set(Instant::now());
    }

    /// When it counts as given up, unless something moves.
    pub fn stalls_at(&self) -> Instant {
        self.moved.get() + STALL
    }

    fn pass(&self) {
        self.passed.set(true);
        self.whole.notify_waiters();
    }

    fn poll(&self, cx: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let mut rest = self.rest.borrow_mut();
        loop {
            let Some(body) = rest.as_mut() else {
                let whole = self.passed.get();
                return Poll::Ready((!whole).then(|| Err(broken("the body is gone"))));
            };
            let frame = ready!(Pin::new(body).poll_frame(cx));
            self.moved.set(Instant::now());
            match frame {
                None => {
                    *rest = None;
                    self.pass();
                    return Poll::Ready(None);
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    }; // trailers go no further
                    self.touched.set(true);
                    self.received.set(self.received.get() + data.len() as u64);
                    if self.received.get() > MOST {
                        *rest = None;
                        return Poll::Ready(Some(Err(broken("the body is too large"))));
                    }
                    if self.length == Some(self.received.get()) {
                        self.pass();
                    }
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
                Some(Err(e)) => {
                    *rest = None;
                    self.lost.set(true);
                    return Poll::Ready(Some(Err(io::Error::other(e))));
                }
            }
        }
    }
}

/// The body of a request that goes on.
#[derive(Clone)]
pub enum Payload {
    /// All of it is kept.
    Whole(Bytes),
    Stream(Rc<Upload>),
}

impl Payload {
    /// What a request without a body has.
    pub const fn empty() -> Self {
        Payload::Whole(Bytes::new())
    }

    /// The body that one attempt sends.
    pub fn outbound(&self) -> Outbound {
        match self {
            Payload::Whole(body) => Outbound::Whole(Full::new(body.clone())),
            Payload::Stream(upload) => {
                upload.begin();
                Outbound::Stream {
                    kept: Some(upload.kept.clone()),
                    upload: upload.clone(),
                }
            }
        }
    }

    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            Payload::Whole(_) => None,
            Payload::Stream(upload) => Some(upload),
        }
    }
}

/// What goes out to a server.
pub enum Outbound {
    Whole(Full<Bytes>),
    Stream {
        kept: Option<Bytes>,
        upload: Rc<Upload>,
    },
}

impl Body for Outbound {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            Outbound::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Outbound::Stream { kept, upload } => match kept.take() {
                Some(kept) => Poll::Ready(Some(Ok(Frame::data(kept)))),
                None => upload.poll(cx),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Outbound::Whole(body) => body.is_end_stream(),
            Outbound::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outbound::Whole(body) => body.size_hint(),
            Outbound::Stream { upload, .. } => upload
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// A part of an answer on its way to the client.
pub enum Piece {
    Data(Bytes),
    /// It is whole. An answer that ends without this has been cut.
    End,
}

/// The body of an answer that goes on while it comes in.
pub struct Passing {
    length: Option<u64>,
    pieces: mpsc::Receiver<Piece>,
    ended: bool,
}

impl Passing {
    /// One piece at a time is on its way: a client that does not read holds up nothing but its own answer.
    pub fn new(length: Option<u64>) -> (mpsc::Sender<Piece>, Self) {
        let (sender, pieces) = mpsc::channel(1);
        (
            sender,
            Passing {
                length,
                pieces,
                ended: false,
            },
        )
    }
}

/// What goes back to a client.
pub enum Inbound {
    Whole(Full<Bytes>),
    Stream(Passing, Watched),
}

/// Called when an answer's body is done with.
pub type Watched = Option<Box<dyn FnOnce()>>;

impl From<Bytes> for Inbound {
    fn from(body: Bytes) -> Self {
        Inbound::Whole(Full::new(body))
    }
}

impl From<Full<Bytes>> for Inbound {
    fn from(body: Full<Bytes>) -> Self {
        Inbound::Whole(body)
    }
}

impl Drop for Inbound {
    fn drop(&mut self) {
        if let Inbound::Stream(_, done) = self
            && let Some(done) = done.take()
        {
            done();
        }
    }
}

impl Body for Inbound {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            Inbound::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Inbound::Stream(passing, _) if passing.ended => Poll::Ready(None),
            Inbound::Stream(passing, _) => {
                Poll::Ready(match ready!(passing.pieces.poll_recv(cx)) {
                    Some(Piece::Data(data)) => Some(Ok(Frame::data(data))),
                    Some(Piece::End) => {
                        passing.ended = true;
                        None
                    }
                    None => Some(Err(broken("the server has cut its answer"))),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Inbound::Whole(body) => body.is_end_stream(),
            Inbound::Stream(passing, _) => passing.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Inbound::Whole(body) => body.size_hint(),
            Inbound::Stream(passing, _) => passing
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
