//! The API over HTTP, on a thread of its own: nothing that is asked or stored here takes time of the event loop that serves
//! the tenants.

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::Router;
use axum::body::{Body, HttpBody as _, to_bytes};
use axum::extract::{RawPathParams, Request, State};
use axum::http::header::{
    ALLOW, AUTHORIZATION, CACHE_CONTROL, CONTENT_TYPE, ETAG, LOCATION, WWW_AUTHENTICATE,
};
use axum::http::{HeaderMap, HeaderName, Method, Response, StatusCode};
use axum::routing::{MethodFilter, MethodRouter, on};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use multi_tenant::catalog::Catalog;
use multi_tenant::data_plane::{ActivationStatus, DataPlane, TenantStatus};
use multi_tenant::document::Service;
use multi_tenant::plan::PreparedChange;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, broadcast, mpsc, oneshot};
use tokio::time::timeout;

use crate::access::Who;
use crate::answers::ServiceStatus;
use crate::call::{Ask, Call, Outcome, Reply};
use crate::desk::{Desk, no_tenant};
use crate::events::Happened;
use crate::figures;
use crate::operations::{Act, Joint, OPERATIONS, Operation, openapi};
use crate::problem::Problem;
use crate::together::{Passed, Together, no_cluster};

/// Connections at once.
const CONNECTIONS: usize = 256;
/// Streams of events at once.
const STREAMS: usize = 64;
/// Events that a slow reader may lag behind.
const LAG: usize = 256;
/// Bytes of a body: ten thousand servers, or a thousand tenants.
const BODY: usize = 16 << 20;
/// How long a head or a body may take.
const PATIENCE: Duration = Duration::from_secs(10);
/// From one look at how tenants fare to the next, for streams of events.
const LOOK: Duration = Duration::from_secs(2);
/// Events that somebody who comes back gets of what they missed.
const MISSED: usize = 100;
/// Tenants that one event or answer tells of.
const TOLD: usize = 1000;
/// From one snapshot of the last known good state to the next, at least.
const SNAPSHOT: Duration = Duration::from_secs(1);
/// Bytes of snapshots that are written in a second, on the whole: a large state is written whole more rarely, so that the changes of
/// one do not cost what there is.
const SNAPSHOT_RATE: u64 = 256 << 10;

/// How long no snapshot is written after one of so many bytes.
pub fn snapshot_rest(bytes: u64) -> Duration {
    SNAPSHOT.max(Duration::from_millis(
        bytes.saturating_mul(1000) / SNAPSHOT_RATE,
    ))
}

/// Tenants that one status tells of; one tenant's own is told in any case.
const MOST_TOLD: usize = 1024;

/// What the plane is to do.
pub enum Order {
    /// Carry a change out, and tell when it is in effect.
    CarryOut(Box<PreparedChange>, oneshot::Sender<Result<(), String>>),
    /// Nothing new is to be decided; tell when that is so.
    Close(oneshot::Sender<()>),
    /// These servers, by tenant, get nothing new, as a change under way ends them; all others as the version says.
    HoldOff(BTreeMap<String, BTreeSet<String>>),
    /// What is served now is this version of the cluster's.
    OpenAt(u64, oneshot::Sender<()>),
    /// Tell the version that is open, how many tenants there are, and those whose list is not known to be current.
    Known(oneshot::Sender<(Option<u64>, usize, Vec<String>)>),
    /// So many instances share the servers, and this one has this number among them.
    Among(u32, u32),
    /// The start is over: requests are taken.
    Take,
    /// Serve this, whatever was served.
    Serve(Catalog, oneshot::Sender<Result<(), String>>),
    /// Tell how many requests waited at the gate, and how many it refused.
    Gate(oneshot::Sender<[u64; 2]>),
    /// Tell how many tenants are resident, and what has come of it.
    Residency(oneshot::Sender<ActivationStatus>),
    /// Tell how a tenant fares, or all.
    Status(Option<String>, oneshot::Sender<Vec<TenantStatus>>),
}

