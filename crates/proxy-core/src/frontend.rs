//! Client side of the proxy: reads and checks requests, and gives each exactly one final answer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::{pending, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use balancer::RequestId;
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
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::account::{self, TenantAccount};
use crate::body_buffer::BufferedBody;
use crate::body_memory::{BodyMemory, MAX_BUFFERED_BYTES};
use crate::client_presence::ClientPresence;
use crate::connection::{
    ClientConnection, ClientSocket, Delivery, IDLE_TIMEOUT, MAX_READS_PER_POLL,
};
use crate::figures::InFlightRequest;
use crate::framing::FramingValidator;
use crate::gate::{Gate, insert_stamp};
use crate::inbox::{Answer, Inbox, IncomingRequest, Input, STATUS_REJECTED};
use crate::lifecycle::{IdleConnection, SharedLifecycle};
use crate::log::note_request;
use crate::message::{
    OutboundRequest, ResponseContent, detached, origin_form, strip_hop_by_hop, text_response,
};
use crate::note;
use crate::pool::{Pool, RequestHead};
use crate::request_body::{self, BodyError};
use crate::request_fields::RequestFields;
use crate::socket_options::{self, UnreadInput, unread_input};
use crate::stream::{RequestContent, ResponseBody};
use crate::upload::{self, MAX_BODY_BYTES, ReceiveChange, Upload};
use crate::upstream::Upstreams;
use crate::vars::{CloseReason, RequestEnd};

/// The time without I/O after which a connection with an active request or an undelivered answer is closed, in addition
/// to the longest deadline.
const STALLED_CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEAD_BYTES: usize = 64 << 10;
const LISTEN_BACKLOG: u32 = 1024;
/// After the proxy stops accepting, the time without a new connection after which the accept queue counts as empty.
const ACCEPT_QUEUE_IDLE: Duration = Duration::from_millis(20);
/// The upper bound on emptying the accept queue, in case connections keep arriving.
const MAX_ACCEPT_DRAIN: Duration = Duration::from_millis(500);
/// The interval of checks for idle connections to close while connections are not kept alive.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The time for sending the last answers, after the longest deadline.
const FINISH_MARGIN: Duration = Duration::from_millis(200);
/// The time without I/O after which a connection that is being shut down is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// When connections are scarce, the time for which a new connection may wait for its first request before it is
/// closed.
const FIRST_REQUEST_WAIT: Duration = Duration::from_secs(2);
/// The retry delay in ms when there is no memory for another body.
const MEMORY_RETRY_AFTER_MS: f64 = 500.0;
/// The pause after a failed accept, which prevents a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The reason why there is no pool for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteError {
    /// The request is answered with this status and text.
    Status(StatusCode, &'static str),
    /// The request is rejected; there may be a pool after this delay in ms.
    RetryAfter(f64),
    /// There will be a pool after [`Router::wait_for_turn`].
    NeedsTurn,
}

/// Selects the pool of a request.
pub trait Router: 'static {
    /// Returns the pool for a request's head; `had_turn` is true if the request has already waited in
    /// [`wait_for_turn`](Self::wait_for_turn).
    ///
    /// # Errors
    /// There is no pool now.
    fn pool(&self, uri: &Uri, headers: &HeaderMap, had_turn: bool) -> Result<Rc<Pool>, RouteError>;

    /// Waits until it is the request's turn to have its pool started.
    fn wait_for_turn(&self) -> impl Future<Output = ()> {
        std::future::ready(())
    }

    /// Returns the account of connections that have not named a tenant yet, in a process of many tenants.
    fn unassigned_account(&self) -> Option<Rc<dyn TenantAccount>>;

    /// Returns whether requests can be served.
    fn is_up(&self) -> bool;

    /// Returns the decision gate, in a process that is a member of a cluster.
    fn gate(&self) -> Option<&Gate> {
        None
    }

    /// Returns the longest time that any client waits.
    fn max_deadline(&self) -> Duration;

    /// Closes idle connections to endpoints, because the process has run out of descriptors.
    fn close_idle_connections(&self);

    /// Counts a client's connection that the proxy closes.
    fn connection_closed(&self, _reason: CloseReason) {}
}

