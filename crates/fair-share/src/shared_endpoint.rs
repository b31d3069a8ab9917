//! Connections to an endpoint that several tenants use, as a resource pool of its own.

use crate::{DenialReason, Millis, ResourcePool, TenantId};

/// Weight of a former member while it is added to the new pool and removed again.
const FORMER_MEMBER_WEIGHT: f64 = 1.0;

/// An endpoint with a connection limit and the tenants that use it.
///
/// In the pool a tenant is identified by its position among the members, so that the pool does not grow with the number
/// of tenants of the process.
#[derive(Clone, Debug)]
pub(crate) struct SharedEndpoint {
    connections: ResourcePool,
    /// Members in the order of the pool; former members that still have connections are at the end.
    members: Vec<TenantId>,
}

impl SharedEndpoint {
    /// Creates an endpoint that the members share by weight. Allocations of `former`, the same endpoint before a change of
    /// its members, are kept.
    pub(crate) fn new(
        max_connections: u64,
        idle_reserve_ratio: f64,
        weighted_members: &[(TenantId, f64)],
        former: Option<&SharedEndpoint>,
    ) -> Self {
        let mut members: Vec<TenantId> = weighted_members.iter().map(|(id, _)| *id).collect();
        let former_members = former.map_or(&[][..], |endpoint| &endpoint.members);
        let without_membership = former_members.iter().filter(|id| !members.contains(id));
        let without_membership: Vec<TenantId> = without_membership.copied().collect();
        members.extend(without_membership);
        let mut connections = ResourcePool::new(max_connections, idle_reserve_ratio);
        for (position, member) in members.iter().enumerate() {
            let pool_id = TenantId(position);
            let allocated = former.map_or(0, |endpoint| endpoint.allocated_to(*member));
            match weighted_members.get(position) {
                Some((_, weight)) => connections.add_with_allocation(pool_id, *weight, allocated),
                None => {
                    connections.add_with_allocation(pool_id, FORMER_MEMBER_WEIGHT, allocated);
                    connections.remove(pool_id);
                }
            }
        }
        SharedEndpoint {
            connections,
            members,
        }
    }

    /// Changes a member's weight.
    pub(crate) fn set_weight(&mut self, tenant: TenantId, weight: f64) {
        if let Some(pool_id) = self.pool_id(tenant) {
            self.connections.set_quota(pool_id, weight, u64::MAX);
        }
    }

    /// Allocates a connection to a tenant. A tenant that is not a member has no limit.
    pub(crate) fn acquire(&mut self, now: Millis, tenant: TenantId) -> Result<(), DenialReason> {
        match self.pool_id(tenant) {
            Some(pool_id) => self.connections.acquire(now, pool_id, 1),
            None => Ok(()),
        }
    }

    /// Releases a tenant's connection.
    pub(crate) fn release(&mut self, tenant: TenantId) {
        if let Some(pool_id) = self.pool_id(tenant) {
            self.connections.release(pool_id, 1);
        }
    }

    /// Returns the number of connections that a tenant holds.
    pub(crate) fn allocated_to(&self, tenant: TenantId) -> u64 {
        self.pool_id(tenant)
            .map_or(0, |pool_id| self.connections.allocated_to(pool_id))
    }

    fn pool_id(&self, tenant: TenantId) -> Option<TenantId> {
        let position = self.members.iter().position(|member| *member == tenant)?;
        Some(TenantId(position))
    }
}
