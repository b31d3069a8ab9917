//! Attempts at backends. One attempt is one request on one connection, and nothing is ever resent here.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use balancer::Outcome;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Request, StatusCode, Version};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use crate::account::{self, Account};
use crate::message::{Content, Outgoing, Reply, strip};
use crate::stream::{self, KEPT, Outbound, Passing, Piece, Room, Upload};
use crate::vars::Counters;

/// A pooled connection is retired after this part of the span after which a backend closes it.
const IDLE_PART: f64 = 0.7;
/// A second answer is taken to come within this span; a later one is seen only if no request has gone out before it.
const SETTLE: Duration = Duration::from_millis(20);
/// Longest wait until a connection is ready for its next request.
const READY: Duration = Duration::from_secs(1);
/// An answer that has begun and of which nothing has come for this span is given up.
const SILENT: Duration = Duration::from_secs(10);
/// Bytes of a connection's buffer, and the most that the head of an answer may have.
const BUFFER: usize = 32 << 10;

/// One process of a backend at one address. A restart or a new address makes a new one.
pub struct Endpoint {
    pub address: SocketAddr,
    pub born_ms: f64,
    /// Drains, is gone or has been replaced: nothing new is written to it.
    closed: Cell<bool>,
    idle: RefCell<Vec<Idle>>,
}

impl Endpoint {
    pub fn new(address: SocketAddr, born_ms: f64) -> Rc<Self> {
        Rc::new(Endpoint {
            address,
            born_ms,
            closed: Cell::new(false),
            idle: RefCell::default(),
        })
    }

    /// Whether something new may go there. Closing also drops the idle connections.
    pub fn set_open(&self, open: bool) {
        self.closed.set(!open);
        if !open {
            self.idle.borrow_mut().clear();
        }
    }

    pub fn is_open(&self) -> bool {
        !self.closed.get()
    }

