//! Clients: reads whole requests, checks them, and gives each exactly one final answer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use balancer::RequestId;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::account::{self, Account};
use crate::connection::{Client, Gated, IDLE, READS};
use crate::figures::InFlightRequest;
use crate::gate::{Gate, stamp};
use crate::guard::Guard;
use crate::inbox::{Answer, Arrival, Inbox, Input, REFUSED};
use crate::lifecycle::{IdleConnection, SharedLifecycle};
use crate::message::{Content, Outgoing, plain, strip, target};
use crate::note;
use crate::pool::{Asked, Pool};
use crate::stream::{self, Inbound, KEPT, Kept, Payload, Room, Share, Upload};
use crate::upstream::{Upstreams, is_quiet};
use crate::vars::RequestEnd;

/// One that has a request may neither read nor write for this span, beyond the longest deadline.
const STUCK: Duration = Duration::from_secs(10);
/// The rest of a body that nobody wants is read for so long, lest its client miss the answer.
const DRAIN: Duration = Duration::from_secs(3);
const HEAD_SIZE: usize = 64 << 10;
const BACKLOG: u32 = 1024;
/// Once no more connections are awaited, the accept queue counts as empty once nothing comes for this span.
const QUIET: Duration = Duration::from_millis(20);
/// A bound on that, should they never cease to come.
const LINGER: Duration = Duration::from_millis(500);
/// Between looks at idle connections while none is kept.
const LOOK: Duration = Duration::from_millis(25);
/// What the last answers may take to go out, after the longest deadline.
const FINISH: Duration = Duration::from_millis(200);
/// A connection asked to close that neither reads nor writes for this span is cut.
const CUT: Duration = Duration::from_secs(1);
/// Span within which a new connection's first request is waited for when sockets run short.
const FIRST: Duration = Duration::from_secs(2);
/// Ms after which there may be memory for another body.
const FULL: f64 = 500.0;
/// Wait after a failed accept, lest it spin.
const PAUSE: Duration = Duration::from_millis(10);

/// There is no pool for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Missing {
    /// The answer says why.
    Plain(StatusCode, &'static str),
    /// There may be one after so many ms; the request is refused.
    Later(f64),
    /// There is one for whoever has had a turn ([`Router::turn`]).
    Turn,
}

/// Finds the pool of a request.
pub trait Router: 'static {
    /// The pool that a request's head names; `turn` says that it has had its turn.
    ///
    /// # Errors
    /// There is none now.
    fn pool(&self, uri: &Uri, headers: &HeaderMap, turn: bool) -> Result<Rc<Pool>, Missing>;

    /// Waits for one turn of those in which pools are made.
    fn turn(&self) -> impl Future<Output = ()> {
        std::future::ready(())
    }

    /// The account of connections that have not named a tenant yet, in a process of many.
    fn strangers(&self) -> Option<Rc<dyn Account>>;

    /// Whether requests can be served.
    fn is_up(&self) -> bool;

    /// The gate that all requests pass, in a process that acts as one with others.
    fn gate(&self) -> Option<&Gate> {
        None
    }

    /// The longest wait that any client is ready for.
    fn longest(&self) -> Duration;

    /// Descriptors have run out: close what can be spared.
    fn make_room(&self);
}

impl Missing {
    fn answer(self) -> Response<Inbound> {
        match self {
            Missing::Plain(status, text) => plain(status, text).map(Inbound::from),
            Missing::Later(wait) => finished(Ok(Answer::Refused(Some(wait)))),
            Missing::Turn => finished(Ok(Answer::Refused(None))), // it has had one: nobody says so
        }
    }
}

/// One pool for all requests, as the platform's proxy has it.
pub struct One {
    pub pool: Rc<Pool>,
    pub upstreams: Rc<Upstreams>,
}

impl Router for One {
    fn pool(&self, _: &Uri, _: &HeaderMap, _: bool) -> Result<Rc<Pool>, Missing> {
        Ok(self.pool.clone())
    }

    fn strangers(&self) -> Option<Rc<dyn Account>> {
        None
    }

    fn is_up(&self) -> bool {
        self.pool.life.is_up()
    }

    fn longest(&self) -> Duration {
        self.pool.longest()
    }

