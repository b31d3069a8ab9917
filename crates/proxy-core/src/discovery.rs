//! Discovery of the endpoint list: a watch that resumes after its last version, and requests of the complete list.

use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balancer::UpdateScope;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::backoff::Backoff;
use crate::hosts::HostList;
use crate::inbox::{Inbox, Input};
use crate::json_stream::{ObjectSplitter, StreamItem};
use crate::note;

/// Time without data after which a watch is opened again. A watch sends an empty line every 2 s; if neither such a line
/// nor a complete object arrives, its connection hangs or discovery has stopped sending.
///
/// An update must be applied within 6 s of being available at a reachable discovery, whichever calls failed. If lists
/// are pushed, a silent watch is abandoned after 2.5 s. Then follow a first backoff of at most 75 ms and a call, which
/// is answered at once. A call that hangs adds [`CALL_INTERVAL`], one that fails a backoff:
/// 2.5 + 0.075 + 0.35 + 0.15 + 0.3 + 0.375 = 3.75 s after one call that hangs and three that fail. A watch that opens
/// and then sends nothing is abandoned after another 2.5 s: 2.5 + 0.075 + 2.5 + 0.15 = 5.225 s. The last term of the
/// first sum is the longest backoff of [`crate::backoff`].
const WATCH_TIMEOUT: Duration = Duration::from_millis(2500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval and maximum number of concurrent calls if lists are pushed. The discovery agent on the same machine answers
/// at once or not at all, so it is called again at this interval while earlier calls hang, and its return is noticed
/// within the interval. Earlier calls are not cancelled, so that a slow answer is still used.
const CALL_INTERVAL: Duration = Duration::from_millis(350);
const MAX_CALLS: usize = 4;
/// Timeout of a call if lists are requested. The service queues the calls of all proxies, and repeating a call would put
/// it back at the end of that queue, so a call waits until the service itself ends it.
const QUEUED_CALL_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_LIST_BYTES: usize = 4 << 20;

/// Address of discovery, which a reload of the configuration may change.
pub struct DiscoveryAddress {
    address: Cell<SocketAddr>,
    changed: Notify,
}

impl DiscoveryAddress {
    pub fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(DiscoveryAddress {
            address: Cell::new(address),
            changed: Notify::new(),
        })
    }

    pub fn get(&self) -> SocketAddr {
        self.address.get()
    }

    pub fn set(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.changed.notify_one();
        }
    }
}

/// Discovery client: the watch and the version of the list.
pub struct Discovery {
    discovery_address: Rc<DiscoveryAddress>,
    inbox: Inbox,
    /// Version of the list last passed to the driver.
    seq: Option<u64>,
    /// True until a list arrives from the present address, whose versions may start again.
    new_address: bool,
    /// True if an agent on the same machine pushes the list, false if all proxies request it from one service.
    pushed: bool,
    /// True if the last watch has received data.
    received_data: bool,
    backoff: Backoff,
}

impl Discovery {
    /// Creates a client. `seed` spreads the repeated calls of proxies whose calls fail at the same time.
    pub fn new(discovery_address: Rc<DiscoveryAddress>, inbox: Inbox, seed: u64) -> Self {
        let backoff = Backoff::new(seed);
        Discovery {
            discovery_address,
            inbox,
            seq: None,
            new_address: true,
            pushed: true,
            received_data: false,
            backoff,
        }
    }

    /// Keeps a watch open until the process ends, resuming after the last version.
    pub async fn watch_continuously(mut self) -> Infallible {
        let discovery_address = self.discovery_address.clone();
        loop {
            let error = self.watch_current_address().await;
            if std::mem::take(&mut self.received_data) {
                self.backoff.reset();
            }
            let wait = self.backoff.next_delay();
            note!("discovery: {error}; retrying in {} ms", wait.as_millis());
            tokio::select! {
                () = sleep(wait) => {}
                () = discovery_address.changed.notified() => {
                    self.new_address = true;
                    self.backoff.reset();
                }
            }
        }
    }

    /// Opens a watch each time the decision module requests one, and notifies it when the watch ends.
    pub async fn watch_on_request(mut self, requested: Rc<Notify>) -> Infallible {
        self.pushed = false;
        loop {
            requested.notified().await;
            let error = self.watch_current_address().await;
            note!("discovery: {error}");
            self.inbox.send(Input::list_failed());
        }
    }

    /// Runs a watch until it fails and returns the reason. A new address restarts it there at once.
    async fn watch_current_address(&mut self) -> String {
        let discovery_address = self.discovery_address.clone();
        loop {
            tokio::select! {
                biased;
                () = discovery_address.changed.notified() => self.new_address = true,
                error = self.watch() => return error,
            }
        }
    }

    /// Runs a watch until it fails and returns the reason.
    async fn watch(&mut self) -> String {
        // The versions of a new address may start again, so the complete list is requested.
        let after = self
            .seq
            .filter(|_| !self.new_address)
            .map_or(String::new(), |seq| format!("&after={seq}"));
        let mut stream = match self.open(&format!("watch=1{after}")).await {
            Ok(stream) => stream,
            Err(e) => return e,
        };
        loop {
            match timeout(WATCH_TIMEOUT, stream.next()).await {
                Err(_) => return "no data on the watch".into(),
                Ok(Err(e)) => return e,
                Ok(Ok(None)) => return "the watch has ended".into(),
                Ok(Ok(Some(StreamItem::Heartbeat))) => self.received_data = true,
                // After an unreadable update, only a new watch after the last valid version completes the list.
                Ok(Ok(Some(StreamItem::Object(object)))) => {
                    if let Err(e) = self.apply(&object) {
                        return e;
                    }
                    self.received_data = true;
                }
            }
        }
    }