    /// An idle connection: of those on which a second answer would have come by now the one used last, as it is the least
    /// likely to have been closed; else the one that has rested longest.
    fn rested(&self) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let settled = idle
            .iter()
            .rposition(|i| i.since.elapsed() >= SETTLE)
            .unwrap_or(0);
        (!idle.is_empty()).then(|| idle.remove(settled))
    }

    /// Puts a clean connection by for the next request.
    fn keep(&self, connection: Connection) {
        if self.is_open() {
            self.idle.borrow_mut().push(Idle {
                connection,
                since: Instant::now(),
            });
        }
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// A connection to a backend; dropping it closes the socket.
struct Connection {
    sender: SendRequest<Outbound>,
    meter: Rc<Meter>,
    stream: Rc<RefCell<TcpStream>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Whether a request may be written to it: the backend has neither closed it nor said anything unasked.
    /// The runtime may not have seen its end yet, so the socket itself is asked.
    fn is_alive(&self) -> bool {
        is_quiet(&self.stream.borrow()) && self.sender.is_ready()
    }
}

/// Whether the other side has neither said anything that has not been read nor closed.
pub fn is_quiet(stream: &TcpStream) -> bool {
    match socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}

/// Follows the bytes of a request onto the socket, and holds the first one back where it may not go.
#[derive(Default)]
struct Meter {
    /// Told of each request whose last byte has been written.
    counts: Rc<Counters>,
    /// What must still hold when the first byte is written; there is none between requests.
    gate: RefCell<Option<Gate>>,
    begun: Cell<bool>,
    denied: Cell<bool>,
    /// How much of the blank line that ends the head has been seen.
    blank: Cell<usize>,
    /// Bytes of the body still to be written, of one that is kept.
    left: Cell<usize>,
    /// A body that is not kept.
    upload: RefCell<Option<Rc<Upload>>>,
    counted: Cell<bool>,
}

/// The backend must still take work and the request still lack its answer: either may have changed while the
/// connection came up.
struct Gate {
    endpoint: Rc<Endpoint>,
    wanted: Rc<Wanted>,
    /// A first byte goes out before this, if ever.
    before: Option<Instant>,
}

impl Gate {
    fn is_open(&self) -> bool {
        self.endpoint.is_open()
            && self.wanted.holds()
            && self.before.is_none_or(|b| Instant::now() < b)
    }
}

/// Whether an attempt may still begin for a request: until it has its answer or its client has gone.
#[derive(Default)]
pub struct Wanted {
    over: Cell<bool>,
    ended: Notify,
}

impl Wanted {
    pub fn holds(&self) -> bool {
        !self.over.get()
    }

    /// Nothing more begins for it.
    pub fn end(&self) {
        self.over.set(true);
        self.ended.notify_waiters();
    }

    async fn ended(&self) {
        while self.holds() {
            self.ended.notified().await;
        }
    }
}

const BLANK: &[u8] = b"\r\n\r\n";

impl Meter {
    fn start(&self, gate: Gate, body: usize, upload: Option<Rc<Upload>>) {
        self.gate.replace(Some(gate));
        self.upload.replace(upload);
        self.counted.set(false);
        self.begun.set(false);
        self.denied.set(false);
        self.blank.set(0);
        self.left.set(body);
    }

    /// Whether a write may go on.
    fn admit(&self) -> bool {
        let go = self.begun.get() || self.gate.borrow().as_ref().is_some_and(Gate::is_open);
        self.denied.set(!go);
        go
    }

    fn wrote(&self, bytes: &[u8]) {
        self.begun.set(self.begun.get() || !bytes.is_empty());
        self.follow(bytes);
        if self.complete() && !self.counted.replace(true) {
            self.counts.attempt_sent();
        }
    }

    fn follow(&self, bytes: &[u8]) {
        let mut rest = bytes;
        while self.blank.get() < BLANK.len() {
            let Some((&byte, after)) = rest.split_first() else {
                return;
            };
            rest = after;
            let seen = self.blank.get();
            self.blank.set(if byte == BLANK[seen] {
                seen + 1
            } else {
                usize::from(byte == b'\r')
            });
        }
        self.left.set(self.left.get().saturating_sub(rest.len()));
    }

    /// Whether the request's last byte has been written: from then on it may have run. Of a body that is not kept the
    /// last byte counts as written once the connection has it.
    fn complete(&self) -> bool {
        let passed = self.upload.borrow().as_ref().is_none_or(|u| u.is_passed());
        self.blank.get() == BLANK.len() && self.left.get() == 0 && passed
    }
}

/// The socket under a connection, with its meter. It holds its part of the budget of sockets.
struct Metered {
    stream: Rc<RefCell<TcpStream>>,
    meter: Rc<Meter>,
    _permit: OwnedSemaphorePermit,
}

impl AsyncRead for Metered {
    // The stream's own way: after a short read it waits for news and does not ask the system once more.
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf)
    }
}

impl AsyncWrite for Metered {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if !self.meter.admit() {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes);
        if let Poll::Ready(Ok(n)) = written {
            self.meter.wrote(&bytes[..n]);
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}

/// What all attempts share: time-outs and the budget of sockets.
pub struct Upstreams {
    dial_timeout: Cell<Duration>,
    idle_limit: Cell<Duration>,
    sockets: Arc<Semaphore>,
    /// Whose work it is, in a process of many tenants.
    account: Option<Rc<dyn Account>>,
    counts: Rc<Counters>,
    /// Memory for what passes through.
    room: Rc<Room>,
    /// Asked to close an idle connection when the budget has run out.
    endpoints: RefCell<Vec<Rc<Endpoint>>>,
}

impl Upstreams {
    /// `sockets` is the budget of connections, which pools of one process share.
    pub fn new(
        connections: &settings::ConnectionSettings,
        sockets: Arc<Semaphore>,
        account: Option<Rc<dyn Account>>,
        counts: Rc<Counters>,
        room: Rc<Room>,
    ) -> Self {
        let upstreams = Upstreams {
            dial_timeout: Cell::default(),
            idle_limit: Cell::default(),
            sockets,
            account,
            counts,
            room,
            endpoints: RefCell::default(),
        };
        upstreams.set(connections);
        upstreams
    }

