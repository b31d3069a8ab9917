//! Fair sharing of the resources of one process between its tenants.
//!
//! Tenants share the process's client connections, requests in flight, buffered bytes and event-loop time, and the
//! connections to endpoints that several tenants use. This crate decides how much each tenant gets, without
//! queueing: a request beyond its tenant's share is rejected. It performs no I/O and reads no clock; time comes in as
//! milliseconds of one monotonic clock.
//!
//! - [`ResourcePool`]: resources that are acquired and released, such as connections.
//! - [`ProcessorSharing`]: work that cannot be given back, such as event-loop time.
//! - [`TenantLimiter`]: all resources of a process by tenant; the interface for a proxy's front end.
//!
//! Shares follow weights among the recently active tenants. Unused shares of active tenants are lent to others, except
//! for recent peaks and a small reserve for idle tenants (`docs/design/tenancy.md`).
#![deny(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::type_complexity,
    clippy::struct_excessive_bools
)]

mod processor_sharing;
mod resource;
mod resource_pool;
mod shared_endpoint;
mod tenant_limiter;

pub use processor_sharing::{ProcessorSharing, RateQuota};
pub use resource::{
    ProcessCapacity, Rejection, RejectionCounts, Resource, TenantQuota, TenantUsage,
};
pub use resource_pool::{DenialReason, ResourcePool};
pub use tenant_limiter::TenantLimiter;

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;

/// Index of a tenant in the tables, from 0. An index may be reused once its former tenant has released all its allocations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);
