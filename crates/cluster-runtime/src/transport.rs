//! Transport of messages between members: one outbound connection per peer, and all inbound connections.
//!
//! Delivery is best effort: a message that can't be sent in time is dropped and counted, and the sender has to retry. The module
//! [`frame`](crate::frame) defines the handshake and the frames. The transport does not interpret messages.

mod counters;
mod error;
mod inbound;
mod outbound;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::frame::Key;
use crate::message::Message;

pub use counters::{Traffic, TransportCounters};

use outbound::{EncodedMessage, OutboundTask};

/// Maximum number of messages queued for one peer.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// Connections of one member to its peers.
pub struct Transport {
    key: Key,
    counters: Arc<TransportCounters>,
    peers: BTreeMap<String, Peer>,
}

/// Queue of the task that sends to one peer.
struct Peer {
    address: String,
    queue: mpsc::Sender<EncodedMessage>,
}

impl Transport {
    /// Starts accepting connections on `listener`; received messages are sent to `received`.
    pub fn new(key: Key, listener: TcpListener, received: mpsc::Sender<Message>) -> Self {
        let counters = Arc::new(TransportCounters::default());
        let acceptor = inbound::Acceptor::new(key.clone(), received, counters.clone());
        tokio::spawn(acceptor.run(listener));
        Transport {
            key,
            counters,
            peers: BTreeMap::new(),
        }
    }

    /// Returns the counters of all connections.
    pub fn counters(&self) -> &Arc<TransportCounters> {
        &self.counters
    }

    /// Queues a message for the peer `name` at `address`; drops it if the queue is full.
    pub fn send(&mut self, name: &str, address: &str, message: &Message) {
        let is_connected = self
            .peers
            .get(name)
            .is_some_and(|peer| peer.address == address && !peer.queue.is_closed());
        if !is_connected {
            let peer = self.start_peer(address);
            self.peers.insert(name.to_owned(), peer);
        }
        let Some(peer) = self.peers.get(name) else {
            return;
        };
        let encoded = EncodedMessage {
            kind: message.kind(),
            bytes: message.encode(),
        };
        if peer.queue.try_send(encoded).is_err() {
            self.counters
                .messages_dropped
                .fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Closes the connections to all peers whose name does not match `predicate`.
    pub fn retain_peers(&mut self, predicate: impl Fn(&str) -> bool) {
        self.peers.retain(|name, _| predicate(name));
    }

    fn start_peer(&self, address: &str) -> Peer {
        let (queue, queued) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let task = OutboundTask::new(
            self.key.clone(),
            address.to_owned(),
            queued,
            self.counters.clone(),
        );
        tokio::spawn(task.run());
        Peer {
            address: address.to_owned(),
            queue,
        }
    }
}
