//! Outbound connection to one peer: connects, sends queued messages and reconnects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cluster::message::MessageKind;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::counters::TransportCounters;
use super::error::{ConnectionError, draw_nonce, with_timeout};
use crate::frame::{self, FrameAuthenticator, HANDSHAKE_RESPONSE_BYTES, HEADER_BYTES, Key};

/// Delay after a failed attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Encoded message, with its kind for the counters.
pub(super) struct EncodedMessage {
    pub kind: MessageKind,
    pub bytes: Vec<u8>,
}

/// Authenticated connection to a peer.
struct Connection {
    stream: TcpStream,
    authenticator: FrameAuthenticator,
}

impl Connection {
    async fn open(key: &Key, address: &str) -> Result<Self, ConnectionError> {
        let address: SocketAddr = address.parse()?;
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let nonce = draw_nonce()?;
        stream
            .write_all(&frame::handshake_request(key, nonce))
            .await?;
        let mut response = [0; HANDSHAKE_RESPONSE_BYTES];
        stream.read_exact(&mut response).await?;
        let authenticator = frame::verify_handshake_response(key, nonce, &response)?;
        Ok(Connection {
            stream,
            authenticator,
        })
    }

    async fn send(
        &mut self,
        header: &[u8; HEADER_BYTES],
        message: &[u8],
    ) -> Result<(), ConnectionError> {
        self.stream.write_all(header).await?;
        self.stream.write_all(message).await?;
        Ok(())
    }
}

/// Task that sends the queued messages of one peer; ends when the queue is closed.
pub(super) struct OutboundTask {
    key: Key,
    address: String,
    queue: mpsc::Receiver<EncodedMessage>,
    counters: Arc<TransportCounters>,
    connection: Option<Connection>,
    /// Set once a failure has been logged; cleared by the next connection.
    is_failure_logged: bool,
}

impl OutboundTask {
    pub(super) fn new(
        key: Key,
        address: String,
        queue: mpsc::Receiver<EncodedMessage>,
        counters: Arc<TransportCounters>,
    ) -> Self {
        OutboundTask {
            key,
            address,
            queue,
            counters,
            connection: None,
            is_failure_logged: false,
        }
    }

    pub(super) async fn run(mut self) {
        while let Some(message) = self.queue.recv().await {
            if self.connection.is_none() && !self.connect().await {
                continue;
            }
            self.send(message).await;
        }
    }

    /// Opens a connection. After a failure, drops all queued messages and waits.
    async fn connect(&mut self) -> bool {
        let opened = with_timeout(Connection::open(&self.key, &self.address)).await;
        match opened {
            Ok(connection) => {
                self.connection = Some(connection);
                self.is_failure_logged = false;
                true
            }
            Err(e) => {
                if !self.is_failure_logged {
                    tracing::warn!(address = self.address, error = %e, "no connection to member");
                    self.is_failure_logged = true;
                }
                self.drop_queue();
                sleep(RECONNECT_DELAY).await;
                false
            }
        }
    }

    /// Drops the current message and all queued ones, which would be outdated by the next attempt.
    fn drop_queue(&mut self) {
        let mut dropped = 1;
        while self.queue.try_recv().is_ok() {
            dropped += 1;
        }
        self.counters
            .messages_dropped
            .fetch_add(dropped, Ordering::Relaxed);
    }

    async fn send(&mut self, message: EncodedMessage) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        let header = match connection.authenticator.next_header(&message.bytes) {
            Ok(header) => header,
            Err(e) => {
                tracing::error!(address = self.address, error = %e, "message not sent");
                return;
            }
        };
        let sent = with_timeout(connection.send(&header, &message.bytes)).await;
        if sent.is_ok() {
            let bytes = HEADER_BYTES + message.bytes.len();
            self.counters.add_sent(message.kind, bytes);
        } else {
            self.counters
                .messages_dropped
                .fetch_add(1, Ordering::Relaxed);
            self.connection = None;
        }
    }
}