    /// The settings have changed.
    pub fn set(&self, connections: &settings::ConnectionSettings) {
        let span = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3.6e6) / 1000.0);
        self.dial_timeout.set(span(connections.connect_timeout));
        self.idle_limit
            .set(span(connections.idle_timeout * IDLE_PART));
    }

    /// Adds a backend's process to those whose idle connections are looked after.
    pub fn add(&self, endpoint: &Rc<Endpoint>) {
        self.endpoints.borrow_mut().push(endpoint.clone());
    }

    /// Closes connections that have stood idle for too long, and forgets processes that are done with.
    pub fn sweep(&self) {
        let now = Instant::now();
        let fresh = |i: &Idle| now - i.since < self.idle_limit.get() && i.connection.is_alive();
        self.endpoints.borrow_mut().retain(|e| {
            e.idle.borrow_mut().retain(fresh);
            Rc::strong_count(e) > 1
        });
    }

    /// Whether connections stand idle, which have to be looked after.
    pub fn has_idle(&self) -> bool {
        self.endpoints
            .borrow()
            .iter()
            .any(|e| !e.idle.borrow().is_empty())
    }

    /// Closes the connection that has stood idle longest, whosever it is.
    pub fn close_idle(&self) {
        let endpoints = self.endpoints.borrow();
        let oldest = |e: &Rc<Endpoint>| e.idle.borrow().first().map(|i| i.since);
        if let Some(e) = endpoints
            .iter()
            .filter(|e| oldest(e).is_some())
            .min_by_key(|e| oldest(e))
        {
            e.idle.borrow_mut().remove(0);
        }
    }

    /// A connection to use. What fails before `dialled` is set says nothing of the server.
    async fn connection(
        &self,
        endpoint: &Rc<Endpoint>,
        dialled: &Cell<bool>,
    ) -> io::Result<Connection> {
        loop {
            let Some(idle) = endpoint.rested() else { break };
            if idle.since.elapsed() < self.idle_limit.get() && idle.connection.is_alive() {
                return Ok(idle.connection);
            }
        }
        timeout(
            self.dial_timeout.get(),
            self.open(endpoint.address, dialled),
        )
        .await?
    }

    async fn open(&self, address: SocketAddr, dialled: &Cell<bool>) -> io::Result<Connection> {
        if self.sockets.available_permits() == 0 {
            self.close_idle();
        }
        let permit = self
            .sockets
            .clone()
            .acquire_owned()
            .await
            .map_err(io::Error::other)?;
        dialled.set(true);
        let stream = TcpStream::connect(address)
            .await
            .inspect_err(|e| dialled.set(!is_short(e)))?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(RefCell::new(stream));
        let meter = Rc::new(Meter {
            counts: self.counts.clone(),
            ..Meter::default()
        });
        let io = Metered {
            stream: stream.clone(),
            meter: meter.clone(),
            _permit: permit,
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER)
            .handshake(TokioIo::new(io))
            .await
            .map_err(io::Error::other)?;
        let work = async move {
            let _ = connection.await; // errors show at the request
        };
        let driver = match &self.account {
            None => tokio::task::spawn_local(work),
            Some(account) => tokio::task::spawn_local(account::on(account.clone(), work)),
        };
        Ok(Connection {
            sender,
            meter,
            stream,
            driver,
        })
    }

    /// Makes one attempt and tells how it goes, its end last and exactly once; `report` gets that before the connection
    /// is pooled.
    pub async fn attempt(&self, attempt: Attempt, mut report: impl FnMut(News)) {
        let Attempt {
            endpoint,
            wanted,
            message,
            until,
            before,
        } = attempt;
        // Whatever goes wrong before the request's last byte is written proves that it never ran.
        let dialled = Cell::new(false);
        let mut connection = {
            let mut dial = pin!(timeout_at(until, self.connection(&endpoint, &dialled)));
            tokio::select! {
                biased;
                dial = &mut dial => match dial {
                    Ok(Ok(connection)) => connection,
                    Ok(Err(_)) | Err(_) if dialled.get() => {
                        return report(News::Ended(Outcome::ConnectFailed, None));
                    }
                    Ok(Err(_)) | Err(_) => return report(News::Ended(Outcome::NotSent, None)),
                },
                // Its place is free at once. What the server has paid for by now is kept for others.
                () = wanted.ended() => {
                    report(News::Ended(Outcome::NotSent, None));
                    if let Ok(Ok(connection)) = dial.await {
                        endpoint.keep(connection);
                    }
                    return;
                }
            }
        };
        let gate = Gate {
            endpoint: endpoint.clone(),
            wanted,
            before,
        };
        if !gate.is_open() {
            report(News::Ended(Outcome::NotSent, None));
            return endpoint.keep(connection);
        }
        let Some(request) = message.request(until) else {
            return report(News::Ended(Outcome::NotSent, None));
        };
        let (meter, upload) = (connection.meter.clone(), message.body.upload().cloned());
        let left = if upload.is_some() {
            0
        } else {
            request.body().size_hint().exact().unwrap_or(0) as usize
        };
        meter.start(gate, left, upload.clone());
        let until = Cell::new(until);
        let answer = {
            let mut exchange = pin!(exchange(&mut connection.sender, request));
            loop {
                let coming = upload.as_ref().filter(|u| !u.is_passed());
                let end = coming.map_or(until.get(), |u| u.stalls_at());
                let whole = async {
                    match coming {
                        Some(upload) => upload.whole().await,
                        None => pending().await,
                    }
                };
                tokio::select! {
                    biased;
                    answer = &mut exchange => break Some(answer),
                    () = whole => {
                        until.set(Instant::now() + upload.as_ref().map_or(Duration::ZERO, |u| u.patience));
                        report(News::Whole);
                    }
                    () = sleep_until(end) => {
                        if coming.is_none_or(|u| u.stalls_at() <= Instant::now()) {
                            break None;
                        }
                    }
                }
            }
        };
        let keep = match answer {
            Some(Ok(Got::Whole(outcome, reply, keep))) => {
                report(News::Ended(outcome, reply));
                keep && meter.complete()
            }
            Some(Ok(Got::Large(large))) => {
                let (sender, passing) = Passing::new(large.length);
                report(News::Began(Reply {
                    headers: large.headers,
                    body: Content::Stream(passing),
                }));
                let outcome =
                    pass_on(large.first, large.rest, large.length, &self.room, sender).await;
                report(News::Ended(outcome, None));
                outcome == Outcome::Served && meter.complete()
            }
            Some(Err(_)) if meter.denied.get() && !meter.begun.get() => {
                return report(News::Ended(Outcome::NotSent, None));
            }
            Some(Err(_)) | None if !meter.complete() => {
                return report(News::Ended(Outcome::ConnectFailed, None));
            }
            Some(Err(_)) => return report(News::Ended(Outcome::Reset, None)),
            // The connection is dropped, never used again.
            None => return report(News::Ended(Outcome::TimedOut, None)),
        };
        meter.gate.replace(None);
        let ready = keep && matches!(timeout(READY, connection.sender.ready()).await, Ok(Ok(())));
        if ready {
            endpoint.keep(connection);
        }
    }
}

