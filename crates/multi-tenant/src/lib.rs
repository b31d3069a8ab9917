//! Many tenants in one process, each with a decision module, a list and limits of its own.
//!
//! - [`document`]: what operators write; [`check`]: all that is wrong with it, with line and key.
//! - [`routes`]: which tenant a request is for; [`plan`]: what a change of the document comes to. Both without I/O.
//! - [`catalog`]: all tenants at rest, compact; [`digest`]: what is kept of them beside their documents.
//! - [`plane::Plane`]: serves the present version and goes over to the next in one turn of the event loop. It holds in full only
//!   the tenants that it serves; which these are, `residency` decides.
//!
//! It decides nothing about servers or retries: each tenant's decision module does. What tenants share is divided by
//! `tenancy`; what is over a tenant's share, its module refuses.

mod accounts;
pub mod catalog;
pub mod data_plane;
pub mod document;
pub mod inactive_state;
pub mod plan;
pub mod routes;
pub mod validation;
