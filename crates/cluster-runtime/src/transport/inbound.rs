//! Inbound connections: accepting, authentication and reading of messages.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};

use super::counters::TransportCounters;
use super::error::{ConnectionError, draw_nonce, with_timeout};
use crate::frame::{self, FrameAuthenticator, HANDSHAKE_REQUEST_BYTES, HEADER_BYTES, Key};
use crate::message::Message;

/// Maximum number of concurrent inbound connections.
const MAX_CONNECTIONS: usize = 2048;
/// Delay before the next attempt to accept a connection after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without data after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Accepts connections and forwards their messages to the member.
#[derive(Clone)]
pub(super) struct Acceptor {
    key: Key,
    received: mpsc::Sender<Message>,
    counters: Arc<TransportCounters>,
}

impl Acceptor {
    pub(super) fn new(
        key: Key,
        received: mpsc::Sender<Message>,
        counters: Arc<TransportCounters>,
    ) -> Self {
        Acceptor {
            key,
            received,
            counters,
        }
    }

    pub(super) async fn run(self, listener: TcpListener) {
        let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else {
                return;
            };
            let (stream, peer) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    tracing::warn!(error = %e, "connection not accepted");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let acceptor = self.clone();
            tokio::spawn(async move {
                let result = acceptor.read_connection(stream).await;
                if let Err(e) = result
                    && e.is_invalid_data()
                {
                    acceptor
                        .counters
                        .connections_rejected
                        .fetch_add(1, Ordering::Relaxed);
                    tracing::warn!(%peer, error = %e, "connection rejected");
                }
                drop(slot);
            });
        }
    }

    /// Reads a connection until it ends, times out, or the member stops.
    async fn read_connection(&self, stream: TcpStream) -> Result<(), ConnectionError> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        let mut authenticator = with_timeout(accept_handshake(&self.key, &mut stream)).await?;
        loop {
            let mut header = [0; HEADER_BYTES];
            match timeout(IDLE_TIMEOUT, stream.read_exact(&mut header)).await {
                Ok(read) => _ = read?,
                Err(_) => return Ok(()),
            }
            let length = FrameAuthenticator::message_length(&header)?;
            let bytes = read_message(&mut stream, length).await?;
            authenticator.verify(&header, &bytes)?;
            let message = Message::decode(&bytes).ok_or(ConnectionError::InvalidMessage)?;
            self.counters.received_by_kind[message.kind() as usize].add(HEADER_BYTES + length);
            if self.received.send(message).await.is_err() {
                return Ok(());
            }
        }
    }
}

async fn accept_handshake(
    key: &Key,
    stream: &mut BufReader<TcpStream>,
) -> Result<FrameAuthenticator, ConnectionError> {
    let mut request = [0; HANDSHAKE_REQUEST_BYTES];
    stream.read_exact(&mut request).await?;
    let (response, authenticator) = frame::handshake_response(key, &request, draw_nonce()?)?;
    stream.get_mut().write_all(&response).await?;
    Ok(authenticator)
}

/// Reads a message. The buffer grows with the received data, so that the length in a header alone can't cause a large allocation.
async fn read_message(
    stream: &mut BufReader<TcpStream>,
    length: usize,
) -> Result<Vec<u8>, ConnectionError> {
    let mut bytes = Vec::new();
    let mut limited = stream.take(length as u64);
    match timeout(IDLE_TIMEOUT, limited.read_to_end(&mut bytes)).await {
        Ok(Ok(read)) if read == length => Ok(bytes),
        _ => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
    }
}
