//! A member's services.

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

/// Events of one message, where the watch takes fragments.
const FRAGMENT: usize = 50;
/// From one sign of progress to the next, where the watch wants them.
const PROGRESS: Duration = Duration::from_secs(10);

#[derive(Clone)]
pub struct Member {
    pub(crate) shared: Arc<Shared>,
    pub(crate) number: usize,
}

type Reply<T> = Result<Response<T>, Status>;

impl Member {
    /// Does something with the store, if the call has a token where one is asked for.
    fn act<T, R>(
        &self,
        request: &Request<R>,
        act: impl FnOnce(&mut Store, usize) -> StoreResult<T>,
    ) -> Reply<T> {
        let token = request
            .metadata()
            .get("authorization")
            .and_then(|t| t.to_str().ok());
        let mut store = self.shared.store();
        let done = store
            .check_token(token)
            .and_then(|()| act(&mut store, self.number));
        drop(store);
        self.shared.touched();
        done.map(Response::new).map_err(|s| *s)
    }
}

#[tonic::async_trait]
impl kv_server::Kv for Member {
    async fn range(&self, request: Request<RangeRequest>) -> Reply<RangeResponse> {
        let slow = *self
            .shared
            .slow
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !slow.is_zero() {
            sleep(slow).await;
        }
        self.act(&request, |store, member| {
            store.range(member, request.get_ref())
        })
    }

    async fn put(&self, request: Request<PutRequest>) -> Reply<PutResponse> {
        self.act(&request, |store, member| {
            store.put(member, request.get_ref())
        })
    }

    async fn delete_range(
        &self,
        request: Request<DeleteRangeRequest>,
    ) -> Reply<DeleteRangeResponse> {
        self.act(&request, |store, member| {
            Ok(store.delete(member, request.get_ref()))
        })
    }

    async fn txn(&self, request: Request<TxnRequest>) -> Reply<TxnResponse> {
        self.act(&request, |store, member| {
            store.txn(member, request.get_ref())
        })
    }

