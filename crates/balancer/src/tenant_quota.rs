//! Tenant quotas: determine which requests keep their full priority weight.
//!
//! A request beyond its tenant's quota is not rejected for that reason; it only has a lower priority among queued
//! requests. The front end enforces a tenant's share of the process ([`crate::Event::ProcessShareExceeded`]).

use crate::settings::Tenant;
use crate::types::Millis;

/// Time over which a tenant may accumulate unused quota.
const ACCUMULATION_TIME: Millis = 1000.0;

/// Token buckets of all tenants.
pub(crate) struct TenantQuotas {
    tokens: Vec<f64>,
}

impl TenantQuotas {
    /// Creates buckets that hold one request for each tenant.
    pub fn new(tenants: usize) -> Self {
        TenantQuotas {
            tokens: vec![1.0; tenants],
        }
    }

    /// Adds buckets for new tenants.
    pub fn resize(&mut self, tenants: usize) {
        self.tokens.resize(tenants, 1.0);
    }

    /// Takes one request from a tenant's quota; returns false if the quota is used up.
    pub fn try_take(&mut self, tenant: usize) -> bool {
        let Some(tokens) = self.tokens.get_mut(tenant) else {
            return true;
        };
        let within = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(within));
        within
    }

    /// Refills the buckets for an elapsed time; each proxy has an equal part of a quota.
    pub fn refill(&mut self, elapsed: Millis, tenants: &[Tenant], proxy_count: u32) {
        for (tokens, tenant) in self.tokens.iter_mut().zip(tenants) {
            let per_ms = tenant.quota_per_second / 1000.0 / f64::from(proxy_count);
            *tokens = (*tokens + per_ms * elapsed).min(per_ms * ACCUMULATION_TIME + 1.0);
        }
    }
}
