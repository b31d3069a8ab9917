//! Emulates a partition at a listener: connections are neither accepted nor refused, because the kernel drops
//! connection requests while the listener's backlog is full.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Backlog of a listener that accepts connections.
pub const BACKLOG: i32 = 1024;
/// Time after which a connection over loopback is known not to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum number of connections that a listener may queue beyond its backlog.
const MAX_QUEUED: usize = 8;

/// Keeps a listener's backlog full until dropped.
pub struct FullBacklog<'a> {
    listener: &'a TcpListener,
    /// Queued connections, which are never accepted.
    queued: Vec<TcpStream>,
}

impl<'a> FullBacklog<'a> {
    /// Fills a listener's backlog.
    ///
    /// # Errors
    /// Returns errors of the sockets.
    pub async fn new(listener: &'a TcpListener) -> io::Result<Self> {
        let address = listener.local_addr()?;
        // From here on, dropping the value restores the backlog, also after an error.
        let mut full_backlog = FullBacklog {
            listener,
            queued: Vec::new(),
        };
        SockRef::from(listener).listen(0)?;
        while full_backlog.queued.len() < MAX_QUEUED
            && let Ok(stream) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await
        {
            full_backlog.queued.push(stream?);
        }
        Ok(full_backlog)
    }
}

impl Drop for FullBacklog<'_> {
    fn drop(&mut self) {
        let _ = SockRef::from(self.listener).listen(BACKLOG); // can't fail, as the socket is listening already
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(flavor = "current_thread")]
    async fn a_full_backlog_drops_connections_until_it_is_released() {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let full_backlog = FullBacklog::new(&listener).await.unwrap();
        let silent = timeout(Duration::from_millis(300), TcpStream::connect(address)).await;
        assert!(silent.is_err(), "neither accepted nor refused: {silent:?}");
        drop(full_backlog);
        let accepted = async {
            let _stream = TcpStream::connect(address).await.unwrap();
            listener.accept().await.unwrap();
        };
        timeout(Duration::from_secs(20), accepted)
            .await
            .expect("the listener accepts connections again");
    }
}
