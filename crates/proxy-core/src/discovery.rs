//! The list of backends: a watch that resumes where it broke off, and single whole lists.

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

/// A watch sends an empty line every 2 s. One that has brought neither such a line nor a whole object for this span
/// hangs on a dead machine or has fallen silent, and is opened anew.
///
/// What discovery has counts as told 6 s after it had it and could be reached, whatever call failed. Where lists are
/// pushed, a watch that falls silent is given up after 2.5 s; then come a first wait of 75 ms at most and a call, which is
/// answered at once. A call that hangs adds [`AGAIN`], one that fails a wait: 2.5 + 0.075 + 0.35 + 0.15 + 0.3 + 0.375 =
/// 3.75 s after one call that hangs and three that fail. One that opens and then says nothing is given up after another
/// 2.5 s: 2.5 + 0.075 + 2.5 + 0.15 = 5.225 s. The longest wait is [`crate::backoff::MAX_DELAY`].
const SILENCE: Duration = Duration::from_millis(2500);
const CONNECT: Duration = Duration::from_secs(1);
/// Where lists are pushed, an agent of this machine's own answers at once or not at all. While it has not answered, it is
/// called again each so often beside the calls that hang, so many at most: its return is met within that span. The first of
/// them is kept, so that a slow answer still counts.
const AGAIN: Duration = Duration::from_millis(350);
const CALLS: usize = 4;
/// Where lists have to be asked for, the service takes the calls of all proxies in turn. To give up a call and ask
/// anew is to go back to the end of that line, so a call waits until the service itself gives it up.
const TURN: Duration = Duration::from_secs(4);
const MOST: usize = 4 << 20; // bytes of an object

/// Where discovery is; a new configuration may name another address.
pub struct DiscoveryAddress {
    address: Cell<SocketAddr>,
    moved: Notify,
}

impl DiscoveryAddress {
    pub fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(DiscoveryAddress {
            address: Cell::new(address),
            moved: Notify::new(),
        })
    }

    pub fn get(&self) -> SocketAddr {
        self.address.get()
    }

    pub fn set(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify_one();
        }
    }
}

/// The watch and what it knows of the list's version.
pub struct Discovery {
    place: Rc<DiscoveryAddress>,
    inbox: Inbox,
    /// Version of the list that the driver has.
    seq: Option<u64>,
    /// Nothing has come from the present address yet: it may count its versions anew.
    fresh: bool,
    /// Whether an agent of this machine's own pushes the list; else one service is asked by all.
    pushed: bool,
    /// The last watch has brought something.
    spoke: bool,
    backoff: Backoff,
}

impl Discovery {
    /// `seed` spreads the calls of proxies that fail at the same time.
    pub fn new(place: Rc<DiscoveryAddress>, inbox: Inbox, seed: u64) -> Self {
        let backoff = Backoff::new(seed);
        Discovery {
            place,
            inbox,
            seq: None,
            fresh: true,
            pushed: true,
            spoke: false,
            backoff,
        }
    }

    /// Keeps a watch open for ever, and takes it up again where it broke off.
    pub async fn follow(mut self) -> Infallible {
        let place = self.place.clone();
        loop {
            let error = self.watch_while_there().await;
            if std::mem::take(&mut self.spoke) {
                self.backoff.reset();
            }
            let wait = self.backoff.next_delay();
            note!("discovery: {error}; again in {} ms", wait.as_millis());
            tokio::select! {
                () = sleep(wait) => {}
                () = place.moved.notified() => {
                    self.fresh = true;
                    self.backoff.reset();
                }
            }
        }
    }

    /// Opens a watch each time that the module asks for one, and tells it when it has ended.
    pub async fn on_request(mut self, asked: Rc<Notify>) -> Infallible {
        self.pushed = false;
        loop {
            asked.notified().await;
            let error = self.watch_while_there().await;
            note!("discovery: {error}");
            self.inbox.send(Input::list_failed());
        }
    }

    /// Watches until it ends, at a new address as soon as there is one; returns why it ended.
    async fn watch_while_there(&mut self) -> String {
        let place = self.place.clone();
        loop {
            tokio::select! {
                biased;
                () = place.moved.notified() => self.fresh = true,
                error = self.watch() => return error,
            }
        }
    }

