//! A stand-in for etcd: a real gRPC server on loopback, with revisions, ranges, transactions, leases, watches and compaction, in
//! three members that may lag behind each other, and faults at will. For tests, the lab and the demonstration; it keeps
//! nothing on a disk and has no consensus.
//!
//! - [`FakeEtcd`]: the members, and what can go wrong with them.
//! - [`store::Store`]: the store, without I/O.

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

/// From one look for leases that have ended to the next.
const LEASES: Duration = Duration::from_millis(50);
/// Bytes of a request or an answer.
const MOST: usize = 64 << 20;

/// What all members share.
pub(crate) struct Shared {
    store: Mutex<Store>,
    /// Counts what has happened, so that watches look again.
    changed: watch::Sender<u64>,
    /// Counts changes of the leader, which end all watches.
    leader: watch::Sender<u64>,
    /// How long each page of a list takes.
    slow: Mutex<Duration>,
}

impl Shared {
    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn touched(&self) {
        self.changed.send_modify(|n| *n += 1);
    }
}

/// Members of a stand-in, until it is dropped.
pub struct FakeEtcd {
    shared: Arc<Shared>,
    gates: Vec<FaultProxy>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Drop for FakeEtcd {
    fn drop(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

impl FakeEtcd {
    /// Starts so many members, on the runtime that calls this.
    ///
    /// # Errors
    /// A port can't be had.
    pub async fn start(members: usize) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            store: Mutex::new(Store::new(members)),
            changed: watch::channel(0).0,
            leader: watch::channel(0).0,
            slow: Mutex::default(),
        });
        let (mut gates, mut tasks) = (Vec::new(), Vec::new());
        for number in 0..members {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
            let inner = listener.local_addr()?;
            let member = Member {
                shared: shared.clone(),
                number,
            };
            let server = Server::builder()
                .add_service(
                    KvServer::new(member.clone())
                        .max_decoding_message_size(MOST)
                        .max_encoding_message_size(MOST),
                )
                .add_service(WatchServer::new(member.clone()).max_encoding_message_size(MOST))
                .add_service(LeaseServer::new(member.clone()))
                .add_service(AuthServer::new(member));
            tasks.push(tokio::spawn(async move {
                let _ = server
                    .serve_with_incoming(TcpListenerStream::new(listener))
                    .await; // until it is aborted
            }));
            gates.push(FaultProxy::open(inner).await?);
        }
        let leases = shared.clone();
        tasks.push(tokio::spawn(async move {
            loop {
                sleep(LEASES).await;
                if leases.store().expire_leases() {
                    leases.touched();
                }
            }
        }));
        Ok(FakeEtcd {
            shared,
            gates,
            tasks,
        })
    }

    /// Where the members are.
    pub fn endpoints(&self) -> Vec<String> {
        self.gates
            .iter()
            .map(|g| format!("http://{}", g.address()))
            .collect()
    }

    /// A member's address.
    pub fn address(&self, member: usize) -> SocketAddr {
        self.gates[member].address()
    }

    /// Connections that have come to all members.
    pub fn connection_count(&self) -> u64 {
        self.gates.iter().map(FaultProxy::connection_count).sum()
    }

    /// Changes the store as a client would, or looks at it; watches hear of it.
    pub fn with_store<T>(&self, act: impl FnOnce(&mut Store) -> T) -> T {
        let done = act(&mut self.shared.store());
        self.shared.touched();
        done
    }

    /// What becomes of connections to a member from here on.
    pub fn set_network(&self, member: usize, net: NetworkState) {
        self.gates[member].set(net);
    }

    /// What becomes of connections to all members.
    pub fn set_network_all(&self, net: NetworkState) {
        self.gates.iter().for_each(|g| g.set(net));
    }

    /// Breaks all connections to a member; new ones are as before.
    pub fn break_connections(&self, member: usize) {
        self.gates[member].break_connections();
    }

    /// A member hears of nothing new, or catches up.
    pub fn set_lagging(&self, member: usize, lags: bool) {
        self.with_store(|s| s.set_lagging(member, lags));
    }

    /// Another leader: watches end and have to be made anew.
    pub fn change_leader(&self) {
        self.with_store(|s| s.term += 1);
        self.shared.leader.send_modify(|n| *n += 1);
    }

    /// The store as it is now.
    pub fn backup(&self) -> Store {
        self.shared.store().clone()
    }

    /// A backup is brought back: the store is what it was then, and all watches and connections end.
    pub fn restore(&self, backup: Store) {
        self.with_store(|s| s.restore(backup));
        self.gates.iter().for_each(FaultProxy::break_connections);
    }

    /// How long each page of a list takes from here on.
    pub fn set_list_delay(&self, each: Duration) {
        *self
            .shared
            .slow
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = each;
    }
}
