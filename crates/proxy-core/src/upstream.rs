//! Attempts at endpoints. One attempt is one request on one connection; nothing is resent here.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use balancer::Outcome;
use hyper::body::Body as _;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use crate::account::{self, TenantAccount};
use crate::attempt_control::AttemptControl;
use crate::body_memory::BodyMemory;
use crate::bounded_read::poll_read_part;
use crate::client_presence::{Absence, ClientPresence};
use crate::exchange::{ExchangeResult, exchange, stream_response};
use crate::message::{EndpointResponse, OutboundRequest, ResponseContent};
use crate::response_arrival::ResponseArrival;
use crate::socket_options::{self, UnreadInput, unread_input};
use crate::stream::{RequestBody, ResponseStream};
use crate::upload::Upload;
use crate::vars::Counters;
use crate::write_window::WriteWindow;

/// The fraction of an endpoint's idle timeout after which a pooled connection is closed.
const IDLE_FRACTION: f64 = 0.7;
/// The time within which a surplus second response is expected. A later one is detected only if no request has been
/// sent before it.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// The time before an attempt's deadline at which the client must be confirmed, so that the request can be rejected in time.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(20);
/// The longest wait for a connection to become ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// The buffer size of a connection, which also limits the head of a response.
const CONNECTION_BUFFER_BYTES: usize = 32 << 10;

/// One process of an endpoint at one address. A restart or a new address creates a new one.
pub struct Endpoint {
    pub address: SocketAddr,
    pub started_unix_ms: f64,
    /// The endpoint drains, is removed or was replaced: nothing new is written to it.
    closed: Cell<bool>,
    idle: RefCell<Vec<IdleConnection>>,
}

impl Endpoint {
    pub fn new(address: SocketAddr, started_unix_ms: f64) -> Rc<Self> {
        Rc::new(Endpoint {
            address,
            started_unix_ms,
            closed: Cell::new(false),
            idle: RefCell::default(),
        })
    }

    /// Sets whether new requests may be sent. Closing also drops the idle connections.
    pub fn set_open(&self, open: bool) {
        self.closed.set(!open);
        if !open {
            self.idle.borrow_mut().clear();
        }
    }

    pub fn is_open(&self) -> bool {
        !self.closed.get()
    }

    /// Takes an idle connection. Among those idle for at least [`SETTLE_TIME`], on which a surplus response would
    /// have arrived by now, it is the last used one, which is the least likely to have been closed; otherwise it is
    /// the one idle longest.
    fn take_idle(&self) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let settled = idle
            .iter()
            .rposition(|i| i.since.elapsed() >= SETTLE_TIME)
            .unwrap_or(0);
        (!idle.is_empty()).then(|| idle.remove(settled))
    }

    /// Pools a clean connection for the next request.
    fn keep_idle(&self, connection: Connection) {
        if self.is_open() {
            self.idle.borrow_mut().push(IdleConnection {
                connection,
                since: Instant::now(),
            });
        }
    }
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// A connection to an endpoint; dropping it closes the socket.
struct Connection {
    sender: SendRequest<RequestBody>,
    tracker: Rc<WriteTracker>,
    stream: Rc<RefCell<TcpStream>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Returns whether a request may be written: the endpoint has neither closed the connection nor sent unsolicited
    /// data. The runtime may not have noticed this yet, so the socket itself is checked.
    fn is_alive(&self) -> bool {
        unread_input(&self.stream.borrow()) == UnreadInput::None && self.sender.is_ready()
    }
}

/// Tracks the bytes of a request that are written to the socket, and blocks the first one if the request may not be
/// sent.
#[derive(Default)]
struct WriteTracker {
    /// Counts requests whose last byte has been written.
    counts: Rc<Counters>,
    /// The condition for writing the first byte; `None` between requests.
    condition: RefCell<Option<SendCondition>>,
    started: Cell<bool>,
    blocked: Cell<bool>,
    /// Matched bytes of the blank line that ends the head.
    blank_line_matched: Cell<usize>,
    /// Bytes of a buffered body still to be written.
    remaining_body_bytes: Cell<usize>,
    /// A streamed body.
    upload: RefCell<Option<Rc<Upload>>>,
    /// The window of a streamed body.
    window: RefCell<Option<Rc<WriteWindow>>>,
    counted: Cell<bool>,
}