impl RouteError {
    fn into_response(self) -> Response<ResponseBody> {
        match self {
            RouteError::Status(status, text) => text_response(status, text).map(ResponseBody::from),
            RouteError::RetryAfter(delay) => final_response(Ok(Answer::Rejected(Some(delay)))),
            RouteError::NeedsTurn => final_response(Ok(Answer::Rejected(None))), // not reached: the request has had its turn
        }
    }
}

/// A router with one pool for all requests, as in the platform's proxy.
pub struct SinglePool {
    pub pool: Rc<Pool>,
    pub upstreams: Rc<Upstreams>,
}

impl Router for SinglePool {
    fn pool(&self, _: &Uri, _: &HeaderMap, _: bool) -> Result<Rc<Pool>, RouteError> {
        Ok(self.pool.clone())
    }

    fn unassigned_account(&self) -> Option<Rc<dyn TenantAccount>> {
        None
    }

    fn is_up(&self) -> bool {
        self.pool.lifecycle.is_up()
    }

    fn max_deadline(&self) -> Duration {
        self.pool.max_deadline()
    }

    fn close_idle_connections(&self) {
        self.upstreams.close_longest_idle();
    }

    fn connection_closed(&self, reason: CloseReason) {
        self.pool.counts.connection_closed(reason);
    }
}

/// State shared by all connections of one listener.
pub struct Frontend<R> {
    router: R,
    /// The number of connections that are served; requests on further ones are rejected.
    max_connections: usize,
    /// The next number of a connection or a request, shared by all listeners of a process.
    next_id: Rc<Cell<u64>>,
    lifecycle: Rc<SharedLifecycle>,
    memory: Rc<BodyMemory>,
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    connection_closed: Notify,
}

impl<R: Router> Frontend<R> {
    pub fn new(
        router: R,
        max_connections: usize,
        next_id: Rc<Cell<u64>>,
        lifecycle: Rc<SharedLifecycle>,
        memory: Rc<BodyMemory>,
    ) -> Rc<Self> {
        Rc::new(Frontend {
            router,
            max_connections,
            next_id,
            lifecycle,
            memory,
            clients: RefCell::default(),
            connection_closed: Notify::new(),
        })
    }

