//! Executes the commands of an endpoint watcher against etcd.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use endpoint_discovery::{
    Command, DiscoveryUpdate, EndpointWatcher, Event, Header, KeyChange, KeySpace, Notice, Status,
    WatchLimits, range_end,
};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Streaming};

use crate::api::kv_client::KvClient;
use crate::api::watch_client::WatchClient;
use crate::api::watch_request::RequestUnion;
use crate::api::{
    KeyValue, RangeRequest, ResponseHeader, WatchCreateRequest, WatchProgressRequest, WatchRequest,
    WatchResponse, event,
};
use crate::connect::{Connector, MAX_MESSAGE_BYTES, Member, Settings};

/// Limit of each call, of connecting, and of opening a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Watches the endpoints below these keys until the receiver of `updates` is dropped. `pool` is the name in the log.
pub async fn watch_endpoints<C: Connector>(
    connector: C,
    settings: Settings,
    pool: String,
    keys: KeySpace,
    limits: WatchLimits,
    seed: u64,
    updates: mpsc::UnboundedSender<DiscoveryUpdate>,
) {
    let start = Instant::now();
    let (events, mut event_queue) = mpsc::channel(16);
    let mut watcher = EndpointWatcher::new(keys.clone(), limits, seed);
    let mut connection: Option<Connection> = None;
    let mut pending_connect: Option<(Instant, usize)> = None;
    let mut connection_number = 0u64;
    let (mut commands, mut last_status) = (Vec::new(), None);
    let to_instant = |ms: u64| start + Duration::from_millis(ms);
    let mut event = Event::Timer;
    loop {
        let now = start.elapsed().as_millis() as u64 + 1;
        watcher.handle(now, unix_ms(), event, &mut commands);
        for command in commands.drain(..) {
            match command {
                Command::Connect { member, at: ms } => {
                    connection = None;
                    pending_connect = Some((to_instant(ms), member));
                }
                Command::Publish(change) => {
                    if updates.send(DiscoveryUpdate::List(change)).is_err() {
                        return;
                    }
                }
                Command::Notice(notice) => log(&pool, &notice),
                command => {
                    if let Some(connection) = &connection {
                        // A session reports its end as an event.
                        let _ = connection.commands.send(command);
                    }
                }
            }
        }
        let status = watcher.status(now);
        if last_status
            .as_ref()
            .is_none_or(|s: &Status| (s.phase, s.endpoints) != (status.phase, status.endpoints))
        {
            last_status = Some(status.clone());
            if updates.send(DiscoveryUpdate::Status(status)).is_err() {
                return;
            }
        }
        let timer_deadline = watcher.next_due().map(to_instant);
        event = loop {
            tokio::select! {
                () = updates.closed() => return,
                received = event_queue.recv() => match received {
                    Some((number, event)) if number == connection_number => break event,
                    _ => {} // event of an earlier connection
                },
                () = sleep_until_some(timer_deadline) => break Event::Timer,
                () = sleep_until_some(pending_connect.map(|c| c.0)) => {
                    let Some((_, endpoint)) = pending_connect.take() else { continue };
                    connection_number += 1;
                    let endpoint = settings.endpoints[endpoint % settings.endpoints.len().max(1)].clone();
                    connection = Some(Connection::open(connector.clone(), endpoint, &settings, &keys, connection_number, events.clone()));
                }
            }
        };
    }
}