impl Order {
    /// Does it.
    pub fn obey(self, plane: &DataPlane) {
        match self {
            Order::CarryOut(prepared, done) => {
                let _ = done.send(plane.apply_prepared(*prepared)); // who asked may have left
            }
            Order::Close(done) => {
                plane.close_gate();
                let _ = done.send(());
            }
            Order::HoldOff(servers) => plane.set_pending_drains(&servers),
            Order::OpenAt(version, done) => {
                plane.set_version(version);
                let _ = done.send(());
            }
            Order::Known(tell) => _ = tell.send(plane.startup_state()),
            Order::Among(me, instances) => plane.set_proxy_count(me, instances),
            Order::Take => plane.accept_requests(),
            Order::Serve(catalog, done) => {
                let served = if plane.catalog() == catalog {
                    Ok(())
                } else {
                    plane.apply_catalog(catalog).map(drop)
                };
                let _ = done.send(served);
            }
            Order::Gate(tell) => _ = tell.send(plane.gate_counts()),
            Order::Residency(tell) => _ = tell.send(plane.activation_status()),
            Order::Status(None, tell) => _ = tell.send(plane.status(MOST_TOLD)),
            Order::Status(Some(name), tell) => {
                _ = tell.send(plane.status_of(&name).into_iter().collect())
            }
        }
    }
}

