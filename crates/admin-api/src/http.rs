//! The API over HTTP, on a thread of its own, so that its calls and writes to the store take no time from the event
//! loop that serves the tenants.

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

use crate::access::Principal;
use crate::admin_state::{AdminState, tenant_not_found};
use crate::bodies::ServiceStatus;
use crate::call::{Call, Outcome, Reply, StatusQuery};
use crate::cluster_api::{ClusterHandle, ForwardedCall, no_cluster};
use crate::events::VersionEvent;
use crate::figures;
use crate::operations::{ClusterOperation, Handler, OPERATIONS, Operation, openapi};
use crate::problem::Problem;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 256;
/// Maximum number of open event streams.
const MAX_EVENT_STREAMS: usize = 64;
/// Maximum number of events by which a slow event stream may lag behind.
const EVENT_BUFFER: usize = 256;
/// Maximum size of a body: enough for ten thousand servers, or a thousand tenants.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Time limit for receiving a request head or a body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of the tenants' status for event streams.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of missed events that a reconnecting client receives.
const MAX_REPLAYED_EVENTS: usize = 100;
/// Maximum number of tenants in one event or reply.
const MAX_TENANTS_PER_REPLY: usize = 1000;
/// Minimum interval between two snapshots of the last known good state.
const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);
/// Average rate of writing snapshots. A large state is written less often, so that the cost of one change does not
/// grow with the size of the state.
const SNAPSHOT_BYTES_PER_SECOND: u64 = 256 << 10;

/// Returns the interval after a snapshot of this size until the next one.
pub fn snapshot_interval(bytes: u64) -> Duration {
    MIN_SNAPSHOT_INTERVAL.max(Duration::from_millis(
        bytes.saturating_mul(1000) / SNAPSHOT_BYTES_PER_SECOND,
    ))
}

/// Maximum number of tenants in one status report; a status report for one tenant is not limited.
const MAX_TENANT_STATUSES: usize = 1024;

/// A command to the plane.
pub enum PlaneCommand {
    /// Applies a change, and reports when it is in effect.
    ApplyChange(Box<PreparedChange>, oneshot::Sender<Result<(), String>>),
    /// Closes the gate, so that no new request is decided, and reports when it is closed.
    CloseGate(oneshot::Sender<()>),
    /// Withholds new requests from these servers, by tenant, because a change in progress removes them; all other
    /// servers follow the current version.
    WithholdServers(BTreeMap<String, BTreeSet<String>>),
    /// Opens the gate for this version of the cluster's state, which is now being served.
    OpenGate(u64, oneshot::Sender<()>),
    /// Reports the open version, the number of tenants, and the tenants whose list is not known to be current.
    ReportStartup(oneshot::Sender<(Option<u64>, usize, Vec<String>)>),
    /// Sets the index of this instance among the instances that share the servers, and their number.
    SetShare(u32, u32),
    /// Accepts requests: the startup is complete.
    AcceptRequests,
    /// Serves this catalog in place of the current one.
    ServeCatalog(Catalog, oneshot::Sender<Result<(), String>>),
    /// Reports the numbers of requests that waited at the gate and that the gate rejected.
    ReportGate(oneshot::Sender<[u64; 2]>),
    /// Reports the number of active tenants and the counters of activations and deactivations.
    ReportActivationStatus(oneshot::Sender<ActivationStatus>),
    /// Reports the status of one tenant, or of all.
    ReportStatus(Option<String>, oneshot::Sender<Vec<TenantStatus>>),
}

