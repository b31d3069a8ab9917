//! The post: one link out to each member that messages are for, and all links in. A message that can't go in time is dropped: whoever
//! needs it writes again.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cluster::message::MessageKind;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};

use crate::frame::{self, ANSWER, HEAD, Key, OPENING, Rubbish, Sealer};
use crate::message::Message;

/// Messages that wait for one member.
const QUEUE: usize = 1024;
/// Links in at once.
const LINKS: usize = 2048;
/// How long a link may take to open, and a write to go out.
const PATIENCE: Duration = Duration::from_secs(2);
/// From one try to open a link to the next.
const AGAIN: Duration = Duration::from_millis(100);
/// A link that says nothing for so long is closed.
const SILENCE: Duration = Duration::from_secs(60);

/// What the post has seen.
#[derive(Debug, Default)]
pub struct Counts {
    /// Messages that went out, and their bytes.
    pub sent: AtomicU64,
    /// As above.
    pub bytes: AtomicU64,
    /// Messages that were dropped, as they could not go in time.
    pub dropped: AtomicU64,
    /// Links that were ended as rubbish came by them.
    pub rubbish: AtomicU64,
    /// What went out by kind, in the order of [`MessageKind::ALL`].
    pub out: [Traffic; MessageKind::COUNT],
    /// What came in, likewise.
    pub incoming: [Traffic; MessageKind::COUNT],
}

/// Messages of one kind, and their bytes with their frames.
#[derive(Debug, Default)]
pub struct Traffic {
    /// How many.
    pub messages: AtomicU64,
    /// Their bytes.
    pub bytes: AtomicU64,
}

impl Traffic {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// What there was until now.
    pub fn so_far(&self) -> [u64; 2] {
        [
            self.messages.load(Ordering::Relaxed),
            self.bytes.load(Ordering::Relaxed),
        ]
    }
}

/// A message's kind and its bytes.
type Written = (MessageKind, Vec<u8>);

/// The post.
pub struct Post {
    key: Key,
    counts: Arc<Counts>,
    /// By name: where it is, and the messages that wait for it.
    out: BTreeMap<String, (String, mpsc::Sender<Written>)>,
}

fn drawn() -> io::Result<[u8; 16]> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).map_err(|e| io::Error::other(e.to_string()))?;
    Ok(bytes)
}

