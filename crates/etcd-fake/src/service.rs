//! gRPC services of a member.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use etcd::api::watch_request::RequestUnion;
use etcd::api::{
    AuthenticateRequest, AuthenticateResponse, CompactionRequest, CompactionResponse,
    DeleteRangeRequest, DeleteRangeResponse, Event, LeaseGrantRequest, LeaseGrantResponse,
    LeaseKeepAliveRequest, LeaseKeepAliveResponse, LeaseRevokeRequest, LeaseRevokeResponse,
    PutRequest, PutResponse, RangeRequest, RangeResponse, TxnRequest, TxnResponse,
    WatchCreateRequest, WatchRequest, WatchResponse, auth_server, event, kv_server, lease_server,
    watch_create_request, watch_server,
};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_stream::StreamExt as _;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use crate::Shared;
use crate::store::{Store, StoreResult, in_range};

/// Maximum number of events in one message, if the watch accepts fragments.
const FRAGMENT_EVENTS: usize = 50;
/// Interval of progress notifications, if the watch requests them.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Clone)]
pub struct Member {
    pub(crate) shared: Arc<Shared>,
    pub(crate) number: usize,
}

type Reply<T> = Result<Response<T>, Status>;

impl Member {
    /// Runs an operation on the store if the call has a valid token, or none is required.
    fn execute<T, R>(
        &self,
        request: &Request<R>,
        operation: impl FnOnce(&mut Store, usize) -> StoreResult<T>,
    ) -> Reply<T> {
        let token = request
            .metadata()
            .get("authorization")
            .and_then(|t| t.to_str().ok());
        let mut store = self.shared.store();
        let result = store
            .check_token(token)
            .and_then(|()| operation(&mut store, self.number));
        drop(store);
        self.shared.notify_watches();
        result.map(Response::new).map_err(|s| *s)
    }
}

#[tonic::async_trait]
impl kv_server::Kv for Member {
    async fn range(&self, request: Request<RangeRequest>) -> Reply<RangeResponse> {
        let delay = *self
            .shared
            .list_delay
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        self.execute(&request, |store, member| {
            store.range(member, request.get_ref())
        })
    }

    async fn put(&self, request: Request<PutRequest>) -> Reply<PutResponse> {
        self.execute(&request, |store, member| {
            store.put(member, request.get_ref())
        })
    }

    async fn delete_range(
        &self,
        request: Request<DeleteRangeRequest>,
    ) -> Reply<DeleteRangeResponse> {
        self.execute(&request, |store, member| {
            Ok(store.delete(member, request.get_ref()))
        })
    }

    async fn txn(&self, request: Request<TxnRequest>) -> Reply<TxnResponse> {
        self.execute(&request, |store, member| {
            store.txn(member, request.get_ref())
        })
    }

    async fn compact(&self, request: Request<CompactionRequest>) -> Reply<CompactionResponse> {
        self.execute(&request, |store, member| {
            store.compact(request.get_ref().revision)?;
            Ok(CompactionResponse {
                header: Some(store.header(member)),
            })
        })
    }
}

#[tonic::async_trait]
impl lease_server::Lease for Member {
    async fn lease_grant(&self, request: Request<LeaseGrantRequest>) -> Reply<LeaseGrantResponse> {
        self.execute(&request, |store, member| {
            let ttl = request.get_ref().ttl.max(1);
            let id = store.grant_lease(Duration::from_secs(ttl as u64), request.get_ref().id);
            Ok(LeaseGrantResponse {
                header: Some(store.header(member)),
                id,
                ttl,
                error: String::new(),
            })
        })
    }

    async fn lease_revoke(
        &self,
        request: Request<LeaseRevokeRequest>,
    ) -> Reply<LeaseRevokeResponse> {
        self.execute(&request, |store, member| {
            if store.revoke_lease(request.get_ref().id) {
                return Ok(LeaseRevokeResponse {
                    header: Some(store.header(member)),
                });
            }
            Err(Box::new(Status::not_found(
                "etcdserver: requested lease not found",
            )))
        })
    }

