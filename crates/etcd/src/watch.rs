//! Carries out a follower's commands against etcd.

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

/// What a call of the list may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Follows the servers below these keys until nobody listens any more. `pool` names it in the log.
pub async fn watch_endpoints<C: Connector>(
    connect: C,
    settings: Settings,
    pool: String,
    keys: KeySpace,
    limits: WatchLimits,
    seed: u64,
    to: mpsc::UnboundedSender<DiscoveryUpdate>,
) {
    let start = Instant::now();
    let (events, mut heard) = mpsc::channel(16);
    let mut follower = EndpointWatcher::new(keys.clone(), limits, seed);
    let mut line: Option<Line> = None;
    let mut calls: Option<(Instant, usize)> = None;
    let mut number = 0u64;
    let (mut out, mut told_status) = (Vec::new(), None);
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut event = Event::Timer;
    loop {
        let now = start.elapsed().as_millis() as u64 + 1;
        follower.handle(now, unix_ms(), event, &mut out);
        for command in out.drain(..) {
            match command {
                Command::Connect { member, at: ms } => {
                    line = None;
                    calls = Some((at(ms), member));
                }
                Command::Publish(told) => {
                    if to.send(DiscoveryUpdate::List(told)).is_err() {
                        return;
                    }
                }
                Command::Notice(note) => log(&pool, &note),
                command => {
                    if let Some(line) = &line {
                        let _ = line.commands.send(command); // one that has ended says so itself
                    }
                }
            }
        }
        let status = follower.status(now);
        if told_status
            .as_ref()
            .is_none_or(|s: &Status| (s.phase, s.endpoints) != (status.phase, status.endpoints))
        {
            told_status = Some(status.clone());
            if to.send(DiscoveryUpdate::Status(status)).is_err() {
                return;
            }
        }
        let alarm = follower.next_due().map(at);
        event = loop {
            tokio::select! {
                () = to.closed() => return,
                heard = heard.recv() => match heard {
                    Some((n, event)) if n == number => break event,
                    _ => {} // of a connection that was given up
                },
                () = until(alarm) => break Event::Timer,
                () = until(calls.map(|c| c.0)) => {
                    let Some((_, endpoint)) = calls.take() else { continue };
                    number += 1;
                    let endpoint = settings.endpoints[endpoint % settings.endpoints.len().max(1)].clone();
                    line = Some(Line::open(connect.clone(), endpoint, &settings, &keys, number, events.clone()));
                }
            }
        };
    }
}

async fn until(at: Option<Instant>) {
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

fn log(pool: &str, note: &Notice) {
    match note {
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
                "changes were missed, as etcd has compacted them; the list is read anew"
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
                "a member of etcd lags behind what is known; another one is asked"
            );
        }
        Notice::OtherCluster(cluster) => {
            tracing::error!(
                pool,
                cluster,
                "another etcd cluster answers; nothing of it is taken"
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
                "etcd has gone back, as after a backup; its list is taken"
            );
        }
        Notice::Table(notice) => tracing::warn!(pool, what = notice.to_string(), "servers"),
    }
}