fn rubbish(what: Rubbish) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl Post {
    /// A post under a key; what comes in goes to `messages`.
    pub fn new(key: Key, listener: TcpListener, messages: mpsc::Sender<Message>) -> Self {
        let counts = Arc::new(Counts::default());
        tokio::spawn(receive(key.clone(), listener, messages, counts.clone()));
        Post {
            key,
            counts,
            out: BTreeMap::new(),
        }
    }

    /// What it has seen.
    pub fn counts(&self) -> &Arc<Counts> {
        &self.counts
    }

    /// Sends a message to whoever is there, under that name.
    pub fn send(&mut self, name: &str, address: &str, message: &Message) {
        let gone = |(at, out): &(String, mpsc::Sender<_>)| at != address || out.is_closed();
        if self.out.get(name).is_none_or(gone) {
            let (out, messages) = mpsc::channel(QUEUE);
            tokio::spawn(deliver(
                self.key.clone(),
                address.to_owned(),
                messages,
                self.counts.clone(),
            ));
            self.out.insert(name.to_owned(), (address.to_owned(), out));
        }
        if let Some((_, out)) = self.out.get(name)
            && out.try_send((message.kind(), message.write())).is_err()
        {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Nothing goes to others than these any more.
    pub fn keep(&mut self, names: impl Fn(&str) -> bool) {
        self.out.retain(|name, _| names(name));
    }
}

async fn within<T>(what: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    timeout(PATIENCE, what)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn dial(key: &Key, address: &str) -> io::Result<(TcpStream, Sealer)> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let number = drawn()?;
    stream.write_all(&frame::opening(key, number)).await?;
    let mut answer = [0; ANSWER];
    stream.read_exact(&mut answer).await?;
    let sealer = frame::opened(key, number, &answer).map_err(rubbish)?;
    Ok((stream, sealer))
}

/// Delivers messages to one member, over one link after another.
async fn deliver(
    key: Key,
    address: String,
    mut messages: mpsc::Receiver<Written>,
    counts: Arc<Counts>,
) {
    let mut link: Option<(TcpStream, Sealer)> = None;
    let mut told = false;
    while let Some((kind, message)) = messages.recv().await {
        if link.is_none() {
            match within(dial(&key, &address)).await {
                Ok(opened) => (link, told) = (Some(opened), false),
                Err(e) => {
                    if !told {
                        tracing::warn!(address, error = %e, "no link to a member");
                        told = true;
                    }
                    // What waited is too old by the next try.
                    let mut dropped = 1;
                    while messages.try_recv().is_ok() {
                        dropped += 1;
                    }
                    counts.dropped.fetch_add(dropped, Ordering::Relaxed);
                    sleep(AGAIN).await;
                    continue;
                }
            }
        }
        let Some((stream, sealer)) = &mut link else {
            continue;
        };
        let head = match sealer.seal(&message) {
            Ok(head) => head,
            Err(e) => {
                tracing::error!(error = %e, "a message can't be sent");
                continue;
            }
        };
        let write = async {
            stream.write_all(&head).await?;
            stream.write_all(&message).await
        };
        match within(write).await {
            Ok(()) => {
                counts.sent.fetch_add(1, Ordering::Relaxed);
                counts
                    .bytes
                    .fetch_add((HEAD + message.len()) as u64, Ordering::Relaxed);
                counts.out[kind as usize].add(HEAD + message.len());
            }
            Err(_) => {
                counts.dropped.fetch_add(1, Ordering::Relaxed);
                link = None;
            }
        }
    }
}

async fn receive(
    key: Key,
    listener: TcpListener,
    messages: mpsc::Sender<Message>,
    counts: Arc<Counts>,
) {
    let room = Arc::new(Semaphore::new(LINKS));
    loop {
        let Ok(place) = room.clone().acquire_owned().await else {
            return;
        };
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                tracing::warn!(error = %e, "a link can't be taken");
                sleep(AGAIN).await;
                continue;
            }
        };
        let (key, messages, counts) = (key.clone(), messages.clone(), counts.clone());
        tokio::spawn(async move {
            if let Err(e) = read(&key, stream, &messages, &counts).await
                && e.kind() == io::ErrorKind::InvalidData
            {
                counts.rubbish.fetch_add(1, Ordering::Relaxed);
                tracing::warn!(%peer, error = %e, "a link is closed");
            }
            drop(place);
        });
    }
}

async fn read(
    key: &Key,
    stream: TcpStream,
    messages: &mpsc::Sender<Message>,
    counts: &Counts,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    let mut sealer = within(async {
        let mut opening = [0; OPENING];
        stream.read_exact(&mut opening).await?;
        let (answer, sealer) = frame::answer(key, &opening, drawn()?).map_err(rubbish)?;
        stream.get_mut().write_all(&answer).await?;
        Ok(sealer)
    })
    .await?;
    loop {
        let mut head = [0; HEAD];
        match timeout(SILENCE, stream.read_exact(&mut head)).await {
            Ok(read) => _ = read?,
            Err(_) => return Ok(()),
        }
        let length = Sealer::length(&head).map_err(rubbish)?;
        let mut message = Vec::new();
        // Room grows with what comes, so that a length alone takes none.
        match timeout(
            SILENCE,
            (&mut stream).take(length as u64).read_to_end(&mut message),
        )
        .await
        {
            Ok(Ok(read)) if read == length => {}
            _ => return Err(io::ErrorKind::UnexpectedEof.into()),
        }
        sealer.check(&head, &message).map_err(rubbish)?;
        let message = Message::read(&message);
        let message = message
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "it is no message"))?;
        counts.incoming[message.kind() as usize].add(HEAD + length);
        if messages.send(message).await.is_err() {
            return Ok(()); // the member has ended
        }
    }
}