impl PlaneCommand {
    /// Executes the command.
    pub fn execute(self, plane: &DataPlane) {
        match self {
            PlaneCommand::ApplyChange(prepared, done) => {
                let _ = done.send(plane.apply_prepared(*prepared)); // the caller may have disconnected
            }
            PlaneCommand::CloseGate(done) => {
                plane.close_gate();
                let _ = done.send(());
            }
            PlaneCommand::WithholdServers(servers) => plane.set_pending_drains(&servers),
            PlaneCommand::OpenGate(version, done) => {
                plane.set_version(version);
                let _ = done.send(());
            }
            PlaneCommand::ReportStartup(reply) => _ = reply.send(plane.startup_state()),
            PlaneCommand::SetShare(index, instances) => plane.set_proxy_count(index, instances),
            PlaneCommand::AcceptRequests => plane.accept_requests(),
            PlaneCommand::ServeCatalog(catalog, done) => {
                let served = if plane.catalog() == catalog {
                    Ok(())
                } else {
                    plane.apply_catalog(catalog).map(drop)
                };
                let _ = done.send(served);
            }
            PlaneCommand::ReportGate(reply) => _ = reply.send(plane.gate_counts()),
            PlaneCommand::ReportActivationStatus(reply) => {
                _ = reply.send(plane.activation_status())
            }
            PlaneCommand::ReportStatus(None, reply) => {
                _ = reply.send(plane.status(MAX_TENANT_STATUSES))
            }
            PlaneCommand::ReportStatus(Some(name), reply) => {
                _ = reply.send(plane.status_of(&name).into_iter().collect())
            }
        }
    }
}