    fn make_room(&self) {
        self.upstreams.close_idle();
    }
}

/// What all connections of one listener share.
pub struct Frontend<R> {
    router: R,
    /// Connections that are served; the few beyond it are only refused.
    most: usize,
    /// The next number of a connection or a request, shared by all listeners of a process.
    next: Rc<Cell<u64>>,
    life: Rc<SharedLifecycle>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    left: Notify,
}

impl<R: Router> Frontend<R> {
    pub fn new(router: R, most: usize, next: Rc<Cell<u64>>, life: Rc<SharedLifecycle>) -> Rc<Self> {
        Rc::new(Frontend {
            router,
            most,
            next,
            life,
            clients: RefCell::default(),
            left: Notify::new(),
        })
    }

    /// Accepts and serves until `stop`, then finishes what has been taken.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let tidier = AbortOnDrop(spawn_local(self.clone().tidy()).abort_handle());
        tokio::pin!(stop);
        loop {
            let accepts = self.life.read(|life, now| life.accepts_connections(now));
            tokio::select! {
                biased;
                () = &mut stop => break,
                () = self.clone().accept(&listener), if accepts => {}
                () = self.life.changed(), if !accepts => {}
            }
        }
        self.life.update(|life, now| life.begin_shutdown(now));
        let came = Instant::now();
        while self.life.read(|life, now| life.accepts_connections(now)) {
            let _ = timeout(QUIET, self.clone().accept(&listener)).await;
        }
        // What waits in a queue that others share is theirs; one's own is emptied.
        if !self.life.read(|life, _| life.is_shared()) {
            let end = Instant::now() + LINGER;
            while Instant::now() < end
                && timeout(QUIET, self.clone().accept(&listener)).await.is_ok()
            {}
        }
        drop(listener);
        let end = came + LINGER + self.router.longest() + FINISH;
        while self.holds() {
            if Instant::now() >= end {
                note!("ended with connections open");
                break;
            }
            let _ = timeout(LOOK, self.left.notified()).await;
        }
        drop(tidier);
    }

    /// Whether some connection has a request, or may be about to have one.
    fn holds(&self) -> bool {
        self.life.read(|life, now| {
            let held = |c: &Rc<Client>| {
                c.busy.get() || c.begun.get().is_some() || !life.should_close(now, self.idle(c))
            };
            self.clients.borrow().values().any(held)
        })
    }

    fn idle(&self, client: &Client) -> IdleConnection {
        IdleConnection {
            since: self.life.clock_time(client.since.get()),
            used: client.used.get(),
        }
    }

    /// Closes connections that are no longer kept, for as long as the listener is served.
    async fn tidy(self: Rc<Self>) {
        loop {
            if self.life.read(|life, _| life.keeps_connections()) {
                self.life.changed().await;
                continue;
            }
            self.life.read(|life, now| {
                for client in self.clients.borrow().values().filter(|c| !c.busy.get()) {
                    if life.should_close(now, self.idle(client)) {
                        client.close.notify_one();
                    }
                }
            });
            sleep(LOOK).await;
        }
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        // Over the budget only a few are let in, to be refused; the rest wait until one has left.
        if self.clients.borrow().len() >= self.most + self.most / 8 {
            self.close_idle(1, FIRST);
            let _ = timeout(PAUSE, self.left.notified()).await;
            return;
        }
        // In a process of many tenants, connections come in turns like all else, and are on the account that they come on.
        let account = self.router.strangers();
        let accepted = match &account {
            None => listener.accept().await,
            Some(account) => {
                account::turn(account).await;
                let accepted = listener.accept().await;
                account.works();
                if accepted.is_ok() && account.connect().is_err() {
                    drop(accepted); // it is closed; nothing has been read from it
                    return account.worked(true);
                }
                account.worked(false);
                accepted
            }
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true); // slower without, no worse
                if self.clients.borrow().len() >= self.most * 7 / 8 {
                    self.close_idle(1, FIRST);
                }
                let id = self.next.replace(self.next.get() + 1);
                let client = Rc::new(Client::new(account));
                self.clients.borrow_mut().insert(id, client.clone());
                spawn_local(async move {
                    if client.account.borrow().is_some() {
                        client.work(self.connection(stream, &client)).await;
                    } else {
                        self.connection(stream, &client).await;
                    }
                    self.clients.borrow_mut().remove(&id);
                    self.left.notify_waiters();
                });
            }
            // Out of descriptors or the like: make room, wait a moment, go on.
            Err(e) => {
                note!("accept: {e}");
                self.router.make_room();
                self.close_idle(1, FIRST);
                sleep(PAUSE).await;
            }
        }
    }

    /// Asks up to `most` connections that stand between requests to close, those idle longest first. One that
    /// has had no request yet is spared for a while: to close it would lose the request on its way.
    fn close_idle(&self, most: usize, spare: Duration) {
        let clients = self.clients.borrow();
        let idle =
            |c: &&Rc<Client>| !c.busy.get() && (c.used.get() || c.since.get().elapsed() >= spare);
        let mut idle: Vec<&Rc<Client>> = clients.values().filter(idle).collect();
        idle.sort_by_key(|c| c.since.get());
        idle.into_iter()
            .take(most)
            .for_each(|c| c.close.notify_one());
    }

    async fn connection(self: &Rc<Self>, stream: TcpStream, client: &Rc<Client>) {
        let over = self.clients.borrow().len() > self.most;
        let stream = Rc::new(RefCell::new(stream));
        let service = service_fn(|request| {
            let (front, client) = (self.clone(), client.clone());
            async move {
                client.busy.set(true);
                let by = client.whole_by(client.begun.take().unwrap_or_else(Instant::now));
                let (pool, closed) = front.find(&request).await;
                let figures = pool
                    .as_ref()
                    .ok()
                    .and_then(|p| p.features.figures.as_ref().map(|f| (f, p)));
                let flight = figures
                    .and_then(|(f, pool)| f.start_request(&request, &pool.terms.borrow().names));
                let mut response = match &pool {
                    _ if request.uri().path() == "/up" && !over => front.up().map(Inbound::from),
                    Ok(pool) if closed.is_some() => {
                        front.refused(pool, closed.unwrap_or_default()).await
                    }
                    Err(_) if closed.is_some() => finished(Ok(Answer::Refused(closed))),
                    Err(missing) => missing.answer(),
                    Ok(pool) if over => turn_away(pool, request).map(Inbound::from),
                    Ok(pool) => {
                        front
                            .respond(pool, request, &client, by, flight.as_ref())
                            .await
                    }
                };
                let closes = over
                    || client.is_overrun()
                    || !front.life.read(|life, _| life.keeps_connections());
                if closes {
                    response
                        .headers_mut()
                        .insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                client.used.set(true);
                client.since.set(Instant::now());
                let code = response.status().as_u16();
                let end = move || flight.into_iter().for_each(|f| f.end(code));
                match response.body_mut() {
                    Inbound::Stream(_, done) => {
                        *done = Some(Box::new(move || {
                            end();
                            client.rest();
                        }));
                    }
                    Inbound::Whole(_) => {
                        end();
                        if !closes {
                            client.rest();
                        }
                    }
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .max_buf_size(HEAD_SIZE)
            .serve_connection(
                TokioIo::new(Gated {
                    stream: stream.clone(),
                    client: client.clone(),
                    guard: Guard::default(),
                }),
                service,
            );
        // What it holds is let go of before the last bytes are read out: a client that left has left at once.
        let answered = {
            tokio::pin!(connection);
            let mut cut: Option<Instant> = None;
            let mut not_before = Instant::now();
            loop {
                let wait = cut.unwrap_or_else(|| client.due()).max(not_before);
                let close = tokio::select! {
                    biased; // what has come in counts before a wish to close
                    // Malformed HTTP has been answered by hyper; a client that left needs nothing.
                    _ = connection.as_mut() => break true,
                    () = client.close.notified() => true,
                    () = sleep_until(wait) => {
                        let (now, moved) = (Instant::now(), client.moved.get());
                        if let Some(at) = cut {
                            // An answer that nobody reads would hold its socket for ever.
                            if !client.busy.get() && moved + CUT <= now {
                                break false;
                            }
                            cut = Some((moved + CUT).max(at + LOOK));
                        }
                        if client.busy.get() && moved + STUCK + self.router.longest() <= now {
                            break false;
                        }
                        let late = cut.is_none() && client.due() <= now;
                        if late && client.begun.get().is_some() {
                            break false; // its head is late
                        }
                        late
                    }
                };
                if !close || cut.is_some() || client.begun.get().is_some() {
                    continue;
                }
                // A request that has come in but has not been read yet would be lost. It is read next, unless its
                // tenant's account holds it back: then the connection is looked at again after a while, and not kept for
                // ever.
                let now = Instant::now();
                if client.is_caught_up() && is_quiet(&stream.borrow()) || client.due() + IDLE <= now
                {
                    connection.as_mut().graceful_shutdown();
                    cut = Some(now + CUT);
                } else {
                    not_before = now + LOOK;
                }
            }
        };
        if answered && self.clients.borrow().len() < self.most * 7 / 8 {
            linger(&stream).await;
        }
    }

    /// Finds a request's pool, once it has passed the gate; tells the span in ms to wait where that is closed.
    async fn find<B>(&self, request: &Request<B>) -> (Result<Rc<Pool>, Missing>, Option<f64>) {
        let mut turn = false;
        loop {
            let closed = match self.router.gate().filter(|_| request.uri().path() != "/up") {
                Some(gate) => gate.pass().await.err(),
                None => None,
            };
            // After the gate and in the same turn, so that the routes are those of the version that it let pass under.
            let pool = self.router.pool(request.uri(), request.headers(), turn);
            if turn || pool.as_ref().err() != Some(&Missing::Turn) {
                return (pool, closed);
            }
            self.router.turn().await;
            turn = true;
        }
    }

    fn up(&self) -> Response<Full<Bytes>> {
        let up = self.router.is_up() && self.life.is_up();
        plain(
            if up {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            },
            "",
        )
    }

    async fn respond(
        &self,
        pool: &Rc<Pool>,
        request: Request<Incoming>,
        client: &Client,
        by: Instant,
        flight: Option<&InFlightRequest>,
    ) -> Response<Inbound> {
        let (head, body) = request.into_parts();
        let asked = match pool.read(&head.method, &head.uri, &head.headers) {
            Ok(asked) => asked,
            Err((status, text)) => return plain(status, text).map(Inbound::from),
        };
        let _stay = match self.admit(pool, client, &head.headers, &body) {
            Ok(stay) => stay,
            Err(wait) => return self.refused(pool, wait).await,
        };
        let (body, _kept) = match receive(body, asked.patience, by, &pool.room).await {
            Ok(body) => body,
            Err((status, text)) => return plain(status, text).map(Inbound::from),
        };
        let upload = body.upload().cloned();
        // What passes through takes memory for as long as it does.
        let place = upload.as_ref().map(|_| pool.room.take());
        if matches!(place, Some(None)) {
            pool.counts.request_accepted(asked.class.0);
            pool.counts
                .request_ended(asked.class.0, RequestEnd::Deferred);
            upload.into_iter().for_each(drain);
            return self.refused(pool, FULL).await;
        }
        // What its pool is found by, where that may have to be done anew.
        let way = self
            .router
            .gate()
            .map(|_| (head.method.clone(), head.uri.clone(), head.headers.clone()));
        let mut headers = head.headers;
        strip(&mut headers);
        let named = pool
            .features
            .drills
            .as_ref()
            .and_then(|_| headers.get("x-request-id").cloned());
        let mut message = Outgoing {
            method: head.method,
            uri: target(&head.uri),
            headers,
            body,
        };
        let mut asked = asked;
        // A request's time counts from its last byte. One that comes late in a process that leaves has its answer before
        // the process is killed.
        let longest = self.router.longest();
        asked.patience = self
            .life
            .read(|life, now| life.request_timeout(now, asked.patience, longest));
        let deadline = Instant::now() + asked.patience;
        let decided = way.as_ref().map(|_| Rc::new(Cell::new(None)));
        let mut pool = pool.clone();
        let class = asked.class;
        let answer = loop {
            let id = RequestId(self.next.replace(self.next.get() + 1));
            let (answer, answered) = oneshot::channel();
            let Asked {
                class,
                tenant,
                key,
                hint,
                patience,
            } = asked;
            pool.inbox.put(Input::Request(Box::new(Arrival {
                id,
                class,
                tenant,
                key,
                hint,
                patience,
                deadline,
                message,
                answer,
                decided: decided.clone(),
            })));
            // Hyper drops this future when the client leaves.
            let mut leaves = Leaves {
                inbox: &pool.inbox,
                id,
                waits: true,
            };
            let answer = answered.await;
            leaves.waits = false;
            drop(leaves);
            match (answer, &way) {
                (Ok(Answer::Again(back)), Some(way)) => {
                    message = *back;
                    match self.ask_anew(&pool, way).await {
                        Ok(anew) => (pool, asked) = anew,
                        Err(response) => {
                            upload.into_iter().for_each(drain);
                            return response;
                        }
                    }
                }
                (answer, _) => break answer,
            }
        };
        upload.into_iter().for_each(drain);
        let mut response = finished(answer);
        if let (Some(decided), Some(gate)) = (decided.and_then(|d| d.get()), self.router.gate())
            && gate.stamps()
        {
            stamp(response.headers_mut(), decided);
        }
        let Some(drills) = &pool.features.drills else {
            return response;
        };
        let Some(hit) = drills.select(class.0, named.as_ref()) else {
            return response;
        };
        if let Some(flight) = flight {
            flight.set_drill(&hit.name);
        }
        drills.apply(&hit, response).await
    }

    /// Finds the pool of a request anew that was not decided yet when a change took hold.
    async fn ask_anew(
        &self,
        before: &Rc<Pool>,
        (method, uri, headers): &(Method, Uri, HeaderMap),
    ) -> Result<(Rc<Pool>, Asked), Response<Inbound>> {
        if let Some(gate) = self.router.gate()
            && let Err(wait) = gate.pass().await
        {
            return Err(self.refused(before, wait).await);
        }
        let error = |(status, text)| plain(status, text).map(Inbound::from);
        let pool = self
            .router
            .pool(uri, headers, true)
            .map_err(Missing::answer)?;
        let asked = pool.read(method, uri, headers).map_err(error)?;
        let same = match (&pool.account, &before.account) {
            (Some(now), Some(then)) => Rc::ptr_eq(now, then),
            _ => true,
        };
        // It stands on another tenant's account by now: that one may have no room.
        if same {
            Ok((pool, asked))
        } else {
            Err(self.refused(&pool, FULL).await)
        }
    }

    /// Puts a request on its tenant's account, in a process of many; the span in ms to wait where there is no room.
    fn admit(
        &self,
        pool: &Rc<Pool>,
        client: &Client,
        headers: &HeaderMap,
        body: &Incoming,
    ) -> Result<Option<Stay>, f64> {
        let Some(account) = &pool.account else {
            return Ok(None);
        };
        client.turning_away.set(true);
        client.belongs_to(account)?;
        let head: usize = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let body = body
            .size_hint()
            .exact()
            .unwrap_or(KEPT as u64)
            .min(KEPT as u64);
        let bytes = head as u64 + body;
        account.begin(bytes)?;
        client.turning_away.set(false);
        Ok(Some(Stay {
            account: account.clone(),
            bytes,
            since: Instant::now(),
        }))
    }

    /// The module's own refusal of a request that there is no room for. Its body is not read, so that hyper closes the
    /// connection where there is one.
    async fn refused(&self, pool: &Rc<Pool>, wait: f64) -> Response<Inbound> {
        let id = RequestId(self.next.replace(self.next.get() + 1));
        let (answer, answered) = oneshot::channel();
        pool.inbox.put(Input::Unadmitted { id, wait, answer });
        finished(answered.await)
    }
}

/// Reads out what a client still sends on a connection whose sending side is shut, until its end or for [`CUT`] at most: a
/// close over unread bytes resets the connection, and an answer that is still on its way goes with it.
async fn linger(stream: &RefCell<TcpStream>) {
    let out = poll_fn(|cx| {
        let mut bytes = [0; 4 << 10];
        for _ in 0..READS {
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *stream.borrow_mut()).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    });
    let _ = timeout(CUT, out).await; // then it is reset, as its client sends without an end
}

/// Reads a body, or as much of it as is kept; the rest passes through. It has to be whole by then, and by as much later
/// as so much of it takes.
async fn receive(
    mut body: Incoming,
    patience: Duration,
    by: Instant,
    room: &Room,
) -> Result<(Payload, Share), (StatusCode, &'static str)> {
    let too_large = (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    let length = body.size_hint().exact();
    if body.is_end_stream() {
        return Ok((Payload::empty(), None));
    }
    if length.is_some_and(|n| n > stream::MOST) {
        return Err(too_large);
    }
    let (mut kept, mut size, mut share) = (Kept::default(), 0, None);
    loop {
        match timeout_at(by + stream::span(size), body.frame()).await {
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                }; // trailers go no further
                size += data.len();
                kept.add(data, length);
                // One that comes slowly would hold a server's slot for as long: it is waited for while there is memory.
                if size > KEPT && !room.keeps(size, &mut share) {
                    let upload = Upload::new(kept.whole(), length, body, patience);
                    return Ok((Payload::Stream(upload), share));
                }
            }
            Ok(None) => return Ok((Payload::Whole(kept.whole()), share)),
            Ok(Some(Err(_))) => return Err((StatusCode::BAD_REQUEST, "the body is malformed")),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body came too late")),
        }
    }
}

/// Reads what is left of a body whose request has its answer: a client that still writes would miss the answer if the
/// connection closed under it.
fn drain(upload: Rc<Upload>) {
    let Some(mut rest) = upload.abandon() else {
        return;
    };
    spawn_local(async move {
        let all = async { while let Some(Ok(_)) = rest.frame().await {} };
        let _ = timeout(DRAIN, all).await;
    });
}

/// Refuses a request on a connection over the budget; the module never sees it.
fn turn_away(pool: &Pool, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, _) = request.into_parts();
    let asked = pool.read(&head.method, &head.uri, &head.headers).ok();
    if let Some(asked) = &asked {
        pool.counts.request_accepted(asked.class.0);
        pool.counts
            .request_ended(asked.class.0, RequestEnd::Deferred);
    }
    if let (Some(capture), Some(asked)) = (&pool.features.capture, asked) {
        let pending = capture.start_record(asked.class, asked.tenant, asked.patience);
        let (method, uri, headers, body) = (head.method, head.uri, head.headers, Payload::empty());
        capture.record_rejected(
            &pending,
            &Outgoing {
                method,
                uri,
                headers,
                body,
            },
            REFUSED,
        );
    }
    plain(StatusCode::SERVICE_UNAVAILABLE, "too many connections")
}

/// Ends a task with the scope that started it.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A request on its tenant's account, until it has its answer or its client has left.
struct Stay {
    account: Rc<dyn Account>,
    bytes: u64,
    since: Instant,
}

impl Drop for Stay {
    fn drop(&mut self) {
        self.account
            .end(self.bytes, self.since.elapsed().as_secs_f64() * 1000.0);
    }
}

/// Tells the driver when the client leaves before its answer.
struct Leaves<'a> {
    inbox: &'a Inbox,
    id: RequestId,
    waits: bool,
}

impl Drop for Leaves<'_> {
    fn drop(&mut self) {
        if self.waits {
            self.inbox.put(Input::Gone(self.id));
        }
    }
}

/// The module's final answer, as the client gets it.
fn finished(answer: Result<Answer, oneshot::error::RecvError>) -> Response<Inbound> {
    match answer {
        Ok(Answer::Served(reply)) => {
            let mut response = Response::new(match reply.body {
                Content::Whole(body) => Inbound::from(body),
                Content::Stream(passing) => Inbound::Stream(passing, None),
            });
            *response.headers_mut() = reply.headers;
            response
        }
        Ok(Answer::Refused(after)) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "try again");
            if let Some(after) = after.and_then(|ms| format!("{:.3}", ms / 1000.0).parse().ok()) {
                response.headers_mut().insert(header::RETRY_AFTER, after);
            }
            response.map(Inbound::from)
        }
        // One that was not decided is asked anew by whoever can.
        Ok(Answer::Failed | Answer::Again(_)) | Err(_) => {
            plain(StatusCode::BAD_GATEWAY, "failed").map(Inbound::from)
        }
    }
}

/// Listens on the one address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?; // a restart finds old connections in TIME_WAIT
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

#[cfg(test)]
#[path = "../tests/unit/frontend.rs"]
mod tests;