    /// Watches until it ends; returns why it ended.
    async fn watch(&mut self) -> String {
        // A new address may count its versions anew: what it has is asked for whole.
        let after = self
            .seq
            .filter(|_| !self.fresh)
            .map_or(String::new(), |seq| format!("&after={seq}"));
        let mut stream = match self.call(&format!("watch=1{after}")).await {
            Ok(stream) => stream,
            Err(e) => return e,
        };
        loop {
            match timeout(SILENCE, stream.next()).await {
                Err(_) => return "the watch is silent".into(),
                Ok(Err(e)) => return e,
                Ok(Ok(None)) => return "the watch has ended".into(),
                Ok(Ok(Some(StreamItem::Heartbeat))) => self.spoke = true,
                // What can't be read leaves a gap: only a new watch from the last good one fills it.
                Ok(Ok(Some(StreamItem::Object(object)))) => {
                    if let Err(e) = self.take(&object) {
                        return e;
                    }
                    self.spoke = true;
                }
            }
        }
    }

    /// Opens a watch: an agent is called again while calls hang, a service that all ask is called once.
    async fn call(&self, query: &str) -> Result<Stream, String> {
        let (mut calls, mut handles) = (JoinSet::new(), VecDeque::new());
        let again = if self.pushed { AGAIN } else { TURN };
        let (mut next, end) = (Instant::now(), Instant::now() + TURN);
        loop {
            if Instant::now() >= next {
                if handles.len() == CALLS {
                    handles.remove(1).inspect(AbortHandle::abort);
                }
                handles.push_back(calls.spawn_local(get(self.place.get(), query.to_owned())));
                next = Instant::now() + again;
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

    fn take(&mut self, object: &[u8]) -> Result<(), String> {
        let list: HostList =
            serde_json::from_slice(object).map_err(|e| format!("a broken list: {e}"))?;
        let anew = std::mem::take(&mut self.fresh) && list.whole;
        if !anew
            && self
                .seq
                .is_some_and(|seq| list.seq < seq || list.seq == seq && !list.whole)
        {
            note!("discovery: news of {} is stale", list.seq); // what it says is older than what is known
            return Ok(());
        }
        if !list.whole && self.seq.is_none() {
            return Err("changes without a list".into());
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

/// Asks for the whole list once.
pub async fn fetch_list(address: SocketAddr, inbox: Inbox) {
    let list = timeout(SILENCE, async {
        let body = get(address, String::new()).await?.rest().await?;
        serde_json::from_slice::<HostList>(&body).map_err(|e| format!("a broken list: {e}"))
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

/// An answer's body, object by object.
struct Stream {
    body: hyper::body::Incoming,
    objects: ObjectSplitter,
    /// Ends the connection with the answer.
    _connection: JoinSet<()>,
    _sender: http1::SendRequest<Empty<Bytes>>,
}

impl Stream {
    /// The next part; `None` at the end.
    async fn next(&mut self) -> Result<Option<StreamItem>, String> {
        loop {
            if let Some(part) = self.objects.next_item()? {
                return Ok(Some(part));
            }
            let Some(data) = more(&mut self.body).await? else {
                return Ok(None);
            };
            if self.objects.buffered() + data.len() > MOST {
                return Err("a list over the size".into());
            }
            self.objects.feed(&data);
        }
    }

    async fn rest(mut self) -> Result<Vec<u8>, String> {
        let mut all = Vec::new();
        while let Some(data) = more(&mut self.body).await? {
            if all.len() + data.len() > MOST {
                return Err("a list over the size".into());
            }
            all.extend_from_slice(&data);
        }
        Ok(all)
    }
}

/// The next bytes of a body; `None` at its end.
async fn more(body: &mut hyper::body::Incoming) -> Result<Option<Bytes>, String> {
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

async fn get(address: SocketAddr, query: String) -> Result<Stream, String> {
    let stream = timeout(CONNECT, TcpStream::connect(address))
        .await
        .map_err(|_| "no connection")?;
    let stream = stream.map_err(|e| e.to_string())?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let mut task = JoinSet::new();
    task.spawn_local(async move {
        let _ = connection.await; // its end shows in the body
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
        return Err(format!("status {}", answer.status()));
    }
    Ok(Stream {
        body: answer.into_body(),
        objects: ObjectSplitter::default(),
        _connection: task,
        _sender: sender,
    })
}