    async fn compact(&self, request: Request<CompactionRequest>) -> Reply<CompactionResponse> {
        self.act(&request, |store, member| {
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
        self.act(&request, |store, member| {
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
        self.act(&request, |store, member| {
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
        self.act(&request, |_, _| Ok(()))?;
        let (answers, stream) = mpsc::channel(4);
        let (mut requests, member) = (request.into_inner(), self.clone());
        tokio::spawn(async move {
            while let Some(Ok(request)) = requests.next().await {
                let answer = {
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
                if answers.send(Ok(answer)).await.is_err() {
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
        let asked = request.get_ref();
        let mut store = self.shared.store();
        let token = store
            .authenticate(&asked.name, &asked.password)
            .map_err(|s| *s)?;
        Ok(Response::new(AuthenticateResponse {
            header: Some(store.header(self.number)),
            token,
        }))
    }
}

/// One watch of a stream.
struct Watcher {
    create: WatchCreateRequest,
    next: i64,
}

type Answers = mpsc::Sender<Result<WatchResponse, Status>>;

#[tonic::async_trait]
impl watch_server::Watch for Member {
    type WatchStream = ReceiverStream<Result<WatchResponse, Status>>;

    async fn watch(&self, request: Request<Streaming<WatchRequest>>) -> Reply<Self::WatchStream> {
        self.act(&request, |_, _| Ok(()))?;
        let (answers, stream) = mpsc::channel(16);
        tokio::spawn(serve(self.clone(), request.into_inner(), answers));
        Ok(Response::new(ReceiverStream::new(stream)))
    }
}

/// Serves one stream of watches until its client has left, or another leader ends it.
async fn serve(member: Member, mut requests: Streaming<WatchRequest>, answers: Answers) {
    let mut watchers: BTreeMap<i64, Watcher> = BTreeMap::new();
    let mut changed = member.shared.changed.subscribe();
    let mut leader = member.shared.leader.subscribe();
    leader.mark_unchanged();
    let mut progress = tokio::time::interval(PROGRESS);
    progress.tick().await; // the first one comes at once
    loop {
        let told = tokio::select! {
            request = requests.next() => match request {
                Some(Ok(request)) => take(&member, &mut watchers, request, &answers).await,
                _ => return,
            },
            _ = changed.changed() => news(&member, &mut watchers, &answers).await,
            _ = progress.tick() => {
                // Who lags behind has no progress to tell.
                let header = member.shared.store().header(member.number);
                let idle = watchers.iter().filter(|(_, w)| w.create.progress_notify && w.next > header.revision);
                let ids: Vec<i64> = idle.map(|(id, _)| *id).collect();
                let mut told = Ok(());
                for watch_id in ids {
                    let answer = WatchResponse { header: Some(header), watch_id, ..WatchResponse::default() };
                    told = told.and(answers.send(Ok(answer)).await.map_err(drop));
                }
                told
            }
            _ = leader.changed() => {
                let _ = answers.send(Err(Status::unavailable("etcdserver: no leader"))).await;
                return;
            }
            () = answers.closed() => return,
        };
        if told.is_err() {
            return;
        }
    }
}

/// Takes a request of the stream.
async fn take(
    member: &Member,
    watchers: &mut BTreeMap<i64, Watcher>,
    request: WatchRequest,
    answers: &Answers,
) -> Result<(), ()> {
    let header = Some(member.shared.store().header(member.number));
    match request.request_union {
        Some(RequestUnion::CreateRequest(create)) => {
            let free = (0..)
                .find(|id| !watchers.contains_key(id))
                .unwrap_or_default();
            let watch_id = if create.watch_id != 0 {
                create.watch_id
            } else {
                free
            };
            let now = member.shared.store().revision();
            let next = if create.start_revision > 0 {
                create.start_revision
            } else {
                now + 1
            };
            watchers.insert(watch_id, Watcher { create, next });
            let answer = WatchResponse {
                header,
                watch_id,
                created: true,
                ..WatchResponse::default()
            };
            answers.send(Ok(answer)).await.map_err(drop)?;
            news(member, watchers, answers).await
        }
        Some(RequestUnion::CancelRequest(cancel)) => {
            watchers.remove(&cancel.watch_id);
            let answer = WatchResponse {
                header,
                watch_id: cancel.watch_id,
                canceled: true,
                ..WatchResponse::default()
            };
            answers.send(Ok(answer)).await.map_err(drop)
        }
        Some(RequestUnion::ProgressRequest(_)) => {
            news(member, watchers, answers).await?;
            // For the whole stream, once all that is known has been told.
            let answer = WatchResponse {
                header,
                watch_id: -1,
                ..WatchResponse::default()
            };
            answers.send(Ok(answer)).await.map_err(drop)
        }
        None => Ok(()),
    }
}

/// Tells each watch what has come since.
async fn news(
    member: &Member,
    watchers: &mut BTreeMap<i64, Watcher>,
    answers: &Answers,
) -> Result<(), ()> {
    let mut all = Vec::new();
    {
        let store = member.shared.store();
        let (header, applied) = (store.header(member.number), store.applied(member.number));
        watchers.retain(|id, w| {
            if w.next < store.compacted_revision() {
                all.push(WatchResponse {
                    header: Some(header),
                    watch_id: *id,
                    canceled: true,
                    compact_revision: store.compacted_revision(),
                    cancel_reason: "etcdserver: mvcc: required revision has been compacted".into(),
                    ..WatchResponse::default()
                });
                return false;
            }
            let wanted = |e: &Event| {
                let filters = &w.create.filters;
                let is = |f: watch_create_request::FilterType| filters.contains(&(f as i32));
                let deleted = e.r#type == event::EventType::Delete as i32;
                let filtered = if deleted {
                    is(watch_create_request::FilterType::Nodelete)
                } else {
                    is(watch_create_request::FilterType::Noput)
                };
                let key = e.kv.as_ref().map_or(&[][..], |kv| &kv.key);
                !filtered && in_range(key, &w.create.key, &w.create.range_end)
            };
            let events = store
                .events(w.next, applied)
                .filter(|(_, e)| wanted(e))
                .map(|(_, e)| {
                    let prev_kv = e.prev_kv.clone().filter(|_| w.create.prev_kv);
                    Event {
                        prev_kv,
                        ..e.clone()
                    }
                });
            let events: Vec<Event> = events.collect();
            w.next = w.next.max(applied + 1);
            let size = if w.create.fragment {
                FRAGMENT
            } else {
                usize::MAX
            };
            let parts = events.len().div_ceil(size.min(events.len().max(1)));
            for (i, part) in events.chunks(size.min(events.len().max(1))).enumerate() {
                all.push(WatchResponse {
                    header: Some(header),
                    watch_id: *id,
                    fragment: i + 1 < parts,
                    events: part.to_vec(),
                    ..WatchResponse::default()
                });
            }
            true
        });
    }
    for answer in all {
        answers.send(Ok(answer)).await.map_err(drop)?;
    }
    Ok(())
}
