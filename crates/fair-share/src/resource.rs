//! Types that describe shared resources: capacity of the process, quotas and usage of a tenant, rejections.

use crate::{DenialReason, Millis};

/// A kind of resource that tenants share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Resource {
    /// Connections from clients.
    ClientConnections,
    /// Requests without their final response.
    InFlightRequests,
    /// Bytes of requests and responses that are buffered in memory.
    BufferedBytes,
    /// Time of the event loop.
    EventLoopTime,
    /// Connections to an endpoint that several tenants use.
    EndpointConnections,
}

impl Resource {
    /// Number of resource kinds.
    pub const COUNT: usize = 5;

    /// Returns the name used in metrics, logs and problem documents.
    pub fn name(self) -> &'static str {
        match self {
            Resource::ClientConnections => "sockets",
            Resource::InFlightRequests => "in-flight",
            Resource::BufferedBytes => "bytes",
            Resource::EventLoopTime => "time",
            Resource::EndpointConnections => "server",
        }
    }
}

/// Number of rejections by resource, in the order of the variants of [`Resource`].
pub type RejectionCounts = [u64; Resource::COUNT];

/// Resources of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessCapacity {
    /// Connections from clients.
    pub client_connections: u64,
    /// Requests in flight.
    pub in_flight_requests: u64,
    /// Buffered bytes of requests and responses.
    pub buffered_bytes: u64,
    /// Fraction of the event loop's time, from 0 to 1, that is shared out to admitted requests.
    pub processing_time_ratio: f64,
    /// Fraction of the event loop's time, from 0 to 1, that is shared out to rejecting requests.
    pub rejection_time_ratio: f64,
    /// Fraction of each resource pool, from 0 to 1, that tenants beyond their fair share leave to idle tenants.
    pub idle_reserve_ratio: f64,
}

/// A tenant's weight and hard limits. The limits apply even while all other tenants are idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// Weight of the tenant's fair share, relative to the other tenants' weights.
    pub weight: f64,
    /// Maximum number of client connections.
    pub max_client_connections: u64,
    /// Maximum number of requests in flight.
    pub max_in_flight_requests: u64,
    /// Maximum number of buffered bytes.
    pub max_buffered_bytes: u64,
    /// Maximum fraction of the processing time, from 0 to 1.
    pub max_processing_time_ratio: f64,
    /// Event-loop time that the tenant may use at once after being idle.
    pub burst: Millis,
}

impl Default for TenantQuota {
    fn default() -> Self {
        TenantQuota {
            weight: 1.0,
            max_client_connections: u64::MAX,
            max_in_flight_requests: u64::MAX,
            max_buffered_bytes: u64::MAX,
            max_processing_time_ratio: 1.0,
            burst: 25.0,
        }
    }
}

/// Rejection of a tenant's demand for a resource.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// The resource that was denied.
    pub resource: Resource,
    /// Reason of the denial; none for event-loop time.
    pub reason: Option<DenialReason>,
    /// Estimated time until a retry may succeed.
    pub retry_after: Millis,
}

/// Current allocations and accumulated counters of a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantUsage {
    /// Client connections.
    pub client_connections: u64,
    /// Requests in flight.
    pub in_flight_requests: u64,
    /// Buffered bytes.
    pub buffered_bytes: u64,
    /// Event-loop time used in total.
    pub event_loop_time: Millis,
    /// Rejections in total.
    pub rejections: RejectionCounts,
}