/// Whether a connection could not even be tried, as this process or its machine has run short of something.
fn is_short(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let short = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
    ];
    short
        .iter()
        .any(|e| error.raw_os_error() == Some(e.raw_os_error()))
}

/// What one attempt is to do.
pub struct Attempt {
    pub endpoint: Rc<Endpoint>,
    pub wanted: Rc<Wanted>,
    pub message: Rc<Outgoing>,
    /// It is given up then.
    pub until: Instant,
    /// It begins before this, if at all.
    pub before: Option<Instant>,
}

/// What an attempt tells.
pub enum News {
    /// The last byte of a request that was still coming in has gone out.
    Whole,
    /// An answer too large to be kept has begun.
    Began(Reply),
    /// How it ended, with the answer if that is whole.
    Ended(Outcome, Option<Reply>),
}

/// What an exchange comes to.
enum Got {
    /// The flag says whether the connection may be kept.
    Whole(Outcome, Option<Reply>, bool),
    Large(Large),
}

/// A good answer that is too large to be kept.
struct Large {
    headers: HeaderMap,
    length: Option<u64>,
    first: Vec<Bytes>,
    rest: Incoming,
}

/// Sends a request and reads the whole answer, or as much of it as is kept.
async fn exchange(
    sender: &mut SendRequest<Outbound>,
    request: Request<Outbound>,
) -> Result<Got, String> {
    let answer = sender
        .send_request(request)
        .await
        .map_err(|e| e.to_string())?;
    let (head, mut body) = answer.into_parts();
    // The connection's end delimits a body where the head says that it closes, and a server that dies resets it. Without
    // that word a body may be cut short and nobody could tell.
    let length = body.size_hint().exact();
    let named = |value: &HeaderValue| {
        value.to_str().is_ok_and(|v| {
            v.split(',')
                .any(|part| part.trim().eq_ignore_ascii_case("close"))
        })
    };
    let closes = head.version == Version::HTTP_10
        || head.headers.get_all(header::CONNECTION).iter().any(named);
    let told = length.is_some() || head.headers.contains_key(header::TRANSFER_ENCODING);
    let delimited = told || closes;
    let (mut parts, mut size) = (Vec::new(), 0);
    let large = loop {
        if size > KEPT || length.is_some_and(|n| n > KEPT as u64) {
            break true;
        }
        let Some(frame) = body.frame().await else {
            break false;
        };
        if let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() {
            size += data.len();
            parts.push(data);
        }
    };
    let unseen = head
        .headers
        .get("x-not-processed")
        .is_some_and(|v| v.as_bytes().trim_ascii() == b"1");
    let mut headers = head.headers;
    Ok(match head.status {
        StatusCode::OK if !delimited => return Err("the answer's length is not told".into()),
        StatusCode::OK => {
            strip(&mut headers);
            if large {
                return Ok(Got::Large(Large {
                    headers,
                    length,
                    first: parts,
                    rest: body,
                }));
            }
            let body = if parts.len() == 1 {
                parts.remove(0)
            } else {
                parts.concat().into()
            };
            Got::Whole(
                Outcome::Served,
                Some(Reply {
                    headers,
                    body: Content::Whole(body),
                }),
                told,
            )
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => {
            Got::Whole(Outcome::Overloaded, None, !large)
        }
        status => Got::Whole(
            Outcome::Error,
            None,
            !large && status != StatusCode::SWITCHING_PROTOCOLS,
        ),
    })
}

/// Passes a large answer on as it comes, no faster than its client reads.
async fn pass_on(
    first: Vec<Bytes>,
    mut rest: Incoming,
    length: Option<u64>,
    room: &Room,
    to: mpsc::Sender<Piece>,
) -> Outcome {
    let _place = room.wait().await;
    let mut passed = 0;
    let mut first = first.into_iter();
    let whole = |passed| length == Some(passed);
    loop {
        let data = match first.next() {
            Some(data) => data,
            None => tokio::select! {
                frame = timeout(SILENT, rest.frame()) => match frame {
                    Ok(Some(Ok(frame))) => match frame.into_data() {
                        Ok(data) => data,
                        Err(_) => continue, // trailers go no further
                    },
                    Ok(None) => break,
                    Ok(Some(Err(_))) | Err(_) => return Outcome::Reset,
                },
                () = to.closed(), if !whole(passed) => return Outcome::Cancelled,
            },
        };
        passed += data.len() as u64;
        if passed > stream::MOST {
            return Outcome::Reset; // it has no end
        }
        if to.send(Piece::Data(data)).await.is_err() && !whole(passed) {
            return Outcome::Cancelled; // its client has left
        }
    }
    // One that was told its length needs no word of the end.
    if to.send(Piece::End).await.is_ok() || whole(passed) {
        Outcome::Served
    } else {
        Outcome::Cancelled
    }
}

#[cfg(test)]
#[path = "../tests/unit/upstream.rs"]
mod tests;