/// The API.
pub struct Api {
    desk: Mutex<Desk>,
    orders: mpsc::UnboundedSender<Order>,
    events: broadcast::Sender<Arc<Happened>>,
    streams: Arc<Semaphore>,
    /// Something may have been stored.
    stored: Notify,
    /// Where it is one of many instances.
    together: Option<Together>,
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl Api {
    /// An API over a desk; the orders go to the plane.
    pub fn new(desk: Desk) -> (Arc<Self>, mpsc::UnboundedReceiver<Order>) {
        Api::among(desk, None)
    }

    /// The same, as one of many instances.
    pub fn among(
        desk: Desk,
        together: Option<Together>,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Order>) {
        let (orders, told) = mpsc::unbounded_channel();
        let api = Api {
            desk: Mutex::new(desk),
            orders,
            events: broadcast::channel(LAG).0,
            streams: Arc::new(Semaphore::new(STREAMS)),
            stored: Notify::new(),
            together,
        };
        (Arc::new(api), told)
    }

    /// The desk. While it is held no order is given.
    pub fn desk(&self) -> MutexGuard<'_, Desk> {
        // A call that failed in the middle has stored all or nothing.
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a listener for as long as the process.
    ///
    /// # Errors
    /// The listener can't be had.
    pub async fn serve(self: Arc<Self>, listener: std::net::TcpListener) -> io::Result<()> {
        let listener = TcpListener::from_std(listener)?;
        let router = router(self.clone());
        tokio::spawn(self.clone().keep_snapshots());
        let room = Arc::new(Semaphore::new(CONNECTIONS));
        loop {
            let Ok(place) = room.clone().acquire_owned().await else {
                return Ok(());
            };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    tracing::warn!(error = %e, "the administration API can't take a connection");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    continue;
                }
            };
            let service = TowerToHyperService::new(router.clone());
            tokio::spawn(async move {
                let mut http = hyper::server::conn::http1::Builder::new();
                http.timer(TokioTimer::new()).header_read_timeout(PATIENCE);
                let _ = http.serve_connection(TokioIo::new(stream), service).await; // a peer that breaks off
                drop(place);
            });
        }
    }

    /// Writes the last known good state aside from time to time, while it changes.
    async fn keep_snapshots(self: Arc<Self>) {
        loop {
            let this = self.clone();
            let written = tokio::task::spawn_blocking(move || this.keep_snapshot()).await;
            let bytes = written.unwrap_or_else(|e| {
                tracing::warn!(error = %e, "the last known good state can't be written");
                0
            });
            tokio::time::sleep(snapshot_rest(bytes)).await;
            self.stored.notified().await;
        }
    }

    /// Writes the last known good state aside, if the one that was written lags behind; returns how many bytes that took.
    pub fn keep_snapshot(&self) -> u64 {
        let lagging = self.desk().snapshot();
        let Some(lagging) = lagging else { return 0 };
        lagging.write().unwrap_or_else(|(e, damaged)| {
            tracing::warn!(error = %e, "the last known good state can't be written");
            let mut desk = self.desk();
            if let Some(Ok(_)) = damaged.map(|name| desk.tenant(&name)) {
                // Read anew, so that the next one can be written.
                desk.lags();
                drop(desk);
                self.stored();
            }
            0
        })
    }

    pub(crate) fn together(&self) -> Option<&Together> {
        self.together.as_ref()
    }

    /// The file of an instance of a cluster was read anew: a state that comes from the others is held against it from here on.
    pub fn reloaded(&self, file: Service) {
        if let Some(together) = &self.together {
            together.reloaded(file);
        }
    }

    pub(crate) fn give(&self, order: Order) {
        let _ = self.orders.send(order); // a plane that has ended is seen by its silence
    }

    /// Something was stored, so that the snapshot lags behind.
    pub(crate) fn stored(&self) {
        self.stored.notify_one();
    }

    pub(crate) fn happened(&self, happened: Happened) {
        let _ = self.events.send(Arc::new(happened)); // nobody may listen
    }

    async fn status(&self, tenant: Option<String>) -> Result<Vec<TenantStatus>, Problem> {
        let (tell, told) = oneshot::channel();
        let _ = self.orders.send(Order::Status(tenant, tell)); // a plane that has ended is seen below
        told.await
            .map_err(|_| Problem::internal("the service is ending"))
    }

    /// Decides a call, and carries out what it changes.
    async fn decide(&self, operation: &Operation, call: &Call) -> Result<Reply, Problem> {
        let decided = {
            let mut desk = self.desk();
            match operation.act_on(&mut desk, call)? {
                // The order is given while the desk is held, so that orders come in the order of versions.
                Outcome::Change(change) => {
                    let (prepared, reply, happened) = *change;
                    let (done, told) = oneshot::channel();
                    let _ = self.orders.send(Order::CarryOut(Box::new(prepared), done));
                    Ok((reply, happened, told))
                }
                Outcome::Reply(reply) => Err(Ok(reply)),
                Outcome::Ask(ask) => Err(Err(ask)),
                Outcome::Agree(_) => return Err(Problem::internal("it was not passed on")),
            }
        };
        match decided {
            Ok((reply, happened, told)) => {
                let stored = "it is stored, and in effect after a restart at the latest";
                told.await
                    .map_err(|_| Problem::internal(format!("the service is ending; {stored}")))?
                    .map_err(|e| Problem::internal(format!("{e}; {stored}")))?;
                self.happened(happened);
                Ok(reply)
            }
            Err(Ok(reply)) => Ok(reply),
            Err(Err(ask)) => self.tell_of(ask).await,
        }
    }

    /// How tenants fare here.
    async fn tell_of(&self, ask: Ask) -> Result<Reply, Problem> {
        match ask {
            Ask::Pool(name) => {
                let status = self
                    .status(Some(name.clone()))
                    .await?
                    .pop()
                    .ok_or_else(|| no_tenant(&name))?;
                Ok(Reply::of(status))
            }
            Ask::Service {
                version,
                read_only,
                own,
            } => {
                let mut tenants = self.status(own).await?;
                tenants.truncate(TOLD);
                Ok(Reply::of(ServiceStatus {
                    version,
                    read_only,
                    tenants,
                }))
            }
        }
    }

    async fn handle(
        self: &Arc<Self>,
        operation: &Operation,
        path: BTreeMap<String, String>,
        request: Request,
    ) -> Result<Response<Body>, Problem> {
        let (head, body) = request.into_parts();
        let header = |name: &HeaderName| one(&head.headers, name);
        if let Act::Document = operation.act {
            return Ok(answer(&Reply::of(openapi())));
        }
        let now_ms = now_ms();
        let authorization = header(&AUTHORIZATION)?;
        let who = self.desk().who(authorization.as_deref(), now_ms);
        // Another instance may know a token that is not known here yet; the one that leads decides.
        let who = match (&self.together, &authorization, operation.act) {
            (Some(_), Some(_), Act::Desk(_) | Act::Together(_)) => who.ok(),
            _ => {
                let who = who?;
                who.may(operation.needs)?;
                Some(who)
            }
        };
        let query = queries(head.uri.query().unwrap_or(""))?;
        let known = |key: &&String| operation.query.contains(&key.as_str());
        if let Some(unknown) = query.keys().find(|key| !known(key)) {
            return Err(Problem::malformed(format!(
                "the query's {unknown} is not known here"
            )));
        }
        if let Act::Figures = operation.act {
            return self.figures().await;
        }
        if let Act::Events = operation.act {
            let who = who.ok_or_else(|| Problem::internal("nobody reads"))?;
            return self.stream(who, header(&HeaderName::from_static("last-event-id"))?);
        }
        let too_large = || Problem::too_large(format!("more than {BODY} bytes, or cut off"));
        if body.size_hint().lower() > BODY as u64 {
            return Err(too_large());
        }
        let body = match timeout(PATIENCE, to_bytes(body, BODY)).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return Err(too_large()),
            Err(_) => return Err(Problem::malformed("the body did not come in time")),
        };
        let json = header(&CONTENT_TYPE)?.is_some_and(|t| {
            t.split(';')
                .next()
                .is_some_and(|t| t.trim() == "application/json")
        });
        let body = match (operation.body, body.is_empty()) {
            (Some((_, false)), true) => Value::Null,
            (Some(_), _) if !json => {
                return Err(Problem::not_json("say Content-Type: application/json"));
            }
            (Some(_), _) => {
                serde_json::from_slice(&body).map_err(|e| Problem::malformed(e.to_string()))?
            }
            (None, true) => Value::Null,
            (None, false) => return Err(Problem::malformed("this takes no body")),
        };
        let passed = Passed {
            operation: operation.id.into(),
            authorization,
            path,
            query,
            if_match: header(&HeaderName::from_static("if-match"))?,
            if_none_match: header(&HeaderName::from_static("if-none-match"))?,
            idempotency_key: header(&HeaderName::from_static("idempotency-key"))?,
            target: format!("{} {}", head.method, head.uri),
            body,
            now_ms,
        };
        match (&self.together, operation.act) {
            (None, Act::Together(_)) => return Err(no_cluster()),
            (Some(_), Act::Together(Joint::Status)) => {
                return self
                    .cluster_status(&passed)
                    .await
                    .map(|reply| answer(&reply));
            }
            (Some(_), Act::Together(Joint::Recovery)) => {
                return self.recovery(&passed).await.map(|reply| answer(&reply));
            }
            (Some(_), Act::Together(Joint::Vouch)) => {
                return self.vouch(&passed).await.map(|reply| answer(&reply));
            }
            (Some(together), _) => {
                let reply = match together.pass(&passed, operation.writes()).await? {
                    Ok(reply) => reply,
                    Err(ask) => self.tell_of(ask).await?,
                };
                return Ok(answer(&reply));
            }
            (None, _) => {}
        }
        let who = who.ok_or_else(|| Problem::internal("nobody calls"))?;
        let Passed {
            path,
            query,
            if_match,
            if_none_match,
            idempotency_key,
            target,
            body,
            ..
        } = passed;
        let call = Call {
            id: None,
            who,
            path,
            query,
            if_match,
            if_none_match,
            idempotency_key,
            target,
            body,
            now_ms,
        };
        let reply = self.decide(operation, &call).await;
        if operation.writes() {
            self.stored.notify_one();
        }
        reply.map(|reply| answer(&reply))
    }

    /// Figures of this instance, whoever leads.
    async fn figures(&self) -> Result<Response<Body>, Problem> {
        let mut tenants = self.status(None).await?;
        tenants.truncate(TOLD);
        let (tell, told) = oneshot::channel();
        self.give(Order::Residency(tell));
        let resident = told
            .await
            .map_err(|_| Problem::internal("the service is ending"))?;
        let text = match &self.together {
            None => figures::text(None, &resident, &tenants),
            Some(together) => {
                let (tell, told) = oneshot::channel();
                self.give(Order::Gate(tell));
                let ending = || Problem::internal("the service is ending");
                let gate = told.await.map_err(|_| ending())?;
                let status = together.status().await.ok_or_else(ending)?;
                figures::text(Some((&status, gate)), &resident, &tenants)
            }
        };
        let response = Response::builder()
            .header(CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8")
            .header(CACHE_CONTROL, "no-store");
        response
            .body(Body::from(text))
            .map_err(|e| Problem::internal(e.to_string()))
    }

    fn stream(self: &Arc<Self>, who: Who, last: Option<String>) -> Result<Response<Body>, Problem> {
        let place = self.streams.clone().try_acquire_owned();
        let place =
            place.map_err(|_| Problem::busy(format!("{STREAMS} streams of events are open")))?;
        let last = last.map(|id| {
            id.trim()
                .parse()
                .map_err(|_| Problem::malformed("Last-Event-ID is no number"))
        });
        // Listens before it looks back, so that nothing falls between; what comes twice is left out.
        let told = self.events.subscribe();
        let missed = match last.transpose()? {
            Some(id) => self.desk().since(&who, id, MISSED)?,
            None => Vec::new(),
        };
        let (lines, body) =
            mpsc::channel::<Result<hyper::body::Frame<axum::body::Bytes>, Infallible>>(16);
        let api = self.clone();
        tokio::spawn(async move {
            // A reader that has left, or an end of the service, ends it.
            let _ = tell(&api, &who, told, missed, &lines).await;
            drop(place);
        });
        let body = Body::new(http_body_util::StreamBody::new(Frames(body)));
        let response = Response::builder()
            .header(CONTENT_TYPE, "text/event-stream")
            .header(CACHE_CONTROL, "no-store");
        response
            .body(body)
            .map_err(|e| Problem::internal(e.to_string()))
    }
}