/// The endpoint must still be open and the request unanswered: both may have changed while the connection was
/// established.
struct SendCondition {
    endpoint: Rc<Endpoint>,
    control: Rc<AttemptControl>,
    /// The first byte must be written before this time.
    start_by: Option<Instant>,
}

impl SendCondition {
    fn is_open(&self) -> bool {
        self.endpoint.is_open()
            && self.control.allows_attempts()
            && self.start_by.is_none_or(|b| Instant::now() < b)
    }
}

const BLANK_LINE: &[u8] = b"\r\n\r\n";

impl WriteTracker {
    fn start(&self, condition: SendCondition, body: usize, upload: Option<Rc<Upload>>) {
        self.condition.replace(Some(condition));
        self.upload.replace(upload);
        self.counted.set(false);
        self.started.set(false);
        self.blocked.set(false);
        self.blank_line_matched.set(0);
        self.remaining_body_bytes.set(body);
    }

    /// Ends a request that is answered. Releases its body, which an idle connection would keep otherwise.
    fn end(&self) {
        self.condition.replace(None);
        self.upload.replace(None);
        self.window.replace(None);
    }

    /// Returns whether a write is permitted.
    fn may_write(&self) -> bool {
        let allowed = self.started.get()
            || self
                .condition
                .borrow()
                .as_ref()
                .is_some_and(SendCondition::is_open);
        self.blocked.set(!allowed);
        allowed
    }

    fn record_write(&self, bytes: &[u8]) {
        self.started.set(self.started.get() || !bytes.is_empty());
        self.track(bytes);
        if self.is_complete() && !self.counted.replace(true) {
            self.counts.attempt_sent();
        }
    }

    /// Records the first `written` bytes of several parts.
    fn record_vectored_write(&self, parts: &[IoSlice], written: usize) {
        let mut rest = written;
        for part in parts {
            let bytes = rest.min(part.len());
            self.record_write(&part[..bytes]);
            rest -= bytes;
        }
    }

    fn track(&self, bytes: &[u8]) {
        let mut rest = bytes;
        while self.blank_line_matched.get() < BLANK_LINE.len() {
            let Some((&byte, after)) = rest.split_first() else {
                return;
            };
            rest = after;
            let seen = self.blank_line_matched.get();
            self.blank_line_matched.set(if byte == BLANK_LINE[seen] {
                seen + 1
            } else {
                usize::from(byte == b'\r')
            });
        }
        self.remaining_body_bytes
            .set(self.remaining_body_bytes.get().saturating_sub(rest.len()));
        if let Some(window) = &*self.window.borrow() {
            window.record_write(rest.len());
        }
    }

    /// Returns whether the request's last byte has been written: from then on it may have been executed. The last
    /// byte of a streamed body counts as written once the connection has it.
    fn is_complete(&self) -> bool {
        let upload_complete = self
            .upload
            .borrow()
            .as_ref()
            .is_none_or(|u| u.is_complete());
        self.blank_line_matched.get() == BLANK_LINE.len()
            && self.remaining_body_bytes.get() == 0
            && upload_complete
    }
}

/// The socket of a connection with its write tracker. It holds a permit of the connection limit.
struct TrackedStream {
    stream: Rc<RefCell<TcpStream>>,
    tracker: Rc<WriteTracker>,
    _permit: OwnedSemaphorePermit,
}

impl AsyncRead for TrackedStream {
    // Uses the stream's own implementation, which waits for readiness after a short read without another system call.
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        poll_read_part(&mut self.stream.borrow_mut(), cx, buf)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if !self.tracker.may_write() {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes);
        if let Poll::Ready(Ok(n)) = written {
            self.tracker.record_write(&bytes[..n]);
        }
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        if !self.tracker.may_write() {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, parts);
        if let Poll::Ready(Ok(n)) = written {
            self.tracker.record_vectored_write(parts, n);
        }
        written
    }

    // The HTTP library then keeps a body's pieces as they are in place of copying them into a buffer of its own.
    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}

