//! TCP proxy in front of a member that can break, stall or ignore connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// State of the network between clients and a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkState {
    /// Connections work.
    Up,
    /// Open connections break, and new ones are closed at once.
    Down,
    /// Connections stay open, but no bytes pass.
    Stalled,
    /// Open connections break; new ones are accepted and never answered.
    HalfOpen,
}

struct Shared {
    /// Network state, and a counter whose increments break all connections.
    state: watch::Sender<(NetworkState, u64)>,
    connections: AtomicU64,
}

/// TCP proxy in front of one member.
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
    /// Listens on a free loopback port and forwards connections to `target`.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            state: watch::channel((NetworkState::Up, 0)).0,
            connections: AtomicU64::new(0),
        });
        let inner = shared.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                inner.connections.fetch_add(1, Ordering::Relaxed);
                let net_state = inner.state.subscribe();
                let (current, _) = *net_state.borrow();
                if current != NetworkState::Down {
                    tokio::spawn(forward(stream, target, net_state));
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
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Sets the network state.
    pub fn set(&self, state: NetworkState) {
        self.shared.state.send_modify(|(current, breaks)| {
            *current = state;
            *breaks += u64::from(matches!(state, NetworkState::Down | NetworkState::HalfOpen));
        });
    }

    /// Breaks all open connections.
    pub fn break_connections(&self) {
        self.shared.state.send_modify(|(_, breaks)| *breaks += 1);
    }
}

/// Forwards a connection until it ends or is broken.
async fn forward(
    client: TcpStream,
    target: SocketAddr,
    state: watch::Receiver<(NetworkState, u64)>,
) {
    let (initial, breaks) = *state.borrow();
    let mut break_signal = state.clone();
    let transfer = async {
        if initial == NetworkState::HalfOpen {
            return std::future::pending().await;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true)); // an optimization; failure is harmless
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        tokio::select! {
            () = copy(from_client, to_server, state.clone()) => {}
            () = copy(from_server, to_client, state) => {}
        }
    };
    tokio::select! {
        () = transfer => {}
        _ = break_signal.wait_for(|(_, current)| *current != breaks) => {}
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut state: watch::Receiver<(NetworkState, u64)>,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(n) = from.read(&mut buffer).await {
        if n == 0
            || state
                .wait_for(|(current, _)| *current != NetworkState::Stalled)
                .await
                .is_err()
        {
            return;
        }
        if to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}