    /// Opens a watch. An agent is called again while calls hang; a service that all proxies share is called once.
    async fn open(&self, query: &str) -> Result<ObjectStream, String> {
        let (mut calls, mut handles) = (JoinSet::new(), VecDeque::new());
        let interval = if self.pushed {
            CALL_INTERVAL
        } else {
            QUEUED_CALL_TIMEOUT
        };
        let (mut next, end) = (Instant::now(), Instant::now() + QUEUED_CALL_TIMEOUT);
        loop {
            if Instant::now() >= next {
                if handles.len() == MAX_CALLS {
                    handles.remove(1).inspect(AbortHandle::abort);
                }
                handles.push_back(
                    calls.spawn_local(get(self.discovery_address.get(), query.to_owned())),
                );
                next = Instant::now() + interval;
            }
            let answer = tokio::select! {
                biased;
                Some(answer) = calls.join_next() => answer.unwrap_or_else(|e| Err(e.to_string())),
                () = sleep_until(next.min(end)) => {
                    if Instant::now() >= end {
                        return Err("no answer".into());
                    }
                    continue;
                }
            };
            if answer.is_ok() || calls.is_empty() {
                return answer;
            }
        }
    }

    fn apply(&mut self, object: &[u8]) -> Result<(), String> {
        let list: HostList =
            serde_json::from_slice(object).map_err(|e| format!("invalid list: {e}"))?;
        let restarted = std::mem::take(&mut self.new_address) && list.whole;
        if !restarted
            && self
                .seq
                .is_some_and(|seq| list.seq < seq || list.seq == seq && !list.whole)
        {
            note!("discovery: version {} of the list is stale", list.seq);
            return Ok(());
        }
        if !list.whole && self.seq.is_none() {
            return Err("received changes before a complete list".into());
        }
        self.seq = Some(list.seq);
        let scope = if list.whole {
            UpdateScope::Full
        } else {
            UpdateScope::Delta
        };
        self.inbox.send(Input::EndpointList {
            scope,
            seq: Some(list.seq),
            hosts: list.entries(),
        });
        Ok(())
    }
}

/// Requests the complete list once.
pub async fn fetch_list(address: SocketAddr, inbox: Inbox) {
    let list = timeout(WATCH_TIMEOUT, async {
        let body = get(address, String::new()).await?.read_to_end().await?;
        serde_json::from_slice::<HostList>(&body).map_err(|e| format!("invalid list: {e}"))
    });
    match list.await.unwrap_or_else(|_| Err("no answer".into())) {
        Ok(list) => {
            inbox.send(Input::EndpointList {
                scope: UpdateScope::Full,
                seq: Some(list.seq),
                hosts: list.entries(),
            });
        }
        Err(e) => {
            note!("discovery: {e}");
            inbox.send(Input::list_failed());
        }
    }
}

/// Body of an answer, read object by object.
struct ObjectStream {
    body: hyper::body::Incoming,
    objects: ObjectSplitter,
    /// Closes the connection when the body is dropped.
    _connection: JoinSet<()>,
    _sender: http1::SendRequest<Empty<Bytes>>,
}

impl ObjectStream {
    /// Returns the next part, or `None` at the end.
    async fn next(&mut self) -> Result<Option<StreamItem>, String> {
        loop {
            if let Some(part) = self.objects.next_item()? {
                return Ok(Some(part));
            }
            let Some(data) = next_data(&mut self.body).await? else {
                return Ok(None);
            };
            if self.objects.buffered() + data.len() > MAX_LIST_BYTES {
                return Err("the list exceeds the maximum size".into());
            }
            self.objects.feed(&data);
        }
    }

    async fn read_to_end(mut self) -> Result<Vec<u8>, String> {
        let mut all = Vec::new();
        while let Some(data) = next_data(&mut self.body).await? {
            if all.len() + data.len() > MAX_LIST_BYTES {
                return Err("the list exceeds the maximum size".into());
            }
            all.extend_from_slice(&data);
        }
        Ok(all)
    }
}

/// Returns the next bytes of a body, or `None` at its end.
async fn next_data(body: &mut hyper::body::Incoming) -> Result<Option<Bytes>, String> {
    let Some(frame) = body.frame().await else {
        return Ok(None);
    };
    Ok(Some(
        frame
            .map_err(|e| e.to_string())?
            .into_data()
            .unwrap_or_default(),
    ))
}

async fn get(address: SocketAddr, query: String) -> Result<ObjectStream, String> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| "connection timed out")?;
    let stream = stream.map_err(|e| e.to_string())?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let mut task = JoinSet::new();
    task.spawn_local(async move {
        let _ = connection.await; // the body reports its errors
    });
    let separator = if query.is_empty() { "" } else { "?" };
    let request = Request::get(format!("/discovery/hosts{separator}{query}"))
        .header("host", address.to_string())
        .body(Empty::new())
        .map_err(|e| e.to_string())?;
    let answer = sender
        .send_request(request)
        .await
        .map_err(|e| e.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("unexpected status {}", answer.status()));
    }
    Ok(ObjectStream {
        body: answer.into_body(),
        objects: ObjectSplitter::default(),
        _connection: task,
        _sender: sender,
    })
}