/// State shared by all attempts: timeouts and the connection limit.
pub struct Upstreams {
    connect_timeout: Cell<Duration>,
    idle_limit: Cell<Duration>,
    sockets: Arc<Semaphore>,
    /// The account to charge, in a process of many tenants.
    account: Option<Rc<dyn TenantAccount>>,
    counts: Rc<Counters>,
    /// Memory for request and response bodies.
    body_memory: Rc<BodyMemory>,
    /// The endpoints whose idle connections can be closed when the connection limit is reached.
    endpoints: RefCell<Vec<Rc<Endpoint>>>,
}

impl Upstreams {
    /// Creates the shared state. `sockets` is the connection limit, which all pools of a process share.
    pub fn new(
        connections: &settings::ConnectionSettings,
        sockets: Arc<Semaphore>,
        account: Option<Rc<dyn TenantAccount>>,
        counts: Rc<Counters>,
        body_memory: Rc<BodyMemory>,
    ) -> Self {
        let upstreams = Upstreams {
            connect_timeout: Cell::default(),
            idle_limit: Cell::default(),
            sockets,
            account,
            counts,
            body_memory,
            endpoints: RefCell::default(),
        };
        upstreams.configure(connections);
        upstreams
    }

    /// Applies changed settings.
    pub fn configure(&self, connections: &settings::ConnectionSettings) {
        let duration = |ms: f64| Duration::from_secs_f64(ms.clamp(1.0, 3.6e6) / 1000.0);
        self.connect_timeout
            .set(duration(connections.connect_timeout));
        self.idle_limit
            .set(duration(connections.idle_timeout * IDLE_FRACTION));
    }

    /// Registers an endpoint process, so that its expired idle connections are closed.
    pub fn add(&self, endpoint: &Rc<Endpoint>) {
        self.endpoints.borrow_mut().push(endpoint.clone());
    }