type Line = Result<hyper::body::Frame<axum::body::Bytes>, Infallible>;

/// What a stream of events sends, as a body takes it.
struct Frames(mpsc::Receiver<Line>);

impl futures_core::Stream for Frames {
    type Item = Line;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Line>> {
        self.0.poll_recv(cx)
    }
}

/// Why a stream of events ends: its reader has left, or may not read on.
struct Left;

async fn send(
    lines: &mpsc::Sender<Line>,
    id: Option<u64>,
    event: &str,
    data: &Value,
) -> Result<(), Left> {
    let id = id.map_or(String::new(), |id| format!("id: {id}\n"));
    let text = format!("{id}event: {event}\ndata: {data}\n\n");
    lines
        .send(Ok(hyper::body::Frame::data(text.into())))
        .await
        .map_err(|_| Left)
}

async fn tell(
    api: &Api,
    who: &Who,
    mut told: broadcast::Receiver<Arc<Happened>>,
    missed: Vec<(u64, Value)>,
    lines: &mpsc::Sender<Line>,
) -> Result<(), Left> {
    let mut last = 0;
    if missed.len() >= MISSED {
        send(lines, None, "gap", &Value::Null).await?;
    }
    for (id, data) in missed {
        send(lines, Some(id), "version", &data).await?;
        last = id;
    }
    let mut look = tokio::time::interval(LOOK);
    let mut before: BTreeMap<String, TenantStatus> = BTreeMap::new();
    loop {
        tokio::select! {
            happened = told.recv() => match happened {
                Ok(happened) => {
                    may_read_on(api, who)?;
                    if let Some((id, data)) = happened.told_to(who).filter(|(id, _)| *id > last) {
                        send(lines, Some(id), "version", &data).await?;
                        last = id;
                    }
                }
                Err(broadcast::error::RecvError::Lagged(_)) => send(lines, None, "gap", &Value::Null).await?,
                Err(broadcast::error::RecvError::Closed) => return Ok(()),
            },
            _ = look.tick() => {
                may_read_on(api, who)?;
                let all = api.status(who.tenant.clone()).await.map_err(|_| Left)?;
                let now: BTreeMap<_, _> = all.into_iter().map(|t| (t.name.clone(), t)).collect();
                let changed = now.iter().filter(|(name, t)| before.get(*name) != Some(t));
                let changed: Vec<&TenantStatus> = changed.map(|(_, t)| t).take(TOLD).collect();
                if changed.is_empty() {
                    // A comment, by which a reader that has left is noticed.
                    lines.send(Ok(hyper::body::Frame::data(":\n\n".into()))).await.map_err(|_| Left)?;
                } else {
                    send(lines, None, "status", &serde_json::json!({ "tenants": changed })).await?;
                }
                before = now;
            }
        }
    }
}

