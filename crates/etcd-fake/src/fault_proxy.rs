//! The way to a member: connections pass through, break, hang, or are never answered.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What becomes of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkState {
    /// They pass.
    Up,
    /// They break, and new ones are closed at once.
    Down,
    /// They stay open, and nothing passes.
    Stalled,
    /// Those that are up break; new ones come up and are never answered.
    HalfOpen,
}

struct Shared {
    net: watch::Sender<(NetworkState, u64)>,
    came: AtomicU64,
}

/// The way to one member.
pub struct FaultProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
        self.set(NetworkState::Down);
    }
}

impl FaultProxy {
    /// Opens a way to an address.
    ///
    /// # Errors
    /// A port can't be had.
    pub async fn open(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            net: watch::channel((NetworkState::Up, 0)).0,
            came: AtomicU64::new(0),
        });
        let inner = shared.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                inner.came.fetch_add(1, Ordering::Relaxed);
                let net = inner.net.subscribe();
                let (now, _) = *net.borrow();
                if now != NetworkState::Down {
                    tokio::spawn(pass(stream, to, net));
                }
            }
        });
        Ok(FaultProxy {
            address,
            shared,
            task,
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn connection_count(&self) -> u64 {
        self.shared.came.load(Ordering::Relaxed)
    }

    /// What becomes of connections from here on.
    pub fn set(&self, net: NetworkState) {
        self.shared.net.send_modify(|(now, cuts)| {
            *now = net;
            *cuts += u64::from(matches!(net, NetworkState::Down | NetworkState::HalfOpen));
        });
    }

    /// Breaks all connections.
    pub fn break_connections(&self) {
        self.shared.net.send_modify(|(_, cuts)| *cuts += 1);
    }
}

/// Carries a connection until it ends, or is cut.
async fn pass(client: TcpStream, to: SocketAddr, net: watch::Receiver<(NetworkState, u64)>) {
    let (began, cuts) = *net.borrow();
    let mut cut = net.clone();
    let carry = async {
        if began == NetworkState::HalfOpen {
            return std::future::pending().await;
        }
        let Ok(server) = TcpStream::connect(to).await else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true)); // slower without, no worse
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        tokio::select! {
            () = copy(from_client, to_server, net.clone()) => {}
            () = copy(from_server, to_client, net) => {}
        }
    };
    tokio::select! {
        () = carry => {}
        _ = cut.wait_for(|(_, now)| *now != cuts) => {}
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut net: watch::Receiver<(NetworkState, u64)>,
) {
    let mut bytes = vec![0; 16 << 10];
    while let Ok(n) = from.read(&mut bytes).await {
        if n == 0
            || net
                .wait_for(|(net, _)| *net != NetworkState::Stalled)
                .await
                .is_err()
        {
            return;
        }
        if to.write_all(&bytes[..n]).await.is_err() {
            return;
        }
    }
}