    /// Closes connections that have been idle for too long, and removes endpoint processes that are no longer
    /// referenced.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let is_usable =
            |i: &IdleConnection| now - i.since < self.idle_limit.get() && i.connection.is_alive();
        self.endpoints.borrow_mut().retain(|e| {
            e.idle.borrow_mut().retain(is_usable);
            Rc::strong_count(e) > 1
        });
    }

    /// Returns whether there are idle connections.
    pub fn has_idle(&self) -> bool {
        self.endpoints
            .borrow()
            .iter()
            .any(|e| !e.idle.borrow().is_empty())
    }

    /// Closes the connection that has been idle longest, of any endpoint.
    pub fn close_longest_idle(&self) {
        let endpoints = self.endpoints.borrow();
        let oldest = |e: &Rc<Endpoint>| e.idle.borrow().first().map(|i| i.since);
        if let Some(endpoint) = endpoints
            .iter()
            .filter(|e| oldest(e).is_some())
            .min_by_key(|e| oldest(e))
        {
            endpoint.idle.borrow_mut().remove(0);
        }
    }

    /// Returns a pooled or a new connection. A failure before `connect_attempted` is set does not count against the
    /// endpoint.
    async fn connection(
        &self,
        endpoint: &Rc<Endpoint>,
        connect_attempted: &Cell<bool>,
    ) -> io::Result<Connection> {
        loop {
            let Some(idle) = endpoint.take_idle() else {
                break;
            };
            if idle.since.elapsed() < self.idle_limit.get() && idle.connection.is_alive() {
                return Ok(idle.connection);
            }
        }
        timeout(
            self.connect_timeout.get(),
            self.connect(endpoint.address, connect_attempted),
        )
        .await?
    }

    async fn connect(
        &self,
        address: SocketAddr,
        connect_attempted: &Cell<bool>,
    ) -> io::Result<Connection> {
        if self.sockets.available_permits() == 0 {
            self.close_longest_idle();
        }
        let permit = self
            .sockets
            .clone()
            .acquire_owned()
            .await
            .map_err(io::Error::other)?;
        connect_attempted.set(true);
        let stream = TcpStream::connect(address)
            .await
            .inspect_err(|e| connect_attempted.set(!is_resource_shortage(e)))?;
        socket_options::set(&stream);
        let stream = Rc::new(RefCell::new(stream));
        let tracker = Rc::new(WriteTracker {
            counts: self.counts.clone(),
            ..WriteTracker::default()
        });
        let io = TrackedStream {
            stream: stream.clone(),
            tracker: tracker.clone(),
            _permit: permit,
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(CONNECTION_BUFFER_BYTES)
            .handshake(TokioIo::new(io))
            .await
            .map_err(io::Error::other)?;
        let connection_work = async move {
            let _ = connection.await; // errors are reported with the request
        };
        let task = match &self.account {
            None => tokio::task::spawn_local(connection_work),
            Some(account) => {
                tokio::task::spawn_local(account::run_accounted(account.clone(), connection_work))
            }
        };
        Ok(Connection {
            sender,
            tracker,
            stream,
            task,
        })
    }

    /// Makes one attempt and reports its progress; its end is reported last and exactly once, before the connection
    /// is pooled.
    pub async fn attempt(&self, attempt: Attempt, mut report: impl FnMut(AttemptEvent)) {
        let Attempt {
            endpoint,
            control,
            number,
            outbound,
            client,
            deadline,
            start_by,
        } = attempt;
        // Any failure before the request's last byte is written proves that it was not executed.
        let connect_attempted = Cell::new(false);
        let mut connection = {
            let mut connecting = pin!(timeout_at(
                deadline,
                self.connection(&endpoint, &connect_attempted)
            ));
            tokio::select! {
                biased;
                connecting = &mut connecting => match connecting {
                    Ok(Ok(connection)) => connection,
                    Ok(Err(_)) | Err(_) if connect_attempted.get() => {
                        return report(AttemptEvent::Ended(Outcome::ConnectFailed, None));
                    }
                    Ok(Err(_)) | Err(_) => return report(AttemptEvent::Ended(Outcome::NotSent, None)),
                },
                // The slot is released at once. The connection being established is kept for other requests.
                () = control.cancelled() => {
                    report(AttemptEvent::Ended(Outcome::NotSent, None));
                    if let Ok(Ok(connection)) = connecting.await {
                        endpoint.keep_idle(connection);
                    }
                    return;
                }
            }
        };
        let confirm_by = deadline - CONFIRMATION_MARGIN;
        let confirmation = match (outbound.body.upload(), &client) {
            (Some(upload), _) => upload.confirm_client(confirm_by).await,
            (None, Some(client)) => client.confirm(confirm_by).await,
            (None, None) => Ok(()),
        };
        if let Err(absence) = confirmation {
            match absence {
                Absence::Left => report(AttemptEvent::ClientLeft),
                Absence::Unknown if outbound.body.upload().is_some() => {
                    report(AttemptEvent::MemoryExhausted);
                }
                Absence::Unknown => {} // the balancer may try again
            }
            report(AttemptEvent::Ended(Outcome::NotSent, None));
            return endpoint.keep_idle(connection);
        }
        let condition = SendCondition {
            endpoint: endpoint.clone(),
            control: control.clone(),
            start_by,
        };
        if !condition.is_open() {
            report(AttemptEvent::Ended(Outcome::NotSent, None));
            return endpoint.keep_idle(connection);
        }
        let Some(request) = outbound.attempt_request(deadline) else {
            return report(AttemptEvent::Ended(Outcome::NotSent, None));
        };
        let (tracker, upload) = (connection.tracker.clone(), outbound.body.upload().cloned());
        let remaining_body_bytes = if upload.is_some() {
            0
        } else {
            request.body().size_hint().exact().unwrap_or(0) as usize
        };
        tracker.window.replace(request.body().window());
        tracker.start(condition, remaining_body_bytes, upload.clone());
        let deadline = Cell::new(deadline);
        let arrival = ResponseArrival::default();
        let result = {
            let release = control.streaming_requested(number);
            let mut exchange = pin!(exchange(
                &mut connection.sender,
                request,
                &self.body_memory,
                &arrival,
                release
            ));
            loop {
                let incomplete_upload = upload.as_ref().filter(|u| !u.is_complete());
                let end = incomplete_upload.map_or(deadline.get(), |u| u.stalls_at());
                let body_complete = async {
                    match incomplete_upload {
                        Some(upload) => upload.wait_until_complete().await,
                        None => pending().await,
                    }
                };
                tokio::select! {
                    biased;
                    result = &mut exchange => break Some(result),
                    progressing = arrival.changed() => {
                        report(AttemptEvent::ResponseArriving(progressing));
                    }
                    // The request has its answer; its last byte must not reach the endpoint.
                    () = control.cancelled(), if incomplete_upload.is_some() => break None,
                    () = body_complete => {
                        deadline.set(upload.as_ref().map_or_else(Instant::now, |u| u.client_deadline()));
                        report(AttemptEvent::BodyComplete);
                    }
                    // The client's time is over, or that of a response which is thought to be lost.
                    () = sleep_until(end), if !arrival.is_progressing() => {
                        if incomplete_upload.is_none_or(|u| u.stalls_at() <= Instant::now()) {
                            break None;
                        }
                    }
                }
            }
        };
        let reusable = match result {
            Some(Ok(ExchangeResult::Complete(outcome, response, reusable))) => {
                report(AttemptEvent::Ended(outcome, response));
                reusable && tracker.is_complete()
            }
            Some(Ok(ExchangeResult::Large(large))) => {
                let (sender, response_stream) = ResponseStream::new(large.length);
                report(AttemptEvent::ResponseStarted(EndpointResponse {
                    headers: large.headers,
                    body: ResponseContent::Streamed(response_stream),
                }));
                let outcome =
                    stream_response(large.first_part, large.remaining_body, large.length, sender)
                        .await;
                report(AttemptEvent::Ended(outcome, None));
                outcome == Outcome::Served && tracker.is_complete()
            }
            Some(Err(_)) if tracker.blocked.get() && !tracker.started.get() => {
                return report(AttemptEvent::Ended(Outcome::NotSent, None));
            }
            Some(Err(_)) | None if !tracker.is_complete() && is_called_off(&control, &upload) => {
                return report(AttemptEvent::Ended(Outcome::Cancelled, None));
            }
            Some(Err(_)) | None if !tracker.is_complete() => {
                return report(AttemptEvent::Ended(Outcome::ConnectFailed, None));
            }
            Some(Err(_)) => return report(AttemptEvent::Ended(Outcome::Reset, None)),
            // The connection is dropped and never reused.
            None => return report(AttemptEvent::Ended(Outcome::TimedOut, None)),
        };
        tracker.end();
        let ready = reusable
            && matches!(
                timeout(READY_TIMEOUT, connection.sender.ready()).await,
                Ok(Ok(()))
            );
        if ready {
            endpoint.keep_idle(connection);
        }
    }
}

