//! An in-process fake of etcd for tests, the lab and the demonstration: gRPC servers on loopback with revisions, ranges,
//! transactions, leases, watches and compaction. Its members share one store, can be made to lag, and have injectable network
//! faults. It stores nothing on disk and runs no consensus protocol.
//!
//! - [`FakeEtcd`]: the members and their faults.
//! - [`store::Store`]: the key-value store, without I/O.

mod fault_proxy;
mod service;
pub mod store;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use etcd::api::auth_server::AuthServer;
use etcd::api::kv_server::KvServer;
use etcd::api::lease_server::LeaseServer;
use etcd::api::watch_server::WatchServer;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use fault_proxy::FaultProxy;
pub use fault_proxy::NetworkState;
use service::Member;
use store::Store;

/// Interval of the check for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Largest request or response.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// State shared by all members.
pub(crate) struct Shared {
    store: Mutex<Store>,
    /// Counter of calls and faults; watches check for events after each increment.
    changed: watch::Sender<u64>,
    /// Counter of leader changes; each ends all watches.
    leader: watch::Sender<u64>,
    /// Delay of each range response.
    list_delay: Mutex<Duration>,
}

impl Shared {
    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn notify_watches(&self) {
        self.changed.send_modify(|n| *n += 1);
    }
}

/// A fake etcd cluster that runs until it is dropped.
pub struct FakeEtcd {
    shared: Arc<Shared>,
    fault_proxies: Vec<FaultProxy>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Drop for FakeEtcd {
    fn drop(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

impl FakeEtcd {
    /// Starts `members` members on the current runtime.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(members: usize) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            store: Mutex::new(Store::new(members)),
            changed: watch::channel(0).0,
            leader: watch::channel(0).0,
            list_delay: Mutex::default(),
        });
        let (mut fault_proxies, mut tasks) = (Vec::new(), Vec::new());
        for number in 0..members {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
            let member_address = listener.local_addr()?;
            let member = Member {
                shared: shared.clone(),
                number,
            };
            let server = Server::builder()
                .add_service(
                    KvServer::new(member.clone())
                        .max_decoding_message_size(MAX_MESSAGE_BYTES)
                        .max_encoding_message_size(MAX_MESSAGE_BYTES),
                )
                .add_service(
                    WatchServer::new(member.clone()).max_encoding_message_size(MAX_MESSAGE_BYTES),
                )
                .add_service(LeaseServer::new(member.clone()))
                .add_service(AuthServer::new(member));
            tasks.push(tokio::spawn(async move {
                let _ = server
                    .serve_with_incoming(TcpListenerStream::new(listener))
                    .await; // runs until aborted
            }));
            fault_proxies.push(FaultProxy::open(member_address).await?);
        }
        let lease_state = shared.clone();
        tasks.push(tokio::spawn(async move {
            loop {
                sleep(LEASE_CHECK_INTERVAL).await;
                if lease_state.store().expire_leases() {
                    lease_state.notify_watches();
                }
            }
        }));
        Ok(FakeEtcd {
            shared,
            fault_proxies,
            tasks,
        })
    }

    /// URLs of the members.
    pub fn endpoints(&self) -> Vec<String> {
        self.fault_proxies
            .iter()
            .map(|p| format!("http://{}", p.address()))
            .collect()
    }

    /// Returns a member's address.
    pub fn address(&self, member: usize) -> SocketAddr {
        self.fault_proxies[member].address()
    }

    /// Number of connections that all members have accepted.
    pub fn connection_count(&self) -> u64 {
        self.fault_proxies
            .iter()
            .map(FaultProxy::connection_count)
            .sum()
    }

    /// Reads or changes the store, then notifies the watches.
    pub fn with_store<T>(&self, operation: impl FnOnce(&mut Store) -> T) -> T {
        let result = operation(&mut self.shared.store());
        self.shared.notify_watches();
        result
    }

    /// Sets the network state of a member.
    pub fn set_network(&self, member: usize, network: NetworkState) {
        self.fault_proxies[member].set(network);
    }

    /// Sets the network state of all members.
    pub fn set_network_all(&self, network: NetworkState) {
        self.fault_proxies.iter().for_each(|p| p.set(network));
    }

    /// Breaks all connections to a member; new ones follow the current network state.
    pub fn break_connections(&self, member: usize) {
        self.fault_proxies[member].break_connections();
    }

    /// Freezes a member at the current revision, or lets it catch up.
    pub fn set_lagging(&self, member: usize, lags: bool) {
        self.with_store(|s| s.set_lagging(member, lags));
    }

    /// Simulates a leader change: all watches end.
    pub fn change_leader(&self) {
        self.with_store(|s| s.term += 1);
        self.shared.leader.send_modify(|n| *n += 1);
    }

    /// Returns a copy of the store.
    pub fn backup(&self) -> Store {
        self.shared.store().clone()
    }

    /// Replaces the store with a backup and breaks all connections.
    pub fn restore(&self, backup: Store) {
        self.with_store(|s| s.restore(backup));
        self.fault_proxies
            .iter()
            .for_each(FaultProxy::break_connections);
    }

    /// Sets the delay of each range response.
    pub fn set_list_delay(&self, delay: Duration) {
        *self
            .shared
            .list_delay
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = delay;
    }
}
