//! A listener that takes no connections without refusing them, as behind a partition: the system drops what would
//! connect to it once as many connections wait as it is to hold.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Connections that wait at a listener that takes them.
pub const BACKLOG: i32 = 1024;
/// A connection over loopback that is not up within this span is not coming up.
const SOON: Duration = Duration::from_millis(50);
/// Connections that a listener may hold beyond what it was told, at most.
const MOST: usize = 8;

/// What keeps a listener from taking connections, until it is dropped.
pub struct FullBacklog<'a> {
    listener: &'a TcpListener,
    /// They wait at the listener and are never looked at.
    fill: Vec<TcpStream>,
}

impl<'a> FullBacklog<'a> {
    /// Fills a listener's queue.
    ///
    /// # Errors
    /// What the sockets say.
    pub async fn new(listener: &'a TcpListener) -> io::Result<Self> {
        let address = listener.local_addr()?;
        // From here on a failure, too, gives the listener its queue back: it drops the full_backlog.
        let mut full_backlog = FullBacklog {
            listener,
            fill: Vec::new(),
        };
        SockRef::from(listener).listen(0)?;
        while full_backlog.fill.len() < MOST
            && let Ok(stream) = timeout(SOON, TcpStream::connect(address)).await
        {
            full_backlog.fill.push(stream?);
        }
        Ok(full_backlog)
    }
}

impl Drop for FullBacklog<'_> {
    fn drop(&mut self) {
        let _ = SockRef::from(self.listener).listen(BACKLOG); // it listens already, so that it can't fail
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(flavor = "current_thread")]
    async fn a_plugged_listener_says_nothing_and_an_unplugged_one_takes_connections() {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let full_backlog = FullBacklog::new(&listener).await.unwrap();
        let silent = timeout(Duration::from_millis(300), TcpStream::connect(address)).await;
        assert!(silent.is_err(), "neither taken nor refused: {silent:?}");
        drop(full_backlog);
        let taken = async {
            let _stream = TcpStream::connect(address).await.unwrap();
            listener.accept().await.unwrap();
        };
        timeout(Duration::from_secs(20), taken)
            .await
            .expect("it takes connections again");
    }
}