/// A token that is revoked or has ended opens nothing, also not what it opened before.
fn may_read_on(api: &Api, who: &Who) -> Result<(), Left> {
    if api.desk().still_knows(who, now_ms()) {
        Ok(())
    } else {
        Err(Left)
    }
}

/// A header that may stand once.
fn one(headers: &HeaderMap, name: &HeaderName) -> Result<Option<String>, Problem> {
    let mut values = headers.get_all(name).iter();
    let value = values
        .next()
        .map(|v| v.to_str().map(str::to_owned))
        .transpose();
    match (value, values.next()) {
        (Ok(value), None) => Ok(value),
        _ => Err(Problem::malformed(format!(
            "{name} can't be read, or stands twice"
        ))),
    }
}

/// Parameters of a query; each may stand once.
fn queries(query: &str) -> Result<BTreeMap<String, String>, Problem> {
    let mut all = BTreeMap::new();
    for (key, value) in form_urlencoded::parse(query.as_bytes()) {
        if all
            .insert(key.clone().into_owned(), value.into_owned())
            .is_some()
        {
            return Err(Problem::malformed(format!(
                "the query's {key} stands twice"
            )));
        }
    }
    Ok(all)
}

fn answer(reply: &Reply) -> Response<Body> {
    let mut response = Response::builder()
        .status(reply.status)
        .header(CONTENT_TYPE, "application/json")
        // Answers hold tokens now and then.
        .header(CACHE_CONTROL, "no-store");
    if let Some(etag) = &reply.etag {
        response = response.header(ETAG, etag);
    }
    if let Some(location) = &reply.location {
        response = response.header(LOCATION, location);
    }
    response
        .body(Body::from(reply.body.to_string()))
        .unwrap_or_else(|_| failed())
}