/// A connection with what it is told to do; dropped, it ends.
struct Line {
    commands: mpsc::UnboundedSender<Command>,
    task: JoinHandle<()>,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type Events = mpsc::Sender<(u64, Event)>;

impl Line {
    fn open<C: Connector>(
        connect: C,
        endpoint: String,
        settings: &Settings,
        keys: &KeySpace,
        number: u64,
        events: Events,
    ) -> Self {
        let (commands, told) = mpsc::unbounded_channel();
        let (credentials, page_size, keys) = (
            settings.credentials.clone(),
            settings.page_size,
            keys.clone(),
        );
        let task = tokio::spawn(async move {
            let teller = Teller { number, events };
            let member = timeout(CALL_TIMEOUT, async {
                let channel = connect
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
                    tracing::debug!(endpoint, why, "etcd can't be reached");
                    teller.tell(Event::ConnectionLost).await;
                    return;
                }
            };
            if !teller.tell(Event::Connected).await {
                return;
            }
            let mut session = Session {
                member,
                keys,
                page_size,
                watch: None,
            };
            if let Err(why) = session.run(told, &teller).await {
                tracing::debug!(endpoint, why, "etcd is lost");
                teller.tell(Event::ConnectionLost).await;
            }
        });
        Line { commands, task }
    }
}

/// Tells what one connection sees.
struct Teller {
    number: u64,
    events: Events,
}

impl Teller {
    /// Tells whether anybody still listens.
    async fn tell(&self, event: Event) -> bool {
        self.events.send((self.number, event)).await.is_ok()
    }
}

/// A watch: where requests go, and where answers come from.
struct Watch {
    requests: mpsc::Sender<WatchRequest>,
    answers: Streaming<WatchResponse>,
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
        teller: &Teller,
    ) -> Result<(), String> {
        loop {
            let answer = async {
                match &mut self.watch {
                    Some(watch) => watch.answers.message().await,
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
                        self.open(from).await?;
                        continue;
                    }
                    Some(Command::RequestProgress) => {
                        let ask = RequestUnion::ProgressRequest(WatchProgressRequest {});
                        if let Some(watch) = &self.watch {
                            // A full queue is a peer that does not read; its silence ends it.
                            let _ = watch.requests.try_send(WatchRequest { request_union: Some(ask) });
                        }
                        continue;
                    }
                    Some(_) => continue,
                },
                answer = answer => match answer {
                    Ok(Some(answer)) => read(answer),
                    Ok(None) => return Err("the watch has ended".into()),
                    Err(status) => return Err(status.to_string()),
                },
            };
            if !teller.tell(event).await {
                return Ok(());
            }
        }
    }

    async fn list(&mut self, from: Vec<u8>, revision: i64) -> Result<Event, String> {
        let request = RangeRequest {
            key: from,
            range_end: range_end(self.keys.pool_prefix()),
            limit: self.page_size,
            revision,
            ..RangeRequest::default()
        };
        let mut renewed = false;
        loop {
            let mut client = KvClient::new(self.member.channel.clone())
                .max_decoding_message_size(MAX_MESSAGE_BYTES);
            let call = client.range(self.member.request(request.clone()));
            let answer = timeout(CALL_TIMEOUT, call)
                .await
                .map_err(|_| "no list came".to_owned())?;
            match answer {
                Ok(answer) => {
                    let answer = answer.into_inner();
                    let kvs = answer.kvs.into_iter().map(kv).collect();
                    return Ok(Event::Page {
                        header: header(answer.header),
                        key_values: kvs,
                        more: answer.more,
                    });
                }
                Err(status) if !renewed && self.member.wants_token(&status) => {
                    renewed = true;
                    self.member.renew().await.map_err(|s| s.to_string())?;
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

    async fn open(&mut self, from: i64) -> Result<(), String> {
        self.watch = None;
        let create = WatchCreateRequest {
            key: self.keys.pool_prefix().as_bytes().to_vec(),
            range_end: range_end(self.keys.pool_prefix()),
            start_revision: from,
            progress_notify: true,
            fragment: true,
            ..WatchCreateRequest::default()
        };
        let (requests, queue) = mpsc::channel(4);
        let first = WatchRequest {
            request_union: Some(RequestUnion::CreateRequest(create)),
        };
        requests.send(first).await.map_err(|e| e.to_string())?;
        let mut client = WatchClient::new(self.member.channel.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES);
        let call = client.watch(self.member.request(ReceiverStream::new(queue)));
        let answers = timeout(CALL_TIMEOUT, call)
            .await
            .map_err(|_| "no watch came up".to_owned())?;
        let answers = answers.map_err(|s| s.to_string())?.into_inner();
        self.watch = Some(Watch { requests, answers });
        Ok(())
    }
}

fn header(header: Option<ResponseHeader>) -> Header {
    header.map_or(Header::default(), |h| Header {
        cluster: h.cluster_id,
        revision: h.revision,
    })
}

pub(crate) fn kv(kv: KeyValue) -> endpoint_discovery::KeyValue {
    endpoint_discovery::KeyValue {
        key: kv.key,
        value: kv.value,
        mod_revision: kv.mod_revision,
        create_revision: kv.create_revision,
        lease: kv.lease,
    }
}

/// An answer of the watch as the follower takes it.
fn read(answer: WatchResponse) -> Event {
    let header = header(answer.header);
    if answer.canceled {
        return Event::Cancelled {
            compact_revision: answer.compact_revision,
        };
    }
    if answer.created {
        return Event::WatchEstablished(header);
    }
    if answer.events.is_empty() && !answer.fragment {
        return Event::Progress(header);
    }
    let change = |e: crate::api::Event| {
        let deleted = e.r#type == event::EventType::Delete as i32;
        let it = kv(e.kv?);
        Some(if deleted {
            KeyChange::Delete {
                key: it.key,
                revision: it.mod_revision,
            }
        } else {
            KeyChange::Put(it)
        })
    };
    let changes = answer.events.into_iter().filter_map(change).collect();
    Event::Changes {
        header,
        changes,
        fragment: answer.fragment,
    }
}