    type LeaseKeepAliveStream = ReceiverStream<Result<LeaseKeepAliveResponse, Status>>;

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Reply<Self::LeaseKeepAliveStream> {
        self.execute(&request, |_, _| Ok(()))?;
        let (responses, stream) = mpsc::channel(4);
        let (mut requests, member) = (request.into_inner(), self.clone());
        tokio::spawn(async move {
            while let Some(Ok(request)) = requests.next().await {
                let response = {
                    let mut store = member.shared.store();
                    let ttl = store
                        .renew_lease(request.id)
                        .map_or(0, |ttl| ttl.as_secs() as i64);
                    LeaseKeepAliveResponse {
                        header: Some(store.header(member.number)),
                        id: request.id,
                        ttl,
                    }
                };
                if responses.send(Ok(response)).await.is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(ReceiverStream::new(stream)))
    }
}

#[tonic::async_trait]
impl auth_server::Auth for Member {
    async fn authenticate(
        &self,
        request: Request<AuthenticateRequest>,
    ) -> Reply<AuthenticateResponse> {
        let credentials = request.get_ref();
        let mut store = self.shared.store();
        let token = store
            .authenticate(&credentials.name, &credentials.password)
            .map_err(|s| *s)?;
        Ok(Response::new(AuthenticateResponse {
            header: Some(store.header(self.number)),
            token,
        }))
    }
}

/// A watch of a stream.
struct Watcher {
    create: WatchCreateRequest,
    /// Revision of the next event to send.
    next_revision: i64,
}

type ResponseSender = mpsc::Sender<Result<WatchResponse, Status>>;

#[tonic::async_trait]
impl watch_server::Watch for Member {
    type WatchStream = ReceiverStream<Result<WatchResponse, Status>>;

    async fn watch(&self, request: Request<Streaming<WatchRequest>>) -> Reply<Self::WatchStream> {
        self.execute(&request, |_, _| Ok(()))?;
        let (responses, stream) = mpsc::channel(16);
        tokio::spawn(serve(self.clone(), request.into_inner(), responses));
        Ok(Response::new(ReceiverStream::new(stream)))
    }
}

/// Serves one stream of watches until the client disconnects or the leader changes.
async fn serve(member: Member, mut requests: Streaming<WatchRequest>, responses: ResponseSender) {
    let mut watchers: BTreeMap<i64, Watcher> = BTreeMap::new();
    let mut changed = member.shared.changed.subscribe();
    let mut leader = member.shared.leader.subscribe();
    leader.mark_unchanged();
    let mut progress = tokio::time::interval(PROGRESS_INTERVAL);
    progress.tick().await; // the first tick completes at once
    loop {
        let sent = tokio::select! {
            request = requests.next() => match request {
                Some(Ok(request)) => handle_request(&member, &mut watchers, request, &responses).await,
                _ => return,
            },
            _ = changed.changed() => send_events(&member, &mut watchers, &responses).await,
            _ = progress.tick() => {
                // Only watches that have sent everything up to the header's revision report progress.
                let header = member.shared.store().header(member.number);
                let idle = watchers.iter().filter(|(_, w)| w.create.progress_notify && w.next_revision > header.revision);
                let ids: Vec<i64> = idle.map(|(id, _)| *id).collect();
                let mut sent = Ok(());
                for watch_id in ids {
                    let response = WatchResponse { header: Some(header), watch_id, ..WatchResponse::default() };
                    sent = sent.and(responses.send(Ok(response)).await.map_err(drop));
                }
                sent
            }
            _ = leader.changed() => {
                let _ = responses.send(Err(Status::unavailable("etcdserver: no leader"))).await;
                return;
            }
            () = responses.closed() => return,
        };
        if sent.is_err() {
            return;
        }
    }
}

/// Handles a request of the stream.
async fn handle_request(
    member: &Member,
    watchers: &mut BTreeMap<i64, Watcher>,
    request: WatchRequest,
    responses: &ResponseSender,
) -> Result<(), ()> {
    let header = Some(member.shared.store().header(member.number));
    match request.request_union {
        Some(RequestUnion::CreateRequest(create)) => {
            let free_id = (0..)
                .find(|id| !watchers.contains_key(id))
                .unwrap_or_default();
            let watch_id = if create.watch_id != 0 {
                create.watch_id
            } else {
                free_id
            };
            let current = member.shared.store().revision();
            let next_revision = if create.start_revision > 0 {
                create.start_revision
            } else {
                current + 1
            };
            watchers.insert(
                watch_id,
                Watcher {
                    create,
                    next_revision,
                },
            );
            let response = WatchResponse {
                header,
                watch_id,
                created: true,
                ..WatchResponse::default()
            };
            responses.send(Ok(response)).await.map_err(drop)?;
            send_events(member, watchers, responses).await
        }
        Some(RequestUnion::CancelRequest(cancel)) => {
            watchers.remove(&cancel.watch_id);
            let response = WatchResponse {
                header,
                watch_id: cancel.watch_id,
                canceled: true,
                ..WatchResponse::default()
            };
            responses.send(Ok(response)).await.map_err(drop)
        }
        Some(RequestUnion::ProgressRequest(_)) => {
            send_events(member, watchers, responses).await?;
            // Watch ID -1 addresses the whole stream; all known events have been sent before.
            let response = WatchResponse {
                header,
                watch_id: -1,
                ..WatchResponse::default()
            };
            responses.send(Ok(response)).await.map_err(drop)
        }
        None => Ok(()),
    }
}

/// Sends each watch the events since its last message.
async fn send_events(
    member: &Member,
    watchers: &mut BTreeMap<i64, Watcher>,
    responses: &ResponseSender,
) -> Result<(), ()> {
    let mut messages = Vec::new();
    {
        let store = member.shared.store();
        let (header, applied) = (store.header(member.number), store.applied(member.number));
        watchers.retain(|id, watcher| {
            if watcher.next_revision < store.compacted_revision() {
                messages.push(WatchResponse {
                    header: Some(header),
                    watch_id: *id,
                    canceled: true,
                    compact_revision: store.compacted_revision(),
                    cancel_reason: "etcdserver: mvcc: required revision has been compacted".into(),
                    ..WatchResponse::default()
                });
                return false;
            }
            let matches = |event: &Event| {
                let filters = &watcher.create.filters;
                let has_filter =
                    |kind: watch_create_request::FilterType| filters.contains(&(kind as i32));
                let deleted = event.r#type == event::EventType::Delete as i32;
                let filtered = if deleted {
                    has_filter(watch_create_request::FilterType::Nodelete)
                } else {
                    has_filter(watch_create_request::FilterType::Noput)
                };
                let key = event.kv.as_ref().map_or(&[][..], |kv| &kv.key);
                !filtered && in_range(key, &watcher.create.key, &watcher.create.range_end)
            };
            let events = store
                .events(watcher.next_revision, applied)
                .filter(|(_, e)| matches(e))
                .map(|(_, e)| {
                    let prev_kv = e.prev_kv.clone().filter(|_| watcher.create.prev_kv);
                    Event {
                        prev_kv,
                        ..e.clone()
                    }
                });
            let events: Vec<Event> = events.collect();
            watcher.next_revision = watcher.next_revision.max(applied + 1);
            let chunk_size = if watcher.create.fragment {
                FRAGMENT_EVENTS
            } else {
                usize::MAX
            };
            let chunk_count = events.len().div_ceil(chunk_size.min(events.len().max(1)));
            for (index, chunk) in events
                .chunks(chunk_size.min(events.len().max(1)))
                .enumerate()
            {
                messages.push(WatchResponse {
                    header: Some(header),
                    watch_id: *id,
                    fragment: index + 1 < chunk_count,
                    events: chunk.to_vec(),
                    ..WatchResponse::default()
                });
            }
            true
        });
    }
    for response in messages {
        responses.send(Ok(response)).await.map_err(drop)?;
    }
    Ok(())
}