/// The administration API.
pub struct Api {
    admin_state: Mutex<AdminState>,
    commands: mpsc::UnboundedSender<PlaneCommand>,
    events: broadcast::Sender<Arc<VersionEvent>>,
    streams: Arc<Semaphore>,
    /// Notified when something may have been stored.
    state_changed: Notify,
    /// The cluster member, if there is one.
    cluster: Option<ClusterHandle>,
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl Api {
    /// Creates the API over a state; the receiver gets the commands for the plane.
    pub fn new(admin: AdminState) -> (Arc<Self>, mpsc::UnboundedReceiver<PlaneCommand>) {
        Api::with_cluster(admin, None)
    }

    /// Creates the API of a cluster member.
    pub fn with_cluster(
        admin: AdminState,
        cluster: Option<ClusterHandle>,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<PlaneCommand>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        let api = Api {
            admin_state: Mutex::new(admin),
            commands,
            events: broadcast::channel(EVENT_BUFFER).0,
            streams: Arc::new(Semaphore::new(MAX_EVENT_STREAMS)),
            state_changed: Notify::new(),
            cluster,
        };
        (Arc::new(api), receiver)
    }

    /// Locks the state. No change is sent to the plane while it is locked.
    pub fn admin_state(&self) -> MutexGuard<'_, AdminState> {
        // A call that panicked has stored its whole transaction or nothing.
        self.admin_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a listener until the process ends.
    ///
    /// # Errors
    /// The listener can't be used.
    pub async fn serve(self: Arc<Self>, listener: std::net::TcpListener) -> io::Result<()> {
        let listener = TcpListener::from_std(listener)?;
        let router = router(self.clone());
        tokio::spawn(self.clone().write_snapshots());
        let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = connections.clone().acquire_owned().await else {
                return Ok(());
            };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    tracing::warn!(error = %e, "the administration API can't accept a connection");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    continue;
                }
            };
            let service = TowerToHyperService::new(router.clone());
            tokio::spawn(async move {
                let mut builder = hyper::server::conn::http1::Builder::new();
                builder
                    .timer(TokioTimer::new())
                    .header_read_timeout(READ_TIMEOUT);
                let _ = builder
                    .serve_connection(TokioIo::new(stream), service)
                    .await; // the client may disconnect
                drop(permit);
            });
        }
    }

    /// Writes snapshots of the last known good state at intervals, while it changes.
    async fn write_snapshots(self: Arc<Self>) {
        loop {
            let this = self.clone();
            let written = tokio::task::spawn_blocking(move || this.write_snapshot()).await;
            let bytes = written.unwrap_or_else(|e| {
                tracing::warn!(error = %e, "the snapshot of the last known good state can't be written");
                0
            });
            tokio::time::sleep(snapshot_interval(bytes)).await;
            self.state_changed.notified().await;
        }
    }

    /// Writes a snapshot of the last known good state if it has changed since the last one; returns the size in
    /// bytes.
    pub fn write_snapshot(&self) -> u64 {
        let snapshot = self.admin_state().take_snapshot();
        let Some(snapshot) = snapshot else { return 0 };
        snapshot.write().unwrap_or_else(|(e, damaged)| {
            tracing::warn!(error = %e, "the snapshot of the last known good state can't be written");
            let mut admin = self.admin_state();
            if let Some(Ok(_)) = damaged.map(|name| admin.tenant(&name)) {
                // The document was read again from the store, so the next attempt can succeed.
                admin.mark_snapshot_stale();
                drop(admin);
                self.notify_state_changed();
            }
            0
        })
    }

    pub(crate) fn cluster(&self) -> Option<&ClusterHandle> {
        self.cluster.as_ref()
    }

    /// Records the reloaded file of a cluster member: a state that another member sends has to match it from here on.
    pub fn configuration_reloaded(&self, file: Service) {
        if let Some(cluster) = &self.cluster {
            cluster.set_listeners(file);
        }
    }

    pub(crate) fn send(&self, command: PlaneCommand) {
        let _ = self.commands.send(command); // a plane that has stopped does not answer
    }

    /// Records that something was stored, so that a new snapshot is due.
    pub(crate) fn notify_state_changed(&self) {
        self.state_changed.notify_one();
    }

    pub(crate) fn publish(&self, event: VersionEvent) {
        let _ = self.events.send(Arc::new(event)); // there may be no event stream
    }

    async fn tenant_statuses(&self, tenant: Option<String>) -> Result<Vec<TenantStatus>, Problem> {
        let (sender, receiver) = oneshot::channel();
        let _ = self
            .commands
            .send(PlaneCommand::ReportStatus(tenant, sender)); // a plane that has stopped is noticed below
        receiver
            .await
            .map_err(|_| Problem::internal("the service is ending"))
    }

    /// Decides a call, and applies its change.
    async fn decide(&self, operation: &Operation, call: &Call) -> Result<Reply, Problem> {
        let decided = {
            let mut admin = self.admin_state();
            match operation.run(&mut admin, call)? {
                // The command is sent while the state is locked, so that the plane gets the commands in the order of
                // versions.
                Outcome::Change(change) => {
                    let (prepared, reply, event) = *change;
                    let (done, receiver) = oneshot::channel();
                    let _ = self
                        .commands
                        .send(PlaneCommand::ApplyChange(Box::new(prepared), done));
                    Ok((reply, event, receiver))
                }
                Outcome::Reply(reply) => Err(Ok(reply)),
                Outcome::Status(query) => Err(Err(query)),
                Outcome::Propose(_) => return Err(Problem::internal("it was not passed on")),
            }
        };
        match decided {
            Ok((reply, event, receiver)) => {
                let stored = "it is stored, and in effect after a restart at the latest";
                receiver
                    .await
                    .map_err(|_| Problem::internal(format!("the service is ending; {stored}")))?
                    .map_err(|e| Problem::internal(format!("{e}; {stored}")))?;
                self.publish(event);
                Ok(reply)
            }
            Err(Ok(reply)) => Ok(reply),
            Err(Err(query)) => self.answer_status_query(query).await,
        }
    }

    /// Answers a status query from the plane of this instance.
    async fn answer_status_query(&self, query: StatusQuery) -> Result<Reply, Problem> {
        match query {
            StatusQuery::Pool(name) => {
                let status = self
                    .tenant_statuses(Some(name.clone()))
                    .await?
                    .pop()
                    .ok_or_else(|| tenant_not_found(&name))?;
                Ok(Reply::ok(status))
            }
            StatusQuery::Service {
                version,
                read_only,
                tenant,
            } => {
                let mut tenants = self.tenant_statuses(tenant).await?;
                tenants.truncate(MAX_TENANTS_PER_REPLY);
                Ok(Reply::ok(ServiceStatus {
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
        let header = |name: &HeaderName| single_header(&head.headers, name);
        if let Handler::OpenApi = operation.handler {
            return Ok(json_response(&Reply::ok(openapi())));
        }
        let now_ms = now_ms();
        let authorization = header(&AUTHORIZATION)?;
        let principal = self
            .admin_state()
            .authenticate(authorization.as_deref(), now_ms);
        // Another member may know a token that is not known here yet; the leader decides.
        let principal = match (&self.cluster, &authorization, operation.handler) {
            (Some(_), Some(_), Handler::State(_) | Handler::Cluster(_)) => principal.ok(),
            _ => {
                let principal = principal?;
                principal.authorize(operation.permission)?;
                Some(principal)
            }
        };
        let query = parse_query(head.uri.query().unwrap_or(""))?;
        let known = |key: &&String| operation.query.contains(&key.as_str());
        if let Some(unknown) = query.keys().find(|key| !known(key)) {
            return Err(Problem::malformed(format!(
                "the query's {unknown} is not known here"
            )));
        }
        if let Handler::Metrics = operation.handler {
            return self.metrics().await;
        }
        if let Handler::Events = operation.handler {
            let principal = principal.ok_or_else(|| Problem::internal("nobody reads"))?;
            return self.event_stream(
                principal,
                header(&HeaderName::from_static("last-event-id"))?,
            );
        }
        let too_large =
            || Problem::too_large(format!("more than {MAX_BODY_BYTES} bytes, or cut off"));
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err(too_large());
        }
        let body = match timeout(READ_TIMEOUT, to_bytes(body, MAX_BODY_BYTES)).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return Err(too_large()),
            Err(_) => return Err(Problem::malformed("the body did not come in time")),
        };
        let json = header(&CONTENT_TYPE)?.is_some_and(|content_type| {
            content_type
                .split(';')
                .next()
                .is_some_and(|media_type| media_type.trim() == "application/json")
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
        let forwarded = ForwardedCall {
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
        match (&self.cluster, operation.handler) {
            (None, Handler::Cluster(_)) => return Err(no_cluster()),
            (Some(_), Handler::Cluster(ClusterOperation::Status)) => {
                return self
                    .cluster_status(&forwarded)
                    .await
                    .map(|reply| json_response(&reply));
            }
            (Some(_), Handler::Cluster(ClusterOperation::Recovery)) => {
                return self
                    .recovery(&forwarded)
                    .await
                    .map(|reply| json_response(&reply));
            }
            (Some(_), Handler::Cluster(ClusterOperation::ConfirmDisk)) => {
                return self
                    .confirm_disk(&forwarded)
                    .await
                    .map(|reply| json_response(&reply));
            }
            (Some(cluster), _) => {
                let reply = match cluster.forward(&forwarded, operation.is_write()).await? {
                    Ok(reply) => reply,
                    Err(query) => self.answer_status_query(query).await?,
                };
                return Ok(json_response(&reply));
            }
            (None, _) => {}
        }
        let principal = principal.ok_or_else(|| Problem::internal("nobody calls"))?;
        let ForwardedCall {
            path,
            query,
            if_match,
            if_none_match,
            idempotency_key,
            target,
            body,
            ..
        } = forwarded;
        let call = Call {
            id: None,
            principal,
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
        if operation.is_write() {
            self.state_changed.notify_one();
        }
        reply.map(|reply| json_response(&reply))
    }

    /// Returns the metrics of this instance, whether or not it leads.
    async fn metrics(&self) -> Result<Response<Body>, Problem> {
        let mut tenants = self.tenant_statuses(None).await?;
        tenants.truncate(MAX_TENANTS_PER_REPLY);
        let (sender, receiver) = oneshot::channel();
        self.send(PlaneCommand::ReportActivationStatus(sender));
        let activation = receiver
            .await
            .map_err(|_| Problem::internal("the service is ending"))?;
        let text = match &self.cluster {
            None => figures::render(None, &activation, &tenants),
            Some(cluster) => {
                let (sender, receiver) = oneshot::channel();
                self.send(PlaneCommand::ReportGate(sender));
                let ending = || Problem::internal("the service is ending");
                let gate = receiver.await.map_err(|_| ending())?;
                let status = cluster.status().await.ok_or_else(ending)?;
                figures::render(Some((&status, gate)), &activation, &tenants)
            }
        };
        let response = Response::builder()
            .header(CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8")
            .header(CACHE_CONTROL, "no-store");
        response
            .body(Body::from(text))
            .map_err(|e| Problem::internal(e.to_string()))
    }

    fn event_stream(
        self: &Arc<Self>,
        principal: Principal,
        last_event_id: Option<String>,
    ) -> Result<Response<Body>, Problem> {
        let permit = self.streams.clone().try_acquire_owned();
        let permit = permit.map_err(|_| {
            Problem::busy(format!("{MAX_EVENT_STREAMS} streams of events are open"))
        })?;
        let last = last_event_id.map(|id| {
            id.trim()
                .parse()
                .map_err(|_| Problem::malformed("Last-Event-ID is no number"))
        });
        // Subscribes before reading the missed events, so that none is lost in between; duplicates are skipped.
        let receiver = self.events.subscribe();
        let missed = match last.transpose()? {
            Some(id) => self
                .admin_state()
                .events_since(&principal, id, MAX_REPLAYED_EVENTS)?,
            None => Vec::new(),
        };
        let (frames, body) =
            mpsc::channel::<Result<hyper::body::Frame<axum::body::Bytes>, Infallible>>(16);
        let api = self.clone();
        tokio::spawn(async move {
            // Ends when the client disconnects or the service stops.
            let _ = write_events(&api, &principal, receiver, missed, &frames).await;
            drop(permit);
        });
        let body = Body::new(http_body_util::StreamBody::new(FrameStream(body)));
        let response = Response::builder()
            .header(CONTENT_TYPE, "text/event-stream")
            .header(CACHE_CONTROL, "no-store");
        response
            .body(body)
            .map_err(|e| Problem::internal(e.to_string()))
    }
}

type EventFrame = Result<hyper::body::Frame<axum::body::Bytes>, Infallible>;

/// The frames of an event stream as a body.
struct FrameStream(mpsc::Receiver<EventFrame>);

impl futures_core::Stream for FrameStream {
    type Item = EventFrame;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<EventFrame>> {
        self.0.poll_recv(cx)
    }
}

/// The end of an event stream: the client has disconnected, or its token is no longer valid.
struct StreamEnded;

async fn send_event(
    frames: &mpsc::Sender<EventFrame>,
    id: Option<u64>,
    event: &str,
    data: &Value,
) -> Result<(), StreamEnded> {
    let id = id.map_or(String::new(), |id| format!("id: {id}\n"));
    let text = format!("{id}event: {event}\ndata: {data}\n\n");
    frames
        .send(Ok(hyper::body::Frame::data(text.into())))
        .await
        .map_err(|_| StreamEnded)
}

async fn write_events(
    api: &Api,
    principal: &Principal,
    mut receiver: broadcast::Receiver<Arc<VersionEvent>>,
    missed: Vec<(u64, Value)>,
    frames: &mpsc::Sender<EventFrame>,
) -> Result<(), StreamEnded> {
    let mut last = 0;
    if missed.len() >= MAX_REPLAYED_EVENTS {
        send_event(frames, None, "gap", &Value::Null).await?;
    }
    for (id, data) in missed {
        send_event(frames, Some(id), "version", &data).await?;
        last = id;
    }
    let mut status_interval = tokio::time::interval(STATUS_INTERVAL);
    let mut previous: BTreeMap<String, TenantStatus> = BTreeMap::new();
    loop {
        tokio::select! {
            event = receiver.recv() => match event {
                Ok(event) => {
                    check_token(api, principal)?;
                    if let Some((id, data)) = event.visible_to(principal).filter(|(id, _)| *id > last) {
                        send_event(frames, Some(id), "version", &data).await?;
                        last = id;
                    }
                }
                Err(broadcast::error::RecvError::Lagged(_)) => send_event(frames, None, "gap", &Value::Null).await?,
                Err(broadcast::error::RecvError::Closed) => return Ok(()),
            },
            _ = status_interval.tick() => {
                check_token(api, principal)?;
                let all = api.tenant_statuses(principal.tenant.clone()).await.map_err(|_| StreamEnded)?;
                let now: BTreeMap<_, _> = all.into_iter().map(|t| (t.name.clone(), t)).collect();
                let changed = now.iter().filter(|(name, t)| previous.get(*name) != Some(t));
                let changed: Vec<&TenantStatus> = changed.map(|(_, t)| t).take(MAX_TENANTS_PER_REPLY).collect();
                if changed.is_empty() {
                    // A comment line, by which a client that has disconnected is noticed.
                    frames.send(Ok(hyper::body::Frame::data(":\n\n".into()))).await.map_err(|_| StreamEnded)?;
                } else {
                    send_event(frames, None, "status", &serde_json::json!({ "tenants": changed })).await?;
                }
                previous = now;
            }
        }
    }
}

/// Returns an error that ends the event stream if its token was revoked or has expired.
fn check_token(api: &Api, principal: &Principal) -> Result<(), StreamEnded> {
    if api.admin_state().is_token_valid(principal, now_ms()) {
        Ok(())
    } else {
        Err(StreamEnded)
    }
}

/// Returns the value of a header that may occur only once.
fn single_header(headers: &HeaderMap, name: &HeaderName) -> Result<Option<String>, Problem> {
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

/// Parses the parameters of a query; each may occur only once.
fn parse_query(query: &str) -> Result<BTreeMap<String, String>, Problem> {
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

fn json_response(reply: &Reply) -> Response<Body> {
    let mut response = Response::builder()
        .status(reply.status)
        .header(CONTENT_TYPE, "application/json")
        // Replies may contain tokens.
        .header(CACHE_CONTROL, "no-store");
    if let Some(etag) = &reply.etag {
        response = response.header(ETAG, etag);
    }
    if let Some(location) = &reply.location {
        response = response.header(LOCATION, location);
    }
    response
        .body(Body::from(reply.body.to_string()))
        .unwrap_or_else(|_| internal_error())
}

fn internal_error() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

fn problem_response(problem: &Problem, instance: &str) -> Response<Body> {
    let mut response = Response::builder()
        .status(problem.status)
        .header(CONTENT_TYPE, "application/problem+json")
        .header(CACHE_CONTROL, "no-store");
    if problem.status == 401 {
        response = response.header(WWW_AUTHENTICATE, "Bearer");
    }
    response
        .body(Body::from(problem.body(instance).to_string()))
        .unwrap_or_else(|_| internal_error())
}

/// Builds the routes from the table of operations.
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
                .unwrap_or_else(|p| problem_response(&p, &instance))
        };
        let (methods, names) = paths.remove(operation.path).unwrap_or_default();
        let mut names = names;
        names.push(operation.method);
        paths.insert(operation.path, (methods.merge(on(filter, handler)), names));
    }
    let mut router = Router::new();
    for (path, (methods, names)) in paths {
        let allow = names.join(", ");
        let wrong_method = async move |request: Request| {
            let problem = Problem::wrong_method(format!("it takes {allow}"));
            let mut response = problem_response(&problem, request.uri().path());
            if let Ok(allow) = allow.parse() {
                response.headers_mut().insert(ALLOW, allow);
            }
            response
        };
        router = router.route(path, methods.fallback(wrong_method));
    }
    let not_found = async |request: Request| {
        problem_response(
            &Problem::not_found("there is no such resource"),
            request.uri().path(),
        )
    };
    router.fallback(not_found).with_state(api)
}
