//! Admission by tenant over all shared resources of a process.
//!
//! [`TenantLimiter`] combines a resource pool for each countable resource with two processor-sharing accounts: one for
//! processing admitted requests, one for rejecting others, so that a flood of rejections is bounded too. It neither
//! accepts connections nor reads requests; a front end asks it before doing so.

use rustc_hash::FxHashMap;

use crate::resource::{
    ProcessCapacity, Rejection, RejectionCounts, Resource, TenantQuota, TenantUsage,
};
use crate::shared_endpoint::SharedEndpoint;
use crate::{DenialReason, Millis, ProcessorSharing, RateQuota, ResourcePool, TenantId};

/// Step of the exponentially weighted means, per request.
const MEAN_STEP: f64 = 1.0 / 16.0;
/// Fraction of a tenant's burst that it may use for rejections.
const REJECTION_BURST_RATIO: f64 = 0.1;
/// Lower bound of the retry time in a rejection.
const MIN_RETRY_AFTER: Millis = 1.0;

#[derive(Clone, Copy, Debug, Default)]
struct TenantStatistics {
    is_registered: bool,
    rejections: RejectionCounts,
    event_loop_time: Millis,
    mean_request_duration: Millis,
    mean_request_bytes: f64,
}

/// Limits of all tenants of one process.
#[derive(Clone, Debug)]
pub struct TenantLimiter {
    idle_reserve_ratio: f64,
    client_connections: ResourcePool,
    in_flight_requests: ResourcePool,
    buffered_bytes: ResourcePool,
    processing: ProcessorSharing,
    rejecting: ProcessorSharing,
    /// Endpoints that several tenants share, by number.
    endpoints: FxHashMap<u64, SharedEndpoint>,
    statistics: Vec<TenantStatistics>,
}

impl TenantLimiter {
    /// Creates a limiter for a process without tenants.
    pub fn new(capacity: ProcessCapacity) -> Self {
        let pool = |amount| ResourcePool::new(amount, capacity.idle_reserve_ratio);
        TenantLimiter {
            idle_reserve_ratio: capacity.idle_reserve_ratio,
            client_connections: pool(capacity.client_connections),
            in_flight_requests: pool(capacity.in_flight_requests),
            buffered_bytes: pool(capacity.buffered_bytes),
            processing: ProcessorSharing::new(capacity.processing_time_ratio),
            rejecting: ProcessorSharing::new(capacity.rejection_time_ratio),
            endpoints: FxHashMap::default(),
            statistics: Vec::new(),
        }
    }

    /// Adds a tenant or changes its quota; its allocations are kept.
    pub fn set_quota(&mut self, now: Millis, tenant: TenantId, quota: &TenantQuota) {
        self.register(tenant);
        let weight = quota.weight;
        self.client_connections
            .set_quota(tenant, weight, quota.max_client_connections);
        self.in_flight_requests
            .set_quota(tenant, weight, quota.max_in_flight_requests);
        self.buffered_bytes
            .set_quota(tenant, weight, quota.max_buffered_bytes);
        let processing = RateQuota {
            weight,
            burst: quota.burst,
            max_rate_ratio: quota.max_processing_time_ratio,
        };
        let rejecting = RateQuota {
            burst: REJECTION_BURST_RATIO * quota.burst,
            ..processing
        };
        self.processing.set_quota(now, tenant, processing);
        self.rejecting.set_quota(now, tenant, rejecting);
        for endpoint in self.endpoints.values_mut() {
            endpoint.set_weight(tenant, weight);
        }
    }

    fn register(&mut self, tenant: TenantId) {
        if self.statistics.len() <= tenant.0 {
            self.statistics
                .resize(tenant.0 + 1, TenantStatistics::default());
        }
        let statistics = &mut self.statistics[tenant.0];
        if !statistics.is_registered {
            *statistics = TenantStatistics {
                is_registered: true,
                ..TenantStatistics::default()
            };
        }
    }

    /// Restores the counters of a tenant that was removed earlier and has been added again.
    pub fn restore_counters(
        &mut self,
        tenant: TenantId,
        event_loop_time: Millis,
        rejections: RejectionCounts,
    ) {
        if let Some(statistics) = self.statistics.get_mut(tenant.0) {
            statistics.event_loop_time = event_loop_time;
            statistics.rejections = rejections;
        }
    }

    /// Removes a tenant. Its allocations must still be released; its index is free when [`TenantLimiter::is_idle`].
    pub fn remove(&mut self, tenant: TenantId) {
        self.client_connections.remove(tenant);
        self.in_flight_requests.remove(tenant);
        self.buffered_bytes.remove(tenant);
        self.processing.remove(tenant);
        self.rejecting.remove(tenant);
        if let Some(statistics) = self.statistics.get_mut(tenant.0) {
            statistics.is_registered = false;
        }
    }

