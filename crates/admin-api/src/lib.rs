//! The administration API of the hosted service: tenants, servers, classes and limits as documents in versions, with tokens,
//! an audit log and events.
//!
//! - [`Desk`]: decides each call. It holds the present documents and the store, and has no sockets and no clock.
//! - [`operations`]: the table of all operations, from which the routes and the OpenAPI document are made.
//! - [`Api`]: serves the desk over HTTP, and passes what has been stored on to the plane as [`Order`]s.
//!
//! - [`Together`]: the same among the instances of a cluster.
//!
//! A change is checked, stored, carried out and then acknowledged, in this order. It decides nothing about requests.

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