/// Returns whether an attempt ends because its request has an answer, though its endpoint takes the body.
fn is_called_off(control: &AttemptControl, upload: &Option<Rc<Upload>>) -> bool {
    let is_stuck = |upload: &Rc<Upload>| upload.is_endpoint_stuck();
    !control.allows_attempts() && !upload.as_ref().is_some_and(is_stuck)
}

/// Returns whether a connection could not be attempted because this process or machine is short of a resource.
fn is_resource_shortage(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let shortages = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
    ];
    shortages
        .iter()
        .any(|e| error.raw_os_error() == Some(e.raw_os_error()))
}

/// Parameters of one attempt.
pub struct Attempt {
    pub endpoint: Rc<Endpoint>,
    pub control: Rc<AttemptControl>,
    /// The index among the attempts of the request.
    pub number: u32,
    pub outbound: Rc<OutboundRequest>,
    /// The request's client, if there is one.
    pub client: Option<ClientPresence>,
    /// The time at which the attempt is abandoned.
    pub deadline: Instant,
    /// The time before which the attempt must begin.
    pub start_by: Option<Instant>,
}

/// Progress of an attempt.
pub enum AttemptEvent {
    /// There is no memory to receive the request's body; nothing has been sent.
    MemoryExhausted,
    /// The client has left; nothing has been sent.
    ClientLeft,
    /// The last byte of a streamed request body has been sent.
    BodyComplete,
    /// A response is arriving and held back; false if its endpoint has stopped writing it.
    ResponseArriving(bool),
    /// A response too large to be buffered has begun.
    ResponseStarted(EndpointResponse),
    /// The outcome, with the response if it is complete.
    Ended(Outcome, Option<EndpointResponse>),
}

#[cfg(test)]
#[path = "../tests/unit/upstream.rs"]
mod tests;