    /// Returns true if a tenant has no allocation of any resource.
    pub fn is_idle(&self, tenant: TenantId) -> bool {
        self.client_connections.allocated_to(tenant) == 0
            && self.in_flight_requests.allocated_to(tenant) == 0
            && self.buffered_bytes.allocated_to(tenant) == 0
            && self
                .endpoints
                .values()
                .all(|endpoint| endpoint.allocated_to(tenant) == 0)
    }

    /// Sets the tenants, with their weights, that share an endpoint with a limited number of connections.
    ///
    /// An empty list of members removes the limit, as for an endpoint that a single tenant uses. A single member,
    /// which shares the endpoint with inactive tenants only, is limited to `max_connections`.
    pub fn set_shared_endpoint(
        &mut self,
        endpoint: u64,
        max_connections: u64,
        members: &[(TenantId, f64)],
    ) {
        let former = self.endpoints.remove(&endpoint);
        if members.is_empty() {
            return;
        }
        let shared = SharedEndpoint::new(
            max_connections,
            self.idle_reserve_ratio,
            members,
            former.as_ref(),
        );
        self.endpoints.insert(endpoint, shared);
    }

    /// Allocates a connection to an endpoint; always granted for an endpoint that is not shared.
    ///
    /// # Errors
    /// No connection is free, or the free ones are reserved for the other members.
    pub fn acquire_endpoint_connection(
        &mut self,
        now: Millis,
        tenant: TenantId,
        endpoint: u64,
    ) -> Result<(), Rejection> {
        let Some(shared) = self.endpoints.get_mut(&endpoint) else {
            return Ok(());
        };
        let acquired = shared.acquire(now, tenant);
        acquired.map_err(|reason| self.reject(tenant, Resource::EndpointConnections, reason))
    }

    /// Releases a connection to an endpoint.
    pub fn release_endpoint_connection(&mut self, tenant: TenantId, endpoint: u64) {
        if let Some(shared) = self.endpoints.get_mut(&endpoint) {
            shared.release(tenant);
        }
    }

    /// Allocates a client connection.
    ///
    /// # Errors
    /// The tenant gets no further connection.
    pub fn acquire_client_connection(
        &mut self,
        now: Millis,
        tenant: TenantId,
    ) -> Result<(), Rejection> {
        let acquired = self.client_connections.acquire(now, tenant, 1);
        acquired.map_err(|reason| self.reject(tenant, Resource::ClientConnections, reason))
    }

    /// Releases a client connection.
    pub fn release_client_connection(&mut self, tenant: TenantId) {
        self.client_connections.release(tenant, 1);
    }

    /// Admits a request with the size of its head and announced body.
    ///
    /// # Errors
    /// The first resource that the tenant lacks; nothing is allocated then.
    pub fn begin_request(
        &mut self,
        now: Millis,
        tenant: TenantId,
        bytes: u64,
    ) -> Result<(), Rejection> {
        if let Some(statistics) = self.statistics.get_mut(tenant.0) {
            statistics.mean_request_bytes +=
                (bytes as f64 - statistics.mean_request_bytes) * MEAN_STEP;
        }
        if let Err(wait) = self.processing.admit(now, tenant) {
            self.count_rejection(tenant, Resource::EventLoopTime);
            return Err(Rejection {
                resource: Resource::EventLoopTime,
                reason: None,
                retry_after: wait.max(MIN_RETRY_AFTER),
            });
        }
        if let Err(reason) = self.in_flight_requests.acquire(now, tenant, 1) {
            return Err(self.reject(tenant, Resource::InFlightRequests, reason));
        }
        if let Err(reason) = self.buffered_bytes.acquire(now, tenant, bytes) {
            self.in_flight_requests.release(tenant, 1);
            return Err(self.reject(tenant, Resource::BufferedBytes, reason));
        }
        Ok(())
    }

    /// Allocates further bytes to an admitted request, such as for its response.
    ///
    /// # Errors
    /// The tenant gets no further bytes.
    pub fn acquire_bytes(
        &mut self,
        now: Millis,
        tenant: TenantId,
        bytes: u64,
    ) -> Result<(), Rejection> {
        let acquired = self.buffered_bytes.acquire(now, tenant, bytes);
        acquired.map_err(|reason| self.reject(tenant, Resource::BufferedBytes, reason))
    }

