//! Client of the etcd v3 API, limited to what endpoint discovery needs.
//!
//! - [`api`]: messages and services, generated from `proto/etcd.proto`.
//! - [`watch_endpoints`]: executes the commands of an [`endpoint_discovery::EndpointWatcher`] and sends the resulting list updates.
//! - [`Registry`]: registers endpoints with leases, drains and deregisters them, for `canvascart fleet`.
//!
//! This crate only does I/O: the watcher decides which responses are accepted.

mod connect;
mod registry;
mod watch;

/// Messages and services of the etcd v3 API that this crate uses.
#[expect(missing_docs, clippy::all, clippy::pedantic, reason = "generated code")]
pub mod api {
    tonic::include_proto!("etcdserverpb");
}

pub use connect::{Connector, PlaintextConnector, Settings};
pub use endpoint_discovery::DiscoveryUpdate;
pub use registry::{RegisteredEndpoint, Registration, Registry, RegistryError};
pub use watch::watch_endpoints;
