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
mod answers;
mod backup;
mod call;
mod desk;
mod difference;
mod events;
mod figures;
mod http;
pub mod operations;
mod place;
mod problem;
mod start;
mod tenants;
mod together;
mod tokens;
mod versions;

pub use access::{Role, Token, Who};
pub use backup::Backup;
pub use call::{Ask, Call, Outcome, Reply};
pub use desk::{Desk, OPERATOR, Snapshot, operator};
pub use events::Happened;
pub use http::{Api, Order, snapshot_rest};
pub use problem::Problem;
pub use start::Starting;
pub use together::Together;