    /// Accepts and serves connections until `stop`, then finishes the active requests.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let close_task =
            AbortOnDrop(spawn_local(self.clone().close_idle_without_keep_alive()).abort_handle());
        tokio::pin!(stop);
        loop {
            let accepts = self
                .lifecycle
                .read(|lifecycle, now| lifecycle.accepts_connections(now));
            tokio::select! {
                biased;
                () = &mut stop => break,
                () = self.clone().accept(&listener), if accepts => {}
                () = self.lifecycle.changed(), if !accepts => {}
            }
        }
        self.lifecycle
            .update(|lifecycle, now| lifecycle.begin_shutdown(now));
        let drain_started = Instant::now();
        while self
            .lifecycle
            .read(|lifecycle, now| lifecycle.accepts_connections(now))
        {
            let _ = timeout(ACCEPT_QUEUE_IDLE, self.clone().accept(&listener)).await;
        }
        // Connections in a shared accept queue are left to the other processes; the process's own queue is emptied.
        if !self.lifecycle.read(|lifecycle, _| lifecycle.is_shared()) {
            let end = Instant::now() + MAX_ACCEPT_DRAIN;
            while Instant::now() < end
                && timeout(ACCEPT_QUEUE_IDLE, self.clone().accept(&listener))
                    .await
                    .is_ok()
            {}
        }
        drop(listener);
        let end = drain_started + MAX_ACCEPT_DRAIN + self.router.max_deadline() + FINISH_MARGIN;
        while self.has_active_connections() && Instant::now() < end {
            let _ = timeout(IDLE_CHECK_INTERVAL, self.connection_closed.notified()).await;
        }
        let end = end + upload::transfer_time(MAX_BODY_BYTES as usize);
        while self.has_undelivered_answers() && Instant::now() < end {
            let _ = timeout(IDLE_CHECK_INTERVAL, self.connection_closed.notified()).await;
        }
        if self.has_active_connections() {
            note!("shutdown: closing connections that are still active");
        }
        drop(close_task);
    }

    /// Returns whether an answer has begun whose client does not have all of it yet.
    fn has_undelivered_answers(&self) -> bool {
        let clients = self.clients.borrow();
        clients.values().any(|c| c.delivery.get() != Delivery::Done)
    }

    /// Returns whether a connection has a request or may be about to send one.
    fn has_active_connections(&self) -> bool {
        self.lifecycle.read(|lifecycle, now| {
            let is_active = |c: &Rc<ClientConnection>| {
                c.active.get()
                    || c.delivery.get() != Delivery::Done
                    || c.head_started.get().is_some()
                    || !lifecycle.should_close(now, self.idle_state(c))
            };
            self.clients.borrow().values().any(is_active)
        })
    }

    fn idle_state(&self, client: &ClientConnection) -> IdleConnection {
        IdleConnection {
            since: self.lifecycle.clock_time(client.idle_since.get()),
            used: client.answered_before.get(),
        }
    }

    /// Closes idle connections while they are not kept alive, for as long as the listener is served.
    async fn close_idle_without_keep_alive(self: Rc<Self>) {
        loop {
            if self
                .lifecycle
                .read(|lifecycle, _| lifecycle.keeps_connections_alive())
            {
                self.lifecycle.changed().await;
                continue;
            }
            self.lifecycle.read(|lifecycle, now| {
                for client in self.clients.borrow().values().filter(|c| !c.active.get()) {
                    if lifecycle.should_close(now, self.idle_state(client)) {
                        client.close_requested.notify_one();
                    }
                }
            });
            sleep(IDLE_CHECK_INTERVAL).await;
        }
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        // Over the limit, only an eighth more connections are accepted, to be rejected; the rest wait until one has
        // closed.
        if self.clients.borrow().len() >= self.max_connections + self.max_connections / 8 {
            self.close_idle(1, FIRST_REQUEST_WAIT);
            let _ = timeout(ACCEPT_RETRY_DELAY, self.connection_closed.notified()).await;
            return;
        }
        // In a process of many tenants, accepting is scheduled like all other work and charged to the account of the
        // listener.
        let account = self.router.unassigned_account();
        let accepted = match &account {
            None => listener.accept().await,
            Some(account) => {
                account::wait_to_accept(account).await;
                let accepted = listener.accept().await;
                account.begin_work();
                if accepted.is_ok() && account.acquire_client_connection().is_err() {
                    drop(accepted); // closes the connection, from which nothing has been read
                    return account.end_work(true);
                }
                account.end_work(false);
                accepted
            }
        };
        match accepted {
            Ok((stream, _)) => {
                socket_options::set(&stream);
                if self.clients.borrow().len() >= self.max_connections * 7 / 8 {
                    self.close_idle(1, FIRST_REQUEST_WAIT);
                }
                let id = self.next_id.replace(self.next_id.get() + 1);
                let client = Rc::new(ClientConnection::new(account, self.memory.clone()));
                self.clients.borrow_mut().insert(id, client.clone());
                spawn_local(async move {
                    if client.account.borrow().is_some() {
                        client.run_accounted(self.connection(stream, &client)).await;
                    } else {
                        self.connection(stream, &client).await;
                    }
                    self.clients.borrow_mut().remove(&id);
                    self.connection_closed.notify_waiters();
                });
            }
            // The process may be out of descriptors: close idle connections, pause and continue.
            Err(e) => {
                note!("could not accept a connection: {e}");
                self.router.close_idle_connections();
                self.close_idle(1, FIRST_REQUEST_WAIT);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    /// Asks up to `max_count` connections between requests to close, starting with the longest idle. A connection
    /// without a request so far is left open for a while, because closing it would lose a request on its way.
    fn close_idle(&self, max_count: usize, first_request_wait: Duration) {
        let clients = self.clients.borrow();
        let idle = |c: &&Rc<ClientConnection>| {
            !c.active.get()
                && !c.is_receiving_rest()
                && (c.answered_before.get() || c.idle_since.get().elapsed() >= first_request_wait)
        };
        let mut idle: Vec<&Rc<ClientConnection>> = clients.values().filter(idle).collect();
        idle.sort_by_key(|c| c.idle_since.get());
        idle.into_iter()
            .take(max_count)
            .for_each(|c| c.close_requested.notify_one());
    }

    async fn connection(self: &Rc<Self>, stream: TcpStream, client: &Rc<ClientConnection>) {
        let over_limit = self.clients.borrow().len() > self.max_connections;
        let stream = Rc::new(RefCell::new(stream));
        client.socket.replace(Rc::downgrade(&stream));
        let service = service_fn(|request| {
            let (frontend, client) = (self.clone(), client.clone());
            async move {
                client.request_started();
                let receive_deadline = client
                    .receive_deadline(client.head_started.take().unwrap_or_else(Instant::now));
                let (pool, gate_delay) = frontend.find_pool(&request).await;
                let figures = pool
                    .as_ref()
                    .ok()
                    .and_then(|p| p.features.figures.as_ref().map(|f| (f, p)));
                let flight = figures.and_then(|(f, pool)| {
                    f.start_request(&request, &pool.reloadable.borrow().names)
                });
                let mut response = match &pool {
                    _ if request.uri().path() == "/up" && !over_limit => {
                        frontend.up_response().map(ResponseBody::from)
                    }
                    Ok(pool) if gate_delay.is_some() => {
                        frontend.reject(pool, gate_delay.unwrap_or_default()).await
                    }
                    Err(_) if gate_delay.is_some() => {
                        final_response(Ok(Answer::Rejected(gate_delay)))
                    }
                    Err(error) => error.into_response(),
                    Ok(pool) if over_limit => {
                        reject_over_limit(pool, request).map(ResponseBody::from)
                    }
                    Ok(pool) => {
                        // Boxed, so that connections without a request take no memory for it.
                        Box::pin(frontend.respond(
                            pool,
                            request,
                            &client,
                            receive_deadline,
                            flight.as_ref(),
                        ))
                        .await
                    }
                };
                let close_after = over_limit
                    || client.has_overflowed()
                    || client.has_departed()
                    || client.leaves_rest_unread()
                    || !frontend
                        .lifecycle
                        .read(|lifecycle, _| lifecycle.keeps_connections_alive());
                if close_after {
                    response
                        .headers_mut()
                        .insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                client.answered_before.set(true);
                client.idle_since.set(Instant::now());
                let code = response.status().as_u16();
                let end = move || flight.into_iter().for_each(|f| f.end(code));
                match response.body_mut() {
                    ResponseBody::Streamed(stream, on_done) => {
                        stream.set_window(client.write_window.clone());
                        client.delivery.set(Delivery::Streaming);
                        *on_done = Some(Box::new(move || {
                            end();
                            client.delivery.set(Delivery::Flushing);
                            client.request_answered();
                        }));
                    }
                    ResponseBody::Buffered(_) => {
                        end();
                        client.delivery.set(Delivery::Flushing);
                        if !close_after {
                            client.request_answered();
                        }
                    }
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(
                TokioIo::new(ClientSocket {
                    stream: stream.clone(),
                    client: client.clone(),
                    framing: FramingValidator::default(),
                    head_bytes: 0,
                }),
                service,
            );
        // The connection releases its resources before remaining input is drained, so that a disconnect takes effect
        // at once.
        let finished = {
            tokio::pin!(connection);
            let mut close_deadline: Option<Instant> = None;
            let mut next_close_attempt = Instant::now();
            loop {
                let wake_at = close_deadline
                    .unwrap_or_else(|| client.next_check())
                    .max(next_close_attempt);
                let close = tokio::select! {
                    biased; // input that has arrived takes precedence over closing
                    // Hyper has answered malformed HTTP; a client that disconnected needs nothing.
                    _ = connection.as_mut() => break true,
                    () = client.close_requested.notified() => true,
                    () = sleep_until(wake_at) => {
                        let (now, last_io) = (Instant::now(), client.last_io.get());
                        if let Some(at) = close_deadline {
                            if !client.is_occupied() && last_io + CLOSE_TIMEOUT <= now {
                                break false;
                            }
                            close_deadline = Some((last_io + CLOSE_TIMEOUT).max(at + IDLE_CHECK_INTERVAL));
                        }
                        // An answer that the client does not read would keep the socket open for ever.
                        if client.is_occupied() && last_io + STALLED_CLIENT_TIMEOUT + self.router.max_deadline() <= now {
                            self.connection_closes(CloseReason::Stalled);
                            break false;
                        }
                        let timed_out = close_deadline.is_none() && client.next_check() <= now;
                        if timed_out && client.head_started.get().is_some() {
                            self.connection_closes(CloseReason::HeadLate);
                            break false; // the head is late
                        }
                        timed_out
                    }
                };
                if !close || close_deadline.is_some() || client.head_started.get().is_some() {
                    continue;
                }
                // Closing now would lose a request that has arrived but has not been read. It is read next, unless
                // the tenant's account defers reading: then closing is tried again later, and forced after a while.
                let now = Instant::now();
                if client.pipelined_is_empty()
                    && unread_input(&stream.borrow()) == UnreadInput::None
                    || client.next_check() + IDLE_TIMEOUT <= now
                {
                    connection.as_mut().graceful_shutdown();
                    self.connection_closes(CloseReason::Idle);
                    close_deadline = Some(now + CLOSE_TIMEOUT);
                } else {
                    next_close_attempt = now + IDLE_CHECK_INTERVAL;
                }
            }
        };
        if finished && self.clients.borrow().len() < self.max_connections * 7 / 8 {
            drain_socket(&stream).await;
        }
    }

    /// Counts and logs that the proxy closes a connection.
    fn connection_closes(&self, reason: CloseReason) {
        self.router.connection_closed(reason);
        if reason != CloseReason::Idle {
            note_request!("connection closed reason={}", reason.name());
        }
    }

    /// Finds a request's pool after it has passed the gate; also returns the retry delay in ms if the gate is closed.
    async fn find_pool<B>(
        &self,
        request: &Request<B>,
    ) -> (Result<Rc<Pool>, RouteError>, Option<f64>) {
        let mut had_turn = false;
        loop {
            let gate_delay = match self.router.gate().filter(|_| request.uri().path() != "/up") {
                Some(gate) => gate.wait_until_open().await.err(),
                None => None,
            };
            // There is no await between the gate and the routes, so that both are of the same version.
            let pool = self.router.pool(request.uri(), request.headers(), had_turn);
            if had_turn || pool.as_ref().err() != Some(&RouteError::NeedsTurn) {
                return (pool, gate_delay);
            }
            self.router.wait_for_turn().await;
            had_turn = true;
        }
    }

    fn up_response(&self) -> Response<BufferedBody> {
        let up = self.router.is_up() && self.lifecycle.is_up();
        text_response(
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
        client: &ClientConnection,
        receive_deadline: Instant,
        flight: Option<&InFlightRequest>,
    ) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        let mut parsed = match pool.parse_head(&head.method, &head.uri, &head.headers) {
            Ok(parsed) => parsed,
            Err((status, text)) => return text_response(status, text).map(ResponseBody::from),
        };
        let _admitted = match self.admit(pool, client, &head.headers, &body) {
            Ok(admitted) => admitted,
            Err(delay) => return self.reject(pool, delay).await,
        };
        // The input for routing the request again, if that may be needed.
        let routing_input = self
            .router
            .gate()
            .map(|_| (head.method.clone(), head.uri.clone(), head.headers.clone()));
        let mut headers = head.headers;
        strip_hop_by_hop(&mut headers);
        let request_id = pool
            .features
            .drills
            .as_ref()
            .and_then(|_| headers.get("x-request-id").cloned());
        let uri = origin_form(&head.uri);
        let (fields, uri) = match RequestFields::from(headers) {
            fields @ RequestFields::Map(_) => (fields, uri),
            fields @ RequestFields::Bytes { .. } => (fields, detached(&uri)),
        };
        let method = head.method;
        drop(head.uri);
        let presence = ClientPresence::new(client.socket.borrow().clone());
        let received = tokio::select! {
            biased;
            received = request_body::read_body(body, &mut parsed.timeout, receive_deadline, &pool.body_memory, &presence) => received,
            () = self.lifecycle.answer_due(|| self.router.max_deadline(), || false) => {
                Err(BodyError::TooLate)
            }
        };
        let body = match received {
            Ok(body) => body,
            Err(BodyError::NoMemory(body)) => {
                client.read_rest();
                request_body::drain_body(body);
                return self.reject_without_memory(pool, &parsed).await;
            }
            Err(error) => return error.into_response(),
        };
        let upload = body.upload().cloned();
        client.read_rest();
        let mut outbound = OutboundRequest {
            method,
            uri,
            headers: fields,
            body,
        };
        // The timeout counts from the request's last byte. During shutdown a late request is answered before the
        // process is killed.
        let max_deadline = self.router.max_deadline();
        parsed.timeout = self
            .lifecycle
            .read(|lifecycle, now| lifecycle.request_timeout(now, parsed.timeout, max_deadline));
        let deadline = Instant::now() + parsed.timeout;
        let decision = routing_input.as_ref().map(|_| Rc::new(Cell::new(None)));
        let mut pool = pool.clone();
        let class = parsed.class;
        let answer = loop {
            let id = RequestId(self.next_id.replace(self.next_id.get() + 1));
            let (response_sender, receiver) = oneshot::channel();
            let RequestHead {
                class,
                tenant,
                key,
                work_hint,
                timeout,
            } = parsed;
            pool.inbox.send(Input::Request(Box::new(IncomingRequest {
                id,
                class,
                tenant,
                key,
                work_hint,
                timeout,
                deadline,
                outbound,
                client: presence.clone(),
                response_sender,
                decision: decision.clone(),
            })));
            // Hyper drops this future when the client disconnects.
            let mut disconnect_guard = DisconnectGuard {
                inbox: &pool.inbox,
                id,
                armed: true,
            };
            let answer = self.answer(&pool, id, receiver, upload.as_deref()).await;
            disconnect_guard.armed = false;
            drop(disconnect_guard);
            match (answer, &routing_input) {
                (Ok(Answer::Undecided(returned)), Some(routing_input)) => {
                    outbound = *returned;
                    match self.reroute(&pool, routing_input).await {
                        Ok(rerouted) => (pool, parsed) = rerouted,
                        Err(response) => {
                            upload.into_iter().for_each(request_body::drain_upload);
                            return response;
                        }
                    }
                }
                (answer, _) => break answer,
            }
        };
        upload.into_iter().for_each(request_body::drain_upload);
        if answer.is_err() {
            client.record_departure();
        }
        let mut response = final_response(answer);
        if let (Some(decision), Some(gate)) = (decision.and_then(|d| d.get()), self.router.gate())
            && gate.send_stamps()
        {
            insert_stamp(response.headers_mut(), decision);
        }
        let Some(drills) = &pool.features.drills else {
            return response;
        };
        let Some(hit) = drills.select(class.0, request_id.as_ref()) else {
            return response;
        };
        if let Some(flight) = flight {
            flight.set_drill(&hit.name);
        }
        drills.apply(&hit, response).await
    }

    /// Waits for the driver's answer, and asks for one when the process is about to exit. Meanwhile the rest of the
    /// body is received, so that hyper notices when the client disconnects.
    async fn answer(
        &self,
        pool: &Pool,
        id: RequestId,
        mut receiver: oneshot::Receiver<Answer>,
        upload: Option<&Upload>,
    ) -> Result<Answer, oneshot::error::RecvError> {
        let is_complete = || upload.is_none_or(Upload::is_complete);
        let _receiving = upload.map(Upload::receiving);
        loop {
            tokio::select! {
                biased;
                answer = &mut receiver => return answer,
                () = self.lifecycle.answer_due(|| self.router.max_deadline(), is_complete) => {
                    pool.inbox.send(Input::AnswerDue(id));
                    return receiver.await;
                }
                change = receive_rest(upload, &pool.body_memory) => {
                    pool.inbox.send(Input::ReceiveChanged(id, change));
                }
            }
        }
    }

    /// Routes a request again that was not decided before a version change took effect.
    async fn reroute(
        &self,
        previous: &Rc<Pool>,
        (method, uri, headers): &(Method, Uri, HeaderMap),
    ) -> Result<(Rc<Pool>, RequestHead), Response<ResponseBody>> {
        if let Some(gate) = self.router.gate()
            && let Err(delay) = gate.wait_until_open().await
        {
            return Err(self.reject(previous, delay).await);
        }
        let error = |(status, text)| text_response(status, text).map(ResponseBody::from);
        let pool = self
            .router
            .pool(uri, headers, true)
            .map_err(RouteError::into_response)?;
        let parsed = pool.parse_head(method, uri, headers).map_err(error)?;
        let same_account = match (&pool.account, &previous.account) {
            (Some(now), Some(then)) => Rc::ptr_eq(now, then),
            _ => true,
        };
        // The connection is now on another tenant's account, which may have no room.
        if same_account {
            Ok((pool, parsed))
        } else {
            Err(self.reject(&pool, MEMORY_RETRY_AFTER_MS).await)
        }
    }

    /// Charges a request to its tenant's account, in a process of many tenants; returns the retry delay in ms if
    /// there is no room.
    fn admit(
        &self,
        pool: &Rc<Pool>,
        client: &ClientConnection,
        headers: &HeaderMap,
        body: &Incoming,
    ) -> Result<Option<AdmittedRequest>, f64> {
        let Some(account) = &pool.account else {
            return Ok(None);
        };
        client.rejecting.set(true);
        client.assign_account(account)?;
        let head: usize = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let body = body
            .size_hint()
            .exact()
            .unwrap_or(MAX_BUFFERED_BYTES as u64)
            .min(MAX_BUFFERED_BYTES as u64);
        let bytes = head as u64 + body;
        account.begin_request(bytes)?;
        client.rejecting.set(false);
        Ok(Some(AdmittedRequest {
            account: account.clone(),
            bytes,
            started: Instant::now(),
        }))
    }

    /// Rejects a request for whose body there is no memory.
    async fn reject_without_memory(
        &self,
        pool: &Rc<Pool>,
        parsed: &RequestHead,
    ) -> Response<ResponseBody> {
        pool.counts.request_accepted(parsed.class.0);
        pool.counts
            .request_ended(parsed.class.0, RequestEnd::Deferred);
        self.reject(pool, MEMORY_RETRY_AFTER_MS).await
    }

    /// Lets the balancer reject a request for which there is no room. The body is not read, so hyper closes the
    /// connection if there is one.
    async fn reject(&self, pool: &Rc<Pool>, delay: f64) -> Response<ResponseBody> {
        let id = RequestId(self.next_id.replace(self.next_id.get() + 1));
        let (response_sender, receiver) = oneshot::channel();
        pool.inbox.send(Input::NotAdmitted {
            id,
            delay,
            response_sender,
        });
        final_response(receiver.await)
    }
}

/// Receives the rest of an upload until there is a change to report.
async fn receive_rest(upload: Option<&Upload>, memory: &BodyMemory) -> ReceiveChange {
    match upload {
        // Boxed, so that requests without a long body take no memory for it.
        Some(upload) => Box::pin(upload.receive_until_change(memory)).await,
        None => pending().await,
    }
}

/// Reads what a client still sends after the proxy has shut down its sending side, until the end or for at most
/// [`CLOSE_TIMEOUT`]. Closing a socket with unread input resets the connection, which would discard an answer in
/// transit.
async fn drain_socket(stream: &RefCell<TcpStream>) {
    let drained = poll_fn(|cx| {
        let mut bytes = [0; 4 << 10];
        for _ in 0..MAX_READS_PER_POLL {
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
    let _ = timeout(CLOSE_TIMEOUT, drained).await; // after that the connection is reset, because its client keeps sending
}

/// Rejects a request on a connection over the limit, without the balancer.
fn reject_over_limit(pool: &Pool, request: Request<Incoming>) -> Response<BufferedBody> {
    let (head, _) = request.into_parts();
    let parsed = pool.parse_head(&head.method, &head.uri, &head.headers).ok();
    if let Some(parsed) = &parsed {
        pool.counts.request_accepted(parsed.class.0);
        pool.counts
            .request_ended(parsed.class.0, RequestEnd::Deferred);
    }
    if let (Some(capture), Some(parsed)) = (&pool.features.capture, parsed) {
        let pending = capture.start_record(parsed.class, parsed.tenant, parsed.timeout);
        let (method, uri, headers, body) = (
            head.method,
            head.uri,
            head.headers.into(),
            RequestContent::empty(),
        );
        capture.record_rejected(
            &pending,
            &OutboundRequest {
                method,
                uri,
                headers,
                body,
            },
            STATUS_REJECTED,
        );
    }
    text_response(StatusCode::SERVICE_UNAVAILABLE, "too many connections")
}

/// Aborts a task when the scope that started it ends.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A request charged to its tenant's account until it is answered or its client disconnects.
struct AdmittedRequest {
    account: Rc<dyn TenantAccount>,
    bytes: u64,
    started: Instant,
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.account
            .end_request(self.bytes, self.started.elapsed().as_secs_f64() * 1000.0);
    }
}

/// Reports to the driver that the client has disconnected before its answer.
struct DisconnectGuard<'a> {
    inbox: &'a Inbox,
    id: RequestId,
    armed: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.inbox.send(Input::ClientDisconnected(self.id));
        }
    }
}

/// Converts the final answer to the response for the client.
fn final_response(answer: Result<Answer, oneshot::error::RecvError>) -> Response<ResponseBody> {
    match answer {
        Ok(Answer::Served(served)) => {
            let mut response = Response::new(match served.body {
                ResponseContent::Buffered(body) => ResponseBody::from(body),
                ResponseContent::Streamed(stream) => ResponseBody::Streamed(stream, None),
            });
            *response.headers_mut() = served.headers;
            response
        }
        Ok(Answer::Rejected(retry_after)) => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "try again");
            if let Some(retry_after) =
                retry_after.and_then(|ms| format!("{:.3}", ms / 1000.0).parse().ok())
            {
                response
                    .headers_mut()
                    .insert(header::RETRY_AFTER, retry_after);
            }
            response.map(ResponseBody::from)
        }
        // Callers that can route an undecided request again do so before.
        Ok(Answer::Failed | Answer::Undecided(_)) | Err(_) => {
            text_response(StatusCode::BAD_GATEWAY, "failed").map(ResponseBody::from)
        }
    }
}

/// Binds a listener.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?; // after a restart, old connections may be in TIME_WAIT
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

#[cfg(test)]
#[path = "../tests/unit/frontend.rs"]
mod tests;
