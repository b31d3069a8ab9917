//! Errors and timeouts of a connection.

use std::io;
use std::net::AddrParseError;
use std::time::Duration;

use tokio::time::timeout;

use crate::frame::{FrameError, Nonce};

/// Timeout of the handshake, and of sending one message.
const IO_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why a connection can't be opened or has ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    /// The address of the peer is not an IP address with a port.
    #[error(transparent)]
    Address(#[from] AddrParseError),
    /// The connection has failed or timed out.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Authentication of the peer has failed, or a frame is invalid.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A frame does not contain a valid message.
    #[error("frame without a valid message")]
    InvalidMessage,
    /// The system provides no random numbers.
    #[error("random number generation failed: {0}")]
    Random(getrandom::Error),
}

impl ConnectionError {
    /// Returns true if the peer has sent invalid data.
    pub(super) fn is_invalid_data(&self) -> bool {
        matches!(
            self,
            ConnectionError::Frame(_) | ConnectionError::InvalidMessage
        )
    }
}

/// Runs `operation` with the timeout of a handshake or a write.
pub(super) async fn with_timeout<T>(
    operation: impl Future<Output = Result<T, ConnectionError>>,
) -> Result<T, ConnectionError> {
    match timeout(IO_TIMEOUT, operation).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut).into()),
    }
}

/// Draws a nonce for one side of a connection.
pub(super) fn draw_nonce() -> Result<Nonce, ConnectionError> {
    let mut nonce = Nonce::default();
    getrandom::fill(&mut nonce).map_err(ConnectionError::Random)?;
    Ok(nonce)
}