fn failed() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

fn turned_down(problem: &Problem, instance: &str) -> Response<Body> {
    let mut response = Response::builder()
        .status(problem.status)
        .header(CONTENT_TYPE, "application/problem+json")
        .header(CACHE_CONTROL, "no-store");
    if problem.status == 401 {
        response = response.header(WWW_AUTHENTICATE, "Bearer");
    }
    response
        .body(Body::from(problem.body(instance).to_string()))
        .unwrap_or_else(|_| failed())
}

/// The routes, as the table of operations has them.
fn router(api: Arc<Api>) -> Router {
    let mut paths: BTreeMap<&str, (MethodRouter<Arc<Api>>, Vec<&str>)> = BTreeMap::new();
    for operation in OPERATIONS {
        let method = Method::from_bytes(operation.method.as_bytes());
        let Some(filter) = method.ok().and_then(|m| MethodFilter::try_from(m).ok()) else {
            continue;
        };
        let handler = async move |State(api): State<Arc<Api>>,
                                  parameters: RawPathParams,
                                  request: Request| {
            let instance = request.uri().path().to_owned();
            let path = parameters
                .iter()
                .map(|(k, v)| (k.to_owned(), v.to_owned()))
                .collect();
            api.handle(operation, path, request)
                .await
                .unwrap_or_else(|p| turned_down(&p, &instance))
        };
        let (methods, names) = paths.remove(operation.path).unwrap_or_default();
        let mut names = names;
        names.push(operation.method);
        paths.insert(operation.path, (methods.merge(on(filter, handler)), names));
    }
    let mut router = Router::new();
    for (path, (methods, names)) in paths {
        let allow = names.join(", ");
        let wrong = async move |request: Request| {
            let problem = Problem::wrong_method(format!("it takes {allow}"));
            let mut response = turned_down(&problem, request.uri().path());
            if let Ok(allow) = allow.parse() {
                response.headers_mut().insert(ALLOW, allow);
            }
            response
        };
        router = router.route(path, methods.fallback(wrong));
    }
    let nowhere = async |request: Request| {
        turned_down(
            &Problem::not_found("there is no such resource"),
            request.uri().path(),
        )
    };
    router.fallback(nowhere).with_state(api)
}
