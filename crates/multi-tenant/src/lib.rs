//! Serves many tenants in one process. Each has a load balancer, a list of servers and limits of its own.
//!
//! - [`document`]: the configuration document; [`validation`]: all errors in it, with line and key.
//! - [`routes`]: finds the tenant of a request; [`plan`]: effects of a change of the document. Both
//!   without I/O.
//! - [`catalog`]: compact storage of all tenants; [`inactive_state`]: state of inactive tenants that is
//!   kept besides their documents.
//! - [`data_plane::DataPlane`]: serves the current version and switches to the next one within one turn
//!   of the event loop. Only active tenants have a pool in memory; `tenant_activation` decides which
//!   tenants are active.
//!
//! Choosing servers and retrying is left to each tenant's load balancer. Shared resources are divided
//! by `fair_share`; requests above a tenant's share are rejected by its pool.

mod accounts;
pub mod catalog;
pub mod data_plane;
pub mod document;
pub mod inactive_state;
pub mod plan;
pub mod routes;
pub mod validation;
