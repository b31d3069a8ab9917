//! etcd's published v3 API, as far as a fleet's list needs it.
//!
//! - [`api`]: the messages and services, made from `proto/etcd.proto`.
//! - [`watch_endpoints`]: carries out a [`endpoint_discovery::EndpointWatcher`]'s commands, and tells what the list becomes.
//! - [`Registry`]: registers servers with leases, drains them and takes them away; for `canvascart fleet`.
//!
//! It decides nothing about what to believe: the follower does.

mod connect;
mod registry;
mod watch;

/// The messages and services of etcd's v3 API that are spoken here.
#[expect(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    reason = "made from the published messages"
)]
pub mod api {
    tonic::include_proto!("etcdserverpb");
}

pub use connect::{Connector, PlaintextConnector, Settings};
pub use endpoint_discovery::DiscoveryUpdate;
pub use registry::{RegisteredEndpoint, Registration, Registry, RegistryError};
pub use watch::watch_endpoints;