async fn sleep_until_some(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn log(pool: &str, notice: &Notice) {
    match notice {
        Notice::Phase(phase) => tracing::info!(pool, %phase, "the list's state"),
        Notice::Stale(_) => {
            tracing::warn!(
                pool,
                "the list is stale: etcd says nothing; servers stay as they are"
            );
        }
        Notice::Compacted(revision) => {
            tracing::warn!(
                pool,
                revision,
                "etcd has compacted changes that were not read yet; the list is read again"
            );
        }
        Notice::Lagging {
            member_revision,
            known_revision,
        } => {
            tracing::warn!(
                pool,
                has = member_revision,
                known = known_revision,
                "an etcd member lags behind the known revision; trying another one"
            );
        }
        Notice::OtherCluster(cluster) => {
            tracing::error!(
                pool,
                cluster,
                "another etcd cluster answers; its data is ignored"
            );
        }
        Notice::RolledBack {
            member_revision,
            known_revision,
        } => {
            tracing::error!(
                pool,
                has = member_revision,
                known = known_revision,
                "the etcd revision went back, as after a restored backup; the list is accepted"
            );
        }
        Notice::Table(notice) => tracing::warn!(pool, what = notice.to_string(), "servers"),
    }
}

/// Task that owns one connection to a member; aborted on drop.
struct Connection {
    commands: mpsc::UnboundedSender<Command>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type Events = mpsc::Sender<(u64, Event)>;

impl Connection {
    fn open<C: Connector>(
        connector: C,
        endpoint: String,
        settings: &Settings,
        keys: &KeySpace,
        number: u64,
        events: Events,
    ) -> Self {
        let (commands, command_queue) = mpsc::unbounded_channel();
        let (credentials, page_size, keys) = (
            settings.credentials.clone(),
            settings.page_size,
            keys.clone(),
        );
        let task = tokio::spawn(async move {
            let event_sender = EventSender { number, events };
            let member = timeout(CALL_TIMEOUT, async {
                let channel = connector
                    .connect(&endpoint)
                    .await
                    .map_err(|e| e.to_string())?;
                Member::new(channel, credentials)
                    .await
                    .map_err(|e| e.to_string())
            });
            let member = match member.await {
                Ok(Ok(member)) => member,
                failed => {
                    let why =
                        failed.map_or_else(|e| e.to_string(), |r| r.err().unwrap_or_default());
                    tracing::debug!(endpoint, why, "etcd member is unreachable");
                    event_sender.send(Event::ConnectionLost).await;
                    return;
                }
            };
            if !event_sender.send(Event::Connected).await {
                return;
            }
            let mut session = Session {
                member,
                keys,
                page_size,
                watch: None,
            };
            if let Err(why) = session.run(command_queue, &event_sender).await {
                tracing::debug!(endpoint, why, "connection to etcd member lost");
                event_sender.send(Event::ConnectionLost).await;
            }
        });
        Connection { commands, task }
    }
}

/// Sends the events of one connection, tagged with its number.
struct EventSender {
    number: u64,
    events: Events,
}

impl EventSender {
    /// Returns whether the receiver still exists.
    async fn send(&self, event: Event) -> bool {
        self.events.send((self.number, event)).await.is_ok()
    }
}

/// Request and response streams of a watch.
struct Watch {
    requests: mpsc::Sender<WatchRequest>,
    responses: Streaming<WatchResponse>,
}

struct Session {
    member: Member,
    keys: KeySpace,
    page_size: i64,
    watch: Option<Watch>,
}

impl Session {
    async fn run(
        &mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        event_sender: &EventSender,
    ) -> Result<(), String> {
        loop {
            let response = async {
                match &mut self.watch {
                    Some(watch) => watch.responses.message().await,
                    None => std::future::pending().await,
                }
            };
            let event = tokio::select! {
                command = commands.recv() => match command {
                    None => return Ok(()),
                    Some(Command::List { start_key, revision }) => {
                        self.watch = None;
                        self.list(start_key, revision).await?
                    }
                    Some(Command::Watch(from)) => {
                        self.open_watch(from).await?;
                        continue;
                    }
                    Some(Command::RequestProgress) => {
                        let request = RequestUnion::ProgressRequest(WatchProgressRequest {});
                        if let Some(watch) = &self.watch {
                            // The queue is full only if the member does not read; the watcher's silence timeout then drops it.
                            let _ = watch.requests.try_send(WatchRequest { request_union: Some(request) });
                        }
                        continue;
                    }
                    Some(_) => continue,
                },
                response = response => match response {
                    Ok(Some(response)) => watch_event(response),
                    Ok(None) => return Err("the watch stream has ended".into()),
                    Err(status) => return Err(status.to_string()),
                },
            };
            if !event_sender.send(event).await {
                return Ok(());
            }
        }
    }

    async fn list(&mut self, start_key: Vec<u8>, revision: i64) -> Result<Event, String> {
        let request = RangeRequest {
            key: start_key,
            range_end: range_end(self.keys.pool_prefix()),
            limit: self.page_size,
            revision,
            ..RangeRequest::default()
        };
        let mut token_refreshed = false;
        loop {
            let mut client = KvClient::new(self.member.channel.clone())
                .max_decoding_message_size(MAX_MESSAGE_BYTES);
            let call = client.range(self.member.authorized_request(request.clone()));
            let response = timeout(CALL_TIMEOUT, call)
                .await
                .map_err(|_| "the range request timed out".to_owned())?;
            match response {
                Ok(response) => {
                    let response = response.into_inner();
                    let kvs = response.kvs.into_iter().map(key_value).collect();
                    return Ok(Event::Page {
                        header: header(response.header),
                        key_values: kvs,
                        more: response.more,
                    });
                }
                Err(status) if !token_refreshed && self.member.needs_new_token(&status) => {
                    token_refreshed = true;
                    self.member
                        .refresh_token()
                        .await
                        .map_err(|s| s.to_string())?;
                }
                Err(status)
                    if status.code() == Code::OutOfRange
                        && status.message().contains("compacted") =>
                {
                    return Ok(Event::PageCompacted);
                }
                Err(status) => return Err(status.to_string()),
            }
        }
    }

    async fn open_watch(&mut self, from: i64) -> Result<(), String> {
        self.watch = None;
        let create = WatchCreateRequest {
            key: self.keys.pool_prefix().as_bytes().to_vec(),
            range_end: range_end(self.keys.pool_prefix()),
            start_revision: from,
            progress_notify: true,
            fragment: true,
            ..WatchCreateRequest::default()
        };
        let (requests, request_queue) = mpsc::channel(4);
        let first = WatchRequest {
            request_union: Some(RequestUnion::CreateRequest(create)),
        };
        requests.send(first).await.map_err(|e| e.to_string())?;
        let mut client = WatchClient::new(self.member.channel.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES);
        let call = client.watch(
            self.member
                .authorized_request(ReceiverStream::new(request_queue)),
        );
        let responses = timeout(CALL_TIMEOUT, call)
            .await
            .map_err(|_| "opening the watch timed out".to_owned())?;
        let responses = responses.map_err(|s| s.to_string())?.into_inner();
        self.watch = Some(Watch {
            requests,
            responses,
        });
        Ok(())
    }
}

fn header(header: Option<ResponseHeader>) -> Header {
    header.map_or(Header::default(), |h| Header {
        cluster: h.cluster_id,
        revision: h.revision,
    })
}

pub(crate) fn key_value(kv: KeyValue) -> endpoint_discovery::KeyValue {
    endpoint_discovery::KeyValue {
        key: kv.key,
        value: kv.value,
        mod_revision: kv.mod_revision,
        create_revision: kv.create_revision,
        lease: kv.lease,
    }
}

/// Converts a watch response to an event of the watcher.
fn watch_event(response: WatchResponse) -> Event {
    let header = header(response.header);
    if response.canceled {
        return Event::Cancelled {
            compact_revision: response.compact_revision,
        };
    }
    if response.created {
        return Event::WatchEstablished(header);
    }
    if response.events.is_empty() && !response.fragment {
        return Event::Progress(header);
    }
    let change = |e: crate::api::Event| {
        let deleted = e.r#type == event::EventType::Delete as i32;
        let kv = key_value(e.kv?);
        Some(if deleted {
            KeyChange::Delete {
                key: kv.key,
                revision: kv.mod_revision,
            }
        } else {
            KeyChange::Put(kv)
        })
    };
    let changes = response.events.into_iter().filter_map(change).collect();
    Event::Changes {
        header,
        changes,
        fragment: response.fragment,
    }
}