    /// Releases a finished request with all its bytes.
    pub fn end_request(&mut self, tenant: TenantId, bytes: u64, duration: Millis) {
        self.in_flight_requests.release(tenant, 1);
        self.buffered_bytes.release(tenant, bytes);
        if let Some(statistics) = self.statistics.get_mut(tenant.0) {
            statistics.mean_request_duration +=
                (duration - statistics.mean_request_duration) * MEAN_STEP;
        }
    }

    /// Charges event-loop time used to process a tenant's admitted requests.
    pub fn charge_processing(&mut self, now: Millis, tenant: TenantId, work: Millis) {
        self.processing.charge(now, tenant, work);
        self.count_event_loop_time(tenant, work);
    }

    /// Charges event-loop time used to reject a tenant's requests.
    pub fn charge_rejecting(&mut self, now: Millis, tenant: TenantId, work: Millis) {
        self.rejecting.charge(now, tenant, work);
        self.count_event_loop_time(tenant, work);
    }

    /// Checks that a tenant's connections may be read: its next request would be admitted, or there is time to
    /// reject it.
    ///
    /// # Errors
    /// The estimated time until one of these conditions may hold.
    pub fn check_read(&mut self, now: Millis, tenant: TenantId) -> Result<(), Millis> {
        match self.processing.admit(now, tenant) {
            Ok(()) if self.has_capacity_for_request(now, tenant) => Ok(()),
            Ok(()) => self.rejecting.admit(now, tenant),
            Err(processing_wait) => self
                .rejecting
                .admit(now, tenant)
                .map_err(|rejecting_wait| processing_wait.min(rejecting_wait)),
        }
    }

    /// Checks that a tenant's next client connection may be accepted: it would get a connection, or there is time to
    /// close it.
    ///
    /// # Errors
    /// The estimated time until one of these conditions may hold.
    pub fn check_accept(&mut self, now: Millis, tenant: TenantId) -> Result<(), Millis> {
        match self.processing.admit(now, tenant) {
            Ok(()) if self.client_connections.check(now, tenant, 1).is_ok() => Ok(()),
            _ => self.rejecting.admit(now, tenant),
        }
    }

    /// Returns a tenant's allocations and counters.
    pub fn usage(&self, tenant: TenantId) -> TenantUsage {
        let statistics = self.statistics.get(tenant.0).copied().unwrap_or_default();
        TenantUsage {
            client_connections: self.client_connections.allocated_to(tenant),
            in_flight_requests: self.in_flight_requests.allocated_to(tenant),
            buffered_bytes: self.buffered_bytes.allocated_to(tenant),
            event_loop_time: statistics.event_loop_time,
            rejections: statistics.rejections,
        }
    }

    /// Returns a tenant's current fair share of a pooled resource; none for the other resources.
    pub fn fair_share(&self, tenant: TenantId, resource: Resource) -> Option<u64> {
        match resource {
            Resource::ClientConnections => Some(self.client_connections.fair_share(tenant)),
            Resource::InFlightRequests => Some(self.in_flight_requests.fair_share(tenant)),
            Resource::BufferedBytes => Some(self.buffered_bytes.fair_share(tenant)),
            Resource::EventLoopTime | Resource::EndpointConnections => None,
        }
    }

    /// Returns true if the pools allow a tenant's next request, assuming the mean size of its requests.
    fn has_capacity_for_request(&mut self, now: Millis, tenant: TenantId) -> bool {
        let statistics = self.statistics.get(tenant.0);
        let bytes = statistics.map_or(0.0, |entry| entry.mean_request_bytes) as u64;
        self.in_flight_requests.check(now, tenant, 1).is_ok()
            && self.buffered_bytes.check(now, tenant, bytes).is_ok()
    }

    fn count_event_loop_time(&mut self, tenant: TenantId, work: Millis) {
        if let Some(statistics) = self.statistics.get_mut(tenant.0) {
            statistics.event_loop_time += work;
        }
    }

    fn count_rejection(&mut self, tenant: TenantId, resource: Resource) {
        if let Some(statistics) = self.statistics.get_mut(tenant.0) {
            statistics.rejections[resource as usize] += 1;
        }
    }

    /// Counts and builds a rejection. The mean request duration estimates when allocations are released.
    fn reject(&mut self, tenant: TenantId, resource: Resource, reason: DenialReason) -> Rejection {
        self.count_rejection(tenant, resource);
        let statistics = self.statistics.get(tenant.0);
        let mean_duration = statistics.map_or(0.0, |entry| entry.mean_request_duration);
        Rejection {
            resource,
            reason: Some(reason),
            retry_after: mean_duration.max(MIN_RETRY_AFTER),
        }
    }
}
