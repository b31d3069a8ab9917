//! The administration API of the hosted service: tenants, servers, classes and limits as versioned documents, with
//! tokens, an audit log and events.
//!
//! - [`AdminState`]: decides each call. It holds the current documents and the store, and uses neither sockets nor a clock.
//! - [`operations`]: the table of all operations, from which the routes and the OpenAPI document are built.
//! - [`Api`]: serves the state over HTTP, and sends stored changes to the plane as [`PlaneCommand`]s.
//! - [`ClusterHandle`]: connects the API to the member of a cluster.
//!
//! A change is checked, stored, applied and then acknowledged, in this order. The crate decides nothing about proxied
//! requests.

mod access;
mod admin_state;
mod backup;
mod bodies;
mod call;
mod cluster_api;
mod difference;
mod document_part;
mod events;
mod figures;
mod http;
pub mod operations;
mod problem;
mod startup_progress;
mod tenants;
mod tokens;
mod versions;

pub use access::{Principal, Role, Token};
pub use admin_state::{AdminState, OPERATOR_TOKEN_FILE, Snapshot, new_operator_token};
pub use backup::Backup;
pub use call::{Call, Outcome, Reply, StatusQuery};
pub use cluster_api::ClusterHandle;
pub use events::VersionEvent;
pub use http::{Api, PlaneCommand, snapshot_interval};
pub use problem::Problem;
pub use startup_progress::StartupProgress;
